/*
 * Detection of nested calls, by their ids and deadlines and by statistics of
 * their routes.
 */
#include "request/nested_call.h"

#include <string.h>

/*
 * The requests of a route are classified as nested calls if at least 1 in this
 * many of them match a running attempt.
 */
#define MIN_MATCH_DIVISOR 8
/* Below this many requests of a route, the match of each one decides. */
#define MIN_SAMPLES 8
/* Counts are halved at this number, so that they follow the traffic. */
#define MAX_SAMPLES 256
/* Maximum number of routes with statistics; all are dropped when reached. */
#define MAX_ROUTES 4096

/* Statistics of one route. */
typedef struct route_stats {
	uint32_t requests;
	uint32_t matched; /* of them, those that match a running attempt */
	char caller[DWS_NAME_SIZE]; /* route of the last matched attempt */
} route_stats_t;

/* Finds or adds the statistics of a route. */
static route_stats_t *find_stats(dws_node_t *node, const char *route)
{
	route_stats_t *stats =
		g_hash_table_lookup(node->nested_call_stats, route);

	if (stats)
		return stats;
	if (g_hash_table_size(node->nested_call_stats) >= MAX_ROUTES)
		g_hash_table_remove_all(node->nested_call_stats);
	stats = g_new0(route_stats_t, 1);
	g_hash_table_insert(node->nested_call_stats, g_strdup(route), stats);
	return stats;
}

static void count_request(route_stats_t *stats, const dws_attempt_t *matched)
{
	if (stats->requests >= MAX_SAMPLES) {
		stats->requests /= 2;
		stats->matched /= 2;
	}
	stats->requests++;
	if (!matched)
		return;
	stats->matched++;
	g_strlcpy(stats->caller, matched->kind, sizeof(stats->caller));
}

/* Determines the origin of a request, and updates its route's statistics. */
dws_call_origin_t dws_nested_call_detect(dws_node_t *node, const char *route,
					 const char *key, int64_t deadline_us)
{
	const dws_attempt_t *by_key = dws_attempt_find_by_call_key(node, key);
	const dws_attempt_t *matched =
		by_key ? by_key
		       : dws_attempt_find_by_deadline(node, deadline_us);
	route_stats_t *stats = find_stats(node, route);
	dws_call_origin_t origin = {.is_nested_call = matched != NULL};

	count_request(stats, matched);
	if (!by_key && stats->requests >= MIN_SAMPLES)
		origin.is_nested_call =
			stats->matched * MIN_MATCH_DIVISOR >= stats->requests;
	if (!origin.is_nested_call)
		return origin;
	if (!matched)
		matched = dws_attempt_find_by_kind(node, stats->caller,
						   deadline_us);
	origin.attempt_id = matched ? matched->id : 0;
	return origin;
}
