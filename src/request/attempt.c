/*
 * Attempts: executions of requests by the local upstream.
 *
 * A non-idempotent attempt is kept after its end until its home acknowledges
 * the answer, so that an answer lost with its stream is resent.
 * Without an acknowledgement it is kept for longer than its home relies on the
 * reply to a Recall.
 */
#include "request/attempt.h"
#include "connection/reply.h"
#include "request/trace.h"
#include "request/request.h"
#include <string.h>

/* Upstream time of a cancelled attempt: not a sample for the limit. */
#define NO_SAMPLE_US (-1)
#define RESEND_FIRST_US (200 * DWS_US_PER_MS)
#define RESEND_MAX_SHIFT 4
/* Slowest stream on which an answer is not sent again before it has arrived. */
#define STREAM_BYTES_PER_US 16
/* How long nested calls are accepted after the start of draining. */
#define DRAIN_NESTED_US (2 * DWS_US_PER_S)
/*
 * How long after the deadline an unacknowledged answer is kept; longer than
 * DWS_RECALL_VALID_US at the home.
 */
#define ANSWER_RETENTION_US (60 * DWS_US_PER_S)
/*
 * How long a fence is kept; longer than the delivery of data sent on a lost
 * stream can take.
 */
#define FENCE_LIFETIME_US (600 * DWS_US_PER_S)
#define MAX_FENCES 65536
#define OVERLOAD_RETRY_MS 500
/*
 * If the upstream breaks off this close to the deadline, the deadline is
 * reported as the reason.
 */
#define DEADLINE_SLACK_US (5 * DWS_US_PER_MS)

/* GHashFunc for dws_remote_id_t. */
guint dws_remote_id_hash(gconstpointer key)
{
	return (guint)dws_fnv1a_bytes(DWS_FNV1A_OFFSET_BASIS, key,
				      sizeof(dws_remote_id_t));
}

/* GEqualFunc for dws_remote_id_t. */
gboolean dws_remote_id_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(dws_remote_id_t)) == 0;
}

/* Records the congestion that a nested call of an attempt has met. */
void dws_attempt_report_congestion(dws_node_t *node, uint64_t attempt_id,
				   const dws_congestion_report_t *report)
{
	dws_attempt_t *attempt = dws_attempt_find_running(node, attempt_id);

	if (attempt)
		dws_congestion_report_merge(&attempt->congestion, report);
}

/* Frees an attempt; the destroy function of the attempt table. */
void dws_attempt_free(gpointer data)
{
	dws_attempt_t *attempt = data;

	dws_payload_clear(&attempt->payload);
	g_hash_table_destroy(attempt->nested_calls_by_kind);
	g_hash_table_destroy(attempt->nested_requests);
	dws_reply_free(attempt->answer);
	g_free(attempt);
}

static void remove_attempt(dws_node_t *node, dws_attempt_t *attempt)
{
	dws_attempt_unindex(node, attempt);
	g_hash_table_remove(node->attempts_by_remote, &attempt->remote);
	g_hash_table_remove(node->attempts, &attempt->id);
}

/* Maps the name of a kind to a stable number, used by the queues. */
uint32_t dws_kind_id(dws_node_t *node, const char *kind)
{
	gpointer number = g_hash_table_lookup(node->kind_ids, kind);

	if (!number) {
		number =
			GUINT_TO_POINTER(g_hash_table_size(node->kind_ids) + 1);
		g_hash_table_insert(node->kind_ids, g_strdup(kind), number);
	}
	return GPOINTER_TO_UINT(number);
}

/* Fences an id of another process; false if the table is full. */
bool dws_fence_add(dws_node_t *node, const dws_remote_id_t *remote)
{
	if (dws_fence_has(node, remote))
		return true;
	if (g_hash_table_size(node->fences) >= MAX_FENCES)
		return false;
	g_hash_table_add(node->fences, g_memdup2(remote, sizeof(*remote)));
	dws_timer_t timer = {.due_us = node->now_us + FENCE_LIFETIME_US,
			     .kind = DWS_TIMER_FENCE_EXPIRY,
			     .id = remote->epoch,
			     .secondary_id = remote->id};

	dws_timers_add(&node->timers, &timer);
	return true;
}

/* True if an id of another process is fenced. */
bool dws_fence_has(dws_node_t *node, const dws_remote_id_t *remote)
{
	return g_hash_table_contains(node->fences, remote);
}

/* Sends a reply to a peer, or queues it if this process is the origin. */
static void reply_to(dws_node_t *node, const dws_origin_t *origin,
		     bool is_local, dws_reply_t *reply)
{
	dws_admission_get_load(&node->admission, &reply->load);
	if (is_local) {
		g_queue_push_tail(node->local_replies, reply);
		return;
	}
	dws_reply_send(node, origin, reply);
	dws_reply_free(reply);
}

static void refuse_on_arrival(dws_node_t *node,
			      const dws_attempt_request_t *request,
			      dws_reason_t reason)
{
	dws_reply_t *reply =
		dws_reply_new(request->remote.id, DWS_OUTCOME_NOT_RUN, reason);

	reply->unused_retry_tokens = request->context.retry_tokens;
	reply_to(node, request->origin, request->is_local, reply);
}

static void write_span(dws_node_t *node, const dws_attempt_t *attempt,
		       const dws_reply_t *reply)
{
	dws_span_t span = {.name = "execute",
			   .vm_id = node->settings->vm_id,
			   .kind = attempt->kind,
			   .outcome = dws_outcome_name(reply->outcome),
			   .reason = dws_reason_name(reply->reason),
			   .start_us = attempt->arrived_us,
			   .duration_us = node->now_us - attempt->arrived_us,
			   .status = reply->status,
			   .hop = (uint16_t)attempt->context.hop};

	if (attempt->is_routed) {
		span.attempt_key = attempt->attempt_key;
		span.service = node->settings->service;
		span.target_vm =
			dws_membership_self(node->membership)->upstream.id;
		span.overloaded_service = attempt->congestion.service;
		span.upstreams_reached = reply->upstream_reached;
		span.list_revision =
			dws_membership_list_revision(node->membership);
		span.config_version =
			dws_config_state_version(node->config_state);
		span.load_age_us = 0;
		span.admitted_share = 1.0;
	}
	if (attempt->started_us)
		span.queued_us = attempt->started_us - attempt->arrived_us;
	else
		span.queued_us = span.duration_us;
	dws_trace_id_format(attempt->context.trace_id, span.trace_id);
	g_snprintf(span.span_id, sizeof(span.span_id),
		   "%016" G_GINT64_MODIFIER "x", attempt->span_id);
	g_snprintf(span.parent_id, sizeof(span.parent_id),
		   "%016" G_GINT64_MODIFIER "x", attempt->context.parent_span);
	node->io->ops->span(node->io, &span);
}

/* Cancels the open nested calls of an attempt that ends. */
static void cancel_nested(dws_node_t *node, dws_attempt_t *attempt)
{
	GList *ids = g_hash_table_get_keys(attempt->nested_requests);

	for (GList *item = ids; item; item = item->next)
		dws_request_cancel(node, *(uint64_t *)item->data);
	g_list_free(ids);
}

/* Starts the timer after which an answer is sent again. */
static void start_resend_timer(dws_node_t *node, const dws_attempt_t *attempt)
{
	GBytes *body = attempt->answer->body;
	int64_t transfer_us =
		body ? (int64_t)g_bytes_get_size(body) / STREAM_BYTES_PER_US
		     : 0;
	dws_timer_t timer = {.due_us = node->now_us + transfer_us +
				       (RESEND_FIRST_US << attempt->resends),
			     .kind = DWS_TIMER_ATTEMPT_RESEND,
			     .id = attempt->id};

	dws_timers_add(&node->timers, &timer);
}

/*
 * Ends an attempt and sends its outcome. The answer to a non-idempotent attempt
 * of another process is kept until it is acknowledged.
 */
static void end_attempt(dws_node_t *node, dws_attempt_t *attempt,
			dws_reply_t *reply)
{
	cancel_nested(node, attempt);
	reply->id = attempt->remote.id;
	reply->unused_retry_tokens = attempt->context.retry_tokens;
	reply->congestion = attempt->congestion;
	if (attempt->started_us)
		reply->queued_us = attempt->started_us - attempt->arrived_us;
	dws_attempt_unindex(node, attempt);
	dws_admission_get_load(&node->admission, &reply->load);
	write_span(node, attempt, reply);
	attempt->state = DWS_ATTEMPT_ANSWERED;
	if (attempt->is_local) {
		g_queue_push_tail(node->local_replies, reply);
		remove_attempt(node, attempt);
		return;
	}
	dws_reply_send(node, &attempt->origin, reply);
	if (attempt->idempotent) {
		dws_reply_free(reply);
		remove_attempt(node, attempt);
		return;
	}
	attempt->answer = reply;
	attempt->answered_us = node->now_us;
	start_resend_timer(node, attempt);
}

static void refuse_attempt(dws_node_t *node, uint64_t id, dws_reason_t reason)
{
	dws_attempt_t *attempt = g_hash_table_lookup(node->attempts, &id);

	if (!attempt)
		return;
	dws_reply_t *reply = dws_reply_new(0, DWS_OUTCOME_NOT_RUN, reason);

	if (reason == DWS_REASON_OVERLOAD)
		reply->retry_after_ms = OVERLOAD_RETRY_MS;
	end_attempt(node, attempt, reply);
}

static dws_attempt_t *create_attempt(dws_node_t *node,
				     dws_attempt_request_t *request)
{
	dws_attempt_t *attempt = g_new0(dws_attempt_t, 1);

	attempt->id = dws_node_random(node);
	attempt->remote = request->remote;
	attempt->origin = *request->origin;
	attempt->is_local = request->is_local;
	g_strlcpy(attempt->kind, request->kind, sizeof(attempt->kind));
	attempt->priority = request->priority;
	attempt->idempotent = request->idempotent;
	attempt->is_routed = request->is_routed;
	if (request->attempt_key)
		g_strlcpy(attempt->attempt_key, request->attempt_key,
			  sizeof(attempt->attempt_key));
	attempt->span_id = dws_node_random(node);
	attempt->context = request->context;
	attempt->payload = request->payload;
	memset(&request->payload, 0, sizeof(request->payload));
	attempt->arrived_us = node->now_us;
	attempt->nested_calls_by_kind =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	attempt->nested_requests = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	g_hash_table_insert(node->attempts, &attempt->id, attempt);
	g_hash_table_insert(node->attempts_by_remote, &attempt->remote,
			    attempt);
	return attempt;
}

/*
 * True if an attempt is refused because this daemon is draining. Root requests
 * are refused at once, nested calls of requests in flight after
 * DRAIN_NESTED_US.
 */
static bool is_refused_by_drain(const dws_node_t *node,
				const dws_attempt_request_t *request)
{
	if (!node->draining)
		return false;
	return request->context.hop == 0 ||
	       node->now_us - node->drain_started_us > DRAIN_NESTED_US;
}

/* The reason to refuse an attempt; DWS_REASON_NONE if it may be queued. */
static dws_reason_t arrival_refusal(dws_node_t *node,
				    const dws_attempt_request_t *request)
{
	if (dws_fence_has(node, &request->remote))
		return DWS_REASON_CANCELLED;
	if (is_refused_by_drain(node, request))
		return DWS_REASON_DRAINING;
	if (node->settings->upstream.port == 0)
		return DWS_REASON_NO_ENDPOINT;
	if (request->is_routed &&
	    strcmp(request->service, node->settings->service) != 0)
		return DWS_REASON_MISDIRECTED;
	if (request->is_routed && !dws_node_upstream_accepts_work(node))
		return DWS_REASON_DRAINING;
	if (request->context.deadline_us <= node->now_us)
		return DWS_REASON_DEADLINE;
	if (g_hash_table_size(node->attempts) >= node->settings->max_calls)
		return DWS_REASON_OVERLOAD;
	return DWS_REASON_NONE;
}

/*
 * Queues an attempt, which is replied to when it ends, or refuses it with a
 * reply. A duplicate of a known attempt is ignored. Takes the payload of the
 * request in each case.
 */
void dws_attempt_accept(dws_node_t *node, dws_attempt_request_t *request)
{
	dws_reason_t reason = arrival_refusal(node, request);
	uint64_t displaced = 0;

	if (g_hash_table_contains(node->attempts_by_remote, &request->remote)) {
		dws_payload_clear(&request->payload);
		return;
	}
	if (reason != DWS_REASON_NONE) {
		refuse_on_arrival(node, request, reason);
		dws_payload_clear(&request->payload);
		return;
	}
	dws_attempt_t *attempt = create_attempt(node, request);
	dws_queue_item_t item = {
		.id = attempt->id,
		.kind = dws_kind_id(node, attempt->context.root_kind),
		.priority = request->priority,
		.weight = attempt->context.root_worth,
		.enqueued_us = node->now_us,
		.deadline_us = attempt->context.deadline_us,
		.root_started_us = dws_context_root_start(&attempt->context)};

	if (request->is_routed)
		item.latest_start_us = node->now_us + request->max_wait_us;
	if (!dws_admission_enqueue(&node->admission, node->now_us, &item,
				   &displaced))
		refuse_attempt(node, attempt->id, DWS_REASON_OVERLOAD);
	if (displaced)
		refuse_attempt(node, displaced, DWS_REASON_OVERLOAD);
}

/*
 * Dispatches an attempt to the upstream. Its payload is not needed any more; the
 * driver refers to the body until it is sent.
 */
static void start_attempt(dws_node_t *node, dws_attempt_t *attempt)
{
	char identity[64];
	dws_context_t *context = &attempt->context;
	dws_dispatch_t dispatch = {
		.attempt_id = attempt->id,
		.method = attempt->payload.method,
		.path = attempt->payload.path,
		.content_type = attempt->payload.content_type,
		.body = attempt->payload.body,
		.is_routed = attempt->is_routed,
		.headers = attempt->payload.headers,
		.attempt_key = attempt->attempt_key,
		.upstream_id =
			dws_membership_self(node->membership)->upstream.id,
		.customer = context->customer,
		.identity = identity,
		.deadline_us = context->deadline_us,
		.idempotent = attempt->idempotent,
	};
	char trace_id[33];

	g_snprintf(identity, sizeof(identity),
		   "%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER
		   "x-%" G_GINT64_MODIFIER "x",
		   context->home_epoch, context->root_serial,
		   context->tree_position);
	dws_trace_id_format(context->trace_id, trace_id);
	g_snprintf(dispatch.traceparent, sizeof(dispatch.traceparent),
		   "00-%s-%016" G_GINT64_MODIFIER "x-01", trace_id,
		   attempt->span_id);
	attempt->state = DWS_ATTEMPT_RUNNING;
	attempt->started_us = node->now_us;
	if (attempt->is_routed)
		dws_attempt_index(node, attempt);
	dws_counters_observe(&node->counters, DWS_HIST_QUEUE,
			     node->now_us - attempt->arrived_us);
	dws_count(node, DWS_COUNT_DISPATCHES);
	node->io->ops->dispatch(node->io, &dispatch);
	dws_payload_clear(&attempt->payload);
}

/*
 * The reason to refuse an expired attempt: a routed one may reach its wait
 * limit before its deadline.
 */
static dws_reason_t expiry_reason(dws_node_t *node, uint64_t id)
{
	const dws_attempt_t *attempt = g_hash_table_lookup(node->attempts, &id);

	if (attempt && attempt->is_routed &&
	    attempt->context.deadline_us > node->now_us)
		return DWS_REASON_OVERLOAD;
	return DWS_REASON_DEADLINE;
}

/* The reason to refuse a dequeued attempt; DWS_REASON_NONE if it may start. */
static dws_reason_t start_refusal(const dws_node_t *node,
				  const dws_attempt_t *attempt)
{
	if (attempt->context.deadline_us <= node->now_us)
		return DWS_REASON_DEADLINE;
	if (attempt->is_routed && !dws_node_upstream_accepts_work(node))
		return DWS_REASON_DRAINING;
	return DWS_REASON_NONE;
}

/*
 * Starts queued attempts up to the concurrency limit; refuses those that can't
 * complete before their deadline.
 */
void dws_attempt_start_queued(dws_node_t *node)
{
	dws_queue_item_t item;

	while (dws_admission_expire(&node->admission, node->now_us, &item)) {
		dws_count(node, DWS_COUNT_REFUSED_DEADLINE);
		refuse_attempt(node, item.id, expiry_reason(node, item.id));
	}
	while (dws_admission_dequeue(&node->admission, node->now_us, &item)) {
		dws_attempt_t *attempt =
			g_hash_table_lookup(node->attempts, &item.id);

		dws_reason_t reason = attempt ? start_refusal(node, attempt)
					      : DWS_REASON_CANCELLED;

		if (reason == DWS_REASON_NONE) {
			start_attempt(node, attempt);
			continue;
		}
		dws_admission_end(&node->admission, node->now_us, item.id, 0,
				  false);
		refuse_attempt(node, item.id, reason);
	}
}

/* Time spent in the upstream, without the time in nested calls. */
static int64_t upstream_time_us(const dws_node_t *node,
				const dws_attempt_t *attempt)
{
	int64_t nested_us = attempt->nested_wait_us;

	if (attempt->open_nested_calls > 0)
		nested_us += node->now_us - attempt->nested_wait_started_us;
	return MAX(node->now_us - attempt->started_us - nested_us, 0);
}

/* The reason reported for an attempt that the upstream did not run. */
static dws_reason_t refusal_reason(const dws_attempt_t *attempt,
				   const dws_dispatch_outcome_t *outcome)
{
	if (outcome->misdirected)
		return DWS_REASON_MISDIRECTED;
	return attempt->is_routed ? DWS_REASON_UPSTREAM_SHED
				  : DWS_REASON_OVERLOAD;
}

/* The reason reported for a lost answer: the deadline, or the upstream. */
static dws_reason_t loss_reason(const dws_node_t *node,
				const dws_attempt_t *attempt)
{
	if (attempt->is_routed &&
	    node->now_us + DEADLINE_SLACK_US >= attempt->context.deadline_us)
		return DWS_REASON_DEADLINE;
	return DWS_REASON_UPSTREAM_LOST;
}

/* Derives the outcome of an attempt from the end of its dispatch. */
static dws_reply_t *dispatch_reply(const dws_node_t *node,
				   const dws_attempt_t *attempt,
				   const dws_dispatch_outcome_t *outcome)
{
	dws_reply_t *reply;

	/* It has made nested calls, so it has run, although it was refused. */
	if (outcome->not_run &&
	    g_hash_table_size(attempt->nested_calls_by_kind) > 0)
		return dws_reply_new(0, DWS_OUTCOME_UNKNOWN,
				     DWS_REASON_UPSTREAM_LOST);
	if (outcome->result == DWS_DISPATCH_NOT_SENT)
		return dws_reply_new(0, DWS_OUTCOME_NOT_RUN,
				     DWS_REASON_NO_ENDPOINT);
	if (outcome->result == DWS_DISPATCH_LOST)
		return dws_reply_new(0, DWS_OUTCOME_UNKNOWN,
				     loss_reason(node, attempt));
	if (outcome->not_run || outcome->misdirected) {
		reply = dws_reply_new(0, DWS_OUTCOME_NOT_RUN,
				      refusal_reason(attempt, outcome));
		reply->retry_after_ms = OVERLOAD_RETRY_MS;
		reply->upstream_reached = true;
		return reply;
	}
	reply = dws_reply_new(0, DWS_OUTCOME_COMPLETE, DWS_REASON_NONE);
	reply->status = outcome->status;
	reply->content_type = g_strdup(outcome->content_type);
	reply->headers = g_strdup(outcome->headers);
	reply->body = outcome->body ? g_bytes_ref(outcome->body) : NULL;
	return reply;
}

/* Logs why the answer to an attempt is lost. */
static void log_loss(dws_node_t *node, const dws_attempt_t *attempt,
		     dws_loss_t loss)
{
	dws_node_log(node, DWS_LOG_INFO, "answer_lost",
		     "id=%s kind=%s upstream=%s cause=%s", attempt->attempt_key,
		     attempt->kind,
		     dws_membership_self(node->membership)->upstream.id,
		     dws_loss_name(loss));
}

/* Handles the end of a dispatch to the upstream. */
void dws_attempt_on_dispatch_end(dws_node_t *node, uint64_t attempt_id,
				 const dws_dispatch_outcome_t *outcome)
{
	dws_attempt_t *attempt =
		g_hash_table_lookup(node->attempts, &attempt_id);

	if (!attempt || attempt->state != DWS_ATTEMPT_RUNNING)
		return;
	bool overloaded = outcome->not_run || outcome->misdirected ||
			  outcome->result != DWS_DISPATCH_ANSWERED;

	dws_counters_observe(&node->counters, DWS_HIST_UPSTREAM,
			     node->now_us - attempt->started_us);
	dws_admission_end(&node->admission, node->now_us, attempt->id,
			  upstream_time_us(node, attempt), overloaded);
	if (outcome->result == DWS_DISPATCH_LOST)
		log_loss(node, attempt, outcome->loss);
	end_attempt(node, attempt, dispatch_reply(node, attempt, outcome));
}

/*
 * Cancels an attempt whose result is no longer awaited: refuses it if queued,
 * stops it if it is running and idempotent, else has no effect.
 */
void dws_attempt_cancel(dws_node_t *node, const dws_remote_id_t *remote)
{
	dws_attempt_t *attempt =
		g_hash_table_lookup(node->attempts_by_remote, remote);

	if (!attempt)
		return;
	if (attempt->state == DWS_ATTEMPT_QUEUED) {
		dws_admission_cancel(&node->admission, attempt->id);
		refuse_attempt(node, attempt->id, DWS_REASON_CANCELLED);
		return;
	}
	if (attempt->state != DWS_ATTEMPT_RUNNING || !attempt->idempotent)
		return;
	node->io->ops->cancel(node->io, attempt->id);
	dws_admission_end(&node->admission, node->now_us, attempt->id,
			  NO_SAMPLE_US, false);
	end_attempt(
		node, attempt,
		dws_reply_new(0, DWS_OUTCOME_UNKNOWN, DWS_REASON_CANCELLED));
}

/*
 * Replies with the outcome of an attempt. An unknown attempt is fenced first,
 * so that NOT_RUN remains true if its request arrives later; without a free
 * fence there is no reply.
 */
void dws_attempt_on_recall(dws_node_t *node, const dws_origin_t *origin,
			   uint64_t id)
{
	dws_remote_id_t remote = {.epoch = origin->epoch, .id = id};
	dws_attempt_t *attempt =
		g_hash_table_lookup(node->attempts_by_remote, &remote);

	if (attempt && attempt->answer) {
		dws_reply_send(node, origin, attempt->answer);
		return;
	}
	if (!attempt && !dws_fence_add(node, &remote))
		return;
	dws_reply_t *reply =
		dws_reply_new(id, DWS_OUTCOME_NOT_RUN, DWS_REASON_CANCELLED);

	reply->is_running = attempt != NULL;
	reply_to(node, origin, false, reply);
}

/* Discards an answer that the origin of the attempt has received. */
void dws_attempt_on_ack(dws_node_t *node, const dws_remote_id_t *remote)
{
	dws_attempt_t *attempt =
		g_hash_table_lookup(node->attempts_by_remote, remote);

	if (attempt && attempt->state == DWS_ATTEMPT_ANSWERED)
		remove_attempt(node, attempt);
}

/* Resends an unacknowledged answer, with exponential backoff. */
void dws_attempt_resend(dws_node_t *node, uint64_t attempt_id)
{
	dws_attempt_t *attempt =
		g_hash_table_lookup(node->attempts, &attempt_id);

	if (!attempt || !attempt->answer)
		return;
	if (node->now_us > attempt->context.deadline_us + ANSWER_RETENTION_US) {
		remove_attempt(node, attempt);
		return;
	}
	dws_reply_send(node, &attempt->origin, attempt->answer);
	attempt->resends = MIN(attempt->resends + 1, RESEND_MAX_SHIFT);
	start_resend_timer(node, attempt);
}

/* Restarts the backoff of answers that a lost stream may have carried. */
void dws_attempt_reset_resend_backoff(dws_node_t *node, const dws_address_t *to)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dws_attempt_t *attempt = value;

		if (attempt->answer &&
		    dws_address_equal(&attempt->origin.frame, to))
			attempt->resends = 0;
	}
}

/* Finds a running attempt by the id given to the upstream; NULL if ended. */
dws_attempt_t *dws_attempt_find_running(dws_node_t *node, uint64_t attempt_id)
{
	dws_attempt_t *attempt =
		g_hash_table_lookup(node->attempts, &attempt_id);

	if (!attempt || attempt->state != DWS_ATTEMPT_RUNNING)
		return NULL;
	return attempt;
}

/* Records that the upstream makes a nested call for an attempt. */
void dws_attempt_nested_begin(dws_node_t *node, dws_attempt_t *attempt,
			      uint64_t request_id)
{
	g_hash_table_add(attempt->nested_requests,
			 g_memdup2(&request_id, sizeof(request_id)));
	if (attempt->open_nested_calls++ == 0)
		attempt->nested_wait_started_us = node->now_us;
}

/* Records the end of a nested call and returns its unused retry tokens. */
void dws_attempt_nested_end(dws_node_t *node, uint64_t attempt_id,
			    uint64_t request_id, uint32_t tokens)
{
	dws_attempt_t *attempt = dws_attempt_find_running(node, attempt_id);

	if (!attempt ||
	    !g_hash_table_remove(attempt->nested_requests, &request_id))
		return;
	attempt->context.retry_tokens += tokens;
	if (--attempt->open_nested_calls == 0)
		attempt->nested_wait_us +=
			node->now_us - attempt->nested_wait_started_us;
}
