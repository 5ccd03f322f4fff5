/*
 * Unit tests of the names of reasons and losses: each value has its own.
 */
#include "dogwoodshift.h"
#include "support/suite.h"

static void test_reason_names_are_unique(void)
{
	for (int a = 0; a < DWS_REASON_COUNT; a++) {
		for (int b = 0; b < a; b++)
			CU_ASSERT_STRING_NOT_EQUAL(dws_reason_name(a),
						   dws_reason_name(b));
	}
	CU_ASSERT_STRING_EQUAL(dws_reason_name(DWS_REASON_COUNT),
			       "unknown-value");
}

static void test_loss_names_are_unique(void)
{
	for (int a = 0; a < DWS_LOSS_COUNT; a++) {
		for (int b = 0; b < a; b++)
			CU_ASSERT_STRING_NOT_EQUAL(dws_loss_name(a),
						   dws_loss_name(b));
	}
	CU_ASSERT_STRING_EQUAL(dws_loss_name(DWS_LOSS_COUNT), "unknown-value");
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"reasons", test_reason_names_are_unique},
		{"losses", test_loss_names_are_unique},
		{NULL, NULL},
	};

	return suite_main("names", tests);
}
