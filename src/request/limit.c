/*
 * Concurrency limits of the local upstream.
 *
 * The adaptive limit grows while it is fully used: by doubling at first (slow
 * start: Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988), then in
 * small steps. It shrinks when requests are shed or lost: to the concurrency
 * at which requests have recently succeeded, or in proportion to the share of
 * requests shed or lost (multiplicative decrease: Chiu and Jain, 1989; in
 * proportion to the share of marks: Alizadeh et al., "Data Center TCP", SIGCOMM
 * 2010).
 *
 * The own time is the service time without nested calls. An own time above its
 * long-term minimum means that requests queue inside the upstream (Brakmo and
 * Peterson, "TCP Vegas", 1995), or that the upstream is slower for another
 * reason. A trial tells the two apart by halving the limit. If the own time
 * decreases, requests were queuing and the lower limit is kept. If it does not,
 * the minimum is measured again and the limit is restored.
 *
 * The own times of single requests vary widely. Only averages are compared,
 * over enough samples that the average of exponentially distributed times
 * rarely doubles by chance.
 */
#include <string.h>
#include "request/limit.h"

#define WINDOW_US (100 * DWS_US_PER_MS)
#define INITIAL_LIMIT 4.0
#define INITIAL_SHARE 0.125 /* of the slots */
#define STEP_SHARE 0.0625 /* relative growth per window after slow start */
#define MIN_DECREASE_FACTOR 0.5 /* lower bound, per window */

#define AVERAGE_SAMPLES 128 /* length of the moving average */
/* The upstream is slow if the average exceeds this multiple of the minimum. */
#define TIME_TOLERANCE 2.0
/* Part of the difference to the average that the minimum rises per window. */
#define MINIMUM_RISE_SHARE 0.015625
#define TRIAL_LIMIT_FACTOR 0.5 /* factor on the limit per trial step */
#define TRIAL_SAMPLES 64
/*
 * Settling time of a trial step, in own times; requests that end sooner are
 * biased towards short times.
 */
#define TRIAL_SETTLE_TIMES 2.0
#define RECHECK_US (5 * DWS_US_PER_S)
/* The own time decreases below this factor if requests were queuing. */
#define TRIAL_TIME_RATIO 0.7

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

/* The limit for a cold upstream. */
static double initial_limit(const dws_limit_t *limit)
{
	return MAX(INITIAL_LIMIT, limit->slots * INITIAL_SHARE);
}

static void set_limit(dws_limit_t *limit, double value)
{
	limit->value = CLAMP(value, 1.0, (double)limit->slots);
}

/*
 * Decreases the limit. It grows in small steps from there, unless it is not
 * above the initial limit: then slow start begins again.
 */
static void decrease_limit(dws_limit_t *limit, double value)
{
	set_limit(limit, value);
	limit->slow_start_threshold = limit->slots;
	if (limit->value > initial_limit(limit))
		limit->slow_start_threshold = limit->value;
}

/*
 * Adds an own time to the moving average, which is the arithmetic mean until
 * there are AVERAGE_SAMPLES samples. The minimum follows the average down.
 */
static void update_average(dws_limit_t *limit, double own_time_us)
{
	if (limit->average_samples < AVERAGE_SAMPLES)
		limit->average_samples++;
	limit->average_us +=
		(own_time_us - limit->average_us) / limit->average_samples;
	if (limit->average_samples < AVERAGE_SAMPLES)
		return;
	if (limit->min_time_us <= 0 || limit->average_us < limit->min_time_us)
		limit->min_time_us = limit->average_us;
}

static bool is_slow(const dws_limit_t *limit)
{
	return limit->min_time_us > 0 &&
	       limit->average_us > TIME_TOLERANCE * limit->min_time_us;
}

/*
 * Starts the next measurement of a trial, after a settling time in which
 * requests that started earlier end.
 */
static void restart_trial(dws_limit_trial_t *trial, int64_t now_us,
			  double time_us)
{
	trial->settled_us = now_us + (int64_t)(TRIAL_SETTLE_TIMES * time_us);
	trial->sum_us = 0;
	trial->samples = 0;
}

/* Starts a trial; the first measurement is taken under the present limit. */
static void start_trial(dws_limit_t *limit, int64_t now_us)
{
	dws_limit_trial_t *trial = &limit->trial;

	trial->active = true;
	trial->limit_before = limit->value;
	trial->time_before_us = 0;
	trial->required_ratio = 1.0;
	restart_trial(trial, now_us, limit->average_us);
}

/*
 * Accepts that the upstream has become slower: discards the minimum and
 * restores the limit. Since one trial may fail by chance, the discarded
 * minimum is tested once more after RECHECK_US.
 */
static void discard_minimum(dws_limit_t *limit, int64_t now_us)
{
	bool is_confirmed = limit->discarded_min_us > 0;

	limit->discarded_min_us = is_confirmed ? 0 : limit->min_time_us;
	limit->recheck_due_us = now_us + RECHECK_US;
	limit->min_time_us = 0;
	set_limit(limit, limit->trial.limit_before);
}

/* Restores the discarded minimum when it is due to be tested again. */
static void recheck_minimum(dws_limit_t *limit, int64_t now_us)
{
	if (limit->discarded_min_us <= 0 || now_us < limit->recheck_due_us)
		return;
	limit->recheck_due_us = now_us + RECHECK_US;
	if (limit->average_us > TIME_TOLERANCE * limit->discarded_min_us)
		limit->min_time_us = limit->discarded_min_us;
	else
		limit->discarded_min_us = 0;
}

/*
 * Evaluates the own time measured under the present limit: halves the limit
 * again or ends the trial. Each halving has to lower the own time further
 * relative to the first measurement, so that the next step detects a halving
 * that was wrong.
 */
static void continue_trial(dws_limit_t *limit, int64_t now_us, double time_us)
{
	dws_limit_trial_t *trial = &limit->trial;

	limit->average_us = time_us;
	limit->average_samples = TRIAL_SAMPLES;
	if (trial->time_before_us <= 0)
		trial->time_before_us = time_us;
	else if (time_us >= trial->time_before_us * trial->required_ratio)
		discard_minimum(limit, now_us);
	trial->active = is_slow(limit);
	if (!trial->active)
		return;
	trial->required_ratio *= TRIAL_TIME_RATIO;
	decrease_limit(limit, limit->value * TRIAL_LIMIT_FACTOR);
	restart_trial(trial, now_us, time_us);
}

/* Adds the own time of a request that started under the limit of the trial. */
static void add_trial_sample(dws_limit_t *limit, int64_t now_us,
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

/* The increase of the limit per window. */
static double limit_increase(const dws_limit_t *limit)
{
	if (limit->value < limit->slow_start_threshold)
		return MIN(limit->value,
			   limit->slow_start_threshold - limit->value);
	return MAX(1.0, limit->value * STEP_SHARE);
}

/* Raises the minimum slowly while the limit is not fully used. */
static void raise_minimum(dws_limit_t *limit)
{
	if (limit->min_time_us > 0 && limit->average_us > limit->min_time_us)
		limit->min_time_us += MINIMUM_RISE_SHARE *
				      (limit->average_us - limit->min_time_us);
}

/*
 * Records a request that was shed or lost. If the concurrency at its start was
 * higher than for any recently successful request, the limit is lowered at once
 * to just below it, by at most half per window. Otherwise the concurrency is
 * proven to be sustainable, and the limit is reduced at the end of the window
 * by the share of requests that were shed or lost.
 */
static void record_overload(dws_limit_t *limit,
			    const dws_limit_sample_t *sample)
{
	dws_limit_window_t *window = &limit->window;
	uint32_t proven_running =
		MAX(window->peak_success, limit->last_peak_success);
	double min_value = window->start_value * MIN_DECREASE_FACTOR;
	double value = MAX((double)sample->running - 1.0, min_value);

	if (sample->running <= proven_running)
		window->overloads++;
	else if (value < limit->value)
		decrease_limit(limit, value);
}

/* Adjusts the limit at the end of a window. */
static void end_window(dws_limit_t *limit, int64_t now_us)
{
	const dws_limit_window_t *window = &limit->window;
	double overload_share = (double)window->overloads / window->samples;
	double value = limit->value;
	bool fully_used = window->peak_running >= adaptive_current(limit);
	bool half_used = window->peak_running >= value * TRIAL_LIMIT_FACTOR;

	recheck_minimum(limit, now_us);
	if (is_slow(limit) && half_used && !limit->trial.active) {
		start_trial(limit, now_us);
		return;
	}
	if (window->overloads > 0)
		value *= MAX(1.0 - overload_share, MIN_DECREASE_FACTOR);
	if (fully_used && !limit->trial.active)
		value += limit_increase(limit);
	if (!fully_used)
		raise_minimum(limit);
	if (value < limit->value)
		decrease_limit(limit, value);
	else
		set_limit(limit, value);
}

static void record_success(dws_limit_t *limit, int64_t now_us,
			   const dws_limit_sample_t *sample)
{
	dws_limit_window_t *window = &limit->window;

	window->peak_success = MAX(window->peak_success, sample->running);
	if (limit->trial.active)
		add_trial_sample(limit, now_us, sample);
	else
		update_average(limit, (double)sample->own_time_us);
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
		record_overload(limit, sample);
	else
		record_success(limit, now_us, sample);
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

/* Initializes caller-provided memory; there is nothing to free. */
bool dws_limit_init(dws_limit_t *limit, const char *policy, uint32_t slots)
{
	memset(limit, 0, sizeof(*limit));
	limit->slots = MAX(slots, 1);
	set_limit(limit, initial_limit(limit));
	limit->slow_start_threshold = limit->slots;
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (strcmp(policies[i].name, policy) == 0)
			limit->ops = &policies[i];
	}
	return limit->ops != NULL;
}

/*
 * Applies a change of the configured slots. A lower number takes effect at
 * once; towards a higher one the limit grows gradually.
 */
void dws_limit_set_slots(dws_limit_t *limit, uint32_t slots)
{
	if (limit->slots == MAX(slots, 1))
		return;
	limit->slots = MAX(slots, 1);
	limit->slow_start_threshold = limit->slots;
	set_limit(limit, limit->value);
}

uint32_t dws_limit_current(const dws_limit_t *limit)
{
	return limit->ops->current(limit);
}

void dws_limit_record(dws_limit_t *limit, int64_t now_us,
		      const dws_limit_sample_t *sample)
{
	limit->ops->sample(limit, now_us, sample);
}
