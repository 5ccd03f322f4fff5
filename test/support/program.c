/*
 * Options and life span of stand-ins.
 */
#include "support/program.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Reads the options of a stand-in. */
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

static void on_limit(struct ev_loop *loop, ev_timer *watcher, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

/* Bounds the life of a stand-in; called once in a program. */
void program_limit(struct ev_loop *loop, int max_seconds)
{
	static ev_signal terminate, interrupt;
	static ev_timer limit;

	signal(SIGPIPE, SIG_IGN);
	ev_signal_init(&terminate, on_signal, SIGTERM);
	ev_signal_start(loop, &terminate);
	ev_signal_init(&interrupt, on_signal, SIGINT);
	ev_signal_start(loop, &interrupt);
	ev_timer_init(&limit, on_limit, max_seconds, 0.0);
	ev_timer_start(loop, &limit);
}

/* The monotonic clock. */
int64_t program_now_us(void)
{
	return g_get_monotonic_time();
}

/* Finds a key in a list of "key=value" separated by commas. */
char *program_value(const char *spec, const char *key)
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

/* The same for a number. */
int64_t program_number(const char *spec, const char *key, int64_t fallback)
{
	char *text = program_value(spec, key);
	int64_t value = text ? g_ascii_strtoll(text, NULL, 10) : fallback;

	g_free(text);
	return value;
}
