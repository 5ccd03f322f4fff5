/*
 * Unit tests of the admission of root requests: which routes an overloaded
 * service affects, and how the admitted share falls and recovers.
 */
#include "request/congestion.h"
#include "request/root_throttle.h"
#include "support/suite.h"

/* Time between responses. */
#define STEP_US (10 * DWS_US_PER_MS)

static double admitted_share(dws_root_throttle_t *throttle, const char *route)
{
	return dws_root_throttle_admitted_share(throttle, 0, route);
}

static void test_routes_to_overloaded_service_share_its_throttle(void)
{
	dws_root_throttle_t throttle;

	dws_root_throttle_init(&throttle);
	CU_ASSERT_EQUAL(admitted_share(&throttle, "a"), 1.0);
	dws_root_throttle_record_end(&throttle, 0, "b", "deep", 1000);
	dws_root_throttle_record_end(&throttle, STEP_US, "a", "deep", 1000);
	CU_ASSERT(admitted_share(&throttle, "a") < 1.0);
	CU_ASSERT_EQUAL(admitted_share(&throttle, "a"),
			admitted_share(&throttle, "b"));
	/* A route without an overloaded service is admitted in full. */
	dws_root_throttle_record_end(&throttle, STEP_US, "c", "", 0);
	CU_ASSERT_EQUAL(admitted_share(&throttle, "c"), 1.0);
	dws_root_throttle_finish(&throttle);
}

static void test_share_falls_and_recovers(void)
{
	dws_root_throttle_t throttle;
	int64_t now_us = 0;

	dws_root_throttle_init(&throttle);
	for (; now_us < 10 * DWS_US_PER_S; now_us += STEP_US)
		dws_root_throttle_record_end(&throttle, now_us, "a", "deep",
					     1000);
	/*
	 * Some requests are always admitted, since only their results can show
	 * that the service has capacity again.
	 */
	CU_ASSERT(admitted_share(&throttle, "a") > 0.0);
	CU_ASSERT(admitted_share(&throttle, "a") < 0.05);
	for (; now_us < 20 * DWS_US_PER_S; now_us += STEP_US)
		dws_root_throttle_record_end(&throttle, now_us, "a", "", 0);
	CU_ASSERT_EQUAL(admitted_share(&throttle, "a"), 1.0);
	/* A route without results for 60 s is admitted in full. */
	dws_root_throttle_record_end(&throttle, now_us, "a", "deep", 1000);
	CU_ASSERT_EQUAL(dws_root_throttle_admitted_share(
				&throttle, now_us + 60 * DWS_US_PER_S, "a"),
			1.0);
	dws_root_throttle_finish(&throttle);
}

/*
 * The pace is the same for a daemon that gets one response in 200 ms and for
 * one that gets 20.
 */
static void test_pace_does_not_depend_on_responses(void)
{
	dws_root_throttle_t few;
	dws_root_throttle_t many;

	dws_root_throttle_init(&few);
	dws_root_throttle_init(&many);
	for (int64_t now_us = 0; now_us <= DWS_US_PER_S; now_us += STEP_US) {
		dws_root_throttle_record_end(&many, now_us, "a", "deep", 500);
		if (now_us % (20 * STEP_US) == 0)
			dws_root_throttle_record_end(&few, now_us, "a", "deep",
						     500);
	}
	CU_ASSERT_DOUBLE_EQUAL(admitted_share(&few, "a"),
			       admitted_share(&many, "a"), 0.001);
	CU_ASSERT(admitted_share(&few, "a") < 0.6);
	dws_root_throttle_finish(&few);
	dws_root_throttle_finish(&many);
}

/*
 * If the service has capacity for some of the root requests, the admitted share
 * converges to a value between 0 and 1.
 */
static void test_share_converges_under_partial_overload(void)
{
	dws_root_throttle_t throttle;
	dws_congestion_t congestion;
	GRand *random = g_rand_new_with_seed(5);
	int refused = 0;
	int admitted = 0;

	dws_root_throttle_init(&throttle);
	dws_congestion_init(&congestion);
	for (int i = 0; i < 20000; i++) {
		int64_t now_us = i * STEP_US;
		double current_share = admitted_share(&throttle, "a");

		if (g_rand_double(random) > current_share)
			continue;
		/* The service has capacity for half of the offered load. */
		bool overloaded = g_rand_double(random) > 0.5 / current_share;

		admitted += i > 2000;
		refused += i > 2000 && overloaded;
		dws_congestion_record(&congestion, now_us, "deep", overloaded,
				      1);
		dws_root_throttle_record_end(
			&throttle, now_us, "a", "deep",
			dws_congestion_permille(&congestion, now_us, "deep"));
	}
	CU_ASSERT(refused < admitted / 4);
	CU_ASSERT(admitted > 18000 * 0.4);
	g_rand_free(random);
	dws_congestion_finish(&congestion);
	dws_root_throttle_finish(&throttle);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"shared throttle",
		 test_routes_to_overloaded_service_share_its_throttle},
		{"fall and recovery", test_share_falls_and_recovers},
		{"pace", test_pace_does_not_depend_on_responses},
		{"convergence", test_share_converges_under_partial_overload},
		{NULL, NULL},
	};

	return suite_main("root throttle", tests);
}
