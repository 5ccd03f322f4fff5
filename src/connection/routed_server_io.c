/*
 * The routed listener: accepting, passing calls to the owner and shutting down.
 * Its connections are in routed_connection_io.c.
 */
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "connection/address_io.h"
#include "connection/routed_server_internal_io.h"

#define ACCEPT_PAUSE_S 0.1
#define ACCEPTS_PER_EVENT 64
/*
 * While memory is scarce, a connection that has waited this long for its client
 * and holds more than this makes room for others.
 */
#define STALLED_S 5.0
#define STALLED_BYTES (16 * 1024)
/* Connections that are closed for this at a time. */
#define STALLED_CLOSED_MAX 16

static void on_reap(struct ev_loop *ev, ev_timer *watcher, int events)
{
	dws_routed_server_t *server = watcher->data;

	while (server->closed->len > 0)
		g_hash_table_remove(server->connections,
				    g_ptr_array_steal_index(server->closed, 0));
}

/*
 * Answers a call; false if no call with that id awaits an answer. While
 * ops->call runs, the id is not known yet and the answer is that of the
 * current request.
 */
bool dws_routed_server_answer(dws_routed_server_t *server, uint64_t call_id,
			      const dws_answer_t *answer)
{
	dws_routed_request_t *request =
		g_hash_table_lookup(server->calls, &call_id);

	if (request) {
		request->is_waiting = false;
		g_hash_table_remove(server->calls, &call_id);
		dws_routed_request_answer(request, answer);
		return true;
	}
	if (!server->current_request)
		return false;
	request = server->current_request;
	server->current_request = NULL;
	dws_routed_request_answer(request, answer);
	return true;
}

/* Passes a call to ops->call; the answer may be set before this returns. */
void dws_routed_server_forward(dws_routed_request_t *request,
			       const dws_call_t *call)
{
	dws_routed_server_t *server = request->connection->server;
	uint64_t call_id;

	server->current_request = request;
	call_id = server->ops->call(server->context, call);
	if (server->current_request == request) {
		request->call_id = call_id;
		request->is_waiting = true;
		g_hash_table_insert(server->calls, &request->call_id, request);
	}
	server->current_request = NULL;
}

/* True if a connection is to be given up before another one. */
static bool goes_first(const dws_routed_connection_t *connection,
		       const dws_routed_connection_t *other)
{
	dws_routed_wait_t wait = dws_routed_connection_wait(connection);
	dws_routed_wait_t other_wait = dws_routed_connection_wait(other);

	if (wait != other_wait)
		return wait < other_wait;
	return connection->waits_since < other->waits_since;
}

/*
 * Closes the connection that has waited longest for its client. It is freed at
 * once, which reports nothing to the owner, as none of its requests waits for an
 * answer.
 */
bool dws_routed_server_evict(dws_routed_server_t *server)
{
	dws_routed_connection_t *first = NULL;
	GHashTableIter iter;
	gpointer value;

	if (!server->connections)
		return false;
	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		dws_routed_connection_t *connection = value;

		if (connection->is_closed)
			continue;
		if (!first || goes_first(connection, first))
			first = connection;
	}
	if (!first ||
	    dws_routed_connection_wait(first) == DWS_ROUTED_WAIT_ANSWER)
		return false;
	dws_counters_add(server->counters, DWS_COUNT_CONNECTIONS_EVICTED, 1);
	g_hash_table_remove(server->connections, first);
	return true;
}

/*
 * True if a connection has held much for a client for long, though no request
 * of it is being served.
 */
static bool is_stalled(const dws_routed_connection_t *connection)
{
	dws_routed_wait_t wait = dws_routed_connection_wait(connection);
	double waited_s =
		ev_now(connection->server->ev) - connection->waits_since;

	return (wait == DWS_ROUTED_WAIT_REST || wait == DWS_ROUTED_WAIT_READ) &&
	       waited_s > STALLED_S &&
	       dws_routed_connection_all_bytes(connection) > STALLED_BYTES;
}

/* Returns the stalled connection that has waited longest; NULL if none has. */
static dws_routed_connection_t *find_stalled(const dws_routed_server_t *server)
{
	dws_routed_connection_t *first = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		dws_routed_connection_t *connection = value;

		if (connection->is_closed || !is_stalled(connection))
			continue;
		if (!first || connection->waits_since < first->waits_since)
			first = connection;
	}
	return first;
}

void dws_routed_server_free_memory(dws_routed_server_t *server)
{
	if (!server->connections)
		return;
	for (int i = 0; i < STALLED_CLOSED_MAX; i++) {
		dws_routed_connection_t *stalled =
			dws_memory_is_scarce(server->memory)
				? find_stalled(server)
				: NULL;

		if (!stalled)
			return;
		dws_counters_add(server->counters, DWS_COUNT_STALLED_CLOSED, 1);
		g_hash_table_remove(server->connections, stalled);
	}
}

uint32_t dws_routed_server_open_count(const dws_routed_server_t *server)
{
	if (!server->connections)
		return 0;
	return g_hash_table_size(server->connections) - server->closed->len;
}

/* True if a new connection may stay; another one may be closed for it. */
static bool has_room(dws_routed_server_t *server)
{
	return dws_routed_server_open_count(server) < server->connections_max ||
	       dws_routed_server_evict(server);
}

/*
 * Returns the descriptor of a new connection, or another one for it that is not
 * kept from clients, if a connection can be closed for that; -1 if not.
 */
static int client_descriptor(dws_routed_server_t *server, int fd)
{
	int lower_fd;

	if (!dws_descriptors_is_kept(&server->descriptors, fd))
		return fd;
	if (!server->ops->free_descriptor(server->context))
		return -1;
	lower_fd = fcntl(fd, F_DUPFD_CLOEXEC, 0);
	if (lower_fd >= 0)
		close(fd);
	return lower_fd;
}

/* Registers a new connection, or closes it if there is no room. */
static void take_connection(dws_routed_server_t *server, int fd)
{
	int client_fd = has_room(server) ? client_descriptor(server, fd) : -1;

	if (client_fd >= 0) {
		dws_routed_connection_add(server, client_fd);
		return;
	}
	dws_counters_add(server->counters, DWS_COUNT_CONNECTIONS_REFUSED, 1);
	close(fd);
}

/* Accepts connections; returns how many, at most ACCEPTS_PER_EVENT. */
static int accept_connections(dws_routed_server_t *server)
{
	struct ev_loop *ev = server->ev;
	int count = 0;

	for (; count < ACCEPTS_PER_EVENT; count++) {
		int fd = accept4(server->listen_fd, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0 && (errno == EMFILE || errno == ENFILE ||
			       errno == ENOBUFS || errno == ENOMEM)) {
			ev_io_stop(ev, &server->accept_watcher);
			ev_timer_set(&server->accept_pause, ACCEPT_PAUSE_S, 0);
			ev_timer_start(ev, &server->accept_pause);
		}
		if (fd < 0)
			break;
		take_connection(server, fd);
	}
	return count;
}

static void on_accept(struct ev_loop *ev, ev_io *watcher, int events)
{
	accept_connections(watcher->data);
}

static void on_accept_pause(struct ev_loop *ev, ev_timer *watcher, int events)
{
	dws_routed_server_t *server = watcher->data;

	if (server->listen_fd >= 0)
		ev_io_start(ev, &server->accept_watcher);
}

/* Starts listening; server->address gets the port actually bound. */
bool dws_routed_server_init(dws_routed_server_t *server,
			    const dws_routed_server_ops_t *ops, void *context,
			    struct ev_loop *ev, dws_counters_t *counters,
			    dws_memory_t *memory,
			    const dws_http_names_t *http_names,
			    const dws_settings_t *settings,
			    const dws_address_t *listen, GError **error)
{
	memset(server, 0, sizeof(*server));
	server->ops = ops;
	server->context = context;
	server->ev = ev;
	server->counters = counters;
	server->memory = memory;
	server->http_names = http_names;
	server->connections_max = settings->max_connections;
	dws_descriptors_init(&server->descriptors);
	g_strlcpy(server->service, settings->service, sizeof(server->service));
	server->address = *listen;
	server->listen_fd =
		dws_address_open_socket(&server->address, SOCK_STREAM, error);
	if (server->listen_fd < 0)
		return false;
	server->scratch = g_malloc(DWS_ROUTED_SCRATCH_BYTES);
	server->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	server->connections =
		g_hash_table_new_full(g_direct_hash, g_direct_equal,
				      dws_routed_connection_free, NULL);
	ev_io_init(&server->accept_watcher, on_accept, server->listen_fd,
		   EV_READ);
	ev_timer_init(&server->accept_pause, on_accept_pause, ACCEPT_PAUSE_S,
		      0);
	ev_timer_init(&server->reap, on_reap, 0, 0);
	server->closed = g_ptr_array_new();
	server->reap.data = server;
	server->accept_watcher.data = server;
	server->accept_pause.data = server;
	ev_io_start(ev, &server->accept_watcher);
	return true;
}

static void stop_listening(dws_routed_server_t *server)
{
	ev_io_stop(server->ev, &server->accept_watcher);
	ev_timer_stop(server->ev, &server->accept_pause);
	if (server->listen_fd >= 0)
		close(server->listen_fd);
	server->listen_fd = -1;
}

/* Closes all connections, including those with unanswered requests. */
void dws_routed_server_finish(dws_routed_server_t *server)
{
	if (!server->connections)
		return;
	stop_listening(server);
	GList *connections = g_hash_table_get_keys(server->connections);

	for (GList *item = connections; item; item = item->next)
		dws_routed_connection_close(item->data);
	g_list_free(connections);
	on_reap(server->ev, &server->reap, 0);
	ev_clear_pending(server->ev, &server->reap);
	g_ptr_array_free(server->closed, TRUE);
	g_hash_table_destroy(server->connections);
	g_hash_table_destroy(server->calls);
	g_free(server->scratch);
	server->connections = NULL;
}

/*
 * Closes each connection with the answer to its last received request. Idle
 * connections stay open; see dws_routed_server_quiesce().
 */
void dws_routed_server_drain(dws_routed_server_t *server)
{
	server->is_draining = true;
}

/*
 * Closes idle connections and rejects new requests. New connections are still
 * accepted, as the rejection carries Retry-After.
 */
void dws_routed_server_quiesce(dws_routed_server_t *server)
{
	GHashTableIter iter;
	gpointer value;

	if (server->is_quiescing || !server->connections)
		return;
	server->is_quiescing = true;
	server->is_draining = true;
	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		dws_routed_connection_t *connection = value;

		if (!dws_routed_connection_is_busy(connection))
			dws_routed_connection_shutdown_write(connection);
	}
}

/* Accepts the connections in the accept queue; true if there were any. */
bool dws_routed_server_accept_pending(dws_routed_server_t *server)
{
	return server->connections && server->listen_fd >= 0 &&
	       accept_connections(server) > 0;
}

/* True if no request is being received, served or answered. */
bool dws_routed_server_is_idle(const dws_routed_server_t *server)
{
	GHashTableIter iter;
	gpointer value;

	if (!server->connections)
		return true;
	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		if (dws_routed_connection_is_busy(value))
			return false;
	}
	return true;
}
