/*
 * Retry budgets: what is earned, what the shared window allows, and what all
 * daemons take together.
 */
#include "request/retry_budget.h"
#include "support/suite.h"

#define S DWS_US_PER_S
#define DAEMONS 14

static void test_earned_by_requests_and_slack(void)
{
	dws_retry_budget_t budget;

	dws_retry_budget_init(&budget, 0.2, 0, 10 * S);
	CU_ASSERT_FALSE(dws_retry_budget_try_spend(&budget, 0, "s", 1, false));
	for (int i = 0; i < 100; i++)
		dws_retry_budget_add_request(&budget, 0, "s");
	CU_ASSERT_FALSE(dws_retry_budget_try_spend(&budget, 0, "t", 1, false));
	int taken = 0;

	while (dws_retry_budget_try_spend(&budget, 0, "s", 1, false))
		taken++;
	CU_ASSERT(taken > 0 && taken <= 20);
	/* Repeated runs have fewer than repeats of what was refused. */
	CU_ASSERT_FALSE(dws_retry_budget_try_spend(&budget, 0, "s", 1, true));
	/* The window slides on. */
	CU_ASSERT_FALSE(
		dws_retry_budget_try_spend(&budget, 9 * S, "s", 1, false));
	for (int i = 0; i < 100; i++)
		dws_retry_budget_add_request(&budget, 30 * S, "s");
	CU_ASSERT_TRUE(
		dws_retry_budget_try_spend(&budget, 30 * S, "s", 1, true));
	dws_retry_budget_finish(&budget);
}

/*
 * Daemons that know nothing of each other take what they can, in every window
 * of a random run: the sum stays below what all may take together.
 */
static void test_all_daemons_stay_within_the_shared_window(void)
{
	static uint32_t requests[400];
	static uint32_t repeats[400];
	dws_retry_budget_t budgets[DAEMONS];
	GRand *random = g_rand_new_with_seed(7);

	for (int i = 0; i < DAEMONS; i++)
		dws_retry_budget_init(&budgets[i], 0.2, 50, 10 * S);
	for (int step = 0; step < 400; step++) { /* of 100 ms */
		int64_t now_us = step * (S / 10);
		int calls = g_rand_int_range(random, 0, 60);

		for (int call = 0; call < calls; call++) {
			int daemon = g_rand_int_range(random, 0, DAEMONS);

			dws_retry_budget_add_request(&budgets[daemon], now_us,
						     "s");
			requests[step]++;
			repeats[step] += dws_retry_budget_try_spend(
				&budgets[daemon], now_us, "s", DAEMONS,
				g_rand_boolean(random));
		}
	}
	for (int start = 0; start + 100 <= 400; start++) {
		uint32_t asked = 0;
		uint32_t repeated = 0;

		for (int step = start; step < start + 100; step++) {
			asked += requests[step];
			repeated += repeats[step];
		}
		CU_ASSERT(repeated <= 0.2 * asked + 50);
	}
	for (int i = 0; i < DAEMONS; i++)
		dws_retry_budget_finish(&budgets[i]);
	g_rand_free(random);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"earned", test_earned_by_requests_and_slack},
		{"shared", test_all_daemons_stay_within_the_shared_window},
		{NULL, NULL},
	};

	return suite_main("retry_budget", tests);
}
