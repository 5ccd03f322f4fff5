/*
 * The heads of an HTTP/1.1 answer, line by line: where the head of the final
 * answer begins and ends, and how its body is framed (RFC 9112, sections 5 and
 * 6).
 *
 * HTTP libraries read much that is malformed in one of several possible ways.
 * An answer whose head can be read in two ways may be a mixture of two answers,
 * so it is not used at all.
 */
#ifndef DWS_CONNECTION_HTTP_HEAD_H
#define DWS_CONNECTION_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The length of a body without a Content-Length. */
#define DWS_HTTP_NO_LENGTH INT64_C(-1)

/* How much of the heads has been received. */
typedef enum dws_head_state {
	DWS_HEAD_AWAITED, /* nothing, or interim answers alone */
	DWS_HEAD_OPEN, /* a status line, but no empty line after it */
	DWS_HEAD_WHOLE, /* that of the final answer; a trailer may follow */
} dws_head_state_t;

/* What a line is. */
typedef enum dws_head_line {
	DWS_HEAD_LINE_STATUS, /* begins a head */
	DWS_HEAD_LINE_HEADER, /* a header of the head that is open */
	DWS_HEAD_LINE_END, /* the empty line that ends a head */
	DWS_HEAD_LINE_TRAILER, /* after the final head, its content is ignored */
	DWS_HEAD_LINE_MALFORMED, /* no HTTP, or it contradicts another line */
} dws_head_line_t;

typedef struct dws_http_head {
	dws_head_state_t state;
	bool has_crlf; /* its status line ends with CRLF, not with LF alone */
	uint16_t status; /* 100 to 599; 0 if the status line has none */
	bool is_chunked;
	int64_t length_bytes; /* Content-Length, or DWS_HTTP_NO_LENGTH */
} dws_http_head_t;

/* Initializes caller-provided memory. */
void dws_http_head_init(dws_http_head_t *head);
/* Reads the next line, which ends with its line feed. */
dws_head_line_t dws_http_head_read(dws_http_head_t *head, const char *line,
				   size_t size_bytes);
/* True if a header line has this name, in any case. */
bool dws_http_header_has_name(const char *line, size_t size_bytes,
			      const char *name);
/* True if a header line has this name and this value, in any case. */
bool dws_http_header_is(const char *line, size_t size_bytes, const char *name,
			const char *value);

#endif
