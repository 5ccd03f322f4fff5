/*
 * The subcommand "status".
 */
#include "tool/admin.h"
#include "tool/json.h"
#include "tool/tool.h"

#define DIGEST_CHARACTERS 12

/* Prints one daemon as a line of a table. */
static void print_row(const char *address, const dws_value_t *view)
{
	printf("%-21s %-16s %-8s %8s %8s %-12.*s %-8s %7s %6s %7s %6s\n",
	       address, dws_view_text(view, "vm_id"),
	       dws_view_text(view, "zone"), dws_view_text(view, "sequence"),
	       dws_view_text(view, "version"), DIGEST_CHARACTERS,
	       dws_view_text(view, "digest"), dws_view_text(view, "draining"),
	       dws_view_text(view, "members_alive"),
	       dws_view_text(view, "limit"), dws_view_text(view, "running"),
	       dws_view_text(view, "queued"));
}

/* Prints one daemon as a line of JSON. */
static void print_json(const char *address, const dws_value_t *view)
{
	GString *line = g_string_new("{\"admin\":");

	dws_json_text(line, address);
	g_string_append(line, ",\"status\":");
	dws_json_value(line, view);
	printf("%s}\n", line->str);
	g_string_free(line, TRUE);
}

/* Asks each daemon; a daemon that does not answer makes the answer "no". */
dws_exit_t dws_tool_status(const dws_tool_t *tool, int argc, const char **argv)
{
	dws_exit_t code = DWS_EXIT_OK;

	if (!tool->json)
		printf("%-21s %-16s %-8s %8s %8s %-12s %-8s %7s %6s %7s %6s\n",
		       "admin", "vm_id", "zone", "sequence", "version",
		       "digest", "draining", "members", "limit", "running",
		       "queued");
	for (const char **address = tool->admins; *address; address++) {
		GError *error = NULL;
		dws_value_t *view = dws_admin_view(*address, "/status", &error);

		if (!view) {
			code = dws_tool_fail(error, DWS_EXIT_NO);
			continue;
		}
		if (tool->json)
			print_json(*address, view);
		else
			print_row(*address, view);
		dws_value_unref(view);
	}
	return code;
}
