/*
 * HTTP listeners for callers, for nested calls of the local upstream, and for
 * operators (admin).
 */
#ifndef DWS_CONNECTION_HTTP_SERVER_IO_H
#define DWS_CONNECTION_HTTP_SERVER_IO_H

#include "connection/http_listener_io.h"
#include "process/counters.h"
#include "process/memory.h"
#include "process/settings.h"

/* Callbacks of the owner. */
typedef struct dws_http_server_ops {
	/*
	 * See dws_node_call(). May call dws_http_server_answer() before
	 * returning.
	 */
	uint64_t (*call)(void *context, const dws_call_t *call);
	/* See dws_node_caller_disconnected(). */
	void (*caller_disconnected)(void *context, uint64_t call_id);
	/* Returns a view as JSON, or NULL; freed with g_free(). */
	char *(*get_view)(void *context, const char *view);
	/* Returns metrics in Prometheus text format; freed with g_free(). */
	char *(*get_metrics)(void *context);
	void (*drain)(void *context);
} dws_http_server_ops_t;

typedef struct dws_http_server {
	const dws_http_server_ops_t *ops;
	void *context;
	struct ev_loop *ev;
	dws_counters_t *counters;
	dws_memory_t *memory;
	size_t body_max_bytes;
	dws_listener_t listeners[DWS_LISTENER_COUNT];
	GHashTable *calls; /* call id to request awaiting its answer */
	GArray *early_answers; /* given before ops->call returned the id */
	bool is_calling; /* ops->call is running */
	bool is_closing; /* answers carry "Connection: close" */
	bool is_stopped; /* requests are rejected instead of forwarded */
} dws_http_server_t;

/* Initializes the server and starts the listeners of the settings. */
bool dws_http_server_init(dws_http_server_t *server,
			  const dws_http_server_ops_t *ops, void *context,
			  struct ev_loop *ev, dws_counters_t *counters,
			  dws_memory_t *memory, const dws_settings_t *settings,
			  GError **error);
/*
 * Stops listening. Requests that still await their answer are answered with
 * the outcome "unknown".
 */
void dws_http_server_finish(dws_http_server_t *server);
/* Answers a call; ignored if its caller has disconnected. */
void dws_http_server_answer(dws_http_server_t *server, uint64_t call_id,
			    const dws_answer_t *answer);
/* Closes each connection after its next answer. */
void dws_http_server_drain(dws_http_server_t *server);
/* Stops accepting connections, except on the admin listener. */
void dws_http_server_quiesce(dws_http_server_t *server);
/* True if no request of callers or of the upstream is in progress. */
bool dws_http_server_is_idle(const dws_http_server_t *server);

#endif
