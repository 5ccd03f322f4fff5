/*
 * Runs libmicrohttpd in external epoll mode on a libev loop.
 */
#include "support/server.h"
#include "support/ports.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define CONNECTION_LIMIT 4096

/* Processes pending HTTP events and schedules the next call. */
static void run_daemon(server_t *server)
{
	unsigned long long timeout_ms;

	server->run_again = false;
	MHD_run(server->daemon);
	ev_timer_stop(server->loop, &server->timer);
	if (server->run_again) {
		ev_feed_event(server->loop, &server->timer, EV_TIMER);
	} else if (MHD_get_timeout(server->daemon, &timeout_ms) == MHD_YES) {
		ev_timer_set(&server->timer, (double)timeout_ms / 1000.0, 0.0);
		ev_timer_start(server->loop, &server->timer);
	}
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	run_daemon(io->data);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	run_daemon(timer->data);
}

/* Detects that a client disconnected before its request was answered. */
static void on_disconnect(struct ev_loop *loop, ev_io *io, int events)
{
	server_request_t *request = io->data;
	char byte;
	ssize_t received = recv(io->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (received < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	ev_io_stop(loop, io);
	if (received > 0)
		return;
	request->server->ops->client_disconnected(request->server->context,
						  request);
	server_drop(request);
}

/* Suspends a connection until its request is answered or dropped. */
static void suspend(server_request_t *request)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	MHD_suspend_connection(request->connection);
	request->suspended = true;
	ev_io_init(&request->disconnect_watcher, on_disconnect,
		   info->connect_fd, EV_READ);
	request->disconnect_watcher.data = request;
	ev_io_start(request->server->loop, &request->disconnect_watcher);
}

static void resume(server_request_t *request)
{
	server_t *server = request->server;

	if (!request->suspended)
		return;
	request->suspended = false;
	ev_io_stop(server->loop, &request->disconnect_watcher);
	MHD_resume_connection(request->connection);
	server->run_again = true;
	ev_feed_event(server->loop, &server->timer, EV_TIMER);
}

/*
 * Allocates a request when its request line has been read. Only this callback
 * sees the raw target; the access handler does not.
 */
static void *on_uri(void *context, const char *target,
		    struct MHD_Connection *connection)
{
	server_request_t *request = g_new0(server_request_t, 1);
	const char *query = strchr(target, '?');

	request->server = context;
	request->connection = connection;
	request->target = g_strdup(target);
	request->path = query ? g_strndup(target, (gsize)(query - target))
			      : g_strdup(target);
	request->body = g_string_new(NULL);
	return request;
}

static enum MHD_Result on_access(void *context,
				 struct MHD_Connection *connection,
				 const char *url, const char *method,
				 const char *version, const char *upload,
				 size_t *upload_size, void **state)
{
	server_t *server = context;
	server_request_t *request = *state;

	if (!request->method) {
		request->method = g_strdup(method);
		return MHD_YES;
	}
	if (*upload_size > 0) {
		g_string_append_len(request->body, upload,
				    (gssize)*upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (!request->handler_called) {
		request->handler_called = true;
		server->ops->request(server->context, request);
	}
	if (request->dropped)
		return MHD_NO;
	if (!request->response) {
		suspend(request);
		return MHD_YES;
	}
	return MHD_queue_response(connection, request->status,
				  request->response);
}

static void on_completed(void *context, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	server_request_t *request = *state;

	if (!request)
		return;
	if (request->response)
		MHD_destroy_response(request->response);
	g_string_free(request->body, TRUE);
	g_free(request->method);
	g_free(request->target);
	g_free(request->path);
	g_free(request);
	*state = NULL;
}

void server_start(server_t *server, struct ev_loop *loop, uint16_t port,
		  const server_ops_t *ops, void *context)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = inet_addr(LISTEN_IP),
	};

	server->ops = ops;
	server->context = context;
	server->loop = loop;
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, NULL, NULL,
		on_access, server, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri, server,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
		MHD_OPTION_CONNECTION_LIMIT, CONNECTION_LIMIT, MHD_OPTION_END);
	if (!server->daemon) {
		fprintf(stderr, "cannot listen on port %u; is it in use?\n",
			port);
		exit(1);
	}
	server->port =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT)
			->port;
	ev_io_init(&server->io, on_io,
		   MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD)
			   ->epoll_fd,
		   EV_READ);
	server->io.data = server;
	ev_io_start(loop, &server->io);
	ev_timer_init(&server->timer, on_timer, 0.0, 0.0);
	server->timer.data = server;
}

/* Answers a request, from within its handler or later. */
void server_answer(server_request_t *request, unsigned int status,
		   const char *body, const char *name, const char *value)
{
	request->status = status;
	request->response = MHD_create_response_from_buffer(
		strlen(body), (void *)body, MHD_RESPMEM_MUST_COPY);
	if (name)
		MHD_add_response_header(request->response, name, value);
	resume(request);
}

/* Closes the connection of a request without answering. */
void server_drop(server_request_t *request)
{
	request->dropped = true;
	resume(request);
}

/* Returns the value of a request header; NULL if it is absent. */
const char *server_header(server_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
					   name);
}

/* Returns the value of a query parameter; NULL if it is absent. */
const char *server_query_value(server_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

/* Returns a numeric query parameter; the fallback if it is absent. */
int64_t server_query_number(server_request_t *request, const char *name,
			    int64_t fallback)
{
	const char *text = server_query_value(request, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}
