/*
 * Attempts: executions of requests by the local upstream.
 */
#ifndef DWS_REQUEST_ATTEMPT_H
#define DWS_REQUEST_ATTEMPT_H

#include "process/node_internal.h"

/* A request to execute an attempt, from its origin; strings are borrowed. */
typedef struct dws_attempt_request {
	dws_remote_id_t remote;
	const dws_origin_t *origin;
	bool is_local;
	const char *kind;
	uint8_t priority;
	bool idempotent;
	bool is_routed;
	const char *service; /* routed: service that is to execute it */
	const char *attempt_key; /* routed: the caller's id of the attempt */
	int64_t max_wait_us; /* routed: limit of the wait in the queue */
	dws_context_t context;
	dws_payload_t payload; /* ownership is transferred */
} dws_attempt_request_t;

/* GHashFunc and GEqualFunc for dws_remote_id_t. */
guint dws_remote_id_hash(gconstpointer key);
gboolean dws_remote_id_equal(gconstpointer a, gconstpointer b);
/* Frees an attempt; the destroy function of the attempt table. */
void dws_attempt_free(gpointer attempt);

/*
 * Queues an attempt, which is replied to when it ends, or refuses it with a
 * reply. A duplicate of a known attempt is ignored. Takes the payload of the
 * request in each case.
 */
void dws_attempt_accept(dws_node_t *node, dws_attempt_request_t *request);
/*
 * Starts queued attempts up to the concurrency limit; refuses those that can't
 * complete before their deadline.
 */
void dws_attempt_start_queued(dws_node_t *node);
/* Handles the end of a dispatch to the upstream. */
void dws_attempt_on_dispatch_end(dws_node_t *node, uint64_t attempt_id,
				 const dws_dispatch_outcome_t *outcome);
/*
 * Cancels an attempt whose result is no longer awaited: refuses it if queued,
 * stops it if it is running and idempotent, else has no effect.
 */
void dws_attempt_cancel(dws_node_t *node, const dws_remote_id_t *remote);
/* Replies with the outcome of an attempt; fences an unknown attempt. */
void dws_attempt_on_recall(dws_node_t *node, const dws_origin_t *origin,
			   uint64_t id);
/* Discards an answer that the origin of the attempt has received. */
void dws_attempt_on_ack(dws_node_t *node, const dws_remote_id_t *remote);
/* Resends an unacknowledged answer, with exponential backoff. */
void dws_attempt_resend(dws_node_t *node, uint64_t attempt_id);
/* Restarts the backoff of answers that a lost stream may have carried. */
void dws_attempt_reset_resend_backoff(dws_node_t *node,
				      const dws_address_t *to);
/* Records the congestion that a nested call of an attempt has met. */
void dws_attempt_report_congestion(dws_node_t *node, uint64_t attempt_id,
				   const dws_congestion_report_t *report);
/* Finds a running attempt by the id given to the upstream; NULL if ended. */
dws_attempt_t *dws_attempt_find_running(dws_node_t *node, uint64_t attempt_id);
/* Records that the upstream makes a nested call for an attempt. */
void dws_attempt_nested_begin(dws_node_t *node, dws_attempt_t *attempt,
			      uint64_t request_id);
/* Records the end of a nested call and returns its unused retry tokens. */
void dws_attempt_nested_end(dws_node_t *node, uint64_t attempt_id,
			    uint64_t request_id, uint32_t tokens);
/*
 * Fences an id of another process: its attempt or submitted request is refused
 * if it arrives later. Returns false if the table is full.
 */
bool dws_fence_add(dws_node_t *node, const dws_remote_id_t *remote);
/* True if an id of another process is fenced. */
bool dws_fence_has(dws_node_t *node, const dws_remote_id_t *remote);
/* Maps the name of a kind to a stable number, used by the queues. */
uint32_t dws_kind_id(dws_node_t *node, const char *kind);

/* attempt_index.c: running routed attempts */
/* Orders attempts by deadline, then by id; for node->running_by_deadline. */
gint dws_attempt_compare(gconstpointer a, gconstpointer b, gpointer unused);
/* Adds an attempt to the indexes that find the parent of a call. */
void dws_attempt_index(dws_node_t *node, dws_attempt_t *attempt);
void dws_attempt_unindex(dws_node_t *node, dws_attempt_t *attempt);
/*
 * Finds the running routed attempt whose deadline is nearest to that of a call
 * of the local upstream, as calls mostly have the deadline of the attempt that
 * makes them; NULL if none is near.
 */
const dws_attempt_t *dws_attempt_find_by_deadline(const dws_node_t *node,
						  int64_t deadline_us);
/*
 * Finds the running routed attempt whose id is the prefix of a call's id; NULL
 * if there is none. Upstreams need not form ids like this; if they don't, the
 * attempt is identified by its deadline.
 */
const dws_attempt_t *dws_attempt_find_by_call_key(const dws_node_t *node,
						  const char *call_key);
/*
 * Finds a running routed attempt of a kind whose deadline is no earlier than
 * that of a call; NULL if there is none.
 */
const dws_attempt_t *dws_attempt_find_by_kind(const dws_node_t *node,
					      const char *kind,
					      int64_t deadline_us);

#endif
