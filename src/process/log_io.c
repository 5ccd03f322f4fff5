/*
 * The log. Lines are buffered and written once per iteration of the event loop.
 * Logging never blocks the loop: if the reader stalls (full pipe), lines that
 * exceed the buffer are dropped, and an event "log_dropped" reports their
 * number.
 */
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include "process/log_io.h"

#define BUFFER_MAX_BYTES (1024 * 1024)
/* Fill level above which spans of successful requests are dropped. */
#define SUCCESS_MAX_BYTES (BUFFER_MAX_BYTES / 2)
#define MIN_ERROR_STATUS 400
#define NS_PER_US 1000
#define US_PER_MS 1000
/* Time to wait for a stalled reader when the process exits. */
#define FINISH_WAIT_MS 200

static const char *const level_names[] = {
	[DWS_LOG_ERROR] = "error",
	[DWS_LOG_WARNING] = "warning",
	[DWS_LOG_INFO] = "info",
	[DWS_LOG_DEBUG] = "debug",
};

bool dws_log_init(dws_log_t *log, const char *file, dws_log_level_t level,
		  GError **error)
{
	memset(log, 0, sizeof(*log));
	log->level = level;
	log->fd = STDOUT_FILENO;
	log->second = -1;
	if (file[0]) {
		log->fd = open(file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
			       0640);
		if (log->fd < 0) {
			g_set_error(error, DWS_ERROR, DWS_ERROR_SYSTEM,
				    "log file %s: %s; use a file in a "
				    "directory that the daemon may write to, "
				    "or omit it to log to standard output",
				    file, g_strerror(errno));
			return false;
		}
		log->owns_fd = true;
	}
	log->buffer = g_string_sized_new(4096);
	return true;
}

bool dws_log_enabled(const dws_log_t *log, dws_log_level_t level)
{
	return level <= log->level;
}

/* True if a value has to be quoted. */
static bool needs_quotes(const char *value)
{
	if (!value[0])
		return true;
	for (const char *c = value; *c; c++) {
		if ((unsigned char)*c <= ' ' || (unsigned char)*c == 0x7f ||
		    *c == '"' || *c == '\\' || *c == '=')
			return true;
	}
	return false;
}

/* Appends a quoted value; escapes quotes, backslashes and controls. */
static void append_quoted(GString *text, const char *value)
{
	g_string_append_c(text, '"');
	for (const char *c = value; *c; c++) {
		unsigned char byte = (unsigned char)*c;

		if (byte == '"' || byte == '\\')
			g_string_append_printf(text, "\\%c", byte);
		else if (byte == '\n')
			g_string_append(text, "\\n");
		else if (byte < ' ' || byte == 0x7f)
			g_string_append_printf(text, "\\x%02x", byte);
		else
			g_string_append_c(text, *c);
	}
	g_string_append_c(text, '"');
}

void dws_log_append(GString *fields, const char *key, const char *value)
{
	if (fields->len)
		g_string_append_c(fields, ' ');
	g_string_append(fields, key);
	g_string_append_c(fields, '=');
	if (needs_quotes(value))
		append_quoted(fields, value);
	else
		g_string_append(fields, value);
}

/* Appends "ts=TIME level=LEVEL event=NAME"; the time is UTC with ms. */
static void append_head(dws_log_t *log, dws_log_level_t level,
			const char *event)
{
	struct timespec now;
	struct tm parts;

	clock_gettime(CLOCK_REALTIME, &now);
	if (now.tv_sec != log->second) {
		gmtime_r(&now.tv_sec, &parts);
		strftime(log->stamp, sizeof(log->stamp), "%Y-%m-%dT%H:%M:%S",
			 &parts);
		log->second = now.tv_sec;
	}
	g_string_append_printf(log->buffer, "ts=%s.%03dZ level=%s event=%s",
			       log->stamp,
			       (int)(now.tv_nsec / NS_PER_US / US_PER_MS),
			       level_names[level], event);
}

static void count_dropped(dws_log_t *log)
{
	log->dropped++;
	log->dropped_total++;
}

/*
 * Flushes the buffer if it is full. Returns false and counts a dropped line if
 * there is still no space. Reports lines that were dropped earlier.
 */
static bool reserve_line(dws_log_t *log)
{
	if (log->buffer->len >= BUFFER_MAX_BYTES)
		dws_log_flush(log);
	if (log->buffer->len >= BUFFER_MAX_BYTES) {
		count_dropped(log);
		return false;
	}
	if (log->dropped) {
		append_head(log, DWS_LOG_WARNING, "log_dropped");
		g_string_append_printf(log->buffer,
				       " lines=%" G_GUINT64_FORMAT "\n",
				       log->dropped);
		log->dropped = 0;
	}
	return true;
}

void dws_log_event(dws_log_t *log, dws_log_level_t level, const char *event,
		   const char *fields)
{
	if (!dws_log_enabled(log, level) || !reserve_line(log))
		return;
	append_head(log, level, event);
	if (fields && fields[0]) {
		g_string_append_c(log->buffer, ' ');
		gsize start = log->buffer->len;

		g_string_append(log->buffer, fields);
		g_strdelimit(log->buffer->str + start, "\r\n", ' ');
	}
	g_string_append_c(log->buffer, '\n');
}

/* True for the span of a successful request. */
static bool is_success(const dws_span_t *span)
{
	return strcmp(span->outcome, "complete") == 0 &&
	       span->status < MIN_ERROR_STATUS;
}

/* Appends the routing and admission data of a routed request. */
static void append_routing(GString *line, const dws_span_t *span)
{
	dws_log_append(line, "id", span->attempt_key);
	dws_log_append(line, "service", span->service);
	if (span->target_vm[0])
		dws_log_append(line, "target", span->target_vm);
	if (span->overloaded_service[0])
		dws_log_append(line, "crowded", span->overloaded_service);
	g_string_append_printf(line,
			       " reached=%u config=%" G_GUINT64_FORMAT
			       " config_age_ms=%" G_GINT64_FORMAT
			       " list=%" G_GUINT64_FORMAT
			       " load_age_us=%" G_GINT64_FORMAT " share=%.2f",
			       span->upstreams_reached, span->config_version,
			       span->config_age_ms, span->list_revision,
			       span->load_age_us, span->admitted_share);
}

void dws_log_span(dws_log_t *log, const dws_span_t *span)
{
	if (!dws_log_enabled(log, DWS_LOG_INFO))
		return;
	if (log->buffer->len > SUCCESS_MAX_BYTES && is_success(span)) {
		count_dropped(log);
		return;
	}
	if (!reserve_line(log))
		return;
	GString *line = log->buffer;

	append_head(log, DWS_LOG_INFO, "span");
	dws_log_append(line, "trace", span->trace_id);
	dws_log_append(line, "span", span->span_id);
	dws_log_append(line, "parent", span->parent_id);
	dws_log_append(line, "name", span->name);
	dws_log_append(line, "vm", span->vm_id);
	dws_log_append(line, "kind", span->kind ? span->kind : "");
	dws_log_append(line, "outcome", span->outcome);
	dws_log_append(line, "reason", span->reason);
	g_string_append_printf(line,
			       " status=%u start_us=%" G_GINT64_FORMAT
			       " duration_us=%" G_GINT64_FORMAT
			       " queued_us=%" G_GINT64_FORMAT " hop=%u",
			       span->status, span->start_us, span->duration_us,
			       span->queued_us, span->hop);
	if (span->attempt_key)
		append_routing(line, span);
	g_string_append_c(line, '\n');
}

/*
 * Returns how much to write next. A pipe that is reported as writable accepts
 * PIPE_BUF bytes without blocking.
 */
static size_t next_chunk(const GString *buffer, size_t done)
{
	size_t left = buffer->len - done;

	return left < PIPE_BUF ? left : PIPE_BUF;
}

/*
 * Writes the buffer. Stops when the file does not become writable within
 * wait_ms; the rest stays buffered.
 */
static void write_buffer(dws_log_t *log, int wait_ms)
{
	size_t done = 0;

	while (done < log->buffer->len) {
		struct pollfd ready = {.fd = log->fd, .events = POLLOUT};

		if (poll(&ready, 1, wait_ms) != 1 || !(ready.revents & POLLOUT))
			break;
		ssize_t wrote = write(log->fd, log->buffer->str + done,
				      next_chunk(log->buffer, done));

		if (wrote <= 0)
			break;
		done += (size_t)wrote;
	}
	g_string_erase(log->buffer, 0, (gssize)done);
}

void dws_log_flush(dws_log_t *log)
{
	write_buffer(log, 0);
}

void dws_log_finish(dws_log_t *log)
{
	write_buffer(log, FINISH_WAIT_MS);
	g_string_free(log->buffer, TRUE);
	if (log->owns_fd)
		close(log->fd);
}

void dws_log_pair(dws_log_t *log, dws_log_level_t level, const char *event,
		  const char *key, const char *value)
{
	GString *fields = g_string_new(NULL);

	if (key)
		dws_log_append(fields, key, value);
	dws_log_event(log, level, event, fields->str);
	g_string_free(fields, TRUE);
}
