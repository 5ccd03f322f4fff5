/*
 * Routing of requests: selection of an endpoint, queuing until an endpoint has
 * capacity, and forwarding of non-idempotent requests to their home.
 */
#include "connection/envelope.h"
#include "request/attempt.h"
#include "request/request.h"

/* Subtracted from the time left at each hop, so that replies are in time. */
#define HOP_MARGIN_DIVISOR 20
#define HOP_MARGIN_MIN_US (1 * DWS_US_PER_MS)
#define HOP_MARGIN_MAX_US (25 * DWS_US_PER_MS)

/* Finds or creates the queue of held requests for a service. */
static dws_queue_t *get_held_queue(dws_node_t *node, const char *service)
{
	dws_queue_t *queue = g_hash_table_lookup(node->held_queues, service);

	if (!queue) {
		queue = dws_queue_new(node->settings->max_held);
		g_hash_table_insert(node->held_queues, g_strdup(service),
				    queue);
	}
	return queue;
}

/* Removes a request from the queue in which it is held, if any. */
void dws_request_remove_held(dws_node_t *node, dws_request_t *request)
{
	if (request->state == DWS_REQUEST_HELD)
		dws_queue_remove(get_held_queue(node, request->kind.service),
				 request->id);
}

/* Routes a request after a delay. */
void dws_request_delay(dws_node_t *node, dws_request_t *request,
		       int64_t delay_us)
{
	dws_timer_t timer = {.due_us = node->now_us + delay_us,
			     .kind = DWS_TIMER_REQUEST_ROUTE,
			     .id = request->id};

	request->state = DWS_REQUEST_DELAYED;
	dws_timers_add(&node->timers, &timer);
}

/*
 * Holds a request until an endpoint has capacity. If the queue is full, either
 * this request or a held one that it displaces is refused.
 */
static void hold_request(dws_node_t *node, dws_request_t *request)
{
	uint64_t displaced = 0;
	dws_queue_item_t item = {
		.id = request->id,
		.kind = dws_kind_id(node, request->context.root_kind),
		.priority = request->kind.priority,
		.weight = request->context.root_worth,
		.enqueued_us = node->now_us,
		.deadline_us = request->context.deadline_us,
		.root_started_us = dws_context_root_start(&request->context),
	};

	if (!dws_queue_push(get_held_queue(node, request->kind.service), &item,
			    &displaced)) {
		dws_request_refuse(node, request, DWS_REASON_OVERLOAD);
		return;
	}
	request->state = DWS_REQUEST_HELD;
	request->hold_started_us = node->now_us;
	node->recheck_held = true;
	dws_request_t *refused =
		displaced ? dws_request_find(node, displaced) : NULL;

	if (refused) {
		refused->state = DWS_REQUEST_DELAYED;
		dws_request_refuse(node, refused, DWS_REASON_OVERLOAD);
	}
}

static int64_t hop_margin_us(int64_t remaining_us)
{
	return CLAMP(remaining_us / HOP_MARGIN_DIVISOR, HOP_MARGIN_MIN_US,
		     HOP_MARGIN_MAX_US);
}

/* The context of an attempt: an earlier deadline, its share of retry tokens. */
static dws_context_t attempt_context(const dws_node_t *node,
				     const dws_request_t *request)
{
	dws_context_t context = request->context;

	context.deadline_us -=
		hop_margin_us(context.deadline_us - node->now_us);
	context.parent_span = request->span_id;
	context.retry_tokens = request->attempt_retry_tokens;
	return context;
}

static void send_to_self(dws_node_t *node, dws_request_t *request)
{
	dws_origin_t self = {.epoch = node->epoch,
			     .frame = node->settings->frame_listen};
	dws_attempt_request_t attempt_request = {
		.remote = {.epoch = node->epoch, .id = request->attempt_id},
		.origin = &self,
		.is_local = true,
		.kind = request->kind.name,
		.priority = request->kind.priority,
		.idempotent = request->kind.idempotent,
		.is_routed = request->is_routed,
		.service = request->kind.service,
		.attempt_key = request->attempt_key,
		.max_wait_us = dws_request_wait_left_us(node, request),
		.context = attempt_context(node, request)};

	g_strlcpy(self.vm_id, node->settings->vm_id, sizeof(self.vm_id));
	dws_payload_copy(&attempt_request.payload, &request->payload);
	dws_attempt_accept(node, &attempt_request);
}

static void send_to_peer(dws_node_t *node, dws_request_t *request)
{
	Dws__Envelope envelope = DWS__ENVELOPE__INIT;
	Dws__Execute execute = DWS__EXECUTE__INIT;
	Dws__Context wire_context;
	Dws__Request wire_request;
	dws_context_t context = attempt_context(node, request);

	dws_context_to_wire(node, &context, &wire_context);
	dws_payload_to_wire(&request->payload, &wire_request);
	wire_request.kind = request->kind.name;
	if (request->is_routed) {
		wire_request.service = request->kind.service;
		wire_request.attempt_key = request->attempt_key;
		wire_request.max_wait_us =
			(uint32_t)dws_request_wait_left_us(node, request);
	}
	execute.attempt_id = request->attempt_id;
	execute.context = &wire_context;
	execute.request = &wire_request;
	execute.idempotent = request->kind.idempotent;
	execute.priority = request->kind.priority;
	envelope.body_case = DWS__ENVELOPE__BODY_EXECUTE;
	envelope.execute = &execute;
	dws_envelope_send(node, &request->target, request->target_epoch,
			  &envelope, request->payload.body);
}

/*
 * Records the age of the load report by which the endpoint was selected, and
 * returns it; -1 if there was none.
 */
static int64_t record_load_age(dws_node_t *node, const char *vm_id)
{
	int64_t age_us =
		dws_routing_load_age_us(node->routing, node->now_us, vm_id);

	if (age_us >= 0)
		dws_counters_observe(&node->counters, DWS_HIST_LOAD_AGE,
				     age_us);
	return age_us;
}

/* Sends a request to the chosen endpoint as a new attempt. */
static void send(dws_node_t *node, dws_request_t *request,
		 const dws_member_t *member)
{
	if (request->hold_started_us) {
		dws_count(node, DWS_COUNT_HELD);
		dws_counters_observe(&node->counters, DWS_HIST_HOLD,
				     node->now_us - request->hold_started_us);
		request->hold_started_us = 0;
	}
	if (request->attempt_id) {
		dws_count(node, DWS_COUNT_RETRIES);
		g_hash_table_remove(node->requests_by_attempt,
				    &request->attempt_id);
	}
	dws_count(node, DWS_COUNT_ATTEMPTS);
	request->load_age_us = record_load_age(node, member->vm_id);
	request->state = DWS_REQUEST_SENT;
	request->attempt_id = dws_node_next_id(node);
	g_hash_table_insert(node->requests_by_attempt, &request->attempt_id,
			    request);
	request->attempt_retry_tokens = request->context.retry_tokens / 2;
	request->context.retry_tokens -= request->attempt_retry_tokens;
	g_strlcpy(request->target_vm, member->vm_id,
		  sizeof(request->target_vm));
	request->target_epoch = member->epoch;
	request->target = member->frame;
	request->sent_us = node->now_us;
	dws_routing_report_sent(node->routing, node->now_us, member->vm_id);
	if (member->epoch == node->epoch)
		send_to_self(node, request);
	else
		send_to_peer(node, request);
}

/* Selects an endpoint, also one whose epoch is not known. */
static const dws_member_t *select_endpoint(dws_node_t *node,
					   const dws_request_t *request)
{
	const dws_member_t *member = NULL;
	dws_routing_call_t call = {
		.service = request->kind.service,
		.priority = request->kind.priority,
		.excluded = request->excluded,
		.objective_us = request->objective_ms * DWS_US_PER_MS,
	};

	if (dws_routing_pick(node->routing, node->now_us, &call, &member) !=
	    DWS_ROUTING_FOUND)
		return NULL;
	return member;
}

/*
 * Selects an endpoint with capacity for a request; NULL if the request has to
 * be held. A non-idempotent request is sent only to a process of known epoch,
 * as a Recall can't be addressed to any other.
 */
static const dws_member_t *find_endpoint(dws_node_t *node,
					 dws_request_t *request)
{
	const dws_member_t *member;

	if (!dws_node_accepts_work(node))
		return NULL;
	member = select_endpoint(node, request);
	if (!member || request->kind.idempotent || member->epoch != 0)
		return member;
	char *unknown_vm = g_strdup(member->vm_id);

	dws_membership_resolve_epoch(node->membership, node->now_us,
				     unknown_vm);
	g_ptr_array_add(request->excluded, unknown_vm);
	member = select_endpoint(node, request);
	g_ptr_array_remove(request->excluded, unknown_vm);
	return member && member->epoch != 0 ? member : NULL;
}

/*
 * Sends a request to an endpoint with capacity, or holds it. It is held, too,
 * while other requests of its service are, to preserve the queue's order.
 */
void dws_request_route(dws_node_t *node, dws_request_t *request)
{
	dws_queue_t *queue = get_held_queue(node, request->kind.service);
	const dws_member_t *member = NULL;

	if (dws_queue_length(queue) == 0)
		member = find_endpoint(node, request);
	if (member)
		send(node, request, member);
	else
		hold_request(node, request);
}

/* Sends the held requests of one service until no endpoint has capacity. */
static void send_held_queue(dws_node_t *node, dws_queue_t *queue)
{
	dws_queue_item_t item;

	while (dws_queue_peek(queue, &item)) {
		dws_request_t *request = dws_request_find(node, item.id);
		const dws_member_t *member =
			request ? find_endpoint(node, request) : NULL;

		if (request && !member)
			return;
		dws_queue_pop(queue, &item);
		if (request)
			send(node, request, member);
	}
}

/* Sends held requests while endpoints have capacity. */
void dws_request_send_held(dws_node_t *node)
{
	GHashTableIter iter;
	gpointer queue;

	g_hash_table_iter_init(&iter, node->held_queues);
	while (g_hash_table_iter_next(&iter, NULL, &queue))
		send_held_queue(node, queue);
}

/* Time at which held requests are to be routed again, or DWS_NEVER_US. */
int64_t dws_request_held_due_us(dws_node_t *node)
{
	GHashTableIter iter;
	gpointer service;
	gpointer queue;
	int64_t due_us = DWS_NEVER_US;

	g_hash_table_iter_init(&iter, node->held_queues);
	while (g_hash_table_iter_next(&iter, &service, &queue)) {
		if (dws_queue_length(queue) == 0)
			continue;
		due_us = MIN(due_us,
			     dws_routing_retry_at_us(node->routing,
						     node->now_us, service));
	}
	return due_us;
}

/*
 * Submits a request to its home. May be repeated, as the home joins duplicates
 * to the first copy.
 */
void dws_request_submit_to_home(dws_node_t *node, dws_request_t *request)
{
	const dws_member_t *home =
		dws_membership_find(node->membership, request->context.home_vm);
	Dws__Envelope envelope = DWS__ENVELOPE__INIT;
	Dws__Submit submit = DWS__SUBMIT__INIT;
	Dws__Context wire_context;
	Dws__Request wire_request;

	if (!home ||
	    (home->epoch != 0 && home->epoch != request->context.home_epoch)) {
		dws_result_t result = dws_result_refused(
			DWS_OUTCOME_UNKNOWN, DWS_REASON_HOME_UNREACHABLE);

		dws_request_settle(node, request, &result);
		return;
	}
	request->state = DWS_REQUEST_FORWARDED;
	request->submit_count++;
	request->target = home->frame;
	request->target_epoch = request->context.home_epoch;
	dws_context_to_wire(node, &request->context, &wire_context);
	wire_context.remaining_us -=
		(uint32_t)MIN(hop_margin_us(wire_context.remaining_us),
			      wire_context.remaining_us);
	wire_context.parent_span = request->span_id;
	dws_payload_to_wire(&request->payload, &wire_request);
	wire_request.kind = request->kind.name;
	submit.call_id = request->id;
	submit.context = &wire_context;
	submit.request = &wire_request;
	submit.priority = request->kind.priority;
	if (request->ticket)
		submit.ticket = request->ticket;
	envelope.body_case = DWS__ENVELOPE__BODY_SUBMIT;
	envelope.submit = &submit;
	dws_envelope_send(node, &request->target, request->target_epoch,
			  &envelope, request->payload.body);
}

/*
 * Cancels an attempt whose result is no longer awaited. The executing daemon
 * does not stop non-idempotent work that has started.
 */
void dws_request_cancel_attempt(dws_node_t *node, dws_request_t *request)
{
	Dws__Envelope envelope = DWS__ENVELOPE__INIT;
	Dws__Cancel cancel = DWS__CANCEL__INIT;
	dws_remote_id_t remote = {.epoch = node->epoch,
				  .id = request->attempt_id};

	if (request->state != DWS_REQUEST_SENT)
		return;
	dws_routing_report_cancel(node->routing, request->target_vm);
	request->state = DWS_REQUEST_DELAYED;
	if (request->target_epoch == node->epoch) {
		dws_attempt_cancel(node, &remote);
		return;
	}
	cancel.id = request->attempt_id;
	envelope.body_case = DWS__ENVELOPE__BODY_CANCEL;
	envelope.cancel = &cancel;
	dws_envelope_send(node, &request->target, request->target_epoch,
			  &envelope, NULL);
}

/* Queries the outcome of an attempt after its stream was lost. */
void dws_request_send_recall(dws_node_t *node, dws_request_t *request)
{
	Dws__Envelope envelope = DWS__ENVELOPE__INIT;
	Dws__Recall recall = DWS__RECALL__INIT;

	if (request->target_epoch == 0)
		return;
	dws_count(node, DWS_COUNT_RECALLS);
	request->recall_sent_us = node->now_us;
	recall.attempt_id = request->attempt_id;
	envelope.body_case = DWS__ENVELOPE__BODY_RECALL;
	envelope.recall = &recall;
	dws_envelope_send(node, &request->target, request->target_epoch,
			  &envelope, NULL);
}
