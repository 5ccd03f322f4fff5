/*
 * Admitted shares of root requests, by the overloaded service they depend on.
 */
#include "request/root_throttle.h"

#include <string.h>

/* Relative decrease of the share per response that reports an overload. */
#define DECREASE 0.035
/* Increase of the share for the first response without an overload... */
#define INCREASE 0.005
/* ...and relative growth of that step per further one in a row. */
#define INCREASE_GROWTH 0.1
#define MIN_SHARE 0.02 /* enough to detect that the service has recovered */
/* Services tracked per route; a further one replaces the last. */
#define SERVICES_PER_ROUTE 4
/* A route without a reported overload for this long is no longer throttled. */
#define ROUTE_EXPIRY_US (30 * DWS_US_PER_S)
/* Maximum number of routes kept; all are dropped when it is reached. */
#define MAX_ROUTES 4096

/* The admitted share of root requests that depend on one service. */
typedef struct share {
	double value; /* from MIN_SHARE to 1 */
	uint32_t successes; /* consecutive responses without an overload */
} share_t;

/* The overloaded services that a route depends on; 0 marks a free slot. */
typedef struct route_deps {
	GQuark services[SERVICES_PER_ROUTE];
	int64_t reported_us; /* time of the latest overload report */
} route_deps_t;

/* Initializes caller-provided memory; all requests are admitted at first. */
void dws_root_throttle_init(dws_root_throttle_t *throttle)
{
	throttle->services = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	throttle->routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void dws_root_throttle_finish(dws_root_throttle_t *throttle)
{
	g_hash_table_destroy(throttle->services);
	g_hash_table_destroy(throttle->routes);
}

static share_t *get_share(dws_root_throttle_t *throttle, GQuark service)
{
	share_t *share = g_hash_table_lookup(throttle->services,
					     GUINT_TO_POINTER(service));

	if (share)
		return share;
	share = g_new0(share_t, 1);
	share->value = 1.0;
	g_hash_table_insert(throttle->services, GUINT_TO_POINTER(service),
			    share);
	return share;
}

/* Returns the entry of a route, NULL if there is none or it has expired. */
static route_deps_t *find_route_deps(dws_root_throttle_t *throttle,
				     int64_t now_us, const char *route)
{
	route_deps_t *deps = g_hash_table_lookup(throttle->routes, route);

	if (deps && now_us - deps->reported_us > ROUTE_EXPIRY_US) {
		g_hash_table_remove(throttle->routes, route);
		return NULL;
	}
	return deps;
}

/* The admitted share of a route is the minimum over its services. */
double dws_root_throttle_admitted_share(dws_root_throttle_t *throttle,
					int64_t now_us, const char *route)
{
	const route_deps_t *deps = find_route_deps(throttle, now_us, route);
	double min_share = 1.0;

	for (int i = 0; deps && i < SERVICES_PER_ROUTE; i++) {
		if (deps->services[i])
			min_share = MIN(
				min_share,
				get_share(throttle, deps->services[i])->value);
	}
	return min_share;
}

/* Records that a route depends on an overloaded service. */
static route_deps_t *add_dependency(dws_root_throttle_t *throttle,
				    int64_t now_us, const char *route,
				    GQuark service)
{
	route_deps_t *deps = find_route_deps(throttle, now_us, route);

	if (!deps) {
		if (g_hash_table_size(throttle->routes) >= MAX_ROUTES)
			g_hash_table_remove_all(throttle->routes);
		deps = g_new0(route_deps_t, 1);
		g_hash_table_insert(throttle->routes, g_strdup(route), deps);
	}
	deps->reported_us = now_us;
	for (int i = 0; i < SERVICES_PER_ROUTE; i++) {
		if (deps->services[i] == service)
			return deps;
		if (deps->services[i] == 0) {
			deps->services[i] = service;
			return deps;
		}
	}
	deps->services[SERVICES_PER_ROUTE - 1] = service;
	return deps;
}

static void increase_share(share_t *share)
{
	double step = INCREASE * (1.0 + INCREASE_GROWTH * share->successes);

	share->successes++;
	share->value = MIN(share->value + step, 1.0);
}

static void decrease_share(share_t *share)
{
	share->successes = 0;
	share->value = MAX(share->value * (1.0 - DECREASE), MIN_SHARE);
}

/*
 * Decreases the share of the reported service and increases those of the other
 * services that the route depends on.
 */
void dws_root_throttle_record_end(dws_root_throttle_t *throttle, int64_t now_us,
				  const char *route,
				  const char *overloaded_service)
{
	const route_deps_t *deps;
	GQuark reported = 0;

	if (overloaded_service[0]) {
		reported = g_quark_from_string(overloaded_service);
		add_dependency(throttle, now_us, route, reported);
		decrease_share(get_share(throttle, reported));
	}
	deps = find_route_deps(throttle, now_us, route);
	for (int i = 0; deps && i < SERVICES_PER_ROUTE; i++) {
		if (deps->services[i] && deps->services[i] != reported)
			increase_share(get_share(throttle, deps->services[i]));
	}
}
