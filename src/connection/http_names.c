/*
 * HTTP headers that are not forwarded.
 */
#include "connection/http_names.h"

#include <glib.h>
#include <string.h>

/* Hop-by-hop headers (RFC 9110, section 7.6.1) and the framing of the body. */
static const char *const hop_by_hop_headers[] = {
	"Connection",	     "Keep-Alive", "Proxy-Connection",
	"Transfer-Encoding", "TE",	   "Trailer",
	"Upgrade",	     "Expect",	   "Content-Length",
};

/* Compares header names, ignoring case; false if known is NULL. */
static gboolean names_equal(const char *known, const char *name, size_t length)
{
	return known && strlen(known) == length &&
	       g_ascii_strncasecmp(known, name, length) == 0;
}

/* True for hop-by-hop headers and headers that each hop sets anew. */
bool dws_http_names_is_per_hop(const dws_http_names_t *http_names,
			       const char *name, size_t length)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_headers); i++) {
		if (names_equal(hop_by_hop_headers[i], name, length))
			return true;
	}
	return names_equal(http_names->remaining_ms_header, name, length) ||
	       names_equal(http_names->caller_service_header, name, length) ||
	       names_equal(http_names->target_instance_header, name, length);
}
