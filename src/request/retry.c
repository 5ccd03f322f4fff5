/*
 * Further attempts of a request: after a refusal, a lost answer, a lost stream,
 * or the end of the process that received it.
 */
#include "connection/address.h"
#include "request/request.h"

#define BACKOFF_FIRST_US (20 * DWS_US_PER_MS)
#define BACKOFF_MAX_US (500 * DWS_US_PER_MS)
#define BACKOFF_MAX_SHIFT 5
/* Refusals after which another endpoint is tried without a backoff. */
#define IMMEDIATE_REROUTES 3
/* Delay after the loss of a stream before the peer is queried again. */
#define PEER_RETRY_DELAY_US (100 * DWS_US_PER_MS)

static int64_t backoff_us(dws_node_t *node, const dws_request_t *request)
{
	uint32_t shift = MIN(request->consecutive_refusals, BACKOFF_MAX_SHIFT);
	int64_t delay_us = MIN(BACKOFF_FIRST_US << shift, BACKOFF_MAX_US);

	return (int64_t)(delay_us *
			 g_rand_double_range(node->random, 0.5, 1.5));
}

static void exclude_target(dws_request_t *request)
{
	g_ptr_array_add(request->excluded, g_strdup(request->target_vm));
}

static bool is_permanent_refusal(dws_reason_t reason)
{
	return reason == DWS_REASON_DEADLINE || reason == DWS_REASON_TOO_DEEP ||
	       reason == DWS_REASON_BAD_REQUEST;
}

/*
 * True if a refused routed request may be sent to another endpoint. If an
 * upstream was reached, this takes a retry from the shared budget; else the
 * time for which the request may wait unsent must not be used up.
 */
static bool can_reroute_routed(dws_node_t *node, dws_request_t *request,
			       const dws_reply_t *reply)
{
	if (!request->is_routed)
		return true;
	if (reply->upstream_reached)
		return dws_request_take_retry(node, request, false);
	return dws_request_wait_left_us(node, request) > 0;
}

/*
 * Selects another endpoint after a refusal without execution, at once or
 * after a backoff.
 */
void dws_request_reroute(dws_node_t *node, dws_request_t *request,
			 const dws_reply_t *reply)
{
	dws_reason_t reason = reply->reason;

	request->consecutive_refusals++;
	request->recall_sent_us = 0;
	if (is_permanent_refusal(reason) ||
	    !can_reroute_routed(node, request, reply)) {
		dws_request_refuse(node, request, reason);
		return;
	}
	if (reason != DWS_REASON_OVERLOAD) {
		exclude_target(request);
		if (request->consecutive_refusals <= IMMEDIATE_REROUTES) {
			dws_request_route(node, request);
			return;
		}
	}
	dws_request_delay(node, request, backoff_us(node, request));
}

/* Charges the retry budget for one more execution; false if exhausted. */
static bool take_retry(dws_node_t *node, dws_request_t *request)
{
	if (request->is_routed)
		return dws_request_take_retry(node, request, true);
	if (request->context.retry_tokens == 0)
		return false;
	request->context.retry_tokens--;
	return true;
}

/* Retries a request that may have run, at another endpoint. */
static void retry_elsewhere(dws_node_t *node, dws_request_t *request,
			    dws_reason_t reason)
{
	dws_node_log(node, DWS_LOG_INFO, "retry",
		     "id=%s service=%s lost_at=%s reason=%s reached=%u",
		     request->is_routed ? request->attempt_key : "",
		     request->kind.service, request->target_vm,
		     dws_reason_name(reason), request->upstreams_reached);
	request->context.retried = true;
	exclude_target(request);
	dws_request_route(node, request);
}

/*
 * Retries an idempotent request after its answer was lost, if the retry budget
 * allows. The retry tokens given to the lost attempt are not recovered.
 */
void dws_request_retry_after_loss(dws_node_t *node, dws_request_t *request,
				  dws_reason_t reason)
{
	request->may_have_run = true;
	if (request->kind.idempotent && reason != DWS_REASON_DEADLINE &&
	    take_retry(node, request))
		retry_elsewhere(node, request, reason);
	else
		dws_request_refuse(node, request, reason);
}

static void on_stream_lost(dws_node_t *node, dws_request_t *request)
{
	dws_timer_t timer = {.due_us = node->now_us + PEER_RETRY_DELAY_US,
			     .kind = DWS_TIMER_REQUEST_ROUTE,
			     .id = request->id};

	if (request->state == DWS_REQUEST_SENT && request->kind.idempotent) {
		request->may_have_run = true;
		if (!take_retry(node, request)) {
			/* The answer may still come on the peer's stream. */
			request->may_be_delivered = true;
			return;
		}
		dws_routing_report_response(node->routing, node->now_us,
					    request->target_vm, NULL);
		request->state = DWS_REQUEST_DELAYED;
		retry_elsewhere(node, request, DWS_REASON_UPSTREAM_LOST);
		return;
	}
	request->may_be_delivered = true;
	dws_timers_add(&node->timers, &timer);
}

/*
 * Handles a stream that was lost before the peer received anything: an attempt
 * sent on it did not run.
 */
static void on_stream_unsent(dws_node_t *node, dws_request_t *request)
{
	static const dws_reply_t not_run = {
		.outcome = DWS_OUTCOME_NOT_RUN,
		.reason = DWS_REASON_NO_ENDPOINT,
	};

	if (request->state != DWS_REQUEST_SENT || request->may_be_delivered) {
		on_stream_lost(node, request);
		return;
	}
	dws_routing_report_response(node->routing, node->now_us,
				    request->target_vm, NULL);
	request->state = DWS_REQUEST_DELAYED;
	if (request->detached)
		dws_request_refuse(node, request, not_run.reason);
	else
		dws_request_reroute(node, request, &not_run);
}

static bool waits_for_peer(const dws_request_t *request,
			   const dws_address_t *peer)
{
	return (request->state == DWS_REQUEST_SENT ||
		request->state == DWS_REQUEST_FORWARDED) &&
	       dws_address_equal(&request->target, peer);
}

/*
 * Calls a function for each request that waits for a peer. The ids are copied
 * first, as the function may add and remove requests.
 */
static void for_each_waiting(dws_node_t *node, const dws_address_t *peer,
			     void (*function)(dws_node_t *, dws_request_t *))
{
	GHashTableIter iter;
	gpointer value;
	GArray *ids = g_array_new(false, false, sizeof(uint64_t));

	g_hash_table_iter_init(&iter, node->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dws_request_t *request = value;

		if (waits_for_peer(request, peer))
			g_array_append_val(ids, request->id);
	}
	for (guint i = 0; i < ids->len; i++) {
		dws_request_t *request =
			dws_request_find(node, g_array_index(ids, uint64_t, i));

		if (request && waits_for_peer(request, peer))
			function(node, request);
	}
	g_array_free(ids, true);
}

/* Handles a lost stream; unsent: the peer received nothing. */
void dws_request_on_stream_lost(dws_node_t *node, const dws_address_t *to,
				bool unsent)
{
	for_each_waiting(node, to, unsent ? on_stream_unsent : on_stream_lost);
}

/* Handles a request whose receiving process has been replaced. */
static void on_process_replaced(dws_node_t *node, dws_request_t *request)
{
	if (request->state == DWS_REQUEST_SENT) {
		dws_routing_report_response(node->routing, node->now_us,
					    request->target_vm, NULL);
		request->state = DWS_REQUEST_DELAYED;
		dws_request_retry_after_loss(node, request,
					     DWS_REASON_UPSTREAM_LOST);
		return;
	}
	request->may_have_run = true;
	dws_request_refuse(node, request, DWS_REASON_HOME_UNREACHABLE);
}

static void check_replaced(dws_node_t *node, dws_request_t *request)
{
	const dws_member_t *member = dws_membership_find(
		node->membership, request->state == DWS_REQUEST_SENT
					  ? request->target_vm
					  : request->context.home_vm);

	if (member && member->epoch != 0 && request->target_epoch != 0 &&
	    member->epoch != request->target_epoch)
		on_process_replaced(node, request);
}

static void check_dead(dws_node_t *node, dws_request_t *request)
{
	if (request->state == DWS_REQUEST_SENT && request->kind.idempotent)
		on_stream_lost(node, request);
}

/* Handles a change of a member's process or state. */
void dws_request_on_member_changed(dws_node_t *node, const dws_member_t *member)
{
	for_each_waiting(node, &member->frame, check_replaced);
	if (member->state == DWS_MEMBER_DEAD)
		for_each_waiting(node, &member->frame, check_dead);
	node->recheck_held = true;
}
