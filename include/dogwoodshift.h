/*
 * dogwoodshift: the decisions of one overload control daemon.
 *
 * A node is everything that a daemon decides, with no socket, file, thread,
 * clock or global state. Its driver owns the transport and the time:
 *
 *  1. Embed a dws_io_t as the first member of the driver's own object and
 *     point it at a table of functions (dws_io_ops_t).
 *  2. Call dws_node_init() with checked settings and a random seed.
 *  3. Pass in whatever happens: calls, frames, datagrams, outcomes of
 *     dispatched work, documents of the platform.
 *  4. Call dws_node_tick() at the time that the previous tick returned, or
 *     earlier.
 *
 * Times are microseconds of a monotonic clock that never goes backwards;
 * its origin does not matter and differs between nodes. The node calls its
 * driver back synchronously, within the functions below; the driver must not
 * call the node again from within such a call, but queue the event. A node
 * belongs to one thread.
 *
 * Equal settings, seed and inputs give equal outputs.
 */
#ifndef DOGWOODSHIFT_H
#define DOGWOODSHIFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#define DWS_ERROR (dws_error_quark())

/* Kinds of GError; each message names the place, the fault and the remedy. */
typedef enum dws_error {
	DWS_ERROR_SYNTAX = 1, /* a document can't be parsed */
	DWS_ERROR_UNKNOWN_KEY, /* a key that no setting has */
	DWS_ERROR_VALUE, /* a value is missing, mistyped or out of range */
	DWS_ERROR_CONFLICT, /* values contradict each other, or a wrong base */
	DWS_ERROR_TOO_LARGE, /* over a configured or built-in size */
	DWS_ERROR_FRAME, /* bytes of a peer that are no valid message */
	DWS_ERROR_TICKET, /* a ticket that this home did not mint */
	DWS_ERROR_SYSTEM, /* the operating system refused something */
	DWS_ERROR_PEER, /* the other side answered wrongly or not at all */
} dws_error_t;

/* How sure the answerer is about the execution of a request. */
typedef enum dws_outcome {
	DWS_OUTCOME_COMPLETE, /* ran; the whole answer is here */
	DWS_OUTCOME_NOT_RUN, /* never dispatched, and never will be */
	DWS_OUTCOME_UNKNOWN, /* may have run; never dispatched again */
} dws_outcome_t;

/* Why a request was refused or has no answer. */
typedef enum dws_reason {
	DWS_REASON_NONE,
	DWS_REASON_BAD_REQUEST, /* malformed; 400 */
	DWS_REASON_NO_KIND, /* no kind of work matches the path; 404 */
	DWS_REASON_NO_TICKET, /* non-idempotent without a ticket; 428 */
	DWS_REASON_BAD_TICKET, /* forged, damaged or of another kind; 400 */
	DWS_REASON_TICKET_EXPIRED, /* 410; NOT_RUN or UNKNOWN says which */
	DWS_REASON_TICKET_REUSED, /* same identity, different request; 422 */
	DWS_REASON_HOME_UNREACHABLE, /* 504 */
	DWS_REASON_NO_PARENT, /* nested call without a live parent; 400 */
	DWS_REASON_TOO_DEEP, /* over DWS_MAX_HOPS; 400 */
	DWS_REASON_RETRY_BUDGET, /* 429 */
	DWS_REASON_CUSTOMER_BUDGET, /* 429 */
	DWS_REASON_OVERLOAD, /* 503 */
	DWS_REASON_NO_ENDPOINT, /* nobody serves it within reach; 503 */
	DWS_REASON_DRAINING, /* 503 */
	DWS_REASON_STARTING, /* no configuration is known yet; 503 */
	DWS_REASON_DEADLINE, /* 504 */
	DWS_REASON_CANCELLED, /* the caller hung up */
	DWS_REASON_UPSTREAM_LOST, /* the answer of the upstream was lost; 504 */
	DWS_REASON_LEDGER_FULL, /* 503 */
	DWS_REASON_TOO_LARGE, /* 413 */
	DWS_REASON_NO_ROUTE, /* no route matches host and path; 404 */
	DWS_REASON_UPSTREAM_SHED, /* the upstream refused it unrun; 503 */
	DWS_REASON_MISDIRECTED, /* another upstream has the address; 503 */
	DWS_REASON_CROWDED_BELOW, /* a service of its calls has no room; 503 */
	DWS_REASON_COUNT
} dws_reason_t;

#define DWS_MAX_HOPS 16
/* Ids of attempts that are longer are passed on, but compared with nothing. */
#define DWS_ATTEMPT_KEY_SIZE 256
#define DWS_US_PER_MS 1000LL
#define DWS_US_PER_S 1000000LL
#define DWS_NEVER_US INT64_MAX

typedef struct dws_node dws_node_t;
typedef struct dws_settings dws_settings_t; /* process/settings.h */
typedef struct dws_counters dws_counters_t; /* process/counters.h */
typedef struct dws_caller_limits dws_caller_limits_t; /* version/config.h */

/* Longest IP number as text, with the end. */
#define DWS_IP_SIZE 46

/* An IP number and a port; stream and datagram ports are apart. */
typedef struct dws_address {
	char ip[DWS_IP_SIZE];
	uint16_t port;
} dws_address_t;

/*
 * A request as a caller or the local upstream made it. All memory stays the
 * driver's and may go after the call. Text members may be NULL.
 */
typedef struct dws_call {
	const char *method;
	const char *path; /* "/service/rest?query" */
	const char *content_type;
	const uint8_t *body;
	size_t body_size_bytes;
	const char *customer;
	const char *ticket; /* of a non-idempotent root request */
	const char *idempotency_key; /* of a nested call, by the upstream */
	const char *traceparent; /* W3C; of a root request */
	/*
	 * Of the routed listener, which tells requests apart by host and path
	 * and needs no tickets: this daemon is the home of each attempt.
	 */
	bool is_routed;
	const char *host;
	const char *headers; /* passed on: lines "Name: value\r\n" */
	const char *attempt_key; /* the caller's id of this attempt */
	bool is_nested; /* came in on the upstream's listener */
	uint64_t parent_attempt; /* the dispatch that it serves, if nested */
	int64_t timeout_us; /* 0: the configured timeout of the kind */
} dws_call_t;

/* What a caller is told. Memory is the node's, valid during the callback. */
typedef struct dws_answer {
	dws_outcome_t outcome;
	dws_reason_t reason;
	uint16_t status; /* HTTP status */
	const char *content_type;
	const char *headers; /* of a routed call: passed on as lines */
	const uint8_t *body;
	size_t body_size_bytes;
	const char *next_ticket; /* NULL if none was minted */
	int64_t retry_after_ms; /* 0: waiting does not help */
	const char *detail; /* remedy, in a sentence; NULL if COMPLETE */
	char trace_id[33];
} dws_answer_t;

/*
 * Work for the local upstream. Memory is the node's, valid during the
 * callback. Non-idempotent work must be sent at most once: on a connection
 * that the HTTP library can't reuse and re-send on.
 */
typedef struct dws_dispatch {
	uint64_t attempt_id; /* passed to the upstream as Dogwoodshift-Call */
	const char *method;
	const char *path;
	const char *content_type;
	const uint8_t *body;
	size_t body_size_bytes;
	bool is_routed;
	const char *headers; /* of routed work: passed on as lines */
	const char *attempt_key; /* of routed work; its answer bears it */
	const char *upstream_id; /* the process that is meant; "" if unknown */
	const char *customer;
	const char *identity; /* Idempotency-Key for the upstream */
	char traceparent[56];
	int64_t deadline_us;
	bool idempotent;
} dws_dispatch_t;

/* How a dispatch ended. */
typedef enum dws_dispatch_result {
	DWS_DISPATCH_ANSWERED, /* a whole answer, whatever its status */
	DWS_DISPATCH_NOT_SENT, /* certain: no byte reached the upstream */
	DWS_DISPATCH_LOST, /* sent, and no whole answer came */
} dws_dispatch_result_t;

typedef struct dws_dispatch_outcome {
	dws_dispatch_result_t result;
	uint16_t status;
	const char *content_type;
	const uint8_t *body;
	size_t body_size_bytes;
	const char *headers; /* of routed work: lines, NULL if none */
	bool refused; /* the upstream said that it shed the request unrun */
	bool misdirected; /* another upstream answered; it did not run it */
} dws_dispatch_outcome_t;

/* What can be read from the platform. */
typedef enum dws_platform_item {
	DWS_PLATFORM_CONFIG,
	DWS_PLATFORM_VMS,
	DWS_PLATFORM_ITEM_COUNT
} dws_platform_item_t;

typedef enum dws_log_level {
	DWS_LOG_ERROR,
	DWS_LOG_WARNING,
	DWS_LOG_INFO,
	DWS_LOG_DEBUG,
} dws_log_level_t;

/* One hop of a request. */
typedef struct dws_span {
	char trace_id[33];
	char span_id[17];
	char parent_id[17]; /* "" for a root */
	const char *name; /* "entry", "home", "execute", "nested" */
	const char *vm_id;
	const char *kind;
	const char *outcome;
	const char *reason;
	int64_t start_us;
	int64_t duration_us;
	int64_t queued_us;
	uint16_t status;
	uint16_t hop;
	/* Of routed requests: the caller's id, and what decided. */
	const char *attempt_key; /* NULL: not a routed request */
	const char *service;
	const char *target_vm; /* that the latest attempt went to; "" if none */
	const char *crowded; /* service that turned a call below away, or "" */
	uint32_t reached; /* upstreams that may have got it */
	uint64_t config_version; /* that it was admitted under */
	int64_t config_age_ms; /* since that version was surely in force */
	uint64_t list_revision; /* of the list of VMs, when it ended */
	int64_t load_age_us; /* of the load that the target was chosen by */
	double share; /* of such roots that were let in when it ended */
} dws_span_t;

typedef struct dws_io dws_io_t;

/* Functions that a driver provides; all are required. */
typedef struct dws_io_ops {
	/* Answers the call with the given id, once. */
	void (*answer)(dws_io_t *io, uint64_t call_id,
		       const dws_answer_t *answer);
	/* Sends work to the local upstream; ends in dws_node_dispatched(). */
	void (*dispatch)(dws_io_t *io, const dws_dispatch_t *dispatch);
	/* Ends interest in a dispatch: no dws_node_dispatched() follows. */
	void (*cancel)(dws_io_t *io, uint64_t attempt_id);
	/*
	 * Sends a whole message on the stream to a peer, in order, opening
	 * the stream if there is none. When a stream breaks, all that was
	 * sent on it may be lost: dws_node_stream_lost() tells the node.
	 */
	void (*send_frame)(dws_io_t *io, const dws_address_t *to,
			   const uint8_t *data, size_t size_bytes);
	/* Sends a datagram; it may be lost. */
	void (*send_datagram)(dws_io_t *io, const dws_address_t *to,
			      const uint8_t *data, size_t size_bytes);
	/*
	 * Reads what the platform publishes after the given number, waiting
	 * at most wait_ms for news; ends in dws_node_platform_read(). At most
	 * one read per item is outstanding.
	 */
	void (*read_platform)(dws_io_t *io, dws_platform_item_t item,
			      uint64_t after, int64_t wait_ms);
	/* Writes one event; fields is "key=value key=value". */
	void (*log)(dws_io_t *io, dws_log_level_t level, const char *event,
		    const char *fields);
	/* Writes one span. */
	void (*span)(dws_io_t *io, const dws_span_t *span);
} dws_io_ops_t;

struct dws_io {
	const dws_io_ops_t *ops;
};

GQuark dws_error_quark(void);
const char *dws_error_name(dws_error_t error);
const char *dws_outcome_name(dws_outcome_t outcome);
const char *dws_reason_name(dws_reason_t reason);

/*
 * Returns the memory that a node takes, for a caller that provides it. The
 * layout is private.
 */
size_t dws_node_size_bytes(void);

/*
 * Starts a node on memory of the caller. The settings must be checked
 * (dws_settings_load()) and stay valid until dws_node_finish(). The epoch is
 * a random number that no earlier process of this VM had; the wall clock
 * only orders processes of one VM id.
 */
void dws_node_init(dws_node_t *node, const dws_settings_t *settings,
		   dws_io_t *io, uint64_t epoch, uint64_t seed, int64_t now_us,
		   int64_t wall_ms);

/* Frees all that the node owns. Unanswered calls stay unanswered. */
void dws_node_finish(dws_node_t *node);

/*
 * Does what is due and returns when it next wants to be called, at the
 * latest. The wall clock decides only whether a planned slowdown is on.
 */
int64_t dws_node_tick(dws_node_t *node, int64_t now_us, int64_t wall_ms);

/*
 * Takes a request and returns its call id. It is answered by ops->answer,
 * during this function or later, exactly once unless the caller hangs up.
 */
uint64_t dws_node_call(dws_node_t *node, int64_t now_us,
		       const dws_call_t *call);

/* The caller hung up: idempotent work is cancelled, other work runs on. */
void dws_node_caller_gone(dws_node_t *node, int64_t now_us, uint64_t call_id);

/* Reports the end of a dispatch. */
void dws_node_dispatched(dws_node_t *node, int64_t now_us, uint64_t attempt_id,
			 const dws_dispatch_outcome_t *outcome);

/* Takes a whole message from a peer's stream; false if it is malformed. */
bool dws_node_frame(dws_node_t *node, int64_t now_us, const uint8_t *data,
		    size_t size_bytes, GError **error);

/* Takes a datagram; false if it is malformed. */
bool dws_node_datagram(dws_node_t *node, int64_t now_us, const uint8_t *data,
		       size_t size_bytes, GError **error);

/*
 * The stream to a peer broke, or could not be opened. unsent says that surely
 * nothing was delivered that was given to the stream.
 */
void dws_node_stream_lost(dws_node_t *node, int64_t now_us,
			  const dws_address_t *to, bool unsent);

/*
 * Ends a read of the platform. A text of NULL with ok set means that there
 * was no news; ok cleared means that the platform did not answer properly.
 */
void dws_node_platform_read(dws_node_t *node, int64_t now_us,
			    dws_platform_item_t item, bool ok, const char *text,
			    size_t size_bytes);

/*
 * True once the node knows a configuration, has caught up and is not
 * draining: new work may be sent to it.
 */
bool dws_node_is_ready(const dws_node_t *node);

/* Follows new settings, as far as they can change while work is in flight. */
void dws_node_reload(dws_node_t *node, const dws_settings_t *settings);

/* What callers of the routed listener may send. */
void dws_node_caller_limits(const dws_node_t *node,
			    dws_caller_limits_t *limits);

/* Starts a graceful shutdown: new work is refused, work in flight ends. */
void dws_node_drain(dws_node_t *node, int64_t now_us);

/* Tells whether a drain has ended, so that the process may exit. */
bool dws_node_is_drained(const dws_node_t *node, int64_t now_us);

/* Counters of the node; also written to by its driver. */
dws_counters_t *dws_node_counters(dws_node_t *node);

/*
 * Describes the node for operators, as a JSON object that the caller frees
 * with g_free(). Views: "status", "members", "config", "verdicts",
 * "slowdowns". NULL for an unknown view.
 */
/* Gauges of the node in the text form of Prometheus; freed with g_free(). */
char *dws_node_gauges(dws_node_t *node, int64_t now_us);

char *dws_node_describe(dws_node_t *node, int64_t now_us, const char *view);

#endif
