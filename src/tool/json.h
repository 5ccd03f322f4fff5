/*
 * Writing of JSON.
 */
#ifndef DWS_TOOL_JSON_H
#define DWS_TOOL_JSON_H

#include "version/document.h"

/* Appends a text in quotes. */
void dws_json_text(GString *out, const char *text);
/*
 * Appends a value. Unquoted scalars that JSON has too (numbers, true, false,
 * null) stay as they are; all others get quotes.
 */
void dws_json_value(GString *out, const dws_value_t *value);

#endif
