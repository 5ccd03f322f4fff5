/*
 * HTTP client for requests to the local upstream and to the platform.
 */
#ifndef DWS_CONNECTION_HTTP_CLIENT_IO_H
#define DWS_CONNECTION_HTTP_CLIENT_IO_H

#include <curl/curl.h>
#include <ev.h>
#include "connection/curl_loop_io.h"
#include "connection/http_answer_io.h"
#include "process/settings.h"

/* Callbacks of the owner, never invoked from within a function of this API. */
typedef struct dws_http_client_ops {
	/* A dispatch has ended; outcome is valid during the call only. */
	void (*dispatch_finished)(void *context, uint64_t attempt_id,
				  const dws_dispatch_outcome_t *outcome);
	/*
	 * A read from the platform has ended; see
	 * dws_node_platform_read_finished().
	 */
	void (*platform_read_finished)(void *context, dws_platform_item_t item,
				       bool ok, const char *text,
				       size_t size_bytes);
	/*
	 * The upstream or the platform at "IP:PORT" sent bytes on an idle
	 * connection, which belong to no request; the connection was closed.
	 */
	void (*surplus_closed)(void *context, const char *peer);
} dws_http_client_ops_t;

/* Status of a GET whose answer was larger than the client accepts. */
#define DWS_HTTP_ANSWER_TOO_LARGE (-1)

/* The answer to a GET of the platform. */
typedef struct dws_http_get_answer {
	CURL *easy; /* its transfer */
	long status; /* 0: no complete answer was received */
	const char *text; /* NUL-terminated */
	size_t size_bytes;
} dws_http_get_answer_t;

/* Completes a GET of the platform. The answer is valid during the call only. */
typedef void (*dws_http_get_done_t)(void *context, uint32_t tag,
				    const dws_http_get_answer_t *answer);

typedef struct dws_http_client {
	const dws_http_client_ops_t *ops;
	void *context;
	struct ev_loop *ev;
	dws_address_t upstream;
	dws_address_t platform;
	/* Used for routed requests; NULL if none are to be sent. */
	const dws_http_names_t *http_names;
	size_t answer_max_bytes; /* body of an upstream's answer, at most */
	dws_memory_t *memory;
	CURLM *multi;
	dws_curl_loop_t curl_loop;
	ev_timer unsent_timer; /* reports the unsent dispatches */
	GHashTable *dispatches; /* attempt id to transfer */
	GPtrArray *unsent; /* attempt ids of dispatches that were not sent */
	GPtrArray *transfers; /* all in progress */
} dws_http_client_t;

/* Initializes a client; addresses and size limits come from the settings. */
bool dws_http_client_init(dws_http_client_t *client,
			  const dws_http_client_ops_t *ops, void *context,
			  struct ev_loop *ev, dws_memory_t *memory,
			  const dws_settings_t *settings,
			  const dws_http_names_t *http_names, GError **error);
/* Aborts all transfers without reporting them. */
void dws_http_client_finish(dws_http_client_t *client);
/*
 * Sends a request to the upstream; ops->dispatch_finished is called later,
 * unless the dispatch is cancelled.
 */
void dws_http_client_dispatch(dws_http_client_t *client, int64_t now_us,
			      const dws_dispatch_t *dispatch);
/* Aborts a dispatch; ops->dispatch_finished is not called for it. */
void dws_http_client_cancel(dws_http_client_t *client, uint64_t attempt_id);
/*
 * Reads from the platform what is newer than the revision after, waiting up to
 * wait_ms for it; ops->platform_read_finished is called later.
 */
void dws_http_client_read_platform(dws_http_client_t *client,
				   dws_platform_item_t item, uint64_t after,
				   int64_t wait_ms);
/*
 * Sends a GET for a target to the platform; done is called with the tag, unless
 * the client is finished before.
 */
void dws_http_client_get_platform(dws_http_client_t *client, const char *target,
				  int64_t timeout_ms, dws_http_get_done_t done,
				  void *context, uint32_t tag);
/*
 * The value of a header of an answer, valid as long as the answer; NULL if it
 * isn't there, or more than once.
 */
const char *dws_http_get_answer_header(const dws_http_get_answer_t *answer,
				       const char *name);

#endif
