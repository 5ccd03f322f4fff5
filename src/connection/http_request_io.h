/*
 * Parses and validates the request line and headers of HTTP requests.
 */
#ifndef DWS_CONNECTION_HTTP_REQUEST_IO_H
#define DWS_CONNECTION_HTTP_REQUEST_IO_H

#include <microhttpd.h>
#include "dogwoodshift.h"

#define DWS_TRACEPARENT_SIZE 56

/* A call, with storage for the texts that the connection does not own. */
typedef struct dws_http_request {
	dws_call_t call;
	char traceparent[DWS_TRACEPARENT_SIZE];
} dws_http_request_t;

/*
 * Fills in a call from method, target and headers. Returns NULL, or a message
 * for the caller that names the error and its remedy.
 */
const char *dws_http_request_parse(dws_http_request_t *request,
				   struct MHD_Connection *connection,
				   const char *method, const char *target,
				   bool is_nested);
/* True for a valid W3C traceparent; copies the fields of version 00. */
bool dws_traceparent_copy(const char *text, char copy[DWS_TRACEPARENT_SIZE]);

#endif
