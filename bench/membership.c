/*
 * Measures the memory, traffic and processor time that membership uses per
 * process, for a fleet that is simulated with its own clock. Prints one line of
 * key=value pairs. Processor time includes that of the simulated network, so it
 * is an upper bound.
 *
 *   bench_membership PROCESSES ZONES
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include "support/membership_fleet.h"

#define S DWS_US_PER_S
#define SETTLE_US (900 * S) /* from the start to the steady state */
#define STEADY_US (60 * S) /* length of a measurement */
#define MAX_WAIT_US (600 * S)
#define SEQUENCES 10

static int64_t cpu_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return time.tv_sec * S + time.tv_nsec / 1000;
}

static double mean_bytes(const fleet_t *fleet)
{
	double bytes = 0;

	for (guint i = 0; i < fleet->nodes->len; i++)
		bytes += (double)fleet_node(fleet, i)->bytes;
	return bytes / fleet->nodes->len;
}

/* Runs the fleet and prints bytes and CPU time per second and process. */
static void print_cost(fleet_t *fleet, const char *name, int64_t duration_us)
{
	double bytes = mean_bytes(fleet);
	int64_t start_us = cpu_us();

	fleet_run(fleet, duration_us);
	double seconds = (double)duration_us / S;
	double elapsed_cpu_us = (double)(cpu_us() - start_us);

	printf(" %s_bytes_per_s=%.0f %s_cpu_us_per_s=%.1f", name,
	       (mean_bytes(fleet) - bytes) / seconds, name,
	       elapsed_cpu_us / seconds / fleet->nodes->len);
}

/*
 * Returns the time from the announcement of a configuration sequence by one
 * process until all processes have it.
 */
static double propagation_ms(fleet_t *fleet, guint origin_index,
			     uint64_t sequence)
{
	fleet_node_t *origin = fleet_node(fleet, origin_index);
	int64_t start_us = fleet->now_us;
	guint updated_count = 0;

	origin->versions.config_sequence = sequence;
	dws_membership_set_versions(origin->membership, &origin->versions);
	dws_membership_broadcast_versions(origin->membership, fleet->now_us);
	while (updated_count < fleet->nodes->len) {
		fleet_run(fleet, fleet->step_us);
		updated_count = 0;
		for (guint i = 0; i < fleet->nodes->len; i++) {
			if (fleet_node(fleet, i)->versions.config_sequence ==
			    sequence)
				updated_count++;
		}
	}
	return (double)(fleet->now_us - start_us) / 1000;
}

static void print_propagation(fleet_t *fleet)
{
	double max_ms = 0;
	double bytes = mean_bytes(fleet);
	double sum = 0;
	int64_t start_us = fleet->now_us;

	for (guint i = 0; i < SEQUENCES; i++) {
		double time_ms =
			propagation_ms(fleet, i * 7 % fleet->nodes->len, i + 1);

		max_ms = MAX(max_ms, time_ms);
		sum += time_ms;
	}
	printf(" sequence_ms_mean=%.0f sequence_ms_most=%.0f "
	       "sequence_bytes_each=%.0f",
	       sum / SEQUENCES, max_ms,
	       (mean_bytes(fleet) - bytes) / SEQUENCES);
	printf(" sequence_seconds=%.1f",
	       (double)(fleet->now_us - start_us) / S);
}

static void print_leaving(fleet_t *fleet)
{
	guint leaving_index = fleet->nodes->len / 2;
	int64_t start_us = fleet->now_us;

	dws_membership_leave(fleet_node(fleet, leaving_index)->membership,
			     start_us);
	if (fleet_run_until(fleet, leaving_index, DWS_MEMBER_LEAVING,
			    fleet->nodes->len, MAX_WAIT_US))
		printf(" leaving_ms=%.0f",
		       (double)(fleet->now_us - start_us) / 1000);
	start_us = fleet->now_us;
	fleet_stop(fleet, leaving_index);
	if (fleet_run_until(fleet, leaving_index, DWS_MEMBER_DEAD,
			    fleet->nodes->len - 1, MAX_WAIT_US))
		printf(" dead_s=%.1f", (double)(fleet->now_us - start_us) / S);
	fleet_start(fleet, leaving_index, 5000000);
}

static void print_readers(const fleet_t *fleet)
{
	guint readers = 0;

	for (guint i = 0; i < fleet->nodes->len; i++) {
		if (dws_membership_is_platform_reader(
			    fleet_node(fleet, i)->membership))
			readers++;
	}
	printf(" readers=%u", readers);
}

/*
 * Returns whether at least count processes see each process of the first zone
 * in a state. Processes of the first zone have the indices 0, zones, 2 * zones
 * and so on.
 */
static bool zone_has_state(const fleet_t *fleet, guint zones,
			   dws_member_state_t state, guint count)
{
	for (guint i = 0; i < fleet->nodes->len; i += zones) {
		if (fleet_count(fleet, i, state) < count)
			return false;
	}
	return true;
}

/*
 * Partitions the first zone from the others, then reconnects it. Prints the
 * costs, and the times until the zone is seen as dead and as alive again.
 */
static void print_partition(fleet_t *fleet, guint zones)
{
	guint count = fleet->nodes->len;
	guint zone_size = (count + zones - 1) / zones;
	int64_t start_us = fleet->now_us;

	for (guint i = 0; i < count; i += zones)
		fleet_node(fleet, i)->partition_id = 1;
	print_cost(fleet, "cut", STEADY_US);
	while (!zone_has_state(fleet, zones, DWS_MEMBER_DEAD,
			       count - zone_size) &&
	       fleet->now_us - start_us < MAX_WAIT_US)
		fleet_run(fleet, S);
	printf(" zone_dead_s=%.0f", (double)(fleet->now_us - start_us) / S);
	for (guint i = 0; i < count; i += zones)
		fleet_node(fleet, i)->partition_id = 0;
	start_us = fleet->now_us;
	print_cost(fleet, "heal", 20 * S);
	while (!zone_has_state(fleet, zones, DWS_MEMBER_ALIVE, count) &&
	       fleet->now_us - start_us < MAX_WAIT_US)
		fleet_run(fleet, S);
	printf(" zone_alive_s=%.0f\n", (double)(fleet->now_us - start_us) / S);
}

int main(int argc, char **argv)
{
	guint count = argc > 1 ? (guint)strtoul(argv[1], NULL, 10) : 50;
	guint zones = argc > 2 ? (guint)strtoul(argv[2], NULL, 10) : 9;

	if (count < 2 || zones < 1 || zones > count) {
		fprintf(stderr, "usage: %s PROCESSES ZONES\n", argv[0]);
		return 1;
	}
	fleet_t *fleet = fleet_new(count, zones);

	for (guint i = 0; i < count; i++)
		fleet_start(fleet, i, 1000000);
	printf("processes=%u zones=%u", count, zones);
	size_t before = mallinfo2().uordblks;

	fleet_offer_list(fleet, 1);
	printf(" bytes_per_member=%.0f",
	       (double)(mallinfo2().uordblks - before) / count / count);
	print_cost(fleet, "start", SETTLE_US);
	print_cost(fleet, "steady", STEADY_US);
	print_readers(fleet);
	print_propagation(fleet);
	print_leaving(fleet);
	print_cost(fleet, "settle", STEADY_US);
	print_partition(fleet, zones);
	fleet_free(fleet);
	return 0;
}
