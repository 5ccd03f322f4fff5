/*
 * Cluster membership: a table of the known processes, built from the
 * platform's VM list (which lags), from seeds, and from a gossip protocol.
 * In each probe interval a process pings one member and piggybacks a few
 * recent updates, so its cost is independent of the cluster's size (SWIM:
 * Das, Gupta, Motivala, 2002). The versions of the configuration and of the
 * VM list are piggybacked too.
 *
 * Pointers to members are valid until the next call that takes a non-const
 * membership.
 */
#ifndef DWS_PROCESS_MEMBERSHIP_H
#define DWS_PROCESS_MEMBERSHIP_H

#include "process/settings.h"
#include "version/config_state.h"

typedef enum dws_member_state {
	DWS_MEMBER_ALIVE,
	DWS_MEMBER_SUSPECT, /* missed a probe; target of last resort */
	DWS_MEMBER_LEAVING, /* no new work; still answers accepted work */
	DWS_MEMBER_DEAD,
} dws_member_state_t;

/* The upstream of a member, from the platform's latest list. */
typedef struct dws_upstream {
	char id[DWS_ID_SIZE]; /* differs after a restart; "": none listed */
	char service[DWS_ID_SIZE];
	uint32_t slots; /* concurrency limit; 0: not specified */
	uint32_t warmup_ms; /* warm-up time after its start */
	bool leaving; /* accepts no new work */
} dws_upstream_t;

typedef struct dws_member {
	char vm_id[DWS_ID_SIZE];
	char zone[DWS_ID_SIZE];
	char region[DWS_ID_SIZE];
	char service[DWS_ID_SIZE];
	dws_address_t frame;
	dws_address_t datagram;
	uint64_t epoch; /* random id of the process; 0 while unknown */
	uint64_t incarnation; /* orders processes and updates of a VM id */
	dws_member_state_t state;
	bool listed; /* in the platform's latest list */
	dws_upstream_t upstream;
	int64_t state_since_us;
	int64_t last_received_us; /* -DWS_NEVER_US: never */
} dws_member_t;

/* The versions of the platform's documents that a process reports. */
typedef struct dws_document_versions {
	uint64_t config_sequence;
	uint8_t config_digest[DWS_DIGEST_SIZE];
	uint64_t vms_revision;
	/* Time since any process read the newest one; UINT32_MAX: unknown. */
	uint32_t config_age_ms;
	/*
	 * Time since the platform answered the sender; UINT32_MAX if that does
	 * not announce the answers, see version/read_role.h.
	 */
	uint32_t platform_age_ms;
} dws_document_versions_t;

/* Members of a zone that read the platform, and that take their place. */
#define DWS_READERS_PER_ZONE 2
#define DWS_STAND_BYS_PER_ZONE 3
/* Rank of a process that does not read the platform as it leaves. */
#define DWS_NO_READER_RANK G_MAXUINT

typedef struct dws_membership dws_membership_t;

/* Returns the name of a state for logs and views. */
const char *dws_member_state_name(dws_member_state_t state);

/* Callbacks that the user of this module provides; all are required. */
typedef struct dws_membership_ops {
	void (*send)(void *context, const dws_address_t *to,
		     const uint8_t *data, size_t size_bytes);
	/*
	 * A member was added, or its state, epoch, address, zone, region,
	 * service or upstream changed.
	 */
	void (*member_changed)(void *context, const dws_member_t *member);
	/* Called with the document versions of the sender of each datagram. */
	void (*versions_received)(void *context, const char *vm_id,
				  const dws_address_t *frame,
				  const dws_document_versions_t *versions);
} dws_membership_ops_t;

/*
 * Creates a membership that contains only this process. settings and ops must
 * outlive it. wall_ms, the wall clock, becomes the initial incarnation.
 */
dws_membership_t *dws_membership_new(const dws_settings_t *settings,
				     const dws_membership_ops_t *ops,
				     void *context, uint64_t epoch,
				     uint64_t seed, int64_t now_us,
				     int64_t wall_ms);
/* NULL is allowed. */
void dws_membership_free(dws_membership_t *membership);

/* Sends due probes; returns the time of the next call. */
int64_t dws_membership_tick(dws_membership_t *membership, int64_t now_us);
/*
 * Handles a datagram from a peer. Returns false with DWS_ERROR_FRAME if any
 * part of it is malformed; the table is then unchanged.
 */
bool dws_membership_receive(dws_membership_t *membership, int64_t now_us,
			    const uint8_t *data, size_t size_bytes,
			    GError **error);
/*
 * Applies a VM list of the platform (YAML as below) if its revision is above
 * the known one. Returns false with an error if it is malformed; the table is
 * then unchanged.
 *
 *   revision: 7
 *   vms:
 *     - {id: vm-1, ip: 127.0.0.1, frame_port: 1, datagram_port: 2,
 *        zone: a, region: r, service: deposits, state: live}
 *
 * An entry may also list the upstream of its VM, which starts and stops
 * independently of the VM. Once any entry has listed one, new work is sent only
 * to VMs with a listed upstream:
 *
 *        upstream: {id: u-7, state: serving, slots: 50, cold_ms: 0}
 */
bool dws_membership_apply_list(dws_membership_t *membership, int64_t now_us,
			       const char *text, size_t size_bytes,
			       GError **error);
/* Returns the revision of the latest list; 0 before the first. */
uint64_t dws_membership_list_revision(const dws_membership_t *membership);
/* Returns the borrowed text of the latest list; NULL before the first. */
const char *dws_membership_list_text(const dws_membership_t *membership,
				     size_t *size_bytes);
/* Sets the document versions that each datagram reports. */
void dws_membership_set_versions(dws_membership_t *membership,
				 const dws_document_versions_t *versions);
/*
 * Sends the own document versions to a few members of this zone and to one of
 * each other zone. Called when a version has increased, so that a change is
 * flooded instead of waiting for probes.
 */
void dws_membership_broadcast_versions(dws_membership_t *membership,
				       int64_t now_us);
/* Sets this process to LEAVING and notifies peers, now and in each probe. */
void dws_membership_leave(dws_membership_t *membership, int64_t now_us);
/* Records the receipt of a frame from a peer, and whether the peer leaves. */
void dws_membership_frame_received(dws_membership_t *membership, int64_t now_us,
				   const char *vm_id, uint64_t epoch,
				   bool leaving);
/*
 * Pings a member of unknown epoch, as its acknowledgement contains the epoch.
 * Rate-limited for each member.
 */
void dws_membership_resolve_epoch(dws_membership_t *membership, int64_t now_us,
				  const char *vm_id);
/*
 * Returns true once a list has contained upstreams as entries of their own;
 * it stays true for later lists.
 */
bool dws_membership_lists_upstreams(const dws_membership_t *membership);
/*
 * Returns true if, by the latest list, the upstream of a member accepts new
 * work for a service.
 */
bool dws_membership_accepts_work(const dws_membership_t *membership,
				 const dws_member_t *member,
				 const char *service);
/* Returns true once another process has taken over this VM id. */
bool dws_membership_is_replaced(const dws_membership_t *membership);
/* Returns true if the latest list marks this VM as leaving. */
bool dws_membership_is_listed_leaving(const dws_membership_t *membership);
/*
 * Sends the own document versions to the stand-bys of this zone that rank
 * behind this process.
 */
void dws_membership_notify_stand_bys(dws_membership_t *membership,
				     int64_t now_us);
/*
 * Returns the rank of this process among the live members of its zone, by
 * rendezvous hash; DWS_NO_READER_RANK while it leaves. The first
 * DWS_READERS_PER_ZONE read the platform, the DWS_STAND_BYS_PER_ZONE after them
 * take their place.
 */
guint dws_membership_reader_rank(const dws_membership_t *membership);
/* Returns true if this process is one of the readers of its zone. */
bool dws_membership_is_platform_reader(const dws_membership_t *membership);
/* Returns the number of live members of this zone, with this process. */
guint dws_membership_zone_size(const dws_membership_t *membership);
/* Returns true if a member of this zone ranks before this process. */
bool dws_membership_is_preferred_reader(const dws_membership_t *membership,
					const dws_member_t *member);
/* Finds a member by its VM id, borrowed; NULL if unknown. */
const dws_member_t *dws_membership_find(const dws_membership_t *membership,
					const char *vm_id);
/* Returns the member that is this process. */
const dws_member_t *dws_membership_self(const dws_membership_t *membership);
/* Returns a borrowed, unordered array of dws_member_t *, including self. */
const GPtrArray *dws_membership_all(const dws_membership_t *membership);
/*
 * Returns a counter that increases with each change that is reported to
 * member_changed(), and with each removal; for invalidating caches.
 */
uint64_t dws_membership_generation(const dws_membership_t *membership);

#endif
