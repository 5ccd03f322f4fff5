/*
 * The adaptive limit against a simulated upstream: work arrives without end
 * or at random, takes exponential times and shares the upstream's real
 * capacity, which need not be the configured slots.
 */
#include "request/limit.h"
#include "support/suite.h"

#define SLOTS 55
#define MAX_RUNNING 64
#define MEAN_US (50.0 * DWS_US_PER_MS)
#define STEP_US 500
#define FULL_PER_S (SLOTS * DWS_US_PER_S / MEAN_US)
#define STARTS_PER_STEP 2

typedef struct running {
	int64_t started_us;
	uint32_t running;
} running_t;

typedef struct upstream {
	dws_limit_t limit;
	GRand *random;
	running_t requests[MAX_RUNNING];
	uint32_t running;
	uint32_t waiting;
	double capacity; /* slots that really work */
	double mean_us;
	uint32_t shed_above; /* as many running */
	uint32_t sheds;
	double arrivals_per_s; /* 0: always more work than the limit */
	int64_t now_us;
	uint32_t ended;
	double least_limit; /* since the counters were cleared */
	double sum_limit;
	uint32_t steps;
} upstream_t;

static void finish(upstream_t *up, uint32_t index)
{
	dws_limit_sample_t sample = {
		.own_time_us = up->now_us - up->requests[index].started_us,
		.running = up->requests[index].running,
	};

	up->requests[index] = up->requests[--up->running];
	up->ended++;
	dws_limit_record(&up->limit, up->now_us, &sample);
}

static void start(upstream_t *up)
{
	if (up->running >= up->shed_above) {
		dws_limit_sample_t shed = {.running = up->running + 1,
					   .overloaded = true};

		up->sheds++;
		dws_limit_record(&up->limit, up->now_us, &shed);
		return;
	}
	up->requests[up->running] = (running_t){up->now_us, up->running + 1};
	up->running++;
}

/* Requests beyond the capacity share it (processor sharing). */
static void step(upstream_t *up)
{
	double speed = MIN(1.0, up->capacity / MAX(up->running, 1));
	double chance = speed * STEP_US / up->mean_us;
	double arrivals = up->arrivals_per_s * STEP_US / DWS_US_PER_S;

	up->now_us += STEP_US;
	for (uint32_t i = up->running; i-- > 0;) {
		if (g_rand_double(up->random) < chance)
			finish(up, i);
	}
	if (up->arrivals_per_s > 0)
		up->waiting += g_rand_double(up->random) < arrivals;
	else
		up->waiting = STARTS_PER_STEP;
	for (; up->waiting > 0 && up->running < dws_limit_current(&up->limit);
	     up->waiting--)
		start(up);
	up->least_limit = MIN(up->least_limit, up->limit.value);
	up->sum_limit += up->limit.value;
	up->steps++;
}

/* Runs for a time; returns the ended requests per second. */
static double run(upstream_t *up, double seconds)
{
	int64_t end_us = up->now_us + (int64_t)(seconds * DWS_US_PER_S);

	up->ended = 0;
	up->sheds = 0;
	up->least_limit = SLOTS;
	up->sum_limit = 0;
	up->steps = 0;
	while (up->now_us < end_us)
		step(up);
	return up->ended / seconds;
}

static void test_overload_fills_the_slots(upstream_t *up)
{
	run(up, 2);
	CU_ASSERT_TRUE(run(up, 20) > 0.97 * FULL_PER_S);
	CU_ASSERT_TRUE(up->least_limit >= SLOTS);
}

/* Random times alone must not hold work back. */
static void test_noise_is_ignored(upstream_t *up)
{
	up->arrivals_per_s = 0.7 * FULL_PER_S;
	run(up, 5);
	CU_ASSERT_TRUE(run(up, 120) > 0.68 * FULL_PER_S);
	CU_ASSERT_TRUE(up->sum_limit / up->steps > 0.9 * SLOTS);
	CU_ASSERT_TRUE(up->waiting < 10);
}

/* Requests queue inside an upstream with fewer slots than configured. */
static void test_queuing_lowers_the_limit(upstream_t *up)
{
	run(up, 5);
	up->capacity = SLOTS / 4.0;
	run(up, 5);
	CU_ASSERT_TRUE(run(up, 60) > 0.95 * FULL_PER_S / 4);
	CU_ASSERT_TRUE(up->sum_limit / up->steps < 0.8 * SLOTS);
	up->capacity = SLOTS;
	run(up, 4);
	CU_ASSERT_TRUE(run(up, 4) > 0.97 * FULL_PER_S);
}

static void test_slower_upstream_is_relearned(upstream_t *up)
{
	run(up, 5);
	up->mean_us *= 5;
	run(up, 4);
	CU_ASSERT_TRUE(run(up, 20) > 0.85 * FULL_PER_S / 5);
	up->mean_us /= 5;
	run(up, 2);
	CU_ASSERT_TRUE(run(up, 5) > 0.95 * FULL_PER_S);
}

static void test_shed_requests_lower_the_limit(upstream_t *up)
{
	run(up, 5);
	up->shed_above = SLOTS / 4;
	run(up, 2);
	CU_ASSERT_TRUE(run(up, 20) >
		       0.95 * FULL_PER_S * up->shed_above / SLOTS);
	CU_ASSERT_TRUE(up->sheds < 0.1 * up->ended);
	up->shed_above = 0;
	run(up, 5);
	CU_ASSERT_EQUAL(dws_limit_current(&up->limit), 1);
	up->shed_above = SLOTS;
	run(up, 2);
	CU_ASSERT_TRUE(run(up, 4) > 0.97 * FULL_PER_S);
}

static void for_all_seeds(void (*test)(upstream_t *up))
{
	for (uint32_t seed = 1; seed <= 5; seed++) {
		upstream_t up = {.capacity = SLOTS,
				 .shed_above = SLOTS,
				 .mean_us = MEAN_US,
				 .now_us = 1};

		up.random = g_rand_new_with_seed(seed);
		dws_limit_init(&up.limit, "adaptive", SLOTS);
		test(&up);
		g_rand_free(up.random);
	}
}

static void test_adaptive(void)
{
	for_all_seeds(test_overload_fills_the_slots);
	for_all_seeds(test_noise_is_ignored);
	for_all_seeds(test_queuing_lowers_the_limit);
	for_all_seeds(test_slower_upstream_is_relearned);
	for_all_seeds(test_shed_requests_lower_the_limit);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"adaptive", test_adaptive},
		{NULL, NULL},
	};

	return suite_main("limit", tests);
}
