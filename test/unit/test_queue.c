/*
 * Shares and displacement among kinds of one priority, on examples.
 */
#include <CUnit/Basic.h>
#include "request/queue.h"

#define CAPACITY 100

static uint64_t push(dws_queue_t *queue, uint64_t id, uint32_t kind,
		     uint8_t priority, uint32_t worth)
{
	dws_queue_item_t item = {
		.id = id,
		.kind = kind,
		.priority = priority,
		.worth = worth,
		.deadline_us = (int64_t)id * DWS_US_PER_MS,
	};
	uint64_t displaced;

	return dws_queue_push(queue, &item, &displaced) ? displaced
							: UINT64_MAX;
}

/* A flood of one kind leaves another kind its share by worth. */
static void test_shares_follow_worth(void)
{
	dws_queue_t *queue = dws_queue_new(CAPACITY);
	dws_queue_item_t item;
	uint32_t starts[2] = {0};

	for (uint64_t id = 1; id <= 80; id++)
		push(queue, id, 0, 1, 1);
	for (uint64_t id = 81; id <= 100; id++)
		push(queue, id, 1, 1, 3);
	for (int i = 0; i < 24; i++) {
		CU_ASSERT_TRUE(dws_queue_pop(queue, &item));
		starts[item.kind]++;
	}
	CU_ASSERT_EQUAL(starts[0], 6);
	CU_ASSERT_EQUAL(starts[1], 18);
	dws_queue_free(queue);
}

/* Running empty and coming back does not renew a kind's share. */
static void test_share_is_remembered(void)
{
	dws_queue_t *queue = dws_queue_new(CAPACITY);
	dws_queue_item_t item;
	uint32_t starts[2] = {0};
	bool waits = false;

	for (uint64_t id = 1; id <= 50; id++)
		push(queue, id, 0, 1, 1);
	dws_queue_pop(queue, &item);
	for (uint64_t id = 101; id <= 140; id++) {
		if (!waits)
			push(queue, id, 1, 1, 1);
		CU_ASSERT_TRUE(dws_queue_pop(queue, &item));
		starts[item.kind]++;
		waits = item.kind == 0;
	}
	CU_ASSERT_TRUE(starts[0] >= 19 && starts[0] <= 21);
	dws_queue_free(queue);
}

/* A kind below its share displaces the newest of the kind above its own. */
static void test_flooding_kind_is_displaced(void)
{
	dws_queue_t *queue = dws_queue_new(4);

	for (uint64_t id = 1; id <= 4; id++)
		push(queue, id, 0, 1, 2);
	CU_ASSERT_EQUAL(push(queue, 5, 1, 1, 2), 4);
	CU_ASSERT_EQUAL(push(queue, 6, 1, 1, 2), 3);
	CU_ASSERT_EQUAL(push(queue, 7, 1, 1, 2), UINT64_MAX);
	CU_ASSERT_EQUAL(push(queue, 8, 0, 1, 2), UINT64_MAX);
	dws_queue_free(queue);
}

int main(void)
{
	CU_initialize_registry();
	CU_pSuite suite = CU_add_suite("queue", NULL, NULL);

	CU_add_test(suite, "shares", test_shares_follow_worth);
	CU_add_test(suite, "share remembered", test_share_is_remembered);
	CU_add_test(suite, "flooding kind", test_flooding_kind_is_displaced);
	CU_basic_run_tests();
	unsigned int failures = CU_get_number_of_failures();

	CU_cleanup_registry();
	return failures ? 1 : 0;
}
