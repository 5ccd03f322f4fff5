/*
 * What a queued request is given up for: too little time for its kind.
 */
#include "request/admission.h"
#include "support/suite.h"

#define RUN_US (10 * DWS_US_PER_MS)
#define TIMEOUT_US (100 * DWS_US_PER_MS)
#define RUNS 50

static bool offer(dws_admission_t *admission, int64_t now_us, uint64_t id)
{
	dws_queue_item_t item = {.id = id,
				 .weight = 1,
				 .enqueued_us = now_us,
				 .deadline_us = now_us + TIMEOUT_US};
	uint64_t displaced;

	return dws_admission_enqueue(admission, now_us, &item, &displaced);
}

/* A kind that always takes 10 ms is given up 10 ms before its deadline. */
static void test_request_is_given_up_early(void)
{
	dws_admission_t admission;
	dws_queue_item_t item;
	int64_t now_us = 1;

	dws_admission_init(&admission, "fixed", 1, 4);
	for (uint64_t id = 1; id <= RUNS; id++) {
		offer(&admission, now_us, id);
		dws_admission_dequeue(&admission, now_us, &item);
		now_us += RUN_US;
		dws_admission_end(&admission, now_us, id, RUN_US, false);
	}
	offer(&admission, now_us, RUNS + 1);
	dws_admission_dequeue(&admission, now_us, &item);
	dws_admission_end(&admission, now_us, RUNS + 1, 0, false);
	CU_ASSERT_TRUE(offer(&admission, now_us, RUNS + 2));
	CU_ASSERT_EQUAL(dws_admission_next_expiry_us(&admission),
			now_us + TIMEOUT_US - RUN_US);
	dws_admission_finish(&admission);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"given up", test_request_is_given_up_early},
		{NULL, NULL},
	};

	return suite_main("admission", tests);
}
