/*
 * Membership table. Updates about a VM id are totally ordered by incarnation,
 * then epoch, then state (alive, suspect, leaving, dead), so that processes
 * that have received the same updates converge in any order of arrival.
 */
#include "process/membership_table.h"

#include <string.h>

/*
 * The suspicion timeout in intervals is this plus the bit length of the number
 * of members.
 */
#define SUSPICION_BASE_INTERVALS 3
/* Transmissions of an update, per bit of the number of members. */
#define SENDS_PER_BIT 3
/* Dead, unlisted members are retained this long to reject stale updates. */
#define DEAD_RETENTION_US (600 * DWS_US_PER_S)

static uint32_t bit_length(guint count)
{
	uint32_t bits = 0;

	while (count > 0) {
		bits++;
		count >>= 1;
	}
	return bits;
}

/*
 * Hashes a VM id for the rendezvous hash that selects platform readers
 * (FNV-1a with a final mix).
 */
static uint64_t hash_id(const char *vm_id)
{
	uint64_t hash = UINT64_C(0xcbf29ce484222325);

	for (const char *c = vm_id; *c; c++) {
		hash ^= (uint8_t)*c;
		hash *= UINT64_C(0x100000001b3);
	}
	hash ^= hash >> 33;
	hash *= UINT64_C(0xff51afd7ed558ccd);
	return hash ^ (hash >> 33);
}

/* Returns a random index below a non-zero count. */
guint dws_membership_random_index(dws_membership_t *membership, guint count)
{
	return (guint)g_rand_int_range(membership->random, 0, (gint32)count);
}

bool dws_membership_table_is_reader_candidate(
	const dws_membership_t *membership, const dws_membership_entry_t *entry)
{
	return entry->member.epoch != 0 &&
	       entry->member.state == DWS_MEMBER_ALIVE &&
	       strcmp(entry->member.zone, membership->self->member.zone) == 0;
}

/* Finds the entry of a VM id, borrowed; NULL if unknown. */
dws_membership_entry_t *
dws_membership_table_find(const dws_membership_t *membership, const char *vm_id)
{
	return g_hash_table_lookup(membership->by_id, vm_id);
}

/* Returns the unlisted member that has been dead the longest, or NULL. */
static dws_membership_entry_t *find_evictable(dws_membership_t *membership)
{
	dws_membership_entry_t *oldest = NULL;

	for (guint i = 0; i < membership->entries->len; i++) {
		dws_membership_entry_t *entry = membership->entries->pdata[i];

		if (entry->gossip_state != DWS_MEMBER_DEAD ||
		    entry->member.listed)
			continue;
		if (!oldest || entry->member.state_since_us <
				       oldest->member.state_since_us)
			oldest = entry;
	}
	return oldest;
}

static void set_index(dws_membership_t *membership,
		      dws_membership_entry_t *entry, guint index)
{
	membership->entries->pdata[index] = entry;
	entry->index = index;
}

/*
 * Adds a member of unknown epoch at a random position in the probe order.
 * Returns NULL if the table is full and no member can be evicted.
 */
dws_membership_entry_t *dws_membership_table_add(dws_membership_t *membership,
						 const char *vm_id)
{
	if (membership->entries->len >= DWS_MEMBERSHIP_MAX_MEMBERS) {
		dws_membership_entry_t *evicted = find_evictable(membership);

		if (!evicted)
			return NULL;
		dws_membership_table_remove(membership, evicted);
	}
	dws_membership_entry_t *entry = g_new0(dws_membership_entry_t, 1);

	g_strlcpy(entry->member.vm_id, vm_id, sizeof(entry->member.vm_id));
	entry->member.last_received_us = -DWS_NEVER_US;
	entry->member.state_since_us = membership->now_us;
	entry->epoch_since_us = membership->now_us;
	entry->reader_hash = hash_id(vm_id);
	entry->link.data = entry;
	g_ptr_array_add(membership->entries, entry);
	guint last = membership->entries->len - 1;
	guint index = dws_membership_random_index(membership, last + 1);

	set_index(membership, membership->entries->pdata[index], last);
	set_index(membership, entry, index);
	g_hash_table_insert(membership->by_id, entry->member.vm_id, entry);
	return entry;
}

static void unqueue(dws_membership_entry_t *entry)
{
	if (entry->queue)
		g_queue_unlink(entry->queue, &entry->link);
	entry->queue = NULL;
}

/* Removes and frees a member, after reporting it as dead if it was not. */
void dws_membership_table_remove(dws_membership_t *membership,
				 dws_membership_entry_t *entry)
{
	entry->gossip_state = DWS_MEMBER_DEAD;
	dws_membership_table_refresh(membership, entry, false);
	unqueue(entry);
	g_hash_table_remove(membership->by_id, entry->member.vm_id);
	guint index = entry->index;
	guint last = membership->entries->len - 1;

	set_index(membership, membership->entries->pdata[last], index);
	g_ptr_array_set_size(membership->entries, (gint)last);
	membership->generation++;
	g_free(entry);
}

/*
 * Returns the state that is reported to other modules: the gossip state, but
 * LEAVING if the list marks this epoch of a member that is not dead.
 */
static dws_member_state_t visible_state(const dws_membership_entry_t *entry)
{
	if (entry->gossip_state == DWS_MEMBER_DEAD)
		return DWS_MEMBER_DEAD;
	if (entry->listed_leaving &&
	    entry->listed_leaving_epoch == entry->member.epoch)
		return DWS_MEMBER_LEAVING;
	return entry->gossip_state;
}

/*
 * Updates the visible state. Reports the member if the state has changed, or
 * if the caller has changed other fields of it.
 */
void dws_membership_table_refresh(dws_membership_t *membership,
				  dws_membership_entry_t *entry,
				  bool fields_changed)
{
	dws_member_state_t state = visible_state(entry);

	if (state == entry->member.state && !fields_changed)
		return;
	if (state != entry->member.state)
		entry->member.state_since_us = membership->now_us;
	entry->member.state = state;
	membership->generation++;
	if (entry != membership->self)
		membership->ops->member_changed(membership->context,
						&entry->member);
}

/* Queues the latest update about a member; LEAVING is sent before others. */
void dws_membership_table_queue_update(dws_membership_t *membership,
				       dws_membership_entry_t *entry)
{
	/* Every datagram contains the sender's own state. */
	if (entry->member.epoch == 0 || entry == membership->self)
		return;
	unqueue(entry);
	entry->queue = entry->gossip_state == DWS_MEMBER_LEAVING
			       ? &membership->leaving_queue
			       : &membership->update_queue;
	entry->sends_left =
		SENDS_PER_BIT * bit_length(membership->entries->len);
	g_queue_push_head_link(entry->queue, &entry->link);
}

/*
 * Queues an update that changes only the incarnation: behind other updates and
 * for fewer transmissions, as only processes that have the member as suspect
 * or worse need it.
 */
static void queue_refutation(dws_membership_t *membership,
			     dws_membership_entry_t *entry)
{
	unqueue(entry);
	entry->queue = &membership->update_queue;
	entry->sends_left = bit_length(membership->entries->len);
	g_queue_push_tail_link(entry->queue, &entry->link);
}

/*
 * Counts a transmission. The update moves to the end of its queue, or out of
 * it after the last one.
 */
void dws_membership_table_count_send(dws_membership_entry_t *entry)
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

/* Returns the time in which a suspect can refute the suspicion. */
static int64_t suspicion_timeout_us(const dws_membership_t *membership)
{
	uint32_t intervals =
		SUSPICION_BASE_INTERVALS + bit_length(membership->entries->len);

	return intervals * membership->interval_us;
}

/* Sets a state at the known incarnation, and queues it for sending. */
void dws_membership_table_set_state(dws_membership_t *membership,
				    dws_membership_entry_t *entry,
				    dws_member_state_t state)
{
	uint32_t intervals =
		SUSPICION_BASE_INTERVALS + bit_length(membership->entries->len);

	entry->gossip_state = state;
	entry->suspect_until_us =
		membership->now_us + intervals * membership->interval_us;
	dws_membership_table_refresh(membership, entry, false);
	dws_membership_table_queue_update(membership, entry);
}

/* Returns true if an update takes precedence over the known state. */
static bool takes_precedence(const dws_member_t *update,
			     const dws_membership_entry_t *entry)
{
	if (update->incarnation != entry->member.incarnation)
		return update->incarnation > entry->member.incarnation;
	if (update->epoch != entry->member.epoch)
		return update->epoch > entry->member.epoch;
	return update->state > entry->gossip_state;
}

/* Returns true if the epoch, address, zone, region or service differs. */
bool dws_membership_table_endpoint_differs(const dws_member_t *a,
					   const dws_member_t *b)
{
	return a->epoch != b->epoch || strcmp(a->frame.ip, b->frame.ip) != 0 ||
	       a->frame.port != b->frame.port ||
	       a->datagram.port != b->datagram.port ||
	       strcmp(a->zone, b->zone) != 0 ||
	       strcmp(a->region, b->region) != 0 ||
	       strcmp(a->service, b->service) != 0;
}

/* Copies addresses, zone, region and service. */
void dws_membership_table_copy_endpoint(dws_member_t *member,
					const dws_member_t *update)
{
	member->frame = update->frame;
	member->datagram = update->datagram;
	memcpy(member->zone, update->zone, sizeof(member->zone));
	memcpy(member->region, update->region, sizeof(member->region));
	memcpy(member->service, update->service, sizeof(member->service));
}

/* Applies an update if it takes precedence; see the head of this file. */
bool dws_membership_table_merge(dws_membership_t *membership,
				dws_membership_entry_t *entry,
				const dws_member_t *update)
{
	if (!takes_precedence(update, entry))
		return false;
	bool fields_changed =
		dws_membership_table_endpoint_differs(update, &entry->member);
	/* All processes have this member from the list: do not gossip it. */
	bool is_known_from_list = entry->member.epoch == 0 &&
				  entry->member.listed &&
				  entry->gossip_state == DWS_MEMBER_ALIVE &&
				  update->state == DWS_MEMBER_ALIVE;

	bool is_refutation = entry->member.epoch == update->epoch &&
			     entry->gossip_state == DWS_MEMBER_ALIVE &&
			     update->state == DWS_MEMBER_ALIVE;

	if (entry->listed_leaving_epoch == 0 && entry->member.epoch == 0)
		entry->listed_leaving_epoch = update->epoch;
	if (entry->member.epoch != update->epoch)
		entry->epoch_since_us = membership->now_us;
	entry->member.epoch = update->epoch;
	entry->member.incarnation = update->incarnation;
	dws_membership_table_copy_endpoint(&entry->member, update);
	entry->gossip_state = update->state;
	dws_membership_table_refresh(membership, entry, fields_changed);
	if (is_refutation)
		queue_refutation(membership, entry);
	else if (!is_known_from_list)
		dws_membership_table_set_state(membership, entry,
					       update->state);
	return true;
}

/*
 * Advances the clock. A process that was paused may have missed
 * acknowledgements, so the pending probe is discarded and the timeouts of
 * suspects are extended by the length of the pause.
 */
void dws_membership_table_advance_time(dws_membership_t *membership,
				       int64_t now_us)
{
	int64_t elapsed_us = now_us - membership->now_us;

	if (elapsed_us <= 0)
		return;
	membership->now_us = now_us;
	if (elapsed_us <= 2 * membership->interval_us)
		return;
	membership->pending.target_vm[0] = '\0';
	for (guint i = 0; i < membership->entries->len; i++) {
		dws_membership_entry_t *entry = membership->entries->pdata[i];

		entry->suspect_until_us += elapsed_us;
	}
}

/*
 * Starts the suspicion timeout of a leaving member that missed a probe. A
 * timeout that is already running continues.
 */
void dws_membership_table_suspect_leaving(dws_membership_t *membership,
					  dws_membership_entry_t *entry)
{
	if (entry->probe_failed &&
	    entry->member.last_received_us < entry->probe_failed_us)
		return;
	entry->probe_failed = true;
	entry->probe_failed_us = membership->now_us;
	entry->suspect_until_us =
		membership->now_us + suspicion_timeout_us(membership);
}

/* Returns true if a suspect or an unresponsive leaving member timed out. */
static bool has_timed_out(const dws_membership_t *membership,
			  const dws_membership_entry_t *entry)
{
	if (entry->suspect_until_us > membership->now_us)
		return false;
	if (entry->gossip_state == DWS_MEMBER_SUSPECT)
		return true;
	return entry->gossip_state == DWS_MEMBER_LEAVING &&
	       entry->probe_failed &&
	       entry->member.last_received_us < entry->probe_failed_us;
}

/* Returns true if a dead, unlisted member is past its retention time. */
static bool is_removable(const dws_membership_t *membership,
			 const dws_membership_entry_t *entry)
{
	return entry->gossip_state == DWS_MEMBER_DEAD &&
	       !entry->member.listed && entry != membership->self &&
	       membership->now_us - entry->member.state_since_us >
		       DEAD_RETENTION_US;
}

/* Times out suspects, and removes members that are long dead and unlisted. */
void dws_membership_table_expire(dws_membership_t *membership)
{
	for (guint i = membership->entries->len; i > 0; i--) {
		dws_membership_entry_t *entry =
			membership->entries->pdata[i - 1];

		if (has_timed_out(membership, entry))
			dws_membership_table_set_state(membership, entry,
						       DWS_MEMBER_DEAD);
		else if (is_removable(membership, entry))
			dws_membership_table_remove(membership, entry);
	}
}
