/*
 * Concurrency limit of the local upstream. The policies are "none" (no limit),
 * "fixed" (the configured slots) and "adaptive" (between 1 and the configured
 * slots, adjusted to measured service times and failures).
 */
#ifndef DWS_REQUEST_LIMIT_H
#define DWS_REQUEST_LIMIT_H

#include "dogwoodshift.h"

typedef struct dws_limit dws_limit_t;

/* How one request ended at the local upstream. */
typedef struct dws_limit_sample {
	int64_t own_time_us; /* service time without nested calls */
	uint32_t running; /* running requests at its start, itself included */
	bool overloaded; /* the upstream shed it or the response was lost */
} dws_limit_sample_t;

typedef struct dws_limit_ops {
	const char *name;
	uint32_t (*current)(const dws_limit_t *limit);
	void (*sample)(dws_limit_t *limit, int64_t now_us,
		       const dws_limit_sample_t *sample);
} dws_limit_ops_t;

/* Measurement interval between two adjustments of an adaptive limit. */
typedef struct dws_limit_window {
	int64_t start_us;
	uint32_t samples;
	uint32_t overloads;
	uint32_t peak_running;
	uint32_t peak_success; /* peak_running over successful requests */
	double start_value; /* limit at the start of the window */
} dws_limit_window_t;

/*
 * A trial that tells queuing inside the upstream from a slower upstream: it
 * measures the own time under the present limit and again after halving the
 * limit.
 */
typedef struct dws_limit_trial {
	bool active;
	int64_t settled_us; /* samples before this time are ignored */
	double limit_before; /* limit before the first halving */
	double time_before_us; /* own time under it; 0 until measured */
	double required_ratio; /* required own time / time_before_us */
	double sum_us; /* of own times under the present limit */
	uint32_t samples; /* in sum_us */
} dws_limit_trial_t;

struct dws_limit {
	const dws_limit_ops_t *ops;
	uint32_t slots;
	double value; /* limit of the adaptive policy */
	double slow_start_threshold; /* the limit doubles per window below it */
	double min_time_us; /* long-term minimum of the average own time */
	double discarded_min_us; /* minimum discarded by the last trial, or 0 */
	int64_t recheck_due_us; /* when the discarded minimum is tested again */
	double average_us; /* moving average of the own time */
	uint32_t average_samples; /* in average_us, up to AVERAGE_SAMPLES */
	dws_limit_window_t window;
	uint32_t last_peak_success; /* peak_success of the previous window */
	dws_limit_trial_t trial;
};

/*
 * Initializes a limit with the named policy. Returns false if the name is
 * unknown. An adaptive limit starts low, so that the load on a cold upstream
 * increases gradually.
 */
bool dws_limit_init(dws_limit_t *limit, const char *policy, uint32_t slots);
/* Applies a change of the configured slots. */
void dws_limit_set_slots(dws_limit_t *limit, uint32_t slots);
/* Returns the maximum number of requests that may run now. */
uint32_t dws_limit_current(const dws_limit_t *limit);
/* Records how a request ended. */
void dws_limit_record(dws_limit_t *limit, int64_t now_us,
		      const dws_limit_sample_t *sample);

#endif
