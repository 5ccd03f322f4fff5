/*
 * Many memberships in one process on a clock of their own, with a network
 * that delivers datagrams at the next step, or drops, repeats or delays them.
 */
#ifndef DWS_TEST_SUPPORT_MEMBERSHIP_FLEET_H
#define DWS_TEST_SUPPORT_MEMBERSHIP_FLEET_H

#include "process/membership.h"

typedef struct fleet fleet_t;

typedef struct fleet_node {
	fleet_t *fleet;
	dws_settings_t settings;
	dws_membership_t *membership; /* NULL while it does not run */
	GHashTable *seen; /* vm id to the last report of the member */
	dws_document_versions_t claim;
	bool paused; /* neither ticks nor receives */
	guint side; /* of a partition; sides don't hear each other */
	int64_t next_tick_us;
	uint64_t datagrams;
	uint64_t bytes; /* sent and received */
} fleet_node_t;

struct fleet {
	GPtrArray *nodes; /* fleet_node_t *, owned */
	GQueue datagrams; /* for the next step */
	GRand *random;
	int64_t now_us;
	int64_t step_us;
	gint32 drop_percent;
	gint32 repeat_percent;
	gint32 delay_percent;
	guint order_faults; /* reports that go back in the order of claims */
};

fleet_t *fleet_new(guint count, guint zones);
void fleet_free(fleet_t *fleet);
fleet_node_t *fleet_node(const fleet_t *fleet, guint index);
/* Processes get epochs of their own, from 1000 on. */
void fleet_start(fleet_t *fleet, guint index, int64_t wall_ms);
void fleet_stop(fleet_t *fleet, guint index);
/* Gives all running nodes a list of all. */
void fleet_offer_list(fleet_t *fleet, uint64_t revision);
void fleet_run(fleet_t *fleet, int64_t duration_us);
/* How many running nodes see a node in a state. */
guint fleet_count(const fleet_t *fleet, guint index, dws_member_state_t state);
/* Runs until so many see it so; false if they don't within the time. */
bool fleet_await(fleet_t *fleet, guint index, dws_member_state_t state,
		 guint count, int64_t most_us);
/* Passes a ping on in which a stranger describes itself. */
bool fleet_forge(dws_membership_t *membership, const dws_member_t *sender,
		 GError **error);

#endif
