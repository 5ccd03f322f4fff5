/*
 * A bounded queue of waiting requests or attempts. Items are dequeued by strict
 * priority; kinds of equal priority are served in proportion to their weight,
 * which is the configured worth of the kind. When the queue is full, an arrival
 * of higher priority evicts an item of the lowest priority. Within a priority,
 * an arrival of a kind that holds less than its weighted share evicts an item
 * of the kind that exceeds its share most. Within a kind the oldest item is
 * dequeued first and the newest is evicted; this is reversed while the oldest
 * has waited for more than a set part of the time it may wait.
 */
#ifndef DWS_REQUEST_QUEUE_H
#define DWS_REQUEST_QUEUE_H

#include "dogwoodshift.h"

typedef struct dws_queue_item {
	uint64_t id; /* unique among queued items */
	uint32_t kind; /* number that identifies the kind of work */
	uint8_t priority; /* higher is more urgent */
	uint32_t weight; /* weight among kinds of equal priority; at least 1 */
	int64_t enqueued_us;
	int64_t deadline_us;
	int64_t latest_start_us; /* expires if not started by then; 0: none */
	int64_t expected_us; /* expected execution time; set by admission */
	/* Start of a nested call's root request; 0: it is a root itself. */
	int64_t root_started_us;
} dws_queue_item_t;

typedef struct dws_queue dws_queue_t;

/* Creates an empty queue for at most capacity items. */
dws_queue_t *dws_queue_new(uint32_t capacity);
/* Frees a queue and its items. NULL is allowed. */
void dws_queue_free(dws_queue_t *queue);

/*
 * Adds an item. Returns false if it is refused. displaced is set to the id of
 * the item that was evicted from a full queue, else to 0.
 */
bool dws_queue_push(dws_queue_t *queue, const dws_queue_item_t *item,
		    uint64_t *displaced);
/* Dequeues the next item to run. Returns false if the queue is empty. */
bool dws_queue_pop(dws_queue_t *queue, dws_queue_item_t *item);
/* Copies the next item to run without dequeuing it. */
bool dws_queue_peek(const dws_queue_t *queue, dws_queue_item_t *item);
/*
 * Dequeues one item whose latest start time (the deadline less the expected
 * execution time, or latest_start_us if earlier) is not after until_us. Returns
 * false if there is none.
 */
bool dws_queue_expire(dws_queue_t *queue, int64_t until_us,
		      dws_queue_item_t *item);
/* Removes an item by id. Returns false if it is not queued. */
bool dws_queue_remove(dws_queue_t *queue, uint64_t id);
uint32_t dws_queue_length(const dws_queue_t *queue);
/* Returns the earliest latest start time of all items, or DWS_NEVER_US. */
int64_t dws_queue_next_expiry_us(const dws_queue_t *queue);
/*
 * Returns the lowest priority for which fewer than max_ahead items of the same
 * or a higher priority are queued, at most UINT8_MAX. With the capacity as
 * max_ahead, this is the lowest priority of which every push is accepted.
 */
uint8_t dws_queue_min_priority(const dws_queue_t *queue, uint32_t max_ahead);

#endif
