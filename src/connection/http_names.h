/*
 * Names of the HTTP headers and paths that the platform defines and that the
 * routed listener and the HTTP client evaluate. The platform adapter provides
 * them; no other code contains these names.
 */
#ifndef DWS_CONNECTION_HTTP_NAMES_H
#define DWS_CONNECTION_HTTP_NAMES_H

#include <stdbool.h>
#include <stddef.h>

typedef struct dws_http_names {
	/* Request headers. */
	const char *attempt_key_header; /* the caller's id of this attempt */
	const char *remaining_ms_header; /* remaining time until the deadline */
	/* Service of the VM where the request originated. */
	const char *caller_service_header;
	/* Upstream process that is to run the request. */
	const char *target_instance_header;
	/* Headers of an upstream's answer. */
	const char *not_run_header; /* if present, the request was not run */
	/* In each success, next to the id of the attempt. */
	const char *signature_header;
	/* Request target on the readiness listener. */
	const char *ready_path;
} dws_http_names_t;

/*
 * True for hop-by-hop headers, and for headers that each hop sets anew (length,
 * remaining time, caller and target). These are not forwarded.
 */
bool dws_http_names_is_per_hop(const dws_http_names_t *http_names,
			       const char *name, size_t length);

#endif
