/*
 * Creation and admission of requests: from callers, from the local upstream,
 * and from peers for which this daemon is the home.
 */
#include "connection/reply.h"
#include "request/attempt.h"
#include "request/request.h"
#include "request/trace.h"
#include <string.h>

#define MAX_CUSTOMER_SIZE 129
/* Divisor: 1/4 of the requests in flight is reserved for priorities above 0. */
#define RESERVED_DIVISOR 4

/* Frees a request; the destroy function of the request table. */
void dws_request_free(gpointer data)
{
	dws_request_t *request = data;

	dws_payload_clear(&request->payload);
	g_free(request->ticket);
	g_ptr_array_free(request->excluded, true);
	g_free(request);
}

/* Creates a request and adds it to the request table under an id. */
dws_request_t *dws_request_create(dws_node_t *node, uint64_t id)
{
	dws_request_t *request = g_new0(dws_request_t, 1);

	request->id = id;
	request->start_us = node->now_us;
	request->span_id = dws_node_random(node);
	request->excluded = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_insert(node->requests, &request->id, request);
	return request;
}

/* Starts the timer for the deadline of a request. */
void dws_request_start_deadline_timer(dws_node_t *node,
				      const dws_request_t *request)
{
	dws_timer_t timer = {.due_us = request->context.deadline_us,
			     .kind = DWS_TIMER_REQUEST_DEADLINE,
			     .id = request->id};

	dws_timers_add(&node->timers, &timer);
}

/* Copies the parts of a call that are passed on to the upstream. */
void dws_request_set_payload(dws_request_t *request, const dws_call_t *call)
{
	request->payload.method = g_strdup(call->method);
	request->payload.path = g_strdup(call->path);
	request->payload.content_type =
		g_strdup(call->content_type ? call->content_type : "");
	request->payload.headers = g_strdup(call->headers);
	request->payload.body =
		call->body ? g_bytes_ref(call->body) : g_bytes_new(NULL, 0);
}

static int64_t timeout_us(const dws_call_t *call, const dws_kind_t *kind)
{
	int64_t longest_us = kind->timeout_ms * DWS_US_PER_MS;

	if (call->timeout_us <= 0)
		return longest_us;
	return MIN(call->timeout_us, longest_us);
}

/* Starts the context of a root request, whose home is this daemon. */
void dws_request_init_root_context(dws_node_t *node, dws_request_t *request,
				   const dws_call_t *call)
{
	dws_context_t *context = &request->context;

	if (!dws_traceparent_parse(call->traceparent, context->trace_id,
				   &context->parent_span)) {
		uint64_t halves[2] = {dws_node_random(node),
				      dws_node_random(node)};

		memcpy(context->trace_id, halves, sizeof(context->trace_id));
		context->parent_span = 0;
	}
	if (call->customer)
		g_strlcpy(context->customer, call->customer,
			  sizeof(context->customer));
	context->deadline_us = node->now_us + timeout_us(call, &request->kind);
	context->root_started_us = node->now_us;
	context->retry_tokens = request->kind.retry_budget;
	g_strlcpy(context->root_kind, request->kind.name,
		  sizeof(context->root_kind));
	context->root_worth = MAX(request->kind.worth, 1);
	g_strlcpy(context->home_vm, node->settings->vm_id,
		  sizeof(context->home_vm));
	context->home_epoch = node->epoch;
	context->root_serial =
		dws_ticket_next_serial(&node->ticket_issuer, node->now_us);
}

/*
 * Charges a nested call to its parent. The configured number of calls of each
 * kind is free for the first attempt of a parent; any other call takes a retry
 * token of the parent. Returns false if there is none left.
 */
static bool charge_parent(dws_attempt_t *parent, const dws_kind_t *kind)
{
	guint count = GPOINTER_TO_UINT(
		g_hash_table_lookup(parent->nested_calls_by_kind, kind->name));

	if (parent->context.retried || count >= kind->calls_per_parent) {
		if (parent->context.retry_tokens == 0)
			return false;
		parent->context.retry_tokens--;
	}
	g_hash_table_insert(parent->nested_calls_by_kind, g_strdup(kind->name),
			    GUINT_TO_POINTER(count + 1));
	return true;
}

/*
 * Identifies a nested call within the call tree of its root request; never 0,
 * which identifies the root.
 */
static uint64_t tree_position(const dws_attempt_t *parent,
			      const dws_kind_t *kind,
			      const char *idempotency_key)
{
	uint64_t position = dws_fnv1a_bytes(
		DWS_FNV1A_OFFSET_BASIS, &parent->context.tree_position,
		sizeof(parent->context.tree_position));

	position = dws_fnv1a_string(position, kind->name);
	position = dws_fnv1a_string(position, idempotency_key);
	return position ? position : 1;
}

/* Derives the context of a nested call from that of its running parent. */
static dws_reason_t start_nested(dws_node_t *node, dws_request_t *request,
				 dws_attempt_t *parent, const dws_call_t *call)
{
	dws_context_t *context = &request->context;
	uint32_t share;

	if (parent->context.hop + 1 > DWS_MAX_HOPS)
		return DWS_REASON_TOO_DEEP;
	if (!charge_parent(parent, &request->kind))
		return DWS_REASON_RETRY_BUDGET;
	*context = parent->context;
	context->hop++;
	context->is_nested = true;
	context->parent_span = parent->span_id;
	context->tree_position =
		tree_position(parent, &request->kind, call->idempotency_key);
	context->deadline_us =
		MIN(context->deadline_us,
		    node->now_us + timeout_us(call, &request->kind));
	share = (parent->context.retry_tokens + 1) / 2;
	context->retry_tokens = share;
	parent->context.retry_tokens -= share;
	if (request->kind.idempotent)
		request->kind.priority = parent->priority;
	else
		request->kind.priority =
			MAX(request->kind.priority, parent->priority);
	request->parent_attempt = parent->id;
	dws_attempt_nested_begin(node, parent, request->id);
	return DWS_REASON_NONE;
}

/*
 * Refuses a request with a ticket as UNKNOWN, as another daemon may have run
 * it.
 */
static void refuse_as_unknown(dws_node_t *node, dws_request_t *request,
			      dws_reason_t reason)
{
	dws_result_t result = dws_result_refused(DWS_OUTCOME_UNKNOWN, reason);

	dws_request_settle(node, request, &result);
}

/* Admits a root request with a ticket, or forwards it to its home. */
static void admit_with_ticket(dws_node_t *node, dws_request_t *request,
			      const char *text)
{
	dws_ticket_t ticket;
	GError *error = NULL;
	dws_result_t result =
		dws_result_refused(DWS_OUTCOME_NOT_RUN, DWS_REASON_BAD_TICKET);

	if (!dws_ticket_parse(text, &ticket, &error)) {
		result.detail = error->message;
		dws_request_settle(node, request, &result);
		g_error_free(error);
		return;
	}
	request->ticket = g_strdup(text);
	request->context.root_serial = ticket.serial;
	g_strlcpy(request->context.home_vm, ticket.home_vm,
		  sizeof(request->context.home_vm));
	request->context.home_epoch = ticket.home_epoch;
	if (ticket.home_epoch != node->epoch) {
		if (node->draining)
			refuse_as_unknown(node, request, DWS_REASON_DRAINING);
		else
			dws_request_submit_to_home(node, request);
		return;
	}
	if (!dws_ticket_verify(&node->ticket_issuer, text, request->kind.name,
			       &error)) {
		result.detail = error->message;
		dws_request_settle(node, request, &result);
		g_error_free(error);
		return;
	}
	dws_request_admit_at_home(node, request);
}

/* The delay of a planned slowdown for a root request, in us; 0: none. */
static int64_t slowdown_us(dws_node_t *node, const dws_request_t *request)
{
	int64_t age_ms =
		(node->now_us - node->config_confirmed_us) / DWS_US_PER_MS;
	dws_config_t *config = dws_config_state_config(node->config_state);

	if (request->context.customer[0] == '\0')
		return 0;
	return dws_config_slowdown_ms(
		       config, request->kind.name, request->context.customer,
		       node->now_us / DWS_US_PER_MS + node->wall_offset_ms,
		       age_ms) *
	       DWS_US_PER_MS;
}

/* Applies a planned slowdown, then routes the request. */
void dws_request_start(dws_node_t *node, dws_request_t *request)
{
	int64_t delay_us = 0;

	if (request->context.hop == 0)
		delay_us = slowdown_us(node, request);
	if (delay_us > 0) {
		dws_count(node, DWS_COUNT_SLOWED);
		dws_request_delay(node, request, delay_us);
		return;
	}
	dws_request_route(node, request);
}

static void admit_nested(dws_node_t *node, dws_request_t *request)
{
	if (request->kind.idempotent)
		dws_request_start(node, request);
	else if (request->context.home_epoch == node->epoch)
		dws_request_admit_at_home(node, request);
	else
		dws_request_submit_to_home(node, request);
}

/*
 * The reason to refuse a non-idempotent request without a ticket: NO_TICKET,
 * which asks for a retry with a ticket, only if a ticket can be issued.
 */
static dws_reason_t missing_ticket_reason(const dws_node_t *node)
{
	if (node->draining)
		return DWS_REASON_DRAINING;
	if (dws_ledger_size(&node->ledger) >= node->ledger.capacity)
		return DWS_REASON_LEDGER_FULL;
	return DWS_REASON_NO_TICKET;
}

static void admit_root(dws_node_t *node, dws_request_t *request,
		       const dws_call_t *call)
{
	if (request->kind.idempotent) {
		if (node->draining)
			dws_request_refuse(node, request, DWS_REASON_DRAINING);
		else
			dws_request_start(node, request);
		return;
	}
	if (!call->ticket) {
		dws_request_refuse(node, request, missing_ticket_reason(node));
		return;
	}
	admit_with_ticket(node, request, call->ticket);
}

/*
 * Checks a call before its kind is known. Returns DWS_REASON_NONE if it is
 * valid. See refuse_call() for the outcome of a call with a ticket.
 */
static dws_reason_t check_call(dws_node_t *node, const dws_call_t *call)
{
	if (!call->method || !call->path || call->path[0] != '/' ||
	    (call->customer && strlen(call->customer) >= MAX_CUSTOMER_SIZE))
		return DWS_REASON_BAD_REQUEST;
	if (!dws_config_state_config(node->config_state))
		return DWS_REASON_STARTING;
	return DWS_REASON_NONE;
}

/*
 * True if the limit on requests in flight of a priority is exceeded. Requests
 * of priority 0 may not use all of it, so that those that wait for capacity
 * can't block callers of a higher priority.
 */
bool dws_request_limit_reached(dws_node_t *node, uint8_t priority)
{
	const dws_settings_t *settings = node->settings;
	uint32_t limit = MIN(settings->max_calls, settings->max_connections);

	if (priority == 0)
		limit -= limit / RESERVED_DIVISOR;
	return g_hash_table_size(node->requests) > limit;
}

/* Checks the limits on new calls; DWS_REASON_NONE if one may start. */
static dws_reason_t check_limits(dws_node_t *node, const dws_kind_t *kind,
				 const dws_call_t *call)
{
	const dws_config_t *config =
		dws_config_state_config(node->config_state);

	if (dws_request_limit_reached(node, kind->priority))
		return DWS_REASON_OVERLOAD;
	/* A retry with a ticket joins the first request at little cost. */
	if (call->customer && !call->ticket &&
	    !dws_customer_limiter_allow(&node->customer_limiter, node->now_us,
					call->customer,
					config->customer_retries_per_min))
		return DWS_REASON_CUSTOMER_BUDGET;
	return DWS_REASON_NONE;
}

/*
 * Refuses a call before it is admitted. With a ticket, its home may have run
 * it, so that the outcome is UNKNOWN unless the call is malformed.
 */
static void refuse_call(dws_node_t *node, dws_request_t *request,
			const dws_call_t *call, dws_reason_t reason)
{
	bool may_run_elsewhere = call->ticket && !call->is_nested &&
				 reason != DWS_REASON_BAD_REQUEST;
	dws_result_t result = dws_result_refused(
		may_run_elsewhere ? DWS_OUTCOME_UNKNOWN : DWS_OUTCOME_NOT_RUN,
		reason);

	dws_request_settle(node, request, &result);
}

/* Handles a call of a local caller or of the local upstream. */
void dws_request_on_call(dws_node_t *node, uint64_t id, const dws_call_t *call)
{
	dws_request_t *request = dws_request_create(node, id);
	dws_reason_t reason = check_call(node, call);
	const dws_kind_t *kind = NULL;
	dws_attempt_t *parent = NULL;

	dws_count(node,
		  call->is_nested ? DWS_COUNT_NESTED_CALLS : DWS_COUNT_CALLS);
	if (reason == DWS_REASON_NONE) {
		kind = dws_config_match_kind(
			dws_config_state_config(node->config_state),
			call->method, call->path);
		reason = kind ? DWS_REASON_NONE : DWS_REASON_NO_KIND;
	}
	if (reason == DWS_REASON_NONE && call->is_nested) {
		parent = dws_attempt_find_running(node, call->parent_attempt);
		reason = parent ? DWS_REASON_NONE : DWS_REASON_NO_PARENT;
	}
	if (reason == DWS_REASON_NONE) {
		request->kind = *kind;
		if (!parent)
			reason = check_limits(node, kind, call);
	}
	if (reason == DWS_REASON_NONE) {
		if (parent)
			reason = start_nested(node, request, parent, call);
		else
			dws_request_init_root_context(node, request, call);
	}
	if (reason != DWS_REASON_NONE) {
		refuse_call(node, request, call, reason);
		return;
	}
	dws_request_set_payload(request, call);
	dws_request_start_deadline_timer(node, request);
	if (parent)
		admit_nested(node, request);
	else
		admit_root(node, request, call);
}

/* Refuses a submitted request for which no request object is created. */
static void refuse_submit(dws_node_t *node, const dws_origin_t *origin,
			  uint64_t id, dws_outcome_t outcome,
			  dws_reason_t reason)
{
	dws_reply_t *reply = dws_reply_new(id, outcome, reason);

	reply->is_submit_reply = true;
	dws_reply_send(node, origin, reply);
	dws_reply_free(reply);
}

static const dws_kind_t *submitted_kind(dws_node_t *node,
					const Dws__Submit *submit)
{
	dws_config_t *config = dws_config_state_config(node->config_state);

	if (!config || !submit->request)
		return NULL;
	return dws_config_find_kind(config, submit->request->kind);
}

/* Verifies the ticket of a submitted root request, then admits it. */
static void admit_submitted(dws_node_t *node, dws_request_t *request,
			    const char *ticket)
{
	GError *error = NULL;
	dws_result_t result =
		dws_result_refused(DWS_OUTCOME_NOT_RUN, DWS_REASON_BAD_TICKET);

	if (request->context.tree_position == 0 &&
	    !dws_ticket_verify(&node->ticket_issuer, ticket, request->kind.name,
			       &error)) {
		result.detail = error->message;
		dws_request_settle(node, request, &result);
		g_error_free(error);
		return;
	}
	dws_request_admit_at_home(node, request);
}

/* Handles a request with a body, submitted by the peer that received it. */
void dws_request_on_submit(dws_node_t *node, const dws_origin_t *origin,
			   const Dws__Submit *submit, GBytes *body)
{
	dws_remote_id_t remote = {.epoch = origin->epoch,
				  .id = submit->call_id};
	const dws_kind_t *kind = submitted_kind(node, submit);
	dws_context_t context;
	dws_payload_t payload;

	if (g_hash_table_contains(node->requests_by_submit, &remote))
		return;
	if (dws_fence_has(node, &remote)) {
		refuse_submit(node, origin, submit->call_id,
			      DWS_OUTCOME_NOT_RUN, DWS_REASON_CANCELLED);
		return;
	}
	if (!kind ||
	    !dws_context_from_wire(node, submit->context,
				   dws_node_buffered_us(node), &context) ||
	    context.home_epoch != node->epoch ||
	    !dws_payload_from_wire(submit->request, body, &payload)) {
		refuse_submit(node, origin, submit->call_id,
			      DWS_OUTCOME_UNKNOWN, DWS_REASON_HOME_UNREACHABLE);
		return;
	}
	dws_request_t *request =
		dws_request_create(node, dws_node_next_id(node));

	request->from_peer = true;
	request->submitter = *origin;
	request->submit_id = submit->call_id;
	request->kind = *kind;
	request->kind.priority = (uint8_t)CLAMP(submit->priority, 0, 7);
	request->context = context;
	request->payload = payload;
	g_hash_table_insert(node->requests_by_submit,
			    g_memdup2(&remote, sizeof(remote)), request);
	dws_request_start_deadline_timer(node, request);
	admit_submitted(node, request, submit->ticket);
}
