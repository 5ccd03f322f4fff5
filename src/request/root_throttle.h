/*
 * Throttling of root requests whose nested calls reach a congested service.
 * A request that is refused or times out deep in its call tree has wasted the
 * work done above that point, so part of the root requests are refused on
 * arrival, before they are executed.
 *
 * Each response names the most congested service that its nested calls reached,
 * with its congestion; see congestion.h. Every such service has one admitted
 * share, common to all routes whose calls reach it, so that these routes are
 * throttled alike. The share decreases while the congestion is above a target,
 * by a factor that grows with it, and increases linearly below the target
 * (additive increase, multiplicative decrease: Chiu and Jain, 1989). As delays
 * count as congestion, it decreases before calls have to be refused.
 */
#ifndef DWS_REQUEST_ROOT_THROTTLE_H
#define DWS_REQUEST_ROOT_THROTTLE_H

#include "dogwoodshift.h"

typedef struct dws_root_throttle {
	GHashTable *services; /* service to its admitted share, owned */
	GHashTable *routes; /* route to the services it depends on, owned */
} dws_root_throttle_t;

/* Initializes caller-provided memory; all requests are admitted at first. */
void dws_root_throttle_init(dws_root_throttle_t *throttle);
void dws_root_throttle_finish(dws_root_throttle_t *throttle);
/* Returns the share of a route's requests to admit now, from 0 to 1. */
double dws_root_throttle_admitted_share(dws_root_throttle_t *throttle,
					int64_t now_us, const char *route);
/*
 * Records the end of an admitted root request. congested_service is the most
 * congested service that its nested calls reached, "" if there was none.
 */
void dws_root_throttle_record_end(dws_root_throttle_t *throttle, int64_t now_us,
				  const char *route,
				  const char *congested_service,
				  uint32_t congestion_permille);

#endif
