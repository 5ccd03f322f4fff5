/*
 * The answer of an HTTP transfer of libcurl: collects its headers and body
 * within limits, and decides whether it can be passed on.
 *
 * A faulty upstream may send bytes without end. The head of an answer and the
 * framing of its body are therefore limited, and its body is in the memory
 * account.
 */
#ifndef DWS_CONNECTION_HTTP_ANSWER_IO_H
#define DWS_CONNECTION_HTTP_ANSWER_IO_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include "connection/http_head.h"
#include "connection/http_names.h"
#include "dogwoodshift.h"
#include "process/memory.h"

typedef struct dws_http_answer {
	/* Set for an answer to a routed request, else NULL. */
	const dws_http_names_t *http_names;
	CURL *easy; /* its transfer; NULL until dws_http_answer_attach() */
	dws_memory_t *memory;
	size_t body_max_bytes;
	char *attempt_key; /* that a routed answer must not contradict, or "" */
	GByteArray *body; /* in the account; NULL once it has been taken */
	GString *headers; /* of a routed answer, to be forwarded; else NULL */
	size_t head_bytes; /* of all heads and trailers received so far */
	size_t trailer_bytes; /* of the trailer alone */
	/* Received of a chunked body, with its framing and its trailer. */
	uint64_t chunked_bytes;
	bool has_precedence; /* not refused while the account is full */
	bool is_head_request; /* the answer has no body */
	/* Another request was answered on the connection before. */
	bool is_on_kept_connection;
	dws_http_head_t head;
	bool has_not_run_header;
	bool has_attempt_key; /* the head names the request */
	bool has_signature;
	dws_loss_t abort_cause; /* why the transfer was aborted, or NONE */
} dws_http_answer_t;

/* Initializes an answer; names and key only for a routed request, else NULL. */
void dws_http_answer_init(dws_http_answer_t *answer, size_t body_max_bytes,
			  dws_memory_t *memory,
			  const dws_http_names_t *http_names,
			  const char *attempt_key);
/* Frees the answer, with its body unless that has been taken. */
void dws_http_answer_finish(dws_http_answer_t *answer);
/* Returns the body, to be unreferenced; the answer is left without one. */
GBytes *dws_http_answer_take_body(dws_http_answer_t *answer);
/* Has a transfer deliver its headers and its body to the answer. */
void dws_http_answer_attach(dws_http_answer_t *answer, CURL *easy);
/*
 * True if the head of a completed answer is whole and its body was delimited by
 * Content-Length or by chunked encoding, so that truncation is detected.
 */
bool dws_http_answer_is_delimited(const dws_http_answer_t *answer, long status);
/*
 * Returns why an answer is lost, given the result of its transfer, or
 * DWS_LOSS_NONE if it can be passed on. Its request was sent send_count times.
 * A routed failure may be delimited by the end of its connection, which can't
 * tell a whole success from one that was cut off. To the caller of a routed
 * request, 408, 429 and 503 mean that the request did not run; such an answer is
 * passed on only if the upstream confirms this by its not-run header. A success
 * of a route counts only with the id of the attempt, if that has one, and with
 * the signature of the upstream. On a connection that was kept a failure counts
 * only with the id, but for refusals.
 */
dws_loss_t dws_http_answer_loss(const dws_http_answer_t *answer, CURLcode code,
				uint32_t send_count);

#endif
