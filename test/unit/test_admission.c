/*
 * Unit test of dropping a queued request that has too little time left for its
 * kind.
 */
#include "request/admission.h"
#include "support/suite.h"

#define SERVICE_TIME_US (10 * DWS_US_PER_MS)
#define TIMEOUT_US (100 * DWS_US_PER_MS)
#define SAMPLES 50

static bool offer(dws_admission_t *admission, int64_t now_us, uint64_t id)
{
	dws_queue_item_t item = {.id = id,
				 .weight = 1,
				 .enqueued_us = now_us,
				 .deadline_us = now_us + TIMEOUT_US};
	uint64_t displaced;

	return dws_admission_enqueue(admission, now_us, &item, &displaced);
}

/*
 * If requests of a kind always take 10 ms, a queued one is dropped 10 ms before
 * its deadline.
 */
static void test_request_without_enough_time_is_dropped(void)
{
	dws_admission_t admission;
	dws_queue_item_t item;
	int64_t now_us = 1;

	dws_admission_init(&admission, "fixed", 1, 4);
	for (uint64_t id = 1; id <= SAMPLES; id++) {
		offer(&admission, now_us, id);
		dws_admission_dequeue(&admission, now_us, &item);
		now_us += SERVICE_TIME_US;
		dws_admission_end(&admission, now_us, id, SERVICE_TIME_US,
				  false);
	}
	offer(&admission, now_us, SAMPLES + 1);
	dws_admission_dequeue(&admission, now_us, &item);
	dws_admission_end(&admission, now_us, SAMPLES + 1, 0, false);
	CU_ASSERT_TRUE(offer(&admission, now_us, SAMPLES + 2));
	CU_ASSERT_EQUAL(dws_admission_next_expiry_us(&admission),
			now_us + TIMEOUT_US - SERVICE_TIME_US);
	dws_admission_finish(&admission);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"dropped", test_request_without_enough_time_is_dropped},
		{NULL, NULL},
	};

	return suite_main("admission", tests);
}
