/*
 * The subcommand "config check".
 */
#include "tool/tool.h"
#include "version/patch.h"

/* Prints the number of services, kinds and slowdowns. */
static void print_summary(const dws_tool_options_t *tool, const char *file,
			  const dws_config_t *config)
{
	const char *format =
		tool->json ? "{\"valid\":true,\"services\":%u,\"kinds\":%u,"
			     "\"slowdowns\":%u}\n"
			   : "valid: %u services, %u kinds, %u slowdowns\n";

	if (!tool->json)
		printf("%s: ", file);
	printf(format, config->services->len, config->kinds->len,
	       config->slowdowns->len);
}

/*
 * Validates each value of a file, with line numbers in errors, then that a
 * snapshot of the document is within the size limits of the daemons.
 */
dws_exit_code_t dws_tool_config_check(const dws_tool_options_t *tool, int argc,
				      const char **argv)
{
	GError *error = NULL;
	size_t size_bytes = 0;
	char *text = dws_tool_read_file(argv[0], &size_bytes, &error);

	if (!text)
		return dws_tool_report_error(error, DWS_EXIT_USAGE);
	dws_value_t *document =
		dws_document_parse(text, size_bytes, argv[0], &error);
	dws_config_t *config =
		document ? dws_config_build(document, argv[0], 1, &error)
			 : NULL;
	dws_valid_document_t checked = {.document = NULL};
	bool ok = config &&
		  dws_valid_document_init(&checked, document, 1, &error);

	if (ok)
		print_summary(tool, argv[0], config);
	dws_valid_document_finish(&checked);
	dws_config_unref(config);
	dws_value_unref(document);
	g_free(text);
	return ok ? DWS_EXIT_OK
		  : dws_tool_report_error(error, DWS_EXIT_FAILURE);
}
