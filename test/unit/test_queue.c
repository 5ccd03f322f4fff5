/*
 * Unit test of weighted sharing among kinds of the same priority.
 */
#include "request/queue.h"
#include "support/suite.h"

/* A backlog of one kind must not reduce the share of a kind of higher worth. */
static void test_shares_are_proportional_to_worth(void)
{
	dws_queue_t *queue = dws_queue_new(100);
	dws_queue_item_t item = {.deadline_us = DWS_NEVER_US};
	uint32_t starts[2] = {0};
	uint64_t displaced;

	for (item.id = 1; item.id <= 100; item.id++) {
		item.kind = item.id > 80;
		item.weight = item.kind == 1 ? 3 : 1;
		CU_ASSERT_TRUE(dws_queue_push(queue, &item, &displaced));
	}
	for (int i = 0; i < 24; i++) {
		CU_ASSERT_TRUE(dws_queue_pop(queue, &item));
		starts[item.kind]++;
	}
	CU_ASSERT_EQUAL(starts[0], 6);
	CU_ASSERT_EQUAL(starts[1], 18);
	dws_queue_free(queue);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"shares", test_shares_are_proportional_to_worth},
		{NULL, NULL},
	};

	return suite_main("queue", tests);
}
