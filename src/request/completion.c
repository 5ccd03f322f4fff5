/*
 * Completion of requests: replies, deadlines and cancellation.
 */
#include "connection/reply.h"
#include "request/attempt.h"
#include "request/request.h"
#include "request/trace.h"

/* Lowest HTTP status that counts as an error of the upstream. */
#define STATUS_SERVER_ERROR 500

/* Returns NULL if the request has ended. */
dws_request_t *dws_request_find(dws_node_t *node, uint64_t id)
{
	return g_hash_table_lookup(node->requests, &id);
}

static const char *span_name(const dws_request_t *request)
{
	if (request->from_peer)
		return "home";
	return request->parent_attempt || request->is_nested_call ? "nested"
								  : "entry";
}

/* Adds to a span the data that the routing used, and the age of that data. */
static void add_routing_attributes(dws_node_t *node,
				   const dws_request_t *request,
				   dws_span_t *span)
{
	span->attempt_key = request->attempt_key;
	span->service = request->kind.service;
	span->target_vm = request->target_vm;
	span->overloaded_service = request->congestion.service;
	span->upstreams_reached = request->upstreams_reached;
	span->config_version = request->config_version;
	span->config_age_ms = -1;
	if (node->config_confirmed_us != DWS_NEVER_CONFIRMED)
		span->config_age_ms =
			(node->now_us - node->config_confirmed_us) /
			DWS_US_PER_MS;
	span->list_revision = dws_membership_list_revision(node->membership);
	span->load_age_us = request->load_age_us;
	span->admitted_share = dws_root_throttle_admitted_share(
		&node->root_throttle, node->now_us, request->kind.name);
}

static void write_span(dws_node_t *node, const dws_request_t *request,
		       const dws_result_t *result)
{
	dws_span_t span = {.name = span_name(request),
			   .vm_id = node->settings->vm_id,
			   .kind = request->kind.name,
			   .outcome = dws_outcome_name(result->outcome),
			   .reason = dws_reason_name(result->reason),
			   .start_us = request->start_us,
			   .duration_us = node->now_us - request->start_us,
			   .status = result->status,
			   .hop = (uint16_t)request->context.hop};

	if (request->is_routed)
		add_routing_attributes(node, request, &span);
	dws_trace_id_format(request->context.trace_id, span.trace_id);
	g_snprintf(span.span_id, sizeof(span.span_id),
		   "%016" G_GINT64_MODIFIER "x", request->span_id);
	if (request->context.parent_span)
		g_snprintf(span.parent_id, sizeof(span.parent_id),
			   "%016" G_GINT64_MODIFIER "x",
			   request->context.parent_span);
	node->io->ops->span(node->io, &span);
}

static void count_result(dws_node_t *node, const dws_request_t *request,
			 const dws_result_t *result)
{
	static const dws_counter_t by_outcome[] = {
		[DWS_OUTCOME_COMPLETE] = DWS_COUNT_COMPLETE,
		[DWS_OUTCOME_NOT_RUN] = DWS_COUNT_NOT_RUN,
		[DWS_OUTCOME_UNKNOWN] = DWS_COUNT_UNKNOWN,
	};

	dws_count(node, by_outcome[result->outcome]);
	if (result->reason == DWS_REASON_OVERLOAD)
		dws_count(node, DWS_COUNT_REFUSED_OVERLOAD);
	if (result->reason == DWS_REASON_DOWNSTREAM_OVERLOAD)
		dws_count(node, DWS_COUNT_REFUSED_DOWNSTREAM);
	if (result->reason == DWS_REASON_UPSTREAM_SHED)
		dws_count(node, DWS_COUNT_REFUSED_SHED);
	if (result->reason == DWS_REASON_UPSTREAM_LOST)
		dws_count(node, DWS_COUNT_UPSTREAM_LOST);
	if (result->reason == DWS_REASON_RETRY_BUDGET ||
	    result->reason == DWS_REASON_CUSTOMER_BUDGET)
		dws_count(node, DWS_COUNT_REFUSED_BUDGET);
	dws_counters_observe(&node->counters, DWS_HIST_CALL,
			     node->now_us - request->start_us);
}

/*
 * Replies to the peer that submitted a request. A request reported as NOT_RUN
 * is fenced against later execution; if it can't be, UNKNOWN is reported.
 */
static void reply_to_submitter(dws_node_t *node, dws_request_t *request,
			       const dws_result_t *result)
{
	dws_remote_id_t remote = {.epoch = request->submitter.epoch,
				  .id = request->submit_id};
	dws_reply_t *reply = dws_reply_new(request->submit_id, result->outcome,
					   result->reason);

	if (result->outcome == DWS_OUTCOME_NOT_RUN &&
	    !dws_fence_add(node, &remote))
		reply->outcome = DWS_OUTCOME_UNKNOWN;
	reply->is_submit_reply = true;
	reply->status = result->status;
	reply->content_type = g_strdup(result->content_type);
	reply->body = result->body ? g_bytes_ref(result->body) : NULL;
	reply->unused_retry_tokens = request->context.retry_tokens;
	reply->retry_after_ms = result->retry_after_ms;
	reply->detail = g_strdup(result->detail);
	dws_reply_send(node, &request->submitter, reply);
	dws_reply_free(reply);
	g_hash_table_remove(node->requests_by_submit, &remote);
}

static void answer_caller(dws_node_t *node, const dws_request_t *request,
			  const dws_result_t *result)
{
	char ticket[DWS_TICKET_TEXT_SIZE];
	dws_answer_t answer = {.outcome = result->outcome,
			       .reason = result->reason,
			       .status = result->status,
			       .content_type = result->content_type,
			       .headers = result->headers,
			       .body = result->body,
			       .retry_after_ms = result->retry_after_ms,
			       .detail = result->detail};

	if (!request->is_routed && request->kind.name[0] != '\0' &&
	    !request->kind.idempotent && request->parent_attempt == 0 &&
	    !node->draining &&
	    dws_ledger_size(&node->ledger) < node->ledger.capacity) {
		dws_ticket_issue(&node->ticket_issuer, node->now_us,
				 request->kind.name, ticket);
		dws_count(node, DWS_COUNT_TICKETS);
		answer.next_ticket = ticket;
	}
	dws_trace_id_format(request->context.trace_id, answer.trace_id);
	node->io->ops->answer(node->io, request->id, &answer);
}

/* Answers a caller of the routed listener, with HTTP gateway status codes. */
static void answer_routed(dws_node_t *node, const dws_request_t *request,
			  const dws_result_t *result)
{
	dws_result_t routed =
		dws_result_to_routed_status(node, request, result);

	answer_caller(node, request, &routed);
}

/*
 * True if a result is recorded as a failure of the customer's request, so that
 * the next one counts as a retry. A refusal with NO_TICKET is none, as that is
 * how a caller obtains its ticket.
 */
static bool counts_as_failure(const dws_result_t *result)
{
	return result->outcome != DWS_OUTCOME_COMPLETE &&
	       result->reason != DWS_REASON_NO_TICKET;
}

/* Sends the result at most once; keeps the request in the table. */
void dws_request_send_result(dws_node_t *node, dws_request_t *request,
			     const dws_result_t *result)
{
	if (request->detached)
		return;
	request->detached = true;
	if (request->is_routed)
		dws_request_report_congestion(node, request, result);
	write_span(node, request, result);
	count_result(node, request, result);
	if (!request->from_peer && !request->parent_attempt &&
	    counts_as_failure(result))
		dws_customer_limiter_record_failure(&node->customer_limiter,
						    node->now_us,
						    request->context.customer);
	if (request->from_peer)
		reply_to_submitter(node, request, result);
	else if (request->is_routed)
		answer_routed(node, request, result);
	else
		answer_caller(node, request, result);
	if (request->parent_attempt)
		dws_attempt_nested_end(node, request->parent_attempt,
				       request->id,
				       request->context.retry_tokens);
}

static void record_result(dws_node_t *node, dws_ledger_entry_t *entry,
			  const dws_result_t *result)
{
	if (result->outcome == DWS_OUTCOME_COMPLETE)
		dws_ledger_complete(&node->ledger, entry, result->status,
				    result->content_type, result->body);
	else if (result->outcome == DWS_OUTCOME_UNKNOWN)
		dws_ledger_set_unknown(entry, result->reason);
	else
		dws_ledger_close(&node->ledger, entry, result->reason);
}

/* Records the result in the ledger and settles all joined requests. */
static void settle_entry(dws_node_t *node, const dws_request_t *request,
			 const dws_result_t *result)
{
	dws_ledger_key_t key = {.serial = request->context.root_serial,
				.tree_position =
					request->context.tree_position};
	dws_ledger_entry_t *entry = dws_ledger_find(&node->ledger, &key);

	if (!entry)
		return;
	GArray *waiters = entry->waiters;

	entry->waiters = g_array_new(false, false, sizeof(uint64_t));
	record_result(node, entry, result);
	for (guint i = 0; i < waiters->len; i++) {
		dws_request_t *waiter = dws_request_find(
			node, g_array_index(waiters, uint64_t, i));

		if (waiter)
			dws_request_settle(node, waiter, result);
	}
	g_array_free(waiters, true);
}

static void remove_request(dws_node_t *node, dws_request_t *request)
{
	dws_remote_id_t remote = {.epoch = request->submitter.epoch,
				  .id = request->submit_id};

	dws_request_remove_held(node, request);
	if (request->state == DWS_REQUEST_SENT)
		dws_routing_report_cancel(node->routing, request->target_vm);
	if (request->attempt_id)
		g_hash_table_remove(node->requests_by_attempt,
				    &request->attempt_id);
	if (request->from_peer)
		g_hash_table_remove(node->requests_by_submit, &remote);
	g_hash_table_remove(node->requests, &request->id);
}

/* Sends the result, records it in the ledger and removes the request. */
void dws_request_settle(dws_node_t *node, dws_request_t *request,
			const dws_result_t *result)
{
	if (request->owns_ledger_entry) {
		request->owns_ledger_entry = false;
		settle_entry(node, request, result);
	}
	dws_request_send_result(node, request, result);
	remove_request(node, request);
}

/*
 * Settles a request that has no attempt in progress: as UNKNOWN if an earlier
 * attempt may have run, else as NOT_RUN.
 */
void dws_request_refuse(dws_node_t *node, dws_request_t *request,
			dws_reason_t reason)
{
	dws_result_t result =
		dws_result_refused(request->may_have_run ? DWS_OUTCOME_UNKNOWN
							 : DWS_OUTCOME_NOT_RUN,
				   reason);

	dws_request_settle(node, request, &result);
}

static void complete_request(dws_node_t *node, dws_request_t *request,
			     const dws_reply_t *reply)
{
	dws_result_t result = {.outcome = DWS_OUTCOME_COMPLETE,
			       .reason = DWS_REASON_NONE,
			       .status = reply->status,
			       .content_type = reply->content_type,
			       .headers = reply->headers,
			       .body = reply->body};

	if (request->detached)
		dws_count(node, DWS_COUNT_LATE_ANSWERS);
	dws_request_settle(node, request, &result);
}

/*
 * True if a NOT_RUN reply is not reliable: it may answer a Recall, and this
 * long after the deadline the executing daemon may have discarded its record of
 * the attempt.
 */
static bool is_stale_recall(const dws_node_t *node,
			    const dws_request_t *request)
{
	return request->recall_sent_us != 0 &&
	       node->now_us >
		       request->context.deadline_us + DWS_RECALL_VALID_US;
}

/*
 * Reports success or failure of the endpoint to the routing. Results are not
 * counted if a nested call was refused: the endpoint is not the cause.
 */
static void report_target_result(dws_node_t *node, const dws_request_t *request,
				 const dws_reply_t *reply)
{
	bool answered = reply->outcome == DWS_OUTCOME_COMPLETE;
	bool ran = answered || reply->upstream_reached ||
		   reply->reason == DWS_REASON_UPSTREAM_LOST;

	if (!request->is_routed || !ran || reply->congestion.call_refused)
		return;
	dws_routing_report_result(
		node->routing, node->now_us, request->target_vm,
		!answered || reply->status >= STATUS_SERVER_ERROR);
}

/*
 * True if a daemon refuses attempts whatever its load: it or its upstream is
 * stopping or unreachable, or serves another service. Its load report would
 * make it look idle.
 */
static bool refuses_all_attempts(const dws_reply_t *reply)
{
	return reply->outcome == DWS_OUTCOME_NOT_RUN &&
	       (reply->reason == DWS_REASON_NO_ENDPOINT ||
		reply->reason == DWS_REASON_DRAINING ||
		reply->reason == DWS_REASON_MISDIRECTED);
}

static void on_attempt_reply(dws_node_t *node, dws_request_t *request,
			     const dws_reply_t *reply)
{
	if (reply->is_running) {
		request->recall_sent_us = 0;
		return;
	}
	if (reply->outcome == DWS_OUTCOME_NOT_RUN &&
	    is_stale_recall(node, request))
		return;
	dws_routing_report_response(
		node->routing, node->now_us, request->target_vm,
		refuses_all_attempts(reply) ? NULL : &reply->load);
	report_target_result(node, request, reply);
	node->recheck_held = true;
	dws_congestion_report_merge(&request->congestion, &reply->congestion);
	request->waited_us =
		request->sent_us - request->start_us + reply->queued_us;
	request->state = DWS_REQUEST_DELAYED;
	request->context.retry_tokens +=
		MIN(reply->unused_retry_tokens, request->attempt_retry_tokens);
	if (reply->outcome == DWS_OUTCOME_COMPLETE)
		complete_request(node, request, reply);
	else if (reply->outcome == DWS_OUTCOME_UNKNOWN)
		dws_request_retry_after_loss(node, request, reply->reason);
	else if (request->detached)
		dws_request_refuse(node, request, reply->reason);
	else
		dws_request_reroute(node, request, reply);
}

/* Handles the reply of the home to a request forwarded to it. */
static void on_home_reply(dws_node_t *node, dws_request_t *request,
			  const dws_reply_t *reply)
{
	dws_result_t result = {.outcome = reply->outcome,
			       .reason = reply->reason,
			       .status = reply->status,
			       .content_type = reply->content_type,
			       .body = reply->body,
			       .retry_after_ms = reply->retry_after_ms,
			       .detail = reply->detail};

	if (reply->status == 0)
		result = dws_result_refused(reply->outcome, reply->reason);
	/* Tokens spent on a copy whose reply was lost are not known. */
	request->context.retry_tokens =
		request->submit_count > 1 ? 0
					  : MIN(reply->unused_retry_tokens,
						request->context.retry_tokens);
	dws_request_settle(node, request, &result);
}

/* Handles a reply to an attempt or to a forwarded request. */
void dws_request_on_reply(dws_node_t *node, const dws_origin_t *from,
			  const dws_reply_t *reply)
{
	dws_request_t *request;

	if (reply->is_submit_reply) {
		request = dws_request_find(node, reply->id);
		if (request && request->state == DWS_REQUEST_FORWARDED &&
		    request->context.home_epoch == from->epoch)
			on_home_reply(node, request, reply);
		return;
	}
	request = g_hash_table_lookup(node->requests_by_attempt, &reply->id);
	if (request && request->state == DWS_REQUEST_SENT &&
	    request->attempt_id == reply->id &&
	    g_str_equal(request->target_vm, from->vm_id))
		on_attempt_reply(node, request, reply);
}

/*
 * Handles the deadline of a request. A non-idempotent request that was sent is
 * answered as UNKNOWN but kept, so that a late answer can be processed.
 */
void dws_request_on_deadline(dws_node_t *node, uint64_t id)
{
	dws_request_t *request = dws_request_find(node, id);
	dws_result_t unknown =
		dws_result_refused(DWS_OUTCOME_UNKNOWN, DWS_REASON_DEADLINE);

	if (!request ||
	    (request->detached && request->state == DWS_REQUEST_SENT))
		return;
	switch (request->state) {
	case DWS_REQUEST_DELAYED:
	case DWS_REQUEST_HELD:
		dws_count(node, DWS_COUNT_REFUSED_DEADLINE);
		dws_request_refuse(node, request, DWS_REASON_DEADLINE);
		return;
	case DWS_REQUEST_SENT:
		dws_routing_report_timeout(node->routing, node->now_us,
					   request->target_vm,
					   request->sent_us);
		if (!request->kind.idempotent) {
			dws_request_send_result(node, request, &unknown);
			/* It is never sent again. */
			dws_payload_clear(&request->payload);
			return;
		}
		dws_request_cancel_attempt(node, request);
		dws_request_settle(node, request, &unknown);
		return;
	case DWS_REQUEST_FORWARDED:
	case DWS_REQUEST_JOINED:
		dws_request_settle(node, request, &unknown);
		return;
	}
}

/*
 * Handles the end of a delay, of a backoff, or of the wait before a peer is
 * queried again.
 */
void dws_request_on_route_timer(dws_node_t *node, uint64_t id)
{
	dws_request_t *request = dws_request_find(node, id);

	if (!request)
		return;
	if (request->state == DWS_REQUEST_DELAYED)
		dws_request_route(node, request);
	else if (request->state == DWS_REQUEST_FORWARDED)
		dws_request_submit_to_home(node, request);
	else if (request->state == DWS_REQUEST_SENT &&
		 !request->kind.idempotent &&
		 node->now_us < request->context.deadline_us)
		dws_request_send_recall(node, request);
}

/*
 * Releases a request whose result is no longer awaited. Its home completes it,
 * so that a retry finds the answer; elsewhere its attempt is cancelled.
 */
static void release_request(dws_node_t *node, dws_request_t *request)
{
	if (request->owns_ledger_entry) {
		request->detached = true;
		return;
	}
	/* Non-idempotent work that has started is not stopped by this. */
	dws_request_cancel_attempt(node, request);
	request->detached = true;
	remove_request(node, request);
}

/* Handles a caller that closed its connection. */
void dws_request_on_caller_disconnect(dws_node_t *node, uint64_t id)
{
	dws_request_t *request = dws_request_find(node, id);
	dws_result_t result =
		dws_result_refused(DWS_OUTCOME_UNKNOWN, DWS_REASON_CANCELLED);

	if (!request || request->detached || request->from_peer)
		return;
	write_span(node, request, &result);
	if (request->parent_attempt)
		dws_attempt_nested_end(node, request->parent_attempt,
				       request->id, 0);
	else
		dws_customer_limiter_record_failure(&node->customer_limiter,
						    node->now_us,
						    request->context.customer);
	release_request(node, request);
}

/* Cancels a nested call whose parent has ended, and answers its caller. */
void dws_request_cancel(dws_node_t *node, uint64_t id)
{
	dws_request_t *request = dws_request_find(node, id);
	dws_result_t result =
		dws_result_refused(DWS_OUTCOME_UNKNOWN, DWS_REASON_CANCELLED);

	if (!request || request->detached)
		return;
	dws_request_send_result(node, request, &result);
	release_request(node, request);
}
