/*
 * How requests end: replies, deadlines, cancellation and broken streams.
 */
#include "connection/reply.h"
#include "request/attempt.h"
#include "request/request.h"
#include "request/trace.h"

#define BACKOFF_FIRST_US (20 * DWS_US_PER_MS)
#define BACKOFF_MAX_US (500 * DWS_US_PER_MS)
#define BACKOFF_MAX_SHIFT 5
/* Refusals that are followed by another endpoint at once. */
#define IMMEDIATE_REROUTES 3
/* Statuses from here on are faults of the upstream. */
#define STATUS_SERVER_FAULT 500
#define ASK_AGAIN_US (100 * DWS_US_PER_MS)

/* Finds a request by its id; NULL if it has ended. */
dws_request_t *dws_request_find(dws_node_t *node, uint64_t id)
{
	return g_hash_table_lookup(node->requests, &id);
}

static const char *span_name(const dws_request_t *request)
{
	if (request->from_peer)
		return "home";
	return request->parent_attempt || request->is_call ? "nested" : "entry";
}

/* Adds to a span what decided on a routed request, and how old that was. */
static void describe_decision(dws_node_t *node, const dws_request_t *request,
			      dws_span_t *span)
{
	span->attempt_key = request->attempt_key;
	span->service = request->kind.service;
	span->target_vm = request->target_vm;
	span->crowded = request->crowded;
	span->reached = request->reached;
	span->config_version = request->config_version;
	span->config_age_ms = -1;
	if (node->config_confirmed_us != DWS_NEVER_CONFIRMED)
		span->config_age_ms =
			(node->now_us - node->config_confirmed_us) /
			DWS_US_PER_MS;
	span->list_revision = dws_membership_revision(node->membership);
	span->load_age_us = request->load_age_us;
	span->share = dws_root_gate_share(&node->root_gate, node->now_us,
					  request->kind.name);
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
		describe_decision(node, request, &span);
	dws_trace_text(request->context.trace_id, span.trace_id);
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
	if (result->reason == DWS_REASON_CROWDED_BELOW)
		dws_count(node, DWS_COUNT_REFUSED_CROWDED);
	if (result->reason == DWS_REASON_UPSTREAM_SHED)
		dws_count(node, DWS_COUNT_REFUSED_SHED);
	if (result->reason == DWS_REASON_UPSTREAM_LOST)
		dws_count(node, DWS_COUNT_UPSTREAM_LOST);
	if (result->reason == DWS_REASON_RETRY_BUDGET ||
	    result->reason == DWS_REASON_CUSTOMER_BUDGET)
		dws_count(node, DWS_COUNT_REFUSED_BUDGET);
	dws_counters_time(&node->counters, DWS_HIST_CALL,
			  node->now_us - request->start_us);
}

/* Answers the peer that submitted a request; unrun ones stay unrun. */
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
	reply->to_submit = true;
	reply->status = result->status;
	reply->content_type = g_strdup(result->content_type);
	reply->body = result->body ? g_bytes_ref(result->body) : NULL;
	reply->tokens = request->context.tokens;
	reply->retry_after_ms = result->retry_after_ms;
	reply->detail = g_strdup(result->detail);
	dws_reply_send(node, &request->submitter, reply);
	dws_reply_free(reply);
	g_hash_table_remove(node->submits, &remote);
}

static void answer_caller(dws_node_t *node, const dws_request_t *request,
			  const dws_result_t *result)
{
	char ticket[DWS_TICKET_TEXT_SIZE];
	gsize size_bytes = 0;
	dws_answer_t answer = {.outcome = result->outcome,
			       .reason = result->reason,
			       .status = result->status,
			       .content_type = result->content_type,
			       .headers = result->headers,
			       .retry_after_ms = result->retry_after_ms,
			       .detail = result->detail};

	if (result->body)
		answer.body = g_bytes_get_data(result->body, &size_bytes);
	answer.body_size_bytes = size_bytes;
	if (!request->is_routed && request->kind.name[0] != '\0' &&
	    !request->kind.idempotent && request->parent_attempt == 0 &&
	    !node->draining &&
	    dws_ledger_size(&node->ledger) < node->ledger.capacity) {
		dws_ticket_write(&node->mint, node->now_us, request->kind.name,
				 ticket);
		dws_count(node, DWS_COUNT_TICKETS);
		answer.next_ticket = ticket;
	}
	dws_trace_text(request->context.trace_id, answer.trace_id);
	node->io->ops->answer(node->io, request->id, &answer);
}

/* Answers a caller of the routed listener, in its terms. */
static void answer_routed(dws_node_t *node, const dws_request_t *request,
			  const dws_result_t *result)
{
	dws_result_t routed = dws_result_routed(node, request, result);

	answer_caller(node, request, &routed);
}

/* A customer who asks again after such an end is retrying. */
static bool is_failure(const dws_result_t *result)
{
	return result->outcome != DWS_OUTCOME_COMPLETE &&
	       result->reason != DWS_REASON_NO_TICKET;
}

/* Answers whoever waits for the request, once; the request stays. */
void dws_request_deliver(dws_node_t *node, dws_request_t *request,
			 const dws_result_t *result)
{
	if (request->detached)
		return;
	request->detached = true;
	if (request->is_routed)
		dws_request_tell_crowded(node, request, result);
	write_span(node, request, result);
	count_result(node, request, result);
	if (!request->from_peer && !request->parent_attempt &&
	    is_failure(result))
		dws_customers_failed(&node->customers, node->now_us,
				     request->context.customer);
	if (request->from_peer)
		reply_to_submitter(node, request, result);
	else if (request->is_routed)
		answer_routed(node, request, result);
	else
		answer_caller(node, request, result);
	if (request->parent_attempt)
		dws_attempt_nested_end(node, request->parent_attempt,
				       request->id, request->context.tokens);
}

static void record(dws_node_t *node, dws_ledger_entry_t *entry,
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

/* Settles the ledger entry of a request and all that joined it. */
static void settle_entry(dws_node_t *node, const dws_request_t *request,
			 const dws_result_t *result)
{
	dws_ledger_key_t key = {.serial = request->context.root_serial,
				.place = request->context.place};
	dws_ledger_entry_t *entry = dws_ledger_find(&node->ledger, &key);

	if (!entry)
		return;
	GArray *waiters = entry->waiters;

	entry->waiters = g_array_new(false, false, sizeof(uint64_t));
	record(node, entry, result);
	for (guint i = 0; i < waiters->len; i++) {
		dws_request_t *waiter = dws_request_find(
			node, g_array_index(waiters, uint64_t, i));

		if (waiter)
			dws_request_settle(node, waiter, result);
	}
	g_array_free(waiters, true);
}

static void drop(dws_node_t *node, dws_request_t *request)
{
	dws_remote_id_t remote = {.epoch = request->submitter.epoch,
				  .id = request->submit_id};

	dws_request_unhold(node, request);
	if (request->state == DWS_REQUEST_SENT)
		dws_routing_cancelled(node->routing, request->target_vm);
	if (request->attempt_id)
		g_hash_table_remove(node->sent, &request->attempt_id);
	if (request->from_peer)
		g_hash_table_remove(node->submits, &remote);
	g_hash_table_remove(node->requests, &request->id);
}

/* Answers whoever waits and ends the request, its ledger entry included. */
void dws_request_settle(dws_node_t *node, dws_request_t *request,
			const dws_result_t *result)
{
	if (request->is_home) {
		request->is_home = false;
		settle_entry(node, request, result);
	}
	dws_request_deliver(node, request, result);
	drop(node, request);
}

/* Ends a request of which no attempt is out. */
void dws_request_refuse(dws_node_t *node, dws_request_t *request,
			dws_reason_t reason)
{
	dws_result_t result =
		dws_result_refused(request->may_have_run ? DWS_OUTCOME_UNKNOWN
							 : DWS_OUTCOME_NOT_RUN,
				   reason);

	dws_request_settle(node, request, &result);
}

static int64_t backoff_us(dws_node_t *node, const dws_request_t *request)
{
	uint32_t shift = MIN(request->refusals, BACKOFF_MAX_SHIFT);
	int64_t delay_us = MIN(BACKOFF_FIRST_US << shift, BACKOFF_MAX_US);

	return (int64_t)(delay_us *
			 g_rand_double_range(node->random, 0.5, 1.5));
}

static void exclude(dws_request_t *request)
{
	g_ptr_array_add(request->excluded, g_strdup(request->target_vm));
}

static bool is_final_refusal(dws_reason_t reason)
{
	return reason == DWS_REASON_DEADLINE || reason == DWS_REASON_TOO_DEEP ||
	       reason == DWS_REASON_BAD_REQUEST;
}

/*
 * Whether a routed request may be offered once more: it has patience left,
 * and if an upstream was asked, the shared retry budget allows another.
 */
static bool may_reroute_routed(dws_node_t *node, dws_request_t *request,
			       const dws_reply_t *reply)
{
	if (!request->is_routed)
		return true;
	if (reply->reached)
		return dws_request_may_repeat(node, request, false);
	return dws_request_patience_us(node, request) > 0;
}

/* Looks for another endpoint after a refusal; nothing was run. */
static void reroute(dws_node_t *node, dws_request_t *request,
		    const dws_reply_t *reply)
{
	dws_reason_t reason = reply->reason;

	request->refusals++;
	request->recalled_us = 0;
	if (is_final_refusal(reason) ||
	    !may_reroute_routed(node, request, reply)) {
		dws_request_refuse(node, request, reason);
		return;
	}
	if (reason != DWS_REASON_OVERLOAD) {
		exclude(request);
		if (request->refusals <= IMMEDIATE_REROUTES) {
			dws_request_route(node, request);
			return;
		}
	}
	dws_request_delay(node, request, backoff_us(node, request));
}

/* Takes what one more execution of a request costs; false if it can't. */
static bool take_repeat(dws_node_t *node, dws_request_t *request)
{
	if (request->is_routed)
		return dws_request_may_repeat(node, request, true);
	if (request->context.tokens == 0)
		return false;
	request->context.tokens--;
	return true;
}

/* Sends a request that may have run to another endpoint. */
static void repeat_elsewhere(dws_node_t *node, dws_request_t *request,
			     dws_reason_t reason)
{
	dws_node_log(node, DWS_LOG_INFO, "retry",
		     "id=%s service=%s lost_at=%s reason=%s reached=%u",
		     request->is_routed ? request->attempt_key : "",
		     request->kind.service, request->target_vm,
		     dws_reason_name(reason), request->reached);
	request->context.retried = true;
	exclude(request);
	dws_request_route(node, request);
}

/*
 * Tries idempotent work again whose answer was lost, if the retry budget
 * allows; the tokens that the lost attempt held are lost with it.
 */
static void retry_lost(dws_node_t *node, dws_request_t *request,
		       dws_reason_t reason)
{
	request->may_have_run = true;
	if (request->kind.idempotent && reason != DWS_REASON_DEADLINE &&
	    take_repeat(node, request))
		repeat_elsewhere(node, request, reason);
	else
		dws_request_refuse(node, request, reason);
}

static void settle_complete(dws_node_t *node, dws_request_t *request,
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
 * True if "not run" can't be believed: it may answer a Recall, and so long
 * after the deadline the executor may have forgotten what it ran.
 */
static bool is_stale_recall(const dws_node_t *node,
			    const dws_request_t *request)
{
	return request->recalled_us != 0 &&
	       node->now_us >
		       request->context.deadline_us + DWS_RECALL_TRUST_US;
}

/*
 * Tells the routing how the endpoint did. What failed because of a crowded
 * service below is not held against it.
 */
static void judge_target(dws_node_t *node, const dws_request_t *request,
			 const dws_reply_t *reply)
{
	bool answered = reply->outcome == DWS_OUTCOME_COMPLETE;
	bool ran = answered || reply->reached ||
		   reply->reason == DWS_REASON_UPSTREAM_LOST;

	if (!request->is_routed || !ran || reply->crowded[0])
		return;
	dws_routing_judged(node->routing, node->now_us, request->target_vm,
			   !answered || reply->status >= STATUS_SERVER_FAULT);
}

static void on_attempt_reply(dws_node_t *node, dws_request_t *request,
			     const dws_reply_t *reply)
{
	if (reply->is_running) {
		request->recalled_us = 0;
		return;
	}
	if (reply->outcome == DWS_OUTCOME_NOT_RUN &&
	    is_stale_recall(node, request))
		return;
	dws_routing_ended(node->routing, node->now_us, request->target_vm,
			  &reply->load);
	judge_target(node, request, reply);
	node->holds_dirty = true;
	if (reply->crowded[0])
		g_strlcpy(request->crowded, reply->crowded,
			  sizeof(request->crowded));
	request->state = DWS_REQUEST_DELAYED;
	request->context.tokens += MIN(reply->tokens, request->attempt_tokens);
	if (reply->outcome == DWS_OUTCOME_COMPLETE)
		settle_complete(node, request, reply);
	else if (reply->outcome == DWS_OUTCOME_UNKNOWN)
		retry_lost(node, request, reply->reason);
	else if (request->detached)
		dws_request_refuse(node, request, reply->reason);
	else
		reroute(node, request, reply);
}

/* The home has decided on a request that this daemon forwarded to it. */
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
	/* Tokens spent for a copy whose reply was lost can't be told. */
	request->context.tokens =
		request->submits > 1
			? 0
			: MIN(reply->tokens, request->context.tokens);
	dws_request_settle(node, request, &result);
}

/* Takes a reply to an attempt or to a forwarded request. */
void dws_request_on_reply(dws_node_t *node, const dws_origin_t *from,
			  const dws_reply_t *reply)
{
	dws_request_t *request;

	if (reply->to_submit) {
		request = dws_request_find(node, reply->id);
		if (request && request->state == DWS_REQUEST_FORWARDED &&
		    request->context.home_epoch == from->epoch)
			on_home_reply(node, request, reply);
		return;
	}
	request = g_hash_table_lookup(node->sent, &reply->id);
	if (request && request->state == DWS_REQUEST_SENT &&
	    request->attempt_id == reply->id &&
	    g_str_equal(request->target_vm, from->vm_id))
		on_attempt_reply(node, request, reply);
}

/* Ends the wait of a request whose time is over. */
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
		dws_routing_timed_out(node->routing, node->now_us,
				      request->target_vm, request->sent_us);
		if (!request->kind.idempotent) {
			dws_request_deliver(node, request, &unknown);
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

/* A delay, a backoff or the pause before asking a peer again is over. */
void dws_request_on_route_timer(dws_node_t *node, uint64_t id)
{
	dws_request_t *request = dws_request_find(node, id);

	if (!request)
		return;
	if (request->state == DWS_REQUEST_DELAYED)
		dws_request_route(node, request);
	else if (request->state == DWS_REQUEST_FORWARDED)
		dws_request_forward(node, request);
	else if (request->state == DWS_REQUEST_SENT &&
		 !request->kind.idempotent &&
		 node->now_us < request->context.deadline_us)
		dws_request_recall(node, request);
}

/*
 * Nobody waits for the request any more. Idempotent work is cancelled; a
 * home goes on, so that a retry finds the answer.
 */
static void abandon(dws_node_t *node, dws_request_t *request)
{
	if (request->is_home) {
		request->detached = true;
		return;
	}
	/* The executor lets other work that has started run on. */
	dws_request_cancel_attempt(node, request);
	request->detached = true;
	drop(node, request);
}

/* The caller hung up. */
void dws_request_caller_gone(dws_node_t *node, uint64_t id)
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
		dws_customers_failed(&node->customers, node->now_us,
				     request->context.customer);
	abandon(node, request);
}

/* Ends a nested call whose parent has ended: its caller is answered. */
void dws_request_cancel(dws_node_t *node, uint64_t id)
{
	dws_request_t *request = dws_request_find(node, id);
	dws_result_t result =
		dws_result_refused(DWS_OUTCOME_UNKNOWN, DWS_REASON_CANCELLED);

	if (!request || request->detached)
		return;
	dws_request_deliver(node, request, &result);
	abandon(node, request);
}

static void on_stream_lost(dws_node_t *node, dws_request_t *request)
{
	dws_timer_t timer = {.due_us = node->now_us + ASK_AGAIN_US,
			     .kind = DWS_TIMER_REQUEST_ROUTE,
			     .id = request->id};

	if (request->state == DWS_REQUEST_SENT && request->kind.idempotent) {
		request->may_have_run = true;
		/* The answer comes on the executor's own stream, if it does. */
		if (!take_repeat(node, request))
			return;
		dws_routing_ended(node->routing, node->now_us,
				  request->target_vm, NULL);
		request->state = DWS_REQUEST_DELAYED;
		repeat_elsewhere(node, request, DWS_REASON_UPSTREAM_LOST);
		return;
	}
	request->may_be_sent = true;
	dws_timers_add(&node->timers, &timer);
}

/* Nothing reached the peer: an attempt that went there did not run. */
static void on_stream_unsent(dws_node_t *node, dws_request_t *request)
{
	static const dws_reply_t not_run = {
		.outcome = DWS_OUTCOME_NOT_RUN,
		.reason = DWS_REASON_NO_ENDPOINT,
	};

	if (request->state != DWS_REQUEST_SENT || request->may_be_sent) {
		on_stream_lost(node, request);
		return;
	}
	dws_routing_ended(node->routing, node->now_us, request->target_vm,
			  NULL);
	request->state = DWS_REQUEST_DELAYED;
	if (request->detached)
		dws_request_refuse(node, request, not_run.reason);
	else
		reroute(node, request, &not_run);
}

static bool is_affected(const dws_request_t *request, const dws_address_t *to)
{
	return (request->state == DWS_REQUEST_SENT ||
		request->state == DWS_REQUEST_FORWARDED) &&
	       dws_address_equal(&request->target, to);
}

/* Calls a function for the requests that wait for a peer. */
static void for_each_at(dws_node_t *node, const dws_address_t *at,
			void (*function)(dws_node_t *, dws_request_t *))
{
	GHashTableIter iter;
	gpointer value;
	GArray *ids = g_array_new(false, false, sizeof(uint64_t));

	g_hash_table_iter_init(&iter, node->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dws_request_t *request = value;

		if (is_affected(request, at))
			g_array_append_val(ids, request->id);
	}
	for (guint i = 0; i < ids->len; i++) {
		dws_request_t *request =
			dws_request_find(node, g_array_index(ids, uint64_t, i));

		if (request && is_affected(request, at))
			function(node, request);
	}
	g_array_free(ids, true);
}

/* What was sent on the stream to a peer may be lost. */
void dws_request_stream_lost(dws_node_t *node, const dws_address_t *to,
			     bool unsent)
{
	for_each_at(node, to, unsent ? on_stream_unsent : on_stream_lost);
}

/* The process that a request was sent to is gone for good. */
static void on_replaced(dws_node_t *node, dws_request_t *request)
{
	if (request->state == DWS_REQUEST_SENT) {
		dws_routing_ended(node->routing, node->now_us,
				  request->target_vm, NULL);
		request->state = DWS_REQUEST_DELAYED;
		retry_lost(node, request, DWS_REASON_UPSTREAM_LOST);
		return;
	}
	request->may_have_run = true;
	dws_request_refuse(node, request, DWS_REASON_HOME_UNREACHABLE);
}

static void if_replaced(dws_node_t *node, dws_request_t *request)
{
	const dws_member_t *member = dws_membership_find(
		node->membership, request->state == DWS_REQUEST_SENT
					  ? request->target_vm
					  : request->context.home_vm);

	if (member && member->epoch != 0 && request->target_epoch != 0 &&
	    member->epoch != request->target_epoch)
		on_replaced(node, request);
}

static void if_dead(dws_node_t *node, dws_request_t *request)
{
	if (request->state == DWS_REQUEST_SENT && request->kind.idempotent)
		on_stream_lost(node, request);
}

/* A member's process or state changed. */
void dws_request_member_changed(dws_node_t *node, const dws_member_t *member)
{
	for_each_at(node, &member->frame, if_replaced);
	if (member->state == DWS_MEMBER_DEAD)
		for_each_at(node, &member->frame, if_dead);
	node->holds_dirty = true;
}
