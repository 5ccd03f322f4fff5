/*
 * Routes: parsing, and lookup of the route of a request.
 */
#include "version/config_read.h"

#include <string.h>

#define MAX_PRIORITY 7
#define MAX_WORTH 1000
#define MAX_WEIGHT 1000000
#define MAX_TIME_MS (600 * 1000)
#define MAX_ATTEMPTS 16
#define MAX_HEADER_BYTES (1024 * 1024)
#define MAX_BODY_BYTES (256 * 1024 * 1024)

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
	dws_fields_number(&fields, "weight", 0, MAX_WEIGHT, &target->weight);
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
	    list->items->len > DWS_ROUTE_MAX_TARGETS) {
		dws_fields_report(fields, DWS_ERROR_VALUE, "targets",
				  "is not a list of 1 to %d entries; write "
				  "\"- {service: NAME, weight: N}\" lines",
				  DWS_ROUTE_MAX_TARGETS);
		return;
	}
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

/* Converts the host to lower case for lookups, and checks the prefix. */
static void check_host_and_prefix(const dws_fields_t *fields,
				  dws_route_t *route)
{
	size_t length = strlen(route->path_prefix);

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
	dws_route_t route = {.path_prefix = "/",
			     .worth = 1,
			     .timeout_ms = 3000,
			     .max_attempts = 2};
	uint32_t priority = 0;

	g_strlcpy(route.name, name, sizeof(route.name));
	dws_fields_reject_unknown(fields, keys, G_N_ELEMENTS(keys));
	if (dws_fields_require(fields, "host"))
		dws_fields_text(fields, "host", route.host, sizeof(route.host));
	dws_fields_text(fields, "path_prefix", route.path_prefix,
			sizeof(route.path_prefix));
	if (dws_fields_require(fields, "idempotent"))
		dws_fields_bool(fields, "idempotent", &route.idempotent);
	dws_fields_number(fields, "priority", 0, MAX_PRIORITY, &priority);
	route.priority = (uint8_t)priority;
	dws_fields_number(fields, "worth", 1, MAX_WORTH, &route.worth);
	dws_fields_number(fields, "timeout_ms", 1, MAX_TIME_MS,
			  &route.timeout_ms);
	route.objective_ms = route.timeout_ms;
	dws_fields_number(fields, "objective_ms", 1, MAX_TIME_MS,
			  &route.objective_ms);
	dws_fields_number(fields, "max_attempts", 1, MAX_ATTEMPTS,
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
	dws_fields_number(&callers, keys[0], 256, MAX_HEADER_BYTES,
			  &limits->max_header_bytes);
	dws_fields_number(&callers, keys[1], 0, MAX_BODY_BYTES,
			  &limits->max_body_bytes);
	dws_fields_number(&callers, keys[2], 1, MAX_TIME_MS,
			  &limits->header_timeout_ms);
	dws_fields_number(&callers, keys[3], 1, MAX_TIME_MS,
			  &limits->idle_timeout_ms);
}

/* The routes of one host. */
typedef struct host_routes {
	GHashTable *by_prefix; /* char * to dws_route_t *, both borrowed */
	GArray *lengths; /* uint32_t, of the prefixes, in descending order */
} host_routes_t;

void dws_config_free_host_routes(gpointer data)
{
	host_routes_t *routes = data;

	g_hash_table_destroy(routes->by_prefix);
	g_array_free(routes->lengths, TRUE);
	g_free(routes);
}

/* Finds or creates the index of a host. */
static host_routes_t *get_host_routes(dws_config_t *config, char *host)
{
	host_routes_t *routes =
		g_hash_table_lookup(config->routes_by_host, host);

	if (routes)
		return routes;
	routes = g_new0(host_routes_t, 1);
	routes->by_prefix = g_hash_table_new(g_str_hash, g_str_equal);
	routes->lengths = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_insert(config->routes_by_host, host, routes);
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

		if (g_hash_table_contains(routes->by_prefix,
					  route->path_prefix))
			continue;
		g_hash_table_insert(routes->by_prefix, route->path_prefix,
				    route);
		insert_length(routes->lengths,
			      (uint32_t)strlen(route->path_prefix));
	}
}

/* Copies a host in lower case and without its port; false if too long. */
static bool normalize_host(char *to, size_t size_bytes, const char *host)
{
	size_t length = strcspn(host, ":");

	if (length >= size_bytes)
		return false;
	for (size_t i = 0; i < length; i++)
		to[i] = g_ascii_tolower(host[i]);
	to[length] = '\0';
	return true;
}

const dws_route_t *dws_config_match_route(const dws_config_t *config,
					  const char *host, const char *path)
{
	char text[MAX(DWS_HOST_SIZE, DWS_ROUTE_PREFIX_SIZE)];
	size_t length = strlen(path);
	const host_routes_t *routes;

	if (!normalize_host(text, sizeof(text), host))
		return NULL;
	routes = g_hash_table_lookup(config->routes_by_host, text);
	for (guint i = 0; routes && i < routes->lengths->len; i++) {
		uint32_t prefix_length =
			g_array_index(routes->lengths, uint32_t, i);
		const dws_route_t *route;

		if (prefix_length > length)
			continue;
		memcpy(text, path, prefix_length);
		text[prefix_length] = '\0';
		route = g_hash_table_lookup(routes->by_prefix, text);
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
