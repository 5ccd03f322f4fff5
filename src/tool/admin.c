/*
 * HTTP requests to the admin listeners of daemons, using libcurl.
 */
#include "tool/admin.h"
#include <curl/curl.h>

#define CONNECT_TIMEOUT_MS 2000L
#define TIMEOUT_MS 10000L
#define MAX_RESPONSE_BYTES (16 * 1024 * 1024)
#define HTTP_STATUS_REDIRECTION 300

/*
 * Write callback of libcurl: appends data to the response body. Returning less
 * than the size of the data aborts the transfer.
 */
static size_t append_body(char *data, size_t size, size_t count, void *context)
{
	GString *body = context;

	if (body->len + size * count > MAX_RESPONSE_BYTES)
		return 0;
	g_string_append_len(body, data, (gssize)(size * count));
	return size * count;
}

/* Performs a prepared request; on failure the error names the URL. */
static bool perform(CURL *curl, const char *url, GError **error)
{
	long status = 0;
	CURLcode code = curl_easy_perform(curl);

	if (code != CURLE_OK) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_PEER,
			    "%s: %s; check that the daemon is running and "
			    "that --admin is its admin_listen address",
			    url, curl_easy_strerror(code));
		return false;
	}
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	if (status < HTTP_STATUS_REDIRECTION)
		return true;
	g_set_error(error, DWS_ERROR, DWS_ERROR_PEER,
		    "%s: unexpected HTTP status %ld; check that --admin is the "
		    "admin_listen address of a daemon of the same version",
		    url, status);
	return false;
}

/* Sets the request options. Proxies and redirects are not used. */
static void set_request_options(CURL *curl, const char *url,
				dws_admin_method_t method, GString *body)
{
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	if (method == DWS_ADMIN_POST)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, "");
}

/* address is "IP:PORT" with a numeric IP address. */
char *dws_admin_request(const char *address, dws_admin_method_t method,
			const char *path, GError **error)
{
	CURL *curl = curl_easy_init();

	if (!curl) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_SYSTEM,
			    "out of memory while creating a request");
		return NULL;
	}
	char *url = g_strdup_printf("http://%s%s", address, path);
	GString *body = g_string_new(NULL);

	set_request_options(curl, url, method, body);
	bool ok = perform(curl, url, error);

	curl_easy_cleanup(curl);
	g_free(url);
	return g_string_free(body, !ok);
}

/*
 * The response is parsed by the YAML parser, as JSON is a subset of YAML. The
 * size limit is above that of a configuration document because the object may
 * contain a whole document as an escaped string.
 */
dws_value_t *dws_admin_get_json(const char *address, const char *path,
				GError **error)
{
	char *text = dws_admin_request(address, DWS_ADMIN_GET, path, error);

	if (!text)
		return NULL;
	char *name = g_strconcat(address, path, NULL);
	dws_value_t *view = dws_document_parse_limited(
		MAX_RESPONSE_BYTES, text, strlen(text), name, error);

	if (view && view->type != DWS_VALUE_MAP) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_PEER,
			    "%s: response is not a JSON object; check --admin",
			    name);
		dws_value_unref(view);
		view = NULL;
	}
	g_free(name);
	g_free(text);
	return view;
}

const char *dws_json_get_string(const dws_value_t *view, const char *key)
{
	const char *text = dws_value_text(dws_value_get(view, key));

	return text ? text : "?";
}

uint64_t dws_json_get_number(const dws_value_t *view, const char *key)
{
	uint64_t number = 0;

	if (!dws_value_parse_number(dws_value_get(view, key), UINT64_MAX,
				    &number))
		return 0;
	return number;
}
