/*
 * Requests of the HTTP listeners. A request is received completely and
 * forwarded; its connection is suspended until the answer is available.
 */
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include "connection/http_response_io.h"
#include "connection/http_request_io.h"
#include "connection/http_server_io.h"
#include "process/descriptors_io.h"

/* Time in which a request must have been received completely. */
#define RECEIVE_TIMEOUT_S 60.0
/* Bytes over the body limit that are read, so that callers get the answer. */
#define DISCARD_MAX_BYTES (8 * 1024 * 1024)
#define ADMIN_CONNECTIONS_MAX 32U
/* Share of the clients' descriptors that a listener may have. */
#define DESCRIPTORS_DIVISOR 2
#define DISCONNECT_POLL_S 0.2

typedef struct request {
	dws_listener_t *listener;
	struct MHD_Connection *connection;
	char *target;
	GByteArray *body; /* in the account; NULL once it has been passed on */
	size_t discarded_bytes;
	bool is_refused; /* the account has no room for the body */
	double started_s; /* time of the loop; 0: not started */
	bool is_waiting; /* suspended, in server->calls under call_id */
	bool is_caller_disconnected;
	uint64_t call_id;
	struct MHD_Response *response;
	unsigned int status;
	ev_io disconnect;
	ev_timer disconnect_poll; /* while pipelined input is pending */
} request_t;

/* An answer that was given before the id of its call was known. */
typedef struct early_answer {
	uint64_t call_id;
	struct MHD_Response *response;
	unsigned int status;
} early_answer_t;

static const char *const admin_views[] = {"status", "members", "config",
					  "verdicts", "slowdowns"};

/* Returns what is recorded of the connection of a request. */
static dws_http_connection_t *recorded(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info->socket_context;
}

static void stop_disconnect_watch(request_t *request)
{
	struct ev_loop *ev = request->listener->server->ev;

	ev_io_stop(ev, &request->disconnect);
	ev_timer_stop(ev, &request->disconnect_poll);
}

/* Resumes the suspended connection of a request. */
static void resume_request(request_t *request)
{
	stop_disconnect_watch(request);
	g_hash_table_remove(request->listener->server->calls,
			    &request->call_id);
	request->is_waiting = false;
	dws_http_connection_set_served(recorded(request->connection), false);
	MHD_resume_connection(request->connection);
	dws_listener_schedule_run(request->listener);
}

/* Ends a waiting request whose caller has disconnected. */
static void abort_request(request_t *request)
{
	dws_http_server_t *server = request->listener->server;
	uint64_t call_id = request->call_id;

	request->is_caller_disconnected = true;
	resume_request(request);
	server->ops->caller_disconnected(server->context, call_id);
}

/*
 * Handles input on a connection whose request awaits its answer. End of file
 * means that the caller has disconnected. A pipelined request does not, but it
 * stays unread and keeps the socket readable; from then on a timer polls for
 * the end of file behind it.
 */
static void on_disconnect(struct ev_loop *ev, ev_io *watcher, int events)
{
	request_t *request = watcher->data;
	char byte;
	ssize_t got = recv(watcher->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		abort_request(request);
		return;
	}
	ev_io_stop(ev, watcher);
	ev_timer_again(ev, &request->disconnect_poll);
}

static void on_disconnect_poll(struct ev_loop *ev, ev_timer *watcher,
			       int events)
{
	request_t *request = watcher->data;
	struct pollfd end = {.fd = request->disconnect.fd, .events = POLLRDHUP};

	if (poll(&end, 1, 0) == 1)
		abort_request(request);
}

/* Suspends a connection until its answer is available. */
static void suspend_request(request_t *request, uint64_t call_id)
{
	dws_http_server_t *server = request->listener->server;
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	request->call_id = call_id;
	request->is_waiting = true;
	g_hash_table_insert(server->calls, &request->call_id, request);
	dws_http_connection_set_served(recorded(request->connection), true);
	MHD_suspend_connection(request->connection);
	ev_io_set(&request->disconnect, info->connect_fd, EV_READ);
	ev_io_start(server->ev, &request->disconnect);
}

static enum MHD_Result queue_response(request_t *request)
{
	enum MHD_Result result;

	if (request->listener->server->is_closing)
		MHD_add_response_header(request->response,
					MHD_HTTP_HEADER_CONNECTION, "close");
	result = MHD_queue_response(request->connection, request->status,
				    request->response);
	MHD_destroy_response(request->response);
	request->response = NULL;
	return result;
}

/* Answers a request with an error instead of forwarding it. */
static enum MHD_Result reject(request_t *request, unsigned int status,
			      dws_reason_t reason, const char *detail)
{
	dws_answer_t answer = {
		.outcome = DWS_OUTCOME_NOT_RUN,
		.reason = reason,
		.status = (uint16_t)status,
		.detail = detail,
	};

	request->status = status;
	request->response = dws_http_response_from_answer(&answer);
	return queue_response(request);
}

/*
 * Rejects a request after the server was stopped. The outcome of one with a
 * ticket is unknown, as it may be a retry of a request that has run.
 */
static enum MHD_Result reject_stopped(request_t *request, bool has_ticket)
{
	dws_answer_t answer = {
		.outcome =
			has_ticket ? DWS_OUTCOME_UNKNOWN : DWS_OUTCOME_NOT_RUN,
		.reason = DWS_REASON_DRAINING,
		.status = MHD_HTTP_SERVICE_UNAVAILABLE,
		.detail = "this daemon is shutting down; send the request to "
			  "another one",
	};

	request->status = answer.status;
	request->response = dws_http_response_from_answer(&answer);
	return queue_response(request);
}

static enum MHD_Result reject_too_large(request_t *request)
{
	return reject(request, MHD_HTTP_CONTENT_TOO_LARGE, DWS_REASON_TOO_LARGE,
		      "request body exceeds max_body_bytes of the daemon's "
		      "settings; send a smaller one");
}

static enum MHD_Result reject_without_memory(request_t *request)
{
	return reject(request, MHD_HTTP_SERVICE_UNAVAILABLE,
		      DWS_REASON_OVERLOAD,
		      "the daemon's memory for requests is used up; retry "
		      "later");
}

/* Sets the answer that was given while ops->call ran, if any. */
static void take_early_answer(request_t *request, uint64_t call_id)
{
	GArray *early = request->listener->server->early_answers;

	for (guint i = 0; i < early->len; i++) {
		early_answer_t *answer =
			&g_array_index(early, early_answer_t, i);

		if (answer->call_id == call_id && !request->response) {
			request->response = answer->response;
			request->status = answer->status;
		} else {
			MHD_destroy_response(answer->response);
		}
	}
	g_array_set_size(early, 0);
}

/* Forwards a fully received request; it may be answered immediately. */
static enum MHD_Result forward(request_t *request, const char *method)
{
	dws_http_server_t *server = request->listener->server;
	dws_http_request_t head;
	const char *problem = dws_http_request_parse(
		&head, request->connection, method, request->target,
		request->listener->role == DWS_LISTENER_UPSTREAM);

	if (problem)
		return reject(request, MHD_HTTP_BAD_REQUEST,
			      DWS_REASON_BAD_REQUEST, problem);
	if (server->is_stopped)
		return reject_stopped(request, head.call.ticket != NULL);
	head.call.body = dws_memory_take(server->memory, request->body);
	request->body = NULL;
	server->is_calling = true;
	uint64_t call_id = server->ops->call(server->context, &head.call);

	server->is_calling = false;
	g_bytes_unref(head.call.body);
	take_early_answer(request, call_id);
	if (request->response)
		return queue_response(request);
	suspend_request(request, call_id);
	return MHD_YES;
}

static enum MHD_Result answer_text(request_t *request, unsigned int status,
				   const char *type, char *text)
{
	request->status = status;
	request->response = dws_http_response_from_text(type, text);
	g_free(text);
	return queue_response(request);
}

/* Returns the admin view that a path names, or NULL. */
static const char *admin_view(const char *target)
{
	for (size_t i = 0; i < G_N_ELEMENTS(admin_views); i++) {
		if (target[0] == '/' && strcmp(target + 1, admin_views[i]) == 0)
			return admin_views[i];
	}
	return NULL;
}

/* Serves a request of the admin listener. */
static enum MHD_Result serve_admin(request_t *request, const char *method)
{
	dws_http_server_t *server = request->listener->server;
	bool is_get = strcmp(method, "GET") == 0;
	const char *view = admin_view(request->target);
	char *text = NULL;

	if (is_get && strcmp(request->target, "/metrics") == 0)
		return answer_text(request, MHD_HTTP_OK,
				   "text/plain; version=0.0.4",
				   server->ops->get_metrics(server->context));
	if (is_get && strcmp(request->target, "/counters") == 0)
		return answer_text(request, MHD_HTTP_OK, "text/plain",
				   dws_counters_text(server->counters));
	if (is_get && view)
		text = server->ops->get_view(server->context, view);
	if (text)
		return answer_text(request, MHD_HTTP_OK, "application/json",
				   text);
	if (strcmp(method, "POST") == 0 &&
	    strcmp(request->target, "/drain") == 0) {
		server->ops->drain(server->context);
		return answer_text(request, MHD_HTTP_OK, "application/json",
				   g_strdup("{\"draining\":true}\n"));
	}
	return answer_text(request, MHD_HTTP_NOT_FOUND, "text/plain",
			   g_strdup("no such view; GET /status, /members, "
				    "/config, /verdicts, /slowdowns, "
				    "/counters or /metrics, or POST "
				    "/drain\n"));
}

/*
 * Starts to receive a request. Rejects it at once if its Content-Length exceeds
 * what would be discarded.
 */
static enum MHD_Result start_request(request_t *request,
				     struct MHD_Connection *connection)
{
	dws_http_server_t *server = request->listener->server;
	const char *length = MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);

	request->connection = connection;
	request->started_s = ev_now(server->ev);
	request->listener->active++;
	if (length && g_ascii_strtoull(length, NULL, 10) >
			      server->body_max_bytes + DISCARD_MAX_BYTES)
		return reject_too_large(request);
	return MHD_YES;
}

static void add_to_body(request_t *request, const char *data, size_t size_bytes)
{
	g_byte_array_append(request->body, (const guint8 *)data,
			    (guint)size_bytes);
	dws_memory_add(request->listener->server->memory, size_bytes);
}

static void free_body(request_t *request)
{
	if (!request->body)
		return;
	dws_memory_remove(request->listener->server->memory,
			  request->body->len);
	g_byte_array_free(request->body, TRUE);
	request->body = NULL;
}

/* Frees what has been kept of a body that is now discarded. */
static void clear_body(request_t *request)
{
	if (request->body->len == 0)
		return;
	free_body(request);
	request->body = g_byte_array_new();
}

/*
 * True if a part of a body is to be kept: operators send none that is used, and
 * what is too large, or has no room in the account, is refused.
 */
static bool keeps_body(request_t *request, size_t size_bytes)
{
	const dws_http_server_t *server = request->listener->server;
	size_t have_bytes = request->body->len;

	if (request->discarded_bytes > 0 ||
	    request->listener->role == DWS_LISTENER_ADMIN ||
	    have_bytes + size_bytes > server->body_max_bytes)
		return false;
	if (dws_memory_has_room(server->memory, have_bytes, size_bytes))
		return true;
	request->is_refused = true;
	dws_counters_add(server->counters, DWS_COUNT_REFUSED_MEMORY, 1);
	return false;
}

/*
 * Receives a part of the body. What is not kept is read and discarded up to a
 * bound, as a caller that is still sending would not see the answer.
 */
static enum MHD_Result receive_body(request_t *request, const char *data,
				    size_t *size_bytes)
{
	dws_http_server_t *server = request->listener->server;

	if (keeps_body(request, *size_bytes)) {
		add_to_body(request, data, *size_bytes);
	} else {
		request->discarded_bytes += *size_bytes;
		clear_body(request);
	}
	*size_bytes = 0;
	if (request->discarded_bytes > DISCARD_MAX_BYTES ||
	    ev_now(server->ev) - request->started_s > RECEIVE_TIMEOUT_S)
		return MHD_NO;
	return MHD_YES;
}

/*
 * MHD_AccessHandlerCallback: called for the head, each part of the body, and
 * the end of a request.
 */
static enum MHD_Result on_request(void *context,
				  struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size_bytes, void **state)
{
	request_t *request = *state;

	if (!request || request->is_caller_disconnected)
		return MHD_NO;
	if (!request->connection)
		return start_request(request, connection);
	if (*size_bytes)
		return receive_body(request, data, size_bytes);
	if (request->response)
		return queue_response(request);
	if (request->listener->role == DWS_LISTENER_ADMIN)
		return serve_admin(request, method);
	if (request->is_refused)
		return reject_without_memory(request);
	if (request->discarded_bytes)
		return reject_too_large(request);
	return forward(request, method);
}

/*
 * MHD_OPTION_URI_LOG_CALLBACK: the first call for a request, with the target
 * before it is decoded. Returns the state of the request.
 */
static void *on_target(void *context, const char *target,
		       struct MHD_Connection *connection)
{
	request_t *request = g_new0(request_t, 1);

	request->listener = context;
	request->target = g_strdup(target);
	request->body = g_byte_array_new();
	ev_io_init(&request->disconnect, on_disconnect, -1, EV_READ);
	ev_timer_init(&request->disconnect_poll, on_disconnect_poll, 0,
		      DISCONNECT_POLL_S);
	request->disconnect.data = request;
	request->disconnect_poll.data = request;
	return request;
}

/* MHD_OPTION_NOTIFY_COMPLETED: the last call for a request, answered or not. */
static void on_completed(void *context, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	request_t *request = *state;

	if (!request)
		return;
	dws_http_server_t *server = request->listener->server;
	bool was_waiting = request->is_waiting;
	uint64_t call_id = request->call_id;

	*state = NULL;
	dws_http_connection_set_served(recorded(connection), false);
	dws_http_connection_touch(recorded(connection));
	stop_disconnect_watch(request);
	if (was_waiting)
		g_hash_table_remove(server->calls, &request->call_id);
	if (request->response)
		MHD_destroy_response(request->response);
	if (request->connection)
		request->listener->active--;
	free_body(request);
	g_free(request->target);
	g_free(request);
	if (was_waiting)
		server->ops->caller_disconnected(server->context, call_id);
}

/*
 * Answers a call. While ops->call runs, the id is not known yet and the answer
 * is kept until it is; otherwise the connection is resumed.
 */
void dws_http_server_answer(dws_http_server_t *server, uint64_t call_id,
			    const dws_answer_t *answer)
{
	request_t *request = g_hash_table_lookup(server->calls, &call_id);

	if (request) {
		request->response = dws_http_response_from_answer(answer);
		request->status = answer->status;
		resume_request(request);
	} else if (server->is_calling) {
		early_answer_t early = {
			.call_id = call_id,
			.response = dws_http_response_from_answer(answer),
			.status = answer->status,
		};

		g_array_append_val(server->early_answers, early);
	}
}

static const dws_listener_callbacks_t callbacks = {
	.on_request = on_request,
	.on_target = on_target,
	.on_completed = on_completed,
};

/* Initializes the server and starts its listeners. */
bool dws_http_server_init(dws_http_server_t *server,
			  const dws_http_server_ops_t *ops, void *context,
			  struct ev_loop *ev, dws_counters_t *counters,
			  dws_memory_t *memory, const dws_settings_t *settings,
			  GError **error)
{
	dws_listener_t *listeners = server->listeners;
	dws_descriptors_t descriptors;
	uint32_t connections_max;

	dws_descriptors_init(&descriptors);
	connections_max = MIN(settings->max_connections,
			      descriptors.clients_max / DESCRIPTORS_DIVISOR);
	memset(server, 0, sizeof(*server));
	server->ops = ops;
	server->context = context;
	server->ev = ev;
	server->counters = counters;
	server->memory = memory;
	server->body_max_bytes = settings->max_body_bytes;
	server->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	server->early_answers =
		g_array_new(FALSE, FALSE, sizeof(early_answer_t));
	for (int i = 0; i < DWS_LISTENER_COUNT; i++)
		dws_listener_init(&server->listeners[i], server, i, ev,
				  counters);
	if (dws_listener_start(&listeners[DWS_LISTENER_CALLERS], &callbacks,
			       &settings->callers_listen, connections_max,
			       error) &&
	    dws_listener_start(&listeners[DWS_LISTENER_UPSTREAM], &callbacks,
			       &settings->upstream_listen, connections_max,
			       error) &&
	    dws_listener_start(&listeners[DWS_LISTENER_ADMIN], &callbacks,
			       &settings->admin_listen, ADMIN_CONNECTIONS_MAX,
			       error))
		return true;
	dws_http_server_finish(server);
	return false;
}

/* Closes each connection after its next answer. */
void dws_http_server_drain(dws_http_server_t *server)
{
	server->is_closing = true;
}

/* Closes the listening sockets for callers and for the upstream. */
void dws_http_server_quiesce(dws_http_server_t *server)
{
	for (int i = 0; i < DWS_LISTENER_ADMIN; i++)
		dws_listener_quiesce(&server->listeners[i]);
}

/* True if no request of callers or of the upstream is in progress. */
bool dws_http_server_is_idle(const dws_http_server_t *server)
{
	return server->listeners[DWS_LISTENER_CALLERS].active == 0 &&
	       server->listeners[DWS_LISTENER_UPSTREAM].active == 0;
}

/*
 * Answers all waiting requests with the outcome "unknown", as the server can't
 * deliver their answers any more.
 */
static void answer_waiting(dws_http_server_t *server)
{
	static const dws_answer_t unknown = {
		.outcome = DWS_OUTCOME_UNKNOWN,
		.reason = DWS_REASON_DRAINING,
		.status = MHD_HTTP_SERVICE_UNAVAILABLE,
		.detail = "the daemon was stopped before the answer came; "
			  "look up whether the request took effect",
	};
	GList *ids = g_hash_table_get_keys(server->calls);

	for (GList *id = ids; id; id = id->next)
		dws_http_server_answer(server, *(uint64_t *)id->data, &unknown);
	g_list_free(ids);
}

/* Answers all waiting requests, sends the answers, and stops. */
void dws_http_server_finish(dws_http_server_t *server)
{
	server->is_closing = true;
	server->is_stopped = true;
	answer_waiting(server);
	for (int i = 0; i < DWS_LISTENER_COUNT; i++)
		dws_listener_stop(&server->listeners[i]);
	g_hash_table_destroy(server->calls);
	g_array_free(server->early_answers, TRUE);
}
