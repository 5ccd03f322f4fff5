/*
 * Table of members. Claims about one VM id are totally ordered by incarnation,
 * then epoch, then state (alive, suspect, leaving, dead), so that processes
 * that have seen the same claims agree, whatever the order of arrival.
 */
#include "process/membership_table.h"

#include <string.h>

/* A suspect dies after this many intervals plus log2 of the fleet. */
#define SUSPICION_BASE_INTERVALS 3
#define SPREAD_PER_LOG2 3
/* Dead members that are not listed are kept so long, for stale claims. */
#define DROP_AFTER_US (600 * DWS_US_PER_S)

/* The number of binary digits of a count. */
static uint32_t log2_ceiling(guint count)
{
	uint32_t digits = 0;

	while (count > 0) {
		digits++;
		count >>= 1;
	}
	return digits;
}

/* Hashes a VM id for the rendezvous choice of readers (FNV-1a, mixed). */
static uint64_t hash_id(const char *vm_id)
{
	uint64_t hash = UINT64_C(0xcbf29ce484222325);

	for (const char *at = vm_id; *at; at++) {
		hash ^= (uint8_t)*at;
		hash *= UINT64_C(0x100000001b3);
	}
	hash ^= hash >> 33;
	hash *= UINT64_C(0xff51afd7ed558ccd);
	return hash ^ (hash >> 33);
}

/* Draws an index below a count that is above 0. */
guint dws_membership_random_below(dws_membership_t *membership, guint count)
{
	return (guint)g_rand_int_range(membership->random, 0, (gint32)count);
}

/* Finds the entry of a VM id; NULL if it is not known. */
dws_membership_entry_t *
dws_membership_table_find(const dws_membership_t *membership, const char *vm_id)
{
	return g_hash_table_lookup(membership->by_id, vm_id);
}

/* The member that may go first when the table is full, or NULL. */
static dws_membership_entry_t *find_evictable(dws_membership_t *membership)
{
	dws_membership_entry_t *oldest = NULL;

	for (guint i = 0; i < membership->all->len; i++) {
		dws_membership_entry_t *entry = membership->all->pdata[i];

		if (entry->claimed != DWS_MEMBER_DEAD || entry->member.listed)
			continue;
		if (!oldest || entry->member.state_since_us <
				       oldest->member.state_since_us)
			oldest = entry;
	}
	return oldest;
}

/* Puts an entry at an index of the array of all. */
static void place(dws_membership_t *membership, dws_membership_entry_t *entry,
		  guint index)
{
	membership->all->pdata[index] = entry;
	entry->index = index;
}

/*
 * Adds a member whose epoch is unknown, at a random place of the probe
 * order. NULL if the table is full of members that can't go.
 */
dws_membership_entry_t *dws_membership_table_add(dws_membership_t *membership,
						 const char *vm_id)
{
	if (membership->all->len >= DWS_MEMBERSHIP_MAX_MEMBERS) {
		dws_membership_entry_t *gone = find_evictable(membership);

		if (!gone)
			return NULL;
		dws_membership_table_remove(membership, gone);
	}
	dws_membership_entry_t *entry = g_new0(dws_membership_entry_t, 1);

	g_strlcpy(entry->member.vm_id, vm_id, sizeof(entry->member.vm_id));
	entry->member.heard_us = -DWS_NEVER_US;
	entry->member.state_since_us = membership->now_us;
	entry->known_since_us = membership->now_us;
	entry->reader_hash = hash_id(vm_id);
	entry->link.data = entry;
	g_ptr_array_add(membership->all, entry);
	guint last = membership->all->len - 1;
	guint index = dws_membership_random_below(membership, last + 1);

	place(membership, membership->all->pdata[index], last);
	place(membership, entry, index);
	g_hash_table_insert(membership->by_id, entry->member.vm_id, entry);
	return entry;
}

/* Takes an entry out of the queue that it is in. */
static void unqueue(dws_membership_entry_t *entry)
{
	if (entry->queue)
		g_queue_unlink(entry->queue, &entry->link);
	entry->queue = NULL;
}

/* Drops a member; it is reported as dead first, if it was not. */
void dws_membership_table_remove(dws_membership_t *membership,
				 dws_membership_entry_t *entry)
{
	entry->claimed = DWS_MEMBER_DEAD;
	dws_membership_table_refresh(membership, entry, false);
	unqueue(entry);
	g_hash_table_remove(membership->by_id, entry->member.vm_id);
	guint index = entry->index;
	guint last = membership->all->len - 1;

	place(membership, membership->all->pdata[last], index);
	g_ptr_array_set_size(membership->all, (gint)last);
	membership->generation++;
	g_free(entry);
}

/* The state that others see: the list may mark a live member as leaving. */
static dws_member_state_t visible_state(const dws_membership_entry_t *entry)
{
	if (entry->claimed == DWS_MEMBER_DEAD)
		return DWS_MEMBER_DEAD;
	if (entry->listed_leaving &&
	    entry->leaving_epoch == entry->member.epoch)
		return DWS_MEMBER_LEAVING;
	return entry->claimed;
}

/*
 * Works out the visible state. Reports the member if that changed, or if
 * moved says that its epoch or address did.
 */
void dws_membership_table_refresh(dws_membership_t *membership,
				  dws_membership_entry_t *entry, bool moved)
{
	dws_member_state_t state = visible_state(entry);

	if (state == entry->member.state && !moved)
		return;
	if (state != entry->member.state)
		entry->member.state_since_us = membership->now_us;
	entry->member.state = state;
	membership->generation++;
	if (entry != membership->self)
		membership->ops->changed(membership->context, &entry->member);
}

/* Queues the latest claim about a member, leavings before other news. */
void dws_membership_table_spread(dws_membership_t *membership,
				 dws_membership_entry_t *entry)
{
	/* The own claim goes along with every datagram anyway. */
	if (entry->member.epoch == 0 || entry == membership->self)
		return;
	unqueue(entry);
	entry->queue = entry->claimed == DWS_MEMBER_LEAVING
			       ? &membership->urgent
			       : &membership->news;
	entry->sends_left =
		SPREAD_PER_LOG2 * log2_ceiling(membership->all->len);
	g_queue_push_head_link(entry->queue, &entry->link);
}

/*
 * Queues a claim that changes nothing but the incarnation: behind all news,
 * and for fewer sends, as only those who know worse of the member need it.
 */
static void spread_refutation(dws_membership_t *membership,
			      dws_membership_entry_t *entry)
{
	unqueue(entry);
	entry->queue = &membership->news;
	entry->sends_left = log2_ceiling(membership->all->len);
	g_queue_push_tail_link(entry->queue, &entry->link);
}

/* Counts a passing on; the claim goes to the queue's end, or out of it. */
void dws_membership_table_sent(dws_membership_entry_t *entry)
{
	GQueue *queue = entry->queue;

	if (!queue)
		return;
	unqueue(entry);
	entry->sends_left--;
	if (entry->sends_left == 0)
		return;
	entry->queue = queue;
	g_queue_push_tail_link(queue, &entry->link);
}

/* How long a suspect has for its refutation. */
static int64_t suspicion_us(const dws_membership_t *membership)
{
	uint32_t intervals =
		SUSPICION_BASE_INTERVALS + log2_ceiling(membership->all->len);

	return intervals * membership->interval_us;
}

/* Sets a state at the known incarnation and starts what follows from it. */
void dws_membership_table_set_state(dws_membership_t *membership,
				    dws_membership_entry_t *entry,
				    dws_member_state_t state)
{
	uint32_t intervals =
		SUSPICION_BASE_INTERVALS + log2_ceiling(membership->all->len);

	entry->claimed = state;
	entry->suspect_until_us =
		membership->now_us + intervals * membership->interval_us;
	dws_membership_table_refresh(membership, entry, false);
	dws_membership_table_spread(membership, entry);
}

/* True if a claim is above what is known, in the order of the module. */
static bool is_above(const dws_member_t *claim,
		     const dws_membership_entry_t *entry)
{
	if (claim->incarnation != entry->member.incarnation)
		return claim->incarnation > entry->member.incarnation;
	if (claim->epoch != entry->member.epoch)
		return claim->epoch > entry->member.epoch;
	return claim->state > entry->claimed;
}

/* True if two claims of a member name another place. */
bool dws_membership_table_has_moved(const dws_member_t *a,
				    const dws_member_t *b)
{
	return a->epoch != b->epoch || strcmp(a->frame.ip, b->frame.ip) != 0 ||
	       a->frame.port != b->frame.port ||
	       a->datagram.port != b->datagram.port ||
	       strcmp(a->zone, b->zone) != 0 ||
	       strcmp(a->region, b->region) != 0 ||
	       strcmp(a->service, b->service) != 0;
}

/* Copies where a member is and what it serves. */
void dws_membership_table_copy_place(dws_member_t *member,
				     const dws_member_t *claim)
{
	member->frame = claim->frame;
	member->datagram = claim->datagram;
	memcpy(member->zone, claim->zone, sizeof(member->zone));
	memcpy(member->region, claim->region, sizeof(member->region));
	memcpy(member->service, claim->service, sizeof(member->service));
}

/* Takes a claim if it is above the known one; see the module's order. */
bool dws_membership_table_merge(dws_membership_t *membership,
				dws_membership_entry_t *entry,
				const dws_member_t *claim)
{
	if (!is_above(claim, entry))
		return false;
	bool moved = dws_membership_table_has_moved(claim, &entry->member);
	/* The list has told everybody of it already. */
	bool is_stale_news = entry->member.epoch == 0 && entry->member.listed &&
			     entry->claimed == DWS_MEMBER_ALIVE &&
			     claim->state == DWS_MEMBER_ALIVE;

	bool is_refutation = entry->member.epoch == claim->epoch &&
			     entry->claimed == DWS_MEMBER_ALIVE &&
			     claim->state == DWS_MEMBER_ALIVE;

	if (entry->leaving_epoch == 0 && entry->member.epoch == 0)
		entry->leaving_epoch = claim->epoch;
	if (entry->member.epoch != claim->epoch)
		entry->known_since_us = membership->now_us;
	entry->member.epoch = claim->epoch;
	entry->member.incarnation = claim->incarnation;
	dws_membership_table_copy_place(&entry->member, claim);
	entry->claimed = claim->state;
	dws_membership_table_refresh(membership, entry, moved);
	if (is_refutation)
		spread_refutation(membership, entry);
	else if (!is_stale_news)
		dws_membership_table_set_state(membership, entry, claim->state);
	return true;
}

/*
 * Notes the time. A process that was paused has missed answers, so that it
 * must not judge by them: the wait starts again.
 */
void dws_membership_table_advance(dws_membership_t *membership, int64_t now_us)
{
	int64_t gap_us = now_us - membership->now_us;

	if (gap_us <= 0)
		return;
	membership->now_us = now_us;
	if (gap_us <= 2 * membership->interval_us)
		return;
	membership->pending.target_vm[0] = '\0';
	for (guint i = 0; i < membership->all->len; i++) {
		dws_membership_entry_t *entry = membership->all->pdata[i];

		entry->suspect_until_us += gap_us;
	}
}

/* Gives a silent leaving member the time of a suspect, from now. */
void dws_membership_table_doubt_leaving(dws_membership_t *membership,
					dws_membership_entry_t *entry)
{
	if (entry->silent && entry->member.heard_us < entry->silent_since_us)
		return;
	entry->silent = true;
	entry->silent_since_us = membership->now_us;
	entry->suspect_until_us = membership->now_us + suspicion_us(membership);
}

/* True if the time of a suspect, or of a silent leaving member, is over. */
static bool is_overdue(const dws_membership_t *membership,
		       const dws_membership_entry_t *entry)
{
	if (entry->suspect_until_us > membership->now_us)
		return false;
	if (entry->claimed == DWS_MEMBER_SUSPECT)
		return true;
	return entry->claimed == DWS_MEMBER_LEAVING && entry->silent &&
	       entry->member.heard_us < entry->silent_since_us;
}

/* True if a member has nothing left that speaks for keeping it. */
static bool is_droppable(const dws_membership_t *membership,
			 const dws_membership_entry_t *entry)
{
	return entry->claimed == DWS_MEMBER_DEAD && !entry->member.listed &&
	       entry != membership->self &&
	       membership->now_us - entry->member.state_since_us >
		       DROP_AFTER_US;
}

/* Lets suspects die and drops members that are dead and not listed. */
void dws_membership_table_expire(dws_membership_t *membership)
{
	for (guint i = membership->all->len; i > 0; i--) {
		dws_membership_entry_t *entry = membership->all->pdata[i - 1];

		if (is_overdue(membership, entry))
			dws_membership_table_set_state(membership, entry,
						       DWS_MEMBER_DEAD);
		else if (is_droppable(membership, entry))
			dws_membership_table_remove(membership, entry);
	}
}
