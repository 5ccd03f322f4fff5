/*
 * Parser for daemon log files, whose lines consist of key=value pairs.
 */
#ifndef DWS_TOOL_LOG_LINE_H
#define DWS_TOOL_LOG_LINE_H

#include "dogwoodshift.h"

typedef void (*dws_log_line_func_t)(void *context, const char *line);

/*
 * Parses a line of key=value pairs into a table of strings, to be released with
 * g_hash_table_unref(). Quoted values keep their quotes and escapes.
 */
GHashTable *dws_log_line_parse(const char *line);
/* Returns the value of a key, owned by the table; "" if absent. */
const char *dws_log_line_get(GHashTable *fields, const char *key);
/*
 * Calls read for each line of a file, without its line end. Returns false with
 * error set if the file can't be opened.
 */
bool dws_log_file_for_each_line(const char *file, dws_log_line_func_t read,
				void *context, GError **error);

#endif
