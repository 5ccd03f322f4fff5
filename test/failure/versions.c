/*
 * Configuration versions: all daemons accept a patch or all reject it, and an
 * accepted version is never replaced by an older one. Each side of a partition
 * continues to serve, and a planned slowdown applies only to customers who
 * were called beforehand.
 */
#include <CUnit/CUnit.h>

#include "support/site.h"

#define DAEMON_SETTINGS "probe_interval_ms: 100\n"
#define SLOWDOWN_MS 2000

/* Starts a site of two availability zones, each with one VM of deposits. */
static site_t *start_two_zones(site_vm_t **vms)
{
	site_t *site = site_new("examples/trinacria.yaml");

	vms[0] = site_add(site, "vm-a", "a", "deposits", "--fixed",
			  DAEMON_SETTINGS);
	vms[1] = site_add(site, "vm-b", "b", "deposits", "--fixed",
			  DAEMON_SETTINGS);
	CU_ASSERT_FATAL(site_start(site));
	return site;
}

/* Waits until a daemon has read a sequence number; false on timeout. */
static bool wait_sequence(const site_vm_t *vm, int64_t sequence)
{
	int64_t deadline = 0;

	while (site_get_number(vm, "status", "sequence") < sequence)
		if (!site_poll(&deadline))
			return false;
	return true;
}

static void check_version(const site_vm_t *vm, int64_t sequence,
			  int64_t version)
{
	CU_ASSERT(wait_sequence(vm, sequence));
	CU_ASSERT_EQUAL(site_get_number(vm, "status", "sequence"), sequence);
	CU_ASSERT_EQUAL(site_get_number(vm, "status", "version"), version);
}

static void test_racing_patches(void)
{
	site_vm_t *vms[2];
	site_t *site = start_two_zones(vms);

	site_post_platform(site, "entry",
			   "base_version: 1\n"
			   "patch: {limits: {customer_retries_per_min: 50}}\n");
	site_post_platform(site, "entry",
			   "base_version: 1\n"
			   "patch: {limits: {customer_retries_per_min: 40}}\n");
	for (int i = 0; i < 2; i++) {
		char *document;

		check_version(vms[i], 3, 2);
		document = site_get_admin_page(vms[i], "config");
		CU_ASSERT_PTR_NOT_NULL(
			g_strrstr(document, "customer_retries_per_min: 50"));
		g_free(document);
	}
	site_free(site);
}

/* True if a VM serves browse requests, whose kind version 2 removes. */
static bool serves_first_version(const site_vm_t *vm)
{
	http_exchange_t answer;

	site_call(&answer, vm, "GET", "/deposits/list", "hotel-etna", NULL);
	bool serves = site_has_outcome(&answer, "complete");

	http_free(&answer);
	return serves;
}

/*
 * Before it serves, a restarted daemon also asks its peers for the
 * configuration, so a stale platform can't make it apply an older version,
 * even if a peer answers late. Until this time has passed, it must not serve
 * without an answer of a peer.
 */
#define PEER_WAIT_MIN_US (1000 * 1000LL)

static void test_stale_platform(void)
{
	site_vm_t *vms[2];
	site_t *site = start_two_zones(vms);
	int64_t start_us;

	CU_ASSERT(serves_first_version(vms[0]));
	site_post_platform(site, "entry",
			   "base_version: 1\n"
			   "patch: {kinds: {browse-receipts: null}}\n");
	check_version(vms[0], 2, 2);
	check_version(vms[1], 2, 2);
	site_restart_platform(site);
	site_process_kill(&vms[0]->daemon);
	site_process_pause(&vms[1]->daemon);
	start_us = g_get_monotonic_time();
	site_spawn_daemon(vms[0]);
	while (g_get_monotonic_time() - start_us < PEER_WAIT_MIN_US / 2) {
		bool serves = serves_first_version(vms[0]);

		CU_ASSERT(!serves ||
			  g_get_monotonic_time() - start_us > PEER_WAIT_MIN_US);
		g_usleep(1000);
	}
	site_process_resume(&vms[1]->daemon);
	check_version(vms[0], 2, 2);
	check_version(vms[1], 2, 2);
	CU_ASSERT(!serves_first_version(vms[0]));
	site_free(site);
}

/* Pays a deposit through a VM with a ticket of home; checks the outcome. */
static void check_payment(const site_vm_t *vm, const site_vm_t *home,
			  const char *target, const char *expected)
{
	http_exchange_t answer;
	char *ticket = site_get_ticket(home, target);

	site_call(&answer, vm, "POST", target, "hotel-etna", ticket);
	CU_ASSERT(site_has_outcome(&answer, expected));
	http_free(&answer);
	g_free(ticket);
}

static void test_partition(void)
{
	site_vm_t *vms[2];
	site_t *site = start_two_zones(vms);

	site_set_partition(site, true);
	check_payment(vms[0], vms[0], "/deposits/pay?order=1", "complete");
	check_payment(vms[1], vms[1], "/deposits/pay?order=2", "complete");
	check_payment(vms[1], vms[0], "/deposits/pay?order=3", "unknown");
	CU_ASSERT_EQUAL(
		site_count_events(site, "start", "/deposits/pay?order=3"), 0);
	site_set_partition(site, false);
	CU_ASSERT(site_wait_ready(vms[0]) && site_wait_ready(vms[1]));
	check_payment(vms[1], vms[0], "/deposits/pay?order=4", "complete");
	CU_ASSERT_EQUAL(
		site_count_events(site, "start", "/deposits/pay?order=4"), 1);
	site_free(site);
}

/* Publishes a current slowdown; one of its two customers was called. */
static void publish_slowdown(site_t *site)
{
	GDateTime *now = g_date_time_new_now_utc();
	GDateTime *from = g_date_time_add_hours(now, -1);
	GDateTime *to = g_date_time_add_hours(now, 1);
	char *start = g_date_time_format(from, "%Y-%m-%dT%H:%M:%SZ");
	char *end = g_date_time_format(to, "%Y-%m-%dT%H:%M:%SZ");
	char *entry = g_strdup_printf(
		"base_version: 1\npatch: {slowdowns: {today: {start: \"%s\", "
		"end: \"%s\", added_delay_ms: %d, kinds: [browse-receipts], "
		"customers: [hotel-etna, not-called], called: {hotel-etna: "
		"\"%s/%s/browse-receipts\"}}}}\n",
		start, end, SLOWDOWN_MS, start, end);

	site_post_platform(site, "entry", entry);
	g_free(entry);
	g_free(start);
	g_free(end);
	g_date_time_unref(from);
	g_date_time_unref(to);
	g_date_time_unref(now);
}

/*
 * Sends a request of a customer and returns how many requests the daemon has
 * slowed so far.
 */
static int64_t slowed_after(const site_vm_t *vm, const char *customer)
{
	http_exchange_t answer;

	site_call(&answer, vm, "GET", "/deposits/list?order=1", customer, NULL);
	CU_ASSERT(site_is_complete(&answer, "/deposits/list?order=1"));
	http_free(&answer);
	return site_get_number(vm, "counters", "slowed");
}

static void test_slowdown(void)
{
	site_vm_t *vms[2];
	site_t *site = start_two_zones(vms);

	publish_slowdown(site);
	for (int i = 0; i < 2; i++) {
		check_version(vms[i], 2, 2);
		CU_ASSERT_EQUAL(slowed_after(vms[i], "not-called"), 0);
		CU_ASSERT_EQUAL(slowed_after(vms[i], "not-listed"), 0);
		int64_t start_us = g_get_monotonic_time();

		CU_ASSERT_EQUAL(slowed_after(vms[i], "hotel-etna"), 1);
		CU_ASSERT(g_get_monotonic_time() - start_us >=
			  SLOWDOWN_MS * 1000LL);
	}
	site_free(site);
}

/* The site of the other example starts and serves a browse and an order. */
static void test_second_example(void)
{
	site_t *site = site_new("examples/mithai-samen.yaml");
	site_vm_t *catalogue = site_add(site, "catalogue", "a", "catalogue",
					"--fixed", "probe_interval_ms: 100\n");
	const char *browse = "/catalogue/list?order=1";
	const char *order = "/kitchen/order?order=1";
	http_exchange_t answer;

	site_add(site, "kitchen", "b", "kitchen", "--fixed",
		 "probe_interval_ms: 100\n");
	CU_ASSERT_FATAL(site_start(site));
	site_call(&answer, catalogue, "GET", browse, "ada", NULL);
	CU_ASSERT(site_is_complete(&answer, browse));
	http_free(&answer);
	char *ticket = site_get_ticket(catalogue, order);

	site_call(&answer, catalogue, "POST", order, "ada", ticket);
	CU_ASSERT(site_is_complete(&answer, order));
	CU_ASSERT_EQUAL(site_count_events(site, "start", order), 1);
	http_free(&answer);
	g_free(ticket);
	site_free(site);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"racing patches", test_racing_patches},
		{"stale platform", test_stale_platform},
		{"partition", test_partition},
		{"slowdown", test_slowdown},
		{"second example", test_second_example},
		{NULL, NULL},
	};

	return site_main("versions", tests);
}
