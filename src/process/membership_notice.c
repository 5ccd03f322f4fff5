/*
 * Notices: news that is told at once to a few members of each zone instead
 * of waiting for a probe.
 */
#include "process/membership_wire.h"

#include <string.h>

#define OWN_ZONE_NOTICES 4
#define OTHER_ZONE_NOTICES 1
#define MAX_NOTICE_ZONES 32

/* Members of a zone that are to be told something. */
typedef struct zone_pick {
	const char *zone;
	guint seen;
	guint wanted;
	dws_membership_entry_t *entries[OWN_ZONE_NOTICES];
} zone_pick_t;

/* The pick of a zone; NULL if there are too many zones. */
static zone_pick_t *find_pick(zone_pick_t *picks, guint *count,
			      const dws_membership_t *membership,
			      const char *zone)
{
	for (guint i = 0; i < *count; i++) {
		if (strcmp(picks[i].zone, zone) == 0)
			return &picks[i];
	}
	if (*count == MAX_NOTICE_ZONES)
		return NULL;
	zone_pick_t *pick = &picks[(*count)++];

	memset(pick, 0, sizeof(*pick));
	pick->zone = zone;
	pick->wanted = strcmp(zone, membership->self->member.zone) == 0
			       ? OWN_ZONE_NOTICES
			       : OTHER_ZONE_NOTICES;
	return pick;
}

/* Keeps a fair sample of a zone's members (reservoir sampling). */
static void pick_entry(dws_membership_t *membership, zone_pick_t *pick,
		       dws_membership_entry_t *entry)
{
	guint at = pick->seen++;

	if (at >= pick->wanted)
		at = dws_membership_random_below(membership, pick->seen);
	if (at < pick->wanted)
		pick->entries[at] = entry;
}

/* Sends a notice to a few members of each zone. */
void dws_membership_send_notices(dws_membership_t *membership,
				 dws_membership_entry_t *subject)
{
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__NOTICE,
		.target_vm = "",
		.subject = subject,
	};
	zone_pick_t picks[MAX_NOTICE_ZONES];
	guint count = 0;

	for (guint i = 0; i < membership->all->len; i++) {
		dws_membership_entry_t *entry = membership->all->pdata[i];

		if (entry == membership->self ||
		    entry->member.state != DWS_MEMBER_ALIVE)
			continue;
		zone_pick_t *pick = find_pick(picks, &count, membership,
					      entry->member.zone);

		if (pick)
			pick_entry(membership, pick, entry);
	}
	for (guint i = 0; i < count; i++) {
		for (guint j = 0; j < MIN(picks[i].seen, picks[i].wanted); j++)
			dws_membership_wire_send(
				membership,
				&picks[i].entries[j]->member.datagram,
				&message);
	}
}
