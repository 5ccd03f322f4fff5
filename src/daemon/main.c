/*
 * Entry point of the daemon, dogwoodshiftd: parses the command line and runs
 * the event loop.
 */
#include <malloc.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include "process/loop_io.h"

#define EXIT_USAGE 2 /* usage error or invalid settings */
/* Allocations of this size or more are given back when they are freed. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

typedef struct options {
	char *settings_file;
	int check;
	int version;
} options_t;

/* Prints an error to standard error, frees it and returns status. */
static int fail(GError *error, int status)
{
	fprintf(stderr, "dogwoodshiftd: %s\n", error->message);
	g_error_free(error);
	return status;
}

/*
 * Raises the soft limit on open files to the hard limit: each connection to a
 * caller, a peer or the upstream uses a file descriptor.
 */
static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

/*
 * Keeps glibc from raising its threshold when large memory is freed: from then
 * on it would take such memory from the heap, copy it whenever it grows, and
 * keep it.
 */
static void set_allocator_options(void)
{
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
}

/* Runs the event loop until a drain has completed. */
static int serve(const dws_settings_t *settings, const char *settings_file)
{
	GError *error = NULL;
	dws_loop_t *loop = g_new0(dws_loop_t, 1);

	if (!dws_loop_init(loop, settings, settings_file, &error)) {
		g_free(loop);
		return fail(error, EXIT_FAILURE);
	}
	dws_loop_run(loop);
	dws_loop_finish(loop);
	g_free(loop);
	return EXIT_SUCCESS;
}

static int run_command(const options_t *options)
{
	dws_settings_t settings;
	GError *error = NULL;

	if (options->version) {
		puts("dogwoodshiftd " DWS_VERSION);
		return EXIT_SUCCESS;
	}
	if (!options->settings_file) {
		fputs("dogwoodshiftd: no settings; give --settings FILE\n",
		      stderr);
		return EXIT_USAGE;
	}
	if (!dws_settings_load(&settings, options->settings_file, &error))
		return fail(error, EXIT_USAGE);
	if (options->check) {
		puts("settings are valid");
		return EXIT_SUCCESS;
	}
	raise_file_limit();
	set_allocator_options();
	return serve(&settings, options->settings_file);
}

int main(int argc, const char **argv)
{
	options_t options = {0};
	const struct poptOption table[] = {
		{"settings", 's', POPT_ARG_STRING, &options.settings_file, 0,
		 "Settings file, in YAML", "FILE"},
		{"check", 'c', POPT_ARG_NONE, &options.check, 0,
		 "Validate the settings file and exit", NULL},
		{"version", 'V', POPT_ARG_NONE, &options.version, 0,
		 "Print the version and exit", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context =
		poptGetContext("dogwoodshiftd", argc, argv, table, 0);
	int result = poptGetNextOpt(context);
	int status = EXIT_USAGE;

	/*
	 * A SIGHUP, which reloads the settings, must not end the process before
	 * the event loop handles it. It can be ignored until then because the
	 * settings are read later.
	 */
	signal(SIGHUP, SIG_IGN);
	if (result < -1)
		fprintf(stderr, "dogwoodshiftd: %s: %s; see --help\n",
			poptBadOption(context, POPT_BADOPTION_NOALIAS),
			poptStrerror(result));
	else if (poptPeekArg(context))
		fprintf(stderr,
			"dogwoodshiftd: %s: unexpected argument; see --help\n",
			poptPeekArg(context));
	else
		status = run_command(&options);
	poptFreeContext(context);
	free(options.settings_file);
	return status;
}
