/*
 * The subcommand "why": prints the log lines of a routed request, selected by
 * its id, and the cause of its outcome.
 */
#include "tool/log_line.h"
#include "tool/tool.h"

#include <stdio.h>
#include <string.h>

/* Explanation of a reason. */
typedef struct dws_explanation {
	const char *reason;
	const char *text;
} dws_explanation_t;

static const dws_explanation_t explanations[] = {
	{"overload",
	 "no upstream of the service had room within its queue time"},
	{"crowded-below", "a service that it calls was overloaded, so only a "
			  "share of its kind was admitted"},
	{"upstream-shed", "the upstreams that it was sent to shed it"},
	{"no-endpoint", "no daemon of the service was reachable"},
	{"draining", "the daemon or its upstream was shutting down"},
	{"starting", "the daemon had no configuration yet"},
	{"misdirected", "the address had been reassigned to another upstream"},
	{"no-route",
	 "no route of the configuration version in force matches it"},
	{"deadline", "its deadline passed before a response arrived"},
	{"upstream-lost", "it was sent but the response was lost"},
	{"cancelled", "its caller closed the connection"},
	{"none", "the upstream responded"},
};

typedef struct dws_request_log {
	const char *id;
	uint32_t line_count;
	/* Fields of the latest line that contains the outcome, or NULL. */
	GHashTable *outcome_fields;
} dws_request_log_t;

/* Prints the relevant fields of a log line of the request. */
static void print_line(GHashTable *fields)
{
	static const char *const keys[] = {
		"ts",	       "vm",
		"name",	       "kind",
		"service",     "target",
		"outcome",     "reason",
		"status",      "duration_us",
		"reached",     "crowded",
		"config",      "config_age_ms",
		"list",	       "share",
		"load_age_us", "upstream",
		"cause",
	};

	printf("  %s", dws_log_line_get(fields, "event"));
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		const char *value = dws_log_line_get(fields, keys[i]);

		if (value[0])
			printf(" %s=%s", keys[i], value);
	}
	putchar('\n');
}

/*
 * Prints a log line if it belongs to the request, and keeps the line of the
 * daemon that received the request, which contains the outcome.
 */
static void read_line(void *context, const char *line)
{
	dws_request_log_t *request_log = context;
	GHashTable *fields;
	const char *name;

	if (!strstr(line, request_log->id))
		return;
	fields = dws_log_line_parse(line);
	if (strcmp(dws_log_line_get(fields, "id"), request_log->id) != 0) {
		g_hash_table_unref(fields);
		return;
	}
	request_log->line_count++;
	print_line(fields);
	name = dws_log_line_get(fields, "name");
	if (strcmp(name, "entry") == 0 || strcmp(name, "nested") == 0) {
		if (request_log->outcome_fields)
			g_hash_table_unref(request_log->outcome_fields);
		request_log->outcome_fields = g_hash_table_ref(fields);
	}
	g_hash_table_unref(fields);
}

/* What the outcome says about the execution of a request. */
static const char *execution_text(const char *outcome)
{
	if (strcmp(outcome, "not-run") == 0)
		return "it did not run: ";
	return strcmp(outcome, "unknown") == 0 ? "it may have run: " : "";
}

static void print_cause(GHashTable *fields)
{
	const char *reason = dws_log_line_get(fields, "reason");
	const char *crowded = dws_log_line_get(fields, "crowded");
	const char *text = "no explanation available; see the lines above";

	for (size_t i = 0; i < G_N_ELEMENTS(explanations); i++) {
		if (strcmp(explanations[i].reason, reason) == 0)
			text = explanations[i].text;
	}
	printf("cause: %s%s (reason %s, status %s)",
	       execution_text(dws_log_line_get(fields, "outcome")), text,
	       reason, dws_log_line_get(fields, "status"));
	if (crowded[0])
		printf("; service %s delayed or refused its nested calls",
		       crowded);
	printf("; decided under version %s, confirmed %s ms before, with VM "
	       "list revision %s\n",
	       dws_log_line_get(fields, "config"),
	       dws_log_line_get(fields, "config_age_ms"),
	       dws_log_line_get(fields, "list"));
}

/*
 * Returns DWS_EXIT_FAILURE if the outcome of the request is not in the files.
 */
dws_exit_code_t dws_tool_why(const dws_tool_options_t *tool, int argc,
			     const char **argv)
{
	dws_request_log_t request_log = {.id = argv[0]};
	GError *error = NULL;

	for (int i = 1; i < argc && !error; i++)
		dws_log_file_for_each_line(argv[i], read_line, &request_log,
					   &error);
	if (error)
		return dws_tool_report_error(error, DWS_EXIT_USAGE);
	if (request_log.outcome_fields) {
		print_cause(request_log.outcome_fields);
		g_hash_table_unref(request_log.outcome_fields);
		return DWS_EXIT_OK;
	}
	fprintf(stderr,
		request_log.line_count
			? "dogwoodshift: outcome of %s not found; specify "
			  "the log file of the daemon that received it\n"
			: "dogwoodshift: no line of %s found; check the "
			  "id, and specify the log files of all daemons\n",
		argv[0]);
	return DWS_EXIT_FAILURE;
}
