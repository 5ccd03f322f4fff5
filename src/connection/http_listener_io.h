/*
 * A listening address with its libmicrohttpd daemon, whose epoll descriptor is
 * watched by the event loop.
 */
#ifndef DWS_CONNECTION_HTTP_LISTENER_IO_H
#define DWS_CONNECTION_HTTP_LISTENER_IO_H

#include <ev.h>
#include <microhttpd.h>
#include "connection/http_connections_io.h"
#include "process/counters.h"
#include "process/settings.h"

typedef enum dws_listener_role {
	DWS_LISTENER_CALLERS,
	DWS_LISTENER_UPSTREAM,
	DWS_LISTENER_ADMIN,
	DWS_LISTENER_COUNT
} dws_listener_role_t;

struct dws_http_server;

typedef struct dws_listener {
	struct dws_http_server *server; /* the owner, for the callbacks */
	struct ev_loop *ev;
	dws_counters_t *counters;
	dws_listener_role_t role;
	dws_address_t address; /* with the port actually bound */
	struct MHD_Daemon *daemon; /* NULL if not listening */
	ev_io readable; /* epoll descriptor of libmicrohttpd */
	/* Next timeout of libmicrohttpd; ev_feed_event() runs it at once. */
	ev_timer timer;
	dws_http_connections_t connections;
	bool is_run_pending; /* MHD_run() has to be called (again) */
	uint32_t active; /* requests being received, served or answered */
} dws_listener_t;

/* Callbacks of libmicrohttpd for requests; their context is the listener. */
typedef struct dws_listener_callbacks {
	MHD_AccessHandlerCallback on_request;
	/* MHD_OPTION_URI_LOG_CALLBACK. */
	void *(*on_target)(void *context, const char *target,
			   struct MHD_Connection *connection);
	MHD_RequestCompletedCallback on_completed;
} dws_listener_callbacks_t;

/* Initializes a listener of a server that is itself initialized. */
void dws_listener_init(dws_listener_t *listener, struct dws_http_server *server,
		       dws_listener_role_t role, struct ev_loop *ev,
		       dws_counters_t *counters);
/*
 * Listens, unless the address is empty. Port 0 is replaced by the port actually
 * bound.
 */
bool dws_listener_start(dws_listener_t *listener,
			const dws_listener_callbacks_t *callbacks,
			const dws_address_t *address,
			unsigned int connections_max, GError **error);
/* Schedules a run of libmicrohttpd after the current callback. */
void dws_listener_schedule_run(dws_listener_t *listener);
/* Accepts what is in the backlog and closes the socket that listens. */
void dws_listener_quiesce(dws_listener_t *listener);
/*
 * Runs libmicrohttpd until no request is active, at most a fixed number of
 * times, and closes all connections. Does nothing if it was not started.
 */
void dws_listener_stop(dws_listener_t *listener);

#endif
