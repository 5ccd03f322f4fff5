/*
 * The configuration that a patch is made for.
 */
#include "tool/base.h"
#include "tool/admin.h"

/* Reads the base from the file of --base. */
static dws_exit_t read_file(dws_base_t *base, const dws_tool_t *tool)
{
	GError *error = NULL;
	size_t size_bytes = 0;
	char *text = dws_tool_read_file(tool->base_file, &size_bytes, &error);

	if (!text)
		return dws_tool_fail(error, DWS_EXIT_USAGE);
	base->version = (uint64_t)MAX(tool->base_version, 0);
	base->document =
		dws_document_parse(text, size_bytes, tool->base_file, &error);
	g_free(text);
	return base->document ? DWS_EXIT_OK
			      : dws_tool_fail(error, DWS_EXIT_USAGE);
}

/* Takes the base from a view of a daemon. */
static dws_exit_t take_view(dws_base_t *base, const char *address,
			    const dws_value_t *view)
{
	const char *text = dws_value_text(dws_value_get(view, "document"));
	GError *error = NULL;

	base->version = dws_view_number(view, "version");
	if (base->version == 0)
		return DWS_EXIT_OK;
	base->document = dws_document_parse(
		text ? text : "", text ? strlen(text) : 0, address, &error);
	return base->document ? DWS_EXIT_OK : dws_tool_fail(error, DWS_EXIT_NO);
}

/* Reads the base from the first daemon. */
static dws_exit_t ask_daemon(dws_base_t *base, const dws_tool_t *tool)
{
	GError *error = NULL;
	const char *address = tool->admins[0];
	dws_value_t *view = dws_admin_view(address, "/config", &error);

	if (!view)
		return dws_tool_fail(error, DWS_EXIT_NO);
	dws_exit_t code = take_view(base, address, view);

	dws_value_unref(view);
	if (code == DWS_EXIT_OK && tool->base_version >= 0 &&
	    base->version != (uint64_t)tool->base_version) {
		fprintf(stderr,
			"dogwoodshift: %s: version %" G_GUINT64_FORMAT
			" is in force, not %" G_GINT64_FORMAT
			"; look at it with config show, then make the patch "
			"for it\n",
			address, base->version, tool->base_version);
		code = DWS_EXIT_NO;
	}
	return code;
}

/* Takes the base; it must be finished whatever the result. */
dws_exit_t dws_base_init(dws_base_t *base, const dws_tool_t *tool)
{
	*base = (dws_base_t){.document = NULL};
	return tool->base_file ? read_file(base, tool) : ask_daemon(base, tool);
}

/* Drops the document. */
void dws_base_finish(dws_base_t *base)
{
	dws_value_unref(base->document);
	base->document = NULL;
}
