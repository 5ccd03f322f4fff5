/*
 * Parses and validates the request line and headers of HTTP requests.
 */
#include <string.h>
#include "connection/http_request_io.h"

#define METHOD_MAX_LENGTH 15
#define TOKEN_MAX_LENGTH 128
#define TICKET_MAX_LENGTH 512
#define CONTENT_TYPE_MAX_LENGTH 256
#define CALL_ID_LENGTH 16
#define TIMEOUT_MAX_MS 600000
/* Offsets and lengths in a traceparent "VV-TRACE-SPAN-FF". */
#define TRACEPARENT_LENGTH 55
#define TRACE_OFFSET 3
#define TRACE_LENGTH 32
#define SPAN_OFFSET 36
#define SPAN_LENGTH 16
#define FLAGS_OFFSET 53

static const char *get_header(struct MHD_Connection *connection,
			      const char *name)
{
	return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

/* True for a text of 1 to max_length characters from first to '~'. */
static bool is_printable(const char *text, char first, size_t max_length)
{
	size_t length = strlen(text);

	if (length == 0 || length > max_length)
		return false;
	for (size_t i = 0; i < length; i++) {
		if (text[i] < first || text[i] > '~')
			return false;
	}
	return true;
}

static bool is_hex(const char *text, size_t length)
{
	for (size_t i = 0; i < length; i++) {
		if (!g_ascii_isxdigit(text[i]) || g_ascii_isupper(text[i]))
			return false;
	}
	return true;
}

static bool is_zero(const char *text, size_t length)
{
	for (size_t i = 0; i < length; i++) {
		if (text[i] != '0')
			return false;
	}
	return true;
}

/*
 * Validates a traceparent of any version (W3C Trace Context, section 3.2). Of
 * later versions, only the fields of version 00 are copied.
 */
bool dws_traceparent_copy(const char *text, char copy[DWS_TRACEPARENT_SIZE])
{
	size_t length = strlen(text);

	if (length < TRACEPARENT_LENGTH || text[2] != '-' ||
	    text[SPAN_OFFSET - 1] != '-' || text[FLAGS_OFFSET - 1] != '-')
		return false;
	if (!is_hex(text, 2) || !is_hex(text + TRACE_OFFSET, TRACE_LENGTH) ||
	    !is_hex(text + SPAN_OFFSET, SPAN_LENGTH) ||
	    !is_hex(text + FLAGS_OFFSET, 2))
		return false;
	if (strncmp(text, "ff", 2) == 0 ||
	    is_zero(text + TRACE_OFFSET, TRACE_LENGTH) ||
	    is_zero(text + SPAN_OFFSET, SPAN_LENGTH))
		return false;
	if (length > TRACEPARENT_LENGTH &&
	    (strncmp(text, "00", 2) == 0 || text[TRACEPARENT_LENGTH] != '-'))
		return false;
	memcpy(copy, text, TRACEPARENT_LENGTH);
	copy[TRACEPARENT_LENGTH] = '\0';
	return true;
}

static const char *parse_timeout(dws_call_t *call, const char *text)
{
	int64_t timeout_ms = 0;

	for (const char *c = text; *c; c++) {
		if (!g_ascii_isdigit(*c) || timeout_ms > TIMEOUT_MAX_MS)
			return "Dogwoodshift-Timeout-Ms is not a number of "
			       "milliseconds; send 1 to 600000 or omit it";
		timeout_ms = timeout_ms * 10 + (*c - '0');
	}
	if (timeout_ms < 1 || timeout_ms > TIMEOUT_MAX_MS)
		return "Dogwoodshift-Timeout-Ms is out of range; send 1 to "
		       "600000 or omit it";
	call->timeout_us = timeout_ms * DWS_US_PER_MS;
	return NULL;
}

/* Parses the headers that only nested calls carry. */
static const char *parse_nested_headers(dws_call_t *call,
					struct MHD_Connection *connection)
{
	const char *parent = get_header(connection, "Dogwoodshift-Call");

	call->is_nested = true;
	call->idempotency_key = get_header(connection, "Idempotency-Key");
	if (call->idempotency_key &&
	    !is_printable(call->idempotency_key, '!', TOKEN_MAX_LENGTH))
		return "Idempotency-Key is malformed; send 1 to 128 visible "
		       "ASCII characters";
	if (!parent)
		return NULL;
	if (strlen(parent) != CALL_ID_LENGTH || !is_hex(parent, CALL_ID_LENGTH))
		return "Dogwoodshift-Call is malformed; copy the value from "
		       "the request that this call serves";
	call->parent_attempt = g_ascii_strtoull(parent, NULL, 16);
	return NULL;
}

/*
 * Parses the headers that only root requests carry. An invalid traceparent is
 * ignored.
 */
static const char *parse_root_headers(dws_http_request_t *request,
				      struct MHD_Connection *connection)
{
	const char *trace = get_header(connection, "traceparent");

	request->call.ticket = get_header(connection, "Dogwoodshift-Ticket");
	if (request->call.ticket &&
	    !is_printable(request->call.ticket, '!', TICKET_MAX_LENGTH))
		return "Dogwoodshift-Ticket is malformed; send the value "
		       "of Dogwoodshift-Next-Ticket unchanged";
	if (trace && dws_traceparent_copy(trace, request->traceparent))
		request->call.traceparent = request->traceparent;
	return NULL;
}

static const char *check_request_line(const char *method, const char *target)
{
	if (!is_printable(method, '!', METHOD_MAX_LENGTH))
		return "the method is malformed; send at most 15 visible "
		       "ASCII characters";
	if (target[0] != '/' || !is_printable(target, '!', SIZE_MAX))
		return "the path is malformed; start it with a slash and "
		       "percent-encode all but visible ASCII characters";
	return NULL;
}

/*
 * Parses a request head. Strings in the call belong to the connection or to
 * the request.
 */
const char *dws_http_request_parse(dws_http_request_t *request,
				   struct MHD_Connection *connection,
				   const char *method, const char *target,
				   bool is_nested)
{
	dws_call_t *call = &request->call;
	const char *timeout = get_header(connection, "Dogwoodshift-Timeout-Ms");
	const char *problem = check_request_line(method, target);

	memset(request, 0, sizeof(*request));
	call->method = method;
	call->path = target;
	call->content_type =
		get_header(connection, MHD_HTTP_HEADER_CONTENT_TYPE);
	call->customer = get_header(connection, "Dogwoodshift-Customer");
	if (!problem && call->content_type &&
	    !is_printable(call->content_type, ' ', CONTENT_TYPE_MAX_LENGTH))
		problem = "Content-Type is malformed; send 1 to 256 printable "
			  "ASCII characters";
	if (!problem && call->customer &&
	    !is_printable(call->customer, '!', TOKEN_MAX_LENGTH))
		problem = "Dogwoodshift-Customer is malformed; send 1 to 128 "
			  "visible ASCII characters";
	if (!problem && timeout)
		problem = parse_timeout(call, timeout);
	if (!problem)
		problem = is_nested ? parse_nested_headers(call, connection)
				    : parse_root_headers(request, connection);
	return problem;
}
