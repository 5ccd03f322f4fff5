/*
 * Ledger of the outcomes of non-idempotent requests at their home.
 */
#include "request/ledger.h"
#include "request/ticket.h"

/* Divisor: closed entries may take up 1/4 of the capacity. */
#define CLOSED_DIVISOR 4

static guint hash_key(gconstpointer data)
{
	return (guint)dws_fnv1a_bytes(DWS_FNV1A_OFFSET_BASIS, data,
				      sizeof(dws_ledger_key_t));
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	const dws_ledger_key_t *left = a;
	const dws_ledger_key_t *right = b;

	return left->serial == right->serial &&
	       left->tree_position == right->tree_position;
}

static void free_entry(gpointer data)
{
	dws_ledger_entry_t *entry = data;

	g_array_free(entry->waiters, true);
	g_free(entry->content_type);
	if (entry->body)
		g_bytes_unref(entry->body);
	g_free(entry);
}

/* Initializes caller-provided memory with an empty ledger. */
void dws_ledger_init(dws_ledger_t *ledger, uint32_t capacity,
		     size_t stored_capacity_bytes)
{
	*ledger = (dws_ledger_t){
		.entries = g_hash_table_new_full(hash_key, key_equal, NULL,
						 free_entry),
		.capacity = capacity,
		.stored_capacity_bytes = stored_capacity_bytes,
	};
}

/* Frees all entries. */
void dws_ledger_finish(dws_ledger_t *ledger)
{
	g_hash_table_destroy(ledger->entries);
}

/* Finds an entry, borrowed from the ledger; NULL if there is none. */
dws_ledger_entry_t *dws_ledger_find(dws_ledger_t *ledger,
				    const dws_ledger_key_t *key)
{
	return g_hash_table_lookup(ledger->entries, key);
}

/* True if a root request without an entry may not be run any more. */
bool dws_ledger_is_closed(const dws_ledger_t *ledger,
			  const dws_ledger_key_t *key)
{
	return key->tree_position == 0 && key->serial <= ledger->closed_up_to;
}

static dws_ledger_entry_t *insert(dws_ledger_t *ledger,
				  const dws_ledger_key_t *key,
				  dws_ledger_state_t state, int64_t expires_us)
{
	dws_ledger_entry_t *entry = g_new0(dws_ledger_entry_t, 1);

	entry->key = *key;
	entry->state = state;
	entry->expires_us = expires_us;
	entry->waiters = g_array_new(false, false, sizeof(uint64_t));
	g_hash_table_insert(ledger->entries, &entry->key, entry);
	return entry;
}

/*
 * Adds a running entry. NULL if the limit on entries or on stored answers is
 * reached; the caller then refuses the request.
 */
dws_ledger_entry_t *dws_ledger_add(dws_ledger_t *ledger,
				   const dws_ledger_key_t *key, uint64_t digest,
				   uint64_t request_id, int64_t expires_us)
{
	if (dws_ledger_size(ledger) >= ledger->capacity ||
	    ledger->stored_bytes >= ledger->stored_capacity_bytes)
		return NULL;
	dws_ledger_entry_t *entry =
		insert(ledger, key, DWS_LEDGER_RUNNING, expires_us);

	entry->digest = digest;
	entry->request_id = request_id;
	return entry;
}

/* Stores a complete answer, also a late one that arrives after UNKNOWN. */
void dws_ledger_complete(dws_ledger_t *ledger, dws_ledger_entry_t *entry,
			 uint16_t status, const char *content_type,
			 GBytes *body)
{
	if (entry->state == DWS_LEDGER_COMPLETE)
		return;
	entry->state = DWS_LEDGER_COMPLETE;
	entry->reason = DWS_REASON_NONE;
	entry->status = status;
	entry->content_type = g_strdup(content_type);
	entry->body = g_bytes_ref(body);
	ledger->stored_bytes += g_bytes_get_size(body);
}

/* Records that no answer is expected any more. */
void dws_ledger_set_unknown(dws_ledger_entry_t *entry, dws_reason_t reason)
{
	entry->state = DWS_LEDGER_UNKNOWN;
	entry->reason = reason;
}

static gboolean is_closed_entry(gpointer key, gpointer value, gpointer data)
{
	return ((dws_ledger_entry_t *)value)->state == DWS_LEDGER_CLOSED;
}

/*
 * Replaces all closed entries by the watermark once they exceed their part of
 * the capacity.
 */
static void compact_closed(dws_ledger_t *ledger)
{
	GHashTableIter iter;
	gpointer value;

	if (ledger->closed_count <= ledger->capacity / CLOSED_DIVISOR)
		return;
	g_hash_table_iter_init(&iter, ledger->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dws_ledger_entry_t *entry = value;

		if (entry->state == DWS_LEDGER_CLOSED)
			ledger->closed_up_to =
				MAX(ledger->closed_up_to, entry->key.serial);
	}
	g_hash_table_foreach_remove(ledger->entries, is_closed_entry, NULL);
	ledger->closed_count = 0;
}

/* Closes an entry that was not run; removes it if it is a nested call's. */
void dws_ledger_close(dws_ledger_t *ledger, dws_ledger_entry_t *entry,
		      dws_reason_t reason)
{
	if (entry->key.tree_position != 0) {
		g_hash_table_remove(ledger->entries, &entry->key);
		return;
	}
	entry->state = DWS_LEDGER_CLOSED;
	entry->reason = reason;
	ledger->closed_count++;
	compact_closed(ledger);
}

/* Closes a root request that has no entry, so that it can't run later. */
void dws_ledger_close_unused(dws_ledger_t *ledger, const dws_ledger_key_t *key,
			     int64_t expires_us, dws_reason_t reason)
{
	if (key->tree_position != 0 || dws_ledger_is_closed(ledger, key) ||
	    dws_ledger_find(ledger, key))
		return;
	dws_ledger_entry_t *entry =
		insert(ledger, key, DWS_LEDGER_CLOSED, expires_us);

	entry->reason = reason;
	ledger->closed_count++;
	compact_closed(ledger);
}

/* Removes an expired entry, unless it is running. */
void dws_ledger_expire(dws_ledger_t *ledger, const dws_ledger_key_t *key,
		       int64_t now_us)
{
	dws_ledger_entry_t *entry = dws_ledger_find(ledger, key);

	if (!entry || entry->expires_us > now_us ||
	    entry->state == DWS_LEDGER_RUNNING)
		return;
	if (entry->state == DWS_LEDGER_CLOSED)
		ledger->closed_count--;
	if (entry->body)
		ledger->stored_bytes -= g_bytes_get_size(entry->body);
	g_hash_table_remove(ledger->entries, key);
}

uint32_t dws_ledger_size(const dws_ledger_t *ledger)
{
	return g_hash_table_size(ledger->entries);
}
