/*
 * Admission control. Requests wait in the queue until the number of running
 * requests is below the limit; they are dropped unexecuted once the time to
 * their deadline is shorter than their expected execution time. That time,
 * nested calls included, is estimated for each kind from the mean and the mean
 * deviation of earlier requests (Jacobson, "Congestion Avoidance and Control",
 * SIGCOMM 1988).
 */
#include <string.h>
#include "request/admission.h"

#define MEAN_GAIN 0.125
#define DEVIATION_GAIN 0.25
#define SERVICE_GAIN 0.05
#define DEVIATIONS_ALLOWED 4.0

/*
 * Share of the time to its deadline that a request may always spend in the
 * queue, however long its expected execution time is.
 */
#define MIN_WAIT_SHARE 0.5

/*
 * The load report accepts requests of every priority while fewer than this
 * multiple of the limit are queued.
 */
#define QUEUED_PER_LIMIT 2

/* Maximum number of kinds with an estimate; all are dropped when reached. */
#define MAX_ESTIMATES 1024

/* Execution time of one kind, from start to end, nested calls included. */
typedef struct dws_estimate {
	double mean_us;
	double deviation_us;
} dws_estimate_t;

typedef struct dws_running {
	uint64_t id;
	int64_t started_us;
	uint32_t kind;
	uint32_t running; /* running requests at its start, itself included */
} dws_running_t;

/*
 * Initializes caller-provided memory. policy is the name of a limit policy; an
 * unknown one is treated as "adaptive", since settings are validated earlier.
 */
void dws_admission_init(dws_admission_t *admission, const char *policy,
			uint32_t slots, uint32_t queue_capacity)
{
	memset(admission, 0, sizeof(*admission));
	if (!dws_limit_init(&admission->limit, policy, slots))
		dws_limit_init(&admission->limit, "adaptive", slots);
	admission->unlimited = strcmp(policy, "none") == 0;
	admission->queue_capacity =
		admission->unlimited ? UINT32_MAX : queue_capacity;
	admission->queue = dws_queue_new(admission->queue_capacity);
	admission->running = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	admission->estimates = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void dws_admission_finish(dws_admission_t *admission)
{
	dws_queue_free(admission->queue);
	g_hash_table_destroy(admission->running);
	g_hash_table_destroy(admission->estimates);
	memset(admission, 0, sizeof(*admission));
}

/* Returns the time to reserve for executing an item, in us; 0 if unknown. */
static int64_t needed_us(const dws_admission_t *admission, int64_t now_us,
			 const dws_queue_item_t *item)
{
	const dws_estimate_t *estimate = g_hash_table_lookup(
		admission->estimates, GUINT_TO_POINTER(item->kind));
	double left_us = (double)(item->deadline_us - now_us);
	double needed;

	if (!estimate)
		return 0;
	needed =
		estimate->mean_us + DEVIATIONS_ALLOWED * estimate->deviation_us;
	return (int64_t)MIN(needed, left_us * (1.0 - MIN_WAIT_SHARE));
}

/*
 * Queues a request. It is refused as late only if its deadline has passed,
 * not if the time left is below the estimate: otherwise a kind whose estimate
 * is too high would never run and never correct the estimate.
 */
bool dws_admission_enqueue(dws_admission_t *admission, int64_t now_us,
			   const dws_queue_item_t *item, uint64_t *displaced)
{
	dws_queue_item_t queued = *item;

	*displaced = 0;
	if (!admission->unlimited && item->deadline_us <= now_us)
		return false;
	queued.expected_us = needed_us(admission, now_us, item);
	return dws_queue_push(admission->queue, &queued, displaced);
}

/* Dequeues the next request if fewer requests run than the limit allows. */
bool dws_admission_dequeue(dws_admission_t *admission, int64_t now_us,
			   dws_queue_item_t *item)
{
	uint32_t running = g_hash_table_size(admission->running);
	dws_running_t *state;

	if (running >= dws_limit_current(&admission->limit))
		return false;
	if (!dws_queue_pop(admission->queue, item))
		return false;
	state = g_new0(dws_running_t, 1);
	state->id = item->id;
	state->started_us = now_us;
	state->kind = item->kind;
	state->running = running + 1;
	g_hash_table_replace(admission->running, &state->id, state);
	return true;
}

/*
 * Dequeues a request whose remaining time is shorter than its estimate. The
 * policy "none" drops nothing.
 */
bool dws_admission_expire(dws_admission_t *admission, int64_t now_us,
			  dws_queue_item_t *item)
{
	if (admission->unlimited)
		return false;
	return dws_queue_expire(admission->queue, now_us, item);
}

/* Updates the estimate of a kind with the execution time of one request. */
static void update_estimate(dws_admission_t *admission, uint32_t kind,
			    double time_us)
{
	gpointer key = GUINT_TO_POINTER(kind);
	dws_estimate_t *estimate =
		g_hash_table_lookup(admission->estimates, key);
	double error_us;

	if (!estimate) {
		if (g_hash_table_size(admission->estimates) >= MAX_ESTIMATES)
			g_hash_table_remove_all(admission->estimates);
		estimate = g_new0(dws_estimate_t, 1);
		estimate->mean_us = time_us;
		estimate->deviation_us = time_us / 2;
		g_hash_table_insert(admission->estimates, key, estimate);
		return;
	}
	error_us = time_us - estimate->mean_us;
	estimate->mean_us += MEAN_GAIN * error_us;
	estimate->deviation_us +=
		DEVIATION_GAIN * (ABS(error_us) - estimate->deviation_us);
}

/* Updates the mean service time that is reported to peers. */
static void update_mean_service(dws_admission_t *admission, double time_us)
{
	if (admission->service_us <= 0)
		admission->service_us = time_us;
	admission->service_us +=
		SERVICE_GAIN * (time_us - admission->service_us);
}

/* Ends a running request; an unknown id is ignored. */
void dws_admission_end(dws_admission_t *admission, int64_t now_us, uint64_t id,
		       int64_t own_time_us, bool overloaded)
{
	const dws_running_t *state =
		g_hash_table_lookup(admission->running, &id);
	dws_limit_sample_t sample;

	if (!state)
		return;
	sample.own_time_us = own_time_us;
	sample.running = state->running;
	sample.overloaded = overloaded;
	if (overloaded || own_time_us > 0)
		dws_limit_record(&admission->limit, now_us, &sample);
	if (!overloaded && own_time_us > 0)
		update_mean_service(admission, (double)own_time_us);
	if (!overloaded && own_time_us > 0)
		update_estimate(admission, state->kind,
				(double)(now_us - state->started_us));
	g_hash_table_remove(admission->running, &id);
}

bool dws_admission_cancel(dws_admission_t *admission, uint64_t id)
{
	return dws_queue_remove(admission->queue, id);
}

/*
 * Fills in the load report for peers. The queue is kept only long enough to
 * cover the delay of the reports; further requests are better queued at the
 * callers' daemons, which can still send them to another endpoint.
 */
void dws_admission_get_load(const dws_admission_t *admission,
			    dws_load_report_t *load)
{
	uint32_t limit = dws_limit_current(&admission->limit);
	uint32_t queue_target =
		admission->unlimited ? UINT32_MAX : limit * QUEUED_PER_LIMIT;

	load->threshold = dws_queue_min_priority(
		admission->queue, MIN(queue_target, admission->queue_capacity));
	load->running = g_hash_table_size(admission->running);
	load->queued = dws_queue_length(admission->queue);
	load->limit = limit;
	load->service_us = (uint32_t)MIN(admission->service_us, UINT32_MAX);
}

/*
 * Returns when the next queued request can no longer meet its deadline, in us,
 * or DWS_NEVER_US.
 */
int64_t dws_admission_next_expiry_us(const dws_admission_t *admission)
{
	if (admission->unlimited)
		return DWS_NEVER_US;
	return dws_queue_next_expiry_us(admission->queue);
}
