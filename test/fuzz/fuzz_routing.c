/*
 * Routes calls to members that change state, report loads and lose answers.
 *
 * The oracle checks that:
 * - leaving and dead members get no calls,
 * - a call stays in the local zone while a member there has capacity and has
 *   neither reported a load nor lost an answer,
 * - a member of unknown load without capacity gets no call while another such
 *   member has capacity,
 * - the result is NONE if and only if no member is alive or suspect, and BUSY
 *   only after a report of overload.
 * Drift of the call counts is seen only through these choices.
 *
 * Fuzz runs: 10000
 */
#include "../support/membership_fleet.c"
#include "process/routing.h"

#define MEMBERS 8
#define OPS 300
/* Concurrent calls that are sent to a member of unknown load. */
#define UNKNOWN_LOAD_CAPACITY 4

typedef struct model {
	dws_member_state_t state;
	uint64_t incarnation;
	bool no_feedback; /* no report, no lost answer since process start */
	int64_t busy_until_us; /* upper bound */
	uint32_t outstanding;
} model_t;

typedef struct fuzz {
	dws_membership_t *membership;
	dws_routing_t *routing;
	model_t models[MEMBERS];
	int64_t now_us;
	const uint8_t *data;
	size_t size;
	GRand *random;
} fuzz_t;

/* Draws a number from the input, after its end from a generator it seeds. */
static guint draw(fuzz_t *fuzz, guint bound)
{
	if (fuzz->size == 0)
		return (guint)g_rand_int_range(fuzz->random, 0, (gint32)bound);
	fuzz->size--;
	return *fuzz->data++ % bound;
}

static char *member_name(guint index)
{
	static char *const names[MEMBERS] = {"m0", "m1", "m2", "m3",
					     "m4", "m5", "m6", "m7"};

	return names[index];
}

/* Passes on a member's state, from a restarted or from the same process. */
static void announce_state(fuzz_t *fuzz, guint index, guint state, bool restart)
{
	model_t *model = &fuzz->models[index];
	dws_member_t member = {.service = "s",
			       .frame.ip = "10.0.0.1",
			       .state = (dws_member_state_t)state};

	model->incarnation += restart ? 256 : 1;
	model->state = member.state;
	member.epoch = model->incarnation / 256 + 1;
	member.incarnation = model->incarnation;
	g_strlcpy(member.vm_id, member_name(index), DWS_ID_SIZE);
	g_strlcpy(member.zone, index < 3 ? "zone-0" : "b", DWS_ID_SIZE);
	g_strlcpy(member.region, index < 5 ? "region-0" : "q", DWS_ID_SIZE);
	if (restart) {
		model->no_feedback = true;
		model->busy_until_us = 0;
	}
	g_assert(fleet_send_forged_probe(fuzz->membership, &member, NULL));
}

static bool is_usable(const model_t *model)
{
	return model->state == DWS_MEMBER_ALIVE ||
	       model->state == DWS_MEMBER_SUSPECT;
}

/* Picks a member, checks the choice against the model and starts a call. */
static void pick_member(fuzz_t *fuzz)
{
	const dws_member_t *member = NULL;
	guint priority = draw(fuzz, 4);
	GPtrArray *excluded = g_ptr_array_new();
	bool has_usable = false;
	bool has_zone_candidate = false;
	bool has_candidate = false;
	bool may_be_busy = false;

	if (draw(fuzz, 3) == 0)
		g_ptr_array_add(excluded, member_name(draw(fuzz, MEMBERS)));
	for (guint i = 0; i < MEMBERS; i++) {
		const model_t *model = &fuzz->models[i];
		bool is_excluded = excluded->len > 0 &&
				   excluded->pdata[0] == member_name(i);

		has_usable |= is_usable(model);
		may_be_busy |= model->state == DWS_MEMBER_ALIVE &&
			       fuzz->now_us < model->busy_until_us;
		bool is_candidate = model->state == DWS_MEMBER_ALIVE &&
				    model->no_feedback && !is_excluded &&
				    model->outstanding < UNKNOWN_LOAD_CAPACITY;

		has_candidate |= is_candidate;
		has_zone_candidate |= i < 3 && is_candidate;
	}
	const dws_routing_call_t call = {.service = "s",
					 .priority = (uint8_t)priority,
					 .excluded = excluded};
	dws_routing_result_t result =
		dws_routing_pick(fuzz->routing, fuzz->now_us, &call, &member);

	g_ptr_array_free(excluded, TRUE);
	g_assert((result == DWS_ROUTING_NONE) == !has_usable);
	g_assert(result != DWS_ROUTING_BUSY || may_be_busy);
	g_assert((result == DWS_ROUTING_FOUND) == (member != NULL));
	if (!member)
		return;
	guint index = (guint)(member->vm_id[1] - '0');

	g_assert(is_usable(&fuzz->models[index]));
	g_assert(!has_zone_candidate || index < 3);
	g_assert(!has_candidate || !fuzz->models[index].no_feedback ||
		 fuzz->models[index].outstanding < UNKNOWN_LOAD_CAPACITY);
	dws_routing_report_sent(fuzz->routing, fuzz->now_us, member->vm_id);
	fuzz->models[index].outstanding++;
}

/* Ends a call, with a report or without an answer. */
static void end_call(fuzz_t *fuzz, guint index)
{
	model_t *model = &fuzz->models[index];
	dws_load_report_t load = {(uint8_t)draw(fuzz, 5), draw(fuzz, 256) << 24,
				  draw(fuzz, 256) << 24, draw(fuzz, 3),
				  draw(fuzz, 256) << 24};
	bool is_lost = draw(fuzz, 3) == 0;

	model->no_feedback = false;
	if (!is_lost && load.threshold > 0)
		/* no bound: trials after the report is stale extend it */
		model->busy_until_us = INT64_MAX;
	if (!is_lost && load.threshold == 0)
		model->busy_until_us = 0;
	if (model->outstanding > 0)
		model->outstanding--;
	dws_routing_report_response(fuzz->routing, fuzz->now_us,
				    member_name(index), is_lost ? NULL : &load);
}

static void apply_operation(fuzz_t *fuzz)
{
	guint operation = draw(fuzz, 8);
	guint index = draw(fuzz, MEMBERS);
	model_t *model = &fuzz->models[index];

	if (operation < 3) {
		pick_member(fuzz);
	} else if (operation == 3) {
		end_call(fuzz, index);
	} else if (operation == 4) {
		fuzz->now_us += (int64_t)draw(fuzz, 256) * DWS_US_PER_MS;
	} else if (operation == 5) {
		announce_state(fuzz, index, draw(fuzz, 4), draw(fuzz, 2) == 0);
	} else if (operation == 6) {
		dws_routing_report_cancel(fuzz->routing, member_name(index));
		if (model->outstanding > 0)
			model->outstanding--;
	} else {
		dws_routing_retry_at_us(fuzz->routing, fuzz->now_us, "s");
		dws_routing_load_age_us(fuzz->routing, fuzz->now_us,
					member_name(index));
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fuzz_t fuzz = {.data = data, .size = size};
	fleet_t *fleet = fleet_new(1, 1);
	guint32 hash = 5381;

	for (size_t i = 0; i < size; i++)
		hash = hash * 33 + data[i];
	fuzz.random = g_rand_new_with_seed(hash);
	fleet_start(fleet, 0, 1);
	fuzz.membership = fleet_node(fleet, 0)->membership;
	fuzz.routing = dws_routing_new(fuzz.membership, 1);
	for (guint i = 0; i < MEMBERS; i++)
		announce_state(&fuzz, i, DWS_MEMBER_ALIVE, true);
	for (int i = 0; i < OPS; i++)
		apply_operation(&fuzz);
	pick_member(&fuzz);
	dws_routing_free(fuzz.routing);
	fleet_free(fleet);
	g_rand_free(fuzz.random);
	return 0;
}
