/*
 * The subcommand "status".
 */
#include "tool/admin.h"
#include "tool/json_writer.h"
#include "tool/tool.h"

#define DIGEST_CHARACTERS 12

/* Prints the status of a daemon as a table row. */
static void print_row(const char *address, const dws_value_t *response)
{
	printf("%-21s %-16s %-8s %8s %8s %-12.*s %-8s %7s %6s %7s %6s\n",
	       address, dws_json_get_string(response, "vm_id"),
	       dws_json_get_string(response, "zone"),
	       dws_json_get_string(response, "sequence"),
	       dws_json_get_string(response, "version"), DIGEST_CHARACTERS,
	       dws_json_get_string(response, "digest"),
	       dws_json_get_string(response, "draining"),
	       dws_json_get_string(response, "members_alive"),
	       dws_json_get_string(response, "limit"),
	       dws_json_get_string(response, "running"),
	       dws_json_get_string(response, "queued"));
}

/* Prints the status of a daemon as a JSON object on one line. */
static void print_json(const char *address, const dws_value_t *response)
{
	GString *line = g_string_new("{\"admin\":");

	dws_json_append_string(line, address);
	g_string_append(line, ",\"status\":");
	dws_json_append_value(line, response);
	printf("%s}\n", line->str);
	g_string_free(line, TRUE);
}

/* Returns DWS_EXIT_FAILURE if the request to a daemon fails. */
dws_exit_code_t dws_tool_status(const dws_tool_options_t *tool, int argc,
				const char **argv)
{
	dws_exit_code_t code = DWS_EXIT_OK;

	if (!tool->json)
		printf("%-21s %-16s %-8s %8s %8s %-12s %-8s %7s %6s %7s %6s\n",
		       "admin", "vm_id", "zone", "sequence", "version",
		       "digest", "draining", "members", "limit", "running",
		       "queued");
	for (const char **address = tool->admins; *address; address++) {
		GError *error = NULL;
		dws_value_t *response =
			dws_admin_get_json(*address, "/status", &error);

		if (!response) {
			code = dws_tool_report_error(error, DWS_EXIT_FAILURE);
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
