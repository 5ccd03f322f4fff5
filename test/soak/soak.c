/*
 * Randomized soak test of real daemons. For each seed it starts a fleet, sends
 * requests to it while faults are injected and cleared, and checks invariants
 * on what callers and upstreams observed. Without options it runs the
 * regression seeds. The logs of a failed seed are kept.
 */
#include "soak/fleet.h"

#include <glib/gstdio.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLERS_PER_VM 3
#define DEFAULT_SECONDS 8
#define DEFAULT_VMS 9
#define MIN_VMS 6

/* A seed that failed before, and the cause of that failure. */
typedef struct regression {
	guint32 seed;
	int vms;
	int seconds;
	const char *cause;
} regression_t;

static const regression_t regressions[] = {
	{1, DEFAULT_VMS, DEFAULT_SECONDS,
	 "the HTTP library sent a request twice; the second was refused"},
	{4, DEFAULT_VMS, DEFAULT_SECONDS,
	 "a stream between daemons stopped delivering data undetected"},
	{150, DEFAULT_VMS, DEFAULT_SECONDS,
	 "a daemon exited on a reload signal sent while it was starting"},
	{2604, DEFAULT_VMS, 8,
	 "an attempt delivered by a lost stream was taken for never sent"},
};

/* Removes the log directory of a run without violations. */
static void remove_logs(const char *dir)
{
	GDir *files = g_dir_open(dir, 0, NULL);

	for (const char *name; files && (name = g_dir_read_name(files));) {
		char *path = g_build_filename(dir, name, NULL);

		g_remove(path);
		g_free(path);
	}
	if (files)
		g_dir_close(files);
	g_rmdir(dir);
}

/* Runs one seed; returns the number of violated invariants. */
static int run_seed(guint32 seed, int vm_count, int seconds)
{
	fleet_t *fleet = fleet_new(seed, vm_count);
	int caller_count = vm_count * CALLERS_PER_VM;
	caller_t **callers = g_new0(caller_t *, caller_count);
	char *dir = g_strdup(fleet->platform.dir);
	int violations;

	for (int i = 0; i < caller_count; i++)
		callers[i] = caller_new(&fleet->vms[i % vm_count],
					seed * 1000 + (guint32)i);
	schedule_run(fleet, seconds);
	g_atomic_int_set(&fleet->stopping, 1);
	for (int i = 0; i < caller_count; i++)
		caller_join(callers[i]);
	fleet_check_recovery(fleet);
	violations = oracle_finish(fleet->oracle);
	fleet_free(fleet);
	if (violations)
		printf("seed %u: logs kept in %s\n", seed, dir);
	else
		remove_logs(dir);
	g_free(callers);
	g_free(dir);
	return violations;
}

static int run_regressions(void)
{
	int failed = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(regressions); i++) {
		const regression_t *regression = &regressions[i];

		printf("seed %u (%s)\n", regression->seed, regression->cause);
		failed += run_seed(regression->seed, regression->vms,
				   regression->seconds) > 0;
	}
	return failed;
}

int main(int argc, const char **argv)
{
	int seed = 0, seeds = 1, seconds = DEFAULT_SECONDS, vms = DEFAULT_VMS;
	int failed = 0;
	const struct poptOption options[] = {
		{"seed", 's', POPT_ARG_INT, &seed, 0,
		 "first seed; 0 runs the regression seeds", "N"},
		{"seeds", 'n', POPT_ARG_INT, &seeds, 0,
		 "number of seeds to run", "N"},
		{"seconds", 't', POPT_ARG_INT, &seconds, 0,
		 "duration of fault injection per seed", "S"},
		{"vms", 'v', POPT_ARG_INT, &vms, 0, "number of VMs", "N"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);

	if (poptGetNextOpt(context) < -1 || vms < MIN_VMS ||
	    vms > PLATFORM_MAX_VMS || seed < 0 || seeds < 1 || seconds < 1) {
		fprintf(stderr,
			"soak: bad option or value out of range (VMs: %d to "
			"%d); see --help\n",
			MIN_VMS, PLATFORM_MAX_VMS);
		return 2;
	}
	poptFreeContext(context);
	if (seed == 0)
		failed = run_regressions();
	for (int i = 0; seed > 0 && i < seeds; i++)
		failed += run_seed((guint32)(seed + i), vms, seconds) > 0;
	printf("%d seeds failed\n", failed);
	return failed ? 1 : 0;
}
