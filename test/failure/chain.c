/*
 * Along a chain of services, executions of non-idempotent calls stay single
 * and retries of one customer request stay within its budget, also when the
 * upstreams retry by themselves.
 */
#include <CUnit/CUnit.h>

#include "support/site.h"

#define PROBES "probe_interval_ms: 100\n"
#define BOOKING "/bookings/confirm?order=1"
#define CALENDAR "/portfolios/calendar?order=1"
#define DEPOSIT "/deposits/pay?order=1"
/* One call, and the retry budget of confirm-booking. */
#define CALENDAR_STARTS_MAX (1 + 4)
#define NESTED                                                                 \
	"--fixed|--nested|POST /bookings/confirm="                             \
	"GET /portfolios/calendar,POST /deposits/pay|--nested-retries=10"

typedef struct chain {
	site_t *site;
	site_vm_t *bookings, *portfolios, *deposits;
} chain_t;

static void begin(chain_t *chain, const char *bookings)
{
	chain->site = site_new("examples/trinacria.yaml");
	chain->bookings = site_add(chain->site, "bookings", "a", "bookings",
				   bookings, PROBES);
	chain->portfolios = site_add(chain->site, "portfolios", "b",
				     "portfolios", "--fixed", PROBES);
	chain->deposits = site_add(chain->site, "deposits", "c", "deposits",
				   "--fixed", PROBES);
	CU_ASSERT_FATAL(site_start(chain->site));
}

/* Confirms a booking; its customer retries with the same ticket. */
static void confirm(const chain_t *chain, int tries)
{
	char *ticket = site_ticket(chain->bookings, BOOKING);

	for (int i = 0; i < tries; i++) {
		http_exchange_t answer;

		site_call(&answer, chain->bookings, "POST", BOOKING,
			  "hotel-etna", ticket);
		http_finish(&answer);
	}
	g_free(ticket);
}

static int starts(const chain_t *chain, const char *target)
{
	return site_count(chain->site, "start", target);
}

static void test_whole(void)
{
	chain_t chain;

	begin(&chain, NESTED);
	confirm(&chain, 3);
	CU_ASSERT_EQUAL(starts(&chain, BOOKING), 1);
	CU_ASSERT_EQUAL(starts(&chain, CALENDAR), 1);
	CU_ASSERT_EQUAL(starts(&chain, DEPOSIT), 1);
	site_free(chain.site);
}

/* All answers of deposits are lost; the booking's upstream retries. */
static void lose_deposits(const char *bookings)
{
	chain_t chain;

	begin(&chain, bookings);
	site_upstream(chain.deposits, "close=after");
	confirm(&chain, 3);
	CU_ASSERT_EQUAL(starts(&chain, BOOKING), 1);
	CU_ASSERT_EQUAL(starts(&chain, DEPOSIT), 1);
	site_free(chain.site);
}

static void test_lost_deposit_with_keys(void)
{
	lose_deposits(NESTED "|--nested-keys");
}

static void test_lost_deposit_without_keys(void)
{
	lose_deposits(NESTED);
}

/* All answers of the calendar are lost; every hop would like to retry. */
static void test_retry_budget(void)
{
	chain_t chain;

	begin(&chain, NESTED);
	site_upstream(chain.portfolios, "close=after");
	confirm(&chain, 3);
	printf("calendar=%d ", starts(&chain, CALENDAR));
	CU_ASSERT(starts(&chain, CALENDAR) >= 1);
	CU_ASSERT(starts(&chain, CALENDAR) <= CALENDAR_STARTS_MAX);
	CU_ASSERT_EQUAL(starts(&chain, BOOKING), 1);
	CU_ASSERT_EQUAL(starts(&chain, DEPOSIT), 0);
	site_free(chain.site);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"whole", test_whole},
		{"lost deposit, keys", test_lost_deposit_with_keys},
		{"lost deposit, no keys", test_lost_deposit_without_keys},
		{"retry budget", test_retry_budget},
		{NULL, NULL},
	};

	return site_main("chain", tests);
}
