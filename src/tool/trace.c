/*
 * The subcommand "trace": prints the spans of a request, collected from log
 * files, as a tree.
 */
#include "tool/log_line.h"
#include "tool/tool.h"
#include <stdio.h>
#include <string.h>

#define MAX_DEPTH 64
#define INDENT 2 /* spaces per level */
#define US_PER_MS 1000.0

/* A span, parsed from a log line. */
typedef struct dws_trace_span {
	GHashTable *fields; /* key to value, both owned */
	const char *id;
	const char *parent;
	bool printed;
} dws_trace_span_t;

typedef struct dws_trace {
	GPtrArray *spans; /* owned dws_trace_span_t *, in input order */
	GHashTable *by_parent; /* parent id to GPtrArray of spans, not owned */
	GHashTable *ids; /* set of span ids, not owned */
	char *trace_id; /* of the requested trace, in lower case as in logs */
} dws_trace_t;

static void free_span(void *data)
{
	dws_trace_span_t *span = data;

	g_hash_table_unref(span->fields);
	g_free(span);
}

/* Frees a list of spans but not the spans. */
static void free_children(void *data)
{
	g_ptr_array_unref(data);
}

/* Returns a field of a span; "" if absent. */
static const char *get_field(const dws_trace_span_t *span, const char *key)
{
	return dws_log_line_get(span->fields, key);
}

/* Adds a span to the trace, taking ownership, and to its parent's children. */
static void add_span(dws_trace_t *trace, dws_trace_span_t *span)
{
	GPtrArray *children =
		g_hash_table_lookup(trace->by_parent, span->parent);

	if (!children) {
		children = g_ptr_array_new();
		g_hash_table_insert(trace->by_parent, (char *)span->parent,
				    children);
	}
	g_ptr_array_add(children, span);
	g_ptr_array_add(trace->spans, span);
	g_hash_table_add(trace->ids, (char *)span->id);
}

/*
 * Adds the span of a log line if it belongs to the requested trace. The
 * substring search avoids parsing all other lines.
 */
static void read_line(void *context, const char *line)
{
	dws_trace_t *trace = context;
	const char *trace_id = trace->trace_id;

	if (!strstr(line, "event=span") || !strstr(line, trace_id))
		return;
	dws_trace_span_t *span = g_new0(dws_trace_span_t, 1);

	span->fields = dws_log_line_parse(line);
	span->id = get_field(span, "span");
	span->parent = get_field(span, "parent");
	if (strcmp(get_field(span, "event"), "span") != 0 ||
	    strcmp(get_field(span, "trace"), trace_id) != 0)
		free_span(span);
	else
		add_span(trace, span);
}

/* Converts a field of a span from us to ms. */
static double duration_ms(const dws_trace_span_t *span, const char *key)
{
	return g_ascii_strtod(get_field(span, key), NULL) / US_PER_MS;
}

static void print_span(const dws_trace_span_t *span, int depth)
{
	const char *reason = get_field(span, "reason");
	bool has_reason = reason[0] && strcmp(reason, "none") != 0;

	printf("%*s%s %s vm=%s %s%s%s status=%s %.3f ms (queued %.3f ms)\n",
	       depth * INDENT, "", get_field(span, "name"),
	       get_field(span, "kind"), get_field(span, "vm"),
	       get_field(span, "outcome"), has_reason ? ":" : "",
	       has_reason ? reason : "", get_field(span, "status"),
	       duration_ms(span, "duration_us"),
	       duration_ms(span, "queued_us"));
}

/*
 * Prints a span and its descendants. Each span is printed only once, so the
 * recursion ends even if corrupt log lines form a cycle. The depth is limited,
 * as is the number of hops of a request.
 */
static void print_tree(const dws_trace_t *trace, dws_trace_span_t *span,
		       int depth)
{
	if (span->printed || depth > MAX_DEPTH)
		return;
	span->printed = true;
	print_span(span, depth);
	const GPtrArray *children =
		g_hash_table_lookup(trace->by_parent, span->id);

	for (guint i = 0; children && i < children->len; i++)
		print_tree(trace, children->pdata[i], depth + 1);
}

/*
 * Prints all trees. Spans whose parent is not in the log files are roots. Spans
 * that can't be reached from a root are printed last.
 */
static void print_trace(const dws_trace_t *trace)
{
	for (guint i = 0; i < trace->spans->len; i++) {
		dws_trace_span_t *span = trace->spans->pdata[i];

		if (!g_hash_table_contains(trace->ids, span->parent))
			print_tree(trace, span, 0);
	}
	for (guint i = 0; i < trace->spans->len; i++)
		print_tree(trace, trace->spans->pdata[i], 0);
}

/* Returns DWS_EXIT_FAILURE if the files contain no span of the trace. */
dws_exit_code_t dws_tool_trace(const dws_tool_options_t *tool, int argc,
			       const char **argv)
{
	dws_trace_t trace = {
		.spans = g_ptr_array_new_with_free_func(free_span),
		.by_parent = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, free_children),
		.ids = g_hash_table_new(g_str_hash, g_str_equal),
		.trace_id = g_ascii_strdown(argv[0], -1),
	};
	dws_exit_code_t code = DWS_EXIT_OK;
	GError *error = NULL;

	for (int i = 1; i < argc && !error; i++)
		dws_log_file_for_each_line(argv[i], read_line, &trace, &error);
	if (error) {
		code = dws_tool_report_error(error, DWS_EXIT_USAGE);
	} else if (trace.spans->len == 0) {
		fprintf(stderr,
			"dogwoodshift: no span of trace %s found; check the "
			"id, and specify the log files of all daemons\n",
			argv[0]);
		code = DWS_EXIT_FAILURE;
	} else {
		print_trace(&trace);
	}
	g_free(trace.trace_id);
	g_hash_table_unref(trace.ids);
	g_hash_table_unref(trace.by_parent);
	g_ptr_array_unref(trace.spans);
	return code;
}
