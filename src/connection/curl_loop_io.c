/*
 * Transfers and idle connections of libcurl on the event loop.
 */
#include <errno.h>
#include <netdb.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>
#include "connection/curl_loop_io.h"

#define HOST_SIZE 64
#define PORT_SIZE 8

/* A socket of libcurl: of a transfer, or of an idle connection. */
typedef struct watch {
	dws_curl_loop_t *loop;
	ev_io transfer;
	ev_io idle;
	bool is_established; /* libcurl reports when it closes the socket */
	uint32_t key; /* of the connection, if it is established */
} watch_t;

/* Lets libcurl handle an event of a socket or a timeout. */
static void run_action(dws_curl_loop_t *loop, curl_socket_t fd, int mask)
{
	int running = 0;

	curl_multi_socket_action(loop->multi, fd, mask, &running);
	loop->ops->advanced(loop->context);
}

static void on_transfer(struct ev_loop *ev, ev_io *watcher, int events)
{
	watch_t *watch = watcher->data;
	int mask = 0;

	if (events & EV_READ)
		mask |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		mask |= CURL_CSELECT_OUT;
	run_action(watch->loop, watcher->fd, mask);
}

static void on_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
	run_action(watcher->data, CURL_SOCKET_TIMEOUT, 0);
}

/* Reports bytes on an idle connection. */
static void report_surplus(const dws_curl_loop_t *loop, int fd)
{
	struct sockaddr_storage address = {0};
	socklen_t length = sizeof(address);
	char host[HOST_SIZE] = "";
	char port[PORT_SIZE] = "";

	getpeername(fd, (struct sockaddr *)&address, &length);
	getnameinfo((struct sockaddr *)&address, length, host, sizeof(host),
		    port, sizeof(port), NI_NUMERICHOST | NI_NUMERICSERV);
	char *peer = g_strdup_printf("%s:%s", host, port);

	loop->ops->surplus(loop->context, peer);
	g_free(peer);
}

/*
 * Shuts an idle connection down that has bytes to read, or has ended; false if
 * neither is so.
 */
static bool shut_down_if_readable(const dws_curl_loop_t *loop, int fd)
{
	char byte;
	ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return false;
	if (got > 0)
		report_surplus(loop, fd);
	shutdown(fd, SHUT_RDWR);
	return true;
}

static void on_idle(struct ev_loop *ev, ev_io *watcher, int events)
{
	const watch_t *watch = watcher->data;

	if (shut_down_if_readable(watch->loop, watcher->fd))
		ev_io_stop(ev, watcher);
}

static void free_watch(gpointer data)
{
	watch_t *watch = data;

	ev_io_stop(watch->loop->ev, &watch->transfer);
	ev_io_stop(watch->loop->ev, &watch->idle);
	if (watch->is_established)
		g_hash_table_remove(watch->loop->connections,
				    GUINT_TO_POINTER(watch->key));
	g_free(watch);
}

static watch_t *new_watch(dws_curl_loop_t *loop, curl_socket_t fd)
{
	watch_t *watch = g_new0(watch_t, 1);

	watch->loop = loop;
	ev_io_init(&watch->transfer, on_transfer, fd, 0);
	ev_io_init(&watch->idle, on_idle, fd, EV_READ);
	watch->transfer.data = watch;
	watch->idle.data = watch;
	/* Before a transfer that starts at the same time uses the connection. */
	ev_set_priority(&watch->idle, EV_MAXPRI);
	g_hash_table_insert(loop->sockets, GINT_TO_POINTER(fd), watch);
	return watch;
}

/*
 * CURLMOPT_SOCKETFUNCTION: starts or changes the watch of a transfer's socket,
 * or begins to watch an idle connection.
 */
static int on_socket_watch(CURL *easy, curl_socket_t fd, int what, void *data,
			   void *socket_data)
{
	dws_curl_loop_t *loop = data;
	watch_t *watch =
		g_hash_table_lookup(loop->sockets, GINT_TO_POINTER(fd));
	int events = 0;

	/* The socket may have been closed already. */
	if (what == CURL_POLL_REMOVE && !(watch && watch->is_established)) {
		g_hash_table_remove(loop->sockets, GINT_TO_POINTER(fd));
		return 0;
	}
	if (!watch)
		watch = new_watch(loop, fd);
	ev_io_stop(loop->ev, &watch->transfer);
	ev_io_stop(loop->ev, &watch->idle);
	if (what == CURL_POLL_REMOVE) {
		ev_io_start(loop->ev, &watch->idle);
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	ev_io_set(&watch->transfer, fd, events);
	ev_io_start(loop->ev, &watch->transfer);
	return 0;
}

/* CURLOPT_CLOSESOCKETFUNCTION: closes a socket, which is not watched then. */
static int on_socket_close(void *data, curl_socket_t fd)
{
	dws_curl_loop_t *loop = data;

	g_hash_table_remove(loop->sockets, GINT_TO_POINTER(fd));
	return close(fd);
}

/* CURLMOPT_TIMERFUNCTION: sets the timer; -1 stops it. */
static int on_timeout_change(CURLM *multi, long timeout_ms, void *data)
{
	dws_curl_loop_t *loop = data;

	ev_timer_stop(loop->ev, &loop->timer);
	if (timeout_ms >= 0) {
		ev_now_update(loop->ev);
		ev_timer_set(&loop->timer, (double)timeout_ms / 1000.0, 0);
		ev_timer_start(loop->ev, &loop->timer);
	}
	return 0;
}

void dws_curl_loop_init(dws_curl_loop_t *loop, const dws_curl_loop_ops_t *ops,
			void *context, struct ev_loop *ev, CURLM *multi)
{
	loop->ops = ops;
	loop->context = context;
	loop->ev = ev;
	loop->multi = multi;
	loop->sockets = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      NULL, free_watch);
	loop->connections = g_hash_table_new(g_direct_hash, g_direct_equal);
	ev_timer_init(&loop->timer, on_timer, 0, 0);
	loop->timer.data = loop;
	curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, on_socket_watch);
	curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, on_timeout_change);
	curl_multi_setopt(multi, CURLMOPT_TIMERDATA, loop);
}

void dws_curl_loop_finish(dws_curl_loop_t *loop)
{
	ev_timer_stop(loop->ev, &loop->timer);
	g_hash_table_destroy(loop->sockets);
	g_hash_table_destroy(loop->connections);
}

void dws_curl_loop_established(dws_curl_loop_t *loop, curl_socket_t fd,
			       uint32_t key)
{
	watch_t *watch =
		g_hash_table_lookup(loop->sockets, GINT_TO_POINTER(fd));

	if (!watch)
		watch = new_watch(loop, fd);
	watch->is_established = true;
	watch->key = key;
	g_hash_table_insert(loop->connections, GUINT_TO_POINTER(key), watch);
}

bool dws_curl_loop_is_usable(dws_curl_loop_t *loop, uint32_t key)
{
	const watch_t *watch =
		g_hash_table_lookup(loop->connections, GUINT_TO_POINTER(key));

	return !watch || !shut_down_if_readable(loop, watch->idle.fd);
}

void dws_curl_loop_prepare(dws_curl_loop_t *loop, CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_socket_close);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, loop);
}
