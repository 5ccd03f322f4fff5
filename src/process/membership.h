/*
 * Which processes there are. A table fed by the platform's list (which
 * lags), by seeds, and by probes between processes: each probe interval a
 * process pings one member and passes on a few recent changes, so the cost
 * does not grow with the fleet (SWIM: Das, Gupta, Motivala, 2002). Numbers of
 * the configuration and of the VM list ride along.
 *
 * Pointers to members are valid until the next call that takes a membership
 * that is not const.
 */
#ifndef DWS_PROCESS_MEMBERSHIP_H
#define DWS_PROCESS_MEMBERSHIP_H

#include "process/settings.h"
#include "version/fold.h"

typedef enum dws_member_state {
	DWS_MEMBER_ALIVE,
	DWS_MEMBER_SUSPECT, /* missed a probe; gets work only as a last resort */
	DWS_MEMBER_LEAVING, /* gets no new work, answers what it has */
	DWS_MEMBER_DEAD,
} dws_member_state_t;

/* The upstream beside a member, as the platform's latest list names it. */
typedef struct dws_upstream {
	char id[DWS_ID_SIZE]; /* of this start; "" if the list names none */
	char service[DWS_ID_SIZE];
	uint32_t slots; /* requests that it runs at once; 0: not told */
	uint32_t cold_ms; /* how long it was still slow after its start */
	bool leaving; /* it gets no new work */
} dws_upstream_t;

typedef struct dws_member {
	char vm_id[DWS_ID_SIZE];
	char zone[DWS_ID_SIZE];
	char region[DWS_ID_SIZE];
	char service[DWS_ID_SIZE];
	dws_address_t frame;
	dws_address_t datagram;
	uint64_t epoch; /* random per process; 0 while unknown */
	uint64_t incarnation; /* orders processes and claims of one VM id */
	dws_member_state_t state;
	bool listed; /* in the platform's latest list */
	dws_upstream_t upstream;
	int64_t state_since_us;
	int64_t heard_us; /* last direct word; DWS_NEVER_US negated if none */
} dws_member_t;

/* What a process claims about the platform's documents. */
typedef struct dws_claim {
	uint64_t config_sequence;
	uint8_t config_digest[DWS_DIGEST_SIZE];
	uint64_t vms_revision;
	/* since some process read the newest sequence; UINT32_MAX: unknown */
	uint32_t config_age_ms;
} dws_claim_t;

typedef struct dws_membership dws_membership_t;

/* The name of a state, as logs and views show it. */
const char *dws_member_state_name(dws_member_state_t state);

/* What a driver of the membership provides. */
typedef struct dws_membership_ops {
	void (*send)(void *context, const dws_address_t *to,
		     const uint8_t *data, size_t size_bytes);
	/* A member appeared, or its state, epoch or address changed. */
	void (*changed)(void *context, const dws_member_t *member);
	/* A peer claims these numbers; called for every datagram. */
	void (*claimed)(void *context, const char *vm_id,
			const dws_address_t *frame, const dws_claim_t *claim);
} dws_membership_ops_t;

dws_membership_t *dws_membership_new(const dws_settings_t *settings,
				     const dws_membership_ops_t *ops,
				     void *context, uint64_t epoch,
				     uint64_t seed, int64_t now_us,
				     int64_t wall_ms);
void dws_membership_free(dws_membership_t *membership);

/* Probes what is due; returns when to call again. */
int64_t dws_membership_tick(dws_membership_t *membership, int64_t now_us);
bool dws_membership_receive(dws_membership_t *membership, int64_t now_us,
			    const uint8_t *data, size_t size_bytes,
			    GError **error);
/*
 * Takes a list of the platform (YAML text below), if its revision is above
 * the known one. False with an error if it is malformed; nothing is taken.
 *
 *   revision: 7
 *   vms:
 *     - {id: vm-1, ip: 127.0.0.1, frame_port: 1, datagram_port: 2,
 *        zone: a, region: r, service: deposits, state: live}
 *
 * A list may also name the upstream beside each VM, which comes and goes on
 * its own; once one entry does, a VM without one gets no work:
 *
 *        upstream: {id: u-7, state: serving, slots: 50, cold_ms: 0}
 */
bool dws_membership_offer_list(dws_membership_t *membership, int64_t now_us,
			       const char *text, size_t size_bytes,
			       GError **error);
uint64_t dws_membership_revision(const dws_membership_t *membership);
/* The text of the latest list, borrowed; NULL before the first. */
const char *dws_membership_list_text(const dws_membership_t *membership,
				     size_t *size_bytes);
/* Sets the own claim that rides on datagrams. */
void dws_membership_set_claim(dws_membership_t *membership,
			      const dws_claim_t *claim);
/*
 * Tells a few members of the own zone, and one of each other zone, of the
 * own claim at once; called when it has gone up, so that a change spreads by
 * forwarding instead of waiting for probes.
 */
void dws_membership_announce(dws_membership_t *membership, int64_t now_us);
/* Announces the own leaving to peers, now and with each probe. */
void dws_membership_leave(dws_membership_t *membership, int64_t now_us);
/* A peer said on a frame that it leaves, or was heard from. */
void dws_membership_heard(dws_membership_t *membership, int64_t now_us,
			  const char *vm_id, uint64_t epoch, bool leaving);
/*
 * Pings a member whose process is not known yet, so that its answer tells the
 * epoch; at most once in a while for each member.
 */
void dws_membership_ask(dws_membership_t *membership, int64_t now_us,
			const char *vm_id);
/* True if the latest list names upstreams apart from their VMs. */
bool dws_membership_names_upstreams(const dws_membership_t *membership);
/*
 * True if new work for a service may go to the upstream beside a member, as
 * far as the latest list tells.
 */
bool dws_membership_serves(const dws_membership_t *membership,
			   const dws_member_t *member, const char *service);
/* True once another process with this VM id has taken over. */
bool dws_membership_is_replaced(const dws_membership_t *membership);
/* True if the platform's list says that this VM is leaving. */
bool dws_membership_is_listed_leaving(const dws_membership_t *membership);
/*
 * True if this process is one of the readers of its zone: the first few by
 * rendezvous hash over the live members of the zone.
 */
bool dws_membership_is_reader(const dws_membership_t *membership);
const dws_member_t *dws_membership_find(const dws_membership_t *membership,
					const char *vm_id);
const dws_member_t *dws_membership_self(const dws_membership_t *membership);
/* Borrowed array of dws_member_t *, in no order, self included. */
const GPtrArray *dws_membership_all(const dws_membership_t *membership);
/*
 * Goes up whenever a member appears, goes, or changes in state, epoch or
 * address; for caches of what this module says.
 */
uint64_t dws_membership_generation(const dws_membership_t *membership);

#endif
