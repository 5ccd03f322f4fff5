/*
 * Simulates many memberships in one process on a virtual clock. The network
 * delivers datagrams at the next step, or drops, duplicates or delays them.
 */
#ifndef DWS_TEST_SUPPORT_MEMBERSHIP_FLEET_H
#define DWS_TEST_SUPPORT_MEMBERSHIP_FLEET_H

#include "process/membership.h"

typedef struct fleet fleet_t;

typedef struct fleet_node {
	fleet_t *fleet;
	dws_settings_t settings;
	dws_membership_t *membership; /* NULL while the process is stopped */
	GHashTable *last_reports; /* dws_member_t by VM id */
	dws_document_versions_t versions;
	bool paused; /* neither ticks nor receives */
	guint partition_id; /* no datagrams pass between different ids */
	int64_t next_tick_us;
	uint64_t datagrams;
	uint64_t bytes; /* sent and received */
} fleet_node_t;

struct fleet {
	GPtrArray *nodes; /* fleet_node_t *, owned */
	GQueue datagrams; /* to be delivered at the next step */
	GRand *random;
	int64_t now_us;
	int64_t step_us;
	gint32 drop_percent;
	gint32 duplicate_percent;
	gint32 delay_percent;
	guint order_violations; /* reports out of (incarnation, epoch) order */
};

fleet_t *fleet_new(guint count, guint zones);
void fleet_free(fleet_t *fleet);
fleet_node_t *fleet_node(const fleet_t *fleet, guint index);
/* (Re)starts a process with a new, unique epoch; the first is 1000. */
void fleet_start(fleet_t *fleet, guint index, int64_t wall_ms);
void fleet_stop(fleet_t *fleet, guint index);
/* Passes a VM list with all nodes to each running node. */
void fleet_offer_list(fleet_t *fleet, uint64_t revision);
void fleet_run(fleet_t *fleet, int64_t duration_us);
/* Counts the running nodes that see a node in a state. */
guint fleet_count(const fleet_t *fleet, guint index, dws_member_state_t state);
/*
 * Runs until at least count nodes see a node in a state; returns false if that
 * takes longer than timeout_us.
 */
bool fleet_run_until(fleet_t *fleet, guint index, dws_member_state_t state,
		     guint count, int64_t timeout_us);
/* Passes a membership a forged probe with the sender's description. */
bool fleet_send_forged_probe(dws_membership_t *membership,
			     const dws_member_t *sender, GError **error);

#endif
