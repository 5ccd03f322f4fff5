/*
 * HTTP client exchanges for tests and test doubles, using libcurl.
 */
#ifndef DWS_TEST_HTTP_H
#define DWS_TEST_HTTP_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct http_exchange {
	CURL *easy;
	struct curl_slist *headers;
	CURLcode result; /* of the transfer */
	long status; /* 0 unless a complete answer was received */
	GHashTable *answer_headers; /* lower-case names */
	GString *body;
} http_exchange_t;

/* Initializes a request; headers is a NULL-terminated list of "Name: value". */
void http_init(http_exchange_t *exchange, const char *method, const char *url,
	       const char *body, int64_t timeout_ms,
	       const char *const *headers);
void http_free(http_exchange_t *exchange);
/* Records the result of a finished transfer. */
void http_set_result(http_exchange_t *exchange, CURLcode result);
/* Runs an exchange to its end, blocking. */
void http_run(http_exchange_t *exchange);
/* Returns an answer header by its lower-case name; "" if it is absent. */
const char *http_header(const http_exchange_t *exchange, const char *name);

/* Builds the body of an upstream's answer; freed with g_free(). */
char *http_body(const char *target, const char *identity, const char *nested,
		size_t padding_bytes);
/* True if a body has a valid checksum and is the answer to this target. */
bool http_body_is_valid(const char *body, const char *target);

#endif
