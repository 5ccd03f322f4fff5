/*
 * Helper functions shared by the subcommands.
 */
#include "tool/tool.h"

/* Prints an error to standard error, frees it and returns code. */
dws_exit_code_t dws_tool_report_error(GError *error, dws_exit_code_t code)
{
	fprintf(stderr, "dogwoodshift: %s\n", error->message);
	g_error_free(error);
	return code;
}

char *dws_tool_read_file(const char *file, size_t *size_bytes, GError **error)
{
	GError *cause = NULL;
	char *text = NULL;
	gsize size = 0;

	if (!g_file_get_contents(file, &text, &size, &cause)) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_SYSTEM,
			    "%s; specify a readable file", cause->message);
		g_error_free(cause);
		return NULL;
	}
	*size_bytes = size;
	return text;
}
