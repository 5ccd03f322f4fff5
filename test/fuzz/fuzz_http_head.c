/*
 * Reads arbitrary lines as the heads of an answer. The oracle checks that only
 * an empty line ends a head, that nothing follows the final one but trailers,
 * and that a body is framed in one way; and that a sound head, with a length
 * drawn from the bytes, is read as it was written.
 *
 * Fuzz runs: 20000
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "connection/http_head.h"

static void check_end(const dws_http_head_t *head, const char *line,
		      size_t size_bytes)
{
	bool is_empty = size_bytes == 1 || (size_bytes == 2 && line[0] == '\r');
	bool is_interim = head->status >= 100 && head->status < 200;

	g_assert(is_empty);
	g_assert(head->state ==
		 (is_interim ? DWS_HEAD_AWAITED : DWS_HEAD_WHOLE));
}

/* Reads a line; false if it is malformed, as nothing is read after it. */
static bool read_line(dws_http_head_t *head, const char *line,
		      size_t size_bytes)
{
	dws_head_state_t before = head->state;
	dws_head_line_t kind = dws_http_head_read(head, line, size_bytes);

	if (kind == DWS_HEAD_LINE_MALFORMED)
		return false;
	g_assert((kind == DWS_HEAD_LINE_TRAILER) == (before == DWS_HEAD_WHOLE));
	g_assert((kind == DWS_HEAD_LINE_STATUS) ==
		 (before == DWS_HEAD_AWAITED));
	if (kind == DWS_HEAD_LINE_END)
		check_end(head, line, size_bytes);
	else
		g_assert(head->state != DWS_HEAD_WHOLE ||
			 before == DWS_HEAD_WHOLE);
	g_assert(!head->is_chunked || head->length_bytes == DWS_HTTP_NO_LENGTH);
	return true;
}

static void read_lines(const char *text, size_t size_bytes)
{
	dws_http_head_t head;
	const char *end = text + size_bytes;

	dws_http_head_init(&head);
	while (text < end) {
		const char *feed = memchr(text, '\n', (size_t)(end - text));

		/* A line without its end is never handed on. */
		if (!feed)
			return;
		if (!read_line(&head, text, (size_t)(feed + 1 - text)))
			return;
		text = feed + 1;
	}
}

static void check_sound_head(const uint8_t *data, size_t size_bytes)
{
	int64_t length_bytes = 0;
	dws_http_head_t head;

	memcpy(&length_bytes, data, MIN(size_bytes, sizeof(length_bytes) - 1));
	char *length = g_strdup_printf(
		"Content-Length: %" G_GINT64_FORMAT "\r\n", length_bytes);
	const char *lines[] = {"HTTP/1.1 103 Early\r\n", "X-A: a\r\n", "\r\n",
			       "HTTP/1.1 200 OK\r\n",	 length,       "\r\n"};

	dws_http_head_init(&head);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		g_assert(read_line(&head, lines[i], strlen(lines[i])));
	g_assert(head.state == DWS_HEAD_WHOLE && head.status == 200);
	g_assert(head.length_bytes == length_bytes);
	g_free(length);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GString *text = g_string_new("HTTP/1.1 200 OK\r\n");

	read_lines((const char *)data, size);
	/* Most bytes are no status line; this reads them as headers. */
	g_string_append_len(text, (const char *)data, (gssize)size);
	read_lines(text->str, text->len);
	g_string_free(text, TRUE);
	check_sound_head(data, size);
	return 0;
}
