/*
 * Concurrency limits of the local upstream.
 *
 * The adaptive policy grows while the limit is what binds: by doubling at
 * first (slow start: Jacobson, "Congestion Avoidance and Control", SIGCOMM
 * 1988), then in small steps. It shrinks when requests are shed or lost: to
 * the number that the upstream is known to carry, or in proportion to their
 * share (multiplicative decrease: Chiu and Jain, 1989; in proportion to the
 * share of marks: Alizadeh et al., "Data Center TCP", SIGCOMM 2010).
 *
 * A rise of the own time over its long-term least means queuing inside the
 * upstream (Brakmo and Peterson, "TCP Vegas", 1995), or an upstream that is
 * slower for another reason. To tell the two apart the limit is halved for a
 * trial. If the own time falls with it, requests had been queuing and the
 * lower limit stays. If it does not, the least is learned anew and the limit
 * is put back.
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
#define FORGET_SHARE 0.015625 /* of the difference, per window */
#define TRIAL_SHARE 0.5 /* of the limit */
#define TRIAL_SAMPLES 64
#define TRIAL_SETTLE 2.0 /* in own times, or short ones would prevail */
#define RECHECK_US (5 * DWS_US_PER_S)
#define TRIAL_FALL 0.7 /* the own time falls below this if it queued */

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

/* Where a limit starts on a cold upstream. */
static double initial_value(const dws_limit_t *limit)
{
	return MAX(INITIAL_LIMIT, limit->slots * INITIAL_SHARE);
}

static void set_value(dws_limit_t *limit, double value)
{
	limit->value = CLAMP(value, 1.0, (double)limit->slots);
}

/*
 * Lowers the limit. It grows by small steps from there, but a limit as low
 * as that of a cold upstream grows like one.
 */
static void lower_value(dws_limit_t *limit, double value)
{
	set_value(limit, value);
	limit->doubling_below = limit->slots;
	if (limit->value > initial_value(limit))
		limit->doubling_below = limit->value;
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

/* Starts to measure anew, once requests that started earlier have ended. */
static void restart_trial(dws_limit_trial_t *trial, int64_t now_us,
			  double time_us)
{
	trial->settled_us = now_us + (int64_t)(TRIAL_SETTLE * time_us);
	trial->sum_us = 0;
	trial->samples = 0;
}

/* Starts a trial with the own time under the limit as it is. */
static void start_trial(dws_limit_t *limit, int64_t now_us)
{
	dws_limit_trial_t *trial = &limit->trial;

	trial->active = true;
	trial->value_before = limit->value;
	trial->time_before_us = 0;
	trial->fall = 1.0;
	restart_trial(trial, now_us, limit->recent_us);
}

/*
 * Takes a slower upstream as a fact. As chance may have misled one trial, the
 * earlier least is tried once more some time later.
 */
static void relearn_fastest(dws_limit_t *limit, int64_t now_us)
{
	bool is_confirmed = limit->doubted_us > 0;

	limit->doubted_us = is_confirmed ? 0 : limit->fastest_us;
	limit->recheck_us = now_us + RECHECK_US;
	limit->fastest_us = 0;
	set_value(limit, limit->trial.value_before);
}

/* Goes back to the earlier least when it is time to try it once more. */
static void recheck_fastest(dws_limit_t *limit, int64_t now_us)
{
	if (limit->doubted_us <= 0 || now_us < limit->recheck_us)
		return;
	limit->recheck_us = now_us + RECHECK_US;
	if (limit->recent_us > TIME_TOLERANCE * limit->doubted_us)
		limit->fastest_us = limit->doubted_us;
	else
		limit->doubted_us = 0;
}

/*
 * Goes on when the own time under the present limit is known: halves the
 * limit, or ends the trial. Every further halving has to lower the time in
 * proportion to the first measurement, so a wrong step is found by the next.
 */
static void continue_trial(dws_limit_t *limit, int64_t now_us, double time_us)
{
	dws_limit_trial_t *trial = &limit->trial;

	limit->recent_us = time_us;
	limit->recent_samples = TRIAL_SAMPLES;
	if (trial->time_before_us <= 0)
		trial->time_before_us = time_us;
	else if (time_us >= trial->time_before_us * trial->fall)
		relearn_fastest(limit, now_us);
	trial->active = is_slow(limit);
	if (!trial->active)
		return;
	trial->fall *= TRIAL_FALL;
	lower_value(limit, limit->value * TRIAL_SHARE);
	restart_trial(trial, now_us, time_us);
}

/* Takes an own time that started under the limit of the trial. */
static void sample_trial(dws_limit_t *limit, int64_t now_us,
			 const dws_limit_sample_t *sample)
{
	dws_limit_trial_t *trial = &limit->trial;

	if (now_us < trial->settled_us ||
	    sample->running > adaptive_current(limit))
		return;
	trial->sum_us += (double)sample->own_time_us;
	trial->samples++;
	if (trial->samples < TRIAL_SAMPLES)
		return;
	continue_trial(limit, now_us, trial->sum_us / trial->samples);
}

/* The growth that one window allows: double at first, then a step. */
static double growth(const dws_limit_t *limit)
{
	if (limit->value < limit->doubling_below)
		return MIN(limit->value, limit->doubling_below - limit->value);
	return MAX(1.0, limit->value * STEP_SHARE);
}

/* Lets the least rise slowly while it is not the limit that makes it. */
static void forget_fastest(dws_limit_t *limit)
{
	if (limit->fastest_us > 0 && limit->recent_us > limit->fastest_us)
		limit->fastest_us +=
			FORGET_SHARE * (limit->recent_us - limit->fastest_us);
}

/*
 * Takes a request that was shed or lost. If more ran than with any request
 * that lately succeeded, the limit goes below that number at once, by at most
 * half per window. Else the requests that succeeded speak against a lack of
 * room, and the window's share of such requests decides.
 */
static void sample_overload(dws_limit_t *limit,
			    const dws_limit_sample_t *sample)
{
	dws_limit_window_t *window = &limit->window;
	uint32_t proven = MAX(window->peak_success, limit->last_peak_success);
	double least = window->start_value * LARGEST_DECREASE;
	double value = MAX((double)sample->running - 1.0, least);

	if (sample->running <= proven)
		window->overloads++;
	else if (value < limit->value)
		lower_value(limit, value);
}

/* Decides on the limit at the end of a window. */
static void end_window(dws_limit_t *limit, int64_t now_us)
{
	const dws_limit_window_t *window = &limit->window;
	double overload_share = (double)window->overloads / window->samples;
	double value = limit->value;
	bool binds = window->peak_running >= adaptive_current(limit);
	bool matters = window->peak_running >= value * TRIAL_SHARE;

	recheck_fastest(limit, now_us);
	if (is_slow(limit) && matters && !limit->trial.active) {
		start_trial(limit, now_us);
		return;
	}
	if (window->overloads > 0)
		value *= MAX(1.0 - overload_share, LARGEST_DECREASE);
	if (binds && !limit->trial.active)
		value += growth(limit);
	if (!binds)
		forget_fastest(limit);
	if (value < limit->value)
		lower_value(limit, value);
	else
		set_value(limit, value);
}

static void sample_success(dws_limit_t *limit, int64_t now_us,
			   const dws_limit_sample_t *sample)
{
	dws_limit_window_t *window = &limit->window;

	window->peak_success = MAX(window->peak_success, sample->running);
	if (limit->trial.active)
		sample_trial(limit, now_us, sample);
	else
		average_time(limit, (double)sample->own_time_us);
}

static void start_window(dws_limit_t *limit, int64_t now_us)
{
	limit->last_peak_success = limit->window.peak_success;
	memset(&limit->window, 0, sizeof(limit->window));
	limit->window.start_us = now_us;
	limit->window.start_value = limit->value;
}

static void adaptive_sample(dws_limit_t *limit, int64_t now_us,
			    const dws_limit_sample_t *sample)
{
	dws_limit_window_t *window = &limit->window;

	if (window->start_us == 0)
		start_window(limit, now_us);
	window->samples++;
	window->peak_running = MAX(window->peak_running, sample->running);
	if (sample->overloaded)
		sample_overload(limit, sample);
	else
		sample_success(limit, now_us, sample);
	if (now_us - window->start_us < WINDOW_US)
		return;
	end_window(limit, now_us);
	start_window(limit, now_us);
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
	set_value(limit, initial_value(limit));
	limit->doubling_below = limit->slots;
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (strcmp(policies[i].name, policy) == 0)
			limit->ops = &policies[i];
	}
	return limit->ops != NULL;
}

/*
 * Follows a change of the configured slots. A lower number binds at once, a
 * higher one is grown into.
 */
void dws_limit_set_slots(dws_limit_t *limit, uint32_t slots)
{
	if (limit->slots == MAX(slots, 1))
		return;
	limit->slots = MAX(slots, 1);
	limit->doubling_below = limit->slots;
	set_value(limit, limit->value);
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
