/*
 * Decides whether this process reads the platform. The two preferred members
 * of each zone read it; see dws_membership_reader_rank(). The first of them has
 * an answer at short intervals and announces each one to the next few members,
 * the stand-bys. A stand-by that has waited too long for an announcement reads
 * in its place until a preferred member announces answers again.
 */
#ifndef DWS_VERSION_READ_ROLE_H
#define DWS_VERSION_READ_ROLE_H

#include "process/membership.h"

typedef struct dws_read_role {
	guint rank; /* of this process among the members of its zone */
	bool has_stand_bys; /* the zone has more members than readers */
	bool is_stand_in; /* reads in place of a preferred member */
	/* Intervals between answers; see dws_read_role_init(). */
	int64_t announce_interval_us;
	int64_t quiet_interval_us;
	int64_t pair_interval_us;
	/* Latest answer that is known here, of any member of the zone. */
	int64_t zone_answered_us;
	/* Latest one of a member with a lower rank. */
	int64_t preferred_answered_us;
	int64_t answered_us[DWS_PLATFORM_ITEM_COUNT]; /* of this process */
} dws_read_role_t;

/* Initializes the role of a process that starts now, of unknown rank. */
void dws_read_role_init(dws_read_role_t *role, bool uses_store, int64_t now_us);
/*
 * Sets the rank, and begins or ends the time as a stand-in. True if that has
 * changed.
 */
bool dws_read_role_update(dws_read_role_t *role, int64_t now_us, guint rank,
			  guint zone_size);
/* True if this process reads the platform continuously. */
bool dws_read_role_reads(const dws_read_role_t *role);
/* True if this process announces the answers of the platform. */
bool dws_read_role_announces(const dws_read_role_t *role);
/* Longest wait of a read that starts now; 0: the platform answers at once. */
int64_t dws_read_role_wait_ms(const dws_read_role_t *role,
			      dws_platform_item_t item, int64_t now_us);
/* Time since the latest answer to this process; UINT32_MAX: none yet. */
uint32_t dws_read_role_age_ms(const dws_read_role_t *role, int64_t now_us);
/* Time of the next dws_read_role_update() that may change the role. */
int64_t dws_read_role_due_us(const dws_read_role_t *role);
/* Records an answer of the platform to this process. */
void dws_read_role_on_answer(dws_read_role_t *role, dws_platform_item_t item,
			     int64_t now_us);
/* Records an answer that another member of the zone has announced. */
void dws_read_role_on_announcement(dws_read_role_t *role, bool is_preferred,
				   int64_t answered_us);

#endif
