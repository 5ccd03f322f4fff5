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

struct dws_limit {
	const dws_limit_ops_t *ops;
	uint32_t slots;
	double value; /* adaptive */
	double fastest_us; /* adaptive: long-term least own time */
	double recent_us; /* adaptive: short-term average */
	int64_t window_start_us;
	uint32_t window_samples;
	uint32_t window_overloads;
	double window_least_us;
};

/*
 * Chooses a policy by name; false if the name is unknown. An adaptive limit
 * starts low, so that a cold upstream gets work gradually.
 */
bool dws_limit_init(dws_limit_t *limit, const char *policy, uint32_t slots);
uint32_t dws_limit_current(const dws_limit_t *limit);
void dws_limit_sample(dws_limit_t *limit, int64_t now_us,
		      const dws_limit_sample_t *sample);

#endif
