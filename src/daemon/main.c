/*
 * dogwoodshiftd: the daemon's command line.
 */
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include "process/loop_io.h"

#define EXIT_BAD_SETTINGS 2

typedef struct options {
	char *settings_file;
	int check;
	int version;
} options_t;

/* Prints an error for people. */
static int fail(GError *error, int status)
{
	fprintf(stderr, "dogwoodshiftd: %s\n", error->message);
	g_error_free(error);
	return status;
}

/*
 * Takes all file descriptors that the system grants: callers, peers and the
 * upstream need one for each connection.
 */
static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

/* Serves until a drain has ended. */
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

/* Does what the command line asks for. */
static int act(const options_t *options)
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
		return EXIT_BAD_SETTINGS;
	}
	if (!dws_settings_load(&settings, options->settings_file, &error))
		return fail(error, EXIT_BAD_SETTINGS);
	if (options->check) {
		puts("settings are valid");
		return EXIT_SUCCESS;
	}
	raise_file_limit();
	return serve(&settings, options->settings_file);
}

int main(int argc, const char **argv)
{
	options_t options = {0};
	const struct poptOption table[] = {
		{"settings", 's', POPT_ARG_STRING, &options.settings_file, 0,
		 "Settings of this process, in YAML", "FILE"},
		{"check", 'c', POPT_ARG_NONE, &options.check, 0,
		 "Check the settings and exit", NULL},
		{"version", 'V', POPT_ARG_NONE, &options.version, 0,
		 "Print the version and exit", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context =
		poptGetContext("dogwoodshiftd", argc, argv, table, 0);
	int result = poptGetNextOpt(context);
	int status = EXIT_BAD_SETTINGS;

	/* One that comes before the loop: the settings are read after it. */
	signal(SIGHUP, SIG_IGN);
	if (result < -1)
		fprintf(stderr, "dogwoodshiftd: %s: %s; see --help\n",
			poptBadOption(context, POPT_BADOPTION_NOALIAS),
			poptStrerror(result));
	else if (poptPeekArg(context))
		fprintf(stderr, "dogwoodshiftd: %s: unexpected; see --help\n",
			poptPeekArg(context));
	else
		status = act(&options);
	poptFreeContext(context);
	free(options.settings_file);
	return status;
}
