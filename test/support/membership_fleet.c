/*
 * Simulates memberships on a virtual clock and a lossy network.
 */
#include "membership_fleet.h"

#include <string.h>
#include "connection/wire.pb-c.h"

#define FIRST_PORT 1000
#define FIRST_EPOCH 1000

typedef struct datagram {
	guint from;
	guint to;
	size_t size_bytes;
	uint8_t data[1500];
} datagram_t;

static void send_datagram(void *context, const dws_address_t *target,
			  const uint8_t *data, size_t size_bytes)
{
	fleet_node_t *node = context;
	fleet_t *fleet = node->fleet;
	guint index = (guint)target->port - FIRST_PORT;

	node->datagrams++;
	node->bytes += size_bytes;
	if (index >= fleet->nodes->len ||
	    g_rand_int_range(fleet->random, 0, 100) < fleet->drop_percent)
		return;
	datagram_t *datagram = g_new(datagram_t, 1);

	datagram->from = node->settings.datagram_listen.port - FIRST_PORT;
	datagram->to = index;
	datagram->size_bytes = size_bytes;
	memcpy(datagram->data, data, size_bytes);
	g_queue_push_tail(&fleet->datagrams, datagram);
}

/*
 * Checks that reports of a member never decrease in (incarnation, epoch), and
 * that a dead member becomes alive again only with a higher pair.
 */
static void member_changed(void *context, const dws_member_t *member)
{
	fleet_node_t *node = context;
	dws_member_t *seen =
		g_hash_table_lookup(node->last_reports, member->vm_id);

	if (!seen) {
		seen = g_new0(dws_member_t, 1);
		g_hash_table_insert(node->last_reports, g_strdup(member->vm_id),
				    seen);
	}
	bool is_newer = member->incarnation > seen->incarnation ||
			(member->incarnation == seen->incarnation &&
			 member->epoch > seen->epoch);
	bool is_consistent =
		member->incarnation >= seen->incarnation &&
		member->epoch == seen->epoch &&
		(seen->state != DWS_MEMBER_DEAD || seen->epoch == 0 ||
		 member->state == DWS_MEMBER_DEAD);

	if (!is_newer && !is_consistent)
		node->fleet->order_violations++;
	*seen = *member;
}

/*
 * Adopts and announces a higher config sequence that a peer announces, as a
 * process does once it has applied the configuration.
 */
static void adopt_versions(void *context, const char *vm_id,
			   const dws_address_t *frame,
			   const dws_document_versions_t *versions)
{
	fleet_node_t *node = context;

	if (versions->config_sequence <= node->versions.config_sequence)
		return;
	node->versions = *versions;
	dws_membership_set_versions(node->membership, &node->versions);
	dws_membership_broadcast_versions(node->membership,
					  node->fleet->now_us);
}

static const dws_membership_ops_t fleet_ops = {
	.send = send_datagram,
	.member_changed = member_changed,
	.versions_received = adopt_versions,
};

fleet_t *fleet_new(guint count, guint zones)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->nodes = g_ptr_array_new();
	fleet->random = g_rand_new_with_seed(1);
	fleet->step_us = 5 * DWS_US_PER_MS;
	for (guint i = 0; i < count; i++) {
		fleet_node_t *node = g_new0(fleet_node_t, 1);
		dws_settings_t *settings = &node->settings;

		node->fleet = fleet;
		g_snprintf(settings->vm_id, DWS_ID_SIZE, "vm-%u", i);
		g_snprintf(settings->zone, DWS_ID_SIZE, "zone-%u", i % zones);
		g_snprintf(settings->region, DWS_ID_SIZE, "region-%u",
			   i % zones % 3);
		g_snprintf(settings->service, DWS_ID_SIZE, "service-%u",
			   i % 100);
		g_strlcpy(settings->frame_listen.ip, "10.0.0.1", 46);
		settings->frame_listen.port = (uint16_t)(FIRST_PORT + i);
		settings->datagram_listen = settings->frame_listen;
		settings->probe_interval_ms = 1000;
		settings->seed_count = 2;
		settings->seeds[0].datagram = settings->frame_listen;
		settings->seeds[0].datagram.port = FIRST_PORT;
		settings->seeds[1].datagram = settings->frame_listen;
		settings->seeds[1].datagram.port = FIRST_PORT + 2;
		g_ptr_array_add(fleet->nodes, node);
	}
	return fleet;
}

void fleet_free(fleet_t *fleet)
{
	for (guint i = 0; i < fleet->nodes->len; i++) {
		fleet_stop(fleet, i);
		g_free(fleet->nodes->pdata[i]);
	}
	g_ptr_array_free(fleet->nodes, TRUE);
	g_queue_clear_full(&fleet->datagrams, g_free);
	g_rand_free(fleet->random);
	g_free(fleet);
}

fleet_node_t *fleet_node(const fleet_t *fleet, guint index)
{
	return fleet->nodes->pdata[index];
}

void fleet_start(fleet_t *fleet, guint index, int64_t wall_ms)
{
	fleet_node_t *node = fleet_node(fleet, index);
	static uint64_t last_epoch = FIRST_EPOCH;

	fleet_stop(fleet, index);
	node->paused = false;
	node->last_reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->membership =
		dws_membership_new(&node->settings, &fleet_ops, node,
				   last_epoch++, index, fleet->now_us, wall_ms);
	/* First ticks are spread over 1 s: processes are not in phase. */
	node->next_tick_us =
		fleet->now_us +
		g_rand_int_range(fleet->random, 0, 1000) * DWS_US_PER_MS;
}

void fleet_stop(fleet_t *fleet, guint index)
{
	fleet_node_t *node = fleet_node(fleet, index);

	dws_membership_free(node->membership);
	node->membership = NULL;
	g_clear_pointer(&node->last_reports, g_hash_table_destroy);
}

void fleet_offer_list(fleet_t *fleet, uint64_t revision)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "revision: %lu\nvms:\n", (gulong)revision);
	for (guint i = 0; i < fleet->nodes->len; i++) {
		const dws_settings_t *vm = &fleet_node(fleet, i)->settings;

		if (strstr(text->str, vm->vm_id) && i + 1 == fleet->nodes->len)
			break; /* a second process with the same VM id */
		g_string_append_printf(
			text,
			"- {id: %s, ip: 10.0.0.1, frame_port: %u, "
			"datagram_port: %u, zone: %s, region: %s, "
			"service: %s, state: live}\n",
			vm->vm_id, vm->frame_listen.port,
			vm->datagram_listen.port, vm->zone, vm->region,
			vm->service);
	}
	for (guint i = 0; i < fleet->nodes->len; i++) {
		dws_membership_t *target = fleet_node(fleet, i)->membership;

		if (target)
			g_assert(dws_membership_apply_list(
				target, fleet->now_us, text->str, text->len,
				NULL));
	}
	g_string_free(text, TRUE);
}

static void deliver(fleet_t *fleet, const datagram_t *datagram)
{
	fleet_node_t *target = fleet_node(fleet, datagram->to);

	if (!target->membership || target->paused ||
	    target->partition_id !=
		    fleet_node(fleet, datagram->from)->partition_id)
		return;
	target->bytes += datagram->size_bytes;
	g_assert(dws_membership_receive(target->membership, fleet->now_us,
					datagram->data, datagram->size_bytes,
					NULL));
}

static void step(fleet_t *fleet)
{
	guint count = fleet->datagrams.length;

	fleet->now_us += fleet->step_us;
	while (count-- > 0) {
		datagram_t *datagram = g_queue_pop_head(&fleet->datagrams);
		gint32 roll = g_rand_int_range(fleet->random, 0, 100);
		bool keep =
			roll < fleet->duplicate_percent + fleet->delay_percent;

		if (!keep || roll < fleet->duplicate_percent)
			deliver(fleet, datagram);
		if (keep)
			g_queue_push_tail(&fleet->datagrams, datagram);
		else
			g_free(datagram);
	}
	for (guint i = 0; i < fleet->nodes->len; i++) {
		fleet_node_t *node = fleet_node(fleet, i);

		if (node->membership && !node->paused &&
		    fleet->now_us >= node->next_tick_us)
			node->next_tick_us = dws_membership_tick(
				node->membership, fleet->now_us);
	}
}

void fleet_run(fleet_t *fleet, int64_t duration_us)
{
	int64_t until_us = fleet->now_us + duration_us;

	while (fleet->now_us < until_us)
		step(fleet);
}

guint fleet_count(const fleet_t *fleet, guint index, dws_member_state_t state)
{
	const char *vm_id = fleet_node(fleet, index)->settings.vm_id;
	guint count = 0;

	for (guint i = 0; i < fleet->nodes->len; i++) {
		const fleet_node_t *node = fleet_node(fleet, i);

		if (!node->membership || node->paused)
			continue;
		const dws_member_t *member =
			dws_membership_find(node->membership, vm_id);

		if (member && member->state == state)
			count++;
	}
	return count;
}

bool fleet_run_until(fleet_t *fleet, guint index, dws_member_state_t state,
		     guint count, int64_t timeout_us)
{
	int64_t until_us = fleet->now_us + timeout_us;

	while (fleet_count(fleet, index, state) < count) {
		if (fleet->now_us >= until_us)
			return false;
		step(fleet);
	}
	return true;
}

bool fleet_send_forged_probe(dws_membership_t *membership,
			     const dws_member_t *sender, GError **error)
{
	Dws__Probe probe = DWS__PROBE__INIT;
	Dws__MemberUpdate update = DWS__MEMBER_UPDATE__INIT;
	uint8_t packet[1000];

	update.vm_id = (char *)sender->vm_id;
	update.ip = (char *)sender->frame.ip;
	update.frame_port = 1;
	update.datagram_port = 1;
	update.zone = (char *)sender->zone;
	update.region = (char *)sender->region;
	update.service = (char *)sender->service;
	update.epoch = sender->epoch;
	update.incarnation = sender->incarnation;
	update.state = sender->state;
	probe.sender = &update;
	return dws_membership_receive(membership, 0, packet,
				      dws__probe__pack(&probe, packet), error);
}
