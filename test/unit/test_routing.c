/*
 * Choice of a member for a call, over a membership that pings fill.
 */
#include <string.h>
#include "process/routing.h"
#include "support/membership_fleet.h"
#include "support/suite.h"

#define MS DWS_US_PER_MS

typedef struct bench {
	fleet_t *fleet; /* of this process alone: vm-0 in zone-0 */
	dws_membership_t *membership;
	dws_routing_t *routing;
	int64_t objective_us; /* of the calls that are picked for */
} bench_t;

/* Takes a ping of a member, named by its zone and a number. */
static void say(bench_t *bench, const char *vm_id, dws_member_state_t state)
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
	CU_ASSERT(fleet_forge(bench->membership, &member, NULL));
}

/* A process that knows the members of a list, all alive. */
static void start(bench_t *bench, const char *list)
{
	gchar **names = g_strsplit(list, " ", -1);

	bench->objective_us = 0;
	bench->fleet = fleet_new(1, 1);
	fleet_start(bench->fleet, 0, 1);
	bench->membership = fleet_node(bench->fleet, 0)->membership;
	bench->routing = dws_routing_new(bench->membership, 1);
	for (guint i = 0; names[i]; i++)
		say(bench, names[i], DWS_MEMBER_ALIVE);
	g_strfreev(names);
}

static void finish(bench_t *bench)
{
	dws_routing_free(bench->routing);
	fleet_free(bench->fleet);
}

/* The VM id that a pick gives; "busy" and "none" for the other results. */
static const char *pick(bench_t *bench, int64_t now_us, uint8_t priority,
			const GPtrArray *excluded)
{
	const dws_member_t *member = NULL;
	dws_routing_call_t call = {.service = "s",
				   .priority = priority,
				   .excluded = excluded,
				   .objective_us = bench->objective_us};

	switch (dws_routing_pick(bench->routing, now_us, &call, &member)) {
	case DWS_ROUTING_BUSY:
		return "busy";
	case DWS_ROUTING_NONE:
		return "none";
	default:
		return member->vm_id;
	}
}

/* True if one of so many picks gives a member. */
static bool picks_within(bench_t *bench, int64_t now_us, const char *vm_id,
			 int tries)
{
	for (int i = 0; i < tries; i++) {
		if (strcmp(pick(bench, now_us, 1, NULL), vm_id) == 0)
			return true;
	}
	return false;
}

/* Ends a call with a report of a threshold and of running requests. */
static void report(bench_t *bench, int64_t now_us, const char *vm_id,
		   uint8_t threshold, uint32_t running)
{
	dws_load_report_t load = {threshold, running, 0, 10, 0};

	dws_routing_report_sent(bench->routing, now_us, vm_id);
	dws_routing_report_response(bench->routing, now_us, vm_id, &load);
}

static void lose(bench_t *bench, int64_t now_us, const char *vm_id)
{
	dws_routing_report_sent(bench->routing, now_us, vm_id);
	dws_routing_report_response(bench->routing, now_us, vm_id, NULL);
}

static void test_nearer_rings_go_first_until_they_are_busy(void)
{
	bench_t bench;

	start(&bench, "a1 a2 b1 z1");
	for (int i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(pick(&bench, 0, 1, NULL)[0], 'a');
	report(&bench, 0, "a1", 5, 1);
	for (int i = 0; i < 50; i++)
		CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "a2");
	report(&bench, 0, "a2", 5, 1);
	CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "b1");
	CU_ASSERT_EQUAL(pick(&bench, 1, 5, NULL)[0], 'a');
	report(&bench, 0, "b1", 5, 1);
	CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "z1");
	report(&bench, 0, "z1", 5, 1);
	CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "busy");
	CU_ASSERT_EQUAL(dws_routing_retry_at_us(bench.routing, 1, "s"),
			200 * MS);
	CU_ASSERT_EQUAL(dws_routing_retry_at_us(bench.routing, 1, "t"),
			DWS_NEVER_US);
	finish(&bench);
}

static void test_stale_advice_is_tried_by_one_call_at_a_time(void)
{
	bench_t bench;

	start(&bench, "a1");
	report(&bench, 0, "a1", 5, 1);
	CU_ASSERT_STRING_EQUAL(pick(&bench, 199 * MS, 1, NULL), "busy");
	CU_ASSERT_STRING_EQUAL(pick(&bench, 200 * MS, 1, NULL), "a1");
	CU_ASSERT_STRING_EQUAL(pick(&bench, 201 * MS, 1, NULL), "busy");
	report(&bench, 202 * MS, "a1", 0, 1);
	CU_ASSERT_STRING_EQUAL(pick(&bench, 203 * MS, 1, NULL), "a1");
	CU_ASSERT_STRING_EQUAL(pick(&bench, 203 * MS, 1, NULL), "a1");
	CU_ASSERT_EQUAL(dws_routing_load_age_us(bench.routing, 203 * MS, "a1"),
			1 * MS);
	finish(&bench);
}

static void test_lost_answers_keep_calls_away_for_longer_each_time(void)
{
	bench_t bench;
	int64_t now_us = 0;
	int64_t wait_us = 50 * MS;

	start(&bench, "a1 a2");
	for (int i = 0; i < 9; i++) {
		lose(&bench, now_us, "a1");
		lose(&bench, now_us, "a1"); /* of the same burst */
		for (int j = 0; j < 20; j++)
			CU_ASSERT_STRING_EQUAL(
				pick(&bench, now_us + wait_us - 1, 1, NULL),
				"a2");
		now_us += wait_us;
		CU_ASSERT(picks_within(&bench, now_us, "a1", 100));
		wait_us = MIN(wait_us * 2, 5 * DWS_US_PER_S);
	}
	/* With nobody else, it is taken all the same. */
	GPtrArray *excluded = g_ptr_array_new();

	g_ptr_array_add(excluded, "a2");
	lose(&bench, now_us, "a1");
	CU_ASSERT_STRING_EQUAL(pick(&bench, now_us, 1, excluded), "a1");
	g_ptr_array_add(excluded, "a1");
	CU_ASSERT_STRING_EQUAL(pick(&bench, now_us, 1, excluded), "a2");
	g_ptr_array_free(excluded, TRUE);
	finish(&bench);
}

static void test_leaving_and_dead_are_never_taken_and_suspects_last(void)
{
	bench_t bench;

	start(&bench, "a1 a2 a3 z1");
	say(&bench, "a1", DWS_MEMBER_LEAVING);
	say(&bench, "a2", DWS_MEMBER_DEAD);
	say(&bench, "a3", DWS_MEMBER_SUSPECT);
	for (int i = 0; i < 50; i++)
		CU_ASSERT_STRING_EQUAL(pick(&bench, 0, 1, NULL), "z1");
	say(&bench, "z1", DWS_MEMBER_LEAVING);
	for (int i = 0; i < 50; i++)
		CU_ASSERT_STRING_EQUAL(pick(&bench, 0, 1, NULL), "a3");
	say(&bench, "a3", DWS_MEMBER_DEAD);
	CU_ASSERT_STRING_EQUAL(pick(&bench, 0, 1, NULL), "none");
	finish(&bench);
}

static void test_the_less_loaded_of_two_is_taken(void)
{
	bench_t bench;
	guint counts[3] = {0};

	start(&bench, "a0 a1 a2");
	/* Equal members share single calls. */
	for (int n = 0; n < 300; n++)
		counts[pick(&bench, 0, 1, NULL)[1] - '0']++;
	CU_ASSERT(counts[0] > 60 && counts[1] > 60 && counts[2] > 60);
	memset(counts, 0, sizeof(counts));
	report(&bench, 0, "a0", 0, 9);
	report(&bench, 0, "a1", 0, 1);
	report(&bench, 0, "a2", 0, 1);
	for (int i = 0; i < 300; i++) {
		const char *vm_id = pick(&bench, 1, 1, NULL);

		counts[vm_id[1] - '0']++;
		dws_routing_report_sent(bench.routing, 1, vm_id);
	}
	CU_ASSERT(counts[0] < counts[1] && counts[0] < counts[2]);
	CU_ASSERT(counts[1] > 90 && counts[2] > 90);
	/* A report that never changes can't draw all calls to a member. */
	CU_ASSERT(counts[0] > 60);
	finish(&bench);
}

/* Ends a call with a report of running requests and of the time they take. */
static void report_time(bench_t *bench, const char *vm_id, uint32_t running,
			uint32_t service_us)
{
	dws_load_report_t load = {0, running, 0, 10, service_us};

	dws_routing_report_sent(bench->routing, 0, vm_id);
	dws_routing_report_response(bench->routing, 0, vm_id, &load);
}

static void test_members_with_room_go_before_nearer_ones_without(void)
{
	bench_t bench;

	start(&bench, "a1 b1");
	report_time(&bench, "a1", 10, 1000);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "b1");
	/* Where all would wait, the nearer one is taken again. */
	report_time(&bench, "b1", 10, 1000);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "a1");
	/* Calls that were sent since the report count as running. */
	report_time(&bench, "a1", 9, 1000);
	CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "a1");
	dws_routing_report_sent(bench.routing, 1, "a1");
	report_time(&bench, "b1", 1, 1000);
	CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "b1");
	finish(&bench);
}

static void test_the_quicker_of_two_is_taken(void)
{
	bench_t bench;

	start(&bench, "a1 a2");
	report_time(&bench, "a1", 2, 30000);
	report_time(&bench, "a2", 2, 20000);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "a2");
	report_time(&bench, "a2", 9, 20000);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "a1");
	finish(&bench);
}

static void test_members_that_fail_calls_are_avoided(void)
{
	bench_t bench;
	int near = 0;

	start(&bench, "a1 b1");
	report_time(&bench, "a1", 1, 1000);
	report_time(&bench, "b1", 1, 1000);
	for (int i = 0; i < 40; i++)
		dws_routing_report_result(bench.routing, 1, "a1", i % 2 == 0);
	for (int i = 0; i < 320; i++)
		near += pick(&bench, 1, 1, NULL)[0] == 'a';
	CU_ASSERT(near > 0 && near < 40);
	/* Where all do badly, the nearer one is as good as any. */
	for (int i = 0; i < 40; i++)
		dws_routing_report_result(bench.routing, 1, "b1", true);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "a1");
	for (int i = 0; i < 200; i++)
		dws_routing_report_result(bench.routing, 1, "b1", false);
	CU_ASSERT(picks_within(&bench, 1, "b1", 20));
	/* A judgement that nothing renews is forgotten. */
	for (int i = 0; i < 20; i++)
		CU_ASSERT_STRING_EQUAL(pick(&bench, 30 * DWS_US_PER_S, 1, NULL),
				       "a1");
	finish(&bench);
}

static void test_slow_zones_are_left_for_tight_objectives(void)
{
	bench_t bench;

	start(&bench, "a1 b1 z1");
	report_time(&bench, "a1", 1, 143 * MS);
	bench.objective_us = 1500 * MS;
	CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "a1");
	/* What is not known yet is tried. */
	bench.objective_us = 250 * MS;
	CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "b1");
	report_time(&bench, "b1", 1, 47 * MS);
	CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "b1");
	/* Not much quicker than the own zone: the way does not pay. */
	report_time(&bench, "b1", 1, 90 * MS);
	report_time(&bench, "z1", 1, 90 * MS);
	CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "a1");
	/* Quick enough at home. */
	report_time(&bench, "a1", 1, 80 * MS);
	report_time(&bench, "b1", 1, 10 * MS);
	CU_ASSERT_STRING_EQUAL(pick(&bench, 1, 1, NULL), "a1");
	finish(&bench);
}

static void test_members_that_fall_silent_are_avoided(void)
{
	bench_t bench;

	start(&bench, "a1 b1");
	report_time(&bench, "a1", 1, 20 * MS);
	report_time(&bench, "b1", 1, 20 * MS);
	dws_routing_report_sent(bench.routing, 0, "a1");
	CU_ASSERT_STRING_EQUAL(pick(&bench, 100 * MS, 1, NULL), "a1");
	/* Eight mean times without an answer. */
	CU_ASSERT_STRING_EQUAL(pick(&bench, 161 * MS, 1, NULL), "b1");
	/* An answer to any call ends it. */
	dws_routing_report_sent(bench.routing, 161 * MS, "a1");
	dws_routing_report_response(bench.routing, 170 * MS, "a1",
				    &(dws_load_report_t){0, 1, 0, 10, 20 * MS});
	CU_ASSERT_STRING_EQUAL(pick(&bench, 171 * MS, 1, NULL), "a1");
	/* Calls whose time ends keep others away, if nothing came since. */
	dws_routing_report_timeout(bench.routing, 180 * MS, "a1", 165 * MS);
	CU_ASSERT_STRING_EQUAL(pick(&bench, 181 * MS, 1, NULL), "a1");
	dws_routing_report_timeout(bench.routing, 190 * MS, "a1", 175 * MS);
	CU_ASSERT_STRING_EQUAL(pick(&bench, 191 * MS, 1, NULL), "b1");
	finish(&bench);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"rings", test_nearer_rings_go_first_until_they_are_busy},
		{"stale advice",
		 test_stale_advice_is_tried_by_one_call_at_a_time},
		{"lost answers",
		 test_lost_answers_keep_calls_away_for_longer_each_time},
		{"states",
		 test_leaving_and_dead_are_never_taken_and_suspects_last},
		{"load", test_the_less_loaded_of_two_is_taken},
		{"room", test_members_with_room_go_before_nearer_ones_without},
		{"soundness", test_members_that_fail_calls_are_avoided},
		{"time", test_the_quicker_of_two_is_taken},
		{"silence", test_members_that_fall_silent_are_avoided},
		{"objective", test_slow_zones_are_left_for_tight_objectives},
		{NULL, NULL},
	};

	return suite_main("routing", tests);
}
