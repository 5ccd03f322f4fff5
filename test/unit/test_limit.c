/*
 * Tests of the adaptive concurrency limit against a simulated upstream.
 * Requests arrive without pause or at random, have exponential service times
 * and share the upstream's actual capacity, which may differ from the
 * configured slots.
 */
#include "request/limit.h"
#include "support/suite.h"

#define SLOTS 55
#define MAX_RUNNING 64
#define MEAN_US (50.0 * DWS_US_PER_MS)
#define STEP_US 500
#define FULL_RATE_PER_S (SLOTS * DWS_US_PER_S / MEAN_US)
#define STARTS_PER_STEP 2

typedef struct request {
	int64_t started_us;
	uint32_t running; /* at the start, including this one */
} request_t;

typedef struct upstream {
	dws_limit_t limit;
	GRand *random;
	request_t requests[MAX_RUNNING];
	uint32_t running;
	uint32_t waiting;
	double capacity; /* slots that the upstream actually has */
	double mean_us;
	uint32_t shed_above; /* number running from which requests are shed */
	uint32_t sheds;
	double arrivals_per_s; /* 0: always more requests than the limit */
	int64_t now_us;
	uint32_t completed;
	double min_limit; /* since simulate() cleared the counters */
	double sum_limit;
	uint32_t steps;
} upstream_t;

static void finish_request(upstream_t *upstream, uint32_t index)
{
	dws_limit_sample_t sample = {
		.own_time_us =
			upstream->now_us - upstream->requests[index].started_us,
		.running = upstream->requests[index].running,
	};

	upstream->requests[index] = upstream->requests[--upstream->running];
	upstream->completed++;
	dws_limit_record(&upstream->limit, upstream->now_us, &sample);
}

static void start_request(upstream_t *upstream)
{
	if (upstream->running >= upstream->shed_above) {
		dws_limit_sample_t shed = {.running = upstream->running + 1,
					   .overloaded = true};

		upstream->sheds++;
		dws_limit_record(&upstream->limit, upstream->now_us, &shed);
		return;
	}
	upstream->requests[upstream->running] =
		(request_t){upstream->now_us, upstream->running + 1};
	upstream->running++;
}

/*
 * Advances the simulation by STEP_US. More running requests than the capacity
 * share it (processor sharing).
 */
static void simulate_step(upstream_t *upstream)
{
	double speed = MIN(1.0, upstream->capacity / MAX(upstream->running, 1));
	double probability = speed * STEP_US / upstream->mean_us;
	double arrivals = upstream->arrivals_per_s * STEP_US / DWS_US_PER_S;

	upstream->now_us += STEP_US;
	for (uint32_t i = upstream->running; i-- > 0;) {
		if (g_rand_double(upstream->random) < probability)
			finish_request(upstream, i);
	}
	if (upstream->arrivals_per_s > 0)
		upstream->waiting += g_rand_double(upstream->random) < arrivals;
	else
		upstream->waiting = STARTS_PER_STEP;
	for (; upstream->waiting > 0 &&
	       upstream->running < dws_limit_current(&upstream->limit);
	     upstream->waiting--)
		start_request(upstream);
	upstream->min_limit = MIN(upstream->min_limit, upstream->limit.value);
	upstream->sum_limit += upstream->limit.value;
	upstream->steps++;
}

/* Runs the simulation; returns the requests completed per second. */
static double simulate(upstream_t *upstream, double seconds)
{
	int64_t end_us = upstream->now_us + (int64_t)(seconds * DWS_US_PER_S);

	upstream->completed = 0;
	upstream->sheds = 0;
	upstream->min_limit = SLOTS;
	upstream->sum_limit = 0;
	upstream->steps = 0;
	while (upstream->now_us < end_us)
		simulate_step(upstream);
	return upstream->completed / seconds;
}

static void test_overload_uses_all_slots(upstream_t *upstream)
{
	simulate(upstream, 2);
	CU_ASSERT_TRUE(simulate(upstream, 20) > 0.97 * FULL_RATE_PER_S);
	CU_ASSERT_TRUE(upstream->min_limit >= SLOTS);
}

/* Random service times alone must not lower the limit. */
static void test_random_service_times_are_ignored(upstream_t *upstream)
{
	upstream->arrivals_per_s = 0.7 * FULL_RATE_PER_S;
	simulate(upstream, 5);
	CU_ASSERT_TRUE(simulate(upstream, 120) > 0.68 * FULL_RATE_PER_S);
	CU_ASSERT_TRUE(upstream->sum_limit / upstream->steps > 0.9 * SLOTS);
	CU_ASSERT_TRUE(upstream->waiting < 10);
}

/* An upstream with fewer slots than configured queues requests internally. */
static void test_internal_queuing_lowers_the_limit(upstream_t *upstream)
{
	simulate(upstream, 5);
	upstream->capacity = SLOTS / 4.0;
	simulate(upstream, 5);
	CU_ASSERT_TRUE(simulate(upstream, 60) > 0.95 * FULL_RATE_PER_S / 4);
	CU_ASSERT_TRUE(upstream->sum_limit / upstream->steps < 0.8 * SLOTS);
	upstream->capacity = SLOTS;
	simulate(upstream, 4);
	CU_ASSERT_TRUE(simulate(upstream, 4) > 0.97 * FULL_RATE_PER_S);
}

static void test_limit_adapts_to_slower_upstream(upstream_t *upstream)
{
	simulate(upstream, 5);
	upstream->mean_us *= 5;
	simulate(upstream, 4);
	CU_ASSERT_TRUE(simulate(upstream, 20) > 0.85 * FULL_RATE_PER_S / 5);
	upstream->mean_us /= 5;
	simulate(upstream, 2);
	CU_ASSERT_TRUE(simulate(upstream, 5) > 0.95 * FULL_RATE_PER_S);
}

static void test_shed_requests_lower_the_limit(upstream_t *upstream)
{
	simulate(upstream, 5);
	upstream->shed_above = SLOTS / 4;
	simulate(upstream, 2);
	CU_ASSERT_TRUE(simulate(upstream, 20) >
		       0.95 * FULL_RATE_PER_S * upstream->shed_above / SLOTS);
	CU_ASSERT_TRUE(upstream->sheds < 0.1 * upstream->completed);
	upstream->shed_above = 0;
	simulate(upstream, 5);
	CU_ASSERT_EQUAL(dws_limit_current(&upstream->limit), 1);
	upstream->shed_above = SLOTS;
	simulate(upstream, 2);
	CU_ASSERT_TRUE(simulate(upstream, 4) > 0.97 * FULL_RATE_PER_S);
}

static void for_all_seeds(void (*test)(upstream_t *upstream))
{
	for (uint32_t seed = 1; seed <= 5; seed++) {
		upstream_t upstream = {.capacity = SLOTS,
				       .shed_above = SLOTS,
				       .mean_us = MEAN_US,
				       .now_us = 1};

		upstream.random = g_rand_new_with_seed(seed);
		dws_limit_init(&upstream.limit, "adaptive", SLOTS);
		test(&upstream);
		g_rand_free(upstream.random);
	}
}

static void test_adaptive(void)
{
	for_all_seeds(test_overload_uses_all_slots);
	for_all_seeds(test_random_service_times_are_ignored);
	for_all_seeds(test_internal_queuing_lowers_the_limit);
	for_all_seeds(test_limit_adapts_to_slower_upstream);
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
