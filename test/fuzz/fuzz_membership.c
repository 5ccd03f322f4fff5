/*
 * Memberships under a network that drops, repeats, delays and reorders, with
 * processes that start, stop, leave, pause and share a VM id.
 *
 * Oracle: a member's incarnation and epoch never go back at any observer, and
 * nobody comes back from the dead without a higher one; of two processes of
 * one VM id the higher incarnation wins; after a quiet time all agree with
 * the truth; garbage crashes nothing and the table stays bounded.
 *
 * Fuzz runs: 800
 */
#include <inttypes.h>
#include <string.h>
#include "process/membership.h"

#define PROCESSES 6 /* the last has the VM id of the first */
#define BAG 128
#define OPS 400
#define QUIET_MS 80000
#define QUIET_STEP_MS 500
#define FIRST_PORT 100

typedef struct datagram {
	guint to;
	size_t size_bytes;
	uint8_t data[1500];
} datagram_t;

/* The last report of a member at one observer. */
typedef struct seen {
	uint64_t epoch;
	uint64_t incarnation;
	dws_member_state_t state;
} seen_t;

typedef struct process {
	struct world *world;
	dws_settings_t settings;
	dws_membership_t *membership;
	bool left;
	GHashTable *seen;
} process_t;

typedef struct world {
	process_t processes[PROCESSES];
	datagram_t bag[BAG];
	guint bag_count;
	bool quiet;
	int64_t now_us;
	uint64_t epochs;
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

static void put_datagram(void *context, const dws_address_t *to,
			 const uint8_t *data, size_t size_bytes)
{
	process_t *process = context;
	world_t *world = process->world;
	guint slot = world->bag_count;
	guint index = (guint)to->port - FIRST_PORT;

	g_assert(size_bytes <= 1200);
	if (index >= PROCESSES)
		return;
	if (slot == BAG) {
		g_assert(!world->quiet);
		slot = (guint)(world->now_us % BAG); /* lost */
	} else {
		world->bag_count++;
	}
	world->bag[slot].to = index;
	world->bag[slot].size_bytes = size_bytes;
	memcpy(world->bag[slot].data, data, size_bytes);
}

static void check_change(void *context, const dws_member_t *member)
{
	process_t *process = context;
	seen_t *seen = g_hash_table_lookup(process->seen, member->vm_id);

	if (!seen) {
		seen = g_new0(seen_t, 1);
		g_hash_table_insert(process->seen, g_strdup(member->vm_id),
				    seen);
	}
	bool higher = member->incarnation > seen->incarnation ||
		      (member->incarnation == seen->incarnation &&
		       member->epoch > seen->epoch);

	g_assert(member->incarnation >= seen->incarnation);
	g_assert(higher || member->epoch == seen->epoch);
	g_assert(seen->epoch == 0 || higher || seen->state != DWS_MEMBER_DEAD ||
		 member->state == DWS_MEMBER_DEAD);
	*seen = (seen_t){member->epoch, member->incarnation, member->state};
}

static void ignore_claim(void *context, const dws_address_t *frame,
			 const dws_claim_t *claim)
{
}

static const dws_membership_ops_t ops = {
	.send = put_datagram,
	.changed = check_change,
	.claimed = ignore_claim,
};

static void stop(process_t *process)
{
	dws_membership_free(process->membership);
	process->membership = NULL;
	if (process->seen)
		g_hash_table_destroy(process->seen);
	process->seen = NULL;
}

/* Starts a process anew; its wall clock may be wrong. */
static void start(world_t *world, guint index, int64_t wall_ms)
{
	process_t *process = &world->processes[index];
	dws_settings_t *settings = &process->settings;

	stop(process);
	process->world = world;
	process->left = false;
	g_snprintf(settings->vm_id, DWS_ID_SIZE, "vm-%u",
		   index % (PROCESSES - 1));
	g_strlcpy(settings->zone, index % 2 ? "a" : "b", DWS_ID_SIZE);
	g_strlcpy(settings->frame_listen.ip, "10.0.0.1", 46);
	settings->frame_listen.port = (uint16_t)(FIRST_PORT + index);
	settings->datagram_listen = settings->frame_listen;
	settings->probe_interval_ms = 1000;
	settings->seed_count = 2;
	settings->seeds[0].datagram = settings->frame_listen;
	settings->seeds[0].datagram.port = FIRST_PORT;
	settings->seeds[1].datagram = settings->frame_listen;
	settings->seeds[1].datagram.port = FIRST_PORT + 3;
	process->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	process->membership =
		dws_membership_new(settings, &ops, process, ++world->epochs,
				   index, world->now_us, wall_ms);
}

static void offer_list(world_t *world, guint index, uint64_t revision)
{
	process_t *process = &world->processes[index];
	GString *text = g_string_new(NULL);

	g_string_printf(text, "revision: %" PRIu64 "\nvms:\n", revision);
	for (guint i = 0; i < PROCESSES - 1; i++)
		g_string_append_printf(text,
				       "- {id: vm-%u, ip: 10.0.0.1, "
				       "frame_port: %u, datagram_port: %u, "
				       "zone: %c, region: r, service: s, "
				       "state: live}\n",
				       i, FIRST_PORT + i, FIRST_PORT + i,
				       i % 2 ? 'a' : 'b');
	if (process->membership)
		g_assert(dws_membership_offer_list(process->membership,
						   world->now_us, text->str,
						   text->len, NULL));
	g_string_free(text, TRUE);
}

static void deliver(world_t *world, guint slot, bool keep)
{
	datagram_t datagram = world->bag[slot];
	process_t *to = &world->processes[datagram.to];

	if (!keep)
		world->bag[slot] = world->bag[--world->bag_count];
	if (to->membership)
		g_assert(dws_membership_receive(to->membership, world->now_us,
						datagram.data,
						datagram.size_bytes, NULL));
}

static void tick_all(world_t *world, guint skipped)
{
	for (guint i = 0; i < PROCESSES; i++) {
		if (world->processes[i].membership && i != skipped)
			dws_membership_tick(world->processes[i].membership,
					    world->now_us);
	}
}

/* One step that the input asks for. */
static void act(world_t *world)
{
	guint op = take(world, 12);
	guint index = take(world, PROCESSES);
	process_t *process = &world->processes[index];

	if (op < 3) {
		world->now_us += (take(world, 10) + 1) * 100 * DWS_US_PER_MS;
		tick_all(world, index);
	} else if (op < 7 && world->bag_count > 0) {
		deliver(world, take(world, world->bag_count), op == 3);
	} else if (op == 7 && world->bag_count > 0) {
		world->bag_count--;
	} else if (op == 8) {
		start(world, index, 1 + (int64_t)take(world, 256) * 1000);
	} else if (op == 9) {
		stop(process);
	} else if (op == 10 && process->membership) {
		dws_membership_leave(process->membership, world->now_us);
		process->left = true;
	} else if (op == 11) {
		offer_list(world, index, 1 + take(world, 4));
	}
}

/* Everything arrives at once, for long enough to settle. */
static void settle(world_t *world)
{
	while (world->bag_count > 0)
		deliver(world, 0, false);
	world->quiet = true;
	for (guint i = 0; i < PROCESSES; i++)
		offer_list(world, i, 100);
	for (int ms = 0; ms < QUIET_MS; ms += QUIET_STEP_MS) {
		world->now_us += QUIET_STEP_MS * DWS_US_PER_MS;
		for (guint i = 0; i < PROCESSES; i++) {
			process_t *process = &world->processes[i];

			if (process->membership)
				dws_membership_tick(process->membership,
						    world->now_us);
			while (world->bag_count > 0)
				deliver(world, 0, false);
		}
	}
}

static bool is_active(const process_t *process)
{
	return process->membership &&
	       !dws_membership_is_replaced(process->membership);
}

/* All that run agree on a VM id with the process that holds it, if any. */
static void check_agreement(world_t *world, guint vm)
{
	const process_t *holder = NULL;
	char vm_id[DWS_ID_SIZE];

	g_snprintf(vm_id, sizeof(vm_id), "vm-%u", vm);
	for (guint i = vm; i < PROCESSES; i += PROCESSES - 1) {
		if (!is_active(&world->processes[i]))
			continue;
		g_assert(!holder);
		holder = &world->processes[i];
	}
	for (guint i = 0; i < PROCESSES; i++) {
		if (!is_active(&world->processes[i]))
			continue;
		const dws_member_t *member = dws_membership_find(
			world->processes[i].membership, vm_id);

		g_assert(member);
		g_assert(holder || member->state == DWS_MEMBER_DEAD);
		if (!holder)
			continue;
		const dws_member_t *self =
			dws_membership_self(holder->membership);

		g_assert(member->epoch == self->epoch);
		g_assert(member->incarnation == self->incarnation);
		g_assert(member->state == (holder->left ? DWS_MEMBER_LEAVING
							: DWS_MEMBER_ALIVE));
	}
}

/* Of two processes of one VM id, the one that gave way is the lower. */
static void check_winner(const world_t *world)
{
	const process_t *a = &world->processes[0];
	const process_t *b = &world->processes[PROCESSES - 1];

	if (!a->membership || !b->membership || is_active(a) == is_active(b))
		return;
	const dws_member_t *winner = dws_membership_self(
		is_active(a) ? a->membership : b->membership);
	const dws_member_t *loser = dws_membership_self(
		is_active(a) ? b->membership : a->membership);

	g_assert(winner->incarnation > loser->incarnation ||
		 (winner->incarnation == loser->incarnation &&
		  winner->epoch > loser->epoch));
}

static void discard(void *context, const dws_address_t *to, const uint8_t *data,
		    size_t size_bytes)
{
}

static void ignore_change(void *context, const dws_member_t *member)
{
}

static const dws_membership_ops_t victim_ops = {
	.send = discard,
	.changed = ignore_change,
	.claimed = ignore_claim,
};

/* Garbage, as datagram and as list, and damaged real datagrams. */
static void feed_garbage(const world_t *world, const uint8_t *data, size_t size)
{
	dws_membership_t *victim = dws_membership_new(
		&world->processes[1].settings, &victim_ops, NULL, 99, 1, 0, 1);

	dws_membership_receive(victim, 1, data, size, NULL);
	dws_membership_offer_list(victim, 1, (const char *)data, size, NULL);
	for (guint i = 0; i < world->bag_count && size > 0; i++) {
		datagram_t datagram = world->bag[i];

		datagram.data[data[i % size] % datagram.size_bytes] ^=
			(uint8_t)(1 + i);
		dws_membership_receive(victim, 2, datagram.data,
				       datagram.size_bytes, NULL);
		dws_membership_tick(victim, i * DWS_US_PER_S);
	}
	g_assert(dws_membership_all(victim)->len <= 4096);
	dws_membership_free(victim);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static guint32 hash_input(const uint8_t *data, size_t size)
{
	guint32 hash = 5381;

	for (size_t i = 0; i < size; i++)
		hash = hash * 33 + data[i];
	return hash;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_t *world = g_new0(world_t, 1);

	world->data = data;
	world->size = size;
	world->random = g_rand_new_with_seed(hash_input(data, size));
	for (guint i = 0; i < PROCESSES; i++) {
		if (i < PROCESSES - 1 || size % 2)
			start(world, i, 100000);
	}
	for (int i = 0; i < OPS; i++)
		act(world);
	feed_garbage(world, data, size);
	settle(world);
	for (guint vm = 0; vm < PROCESSES - 1; vm++)
		check_agreement(world, vm);
	check_winner(world);
	for (guint i = 0; i < PROCESSES; i++)
		stop(&world->processes[i]);
	g_rand_free(world->random);
	g_free(world);
	return 0;
}
