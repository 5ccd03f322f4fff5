/*
 * An HTTP exchange whose answer is buffered in memory.
 */
#include "support/http.h"

#include <string.h>

static size_t on_body(char *data, size_t size, size_t count, void *context)
{
	http_exchange_t *exchange = context;

	g_string_append_len(exchange->body, data, (gssize)(size * count));
	return size * count;
}

static size_t on_header(char *data, size_t size, size_t count, void *context)
{
	http_exchange_t *exchange = context;
	char *line = g_strndup(data, size * count);
	char *colon = strchr(line, ':');

	if (colon) {
		*colon = '\0';
		g_hash_table_replace(exchange->answer_headers,
				     g_ascii_strdown(line, -1),
				     g_strdup(g_strstrip(colon + 1)));
	}
	g_free(line);
	return size * count;
}

/*
 * Initializes a request. Only GET reuses connections: libcurl resends a request
 * on its own if a reused connection fails before the first byte of the answer.
 */
void http_init(http_exchange_t *exchange, const char *method, const char *url,
	       const char *body, int64_t timeout_ms, const char *const *headers)
{
	CURL *easy = curl_easy_init();

	memset(exchange, 0, sizeof(*exchange));
	exchange->easy = easy;
	exchange->body = g_string_new(NULL);
	exchange->answer_headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	exchange->headers = curl_slist_append(NULL, "Expect:");
	for (; headers && *headers; headers++)
		exchange->headers =
			curl_slist_append(exchange->headers, *headers);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, exchange->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, exchange);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, exchange);
	if (strcmp(method, "GET") == 0)
		return;
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body ? body : "");
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
}

/* Frees the resources of an exchange. */
void http_free(http_exchange_t *exchange)
{
	curl_easy_cleanup(exchange->easy);
	curl_slist_free_all(exchange->headers);
	g_hash_table_unref(exchange->answer_headers);
	g_string_free(exchange->body, TRUE);
}

/* Records the result, and the status if the answer is complete. */
void http_set_result(http_exchange_t *exchange, CURLcode result)
{
	exchange->result = result;
	if (result == CURLE_OK)
		curl_easy_getinfo(exchange->easy, CURLINFO_RESPONSE_CODE,
				  &exchange->status);
}

/* Runs an exchange to its end; the outcome is in its result. */
void http_run(http_exchange_t *exchange)
{
	http_set_result(exchange, curl_easy_perform(exchange->easy));
}

/* Returns an answer header; "" if it is absent. */
const char *http_header(const http_exchange_t *exchange, const char *name)
{
	const char *value = g_hash_table_lookup(exchange->answer_headers, name);

	return value ? value : "";
}

/* Two lines: the executed request, and a checksum of the first line. */
char *http_body(const char *target, const char *identity, const char *nested,
		size_t padding_bytes)
{
	char *padding = g_strnfill(padding_bytes, '.');
	char *line = g_strdup_printf("target=%s identity=%s nested=%s %s",
				     target, identity, nested, padding);
	char *body =
		g_strdup_printf("%s\nchecksum=%08x\n", line, g_str_hash(line));

	g_free(padding);
	g_free(line);
	return body;
}

/* Verifies the checksum and the target of a body. */
bool http_body_is_valid(const char *body, const char *target)
{
	const char *end = strchr(body, '\n');

	if (!end)
		return false;
	char *line = g_strndup(body, (gsize)(end - body));
	char *checksum = g_strdup_printf("\nchecksum=%08x\n", g_str_hash(line));
	char *prefix = g_strdup_printf("target=%s ", target);
	bool is_intact =
		strcmp(end, checksum) == 0 && g_str_has_prefix(line, prefix);

	g_free(line);
	g_free(checksum);
	g_free(prefix);
	return is_intact;
}
