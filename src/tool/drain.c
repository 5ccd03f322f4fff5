/*
 * The subcommand "drain".
 */
#include "tool/admin.h"
#include "tool/tool.h"

/* Requests a graceful shutdown of each daemon. */
dws_exit_code_t dws_tool_drain(const dws_tool_options_t *tool, int argc,
			       const char **argv)
{
	dws_exit_code_t code = DWS_EXIT_OK;

	for (const char **address = tool->admins; *address; address++) {
		GError *error = NULL;
		char *body = dws_admin_request(*address, DWS_ADMIN_POST,
					       "/drain", &error);

		if (!body) {
			code = dws_tool_report_error(error, DWS_EXIT_FAILURE);
			continue;
		}
		printf(tool->json ? "{\"admin\":\"%s\",\"draining\":true}\n"
				  : "%s: draining\n",
		       *address);
		g_free(body);
	}
	return code;
}
