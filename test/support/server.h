/*
 * An HTTP server on the event loop of a test program. Requests may be answered
 * asynchronously; clients that disconnect before the answer are reported.
 */
#ifndef DWS_TEST_SERVER_H
#define DWS_TEST_SERVER_H

#include <ev.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>

typedef struct server server_t;

typedef struct server_request {
	server_t *server;
	struct MHD_Connection *connection;
	char *method;
	char *target; /* path and query, as sent */
	char *path;
	GString *body;
	void *data; /* for use by the handler */
	struct MHD_Response *response;
	unsigned int status;
	bool handler_called;
	bool dropped; /* the connection is closed without an answer */
	bool suspended;
	ev_io disconnect_watcher;
} server_request_t;

typedef struct server_ops {
	/*
	 * Handles a complete request; server_answer() or server_drop() must
	 * follow.
	 */
	void (*request)(void *context, server_request_t *request);
	/*
	 * Reports that the client of an unanswered request disconnected. The
	 * request is freed after this.
	 */
	void (*client_disconnected)(void *context, server_request_t *request);
} server_ops_t;

struct server {
	const server_ops_t *ops;
	void *context;
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	uint16_t port;
	ev_io io;
	ev_timer timer;
	bool run_again; /* MHD_run() is due, even if it runs now */
};

/*
 * Listens on loopback; port 0 picks a free port. Exits the program on failure.
 */
void server_start(server_t *server, struct ev_loop *loop, uint16_t port,
		  const server_ops_t *ops, void *context);
/* Answers with a body and at most one header; a NULL name means none. */
void server_answer(server_request_t *request, unsigned int status,
		   const char *body, const char *name, const char *value);
void server_drop(server_request_t *request);
const char *server_header(server_request_t *request, const char *name);
/* Returns a numeric query parameter; the fallback if it is absent. */
int64_t server_query_number(server_request_t *request, const char *name,
			    int64_t fallback);
const char *server_query_value(server_request_t *request, const char *name);

#endif
