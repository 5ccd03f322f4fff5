/*
 * Runs the CUnit tests of one program.
 */
#ifndef DWS_TEST_SUPPORT_SUITE_H
#define DWS_TEST_SUPPORT_SUITE_H

#include <CUnit/Basic.h>

typedef struct suite_test {
	const char *name;
	void (*run)(void);
} suite_test_t;

/*
 * Runs the tests up to the first entry with a NULL name; returns the exit
 * status of the program.
 */
int suite_main(const char *name, const suite_test_t *tests);

#endif
