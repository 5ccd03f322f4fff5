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

void dws_request_free(gpointer request);
/* A result without an answer; status and detail depend on the reason. */
dws_result_t dws_result_refused(dws_outcome_t outcome, dws_reason_t reason);

/* intake.c: creation and admission */
dws_request_t *dws_request_create(dws_node_t *node, uint64_t id);
void dws_request_set_payload(dws_request_t *request, const dws_call_t *call);
/* Starts the context of a root request, whose home is this daemon. */
void dws_request_init_root_context(dws_node_t *node, dws_request_t *request,
				   const dws_call_t *call);
void dws_request_start_deadline_timer(dws_node_t *node,
				      const dws_request_t *request);
/* True if the limit on requests in flight of a priority is exceeded. */
bool dws_request_limit_reached(dws_node_t *node, uint8_t priority);
void dws_request_on_call(dws_node_t *node, uint64_t id, const dws_call_t *call);
void dws_request_on_submit(dws_node_t *node, const dws_origin_t *origin,
			   const Dws__Submit *submit);
/* Applies a planned slowdown, then routes the request. */
void dws_request_start(dws_node_t *node, dws_request_t *request);

/* routed.c: requests of the routed listener */
void dws_request_on_routed_call(dws_node_t *node, uint64_t id,
				const dws_call_t *call);
/* Remaining time for which a routed request may wait unsent, in us. */
int64_t dws_request_wait_left_us(const dws_node_t *node,
				 const dws_request_t *request);
void dws_request_on_wait_timeout(dws_node_t *node, uint64_t id);
/*
 * True if a routed request that may have reached an upstream can be sent to
 * another one; takes a retry from the shared budget.
 */
bool dws_request_take_retry(dws_node_t *node, dws_request_t *request,
			    bool may_have_run);
/*
 * Reports the overloaded service that refused a routed request or a nested call
 * of it: to the attempt that made the call, else to the throttle of root requests.
 */
void dws_request_report_overload(dws_node_t *node, const dws_request_t *request,
				 const dws_result_t *result);
/* Maps a result to the status codes of the routed listener. */
dws_result_t dws_result_to_routed_status(const dws_node_t *node,
					 const dws_request_t *request,
					 const dws_result_t *result);

/* home.c: non-idempotent requests at their home */
void dws_request_admit_at_home(dws_node_t *node, dws_request_t *request);
void dws_request_expire_ledger_entry(dws_node_t *node,
				     const dws_ledger_key_t *key);

/* outgoing.c: routing of requests to endpoints */
void dws_request_route(dws_node_t *node, dws_request_t *request);
void dws_request_delay(dws_node_t *node, dws_request_t *request,
		       int64_t delay_us);
void dws_request_submit_to_home(dws_node_t *node, dws_request_t *request);
void dws_request_send_held(dws_node_t *node);
void dws_request_remove_held(dws_node_t *node, dws_request_t *request);
void dws_request_cancel_attempt(dws_node_t *node, dws_request_t *request);
void dws_request_send_recall(dws_node_t *node, dws_request_t *request);
/* Time at which held requests are to be routed again, or DWS_NEVER_US. */
int64_t dws_request_held_due_us(dws_node_t *node);

/* fate.c: completion of requests */
void dws_request_on_reply(dws_node_t *node, const dws_origin_t *from,
			  const dws_reply_t *reply);
void dws_request_on_deadline(dws_node_t *node, uint64_t id);
void dws_request_on_route_timer(dws_node_t *node, uint64_t id);
void dws_request_on_caller_disconnect(dws_node_t *node, uint64_t id);
/* Cancels a nested call whose parent has ended, and answers its caller. */
void dws_request_cancel(dws_node_t *node, uint64_t id);
/* Handles a lost stream; unsent: the peer received nothing. */
void dws_request_on_stream_lost(dws_node_t *node, const dws_address_t *to,
				bool unsent);
void dws_request_on_member_changed(dws_node_t *node,
				   const dws_member_t *member);
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
