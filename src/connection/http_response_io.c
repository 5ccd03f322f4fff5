/*
 * Converts answers to HTTP responses of libmicrohttpd.
 */
#include <string.h>
#include "connection/http_response_io.h"

#define MS_PER_S 1000
#define NUMBER_SIZE 24

/* Appends a text as a JSON string, with invalid UTF-8 replaced by U+FFFD. */
static void append_json_string(GString *json, const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);

	g_string_append_c(json, '"');
	for (const char *c = valid; *c; c++) {
		unsigned char byte = (unsigned char)*c;

		if (byte == '"' || byte == '\\')
			g_string_append_printf(json, "\\%c", byte);
		else if (byte < ' ' || byte == 0x7f)
			g_string_append_printf(json, "\\u%04x", byte);
		else
			g_string_append_c(json, *c);
	}
	g_string_append_c(json, '"');
	g_free(valid);
}

/* Formats {"outcome":..,"reason":..,"detail":..,"retry_after_ms":N}. */
char *dws_http_error_json(const dws_answer_t *answer)
{
	GString *json = g_string_new("{\"outcome\":");

	append_json_string(json, dws_outcome_name(answer->outcome));
	g_string_append(json, ",\"reason\":");
	append_json_string(json, dws_reason_name(answer->reason));
	g_string_append(json, ",\"detail\":");
	append_json_string(json, answer->detail ? answer->detail : "");
	g_string_append_printf(json, ",\"retry_after_ms\":%" G_GINT64_FORMAT,
			       answer->retry_after_ms);
	g_string_append(json, "}\n");
	return g_string_free(json, FALSE);
}

/* Adds the headers with outcome, reason, next ticket, trace and Retry-After. */
static void add_outcome_headers(struct MHD_Response *response,
				const dws_answer_t *answer)
{
	char seconds[NUMBER_SIZE];

	MHD_add_response_header(response, "Dogwoodshift-Outcome",
				dws_outcome_name(answer->outcome));
	if (answer->reason != DWS_REASON_NONE)
		MHD_add_response_header(response, "Dogwoodshift-Reason",
					dws_reason_name(answer->reason));
	if (answer->next_ticket)
		MHD_add_response_header(response, "Dogwoodshift-Next-Ticket",
					answer->next_ticket);
	if (answer->trace_id[0])
		MHD_add_response_header(response, "Dogwoodshift-Trace",
					answer->trace_id);
	if (answer->retry_after_ms > 0) {
		g_snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT,
			   (answer->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
		MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER,
					seconds);
	}
}

/* Releases the body of a response. */
static void unref_body(void *body)
{
	g_bytes_unref(body);
}

/* Builds a response that refers to a body; NULL: an empty one. */
static struct MHD_Response *response_of_body(GBytes *body)
{
	gsize size_bytes = 0;
	/* The cast drops a const: libmicrohttpd does not write here. */
	void *data = body ? (void *)g_bytes_get_data(body, &size_bytes) : NULL;

	if (size_bytes == 0)
		return MHD_create_response_from_buffer(0, NULL,
						       MHD_RESPMEM_PERSISTENT);
	return MHD_create_response_from_buffer_with_free_callback_cls(
		size_bytes, data, unref_body, g_bytes_ref(body));
}

/* Builds the response of an answer, or of a failed request. */
struct MHD_Response *dws_http_response_from_answer(const dws_answer_t *answer)
{
	struct MHD_Response *response;

	if (answer->outcome == DWS_OUTCOME_COMPLETE) {
		response = response_of_body(answer->body);
		if (answer->content_type && answer->content_type[0])
			MHD_add_response_header(response,
						MHD_HTTP_HEADER_CONTENT_TYPE,
						answer->content_type);
	} else {
		char *json = dws_http_error_json(answer);

		response =
			dws_http_response_from_text("application/json", json);
		g_free(json);
	}
	add_outcome_headers(response, answer);
	return response;
}

/* Builds a response with a copy of a text. */
struct MHD_Response *dws_http_response_from_text(const char *type,
						 const char *text)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	return response;
}
