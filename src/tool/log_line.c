/*
 * Parser for daemon log files.
 */
#include "tool/log_line.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Returns the end of a value, which may be quoted with backslash escapes. */
static const char *find_value_end(const char *value)
{
	if (*value != '"')
		return value + strcspn(value, " ");
	for (value++; *value && *value != '"'; value++) {
		if (value[0] == '\\' && value[1])
			value++;
	}
	return *value ? value + 1 : value;
}

GHashTable *dws_log_line_parse(const char *line)
{
	GHashTable *fields =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	while (*line) {
		size_t key_length = strcspn(line, "= ");

		if (line[key_length] != '=') {
			line += key_length + (line[key_length] == ' ');
			continue;
		}
		const char *value = line + key_length + 1;
		const char *end = find_value_end(value);

		g_hash_table_insert(fields, g_strndup(line, key_length),
				    g_strndup(value, (gsize)(end - value)));
		line = end;
		line += *line == ' ';
	}
	return fields;
}

const char *dws_log_line_get(GHashTable *fields, const char *key)
{
	const char *value = g_hash_table_lookup(fields, key);

	return value ? value : "";
}

bool dws_log_file_for_each_line(const char *file, dws_log_line_func_t read,
				void *context, GError **error)
{
	FILE *input = fopen(file, "re");
	char *line = NULL;
	size_t capacity = 0;

	if (!input) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_SYSTEM,
			    "%s: %s; specify a readable log file", file,
			    g_strerror(errno));
		return false;
	}
	while (getline(&line, &capacity, input) >= 0)
		read(context, g_strchomp(line));
	free(line);
	fclose(input);
	return true;
}
