/*
 * The log: one line of key=value pairs for each event, written to a file or to
 * standard output.
 */
#ifndef DWS_PROCESS_LOG_IO_H
#define DWS_PROCESS_LOG_IO_H

#include "dogwoodshift.h"

typedef struct dws_log {
	int fd;
	bool owns_fd; /* fd is closed by dws_log_finish() */
	dws_log_level_t level;
	GString *buffer; /* lines that are not written yet */
	uint64_t dropped; /* lines dropped since the latest "log_dropped" */
	uint64_t dropped_total; /* lines dropped since the start */
	int64_t second; /* wall-clock second of the cached timestamp */
	char stamp[32]; /* cached timestamp, without milliseconds */
} dws_log_t;

/*
 * Initializes caller-provided memory and opens the log. The file is created or
 * appended to; "" is standard output. Events that are less severe than level
 * are not logged. Errors: DWS_ERROR_SYSTEM.
 */
bool dws_log_init(dws_log_t *log, const char *file, dws_log_level_t level,
		  GError **error);
/*
 * Writes the buffered lines, waiting briefly if the reader stalls, and closes
 * the log.
 */
void dws_log_finish(dws_log_t *log);
/* Returns true if events of a level are logged. */
bool dws_log_enabled(const dws_log_t *log, dws_log_level_t level);
/*
 * Logs an event; fields is "key=value key=value" or NULL. Line breaks in fields
 * are replaced by spaces.
 */
void dws_log_event(dws_log_t *log, dws_log_level_t level, const char *event,
		   const char *fields);
/* Logs an event with one key=value pair, or none if key is NULL. */
void dws_log_pair(dws_log_t *log, dws_log_level_t level, const char *event,
		  const char *key, const char *value);
/*
 * Logs a span as an event "span". Spans of successful requests are dropped
 * first when the reader of the log is too slow.
 */
void dws_log_span(dws_log_t *log, const dws_span_t *span);
/* Writes as much of the buffer as is possible without blocking. */
void dws_log_flush(dws_log_t *log);
/*
 * Appends "key=value", with a space before it unless fields is empty. The value
 * is quoted and escaped if necessary.
 */
void dws_log_append(GString *fields, const char *key, const char *value);

#endif
