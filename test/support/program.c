/*
 * Command-line options and run time limit of test programs.
 */
#include "support/program.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Parses the command line; exits with status 2 on an invalid one. */
void program_options(int argc, const char **argv,
		     const struct poptOption *options)
{
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	int result = poptGetNextOpt(context);

	if (result < -1 || poptPeekArg(context)) {
		fprintf(stderr, "%s: %s; see --help\n",
			poptBadOption(context, 0), poptStrerror(result));
		exit(2);
	}
	poptFreeContext(context);
}

static void on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

static void on_time_limit(struct ev_loop *loop, ev_timer *watcher, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

/* Sets up the events that end the loop; must be called only once. */
void program_set_time_limit(struct ev_loop *loop, int max_seconds)
{
	static ev_signal terminate, interrupt;
	static ev_timer time_limit;

	signal(SIGPIPE, SIG_IGN);
	ev_signal_init(&terminate, on_signal, SIGTERM);
	ev_signal_start(loop, &terminate);
	ev_signal_init(&interrupt, on_signal, SIGINT);
	ev_signal_start(loop, &interrupt);
	ev_timer_init(&time_limit, on_time_limit, max_seconds, 0.0);
	ev_timer_start(loop, &time_limit);
}

int64_t program_now_us(void)
{
	return g_get_monotonic_time();
}

/* Finds a key in a comma-separated list of "key=value". */
char *program_option_value(const char *spec, const char *key)
{
	char **parts = g_strsplit(spec, ",", -1);
	char *value = NULL;
	size_t length = strlen(key);

	for (char **part = parts; *part && !value; part++) {
		if (strncmp(*part, key, length) == 0 && (*part)[length] == '=')
			value = g_strdup(*part + length + 1);
	}
	g_strfreev(parts);
	return value;
}

/* Finds the number of a key; the fallback if the key is absent. */
int64_t program_option_number(const char *spec, const char *key,
			      int64_t fallback)
{
	char *text = program_option_value(spec, key);
	int64_t value = text ? g_ascii_strtoll(text, NULL, 10) : fallback;

	g_free(text);
	return value;
}
