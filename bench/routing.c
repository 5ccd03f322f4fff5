/*
 * Measures the time and memory used for selecting members, with 100 services.
 * Prints one line of key=value pairs.
 *
 *   bench_routing MEMBERS ZONES PICKS
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include "process/routing.h"
#include "support/membership_fleet.h"

#define SERVICES 100

static int64_t cpu_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return time.tv_sec * INT64_C(1000000000) + time.tv_nsec;
}

/*
 * Selects a member for each of a number of calls, to all services in turn, and
 * ends each call at once. Returns for how many calls a member was found.
 */
static guint pick_all(dws_routing_t *routing, guint picks)
{
	dws_load_report_t load = {0, 1, 0, 10, 0};
	guint found = 0;

	for (guint i = 0; i < picks; i++) {
		const dws_member_t *member = NULL;
		char service[DWS_ID_SIZE];

		g_snprintf(service, sizeof(service), "service-%u",
			   i % SERVICES);
		const dws_routing_call_t call = {.service = service,
						 .priority = 1};

		if (dws_routing_pick(routing, i, &call, &member) !=
		    DWS_ROUTING_FOUND)
			continue;
		found++;
		dws_routing_report_sent(routing, i, member->vm_id);
		dws_routing_report_response(routing, i, member->vm_id, &load);
	}
	return found;
}

int main(int argc, char **argv)
{
	guint members = argc > 1 ? (guint)strtoul(argv[1], NULL, 10) : 860;
	guint zones = argc > 2 ? (guint)strtoul(argv[2], NULL, 10) : 9;
	guint picks = argc > 3 ? (guint)strtoul(argv[3], NULL, 10) : 100000;

	if (members < SERVICES || zones < 1 || picks < SERVICES) {
		fprintf(stderr, "usage: %s MEMBERS ZONES PICKS\n", argv[0]);
		return 1;
	}
	fleet_t *fleet = fleet_new(members, zones);

	fleet_start(fleet, 0, 1);
	fleet_offer_list(fleet, 1);
	dws_membership_t *membership = fleet_node(fleet, 0)->membership;
	dws_routing_t *routing = dws_routing_new(membership, 1);
	size_t before_bytes = mallinfo2().uordblks;

	pick_all(routing, SERVICES);
	size_t used_bytes = mallinfo2().uordblks - before_bytes;
	int64_t start_ns = cpu_ns();
	guint found = pick_all(routing, picks);
	int64_t pick_ns = cpu_ns() - start_ns;
	guint readers = 0;

	start_ns = cpu_ns();
	for (guint i = 0; i < picks; i++)
		readers += dws_membership_is_platform_reader(membership);
	printf("members=%u zones=%u picks=%u found=%u pick_ns=%.0f "
	       "is_reader_ns=%.0f reader=%u bytes_per_member=%.0f\n",
	       members, zones, picks, found, (double)pick_ns / picks,
	       (double)(cpu_ns() - start_ns) / picks, readers > 0,
	       (double)used_bytes / members);
	dws_routing_free(routing);
	fleet_free(fleet);
	return 0;
}
