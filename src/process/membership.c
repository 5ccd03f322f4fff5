/*
 * Membership by probes, after SWIM (Das, Gupta, Motivala, 2002): one probe an
 * interval, a second try through two other members, suspicion before death,
 * and changes that ride on the probes. Additions: a suspect is told of its
 * suspicion with the next probe; dead members and seeds are probed now and
 * then, so that the halves of a healed partition meet; leavings are passed
 * on at once.
 */
#include "process/membership_wire.h"

#include <string.h>

#define INDIRECT_PROBES 2
/* Of an interval: after it, others are asked to probe a silent member. */
#define DIRECT_WAIT_PERCENT 40
#define DEAD_PROBE_ROUNDS 10
#define SEED_PROBE_ROUNDS 30
#define OWN_ZONE_NOTICES 4
#define OTHER_ZONE_NOTICES 1
#define MAX_NOTICE_ZONES 32
#define NOTICES_PER_INTERVAL 4
#define RELAY_INTERVALS 2
#define READERS_PER_ZONE 2
/* A process is new for so long: it may take its VM id over. */
#define NEW_PROCESS_US (10 * DWS_US_PER_S)
/* A newcomer is told of members that are no news, for so long. */
#define FILL_US (30 * DWS_US_PER_S)

/* Takes the own part of the table from the settings. */
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
	member->heard_us = membership->now_us;
	dws_membership_table_spread(membership, self);
}

/*
 * Starts a membership that knows only itself. Settings and ops stay the
 * caller's and must outlive it. The wall clock gives the first incarnation.
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
	membership->all = g_ptr_array_new();
	membership->now_us = now_us;
	membership->started_us = now_us;
	membership->interval_us =
		MAX(settings->probe_interval_ms, 1) * DWS_US_PER_MS;
	membership->next_probe_us = now_us;
	membership->sequence = g_rand_int(membership->random);
	membership->claim.config_age_ms = UINT32_MAX;
	membership->claim_set_us = now_us;
	add_self(membership, epoch, wall_ms);
	return membership;
}

/* Frees the membership with all members. */
void dws_membership_free(dws_membership_t *membership)
{
	if (!membership)
		return;
	for (guint i = 0; i < membership->all->len; i++)
		g_free(membership->all->pdata[i]);
	g_ptr_array_free(membership->all, TRUE);
	g_hash_table_destroy(membership->by_id);
	g_rand_free(membership->random);
	if (membership->list)
		g_bytes_unref(membership->list);
	g_free(membership);
}

/* The next number of a probe; never 0. */
static uint32_t next_sequence(dws_membership_t *membership)
{
	membership->sequence++;
	if (membership->sequence == 0)
		membership->sequence = 1;
	return membership->sequence;
}

/* Pings a member; its answer carries the returned sequence. */
static uint32_t ping(dws_membership_t *membership,
		     dws_membership_entry_t *target)
{
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__PING,
		.sequence = next_sequence(membership),
		.target_vm = target->member.vm_id,
		.receiver = target,
	};
	dws_address_t to = target->member.datagram;

	dws_membership_wire_send(membership, &to, &message);
	return message.sequence;
}

/* Pings whoever is at the address of a random seed. */
static void ping_seed(dws_membership_t *membership)
{
	const dws_settings_t *settings = membership->settings;
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__PING,
		.sequence = next_sequence(membership),
		.target_vm = "",
	};

	if (settings->seed_count == 0)
		return;
	guint index =
		dws_membership_random_below(membership, settings->seed_count);

	dws_membership_wire_send(membership, &settings->seeds[index].datagram,
				 &message);
}

/* Shuffles the order of probes (Fisher and Yates). */
static void shuffle(dws_membership_t *membership)
{
	GPtrArray *all = membership->all;

	for (guint i = all->len; i > 1; i--) {
		guint other = dws_membership_random_below(membership, i);
		dws_membership_entry_t *entry = all->pdata[i - 1];

		all->pdata[i - 1] = all->pdata[other];
		all->pdata[other] = entry;
	}
	for (guint i = 0; i < all->len; i++) {
		dws_membership_entry_t *entry = all->pdata[i];

		entry->index = i;
	}
}

/* The next member in turn that is not dead; NULL if alone. */
static dws_membership_entry_t *next_target(dws_membership_t *membership)
{
	for (guint tries = 0; tries <= membership->all->len; tries++) {
		if (membership->cursor >= membership->all->len) {
			shuffle(membership);
			membership->cursor = 0;
		}
		dws_membership_entry_t *entry =
			membership->all->pdata[membership->cursor++];

		if (entry != membership->self &&
		    entry->claimed != DWS_MEMBER_DEAD)
			return entry;
	}
	return NULL;
}

/* A random member for which wanted says so, or NULL. */
static dws_membership_entry_t *
random_member(dws_membership_t *membership,
	      bool (*wanted)(const dws_membership_t *membership,
			     const dws_membership_entry_t *entry))
{
	GPtrArray *all = membership->all;
	guint start = dws_membership_random_below(membership, all->len);

	for (guint i = 0; i < all->len; i++) {
		dws_membership_entry_t *entry =
			all->pdata[(start + i) % all->len];

		if (entry != membership->self && wanted(membership, entry))
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
	return entry->claimed == DWS_MEMBER_DEAD &&
	       entry->member.datagram.port != 0;
}

static bool is_live_in_zone(const dws_membership_t *membership,
			    const dws_membership_entry_t *entry)
{
	return is_live(membership, entry) &&
	       strcmp(entry->member.zone, membership->self->member.zone) == 0;
}

/* Asks other members to probe the one that is silent. */
static void ask_others(dws_membership_t *membership,
		       dws_membership_entry_t *silent)
{
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__PING_REQUEST,
		.sequence = membership->pending.sequence,
		.target_vm = silent->member.vm_id,
		.target = &silent->member.datagram,
	};
	dws_membership_entry_t *asked = NULL;

	membership->pending.asked_others = true;
	for (int i = 0; i < INDIRECT_PROBES; i++) {
		dws_membership_entry_t *helper =
			random_member(membership, is_live);

		if (!helper || helper == asked || helper == silent)
			continue;
		dws_membership_wire_send(membership, &helper->member.datagram,
					 &message);
		asked = helper;
	}
}

/* Judges the probe of the interval that ends: no answer makes a suspect. */
static void judge_pending(dws_membership_t *membership)
{
	dws_membership_entry_t *entry = dws_membership_table_find(
		membership, membership->pending.target_vm);

	membership->pending.target_vm[0] = '\0';
	if (!entry || entry->member.heard_us >= membership->pending.sent_us)
		return;
	if (entry->claimed == DWS_MEMBER_ALIVE)
		dws_membership_table_set_state(membership, entry,
					       DWS_MEMBER_SUSPECT);
	else if (entry->claimed == DWS_MEMBER_LEAVING)
		dws_membership_table_doubt_leaving(membership, entry);
}

/* Starts the probe of a new interval. */
static void probe_next(dws_membership_t *membership)
{
	dws_membership_entry_t *target = next_target(membership);

	if (!target)
		return;
	g_strlcpy(membership->pending.target_vm, target->member.vm_id,
		  DWS_ID_SIZE);
	membership->pending.sent_us = membership->now_us;
	membership->pending.asked_others = false;
	membership->pending.sequence = ping(membership, target);
}

/* Probes the dead and the seeds now and then, and whenever alone. */
static void probe_extra(dws_membership_t *membership)
{
	bool alone = random_member(membership, is_live) == NULL;
	uint64_t round = membership->rounds++;

	if (alone || round % SEED_PROBE_ROUNDS == 0)
		ping_seed(membership);
	if (!alone && round % DEAD_PROBE_ROUNDS != 0)
		return;
	dws_membership_entry_t *dead = random_member(membership, is_dead);

	if (dead)
		ping(membership, dead);
}

/* Does the work of an interval's start. */
static void start_interval(dws_membership_t *membership)
{
	membership->next_probe_us =
		membership->now_us + membership->interval_us;
	membership->notice_credit = NOTICES_PER_INTERVAL;
	judge_pending(membership);
	dws_membership_table_expire(membership);
	probe_next(membership);
	probe_extra(membership);
}

/* Probes what is due; returns when to call again. */
int64_t dws_membership_tick(dws_membership_t *membership, int64_t now_us)
{
	dws_membership_pending_t *pending = &membership->pending;

	if (membership->replaced)
		return DWS_NEVER_US;
	dws_membership_table_advance(membership, now_us);
	if (membership->now_us >= membership->next_probe_us)
		start_interval(membership);
	int64_t ask_us = pending->sent_us +
			 membership->interval_us * DIRECT_WAIT_PERCENT / 100;
	dws_membership_entry_t *target =
		dws_membership_table_find(membership, pending->target_vm);

	if (!target || pending->asked_others ||
	    target->member.heard_us >= pending->sent_us)
		return membership->next_probe_us;
	if (membership->now_us < ask_us)
		return MIN(ask_us, membership->next_probe_us);
	ask_others(membership, target);
	return membership->next_probe_us;
}

/* Members of a zone that are to be told something. */
typedef struct zone_pick {
	const char *zone;
	guint seen;
	guint wanted;
	dws_membership_entry_t *entries[OWN_ZONE_NOTICES];
} zone_pick_t;

/* The pick of a zone; NULL if there are too many zones. */
static zone_pick_t *find_pick(zone_pick_t *picks, guint *count,
			      const dws_membership_t *membership,
			      const char *zone)
{
	for (guint i = 0; i < *count; i++) {
		if (strcmp(picks[i].zone, zone) == 0)
			return &picks[i];
	}
	if (*count == MAX_NOTICE_ZONES)
		return NULL;
	zone_pick_t *pick = &picks[(*count)++];

	memset(pick, 0, sizeof(*pick));
	pick->zone = zone;
	pick->wanted = strcmp(zone, membership->self->member.zone) == 0
			       ? OWN_ZONE_NOTICES
			       : OTHER_ZONE_NOTICES;
	return pick;
}

/* Keeps a fair sample of a zone's members (reservoir sampling). */
static void pick_entry(dws_membership_t *membership, zone_pick_t *pick,
		       dws_membership_entry_t *entry)
{
	guint at = pick->seen++;

	if (at >= pick->wanted)
		at = dws_membership_random_below(membership, pick->seen);
	if (at < pick->wanted)
		pick->entries[at] = entry;
}

/* Sends a notice to a few members of each zone. */
static void send_notices(dws_membership_t *membership,
			 dws_membership_entry_t *subject)
{
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__NOTICE,
		.target_vm = "",
		.subject = subject,
	};
	zone_pick_t picks[MAX_NOTICE_ZONES];
	guint count = 0;

	for (guint i = 0; i < membership->all->len; i++) {
		dws_membership_entry_t *entry = membership->all->pdata[i];

		if (entry == membership->self || !is_live(membership, entry))
			continue;
		zone_pick_t *pick = find_pick(picks, &count, membership,
					      entry->member.zone);

		if (pick)
			pick_entry(membership, pick, entry);
	}
	for (guint i = 0; i < count; i++) {
		for (guint j = 0; j < MIN(picks[i].seen, picks[i].wanted); j++)
			dws_membership_wire_send(
				membership,
				&picks[i].entries[j]->member.datagram,
				&message);
	}
}

/* Passes news of a leaving on at once, within the interval's credit. */
static void forward_leaving(dws_membership_t *membership,
			    dws_membership_entry_t *entry)
{
	if (membership->notice_credit == 0)
		return;
	membership->notice_credit--;
	send_notices(membership, entry);
}

/* Raises the own incarnation above a claim, and tells others. */
static void refute(dws_membership_t *membership, uint64_t incarnation)
{
	dws_membership_entry_t *self = membership->self;

	if (incarnation >= DWS_MEMBERSHIP_MAX_INCARNATION)
		return;
	self->member.incarnation =
		MAX(self->member.incarnation, incarnation) + 1;
	dws_membership_table_spread(membership, self);
}

/*
 * Takes what another process says of the own VM id. Claims about this
 * process are refuted if they are worse than the truth. Against another
 * process of the id, a new process prevails; after that the order decides.
 */
static void take_own_claim(dws_membership_t *membership,
			   const dws_member_t *claim)
{
	const dws_membership_entry_t *self = membership->self;
	uint64_t known = self->member.incarnation;

	if (claim->epoch == self->member.epoch) {
		if (claim->incarnation > known ||
		    (claim->incarnation == known &&
		     claim->state > self->claimed))
			refute(membership, claim->incarnation);
		return;
	}
	if (claim->incarnation < known ||
	    (claim->incarnation == known && claim->epoch < self->member.epoch))
		return;
	if (membership->now_us - membership->started_us < NEW_PROCESS_US)
		refute(membership, claim->incarnation);
	else
		membership->replaced = true;
}

/* Takes a claim about any member; returns its entry if it is known. */
static dws_membership_entry_t *take_claim(dws_membership_t *membership,
					  const dws_member_t *claim)
{
	dws_membership_entry_t *entry =
		dws_membership_table_find(membership, claim->vm_id);

	if (entry == membership->self) {
		take_own_claim(membership, claim);
		return NULL;
	}
	/* A claim of death about a stranger must not bring it back. */
	if (!entry && claim->state == DWS_MEMBER_DEAD)
		return NULL;
	if (!entry)
		entry = dws_membership_table_add(membership, claim->vm_id);
	if (!entry)
		return NULL;
	bool was_leaving = entry->claimed == DWS_MEMBER_LEAVING;

	if (dws_membership_table_merge(membership, entry, claim) &&
	    !was_leaving && entry->claimed == DWS_MEMBER_LEAVING)
		forward_leaving(membership, entry);
	return entry;
}

/* Takes the claim of a sender about itself, and notes that it was heard. */
static dws_membership_entry_t *take_sender(dws_membership_t *membership,
					   const dws_member_t *sender)
{
	dws_membership_entry_t *entry = take_claim(membership, sender);

	if (entry && entry->member.epoch == sender->epoch)
		entry->member.heard_us = membership->now_us;
	return entry;
}

/* Answers a ping. */
static void answer_ping(dws_membership_t *membership,
			const dws_membership_probe_t *probe,
			dws_membership_entry_t *sender)
{
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__ACK,
		.sequence = probe->sequence,
		.target_vm = probe->sender.vm_id,
		.receiver = sender,
		.fill = sender &&
			membership->now_us - sender->known_since_us < FILL_US,
	};

	/* Another process holds the sender's VM id here, or it was refuted. */
	if (sender && (sender->member.epoch != probe->sender.epoch ||
		       sender->member.incarnation > probe->sender.incarnation))
		message.subject = sender;
	if (probe->target_vm[0] &&
	    strcmp(probe->target_vm, membership->self->member.vm_id) != 0)
		return;
	dws_membership_wire_send(membership, &probe->sender.datagram, &message);
}

/* Probes a member on behalf of another one. */
static void relay_ping(dws_membership_t *membership,
		       const dws_membership_probe_t *probe)
{
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__PING,
		.sequence = next_sequence(membership),
		.target_vm = probe->target_vm,
		.receiver =
			dws_membership_table_find(membership, probe->target_vm),
	};
	dws_membership_relay_t *relay = NULL;

	for (guint i = 0; i < DWS_MEMBERSHIP_MAX_RELAYS && !relay; i++) {
		if (membership->relays[i].sequence == 0 ||
		    membership->relays[i].until_us <= membership->now_us)
			relay = &membership->relays[i];
	}
	if (!relay)
		return;
	relay->sequence = message.sequence;
	relay->asked_sequence = probe->sequence;
	relay->asker = probe->sender.datagram;
	relay->until_us =
		membership->now_us + RELAY_INTERVALS * membership->interval_us;
	g_strlcpy(relay->target_vm, probe->target_vm, DWS_ID_SIZE);
	dws_membership_wire_send(membership, &probe->target, &message);
}

/* Passes an acknowledgement on to the member that asked for the probe. */
static void relay_ack(dws_membership_t *membership,
		      const dws_membership_probe_t *probe)
{
	for (guint i = 0; i < DWS_MEMBERSHIP_MAX_RELAYS; i++) {
		dws_membership_relay_t *relay = &membership->relays[i];

		if (relay->sequence == 0 ||
		    relay->sequence != probe->sequence ||
		    relay->until_us <= membership->now_us ||
		    strcmp(relay->target_vm, probe->sender.vm_id) != 0)
			continue;
		dws_membership_message_t message = {
			.type = DWS__PROBE__TYPE__ACK,
			.sequence = relay->asked_sequence,
			.target_vm = relay->target_vm,
			.subject = dws_membership_table_find(membership,
							     relay->target_vm),
		};

		relay->sequence = 0;
		dws_membership_wire_send(membership, &relay->asker, &message);
		return;
	}
}

/* Takes an acknowledgement, of the target itself or through a relay. */
static void take_ack(dws_membership_t *membership,
		     const dws_membership_probe_t *probe)
{
	const dws_membership_pending_t *pending = &membership->pending;
	dws_membership_entry_t *target =
		dws_membership_table_find(membership, pending->target_vm);

	relay_ack(membership, probe);
	if (target && probe->sequence == pending->sequence &&
	    strcmp(probe->target_vm, pending->target_vm) == 0)
		target->member.heard_us = membership->now_us;
}

/* Does what the type of a probe asks for. */
static void answer_probe(dws_membership_t *membership,
			 const dws_membership_probe_t *probe,
			 dws_membership_entry_t *sender)
{
	switch (probe->type) {
	case DWS__PROBE__TYPE__PING:
		answer_ping(membership, probe, sender);
		break;
	case DWS__PROBE__TYPE__ACK:
		take_ack(membership, probe);
		break;
	case DWS__PROBE__TYPE__PING_REQUEST:
		relay_ping(membership, probe);
		break;
	default:
		break;
	}
}

/*
 * Takes a datagram of a peer. False with DWS_ERROR_FRAME if any part of it
 * is malformed; nothing of it is taken then.
 */
bool dws_membership_receive(dws_membership_t *membership, int64_t now_us,
			    const uint8_t *data, size_t size_bytes,
			    GError **error)
{
	dws_membership_probe_t probe;

	if (!dws_membership_wire_parse(&probe, data, size_bytes, error))
		return false;
	if (membership->replaced)
		return true;
	dws_membership_table_advance(membership, now_us);
	dws_membership_entry_t *sender = take_sender(membership, &probe.sender);

	for (uint32_t i = 0; i < probe.update_count; i++)
		take_claim(membership, &probe.updates[i]);
	if (membership->replaced)
		return true;
	/* An update may have made room by dropping the sender. */
	sender = dws_membership_table_find(membership, probe.sender.vm_id);
	if (sender == membership->self)
		sender = NULL;
	answer_probe(membership, &probe, sender);
	if (probe.has_claim && sender)
		membership->ops->claimed(membership->context,
					 &probe.sender.frame, &probe.claim);
	return true;
}

/* Sets the own claim; its age counts on from the latest known time. */
void dws_membership_set_claim(dws_membership_t *membership,
			      const dws_claim_t *claim)
{
	membership->claim = *claim;
	membership->claim_set_us = membership->now_us;
}

/* Tells a few members of each zone of the own claim at once. */
void dws_membership_announce(dws_membership_t *membership, int64_t now_us)
{
	if (membership->replaced)
		return;
	dws_membership_table_advance(membership, now_us);
	send_notices(membership, NULL);
}

/* Announces the own leaving, now and with every datagram from here on. */
void dws_membership_leave(dws_membership_t *membership, int64_t now_us)
{
	dws_membership_entry_t *self = membership->self;

	dws_membership_table_advance(membership, now_us);
	if (self->claimed == DWS_MEMBER_LEAVING || membership->replaced)
		return;
	if (self->member.incarnation < DWS_MEMBERSHIP_MAX_INCARNATION)
		self->member.incarnation++;
	dws_membership_table_set_state(membership, self, DWS_MEMBER_LEAVING);
	send_notices(membership, self);
}

/* Takes what a frame of a peer said of the peer itself. */
void dws_membership_heard(dws_membership_t *membership, int64_t now_us,
			  const char *vm_id, uint64_t epoch, bool leaving)
{
	dws_membership_entry_t *entry =
		dws_membership_table_find(membership, vm_id);

	dws_membership_table_advance(membership, now_us);
	if (!entry || entry == membership->self)
		return;
	if (entry->member.epoch != 0 && entry->member.epoch != epoch)
		return;
	entry->member.heard_us = membership->now_us;
	if (!leaving || entry->claimed >= DWS_MEMBER_LEAVING)
		return;
	dws_membership_table_set_state(membership, entry, DWS_MEMBER_LEAVING);
	forward_leaving(membership, entry);
}

/* True once another process with this VM id has taken over. */
bool dws_membership_is_replaced(const dws_membership_t *membership)
{
	return membership->replaced;
}

/* True if the platform's list says that this VM is leaving. */
bool dws_membership_is_listed_leaving(const dws_membership_t *membership)
{
	return membership->self->listed_leaving;
}

/* Counts the readers that go before this process in its zone. */
static guint count_better_readers(const dws_membership_t *membership)
{
	const dws_membership_entry_t *self = membership->self;
	guint better = 0;

	for (guint i = 0; i < membership->all->len; i++) {
		const dws_membership_entry_t *entry = membership->all->pdata[i];

		if (entry->member.epoch != 0 &&
		    is_live_in_zone(membership, entry) &&
		    entry->reader_hash < self->reader_hash)
			better++;
	}
	return better;
}

/* True if this process is one of the readers of its zone. */
bool dws_membership_is_reader(const dws_membership_t *membership)
{
	if (membership->self->claimed == DWS_MEMBER_LEAVING)
		return false;
	return count_better_readers(membership) < READERS_PER_ZONE;
}

/* Finds a member by its VM id; NULL if it is not known. */
const dws_member_t *dws_membership_find(const dws_membership_t *membership,
					const char *vm_id)
{
	const dws_membership_entry_t *entry =
		dws_membership_table_find(membership, vm_id);

	return entry ? &entry->member : NULL;
}

/* The own member. */
const dws_member_t *dws_membership_self(const dws_membership_t *membership)
{
	return &membership->self->member;
}

/* All members, borrowed; see the header on how long pointers are valid. */
const GPtrArray *dws_membership_all(const dws_membership_t *membership)
{
	return membership->all;
}

/* The number of changes so far. */
uint64_t dws_membership_generation(const dws_membership_t *membership)
{
	return membership->generation;
}

/* A random live peer, of the own zone if there is one; NULL if alone. */
const dws_member_t *dws_membership_random_peer(dws_membership_t *membership)
{
	dws_membership_entry_t *peer =
		random_member(membership, is_live_in_zone);

	if (!peer)
		peer = random_member(membership, is_live);
	return peer ? &peer->member : NULL;
}
