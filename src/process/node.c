/*
 * The node: connects membership, routing, admission, requests and the
 * configuration, and passes each input from the driver to them.
 */
#include "process/node_internal.h"
#include "connection/envelope.h"
#include "connection/reply.h"
#include "request/attempt.h"
#include "request/refused_frame.h"
#include "request/request.h"
#include "version/sync.h"
#include <stdarg.h>
#include <string.h>

/*
 * Upper bound between two ticks. Inputs that are further apart than
 * PAUSE_US mean that the process itself was suspended.
 */
#define MAX_TICK_INTERVAL_US (250 * DWS_US_PER_MS)
#define PAUSE_US (1 * DWS_US_PER_S)
/*
 * Upper bound on how long new work waits for current state from the platform
 * and peers after a start or a pause.
 */
#define MAX_CATCH_UP_US (1500 * DWS_US_PER_MS)
/*
 * Frames read this soon after a pause may have been in the socket buffer for
 * all of it.
 */
#define BUFFERED_FRAMES_US (100 * DWS_US_PER_MS)
/* Concurrency limit if VM list, configuration and settings set none. */
#define DEFAULT_SLOTS 50
/* Upper bound on the answers that the ledger stores. */
#define MAX_STORED_BYTES (24 * 1024 * 1024)
/* Unacknowledged answers delay the end of a drain by at most this. */
#define MAX_ACK_WAIT_US (2 * DWS_US_PER_S)

/* Returns the size of dws_node_t, which is opaque to drivers. */
size_t dws_node_size_bytes(void)
{
	return sizeof(dws_node_t);
}

/* Returns a request or attempt id that is unique within this process. */
uint64_t dws_node_next_id(dws_node_t *node)
{
	return ++node->next_id;
}

/* Returns a non-zero random number. */
uint64_t dws_node_random(dws_node_t *node)
{
	uint64_t value = (uint64_t)g_rand_int(node->random) << 32 |
			 g_rand_int(node->random);

	return value ? value : 1;
}

/* Logs an event; the format gives its key=value fields. */
void dws_node_log(dws_node_t *node, dws_log_level_t level, const char *event,
		  const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	char *fields = g_strdup_vprintf(format, arguments);

	va_end(arguments);
	node->io->ops->log(node->io, level, event, fields);
	g_free(fields);
}

/*
 * Returns true if the node may accept new work: a configuration is known, and
 * the wait that follows a start or a pause has ended.
 */
bool dws_node_accepts_work(const dws_node_t *node)
{
	if (!dws_config_state_config(node->config_state))
		return false;
	if (node->now_us >= node->catch_up_until_us)
		return true;
	return false;
}

static void send_datagram(void *context, const dws_address_t *to,
			  const uint8_t *data, size_t size_bytes)
{
	dws_node_t *node = context;

	node->io->ops->send_datagram(node->io, to, data, size_bytes);
}

static void member_changed(void *context, const dws_member_t *member)
{
	dws_node_t *node = context;

	dws_node_log(
		node, DWS_LOG_INFO, "member",
		"vm=%s zone=%s service=%s state=%s epoch=%" G_GINT64_MODIFIER
		"x upstream=%s upstream_leaving=%d list=%" G_GUINT64_FORMAT,
		member->vm_id, member->zone, member->service,
		dws_member_state_name(member->state), member->epoch,
		member->upstream.id, member->upstream.leaving,
		dws_membership_list_revision(node->membership));
	dws_request_on_member_changed(node, member);
}

static void versions_received(void *context, const char *vm_id,
			      const dws_address_t *frame,
			      const dws_document_versions_t *versions)
{
	dws_sync_on_versions(context, vm_id, frame, versions);
}

static const dws_membership_ops_t membership_ops = {
	.send = send_datagram,
	.member_changed = member_changed,
	.versions_received = versions_received,
};

static void init_tables(dws_node_t *node)
{
	node->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, dws_request_free);
	node->requests_by_attempt =
		g_hash_table_new(g_int64_hash, g_int64_equal);
	node->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, dws_attempt_free);
	node->nested_call_stats =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->running_by_deadline =
		g_tree_new_full(dws_attempt_compare, NULL, NULL, NULL);
	node->running_by_key = g_hash_table_new(g_str_hash, g_str_equal);
	node->attempts_by_remote =
		g_hash_table_new(dws_remote_id_hash, dws_remote_id_equal);
	node->requests_by_submit = g_hash_table_new_full(
		dws_remote_id_hash, dws_remote_id_equal, g_free, NULL);
	node->fences = g_hash_table_new_full(dws_remote_id_hash,
					     dws_remote_id_equal, g_free, NULL);
	node->held_queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)dws_queue_free);
	node->kind_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	node->local_replies = g_queue_new();
}

/*
 * Returns the concurrency limit of the local upstream. The VM list's value
 * overrides the configuration's; of that value and the one in the settings,
 * the lower applies. 0 means not set.
 */
static uint32_t upstream_slots(const dws_node_t *node)
{
	const dws_member_t *self =
		node->membership ? dws_membership_self(node->membership) : NULL;

	const dws_config_t *config =
		dws_config_state_config(node->config_state);
	const dws_service_t *service =
		config ? dws_config_find_service(config,
						 node->settings->service)
		       : NULL;
	uint32_t configured = service ? service->slots : 0;
	uint32_t settings_slots = node->settings->upstream_slots;

	if (self && self->upstream.slots > 0)
		configured = self->upstream.slots;
	if (configured == 0 && settings_slots == 0)
		return DEFAULT_SLOTS;
	if (configured == 0 || settings_slots == 0)
		return MAX(configured, settings_slots);
	return MIN(configured, settings_slots);
}

/* Returns true if the local upstream accepts new work. */
bool dws_node_upstream_accepts_work(const dws_node_t *node)
{
	return node->settings->upstream.port != 0 &&
	       dws_membership_accepts_work(
		       node->membership, dws_membership_self(node->membership),
		       node->settings->service);
}

/* Counts the members in state ALIVE, including this process. */
uint32_t dws_node_alive_member_count(const dws_node_t *node)
{
	const GPtrArray *all = dws_membership_all(node->membership);
	uint32_t alive = 0;

	for (guint i = 0; i < all->len; i++) {
		const dws_member_t *member = all->pdata[i];

		alive += member->state == DWS_MEMBER_ALIVE;
	}
	return alive;
}

/* Returns true if callers may send new work to this node. */
bool dws_node_is_ready(const dws_node_t *node)
{
	return dws_node_accepts_work(node) && !node->draining;
}

/* Applies those new settings that can change while requests are in flight. */
void dws_node_reload(dws_node_t *node, const dws_settings_t *settings)
{
	node->settings = settings;
	dws_retry_budget_configure(&node->retry_budget, settings->retry_ratio,
				   settings->retry_slack,
				   settings->retry_window_ms * DWS_US_PER_MS);
}

/* Returns the limits on requests at the routed listener. */
void dws_node_caller_limits(const dws_node_t *node, dws_caller_limits_t *limits)
{
	const dws_config_t *config =
		dws_config_state_config(node->config_state);

	*limits = config ? config->caller_limits : dws_default_caller_limits;
	limits->max_body_bytes =
		MIN(limits->max_body_bytes, node->settings->max_body_bytes);
}

/* Initializes a node; see dogwoodshift.h. */
void dws_node_init(dws_node_t *node, const dws_settings_t *settings,
		   dws_io_t *io, uint64_t epoch, uint64_t seed, int64_t now_us,
		   int64_t wall_ms)
{
	memset(node, 0, sizeof(*node));
	node->settings = settings;
	node->io = io;
	node->epoch = epoch ? epoch : 1;
	node->random = g_rand_new_with_seed((guint32)(seed ^ seed >> 32));
	node->now_us = now_us;
	node->wall_offset_ms = wall_ms - now_us / DWS_US_PER_MS;
	node->pause_detected_us = now_us - MAX_CATCH_UP_US;
	node->catch_up_until_us = now_us + MAX_CATCH_UP_US;
	node->config_confirmed_us = DWS_NEVER_CONFIRMED;
	dws_counters_init(&node->counters);
	dws_timers_init(&node->timers);
	dws_ticket_issuer_init(&node->ticket_issuer, settings->vm_id,
			       node->epoch, seed, now_us,
			       settings->ticket_ttl_ms * DWS_US_PER_MS);
	dws_ledger_init(&node->ledger, settings->max_ledger_entries,
			MAX_STORED_BYTES);
	init_tables(node);
	dws_customer_limiter_init(&node->customer_limiter);
	dws_root_throttle_init(&node->root_throttle);
	dws_congestion_init(&node->congestion);
	dws_retry_budget_init(&node->retry_budget, settings->retry_ratio,
			      settings->retry_slack,
			      settings->retry_window_ms * DWS_US_PER_MS);
	node->config_state = dws_config_state_new();
	dws_read_role_init(&node->read_role,
			   strcmp(settings->platform_protocol, "store") == 0,
			   now_us);
	dws_admission_init(&node->admission, settings->policy,
			   upstream_slots(node), settings->max_queue);
	node->membership =
		dws_membership_new(settings, &membership_ops, node, node->epoch,
				   dws_node_random(node), now_us, wall_ms);
	node->routing =
		dws_routing_new(node->membership, dws_node_random(node));
	dws_sync_set_versions(node);
}

static void free_reply(gpointer reply)
{
	dws_reply_free(reply);
}

/* Frees everything the node owns, but not the node. */
void dws_node_finish(dws_node_t *node)
{
	dws_routing_free(node->routing);
	dws_membership_free(node->membership);
	dws_config_state_free(node->config_state);
	dws_admission_finish(&node->admission);
	dws_retry_budget_finish(&node->retry_budget);
	dws_root_throttle_finish(&node->root_throttle);
	dws_congestion_finish(&node->congestion);
	g_tree_destroy(node->running_by_deadline);
	g_hash_table_destroy(node->running_by_key);
	g_hash_table_destroy(node->nested_call_stats);
	dws_customer_limiter_finish(&node->customer_limiter);
	g_queue_free_full(node->local_replies, free_reply);
	g_hash_table_destroy(node->kind_ids);
	g_hash_table_destroy(node->held_queues);
	g_hash_table_destroy(node->fences);
	g_hash_table_destroy(node->requests_by_submit);
	g_hash_table_destroy(node->attempts_by_remote);
	g_hash_table_destroy(node->attempts);
	g_hash_table_destroy(node->requests_by_attempt);
	g_hash_table_destroy(node->requests);
	dws_ledger_finish(&node->ledger);
	dws_timers_finish(&node->timers);
	g_rand_free(node->random);
}

/*
 * Advances the clock to the time of an input. If PAUSE_US or more have elapsed
 * since the last input, the process was suspended.
 */
static void begin_input(dws_node_t *node, int64_t now_us)
{
	int64_t elapsed_us = now_us - node->now_us;

	node->now_us = MAX(now_us, node->now_us);
	if (elapsed_us < PAUSE_US)
		return;
	dws_count(node, DWS_COUNT_PAUSES);
	node->last_pause_us = elapsed_us;
	node->pause_detected_us = node->now_us;
	node->catch_up_until_us = node->now_us + MAX_CATCH_UP_US;
	dws_node_log(node, DWS_LOG_WARNING, "paused",
		     "duration_ms=%" G_GINT64_FORMAT,
		     (int64_t)(elapsed_us / DWS_US_PER_MS));
}

/* Returns how long a message read now may have been in the socket buffer. */
int64_t dws_node_buffered_us(const dws_node_t *node)
{
	if (node->now_us - node->pause_detected_us > BUFFERED_FRAMES_US)
		return 0;
	return node->last_pause_us;
}

static void handle_local_reply(dws_node_t *node)
{
	dws_reply_t *reply = g_queue_pop_head(node->local_replies);
	dws_origin_t self = {.epoch = node->epoch};

	g_strlcpy(self.vm_id, node->settings->vm_id, sizeof(self.vm_id));
	dws_request_on_reply(node, &self, reply);
	dws_reply_free(reply);
}

/*
 * Processes what an input has enabled (replies of local attempts, queued
 * attempts, held requests) until nothing is left.
 */
static void finish_input(dws_node_t *node)
{
	do {
		while (!g_queue_is_empty(node->local_replies))
			handle_local_reply(node);
		dws_attempt_start_queued(node);
		if (node->recheck_held) {
			node->recheck_held = false;
			dws_request_send_held(node);
		}
	} while (!g_queue_is_empty(node->local_replies) || node->recheck_held);
}

static void handle_timer(dws_node_t *node, const dws_timer_t *timer)
{
	dws_remote_id_t fence = {.epoch = timer->id, .id = timer->secondary_id};
	dws_ledger_key_t key = {.serial = timer->id,
				.tree_position = timer->secondary_id};

	switch (timer->kind) {
	case DWS_TIMER_REQUEST_DEADLINE:
		dws_request_on_deadline(node, timer->id);
		return;
	case DWS_TIMER_REQUEST_ROUTE:
		dws_request_on_route_timer(node, timer->id);
		return;
	case DWS_TIMER_REQUEST_WAIT_TIMEOUT:
		dws_request_on_wait_timeout(node, timer->id);
		return;
	case DWS_TIMER_ATTEMPT_RESEND:
		dws_attempt_resend(node, timer->id);
		return;
	case DWS_TIMER_FENCE_EXPIRY:
		g_hash_table_remove(node->fences, &fence);
		return;
	case DWS_TIMER_LEDGER_EXPIRY:
		dws_request_expire_ledger_entry(node, &key);
		return;
	}
}

static int64_t next_wake_us(dws_node_t *node)
{
	int64_t due_us = node->now_us + MAX_TICK_INTERVAL_US;

	due_us = MIN(due_us, dws_timers_next_us(&node->timers));
	due_us = MIN(due_us, node->membership_due_us);
	due_us = MIN(due_us, dws_sync_due_us(node));
	due_us = MIN(due_us, dws_admission_next_expiry_us(&node->admission));
	due_us = MIN(due_us, dws_request_held_due_us(node));
	if (node->catch_up_until_us > node->now_us)
		due_us = MIN(due_us, node->catch_up_until_us);
	return due_us;
}

/* Performs all work that is due; returns the time of the next tick. */
int64_t dws_node_tick(dws_node_t *node, int64_t now_us, int64_t wall_ms)
{
	dws_timer_t timer;

	begin_input(node, now_us);
	node->wall_offset_ms = wall_ms - node->now_us / DWS_US_PER_MS;
	/*
	 * Queued attempts past their deadline have certainly not run: report
	 * this before the deadline timers of their requests fire.
	 */
	finish_input(node);
	dws_limit_set_slots(&node->admission.limit, upstream_slots(node));
	while (dws_timers_pop(&node->timers, node->now_us, &timer))
		handle_timer(node, &timer);
	dws_sync_set_versions(node);
	node->membership_due_us =
		dws_membership_tick(node->membership, node->now_us);
	dws_sync_tick(node);
	if (!node->draining &&
	    (dws_membership_is_replaced(node->membership) ||
	     dws_membership_is_listed_leaving(node->membership)))
		dws_node_drain(node, node->now_us);
	node->recheck_held = true;
	finish_input(node);
	return next_wake_us(node);
}

/* Accepts a request from a caller or the upstream; returns its call id. */
uint64_t dws_node_call(dws_node_t *node, int64_t now_us, const dws_call_t *call)
{
	uint64_t id;

	begin_input(node, now_us);
	id = dws_node_next_id(node);
	if (call->is_routed)
		dws_request_on_routed_call(node, id, call);
	else
		dws_request_on_call(node, id, call);
	finish_input(node);
	return id;
}

/* Handles the disconnection of a caller. */
void dws_node_caller_disconnected(dws_node_t *node, int64_t now_us,
				  uint64_t call_id)
{
	begin_input(node, now_us);
	dws_request_on_caller_disconnect(node, call_id);
	finish_input(node);
}

/* Handles the outcome of a dispatch. */
void dws_node_dispatch_finished(dws_node_t *node, int64_t now_us,
				uint64_t attempt_id,
				const dws_dispatch_outcome_t *outcome)
{
	begin_input(node, now_us);
	dws_attempt_on_dispatch_end(node, attempt_id, outcome);
	finish_input(node);
}

static void on_execute(dws_node_t *node, const dws_origin_t *from,
		       const Dws__Execute *execute, GBytes *body)
{
	dws_attempt_request_t request = {
		.remote = {.epoch = from->epoch, .id = execute->attempt_id},
		.origin = from,
		.priority = (uint8_t)MIN(execute->priority, 7),
		.idempotent = execute->idempotent};

	if (!execute->request ||
	    !dws_context_from_wire(node, execute->context,
				   dws_node_buffered_us(node),
				   &request.context) ||
	    !dws_payload_from_wire(execute->request, body, &request.payload)) {
		dws_count(node, DWS_COUNT_BAD_MESSAGES);
		return;
	}
	request.kind = execute->request->kind;
	request.service = execute->request->service;
	request.attempt_key = execute->request->attempt_key;
	request.is_routed = request.service[0] != '\0';
	request.max_wait_us = execute->request->max_wait_us;
	dws_attempt_accept(node, &request);
}

/* Acknowledges an answer, so that the executing daemon can free it. */
static void acknowledge(dws_node_t *node, const dws_origin_t *from, uint64_t id)
{
	Dws__Envelope envelope = DWS__ENVELOPE__INIT;
	Dws__Ack ack = DWS__ACK__INIT;

	ack.id = id;
	envelope.body_case = DWS__ENVELOPE__BODY_ACK;
	envelope.ack = &ack;
	dws_envelope_send(node, &from->frame, from->epoch, &envelope, NULL);
}

static void on_answer(dws_node_t *node, const dws_origin_t *from,
		      const Dws__Answer *answer, GBytes *body)
{
	dws_reply_t *reply = dws_reply_from_wire(answer, body);
	dws_request_t *request =
		g_hash_table_lookup(node->requests_by_attempt, &answer->id);
	bool is_idempotent = request && request->kind.idempotent;

	if (!reply) {
		dws_count(node, DWS_COUNT_BAD_MESSAGES);
		return;
	}
	dws_request_on_reply(node, from, reply);
	if (!is_idempotent && !reply->is_submit_reply && !reply->is_running)
		acknowledge(node, from, reply->id);
	dws_reply_free(reply);
}

/* Handles messages that apply only to the process they are addressed to. */
static void on_process_message(dws_node_t *node, const dws_origin_t *from,
			       const Dws__Envelope *envelope, GBytes *body)
{
	dws_remote_id_t remote = {.epoch = from->epoch};

	switch (envelope->body_case) {
	case DWS__ENVELOPE__BODY_CANCEL:
		remote.id = envelope->cancel->id;
		dws_attempt_cancel(node, &remote);
		return;
	case DWS__ENVELOPE__BODY_RECALL:
		dws_attempt_on_recall(node, from, envelope->recall->attempt_id);
		return;
	case DWS__ENVELOPE__BODY_ANSWER:
		on_answer(node, from, envelope->answer, body);
		return;
	case DWS__ENVELOPE__BODY_ACK:
		remote.id = envelope->ack->id;
		dws_attempt_on_ack(node, &remote);
		return;
	default:
		return;
	}
}

/*
 * Refuses an attempt that was addressed to an earlier process with this VM
 * id. The message was read here, so that process has not received it and the
 * attempt has certainly not run.
 */
static void refuse_stale_attempt(dws_node_t *node, const dws_origin_t *from,
				 uint64_t attempt_id)
{
	dws_reply_t *reply = dws_reply_new(attempt_id, DWS_OUTCOME_NOT_RUN,
					   DWS_REASON_CANCELLED);

	dws_reply_send(node, from, reply);
	dws_reply_free(reply);
}

static void on_envelope(dws_node_t *node, const dws_origin_t *from,
			const Dws__Envelope *envelope, GBytes *body)
{
	bool is_for_this_process =
		envelope->to_epoch == 0 || envelope->to_epoch == node->epoch;

	switch (envelope->body_case) {
	case DWS__ENVELOPE__BODY_EXECUTE:
		if (is_for_this_process)
			on_execute(node, from, envelope->execute, body);
		else
			refuse_stale_attempt(node, from,
					     envelope->execute->attempt_id);
		return;
	case DWS__ENVELOPE__BODY_SUBMIT:
		dws_request_on_submit(node, from, envelope->submit, body);
		return;
	case DWS__ENVELOPE__BODY_PULL:
		dws_sync_on_pull(node, from, envelope->pull);
		return;
	case DWS__ENVELOPE__BODY_DOCUMENT:
		dws_sync_on_document(node, from, envelope->document);
		return;
	default:
		if (is_for_this_process)
			on_process_message(node, from, envelope, body);
		return;
	}
}

/* Handles a complete message from a peer's stream. */
bool dws_node_receive_frame(dws_node_t *node, int64_t now_us, GBytes *frame,
			    GError **error)
{
	dws_origin_t from = {0};
	Dws__Envelope *envelope;
	GBytes *body = NULL;

	begin_input(node, now_us);
	envelope = dws_envelope_parse(frame, &from, &body, error);
	if (!envelope)
		return false;
	dws_membership_frame_received(node->membership, node->now_us,
				      from.vm_id, from.epoch,
				      envelope->leaving);
	on_envelope(node, &from, envelope, body);
	dws__envelope__free_unpacked(envelope, NULL);
	g_bytes_unref(body);
	finish_input(node);
	return true;
}

/* Handles a message that was discarded for lack of memory. */
void dws_node_frame_refused(dws_node_t *node, int64_t now_us,
			    const uint8_t *data, size_t size_bytes)
{
	dws_frame_start_t start;

	begin_input(node, now_us);
	dws_frame_read_start(data, size_bytes, &start);
	dws_request_on_refused_frame(node, &start);
	finish_input(node);
}

/* Handles a datagram from a peer. */
bool dws_node_receive_datagram(dws_node_t *node, int64_t now_us,
			       const uint8_t *data, size_t size_bytes,
			       GError **error)
{
	bool ok;

	begin_input(node, now_us);
	ok = dws_membership_receive(node->membership, node->now_us, data,
				    size_bytes, error);
	finish_input(node);
	return ok;
}

/* Handles a broken stream to a peer, or one that could not be opened. */
void dws_node_stream_lost(dws_node_t *node, int64_t now_us,
			  const dws_address_t *to, bool unsent)
{
	begin_input(node, now_us);
	dws_node_log(node, DWS_LOG_WARNING, "stream_lost",
		     "peer=%s:%u unsent=%d", to->ip, to->port, unsent);
	dws_request_on_stream_lost(node, to, unsent);
	dws_attempt_reset_resend_backoff(node, to);
	finish_input(node);
}

/* Handles the result of a read from the platform. */
void dws_node_platform_read_finished(dws_node_t *node, int64_t now_us,
				     dws_platform_item_t item, bool ok,
				     const char *text, size_t size_bytes)
{
	begin_input(node, now_us);
	dws_sync_on_platform_read_finished(node, item, ok, text, size_bytes);
	finish_input(node);
}

/* Starts a graceful shutdown. */
void dws_node_drain(dws_node_t *node, int64_t now_us)
{
	begin_input(node, now_us);
	if (node->draining)
		return;
	node->draining = true;
	node->drain_started_us = node->now_us;
	dws_membership_leave(node->membership, node->now_us);
	dws_node_log(node, DWS_LOG_INFO, "drain_started", "vm=%s",
		     node->settings->vm_id);
	finish_input(node);
}

/*
 * Returns true while a caller waits, an attempt is queued or running, or an
 * answer younger than MAX_ACK_WAIT_US is not acknowledged.
 */
static bool has_pending_work(const dws_node_t *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((dws_request_t *)value)->detached)
			return true;
	}
	g_hash_table_iter_init(&iter, node->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dws_attempt_t *attempt = value;

		if (attempt->state != DWS_ATTEMPT_ANSWERED ||
		    attempt->answered_us + MAX_ACK_WAIT_US > node->now_us)
			return true;
	}
	return false;
}

/* Returns true once a drain is complete. */
bool dws_node_is_drained(const dws_node_t *node, int64_t now_us)
{
	return node->draining && !has_pending_work(node) &&
	       now_us - node->drain_started_us >=
		       node->settings->drain_linger_ms * DWS_US_PER_MS;
}

/* Returns the node's counters, which its driver updates too. */
dws_counters_t *dws_node_counters(dws_node_t *node)
{
	return &node->counters;
}
