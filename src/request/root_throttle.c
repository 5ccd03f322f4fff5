/*
 * Admitted shares of root requests, by the congested service they depend on.
 */
#include "request/root_throttle.h"

#include <math.h>
#include <string.h>

/* Congestion that is accepted, so that the service is fully used. */
#define TARGET_CONGESTION 0.1
/* Relative decrease of the share per second, at full congestion. */
#define DECREASE_PER_S 1.5
/* Increase of the share per second, without congestion... */
#define INCREASE_PER_S 0.2
/* ...and below KNEE_PART of the share at which the congestion began. */
#define FAST_INCREASE_PER_S 1.0
#define KNEE_PART 0.8
/* Time for which a response is taken to describe the service, at most. */
#define MAX_STEP_US (250 * DWS_US_PER_MS)
#define MIN_SHARE 0.02 /* enough to detect that the service has recovered */
/* Services tracked per route; a further one replaces the last. */
#define SERVICES_PER_ROUTE 4
#define PERMILLE 1000.0
/* A route without reported congestion for this long is no longer throttled. */
#define ROUTE_EXPIRY_US (30 * DWS_US_PER_S)
/* Maximum number of routes kept; all are dropped when it is reached. */
#define MAX_ROUTES 4096

/* The admitted share of root requests that depend on one service. */
typedef struct share {
	double value; /* from MIN_SHARE to 1 */
	int64_t updated_us;
	bool is_congested;
	double knee; /* share at which the latest congestion began */
} share_t;

/* The congested services that a route depends on; 0 marks a free slot. */
typedef struct route_deps {
	GQuark services[SERVICES_PER_ROUTE];
	int64_t reported_us; /* time of the latest congestion report */
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

static share_t *get_share(dws_root_throttle_t *throttle, int64_t now_us,
			  GQuark service)
{
	share_t *share = g_hash_table_lookup(throttle->services,
					     GUINT_TO_POINTER(service));

	if (share)
		return share;
	share = g_new0(share_t, 1);
	share->value = 1.0;
	share->updated_us = now_us;
	share->knee = 1.0;
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
			min_share = MIN(min_share, get_share(throttle, now_us,
							     deps->services[i])
							   ->value);
	}
	return min_share;
}

/* Records that a route depends on a congested service. */
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

/*
 * The increase is fast up to near the share at which the congestion began, and
 * slow from there, as it may begin again (as in CUBIC, RFC 9438).
 */
static double increase_per_s(const share_t *share)
{
	return share->value < share->knee * KNEE_PART ? FAST_INCREASE_PER_S
						      : INCREASE_PER_S;
}

/*
 * Changes a share by the congestion of its service, from 0 to 1, for the time
 * since the last change. The pace is thus the same on a daemon that gets many
 * responses and on one that gets few.
 */
static void update_share(share_t *share, int64_t now_us, double congestion)
{
	int64_t step_us = CLAMP(now_us - share->updated_us, 0, MAX_STEP_US);
	double step_s = (double)step_us / DWS_US_PER_S;
	double excess = congestion - TARGET_CONGESTION;

	share->updated_us = now_us;
	if (excess > 0 && !share->is_congested)
		share->knee = share->value;
	share->is_congested = excess > 0;
	if (excess > 0)
		share->value *= exp(-DECREASE_PER_S * excess * step_s);
	else
		share->value += increase_per_s(share) * -excess /
				TARGET_CONGESTION * step_s;
	share->value = CLAMP(share->value, MIN_SHARE, 1.0);
}

/*
 * Changes the share of the reported service by its congestion, and those of the
 * other services that the route depends on as without congestion.
 */
void dws_root_throttle_record_end(dws_root_throttle_t *throttle, int64_t now_us,
				  const char *route,
				  const char *congested_service,
				  uint32_t congestion_permille)
{
	double congestion = MIN(congestion_permille, PERMILLE) / PERMILLE;
	const route_deps_t *deps;
	GQuark reported = 0;

	if (congested_service[0]) {
		reported = g_quark_from_string(congested_service);
		add_dependency(throttle, now_us, route, reported);
	}
	deps = find_route_deps(throttle, now_us, route);
	for (int i = 0; deps && i < SERVICES_PER_ROUTE; i++) {
		GQuark service = deps->services[i];

		if (service)
			update_share(get_share(throttle, now_us, service),
				     now_us,
				     service == reported ? congestion : 0);
	}
}
