/*
 * A request that was answered with the outcome not-run is never executed, and
 * each complete answer belongs to its own request, also under overload and
 * while a daemon drains.
 */
#include <CUnit/CUnit.h>
#include <signal.h>
#include <string.h>

#include "support/site.h"

#define BURST 60
#define DAEMON_SETTINGS                                                        \
	"probe_interval_ms: 100\nmax_queue: 4\nmax_held: 4\nupstream_slots: "  \
	"2\n"

typedef struct burst {
	site_pending_request_t *tasks[BURST];
	char *targets[BURST];
	int complete, not_run, other;
} burst_t;

/* Sends browse and deposit requests concurrently, each to its own target. */
static void send_burst(burst_t *burst, const site_vm_t *vm)
{
	for (int i = 0; i < BURST; i++) {
		bool is_payment = i % 2;
		char *customer = g_strdup_printf("customer-%d", i);
		char *ticket;

		burst->targets[i] =
			g_strdup_printf("/deposits/%s?order=%s-%d",
					is_payment ? "pay" : "list", vm->id, i);
		ticket = is_payment ? site_get_ticket(vm, burst->targets[i])
				    : NULL;
		burst->tasks[i] =
			site_call_async(vm, is_payment ? "POST" : "GET",
					burst->targets[i], customer, ticket);
		g_free(customer);
		g_free(ticket);
	}
}

/* Checks every answer against the execution records. */
static void check_burst(burst_t *burst, const site_t *site)
{
	for (int i = 0; i < BURST; i++) {
		http_exchange_t answer;

		site_await_answer(burst->tasks[i], &answer);
		int starts =
			site_count_events(site, "start", burst->targets[i]);

		if (site_has_outcome(&answer, "complete")) {
			burst->complete++;
			CU_ASSERT(site_is_complete(&answer, burst->targets[i]));
			CU_ASSERT(starts >= 1);
		} else if (site_has_outcome(&answer, "not-run")) {
			burst->not_run++;
			CU_ASSERT_EQUAL(starts, 0);
		} else {
			burst->other++;
			printf("%s: %ld %s\n", burst->targets[i], answer.status,
			       http_header(&answer, "dogwoodshift-reason"));
		}
		CU_ASSERT(i % 2 == 0 || starts <= 1);
		http_free(&answer);
		g_free(burst->targets[i]);
	}
	printf("complete=%d not_run=%d other=%d ", burst->complete,
	       burst->not_run, burst->other);
}

/* Raises the timeouts to 60 s, so that a slow machine changes no outcome. */
static void raise_timeouts(site_t *site)
{
	int64_t deadline = 0;

	site_post_platform(
		site, "entry",
		"base_version: 1\npatch: {kinds: {browse-receipts: "
		"{timeout_ms: 60000}, pay-deposit: {timeout_ms: 60000}}}");
	for (guint i = 0; i < site->vms->len; i++) {
		const site_vm_t *vm = g_ptr_array_index(site->vms, i);

		while (site_get_number(vm, "status", "version") < 2 &&
		       site_poll(&deadline))
			;
	}
}

static void test_overload(void)
{
	site_t *site = site_new("examples/trinacria.yaml");
	site_vm_t *vm = site_add(site, "one", "a", "deposits", "--fixed",
				 DAEMON_SETTINGS);
	burst_t burst = {.complete = 0};

	CU_ASSERT_FATAL(site_start(site));
	raise_timeouts(site);
	site_control_upstream(vm, "service_ms=200&slots=2");
	send_burst(&burst, vm);
	check_burst(&burst, site);
	CU_ASSERT(burst.complete > 0 && burst.not_run > 0);
	CU_ASSERT_EQUAL(burst.other, 0);
	site_free(site);
}

/*
 * The upstream sheds requests that exceed its own queue and marks them as
 * not run. Requests that are still in that queue at their deadline have an
 * unknown outcome.
 */
static void test_upstream_sheds(void)
{
	site_t *site = site_new("examples/trinacria.yaml");
	site_vm_t *vm = site_add(site, "one", "a", "deposits", "--fixed",
				 "probe_interval_ms: 100\npolicy: none\n");
	burst_t burst = {.complete = 0};

	CU_ASSERT_FATAL(site_start(site));
	site_control_upstream(vm, "service_ms=200&slots=1&queue=1");
	send_burst(&burst, vm);
	check_burst(&burst, site);
	CU_ASSERT(burst.complete > 0 && burst.not_run > 0);
	site_free(site);
}

/*
 * On SIGTERM a daemon completes the requests in flight, those of its own
 * callers as well as those that another daemon forwards to it.
 */
static void test_drain(void)
{
	site_t *site = site_new("examples/trinacria.yaml");
	site_vm_t *entry = site_add(site, "entry", "a", "bookings", "--fixed",
				    "probe_interval_ms: 100\n");
	site_vm_t *leaving = site_add(site, "leaving", "a", "deposits",
				      "--fixed", "probe_interval_ms: 100\n");
	burst_t forwarded = {.complete = 0}, direct = {.complete = 0};
	int64_t deadline = 0;

	CU_ASSERT_FATAL(site_start(site));
	raise_timeouts(site);
	site_control_upstream(leaving, "service_ms=300&slots=20");
	send_burst(&forwarded, entry);
	send_burst(&direct, leaving);
	while (site_count_events(site, "start", direct.targets[BURST - 1]) ==
		       0 &&
	       site_poll(&deadline))
		;
	CU_ASSERT_EQUAL(site_process_terminate(&leaving->daemon), 0);
	check_burst(&forwarded, site);
	check_burst(&direct, site);
	CU_ASSERT_EQUAL(direct.other, 0);
	CU_ASSERT_EQUAL(forwarded.other, 0);
	CU_ASSERT(direct.complete > 0 && forwarded.complete > 0);
	site_free(site);
}

static bool knows_leaving_member(const site_vm_t *vm)
{
	char *members = site_get_admin_page(vm, "members");
	bool leaving = strstr(members, "\"leaving\"") != NULL;

	g_free(members);
	return leaving;
}

/*
 * Once a daemon is known to drain, new requests are routed to other VMs
 * without a retry, although the platform's list still contains its VM.
 */
static void test_draining_vm_gets_no_requests(void)
{
	site_t *site = site_new("examples/trinacria.yaml");
	site_vm_t *entry = site_add(site, "entry", "a", "bookings", "--fixed",
				    "probe_interval_ms: 100\n");
	site_vm_t *leaving = site_add(site, "leaving", "a", "deposits",
				      "--fixed", "probe_interval_ms: 100\n");
	http_exchange_t answer;
	site_pending_request_t *slow;
	int64_t deadline = 0, retries;

	site_add(site, "staying", "b", "deposits", "--fixed",
		 "probe_interval_ms: 100\n");
	CU_ASSERT_FATAL(site_start(site));
	raise_timeouts(site);
	site_control_upstream(leaving, "service_ms=2000");
	slow = site_call_async(leaving, "GET", "/deposits/slow?order=0",
			       "hotel-etna", NULL);
	while (site_count_events(site, "start", "/deposits/slow?order=0") ==
		       0 &&
	       site_poll(&deadline))
		;
	kill(leaving->daemon.pid, SIGTERM);
	while (!knows_leaving_member(entry) && site_poll(&deadline))
		;
	retries = site_get_number(entry, "counters", "\nretries");
	for (int i = 1; i <= 10; i++) {
		char *target = g_strdup_printf("/deposits/list?order=%d", i);

		site_call(&answer, entry, "GET", target, "hotel-etna", NULL);
		CU_ASSERT(site_is_complete(&answer, target));
		http_free(&answer);
		g_free(target);
	}
	site_await_answer(slow, &answer);
	CU_ASSERT(site_is_complete(&answer, "/deposits/slow?order=0"));
	http_free(&answer);
	CU_ASSERT_EQUAL(site_get_number(entry, "counters", "\nretries"),
			retries);
	CU_ASSERT_EQUAL(site_process_wait(&leaving->daemon), 0);
	site_free(site);
}

/*
 * A VM that is known only from the platform's list may be down. A
 * non-idempotent request isn't sent there, so its outcome is certain: not-run.
 */
static void test_vm_known_only_from_list(void)
{
	site_t *site = site_new("examples/trinacria.yaml");
	site_vm_t *entry = site_add(site, "entry", "a", "bookings", "--fixed",
				    "probe_interval_ms: 1000\n");
	site_vm_t *dead = site_add(site, "dead", "a", "deposits", "--fixed",
				   "probe_interval_ms: 1000\n");
	const char *target = "/deposits/pay?order=unknown";
	http_exchange_t answer;
	int64_t deadline = 0;

	CU_ASSERT_FATAL(site_start(site));
	site_process_kill(&dead->daemon);
	site_process_kill(&entry->daemon);
	CU_ASSERT_FATAL(site_start_daemon(entry));
	char *ticket = site_get_ticket(entry, target);

	site_call(&answer, entry, "POST", target, "ada", ticket);
	CU_ASSERT(site_has_outcome(&answer, "not-run"));
	http_free(&answer);
	g_free(ticket);
	while (site_get_number(entry, "status", "\"requests\"") != 0 &&
	       site_poll(&deadline))
		;
	CU_ASSERT_EQUAL(site_get_number(entry, "status", "\"requests\""), 0);
	CU_ASSERT_FATAL(site_start_daemon(dead));
	ticket = site_get_ticket(entry, target);
	site_call(&answer, entry, "POST", target, "ada", ticket);
	CU_ASSERT(site_is_complete(&answer, target));
	CU_ASSERT_EQUAL(site_count_events(site, "start", target), 1);
	http_free(&answer);
	g_free(ticket);
	site_free(site);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"overload", test_overload},
		{"upstream sheds", test_upstream_sheds},
		{"drain", test_drain},
		{"VM known only from the list", test_vm_known_only_from_list},
		{"draining VM", test_draining_vm_gets_no_requests},
		{NULL, NULL},
	};

	return site_main("not run", tests);
}
