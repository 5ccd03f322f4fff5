/*
 * Replies between daemons: allocation and conversion to and from messages.
 */
#include "connection/reply.h"

#define CONGESTION_MAX_PERMILLE 1000

/* Returns a reply without body and headers; freed with dws_reply_free(). */
dws_reply_t *dws_reply_new(uint64_t id, dws_outcome_t outcome,
			   dws_reason_t reason)
{
	dws_reply_t *reply = g_new0(dws_reply_t, 1);

	reply->id = id;
	reply->outcome = outcome;
	reply->reason = reason;
	return reply;
}

/* Frees a reply; NULL is ignored. */
void dws_reply_free(dws_reply_t *reply)
{
	if (!reply)
		return;
	g_free(reply->content_type);
	g_free(reply->headers);
	g_free(reply->detail);
	if (reply->body)
		g_bytes_unref(reply->body);
	g_free(reply);
}

/* Sends a reply to the process that sent the request. */
void dws_reply_send(dws_node_t *node, const dws_origin_t *to,
		    const dws_reply_t *reply)
{
	Dws__Envelope envelope = DWS__ENVELOPE__INIT;
	Dws__Answer answer = DWS__ANSWER__INIT;
	Dws__Load load = DWS__LOAD__INIT;
	gsize size_bytes = 0;

	load.threshold = reply->load.threshold;
	load.running = reply->load.running;
	load.queued = reply->load.queued;
	load.limit = reply->load.limit;
	load.service_us = reply->load.service_us;
	answer.id = reply->id;
	answer.to_submit = reply->is_submit_reply;
	answer.outcome = (Dws__Outcome)reply->outcome;
	answer.reason = reply->reason;
	answer.status = reply->status;
	answer.tokens_returned = reply->unused_retry_tokens;
	answer.load = &load;
	answer.retry_after_ms = reply->retry_after_ms;
	answer.running = reply->is_running;
	if (reply->content_type)
		answer.content_type = reply->content_type;
	if (reply->headers)
		answer.headers = reply->headers;
	answer.reached = reply->upstream_reached;
	if (reply->congestion.service[0])
		answer.crowded = (char *)reply->congestion.service;
	answer.crowded_permille = reply->congestion.permille;
	answer.call_refused = reply->congestion.call_refused;
	answer.queued_us = (uint32_t)CLAMP(reply->queued_us, 0, UINT32_MAX);
	if (reply->detail)
		answer.detail = reply->detail;
	if (reply->body)
		answer.body.data =
			(uint8_t *)g_bytes_get_data(reply->body, &size_bytes);
	answer.body.len = size_bytes;
	envelope.body_case = DWS__ENVELOPE__BODY_ANSWER;
	envelope.answer = &answer;
	dws_envelope_send(node, &to->frame, to->epoch, &envelope, reply->body);
}

/*
 * Reads the congestion below an attempt. A process of an older version names a
 * service without its congestion, and only if that refused a call.
 */
static void read_congestion(const Dws__Answer *wire,
			    dws_congestion_report_t *report)
{
	bool is_older = wire->crowded[0] && wire->crowded_permille == 0;

	g_strlcpy(report->service, wire->crowded, sizeof(report->service));
	report->permille =
		is_older ? CONGESTION_MAX_PERMILLE
			 : MIN(wire->crowded_permille, CONGESTION_MAX_PERMILLE);
	report->call_refused = wire->call_refused || is_older;
}

/*
 * Copies a reply from its message, but for the body, which it refers to; NULL
 * if it is malformed.
 */
dws_reply_t *dws_reply_from_wire(const Dws__Answer *wire, GBytes *body)
{
	if (wire->outcome < 0 || wire->outcome > DWS__OUTCOME__UNKNOWN ||
	    wire->reason >= DWS_REASON_COUNT || wire->status > 999)
		return NULL;
	dws_reply_t *reply =
		dws_reply_new(wire->id, (dws_outcome_t)wire->outcome,
			      (dws_reason_t)wire->reason);

	reply->is_submit_reply = wire->to_submit;
	reply->status = (uint16_t)wire->status;
	reply->unused_retry_tokens = wire->tokens_returned;
	reply->retry_after_ms = wire->retry_after_ms;
	reply->is_running = wire->running;
	reply->content_type = g_strdup(wire->content_type);
	reply->headers = wire->headers[0] ? g_strdup(wire->headers) : NULL;
	reply->upstream_reached = wire->reached;
	read_congestion(wire, &reply->congestion);
	reply->queued_us = wire->queued_us;
	reply->detail = g_strdup(wire->detail);
	reply->body = g_bytes_ref(body);
	if (wire->load) {
		reply->load.threshold =
			(uint8_t)MIN(wire->load->threshold, UINT8_MAX);
		reply->load.running = wire->load->running;
		reply->load.queued = wire->load->queued;
		reply->load.limit = wire->load->limit;
		reply->load.service_us = wire->load->service_us;
	}
	return reply;
}
