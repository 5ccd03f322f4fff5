/*
 * Internal data structures of a node, shared by the files that implement it.
 * The node owns all of them; requests and attempts refer to each other by id.
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
#include "request/congestion.h"
#include "request/customer_limiter.h"
#include "request/ledger.h"
#include "request/retry_budget.h"
#include "request/root_throttle.h"
#include "request/ticket.h"
#include "version/config_state.h"
#include "version/read_role.h"

/* Value of config_confirmed_us before any confirmation. */
#define DWS_NEVER_CONFIRMED (INT64_MIN / 4)

/* Identifies a message or an attempt of another process. */
typedef struct dws_remote_id {
	uint64_t epoch;
	uint64_t id;
} dws_remote_id_t;

/* The process that sent a message. */
typedef struct dws_origin {
	char vm_id[DWS_ID_SIZE];
	uint64_t epoch;
	dws_address_t frame;
} dws_origin_t;

/* A deferred pull of a newer document from a member of another zone. */
typedef struct dws_deferred_pull {
	int64_t due_us; /* 0: no pull is scheduled */
	dws_address_t frame;
	uint64_t known_version; /* own version when it was scheduled */
} dws_deferred_pull_t;

/* Context that is propagated along the call chain; see wire.proto. */
typedef struct dws_context {
	uint8_t trace_id[16];
	uint64_t parent_span;
	char customer[129];
	int64_t deadline_us; /* on this process's monotonic clock */
	uint32_t retry_tokens; /* retries left for this subtree of calls */
	uint32_t hop; /* 0: the root request */
	bool retried; /* an attempt of this or a higher request is a retry */
	char home_vm[DWS_ID_SIZE];
	uint64_t home_epoch;
	uint64_t root_serial;
	uint64_t tree_position; /* in the call tree; 0: the root request */
	char root_kind[DWS_NAME_SIZE];
	uint32_t root_worth; /* worth of root_kind: its weight in queues */
	bool is_nested; /* a call made by an upstream */
	int64_t root_started_us; /* arrival of the root request */
} dws_context_t;

/* The request as passed to the upstream; its body is reference-counted. */
typedef struct dws_payload {
	char *method;
	char *path;
	char *content_type;
	char *headers; /* of routed requests, else NULL */
	GBytes *body;
} dws_payload_t;

typedef enum dws_request_state {
	DWS_REQUEST_DELAYED, /* waits for a delay or backoff timer */
	DWS_REQUEST_HELD, /* queued until an endpoint has capacity */
	DWS_REQUEST_SENT, /* an attempt is in flight */
	DWS_REQUEST_FORWARDED, /* submitted to its home process */
	DWS_REQUEST_JOINED, /* gets the result of the request it duplicates */
} dws_request_state_t;

/*
 * The result of an attempt or of a submitted request, as sent back to its
 * origin. Owns its memory.
 */
typedef struct dws_reply {
	uint64_t id;
	bool is_submit_reply;
	dws_outcome_t outcome;
	dws_reason_t reason;
	uint16_t status;
	char *content_type;
	char *headers; /* of routed requests, else NULL */
	GBytes *body; /* NULL: empty */
	bool upstream_reached; /* not run, but the upstream received it */
	dws_congestion_report_t congestion; /* of the nested calls */
	int64_t queued_us; /* before the attempt started */
	uint32_t unused_retry_tokens;
	dws_load_report_t load;
	uint32_t retry_after_ms;
	char *detail;
	bool is_running; /* reply to a Recall: the attempt still runs */
} dws_reply_t;

/* A request at the process that accepted it from a caller, upstream or peer. */
typedef struct dws_request {
	uint64_t id; /* first: its address is the hash table key */
	dws_request_state_t state;
	bool from_peer; /* by Submit; else by a local caller or upstream */
	dws_origin_t submitter;
	uint64_t submit_id;
	uint64_t parent_attempt; /* of a nested call, else 0 */
	bool owns_ledger_entry; /* its result is recorded in its ledger entry */
	bool detached; /* no caller waits, but an attempt continues */
	bool may_have_run; /* an earlier attempt may have run */
	dws_kind_t kind; /* with the priority of this request */
	dws_context_t context;
	dws_payload_t payload;
	uint64_t caller_attempt; /* attempt that made the call; 0: unknown */
	bool is_routed; /* kind derived from a route */
	bool is_nested_call; /* routed: made by the local upstream */
	bool may_be_delivered; /* a lost stream may have delivered it */
	dws_congestion_report_t congestion; /* of the nested calls */
	char attempt_key[DWS_ATTEMPT_KEY_SIZE]; /* of a routed request */
	uint32_t max_attempts; /* routed: upper bound of upstreams_reached */
	uint32_t upstreams_reached; /* upstreams that may have received it */
	uint32_t objective_ms;
	uint64_t config_version; /* in force when it was admitted */
	int64_t load_age_us; /* of the load report used for routing; -1: none */
	char *ticket;
	uint64_t span_id;
	int64_t start_us;
	int64_t waited_us; /* until the latest attempt started */
	int64_t hold_started_us; /* start of the current hold; 0 if none */
	uint32_t consecutive_refusals; /* determines the backoff */
	uint64_t attempt_id;
	uint32_t attempt_retry_tokens;
	int64_t sent_us; /* of the latest attempt */
	char target_vm[DWS_ID_SIZE];
	uint64_t target_epoch;
	dws_address_t target;
	uint32_t submit_count; /* Submits sent to its home process */
	int64_t recall_sent_us; /* of the pending Recall; 0 if none */
	GPtrArray *excluded; /* char *, endpoint VMs that refused or lost it */
} dws_request_t;

typedef enum dws_attempt_state {
	DWS_ATTEMPT_QUEUED,
	DWS_ATTEMPT_RUNNING,
	DWS_ATTEMPT_ANSWERED, /* kept until its answer is acknowledged */
} dws_attempt_state_t;

/* One execution of a request at the local upstream. */
typedef struct dws_attempt {
	uint64_t id; /* first: hash table key; passed to the upstream */
	dws_remote_id_t remote; /* key in attempts_by_remote */
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
	char attempt_key[DWS_ATTEMPT_KEY_SIZE]; /* of a routed request */
	int64_t arrived_us;
	int64_t started_us;
	dws_congestion_report_t congestion; /* of its nested calls */
	uint32_t open_nested_calls;
	/* When open_nested_calls last rose above 0. */
	int64_t nested_wait_started_us;
	int64_t nested_wait_us; /* total of the ended waits for nested calls */
	GHashTable *nested_calls_by_kind; /* kind name to number of calls */
	GHashTable *nested_requests; /* ids of open nested requests */
	int64_t answered_us;
	dws_reply_t *answer; /* awaits acknowledgement; else NULL */
	uint32_t resends;
} dws_attempt_t;

struct dws_node {
	const dws_settings_t *settings;
	dws_io_t *io;
	uint64_t epoch;
	uint64_t next_id;
	GRand *random;
	int64_t now_us; /* of the latest input */
	int64_t wall_offset_ms; /* wall clock minus monotonic clock */
	int64_t last_pause_us; /* length of the latest detected pause */
	int64_t pause_detected_us; /* when it was detected */
	int64_t catch_up_until_us; /* no new work is accepted before */
	int64_t drain_started_us;
	dws_counters_t counters;
	dws_timers_t timers;
	dws_ticket_issuer_t ticket_issuer;
	dws_ledger_t ledger;
	GHashTable *requests; /* id to dws_request_t */
	GHashTable *requests_by_attempt; /* latest attempt id to request */
	GHashTable *attempts; /* id to dws_attempt_t */
	GHashTable *nested_call_stats; /* by route; see nested_call.c */
	GTree *running_by_deadline; /* running routed attempts, by deadline */
	GHashTable *running_by_key; /* the same by attempt key */
	GHashTable *attempts_by_remote; /* dws_remote_id_t to dws_attempt_t */
	GHashTable *requests_by_submit; /* dws_remote_id_t to dws_request_t */
	GHashTable *fences; /* set of dws_remote_id_t that must never run */
	GHashTable *held_queues; /* service to dws_queue_t of held requests */
	GHashTable *kind_ids; /* kind name to a number that never changes */
	GQueue *local_replies; /* dws_reply_t *, of local attempts */
	dws_admission_t admission;
	dws_customer_limiter_t customer_limiter;
	dws_retry_budget_t retry_budget; /* of routed requests */
	dws_root_throttle_t root_throttle;
	dws_congestion_t congestion; /* that the upstream's calls have met */
	dws_membership_t *membership;
	dws_routing_t *routing;
	dws_config_state_t *config_state;
	int64_t config_confirmed_us; /* when it was last known to be current */
	dws_read_role_t read_role;
	int64_t announced_us; /* latest notice to the stand-bys */
	int64_t read_started_us[DWS_PLATFORM_ITEM_COUNT];
	int64_t read_due_us[DWS_PLATFORM_ITEM_COUNT];
	int64_t read_backoff_us[DWS_PLATFORM_ITEM_COUNT];
	int64_t last_pull_us[DWS_PLATFORM_ITEM_COUNT];
	dws_deferred_pull_t deferred_pulls[DWS_PLATFORM_ITEM_COUNT];
	int64_t membership_due_us;
	bool draining;
	bool recheck_held; /* an endpoint may have capacity for held requests */
	bool config_rejected; /* the platform's latest one was invalid */
	bool read_pending[DWS_PLATFORM_ITEM_COUNT];
	/* Sources with which the configuration was compared since the start. */
	bool platform_answered;
	bool peer_answered;
};

/* node.c */
/* Returns a request or attempt id that is unique within this process. */
uint64_t dws_node_next_id(dws_node_t *node);
/* Returns a non-zero random number. */
uint64_t dws_node_random(dws_node_t *node);
/* Logs an event; the format gives its key=value fields. */
void dws_node_log(dws_node_t *node, dws_log_level_t level, const char *event,
		  const char *format, ...) G_GNUC_PRINTF(4, 5);
/* Returns how long a message read now may have been in the socket buffer. */
int64_t dws_node_buffered_us(const dws_node_t *node);
/* Returns true if the local upstream accepts new work. */
bool dws_node_upstream_accepts_work(const dws_node_t *node);
/* Counts the members in state ALIVE, including this process. */
uint32_t dws_node_alive_member_count(const dws_node_t *node);
/*
 * Returns true if a configuration is known and the wait that follows a start
 * or a pause has ended.
 */
bool dws_node_accepts_work(const dws_node_t *node);

/* The start of the root request by which a queue orders nested calls. */
static inline int64_t dws_context_root_start(const dws_context_t *context)
{
	return context->is_nested ? MAX(context->root_started_us, 1) : 0;
}

static inline void dws_count(dws_node_t *node, dws_counter_t counter)
{
	dws_counters_add(&node->counters, counter, 1);
}

#endif
