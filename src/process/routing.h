/*
 * Selection of the endpoint VM for a call: the local zone first, another zone
 * when the local one has no capacity or is too slow for the call's objective;
 * among equals, the fastest of a few random candidates.
 */
#ifndef DWS_PROCESS_ROUTING_H
#define DWS_PROCESS_ROUTING_H

#include "process/membership.h"
#include "request/admission.h"

typedef struct dws_routing dws_routing_t;

typedef enum dws_routing_result {
	DWS_ROUTING_FOUND,
	DWS_ROUTING_BUSY, /* reachable members accept only higher priorities */
	DWS_ROUTING_NONE, /* no reachable member serves the service */
} dws_routing_result_t;

/*
 * Creates the routing state over a membership, which must outlive it. Free with
 * dws_routing_free().
 */
dws_routing_t *dws_routing_new(dws_membership_t *membership, uint64_t seed);
/* NULL is allowed. */
void dws_routing_free(dws_routing_t *routing);

/* A call to select an endpoint for. */
typedef struct dws_routing_call {
	const char *service;
	uint8_t priority;
	const GPtrArray *excluded; /* VM ids to avoid if possible, or NULL */
	int64_t objective_us; /* response time objective; 0: none */
} dws_routing_call_t;

/*
 * Selects a member for a call. The call must then be reported with
 * dws_routing_report_sent() when it is sent.
 */
dws_routing_result_t dws_routing_pick(dws_routing_t *routing, int64_t now_us,
				      const dws_routing_call_t *call,
				      const dws_member_t **member);
/* Counts a call that was sent to a member as outstanding. */
void dws_routing_report_sent(dws_routing_t *routing, int64_t now_us,
			     const char *vm_id);
/*
 * Ends an outstanding call. load is the load report of the response; NULL means
 * that there was none: the member is then avoided, with exponential backoff.
 */
void dws_routing_report_response(dws_routing_t *routing, int64_t now_us,
				 const char *vm_id,
				 const dws_load_report_t *load);
/*
 * Records the result of a call that a member answered; bad if its upstream shed
 * or failed it. Members with a high share of bad calls are avoided while other
 * members have a much lower one.
 */
void dws_routing_report_result(dws_routing_t *routing, int64_t now_us,
			       const char *vm_id, bool bad);
/*
 * Records that a call sent at sent_us has timed out. If there was no response
 * from the member since, this counts as a lost response.
 */
void dws_routing_report_timeout(dws_routing_t *routing, int64_t now_us,
				const char *vm_id, int64_t sent_us);
/* Ends an outstanding call that was cancelled; not a failure of the member. */
void dws_routing_report_cancel(dws_routing_t *routing, const char *vm_id);
/*
 * Returns when a member of the service that is busy now may be tried again, or
 * DWS_NEVER_US if none is busy.
 */
int64_t dws_routing_retry_at_us(const dws_routing_t *routing, int64_t now_us,
				const char *service);
/* Returns the age of a member's latest load report in us; -1 if none. */
int64_t dws_routing_load_age_us(const dws_routing_t *routing, int64_t now_us,
				const char *vm_id);

#endif
