/*
 * Runs memberships on a network that drops, repeats, delays and reorders
 * datagrams, with processes that start, stop, leave, pause and share a VM id.
 *
 * The oracle checks that:
 * - reports of a member never decrease in (incarnation, epoch), and a dead
 *   member becomes alive again only with a higher pair,
 * - a process of the shared VM id is replaced only by one with a higher pair,
 * - after SETTLE_TIME_US without faults, all agree with the actual state,
 * - invalid input does not crash.
 *
 * Fuzz runs: 700
 */
#include "../support/membership_fleet.c"

#define NODES 6 /* the last node has the VM id of the first */
#define OPS 50
#define SETTLE_TIME_US (80 * DWS_US_PER_S)

static void apply_operation(fleet_t *fleet, guint operation, guint index,
			    guint value)
{
	fleet_node_t *node = fleet_node(fleet, index);

	if (operation == 0)
		fleet_start(fleet, index, 1 + value * 1000);
	else if (operation == 1)
		fleet_stop(fleet, index);
	else if (operation == 2 && node->membership)
		dws_membership_leave(node->membership, fleet->now_us);
	else if (operation == 3)
		node->paused = !node->paused;
	else if (operation == 4)
		node->partition_id = value % 2;
	else if (operation == 5)
		fleet->drop_percent = (gint32)(value % 60);
	else if (operation == 6)
		fleet->duplicate_percent = (gint32)(value % 20);
	else if (operation == 7)
		fleet->delay_percent = (gint32)(value % 50);
	else if (operation == 8)
		fleet_offer_list(fleet, 1 + value % 4);
	else
		fleet_run(fleet, (1 + value) * 20 * DWS_US_PER_MS);
}

/* Ends all faults and runs until the members have converged. */
static void settle(fleet_t *fleet)
{
	fleet->drop_percent = 0;
	fleet->duplicate_percent = 0;
	fleet->delay_percent = 0;
	for (guint i = 0; i < NODES; i++) {
		fleet_node(fleet, i)->paused = false;
		fleet_node(fleet, i)->partition_id = 0;
	}
	fleet_offer_list(fleet, 100);
	fleet_run(fleet, SETTLE_TIME_US);
}

static bool is_active(const fleet_node_t *node)
{
	return node->membership &&
	       !dws_membership_is_replaced(node->membership);
}

/*
 * Checks that all active processes agree with the active process of a VM id,
 * or see the member as dead if there is none.
 */
static void check_agreement(const fleet_t *fleet, guint vm)
{
	const dws_member_t *active = NULL;

	for (guint i = vm; i < NODES; i += NODES - 1) {
		if (!is_active(fleet_node(fleet, i)))
			continue;
		g_assert(!active);
		active = dws_membership_self(fleet_node(fleet, i)->membership);
	}
	for (guint i = 0; i < NODES; i++) {
		if (!is_active(fleet_node(fleet, i)))
			continue;
		const dws_member_t *member = dws_membership_find(
			fleet_node(fleet, i)->membership,
			fleet_node(fleet, vm)->settings.vm_id);

		g_assert(member);
		g_assert(active || member->state == DWS_MEMBER_DEAD);
		g_assert(!active ||
			 (member->epoch == active->epoch &&
			  member->incarnation == active->incarnation &&
			  member->state == active->state));
	}
}

/* Records the processes with the shared VM id. */
static void record_processes(const fleet_t *fleet, GArray *processes)
{
	for (guint i = 0; i < NODES; i += NODES - 1) {
		const dws_membership_t *membership =
			fleet_node(fleet, i)->membership;

		if (membership)
			g_array_append_vals(processes,
					    dws_membership_self(membership), 1);
	}
}

/* Checks that a replaced process was replaced by one with a higher pair. */
static void check_replaced(const fleet_node_t *node, const GArray *processes)
{
	if (!node->membership || is_active(node))
		return;
	const dws_member_t *self = dws_membership_self(node->membership);
	bool has_higher_pair = false;

	for (guint i = 0; i < processes->len; i++) {
		const dws_member_t *other =
			&g_array_index(processes, dws_member_t, i);

		has_higher_pair |= other->epoch != self->epoch &&
				   (other->incarnation > self->incarnation ||
				    (other->incarnation == self->incarnation &&
				     other->epoch > self->epoch));
	}
	g_assert(has_higher_pair);
}

/* Feeds the input as a datagram and as a list, and corrupted real datagrams. */
static void feed_invalid_input(fleet_t *fleet, const uint8_t *data, size_t size)
{
	fleet_t *other = fleet_new(1, 1);

	fleet_start(other, 0, 1);
	dws_membership_t *receiver = fleet_node(other, 0)->membership;

	dws_membership_receive(receiver, 1, data, size, NULL);
	dws_membership_apply_list(receiver, 1, (const char *)data, size, NULL);
	for (GList *link = fleet->datagrams.head; link && size > 0;
	     link = link->next) {
		datagram_t corrupted = *(datagram_t *)link->data;

		corrupted.data[data[0] % corrupted.size_bytes] ^=
			data[size / 2];
		dws_membership_receive(receiver, 2, corrupted.data,
				       corrupted.size_bytes, NULL);
	}
	fleet_free(other);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fleet_t *fleet = fleet_new(NODES, 2);
	GRand *random = g_rand_new_with_seed(0);
	GArray *processes = g_array_new(FALSE, FALSE, sizeof(dws_member_t));

	for (size_t i = 0; i < size; i++)
		g_rand_set_seed(random, g_rand_int(random) ^ data[i]);
	fleet->step_us = 100 * DWS_US_PER_MS;
	g_rand_set_seed(fleet->random, g_rand_int(random));
	g_strlcpy(fleet_node(fleet, NODES - 1)->settings.vm_id, "vm-0",
		  DWS_ID_SIZE);
	for (guint i = 0; i < NODES - 1; i++)
		fleet_start(fleet, i, 100000);
	/* After the end of the input, a generator seeded by it continues. */
	for (guint i = 0; i < OPS; i++) {
		guint value = i < size
				      ? data[i]
				      : (guint)g_rand_int_range(random, 0, 256);

		apply_operation(fleet, value % 12,
				(guint)g_rand_int_range(random, 0, NODES),
				(guint)g_rand_int_range(random, 0, 256));
		record_processes(fleet, processes);
	}
	feed_invalid_input(fleet, data, size);
	settle(fleet);
	record_processes(fleet, processes);
	g_assert(fleet->order_violations == 0);
	for (guint vm = 0; vm < NODES - 1; vm++)
		check_agreement(fleet, vm);
	check_replaced(fleet_node(fleet, 0), processes);
	check_replaced(fleet_node(fleet, NODES - 1), processes);
	g_array_free(processes, TRUE);
	g_rand_free(random);
	fleet_free(fleet);
	return 0;
}
