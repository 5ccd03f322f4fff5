/*
 * What the headers of an HTTP request say, checked.
 */
#ifndef DWS_CONNECTION_HTTP_REQUEST_IO_H
#define DWS_CONNECTION_HTTP_REQUEST_IO_H

#include <microhttpd.h>
#include "dogwoodshift.h"

#define DWS_TRACEPARENT_SIZE 56

/* A request's call and the memory that it needs beyond the connection's. */
typedef struct dws_http_request {
	dws_call_t call;
	char traceparent[DWS_TRACEPARENT_SIZE];
} dws_http_request_t;

/*
 * Fills in a call from method, target and headers. Returns NULL, or what is
 * wrong and how to mend it, for the caller to read.
 */
const char *dws_http_request_read(dws_http_request_t *request,
				  struct MHD_Connection *connection,
				  const char *method, const char *target,
				  bool is_nested);
/* Tells whether a text is a valid W3C traceparent; copies what counts. */
bool dws_traceparent_read(const char *text, char copy[DWS_TRACEPARENT_SIZE]);

#endif
