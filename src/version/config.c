/*
 * One version of the configuration: creation, reference counting and lookups.
 */
#include "version/config_read.h"

#define DEFAULT_CUSTOMER_RETRIES_PER_MIN 60
#define MAX_CUSTOMER_RETRIES_PER_MIN 100000
#define DEFAULT_FRESHNESS_MS 60000
#define MIN_FRESHNESS_MS 100
#define MAX_FRESHNESS_MS (3600 * 1000)
#define DEFAULT_CLOCK_SKEW_MS 5000
#define MAX_CLOCK_SKEW_MS (600 * 1000)
#define MAX_SLOTS 10000

/* Defaults for callers of the routed listener. */
const dws_caller_limits_t dws_default_caller_limits = {
	.max_header_bytes = 16 * 1024,
	.max_body_bytes = 1024 * 1024,
	.header_timeout_ms = 5000,
	.idle_timeout_ms = 15000,
};

/* GDestroyNotify of dws_config_t.slowdowns. */
static void free_slowdown(void *data)
{
	dws_slowdown_free(data);
}

/* GDestroyNotify of the elements of dws_config_t.routes. */
static void clear_route(void *data)
{
	dws_route_t *route = data;

	g_free(route->host);
	g_free(route->path_prefix);
	g_free(route->targets);
}

/* Creates an empty configuration with one reference. */
static dws_config_t *new_config(uint64_t version)
{
	dws_config_t *config = g_new0(dws_config_t, 1);

	config->references = 1;
	config->version = version;
	config->services = g_array_new(FALSE, TRUE, sizeof(dws_service_t));
	config->kinds = g_array_new(FALSE, TRUE, sizeof(dws_kind_t));
	config->routes = g_array_new(FALSE, TRUE, sizeof(dws_route_t));
	g_array_set_clear_func(config->routes, clear_route);
	config->routes_by_host = dws_config_new_route_index();
	config->caller_limits = dws_default_caller_limits;
	config->slowdowns = g_ptr_array_new_with_free_func(free_slowdown);
	config->customer_retries_per_min = DEFAULT_CUSTOMER_RETRIES_PER_MIN;
	config->slowdown_freshness_ms = DEFAULT_FRESHNESS_MS;
	config->slowdown_clock_skew_ms = DEFAULT_CLOCK_SKEW_MS;
	return config;
}

dws_config_t *dws_config_ref(dws_config_t *config)
{
	config->references++;
	return config;
}

void dws_config_unref(dws_config_t *config)
{
	if (!config || --config->references > 0)
		return;
	g_array_unref(config->services);
	g_array_unref(config->kinds);
	g_hash_table_unref(config->routes_by_host);
	g_array_unref(config->routes);
	g_ptr_array_unref(config->slowdowns);
	g_free(config);
}

static void read_service(dws_config_t *config, const dws_fields_t *fields,
			 const char *name)
{
	static const char *const keys[] = {"slots", "health_path",
					   "max_connections"};
	dws_service_t service = {.slots = 0};

	dws_fields_reject_unknown(fields, keys, G_N_ELEMENTS(keys));
	g_strlcpy(service.name, name, sizeof(service.name));
	dws_fields_number(fields, "slots", 0, MAX_SLOTS, &service.slots);
	dws_fields_text(fields, "health_path", service.health_path,
			sizeof(service.health_path));
	dws_fields_number(fields, "max_connections", 0,
			  DWS_SERVICE_CONNECTIONS_MAX,
			  &service.max_connections);
	g_array_append_val(config->services, service);
}

/* Reads one entry of a map from names to maps. */
static void read_entry(dws_config_t *config, const dws_fields_t *list,
		       const dws_map_entry_t *entry, dws_entry_reader_t read)
{
	char *path = g_strconcat(list->path, entry->key, ".", NULL);
	dws_fields_t entry_fields;

	if (!dws_is_valid_name(entry->key, DWS_NAME_SIZE))
		dws_fields_report(
			list, DWS_ERROR_VALUE, entry->key,
			"is not a valid name; use 1 to 63 letters, digits, -, "
			"_ or .");
	else if (dws_fields_init(&entry_fields, list->faults, entry->value,
				 path))
		read(config, &entry_fields, entry->key);
	g_free(path);
}

void dws_config_read_entries(dws_config_t *config, const dws_fields_t *fields,
			     const char *key, dws_entry_reader_t read)
{
	const dws_value_t *map = dws_fields_get(fields, key);
	dws_fields_t list;
	char *path = g_strconcat(key, ".", NULL);

	if (map && dws_fields_init(&list, fields->faults, map, path)) {
		GPtrArray *entries = dws_value_sorted_entries(map);
		bool fits = entries->len <= DWS_CONFIG_MAX_ENTRIES;

		if (!fits)
			dws_fields_report(
				fields, DWS_ERROR_TOO_LARGE, key,
				"has more than %d entries; remove some",
				DWS_CONFIG_MAX_ENTRIES);
		for (guint i = 0; i < entries->len && fits; i++)
			read_entry(config, &list, entries->pdata[i], read);
		g_ptr_array_unref(entries);
	}
	g_free(path);
}

/* Reads "limits", which apply to all kinds. */
static void read_limits(dws_config_t *config, const dws_fields_t *fields)
{
	static const char *const keys[] = {"customer_retries_per_min",
					   "slowdown_freshness_ms",
					   "slowdown_clock_skew_ms"};
	const dws_value_t *map = dws_fields_get(fields, "limits");
	dws_fields_t limits;

	if (!map || !dws_fields_init(&limits, fields->faults, map, "limits."))
		return;
	dws_fields_reject_unknown(&limits, keys, G_N_ELEMENTS(keys));
	dws_fields_number(&limits, keys[0], 0, MAX_CUSTOMER_RETRIES_PER_MIN,
			  &config->customer_retries_per_min);
	dws_fields_number(&limits, keys[1], MIN_FRESHNESS_MS, MAX_FRESHNESS_MS,
			  &config->slowdown_freshness_ms);
	dws_fields_number(&limits, keys[2], 0, MAX_CLOCK_SKEW_MS,
			  &config->slowdown_clock_skew_ms);
}

static void read_config(dws_config_t *config, const dws_fields_t *fields)
{
	static const char *const keys[] = {"services",	"kinds",  "routes",
					   "slowdowns", "limits", "callers"};
	bool has_routes = dws_fields_get(fields, "routes") != NULL;

	dws_fields_reject_unknown(fields, keys, G_N_ELEMENTS(keys));
	if (!has_routes)
		dws_fields_require(fields, "kinds");
	dws_config_read_entries(config, fields, "services", read_service);
	dws_config_read_entries(config, fields, "kinds", dws_config_read_kind);
	dws_config_read_entries(config, fields, "routes",
				dws_config_read_route);
	dws_config_index_routes(config);
	dws_config_read_caller_limits(config, fields);
	if (config->kinds->len == 0 && !has_routes &&
	    fields->faults->count == 0)
		dws_fields_report(fields, DWS_ERROR_VALUE, "kinds",
				  "is empty; define at least one kind of work");
	dws_config_read_entries(config, fields, "slowdowns",
				dws_config_read_slowdown);
	read_limits(config, fields);
}

dws_config_t *dws_config_build(const dws_value_t *document, const char *name,
			       uint64_t version, GError **error)
{
	dws_config_t *config = new_config(version);
	dws_faults_t faults;
	dws_fields_t fields;

	dws_faults_init(&faults, name);
	if (dws_fields_init(&fields, &faults, document, ""))
		read_config(config, &fields);
	if (dws_faults_finish(&faults, error))
		return config;
	dws_config_unref(config);
	return NULL;
}

dws_config_t *dws_config_parse(const char *text, size_t size_bytes,
			       const char *name, uint64_t version,
			       GError **error)
{
	dws_value_t *document =
		dws_document_parse(text, size_bytes, name, error);

	if (!document)
		return NULL;
	dws_config_t *config = dws_config_build(document, name, version, error);

	dws_value_unref(document);
	return config;
}

const dws_kind_t *dws_config_find_kind(const dws_config_t *config,
				       const char *name)
{
	for (guint i = 0; i < config->kinds->len; i++) {
		const dws_kind_t *kind =
			&g_array_index(config->kinds, dws_kind_t, i);

		if (!strcmp(kind->name, name))
			return kind;
	}
	return NULL;
}

const dws_service_t *dws_config_find_service(const dws_config_t *config,
					     const char *name)
{
	for (guint i = 0; i < config->services->len; i++) {
		const dws_service_t *service =
			&g_array_index(config->services, dws_service_t, i);

		if (!strcmp(service->name, name))
			return service;
	}
	return NULL;
}
