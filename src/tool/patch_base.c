/*
 * The base configuration that a patch applies to.
 */
#include "tool/patch_base.h"
#include "tool/admin.h"

/* Loads the base from the file given with --base. */
static dws_exit_code_t load_from_file(dws_patch_base_t *base,
				      const dws_tool_options_t *tool)
{
	GError *error = NULL;
	size_t size_bytes = 0;
	char *text = dws_tool_read_file(tool->base_file, &size_bytes, &error);

	if (!text)
		return dws_tool_report_error(error, DWS_EXIT_USAGE);
	base->version = (uint64_t)MAX(tool->base_version, 0);
	base->document =
		dws_document_parse(text, size_bytes, tool->base_file, &error);
	g_free(text);
	return base->document ? DWS_EXIT_OK
			      : dws_tool_report_error(error, DWS_EXIT_USAGE);
}

/* Loads the base from a daemon's response to /config. */
static dws_exit_code_t load_response(dws_patch_base_t *base,
				     const char *address,
				     const dws_value_t *response)
{
	const char *text = dws_value_text(dws_value_get(response, "document"));
	GError *error = NULL;

	base->version = dws_json_get_number(response, "version");
	if (base->version == 0)
		return DWS_EXIT_OK;
	base->document = dws_document_parse(
		text ? text : "", text ? strlen(text) : 0, address, &error);
	return base->document ? DWS_EXIT_OK
			      : dws_tool_report_error(error, DWS_EXIT_FAILURE);
}

/* Loads the base from the first daemon. */
static dws_exit_code_t load_from_daemon(dws_patch_base_t *base,
					const dws_tool_options_t *tool)
{
	GError *error = NULL;
	const char *address = tool->admins[0];
	dws_value_t *response = dws_admin_get_json(address, "/config", &error);

	if (!response)
		return dws_tool_report_error(error, DWS_EXIT_FAILURE);
	dws_exit_code_t code = load_response(base, address, response);

	dws_value_unref(response);
	if (code == DWS_EXIT_OK && tool->base_version >= 0 &&
	    base->version != (uint64_t)tool->base_version) {
		fprintf(stderr,
			"dogwoodshift: %s: version %" G_GUINT64_FORMAT
			" is in force, not %" G_GINT64_FORMAT
			"; review it with config show and base the patch on "
			"it\n",
			address, base->version, tool->base_version);
		code = DWS_EXIT_FAILURE;
	}
	return code;
}

dws_exit_code_t dws_patch_base_load(dws_patch_base_t *base,
				    const dws_tool_options_t *tool)
{
	*base = (dws_patch_base_t){.document = NULL};
	return tool->base_file ? load_from_file(base, tool)
			       : load_from_daemon(base, tool);
}

void dws_patch_base_finish(dws_patch_base_t *base)
{
	dws_value_unref(base->document);
	base->document = NULL;
}
