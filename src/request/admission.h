/*
 * Admission control for the local upstream: a bounded queue in front of a
 * concurrency limit.
 */
#ifndef DWS_REQUEST_ADMISSION_H
#define DWS_REQUEST_ADMISSION_H

#include "request/limit.h"
#include "request/queue.h"

typedef struct dws_admission {
	dws_limit_t limit;
	dws_queue_t *queue;
	uint32_t queue_capacity;
	GHashTable *running; /* request id to dws_running_t, owned */
	GHashTable *estimates; /* kind to dws_estimate_t, owned */
	double service_us; /* moving average of the service time */
	bool unlimited; /* policy "none": no limit, nothing is refused */
} dws_admission_t;

/* Load report that is sent to peers with each response. */
typedef struct dws_load_report {
	uint8_t threshold; /* lowest priority accepted at present */
	uint32_t running;
	uint32_t queued;
	uint32_t limit;
	uint32_t service_us; /* moving average of service time; 0: unknown */
} dws_load_report_t;

/*
 * Initializes caller-provided memory. policy is the name of a limit policy; an
 * unknown one is treated as "adaptive", since settings are validated earlier.
 */
void dws_admission_init(dws_admission_t *admission, const char *policy,
			uint32_t slots, uint32_t queue_capacity);
void dws_admission_finish(dws_admission_t *admission);

/*
 * Queues a request. Returns false if it is refused: the queue is full and
 * every queued item has precedence, or the deadline has passed. displaced is
 * set to the id of the item that was evicted to make room, else to 0; an
 * evicted item was not executed.
 */
bool dws_admission_enqueue(dws_admission_t *admission, int64_t now_us,
			   const dws_queue_item_t *item, uint64_t *displaced);
/*
 * Dequeues the next request that may start. Call dws_admission_expire() until
 * it returns false, then this function until it returns false.
 */
bool dws_admission_dequeue(dws_admission_t *admission, int64_t now_us,
			   dws_queue_item_t *item);
/*
 * Dequeues a request that can no longer meet its deadline. Call until it
 * returns false.
 */
bool dws_admission_expire(dws_admission_t *admission, int64_t now_us,
			  dws_queue_item_t *item);
/*
 * Ends a running request. own_time_us excludes the time in nested calls; 0 or
 * less means that the request did not complete and its time is not a sample.
 */
void dws_admission_end(dws_admission_t *admission, int64_t now_us, uint64_t id,
		       int64_t own_time_us, bool overloaded);
/* Removes a queued request. Returns false if it is not queued. */
bool dws_admission_cancel(dws_admission_t *admission, uint64_t id);
/* Fills in the load report for peers. */
void dws_admission_get_load(const dws_admission_t *admission,
			    dws_load_report_t *load);
/* Returns when to call dws_admission_expire() next, or DWS_NEVER_US. */
int64_t dws_admission_next_expiry_us(const dws_admission_t *admission);

#endif
