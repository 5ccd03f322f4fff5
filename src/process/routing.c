/*
 * Routing of calls. Members where a call would start at once are preferred to
 * those where it would be queued; then members of the local zone to those of
 * the local region, and these to all others (locality tiers). Within a tier
 * the fastest of a few random members is selected (power of d choices:
 * Mitzenmacher, 2001), so that stale load reports do not send all calls to one
 * member. A tier whose members are unlikely to meet the objective of the call
 * is skipped if a farther one is much faster.
 */
#include "process/routing.h"

#include <string.h>

#define TIER_COUNT 3
/* Number of random members of a tier that are compared. */
#define CHOICES 4
/* A member is too slow if this many mean times exceed the objective. */
#define OBJECTIVE_MEANS 2.0
/* A farther member is selected if it needs less than this part of the time. */
#define FAR_TIME_SHARE 0.5
/* Lifetime of the priority threshold in a load report. */
#define THRESHOLD_TTL_US (200 * DWS_US_PER_MS)
/* Lifetime of the counts of running and queued requests in a load report. */
#define LOAD_TTL_US (1 * DWS_US_PER_S)
/* Interval between probe calls to a member that is avoided or busy. */
#define PROBE_INTERVAL_US (200 * DWS_US_PER_MS)
#define BACKOFF_MIN_US (50 * DWS_US_PER_MS)
#define BACKOFF_MAX_US (5 * DWS_US_PER_S)
/* Assumed concurrency limit of a member without a load report. */
#define DEFAULT_LIMIT 4
/* Length of the moving average of bad calls, in calls; see routing.h. */
#define BAD_SHARE_CALLS 32.0
/*
 * Outlier ejection: members with a larger share of bad calls than this are
 * avoided, if the share is also larger than that of the best member of the
 * service by this factor. If calls fail on all members, the cause is in a
 * service that they depend on.
 */
#define BAD_SHARE_MAX 0.15
#define BAD_SHARE_FACTOR 3.0
/* Half-life of the share of bad calls. */
#define BAD_SHARE_HALF_LIFE_US (2 * DWS_US_PER_S)
#define HALVINGS_MAX 30
/*
 * A member is unresponsive if the time since its latest response, multiplied by
 * its outstanding calls, exceeds this many mean service times, and the time
 * itself exceeds UNRESPONSIVE_MIN_US. If the member is working, the probability
 * of this is e^-UNRESPONSIVE_MEANS.
 */
#define UNRESPONSIVE_MEANS 8.0
#define UNRESPONSIVE_MIN_US (150 * DWS_US_PER_MS)
/*
 * One in this many selections ignores the share of bad calls, to detect that a
 * member has recovered.
 */
#define EJECTION_PROBE_PICKS 32
#define LIMIT_MAX 1024

/* State of one member, in addition to its membership. */
typedef struct peer {
	uint64_t epoch; /* of the process that this state belongs to */
	uint32_t outstanding; /* calls sent and not ended */
	uint32_t sent_since_load; /* calls sent since the latest load report */
	bool has_load;
	dws_load_report_t load; /* latest load report */
	int64_t load_us; /* when it was received, with a response */
	int64_t waiting_since_us; /* latest response or first call after idle */
	bool has_probe; /* a probe call was sent at probe_us */
	int64_t probe_us;
	double bad_share; /* moving average of bad calls */
	int64_t bad_share_us; /* when bad_share was updated last */
	uint32_t failures; /* consecutive lost responses */
	int64_t avoid_until_us; /* end of the backoff, if failures > 0 */
} peer_t;

/* A member of a service that may be selected. */
typedef struct candidate {
	const dws_member_t *member;
	peer_t *peer;
} candidate_t;

/* The candidates for one service, by locality tier. */
typedef struct service_members {
	GArray *tiers[TIER_COUNT]; /* candidate_t */
} service_members_t;

struct dws_routing {
	dws_membership_t *membership;
	GRand *random;
	GHashTable *peers; /* VM id to peer_t, owned */
	GHashTable *services; /* cache: service name to service_members_t */
	uint64_t generation; /* of the membership that the cache is based on */
};

/* Eligibility of a candidate for a call. */
typedef enum eligibility {
	ELIGIBLE,
	BUSY, /* accepts only higher priorities */
	FALLBACK, /* selected only if there is no other candidate */
} eligibility_t;

/* A uniform random sample of candidates. */
typedef struct sample {
	guint seen; /* candidates that the sample was drawn from */
	const candidate_t *drawn[CHOICES];
} sample_t;

static void free_service(gpointer data)
{
	service_members_t *service = data;

	for (int tier = 0; tier < TIER_COUNT; tier++)
		g_array_free(service->tiers[tier], TRUE);
	g_free(service);
}

/* Creates the routing state over a membership, which must outlive it. */
dws_routing_t *dws_routing_new(dws_membership_t *membership, uint64_t seed)
{
	dws_routing_t *routing = g_new0(dws_routing_t, 1);

	routing->membership = membership;
	routing->random = g_rand_new_with_seed((guint32)(seed ^ seed >> 32));
	routing->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	routing->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, free_service);
	routing->generation = UINT64_MAX;
	return routing;
}

/* NULL is allowed. */
void dws_routing_free(dws_routing_t *routing)
{
	if (!routing)
		return;
	g_hash_table_destroy(routing->services);
	g_hash_table_destroy(routing->peers);
	g_rand_free(routing->random);
	g_free(routing);
}

/* Finds or creates the state of a member. */
static peer_t *get_peer(dws_routing_t *routing, const char *vm_id)
{
	peer_t *peer = g_hash_table_lookup(routing->peers, vm_id);

	if (peer)
		return peer;
	peer = g_new0(peer_t, 1);
	g_hash_table_insert(routing->peers, g_strdup(vm_id), peer);
	return peer;
}

/* Resets the state that belongs to an earlier process with the same VM id. */
static void reset_on_new_epoch(peer_t *peer, const dws_member_t *member)
{
	if (peer->epoch == member->epoch)
		return;
	if (peer->epoch != 0) {
		peer->has_load = false;
		peer->has_probe = false;
		peer->bad_share = 0;
		peer->failures = 0;
	}
	peer->epoch = member->epoch;
}

/* Returns the tier of a member: 0 local zone, 1 local region, 2 elsewhere. */
static int tier_of(const dws_member_t *self, const dws_member_t *member)
{
	if (strcmp(self->zone, member->zone) == 0)
		return 0;
	return strcmp(self->region, member->region) == 0 ? 1 : 2;
}

/* True if the state of a VM id is no longer needed: not a member, no calls. */
static gboolean is_unused(gpointer key, gpointer value, gpointer data)
{
	const dws_routing_t *routing = data;
	const peer_t *peer = value;

	return peer->outstanding == 0 &&
	       !dws_membership_find(routing->membership, key);
}

/* Invalidates the cache if the membership has changed. */
static void refresh_cache(dws_routing_t *routing)
{
	uint64_t generation = dws_membership_generation(routing->membership);

	if (generation == routing->generation)
		return;
	routing->generation = generation;
	g_hash_table_remove_all(routing->services);
	if (g_hash_table_size(routing->peers) >
	    dws_membership_all(routing->membership)->len)
		g_hash_table_foreach_remove(routing->peers, is_unused, routing);
}

/* Collects the candidates for a service: members alive or suspected. */
static service_members_t *collect_service(dws_routing_t *routing,
					  const char *name)
{
	const dws_member_t *self = dws_membership_self(routing->membership);
	const GPtrArray *all = dws_membership_all(routing->membership);
	service_members_t *service = g_new0(service_members_t, 1);

	for (int tier = 0; tier < TIER_COUNT; tier++)
		service->tiers[tier] =
			g_array_new(FALSE, FALSE, sizeof(candidate_t));
	for (guint i = 0; i < all->len; i++) {
		const dws_member_t *member = all->pdata[i];

		if (member->state != DWS_MEMBER_ALIVE &&
		    member->state != DWS_MEMBER_SUSPECT)
			continue;
		if (!dws_membership_accepts_work(routing->membership, member,
						 name))
			continue;
		candidate_t candidate = {member,
					 get_peer(routing, member->vm_id)};

		reset_on_new_epoch(candidate.peer, member);
		g_array_append_val(service->tiers[tier_of(self, member)],
				   candidate);
	}
	return service;
}

/* Returns the candidates for a service; all tiers may be empty. */
static const service_members_t *find_service(dws_routing_t *routing,
					     const char *name)
{
	refresh_cache(routing);
	service_members_t *service =
		g_hash_table_lookup(routing->services, name);

	if (service)
		return service;
	service = collect_service(routing, name);
	g_hash_table_insert(routing->services, g_strdup(name), service);
	return service;
}

/* True within PROBE_INTERVAL_US of a probe call that has not ended. */
static bool is_probing(const peer_t *peer, int64_t now_us)
{
	return peer->has_probe && now_us - peer->probe_us < PROBE_INTERVAL_US;
}

/* True if a recent load report of the member excludes the priority. */
static bool is_busy(const peer_t *peer, int64_t now_us, uint8_t priority)
{
	if (!peer->has_load || peer->load.threshold <= priority)
		return false;
	return now_us - peer->load_us < THRESHOLD_TTL_US ||
	       is_probing(peer, now_us);
}

/* True if outstanding calls should have been answered by now. */
static bool is_unresponsive(const peer_t *peer, int64_t now_us)
{
	int64_t waited_us = now_us - peer->waiting_since_us;

	return peer->outstanding > 0 && peer->has_load &&
	       waited_us > UNRESPONSIVE_MIN_US &&
	       (double)peer->outstanding * (double)waited_us >
		       UNRESPONSIVE_MEANS * (double)peer->load.service_us;
}

/* True while the member is avoided for lost or overdue responses. */
static bool is_avoided(const peer_t *peer, int64_t now_us)
{
	if (is_unresponsive(peer, now_us))
		return true;
	return peer->failures > 0 &&
	       (now_us < peer->avoid_until_us || is_probing(peer, now_us));
}

static bool is_excluded(const GPtrArray *excluded, const char *vm_id)
{
	for (guint i = 0; excluded && i < excluded->len; i++) {
		if (strcmp(excluded->pdata[i], vm_id) == 0)
			return true;
	}
	return false;
}

/* Returns a penalty for the order of fallback candidates; 0: eligible. */
static guint penalty_of(const candidate_t *candidate, int64_t now_us,
			const GPtrArray *excluded)
{
	guint penalty = is_avoided(candidate->peer, now_us) ? 1 : 0;

	if (candidate->member->state == DWS_MEMBER_SUSPECT)
		penalty += 2;
	if (is_excluded(excluded, candidate->member->vm_id))
		penalty += 4;
	return penalty;
}

static eligibility_t eligibility_of(const candidate_t *candidate,
				    int64_t now_us, uint8_t priority,
				    const GPtrArray *excluded)
{
	if (candidate->member->state == DWS_MEMBER_ALIVE &&
	    !is_avoided(candidate->peer, now_us) &&
	    is_busy(candidate->peer, now_us, priority))
		return BUSY;
	return penalty_of(candidate, now_us, excluded) == 0 ? ELIGIBLE
							    : FALLBACK;
}

/* Adds a candidate to a sample (reservoir sampling). */
static void add_to_sample(dws_routing_t *routing, sample_t *sample,
			  const candidate_t *candidate)
{
	gint32 at = (gint32)sample->seen++;

	if (at >= CHOICES)
		at = g_rand_int_range(routing->random, 0, at + 1);
	if (at < CHOICES)
		sample->drawn[at] = candidate;
}

/* True if the counts of the latest load report are still valid. */
static bool has_valid_load(const peer_t *peer, int64_t now_us)
{
	return peer->has_load && now_us - peer->load_us < LOAD_TTL_US;
}

/* Estimates the number of requests that are at a member now. */
static double estimated_load(const peer_t *peer, int64_t now_us)
{
	if (!has_valid_load(peer, now_us))
		return peer->outstanding;
	return (double)peer->load.running + (double)peer->load.queued +
	       (double)peer->sent_since_load;
}

static double limit_of(const peer_t *peer)
{
	if (!peer->has_load)
		return DEFAULT_LIMIT;
	return CLAMP(peer->load.limit, 1, LIMIT_MAX);
}

/* True if one more call is expected to start at once. */
static bool has_capacity(const peer_t *peer, int64_t now_us)
{
	return estimated_load(peer, now_us) + 1 <= limit_of(peer);
}

/*
 * Estimates the response time of a call at a member, relative to other members
 * of the service: the mean service time, scaled up by the load. A member whose
 * service time is unknown is treated as fast, so that it receives calls that
 * measure it.
 */
static double expected_time_us(const peer_t *peer, int64_t now_us)
{
	double time_us = MAX(peer->has_load ? peer->load.service_us : 0, 1);

	return time_us * (1.0 + estimated_load(peer, now_us) / limit_of(peer));
}

/* Returns the fastest member of a sample; a random one among equals. */
static const candidate_t *fastest(dws_routing_t *routing,
				  const sample_t *sample, int64_t now_us)
{
	const candidate_t *best = NULL;
	double min_time_us = 0;
	gint32 equal = 0;

	for (guint i = 0; i < MIN(sample->seen, CHOICES); i++) {
		double time_us =
			expected_time_us(sample->drawn[i]->peer, now_us);

		if (best && time_us > min_time_us)
			continue;
		equal = best && time_us == min_time_us ? equal + 1 : 1;
		min_time_us = time_us;
		if (equal == 1 ||
		    g_rand_int_range(routing->random, 0, equal) == 0)
			best = sample->drawn[i];
	}
	return best;
}

/* Selects a candidate of the lowest penalty when none is eligible. */
static const candidate_t *pick_fallback(dws_routing_t *routing,
					const service_members_t *service,
					int64_t now_us,
					const GPtrArray *excluded)
{
	sample_t sample = {0};
	guint min_penalty = G_MAXUINT;

	for (int tier = 0; tier < TIER_COUNT; tier++) {
		for (guint i = 0; i < service->tiers[tier]->len; i++) {
			const candidate_t *candidate = &g_array_index(
				service->tiers[tier], candidate_t, i);
			guint penalty =
				penalty_of(candidate, now_us, excluded) *
					TIER_COUNT +
				(guint)tier;

			if (penalty > min_penalty)
				continue;
			if (penalty < min_penalty)
				sample = (sample_t){0};
			min_penalty = penalty;
			add_to_sample(routing, &sample, candidate);
		}
	}
	return fastest(routing, &sample, now_us);
}

/* Records a call to a failing or busy member as a probe. */
static void record_probe(peer_t *peer, int64_t now_us, uint8_t priority)
{
	if (peer->failures == 0 &&
	    !(peer->has_load && peer->load.threshold > priority))
		return;
	peer->has_probe = true;
	peer->probe_us = now_us;
}

/* Returns the share of bad calls, which decays by its half-life. */
static double bad_share_of(const peer_t *peer, int64_t now_us)
{
	int64_t halvings =
		(now_us - peer->bad_share_us) / BAD_SHARE_HALF_LIFE_US;

	return peer->bad_share /
	       (double)(1 << CLAMP(halvings, 0, HALVINGS_MAX));
}

/* Returns the share of bad calls above which a member is ejected. */
static double ejection_threshold(const service_members_t *members,
				 int64_t now_us)
{
	double min_share = 1.0;

	for (int tier = 0; tier < TIER_COUNT; tier++) {
		for (guint i = 0; i < members->tiers[tier]->len; i++)
			min_share = MIN(
				min_share,
				bad_share_of(g_array_index(members->tiers[tier],
							   candidate_t, i)
						     .peer,
					     now_us));
	}
	return MAX(BAD_SHARE_MAX, min_share * BAD_SHARE_FACTOR);
}

/* Returns the fastest of a few random eligible members of a tier, or NULL. */
static const candidate_t *pick_in_tier(dws_routing_t *routing,
				       const GArray *tier, int64_t now_us,
				       const dws_routing_call_t *call,
				       bool needs_capacity,
				       double bad_share_max)
{
	sample_t sample = {0};

	for (guint i = 0; i < tier->len; i++) {
		const candidate_t *candidate =
			&g_array_index(tier, candidate_t, i);

		if (needs_capacity && !has_capacity(candidate->peer, now_us))
			continue;
		if (bad_share_of(candidate->peer, now_us) > bad_share_max)
			continue;
		if (eligibility_of(candidate, now_us, call->priority,
				   call->excluded) == ELIGIBLE)
			add_to_sample(routing, &sample, candidate);
	}
	return fastest(routing, &sample, now_us);
}

/* True if a call is likely to miss its objective at a member. */
static bool is_too_slow(const dws_routing_call_t *call,
			const candidate_t *candidate, int64_t now_us)
{
	return call->objective_us > 0 && candidate->peer->has_load &&
	       expected_time_us(candidate->peer, now_us) * OBJECTIVE_MEANS >
		       (double)call->objective_us;
}

/* True if a farther member is much faster or its service time is unknown. */
static bool is_much_faster(const candidate_t *near, const candidate_t *far,
			   int64_t now_us)
{
	return expected_time_us(far->peer, now_us) <
	       expected_time_us(near->peer, now_us) * FAR_TIME_SHARE;
}

/* Selects the nearest eligible member, or a farther one that is much faster. */
static const candidate_t *
pick_eligible(dws_routing_t *routing, const service_members_t *members,
	      int64_t now_us, const dws_routing_call_t *call,
	      bool needs_capacity, bool eject_outliers)
{
	double bad_share_max =
		eject_outliers ? ejection_threshold(members, now_us) : 1.0;
	const candidate_t *near = NULL;

	for (int tier = 0; tier < TIER_COUNT; tier++) {
		const candidate_t *best =
			pick_in_tier(routing, members->tiers[tier], now_us,
				     call, needs_capacity, bad_share_max);

		if (best && near && is_much_faster(near, best, now_us))
			return best;
		if (!near)
			near = best;
		if (near && !is_too_slow(call, near, now_us))
			return near;
	}
	return near;
}

static bool is_any_busy(const service_members_t *members, int64_t now_us,
			const dws_routing_call_t *call)
{
	for (int tier = 0; tier < TIER_COUNT; tier++) {
		for (guint i = 0; i < members->tiers[tier]->len; i++) {
			if (eligibility_of(&g_array_index(members->tiers[tier],
							  candidate_t, i),
					   now_us, call->priority,
					   call->excluded) == BUSY)
				return true;
		}
	}
	return false;
}

/*
 * Selects a member, relaxing the criteria step by step: ignoring the share of
 * bad calls, then the lack of capacity, then all penalties.
 */
dws_routing_result_t dws_routing_pick(dws_routing_t *routing, int64_t now_us,
				      const dws_routing_call_t *call,
				      const dws_member_t **member)
{
	const service_members_t *members = find_service(routing, call->service);
	const candidate_t *chosen;

	*member = NULL;
	chosen = NULL;
	if (g_rand_int_range(routing->random, 0, EJECTION_PROBE_PICKS) > 0)
		chosen = pick_eligible(routing, members, now_us, call, true,
				       true);
	if (!chosen)
		chosen = pick_eligible(routing, members, now_us, call, true,
				       false);
	if (!chosen)
		chosen = pick_eligible(routing, members, now_us, call, false,
				       false);
	if (!chosen && is_any_busy(members, now_us, call))
		return DWS_ROUTING_BUSY;
	if (!chosen)
		chosen =
			pick_fallback(routing, members, now_us, call->excluded);
	if (!chosen)
		return DWS_ROUTING_NONE;
	record_probe(chosen->peer, now_us, call->priority);
	*member = chosen->member;
	return DWS_ROUTING_FOUND;
}

void dws_routing_report_sent(dws_routing_t *routing, int64_t now_us,
			     const char *vm_id)
{
	peer_t *peer = get_peer(routing, vm_id);

	if (peer->outstanding++ == 0)
		peer->waiting_since_us = now_us;
	peer->sent_since_load++;
}

/* Records a lost response. Those within one backoff are one failure. */
static void record_loss(peer_t *peer, int64_t now_us)
{
	if (peer->failures > 0 && now_us < peer->avoid_until_us)
		return;
	int64_t wait_us = BACKOFF_MIN_US;

	for (uint32_t i = 0; i < peer->failures && wait_us < BACKOFF_MAX_US;
	     i++)
		wait_us *= 2;
	peer->failures++;
	peer->has_probe = false;
	peer->avoid_until_us = now_us + MIN(wait_us, BACKOFF_MAX_US);
}

void dws_routing_report_timeout(dws_routing_t *routing, int64_t now_us,
				const char *vm_id, int64_t sent_us)
{
	peer_t *peer = g_hash_table_lookup(routing->peers, vm_id);

	if (peer && !(peer->has_load && peer->load_us >= sent_us))
		record_loss(peer, now_us);
}

void dws_routing_report_cancel(dws_routing_t *routing, const char *vm_id)
{
	peer_t *peer = g_hash_table_lookup(routing->peers, vm_id);

	if (peer && peer->outstanding > 0)
		peer->outstanding--;
}

void dws_routing_report_result(dws_routing_t *routing, int64_t now_us,
			       const char *vm_id, bool bad)
{
	peer_t *peer = g_hash_table_lookup(routing->peers, vm_id);

	if (!peer)
		return;
	peer->bad_share = bad_share_of(peer, now_us);
	peer->bad_share +=
		((bad ? 1.0 : 0.0) - peer->bad_share) / BAD_SHARE_CALLS;
	peer->bad_share_us = now_us;
}

void dws_routing_report_response(dws_routing_t *routing, int64_t now_us,
				 const char *vm_id,
				 const dws_load_report_t *load)
{
	peer_t *peer = g_hash_table_lookup(routing->peers, vm_id);

	if (!peer)
		return;
	if (peer->outstanding > 0)
		peer->outstanding--;
	if (!load) {
		record_loss(peer, now_us);
		return;
	}
	peer->failures = 0;
	peer->has_probe = false;
	peer->has_load = true;
	peer->load = *load;
	peer->load_us = now_us;
	peer->waiting_since_us = now_us;
	peer->sent_since_load = 0;
}

/* Returns when a busy member may be tried again; DWS_NEVER_US if not busy. */
static int64_t retry_at_us(const peer_t *peer, int64_t now_us)
{
	int64_t end_us = DWS_NEVER_US;

	if (!peer->has_load || peer->load.threshold == 0)
		return DWS_NEVER_US;
	if (is_probing(peer, now_us))
		end_us = peer->probe_us + PROBE_INTERVAL_US;
	else if (now_us - peer->load_us < THRESHOLD_TTL_US)
		end_us = peer->load_us + THRESHOLD_TTL_US;
	return end_us;
}

int64_t dws_routing_retry_at_us(const dws_routing_t *routing, int64_t now_us,
				const char *service)
{
	const GPtrArray *all = dws_membership_all(routing->membership);
	int64_t earliest_us = DWS_NEVER_US;

	for (guint i = 0; i < all->len; i++) {
		const dws_member_t *member = all->pdata[i];

		if (member->state != DWS_MEMBER_ALIVE ||
		    !dws_membership_accepts_work(routing->membership, member,
						 service))
			continue;
		const peer_t *peer =
			g_hash_table_lookup(routing->peers, member->vm_id);

		if (peer)
			earliest_us =
				MIN(earliest_us, retry_at_us(peer, now_us));
	}
	return earliest_us;
}

int64_t dws_routing_load_age_us(const dws_routing_t *routing, int64_t now_us,
				const char *vm_id)
{
	const peer_t *peer = g_hash_table_lookup(routing->peers, vm_id);

	if (!peer || !peer->has_load)
		return -1;
	return now_us - peer->load_us;
}
