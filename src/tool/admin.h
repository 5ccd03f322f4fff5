/*
 * Requests to the admin listeners of daemons.
 */
#ifndef DWS_TOOL_ADMIN_H
#define DWS_TOOL_ADMIN_H

#include "version/document.h"

typedef enum dws_admin_method {
	DWS_ADMIN_GET,
	DWS_ADMIN_POST,
} dws_admin_method_t;

/* The body of an answer, freed with g_free(); NULL with an error. */
char *dws_admin_request(const char *address, dws_admin_method_t method,
			const char *path, GError **error);
/* A JSON view of a daemon, dropped with dws_value_unref(). */
dws_value_t *dws_admin_view(const char *address, const char *path,
			    GError **error);

/* A text member of a JSON object; "?" if it is absent. Borrowed. */
const char *dws_view_text(const dws_value_t *view, const char *key);
/* A number member of a JSON object; 0 if it is absent. */
uint64_t dws_view_number(const dws_value_t *view, const char *key);

#endif
