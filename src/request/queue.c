/*
 * Waiting requests: strict priority scheduling, and start-time fair queuing by
 * weight among the kinds of one priority (Goyal, Vin and Cheng,
 * "Start-time Fair Queuing", SIGCOMM 1996). Every item costs one unit of work,
 * so the start tag of a kind advances by the inverse of its weight with each
 * item dequeued to run. Items that expire, are evicted or are removed cost
 * nothing.
 *
 * A kind is served FIFO until its oldest item has waited for 1/LIFO_DIVISOR of
 * the time it may wait. Then more requests arrive than can run, the oldest are
 * likely to miss their deadlines, and the kind is served LIFO (adaptive LIFO:
 * Maurer, "Fail at Scale", ACM Queue 2015). Requests sent after a load peak are
 * thus served at once, while those left over from the peak expire.
 *
 * Nested calls are served by the age of their root request, in an overload too:
 * roots that have begun are finished, and those that fail have used least.
 */
#include "request/queue.h"

#define PRIORITY_COUNT 256
#define BITMAP_WORD_BITS 64
#define BITMAP_WORDS (PRIORITY_COUNT / BITMAP_WORD_BITS)

/*
 * Advance of a start tag per item of weight 1; also the largest effective
 * weight. Tags are reset to 0 when a priority runs empty; if that never
 * happens, they overflow after 2^40 items.
 */
#define TAG_UNIT (UINT64_C(1) << 24)

/* A kind is served LIFO after 1/LIFO_DIVISOR of its oldest item's time. */
#define LIFO_DIVISOR 8

/* Maximum number of kinds kept per priority without queued items. */
#define MAX_IDLE_FLOWS 256

/* The items of one kind and priority, oldest first. */
typedef struct dws_flow {
	GQueue entries;
	uint64_t start_tag; /* virtual start time of the next item */
	uint32_t kind;
	uint32_t weight; /* weight of the item added last */
} dws_flow_t;

typedef struct dws_entry {
	dws_queue_item_t item;
	uint64_t sequence; /* order of arrival */
	dws_flow_t *flow;
	GList link; /* node of flow->entries */
} dws_entry_t;

typedef struct dws_level {
	GPtrArray *flows; /* dws_flow_t *, owned; NULL while unused */
	uint64_t virtual_time; /* start tag of the item dequeued last */
	uint32_t length; /* items of all flows */
} dws_level_t;

struct dws_queue {
	dws_level_t levels[PRIORITY_COUNT];
	uint64_t occupied[BITMAP_WORDS]; /* a bit for each level with items */
	GHashTable *entries; /* id to dws_entry_t, owned */
	GTree *by_latest_start; /* dws_entry_t, borrowed */
	uint64_t next_sequence;
	uint32_t capacity;
};

/* The time after which an item can't complete before its deadline. */
static int64_t latest_start_us(const dws_queue_item_t *item)
{
	int64_t latest_us = item->deadline_us - item->expected_us;

	return item->latest_start_us > 0 ? MIN(latest_us, item->latest_start_us)
					 : latest_us;
}

/* Orders entries by latest start time, then by arrival. */
static gint compare_entries(gconstpointer a, gconstpointer b, gpointer unused)
{
	const dws_entry_t *left = a;
	const dws_entry_t *right = b;
	int64_t left_us = latest_start_us(&left->item);
	int64_t right_us = latest_start_us(&right->item);

	if (left_us != right_us)
		return left_us < right_us ? -1 : 1;
	if (left->sequence != right->sequence)
		return left->sequence < right->sequence ? -1 : 1;
	return 0;
}

static void flow_free(gpointer data)
{
	g_free(data);
}

/* Creates an empty queue for at most capacity items. */
dws_queue_t *dws_queue_new(uint32_t capacity)
{
	dws_queue_t *queue = g_new0(dws_queue_t, 1);

	queue->capacity = capacity;
	queue->next_sequence = 1;
	queue->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	queue->by_latest_start =
		g_tree_new_full(compare_entries, NULL, NULL, NULL);
	return queue;
}

/* Frees a queue and its items. NULL is allowed. */
void dws_queue_free(dws_queue_t *queue)
{
	if (!queue)
		return;
	g_tree_destroy(queue->by_latest_start);
	for (int i = 0; i < PRIORITY_COUNT; i++) {
		if (queue->levels[i].flows)
			g_ptr_array_free(queue->levels[i].flows, TRUE);
	}
	g_hash_table_destroy(queue->entries);
	g_free(queue);
}

/* Returns the highest priority with queued items, or -1. */
static int highest_priority(const dws_queue_t *queue)
{
	for (int word = BITMAP_WORDS - 1; word >= 0; word--) {
		if (queue->occupied[word])
			return word * BITMAP_WORD_BITS + BITMAP_WORD_BITS - 1 -
			       __builtin_clzll(queue->occupied[word]);
	}
	return -1;
}

/* Returns the lowest priority with queued items, or -1. */
static int lowest_priority(const dws_queue_t *queue)
{
	for (int word = 0; word < BITMAP_WORDS; word++) {
		if (queue->occupied[word])
			return word * BITMAP_WORD_BITS +
			       __builtin_ctzll(queue->occupied[word]);
	}
	return -1;
}

static dws_flow_t *flow_at(const dws_level_t *level, guint index)
{
	return g_ptr_array_index(level->flows, index);
}

/*
 * True if an item runs before an earlier one of its kind: nested calls run
 * before root requests, those of the oldest root first.
 */
static bool runs_before(const dws_queue_item_t *item,
			const dws_queue_item_t *earlier)
{
	if (item->root_started_us == 0)
		return false;
	return earlier->root_started_us == 0 ||
	       item->root_started_us < earlier->root_started_us;
}

/*
 * Returns true if a kind has no nested calls, and its oldest item has waited
 * for more than 1/LIFO_DIVISOR of its time. The arrival of the newest item is
 * taken as the present time, as items arrive at short intervals during an
 * overload.
 */
static bool serves_newest_first(const dws_flow_t *flow)
{
	const dws_entry_t *oldest;
	const dws_entry_t *newest;
	int64_t time_us;

	if (flow->entries.length == 0)
		return false;
	oldest = flow->entries.head->data;
	newest = flow->entries.tail->data;
	if (oldest->item.root_started_us > 0)
		return false;
	time_us = latest_start_us(&oldest->item) - oldest->item.enqueued_us;
	return newest->item.enqueued_us - oldest->item.enqueued_us >
	       time_us / LIFO_DIVISOR;
}

/* Returns the next item of a kind to run; the flow must not be empty. */
static dws_entry_t *next_in_flow(const dws_flow_t *flow)
{
	const GList *link = serves_newest_first(flow) ? flow->entries.tail
						      : flow->entries.head;

	return link->data;
}

/* Returns the item of a kind to evict; the flow must not be empty. */
static dws_entry_t *eviction_candidate(const dws_flow_t *flow)
{
	const GList *link = serves_newest_first(flow) ? flow->entries.head
						      : flow->entries.tail;

	return link->data;
}

static dws_flow_t *find_flow(const dws_level_t *level, uint32_t kind)
{
	for (guint i = 0; level->flows && i < level->flows->len; i++) {
		dws_flow_t *flow = flow_at(level, i);

		if (flow->kind == kind)
			return flow;
	}
	return NULL;
}

/*
 * Frees the flows of kinds without queued items. A flow whose start tag is
 * ahead of the virtual time has been served more than its share and is kept,
 * so that a kind gains nothing by running empty and returning at once.
 */
static void prune_flows(dws_level_t *level)
{
	bool too_many = level->flows->len > level->length + MAX_IDLE_FLOWS;

	for (guint i = level->flows->len; i-- > 0;) {
		const dws_flow_t *flow = flow_at(level, i);

		if (flow->entries.length > 0)
			continue;
		if (too_many || flow->start_tag <= level->virtual_time)
			g_ptr_array_remove_index_fast(level->flows, i);
	}
}

/* Resets the tags of a priority when its last item has left the queue. */
static void reset_level(dws_queue_t *queue, uint8_t priority)
{
	dws_level_t *level = &queue->levels[priority];

	g_ptr_array_set_size(level->flows, 0);
	level->virtual_time = 0;
	queue->occupied[priority / BITMAP_WORD_BITS] &=
		~(UINT64_C(1) << (priority % BITMAP_WORD_BITS));
}

/* Removes an entry from all indexes, copies its item and frees it. */
static void remove_entry(dws_queue_t *queue, dws_entry_t *entry,
			 dws_queue_item_t *item)
{
	dws_level_t *level = &queue->levels[entry->item.priority];

	if (item)
		*item = entry->item;
	g_queue_unlink(&entry->flow->entries, &entry->link);
	g_tree_remove(queue->by_latest_start, entry);
	level->length--;
	if (level->length == 0)
		reset_level(queue, entry->item.priority);
	g_hash_table_remove(queue->entries, &entry->item.id);
}

/* Finds or creates the flow of an item and sets its weight to the item's. */
static dws_flow_t *get_flow(dws_level_t *level, const dws_queue_item_t *item)
{
	dws_flow_t *flow = find_flow(level, item->kind);

	if (!flow) {
		if (!level->flows)
			level->flows =
				g_ptr_array_new_with_free_func(flow_free);
		flow = g_new0(dws_flow_t, 1);
		g_queue_init(&flow->entries);
		flow->kind = item->kind;
		g_ptr_array_add(level->flows, flow);
	}
	flow->weight = MAX(item->weight, 1);
	if (flow->entries.length == 0)
		flow->start_tag = MAX(flow->start_tag, level->virtual_time);
	return flow;
}

/* Adds an entry to its flow, behind those that are to run before it. */
static void insert_in_order(dws_flow_t *flow, dws_entry_t *entry)
{
	GList *before = flow->entries.tail;

	while (before &&
	       runs_before(&entry->item, &((dws_entry_t *)before->data)->item))
		before = before->prev;
	g_queue_insert_after_link(&flow->entries, before, &entry->link);
}

static void add_entry(dws_queue_t *queue, const dws_queue_item_t *item)
{
	dws_level_t *level = &queue->levels[item->priority];
	dws_entry_t *entry = g_new0(dws_entry_t, 1);

	entry->item = *item;
	entry->sequence = queue->next_sequence++;
	entry->flow = get_flow(level, item);
	entry->link.data = entry;
	insert_in_order(entry->flow, entry);
	level->length++;
	queue->occupied[item->priority / BITMAP_WORD_BITS] |=
		UINT64_C(1) << (item->priority % BITMAP_WORD_BITS);
	g_hash_table_insert(queue->entries, &entry->item.id, entry);
	g_tree_insert(queue->by_latest_start, entry, entry);
}

/*
 * Finds the kind with the most queued items relative to its weight. An arrival
 * counts as an item of its kind. Returns NULL if that is the arrival's kind.
 */
static dws_flow_t *find_eviction_flow(const dws_level_t *level,
				      const dws_queue_item_t *arrival)
{
	dws_flow_t *largest = NULL;
	uint64_t largest_queued = 0;
	uint64_t largest_weight = 1;

	if (arrival) {
		const dws_flow_t *own = find_flow(level, arrival->kind);

		largest_queued = 1 + (own ? own->entries.length : 0);
		largest_weight = MAX(arrival->weight, 1);
	}
	for (guint i = 0; i < level->flows->len; i++) {
		dws_flow_t *flow = flow_at(level, i);
		uint64_t queued = flow->entries.length;

		if (arrival && flow->kind == arrival->kind)
			continue;
		if (queued * largest_weight <= largest_queued * flow->weight)
			continue;
		largest = flow;
		largest_queued = queued;
		largest_weight = flow->weight;
	}
	return largest;
}

/* True if an arrival takes the place of an item of its own kind. */
static bool may_displace(const dws_flow_t *flow,
			 const dws_queue_item_t *arrival)
{
	const dws_entry_t *last;

	if (flow->entries.length == 0)
		return false;
	last = flow->entries.tail->data;
	return serves_newest_first(flow) || runs_before(arrival, &last->item);
}

/*
 * Returns the entry of a full queue that an arrival displaces, or NULL if the
 * arrival has to be refused instead.
 */
static dws_entry_t *find_displaced(const dws_queue_t *queue,
				   const dws_queue_item_t *arrival)
{
	int lowest = lowest_priority(queue);
	bool same_priority = arrival->priority == lowest;
	const dws_flow_t *flow;

	if (lowest < 0 || arrival->priority < lowest)
		return NULL;
	flow = find_eviction_flow(&queue->levels[lowest],
				  same_priority ? arrival : NULL);
	if (!flow) {
		flow = find_flow(&queue->levels[lowest], arrival->kind);
		if (!flow || !may_displace(flow, arrival))
			return NULL;
	}
	return eviction_candidate(flow);
}

/*
 * Adds an item. A full queue refuses it or evicts another item, as described in
 * queue.h. An id that is already queued is refused. The item is added before
 * the other one is evicted, so that their priority doesn't run empty and keeps
 * its tags.
 */
bool dws_queue_push(dws_queue_t *queue, const dws_queue_item_t *item,
		    uint64_t *displaced)
{
	dws_entry_t *evicted = NULL;

	*displaced = 0;
	if (g_hash_table_contains(queue->entries, &item->id))
		return false;
	if (dws_queue_length(queue) >= queue->capacity) {
		evicted = find_displaced(queue, item);
		if (!evicted)
			return false;
	}
	add_entry(queue, item);
	if (evicted) {
		*displaced = evicted->item.id;
		remove_entry(queue, evicted, NULL);
	}
	return true;
}

/*
 * Returns the next entry to run, or NULL: of the highest priority, the one with
 * the lowest start tag, then the one that arrived first.
 */
static dws_entry_t *next_entry(const dws_queue_t *queue)
{
	int priority = highest_priority(queue);
	const dws_level_t *level;
	dws_entry_t *best = NULL;

	if (priority < 0)
		return NULL;
	level = &queue->levels[priority];
	for (guint i = 0; i < level->flows->len; i++) {
		const dws_flow_t *flow = flow_at(level, i);
		dws_entry_t *next;

		if (flow->entries.length == 0)
			continue;
		next = next_in_flow(flow);
		if (!best || flow->start_tag < best->flow->start_tag ||
		    (flow->start_tag == best->flow->start_tag &&
		     next->sequence < best->sequence))
			best = next;
	}
	return best;
}

/* Dequeues the next item to run and advances the start tag of its kind. */
bool dws_queue_pop(dws_queue_t *queue, dws_queue_item_t *item)
{
	dws_entry_t *entry = next_entry(queue);
	dws_level_t *level;
	dws_flow_t *flow;

	if (!entry)
		return false;
	level = &queue->levels[entry->item.priority];
	flow = entry->flow;
	level->virtual_time = flow->start_tag;
	flow->start_tag += MAX(TAG_UNIT / flow->weight, 1);
	remove_entry(queue, entry, item);
	prune_flows(level);
	return true;
}

bool dws_queue_peek(const dws_queue_t *queue, dws_queue_item_t *item)
{
	const dws_entry_t *entry = next_entry(queue);

	if (!entry)
		return false;
	*item = entry->item;
	return true;
}

static dws_entry_t *first_to_expire(const dws_queue_t *queue)
{
	GTreeNode *node = g_tree_node_first(queue->by_latest_start);

	return node ? g_tree_node_value(node) : NULL;
}

/* Dequeues the item with the earliest latest start time, if it has passed. */
bool dws_queue_expire(dws_queue_t *queue, int64_t until_us,
		      dws_queue_item_t *item)
{
	dws_entry_t *entry = first_to_expire(queue);

	if (!entry || latest_start_us(&entry->item) > until_us)
		return false;
	remove_entry(queue, entry, item);
	return true;
}

bool dws_queue_remove(dws_queue_t *queue, uint64_t id)
{
	dws_entry_t *entry = g_hash_table_lookup(queue->entries, &id);

	if (!entry)
		return false;
	remove_entry(queue, entry, NULL);
	return true;
}

uint32_t dws_queue_length(const dws_queue_t *queue)
{
	return g_hash_table_size(queue->entries);
}

/* Returns the earliest latest start time in us, or DWS_NEVER_US. */
int64_t dws_queue_next_expiry_us(const dws_queue_t *queue)
{
	const dws_entry_t *entry = first_to_expire(queue);

	return entry ? latest_start_us(&entry->item) : DWS_NEVER_US;
}

uint8_t dws_queue_min_priority(const dws_queue_t *queue, uint32_t max_ahead)
{
	uint32_t ahead = 0;

	for (int priority = PRIORITY_COUNT - 1; priority >= 0; priority--) {
		ahead += queue->levels[priority].length;
		if (ahead >= max_ahead)
			return (uint8_t)MIN(priority + 1, UINT8_MAX);
	}
	return 0;
}
