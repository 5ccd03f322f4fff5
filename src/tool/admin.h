/*
 * HTTP requests to the admin listeners of daemons.
 */
#ifndef DWS_TOOL_ADMIN_H
#define DWS_TOOL_ADMIN_H

#include "version/document.h"

typedef enum dws_admin_method {
	DWS_ADMIN_GET,
	DWS_ADMIN_POST,
} dws_admin_method_t;

/*
 * Sends a request. Returns the response body, to be freed with g_free(), or
 * NULL with error set.
 */
char *dws_admin_request(const char *address, dws_admin_method_t method,
			const char *path, GError **error);
/*
 * Fetches a JSON object. The result is released with dws_value_unref(); NULL
 * with error set on failure.
 */
dws_value_t *dws_admin_get_json(const char *address, const char *path,
				GError **error);

/* Returns a string member of a JSON object, owned by it; "?" if absent. */
const char *dws_json_get_string(const dws_value_t *view, const char *key);
/* Returns a number member of a JSON object; 0 if absent. */
uint64_t dws_json_get_number(const dws_value_t *view, const char *key);

#endif
