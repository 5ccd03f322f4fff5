/*
 * The parts of a node, shared by the files that implement it. A node owns
 * all that hangs below it; requests and attempts refer to each other by id.
 */
#ifndef DWS_PROCESS_NODE_INTERNAL_H
#define DWS_PROCESS_NODE_INTERNAL_H

#include "connection/wire.pb-c.h"
#include "process/counters.h"
#include "process/membership.h"
#include "process/routing.h"
#include "process/settings.h"
#include "process/timers.h"
#include "request/admission.h"
#include "request/customers.h"
#include "request/ledger.h"
#include "request/retry_budget.h"
#include "request/root_gate.h"
#include "request/ticket.h"
#include "version/fold.h"

/* Time of confirmation of a configuration that never was confirmed. */
#define DWS_NEVER_CONFIRMED (INT64_MIN / 4)

/* Names a message or a piece of work of another process. */
typedef struct dws_remote_id {
	uint64_t epoch;
	uint64_t id;
} dws_remote_id_t;

/* A process that sent a message. */
typedef struct dws_origin {
	char vm_id[DWS_ID_SIZE];
	uint64_t epoch;
	dws_address_t frame;
} dws_origin_t;

/* News that a member of another zone has, to be asked for later. */
typedef struct dws_far_pull {
	int64_t due_us; /* 0: there is none */
	dws_address_t frame;
	uint64_t known; /* what was known when it was heard of */
} dws_far_pull_t;

/* What a request carries over the whole chain; see wire.proto. */
typedef struct dws_context {
	uint8_t trace_id[16];
	uint64_t parent_span;
	char customer[129];
	int64_t deadline_us; /* on the own clock */
	uint32_t tokens; /* retries that may still be spent below */
	uint32_t hop;
	bool retried;
	char home_vm[DWS_ID_SIZE];
	uint64_t home_epoch;
	uint64_t root_serial;
	uint64_t place;
	char root_kind[DWS_NAME_SIZE];
	uint32_t root_worth;
} dws_context_t;

/* The request as it is passed to the upstream; reference-counted body. */
typedef struct dws_payload {
	char *method;
	char *path;
	char *content_type;
	char *headers; /* of routed requests, else NULL */
	GBytes *body;
} dws_payload_t;

typedef enum dws_request_state {
	DWS_REQUEST_DELAYED, /* until a timer */
	DWS_REQUEST_HELD, /* until an upstream has room */
	DWS_REQUEST_SENT, /* an attempt is out */
	DWS_REQUEST_FORWARDED, /* its home decides */
	DWS_REQUEST_JOINED, /* another request of this home decides */
} dws_request_state_t;

/*
 * The fate of an attempt or of a submitted request, as it is sent back. Owns
 * its memory.
 */
typedef struct dws_reply {
	uint64_t id;
	bool to_submit;
	dws_outcome_t outcome;
	dws_reason_t reason;
	uint16_t status;
	char *content_type;
	char *headers; /* of routed requests, else NULL */
	GBytes *body; /* NULL: empty */
	bool reached; /* not run, but the upstream was asked */
	char crowded[DWS_NAME_SIZE]; /* service that turned a call below away */
	uint32_t tokens;
	dws_load_t load;
	uint32_t retry_after_ms;
	char *detail;
	bool is_running; /* of a Recall: no fate yet */
} dws_reply_t;

/* A request at the process that took it from a caller, upstream or peer. */
typedef struct dws_request {
	uint64_t id; /* first: it is the table's key */
	dws_request_state_t state;
	bool from_peer; /* a Submit; else a local caller or upstream */
	dws_origin_t submitter;
	uint64_t submit_id;
	uint64_t parent_attempt; /* of a nested call, else 0 */
	bool is_home; /* has a ledger entry that it decides */
	bool detached; /* nobody waits any more, but it runs on */
	bool may_have_run; /* an earlier attempt may have run */
	dws_kind_t kind; /* its priority is the request's */
	dws_context_t context;
	dws_payload_t payload;
	bool is_routed; /* its kind was made from a route */
	bool is_call; /* routed: of the local upstream, not of a caller */
	uint64_t caller_attempt; /* that the call serves; 0: not known */
	bool may_be_sent; /* a stream broke that may have delivered it */
	char crowded[DWS_NAME_SIZE]; /* service that turned a call below away */
	char attempt_key[DWS_ATTEMPT_KEY_SIZE]; /* of a routed request */
	uint32_t max_attempts; /* of a routed request: upstreams reached */
	uint32_t reached; /* upstreams that may have got it */
	uint32_t objective_ms;
	uint64_t config_version; /* that decided on it */
	int64_t load_age_us; /* of the load that decided; -1: none was known */
	char *ticket;
	uint64_t span_id;
	int64_t start_us;
	int64_t held_us; /* start of the present wait; 0 if none */
	uint32_t refusals; /* in a row, for the backoff */
	uint64_t attempt_id;
	uint32_t attempt_tokens;
	int64_t sent_us; /* of the latest attempt */
	char target_vm[DWS_ID_SIZE];
	uint64_t target_epoch;
	dws_address_t target;
	uint32_t submits; /* how often it was handed to its home */
	int64_t recalled_us; /* when a Recall went out; 0 if none is */
	GPtrArray *excluded; /* char *, endpoints that refused or lost it */
} dws_request_t;

typedef enum dws_attempt_state {
	DWS_ATTEMPT_QUEUED,
	DWS_ATTEMPT_RUNNING,
	DWS_ATTEMPT_ANSWERED, /* kept until its answer is acknowledged */
} dws_attempt_state_t;

/* A piece of work for the local upstream. */
typedef struct dws_attempt {
	uint64_t id; /* first: it is the table's key; known to the upstream */
	dws_remote_id_t remote; /* key of a second table */
	dws_origin_t origin;
	bool is_local; /* the origin is this process */
	dws_attempt_state_t state;
	char kind[DWS_NAME_SIZE];
	uint8_t priority;
	bool idempotent;
	bool is_routed;
	uint64_t span_id;
	dws_context_t context;
	dws_payload_t payload;
	char attempt_key[DWS_ATTEMPT_KEY_SIZE]; /* of routed work */
	int64_t arrived_us;
	int64_t started_us;
	char crowded[DWS_NAME_SIZE]; /* service that turned a call away */
	uint32_t nested_open;
	int64_t nested_since_us; /* since one or more nested calls are open */
	int64_t nested_total_us;
	GHashTable *nested_counts; /* kind name to number of calls */
	GHashTable *nested_requests; /* ids of open nested requests */
	int64_t answered_us;
	dws_reply_t *answer; /* while it is not acknowledged */
	uint32_t resends;
} dws_attempt_t;

struct dws_node {
	const dws_settings_t *settings;
	dws_io_t *io;
	uint64_t epoch;
	uint64_t next_id;
	GRand *random;
	int64_t now_us; /* of the latest input */
	int64_t wall_offset_ms; /* wall clock minus own clock */
	int64_t gap_us; /* length of the latest pause of the process */
	int64_t gap_seen_us; /* when it was noticed */
	int64_t catch_up_until_us; /* new work waits until then */
	bool draining;
	int64_t drain_started_us;
	dws_counters_t counters;
	dws_timers_t timers;
	dws_ticket_mint_t mint;
	dws_ledger_t ledger;
	GHashTable *requests; /* id to dws_request_t */
	GHashTable *sent; /* latest attempt id to dws_request_t */
	GHashTable *attempts; /* id to dws_attempt_t */
	GHashTable *call_votes; /* of the call book, by route */
	GTree *callers; /* running routed attempts, by deadline */
	GHashTable *callers_by_key; /* the same by the callers' ids */
	GHashTable *attempts_by_remote; /* dws_remote_id_t to dws_attempt_t */
	GHashTable *submits; /* dws_remote_id_t to dws_request_t */
	GHashTable *fences; /* dws_remote_id_t set: never to be run */
	GHashTable *holds; /* service name to dws_queue_t */
	GHashTable *held_kinds; /* kind name to a stable number */
	bool holds_dirty; /* an upstream may have room for held requests */
	GQueue *local_replies; /* dws_reply_t *, of own attempts */
	dws_admission_t admission;
	dws_customers_t customers;
	dws_retry_budget_t retry_budget; /* of routed requests */
	dws_root_gate_t root_gate;
	dws_membership_t *membership;
	dws_routing_t *routing;
	dws_fold_t *fold;
	int64_t config_confirmed_us; /* newest version surely in force then */
	bool config_refused; /* the platform's latest could not be taken */
	bool reading[DWS_PLATFORM_ITEM_COUNT];
	int64_t read_started_us[DWS_PLATFORM_ITEM_COUNT];
	int64_t read_due_us[DWS_PLATFORM_ITEM_COUNT];
	int64_t read_backoff_us[DWS_PLATFORM_ITEM_COUNT];
	bool platform_answered;
	bool peer_answered;
	int64_t pulled_us[DWS_PLATFORM_ITEM_COUNT];
	dws_far_pull_t far_pulls[DWS_PLATFORM_ITEM_COUNT];
	int64_t membership_due_us;
};

/* node.c */
uint64_t dws_node_next_id(dws_node_t *node);
uint64_t dws_node_random(dws_node_t *node);
void dws_node_log(dws_node_t *node, dws_log_level_t level, const char *event,
		  const char *format, ...) G_GNUC_PRINTF(4, 5);
/* How long a message that is read now may have waited unread. */
int64_t dws_node_waited_us(const dws_node_t *node);
/* True while the own upstream may get new work, as far as is known. */
bool dws_node_upstream_serves(const dws_node_t *node);
/* Members that are alive, this process included. */
uint32_t dws_node_alive_members(const dws_node_t *node);
/* True once the node may take new work. */
bool dws_node_is_open(const dws_node_t *node);

static inline void dws_count(dws_node_t *node, dws_counter_t counter)
{
	dws_counters_add(&node->counters, counter, 1);
}

#endif
