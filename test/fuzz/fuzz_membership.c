/*
 * Memberships under a network that drops, repeats, delays and reorders, with
 * processes that start, stop, leave, pause and share a VM id.
 *
 * Oracle: reports of a member never go back in incarnation and epoch, and
 * nobody comes back from the dead without a higher one; a process of a shared
 * VM id gives way only to a higher claim; after a quiet time all agree with
 * the truth; garbage crashes nothing.
 *
 * Fuzz runs: 700
 */
#include "../support/membership_fleet.c"

#define NODES 6 /* the last has the VM id of the first */
#define OPS 50
#define QUIET_US (80 * DWS_US_PER_S)

static void act(fleet_t *fleet, guint op, guint index, guint value)
{
	fleet_node_t *node = fleet_node(fleet, index);

	if (op == 0)
		fleet_start(fleet, index, 1 + value * 1000);
	else if (op == 1)
		fleet_stop(fleet, index);
	else if (op == 2 && node->membership)
		dws_membership_leave(node->membership, fleet->now_us);
	else if (op == 3)
		node->paused = !node->paused;
	else if (op == 4)
		node->side = value % 2;
	else if (op == 5)
		fleet->drop_percent = (gint32)(value % 60);
	else if (op == 6)
		fleet->repeat_percent = (gint32)(value % 20);
	else if (op == 7)
		fleet->delay_percent = (gint32)(value % 50);
	else if (op == 8)
		fleet_offer_list(fleet, 1 + value % 4);
	else
		fleet_run(fleet, (1 + value) * 20 * DWS_US_PER_MS);
}

/* All is delivered at once, for long enough to settle. */
static void settle(fleet_t *fleet)
{
	fleet->drop_percent = 0;
	fleet->repeat_percent = 0;
	fleet->delay_percent = 0;
	for (guint i = 0; i < NODES; i++) {
		fleet_node(fleet, i)->paused = false;
		fleet_node(fleet, i)->side = 0;
	}
	fleet_offer_list(fleet, 100);
	fleet_run(fleet, QUIET_US);
}

static bool is_active(const fleet_node_t *node)
{
	return node->membership &&
	       !dws_membership_is_replaced(node->membership);
}

/* All that run agree on a VM with the process that holds its id, if any. */
static void check_agreement(const fleet_t *fleet, guint vm)
{
	const dws_member_t *holder = NULL;

	for (guint i = vm; i < NODES; i += NODES - 1) {
		if (!is_active(fleet_node(fleet, i)))
			continue;
		g_assert(!holder);
		holder = dws_membership_self(fleet_node(fleet, i)->membership);
	}
	for (guint i = 0; i < NODES; i++) {
		if (!is_active(fleet_node(fleet, i)))
			continue;
		const dws_member_t *member = dws_membership_find(
			fleet_node(fleet, i)->membership,
			fleet_node(fleet, vm)->settings.vm_id);

		g_assert(member);
		g_assert(holder || member->state == DWS_MEMBER_DEAD);
		g_assert(!holder ||
			 (member->epoch == holder->epoch &&
			  member->incarnation == holder->incarnation &&
			  member->state == holder->state));
	}
}

/* Notes how high the claims of the processes of the shared VM id went. */
static void note_claims(const fleet_t *fleet, GArray *claims)
{
	for (guint i = 0; i < NODES; i += NODES - 1) {
		const dws_membership_t *membership =
			fleet_node(fleet, i)->membership;

		if (membership)
			g_array_append_vals(claims,
					    dws_membership_self(membership), 1);
	}
}

/* A process that gave way gave way to one that had claimed more. */
static void check_replaced(const fleet_node_t *node, const GArray *claims)
{
	if (!node->membership || is_active(node))
		return;
	const dws_member_t *self = dws_membership_self(node->membership);
	bool outbid = false;

	for (guint i = 0; i < claims->len; i++) {
		const dws_member_t *other =
			&g_array_index(claims, dws_member_t, i);

		outbid |= other->epoch != self->epoch &&
			  (other->incarnation > self->incarnation ||
			   (other->incarnation == self->incarnation &&
			    other->epoch > self->epoch));
	}
	g_assert(outbid);
}

/* Garbage, as datagram and as list, and damaged real datagrams. */
static void feed_garbage(fleet_t *fleet, const uint8_t *data, size_t size)
{
	fleet_t *other = fleet_new(1, 1);

	fleet_start(other, 0, 1);
	dws_membership_t *victim = fleet_node(other, 0)->membership;

	dws_membership_receive(victim, 1, data, size, NULL);
	dws_membership_apply_list(victim, 1, (const char *)data, size, NULL);
	for (GList *at = fleet->datagrams.head; at && size > 0; at = at->next) {
		datagram_t damaged = *(datagram_t *)at->data;

		damaged.data[data[0] % damaged.size_bytes] ^= data[size / 2];
		dws_membership_receive(victim, 2, damaged.data,
				       damaged.size_bytes, NULL);
	}
	fleet_free(other);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fleet_t *fleet = fleet_new(NODES, 2);
	GRand *random = g_rand_new_with_seed(0);
	GArray *claims = g_array_new(FALSE, FALSE, sizeof(dws_member_t));

	for (size_t i = 0; i < size; i++)
		g_rand_set_seed(random, g_rand_int(random) ^ data[i]);
	fleet->step_us = 100 * DWS_US_PER_MS;
	g_rand_set_seed(fleet->random, g_rand_int(random));
	g_strlcpy(fleet_node(fleet, NODES - 1)->settings.vm_id, "vm-0",
		  DWS_ID_SIZE);
	for (guint i = 0; i < NODES - 1; i++)
		fleet_start(fleet, i, 100000);
	/* After the end of the input, it seeds the rest. */
	for (guint i = 0; i < OPS; i++) {
		guint value = i < size
				      ? data[i]
				      : (guint)g_rand_int_range(random, 0, 256);

		act(fleet, value % 12,
		    (guint)g_rand_int_range(random, 0, NODES),
		    (guint)g_rand_int_range(random, 0, 256));
		note_claims(fleet, claims);
	}
	feed_garbage(fleet, data, size);
	settle(fleet);
	note_claims(fleet, claims);
	g_assert(fleet->order_faults == 0);
	for (guint vm = 0; vm < NODES - 1; vm++)
		check_agreement(fleet, vm);
	check_replaced(fleet_node(fleet, 0), claims);
	check_replaced(fleet_node(fleet, NODES - 1), claims);
	g_array_free(claims, TRUE);
	g_rand_free(random);
	fleet_free(fleet);
	return 0;
}
