/*
 * Deduplication of non-idempotent requests at their home, the only daemon that
 * dispatches them.
 */
#include "request/request.h"

/* Digest to detect a different request sent with an identity in use. */
static uint64_t payload_digest(const dws_payload_t *payload)
{
	gsize size_bytes = 0;
	const void *body = g_bytes_get_data(payload->body, &size_bytes);
	uint64_t digest =
		dws_fnv1a_string(DWS_FNV1A_OFFSET_BASIS, payload->method);

	digest = dws_fnv1a_string(digest, payload->path);
	return dws_fnv1a_bytes(digest, body, size_bytes);
}

static void settle_refused(dws_node_t *node, dws_request_t *request,
			   dws_outcome_t outcome, dws_reason_t reason)
{
	dws_result_t result = dws_result_refused(outcome, reason);

	dws_request_settle(node, request, &result);
}

/* Answers a duplicate from the ledger, or joins it to the first request. */
static void join_entry(dws_node_t *node, dws_request_t *request,
		       dws_ledger_entry_t *entry)
{
	dws_result_t result = {.outcome = DWS_OUTCOME_COMPLETE};

	dws_count(node, DWS_COUNT_JOINED);
	switch (entry->state) {
	case DWS_LEDGER_RUNNING:
		request->state = DWS_REQUEST_JOINED;
		g_array_append_val(entry->waiters, request->id);
		return;
	case DWS_LEDGER_COMPLETE:
		result.status = entry->status;
		result.content_type = entry->content_type;
		result.body = entry->body;
		dws_request_settle(node, request, &result);
		return;
	case DWS_LEDGER_UNKNOWN:
		settle_refused(node, request, DWS_OUTCOME_UNKNOWN,
			       entry->reason);
		return;
	case DWS_LEDGER_CLOSED:
		settle_refused(node, request, DWS_OUTCOME_NOT_RUN,
			       entry->reason);
		return;
	}
}

/*
 * Refuses a request without a ledger entry whose ticket has expired or was
 * closed. The outcome is NOT_RUN, or UNKNOWN once an entry may have been
 * removed, one ticket lifetime after the expiry.
 */
static bool refuse_expired_or_closed(dws_node_t *node, dws_request_t *request,
				     const dws_ledger_key_t *key)
{
	int64_t expiry_us =
		dws_ticket_expiry_us(&node->ticket_issuer, key->serial);

	if (node->now_us >= expiry_us + node->ticket_issuer.ttl_us) {
		settle_refused(node, request, DWS_OUTCOME_UNKNOWN,
			       DWS_REASON_TICKET_EXPIRED);
		return true;
	}
	if (node->now_us >= expiry_us) {
		settle_refused(node, request, DWS_OUTCOME_NOT_RUN,
			       DWS_REASON_TICKET_EXPIRED);
		return true;
	}
	if (dws_ledger_is_closed(&node->ledger, key)) {
		settle_refused(node, request, DWS_OUTCOME_NOT_RUN,
			       DWS_REASON_OVERLOAD);
		return true;
	}
	return false;
}

/*
 * Refuses a request that has no ledger entry, and closes its ticket, so that
 * it can't run later.
 */
static void refuse_and_close(dws_node_t *node, dws_request_t *request,
			     const dws_ledger_key_t *key, dws_reason_t reason)
{
	int64_t expires_us =
		dws_ticket_expiry_us(&node->ticket_issuer, key->serial) +
		node->ticket_issuer.ttl_us;

	dws_ledger_close_unused(&node->ledger, key, expires_us, reason);
	settle_refused(node, request, DWS_OUTCOME_NOT_RUN, reason);
}

/* Starts the timer that removes a ledger entry. */
static void start_expiry_timer(dws_node_t *node, const dws_ledger_key_t *key,
			       int64_t due_us)
{
	dws_timer_t timer = {.due_us = due_us,
			     .kind = DWS_TIMER_LEDGER_EXPIRY,
			     .id = key->serial,
			     .secondary_id = key->tree_position};

	dws_timers_add(&node->timers, &timer);
}

/*
 * Admits a non-idempotent request at its home: joins it to the ledger entry of
 * its identity, or adds an entry and starts it.
 */
void dws_request_admit_at_home(dws_node_t *node, dws_request_t *request)
{
	dws_ledger_key_t key = {.serial = request->context.root_serial,
				.tree_position =
					request->context.tree_position};
	dws_ledger_entry_t *entry = dws_ledger_find(&node->ledger, &key);
	uint64_t digest = payload_digest(&request->payload);
	int64_t expires_us =
		dws_ticket_expiry_us(&node->ticket_issuer, key.serial) +
		node->ticket_issuer.ttl_us;

	if (entry && entry->state != DWS_LEDGER_CLOSED &&
	    entry->digest != digest) {
		settle_refused(node, request, DWS_OUTCOME_NOT_RUN,
			       DWS_REASON_TICKET_REUSED);
		return;
	}
	if (entry) {
		join_entry(node, request, entry);
		return;
	}
	if (refuse_expired_or_closed(node, request, &key))
		return;
	start_expiry_timer(node, &key, expires_us);
	if (node->draining && key.tree_position == 0) {
		refuse_and_close(node, request, &key, DWS_REASON_DRAINING);
		return;
	}
	if (!dws_ledger_add(&node->ledger, &key, digest, request->id,
			    expires_us)) {
		refuse_and_close(node, request, &key, DWS_REASON_LEDGER_FULL);
		return;
	}
	request->owns_ledger_entry = true;
	dws_request_start(node, request);
}

/*
 * Removes an expired ledger entry. A request that still runs is settled as
 * UNKNOWN, or checked again in 1 s while its caller waits for the result.
 */
void dws_request_expire_ledger_entry(dws_node_t *node,
				     const dws_ledger_key_t *key)
{
	dws_ledger_entry_t *entry = dws_ledger_find(&node->ledger, key);

	if (!entry)
		return;
	if (entry->state == DWS_LEDGER_RUNNING) {
		dws_request_t *request =
			dws_request_find(node, entry->request_id);

		if (request && !request->detached) {
			start_expiry_timer(node, key,
					   node->now_us + DWS_US_PER_S);
			return;
		}
		if (request)
			settle_refused(node, request, DWS_OUTCOME_UNKNOWN,
				       DWS_REASON_UPSTREAM_LOST);
		else
			dws_ledger_set_unknown(entry, DWS_REASON_UPSTREAM_LOST);
	}
	dws_ledger_expire(&node->ledger, key, node->now_us);
}
