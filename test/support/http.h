/*
 * HTTP exchanges of tests and stand-ins, over libcurl.
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
	CURLcode result; /* of libcurl */
	long status; /* 0 if no whole answer came */
	GHashTable *answer_headers; /* lower-case names */
	GString *body;
} http_exchange_t;

/* Prepares a request; headers are "Name: value", the list ends with NULL. */
void http_init(http_exchange_t *exchange, const char *method, const char *url,
	       const char *body, int64_t timeout_ms,
	       const char *const *headers);
void http_finish(http_exchange_t *exchange);
/* Records the end of a transfer. */
void http_ended(http_exchange_t *exchange, CURLcode result);
/* Runs a whole exchange, blocking. */
void http_run(http_exchange_t *exchange);
/* A header of the answer by its lower-case name; "" if absent. */
const char *http_header(const http_exchange_t *exchange, const char *name);

/* The body of an upstream's answer; freed with g_free(). */
char *http_body(const char *target, const char *identity, const char *nested,
		size_t padding_bytes);
/* True if a body is whole and answers this target. */
bool http_body_is_whole(const char *body, const char *target);

#endif
