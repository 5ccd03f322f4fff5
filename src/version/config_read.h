/*
 * Parsing of the sections of a configuration document.
 */
#ifndef DWS_VERSION_CONFIG_READ_H
#define DWS_VERSION_CONFIG_READ_H

#include "version/config.h"
#include "version/fields.h"

/* Parses one named entry of a map into the configuration. */
typedef void (*dws_entry_reader_t)(dws_config_t *config,
				   const dws_fields_t *fields,
				   const char *name);

/*
 * Reads each entry of a map from names to maps, sorted by name. More than
 * DWS_CONFIG_MAX_ENTRIES are a fault, and none of them is read.
 */
void dws_config_read_entries(dws_config_t *config, const dws_fields_t *fields,
			     const char *key, dws_entry_reader_t read);
/* Reads a kind. Requires that the services have been read. */
void dws_config_read_kind(dws_config_t *config, const dws_fields_t *fields,
			  const char *name);
/* Reads a route. Requires that the services have been read. */
void dws_config_read_route(dws_config_t *config, const dws_fields_t *fields,
			   const char *name);
/* Reads "callers", the limits on callers; all keys have defaults. */
void dws_config_read_caller_limits(dws_config_t *config,
				   const dws_fields_t *fields);
/*
 * Builds the index for route lookups, after all routes have been read. Of two
 * routes with the same host and prefix, the first by name is used.
 */
void dws_config_index_routes(dws_config_t *config);
/* Creates an empty index for dws_config_t.routes_by_host. */
GHashTable *dws_config_new_route_index(void);
/* Reads a planned slowdown. Requires that the kinds have been read. */
void dws_config_read_slowdown(dws_config_t *config, const dws_fields_t *fields,
			      const char *name);
/* Frees a slowdown and its lists. */
void dws_slowdown_free(dws_slowdown_t *slowdown);

#endif
