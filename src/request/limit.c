/*
 * Concurrency limits of the local upstream.
 *
 * The adaptive policy grows while the limit is what binds: by doubling at
 * first (slow start: Jacobson, "Congestion Avoidance and Control", SIGCOMM
 * 1988), then in small steps. It shrinks in proportion to the share of
 * requests that were shed or lost (multiplicative decrease: Chiu and Jain,
 * 1989; in proportion to the share of marks: Alizadeh et al., "Data Center
 * TCP", SIGCOMM 2010).
 *
 * A rise of the own time over its long-term least means queuing inside the
 * upstream (Brakmo and Peterson, "TCP Vegas", 1995), or an upstream that is
 * slower for another reason. To tell the two apart the limit is halved for a
 * trial. If the own time falls with it, requests had been queuing and the
 * lower limit stays. If it does not, the slower time becomes the new least
 * and the limit is put back.
 *
 * The own times of single requests vary widely. Only averages are compared,
 * over enough samples that exponential times rarely seem to have doubled.
 */
#include <string.h>
#include "request/limit.h"

#define WINDOW_US (100 * DWS_US_PER_MS)
#define INITIAL_LIMIT 4.0
#define INITIAL_SHARE 0.125 /* of the slots */
#define STEP_SHARE 0.0625 /* growth per window after slow start */
#define LARGEST_DECREASE 0.5 /* of the limit, per window */

#define AVERAGE_SAMPLES 128 /* length of the moving average */
#define TIME_TOLERANCE 2.0 /* average against its least */
#define TRIAL_SHARE 0.5 /* of the limit */
#define TRIAL_SAMPLES 32
#define TRIAL_FALL 0.75 /* the own time falls below this if it queued */

static uint32_t none_current(const dws_limit_t *limit)
{
	return UINT32_MAX;
}

static uint32_t fixed_current(const dws_limit_t *limit)
{
	return limit->slots;
}

static void ignore_sample(dws_limit_t *limit, int64_t now_us,
			  const dws_limit_sample_t *sample)
{
}

static uint32_t adaptive_current(const dws_limit_t *limit)
{
	return (uint32_t)limit->value;
}

/* Sets the limit, inside 1 and the slots. */
static void set_value(dws_limit_t *limit, double value)
{
	limit->value = CLAMP(value, 1.0, (double)limit->slots);
}

/*
 * Takes an own time into the moving average; a plain average until there are
 * enough samples. The least follows the average down.
 */
static void average_time(dws_limit_t *limit, double own_time_us)
{
	if (limit->recent_samples < AVERAGE_SAMPLES)
		limit->recent_samples++;
	limit->recent_us +=
		(own_time_us - limit->recent_us) / limit->recent_samples;
	if (limit->recent_samples < AVERAGE_SAMPLES)
		return;
	if (limit->fastest_us <= 0 || limit->recent_us < limit->fastest_us)
		limit->fastest_us = limit->recent_us;
}

static bool is_slow(const dws_limit_t *limit)
{
	return limit->fastest_us > 0 &&
	       limit->recent_us > TIME_TOLERANCE * limit->fastest_us;
}

/* Halves the limit, to see whether the own time falls with it. */
static void start_trial(dws_limit_t *limit, int64_t now_us)
{
	dws_limit_trial_t *trial = &limit->trial;

	if (trial->value_before <= 0)
		trial->value_before = limit->value;
	trial->active = true;
	trial->settled_us = now_us + (int64_t)limit->recent_us;
	trial->time_before_us = limit->recent_us;
	trial->sum_us = 0;
	trial->samples = 0;
	set_value(limit, limit->value * TRIAL_SHARE);
	limit->doubling_below = limit->value;
}

/* Ends a trial: keeps the lower limit, or relearns the least. */
static void end_trial(dws_limit_t *limit)
{
	dws_limit_trial_t *trial = &limit->trial;
	double time_us = trial->sum_us / trial->samples;

	trial->active = false;
	limit->recent_us = time_us;
	if (time_us >= trial->time_before_us * TRIAL_FALL) {
		limit->fastest_us = time_us;
		set_value(limit, trial->value_before);
	}
	if (!is_slow(limit))
		trial->value_before = 0;
}

/* Takes an own time that started under the halved limit. */
static void sample_trial(dws_limit_t *limit, int64_t now_us,
			 const dws_limit_sample_t *sample)
{
	dws_limit_trial_t *trial = &limit->trial;

	if (now_us < trial->settled_us ||
	    sample->running > adaptive_current(limit))
		return;
	trial->sum_us += (double)sample->own_time_us;
	trial->samples++;
	if (trial->samples >= TRIAL_SAMPLES)
		end_trial(limit);
}

/* The growth that one window allows: double at first, then a step. */
static double growth(const dws_limit_t *limit)
{
	if (limit->value < limit->doubling_below)
		return MIN(limit->value, limit->doubling_below - limit->value);
	return MAX(1.0, limit->value * STEP_SHARE);
}

/* Decides on the limit at the end of a window. */
static void end_window(dws_limit_t *limit, int64_t now_us)
{
	const dws_limit_window_t *window = &limit->window;
	double overload_share = (double)window->overloads / window->samples;
	double value = limit->value;
	bool binds = window->peak_running >= adaptive_current(limit);
	bool matters = window->peak_running >= value * TRIAL_SHARE;

	if (is_slow(limit) && matters && !limit->trial.active) {
		start_trial(limit, now_us);
		return;
	}
	if (window->overloads > 0)
		value *= MAX(1.0 - overload_share, LARGEST_DECREASE);
	if (binds && !limit->trial.active)
		value += growth(limit);
	if (value < limit->value)
		limit->doubling_below = value;
	set_value(limit, value);
}

static void adaptive_sample(dws_limit_t *limit, int64_t now_us,
			    const dws_limit_sample_t *sample)
{
	dws_limit_window_t *window = &limit->window;

	if (window->samples == 0 && window->start_us == 0)
		window->start_us = now_us;
	window->samples++;
	window->peak_running = MAX(window->peak_running, sample->running);
	if (sample->overloaded) {
		window->overloads++;
	} else if (limit->trial.active) {
		sample_trial(limit, now_us, sample);
	} else {
		average_time(limit, (double)sample->own_time_us);
	}
	if (now_us - window->start_us < WINDOW_US)
		return;
	end_window(limit, now_us);
	memset(window, 0, sizeof(*window));
	window->start_us = now_us;
}

static const dws_limit_ops_t policies[] = {
	{"none", none_current, ignore_sample},
	{"fixed", fixed_current, ignore_sample},
	{"adaptive", adaptive_current, adaptive_sample},
};

/* Sets up a limit on memory of the caller; nothing needs to be freed. */
bool dws_limit_init(dws_limit_t *limit, const char *policy, uint32_t slots)
{
	memset(limit, 0, sizeof(*limit));
	limit->slots = MAX(slots, 1);
	set_value(limit, MAX(INITIAL_LIMIT, limit->slots * INITIAL_SHARE));
	limit->doubling_below = limit->slots;
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (strcmp(policies[i].name, policy) == 0)
			limit->ops = &policies[i];
	}
	return limit->ops != NULL;
}

/* The most requests that may run now. */
uint32_t dws_limit_current(const dws_limit_t *limit)
{
	return limit->ops->current(limit);
}

/* Tells the policy how a request ended. */
void dws_limit_sample(dws_limit_t *limit, int64_t now_us,
		      const dws_limit_sample_t *sample)
{
	limit->ops->sample(limit, now_us, sample);
}
