/*
 * JSON serialization.
 */
#ifndef DWS_TOOL_JSON_WRITER_H
#define DWS_TOOL_JSON_WRITER_H

#include "version/document.h"

/* Appends a string, quoted and escaped. */
void dws_json_append_string(GString *out, const char *text);
/*
 * Appends a value. Unquoted scalars that are JSON literals (numbers, true,
 * false, null) are written unquoted; all other scalars become strings.
 */
void dws_json_append_value(GString *out, const dws_value_t *value);

#endif
