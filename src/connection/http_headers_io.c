/*
 * Headers of the requests to the local upstream.
 */
#include <string.h>
#include "connection/http_headers_io.h"

#define NUMBER_SIZE 32

/* Adds a header; a value of "" suppresses the one that libcurl would add. */
static void add_header(struct curl_slist **headers, const char *name,
		       const char *value)
{
	char *line = value[0] ? g_strconcat(name, ": ", value, NULL)
			      : g_strconcat(name, ":", NULL);

	*headers = curl_slist_append(*headers, line);
	g_free(line);
}

static void add_number(struct curl_slist **headers, const char *name,
		       int64_t number)
{
	char text[NUMBER_SIZE];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, number);
	add_header(headers, name, text);
}

/* True if the lines contain a header of this name. */
static bool has_header(const char *lines, const char *name)
{
	size_t length = strlen(name);

	for (const char *at = lines; at && *at; at = strchr(at, '\n')) {
		at += *at == '\n';
		if (g_ascii_strncasecmp(at, name, length) == 0 &&
		    at[length] == ':')
			return true;
	}
	return false;
}

/* Adds the caller's headers, which are lines of a text. */
static void add_lines(struct curl_slist **headers, const char *text)
{
	char **lines = g_strsplit(text ? text : "", "\r\n", -1);

	for (char **line = lines; *line; line++) {
		char *colon = strchr(*line, ':');

		if (!colon)
			continue;
		/* libcurl requires "Name;" to send a header without value. */
		if (colon[1 + strspn(colon + 1, " ")] == '\0')
			memcpy(colon, ";", sizeof(";"));
		*headers = curl_slist_append(*headers, *line);
	}
	g_strfreev(lines);
}

struct curl_slist *dws_http_headers_routed(const dws_http_names_t *http_names,
					   const dws_dispatch_t *dispatch,
					   int64_t remaining_ms)
{
	struct curl_slist *headers = NULL;

	add_lines(&headers, dispatch->headers);
	add_number(&headers, http_names->remaining_ms_header, remaining_ms);
	if (dispatch->upstream_id && dispatch->upstream_id[0])
		add_header(&headers, http_names->target_instance_header,
			   dispatch->upstream_id);
	if (!has_header(dispatch->headers, "Content-Type"))
		add_header(&headers, "Content-Type", "");
	if (!has_header(dispatch->headers, "Accept"))
		add_header(&headers, "Accept", "");
	add_header(&headers, "Expect", "");
	return headers;
}

struct curl_slist *dws_http_headers_call(const dws_dispatch_t *dispatch,
					 int64_t remaining_ms)
{
	struct curl_slist *headers = NULL;
	char id[NUMBER_SIZE];

	g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x",
		   dispatch->attempt_id);
	add_header(&headers, "Dogwoodshift-Call", id);
	add_number(&headers, "Dogwoodshift-Timeout-Ms", remaining_ms);
	if (dispatch->customer && dispatch->customer[0])
		add_header(&headers, "Dogwoodshift-Customer",
			   dispatch->customer);
	if (dispatch->identity && dispatch->identity[0])
		add_header(&headers, "Idempotency-Key", dispatch->identity);
	if (dispatch->traceparent[0])
		add_header(&headers, "traceparent", dispatch->traceparent);
	add_header(&headers, "Content-Type",
		   dispatch->content_type ? dispatch->content_type : "");
	add_header(&headers, "Expect", "");
	return headers;
}
