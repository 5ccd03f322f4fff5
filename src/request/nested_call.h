/*
 * Detects routed requests that are calls of the local upstream. They arrive on
 * the same listener as those of callers and name no parent, but they usually
 * have the deadline of the attempt that makes them, and an id of which its id
 * is the prefix. A match of the id is decisive. Other requests are judged by
 * the match of their own deadline until 8 requests of their route are known;
 * from then on, all of them are taken for calls if at least 1 in 8 requests of
 * the route matched, as calls may also have a shorter timeout of their own.
 */
#ifndef DWS_REQUEST_NESTED_CALL_H
#define DWS_REQUEST_NESTED_CALL_H

#include "request/attempt.h"

typedef struct dws_call_origin {
	bool is_call;
	uint64_t attempt_id; /* that probably made the call; 0: not known */
} dws_call_origin_t;

/* Determines the origin of a request, and updates its route's statistics. */
dws_call_origin_t dws_nested_call_detect(dws_node_t *node, const char *route,
					 const char *key, int64_t deadline_us);

#endif
