/*
 * Routes: parsing, and lookup of the route of a request.
 */
#include "version/config_read.h"

#include <string.h>

#define MAX_PRIORITY 7
#define MAX_WORTH 1000

static void read_target(const dws_config_t *config, dws_faults_t *faults,
			const dws_value_t *value, const char *path,
			dws_route_t *route)
{
	static const char *const keys[] = {"service", "weight"};
	dws_route_target_t *target = &route->targets[route->target_count];
	dws_fields_t fields;

	if (!dws_fields_init(&fields, faults, value, path))
		return;
	dws_fields_reject_unknown(&fields, keys, G_N_ELEMENTS(keys));
	target->weight = 1;
	if (!dws_fields_require(&fields, "service") ||
	    !dws_fields_name(&fields, "service", target->service,
			     sizeof(target->service)))
		return;
	if (!dws_config_find_service(config, target->service))
		dws_fields_report(&fields, DWS_ERROR_CONFLICT, "service",
				  "\"%s\" is not among the services; add it "
				  "there, or write one that is",
				  target->service);
	dws_fields_number(&fields, "weight", 0, DWS_ROUTE_WEIGHT_MAX,
			  &target->weight);
	route->total_weight += target->weight;
	route->target_count++;
}

/* Reads the services among which a route distributes its requests. */
static void read_targets(const dws_config_t *config, const dws_fields_t *fields,
			 dws_route_t *route)
{
	const dws_value_t *list = dws_fields_get(fields, "targets");

	if (!dws_fields_require(fields, "targets"))
		return;
	if (list->type != DWS_VALUE_LIST || list->items->len == 0 ||
	    list->items->len > DWS_ROUTE_TARGETS_MAX) {
		dws_fields_report(fields, DWS_ERROR_VALUE, "targets",
				  "is not a list of 1 to %d entries; write "
				  "\"- {service: NAME, weight: N}\" lines",
				  DWS_ROUTE_TARGETS_MAX);
		return;
	}
	route->targets = g_new0(dws_route_target_t, list->items->len);
	for (guint i = 0; i < list->items->len; i++) {
		char *path = g_strdup_printf("%stargets[%u].", fields->path, i);

		read_target(config, fields->faults, list->items->pdata[i], path,
			    route);
		g_free(path);
	}
	if (route->total_weight == 0 && fields->faults->count == 0)
		dws_fields_report(fields, DWS_ERROR_VALUE, "targets",
				  "have no weight; give at least one of them a "
				  "weight above 0");
}

/*
 * Converts the host to lower case for lookups, and checks the prefix, which is
 * "/" if there is none.
 */
static void check_host_and_prefix(const dws_fields_t *fields,
				  dws_route_t *route)
{
	size_t length;

	if (!route->host)
		route->host = g_strdup("");
	if (!route->path_prefix)
		route->path_prefix = g_strdup("/");
	length = strlen(route->path_prefix);
	for (char *at = route->host; *at; at++)
		*at = g_ascii_tolower(*at);
	if (length == 0 || route->path_prefix[0] != '/' ||
	    route->path_prefix[length - 1] != '/' ||
	    strpbrk(route->path_prefix, "?# "))
		dws_fields_report(
			fields, DWS_ERROR_VALUE, "path_prefix",
			"is not a prefix of whole segments; start and "
			"end it with /, without query or spaces");
}

void dws_config_read_route(dws_config_t *config, const dws_fields_t *fields,
			   const char *name)
{
	static const char *const keys[] = {
		"host",	      "path_prefix",  "targets",
		"idempotent", "priority",     "worth",
		"timeout_ms", "objective_ms", "max_attempts",
	};
	dws_route_t route = {.worth = 1, .timeout_ms = 3000, .max_attempts = 2};
	uint32_t priority = 0;

	g_strlcpy(route.name, name, sizeof(route.name));
	dws_fields_reject_unknown(fields, keys, G_N_ELEMENTS(keys));
	if (dws_fields_require(fields, "host"))
		route.host = dws_fields_dup_text(fields, "host");
	route.path_prefix = dws_fields_dup_text(fields, "path_prefix");
	if (dws_fields_require(fields, "idempotent"))
		dws_fields_bool(fields, "idempotent", &route.idempotent);
	dws_fields_number(fields, "priority", 0, MAX_PRIORITY, &priority);
	route.priority = (uint8_t)priority;
	dws_fields_number(fields, "worth", 1, MAX_WORTH, &route.worth);
	dws_fields_number(fields, "timeout_ms", 1, DWS_ROUTE_TIME_MAX_MS,
			  &route.timeout_ms);
	route.objective_ms = route.timeout_ms;
	dws_fields_number(fields, "objective_ms", 1, DWS_ROUTE_TIME_MAX_MS,
			  &route.objective_ms);
	dws_fields_number(fields, "max_attempts", 1, DWS_ROUTE_ATTEMPTS_MAX,
			  &route.max_attempts);
	check_host_and_prefix(fields, &route);
	read_targets(config, fields, &route);
	g_array_append_val(config->routes, route);
}

void dws_config_read_caller_limits(dws_config_t *config,
				   const dws_fields_t *fields)
{
	static const char *const keys[] = {"max_header_bytes", "max_body_bytes",
					   "header_timeout_ms",
					   "idle_timeout_ms"};
	dws_caller_limits_t *limits = &config->caller_limits;
	const dws_value_t *map = dws_fields_get(fields, "callers");
	dws_fields_t callers;

	if (!map || !dws_fields_init(&callers, fields->faults, map, "callers."))
		return;
	dws_fields_reject_unknown(&callers, keys, G_N_ELEMENTS(keys));
	dws_fields_number(&callers, keys[0], DWS_CALLERS_HEADER_MIN_BYTES,
			  DWS_CALLERS_HEADER_MAX_BYTES,
			  &limits->max_header_bytes);
	dws_fields_number(&callers, keys[1], 0, DWS_CALLERS_BODY_MAX_BYTES,
			  &limits->max_body_bytes);
	dws_fields_number(&callers, keys[2], 1, DWS_CALLERS_TIME_MAX_MS,
			  &limits->header_timeout_ms);
	dws_fields_number(&callers, keys[3], 1, DWS_CALLERS_TIME_MAX_MS,
			  &limits->idle_timeout_ms);
}

/* A part of a text, as a key of a hash table. */
typedef struct slice {
	const char *text;
	size_t length;
} slice_t;

/* The routes of one host. */
typedef struct host_routes {
	GHashTable *by_prefix; /* slice_t * to dws_route_t *, borrowed */
	GArray *lengths; /* uint32_t, of the prefixes, in descending order */
} host_routes_t;

/* Hashes a slice without regard to case (FNV-1a). */
static guint hash_slice(gconstpointer key)
{
	const slice_t *slice = key;
	guint hash = 2166136261U;

	for (size_t i = 0; i < slice->length; i++) {
		hash ^= (uint8_t)g_ascii_tolower(slice->text[i]);
		hash *= 16777619U;
	}
	return hash;
}

static gboolean equal_slices(gconstpointer a, gconstpointer b)
{
	const slice_t *one = a;
	const slice_t *other = b;

	return one->length == other->length &&
	       memcmp(one->text, other->text, one->length) == 0;
}

/* Compares two slices without regard to case. */
static gboolean equal_hosts(gconstpointer a, gconstpointer b)
{
	const slice_t *one = a;
	const slice_t *other = b;

	return one->length == other->length &&
	       g_ascii_strncasecmp(one->text, other->text, one->length) == 0;
}

/* Allocates a key that borrows a whole text. */
static slice_t *new_key(const char *text)
{
	slice_t *key = g_new(slice_t, 1);

	key->text = text;
	key->length = strlen(text);
	return key;
}

static void free_host_routes(gpointer data)
{
	host_routes_t *routes = data;

	g_hash_table_destroy(routes->by_prefix);
	g_array_free(routes->lengths, TRUE);
	g_free(routes);
}

GHashTable *dws_config_new_route_index(void)
{
	return g_hash_table_new_full(hash_slice, equal_hosts, g_free,
				     free_host_routes);
}

/* Finds or creates the index of a host. */
static host_routes_t *get_host_routes(dws_config_t *config, const char *host)
{
	slice_t key = {.text = host, .length = strlen(host)};
	host_routes_t *routes =
		g_hash_table_lookup(config->routes_by_host, &key);

	if (routes)
		return routes;
	routes = g_new0(host_routes_t, 1);
	routes->by_prefix =
		g_hash_table_new_full(hash_slice, equal_slices, g_free, NULL);
	routes->lengths = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_insert(config->routes_by_host, new_key(host), routes);
	return routes;
}

/* Inserts a length in descending order, unless it is present. */
static void insert_length(GArray *lengths, uint32_t length)
{
	guint position = 0;

	while (position < lengths->len &&
	       g_array_index(lengths, uint32_t, position) > length)
		position++;
	if (position == lengths->len ||
	    g_array_index(lengths, uint32_t, position) != length)
		g_array_insert_val(lengths, position, length);
}

void dws_config_index_routes(dws_config_t *config)
{
	for (guint i = 0; i < config->routes->len; i++) {
		dws_route_t *route =
			&g_array_index(config->routes, dws_route_t, i);
		host_routes_t *routes = get_host_routes(config, route->host);
		slice_t *key = new_key(route->path_prefix);

		if (g_hash_table_contains(routes->by_prefix, key)) {
			g_free(key);
			continue;
		}
		insert_length(routes->lengths, (uint32_t)key->length);
		g_hash_table_insert(routes->by_prefix, key, route);
	}
}

const dws_route_t *dws_config_match_route(const dws_config_t *config,
					  const char *host, const char *path)
{
	slice_t host_key = {.text = host, .length = strcspn(host, ":")};
	size_t length = strlen(path);
	const host_routes_t *routes =
		g_hash_table_lookup(config->routes_by_host, &host_key);

	for (guint i = 0; routes && i < routes->lengths->len; i++) {
		slice_t prefix = {
			.text = path,
			.length = g_array_index(routes->lengths, uint32_t, i)};
		const dws_route_t *route;

		if (prefix.length > length)
			continue;
		route = g_hash_table_lookup(routes->by_prefix, &prefix);
		if (route)
			return route;
	}
	return NULL;
}

const dws_route_target_t *dws_route_select_target(const dws_route_t *route,
						  uint32_t draw)
{
	uint64_t point = (uint64_t)draw * route->total_weight >> 32;

	for (uint32_t i = 0; i < route->target_count; i++) {
		if (point < route->targets[i].weight)
			return &route->targets[i];
		point -= route->targets[i].weight;
	}
	return &route->targets[route->target_count - 1];
}
