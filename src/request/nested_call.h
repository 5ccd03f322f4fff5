/*
 * Detects routed requests that are nested calls, made by the local upstream.
 * They arrive on the same listener as root requests and name no parent, but
 * they usually have the deadline of the attempt that makes them, and an id that
 * starts with the id of that attempt. A match of the id is decisive. Any other
 * request is classified by the match of its own deadline until 8 requests of
 * its route are counted; from then on, it is classified as a nested call if at
 * least 1 in 8 requests of the route matched, since nested calls may also have
 * a shorter timeout of their own.
 */
#ifndef DWS_REQUEST_NESTED_CALL_H
#define DWS_REQUEST_NESTED_CALL_H

#include "request/attempt.h"

typedef struct dws_call_origin {
	bool is_nested_call; /* a nested call, else a root request */
	uint64_t attempt_id; /* that probably made the call; 0: not known */
} dws_call_origin_t;

/*
 * Determines the origin of a routed request, and updates the statistics of its
 * route. key is its attempt id; deadline_us the deadline that it states.
 */
dws_call_origin_t dws_nested_call_detect(dws_node_t *node, const char *route,
					 const char *key, int64_t deadline_us);

#endif
