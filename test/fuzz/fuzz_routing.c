/*
 * Routing over members that change state, report loads and lose answers.
 *
 * Oracle: nobody who is leaving or dead gets a call; while a member of the
 * own zone has room and has given no reason against it, the call stays in the
 * zone; while any such member has room, none without room gets the call; there
 * is always an answer other than NONE while a live or suspect member exists,
 * and BUSY needs a report that says so; counts never run off.
 *
 * Fuzz runs: 10000
 */
#include "../support/membership_fleet.c"
#include "process/routing.h"

#define MEMBERS 8
#define OPS 300
/* Calls that a member of unknown load has room for. */
#define UNKNOWN_ROOM 4

typedef struct model {
	dws_member_state_t state;
	uint64_t incarnation;
	bool clean; /* no report and no loss since the process started */
	int64_t busy_until_us; /* at the latest */
	uint32_t outstanding;
} model_t;

typedef struct world {
	dws_membership_t *membership;
	dws_routing_t *routing;
	model_t models[MEMBERS];
	int64_t now_us;
	const uint8_t *data;
	size_t size;
	GRand *random;
} world_t;

/* A number of the input, and after its end one that the input seeds. */
static guint take(world_t *world, guint below)
{
	if (world->size == 0)
		return (guint)g_rand_int_range(world->random, 0, (gint32)below);
	world->size--;
	return *world->data++ % below;
}

static char *name_of(guint index)
{
	static char *const names[MEMBERS] = {"m0", "m1", "m2", "m3",
					     "m4", "m5", "m6", "m7"};

	return names[index];
}

/* A member says its state, as a process of a new epoch or of the old one. */
static void say(world_t *world, guint index, guint state, bool restart)
{
	model_t *model = &world->models[index];
	dws_member_t member = {.service = "s",
			       .frame.ip = "10.0.0.1",
			       .state = (dws_member_state_t)state};

	model->incarnation += restart ? 256 : 1;
	model->state = member.state;
	member.epoch = model->incarnation / 256 + 1;
	member.incarnation = model->incarnation;
	g_strlcpy(member.vm_id, name_of(index), DWS_ID_SIZE);
	g_strlcpy(member.zone, index < 3 ? "zone-0" : "b", DWS_ID_SIZE);
	g_strlcpy(member.region, index < 5 ? "region-0" : "q", DWS_ID_SIZE);
	if (restart) {
		model->clean = true;
		model->busy_until_us = 0;
	}
	g_assert(fleet_forge(world->membership, &member, NULL));
}

static bool is_usable(const model_t *model)
{
	return model->state == DWS_MEMBER_ALIVE ||
	       model->state == DWS_MEMBER_SUSPECT;
}

/* Picks, checks the choice against the model, and starts the call. */
static void pick(world_t *world)
{
	const dws_member_t *member = NULL;
	guint priority = take(world, 4);
	GPtrArray *excluded = g_ptr_array_new();
	bool usable = false;
	bool clean_near = false;
	bool clean_anywhere = false;
	bool maybe_busy = false;

	if (take(world, 3) == 0)
		g_ptr_array_add(excluded, name_of(take(world, MEMBERS)));
	for (guint i = 0; i < MEMBERS; i++) {
		const model_t *model = &world->models[i];
		bool is_excluded =
			excluded->len > 0 && excluded->pdata[0] == name_of(i);

		usable |= is_usable(model);
		maybe_busy |= model->state == DWS_MEMBER_ALIVE &&
			      world->now_us < model->busy_until_us;
		bool is_clean = model->state == DWS_MEMBER_ALIVE &&
				model->clean && !is_excluded &&
				model->outstanding < UNKNOWN_ROOM;

		clean_anywhere |= is_clean;
		clean_near |= i < 3 && is_clean;
	}
	const dws_routing_call_t call = {.service = "s",
					 .priority = (uint8_t)priority,
					 .excluded = excluded};
	dws_routing_result_t result =
		dws_routing_pick(world->routing, world->now_us, &call, &member);

	g_ptr_array_free(excluded, TRUE);
	g_assert((result == DWS_ROUTING_NONE) == !usable);
	g_assert(result != DWS_ROUTING_BUSY || maybe_busy);
	g_assert((result == DWS_ROUTING_FOUND) == (member != NULL));
	if (!member)
		return;
	guint index = (guint)(member->vm_id[1] - '0');

	g_assert(is_usable(&world->models[index]));
	g_assert(!clean_near || index < 3);
	g_assert(!clean_anywhere || !world->models[index].clean ||
		 world->models[index].outstanding < UNKNOWN_ROOM);
	dws_routing_report_sent(world->routing, world->now_us, member->vm_id);
	world->models[index].outstanding++;
}

/* Ends a call, with a report or without an answer. */
static void end(world_t *world, guint index)
{
	model_t *model = &world->models[index];
	dws_load_report_t load = {
		(uint8_t)take(world, 5), take(world, 256) << 24,
		take(world, 256) << 24, take(world, 3), take(world, 256) << 24};
	bool lost = take(world, 3) == 0;

	model->clean = false;
	if (!lost && load.threshold > 0)
		model->busy_until_us = INT64_MAX; /* stale advice is a trial */
	if (!lost && load.threshold == 0)
		model->busy_until_us = 0;
	if (model->outstanding > 0)
		model->outstanding--;
	dws_routing_report_response(world->routing, world->now_us,
				    name_of(index), lost ? NULL : &load);
}

static void act(world_t *world)
{
	guint op = take(world, 8);
	guint index = take(world, MEMBERS);
	model_t *model = &world->models[index];

	if (op < 3) {
		pick(world);
	} else if (op == 3) {
		end(world, index);
	} else if (op == 4) {
		world->now_us += (int64_t)take(world, 256) * DWS_US_PER_MS;
	} else if (op == 5) {
		say(world, index, take(world, 4), take(world, 2) == 0);
	} else if (op == 6) {
		dws_routing_report_cancel(world->routing, name_of(index));
		if (model->outstanding > 0)
			model->outstanding--;
	} else {
		dws_routing_retry_at_us(world->routing, world->now_us, "s");
		dws_routing_load_age_us(world->routing, world->now_us,
					name_of(index));
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_t world = {.data = data, .size = size};
	fleet_t *fleet = fleet_new(1, 1);
	guint32 hash = 5381;

	for (size_t i = 0; i < size; i++)
		hash = hash * 33 + data[i];
	world.random = g_rand_new_with_seed(hash);
	fleet_start(fleet, 0, 1);
	world.membership = fleet_node(fleet, 0)->membership;
	world.routing = dws_routing_new(world.membership, 1);
	for (guint i = 0; i < MEMBERS; i++)
		say(&world, i, DWS_MEMBER_ALIVE, true);
	for (int i = 0; i < OPS; i++)
		act(&world);
	pick(&world);
	dws_routing_free(world.routing);
	fleet_free(fleet);
	g_rand_free(world.random);
	return 0;
}
