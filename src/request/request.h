/*
 * Requests at the daemon that received them: from a caller, from the local
 * upstream (nested calls), or from a peer for which this daemon is the home.
 * The home of a non-idempotent request is the only daemon that dispatches it.
 */
#ifndef DWS_REQUEST_REQUEST_H
#define DWS_REQUEST_REQUEST_H

#include "process/node_internal.h"

/* The result of a request; the strings are borrowed from the caller. */
typedef struct dws_result {
	dws_outcome_t outcome;
	dws_reason_t reason;
	uint16_t status;
	const char *content_type;
	const char *headers; /* of a routed request; NULL: none */
	GBytes *body; /* NULL: none */
	uint32_t retry_after_ms;
	const char *detail; /* NULL: the default text of the reason */
} dws_result_t;

/* How long after the deadline NOT_RUN in reply to a Recall is reliable. */
#define DWS_RECALL_VALID_US (10 * DWS_US_PER_S)

/* Frees a request; the destroy function of the request table. */
void dws_request_free(gpointer request);
/*
 * Returns a result without an answer. Its status, Retry-After and detail depend
 * on the reason; its strings are static.
 */
dws_result_t dws_result_refused(dws_outcome_t outcome, dws_reason_t reason);

/* incoming.c: creation and admission */
/* Creates a request, owned by the request table, under an unused id. */
dws_request_t *dws_request_create(dws_node_t *node, uint64_t id);
/* Copies the parts of a call that are passed on to the upstream. */
void dws_request_set_payload(dws_request_t *request, const dws_call_t *call);
/* Starts the context of a root request, whose home is this daemon. */
void dws_request_init_root_context(dws_node_t *node, dws_request_t *request,
				   const dws_call_t *call);
/* Starts the timer for the deadline of a request. */
void dws_request_start_deadline_timer(dws_node_t *node,
				      const dws_request_t *request);
/* True if the limit on requests in flight of a priority is exceeded. */
bool dws_request_limit_reached(dws_node_t *node, uint8_t priority);
/* Handles a call of a local caller or of the local upstream. */
void dws_request_on_call(dws_node_t *node, uint64_t id, const dws_call_t *call);
/* Handles a request with a body, submitted by the peer that received it. */
void dws_request_on_submit(dws_node_t *node, const dws_origin_t *origin,
			   const Dws__Submit *submit, GBytes *body);
/* Applies a planned slowdown, then routes the request. */
void dws_request_start(dws_node_t *node, dws_request_t *request);

/* routed.c: requests of the routed listener */
/* Handles a call of the routed listener. */
void dws_request_on_routed_call(dws_node_t *node, uint64_t id,
				const dws_call_t *call);
/* Remaining time for which a routed request may wait unsent, in us. */
int64_t dws_request_wait_left_us(const dws_node_t *node,
				 const dws_request_t *request);
/* Refuses a routed request that has not been sent within its wait limit. */
void dws_request_on_wait_timeout(dws_node_t *node, uint64_t id);
/*
 * True if a routed request that may have reached an upstream can be sent to
 * another one; takes a retry from the shared budget.
 */
bool dws_request_take_retry(dws_node_t *node, dws_request_t *request,
			    bool may_have_run);
/*
 * Reports the congestion that a routed request and its nested calls have met:
 * for a call of the local upstream to the attempt that made it, for a root
 * request to the throttle of root requests.
 */
void dws_request_report_congestion(dws_node_t *node,
				   const dws_request_t *request,
				   const dws_result_t *result);
/* Maps a result to the status codes of the routed listener. */
dws_result_t dws_result_to_routed_status(const dws_node_t *node,
					 const dws_request_t *request,
					 const dws_result_t *result);

/* home.c: non-idempotent requests at their home */
/*
 * Admits a non-idempotent request at its home: joins it to the ledger entry of
 * its identity, or adds an entry and starts it.
 */
void dws_request_admit_at_home(dws_node_t *node, dws_request_t *request);
/*
 * Removes an expired ledger entry. A request that still runs is settled as
 * UNKNOWN, or checked again in 1 s while its caller waits for the result.
 */
void dws_request_expire_ledger_entry(dws_node_t *node,
				     const dws_ledger_key_t *key);

/* outgoing.c: routing of requests to endpoints */
/* Sends a request to an endpoint with capacity, or holds it. */
void dws_request_route(dws_node_t *node, dws_request_t *request);
/* Routes a request after a delay. */
void dws_request_delay(dws_node_t *node, dws_request_t *request,
		       int64_t delay_us);
/*
 * Submits a request to its home. May be repeated, as the home joins duplicates
 * to the first copy.
 */
void dws_request_submit_to_home(dws_node_t *node, dws_request_t *request);
/* Sends held requests while endpoints have capacity. */
void dws_request_send_held(dws_node_t *node);
/* Removes a request from the queue in which it is held, if any. */
void dws_request_remove_held(dws_node_t *node, dws_request_t *request);
/*
 * Cancels an attempt whose result is no longer awaited. The executing daemon
 * does not stop non-idempotent work that has started.
 */
void dws_request_cancel_attempt(dws_node_t *node, dws_request_t *request);
/* Queries the outcome of an attempt after its stream was lost. */
void dws_request_send_recall(dws_node_t *node, dws_request_t *request);
/* Time at which held requests are to be routed again, or DWS_NEVER_US. */
int64_t dws_request_held_due_us(dws_node_t *node);

/* retry.c: further attempts */
/*
 * Selects another endpoint after a refusal without execution, at once or after
 * a backoff.
 */
void dws_request_reroute(dws_node_t *node, dws_request_t *request,
			 const dws_reply_t *reply);
/*
 * Retries an idempotent request after its answer was lost, if the retry budget
 * allows. The retry tokens given to the lost attempt are not recovered.
 */
void dws_request_retry_after_loss(dws_node_t *node, dws_request_t *request,
				  dws_reason_t reason);
/* Handles a lost stream; unsent: the peer received nothing. */
void dws_request_on_stream_lost(dws_node_t *node, const dws_address_t *to,
				bool unsent);
/* Handles a change of a member's process or state. */
void dws_request_on_member_changed(dws_node_t *node,
				   const dws_member_t *member);

/* completion.c: completion of requests */
/* Handles a reply to an attempt or to a forwarded request. */
void dws_request_on_reply(dws_node_t *node, const dws_origin_t *from,
			  const dws_reply_t *reply);
/*
 * Handles the deadline of a request. A non-idempotent request that was sent is
 * answered as UNKNOWN but kept, so that a late answer can be processed.
 */
void dws_request_on_deadline(dws_node_t *node, uint64_t id);
/* Handles the end of a delay, a backoff or the wait for a peer. */
void dws_request_on_route_timer(dws_node_t *node, uint64_t id);
/* Handles a caller that closed its connection. */
void dws_request_on_caller_disconnect(dws_node_t *node, uint64_t id);
/* Cancels a nested call whose parent has ended, and answers its caller. */
void dws_request_cancel(dws_node_t *node, uint64_t id);
/* Sends the result, records it in the ledger and removes the request. */
void dws_request_settle(dws_node_t *node, dws_request_t *request,
			const dws_result_t *result);
/*
 * Settles a request that has no attempt in progress: as UNKNOWN if an earlier
 * attempt may have run, else as NOT_RUN.
 */
void dws_request_refuse(dws_node_t *node, dws_request_t *request,
			dws_reason_t reason);
/* Sends the result at most once; keeps the request in the table. */
void dws_request_send_result(dws_node_t *node, dws_request_t *request,
			     const dws_result_t *result);
/* Returns NULL if the request has ended. */
dws_request_t *dws_request_find(dws_node_t *node, uint64_t id);

#endif
