/*
 * Frames between daemons: validates received messages and converts between
 * them and internal structures.
 */
#include "connection/envelope.h"
#include "connection/frame.h"
#include <string.h>

/* Fills in the sender and sends an envelope whose message is already set. */
void dws_envelope_send(dws_node_t *node, const dws_address_t *to,
		       uint64_t to_epoch, Dws__Envelope *envelope, GBytes *body)
{
	const dws_settings_t *settings = node->settings;
	dws_frame_t frame;

	envelope->from_vm = (char *)settings->vm_id;
	envelope->from_epoch = node->epoch;
	envelope->from_ip = (char *)settings->frame_listen.ip;
	envelope->from_port = settings->frame_listen.port;
	envelope->leaving = node->draining;
	envelope->to_epoch = to_epoch;
	dws_frame_pack(&frame, envelope, body);
	node->io->ops->send_frame(node->io, to, &frame);
	dws_frame_clear(&frame);
}

/* True for a non-empty text that fits a buffer of this size. */
static bool is_valid_text(const char *text, size_t size)
{
	return text[0] != '\0' && strlen(text) < size;
}

/*
 * Unpacks and validates a frame and fills in its sender and its body. NULL with
 * DWS_ERROR_FRAME if it is malformed.
 */
Dws__Envelope *dws_envelope_parse(GBytes *frame, dws_origin_t *origin,
				  GBytes **body, GError **error)
{
	gsize size_bytes = 0;
	const uint8_t *data = g_bytes_get_data(frame, &size_bytes);
	dws_frame_body_t found = dws_frame_find_body(data, size_bytes);
	Dws__Envelope *envelope = dws_frame_unpack(data, size_bytes, &found);

	if (!envelope || envelope->body_case == DWS__ENVELOPE__BODY__NOT_SET ||
	    !is_valid_text(envelope->from_vm, sizeof(origin->vm_id)) ||
	    !is_valid_text(envelope->from_ip, sizeof(origin->frame.ip)) ||
	    envelope->from_port == 0 || envelope->from_port > UINT16_MAX ||
	    envelope->from_epoch == 0) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_FRAME,
			    "malformed frame of %zu bytes; check that the "
			    "peer is a daemon of this version",
			    (size_t)size_bytes);
		if (envelope)
			dws__envelope__free_unpacked(envelope, NULL);
		return NULL;
	}
	g_strlcpy(origin->vm_id, envelope->from_vm, sizeof(origin->vm_id));
	g_strlcpy(origin->frame.ip, envelope->from_ip,
		  sizeof(origin->frame.ip));
	origin->frame.port = (uint16_t)envelope->from_port;
	origin->epoch = envelope->from_epoch;
	*body = g_bytes_new_from_bytes(frame, found.offset, found.size_bytes);
	return envelope;
}

/* Converts a context to its message; strings and trace id are not copied. */
void dws_context_to_wire(const dws_node_t *node, const dws_context_t *context,
			 Dws__Context *wire)
{
	int64_t remaining_us = context->deadline_us - node->now_us;
	int64_t root_age_us = node->now_us - context->root_started_us;

	dws__context__init(wire);
	wire->trace_id.data = (uint8_t *)context->trace_id;
	wire->trace_id.len = sizeof(context->trace_id);
	wire->parent_span = context->parent_span;
	wire->customer = (char *)context->customer;
	wire->remaining_us = (uint32_t)CLAMP(remaining_us, 0, UINT32_MAX);
	wire->retry_tokens = context->retry_tokens;
	wire->hop = context->hop;
	wire->retried = context->retried;
	wire->home_vm = (char *)context->home_vm;
	wire->home_epoch = context->home_epoch;
	wire->root_serial = context->root_serial;
	wire->place = context->tree_position;
	wire->root_kind = (char *)context->root_kind;
	wire->root_worth = context->root_worth;
	wire->nested = context->is_nested;
	wire->root_age_us = (uint32_t)CLAMP(root_age_us, 0, UINT32_MAX);
}

/*
 * Converts and validates a context from its message. waited_us, the time that
 * the message may have waited unread, is subtracted from the remaining time.
 * False if it is malformed.
 */
bool dws_context_from_wire(const dws_node_t *node, const Dws__Context *wire,
			   int64_t waited_us, dws_context_t *context)
{
	memset(context, 0, sizeof(*context));
	if (!wire || wire->trace_id.len != sizeof(context->trace_id) ||
	    strlen(wire->customer) >= sizeof(context->customer) ||
	    !is_valid_text(wire->home_vm, sizeof(context->home_vm)) ||
	    wire->home_epoch == 0 || wire->hop > DWS_MAX_HOPS)
		return false;
	memcpy(context->trace_id, wire->trace_id.data,
	       sizeof(context->trace_id));
	context->parent_span = wire->parent_span;
	g_strlcpy(context->customer, wire->customer, sizeof(context->customer));
	context->deadline_us = node->now_us + wire->remaining_us - waited_us;
	context->retry_tokens = wire->retry_tokens;
	context->hop = wire->hop;
	context->retried = wire->retried;
	g_strlcpy(context->home_vm, wire->home_vm, sizeof(context->home_vm));
	context->home_epoch = wire->home_epoch;
	context->root_serial = wire->root_serial;
	context->tree_position = wire->place;
	g_strlcpy(context->root_kind, wire->root_kind,
		  sizeof(context->root_kind));
	context->root_worth = MAX(wire->root_worth, 1);
	context->is_nested = wire->nested;
	context->root_started_us = node->now_us - wire->root_age_us - waited_us;
	return true;
}

/* Converts a payload to its message; strings and body are not copied. */
void dws_payload_to_wire(const dws_payload_t *payload, Dws__Request *wire)
{
	gsize size_bytes = 0;

	dws__request__init(wire);
	wire->method = payload->method;
	wire->path = payload->path;
	wire->content_type = payload->content_type;
	wire->body.data =
		(uint8_t *)g_bytes_get_data(payload->body, &size_bytes);
	wire->body.len = size_bytes;
	if (payload->headers)
		wire->headers = payload->headers;
}

/*
 * Copies a payload from its message, but for the body, which it refers to;
 * false if it is malformed.
 */
bool dws_payload_from_wire(const Dws__Request *wire, GBytes *body,
			   dws_payload_t *payload)
{
	if (!wire || wire->method[0] == '\0' || wire->path[0] != '/')
		return false;
	payload->method = g_strdup(wire->method);
	payload->path = g_strdup(wire->path);
	payload->content_type = g_strdup(wire->content_type);
	payload->headers = wire->headers[0] ? g_strdup(wire->headers) : NULL;
	payload->body = g_bytes_ref(body);
	return true;
}

/* Frees what a payload holds and clears it. */
void dws_payload_clear(dws_payload_t *payload)
{
	g_free(payload->method);
	g_free(payload->path);
	g_free(payload->content_type);
	g_free(payload->headers);
	if (payload->body)
		g_bytes_unref(payload->body);
	memset(payload, 0, sizeof(*payload));
}

/* Copies a payload; the body is shared by reference. */
void dws_payload_copy(dws_payload_t *to, const dws_payload_t *from)
{
	to->method = g_strdup(from->method);
	to->path = g_strdup(from->path);
	to->content_type = g_strdup(from->content_type);
	to->headers = g_strdup(from->headers);
	to->body = g_bytes_ref(from->body);
}
