/*
 * The subcommands "patch check" and "patch make".
 */
#include "tool/patch_base.h"
#include "version/patch.h"

/* Parses a patch file, which must contain a map; NULL with error set. */
static dws_value_t *read_patch(const char *file, GError **error)
{
	size_t size_bytes = 0;
	char *text = dws_tool_read_file(file, &size_bytes, error);

	if (!text)
		return NULL;
	dws_value_t *patch = dws_document_parse(text, size_bytes, file, error);

	g_free(text);
	if (!patch || patch->type == DWS_VALUE_MAP)
		return patch;
	g_set_error(error, DWS_ERROR, DWS_ERROR_VALUE,
		    "%s: not a map; specify the keys to change", file);
	dws_value_unref(patch);
	return NULL;
}

/*
 * Applies a patch file to the base and validates the result; on failure prints
 * the error. The caller releases base, patch and checked in either case.
 */
static dws_exit_code_t apply_patch_file(const dws_tool_options_t *tool,
					const char *file,
					dws_patch_base_t *base,
					dws_value_t **patch,
					dws_valid_document_t *checked)
{
	GError *error = NULL;

	*patch = read_patch(file, &error);
	if (!*patch)
		return dws_tool_report_error(error, DWS_EXIT_USAGE);
	dws_exit_code_t code = dws_patch_base_load(base, tool);

	if (code != DWS_EXIT_OK)
		return code;
	if (!dws_patch_apply(checked, base->document, *patch, base->version + 1,
			     &error))
		return dws_tool_report_error(error, DWS_EXIT_FAILURE);
	return DWS_EXIT_OK;
}

/* Validates a patch against the base; prints the base version on success. */
dws_exit_code_t dws_tool_patch_check(const dws_tool_options_t *tool, int argc,
				     const char **argv)
{
	dws_patch_base_t base = {.document = NULL};
	dws_value_t *patch = NULL;
	dws_valid_document_t checked = {.document = NULL};
	dws_exit_code_t code =
		apply_patch_file(tool, argv[0], &base, &patch, &checked);

	if (code == DWS_EXIT_OK)
		printf(tool->json ? "{\"valid\":true,\"base_version\":"
				    "%" G_GUINT64_FORMAT "}\n"
				  : "valid on version %" G_GUINT64_FORMAT "\n",
		       base.version);
	dws_valid_document_finish(&checked);
	dws_patch_base_finish(&base);
	dws_value_unref(patch);
	return code;
}

/* Prints the log entry of a patch, for the operator to publish. */
dws_exit_code_t dws_tool_patch_make(const dws_tool_options_t *tool, int argc,
				    const char **argv)
{
	dws_patch_base_t base = {.document = NULL};
	dws_value_t *patch = NULL;
	dws_valid_document_t checked = {.document = NULL};

	if (tool->base_file && tool->base_version < 0) {
		fputs("dogwoodshift: patch make: --base needs its version; add "
		      "--base-version N\n",
		      stderr);
		return DWS_EXIT_USAGE;
	}
	dws_exit_code_t code =
		apply_patch_file(tool, argv[0], &base, &patch, &checked);

	if (code == DWS_EXIT_OK) {
		char *entry = dws_patch_entry(base.version, patch);

		fputs(entry, stdout);
		g_free(entry);
	}
	dws_valid_document_finish(&checked);
	dws_patch_base_finish(&base);
	dws_value_unref(patch);
	return code;
}
