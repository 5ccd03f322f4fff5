/*
 * The subcommand "slowdown list".
 */
#include "tool/patch_base.h"
#include "tool/json_writer.h"
#include "version/config.h"

#define MS_PER_S 1000

/* Formats a time as in configurations; the result is freed with g_free(). */
static char *format_time(int64_t time_ms)
{
	GDateTime *time = g_date_time_new_from_unix_utc(time_ms / MS_PER_S);
	char *text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");

	g_date_time_unref(time);
	return text;
}

/* Returns the customers of a slowdown who have not been called. */
static GPtrArray *uncalled(const dws_slowdown_t *slowdown)
{
	GPtrArray *uncalled_names = g_ptr_array_new();

	for (guint i = 0; i < slowdown->customers->len; i++) {
		char *customer = slowdown->customers->pdata[i];

		if (!g_hash_table_contains(slowdown->notified, customer))
			g_ptr_array_add(uncalled_names, customer);
	}
	return uncalled_names;
}

static void print_lines(const dws_slowdown_t *slowdown, const char *record,
			const GPtrArray *uncalled_names)
{
	printf("%s: adds %u ms, %u of %u customers called\n", slowdown->name,
	       slowdown->added_delay_ms,
	       slowdown->customers->len - uncalled_names->len,
	       slowdown->customers->len);
	if (uncalled_names->len > 0)
		printf("  record of a call: %s\n", record);
	for (guint i = 0; i < uncalled_names->len; i++)
		printf("  to be called: %s\n",
		       (char *)uncalled_names->pdata[i]);
}

/* Prints a slowdown as a JSON object on one line. */
static void print_json(const dws_slowdown_t *slowdown, const char *record,
		       const GPtrArray *uncalled_names)
{
	GString *line = g_string_new("{\"slowdown\":");

	dws_json_append_string(line, slowdown->name);
	g_string_append(line, ",\"record\":");
	dws_json_append_string(line, record);
	g_string_append(line, ",\"uncalled\":[");
	for (guint i = 0; i < uncalled_names->len; i++) {
		if (i > 0)
			g_string_append_c(line, ',');
		dws_json_append_string(line, uncalled_names->pdata[i]);
	}
	printf("%s]}\n", line->str);
	g_string_free(line, TRUE);
}

/* Prints a slowdown; returns whether all its customers have been called. */
static bool print_slowdown(const dws_tool_options_t *tool,
			   const dws_slowdown_t *slowdown)
{
	GPtrArray *uncalled_names = uncalled(slowdown);
	char *start = format_time(slowdown->start_ms);
	char *end = format_time(slowdown->end_ms);
	char *record = dws_slowdown_notification_record(slowdown, start, end);
	bool complete = uncalled_names->len == 0;

	if (tool->json)
		print_json(slowdown, record, uncalled_names);
	else
		print_lines(slowdown, record, uncalled_names);
	g_free(record);
	g_free(end);
	g_free(start);
	g_ptr_array_unref(uncalled_names);
	return complete;
}

/*
 * Prints all slowdowns of a document. Returns DWS_EXIT_FAILURE if a customer
 * has not been called.
 */
static dws_exit_code_t print_all(const dws_tool_options_t *tool,
				 const dws_patch_base_t *base, const char *name)
{
	GError *error = NULL;
	bool complete = true;

	if (!base->document)
		return DWS_EXIT_OK;
	dws_config_t *config =
		dws_config_build(base->document, name, base->version, &error);

	if (!config)
		return dws_tool_report_error(error, DWS_EXIT_USAGE);
	for (guint i = 0; i < config->slowdowns->len; i++)
		complete &= print_slowdown(tool, config->slowdowns->pdata[i]);
	dws_config_unref(config);
	return complete ? DWS_EXIT_OK : DWS_EXIT_FAILURE;
}

/* Lists the slowdowns in a file, or in force at the first daemon. */
dws_exit_code_t dws_tool_slowdown_list(const dws_tool_options_t *tool, int argc,
				       const char **argv)
{
	dws_tool_options_t options = *tool;
	dws_patch_base_t base;

	if (argc > 0)
		options.base_file = argv[0];
	dws_exit_code_t code = dws_patch_base_load(&base, &options);

	if (code == DWS_EXIT_OK)
		code = print_all(tool, &base,
				 options.base_file ? options.base_file
						   : tool->admins[0]);
	dws_patch_base_finish(&base);
	return code;
}
