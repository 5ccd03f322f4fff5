/*
 * Drives the transfers of a libcurl multi handle from the event loop, and
 * watches its idle connections: what a peer sends on one belongs to no request,
 * and libcurl 7.88 would take it for the answer to the next one. Such a
 * connection is shut down, so that libcurl closes it and opens another one.
 */
#ifndef DWS_CONNECTION_CURL_LOOP_IO_H
#define DWS_CONNECTION_CURL_LOOP_IO_H

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Callbacks of the owner. */
typedef struct dws_curl_loop_ops {
	/* Transfers may have completed. */
	void (*advanced)(void *context);
	/*
	 * A peer, "IP:PORT", sent bytes on an idle connection, which was shut
	 * down.
	 */
	void (*surplus)(void *context, const char *peer);
} dws_curl_loop_ops_t;

typedef struct dws_curl_loop {
	const dws_curl_loop_ops_t *ops;
	void *context;
	struct ev_loop *ev;
	CURLM *multi; /* owned by the caller */
	ev_timer timer; /* next timeout of libcurl */
	GHashTable *sockets; /* descriptor to its watch, owned */
	GHashTable *connections; /* key of a connection to its watch */
} dws_curl_loop_t;

/* Starts to drive a multi handle that has no transfers yet. */
void dws_curl_loop_init(dws_curl_loop_t *loop, const dws_curl_loop_ops_t *ops,
			void *context, struct ev_loop *ev, CURLM *multi);
/* Frees the watches; to be called after curl_multi_cleanup(). */
void dws_curl_loop_finish(dws_curl_loop_t *loop);
/* Sets the options of a transfer that this needs. */
void dws_curl_loop_prepare(dws_curl_loop_t *loop, CURL *easy);
/*
 * Records that the connection of a new socket is established, under a key that
 * no other open connection has. libcurl closes other sockets without a report,
 * so they are never watched as idle ones.
 */
void dws_curl_loop_established(dws_curl_loop_t *loop, curl_socket_t fd,
			       uint32_t key);
/*
 * True if a connection that was idle can be used: it is shut down if it has
 * bytes to read, or has ended, which its watch hasn't noticed yet.
 */
bool dws_curl_loop_is_usable(dws_curl_loop_t *loop, uint32_t key);

#endif
