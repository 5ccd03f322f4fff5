/*
 * Connections and requests of the routed listener. Private to the files
 * routed_*_io.c.
 */
#ifndef DWS_CONNECTION_ROUTED_SERVER_INTERNAL_IO_H
#define DWS_CONNECTION_ROUTED_SERVER_INTERNAL_IO_H

#include <http_parser.h>
#include "connection/output_io.h"
#include "connection/receive_window_io.h"
#include "connection/routed_server_io.h"

#define DWS_HTTP_STATUS_REQUEST_TIMEOUT 408
#define DWS_HTTP_STATUS_UNAVAILABLE 503
/* What a request holds beside its head and its bodies, estimated. */
#define DWS_ROUTED_REQUEST_BYTES 1024
/* Size of server->scratch. */
#define DWS_ROUTED_SCRATCH_BYTES (64 * 1024)

typedef struct dws_routed_request dws_routed_request_t;

/* What a connection waits for, in the order in which they are given up. */
typedef enum dws_routed_wait {
	DWS_ROUTED_WAIT_CLOSE, /* the client, to close it */
	DWS_ROUTED_WAIT_REQUEST, /* the client, to send a request */
	DWS_ROUTED_WAIT_REST, /* the client, to send the rest of a request */
	DWS_ROUTED_WAIT_READ, /* the client, to read an answer */
	DWS_ROUTED_WAIT_ANSWER, /* this daemon; it is not given up */
} dws_routed_wait_t;

typedef struct dws_routed_connection {
	dws_routed_server_t *server;
	int fd;
	ev_io readable;
	ev_io writable;
	ev_timer timeout;
	ev_tstamp waits_since; /* for the client */
	ev_timer unread; /* ends a connection whose client reads nothing */
	http_parser parser;
	bool is_parsing; /* answers are flushed once the parser has returned */
	bool in_value; /* the text at the end of lines is a header value */
	bool is_input_closed; /* further input is discarded */
	bool is_final_queued; /* out ends with the closing answer */
	bool is_write_shut; /* all is sent; waits for the peer to close */
	bool is_closed; /* will be freed by the reap timer */
	GString *lines; /* header names and values, each NUL-terminated */
	dws_routed_request_t *reading; /* being received; NULL if none */
	GQueue requests; /* fully received, in order of arrival */
	/* Sum of what its requests hold, with the bodies of their answers. */
	size_t held_bytes;
	dws_output_t out;
	dws_receive_window_t window;
	ev_tstamp linger_until; /* if is_write_shut */
} dws_routed_connection_t;

struct dws_routed_request {
	dws_routed_connection_t *connection;
	bool has_head; /* the header section has been parsed */
	bool keeps_alive; /* the connection stays open after the answer */
	bool is_head_only; /* method HEAD: the answer has no body */
	bool is_waiting; /* in server->calls, under call_id */
	bool is_done; /* its answer is set */
	uint64_t call_id;
	uint16_t status; /* of the first error, then of the answer; 0: none */
	const char *error_detail; /* first error and its remedy */
	const char *method;
	GString *target; /* like host and headers: NULL once forwarded */
	size_t head_bytes;
	size_t held_bytes; /* in the account, without the bodies */
	size_t answer_body_bytes; /* counted in connection->held_bytes */
	char *host;
	char *headers; /* to be forwarded */
	char attempt_key[DWS_ATTEMPT_KEY_SIZE]; /* "" if absent or too long */
	int64_t timeout_us;
	ev_tstamp receive_until; /* its deadline; set if has_head */
	bool is_refused; /* at once, before it has been received */
	GByteArray *body; /* in the account; NULL once it is complete */
	size_t discarded_bytes; /* of the body, after an error */
	bool is_rejected_now; /* for its error, before it has been received */
	GString *answer; /* status line and headers, no final empty line */
	GBytes *answer_body; /* NULL: none */
};

/* Implemented in routed_request_io.c. */

/* Initializes the parser of a connection. */
void dws_routed_connection_init_parser(dws_routed_connection_t *connection);
/* Parses received bytes; false if no more input is to be parsed. */
bool dws_routed_connection_parse(dws_routed_connection_t *connection,
				 const uint8_t *data, size_t size_bytes);
/* Rejects the request being received and discards any further input. */
void dws_routed_connection_reject_partial(dws_routed_connection_t *connection,
					  uint16_t status, dws_reason_t reason,
					  const char *detail);
/* Frees a request that has left connection->requests and server->calls. */
void dws_routed_request_free(dws_routed_request_t *request);
/* Sets what a request holds in the account, without its bodies. */
void dws_routed_request_set_held(dws_routed_request_t *request,
				 size_t held_bytes);
/* Adds the body of the answer to what the connection holds. */
void dws_routed_request_count_body(dws_routed_request_t *request);
/*
 * Returns what is held for a connection, without the bodies of unanswered
 * requests.
 */
size_t
dws_routed_connection_held_bytes(const dws_routed_connection_t *connection);

/* The same with the body of the request that is being received. */
size_t
dws_routed_connection_all_bytes(const dws_routed_connection_t *connection);

/* Implemented in routed_answer_io.c. */

/* Stores an answer until it can be written. */
void dws_routed_request_set_answer(dws_routed_request_t *request,
				   const dws_answer_t *answer);
/* Appends the stored answer to out; closes adds "Connection: close". */
void dws_routed_request_write_answer(dws_output_t *out,
				     const dws_routed_request_t *request,
				     bool closes);

/* Implemented in routed_connection_io.c. */

/* Registers an accepted connection. */
void dws_routed_connection_add(dws_routed_server_t *server, int fd);
/* Frees a connection; destructor of server->connections. */
void dws_routed_connection_free(gpointer connection);
/*
 * Schedules a connection and its requests to be freed by the reap timer. Not
 * freed at once, as this may run within a call of the owner, and freeing invokes
 * ops->caller_disconnected.
 */
void dws_routed_connection_close(dws_routed_connection_t *connection);
/* Shuts down the write side and waits for the peer to close. */
void dws_routed_connection_shutdown_write(dws_routed_connection_t *connection);
/* True if a request is being received, served or answered. */
bool dws_routed_connection_is_busy(const dws_routed_connection_t *connection);
/* Returns what a connection waits for. */
dws_routed_wait_t
dws_routed_connection_wait(const dws_routed_connection_t *connection);
/* Records that a connection begins to wait for its client. */
void dws_routed_connection_begin_wait(dws_routed_connection_t *connection);
/* Sets the answer of a request; it is written in request order. */
void dws_routed_request_answer(dws_routed_request_t *request,
			       const dws_answer_t *answer);
/* Starts or stops reading, depending on what is queued. */
void dws_routed_connection_update_reading(dws_routed_connection_t *connection);

/* Implemented in routed_server_io.c. */

/* Passes a call to ops->call; the answer may be set before this returns. */
void dws_routed_server_forward(dws_routed_request_t *request,
			       const dws_call_t *call);

#endif
