/*
 * JSON serialization.
 */
#include "tool/json_writer.h"

void dws_json_append_string(GString *out, const char *text)
{
	g_string_append_c(out, '"');
	for (const char *character = text; *character; character++) {
		if (*character == '"' || *character == '\\')
			g_string_append_printf(out, "\\%c", *character);
		else if (g_ascii_iscntrl(*character))
			g_string_append_printf(out, "\\u%04x",
					       (unsigned int)*character);
		else
			g_string_append_c(out, *character);
	}
	g_string_append_c(out, '"');
}

/*
 * Returns whether a scalar is a JSON number, true or false. JSON allows no
 * leading zeros in numbers.
 */
static bool is_json_literal(const dws_value_t *value)
{
	uint64_t number;

	if (value->quoted)
		return false;
	if (dws_value_parse_number(value, UINT64_MAX, &number))
		return value->text[0] != '0' || !value->text[1];
	return !strcmp(value->text, "true") || !strcmp(value->text, "false");
}

/* Appends the members of a map or the elements of a list. */
static void append_items(GString *out, const dws_value_t *value)
{
	for (guint i = 0; i < value->items->len; i++) {
		if (i > 0)
			g_string_append_c(out, ',');
		if (value->type == DWS_VALUE_LIST) {
			dws_json_append_value(out, value->items->pdata[i]);
			continue;
		}
		const dws_map_entry_t *pair = value->items->pdata[i];

		dws_json_append_string(out, pair->key);
		g_string_append_c(out, ':');
		dws_json_append_value(out, pair->value);
	}
}

void dws_json_append_value(GString *out, const dws_value_t *value)
{
	if (value->type == DWS_VALUE_SCALAR) {
		if (dws_value_is_null(value))
			g_string_append(out, "null");
		else if (is_json_literal(value))
			g_string_append(out, value->text);
		else
			dws_json_append_string(out, value->text);
		return;
	}
	bool is_map = value->type == DWS_VALUE_MAP;

	g_string_append_c(out, is_map ? '{' : '[');
	append_items(out, value);
	g_string_append_c(out, is_map ? '}' : ']');
}
