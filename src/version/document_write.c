/*
 * Canonical text of documents: block style, keys sorted by their bytes, exactly
 * one representation for each value. Equal trees give equal bytes, and parsing
 * the text gives an equal tree.
 */
#include "version/document.h"

#define INDENT_STEP 2

/* True if a byte needs no quotes at any position except the first. */
static bool is_unquoted_byte(char byte)
{
	return g_ascii_isalnum(byte) || strchr("_./+-", byte) != NULL;
}

/*
 * True if a text needs no quotes. Colons before a letter or digit are allowed,
 * for times and addresses.
 */
static bool is_unquoted(const char *text)
{
	if (!g_ascii_isalnum(text[0]) && text[0] != '/')
		return false;
	for (const char *byte = text; *byte; byte++) {
		bool inner_colon = *byte == ':' && g_ascii_isalnum(byte[1]);

		if (!is_unquoted_byte(*byte) && !inner_colon)
			return false;
	}
	return true;
}

/* True if a character needs no escape inside double quotes. */
static bool is_printable(gunichar character)
{
	if (character < 0x7f)
		return character >= 0x20 && character != '"' &&
		       character != '\\';
	if (character == 0x2028 || character == 0x2029 || character == 0xfeff)
		return false;
	return character > 0xa0 &&
	       (character < 0xd800 ||
		(character >= 0xe000 && character <= 0xfffd));
}

/* Appends a character of a quoted text, escaped if needed. */
static void write_character(GString *out, gunichar character)
{
	if (is_printable(character))
		g_string_append_unichar(out, character);
	else if (character == '"' || character == '\\')
		g_string_append_printf(out, "\\%c", (char)character);
	else if (character <= 0xffff)
		g_string_append_printf(out, "\\u%04X", character);
	else
		g_string_append_printf(out, "\\U%08X", character);
}

/* Appends a text in double quotes, the only style that can hold any text. */
static void write_quoted(GString *out, const char *text)
{
	g_string_append_c(out, '"');
	for (const char *at = text; *at; at = g_utf8_next_char(at))
		write_character(out, g_utf8_get_char(at));
	g_string_append_c(out, '"');
}

/* Appends a key or a scalar; the text "null" is quoted to remain a text. */
static void write_text(GString *out, const char *text)
{
	bool is_null_word = !g_ascii_strcasecmp(text, "null");

	if (is_unquoted(text) && !is_null_word)
		g_string_append(out, text);
	else
		write_quoted(out, text);
}

/* Indents a line, unless the value continues the line of a list's dash. */
static void write_indent(GString *out, int indent, bool *on_dash_line)
{
	if (!*on_dash_line)
		g_string_append_printf(out, "%*s", indent, "");
	*on_dash_line = false;
}

static void write_value(GString *out, const dws_value_t *value, int indent,
			bool on_dash_line);

/* True if a value is written on the line of its key or dash. */
static bool fits_line(const dws_value_t *value)
{
	return value->type == DWS_VALUE_SCALAR || value->items->len == 0;
}

/* Appends a scalar or an empty collection. */
static void write_inline(GString *out, const dws_value_t *value)
{
	if (value->type == DWS_VALUE_MAP)
		g_string_append(out, "{}");
	else if (value->type == DWS_VALUE_LIST)
		g_string_append(out, "[]");
	else if (dws_value_is_null(value))
		g_string_append(out, "null");
	else
		write_text(out, value->text);
	g_string_append_c(out, '\n');
}

/* Appends the entries of a map, one line or block each. */
static void write_map(GString *out, const dws_value_t *map, int indent,
		      bool on_dash_line)
{
	GPtrArray *entries = dws_value_sorted_entries(map);

	for (guint i = 0; i < entries->len; i++) {
		const dws_map_entry_t *entry = entries->pdata[i];

		write_indent(out, indent, &on_dash_line);
		write_text(out, entry->key);
		g_string_append(out, fits_line(entry->value) ? ": " : ":\n");
		write_value(out, entry->value, indent + INDENT_STEP, false);
	}
	g_ptr_array_unref(entries);
}

/* Appends the items of a list, each after a dash. */
static void write_list(GString *out, const dws_value_t *list, int indent,
		       bool on_dash_line)
{
	for (guint i = 0; i < list->items->len; i++) {
		write_indent(out, indent, &on_dash_line);
		g_string_append(out, "- ");
		write_value(out, list->items->pdata[i], indent + INDENT_STEP,
			    true);
	}
}

/* Appends a value; a block starts at the given indent. */
static void write_value(GString *out, const dws_value_t *value, int indent,
			bool on_dash_line)
{
	if (fits_line(value))
		write_inline(out, value);
	else if (value->type == DWS_VALUE_MAP)
		write_map(out, value, indent, on_dash_line);
	else
		write_list(out, value, indent, on_dash_line);
}

char *dws_document_canonical(const dws_value_t *value)
{
	GString *out = g_string_new(NULL);

	write_value(out, value, 0, false);
	return g_string_free(out, FALSE);
}
