/*
 * The subcommand "config show".
 */
#include "tool/admin.h"
#include "tool/tool.h"

/* Prints the configuration in force at the first daemon. */
dws_exit_code_t dws_tool_config_show(const dws_tool_options_t *tool, int argc,
				     const char **argv)
{
	GError *error = NULL;

	if (tool->json) {
		char *text = dws_admin_request(tool->admins[0], DWS_ADMIN_GET,
					       "/config", &error);

		if (!text)
			return dws_tool_report_error(error, DWS_EXIT_FAILURE);
		puts(g_strchomp(text));
		g_free(text);
		return DWS_EXIT_OK;
	}
	dws_value_t *response =
		dws_admin_get_json(tool->admins[0], "/config", &error);

	if (!response)
		return dws_tool_report_error(error, DWS_EXIT_FAILURE);
	const char *document =
		dws_value_text(dws_value_get(response, "document"));

	printf("# version %s, sequence %s, digest %s\n%s",
	       dws_json_get_string(response, "version"),
	       dws_json_get_string(response, "sequence"),
	       dws_json_get_string(response, "digest"),
	       document ? document : "");
	dws_value_unref(response);
	return DWS_EXIT_OK;
}
