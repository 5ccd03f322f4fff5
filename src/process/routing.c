/*
 * Routing of calls. Of the members of a service, those of the own zone go
 * first, then those of the own region, then the others; members where a call
 * would start at once go before those where it would wait. Inside such a ring
 * the quickest of a few random members is taken (Mitzenmacher, 2001), which
 * keeps reports that lag from sending everybody to one place. A ring is passed
 * over for a call whose objective its members hardly meet, if a farther one is
 * much quicker.
 */
#include "process/routing.h"

#include <string.h>

#define RINGS 3
/* Random members of a ring that are compared. */
#define CHOICES 4
/* The mean time of a member has to fit so often into a call's objective. */
#define OBJECTIVE_MEANS 2.0
/* Else a member farther off is taken that takes this part of the time. */
#define FAR_TIME_SHARE 0.5
/* For how long the advice of a busy member is believed. */
#define ADVICE_FRESH_US (200 * DWS_US_PER_MS)
/* For how long the report of a load counts in a comparison. */
#define LOAD_FRESH_US (1 * DWS_US_PER_S)
/* A call that tests a doubtful member keeps others off it for so long. */
#define TRIAL_US (200 * DWS_US_PER_MS)
#define BACKOFF_LEAST_US (50 * DWS_US_PER_MS)
#define BACKOFF_MOST_US (5 * DWS_US_PER_S)
#define UNKNOWN_LIMIT 4
/* A moving average over about so many calls. */
#define JUDGED_CALLS 32.0
/*
 * Members with more bad calls than this are avoided for sound ones, if the
 * soundest member of the service does better by this factor: where all calls
 * fail, the cause lies below.
 */
#define BAD_SHARE_MAX 0.15
#define BAD_SHARE_FACTOR 3.0
/* A judgement counts half after each such time. */
#define JUDGEMENT_HALVES_US (2 * DWS_US_PER_S)
#define JUDGEMENT_HALVINGS_MAX 30
/*
 * A member is silent once its outstanding calls together have waited for so
 * many mean times, and for this long, without an answer to any of them: were it
 * well, the chance would be e to the power of minus that.
 */
#define SILENT_MEANS 8.0
#define SILENT_LEAST_US (150 * DWS_US_PER_MS)
/* One in so many picks ignores that, to see whether they do better. */
#define SOUND_TRIAL_PICKS 32
#define MOST_LIMIT 1024

/* What is known of one member, beside its membership. */
typedef struct peer {
	uint64_t epoch; /* of the process that the rest is about */
	uint32_t outstanding;
	uint32_t started_since; /* calls sent since the load was heard */
	bool has_load;
	dws_load_t load;
	int64_t load_us; /* when it was heard, with an answer */
	int64_t waiting_since_us; /* an answer, or a first call without one */
	bool has_trial;
	int64_t trial_us;
	double bad_share; /* moving average of calls that went badly */
	int64_t judged_us; /* when the latest was judged */
	uint32_t failures; /* in a row */
	int64_t avoid_until_us; /* if there are failures */
} peer_t;

/* A member of a service that may be taken. */
typedef struct candidate {
	const dws_member_t *member;
	peer_t *peer;
} candidate_t;

/* The members of one service, by ring. */
typedef struct service_members {
	GArray *rings[RINGS]; /* candidate_t */
} service_members_t;

struct dws_routing {
	dws_membership_t *membership;
	GRand *random;
	GHashTable *peers; /* vm id to peer_t */
	GHashTable *services; /* name to service_members_t */
	uint64_t generation; /* of the membership, for services */
};

/* How a candidate stands with a call. */
typedef enum standing {
	STANDING_GOOD,
	STANDING_BUSY, /* admits only more urgent work */
	STANDING_DOUBTFUL, /* only as a last resort */
} standing_t;

/* A choice among members of equal rank. */
typedef struct choice {
	guint seen;
	const candidate_t *drawn[CHOICES];
} choice_t;

/* Frees the members of a service. */
static void free_service(gpointer data)
{
	service_members_t *service = data;

	for (int ring = 0; ring < RINGS; ring++)
		g_array_free(service->rings[ring], TRUE);
	g_free(service);
}

/* Starts a routing over a membership, which must outlive it. */
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

/* Frees a routing. */
void dws_routing_free(dws_routing_t *routing)
{
	if (!routing)
		return;
	g_hash_table_destroy(routing->services);
	g_hash_table_destroy(routing->peers);
	g_rand_free(routing->random);
	g_free(routing);
}

/* What is known of a member; made if there is nothing yet. */
static peer_t *get_peer(dws_routing_t *routing, const char *vm_id)
{
	peer_t *peer = g_hash_table_lookup(routing->peers, vm_id);

	if (peer)
		return peer;
	peer = g_new0(peer_t, 1);
	g_hash_table_insert(routing->peers, g_strdup(vm_id), peer);
	return peer;
}

/* Forgets what a former process of the VM id said and did. */
static void follow_epoch(peer_t *peer, const dws_member_t *member)
{
	if (peer->epoch == member->epoch)
		return;
	if (peer->epoch != 0) {
		peer->has_load = false;
		peer->has_trial = false;
		peer->bad_share = 0;
		peer->failures = 0;
	}
	peer->epoch = member->epoch;
}

/* The ring of a member: 0 own zone, 1 own region, 2 elsewhere. */
static int ring_of(const dws_member_t *self, const dws_member_t *member)
{
	if (strcmp(self->zone, member->zone) == 0)
		return 0;
	return strcmp(self->region, member->region) == 0 ? 1 : 2;
}

/* True if nobody may ask for what is known of a VM id any more. */
static gboolean is_unused(gpointer key, gpointer value, gpointer data)
{
	const dws_routing_t *routing = data;
	const peer_t *peer = value;

	return peer->outstanding == 0 &&
	       !dws_membership_find(routing->membership, key);
}

/* Drops what was worked out from an earlier state of the membership. */
static void follow_membership(dws_routing_t *routing)
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

/* Collects the members of a service that may be taken. */
static service_members_t *collect_service(dws_routing_t *routing,
					  const char *name)
{
	const dws_member_t *self = dws_membership_self(routing->membership);
	const GPtrArray *all = dws_membership_all(routing->membership);
	service_members_t *service = g_new0(service_members_t, 1);

	for (int ring = 0; ring < RINGS; ring++)
		service->rings[ring] =
			g_array_new(FALSE, FALSE, sizeof(candidate_t));
	for (guint i = 0; i < all->len; i++) {
		const dws_member_t *member = all->pdata[i];

		if (member->state != DWS_MEMBER_ALIVE &&
		    member->state != DWS_MEMBER_SUSPECT)
			continue;
		if (!dws_membership_serves(routing->membership, member, name))
			continue;
		candidate_t candidate = {member,
					 get_peer(routing, member->vm_id)};

		follow_epoch(candidate.peer, member);
		g_array_append_val(service->rings[ring_of(self, member)],
				   candidate);
	}
	return service;
}

/* The members of a service; empty rings for a service of nobody. */
static const service_members_t *find_service(dws_routing_t *routing,
					     const char *name)
{
	follow_membership(routing);
	service_members_t *service =
		g_hash_table_lookup(routing->services, name);

	if (service)
		return service;
	service = collect_service(routing, name);
	g_hash_table_insert(routing->services, g_strdup(name), service);
	return service;
}

/* True while a call that tests the member is out. */
static bool is_on_trial(const peer_t *peer, int64_t now_us)
{
	return peer->has_trial && now_us - peer->trial_us < TRIAL_US;
}

/* True if the member said lately that it refuses such a priority. */
static bool is_busy(const peer_t *peer, int64_t now_us, uint8_t priority)
{
	if (!peer->has_load || peer->load.threshold <= priority)
		return false;
	return now_us - peer->load_us < ADVICE_FRESH_US ||
	       is_on_trial(peer, now_us);
}

/* True if answers of the member stay away that should have come by now. */
static bool is_silent(const peer_t *peer, int64_t now_us)
{
	int64_t waited_us = now_us - peer->waiting_since_us;

	return peer->outstanding > 0 && peer->has_load &&
	       waited_us > SILENT_LEAST_US &&
	       (double)peer->outstanding * (double)waited_us >
		       SILENT_MEANS * (double)peer->load.service_us;
}

/* True while the member is avoided for answers that were lost or stay away. */
static bool is_avoided(const peer_t *peer, int64_t now_us)
{
	if (is_silent(peer, now_us))
		return true;
	return peer->failures > 0 &&
	       (now_us < peer->avoid_until_us || is_on_trial(peer, now_us));
}

/* True if a list of VM ids holds one. */
static bool is_excluded(const GPtrArray *excluded, const char *vm_id)
{
	for (guint i = 0; excluded && i < excluded->len; i++) {
		if (strcmp(excluded->pdata[i], vm_id) == 0)
			return true;
	}
	return false;
}

/* How far a member is from being taken; 0 if nothing speaks against it. */
static guint doubt_of(const candidate_t *candidate, int64_t now_us,
		      const GPtrArray *excluded)
{
	guint doubt = is_avoided(candidate->peer, now_us) ? 1 : 0;

	if (candidate->member->state == DWS_MEMBER_SUSPECT)
		doubt += 2;
	if (is_excluded(excluded, candidate->member->vm_id))
		doubt += 4;
	return doubt;
}

/* How a candidate stands with a call of a priority. */
static standing_t standing_of(const candidate_t *candidate, int64_t now_us,
			      uint8_t priority, const GPtrArray *excluded)
{
	if (candidate->member->state == DWS_MEMBER_ALIVE &&
	    !is_avoided(candidate->peer, now_us) &&
	    is_busy(candidate->peer, now_us, priority))
		return STANDING_BUSY;
	return doubt_of(candidate, now_us, excluded) == 0 ? STANDING_GOOD
							  : STANDING_DOUBTFUL;
}

/* Adds a candidate to a fair choice of a few (reservoir sampling). */
static void choose(dws_routing_t *routing, choice_t *choice,
		   const candidate_t *candidate)
{
	gint32 at = (gint32)choice->seen++;

	if (at >= CHOICES)
		at = g_rand_int_range(routing->random, 0, at + 1);
	if (at < CHOICES)
		choice->drawn[at] = candidate;
}

/* True if the report of a load still counts in a comparison. */
static bool is_fresh(const peer_t *peer, int64_t now_us)
{
	return peer->has_load && now_us - peer->load_us < LOAD_FRESH_US;
}

/* Requests that are at a member now, as far as is known. */
static double work_of(const peer_t *peer, int64_t now_us)
{
	if (!is_fresh(peer, now_us))
		return peer->outstanding;
	return (double)peer->load.running + (double)peer->load.queued +
	       (double)peer->started_since;
}

static double limit_of(const peer_t *peer)
{
	if (!peer->has_load)
		return UNKNOWN_LIMIT;
	return CLAMP(peer->load.limit, 1, MOST_LIMIT);
}

/* True if one more call would start at once, as far as is known. */
static bool has_room(const peer_t *peer, int64_t now_us)
{
	return work_of(peer, now_us) + 1 <= limit_of(peer);
}

/*
 * The time that a call would take at a member, relative to others of the
 * service: the mean time there, longer with what is ahead. A member whose time
 * is unknown counts as fast, so that it gets calls which tell it.
 */
static double load_of(const peer_t *peer, int64_t now_us)
{
	double time_us = MAX(peer->has_load ? peer->load.service_us : 0, 1);

	return time_us * (1.0 + work_of(peer, now_us) / limit_of(peer));
}

/* The quickest member of a choice; any of them if they are equal. */
static const candidate_t *quickest(dws_routing_t *routing,
				   const choice_t *choice, int64_t now_us)
{
	const candidate_t *best = NULL;
	double least = 0;
	gint32 equal = 0;

	for (guint i = 0; i < MIN(choice->seen, CHOICES); i++) {
		double load = load_of(choice->drawn[i]->peer, now_us);

		if (best && load > least)
			continue;
		equal = best && load == least ? equal + 1 : 1;
		least = load;
		if (equal == 1 ||
		    g_rand_int_range(routing->random, 0, equal) == 0)
			best = choice->drawn[i];
	}
	return best;
}

/* The member that may be taken if none is good: the least doubtful. */
static const candidate_t *last_resort(dws_routing_t *routing,
				      const service_members_t *service,
				      int64_t now_us, const GPtrArray *excluded)
{
	choice_t choice = {0};
	guint least = G_MAXUINT;

	for (int ring = 0; ring < RINGS; ring++) {
		for (guint i = 0; i < service->rings[ring]->len; i++) {
			const candidate_t *candidate = &g_array_index(
				service->rings[ring], candidate_t, i);
			guint doubt =
				doubt_of(candidate, now_us, excluded) * RINGS +
				(guint)ring;

			if (doubt > least)
				continue;
			if (doubt < least)
				choice = (choice_t){0};
			least = doubt;
			choose(routing, &choice, candidate);
		}
	}
	return quickest(routing, &choice, now_us);
}

/* Notes that a call is going to test a member that was busy or silent. */
static void note_trial(peer_t *peer, int64_t now_us, uint8_t priority)
{
	if (peer->failures == 0 &&
	    !(peer->has_load && peer->load.threshold > priority))
		return;
	peer->has_trial = true;
	peer->trial_us = now_us;
}

/* The share of bad calls of a member, less as the judgement gets older. */
static double bad_share_of(const peer_t *peer, int64_t now_us)
{
	int64_t halvings = (now_us - peer->judged_us) / JUDGEMENT_HALVES_US;

	return peer->bad_share /
	       (double)(1 << CLAMP(halvings, 0, JUDGEMENT_HALVINGS_MAX));
}

/* The share of bad calls up to which a member counts as sound. */
static double sound_limit(const service_members_t *members, int64_t now_us)
{
	double least = 1.0;

	for (int ring = 0; ring < RINGS; ring++) {
		for (guint i = 0; i < members->rings[ring]->len; i++)
			least = MIN(
				least,
				bad_share_of(g_array_index(members->rings[ring],
							   candidate_t, i)
						     .peer,
					     now_us));
	}
	return MAX(BAD_SHARE_MAX, least * BAD_SHARE_FACTOR);
}

/* The quickest good member of a ring that a call may be sent to, or NULL. */
static const candidate_t *pick_in_ring(dws_routing_t *routing,
				       const GArray *ring, int64_t now_us,
				       const dws_routing_call_t *call,
				       bool needs_room, double bad_max)
{
	choice_t choice = {0};

	for (guint i = 0; i < ring->len; i++) {
		const candidate_t *candidate =
			&g_array_index(ring, candidate_t, i);

		if (needs_room && !has_room(candidate->peer, now_us))
			continue;
		if (bad_share_of(candidate->peer, now_us) > bad_max)
			continue;
		if (standing_of(candidate, now_us, call->priority,
				call->excluded) == STANDING_GOOD)
			choose(routing, &choice, candidate);
	}
	return quickest(routing, &choice, now_us);
}

/* True if a call is likely to miss its objective at a member. */
static bool is_too_slow(const dws_routing_call_t *call,
			const candidate_t *candidate, int64_t now_us)
{
	return call->objective_us > 0 && candidate->peer->has_load &&
	       load_of(candidate->peer, now_us) * OBJECTIVE_MEANS >
		       (double)call->objective_us;
}

/* True if a member farther off is much quicker, or not known yet. */
static bool is_worth_the_way(const candidate_t *near, const candidate_t *far,
			     int64_t now_us)
{
	return load_of(far->peer, now_us) <
	       load_of(near->peer, now_us) * FAR_TIME_SHARE;
}

/* The good member nearest by, or one farther off that is much quicker. */
static const candidate_t *pick_good(dws_routing_t *routing,
				    const service_members_t *members,
				    int64_t now_us,
				    const dws_routing_call_t *call,
				    bool needs_room, bool needs_sound)
{
	double bad_max = needs_sound ? sound_limit(members, now_us) : 1.0;
	const candidate_t *near = NULL;

	for (int ring = 0; ring < RINGS; ring++) {
		const candidate_t *best =
			pick_in_ring(routing, members->rings[ring], now_us,
				     call, needs_room, bad_max);

		if (best && near && is_worth_the_way(near, best, now_us))
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
	for (int ring = 0; ring < RINGS; ring++) {
		for (guint i = 0; i < members->rings[ring]->len; i++) {
			if (standing_of(&g_array_index(members->rings[ring],
						       candidate_t, i),
					now_us, call->priority,
					call->excluded) == STANDING_BUSY)
				return true;
		}
	}
	return false;
}

/* Picks a member for a call; see the header. */
dws_route_result_t dws_routing_pick(dws_routing_t *routing, int64_t now_us,
				    const dws_routing_call_t *call,
				    const dws_member_t **member)
{
	const service_members_t *members = find_service(routing, call->service);
	const candidate_t *chosen;

	*member = NULL;
	chosen = NULL;
	if (g_rand_int_range(routing->random, 0, SOUND_TRIAL_PICKS) > 0)
		chosen = pick_good(routing, members, now_us, call, true, true);
	if (!chosen)
		chosen = pick_good(routing, members, now_us, call, true, false);
	if (!chosen)
		chosen =
			pick_good(routing, members, now_us, call, false, false);
	if (!chosen && is_any_busy(members, now_us, call))
		return DWS_ROUTE_BUSY;
	if (!chosen)
		chosen = last_resort(routing, members, now_us, call->excluded);
	if (!chosen)
		return DWS_ROUTE_NONE;
	note_trial(chosen->peer, now_us, call->priority);
	*member = chosen->member;
	return DWS_ROUTE_FOUND;
}

/* Counts a call that was sent to a member. */
void dws_routing_started(dws_routing_t *routing, int64_t now_us,
			 const char *vm_id)
{
	peer_t *peer = get_peer(routing, vm_id);

	if (peer->outstanding++ == 0)
		peer->waiting_since_us = now_us;
	peer->started_since++;
}

/* Notes a lost answer. Those of one burst count as one failure. */
static void note_loss(peer_t *peer, int64_t now_us)
{
	if (peer->failures > 0 && now_us < peer->avoid_until_us)
		return;
	int64_t wait_us = BACKOFF_LEAST_US;

	for (uint32_t i = 0; i < peer->failures && wait_us < BACKOFF_MOST_US;
	     i++)
		wait_us *= 2;
	peer->failures++;
	peer->has_trial = false;
	peer->avoid_until_us = now_us + MIN(wait_us, BACKOFF_MOST_US);
}

/* The time of a call is over; see the header. */
void dws_routing_timed_out(dws_routing_t *routing, int64_t now_us,
			   const char *vm_id, int64_t sent_us)
{
	peer_t *peer = g_hash_table_lookup(routing->peers, vm_id);

	if (peer && !(peer->has_load && peer->load_us >= sent_us))
		note_loss(peer, now_us);
}

/* Ends a call that was given up; it says nothing about the member. */
void dws_routing_cancelled(dws_routing_t *routing, const char *vm_id)
{
	peer_t *peer = g_hash_table_lookup(routing->peers, vm_id);

	if (peer && peer->outstanding > 0)
		peer->outstanding--;
}

/* Tells how a call that a member answered went. */
void dws_routing_judged(dws_routing_t *routing, int64_t now_us,
			const char *vm_id, bool bad)
{
	peer_t *peer = g_hash_table_lookup(routing->peers, vm_id);

	if (!peer)
		return;
	peer->bad_share = bad_share_of(peer, now_us);
	peer->bad_share += ((bad ? 1.0 : 0.0) - peer->bad_share) / JUDGED_CALLS;
	peer->judged_us = now_us;
}

/* Ends a call that was started; see the header. */
void dws_routing_ended(dws_routing_t *routing, int64_t now_us,
		       const char *vm_id, const dws_load_t *load)
{
	peer_t *peer = g_hash_table_lookup(routing->peers, vm_id);

	if (!peer)
		return;
	if (peer->outstanding > 0)
		peer->outstanding--;
	if (!load) {
		note_loss(peer, now_us);
		return;
	}
	peer->failures = 0;
	peer->has_trial = false;
	peer->has_load = true;
	peer->load = *load;
	peer->load_us = now_us;
	peer->waiting_since_us = now_us;
	peer->started_since = 0;
}

/* When the advice of a busy member ends; DWS_NEVER_US if it is not busy. */
static int64_t advice_end_us(const peer_t *peer, int64_t now_us)
{
	int64_t end_us = DWS_NEVER_US;

	if (!peer->has_load || peer->load.threshold == 0)
		return DWS_NEVER_US;
	if (is_on_trial(peer, now_us))
		end_us = peer->trial_us + TRIAL_US;
	else if (now_us - peer->load_us < ADVICE_FRESH_US)
		end_us = peer->load_us + ADVICE_FRESH_US;
	return end_us;
}

/* When a member that is busy now may be tried again; see the header. */
int64_t dws_routing_retry_us(const dws_routing_t *routing, int64_t now_us,
			     const char *service)
{
	const GPtrArray *all = dws_membership_all(routing->membership);
	int64_t least_us = DWS_NEVER_US;

	for (guint i = 0; i < all->len; i++) {
		const dws_member_t *member = all->pdata[i];

		if (member->state != DWS_MEMBER_ALIVE ||
		    !dws_membership_serves(routing->membership, member,
					   service))
			continue;
		const peer_t *peer =
			g_hash_table_lookup(routing->peers, member->vm_id);

		if (peer)
			least_us = MIN(least_us, advice_end_us(peer, now_us));
	}
	return least_us;
}

/* Time since the load of a member was heard, in us; -1 if never. */
int64_t dws_routing_load_age_us(const dws_routing_t *routing, int64_t now_us,
				const char *vm_id)
{
	const peer_t *peer = g_hash_table_lookup(routing->peers, vm_id);

	if (!peer || !peer->has_load)
		return -1;
	return now_us - peer->load_us;
}
