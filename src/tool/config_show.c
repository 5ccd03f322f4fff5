/*
 * The subcommand "config show".
 */
#include "tool/admin.h"
#include "tool/tool.h"

/* Prints the configuration in force at the first daemon. */
dws_exit_t dws_tool_config_show(const dws_tool_t *tool, int argc,
				const char **argv)
{
	GError *error = NULL;

	if (tool->json) {
		char *text = dws_admin_request(tool->admins[0], DWS_ADMIN_GET,
					       "/config", &error);

		if (!text)
			return dws_tool_fail(error, DWS_EXIT_NO);
		puts(g_strchomp(text));
		g_free(text);
		return DWS_EXIT_OK;
	}
	dws_value_t *response =
		dws_admin_view(tool->admins[0], "/config", &error);

	if (!response)
		return dws_tool_fail(error, DWS_EXIT_NO);
	const char *document =
		dws_value_text(dws_value_get(response, "document"));

	printf("# version %s, sequence %s, digest %s\n%s",
	       dws_view_text(response, "version"),
	       dws_view_text(response, "sequence"),
	       dws_view_text(response, "digest"), document ? document : "");
	dws_value_unref(response);
	return DWS_EXIT_OK;
}
