/*
 * How many requests may run at the local upstream at once. Policies share a
 * table of functions: "none" (no limit), "fixed" (the configured slots) and
 * "adaptive" (inside the slots, from measured time and outcomes).
 */
#ifndef DWS_REQUEST_LIMIT_H
#define DWS_REQUEST_LIMIT_H

#include "dogwoodshift.h"

typedef struct dws_limit dws_limit_t;

/* How one request ended at the local upstream. */
typedef struct dws_limit_sample {
	int64_t own_time_us; /* without the time in nested calls */
	uint32_t running; /* when it started, itself included */
	bool overloaded; /* the upstream shed it or its answer was lost */
} dws_limit_sample_t;

typedef struct dws_limit_ops {
	const char *name;
	uint32_t (*current)(const dws_limit_t *limit);
	void (*sample)(dws_limit_t *limit, int64_t now_us,
		       const dws_limit_sample_t *sample);
} dws_limit_ops_t;

/* What happened since the last decision of an adaptive limit. */
typedef struct dws_limit_window {
	int64_t start_us;
	uint32_t samples;
	uint32_t overloads;
	uint32_t peak_running;
	uint32_t peak_success; /* peak of those that succeeded */
	double start_value;
} dws_limit_window_t;

/* Measures the own time under the limit, and under half of it. */
typedef struct dws_limit_trial {
	bool active;
	int64_t settled_us; /* earlier samples don't count */
	double value_before; /* the limit before the first halving */
	double time_before_us; /* 0 until it is measured */
	double fall; /* the least that the time has to fall to */
	double sum_us;
	uint32_t samples;
} dws_limit_trial_t;

struct dws_limit {
	const dws_limit_ops_t *ops;
	uint32_t slots;
	double value; /* adaptive */
	double doubling_below; /* grows by doubling up to here */
	double fastest_us; /* long-term least of the average own time */
	double doubted_us; /* the least before it was learned anew, or 0 */
	int64_t recheck_us; /* when the doubted least is tried again */
	double recent_us; /* moving average of the own time */
	uint32_t recent_samples; /* in it, up to its length */
	dws_limit_window_t window;
	uint32_t last_peak_success; /* of the window before */
	dws_limit_trial_t trial;
};

/*
 * Chooses a policy by name; false if the name is unknown. An adaptive limit
 * starts low, so that a cold upstream gets work gradually.
 */
bool dws_limit_init(dws_limit_t *limit, const char *policy, uint32_t slots);
/* Follows a change of the configured slots. */
void dws_limit_set_slots(dws_limit_t *limit, uint32_t slots);
uint32_t dws_limit_current(const dws_limit_t *limit);
void dws_limit_sample(dws_limit_t *limit, int64_t now_us,
		      const dws_limit_sample_t *sample);

#endif
