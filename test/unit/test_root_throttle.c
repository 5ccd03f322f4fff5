/*
 * Unit tests of the admission of root requests: which routes an overloaded
 * service affects, and how the admitted share falls and recovers.
 */
#include "request/root_throttle.h"
#include "support/suite.h"

static double admitted_share(dws_root_throttle_t *throttle, const char *route)
{
	return dws_root_throttle_admitted_share(throttle, 0, route);
}

static void test_routes_to_overloaded_service_share_its_throttle(void)
{
	dws_root_throttle_t throttle;

	dws_root_throttle_init(&throttle);
	CU_ASSERT_EQUAL(admitted_share(&throttle, "a"), 1.0);
	dws_root_throttle_record_end(&throttle, 0, "a", "deep");
	dws_root_throttle_record_end(&throttle, 0, "b", "deep");
	CU_ASSERT(admitted_share(&throttle, "a") < 1.0);
	CU_ASSERT_EQUAL(admitted_share(&throttle, "a"),
			admitted_share(&throttle, "b"));
	/* A route without an overloaded service is admitted in full. */
	dws_root_throttle_record_end(&throttle, 0, "c", "");
	CU_ASSERT_EQUAL(admitted_share(&throttle, "c"), 1.0);
	dws_root_throttle_finish(&throttle);
}

static void test_share_falls_and_recovers(void)
{
	dws_root_throttle_t throttle;

	dws_root_throttle_init(&throttle);
	for (int i = 0; i < 1000; i++)
		dws_root_throttle_record_end(&throttle, 0, "a", "deep");
	/*
	 * Some requests are always admitted, since only their results can show
	 * that the service has capacity again.
	 */
	CU_ASSERT(admitted_share(&throttle, "a") > 0.0);
	CU_ASSERT(admitted_share(&throttle, "a") < 0.05);
	for (int i = 0; i < 1000; i++)
		dws_root_throttle_record_end(&throttle, 0, "a", "");
	CU_ASSERT_EQUAL(admitted_share(&throttle, "a"), 1.0);
	/* A route without results for 60 s is admitted in full. */
	dws_root_throttle_record_end(&throttle, 0, "a", "deep");
	CU_ASSERT_EQUAL(dws_root_throttle_admitted_share(
				&throttle, 60 * DWS_US_PER_S, "a"),
			1.0);
	dws_root_throttle_finish(&throttle);
}

/*
 * If the service has capacity for some of the root requests, the admitted share
 * converges to a value between 0 and 1.
 */
static void test_share_converges_under_partial_overload(void)
{
	dws_root_throttle_t throttle;
	GRand *random = g_rand_new_with_seed(5);
	int refused = 0;
	int admitted = 0;

	dws_root_throttle_init(&throttle);
	for (int i = 0; i < 20000; i++) {
		double current_share = admitted_share(&throttle, "a");

		if (g_rand_double(random) > current_share)
			continue;
		/* The service has capacity for half of the offered load. */
		bool overloaded = g_rand_double(random) > 0.5 / current_share;

		admitted += i > 2000;
		refused += i > 2000 && overloaded;
		dws_root_throttle_record_end(&throttle, 0, "a",
					     overloaded ? "deep" : "");
	}
	CU_ASSERT(refused < admitted / 4);
	CU_ASSERT(admitted > 18000 * 0.4);
	g_rand_free(random);
	dws_root_throttle_finish(&throttle);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"shared throttle",
		 test_routes_to_overloaded_service_share_its_throttle},
		{"fall and recovery", test_share_falls_and_recovers},
		{"convergence", test_share_converges_under_partial_overload},
		{NULL, NULL},
	};

	return suite_main("root throttle", tests);
}
