/*
 * The connections of a libmicrohttpd listener.
 */
#include <string.h>
#include "connection/http_connections_io.h"
#include "connection/socket_io.h"

/* Connections that are being shut down while others are accepted. */
#define SPARE_CONNECTIONS 16
/* Buffers of the kernel for a client that sends or reads slowly. */
#define RECEIVE_BUFFER_BYTES (32 * 1024)
#define UNSENT_MAX_BYTES (64 * 1024)

uint32_t
dws_http_connections_accept_max(const dws_http_connections_t *connections)
{
	return connections->max + SPARE_CONNECTIONS;
}

void dws_http_connections_init(dws_http_connections_t *connections,
			       dws_counters_t *counters, uint32_t max)
{
	memset(connections, 0, sizeof(*connections));
	connections->counters = counters;
	connections->max = max;
	g_queue_init(&connections->waiting);
}

/*
 * Shuts down a connection, by which libmicrohttpd reads the end of its input
 * and closes it.
 */
static void shut_down(dws_http_connection_t *connection, dws_counter_t counter)
{
	dws_http_connections_t *connections = connection->owner;

	connection->is_closing = true;
	shutdown(connection->fd, SHUT_RDWR);
	dws_counters_add(connections->counters, counter, 1);
}

/* Shuts down the connection that has waited longest; false if there is none. */
static bool evict(dws_http_connections_t *connections)
{
	for (GList *item = connections->waiting.head; item; item = item->next) {
		dws_http_connection_t *connection = item->data;

		if (connection->is_closing)
			continue;
		shut_down(connection, DWS_COUNT_CONNECTIONS_EVICTED);
		return true;
	}
	return false;
}

/* Counts the connections that are not being shut down. */
static uint32_t count_open(const dws_http_connections_t *connections)
{
	uint32_t count = connections->served;

	for (GList *item = connections->waiting.head; item; item = item->next)
		count += !((dws_http_connection_t *)item->data)->is_closing;
	return count;
}

dws_http_connection_t *
dws_http_connections_add(dws_http_connections_t *connections, int fd)
{
	dws_http_connection_t *connection = g_new0(dws_http_connection_t, 1);
	bool is_full = connections->served + connections->waiting.length >=
			       connections->max &&
		       count_open(connections) >= connections->max;
	bool has_room = !is_full || evict(connections);

	connection->owner = connections;
	connection->fd = fd;
	connection->item.data = connection;
	g_queue_push_tail_link(&connections->waiting, &connection->item);
	dws_socket_set_option(fd, SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES);
	dws_socket_limit_unsent(fd, UNSENT_MAX_BYTES);
	if (!has_room)
		shut_down(connection, DWS_COUNT_CONNECTIONS_REFUSED);
	return connection;
}

void dws_http_connections_remove(dws_http_connection_t *connection)
{
	if (!connection)
		return;
	if (connection->is_served)
		connection->owner->served--;
	else
		g_queue_unlink(&connection->owner->waiting, &connection->item);
	g_free(connection);
}

void dws_http_connection_set_served(dws_http_connection_t *connection,
				    bool is_served)
{
	dws_http_connections_t *connections = connection->owner;

	if (connection->is_served == is_served)
		return;
	connection->is_served = is_served;
	if (is_served) {
		g_queue_unlink(&connections->waiting, &connection->item);
		connections->served++;
	} else {
		connections->served--;
		g_queue_push_tail_link(&connections->waiting,
				       &connection->item);
	}
}

void dws_http_connection_touch(dws_http_connection_t *connection)
{
	GQueue *waiting = &connection->owner->waiting;

	if (connection->is_served)
		return;
	g_queue_unlink(waiting, &connection->item);
	g_queue_push_tail_link(waiting, &connection->item);
}
