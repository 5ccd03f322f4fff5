/*
 * Answers of the routed listener: keeps and serializes them.
 */
#include <string.h>
#include "connection/http_response_io.h"
#include "connection/routed_server_internal_io.h"

#define MS_PER_S 1000.0
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define STATUS_BAD_GATEWAY 502

static void append_header(GString *head, const char *name, const char *value)
{
	g_string_append(head, name);
	g_string_append(head, ": ");
	g_string_append(head, value);
	g_string_append(head, "\r\n");
}

/* Appends a status line, as "HTTP/1.1 503 Service Unavailable". */
static void append_status(GString *head, uint16_t status)
{
	const char *reason = http_status_str((enum http_status)status);

	g_string_append_printf(head, "HTTP/1.1 %u %s\r\n", status,
			       reason ? reason : "");
}

/* Appends the headers of an answer that this daemon generates itself. */
static void append_error_headers(GString *head,
				 const dws_routed_request_t *request,
				 const dws_answer_t *answer)
{
	const dws_http_names_t *http_names =
		request->connection->server->http_names;
	char seconds[G_ASCII_DTOSTR_BUF_SIZE];

	append_header(head, "Content-Type", "application/json");
	if (request->attempt_key[0])
		append_header(head, http_names->attempt_key_header,
			      request->attempt_key);
	if (answer->retry_after_ms > 0) {
		g_ascii_formatd(seconds, sizeof(seconds), "%.3f",
				(double)answer->retry_after_ms / MS_PER_S);
		append_header(head, "Retry-After", seconds);
	}
}

/* Stores an answer of the upstream. */
static void set_complete(dws_routed_request_t *request,
			 const dws_answer_t *answer)
{
	append_status(request->answer, answer->status);
	if (answer->headers)
		g_string_append(request->answer, answer->headers);
	if (answer->body)
		request->answer_body = g_bytes_ref(answer->body);
}

/* Stores an answer that this daemon generates itself. */
static void set_error_answer(dws_routed_request_t *request,
			     const dws_answer_t *answer)
{
	char *json = dws_http_error_json(answer);

	append_status(request->answer, answer->status);
	append_error_headers(request->answer, request, answer);
	request->answer_body = dws_memory_copy(
		request->connection->server->memory, json, strlen(json));
	g_free(json);
}

/*
 * True if an answer of the upstream may wait for the client. Its body is in the
 * account already; it has to go if this client holds more than is left.
 */
static bool has_room(const dws_routed_request_t *request,
		     const dws_answer_t *answer)
{
	const dws_routed_connection_t *connection = request->connection;
	size_t held_bytes = dws_routed_connection_held_bytes(connection);

	if (answer->body)
		held_bytes += g_bytes_get_size(answer->body);
	return dws_memory_has_room(connection->server->memory, held_bytes, 0);
}

/* Stores an error in place of an answer that there is no memory for. */
static void set_no_memory(dws_routed_request_t *request)
{
	static const dws_answer_t lost = {
		.outcome = DWS_OUTCOME_UNKNOWN,
		.reason = DWS_REASON_UPSTREAM_LOST,
		.status = STATUS_BAD_GATEWAY,
		.detail = "the request has run, but the daemon's memory for "
			  "answers is used up; read answers faster",
	};

	dws_counters_add(request->connection->server->counters,
			 DWS_COUNT_ANSWERS_DROPPED, 1);
	request->status = lost.status;
	set_error_answer(request, &lost);
}

/* Stores an answer until it can be written. */
void dws_routed_request_set_answer(dws_routed_request_t *request,
				   const dws_answer_t *answer)
{
	request->answer = g_string_sized_new(256);
	request->status = answer->status;
	if (answer->outcome != DWS_OUTCOME_COMPLETE)
		set_error_answer(request, answer);
	else if (has_room(request, answer))
		set_complete(request, answer);
	else
		set_no_memory(request);
	dws_routed_request_set_held(request, DWS_ROUTED_REQUEST_BYTES +
						     request->answer->len);
	if (request->answer_body)
		dws_routed_request_count_body(request);
}

/* True if answers of this status have no body and no Content-Length. */
static bool has_no_body(uint16_t status)
{
	return status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
}

/* Appends the stored answer to out; closes adds "Connection: close". */
void dws_routed_request_write_answer(dws_output_t *out,
				     const dws_routed_request_t *request,
				     bool closes)
{
	GString *head = request->answer;
	GBytes *body = request->answer_body;

	if (!has_no_body(request->status))
		g_string_append_printf(head, "Content-Length: %zu\r\n",
				       body ? (size_t)g_bytes_get_size(body)
					    : 0);
	if (closes)
		append_header(head, "Connection", "close");
	g_string_append(head, "\r\n");
	dws_output_append(out, head->str, head->len);
	if (body && !request->is_head_only && !has_no_body(request->status))
		dws_output_append_bytes(out, body);
}
