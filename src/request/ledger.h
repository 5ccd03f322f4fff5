/*
 * The fates of non-idempotent requests at their home, by serial number of
 * the root request and place in its tree. An entry lives until its serial
 * has expired, and one lifetime longer, so a retry finds it. A root request
 * that was refused unrun is closed: its ticket will never run. When closed
 * entries take too much room, they give way to a watermark that closes all
 * older tickets that have not been used.
 */
#ifndef DWS_REQUEST_LEDGER_H
#define DWS_REQUEST_LEDGER_H

#include "dogwoodshift.h"

typedef enum dws_fate {
	DWS_FATE_RUNNING, /* waiting for room, or dispatched */
	DWS_FATE_COMPLETE, /* the answer is stored */
	DWS_FATE_UNKNOWN, /* dispatched; no answer is to be expected */
	DWS_FATE_CLOSED, /* refused unrun */
} dws_fate_t;

typedef struct dws_ledger_key {
	uint64_t serial;
	uint64_t place; /* 0: the root request itself */
} dws_ledger_key_t;

typedef struct dws_ledger_entry {
	dws_ledger_key_t key; /* first: it is the table's key */
	dws_fate_t fate;
	uint64_t digest; /* of the request */
	int64_t expires_us;
	uint64_t request_id; /* that dispatches it, while it runs */
	GArray *waiters; /* uint64_t request ids joined to it */
	uint16_t status;
	char *content_type;
	GBytes *body;
	dws_reason_t reason; /* of UNKNOWN and CLOSED */
} dws_ledger_entry_t;

typedef struct dws_ledger {
	GHashTable *entries;
	uint32_t capacity;
	uint32_t closed_count;
	uint64_t closed_below; /* unused roots up to this serial are closed */
	size_t stored_bytes;
	size_t stored_capacity_bytes;
} dws_ledger_t;

void dws_ledger_init(dws_ledger_t *ledger, uint32_t capacity,
		     size_t stored_capacity_bytes);
void dws_ledger_finish(dws_ledger_t *ledger);
/* NULL if there is none. */
dws_ledger_entry_t *dws_ledger_find(dws_ledger_t *ledger,
				    const dws_ledger_key_t *key);
/* True if a root without an entry may not be run any more. */
bool dws_ledger_is_closed(const dws_ledger_t *ledger,
			  const dws_ledger_key_t *key);
/* Adds a running entry; NULL if there is no room. */
dws_ledger_entry_t *dws_ledger_add(dws_ledger_t *ledger,
				   const dws_ledger_key_t *key, uint64_t digest,
				   uint64_t request_id, int64_t expires_us);
/* Stores a whole answer; also a late one, after UNKNOWN. */
void dws_ledger_complete(dws_ledger_t *ledger, dws_ledger_entry_t *entry,
			 uint16_t status, const char *content_type,
			 GBytes *body);
void dws_ledger_set_unknown(dws_ledger_entry_t *entry, dws_reason_t reason);
/*
 * Ends an entry that was not run. A root is closed; a nested call is
 * forgotten, so that a retried parent may run it.
 */
void dws_ledger_close(dws_ledger_t *ledger, dws_ledger_entry_t *entry,
		      dws_reason_t reason);
/* Closes a root that has no entry, so that it will never run. */
void dws_ledger_close_unused(dws_ledger_t *ledger, const dws_ledger_key_t *key,
			     int64_t expires_us, dws_reason_t reason);
/* Forgets an entry whose time has passed, unless it still runs. */
void dws_ledger_expire(dws_ledger_t *ledger, const dws_ledger_key_t *key,
		       int64_t now_us);
uint32_t dws_ledger_size(const dws_ledger_t *ledger);

#endif
