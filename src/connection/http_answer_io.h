/*
 * Answers as HTTP responses.
 */
#ifndef DWS_CONNECTION_HTTP_ANSWER_IO_H
#define DWS_CONNECTION_HTTP_ANSWER_IO_H

#include <microhttpd.h>
#include "dogwoodshift.h"

/* Builds a response with its own copy of everything; never NULL. */
struct MHD_Response *dws_http_answer(const dws_answer_t *answer);
/* Builds a response of the daemon itself, with a text of the given type. */
struct MHD_Response *dws_http_text(const char *type, const char *text);
/* The JSON object that a caller gets instead of an answer; g_free() it. */
char *dws_http_refusal_json(const dws_answer_t *answer);

#endif
