/*
 * Routed listener: HTTP/1.1 server for callers and for the local upstream.
 * Pipelined requests of a connection are forwarded as they arrive; answers are
 * written in request order. Requests are parsed with http_parser, because
 * libmicrohttpd reads the next request of a connection only after the previous
 * one has been answered.
 */
#ifndef DWS_CONNECTION_ROUTED_SERVER_IO_H
#define DWS_CONNECTION_ROUTED_SERVER_IO_H

#include <ev.h>
#include "connection/http_names.h"
#include "process/counters.h"
#include "process/descriptors_io.h"
#include "process/memory.h"
#include "process/settings.h"
#include "version/config.h"

/* Callbacks of the owner. */
typedef struct dws_routed_server_ops {
	/*
	 * See dws_node_call(). May call dws_routed_server_answer() before
	 * returning.
	 */
	uint64_t (*call)(void *context, const dws_call_t *call);
	/* See dws_node_caller_disconnected(). */
	void (*caller_disconnected)(void *context, uint64_t call_id);
	/* True if the daemon is ready for requests. */
	bool (*is_ready)(void *context);
	/* Stores the limits of the active configuration, or the defaults. */
	void (*get_limits)(void *context, dws_caller_limits_t *limits);
	/*
	 * Closes a connection of a client, of any listener, so that another one
	 * can have its descriptor; see dws_routed_server_evict(). False if there
	 * is none to be closed.
	 */
	bool (*free_descriptor)(void *context);
} dws_routed_server_ops_t;

struct dws_routed_request;

typedef struct dws_routed_server {
	const dws_routed_server_ops_t *ops;
	void *context;
	struct ev_loop *ev;
	dws_counters_t *counters;
	dws_memory_t *memory;
	const dws_http_names_t *http_names;
	bool readiness_only; /* serves only the readiness path */
	char service[DWS_ID_SIZE]; /* of the local upstream */
	uint32_t connections_max;
	dws_descriptors_t descriptors;
	dws_address_t address; /* with the port actually bound */
	int listen_fd; /* -1 if closed */
	ev_io accept_watcher;
	ev_timer accept_pause; /* runs after accept() lacked resources */
	GHashTable *connections; /* set of connections, owned */
	GPtrArray *closed; /* connections to be freed */
	ev_timer reap; /* by ev_feed_event(); frees closed connections */
	GHashTable *calls; /* call id to request awaiting its answer */
	struct dws_routed_request *current_request; /* while ops->call runs */
	uint8_t *scratch; /* receive buffer */
	bool is_draining; /* a connection's last pending answer closes it */
	bool is_quiescing; /* new requests are rejected */
} dws_routed_server_t;

/* Starts listening; server->address gets the port actually bound. */
bool dws_routed_server_init(dws_routed_server_t *server,
			    const dws_routed_server_ops_t *ops, void *context,
			    struct ev_loop *ev, dws_counters_t *counters,
			    dws_memory_t *memory,
			    const dws_http_names_t *http_names,
			    const dws_settings_t *settings,
			    const dws_address_t *listen, GError **error);
/* Closes all connections, including those with unanswered requests. */
void dws_routed_server_finish(dws_routed_server_t *server);
/* Answers a call; false if no call with that id awaits an answer. */
bool dws_routed_server_answer(dws_routed_server_t *server, uint64_t call_id,
			      const dws_answer_t *answer);
/*
 * Closes each connection with the answer to its last received request. Idle
 * connections stay open; see dws_routed_server_quiesce().
 */
void dws_routed_server_drain(dws_routed_server_t *server);
/* Closes idle connections and rejects new requests with status 503. */
void dws_routed_server_quiesce(dws_routed_server_t *server);
/*
 * Accepts the connections in the accept queue, which closing the listener would
 * reset; true if there were any.
 */
bool dws_routed_server_accept_pending(dws_routed_server_t *server);
/*
 * Closes the connection that has waited longest for its client: an idle one, or
 * else one with part of a request, or else one with an unread answer. False if
 * all wait for this daemon.
 */
bool dws_routed_server_evict(dws_routed_server_t *server);
/* Returns the number of open connections; 0 if the server doesn't listen. */
uint32_t dws_routed_server_open_count(const dws_routed_server_t *server);
/*
 * Closes connections that hold much and have waited long for their clients,
 * the longest wait first, while memory is scarce.
 */
void dws_routed_server_free_memory(dws_routed_server_t *server);
/* True if no request is being received, served or answered. */
bool dws_routed_server_is_idle(const dws_routed_server_t *server);

#endif
