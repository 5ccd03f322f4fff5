/*
 * Every public enumeration value has a name of its own.
 */
#include <CUnit/Basic.h>
#include "dogwoodshift.h"

static void test_reasons_are_named_apart(void)
{
	for (int a = 0; a < DWS_REASON_COUNT; a++) {
		for (int b = 0; b < a; b++)
			CU_ASSERT_STRING_NOT_EQUAL(dws_reason_name(a),
						   dws_reason_name(b));
	}
	CU_ASSERT_STRING_EQUAL(dws_reason_name(DWS_REASON_COUNT),
			       "unknown-value");
}

int main(void)
{
	CU_initialize_registry();
	CU_pSuite suite = CU_add_suite("names", NULL, NULL);

	CU_add_test(suite, "reasons", test_reasons_are_named_apart);
	CU_basic_run_tests();
	unsigned int failures = CU_get_number_of_failures();

	CU_cleanup_registry();
	return failures ? 1 : 0;
}
