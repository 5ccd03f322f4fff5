/*
 * Unit tests of the choice of a member for a call. The members are introduced
 * by simulated pings.
 */
#include <string.h>
#include "process/routing.h"
#include "support/membership_fleet.h"
#include "support/suite.h"

#define MS DWS_US_PER_MS

typedef struct fixture {
	fleet_t *fleet; /* only the process under test: vm-0 in zone-0 */
	dws_membership_t *membership;
	dws_routing_t *routing;
	int64_t objective_us; /* of the calls that pick() makes */
} fixture_t;

/*
 * Receives a ping in which a member reports its state. The first letter of its
 * VM id is its location: 'a' is the own zone, 'z' another region, and any other
 * letter another zone of the own region.
 */
static void receive_ping(fixture_t *fixture, const char *vm_id,
			 dws_member_state_t state)
{
	dws_member_t member = {.region = "region-0",
			       .service = "s",
			       .frame.ip = "10.0.0.1",
			       .epoch = 5,
			       .incarnation = 6,
			       .state = state};

	g_strlcpy(member.vm_id, vm_id, DWS_ID_SIZE);
	g_strlcpy(member.zone, vm_id[0] == 'a' ? "zone-0" : "zone-1",
		  DWS_ID_SIZE);
	if (vm_id[0] == 'z')
		g_strlcpy(member.region, "region-1", DWS_ID_SIZE);
	CU_ASSERT(fleet_send_forged_probe(fixture->membership, &member, NULL));
}

/* Starts a process that knows the members of a list, all of them alive. */
static void start_fixture(fixture_t *fixture, const char *vm_ids)
{
	gchar **ids = g_strsplit(vm_ids, " ", -1);

	fixture->objective_us = 0;
	fixture->fleet = fleet_new(1, 1);
	fleet_start(fixture->fleet, 0, 1);
	fixture->membership = fleet_node(fixture->fleet, 0)->membership;
	fixture->routing = dws_routing_new(fixture->membership, 1);
	for (guint i = 0; ids[i]; i++)
		receive_ping(fixture, ids[i], DWS_MEMBER_ALIVE);
	g_strfreev(ids);
}

static void finish_fixture(fixture_t *fixture)
{
	dws_routing_free(fixture->routing);
	fleet_free(fixture->fleet);
}

/* Returns the VM id of the picked member, or else "busy" or "none". */
static const char *pick(fixture_t *fixture, int64_t now_us, uint8_t priority,
			const GPtrArray *excluded)
{
	const dws_member_t *member = NULL;
	dws_routing_call_t call = {.service = "s",
				   .priority = priority,
				   .excluded = excluded,
				   .objective_us = fixture->objective_us};

	switch (dws_routing_pick(fixture->routing, now_us, &call, &member)) {
	case DWS_ROUTING_BUSY:
		return "busy";
	case DWS_ROUTING_NONE:
		return "none";
	default:
		return member->vm_id;
	}
}

/* True if one of a number of picks returns the member. */
static bool is_picked_within(fixture_t *fixture, int64_t now_us,
			     const char *vm_id, int tries)
{
	for (int i = 0; i < tries; i++) {
		if (strcmp(pick(fixture, now_us, 1, NULL), vm_id) == 0)
			return true;
	}
	return false;
}

/*
 * Makes a call whose answer reports the lowest priority that the member accepts
 * and its number of running requests.
 */
static void report_load(fixture_t *fixture, int64_t now_us, const char *vm_id,
			uint8_t threshold, uint32_t running)
{
	dws_load_report_t load = {threshold, running, 0, 10, 0};

	dws_routing_report_sent(fixture->routing, now_us, vm_id);
	dws_routing_report_response(fixture->routing, now_us, vm_id, &load);
}

/* Makes a call that ends without an answer. */
static void lose_answer(fixture_t *fixture, int64_t now_us, const char *vm_id)
{
	dws_routing_report_sent(fixture->routing, now_us, vm_id);
	dws_routing_report_response(fixture->routing, now_us, vm_id, NULL);
}

static void test_nearer_members_are_preferred_until_busy(void)
{
	fixture_t fixture;

	start_fixture(&fixture, "a1 a2 b1 z1");
	for (int i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(pick(&fixture, 0, 1, NULL)[0], 'a');
	report_load(&fixture, 0, "a1", 5, 1);
	for (int i = 0; i < 50; i++)
		CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "a2");
	report_load(&fixture, 0, "a2", 5, 1);
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "b1");
	CU_ASSERT_EQUAL(pick(&fixture, 1, 5, NULL)[0], 'a');
	report_load(&fixture, 0, "b1", 5, 1);
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "z1");
	report_load(&fixture, 0, "z1", 5, 1);
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "busy");
	CU_ASSERT_EQUAL(dws_routing_retry_at_us(fixture.routing, 1, "s"),
			200 * MS);
	CU_ASSERT_EQUAL(dws_routing_retry_at_us(fixture.routing, 1, "t"),
			DWS_NEVER_US);
	finish_fixture(&fixture);
}

static void test_expired_busy_report_is_probed_by_one_call(void)
{
	fixture_t fixture;

	start_fixture(&fixture, "a1");
	report_load(&fixture, 0, "a1", 5, 1);
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 199 * MS, 1, NULL), "busy");
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 200 * MS, 1, NULL), "a1");
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 201 * MS, 1, NULL), "busy");
	report_load(&fixture, 202 * MS, "a1", 0, 1);
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 203 * MS, 1, NULL), "a1");
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 203 * MS, 1, NULL), "a1");
	CU_ASSERT_EQUAL(
		dws_routing_load_age_us(fixture.routing, 203 * MS, "a1"),
		1 * MS);
	finish_fixture(&fixture);
}

static void test_lost_answers_back_off_exponentially(void)
{
	fixture_t fixture;
	int64_t now_us = 0;
	int64_t wait_us = 50 * MS;

	start_fixture(&fixture, "a1 a2");
	for (int i = 0; i < 9; i++) {
		lose_answer(&fixture, now_us, "a1");
		/* A second loss in the same burst counts as one. */
		lose_answer(&fixture, now_us, "a1");
		for (int j = 0; j < 20; j++)
			CU_ASSERT_STRING_EQUAL(
				pick(&fixture, now_us + wait_us - 1, 1, NULL),
				"a2");
		now_us += wait_us;
		CU_ASSERT(is_picked_within(&fixture, now_us, "a1", 100));
		wait_us = MIN(wait_us * 2, 5 * DWS_US_PER_S);
	}
	/* A member in back-off is picked if no other is left. */
	GPtrArray *excluded = g_ptr_array_new();

	g_ptr_array_add(excluded, "a2");
	lose_answer(&fixture, now_us, "a1");
	CU_ASSERT_STRING_EQUAL(pick(&fixture, now_us, 1, excluded), "a1");
	g_ptr_array_add(excluded, "a1");
	CU_ASSERT_STRING_EQUAL(pick(&fixture, now_us, 1, excluded), "a2");
	g_ptr_array_free(excluded, TRUE);
	finish_fixture(&fixture);
}

static void test_leaving_and_dead_are_skipped_and_suspects_last(void)
{
	fixture_t fixture;

	start_fixture(&fixture, "a1 a2 a3 z1");
	receive_ping(&fixture, "a1", DWS_MEMBER_LEAVING);
	receive_ping(&fixture, "a2", DWS_MEMBER_DEAD);
	receive_ping(&fixture, "a3", DWS_MEMBER_SUSPECT);
	for (int i = 0; i < 50; i++)
		CU_ASSERT_STRING_EQUAL(pick(&fixture, 0, 1, NULL), "z1");
	receive_ping(&fixture, "z1", DWS_MEMBER_LEAVING);
	for (int i = 0; i < 50; i++)
		CU_ASSERT_STRING_EQUAL(pick(&fixture, 0, 1, NULL), "a3");
	receive_ping(&fixture, "a3", DWS_MEMBER_DEAD);
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 0, 1, NULL), "none");
	finish_fixture(&fixture);
}

static void test_less_loaded_member_is_preferred(void)
{
	fixture_t fixture;
	guint counts[3] = {0};

	start_fixture(&fixture, "a0 a1 a2");
	/* Equally loaded members share the calls. */
	for (int n = 0; n < 300; n++)
		counts[pick(&fixture, 0, 1, NULL)[1] - '0']++;
	CU_ASSERT(counts[0] > 60 && counts[1] > 60 && counts[2] > 60);
	memset(counts, 0, sizeof(counts));
	report_load(&fixture, 0, "a0", 0, 9);
	report_load(&fixture, 0, "a1", 0, 1);
	report_load(&fixture, 0, "a2", 0, 1);
	for (int i = 0; i < 300; i++) {
		const char *vm_id = pick(&fixture, 1, 1, NULL);

		counts[vm_id[1] - '0']++;
		dws_routing_report_sent(fixture.routing, 1, vm_id);
	}
	CU_ASSERT(counts[0] < counts[1] && counts[0] < counts[2]);
	CU_ASSERT(counts[1] > 90 && counts[2] > 90);
	/* A report that is not renewed must not attract all calls. */
	CU_ASSERT(counts[0] > 60);
	finish_fixture(&fixture);
}

/*
 * Makes a call whose answer reports the member's number of running requests and
 * their mean service time. Its concurrency limit is 10.
 */
static void report_service_time(fixture_t *fixture, const char *vm_id,
				uint32_t running, uint32_t service_us)
{
	dws_load_report_t load = {0, running, 0, 10, service_us};

	dws_routing_report_sent(fixture->routing, 0, vm_id);
	dws_routing_report_response(fixture->routing, 0, vm_id, &load);
}

static void test_free_members_precede_nearer_full_ones(void)
{
	fixture_t fixture;

	start_fixture(&fixture, "a1 b1");
	report_service_time(&fixture, "a1", 10, 1000);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "b1");
	/* If calls would be queued at all members, the nearer is picked. */
	report_service_time(&fixture, "b1", 10, 1000);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "a1");
	/* Calls sent since the report count as running. */
	report_service_time(&fixture, "a1", 9, 1000);
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "a1");
	dws_routing_report_sent(fixture.routing, 1, "a1");
	report_service_time(&fixture, "b1", 1, 1000);
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "b1");
	finish_fixture(&fixture);
}

static void test_faster_member_is_preferred(void)
{
	fixture_t fixture;

	start_fixture(&fixture, "a1 a2");
	report_service_time(&fixture, "a1", 2, 30000);
	report_service_time(&fixture, "a2", 2, 20000);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "a2");
	report_service_time(&fixture, "a2", 9, 20000);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "a1");
	finish_fixture(&fixture);
}

static void test_members_that_fail_calls_are_avoided(void)
{
	fixture_t fixture;
	int near_picks = 0;

	start_fixture(&fixture, "a1 b1");
	report_service_time(&fixture, "a1", 1, 1000);
	report_service_time(&fixture, "b1", 1, 1000);
	for (int i = 0; i < 40; i++)
		dws_routing_report_result(fixture.routing, 1, "a1", i % 2 == 0);
	for (int i = 0; i < 320; i++)
		near_picks += pick(&fixture, 1, 1, NULL)[0] == 'a';
	CU_ASSERT(near_picks > 0 && near_picks < 40);
	/* If all members fail calls, the nearer one is picked. */
	for (int i = 0; i < 40; i++)
		dws_routing_report_result(fixture.routing, 1, "b1", true);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "a1");
	for (int i = 0; i < 200; i++)
		dws_routing_report_result(fixture.routing, 1, "b1", false);
	CU_ASSERT(is_picked_within(&fixture, 1, "b1", 20));
	/* A failure rate without new results decays. */
	for (int i = 0; i < 20; i++)
		CU_ASSERT_STRING_EQUAL(
			pick(&fixture, 30 * DWS_US_PER_S, 1, NULL), "a1");
	finish_fixture(&fixture);
}

static void test_slow_zone_is_avoided_for_tight_objective(void)
{
	fixture_t fixture;

	start_fixture(&fixture, "a1 b1 z1");
	report_service_time(&fixture, "a1", 1, 143 * MS);
	fixture.objective_us = 1500 * MS;
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "a1");
	/* A member with an unknown service time is tried. */
	fixture.objective_us = 250 * MS;
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "b1");
	report_service_time(&fixture, "b1", 1, 47 * MS);
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "b1");
	/* 90 ms elsewhere is too small a gain over 143 ms in the own zone. */
	report_service_time(&fixture, "b1", 1, 90 * MS);
	report_service_time(&fixture, "z1", 1, 90 * MS);
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "a1");
	/* 80 ms in the own zone meets the objective. */
	report_service_time(&fixture, "a1", 1, 80 * MS);
	report_service_time(&fixture, "b1", 1, 10 * MS);
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 1, 1, NULL), "a1");
	finish_fixture(&fixture);
}

static void test_unresponsive_members_are_avoided(void)
{
	fixture_t fixture;

	start_fixture(&fixture, "a1 b1");
	report_service_time(&fixture, "a1", 1, 20 * MS);
	report_service_time(&fixture, "b1", 1, 20 * MS);
	dws_routing_report_sent(fixture.routing, 0, "a1");
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 100 * MS, 1, NULL), "a1");
	/* No answer for eight mean service times, 160 ms. */
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 161 * MS, 1, NULL), "b1");
	/* An answer to any call makes the member eligible again. */
	dws_routing_report_sent(fixture.routing, 161 * MS, "a1");
	dws_routing_report_response(fixture.routing, 170 * MS, "a1",
				    &(dws_load_report_t){0, 1, 0, 10, 20 * MS});
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 171 * MS, 1, NULL), "a1");
	/*
	 * After a call has timed out, the member is avoided, unless an answer
	 * has arrived since the call was sent.
	 */
	dws_routing_report_timeout(fixture.routing, 180 * MS, "a1", 165 * MS);
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 181 * MS, 1, NULL), "a1");
	dws_routing_report_timeout(fixture.routing, 190 * MS, "a1", 175 * MS);
	CU_ASSERT_STRING_EQUAL(pick(&fixture, 191 * MS, 1, NULL), "b1");
	finish_fixture(&fixture);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"locality", test_nearer_members_are_preferred_until_busy},
		{"expired busy report",
		 test_expired_busy_report_is_probed_by_one_call},
		{"lost answers", test_lost_answers_back_off_exponentially},
		{"states", test_leaving_and_dead_are_skipped_and_suspects_last},
		{"load", test_less_loaded_member_is_preferred},
		{"free slots", test_free_members_precede_nearer_full_ones},
		{"failing members", test_members_that_fail_calls_are_avoided},
		{"service time", test_faster_member_is_preferred},
		{"unresponsive members", test_unresponsive_members_are_avoided},
		{"objective", test_slow_zone_is_avoided_for_tight_objective},
		{NULL, NULL},
	};

	return suite_main("routing", tests);
}
