/*
 * The subcommand "status".
 */
#include "tool/admin.h"
#include "tool/json.h"
#include "tool/tool.h"

#define DIGEST_CHARACTERS 12

/* Prints the status of a daemon as a table row. */
static void print_row(const char *address, const dws_value_t *response)
{
	printf("%-21s %-16s %-8s %8s %8s %-12.*s %-8s %7s %6s %7s %6s\n",
	       address, dws_view_text(response, "vm_id"),
	       dws_view_text(response, "zone"),
	       dws_view_text(response, "sequence"),
	       dws_view_text(response, "version"), DIGEST_CHARACTERS,
	       dws_view_text(response, "digest"),
	       dws_view_text(response, "draining"),
	       dws_view_text(response, "members_alive"),
	       dws_view_text(response, "limit"),
	       dws_view_text(response, "running"),
	       dws_view_text(response, "queued"));
}

/* Prints the status of a daemon as a JSON object on one line. */
static void print_json(const char *address, const dws_value_t *response)
{
	GString *line = g_string_new("{\"admin\":");

	dws_json_text(line, address);
	g_string_append(line, ",\"status\":");
	dws_json_value(line, response);
	printf("%s}\n", line->str);
	g_string_free(line, TRUE);
}

/* Returns DWS_EXIT_NO if the request to a daemon fails. */
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
		dws_value_t *response =
			dws_admin_view(*address, "/status", &error);

		if (!response) {
			code = dws_tool_fail(error, DWS_EXIT_NO);
			continue;
		}
		if (tool->json)
			print_json(*address, response);
		else
			print_row(*address, response);
		dws_value_unref(response);
	}
	return code;
}
