/*
 * Fault-injecting relays of a soak, on one libev loop.
 */
#include "soak/relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK_BYTES 65536
/* Reading from a source stops while this much data is queued. */
#define QUEUE_MAX_BYTES (1024 * 1024)
#define MS_PER_S 1000.0

typedef struct connection connection_t;

/* Data to be forwarded at a given time. */
typedef struct chunk {
	ev_tstamp due;
	GByteArray *bytes;
} chunk_t;

/* One direction of a connection. */
typedef struct flow {
	connection_t *connection;
	int from_fd;
	int to_fd;
	bool is_forward; /* towards the target */
	bool is_blackholed; /* permanently */
	bool source_ended; /* EOF, or an error while black-holed, was read */
	bool end_forwarded; /* the sending side of to_fd is shut down */
	GQueue chunks;
	size_t queued_bytes;
	ev_io readable;
	ev_io writable;
	ev_timer delay_timer;
} flow_t;

/* A relayed TCP connection. */
struct connection {
	struct listener *listener;
	flow_t forward;
	flow_t reverse;
	bool is_connected;
};

typedef struct listener {
	relays_t *relays;
	relay_link_t *link;
	bool is_stream;
	int fd;
	struct sockaddr_in target;
	ev_io readable;
	GHashTable *connections; /* set of connection_t * */
	/* Values of the link's counters that were applied last. */
	gint reset_generation;
	gint blackhole_to_generation;
	gint blackhole_from_generation;
} listener_t;

struct relays {
	struct ev_loop *ev;
	ev_async wakeup;
	GPtrArray *listeners;
	GThread *thread;
	GRand *random;
	gint stopping;
};

static void flush_flow(flow_t *flow);

static struct sockaddr_in make_address(const char *ip, uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(port)};

	inet_pton(AF_INET, ip, &address.sin_addr);
	return address;
}

static relay_mode_t flow_mode(const flow_t *flow)
{
	relay_link_t *link = flow->connection->listener->link;

	return (relay_mode_t)g_atomic_int_get(
		flow->is_forward ? &link->to_target : &link->from_target);
}

static void free_chunk(gpointer data)
{
	chunk_t *chunk = data;

	g_byte_array_free(chunk->bytes, TRUE);
	g_free(chunk);
}

static void stop_flow(struct ev_loop *ev, flow_t *flow)
{
	ev_io_stop(ev, &flow->readable);
	ev_io_stop(ev, &flow->writable);
	ev_timer_stop(ev, &flow->delay_timer);
	g_queue_clear_full(&flow->chunks, free_chunk);
}

/* Closes both sockets of a connection, by reset if asked, and frees it. */
static void close_connection(connection_t *connection, bool with_reset)
{
	struct linger now = {.l_onoff = 1, .l_linger = 0};
	struct ev_loop *ev = connection->listener->relays->ev;
	int fds[] = {connection->forward.from_fd, connection->forward.to_fd};

	stop_flow(ev, &connection->forward);
	stop_flow(ev, &connection->reverse);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		if (with_reset)
			setsockopt(fds[i], SOL_SOCKET, SO_LINGER, &now,
				   sizeof(now));
		close(fds[i]);
	}
	g_hash_table_remove(connection->listener->connections, connection);
	g_free(connection);
}

/*
 * Writes data of one chunk. Returns false if the connection was freed or the
 * socket is not writable.
 */
static bool write_chunk(flow_t *flow, chunk_t *chunk)
{
	ssize_t wrote = send(flow->to_fd, chunk->bytes->data, chunk->bytes->len,
			     MSG_NOSIGNAL | MSG_DONTWAIT);

	if (wrote < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
		ev_io_start(flow->connection->listener->relays->ev,
			    &flow->writable);
		return false;
	}
	if (wrote < 0) {
		close_connection(flow->connection, true);
		return false;
	}
	flow->queued_bytes -= (size_t)wrote;
	if ((guint)wrote == chunk->bytes->len) {
		free_chunk(g_queue_pop_head(&flow->chunks));
		return true;
	}
	g_byte_array_remove_range(chunk->bytes, 0, (guint)wrote);
	return true;
}

/* Forwards EOF; closes the connection once both directions have ended. */
static void forward_end(flow_t *flow)
{
	connection_t *connection = flow->connection;

	if (!flow->end_forwarded) {
		flow->end_forwarded = true;
		shutdown(flow->to_fd, SHUT_WR);
	}
	if (connection->forward.end_forwarded &&
	    connection->reverse.end_forwarded)
		close_connection(connection, false);
}

/*
 * Forwards the chunks that are due and sets the timer for the next one. May
 * free the connection.
 */
static void flush_flow(flow_t *flow)
{
	struct ev_loop *ev = flow->connection->listener->relays->ev;
	chunk_t *chunk;

	if (!flow->connection->is_connected || flow_mode(flow) == RELAY_HOLD)
		return;
	while ((chunk = g_queue_peek_head(&flow->chunks))) {
		if (chunk->due > ev_now(ev)) {
			ev_timer_stop(ev, &flow->delay_timer);
			ev_timer_set(&flow->delay_timer,
				     chunk->due - ev_now(ev), 0);
			ev_timer_start(ev, &flow->delay_timer);
			return;
		}
		if (!write_chunk(flow, chunk))
			return;
	}
	if (flow->source_ended && !flow->is_blackholed)
		forward_end(flow);
	else if (!flow->source_ended && flow->queued_bytes < QUEUE_MAX_BYTES)
		ev_io_start(ev, &flow->readable);
}

static void on_delay_expired(struct ev_loop *ev, ev_timer *watcher, int events)
{
	flush_flow(watcher->data);
}

static void on_writable(struct ev_loop *ev, ev_io *watcher, int events)
{
	flow_t *flow = watcher->data;
	int error = 0;
	socklen_t size = sizeof(error);

	ev_io_stop(ev, watcher);
	getsockopt(watcher->fd, SOL_SOCKET, SO_ERROR, &error, &size);
	if (error) {
		close_connection(flow->connection, true);
		return;
	}
	if (!flow->connection->is_connected) {
		flow->connection->is_connected = true;
		ev_feed_event(ev, &flow->connection->reverse.delay_timer,
			      EV_TIMER);
	}
	flush_flow(flow);
}

static void on_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
	flow_t *flow = watcher->data;
	uint8_t bytes[CHUNK_BYTES];
	ssize_t got = recv(flow->from_fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got < 0 && !flow->is_blackholed) {
		close_connection(flow->connection, true);
		return;
	}
	if (got <= 0) {
		flow->source_ended = true;
		ev_io_stop(ev, watcher);
	} else if (!flow->is_blackholed) {
		chunk_t *chunk = g_new0(chunk_t, 1);
		int delay_ms = g_atomic_int_get(
			&flow->connection->listener->link->delay_ms);

		chunk->due = ev_now(ev) + delay_ms / MS_PER_S;
		chunk->bytes = g_byte_array_sized_new((guint)got);
		g_byte_array_append(chunk->bytes, bytes, (guint)got);
		g_queue_push_tail(&flow->chunks, chunk);
		flow->queued_bytes += (size_t)got;
		if (flow->queued_bytes >= QUEUE_MAX_BYTES)
			ev_io_stop(ev, watcher);
	}
	flush_flow(flow);
}

static void init_flow(flow_t *flow, connection_t *connection, int from_fd,
		      int to_fd, bool is_forward)
{
	flow->connection = connection;
	flow->from_fd = from_fd;
	flow->to_fd = to_fd;
	flow->is_forward = is_forward;
	g_queue_init(&flow->chunks);
	ev_io_init(&flow->readable, on_readable, from_fd, EV_READ);
	ev_io_init(&flow->writable, on_writable, to_fd, EV_WRITE);
	ev_timer_init(&flow->delay_timer, on_delay_expired, 0, 0);
	flow->readable.data = flow;
	flow->writable.data = flow;
	flow->delay_timer.data = flow;
}

/* Connects to the target for an accepted connection. */
static void open_connection(listener_t *listener, int fd)
{
	int on = 1;
	struct ev_loop *ev = listener->relays->ev;
	connection_t *connection = g_new0(connection_t, 1);
	int target_fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	connection->listener = listener;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(target_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	init_flow(&connection->forward, connection, fd, target_fd, true);
	init_flow(&connection->reverse, connection, target_fd, fd, false);
	g_hash_table_add(listener->connections, connection);
	if (connect(target_fd, (struct sockaddr *)&listener->target,
		    sizeof(listener->target)) != 0 &&
	    errno != EINPROGRESS) {
		close_connection(connection, true);
		return;
	}
	ev_io_start(ev, &connection->forward.writable);
	ev_io_start(ev, &connection->forward.readable);
	ev_io_start(ev, &connection->reverse.readable);
}

static void on_accept(struct ev_loop *ev, ev_io *watcher, int events)
{
	int fd;

	while ((fd = accept4(watcher->fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		open_connection(watcher->data, fd);
}

/* Datagrams are never delayed; they are dropped while the link holds. */
static void on_datagram(struct ev_loop *ev, ev_io *watcher, int events)
{
	listener_t *listener = watcher->data;
	relay_link_t *link = listener->link;
	uint8_t bytes[CHUNK_BYTES];
	ssize_t got;

	while ((got = recv(listener->fd, bytes, sizeof(bytes), MSG_DONTWAIT)) >=
	       0) {
		if (g_atomic_int_get(&link->to_target) != RELAY_FORWARD ||
		    g_rand_int_range(listener->relays->random, 0, 100) <
			    g_atomic_int_get(&link->loss_percent))
			continue;
		sendto(listener->fd, bytes, (size_t)got, MSG_NOSIGNAL,
		       (struct sockaddr *)&listener->target,
		       sizeof(listener->target));
	}
}

/* Drops queued and all further data of one direction. */
static void blackhole_flow(flow_t *flow)
{
	flow->is_blackholed = true;
	g_queue_clear_full(&flow->chunks, free_chunk);
	flow->queued_bytes = 0;
}

static void apply_link_changes(connection_t *connection, bool resets,
			       bool blackholes_to, bool blackholes_from)
{
	struct ev_loop *ev = connection->listener->relays->ev;

	if (resets) {
		close_connection(connection, true);
		return;
	}
	if (blackholes_to)
		blackhole_flow(&connection->forward);
	if (blackholes_from)
		blackhole_flow(&connection->reverse);
	/* Deferred, since flush_flow() may free the connection. */
	ev_feed_event(ev, &connection->reverse.delay_timer, EV_TIMER);
	ev_feed_event(ev, &connection->forward.delay_timer, EV_TIMER);
}

static void apply_listener_changes(listener_t *listener)
{
	relay_link_t *link = listener->link;
	gint reset_generation = g_atomic_int_get(&link->reset_generation);
	gint blackhole_to_generation =
		g_atomic_int_get(&link->blackhole_to_generation);
	gint blackhole_from_generation =
		g_atomic_int_get(&link->blackhole_from_generation);
	GList *connections = g_hash_table_get_keys(listener->connections);

	for (GList *item = connections; item; item = item->next)
		apply_link_changes(item->data,
				   reset_generation !=
					   listener->reset_generation,
				   blackhole_to_generation !=
					   listener->blackhole_to_generation,
				   blackhole_from_generation !=
					   listener->blackhole_from_generation);
	g_list_free(connections);
	listener->reset_generation = reset_generation;
	listener->blackhole_to_generation = blackhole_to_generation;
	listener->blackhole_from_generation = blackhole_from_generation;
}

static void on_wakeup(struct ev_loop *ev, ev_async *watcher, int events)
{
	relays_t *relays = watcher->data;

	if (g_atomic_int_get(&relays->stopping)) {
		ev_break(ev, EVBREAK_ALL);
		return;
	}
	for (guint i = 0; i < relays->listeners->len; i++)
		apply_listener_changes(relays->listeners->pdata[i]);
}

relays_t *relays_new(void)
{
	relays_t *relays = g_new0(relays_t, 1);

	relays->ev = ev_loop_new(EVFLAG_AUTO);
	relays->listeners = g_ptr_array_new();
	relays->random = g_rand_new();
	ev_async_init(&relays->wakeup, on_wakeup);
	relays->wakeup.data = relays;
	ev_async_start(relays->ev, &relays->wakeup);
	return relays;
}

/* The port is the same at both addresses. */
void relays_add(relays_t *relays, relay_link_t *link, bool is_stream,
		const char *from_ip, const char *to_ip, uint16_t port)
{
	listener_t *listener = g_new0(listener_t, 1);
	struct sockaddr_in from = make_address(from_ip, port);
	int on = 1;

	listener->relays = relays;
	listener->link = link;
	listener->is_stream = is_stream;
	listener->target = make_address(to_ip, port);
	listener->connections = g_hash_table_new(NULL, NULL);
	listener->fd = socket(AF_INET,
			      (is_stream ? SOCK_STREAM : SOCK_DGRAM) |
				      SOCK_NONBLOCK | SOCK_CLOEXEC,
			      0);
	setsockopt(listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listener->fd, (struct sockaddr *)&from, sizeof(from)) != 0 ||
	    (is_stream && listen(listener->fd, SOMAXCONN) != 0)) {
		fprintf(stderr, "soak: cannot bind relay to %s:%u: %s\n",
			from_ip, port, g_strerror(errno));
		exit(1);
	}
	ev_io_init(&listener->readable, is_stream ? on_accept : on_datagram,
		   listener->fd, EV_READ);
	listener->readable.data = listener;
	ev_io_start(relays->ev, &listener->readable);
	g_ptr_array_add(relays->listeners, listener);
}

static gpointer run_loop(gpointer data)
{
	ev_run(((relays_t *)data)->ev, 0);
	return NULL;
}

void relays_start(relays_t *relays)
{
	relays->thread = g_thread_new("relays", run_loop, relays);
}

void relays_notify(relays_t *relays)
{
	ev_async_send(relays->ev, &relays->wakeup);
}

static void free_listener(struct ev_loop *ev, listener_t *listener)
{
	GList *connections = g_hash_table_get_keys(listener->connections);

	for (GList *item = connections; item; item = item->next)
		close_connection(item->data, true);
	g_list_free(connections);
	ev_io_stop(ev, &listener->readable);
	close(listener->fd);
	g_hash_table_destroy(listener->connections);
	g_free(listener);
}

/* Stops the thread and resets all open connections. */
void relays_free(relays_t *relays)
{
	g_atomic_int_set(&relays->stopping, 1);
	relays_notify(relays);
	g_thread_join(relays->thread);
	for (guint i = 0; i < relays->listeners->len; i++)
		free_listener(relays->ev, relays->listeners->pdata[i]);
	g_ptr_array_free(relays->listeners, TRUE);
	ev_async_stop(relays->ev, &relays->wakeup);
	ev_loop_destroy(relays->ev);
	g_rand_free(relays->random);
	g_free(relays);
}
