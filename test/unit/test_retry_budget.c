/*
 * Unit tests of retry budgets: retries earned by requests, the limit of a
 * sliding window, and the total of several daemons.
 */
#include "request/retry_budget.h"
#include "support/suite.h"

#define SECOND_US DWS_US_PER_S
#define DAEMONS 14

static void test_retries_are_earned_by_requests(void)
{
	dws_retry_budget_t budget;

	dws_retry_budget_init(&budget, 0.2, 0, 10 * SECOND_US);
	CU_ASSERT_FALSE(dws_retry_budget_try_spend(&budget, 0, "s", 1, false));
	for (int i = 0; i < 100; i++)
		dws_retry_budget_add_request(&budget, 0, "s");
	CU_ASSERT_FALSE(dws_retry_budget_try_spend(&budget, 0, "t", 1, false));
	int taken = 0;

	while (dws_retry_budget_try_spend(&budget, 0, "s", 1, false))
		taken++;
	CU_ASSERT(taken > 0 && taken <= 20);
	/*
	 * Retries of requests that may have run have a smaller budget than
	 * retries of refused requests.
	 */
	CU_ASSERT_FALSE(dws_retry_budget_try_spend(&budget, 0, "s", 1, true));
	/* Retries count until they leave the window of 10 s. */
	CU_ASSERT_FALSE(dws_retry_budget_try_spend(&budget, 9 * SECOND_US, "s",
						   1, false));
	for (int i = 0; i < 100; i++)
		dws_retry_budget_add_request(&budget, 30 * SECOND_US, "s");
	CU_ASSERT_TRUE(dws_retry_budget_try_spend(&budget, 30 * SECOND_US, "s",
						  1, true));
	dws_retry_budget_finish(&budget);
}

/*
 * Daemons that don't communicate take as many retries as they can. In every
 * window of a random run, their sum must stay within the shared budget.
 */
static void test_all_daemons_stay_within_shared_budget(void)
{
	static uint32_t requests[400];
	static uint32_t retries[400];
	dws_retry_budget_t budgets[DAEMONS];
	GRand *random = g_rand_new_with_seed(7);

	for (int i = 0; i < DAEMONS; i++)
		dws_retry_budget_init(&budgets[i], 0.2, 50, 10 * SECOND_US);
	for (int step = 0; step < 400; step++) { /* of 100 ms */
		int64_t now_us = step * (SECOND_US / 10);
		int calls = g_rand_int_range(random, 0, 60);

		for (int call = 0; call < calls; call++) {
			int daemon = g_rand_int_range(random, 0, DAEMONS);

			dws_retry_budget_add_request(&budgets[daemon], now_us,
						     "s");
			requests[step]++;
			retries[step] += dws_retry_budget_try_spend(
				&budgets[daemon], now_us, "s", DAEMONS,
				g_rand_boolean(random));
		}
	}
	for (int start = 0; start + 100 <= 400; start++) {
		uint32_t total_requests = 0;
		uint32_t total_retries = 0;

		for (int step = start; step < start + 100; step++) {
			total_requests += requests[step];
			total_retries += retries[step];
		}
		CU_ASSERT(total_retries <= 0.2 * total_requests + 50);
	}
	for (int i = 0; i < DAEMONS; i++)
		dws_retry_budget_finish(&budgets[i]);
	g_rand_free(random);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"earned retries", test_retries_are_earned_by_requests},
		{"shared budget", test_all_daemons_stay_within_shared_budget},
		{NULL, NULL},
	};

	return suite_main("retry budget", tests);
}
