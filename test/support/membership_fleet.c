/*
 * Many memberships on a clock of their own; see the header.
 */
#include "support/membership_fleet.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define FIRST_PORT 1000
#define INTERVAL_MS 1000

typedef struct datagram {
	guint from;
	guint to;
	size_t size_bytes;
	uint8_t data[1500];
} datagram_t;

static guint index_of(const fleet_node_t *node)
{
	return node->settings.datagram_listen.port - FIRST_PORT;
}

static void send_datagram(void *context, const dws_address_t *to,
			  const uint8_t *data, size_t size_bytes)
{
	fleet_node_t *node = context;
	fleet_t *fleet = node->fleet;
	guint index = (guint)to->port - FIRST_PORT;

	node->datagrams_sent++;
	node->bytes_sent += size_bytes;
	if (index >= fleet->nodes->len ||
	    g_rand_int_range(fleet->random, 0, 100) <
		    (gint32)fleet->drop_percent)
		return;
	datagram_t *datagram = g_new(datagram_t, 1);

	datagram->from = index_of(node);
	datagram->to = index;
	datagram->size_bytes = size_bytes;
	memcpy(datagram->data, data, size_bytes);
	g_queue_push_tail(&fleet->datagrams, datagram);
}

static void member_changed(void *context, const dws_member_t *member)
{
}

/* Passes news of a sequence on, as a process does once it has it. */
static void peer_claimed(void *context, const dws_address_t *frame,
			 const dws_claim_t *claim)
{
	fleet_node_t *node = context;

	if (claim->config_sequence <= node->claim.config_sequence)
		return;
	node->claim = *claim;
	dws_membership_set_claim(node->membership, &node->claim);
	dws_membership_announce(node->membership, node->fleet->now_us);
}

static const dws_membership_ops_t fleet_ops = {
	.send = send_datagram,
	.changed = member_changed,
	.claimed = peer_claimed,
};

fleet_t *fleet_new(guint count, guint zones)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->nodes = g_ptr_array_new();
	fleet->random = g_rand_new_with_seed(1);
	for (guint i = 0; i < count; i++) {
		fleet_node_t *node = g_new0(fleet_node_t, 1);
		dws_settings_t *settings = &node->settings;

		node->fleet = fleet;
		snprintf(settings->vm_id, DWS_ID_SIZE, "vm-%u", i);
		snprintf(settings->zone, DWS_ID_SIZE, "zone-%u", i % zones);
		snprintf(settings->region, DWS_ID_SIZE, "region-%u",
			 i % zones % 3);
		snprintf(settings->service, DWS_ID_SIZE, "service-%u", i % 100);
		g_strlcpy(settings->frame_listen.ip, "10.0.0.1", 46);
		settings->frame_listen.port = (uint16_t)(FIRST_PORT + i);
		settings->datagram_listen = settings->frame_listen;
		settings->probe_interval_ms = INTERVAL_MS;
		settings->seed_count = 1;
		settings->seeds[0].datagram.port = FIRST_PORT;
		g_strlcpy(settings->seeds[0].datagram.ip, "10.0.0.1", 46);
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

fleet_node_t *fleet_node(fleet_t *fleet, guint index)
{
	return fleet->nodes->pdata[index];
}

void fleet_start(fleet_t *fleet, guint index, uint64_t epoch, int64_t wall_ms)
{
	fleet_node_t *node = fleet_node(fleet, index);

	fleet_stop(fleet, index);
	node->membership =
		dws_membership_new(&node->settings, &fleet_ops, node, epoch,
				   index + 1, fleet->now_us, wall_ms);
	/* Processes do not start in step. */
	node->next_tick_us =
		fleet->now_us +
		(int64_t)g_rand_int_range(fleet->random, 0, INTERVAL_MS) *
			DWS_US_PER_MS;
}

void fleet_stop(fleet_t *fleet, guint index)
{
	fleet_node_t *node = fleet_node(fleet, index);

	dws_membership_free(node->membership);
	node->membership = NULL;
}

char *fleet_list_text(const fleet_t *fleet, uint64_t revision, guint leaving)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "revision: %" PRIu64 "\nvms:\n", revision);
	for (guint i = 0; i < fleet->nodes->len; i++) {
		const fleet_node_t *node = fleet->nodes->pdata[i];
		const dws_settings_t *settings = &node->settings;

		g_string_append_printf(
			text,
			"  - {id: %s, ip: %s, frame_port: %u, "
			"datagram_port: %u, zone: %s, region: %s, "
			"service: %s, state: %s}\n",
			settings->vm_id, settings->frame_listen.ip,
			settings->frame_listen.port,
			settings->datagram_listen.port, settings->zone,
			settings->region, settings->service,
			i == leaving ? "leaving" : "live");
	}
	return g_string_free(text, FALSE);
}

void fleet_offer_list(fleet_t *fleet, uint64_t revision)
{
	char *text = fleet_list_text(fleet, revision, G_MAXUINT);

	for (guint i = 0; i < fleet->nodes->len; i++) {
		fleet_node_t *node = fleet_node(fleet, i);

		if (node->membership)
			dws_membership_offer_list(node->membership,
						  fleet->now_us, text,
						  strlen(text), NULL);
	}
	g_free(text);
}

static void deliver(fleet_t *fleet, const datagram_t *datagram)
{
	fleet_node_t *to = fleet_node(fleet, datagram->to);
	const fleet_node_t *from = fleet_node(fleet, datagram->from);

	if (!to->membership || to->paused || to->side != from->side)
		return;
	to->bytes_received += datagram->size_bytes;
	dws_membership_receive(to->membership, fleet->now_us, datagram->data,
			       datagram->size_bytes, NULL);
}

static void step(fleet_t *fleet)
{
	guint count = fleet->datagrams.length;

	fleet->now_us += FLEET_STEP_US;
	while (count-- > 0) {
		datagram_t *datagram = g_queue_pop_head(&fleet->datagrams);

		deliver(fleet, datagram);
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

guint fleet_count(fleet_t *fleet, guint index, dws_member_state_t state)
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

bool fleet_await(fleet_t *fleet, guint index, dws_member_state_t state,
		 guint count, int64_t most_us)
{
	int64_t until_us = fleet->now_us + most_us;

	while (fleet_count(fleet, index, state) < count) {
		if (fleet->now_us >= until_us)
			return false;
		step(fleet);
	}
	return true;
}
