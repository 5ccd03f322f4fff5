/*
 * Decides whether this process reads the platform.
 */
#include "version/read_role.h"

#include <string.h>

/* Interval between answers of the member that announces them. */
#define STORE_ANNOUNCE_INTERVAL_US (1200 * DWS_US_PER_MS)
/*
 * The second reader serves changes only, so that the reads of both are not more
 * than those of two that read at the interval below.
 */
#define STORE_QUIET_INTERVAL_US (12 * DWS_US_PER_S)
/* Interval in a zone without stand-bys, which nothing is announced to. */
#define STORE_PAIR_INTERVAL_US (2 * DWS_US_PER_S)
/* The platform of documents limits the reads of a process more. */
#define DOCUMENTS_INTERVAL_US (10 * DWS_US_PER_S)
/* Time for an answer and its announcement to arrive, beyond the interval. */
#define ANNOUNCEMENT_MARGIN_US (250 * DWS_US_PER_MS)
/* Before any answer; far enough in the past, without an overflow. */
#define NEVER_ANSWERED_US (-DWS_NEVER_US / 4)
/*
 * Each stand-by waits this much longer than the one before it, which announces
 * its first answer meanwhile.
 */
#define STAND_BY_STEP_US (100 * DWS_US_PER_MS)

void dws_read_role_init(dws_read_role_t *role, bool uses_store, int64_t now_us)
{
	memset(role, 0, sizeof(*role));
	role->rank = DWS_NO_READER_RANK;
	role->announce_interval_us =
		uses_store ? STORE_ANNOUNCE_INTERVAL_US : DOCUMENTS_INTERVAL_US;
	role->quiet_interval_us =
		uses_store ? STORE_QUIET_INTERVAL_US : DOCUMENTS_INTERVAL_US;
	role->pair_interval_us =
		uses_store ? STORE_PAIR_INTERVAL_US : DOCUMENTS_INTERVAL_US;
	role->zone_answered_us = now_us;
	role->preferred_answered_us = NEVER_ANSWERED_US;
	for (int i = 0; i < DWS_PLATFORM_ITEM_COUNT; i++)
		role->answered_us[i] = NEVER_ANSWERED_US;
}

static bool is_reader(const dws_read_role_t *role)
{
	return role->rank < DWS_READERS_PER_ZONE;
}

static bool is_stand_by(const dws_read_role_t *role)
{
	return role->rank >= DWS_READERS_PER_ZONE &&
	       role->rank < DWS_READERS_PER_ZONE + DWS_STAND_BYS_PER_ZONE;
}

/* Time until which an answer of the announcing member counts as recent. */
static int64_t recent_until_us(const dws_read_role_t *role, int64_t answered_us)
{
	return answered_us + role->announce_interval_us +
	       ANNOUNCEMENT_MARGIN_US;
}

/* Time at which a stand-by begins to read unless it learns of an answer. */
static int64_t stand_in_due_us(const dws_read_role_t *role)
{
	guint before = role->rank - DWS_READERS_PER_ZONE;

	return recent_until_us(role, role->zone_answered_us) +
	       before * STAND_BY_STEP_US;
}

bool dws_read_role_update(dws_read_role_t *role, int64_t now_us, guint rank,
			  guint zone_size)
{
	bool was_stand_in = role->is_stand_in;

	role->rank = rank;
	role->has_stand_bys = zone_size > DWS_READERS_PER_ZONE;
	if (!is_stand_by(role))
		role->is_stand_in = false;
	else if (was_stand_in)
		role->is_stand_in =
			now_us >=
			recent_until_us(role, role->preferred_answered_us);
	else
		role->is_stand_in = now_us >= stand_in_due_us(role);
	return role->is_stand_in != was_stand_in;
}

bool dws_read_role_reads(const dws_read_role_t *role)
{
	return is_reader(role) || role->is_stand_in;
}

bool dws_read_role_announces(const dws_read_role_t *role)
{
	return role->rank == 0 || role->is_stand_in;
}

/* The interval between answers that this process reads at. */
static int64_t interval_us(const dws_read_role_t *role)
{
	if (role->is_stand_in)
		return role->announce_interval_us;
	if (!role->has_stand_bys)
		return role->pair_interval_us;
	return role->rank == 0 ? role->announce_interval_us
			       : role->quiet_interval_us;
}

int64_t dws_read_role_wait_ms(const dws_read_role_t *role,
			      dws_platform_item_t item, int64_t now_us)
{
	int64_t due_us = role->answered_us[item] + interval_us(role);

	return MAX(due_us - now_us, 0) / DWS_US_PER_MS;
}

uint32_t dws_read_role_age_ms(const dws_read_role_t *role, int64_t now_us)
{
	int64_t latest_us = NEVER_ANSWERED_US;

	for (int i = 0; i < DWS_PLATFORM_ITEM_COUNT; i++)
		latest_us = MAX(latest_us, role->answered_us[i]);
	if (latest_us == NEVER_ANSWERED_US)
		return UINT32_MAX;
	return (uint32_t)CLAMP((now_us - latest_us) / DWS_US_PER_MS, 0,
			       UINT32_MAX - 1);
}

int64_t dws_read_role_due_us(const dws_read_role_t *role)
{
	return is_stand_by(role) && !role->is_stand_in ? stand_in_due_us(role)
						       : DWS_NEVER_US;
}

void dws_read_role_on_answer(dws_read_role_t *role, dws_platform_item_t item,
			     int64_t now_us)
{
	role->answered_us[item] = now_us;
	role->zone_answered_us = now_us;
}

void dws_read_role_on_announcement(dws_read_role_t *role, bool is_preferred,
				   int64_t answered_us)
{
	role->zone_answered_us = MAX(role->zone_answered_us, answered_us);
	if (is_preferred)
		role->preferred_answered_us =
			MAX(role->preferred_answered_us, answered_us);
}
