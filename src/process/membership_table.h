/*
 * The membership table: members, the precedence of updates about them, and
 * the queues of updates still to be sent. Internal.
 */
#ifndef DWS_PROCESS_MEMBERSHIP_TABLE_H
#define DWS_PROCESS_MEMBERSHIP_TABLE_H

#include "process/membership.h"

#define DWS_MEMBERSHIP_MAX_MEMBERS 4096
#define DWS_MEMBERSHIP_MAX_RELAYS 32
#define DWS_MEMBERSHIP_MAX_INCARNATION (UINT64_C(1) << 62)

/* A member with the state that is private to this module. */
typedef struct dws_membership_entry {
	dws_member_t member; /* first, so that pointers convert */
	dws_member_state_t gossip_state; /* ignoring the VM list */
	guint index; /* in the array of entries */
	uint64_t reader_hash;
	bool listed_leaving;
	uint64_t listed_leaving_epoch; /* epoch that listed_leaving is about */
	int64_t epoch_since_us; /* when this epoch became known */
	int64_t suspect_until_us;
	bool probe_failed; /* a leaving member that missed a probe */
	int64_t probe_failed_us;
	int64_t epoch_ping_us; /* last ping to resolve its epoch; 0: never */
	uint32_t sends_left; /* of the latest update */
	GQueue *queue; /* that contains link; NULL if none */
	GList link;
} dws_membership_entry_t;

/* An indirect probe: sent here on behalf of another member. */
typedef struct dws_membership_relay {
	uint32_t sequence; /* of the ping sent from here; 0: unused slot */
	uint32_t request_sequence;
	dws_address_t requester;
	char target_vm[DWS_ID_SIZE];
	int64_t expires_us;
} dws_membership_relay_t;

/* The unacknowledged probe of the current interval. */
typedef struct dws_membership_pending_probe {
	char target_vm[DWS_ID_SIZE]; /* "" if none */
	uint32_t sequence;
	int64_t sent_us;
	bool indirect_sent; /* ping requests have been sent */
} dws_membership_pending_probe_t;

/* Cached rank of this process among the readers, for one generation. */
typedef struct dws_membership_reader_cache {
	bool is_valid;
	uint64_t generation;
	guint rank;
	guint zone_size;
} dws_membership_reader_cache_t;

struct dws_membership {
	const dws_settings_t *settings;
	const dws_membership_ops_t *ops;
	void *context;
	GRand *random;
	GHashTable *by_id; /* VM id, owned by the entry, to entry */
	GPtrArray *entries; /* dws_membership_entry_t *, owned */
	dws_membership_entry_t *self;
	GQueue leaving_queue; /* entries whose LEAVING is to be sent */
	GQueue update_queue; /* entries with other updates to be sent */
	uint64_t generation;
	int64_t now_us; /* latest time passed in by the caller */
	int64_t started_us;
	int64_t interval_us;
	int64_t next_probe_us;
	uint64_t interval_count;
	guint probe_cursor; /* index of the next probe target */
	uint32_t sequence;
	dws_membership_pending_probe_t pending;
	dws_membership_relay_t relays[DWS_MEMBERSHIP_MAX_RELAYS];
	uint32_t notice_quota; /* LEAVING updates to forward this interval */
	bool replaced; /* by another process with this VM id */
	dws_document_versions_t versions; /* of this process */
	int64_t versions_set_us;
	uint64_t revision; /* of the latest list */
	bool lists_upstreams; /* a list has contained upstreams */
	GBytes *list; /* text of the latest list */
	dws_membership_reader_cache_t *reader_cache;
};

/* Finds the entry of a VM id, borrowed; NULL if unknown. */
dws_membership_entry_t *
dws_membership_table_find(const dws_membership_t *membership,
			  const char *vm_id);
/*
 * Adds a live member of unknown epoch. If the table is full, a dead, unlisted
 * member is evicted; returns NULL if there is none.
 */
dws_membership_entry_t *dws_membership_table_add(dws_membership_t *membership,
						 const char *vm_id);
/* Removes and frees a member, after reporting it as dead if it was not. */
void dws_membership_table_remove(dws_membership_t *membership,
				 dws_membership_entry_t *entry);
/*
 * Applies an update about another member if it takes precedence over the
 * known one by incarnation, epoch and state. Returns true if it was applied.
 */
bool dws_membership_table_merge(dws_membership_t *membership,
				dws_membership_entry_t *entry,
				const dws_member_t *update);
/* Sets the gossip state at the known incarnation. */
void dws_membership_table_set_state(dws_membership_t *membership,
				    dws_membership_entry_t *entry,
				    dws_member_state_t state);
/* Starts the suspicion timeout of a leaving member that missed a probe. */
void dws_membership_table_suspect_leaving(dws_membership_t *membership,
					  dws_membership_entry_t *entry);
/* Returns true if the epoch, address, zone, region or service differs. */
bool dws_membership_table_endpoint_differs(const dws_member_t *a,
					   const dws_member_t *b);
/* Copies addresses, zone, region and service. */
void dws_membership_table_copy_endpoint(dws_member_t *member,
					const dws_member_t *update);
/* Updates the visible state and reports a change of the member. */
void dws_membership_table_refresh(dws_membership_t *membership,
				  dws_membership_entry_t *entry,
				  bool fields_changed);
/* Queues the latest update of a member for sending. */
void dws_membership_table_queue_update(dws_membership_t *membership,
				       dws_membership_entry_t *entry);
/* Counts one transmission of a member's update. */
void dws_membership_table_count_send(dws_membership_entry_t *entry);
/* Advances the clock; a detected pause extends the timeouts of suspects. */
void dws_membership_table_advance_time(dws_membership_t *membership,
				       int64_t now_us);
/* Times out suspects, and removes members that are long dead and unlisted. */
void dws_membership_table_expire(dws_membership_t *membership);
/* Returns true if a member is live, of this zone, and its process is known. */
bool dws_membership_table_is_reader_candidate(
	const dws_membership_t *membership,
	const dws_membership_entry_t *entry);
/* Returns a random index below a non-zero count. */
guint dws_membership_random_index(dws_membership_t *membership, guint count);

#endif
