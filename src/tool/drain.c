/*
 * The subcommand "drain".
 */
#include "tool/admin.h"
#include "tool/tool.h"

/* Requests a graceful shutdown of each daemon. */
dws_exit_t dws_tool_drain(const dws_tool_t *tool, int argc, const char **argv)
{
	dws_exit_t code = DWS_EXIT_OK;

	for (const char **address = tool->admins; *address; address++) {
		GError *error = NULL;
		char *body = dws_admin_request(*address, DWS_ADMIN_POST,
					       "/drain", &error);

		if (!body) {
			code = dws_tool_fail(error, DWS_EXIT_NO);
			continue;
		}
		printf(tool->json ? "{\"admin\":\"%s\",\"draining\":true}\n"
				  : "%s: draining\n",
		       *address);
		g_free(body);
	}
	return code;
}
