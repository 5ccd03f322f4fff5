/*
 * Frames from peers that were refused for lack of memory.
 */
#include "request/refused_frame.h"
#include "connection/reply.h"
#include "request/request.h"
#include <string.h>

/* Copies a text of a frame; false if it is empty or too long. */
static bool copy_text(char *copy, size_t size, const uint8_t *text,
		      size_t length)
{
	if (length == 0 || length >= size || memchr(text, '\0', length))
		return false;
	memcpy(copy, text, length);
	copy[length] = '\0';
	return true;
}

/* Reads the sender of a frame; false if it is malformed or not complete. */
static bool read_origin(const dws_frame_start_t *start, dws_origin_t *origin)
{
	if (!copy_text(origin->vm_id, sizeof(origin->vm_id), start->from_vm,
		       start->from_vm_length) ||
	    !copy_text(origin->frame.ip, sizeof(origin->frame.ip),
		       start->from_ip, start->from_ip_length) ||
	    start->from_port == 0 || start->from_port > UINT16_MAX ||
	    start->from_epoch == 0)
		return false;
	origin->frame.port = (uint16_t)start->from_port;
	origin->epoch = start->from_epoch;
	return true;
}

/*
 * Refuses an attempt. It never runs, as its frame has been discarded. A copy of
 * one that is known may run.
 */
static void refuse_attempt(dws_node_t *node, const dws_origin_t *origin,
			   uint64_t id)
{
	dws_remote_id_t remote = {.epoch = origin->epoch, .id = id};

	if (g_hash_table_contains(node->attempts_by_remote, &remote))
		return;
	dws_reply_t *reply =
		dws_reply_new(id, DWS_OUTCOME_NOT_RUN, DWS_REASON_OVERLOAD);

	dws_admission_get_load(&node->admission, &reply->load);
	dws_reply_send(node, origin, reply);
	dws_reply_free(reply);
}

/*
 * Refuses a submitted request. Its ticket is not known, by which an earlier
 * copy may have run.
 */
static void refuse_submit(dws_node_t *node, const dws_origin_t *origin,
			  uint64_t id)
{
	dws_remote_id_t remote = {.epoch = origin->epoch, .id = id};

	if (g_hash_table_contains(node->requests_by_submit, &remote))
		return;
	dws_reply_t *reply =
		dws_reply_new(id, DWS_OUTCOME_UNKNOWN, DWS_REASON_OVERLOAD);

	reply->is_submit_reply = true;
	dws_reply_send(node, origin, reply);
	dws_reply_free(reply);
}

/*
 * Ends a request whose answer is lost. The answer of a non-idempotent attempt
 * is sent again until it is acknowledged. An idempotent one is not retried, as
 * its next answer would need as much memory.
 */
static void lose_answer(dws_node_t *node, const dws_origin_t *origin,
			uint64_t id)
{
	dws_request_t *request =
		g_hash_table_lookup(node->requests_by_attempt, &id);

	if (!request) {
		request = dws_request_find(node, id);
		if (!request || request->state != DWS_REQUEST_FORWARDED ||
		    request->context.home_epoch != origin->epoch)
			return;
	} else if (request->state != DWS_REQUEST_SENT ||
		   !request->kind.idempotent ||
		   !g_str_equal(request->target_vm, origin->vm_id)) {
		return;
	}
	request->may_have_run = true;
	dws_request_refuse(node, request, DWS_REASON_UPSTREAM_LOST);
}

void dws_request_on_refused_frame(dws_node_t *node,
				  const dws_frame_start_t *start)
{
	dws_origin_t origin = {0};

	if (start->id == 0 || !read_origin(start, &origin))
		return;
	switch (start->message) {
	case DWS__ENVELOPE__BODY_EXECUTE:
		refuse_attempt(node, &origin, start->id);
		return;
	case DWS__ENVELOPE__BODY_SUBMIT:
		refuse_submit(node, &origin, start->id);
		return;
	case DWS__ENVELOPE__BODY_ANSWER:
		lose_answer(node, &origin, start->id);
		return;
	default:
		return;
	}
}
