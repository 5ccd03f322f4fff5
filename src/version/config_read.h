/*
 * Reading of the parts of a configuration from its document.
 */
#ifndef DWS_VERSION_CONFIG_READ_H
#define DWS_VERSION_CONFIG_READ_H

#include "version/config.h"
#include "version/fields.h"

/* Reads one named entry of a map into the configuration. */
typedef void (*dws_entry_reader_t)(dws_config_t *config,
				   const dws_fields_t *fields,
				   const char *name);

/* Reads each entry of a map of named maps, in the order of the names. */
void dws_config_read_entries(dws_config_t *config, const dws_fields_t *fields,
			     const char *key, dws_entry_reader_t read);
void dws_config_read_kind(dws_config_t *config, const dws_fields_t *fields,
			  const char *name);
/* Needs the services to be read before. */
void dws_config_read_route(dws_config_t *config, const dws_fields_t *fields,
			   const char *name);
/* Reads what callers may send; all keys have defaults. */
void dws_config_read_caller_limits(dws_config_t *config,
				   const dws_fields_t *fields);
/* Indexes the routes for lookups, once all have been read. */
void dws_config_index_routes(dws_config_t *config);
/* Frees the index of one host; for the table that owns it. */
void dws_config_free_host_routes(gpointer routes);
/* Needs the kinds to be read before. */
void dws_config_read_slowdown(dws_config_t *config, const dws_fields_t *fields,
			      const char *name);
void dws_slowdown_free(dws_slowdown_t *slowdown);

#endif
