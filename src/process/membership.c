/*
 * Failure detector and gossip after SWIM (Das, Gupta, Motivala, 2002): one
 * direct probe per interval, then indirect probes through up to two others, a
 * suspicion timeout before a member is declared dead, and updates that are
 * piggybacked on the probes. Extensions: the next probe of a suspect contains
 * the suspicion, so that the suspect can refute it; dead members and seeds are
 * probed periodically, so that both sides of a network partition merge when it
 * has healed; LEAVING updates are forwarded at once.
 */
#include "process/membership_wire.h"

#include <string.h>

#define INDIRECT_PROBES 2
/*
 * Time until an unacknowledged probe is followed by indirect ones, as a share
 * of the interval.
 */
#define ACK_WAIT_PERCENT 40
/* Periods, in intervals, of the probes of dead members and of seeds. */
#define DEAD_PROBE_INTERVALS 10
#define SEED_PROBE_INTERVALS 30
/* LEAVING updates of other members that are forwarded per interval. */
#define MAX_FORWARDS_PER_INTERVAL 4
/* Minimum time between pings that resolve a member's epoch. */
#define EPOCH_PING_INTERVAL_US (100 * DWS_US_PER_MS)

static const char *const state_names[] = {
	[DWS_MEMBER_ALIVE] = "alive",
	[DWS_MEMBER_SUSPECT] = "suspect",
	[DWS_MEMBER_LEAVING] = "leaving",
	[DWS_MEMBER_DEAD] = "dead",
};

/* Returns the name of a state; "unknown-value" if it is out of range. */
const char *dws_member_state_name(dws_member_state_t state)
{
	if ((unsigned int)state >= G_N_ELEMENTS(state_names))
		return "unknown-value";
	return state_names[state];
}

/* Adds this process to the table, from its settings. */
static void add_self(dws_membership_t *membership, uint64_t epoch,
		     int64_t wall_ms)
{
	const dws_settings_t *settings = membership->settings;
	dws_membership_entry_t *self =
		dws_membership_table_add(membership, settings->vm_id);
	dws_member_t *member = &self->member;

	membership->self = self;
	g_strlcpy(member->zone, settings->zone, DWS_ID_SIZE);
	g_strlcpy(member->region, settings->region, DWS_ID_SIZE);
	g_strlcpy(member->service, settings->service, DWS_ID_SIZE);
	member->frame = settings->frame_listen;
	member->datagram = settings->datagram_listen;
	member->epoch = epoch ? epoch : 1;
	member->incarnation = wall_ms > 0 ? (uint64_t)wall_ms : 1;
	member->last_received_us = membership->now_us;
	dws_membership_table_queue_update(membership, self);
}

/*
 * Creates a membership that contains only this process. The caller keeps
 * ownership of settings and ops, which must outlive it. The initial
 * incarnation is the wall clock time in ms.
 */
dws_membership_t *dws_membership_new(const dws_settings_t *settings,
				     const dws_membership_ops_t *ops,
				     void *context, uint64_t epoch,
				     uint64_t seed, int64_t now_us,
				     int64_t wall_ms)
{
	dws_membership_t *membership = g_new0(dws_membership_t, 1);

	membership->settings = settings;
	membership->ops = ops;
	membership->context = context;
	membership->random = g_rand_new_with_seed((guint32)(seed ^ seed >> 32));
	membership->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	membership->entries = g_ptr_array_new();
	membership->now_us = now_us;
	membership->started_us = now_us;
	membership->interval_us =
		MAX(settings->probe_interval_ms, 1) * DWS_US_PER_MS;
	membership->next_probe_us = now_us;
	membership->sequence = g_rand_int(membership->random);
	membership->versions.config_age_ms = UINT32_MAX;
	membership->versions.platform_age_ms = UINT32_MAX;
	membership->versions_set_us = now_us;
	membership->reader_cache = g_new0(dws_membership_reader_cache_t, 1);
	add_self(membership, epoch, wall_ms);
	return membership;
}

void dws_membership_free(dws_membership_t *membership)
{
	if (!membership)
		return;
	for (guint i = 0; i < membership->entries->len; i++)
		g_free(membership->entries->pdata[i]);
	g_ptr_array_free(membership->entries, TRUE);
	g_hash_table_destroy(membership->by_id);
	g_rand_free(membership->random);
	g_free(membership->reader_cache);
	if (membership->list)
		g_bytes_unref(membership->list);
	g_free(membership);
}

/* Returns the next sequence number of a probe; never 0. */
uint32_t dws_membership_next_sequence(dws_membership_t *membership)
{
	membership->sequence++;
	if (membership->sequence == 0)
		membership->sequence = 1;
	return membership->sequence;
}

/* Pings a member; returns the sequence that its acknowledgement repeats. */
static uint32_t ping(dws_membership_t *membership,
		     dws_membership_entry_t *target)
{
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__PING,
		.sequence = dws_membership_next_sequence(membership),
		.target_vm = target->member.vm_id,
		.receiver = target,
	};
	dws_address_t to = target->member.datagram;

	dws_membership_wire_send(membership, &to, &message);
	return message.sequence;
}

/* Pings the address of a random seed, whichever process is there. */
static void ping_seed(dws_membership_t *membership)
{
	const dws_settings_t *settings = membership->settings;
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__PING,
		.sequence = dws_membership_next_sequence(membership),
		.target_vm = "",
	};

	if (settings->seed_count == 0)
		return;
	guint index =
		dws_membership_random_index(membership, settings->seed_count);

	dws_membership_wire_send(membership, &settings->seeds[index].datagram,
				 &message);
}

/* Shuffles the probe order (Fisher-Yates). */
static void shuffle(dws_membership_t *membership)
{
	GPtrArray *entries = membership->entries;

	for (guint i = entries->len; i > 1; i--) {
		guint other = dws_membership_random_index(membership, i);
		dws_membership_entry_t *entry = entries->pdata[i - 1];

		entries->pdata[i - 1] = entries->pdata[other];
		entries->pdata[other] = entry;
	}
	for (guint i = 0; i < entries->len; i++) {
		dws_membership_entry_t *entry = entries->pdata[i];

		entry->index = i;
	}
}

/* Returns the next member in probe order that is not dead, or NULL. */
static dws_membership_entry_t *next_target(dws_membership_t *membership)
{
	for (guint tries = 0; tries <= membership->entries->len; tries++) {
		if (membership->probe_cursor >= membership->entries->len) {
			shuffle(membership);
			membership->probe_cursor = 0;
		}
		dws_membership_entry_t *entry =
			membership->entries->pdata[membership->probe_cursor++];

		if (entry != membership->self &&
		    entry->gossip_state != DWS_MEMBER_DEAD)
			return entry;
	}
	return NULL;
}

/* Returns a random other member that matches a predicate, or NULL. */
static dws_membership_entry_t *
random_member(dws_membership_t *membership,
	      bool (*matches)(const dws_membership_t *membership,
			      const dws_membership_entry_t *entry))
{
	GPtrArray *entries = membership->entries;
	guint start = dws_membership_random_index(membership, entries->len);

	for (guint i = 0; i < entries->len; i++) {
		dws_membership_entry_t *entry =
			entries->pdata[(start + i) % entries->len];

		if (entry != membership->self && matches(membership, entry))
			return entry;
	}
	return NULL;
}

static bool is_live(const dws_membership_t *membership,
		    const dws_membership_entry_t *entry)
{
	return entry->member.state == DWS_MEMBER_ALIVE;
}

static bool is_dead(const dws_membership_t *membership,
		    const dws_membership_entry_t *entry)
{
	return entry->gossip_state == DWS_MEMBER_DEAD &&
	       entry->member.datagram.port != 0;
}

static bool is_dead_but_listed(const dws_membership_t *membership,
			       const dws_membership_entry_t *entry)
{
	return is_dead(membership, entry) && entry->member.listed;
}

/* Sends ping requests for a member that missed its direct probe. */
static void send_ping_requests(dws_membership_t *membership,
			       dws_membership_entry_t *target)
{
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__PING_REQUEST,
		.sequence = membership->pending.sequence,
		.target_vm = target->member.vm_id,
		.target = &target->member.datagram,
	};
	dws_membership_entry_t *previous = NULL;

	membership->pending.indirect_sent = true;
	for (int i = 0; i < INDIRECT_PROBES; i++) {
		dws_membership_entry_t *relay =
			random_member(membership, is_live);

		if (!relay || relay == previous || relay == target)
			continue;
		dws_membership_wire_send(membership, &relay->member.datagram,
					 &message);
		previous = relay;
	}
}

/*
 * Completes the probe of the interval that ends. Without an acknowledgement a
 * live member becomes suspect.
 */
static void complete_probe(dws_membership_t *membership)
{
	dws_membership_entry_t *entry = dws_membership_table_find(
		membership, membership->pending.target_vm);

	membership->pending.target_vm[0] = '\0';
	if (!entry ||
	    entry->member.last_received_us >= membership->pending.sent_us)
		return;
	if (entry->gossip_state == DWS_MEMBER_ALIVE)
		dws_membership_table_set_state(membership, entry,
					       DWS_MEMBER_SUSPECT);
	else if (entry->gossip_state == DWS_MEMBER_LEAVING)
		dws_membership_table_suspect_leaving(membership, entry);
}

/* Starts the direct probe of an interval. */
static void probe_next(dws_membership_t *membership)
{
	dws_membership_entry_t *target = next_target(membership);

	if (!target)
		return;
	g_strlcpy(membership->pending.target_vm, target->member.vm_id,
		  DWS_ID_SIZE);
	membership->pending.sent_us = membership->now_us;
	membership->pending.indirect_sent = false;
	membership->pending.sequence = ping(membership, target);
}

/*
 * Probes dead members and seeds: periodically, in each interval if there is no
 * live member, and in each interval a dead one that is listed.
 */
static void probe_dead_and_seeds(dws_membership_t *membership)
{
	bool is_isolated = random_member(membership, is_live) == NULL;
	uint64_t interval = membership->interval_count++;

	if (is_isolated || interval % SEED_PROBE_INTERVALS == 0)
		ping_seed(membership);
	dws_membership_entry_t *dead =
		random_member(membership, is_dead_but_listed);

	if (!dead && (is_isolated || interval % DEAD_PROBE_INTERVALS == 0))
		dead = random_member(membership, is_dead);

	if (dead)
		ping(membership, dead);
}

static void start_interval(dws_membership_t *membership)
{
	membership->next_probe_us =
		membership->now_us + membership->interval_us;
	membership->notice_quota = MAX_FORWARDS_PER_INTERVAL;
	complete_probe(membership);
	dws_membership_table_expire(membership);
	probe_next(membership);
	probe_dead_and_seeds(membership);
}

/* Sends due probes; returns the time of the next call. */
int64_t dws_membership_tick(dws_membership_t *membership, int64_t now_us)
{
	dws_membership_pending_probe_t *pending = &membership->pending;

	if (membership->replaced)
		return DWS_NEVER_US;
	dws_membership_table_advance_time(membership, now_us);
	if (membership->now_us >= membership->next_probe_us)
		start_interval(membership);
	int64_t due_us = pending->sent_us +
			 membership->interval_us * ACK_WAIT_PERCENT / 100;
	dws_membership_entry_t *target =
		dws_membership_table_find(membership, pending->target_vm);

	if (!target || pending->indirect_sent ||
	    target->member.last_received_us >= pending->sent_us)
		return membership->next_probe_us;
	if (membership->now_us < due_us)
		return MIN(due_us, membership->next_probe_us);
	send_ping_requests(membership, target);
	return membership->next_probe_us;
}

/* Sets the own document versions; their age is counted from this call. */
void dws_membership_set_versions(dws_membership_t *membership,
				 const dws_document_versions_t *versions)
{
	membership->versions = *versions;
	membership->versions_set_us = membership->now_us;
}

/* Sends the own document versions to a few members of each zone. */
void dws_membership_broadcast_versions(dws_membership_t *membership,
				       int64_t now_us)
{
	if (membership->replaced)
		return;
	dws_membership_table_advance_time(membership, now_us);
	dws_membership_send_notices(membership, NULL);
}

/* Sends the own document versions to the stand-bys behind this process. */
void dws_membership_notify_stand_bys(dws_membership_t *membership,
				     int64_t now_us)
{
	if (membership->replaced)
		return;
	dws_membership_table_advance_time(membership, now_us);
	dws_membership_send_stand_by_notices(membership);
}

/* Sets this process to LEAVING; every datagram reports it from now on. */
void dws_membership_leave(dws_membership_t *membership, int64_t now_us)
{
	dws_membership_entry_t *self = membership->self;

	dws_membership_table_advance_time(membership, now_us);
	if (self->gossip_state == DWS_MEMBER_LEAVING || membership->replaced)
		return;
	if (self->member.incarnation < DWS_MEMBERSHIP_MAX_INCARNATION)
		self->member.incarnation++;
	dws_membership_table_set_state(membership, self, DWS_MEMBER_LEAVING);
	dws_membership_send_notices(membership, self);
}

/* Records the receipt of a frame, with the sender's leaving flag. */
void dws_membership_frame_received(dws_membership_t *membership, int64_t now_us,
				   const char *vm_id, uint64_t epoch,
				   bool leaving)
{
	dws_membership_entry_t *entry =
		dws_membership_table_find(membership, vm_id);

	dws_membership_table_advance_time(membership, now_us);
	if (!entry || entry == membership->self)
		return;
	if (entry->member.epoch != 0 && entry->member.epoch != epoch)
		return;
	entry->member.last_received_us = membership->now_us;
	if (!leaving || entry->gossip_state >= DWS_MEMBER_LEAVING)
		return;
	dws_membership_table_set_state(membership, entry, DWS_MEMBER_LEAVING);
	dws_membership_forward_leaving(membership, entry);
}

/*
 * Pings a member of unknown epoch, as its acknowledgement contains the epoch;
 * at most once per EPOCH_PING_INTERVAL_US for each member.
 */
void dws_membership_resolve_epoch(dws_membership_t *membership, int64_t now_us,
				  const char *vm_id)
{
	dws_membership_entry_t *entry =
		dws_membership_table_find(membership, vm_id);

	dws_membership_table_advance_time(membership, now_us);
	if (!entry || entry == membership->self || entry->member.epoch != 0 ||
	    (entry->epoch_ping_us != 0 &&
	     now_us - entry->epoch_ping_us < EPOCH_PING_INTERVAL_US))
		return;
	entry->epoch_ping_us = now_us;
	ping(membership, entry);
}

/* Returns true once another process has taken over this VM id. */
bool dws_membership_is_replaced(const dws_membership_t *membership)
{
	return membership->replaced;
}

/* Returns true if the latest list marks this VM as leaving. */
bool dws_membership_is_listed_leaving(const dws_membership_t *membership)
{
	return membership->self->listed_leaving;
}

/*
 * Counts the members of this zone that may read the platform, and those of them
 * that rank before this process. Called on each tick, so the result is cached
 * until a member changes.
 */
static const dws_membership_reader_cache_t *
count_candidates(const dws_membership_t *membership)
{
	dws_membership_reader_cache_t *cache = membership->reader_cache;

	if (cache->is_valid && cache->generation == membership->generation)
		return cache;
	cache->is_valid = true;
	cache->generation = membership->generation;
	cache->rank = 0;
	cache->zone_size = 0;
	for (guint i = 0; i < membership->entries->len; i++) {
		const dws_membership_entry_t *entry =
			membership->entries->pdata[i];

		if (!dws_membership_table_is_reader_candidate(membership,
							      entry))
			continue;
		cache->zone_size++;
		cache->rank +=
			entry->reader_hash < membership->self->reader_hash;
	}
	return cache;
}

/* Returns the rank of this process among the readers of its zone. */
guint dws_membership_reader_rank(const dws_membership_t *membership)
{
	if (membership->self->gossip_state == DWS_MEMBER_LEAVING)
		return DWS_NO_READER_RANK;
	return count_candidates(membership)->rank;
}

/* Returns true if this process is one of the readers of its zone. */
bool dws_membership_is_platform_reader(const dws_membership_t *membership)
{
	return dws_membership_reader_rank(membership) < DWS_READERS_PER_ZONE;
}

/* Returns the number of live members of this zone, with this process. */
guint dws_membership_zone_size(const dws_membership_t *membership)
{
	return count_candidates(membership)->zone_size;
}

/* Returns true if a member of this zone ranks before this process. */
bool dws_membership_is_preferred_reader(const dws_membership_t *membership,
					const dws_member_t *member)
{
	const dws_membership_entry_t *entry =
		(const dws_membership_entry_t *)member;

	return entry->reader_hash < membership->self->reader_hash;
}

/* Finds a member, borrowed; NULL if unknown. */
const dws_member_t *dws_membership_find(const dws_membership_t *membership,
					const char *vm_id)
{
	const dws_membership_entry_t *entry =
		dws_membership_table_find(membership, vm_id);

	return entry ? &entry->member : NULL;
}

/* Returns the member that is this process. */
const dws_member_t *dws_membership_self(const dws_membership_t *membership)
{
	return &membership->self->member;
}

/* Returns all members, borrowed; see the header for their lifetime. */
const GPtrArray *dws_membership_all(const dws_membership_t *membership)
{
	return membership->entries;
}

/* Returns the number of changes of the table so far. */
uint64_t dws_membership_generation(const dws_membership_t *membership)
{
	return membership->generation;
}
