/*
 * Headers of the requests to the local upstream, as libcurl takes them.
 */
#ifndef DWS_CONNECTION_HTTP_HEADERS_IO_H
#define DWS_CONNECTION_HTTP_HEADERS_IO_H

#include <curl/curl.h>
#include "connection/http_names.h"
#include "dogwoodshift.h"

/*
 * Headers of a routed request: the caller's and the daemon's own; to be freed
 * with curl_slist_free_all().
 */
struct curl_slist *dws_http_headers_routed(const dws_http_names_t *http_names,
					   const dws_dispatch_t *dispatch,
					   int64_t remaining_ms);
/* The same for a request that is not routed. */
struct curl_slist *dws_http_headers_call(const dws_dispatch_t *dispatch,
					 int64_t remaining_ms);

#endif
