/*
 * Names of the HTTP headers and paths that the platform defines and that the
 * routed listener and the HTTP client evaluate. The platform adapter provides
 * them; no other code contains these names.
 */
#ifndef DWS_CONNECTION_DIALECT_H
#define DWS_CONNECTION_DIALECT_H

#include <stdbool.h>
#include <stddef.h>

typedef struct dws_dialect {
	/* Request headers. */
	const char *attempt_key; /* the caller's id of this attempt */
	const char *time_left_ms; /* remaining time until the deadline */
	const char *caller_service; /* of the VM where the request started */
	const char *upstream_id; /* upstream process to run the request */
	/* Headers of an upstream's answer. */
	const char *not_run; /* if present, the request was not run */
	/* Request target on the readiness listener. */
	const char *ready_path;
} dws_dialect_t;

/*
 * True for hop-by-hop headers, and for headers that each hop sets anew (length,
 * remaining time, caller and target). These are not forwarded.
 */
bool dws_dialect_is_own_header(const dws_dialect_t *dialect, const char *name,
			       size_t length);

#endif
