/*
 * Requests to the admin listeners of daemons, by libcurl.
 */
#include "tool/admin.h"
#include <curl/curl.h>

#define CONNECT_TIMEOUT_MS 2000L
#define TIMEOUT_MS 10000L
#define MAX_ANSWER_BYTES (16 * 1024 * 1024)
#define FIRST_ERROR_STATUS 300

/* Collects a part of an answer; libcurl stops when less is taken. */
static size_t collect(char *data, size_t size, size_t count, void *context)
{
	GString *body = context;

	if (body->len + size * count > MAX_ANSWER_BYTES)
		return 0;
	g_string_append_len(body, data, (gssize)(size * count));
	return size * count;
}

/* Runs a prepared request; false with an error that names the place. */
static bool perform(CURL *curl, const char *url, GError **error)
{
	long status = 0;
	CURLcode code = curl_easy_perform(curl);

	if (code != CURLE_OK) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_PEER,
			    "%s: %s; check that the daemon runs and that "
			    "--admin is its admin_listen",
			    url, curl_easy_strerror(code));
		return false;
	}
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	if (status < FIRST_ERROR_STATUS)
		return true;
	g_set_error(error, DWS_ERROR, DWS_ERROR_PEER,
		    "%s: answered %ld; check that --admin is a daemon's "
		    "admin_listen of the same version",
		    url, status);
	return false;
}

/* Sets the options of a request. No proxy and no redirect is followed. */
static void prepare(CURL *curl, const char *url, dws_admin_method_t method,
		    GString *body)
{
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	if (method == DWS_ADMIN_POST)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, "");
}

/* Makes one request to "IP:PORT", which must be an IP number. */
char *dws_admin_request(const char *address, dws_admin_method_t method,
			const char *path, GError **error)
{
	CURL *curl = curl_easy_init();

	if (!curl) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_SYSTEM,
			    "no memory for a request; free some");
		return NULL;
	}
	char *url = g_strdup_printf("http://%s%s", address, path);
	GString *body = g_string_new(NULL);

	prepare(curl, url, method, body);
	bool ok = perform(curl, url, error);

	curl_easy_cleanup(curl);
	g_free(url);
	return g_string_free(body, !ok);
}

/*
 * Reads a JSON object of a daemon. JSON is read as the subset of YAML that it
 * is. It may be larger than a document, as it holds one with escapes.
 */
dws_value_t *dws_admin_view(const char *address, const char *path,
			    GError **error)
{
	char *text = dws_admin_request(address, DWS_ADMIN_GET, path, error);

	if (!text)
		return NULL;
	char *name = g_strconcat(address, path, NULL);
	dws_value_t *view = dws_document_parse_limited(
		MAX_ANSWER_BYTES, text, strlen(text), name, error);

	if (view && view->type != DWS_VALUE_MAP) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_PEER,
			    "%s: is no JSON object; check --admin", name);
		dws_value_unref(view);
		view = NULL;
	}
	g_free(name);
	g_free(text);
	return view;
}

/* A text member of a JSON object. */
const char *dws_view_text(const dws_value_t *view, const char *key)
{
	const char *text = dws_value_text(dws_value_get(view, key));

	return text ? text : "?";
}

/* A number member of a JSON object. */
uint64_t dws_view_number(const dws_value_t *view, const char *key)
{
	uint64_t number = 0;

	if (!dws_value_parse_number(dws_value_get(view, key), UINT64_MAX,
				    &number))
		return 0;
	return number;
}
