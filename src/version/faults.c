/*
 * Collection of the faults of a document into one error.
 */
#include "version/fields.h"

#define MAX_FAULTS 20
#define MAX_FAULT_CHARACTERS 300

void dws_faults_init(dws_faults_t *faults, const char *name)
{
	*faults = (dws_faults_t){.name = name, .text = g_string_new(NULL)};
}

/*
 * A message is truncated to MAX_FAULT_CHARACTERS. Faults beyond MAX_FAULTS are
 * only counted.
 */
void dws_faults_add(dws_faults_t *faults, dws_error_t kind, uint32_t line,
		    const char *key, const char *format, ...)
{
	va_list arguments;

	if (faults->count == 0)
		faults->kind = kind;
	if (faults->count++ >= MAX_FAULTS)
		return;
	va_start(arguments, format);
	char *fault = g_strdup_vprintf(format, arguments);

	va_end(arguments);
	if (g_utf8_strlen(fault, -1) > MAX_FAULT_CHARACTERS)
		*g_utf8_offset_to_pointer(fault, MAX_FAULT_CHARACTERS) = '\0';
	if (faults->text->len > 0)
		g_string_append_c(faults->text, '\n');
	if (faults->name)
		g_string_append_printf(faults->text, "%s:%u: ", faults->name,
				       line);
	g_string_append_printf(faults->text, "%s: %s", key, fault);
	g_free(fault);
}

bool dws_faults_finish(dws_faults_t *faults, GError **error)
{
	bool ok = faults->count == 0;

	if (faults->count > MAX_FAULTS)
		g_string_append_printf(faults->text,
				       "\n%u more faults; correct these first",
				       faults->count - MAX_FAULTS);
	if (!ok)
		g_set_error_literal(error, DWS_ERROR, (gint)faults->kind,
				    faults->text->str);
	g_string_free(faults->text, TRUE);
	faults->text = NULL;
	return ok;
}
