/* Runs libmicrohttpd for a listening address within the event loop. */
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "connection/address_io.h"
#include "connection/http_listener_io.h"

#define CONNECTION_MEMORY_BYTES (16 * 1024)
/* Without input, unless a request on the connection awaits its answer. */
#define IDLE_TIMEOUT_S 15U
/* Runs of libmicrohttpd when it stops, at most. */
#define STOP_RUNS_MAX 100

/*
 * Runs libmicrohttpd and sets the timer for its next timeout. A connection that
 * was resumed during the run needs another run; the event for it is fed again,
 * as ev_timer_stop() has cleared the pending one.
 */
static void run_listener(dws_listener_t *listener)
{
	struct ev_loop *ev = listener->ev;
	MHD_UNSIGNED_LONG_LONG timeout_ms = 0;

	listener->is_run_pending = false;
	MHD_run(listener->daemon);
	ev_timer_stop(ev, &listener->timer);
	if (listener->is_run_pending) {
		ev_feed_event(ev, &listener->timer, EV_TIMER);
		return;
	}
	if (MHD_get_timeout(listener->daemon, &timeout_ms) != MHD_YES)
		return;
	ev_timer_set(&listener->timer, (double)timeout_ms / 1000.0, 0);
	ev_timer_start(ev, &listener->timer);
}

static void on_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
	run_listener(watcher->data);
}

static void on_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
	run_listener(watcher->data);
}

void dws_listener_schedule_run(dws_listener_t *listener)
{
	listener->is_run_pending = true;
	ev_feed_event(listener->ev, &listener->timer, EV_TIMER);
}

/* MHD_OPTION_NOTIFY_CONNECTION: records a connection until it is closed. */
static void on_connection(void *context, struct MHD_Connection *connection,
			  void **state,
			  enum MHD_ConnectionNotificationCode code)
{
	dws_listener_t *listener = context;
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		dws_http_connections_remove(*state);
		return;
	}
	*state = dws_http_connections_add(&listener->connections,
					  info->connect_fd);
	if (listener->role == DWS_LISTENER_CALLERS)
		dws_counters_add(listener->counters, DWS_COUNT_CONNECTIONS, 1);
}

/* Disables percent-decoding: the path is forwarded as received. */
static size_t keep_percent_encoding(void *context,
				    struct MHD_Connection *connection,
				    char *text)
{
	return strlen(text);
}

/* Starts a libmicrohttpd daemon on a listening socket. */
static struct MHD_Daemon *
start_daemon(dws_listener_t *listener,
	     const dws_listener_callbacks_t *callbacks, int fd)
{
	return MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		callbacks->on_request, listener, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_CONNECTION_LIMIT,
		dws_http_connections_accept_max(&listener->connections),
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_TIMEOUT,
		IDLE_TIMEOUT_S, MHD_OPTION_URI_LOG_CALLBACK,
		callbacks->on_target, listener, MHD_OPTION_UNESCAPE_CALLBACK,
		keep_percent_encoding, NULL, MHD_OPTION_NOTIFY_COMPLETED,
		callbacks->on_completed, listener, MHD_OPTION_NOTIFY_CONNECTION,
		on_connection, listener, MHD_OPTION_SIGPIPE_HANDLED_BY_APP, 1,
		MHD_OPTION_END);
}

void dws_listener_init(dws_listener_t *listener, struct dws_http_server *server,
		       dws_listener_role_t role, struct ev_loop *ev,
		       dws_counters_t *counters)
{
	memset(listener, 0, sizeof(*listener));
	listener->server = server;
	listener->role = role;
	listener->ev = ev;
	listener->counters = counters;
	ev_io_init(&listener->readable, on_readable, -1, EV_READ);
	ev_timer_init(&listener->timer, on_timer, 0, 0);
	listener->readable.data = listener;
	listener->timer.data = listener;
}

bool dws_listener_start(dws_listener_t *listener,
			const dws_listener_callbacks_t *callbacks,
			const dws_address_t *address,
			unsigned int connections_max, GError **error)
{
	if (!address->ip[0])
		return true;
	listener->address = *address;
	int fd =
		dws_address_open_socket(&listener->address, SOCK_STREAM, error);

	if (fd < 0)
		return false;
	dws_http_connections_init(&listener->connections, listener->counters,
				  connections_max);
	listener->daemon = start_daemon(listener, callbacks, fd);
	if (!listener->daemon) {
		close(fd);
		g_set_error(error, DWS_ERROR, DWS_ERROR_SYSTEM,
			    "HTTP server on %s port %u: libmicrohttpd could "
			    "not be started; raise the limit of open files "
			    "or lower max_connections",
			    address->ip, address->port);
		return false;
	}
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(listener->daemon, MHD_DAEMON_INFO_EPOLL_FD);

	ev_io_set(&listener->readable, info->epoll_fd, EV_READ);
	ev_io_start(listener->ev, &listener->readable);
	run_listener(listener);
	return true;
}

/*
 * Accepts the connections in the backlog, which the kernel would reset when
 * the listening socket is closed.
 */
static void accept_backlog(dws_listener_t *listener)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(
		listener->daemon, MHD_DAEMON_INFO_LISTEN_FD);
	struct pollfd waiting = {.fd = info->listen_fd, .events = POLLIN};

	for (int round = 0; round < STOP_RUNS_MAX; round++) {
		if (poll(&waiting, 1, 0) != 1)
			break;
		MHD_run(listener->daemon);
	}
	dws_listener_schedule_run(listener);
}

void dws_listener_quiesce(dws_listener_t *listener)
{
	if (!listener->daemon)
		return;
	accept_backlog(listener);
	MHD_socket fd = MHD_quiesce_daemon(listener->daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

void dws_listener_stop(dws_listener_t *listener)
{
	for (int round = 0; listener->daemon && round < STOP_RUNS_MAX &&
			    (round == 0 || listener->active);
	     round++)
		MHD_run(listener->daemon);
	ev_io_stop(listener->ev, &listener->readable);
	if (listener->daemon)
		MHD_stop_daemon(listener->daemon);
	ev_timer_stop(listener->ev, &listener->timer);
	ev_clear_pending(listener->ev, &listener->timer);
	listener->daemon = NULL;
}
