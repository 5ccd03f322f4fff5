/*
 * Runs the CUnit tests of one program.
 */
#include "support/suite.h"

/* Runs tests in order; returns 1 if any assertion failed. */
int suite_main(const char *name, const suite_test_t *tests)
{
	CU_initialize_registry();
	CU_pSuite suite = CU_add_suite(name, NULL, NULL);

	for (; tests->name; tests++)
		CU_add_test(suite, tests->name, tests->run);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	unsigned int failures = CU_get_number_of_failures();

	CU_cleanup_registry();
	return failures ? 1 : 0;
}
