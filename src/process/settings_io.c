/*
 * Reading of the settings file.
 */
#include "process/settings.h"

/*
 * Reads and validates a settings file. Returns false with an error that lists
 * all faults, or the reason why the file can't be read.
 */
bool dws_settings_load(dws_settings_t *settings, const char *file,
		       GError **error)
{
	GError *cause = NULL;
	char *text = NULL;
	gsize size_bytes = 0;

	if (!g_file_get_contents(file, &text, &size_bytes, &cause)) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_SYSTEM,
			    "%s: %s; give the path of a readable YAML file",
			    file, cause->message);
		g_error_free(cause);
		return false;
	}
	bool ok = dws_settings_parse(settings, text, size_bytes, file, error);

	g_free(text);
	return ok;
}
