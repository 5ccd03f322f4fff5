/*
 * Membership: joining, failure, refutation, leaving, replacement, partitions,
 * the platform's list, hostile datagrams and the cost of it all, on a clock
 * of the test.
 */
#include <CUnit/Basic.h>
#include <string.h>
#include "connection/wire.pb-c.h"
#include "support/membership_fleet.h"

#define WALL_MS 1000000
#define S DWS_US_PER_S

/* A fleet that runs, each process of epoch 100 plus its index. */
static fleet_t *start_fleet(guint count, guint zones, bool listed)
{
	fleet_t *fleet = fleet_new(count, zones);

	for (guint i = 0; i < count; i++)
		fleet_start(fleet, i, 100 + i, WALL_MS);
	if (listed)
		fleet_offer_list(fleet, 1);
	return fleet;
}

/* True if every running process sees every running one alive. */
static bool all_see_all(fleet_t *fleet, guint running)
{
	for (guint i = 0; i < fleet->nodes->len; i++) {
		if (fleet_node(fleet, i)->membership &&
		    fleet_count(fleet, i, DWS_MEMBER_ALIVE) != running)
			return false;
	}
	return true;
}

static bool await_all(fleet_t *fleet, guint running, int64_t most_us)
{
	int64_t until_us = fleet->now_us + most_us;

	while (!all_see_all(fleet, running) && fleet->now_us < until_us)
		fleet_run(fleet, FLEET_STEP_US);
	return all_see_all(fleet, running);
}

static void test_joins_by_one_seed_despite_losses(void)
{
	fleet_t *fleet = start_fleet(20, 3, false);

	fleet->drop_percent = 10;
	CU_ASSERT(await_all(fleet, 20, 60 * S));
	fleet_free(fleet);
}

static void test_failed_member_dies_and_returns(void)
{
	fleet_t *fleet = start_fleet(20, 3, true);

	CU_ASSERT(await_all(fleet, 20, 60 * S));
	fleet_run(fleet, 25 * S);
	fleet_stop(fleet, 7);
	CU_ASSERT(fleet_await(fleet, 7, DWS_MEMBER_SUSPECT, 10, 10 * S));
	CU_ASSERT(fleet_await(fleet, 7, DWS_MEMBER_DEAD, 19, 30 * S));
	fleet_start(fleet, 7, 777, WALL_MS + 50000);
	CU_ASSERT(await_all(fleet, 20, 30 * S));
	const dws_member_t *member =
		dws_membership_find(fleet_node(fleet, 3)->membership, "vm-7");

	CU_ASSERT_EQUAL(member->epoch, 777);
	fleet_free(fleet);
}

static void test_suspect_refutes_and_paused_process_blames_nobody(void)
{
	fleet_t *fleet = start_fleet(12, 3, true);

	CU_ASSERT(await_all(fleet, 12, 60 * S));
	fleet_run(fleet, 25 * S);
	fleet_node_t *paused = fleet_node(fleet, 5);
	uint64_t before = dws_membership_self(paused->membership)->incarnation;

	/* It falls asleep while it waits for an answer. */
	uint64_t sent = paused->datagrams_sent;
	int64_t tick_us = paused->next_tick_us;

	while (paused->next_tick_us == tick_us ||
	       paused->datagrams_sent == sent)
		fleet_run(fleet, FLEET_STEP_US);
	paused->paused = true;
	CU_ASSERT(fleet_await(fleet, 5, DWS_MEMBER_SUSPECT, 11, 20 * S));
	paused->paused = false;
	fleet_run(fleet, FLEET_STEP_US);
	for (guint i = 0; i < 12; i++)
		CU_ASSERT_NOT_EQUAL(fleet_count(fleet, i, DWS_MEMBER_DEAD), 12);
	CU_ASSERT(await_all(fleet, 12, 20 * S));
	CU_ASSERT(dws_membership_self(paused->membership)->incarnation >
		  before);
	/* The process that slept found fault with no other. */
	for (guint i = 0; i < 12; i++)
		CU_ASSERT(i == 5 ||
			  dws_membership_find(
				  paused->membership,
				  fleet_node(fleet, i)->settings.vm_id)
					  ->incarnation == WALL_MS);
	fleet_free(fleet);
}

static void test_leaving_is_known_to_all_within_two_seconds(void)
{
	for (guint leaver = 0; leaver < 10; leaver++) {
		fleet_t *fleet = start_fleet(100, 9, true);

		CU_ASSERT(await_all(fleet, 100, 60 * S));
		fleet_run(fleet, 25 * S);
		fleet_node_t *node = fleet_node(fleet, leaver);

		dws_membership_leave(node->membership, fleet->now_us);
		CU_ASSERT(fleet_await(fleet, leaver, DWS_MEMBER_LEAVING, 100,
				      2 * S));
		fleet_stop(fleet, leaver);
		CU_ASSERT(fleet_await(fleet, leaver, DWS_MEMBER_DEAD, 99,
				      60 * S));
		fleet_free(fleet);
	}
}

/* Node 1 becomes a second process of vm-0, at an address of its own. */
static void start_second(fleet_t *fleet, int64_t wall_ms)
{
	g_strlcpy(fleet_node(fleet, 1)->settings.vm_id, "vm-0", DWS_ID_SIZE);
	fleet_start(fleet, 1, 999, wall_ms);
}

static void test_new_process_takes_a_vm_id_over(void)
{
	/* The clock of the new process may be ahead or behind. */
	for (int behind = 0; behind < 2; behind++) {
		fleet_t *fleet = fleet_new(6, 2);

		fleet_node(fleet, 1)->settings.seeds[0].datagram.port += 2;
		for (guint i = 0; i < 6; i++) {
			if (i != 1)
				fleet_start(fleet, i, 100 + i, WALL_MS);
		}
		fleet_run(fleet, 30 * S);
		start_second(fleet, behind ? WALL_MS / 2 : WALL_MS * 2);
		fleet_run(fleet, 30 * S);
		CU_ASSERT(dws_membership_is_replaced(
			fleet_node(fleet, 0)->membership));
		CU_ASSERT_FALSE(dws_membership_is_replaced(
			fleet_node(fleet, 1)->membership));
		CU_ASSERT_EQUAL(
			dws_membership_find(fleet_node(fleet, 4)->membership,
					    "vm-0")
				->epoch,
			999);
		fleet_free(fleet);
	}
}

static void test_halves_of_a_healed_partition_meet(void)
{
	fleet_t *fleet = start_fleet(24, 3, true);

	CU_ASSERT(await_all(fleet, 24, 60 * S));
	for (guint i = 0; i < 24; i += 3)
		fleet_node(fleet, i)->side = 1;
	CU_ASSERT(fleet_await(fleet, 1, DWS_MEMBER_DEAD, 8, 120 * S));
	CU_ASSERT(fleet_await(fleet, 0, DWS_MEMBER_DEAD, 16, 120 * S));
	for (guint i = 0; i < 24; i += 3)
		fleet_node(fleet, i)->side = 0;
	CU_ASSERT(await_all(fleet, 24, 120 * S));
	fleet_free(fleet);
}

static bool offer(dws_membership_t *membership, const char *text,
		  GError **error)
{
	return dws_membership_offer_list(membership, 0, text, strlen(text),
					 error);
}

#define VM(id, state)                                                          \
	"  - {id: " id ", ip: 10.0.0.1, frame_port: 1, datagram_port: 2, "     \
	"zone: zone-0, region: r, service: s, state: " state "}\n"

static void test_list_is_taken_whole_or_not(void)
{
	static const char *const bad[] = {
		"",
		"[",
		"revision: 9\nvms: 3\n",
		"vms: []\n",
		"revision: -1\nvms: []\n",
		"revision: 9\nvms:\n" VM("x", "live") VM("x", "live"),
		"revision: 9\nvms:\n" VM("x", "live") VM("y", "gone"),
		"revision: 9\nvms:\n" VM("x", "live") "  - {id: y}\n",
		"revision: 9\nvms:\n  - 5\n",
	};
	fleet_t *fleet = start_fleet(1, 1, false);
	dws_membership_t *membership = fleet_node(fleet, 0)->membership;

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		GError *error = NULL;

		CU_ASSERT_FALSE(offer(membership, bad[i], &error));
		CU_ASSERT_PTR_NOT_NULL_FATAL(error);
		CU_ASSERT_EQUAL(error->domain, DWS_ERROR);
		CU_ASSERT_PTR_NOT_NULL(strstr(error->message, "VM list:"));
		g_error_free(error);
	}
	CU_ASSERT_EQUAL(dws_membership_all(membership)->len, 1);
	CU_ASSERT_EQUAL(dws_membership_revision(membership), 0);
	CU_ASSERT(offer(membership,
			"revision: 9\nvms:\n" VM("x", "live") VM("y", "leaving")
				VM("vm-0", "leaving"),
			NULL));
	CU_ASSERT_EQUAL(dws_membership_find(membership, "x")->state,
			DWS_MEMBER_ALIVE);
	CU_ASSERT_EQUAL(dws_membership_find(membership, "y")->state,
			DWS_MEMBER_LEAVING);
	CU_ASSERT(dws_membership_is_listed_leaving(membership));
	CU_ASSERT(offer(membership, "revision: 8\nvms: []\n", NULL));
	CU_ASSERT_PTR_NOT_NULL(dws_membership_find(membership, "x"));
	/* Never heard and no longer listed: gone. */
	CU_ASSERT(offer(membership, "revision: 10\nvms: []\n", NULL));
	CU_ASSERT_PTR_NULL(dws_membership_find(membership, "x"));
	fleet_free(fleet);
}

static void test_absence_from_the_list_kills_nobody_who_answers(void)
{
	fleet_t *fleet = start_fleet(5, 1, true);

	CU_ASSERT(await_all(fleet, 5, 30 * S));
	for (guint i = 0; i < 5; i++)
		CU_ASSERT(offer(fleet_node(fleet, i)->membership,
				"revision: 2\nvms: []\n", NULL));
	fleet_run(fleet, 60 * S);
	CU_ASSERT(all_see_all(fleet, 5));
	fleet_free(fleet);
}

/* A ping of a stranger, packed into memory of the caller. */
static size_t forge(uint8_t *bytes, const char *vm_id, uint32_t state,
		    const char *ip)
{
	Dws__Probe probe = DWS__PROBE__INIT;
	Dws__MemberUpdate sender = DWS__MEMBER_UPDATE__INIT;

	sender.vm_id = (char *)vm_id;
	sender.ip = (char *)ip;
	sender.frame_port = 9;
	sender.datagram_port = 9;
	sender.zone = "zone-0";
	sender.epoch = 5;
	sender.incarnation = 6;
	sender.state = state;
	probe.sender = &sender;
	return dws__probe__pack(&probe, bytes);
}

static void test_hostile_datagrams_are_refused_and_memory_is_bounded(void)
{
	fleet_t *fleet = start_fleet(1, 1, false);
	dws_membership_t *membership = fleet_node(fleet, 0)->membership;
	uint8_t bytes[2000] = {0};
	GError *error = NULL;
	size_t size = forge(bytes, "stranger", 9, "10.0.0.1");

	CU_ASSERT_FALSE(
		dws_membership_receive(membership, 1, bytes, size, &error));
	CU_ASSERT(g_error_matches(error, DWS_ERROR, DWS_ERROR_FRAME));
	g_clear_error(&error);
	size = forge(bytes, "stranger", 0, "example.org");
	CU_ASSERT_FALSE(
		dws_membership_receive(membership, 1, bytes, size, NULL));
	size = forge(bytes, "a b", 0, "10.0.0.1");
	CU_ASSERT_FALSE(
		dws_membership_receive(membership, 1, bytes, size, NULL));
	CU_ASSERT_FALSE(dws_membership_receive(membership, 1, bytes,
					       sizeof(bytes), NULL));
	CU_ASSERT_EQUAL(dws_membership_all(membership)->len, 1);
	for (int i = 0; i < 10000; i++) {
		char vm_id[32];

		g_snprintf(vm_id, sizeof(vm_id), "forged-%d", i);
		size = forge(bytes, vm_id, 0, "10.0.0.1");
		CU_ASSERT(dws_membership_receive(membership, 1, bytes, size,
						 NULL));
	}
	CU_ASSERT_EQUAL(dws_membership_all(membership)->len, 4096);
	fleet_free(fleet);
}

static guint count_readers(fleet_t *fleet, guint zone, guint zones)
{
	guint count = 0;

	for (guint i = zone; i < fleet->nodes->len; i += zones) {
		const fleet_node_t *node = fleet_node(fleet, i);

		if (node->membership &&
		    dws_membership_is_reader(node->membership))
			count++;
	}
	return count;
}

static void test_each_zone_has_two_readers_also_after_a_failure(void)
{
	fleet_t *fleet = start_fleet(30, 3, true);

	CU_ASSERT(await_all(fleet, 30, 60 * S));
	fleet_run(fleet, 60 * S);
	for (guint zone = 0; zone < 3; zone++)
		CU_ASSERT_EQUAL(count_readers(fleet, zone, 3), 2);
	for (guint i = 0; i < 30; i += 3) {
		if (dws_membership_is_reader(
			    fleet_node(fleet, i)->membership)) {
			fleet_stop(fleet, i);
			CU_ASSERT(fleet_await(fleet, i, DWS_MEMBER_DEAD, 29,
					      60 * S));
			break;
		}
	}
	CU_ASSERT_EQUAL(count_readers(fleet, 0, 3), 2);
	fleet_free(fleet);
}

static void test_cost_stays_small_and_a_sequence_spreads(void)
{
	fleet_t *fleet = start_fleet(200, 9, true);
	uint64_t bytes = 0;

	fleet_run(fleet, 300 * S);
	for (guint i = 0; i < 200; i++)
		bytes -= fleet_node(fleet, i)->bytes_sent +
			 fleet_node(fleet, i)->bytes_received;
	fleet_run(fleet, 60 * S);
	for (guint i = 0; i < 200; i++)
		bytes += fleet_node(fleet, i)->bytes_sent +
			 fleet_node(fleet, i)->bytes_received;
	CU_ASSERT(bytes / 200 / 60 < 3000);
	fleet_node_t *first = fleet_node(fleet, 0);

	first->claim.config_sequence = 7;
	dws_membership_set_claim(first->membership, &first->claim);
	dws_membership_announce(first->membership, fleet->now_us);
	fleet_run(fleet, 2 * S);
	for (guint i = 0; i < 200; i++)
		CU_ASSERT_EQUAL(fleet_node(fleet, i)->claim.config_sequence, 7);
	fleet_free(fleet);
}

int main(void)
{
	CU_initialize_registry();
	CU_pSuite suite = CU_add_suite("membership", NULL, NULL);

	CU_add_test(suite, "join", test_joins_by_one_seed_despite_losses);
	CU_add_test(suite, "failure", test_failed_member_dies_and_returns);
	CU_add_test(suite, "refutation",
		    test_suspect_refutes_and_paused_process_blames_nobody);
	CU_add_test(suite, "leaving",
		    test_leaving_is_known_to_all_within_two_seconds);
	CU_add_test(suite, "replacement", test_new_process_takes_a_vm_id_over);
	CU_add_test(suite, "partition", test_halves_of_a_healed_partition_meet);
	CU_add_test(suite, "list", test_list_is_taken_whole_or_not);
	CU_add_test(suite, "lagging list",
		    test_absence_from_the_list_kills_nobody_who_answers);
	CU_add_test(suite, "hostile datagrams",
		    test_hostile_datagrams_are_refused_and_memory_is_bounded);
	CU_add_test(suite, "readers",
		    test_each_zone_has_two_readers_also_after_a_failure);
	CU_add_test(suite, "cost",
		    test_cost_stays_small_and_a_sequence_spreads);
	CU_basic_run_tests();
	unsigned int failures = CU_get_number_of_failures();

	CU_cleanup_registry();
	return failures ? 1 : 0;
}
