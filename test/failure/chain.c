/*
 * In a chain of nested calls, each non-idempotent call is executed at most
 * once and the retries of one customer request stay within its retry budget,
 * even if the upstreams retry too.
 */
#include <CUnit/CUnit.h>

#include "support/site.h"

#define DAEMON_SETTINGS "probe_interval_ms: 100\n"
#define BOOKING "/bookings/confirm?order=1"
#define CALENDAR "/portfolios/calendar?order=1"
#define DEPOSIT "/deposits/pay?order=1"
/* The first call plus the retry budget of confirm-booking. */
#define CALENDAR_STARTS_MAX (1 + 4)
#define NESTED_OPTIONS                                                         \
	"--fixed|--nested|POST /bookings/confirm="                             \
	"GET /portfolios/calendar,POST /deposits/pay|--nested-retries=10"

typedef struct chain {
	site_t *site;
	site_vm_t *bookings, *portfolios, *deposits;
} chain_t;

static void start_chain(chain_t *chain, const char *bookings)
{
	chain->site = site_new("examples/trinacria.yaml");
	chain->bookings = site_add(chain->site, "bookings", "a", "bookings",
				   bookings, DAEMON_SETTINGS);
	chain->portfolios = site_add(chain->site, "portfolios", "b",
				     "portfolios", "--fixed", DAEMON_SETTINGS);
	chain->deposits = site_add(chain->site, "deposits", "c", "deposits",
				   "--fixed", DAEMON_SETTINGS);
	CU_ASSERT_FATAL(site_start(chain->site));
}

/* Sends a booking several times with the same ticket. */
static void send_booking(const chain_t *chain, int tries)
{
	char *ticket = site_get_ticket(chain->bookings, BOOKING);

	for (int i = 0; i < tries; i++) {
		http_exchange_t answer;

		site_call(&answer, chain->bookings, "POST", BOOKING,
			  "hotel-etna", ticket);
		http_free(&answer);
	}
	g_free(ticket);
}

static int count_starts(const chain_t *chain, const char *target)
{
	return site_count_events(chain->site, "start", target);
}

static void test_without_faults(void)
{
	chain_t chain;

	start_chain(&chain, NESTED_OPTIONS);
	send_booking(&chain, 3);
	CU_ASSERT_EQUAL(count_starts(&chain, BOOKING), 1);
	CU_ASSERT_EQUAL(count_starts(&chain, CALENDAR), 1);
	CU_ASSERT_EQUAL(count_starts(&chain, DEPOSIT), 1);
	site_free(chain.site);
}

/* All answers of deposits are lost; the upstream of bookings retries. */
static void check_lost_deposit(const char *bookings)
{
	chain_t chain;

	start_chain(&chain, bookings);
	site_control_upstream(chain.deposits, "close=after");
	send_booking(&chain, 3);
	CU_ASSERT_EQUAL(count_starts(&chain, BOOKING), 1);
	CU_ASSERT_EQUAL(count_starts(&chain, DEPOSIT), 1);
	site_free(chain.site);
}

static void test_lost_deposit_with_keys(void)
{
	check_lost_deposit(NESTED_OPTIONS "|--nested-keys");
}

static void test_lost_deposit_without_keys(void)
{
	check_lost_deposit(NESTED_OPTIONS);
}

/* All answers of the calendar are lost, so every hop tries to retry. */
static void test_retry_budget(void)
{
	chain_t chain;

	start_chain(&chain, NESTED_OPTIONS);
	site_control_upstream(chain.portfolios, "close=after");
	send_booking(&chain, 3);
	printf("calendar=%d ", count_starts(&chain, CALENDAR));
	CU_ASSERT(count_starts(&chain, CALENDAR) >= 1);
	CU_ASSERT(count_starts(&chain, CALENDAR) <= CALENDAR_STARTS_MAX);
	CU_ASSERT_EQUAL(count_starts(&chain, BOOKING), 1);
	CU_ASSERT_EQUAL(count_starts(&chain, DEPOSIT), 0);
	site_free(chain.site);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"no faults", test_without_faults},
		{"lost deposit, keys", test_lost_deposit_with_keys},
		{"lost deposit, no keys", test_lost_deposit_without_keys},
		{"retry budget", test_retry_budget},
		{NULL, NULL},
	};

	return site_main("chain", tests);
}
