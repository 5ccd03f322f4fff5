/*
 * Many memberships in one process on a clock of their own, with a network
 * that delivers each datagram at the next step, or drops it.
 */
#ifndef DWS_TEST_SUPPORT_MEMBERSHIP_FLEET_H
#define DWS_TEST_SUPPORT_MEMBERSHIP_FLEET_H

#include "process/membership.h"

#define FLEET_STEP_US (5 * DWS_US_PER_MS)

typedef struct fleet fleet_t;

typedef struct fleet_node {
	fleet_t *fleet;
	dws_settings_t settings;
	dws_membership_t *membership; /* NULL while it does not run */
	dws_claim_t claim;
	bool paused; /* neither ticks nor receives */
	guint side; /* of a partition; sides don't hear each other */
	int64_t next_tick_us;
	uint64_t datagrams_sent;
	uint64_t bytes_sent;
	uint64_t bytes_received;
} fleet_node_t;

struct fleet {
	GPtrArray *nodes; /* fleet_node_t *, owned */
	GQueue datagrams; /* for the next step */
	GRand *random;
	int64_t now_us;
	guint drop_percent;
};

fleet_t *fleet_new(guint count, guint zones);
void fleet_free(fleet_t *fleet);
fleet_node_t *fleet_node(fleet_t *fleet, guint index);
void fleet_start(fleet_t *fleet, guint index, uint64_t epoch, int64_t wall_ms);
void fleet_stop(fleet_t *fleet, guint index);
/* Gives all running nodes a list of all nodes; freed with g_free(). */
char *fleet_list_text(const fleet_t *fleet, uint64_t revision, guint leaving);
void fleet_offer_list(fleet_t *fleet, uint64_t revision);
void fleet_run(fleet_t *fleet, int64_t duration_us);
/* How many running nodes see a node in a state. */
guint fleet_count(fleet_t *fleet, guint index, dws_member_state_t state);
/* Runs until so many see it so; false if they don't within the time. */
bool fleet_await(fleet_t *fleet, guint index, dws_member_state_t state,
		 guint count, int64_t most_us);

#endif
