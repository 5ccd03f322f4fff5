/*
 * Timers of a node, in a binary heap. A timer can't be cancelled: it stays when
 * its object is freed, and the handler of an expired timer looks the object up
 * by id and ignores the timer if it is gone.
 */
#ifndef DWS_PROCESS_TIMERS_H
#define DWS_PROCESS_TIMERS_H

#include "dogwoodshift.h"

typedef enum dws_timer_kind {
	DWS_TIMER_REQUEST_DEADLINE,
	DWS_TIMER_REQUEST_ROUTE, /* end of a delay, backoff or peer wait */
	DWS_TIMER_REQUEST_WAIT_TIMEOUT, /* end of the wait limit, if unsent */
	DWS_TIMER_ATTEMPT_RESEND, /* a response was not acknowledged */
	DWS_TIMER_FENCE_EXPIRY, /* a fence has expired */
	DWS_TIMER_LEDGER_EXPIRY, /* a ledger entry has expired */
} dws_timer_kind_t;

typedef struct dws_timer {
	int64_t due_us;
	dws_timer_kind_t kind;
	uint64_t id; /* of the object; first half of a ledger or fence key */
	uint64_t secondary_id; /* second half of a ledger or fence key */
} dws_timer_t;

typedef struct dws_timers {
	GArray *heap; /* dws_timer_t */
} dws_timers_t;

/* Initializes caller-provided memory with an empty heap. */
void dws_timers_init(dws_timers_t *timers);
void dws_timers_finish(dws_timers_t *timers);
/* Adds a timer; one object may have several. */
void dws_timers_add(dws_timers_t *timers, const dws_timer_t *timer);
/* Removes the earliest timer that is due. Returns false if none is. */
bool dws_timers_pop(dws_timers_t *timers, int64_t now_us, dws_timer_t *timer);
/* Returns the earliest due time, or DWS_NEVER_US. */
int64_t dws_timers_next_us(const dws_timers_t *timers);

#endif
