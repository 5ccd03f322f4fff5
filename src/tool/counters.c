/*
 * The subcommand "counters".
 */
#include "tool/admin.h"
#include "tool/json_writer.h"
#include "tool/tool.h"

/*
 * Prints counters, given as lines of "name value", as a JSON object on one
 * line. Other lines are skipped.
 */
static void print_json(const char *address, const char *text)
{
	GString *out = g_string_new("{\"admin\":");
	char **lines = g_strsplit(text, "\n", -1);
	bool first = true;

	dws_json_append_string(out, address);
	g_string_append(out, ",\"counters\":{");
	for (char **line = lines; *line; line++) {
		char *space = strchr(*line, ' ');
		guint64 value;

		if (!space ||
		    !g_ascii_string_to_unsigned(space + 1, 10, 0, G_MAXUINT64,
						&value, NULL))
			continue;
		*space = '\0';
		if (!first)
			g_string_append_c(out, ',');
		first = false;
		dws_json_append_string(out, *line);
		g_string_append_printf(out, ":%" G_GUINT64_FORMAT, value);
	}
	printf("%s}}\n", out->str);
	g_strfreev(lines);
	g_string_free(out, TRUE);
}

dws_exit_code_t dws_tool_counters(const dws_tool_options_t *tool, int argc,
				  const char **argv)
{
	dws_exit_code_t code = DWS_EXIT_OK;

	for (const char **address = tool->admins; *address; address++) {
		GError *error = NULL;
		char *text = dws_admin_request(*address, DWS_ADMIN_GET,
					       "/counters", &error);

		if (!text) {
			code = dws_tool_report_error(error, DWS_EXIT_FAILURE);
			continue;
		}
		if (tool->json)
			print_json(*address, text);
		else
			printf("# %s\n%s", *address, text);
		g_free(text);
	}
	return code;
}
