/*
 * Choice of the endpoint VM for a call: the own zone first, another zone when
 * it has no room or is too slow for the call's objective, the quickest of a few
 * random candidates.
 */
#ifndef DWS_PROCESS_ROUTING_H
#define DWS_PROCESS_ROUTING_H

#include "process/membership.h"
#include "request/admission.h"

typedef struct dws_routing dws_routing_t;

typedef enum dws_route_result {
	DWS_ROUTE_FOUND,
	DWS_ROUTE_BUSY, /* all that are in reach admit only more urgent work */
	DWS_ROUTE_NONE, /* none is in reach */
} dws_route_result_t;

dws_routing_t *dws_routing_new(dws_membership_t *membership, uint64_t seed);
void dws_routing_free(dws_routing_t *routing);

/* What is looked for. */
typedef struct dws_routing_call {
	const char *service;
	uint8_t priority;
	const GPtrArray *excluded; /* VM ids, the last resort; may be NULL */
	int64_t objective_us; /* time for a whole answer; 0: none */
} dws_routing_call_t;

/*
 * Picks a member for a call. Its outstanding count goes up when
 * dws_routing_started() is called.
 */
dws_route_result_t dws_routing_pick(dws_routing_t *routing, int64_t now_us,
				    const dws_routing_call_t *call,
				    const dws_member_t **member);
void dws_routing_started(dws_routing_t *routing, int64_t now_us,
			 const char *vm_id);
/*
 * Ends a call. A load of NULL means that nothing came back: the member is
 * avoided for a while, longer each time in a row.
 */
void dws_routing_ended(dws_routing_t *routing, int64_t now_us,
		       const char *vm_id, const dws_load_t *load);
/*
 * Tells how a call that a member answered went: badly if its upstream shed the
 * call or failed it. Members with a good part of bad calls are avoided while
 * others do better.
 */
void dws_routing_judged(dws_routing_t *routing, int64_t now_us,
			const char *vm_id, bool bad);
/*
 * The time of a call that was sent at a time is over. If nothing at all was
 * heard of the member since, it is avoided like one that lost an answer.
 */
void dws_routing_timed_out(dws_routing_t *routing, int64_t now_us,
			   const char *vm_id, int64_t sent_us);
/* Ends a call that was given up; it says nothing about the member. */
void dws_routing_cancelled(dws_routing_t *routing, const char *vm_id);
/* When a member that is busy now may be tried again; DWS_NEVER_US if none. */
int64_t dws_routing_retry_us(const dws_routing_t *routing, int64_t now_us,
			     const char *service);
/* Time since the load of a member was heard, in us; -1 if never. */
int64_t dws_routing_load_age_us(const dws_routing_t *routing, int64_t now_us,
				const char *vm_id);

#endif
