/*
 * The throttle of roots: who is affected, how it closes and opens again.
 */
#include "request/root_throttle.h"
#include "support/suite.h"

static double share(dws_root_throttle_t *throttle, const char *route)
{
	return dws_root_throttle_admitted_share(throttle, 0, route);
}

static void test_routes_to_a_crowded_service_share_its_gate(void)
{
	dws_root_throttle_t throttle;

	dws_root_throttle_init(&throttle);
	CU_ASSERT_EQUAL(share(&throttle, "a"), 1.0);
	dws_root_throttle_record_end(&throttle, 0, "a", "deep");
	dws_root_throttle_record_end(&throttle, 0, "b", "deep");
	CU_ASSERT(share(&throttle, "a") < 1.0);
	CU_ASSERT_EQUAL(share(&throttle, "a"), share(&throttle, "b"));
	/* One that leads nowhere crowded is let in whole. */
	dws_root_throttle_record_end(&throttle, 0, "c", "");
	CU_ASSERT_EQUAL(share(&throttle, "c"), 1.0);
	dws_root_throttle_finish(&throttle);
}

static void test_closes_and_opens(void)
{
	dws_root_throttle_t throttle;

	dws_root_throttle_init(&throttle);
	for (int i = 0; i < 1000; i++)
		dws_root_throttle_record_end(&throttle, 0, "a", "deep");
	/* Some are always let in, or nothing would tell of room again. */
	CU_ASSERT(share(&throttle, "a") > 0.0);
	CU_ASSERT(share(&throttle, "a") < 0.05);
	for (int i = 0; i < 1000; i++)
		dws_root_throttle_record_end(&throttle, 0, "a", "");
	CU_ASSERT_EQUAL(share(&throttle, "a"), 1.0);
	/* A route that nothing is told of for long is let in. */
	dws_root_throttle_record_end(&throttle, 0, "a", "deep");
	CU_ASSERT_EQUAL(dws_root_throttle_admitted_share(
				&throttle, 60 * DWS_US_PER_S, "a"),
			1.0);
	dws_root_throttle_finish(&throttle);
}

/* Where a part of the roots fails below, the share settles between. */
static void test_settles_where_few_are_turned_away(void)
{
	dws_root_throttle_t throttle;
	GRand *random = g_rand_new_with_seed(5);
	int turned_away = 0;
	int let_in = 0;

	dws_root_throttle_init(&throttle);
	for (int i = 0; i < 20000; i++) {
		double admitted = share(&throttle, "a");

		if (g_rand_double(random) > admitted)
			continue;
		/* The service has room for half of what is asked. */
		bool crowded = g_rand_double(random) > 0.5 / admitted;

		let_in += i > 2000;
		turned_away += i > 2000 && crowded;
		dws_root_throttle_record_end(&throttle, 0, "a",
					     crowded ? "deep" : "");
	}
	CU_ASSERT(turned_away < let_in / 4);
	CU_ASSERT(let_in > 18000 * 0.4);
	g_rand_free(random);
	dws_root_throttle_finish(&throttle);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"shared", test_routes_to_a_crowded_service_share_its_gate},
		{"closes", test_closes_and_opens},
		{"settles", test_settles_where_few_are_turned_away},
		{NULL, NULL},
	};

	return suite_main("root_gate", tests);
}
