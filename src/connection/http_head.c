/*
 * The heads of an HTTP/1.1 answer.
 */
#include "connection/http_head.h"

#include <glib.h>
#include <string.h>

#define STATUS_DIGITS 3
#define STATUS_FIRST 100
#define STATUS_LAST 599

static void start_head(dws_http_head_t *head)
{
	head->has_crlf = false;
	head->status = 0;
	head->is_chunked = false;
	head->length_bytes = DWS_HTTP_NO_LENGTH;
}

void dws_http_head_init(dws_http_head_t *head)
{
	head->state = DWS_HEAD_AWAITED;
	start_head(head);
}

bool dws_http_header_has_name(const char *line, size_t size_bytes,
			      const char *name)
{
	size_t length = strlen(name);

	return size_bytes > length && line[length] == ':' &&
	       g_ascii_strncasecmp(line, name, length) == 0;
}

/* Returns the value of a header line without the spaces around it. */
static char *copy_value(const char *line, size_t size_bytes)
{
	const char *colon = memchr(line, ':', size_bytes);
	size_t value_bytes = size_bytes - (size_t)(colon + 1 - line);

	return g_strstrip(g_strndup(colon + 1, value_bytes));
}

bool dws_http_header_is(const char *line, size_t size_bytes, const char *name,
			const char *value)
{
	if (!dws_http_header_has_name(line, size_bytes, name))
		return false;
	char *found = copy_value(line, size_bytes);
	bool same = g_ascii_strcasecmp(found, value) == 0;

	g_free(found);
	return same;
}

/* True for the empty line that ends a head or a trailer. */
static bool is_empty(const char *line, size_t size_bytes)
{
	return line[0] == '\n' || (size_bytes == 2 && line[0] == '\r');
}

static bool ends_with_crlf(const char *line, size_t size_bytes)
{
	return size_bytes >= 2 && line[size_bytes - 2] == '\r';
}

/*
 * Reads the status of a line such as "HTTP/1.1 103 Early Hints"; 0 if it has
 * none of three digits from 100 to 599.
 */
static uint16_t read_status(const char *line, size_t size_bytes)
{
	const char *space = memchr(line, ' ', size_bytes);
	const char *end = line + size_bytes;
	uint16_t status = 0;

	if (!space || end - space <= STATUS_DIGITS + 1)
		return 0;
	for (const char *at = space + 1; at <= space + STATUS_DIGITS; at++) {
		if (!g_ascii_isdigit(*at))
			return 0;
		status = (uint16_t)(status * 10 + (*at - '0'));
	}
	if (!g_ascii_isspace(space[STATUS_DIGITS + 1]))
		return 0;
	return status >= STATUS_FIRST && status <= STATUS_LAST ? status : 0;
}

/* True if an answer of this status is followed by another one. */
static bool is_interim(uint16_t status)
{
	return status / 100 == 1;
}

/* The length of a line without its line end, which is CRLF or LF. */
static size_t text_bytes(const char *line, size_t size_bytes)
{
	if (size_bytes > 0 && line[size_bytes - 1] == '\n')
		size_bytes--;
	if (size_bytes > 0 && line[size_bytes - 1] == '\r')
		size_bytes--;
	return size_bytes;
}

/*
 * True if a line has a name, without white space, before its colon, and no
 * control characters: a caller could take a bare CR for the end of the line.
 */
static bool is_header(const char *line, size_t size_bytes)
{
	size_t text_size = text_bytes(line, size_bytes);
	const char *colon = memchr(line, ':', text_size);

	if (!colon || colon == line)
		return false;
	for (const char *at = line; at < colon; at++) {
		if (!g_ascii_isgraph(*at))
			return false;
	}
	for (const char *at = colon; at < line + text_size; at++) {
		if (g_ascii_iscntrl(*at) && *at != '\t')
			return false;
	}
	return true;
}

/* Reads a Content-Length; false if it is none, or is another than before. */
static bool read_length(dws_http_head_t *head, const char *line,
			size_t size_bytes)
{
	char *value = copy_value(line, size_bytes);
	guint64 length_bytes = 0;
	bool is_number = g_ascii_string_to_unsigned(value, 10, 0, G_MAXINT64,
						    &length_bytes, NULL);
	bool is_new = head->length_bytes == DWS_HTTP_NO_LENGTH;

	g_free(value);
	if (!is_number)
		return false;
	if (!is_new && head->length_bytes != (int64_t)length_bytes)
		return false;
	head->length_bytes = (int64_t)length_bytes;
	return true;
}

/* Reads a header of the open head; false if its body can't be framed by it. */
static bool read_header(dws_http_head_t *head, const char *line,
			size_t size_bytes)
{
	if (!is_header(line, size_bytes))
		return false;
	if (dws_http_header_has_name(line, size_bytes, "Content-Length")) {
		if (!read_length(head, line, size_bytes))
			return false;
	} else if (dws_http_header_has_name(line, size_bytes,
					    "Transfer-Encoding")) {
		if (!dws_http_header_is(line, size_bytes, "Transfer-Encoding",
					"chunked"))
			return false;
		head->is_chunked = true;
	}
	return !head->is_chunked || head->length_bytes == DWS_HTTP_NO_LENGTH;
}

dws_head_line_t dws_http_head_read(dws_http_head_t *head, const char *line,
				   size_t size_bytes)
{
	if (head->state == DWS_HEAD_WHOLE)
		return DWS_HEAD_LINE_TRAILER;
	if (head->state == DWS_HEAD_AWAITED) {
		start_head(head);
		head->state = DWS_HEAD_OPEN;
		head->has_crlf = ends_with_crlf(line, size_bytes);
		head->status = read_status(line, size_bytes);
		return head->status ? DWS_HEAD_LINE_STATUS
				    : DWS_HEAD_LINE_MALFORMED;
	}
	/* Else an LF among other bytes could pass for the end of the head. */
	if (ends_with_crlf(line, size_bytes) != head->has_crlf)
		return DWS_HEAD_LINE_MALFORMED;
	if (is_empty(line, size_bytes)) {
		head->state = is_interim(head->status) ? DWS_HEAD_AWAITED
						       : DWS_HEAD_WHOLE;
		return DWS_HEAD_LINE_END;
	}
	return read_header(head, line, size_bytes) ? DWS_HEAD_LINE_HEADER
						   : DWS_HEAD_LINE_MALFORMED;
}
