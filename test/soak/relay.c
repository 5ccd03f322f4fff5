/*
 * Relays of a soak, on one event loop.
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
/* Bytes that wait in one direction before its source is read no more. */
#define WAITING_MAX_BYTES (1024 * 1024)
#define MS_PER_S 1000.0

typedef struct pair pair_t;

/* Bytes that are due at a time. */
typedef struct chunk {
	ev_tstamp due;
	GByteArray *bytes;
} chunk_t;

/* One direction of a connection: bytes read from one end for the other. */
typedef struct flow {
	pair_t *pair;
	int from_fd;
	int to_fd;
	bool to_target;
	bool is_silenced; /* for good */
	bool has_ended; /* its source sent all */
	bool is_closed; /* and the other end was told so */
	GQueue chunks;
	size_t waiting_bytes;
	ev_io readable;
	ev_io writable;
	ev_timer due;
} flow_t;

/* A connection through a link. */
struct pair {
	struct listener *listener;
	flow_t there;
	flow_t back;
	bool is_connected;
};

typedef struct listener {
	relays_t *relays;
	relay_link_t *link;
	bool is_stream;
	int fd;
	struct sockaddr_in target;
	ev_io readable;
	GHashTable *pairs; /* pair_t * set */
	gint resets; /* that were done */
	gint silences_to;
	gint silences_from;
} listener_t;

struct relays {
	struct ev_loop *ev;
	ev_async changed;
	GPtrArray *listeners;
	GThread *thread;
	GRand *random;
	gint stopping;
};

static void pump(flow_t *flow);

static struct sockaddr_in address_of(const char *ip, uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(port)};

	inet_pton(AF_INET, ip, &address.sin_addr);
	return address;
}

static relay_mode_t mode_of(const flow_t *flow)
{
	relay_link_t *link = flow->pair->listener->link;

	return (relay_mode_t)g_atomic_int_get(
		flow->to_target ? &link->to_target : &link->from_target);
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
	ev_timer_stop(ev, &flow->due);
	g_queue_clear_full(&flow->chunks, free_chunk);
}

/* Ends a connection at both ends; with a reset if it did not end well. */
static void end_pair(pair_t *pair, bool resets)
{
	struct linger now = {.l_onoff = 1, .l_linger = 0};
	struct ev_loop *ev = pair->listener->relays->ev;
	int fds[] = {pair->there.from_fd, pair->there.to_fd};

	stop_flow(ev, &pair->there);
	stop_flow(ev, &pair->back);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		if (resets)
			setsockopt(fds[i], SOL_SOCKET, SO_LINGER, &now,
				   sizeof(now));
		close(fds[i]);
	}
	g_hash_table_remove(pair->listener->pairs, pair);
	g_free(pair);
}

/* Writes one chunk; false if the pair is gone or the socket is full. */
static bool write_chunk(flow_t *flow, chunk_t *chunk)
{
	ssize_t wrote = send(flow->to_fd, chunk->bytes->data, chunk->bytes->len,
			     MSG_NOSIGNAL | MSG_DONTWAIT);

	if (wrote < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
		ev_io_start(flow->pair->listener->relays->ev, &flow->writable);
		return false;
	}
	if (wrote < 0) {
		end_pair(flow->pair, true);
		return false;
	}
	flow->waiting_bytes -= (size_t)wrote;
	if ((guint)wrote == chunk->bytes->len) {
		free_chunk(g_queue_pop_head(&flow->chunks));
		return true;
	}
	g_byte_array_remove_range(chunk->bytes, 0, (guint)wrote);
	return true;
}

/* Passes an end on; ends the pair once both directions are over. */
static void pass_end(flow_t *flow)
{
	pair_t *pair = flow->pair;

	if (!flow->is_closed) {
		flow->is_closed = true;
		shutdown(flow->to_fd, SHUT_WR);
	}
	if (pair->there.is_closed && pair->back.is_closed)
		end_pair(pair, false);
}

/* Writes what is due; sets the timer for what is not. */
static void pump(flow_t *flow)
{
	struct ev_loop *ev = flow->pair->listener->relays->ev;
	chunk_t *chunk;

	if (!flow->pair->is_connected || mode_of(flow) == RELAY_HOLDS)
		return;
	while ((chunk = g_queue_peek_head(&flow->chunks))) {
		if (chunk->due > ev_now(ev)) {
			ev_timer_stop(ev, &flow->due);
			ev_timer_set(&flow->due, chunk->due - ev_now(ev), 0);
			ev_timer_start(ev, &flow->due);
			return;
		}
		if (!write_chunk(flow, chunk))
			return;
	}
	if (flow->has_ended && !flow->is_silenced)
		pass_end(flow);
	else if (!flow->has_ended && flow->waiting_bytes < WAITING_MAX_BYTES)
		ev_io_start(ev, &flow->readable);
}

static void on_due(struct ev_loop *ev, ev_timer *watcher, int events)
{
	pump(watcher->data);
}

static void on_writable(struct ev_loop *ev, ev_io *watcher, int events)
{
	flow_t *flow = watcher->data;
	int fault = 0;
	socklen_t size = sizeof(fault);

	ev_io_stop(ev, watcher);
	getsockopt(watcher->fd, SOL_SOCKET, SO_ERROR, &fault, &size);
	if (fault) {
		end_pair(flow->pair, true);
		return;
	}
	if (!flow->pair->is_connected) {
		flow->pair->is_connected = true;
		ev_feed_event(ev, &flow->pair->back.due, EV_TIMER);
	}
	pump(flow);
}

static void on_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
	flow_t *flow = watcher->data;
	uint8_t bytes[CHUNK_BYTES];
	ssize_t got = recv(flow->from_fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got < 0 && !flow->is_silenced) {
		end_pair(flow->pair, true);
		return;
	}
	if (got <= 0) {
		flow->has_ended = true;
		ev_io_stop(ev, watcher);
	} else if (!flow->is_silenced) {
		chunk_t *chunk = g_new0(chunk_t, 1);
		int delay_ms =
			g_atomic_int_get(&flow->pair->listener->link->delay_ms);

		chunk->due = ev_now(ev) + delay_ms / MS_PER_S;
		chunk->bytes = g_byte_array_sized_new((guint)got);
		g_byte_array_append(chunk->bytes, bytes, (guint)got);
		g_queue_push_tail(&flow->chunks, chunk);
		flow->waiting_bytes += (size_t)got;
		if (flow->waiting_bytes >= WAITING_MAX_BYTES)
			ev_io_stop(ev, watcher);
	}
	pump(flow);
}

static void init_flow(flow_t *flow, pair_t *pair, int from_fd, int to_fd,
		      bool to_target)
{
	flow->pair = pair;
	flow->from_fd = from_fd;
	flow->to_fd = to_fd;
	flow->to_target = to_target;
	g_queue_init(&flow->chunks);
	ev_io_init(&flow->readable, on_readable, from_fd, EV_READ);
	ev_io_init(&flow->writable, on_writable, to_fd, EV_WRITE);
	ev_timer_init(&flow->due, on_due, 0, 0);
	flow->readable.data = flow;
	flow->writable.data = flow;
	flow->due.data = flow;
}

/* Connects onwards for a connection that was accepted. */
static void add_pair(listener_t *listener, int fd)
{
	int on = 1;
	struct ev_loop *ev = listener->relays->ev;
	pair_t *pair = g_new0(pair_t, 1);
	int onwards =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	pair->listener = listener;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(onwards, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	init_flow(&pair->there, pair, fd, onwards, true);
	init_flow(&pair->back, pair, onwards, fd, false);
	g_hash_table_add(listener->pairs, pair);
	if (connect(onwards, (struct sockaddr *)&listener->target,
		    sizeof(listener->target)) != 0 &&
	    errno != EINPROGRESS) {
		end_pair(pair, true);
		return;
	}
	ev_io_start(ev, &pair->there.writable);
	ev_io_start(ev, &pair->there.readable);
	ev_io_start(ev, &pair->back.readable);
}

static void on_accept(struct ev_loop *ev, ev_io *watcher, int events)
{
	int fd;

	while ((fd = accept4(watcher->fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		add_pair(watcher->data, fd);
}

/* Datagrams go on at once or are lost, also while the link holds. */
static void on_datagram(struct ev_loop *ev, ev_io *watcher, int events)
{
	listener_t *listener = watcher->data;
	relay_link_t *link = listener->link;
	uint8_t bytes[CHUNK_BYTES];
	ssize_t got;

	while ((got = recv(listener->fd, bytes, sizeof(bytes), MSG_DONTWAIT)) >=
	       0) {
		if (g_atomic_int_get(&link->to_target) != RELAY_PASSES ||
		    g_rand_int_range(listener->relays->random, 0, 100) <
			    g_atomic_int_get(&link->loss_percent))
			continue;
		sendto(listener->fd, bytes, (size_t)got, MSG_NOSIGNAL,
		       (struct sockaddr *)&listener->target,
		       sizeof(listener->target));
	}
}

/* Loses all that comes of one direction from now on. */
static void silence(flow_t *flow)
{
	flow->is_silenced = true;
	g_queue_clear_full(&flow->chunks, free_chunk);
	flow->waiting_bytes = 0;
}

/* Does what a link asks for to a connection that is open. */
static void follow_link(pair_t *pair, bool resets, bool silences_to,
			bool silences_from)
{
	struct ev_loop *ev = pair->listener->relays->ev;

	if (resets) {
		end_pair(pair, true);
		return;
	}
	if (silences_to)
		silence(&pair->there);
	if (silences_from)
		silence(&pair->back);
	/* Pumping one direction may end the pair. */
	ev_feed_event(ev, &pair->back.due, EV_TIMER);
	ev_feed_event(ev, &pair->there.due, EV_TIMER);
}

static void follow_listener(listener_t *listener)
{
	relay_link_t *link = listener->link;
	gint resets = g_atomic_int_get(&link->resets);
	gint silences_to = g_atomic_int_get(&link->silences_to);
	gint silences_from = g_atomic_int_get(&link->silences_from);
	GList *pairs = g_hash_table_get_keys(listener->pairs);

	for (GList *item = pairs; item; item = item->next)
		follow_link(item->data, resets != listener->resets,
			    silences_to != listener->silences_to,
			    silences_from != listener->silences_from);
	g_list_free(pairs);
	listener->resets = resets;
	listener->silences_to = silences_to;
	listener->silences_from = silences_from;
}

static void on_changed(struct ev_loop *ev, ev_async *watcher, int events)
{
	relays_t *relays = watcher->data;

	if (g_atomic_int_get(&relays->stopping)) {
		ev_break(ev, EVBREAK_ALL);
		return;
	}
	for (guint i = 0; i < relays->listeners->len; i++)
		follow_listener(relays->listeners->pdata[i]);
}

/* Makes relays without a link. */
relays_t *relays_new(void)
{
	relays_t *relays = g_new0(relays_t, 1);

	relays->ev = ev_loop_new(EVFLAG_AUTO);
	relays->listeners = g_ptr_array_new();
	relays->random = g_rand_new();
	ev_async_init(&relays->changed, on_changed);
	relays->changed.data = relays;
	ev_async_start(relays->ev, &relays->changed);
	return relays;
}

/* Adds a link from an address to the same port of another IP number. */
void relays_add(relays_t *relays, relay_link_t *link, bool is_stream,
		const char *from_ip, const char *to_ip, uint16_t port)
{
	listener_t *listener = g_new0(listener_t, 1);
	struct sockaddr_in from = address_of(from_ip, port);
	int on = 1;

	listener->relays = relays;
	listener->link = link;
	listener->is_stream = is_stream;
	listener->target = address_of(to_ip, port);
	listener->pairs = g_hash_table_new(NULL, NULL);
	listener->fd = socket(AF_INET,
			      (is_stream ? SOCK_STREAM : SOCK_DGRAM) |
				      SOCK_NONBLOCK | SOCK_CLOEXEC,
			      0);
	setsockopt(listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listener->fd, (struct sockaddr *)&from, sizeof(from)) != 0 ||
	    (is_stream && listen(listener->fd, SOMAXCONN) != 0)) {
		fprintf(stderr, "can't relay at %s:%u: %s\n", from_ip, port,
			g_strerror(errno));
		exit(1);
	}
	ev_io_init(&listener->readable, is_stream ? on_accept : on_datagram,
		   listener->fd, EV_READ);
	listener->readable.data = listener;
	ev_io_start(relays->ev, &listener->readable);
	g_ptr_array_add(relays->listeners, listener);
}

static gpointer run(gpointer data)
{
	ev_run(((relays_t *)data)->ev, 0);
	return NULL;
}

/* Starts the thread of all relays. */
void relays_start(relays_t *relays)
{
	relays->thread = g_thread_new("relays", run, relays);
}

/* Makes the thread look at the links again. */
void relays_changed(relays_t *relays)
{
	ev_async_send(relays->ev, &relays->changed);
}

static void free_listener(struct ev_loop *ev, listener_t *listener)
{
	GList *pairs = g_hash_table_get_keys(listener->pairs);

	for (GList *item = pairs; item; item = item->next)
		end_pair(item->data, true);
	g_list_free(pairs);
	ev_io_stop(ev, &listener->readable);
	close(listener->fd);
	g_hash_table_destroy(listener->pairs);
	g_free(listener);
}

/* Stops the thread and ends all connections. */
void relays_free(relays_t *relays)
{
	g_atomic_int_set(&relays->stopping, 1);
	relays_changed(relays);
	g_thread_join(relays->thread);
	for (guint i = 0; i < relays->listeners->len; i++)
		free_listener(relays->ev, relays->listeners->pdata[i]);
	g_ptr_array_free(relays->listeners, TRUE);
	ev_async_stop(relays->ev, &relays->changed);
	ev_loop_destroy(relays->ev);
	g_rand_free(relays->random);
	g_free(relays);
}
