/*
 * dogwoodshift: the decision logic of an overload control daemon.
 *
 * A node implements all decisions of one daemon. It has no sockets, files,
 * threads, clocks or global state; those belong to its driver, which uses a
 * node as follows:
 *
 *  1. Embed a dws_io_t as the first member of the driver's own object and set
 *     its ops to a table of callbacks (dws_io_ops_t).
 *  2. Call dws_node_init() with validated settings and a random seed.
 *  3. Pass in all events: calls, frames, datagrams, outcomes of dispatches and
 *     documents of the platform.
 *  4. Call dws_node_tick() at the time that the previous call returned, or
 *     earlier.
 *
 * All times are in microseconds of a monotonic clock. Its origin is arbitrary
 * and may differ between nodes.
 *
 * Callbacks are invoked synchronously from within the functions below. A
 * callback must not call a function of the same node; the driver has to queue
 * the event and pass it in later. A node is not thread-safe: all its functions
 * must be called from the same thread.
 *
 * A node is deterministic: the same settings, seed and inputs result in the
 * same outputs.
 */
#ifndef DOGWOODSHIFT_H
#define DOGWOODSHIFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#define DWS_ERROR (dws_error_quark())

/*
 * GError codes. Every message names the location, the error and the remedy.
 */
typedef enum dws_error {
	DWS_ERROR_SYNTAX = 1, /* a document can't be parsed */
	DWS_ERROR_UNKNOWN_KEY, /* a document has an unknown key */
	DWS_ERROR_VALUE, /* a value is missing, mistyped or out of range */
	DWS_ERROR_CONFLICT, /* contradictory values, or a wrong base version */
	DWS_ERROR_TOO_LARGE, /* a configured or built-in size is exceeded */
	DWS_ERROR_FRAME, /* a peer sent a malformed message */
	DWS_ERROR_TICKET, /* a ticket that this process did not issue */
	DWS_ERROR_SYSTEM, /* an operating system call failed */
	DWS_ERROR_PEER, /* a peer sent an invalid response or none */
} dws_error_t;

/*
 * What is known about the execution of a request. The home of a request is the
 * only process that may dispatch it; for a request with a ticket, that is the
 * process that issued the ticket.
 */
typedef enum dws_outcome {
	DWS_OUTCOME_COMPLETE, /* executed; the response is complete */
	DWS_OUTCOME_NOT_RUN, /* not executed, and will not be */
	DWS_OUTCOME_UNKNOWN, /* may have been executed; will not be again */
} dws_outcome_t;

/* Why a request was refused or has no response; with the HTTP status. */
typedef enum dws_reason {
	DWS_REASON_NONE,
	DWS_REASON_BAD_REQUEST, /* malformed request; 400 */
	DWS_REASON_NO_KIND, /* the path matches no kind of work; 404 */
	DWS_REASON_NO_TICKET, /* non-idempotent without a ticket; 428 */
	DWS_REASON_BAD_TICKET, /* forged, damaged or of another kind; 400 */
	DWS_REASON_TICKET_EXPIRED, /* see the outcome for execution; 410 */
	DWS_REASON_TICKET_REUSED, /* same identity, different request; 422 */
	DWS_REASON_HOME_UNREACHABLE, /* the home does not answer; 504 */
	DWS_REASON_NO_PARENT, /* nested call without a running parent; 400 */
	DWS_REASON_TOO_DEEP, /* more than DWS_MAX_HOPS hops; 400 */
	DWS_REASON_RETRY_BUDGET, /* retry budget of the request spent; 429 */
	DWS_REASON_CUSTOMER_BUDGET, /* too many retries of a customer; 429 */
	DWS_REASON_OVERLOAD, /* no capacity for this kind of work; 503 */
	DWS_REASON_NO_ENDPOINT, /* no reachable VM serves the service; 503 */
	DWS_REASON_DRAINING, /* the daemon is shutting down; 503 */
	DWS_REASON_STARTING, /* there is no configuration yet; 503 */
	DWS_REASON_DEADLINE, /* the deadline has passed; 504 */
	DWS_REASON_CANCELLED, /* the caller closed the connection */
	DWS_REASON_UPSTREAM_LOST, /* the upstream's response was lost; 504 */
	DWS_REASON_LEDGER_FULL, /* the ledger has reached its capacity; 503 */
	DWS_REASON_TOO_LARGE, /* the body is too large; 413 */
	DWS_REASON_NO_ROUTE, /* host and path match no route; 404 */
	DWS_REASON_UPSTREAM_SHED, /* refused unexecuted by the upstream; 503 */
	DWS_REASON_MISDIRECTED, /* the address has another upstream now; 503 */
	/* A service that nested calls of the route reach is overloaded; 503. */
	DWS_REASON_DOWNSTREAM_OVERLOAD,
	DWS_REASON_COUNT
} dws_reason_t;

/* Maximum length of a chain of nested calls. */
#define DWS_MAX_HOPS 16
/*
 * Size of an attempt id with the terminating null byte. Longer ids are
 * forwarded, but not used to identify attempts.
 */
#define DWS_ATTEMPT_KEY_SIZE 256
#define DWS_US_PER_MS 1000LL
#define DWS_US_PER_S 1000000LL
#define DWS_NEVER_US INT64_MAX

typedef struct dws_node dws_node_t;
typedef struct dws_settings dws_settings_t; /* process/settings.h */
typedef struct dws_counters dws_counters_t; /* process/counters.h */
typedef struct dws_caller_limits dws_caller_limits_t; /* version/config.h */

/* Size of an IP address as text, with the terminating null byte. */
#define DWS_IP_SIZE 46

/* An IP address and a port. Streams and datagrams use different ports. */
typedef struct dws_address {
	char ip[DWS_IP_SIZE];
	uint16_t port;
} dws_address_t;

/*
 * A request from a caller or, as a nested call, from the local upstream. All
 * memory belongs to the driver and need not outlive dws_node_call(), but the
 * node takes a reference to the body. Strings may be NULL.
 */
typedef struct dws_call {
	const char *method;
	const char *path; /* "/service/rest?query" */
	const char *content_type;
	GBytes *body; /* NULL: none */
	const char *customer;
	const char *ticket; /* of a non-idempotent root request */
	const char *idempotency_key; /* of a nested call, set by the upstream */
	const char *traceparent; /* W3C Trace Context, of a root request */
	/*
	 * True for requests from the routed listener. These are classified by
	 * host and path and need no tickets: the receiving daemon is the home
	 * of each attempt.
	 */
	bool is_routed;
	const char *host;
	const char *headers; /* to forward: lines "Name: value\r\n" */
	const char *attempt_key; /* the caller's id of this attempt */
	bool is_nested; /* received on the upstream's listener */
	uint64_t parent_attempt; /* attempt id that a nested call belongs to */
	int64_t timeout_us; /* 0: the configured timeout of the kind */
} dws_call_t;

/*
 * A response to a caller. Memory is valid only during the callback; the driver
 * may take a reference to the body.
 */
typedef struct dws_answer {
	dws_outcome_t outcome;
	dws_reason_t reason;
	uint16_t status; /* HTTP status */
	const char *content_type;
	const char *headers; /* of a routed call: lines "Name: value\r\n" */
	GBytes *body; /* NULL: none */
	const char *next_ticket; /* newly issued ticket, or NULL */
	int64_t retry_after_ms; /* 0: a retry is unlikely to succeed */
	const char *detail; /* remedy, for people; NULL if COMPLETE */
	char trace_id[33];
} dws_answer_t;

/*
 * Work for the local upstream. Memory is valid only during the callback; the
 * driver may take a reference to the body. Non-idempotent work must be sent at
 * most once: use a new connection, since an HTTP library may send a request
 * again when a reused connection fails.
 */
typedef struct dws_dispatch {
	uint64_t attempt_id; /* sent to the upstream as Dogwoodshift-Call */
	const char *method;
	const char *path;
	const char *content_type;
	GBytes *body; /* NULL: none */
	bool is_routed;
	const char *headers; /* of routed work: lines "Name: value\r\n" */
	const char *attempt_key; /* of routed work; repeated in the response */
	const char *upstream_id; /* intended upstream process; "" if unknown */
	const char *customer;
	const char *identity; /* sent to the upstream as Idempotency-Key */
	char traceparent[56];
	int64_t deadline_us;
	bool idempotent;
} dws_dispatch_t;

/* How a dispatch ended. */
typedef enum dws_dispatch_result {
	DWS_DISPATCH_ANSWERED, /* complete response, with any status */
	DWS_DISPATCH_NOT_SENT, /* certain: no byte reached the upstream */
	DWS_DISPATCH_LOST, /* sent, without a complete response */
} dws_dispatch_result_t;

/* Why the answer of a dispatch is lost. */
typedef enum dws_loss {
	DWS_LOSS_NONE,
	DWS_LOSS_CONNECTION, /* it failed, or what came is not HTTP */
	DWS_LOSS_TIMEOUT, /* no whole answer in time */
	DWS_LOSS_HEAD_CUT, /* the connection ended within the head */
	DWS_LOSS_BODY_CUT, /* the connection ended within the body */
	DWS_LOSS_MALFORMED, /* the head is no HTTP, or contradicts itself */
	DWS_LOSS_TOO_LARGE, /* a limit on the head or the body was exceeded */
	DWS_LOSS_NO_MEMORY, /* no room for its body at present */
	DWS_LOSS_OTHER_REQUEST, /* the answer names another request */
	DWS_LOSS_UNNAMED, /* no id on a kept connection: it may be a late one */
	DWS_LOSS_UNFRAMED, /* nothing tells where the body ends */
	DWS_LOSS_UNSIGNED, /* a success without its request's id or signature */
	DWS_LOSS_UNCERTAIN, /* it doesn't tell whether the request has run */
	DWS_LOSS_COUNT
} dws_loss_t;

/*
 * The result of a dispatch. Memory belongs to the driver; the node takes a
 * reference to the body.
 */
typedef struct dws_dispatch_outcome {
	dws_dispatch_result_t result;
	dws_loss_t loss; /* if lost, else DWS_LOSS_NONE */
	uint16_t status; /* HTTP status */
	const char *content_type;
	GBytes *body; /* NULL: none */
	const char *headers; /* of routed work: lines, or NULL if none */
	bool not_run; /* the upstream refused the request unexecuted */
	bool misdirected; /* another upstream responded, without executing it */
} dws_dispatch_outcome_t;

/*
 * A message for a peer: head, body and tail, one after the other. A large body
 * is referred to, so that it is not copied.
 */
typedef struct dws_frame {
	uint8_t *head;
	size_t head_bytes;
	GBytes *body; /* NULL if the whole message is in head */
	uint8_t *tail;
	size_t tail_bytes;
} dws_frame_t;

/* Documents that the platform publishes. */
typedef enum dws_platform_item {
	DWS_PLATFORM_CONFIG, /* log of configuration patches */
	DWS_PLATFORM_VMS, /* VM list: the endpoint VMs */
	DWS_PLATFORM_ITEM_COUNT
} dws_platform_item_t;

typedef enum dws_log_level {
	DWS_LOG_ERROR,
	DWS_LOG_WARNING,
	DWS_LOG_INFO,
	DWS_LOG_DEBUG,
} dws_log_level_t;

/* A tracing span: one hop of a request. */
typedef struct dws_span {
	char trace_id[33];
	char span_id[17];
	char parent_id[17]; /* "" for a root span */
	const char *name; /* "entry", "home", "execute" or "nested" */
	const char *vm_id;
	const char *kind;
	const char *outcome;
	const char *reason;
	int64_t start_us;
	int64_t duration_us;
	int64_t queued_us; /* part of the duration spent in queues */
	uint16_t status; /* HTTP status */
	uint16_t hop; /* calls above it in the chain; 0: root request */
	/* The fields below are set only for routed requests. */
	const char *attempt_key; /* the caller's id; NULL if not routed */
	const char *service;
	const char *target_vm; /* target of the latest attempt; "" if none */
	/* The most congested service that nested calls reached, or "". */
	const char *overloaded_service;
	uint32_t upstreams_reached; /* upstreams that may have received it */
	uint64_t config_version; /* version that it was admitted under */
	int64_t config_age_ms; /* time since it was confirmed as current */
	uint64_t list_revision; /* of the VM list, at the end of the span */
	int64_t load_age_us; /* age of the load report used for routing */
	double admitted_share; /* of the route's root requests, at the end */
} dws_span_t;

typedef struct dws_io dws_io_t;

/* Callbacks of the driver. All are required. */
typedef struct dws_io_ops {
	/* Sends the response to a call. Invoked once per call. */
	void (*answer)(dws_io_t *io, uint64_t call_id,
		       const dws_answer_t *answer);
	/*
	 * Sends work to the local upstream. The driver reports the result with
	 * dws_node_dispatch_finished().
	 */
	void (*dispatch)(dws_io_t *io, const dws_dispatch_t *dispatch);
	/*
	 * Cancels a dispatch. The driver must not call
	 * dws_node_dispatch_finished() for it afterwards.
	 */
	void (*cancel)(dws_io_t *io, uint64_t attempt_id);
	/*
	 * Sends one message on the stream to a peer, in order. Opens the stream
	 * if there is none. When a stream breaks, any message sent on it may be
	 * lost; the driver reports this with dws_node_stream_lost(). The driver
	 * may take a reference to the body of the frame.
	 */
	void (*send_frame)(dws_io_t *io, const dws_address_t *to,
			   const dws_frame_t *frame);
	/* Sends a datagram, without a guarantee of delivery. */
	void (*send_datagram)(dws_io_t *io, const dws_address_t *to,
			      const uint8_t *data, size_t size_bytes);
	/*
	 * Reads what the platform has published after the given sequence or
	 * revision number (long poll: waits at most wait_ms for a change). The
	 * driver reports the result with dws_node_platform_read_finished().
	 * There is at most one outstanding read per item.
	 */
	void (*read_platform)(dws_io_t *io, dws_platform_item_t item,
			      uint64_t after, int64_t wait_ms);
	/* Logs an event; fields is "key=value key=value". */
	void (*log)(dws_io_t *io, dws_log_level_t level, const char *event,
		    const char *fields);
	/* Logs a span. */
	void (*span)(dws_io_t *io, const dws_span_t *span);
} dws_io_ops_t;

struct dws_io {
	const dws_io_ops_t *ops;
};

/* Returns the GError domain of this library. */
GQuark dws_error_quark(void);

/*
 * Return the name of a value, as used in logs and responses. The result is
 * "unknown-value" for values that are not in the enumeration.
 */
const char *dws_error_name(dws_error_t error);
const char *dws_outcome_name(dws_outcome_t outcome);
const char *dws_reason_name(dws_reason_t reason);
const char *dws_loss_name(dws_loss_t loss);

/*
 * Returns the size of dws_node_t, so that the caller can allocate it. The
 * structure itself is private.
 */
size_t dws_node_size_bytes(void);

/*
 * Initializes a node in caller-provided memory of dws_node_size_bytes(). The
 * settings must be validated (dws_settings_load()) and remain valid until
 * dws_node_finish().
 *
 * epoch is a random number that identifies this process; no earlier process
 * of the same VM may have used it. wall_ms, the wall clock, is used only to
 * order processes with the same VM id.
 */
void dws_node_init(dws_node_t *node, const dws_settings_t *settings,
		   dws_io_t *io, uint64_t epoch, uint64_t seed, int64_t now_us,
		   int64_t wall_ms);

/* Frees all resources of a node. Pending calls are not answered. */
void dws_node_finish(dws_node_t *node);

/*
 * Performs all work that is due. Returns the time by which it has to be called
 * again. wall_ms, the wall clock, is used only to determine whether a planned
 * slowdown is active.
 */
int64_t dws_node_tick(dws_node_t *node, int64_t now_us, int64_t wall_ms);

/*
 * Passes in a request and returns its call id. ops->answer is invoked exactly
 * once for it, during this function or later, unless
 * dws_node_caller_disconnected() is called first.
 */
uint64_t dws_node_call(dws_node_t *node, int64_t now_us,
		       const dws_call_t *call);

/*
 * Reports that the caller closed its connection. Idempotent work is cancelled;
 * other work continues.
 */
void dws_node_caller_disconnected(dws_node_t *node, int64_t now_us,
				  uint64_t call_id);

/* Reports the result of a dispatch. */
void dws_node_dispatch_finished(dws_node_t *node, int64_t now_us,
				uint64_t attempt_id,
				const dws_dispatch_outcome_t *outcome);

/*
 * Passes in one complete message from a peer's stream. The node refers to the
 * frame for as long as it needs a body in it. Returns false and sets error
 * (DWS_ERROR_FRAME) if it is malformed.
 */
bool dws_node_receive_frame(dws_node_t *node, int64_t now_us, GBytes *frame,
			    GError **error);

/*
 * Passes in the start of a message from a peer's stream that was discarded for
 * lack of memory, as far as it has been received.
 */
void dws_node_frame_refused(dws_node_t *node, int64_t now_us,
			    const uint8_t *start, size_t size_bytes);

/*
 * Passes in a datagram. Returns false and sets error (DWS_ERROR_FRAME) if it is
 * malformed.
 */
bool dws_node_receive_datagram(dws_node_t *node, int64_t now_us,
			       const uint8_t *data, size_t size_bytes,
			       GError **error);

/*
 * Reports that the stream to a peer broke or could not be opened. unsent means
 * that none of the messages given to the stream was delivered.
 */
void dws_node_stream_lost(dws_node_t *node, int64_t now_us,
			  const dws_address_t *to, bool unsent);

/*
 * Reports the result of ops->read_platform. With ok set, text is the document,
 * or NULL if nothing has changed. ok is cleared if the read failed or the
 * response was invalid.
 */
void dws_node_platform_read_finished(dws_node_t *node, int64_t now_us,
				     dws_platform_item_t item, bool ok,
				     const char *text, size_t size_bytes);

/*
 * Returns true if new work may be sent to the node: it has a configuration, has
 * processed the backlog after a pause, and is not draining.
 */
bool dws_node_is_ready(const dws_node_t *node);

/*
 * Applies changed settings, which must remain valid until dws_node_finish() or
 * the next reload. Only settings that can change while work is in flight may
 * differ from the previous ones.
 */
void dws_node_reload(dws_node_t *node, const dws_settings_t *settings);

/* Returns the limits for requests on the routed listener. */
void dws_node_caller_limits(const dws_node_t *node,
			    dws_caller_limits_t *limits);

/*
 * Starts a graceful shutdown: new work is refused, work in flight is
 * completed.
 */
void dws_node_drain(dws_node_t *node, int64_t now_us);

/* Returns true if a drain is complete and the process may exit. */
bool dws_node_is_drained(const dws_node_t *node, int64_t now_us);

/* Returns the counters of the node, which the driver also updates. */
dws_counters_t *dws_node_counters(dws_node_t *node);

/* Returns the gauges in the Prometheus text format. Free with g_free(). */
char *dws_node_gauges(dws_node_t *node, int64_t now_us);

/*
 * Returns a description of the node as a JSON object, for operators. Free with
 * g_free(). Views are "status", "members", "config", "verdicts" and
 * "slowdowns"; returns NULL for an unknown view.
 */
char *dws_node_describe(dws_node_t *node, int64_t now_us, const char *view);

#endif
