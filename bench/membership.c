/*
 * Measures what membership costs a process, for fleets of several sizes on a
 * clock of its own. One line of key=value pairs for each size. Processor time
 * includes the network that the fleet runs on, so it is an upper bound.
 *
 *   bench_membership PROCESSES ZONES
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include "support/membership_fleet.h"

#define S DWS_US_PER_S
#define SETTLE_US (900 * S)
#define STEADY_US (60 * S)
#define MOST_US (600 * S)
#define SEQUENCES 10

static int64_t cpu_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return time.tv_sec * S + time.tv_nsec / 1000;
}

static double bytes_of(const fleet_t *fleet)
{
	double bytes = 0;

	for (guint i = 0; i < fleet->nodes->len; i++)
		bytes += (double)fleet_node(fleet, i)->bytes;
	return bytes / fleet->nodes->len;
}

/* Runs for a while and prints bytes and processor time a second, each. */
static void print_cost(fleet_t *fleet, const char *name, int64_t duration_us)
{
	double bytes = bytes_of(fleet);
	int64_t start_us = cpu_us();

	fleet_run(fleet, duration_us);
	double seconds = (double)duration_us / S;
	double used_us = (double)(cpu_us() - start_us);

	printf(" %s_bytes_per_s=%.0f %s_cpu_us_per_s=%.1f", name,
	       (bytes_of(fleet) - bytes) / seconds, name,
	       used_us / seconds / fleet->nodes->len);
}

/* The time from an announcement until all have its sequence. */
static double spread_ms(fleet_t *fleet, guint from, uint64_t sequence)
{
	fleet_node_t *first = fleet_node(fleet, from);
	int64_t start_us = fleet->now_us;
	guint have = 0;

	first->claim.config_sequence = sequence;
	dws_membership_set_versions(first->membership, &first->claim);
	dws_membership_broadcast_versions(first->membership, fleet->now_us);
	while (have < fleet->nodes->len) {
		fleet_run(fleet, fleet->step_us);
		have = 0;
		for (guint i = 0; i < fleet->nodes->len; i++) {
			if (fleet_node(fleet, i)->claim.config_sequence ==
			    sequence)
				have++;
		}
	}
	return (double)(fleet->now_us - start_us) / 1000;
}

static void print_spread(fleet_t *fleet)
{
	double most = 0;
	double bytes = bytes_of(fleet);
	double sum = 0;
	int64_t start_us = fleet->now_us;

	for (guint i = 0; i < SEQUENCES; i++) {
		double time_ms =
			spread_ms(fleet, i * 7 % fleet->nodes->len, i + 1);

		most = MAX(most, time_ms);
		sum += time_ms;
	}
	printf(" sequence_ms_mean=%.0f sequence_ms_most=%.0f "
	       "sequence_bytes_each=%.0f",
	       sum / SEQUENCES, most, (bytes_of(fleet) - bytes) / SEQUENCES);
	printf(" sequence_seconds=%.1f",
	       (double)(fleet->now_us - start_us) / S);
}

static void print_leaving(fleet_t *fleet)
{
	guint leaver = fleet->nodes->len / 2;
	int64_t start_us = fleet->now_us;

	dws_membership_leave(fleet_node(fleet, leaver)->membership, start_us);
	if (fleet_await(fleet, leaver, DWS_MEMBER_LEAVING, fleet->nodes->len,
			MOST_US))
		printf(" leaving_ms=%.0f",
		       (double)(fleet->now_us - start_us) / 1000);
	start_us = fleet->now_us;
	fleet_stop(fleet, leaver);
	if (fleet_await(fleet, leaver, DWS_MEMBER_DEAD, fleet->nodes->len - 1,
			MOST_US))
		printf(" dead_s=%.1f", (double)(fleet->now_us - start_us) / S);
	fleet_start(fleet, leaver, 5000000);
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

/* True if all running processes see all of a zone in a state. */
static bool zone_is(const fleet_t *fleet, guint zones, dws_member_state_t state,
		    guint count)
{
	for (guint i = 0; i < fleet->nodes->len; i += zones) {
		if (fleet_count(fleet, i, state) < count)
			return false;
	}
	return true;
}

/* Cuts the first zone off, and heals it again. */
static void print_partition(fleet_t *fleet, guint zones)
{
	guint count = fleet->nodes->len;
	guint inside = (count + zones - 1) / zones;
	int64_t start_us = fleet->now_us;

	for (guint i = 0; i < count; i += zones)
		fleet_node(fleet, i)->side = 1;
	print_cost(fleet, "cut", STEADY_US);
	while (!zone_is(fleet, zones, DWS_MEMBER_DEAD, count - inside) &&
	       fleet->now_us - start_us < MOST_US)
		fleet_run(fleet, S);
	printf(" zone_dead_s=%.0f", (double)(fleet->now_us - start_us) / S);
	for (guint i = 0; i < count; i += zones)
		fleet_node(fleet, i)->side = 0;
	start_us = fleet->now_us;
	print_cost(fleet, "heal", 20 * S);
	while (!zone_is(fleet, zones, DWS_MEMBER_ALIVE, count) &&
	       fleet->now_us - start_us < MOST_US)
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
	print_spread(fleet);
	print_leaving(fleet);
	print_cost(fleet, "settle", STEADY_US);
	print_partition(fleet, zones);
	fleet_free(fleet);
	return 0;
}
