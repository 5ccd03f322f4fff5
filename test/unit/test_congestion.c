/*
 * Unit tests of the congestion of services: the mean of the latest waits, their
 * expiry, and what is passed up a call tree.
 */
#include "request/congestion.h"
#include "support/suite.h"

static void test_mean_of_the_latest_waits(void)
{
	dws_congestion_t congestion;
	int64_t now_us = DWS_US_PER_S;

	dws_congestion_init(&congestion);
	CU_ASSERT_EQUAL(dws_congestion_permille(&congestion, now_us, "s"), 0);
	for (int i = 0; i < 10; i++)
		dws_congestion_record(&congestion, now_us, "s", i < 3 ? 100 : 0,
				      100);
	CU_ASSERT_EQUAL(dws_congestion_permille(&congestion, now_us, "s"), 300);
	CU_ASSERT_EQUAL(dws_congestion_permille(&congestion, now_us, "t"), 0);
	/* A wait counts at most as the tolerated one, and never as negative. */
	dws_congestion_record(&congestion, now_us, "u", 1000, 100);
	dws_congestion_record(&congestion, now_us, "u", -1000, 100);
	CU_ASSERT_EQUAL(dws_congestion_permille(&congestion, now_us, "u"), 500);
	dws_congestion_finish(&congestion);
}

/* Waits leave the mean within 500 ms, with and without later calls. */
static void test_waits_expire(void)
{
	const int64_t start_us = DWS_US_PER_S;
	const int64_t end_us = start_us + 500 * DWS_US_PER_MS;
	dws_congestion_t congestion;

	dws_congestion_init(&congestion);
	dws_congestion_record(&congestion, start_us, "s", 100, 100);
	dws_congestion_record(&congestion, start_us, "t", 100, 100);
	CU_ASSERT_EQUAL(dws_congestion_permille(&congestion, start_us, "s"),
			1000);
	CU_ASSERT_EQUAL(dws_congestion_permille(&congestion, end_us, "s"), 0);
	for (int64_t now_us = start_us; now_us <= end_us;
	     now_us += 50 * DWS_US_PER_MS)
		dws_congestion_record(&congestion, now_us, "t", 0, 100);
	CU_ASSERT_EQUAL(dws_congestion_permille(&congestion, end_us, "t"), 0);
	dws_congestion_finish(&congestion);
}

/* Names of services are bounded, as peers send them. */
static void test_many_services(void)
{
	dws_congestion_t congestion;

	dws_congestion_init(&congestion);
	for (int i = 0; i < 5000; i++) {
		char service[32];

		g_snprintf(service, sizeof(service), "service-%d", i);
		dws_congestion_record(&congestion, DWS_US_PER_S, service, 1, 1);
		CU_ASSERT_EQUAL(dws_congestion_permille(&congestion,
							DWS_US_PER_S, service),
				1000);
	}
	CU_ASSERT(g_hash_table_size(congestion.services) <= 1024);
	dws_congestion_finish(&congestion);
}

static void test_merged_reports(void)
{
	dws_congestion_report_t report = {.service = "a", .permille = 200};
	const dws_congestion_report_t lower = {
		.service = "b", .permille = 100, .call_refused = true};
	const dws_congestion_report_t higher = {.service = "c",
						.permille = 300};

	dws_congestion_report_merge(&report, &lower);
	CU_ASSERT_STRING_EQUAL(report.service, "a");
	CU_ASSERT_EQUAL(report.permille, 200);
	CU_ASSERT_TRUE(report.call_refused);
	dws_congestion_report_merge(&report, &higher);
	CU_ASSERT_STRING_EQUAL(report.service, "c");
	CU_ASSERT_EQUAL(report.permille, 300);
	CU_ASSERT_TRUE(report.call_refused);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"mean", test_mean_of_the_latest_waits},
		{"expiry", test_waits_expire},
		{"many services", test_many_services},
		{"merged reports", test_merged_reports},
		{NULL, NULL},
	};

	return suite_main("congestion", tests);
}
