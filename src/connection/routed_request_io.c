/*
 * Requests of the routed listener: parses them into calls, or rejects them.
 */
#include <string.h>
#include "connection/routed_server_internal_io.h"

#define TARGET_MAX_BYTES (16 * 1024)
#define TIMEOUT_MAX_MS 600000
/* Of the body of a request that is rejected once it is complete. */
#define DISCARDED_MAX_BYTES (64 * 1024)
#define MS_PER_S 1000.0
/* Retry-After of requests that are rejected because the daemon shuts down. */
#define DRAINING_RETRY_AFTER_MS 1000
/* The same for lack of memory. */
#define NO_MEMORY_RETRY_AFTER_MS 500
/* Bytes of a body from which its connection gets a large receive window. */
#define LARGE_BODY_BYTES (64 * 1024)
/*
 * Copies of a head while it is received: as lines, as the headers to be
 * forwarded, and with the owner.
 */
#define HEAD_COPIES 3
/* Largest buffer for header lines that an idle connection keeps. */
#define LINES_KEPT_BYTES (2 * 1024)
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_TOO_LARGE 413
#define STATUS_HEAD_TOO_LARGE 431

static const char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";
static const char body_too_large_detail[] =
	"request body exceeds max_body_bytes; send a smaller one";

static void free_body(dws_routed_request_t *request)
{
	if (!request->body)
		return;
	dws_memory_remove(request->connection->server->memory,
			  request->body->len);
	g_byte_array_free(request->body, TRUE);
	request->body = NULL;
}

/* Frees the parts of a head that the owner has copied. */
static void free_head(dws_routed_request_t *request)
{
	if (request->target)
		g_string_free(request->target, TRUE);
	g_free(request->host);
	g_free(request->headers);
	request->target = NULL;
	request->host = NULL;
	request->headers = NULL;
}

void dws_routed_request_set_held(dws_routed_request_t *request,
				 size_t held_bytes)
{
	dws_routed_connection_t *connection = request->connection;
	dws_memory_t *memory = connection->server->memory;

	dws_memory_remove(memory, request->held_bytes);
	dws_memory_add(memory, held_bytes);
	connection->held_bytes += held_bytes - request->held_bytes;
	request->held_bytes = held_bytes;
}

void dws_routed_request_count_body(dws_routed_request_t *request)
{
	size_t size_bytes = g_bytes_get_size(request->answer_body);

	request->connection->held_bytes +=
		size_bytes - request->answer_body_bytes;
	request->answer_body_bytes = size_bytes;
}

size_t
dws_routed_connection_held_bytes(const dws_routed_connection_t *connection)
{
	return connection->held_bytes + connection->out.size_bytes;
}

size_t
dws_routed_connection_all_bytes(const dws_routed_connection_t *connection)
{
	const dws_routed_request_t *reading = connection->reading;
	size_t body_bytes = reading && reading->body ? reading->body->len : 0;

	return dws_routed_connection_held_bytes(connection) + body_bytes;
}

/* Frees a request that has left connection->requests and server->calls. */
void dws_routed_request_free(dws_routed_request_t *request)
{
	free_body(request);
	free_head(request);
	dws_routed_request_set_held(request, 0);
	request->connection->held_bytes -= request->answer_body_bytes;
	if (request->answer)
		g_string_free(request->answer, TRUE);
	if (request->answer_body)
		g_bytes_unref(request->answer_body);
	g_free(request);
}

/* Retry-After of a request that this daemon rejects; 0: none. */
static int64_t retry_after_ms(dws_reason_t reason)
{
	if (reason == DWS_REASON_DRAINING)
		return DRAINING_RETRY_AFTER_MS;
	if (reason == DWS_REASON_OVERLOAD)
		return NO_MEMORY_RETRY_AFTER_MS;
	return 0;
}

/* Answers a request with an error instead of forwarding it. */
static void reject(dws_routed_request_t *request, uint16_t status,
		   dws_reason_t reason, const char *detail)
{
	dws_answer_t answer = {
		.outcome = DWS_OUTCOME_NOT_RUN,
		.reason = reason,
		.status = status,
		.retry_after_ms = retry_after_ms(reason),
		.detail = detail,
	};

	dws_routed_request_answer(request, &answer);
}

/* Rejects the request being received and discards any further input. */
void dws_routed_connection_reject_partial(dws_routed_connection_t *connection,
					  uint16_t status, dws_reason_t reason,
					  const char *detail)
{
	dws_routed_request_t *request = connection->reading;

	if (!request)
		return;
	connection->reading = NULL;
	connection->is_input_closed = true;
	request->keeps_alive = false;
	free_body(request);
	free_head(request);
	g_queue_push_tail(&connection->requests, request);
	reject(request, status, reason, detail);
}

/*
 * Records the first error of a request. The rest of the request is still
 * received, but not kept.
 */
static void set_error(dws_routed_request_t *request, uint16_t status,
		      const char *detail)
{
	if (request->status)
		return;
	request->status = status;
	request->error_detail = detail;
}

/*
 * Refuses a request for lack of memory. It is answered as soon as the parser
 * has returned, and the rest of its connection is discarded.
 */
static int refuse_at_once(http_parser *parser)
{
	dws_routed_connection_t *connection = parser->data;
	dws_routed_request_t *request = connection->reading;

	request->is_refused = true;
	free_body(request);
	dws_counters_add(connection->server->counters, DWS_COUNT_REFUSED_MEMORY,
			 1);
	http_parser_pause(parser, 1);
	return 0;
}

static dws_routed_request_t *parsed_request(http_parser *parser)
{
	return ((dws_routed_connection_t *)parser->data)->reading;
}

/* True if a request may hold more bytes, which are then in the account. */
static bool hold(dws_routed_request_t *request, size_t more_bytes)
{
	const dws_routed_connection_t *connection = request->connection;

	if (!dws_memory_has_room(connection->server->memory,
				 dws_routed_connection_held_bytes(connection),
				 more_bytes))
		return false;
	dws_routed_request_set_held(request, request->held_bytes + more_bytes);
	return true;
}

/* Empties the buffer for header lines; frees it if it has grown large. */
static void clear_lines(dws_routed_connection_t *connection)
{
	if (connection->lines->allocated_len <= LINES_KEPT_BYTES) {
		g_string_set_size(connection->lines, 0);
		return;
	}
	g_string_free(connection->lines, TRUE);
	connection->lines = g_string_new(NULL);
}

/*
 * Creates the request that a connection reads; without room in the account it
 * is refused.
 */
static dws_routed_request_t *begin_request(dws_routed_connection_t *connection)
{
	dws_routed_request_t *request = g_new0(dws_routed_request_t, 1);

	request->connection = connection;
	request->target = g_string_sized_new(64);
	request->body = g_byte_array_new();
	connection->reading = request;
	connection->in_value = false;
	clear_lines(connection);
	dws_routed_connection_begin_wait(connection);
	if (!hold(request, DWS_ROUTED_REQUEST_BYTES))
		refuse_at_once(&connection->parser);
	return request;
}

static int on_message_begin(http_parser *parser)
{
	begin_request(parser->data);
	return 0;
}

/*
 * Counts bytes of the request head; false if max_header_bytes is exceeded or
 * the account has no room for them.
 */
static bool add_head_bytes(http_parser *parser, size_t size_bytes)
{
	dws_routed_request_t *request = parsed_request(parser);
	dws_routed_server_t *server = request->connection->server;
	dws_caller_limits_t limits;

	if (request->is_refused)
		return false;
	request->head_bytes += size_bytes;
	server->ops->get_limits(server->context, &limits);
	if (request->head_bytes > limits.max_header_bytes) {
		set_error(request, STATUS_HEAD_TOO_LARGE,
			  "request head exceeds max_header_bytes; shorten it");
		return false;
	}
	if (hold(request, size_bytes * HEAD_COPIES))
		return true;
	refuse_at_once(parser);
	return false;
}

static int on_url(http_parser *parser, const char *at, size_t length)
{
	dws_routed_request_t *request = parsed_request(parser);

	if (add_head_bytes(parser, length) &&
	    request->target->len + length <= TARGET_MAX_BYTES)
		g_string_append_len(request->target, at, (gssize)length);
	else
		set_error(request, STATUS_HEAD_TOO_LARGE,
			  "request target exceeds 16384 bytes; shorten the "
			  "path or the query");
	return 0;
}

static int on_header_field(http_parser *parser, const char *at, size_t length)
{
	dws_routed_connection_t *connection = parser->data;

	if (connection->in_value)
		g_string_append_c(connection->lines, '\0');
	connection->in_value = false;
	if (add_head_bytes(parser, length))
		g_string_append_len(connection->lines, at, (gssize)length);
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t length)
{
	dws_routed_connection_t *connection = parser->data;

	if (!connection->in_value)
		g_string_append_c(connection->lines, '\0');
	connection->in_value = true;
	if (add_head_bytes(parser, length))
		g_string_append_len(connection->lines, at, (gssize)length);
	return 0;
}

/* True if a comma-separated list of tokens contains a name. */
static bool list_contains(const char *list, const char *name, size_t length)
{
	while (list && *list) {
		size_t skip = strspn(list, " \t,");
		size_t size = strcspn(list + skip, " \t,");

		if (size == length &&
		    g_ascii_strncasecmp(list + skip, name, length) == 0)
			return true;
		list += skip + size;
	}
	return false;
}

/* Parses milliseconds into microseconds; false if the text is no number. */
static bool parse_timeout(const char *text, int64_t *timeout_us)
{
	guint64 number = 0;

	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64 / DWS_US_PER_MS,
					&number, NULL))
		return false;
	/* 0 ms becomes 1 us, as a timeout_us of 0 means that none was given. */
	*timeout_us =
		MAX((int64_t)MIN(number, TIMEOUT_MAX_MS) * DWS_US_PER_MS, 1);
	return true;
}

/* Evaluates a request header that this daemon uses itself. */
static void apply_header(dws_routed_request_t *request, const char *name,
			 const char *value)
{
	const dws_http_names_t *http_names =
		request->connection->server->http_names;

	if (g_ascii_strcasecmp(name, "Host") == 0) {
		if (request->host)
			set_error(request, STATUS_BAD_REQUEST,
				  "more than one Host header; send one");
		else
			request->host = g_strdup(value);
	} else if (g_ascii_strcasecmp(name, http_names->attempt_key_header) ==
		   0) {
		if (strlen(value) < sizeof(request->attempt_key))
			g_strlcpy(request->attempt_key, value,
				  sizeof(request->attempt_key));
	} else if (g_ascii_strcasecmp(name, http_names->remaining_ms_header) ==
		   0) {
		if (!parse_timeout(value, &request->timeout_us))
			set_error(request, STATUS_BAD_REQUEST,
				  "the header with the remaining time is not "
				  "a number of milliseconds; correct or omit "
				  "it");
	}
}

/* Returns the value of the first header of a name, or NULL. */
static const char *find_value(const GString *lines, const char *name)
{
	const char *end = lines->str + lines->len;

	for (const char *at = lines->str; at < end;) {
		const char *value = at + strlen(at) + 1;

		if (g_ascii_strcasecmp(at, name) == 0)
			return value;
		at = value + strlen(value) + 1;
	}
	return NULL;
}

/*
 * Returns the headers to be forwarded, and the header with the service of the
 * local upstream as the caller. Freed with g_free().
 */
static char *
collect_forwarded_headers(const dws_routed_connection_t *connection)
{
	const GString *lines = connection->lines;
	const dws_routed_server_t *server = connection->server;
	const char *connection_options = find_value(lines, "Connection");
	const char *end = lines->str + lines->len;
	GString *forwarded = g_string_sized_new(lines->len + 64);

	for (const char *at = lines->str; at < end;) {
		size_t length = strlen(at);
		const char *value = at + length + 1;

		if (!dws_http_names_is_per_hop(server->http_names, at,
					       length) &&
		    !list_contains(connection_options, at, length)) {
			g_string_append_len(forwarded, at, (gssize)length);
			g_string_append(forwarded, ": ");
			g_string_append(forwarded, value);
			g_string_append(forwarded, "\r\n");
		}
		at = value + strlen(value) + 1;
	}
	g_string_append(forwarded, server->http_names->caller_service_header);
	g_string_append(forwarded, ": ");
	g_string_append(forwarded, server->service);
	g_string_append(forwarded, "\r\n");
	return g_string_free(forwarded, FALSE);
}

/*
 * Answers a request with its error once the parser has returned. The rest of
 * its connection is discarded.
 */
static void reject_now(http_parser *parser)
{
	parsed_request(parser)->is_rejected_now = true;
	http_parser_pause(parser, 1);
}

/* Records an error if the length of the body is over the limit. */
static void reject_large_body(http_parser *parser)
{
	dws_routed_request_t *request = parsed_request(parser);
	dws_routed_server_t *server = request->connection->server;
	dws_caller_limits_t limits;
	bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;

	server->ops->get_limits(server->context, &limits);
	if (has_length && parser->content_length > limits.max_body_bytes)
		set_error(request, STATUS_TOO_LARGE, body_too_large_detail);
}

static int on_headers_complete(http_parser *parser)
{
	dws_routed_connection_t *connection = parser->data;
	dws_routed_request_t *request = connection->reading;
	GString *lines = connection->lines;
	const char *expected;

	if (lines->len > 0)
		g_string_append_c(lines, '\0');
	request->has_head = true;
	request->method = http_method_str((enum http_method)parser->method);
	request->is_head_only = parser->method == HTTP_HEAD;
	/* Protocol upgrades are not supported. */
	parser->upgrade = 0;
	reject_large_body(parser);
	if (!request->status) {
		const char *end = lines->str + lines->len;

		for (const char *at = lines->str; at < end;) {
			const char *value = at + strlen(at) + 1;

			apply_header(request, at, value);
			at = value + strlen(value) + 1;
		}
		request->headers = collect_forwarded_headers(connection);
	}
	request->receive_until =
		ev_now(connection->server->ev) +
		(request->timeout_us > 0
			 ? (double)request->timeout_us / DWS_US_PER_S
			 : TIMEOUT_MAX_MS / MS_PER_S);
	expected = find_value(lines, "Expect");
	if (!expected || g_ascii_strcasecmp(expected, "100-continue") != 0)
		return 0;
	if (request->status)
		reject_now(parser);
	else if (connection->requests.length == 0)
		dws_output_append(&connection->out, continue_line,
				  strlen(continue_line));
	return 0;
}

/*
 * Discards a part of the body of a request that will be rejected. After much of
 * it the answer isn't put off any longer, as the body may have no end.
 */
static int discard_body(http_parser *parser, size_t length)
{
	dws_routed_request_t *request = parsed_request(parser);

	request->discarded_bytes += length;
	if (request->discarded_bytes > DISCARDED_MAX_BYTES)
		reject_now(parser);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t length)
{
	dws_routed_request_t *request = parsed_request(parser);
	dws_routed_server_t *server = request->connection->server;
	dws_caller_limits_t limits;

	if (request->status)
		return discard_body(parser, length);
	server->ops->get_limits(server->context, &limits);
	if (request->body->len + length > limits.max_body_bytes) {
		set_error(request, STATUS_TOO_LARGE, body_too_large_detail);
		free_body(request);
		return discard_body(parser, length);
	}
	if (!dws_memory_has_room(server->memory, request->body->len, length))
		return refuse_at_once(parser);
	if (request->body->len + length > LARGE_BODY_BYTES)
		dws_receive_window_widen(&request->connection->window);
	g_byte_array_append(request->body, (const guint8 *)at, (guint)length);
	dws_memory_add(server->memory, length);
	return 0;
}

/* Answers a request of the readiness listener. */
static void answer_readiness(dws_routed_request_t *request)
{
	dws_routed_server_t *server = request->connection->server;
	dws_answer_t ready = {.outcome = DWS_OUTCOME_COMPLETE,
			      .status = STATUS_OK};

	if (strcmp(request->target->str, server->http_names->ready_path) != 0)
		reject(request, STATUS_NOT_FOUND, DWS_REASON_NO_ROUTE,
		       "this listener serves only the readiness path");
	else if (server->ops->is_ready(server->context))
		dws_routed_request_answer(request, &ready);
	else
		reject(request, DWS_HTTP_STATUS_UNAVAILABLE,
		       DWS_REASON_STARTING,
		       "this daemon is not ready; use another one");
}

/* Forwards a request with its body, which the request gives up. */
static void forward(dws_routed_request_t *request, dws_call_t *call)
{
	call->body = dws_memory_take(request->connection->server->memory,
				     request->body);
	request->body = NULL;
	dws_routed_server_forward(request, call);
	g_bytes_unref(call->body);
}

/* Forwards a fully received request, or answers it here. */
static void handle_request(dws_routed_request_t *request)
{
	dws_routed_server_t *server = request->connection->server;
	dws_call_t call = {
		.is_routed = true,
		.method = request->method,
		.path = request->target->str,
		.host = request->host,
		.headers = request->headers,
		.attempt_key = request->attempt_key,
		.timeout_us = request->timeout_us,
	};

	if (request->status)
		reject(request, request->status, DWS_REASON_BAD_REQUEST,
		       request->error_detail);
	else if (server->readiness_only)
		answer_readiness(request);
	else if (!request->host || request->target->str[0] != '/')
		reject(request, STATUS_BAD_REQUEST, DWS_REASON_BAD_REQUEST,
		       "no Host header, or the path does not start with /; "
		       "correct the request");
	else if (server->is_quiescing)
		reject(request, DWS_HTTP_STATUS_UNAVAILABLE,
		       DWS_REASON_DRAINING,
		       "this daemon is shutting down; use another one");
	else
		forward(request, &call);
}

static int on_message_complete(http_parser *parser)
{
	dws_routed_connection_t *connection = parser->data;
	dws_routed_request_t *request = connection->reading;

	connection->reading = NULL;
	dws_receive_window_narrow(&connection->window);
	request->keeps_alive = http_should_keep_alive(parser) != 0 &&
			       request->status != STATUS_HEAD_TOO_LARGE;
	g_queue_push_tail(&connection->requests, request);
	if (!request->keeps_alive)
		connection->is_input_closed = true;
	handle_request(request);
	/* One copy of the head is left, with the owner. */
	free_head(request);
	clear_lines(connection);
	if (!request->is_done)
		dws_routed_request_set_held(request,
					    DWS_ROUTED_REQUEST_BYTES +
						    request->head_bytes);
	/* Input after a request that ends the connection is not parsed. */
	if (connection->is_input_closed)
		http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/* Initializes the parser of a connection. */
void dws_routed_connection_init_parser(dws_routed_connection_t *connection)
{
	http_parser_init(&connection->parser, HTTP_REQUEST);
	connection->parser.data = connection;
}

/* Parses received bytes; false if no more input is to be parsed. */
bool dws_routed_connection_parse(dws_routed_connection_t *connection,
				 const uint8_t *data, size_t size_bytes)
{
	http_parser_execute(&connection->parser, &callbacks, (const char *)data,
			    size_bytes);
	enum http_errno parse_error = HTTP_PARSER_ERRNO(&connection->parser);
	dws_routed_request_t *request = connection->reading;

	if (connection->is_input_closed)
		return false;
	if (parse_error == HPE_OK)
		return true;
	if (!request)
		request = begin_request(connection);
	if (request->is_rejected_now)
		dws_routed_connection_reject_partial(
			connection, request->status, DWS_REASON_BAD_REQUEST,
			request->error_detail);
	else if (request->is_refused)
		dws_routed_connection_reject_partial(
			connection, DWS_HTTP_STATUS_UNAVAILABLE,
			DWS_REASON_OVERLOAD,
			"the daemon's memory for requests is used up; retry "
			"later");
	else
		dws_routed_connection_reject_partial(
			connection,
			parse_error == HPE_HEADER_OVERFLOW
				? STATUS_HEAD_TOO_LARGE
				: STATUS_BAD_REQUEST,
			DWS_REASON_BAD_REQUEST,
			"malformed HTTP/1.1 request; correct its syntax");
	return false;
}
