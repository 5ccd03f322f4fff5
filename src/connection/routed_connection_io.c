/*
 * Connections of the routed listener: reading, answering in order, timeouts and
 * closing. Requests are parsed in routed_request_io.c.
 */
#include <errno.h>
#include <unistd.h>
#include "connection/routed_server_internal_io.h"
#include "connection/socket_io.h"

#define READS_PER_EVENT 4
/* Unanswered requests of one connection beyond which nothing more is read. */
#define PIPELINE_MAX 64
/* Unwritten answers of one connection beyond which nothing more is read. */
#define UNWRITTEN_MAX_BYTES (1024 * 1024)
/* What a connection may hold in any case before it is no longer read. */
#define HELD_MIN_BYTES (16 * 1024)
/*
 * Time allowed for the peer to close after the write side was shut down, in
 * which it sends nothing, and in all.
 */
#define LINGER_S 1.0
#define LINGER_MAX_S 10.0
/* Bytes of answers that the kernel buffers for a client that reads slowly. */
#define UNSENT_MAX_BYTES (64 * 1024)
#define KEEPALIVE_IDLE_S 5
#define KEEPALIVE_INTERVAL_S 2
#define KEEPALIVE_PROBES 3
#define MS_PER_S 1000.0

/* Reports that the connection of an unanswered request was closed. */
static void report_caller_disconnected(dws_routed_request_t *request)
{
	dws_routed_server_t *server = request->connection->server;

	if (!request->is_waiting)
		return;
	request->is_waiting = false;
	g_hash_table_remove(server->calls, &request->call_id);
	server->ops->caller_disconnected(server->context, request->call_id);
}

/* Frees a connection; destructor of server->connections. */
void dws_routed_connection_free(gpointer data)
{
	dws_routed_connection_t *connection = data;
	struct ev_loop *ev = connection->server->ev;
	dws_routed_request_t *request;

	ev_io_stop(ev, &connection->readable);
	ev_io_stop(ev, &connection->writable);
	ev_timer_stop(ev, &connection->timeout);
	ev_timer_stop(ev, &connection->unread);
	close(connection->fd);
	while ((request = g_queue_pop_head(&connection->requests))) {
		report_caller_disconnected(request);
		dws_routed_request_free(request);
	}
	if (connection->reading)
		dws_routed_request_free(connection->reading);
	g_string_free(connection->lines, TRUE);
	dws_output_finish(&connection->out);
	dws_receive_window_finish(&connection->window);
	g_free(connection);
}

/*
 * Schedules a connection and its requests to be freed by the reap timer. Not
 * freed here, as this may run within a call of the owner, and freeing invokes
 * ops->caller_disconnected.
 */
void dws_routed_connection_close(dws_routed_connection_t *connection)
{
	dws_routed_server_t *server = connection->server;

	if (connection->is_closed)
		return;
	connection->is_closed = true;
	ev_io_stop(server->ev, &connection->readable);
	ev_io_stop(server->ev, &connection->writable);
	ev_timer_stop(server->ev, &connection->timeout);
	ev_timer_stop(server->ev, &connection->unread);
	g_ptr_array_add(server->closed, connection);
	ev_feed_event(server->ev, &server->reap, EV_TIMER);
}

/* True if a request is being received, served or answered. */
bool dws_routed_connection_is_busy(const dws_routed_connection_t *connection)
{
	return connection->reading || connection->requests.length > 0 ||
	       connection->out.size_bytes > 0;
}

dws_routed_wait_t
dws_routed_connection_wait(const dws_routed_connection_t *connection)
{
	if (connection->is_write_shut)
		return DWS_ROUTED_WAIT_CLOSE;
	if (connection->requests.length > 0)
		return DWS_ROUTED_WAIT_ANSWER;
	if (connection->out.size_bytes > 0)
		return DWS_ROUTED_WAIT_READ;
	return connection->reading ? DWS_ROUTED_WAIT_REST
				   : DWS_ROUTED_WAIT_REQUEST;
}

void dws_routed_connection_begin_wait(dws_routed_connection_t *connection)
{
	connection->waits_since = ev_now(connection->server->ev);
}

/* Restarts the timer that ends an idle or stalled connection. */
static void restart_timeout(dws_routed_connection_t *connection, double after_s)
{
	struct ev_loop *ev = connection->server->ev;

	ev_timer_stop(ev, &connection->timeout);
	ev_timer_set(&connection->timeout, after_s, 0);
	ev_timer_start(ev, &connection->timeout);
}

/* Allows idle_timeout_ms for the next request. */
static void start_idle_timeout(dws_routed_connection_t *connection)
{
	dws_caller_limits_t limits;
	dws_routed_server_t *server = connection->server;

	server->ops->get_limits(server->context, &limits);
	restart_timeout(connection, limits.idle_timeout_ms / MS_PER_S);
	dws_routed_connection_begin_wait(connection);
}

/*
 * Shuts down the write side and waits for the peer to close: closing a socket
 * with unread input would send a reset, which could discard the answer.
 */
void dws_routed_connection_shutdown_write(dws_routed_connection_t *connection)
{
	if (connection->is_write_shut || connection->is_closed)
		return;
	connection->is_write_shut = true;
	shutdown(connection->fd, SHUT_WR);
	connection->linger_until =
		ev_now(connection->server->ev) + LINGER_MAX_S;
	restart_timeout(connection, LINGER_S);
}

/* Allows a peer that still sends some more time to close. */
static void extend_linger(dws_routed_connection_t *connection)
{
	double left_s =
		connection->linger_until - ev_now(connection->server->ev);

	if (left_s > 0)
		restart_timeout(connection, MIN(LINGER_S, left_s));
}

/*
 * Allows idle_timeout_ms for the client to read something, unless it has that
 * time already.
 */
static void start_unread_timeout(dws_routed_connection_t *connection,
				 bool has_read)
{
	dws_caller_limits_t limits;
	dws_routed_server_t *server = connection->server;

	if (!ev_is_active(&connection->unread))
		dws_routed_connection_begin_wait(connection);
	else if (!has_read)
		return;
	server->ops->get_limits(server->context, &limits);
	ev_timer_stop(server->ev, &connection->unread);
	ev_timer_set(&connection->unread, limits.idle_timeout_ms / MS_PER_S, 0);
	ev_timer_start(server->ev, &connection->unread);
}

/* Writes as much as the socket accepts; false if the connection failed. */
static bool write_out(dws_routed_connection_t *connection)
{
	struct ev_loop *ev = connection->server->ev;
	uint64_t written_bytes = connection->out.written_bytes;

	switch (dws_output_write(&connection->out, connection->fd)) {
	case DWS_OUTPUT_EMPTY:
		ev_io_stop(ev, &connection->writable);
		ev_timer_stop(ev, &connection->unread);
		return true;
	case DWS_OUTPUT_BLOCKED:
		ev_io_start(ev, &connection->writable);
		start_unread_timeout(connection, connection->out.written_bytes >
							 written_bytes);
		return true;
	case DWS_OUTPUT_FAILED:
	default:
		dws_routed_connection_close(connection);
		return false;
	}
}

/*
 * True if the answer of this request, the oldest, is the last one on its
 * connection. Closing while a later request is being received or served would
 * make its caller repeat a request that was already forwarded.
 */
static bool is_final_answer(const dws_routed_connection_t *connection,
			    const dws_routed_request_t *request)
{
	if (!request->keeps_alive)
		return true;
	return (connection->server->is_draining ||
		connection->is_input_closed) &&
	       !connection->reading && connection->requests.length == 1;
}

/* Appends the answers that are next in order to the buffer and writes it. */
static void flush_answers(dws_routed_connection_t *connection)
{
	dws_routed_request_t *request;
	bool wrote_any = false;

	if (connection->is_closed)
		return;
	while ((request = g_queue_peek_head(&connection->requests)) &&
	       request->is_done && !connection->is_final_queued) {
		connection->is_final_queued =
			is_final_answer(connection, request);
		dws_routed_request_write_answer(&connection->out, request,
						connection->is_final_queued);
		g_queue_pop_head(&connection->requests);
		dws_routed_request_free(request);
		wrote_any = true;
	}
	if (!wrote_any && connection->out.size_bytes == 0)
		return;
	if (!write_out(connection))
		return;
	if (connection->is_final_queued && connection->out.size_bytes == 0)
		dws_routed_connection_shutdown_write(connection);
	else if (!dws_routed_connection_is_busy(connection))
		start_idle_timeout(connection);
	dws_routed_connection_update_reading(connection);
}

/* Sets the answer of a request; it is written in request order. */
void dws_routed_request_answer(dws_routed_request_t *request,
			       const dws_answer_t *answer)
{
	dws_routed_request_set_answer(request, answer);
	request->is_done = true;
	if (!request->connection->is_parsing)
		flush_answers(request->connection);
}

/*
 * True if nothing more is to be read until requests have been answered and
 * answers have been written.
 */
static bool is_full(const dws_routed_connection_t *connection)
{
	size_t held_bytes = dws_routed_connection_held_bytes(connection);

	if (connection->requests.length >= PIPELINE_MAX ||
	    connection->out.size_bytes > UNWRITTEN_MAX_BYTES)
		return true;
	return held_bytes > HELD_MIN_BYTES &&
	       !dws_memory_has_room(connection->server->memory, held_bytes, 0);
}

/*
 * Discards further input, and closes the connection once all that has been
 * received is answered.
 */
static void close_input(dws_routed_connection_t *connection)
{
	dws_counters_add(connection->server->counters, DWS_COUNT_INPUT_CLOSED,
			 1);
	connection->is_input_closed = true;
	if (connection->reading)
		dws_routed_connection_reject_partial(
			connection, DWS_HTTP_STATUS_UNAVAILABLE,
			DWS_REASON_OVERLOAD,
			"too many requests of this connection wait; send them "
			"on another one");
	else if (connection->requests.length == 0)
		connection->is_final_queued = true;
}

/*
 * Reads, unless the connection is full. What the kernel then buffers of it needs
 * room in the account; without that, its input is read and discarded instead.
 */
void dws_routed_connection_update_reading(dws_routed_connection_t *connection)
{
	struct ev_loop *ev = connection->server->ev;

	if (connection->is_closed)
		return;
	if (!connection->is_input_closed && is_full(connection)) {
		if (dws_receive_window_stop(&connection->window)) {
			ev_io_stop(ev, &connection->readable);
			return;
		}
		close_input(connection);
	}
	dws_receive_window_resume(&connection->window);
	ev_io_start(ev, &connection->readable);
}

/* Parses the receive buffer; false if no more input is to be parsed. */
static bool parse_input(dws_routed_connection_t *connection, size_t size_bytes)
{
	bool ok;

	connection->is_parsing = true;
	ok = dws_routed_connection_parse(
		connection, connection->server->scratch, size_bytes);
	connection->is_parsing = false;
	return ok;
}

/* Time allowed for the next part of a body, in s. */
static double body_timeout_s(const dws_routed_connection_t *connection,
			     const dws_caller_limits_t *limits)
{
	double left_s = connection->reading->receive_until -
			ev_now(connection->server->ev);

	return CLAMP(left_s, 0, limits->idle_timeout_ms / MS_PER_S);
}

/*
 * Sets the timer after input: header_timeout_ms from the start of a header
 * section; idle_timeout_ms from each part of a body, but not beyond the
 * request's deadline; none while all requests have been received and await their
 * answers.
 */
static void update_timeout(dws_routed_connection_t *connection,
			   bool was_reading)
{
	dws_caller_limits_t limits;
	dws_routed_server_t *server = connection->server;

	if (!connection->reading) {
		if (connection->requests.length > 0)
			ev_timer_stop(server->ev, &connection->timeout);
		return;
	}
	if (was_reading && !connection->reading->has_head)
		return;
	server->ops->get_limits(server->context, &limits);
	restart_timeout(connection,
			connection->reading->has_head
				? body_timeout_s(connection, &limits)
				: limits.header_timeout_ms / MS_PER_S);
}

/* Discards input after the final request, until the peer closes. */
static void discard_input(dws_routed_connection_t *connection)
{
	ssize_t got = recv(connection->fd, connection->server->scratch,
			   DWS_ROUTED_SCRATCH_BYTES, MSG_DONTWAIT);

	if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR))
		dws_routed_connection_close(connection);
	else if (got > 0 && connection->is_write_shut)
		extend_linger(connection);
}

static void on_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
	dws_routed_connection_t *connection = watcher->data;
	dws_routed_server_t *server = connection->server;

	if (connection->is_write_shut || connection->is_final_queued ||
	    connection->is_input_closed) {
		discard_input(connection);
		return;
	}
	for (int i = 0; i < READS_PER_EVENT; i++) {
		bool was_reading = connection->reading != NULL;
		ssize_t got = recv(connection->fd, server->scratch,
				   DWS_ROUTED_SCRATCH_BYTES, MSG_DONTWAIT);

		if (got < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (got <= 0) {
			dws_routed_connection_close(connection);
			return;
		}
		bool can_continue = parse_input(connection, (size_t)got);

		update_timeout(connection, was_reading);
		dws_routed_connection_update_reading(connection);
		flush_answers(connection);
		if (!can_continue || got < DWS_ROUTED_SCRATCH_BYTES ||
		    connection->is_closed || connection->is_input_closed ||
		    !ev_is_active(&connection->readable))
			return;
	}
}

static void on_writable(struct ev_loop *ev, ev_io *watcher, int events)
{
	flush_answers(watcher->data);
}

/*
 * Rejects a request that was not received in time. Closes a connection that is
 * idle or that the peer did not close.
 */
static void on_timeout(struct ev_loop *ev, ev_timer *watcher, int events)
{
	dws_routed_connection_t *connection = watcher->data;

	if (connection->reading && !connection->is_write_shut) {
		dws_routed_connection_reject_partial(
			connection, DWS_HTTP_STATUS_REQUEST_TIMEOUT,
			DWS_REASON_BAD_REQUEST,
			"request incomplete when header_timeout_ms, "
			"idle_timeout_ms or its own deadline expired; send it "
			"without pauses");
		flush_answers(connection);
		return;
	}
	dws_routed_connection_close(connection);
}

/* Closes a connection whose client reads nothing of its answers. */
static void on_unread_timeout(struct ev_loop *ev, ev_timer *watcher, int events)
{
	dws_routed_connection_t *connection = watcher->data;

	dws_counters_add(connection->server->counters, DWS_COUNT_UNREAD_CLOSED,
			 1);
	dws_routed_connection_close(connection);
}

/* Registers an accepted connection. */
void dws_routed_connection_add(dws_routed_server_t *server, int fd)
{
	dws_routed_connection_t *connection =
		g_new0(dws_routed_connection_t, 1);

	connection->server = server;
	connection->fd = fd;
	connection->lines = g_string_new(NULL);
	dws_output_init(&connection->out, server->memory);
	dws_receive_window_init(&connection->window, fd, server->memory);
	g_queue_init(&connection->requests);
	dws_routed_connection_init_parser(connection);
	dws_socket_set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	dws_socket_limit_unsent(fd, UNSENT_MAX_BYTES);
	dws_socket_set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	dws_socket_set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	dws_socket_set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL,
			      KEEPALIVE_INTERVAL_S);
	dws_socket_set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	ev_io_init(&connection->readable, on_readable, fd, EV_READ);
	ev_io_init(&connection->writable, on_writable, fd, EV_WRITE);
	ev_timer_init(&connection->timeout, on_timeout, 0, 0);
	ev_timer_init(&connection->unread, on_unread_timeout, 0, 0);
	connection->readable.data = connection;
	connection->writable.data = connection;
	connection->timeout.data = connection;
	connection->unread.data = connection;
	g_hash_table_add(server->connections, connection);
	ev_io_start(server->ev, &connection->readable);
	start_idle_timeout(connection);
	dws_counters_add(server->counters, DWS_COUNT_CONNECTIONS, 1);
}
