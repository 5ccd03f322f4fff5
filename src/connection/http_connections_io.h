/*
 * The connections of a libmicrohttpd listener. libmicrohttpd stops accepting at
 * its limit, and has no timeout for a client that sends or reads little at a time;
 * so this keeps count, and has it close the connection that has waited longest
 * for its client.
 */
#ifndef DWS_CONNECTION_HTTP_CONNECTIONS_IO_H
#define DWS_CONNECTION_HTTP_CONNECTIONS_IO_H

#include "process/counters.h"

typedef struct dws_http_connections {
	dws_counters_t *counters;
	uint32_t max;
	/* dws_http_connection_t, owned; the longest wait for a client first */
	GQueue waiting;
	uint32_t served; /* connections whose request is being served */
} dws_http_connections_t;

typedef struct dws_http_connection {
	dws_http_connections_t *owner;
	int fd; /* of libmicrohttpd */
	GList item; /* in owner->waiting unless is_served */
	bool is_served;
	bool is_closing;
} dws_http_connection_t;

/* The limit to be given to libmicrohttpd, so that it accepts one too many. */
uint32_t
dws_http_connections_accept_max(const dws_http_connections_t *connections);
void dws_http_connections_init(dws_http_connections_t *connections,
			       dws_counters_t *counters, uint32_t max);
/*
 * Registers a connection that libmicrohttpd has accepted; one has to be removed
 * before libmicrohttpd closes its socket. Above the limit, another one is shut
 * down, or this one if the requests of all others are being served.
 */
dws_http_connection_t *
dws_http_connections_add(dws_http_connections_t *connections, int fd);
/* Removes and frees a connection; NULL is ignored. */
void dws_http_connections_remove(dws_http_connection_t *connection);
/* Records that a request has ended and the connection waits for the next one. */
void dws_http_connection_touch(dws_http_connection_t *connection);
/* Records that the daemon serves the request of a connection, or has answered. */
void dws_http_connection_set_served(dws_http_connection_t *connection,
				    bool is_served);

#endif
