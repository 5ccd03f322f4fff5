/*
 * Ledger of the outcomes of non-idempotent requests at their home, by serial
 * number of the root request and position in its call tree. An entry is kept
 * until one ticket lifetime after its serial has expired, so that a retry finds
 * it. A root request that was refused without execution is closed: its ticket
 * can't be run later. When closed entries exceed a quarter of the capacity,
 * they are replaced by a watermark that closes all older unused tickets.
 */
#ifndef DWS_REQUEST_LEDGER_H
#define DWS_REQUEST_LEDGER_H

#include "dogwoodshift.h"

typedef enum dws_ledger_state {
	DWS_LEDGER_RUNNING, /* waiting for an endpoint, or dispatched */
	DWS_LEDGER_COMPLETE, /* the answer is stored */
	DWS_LEDGER_UNKNOWN, /* dispatched; no answer is expected any more */
	DWS_LEDGER_CLOSED, /* refused without execution */
} dws_ledger_state_t;

typedef struct dws_ledger_key {
	uint64_t serial;
	uint64_t tree_position; /* in the call tree; 0: the root request */
} dws_ledger_key_t;

typedef struct dws_ledger_entry {
	dws_ledger_key_t key; /* must be first: the key of the table */
	dws_ledger_state_t state;
	uint64_t digest; /* of the payload of the request */
	int64_t expires_us;
	uint64_t request_id; /* the request that dispatches it, if RUNNING */
	GArray *waiters; /* uint64_t ids of joined requests */
	uint16_t status;
	char *content_type;
	GBytes *body;
	dws_reason_t reason; /* of UNKNOWN and CLOSED */
} dws_ledger_entry_t;

typedef struct dws_ledger {
	GHashTable *entries; /* dws_ledger_key_t to dws_ledger_entry_t, owned */
	uint32_t capacity;
	uint32_t closed_count;
	/* Root requests without an entry are closed up to this serial. */
	uint64_t closed_up_to;
	size_t stored_bytes; /* size of all stored answers */
	size_t stored_capacity_bytes;
} dws_ledger_t;

/*
 * Initializes caller-provided memory. No entry is added while there are
 * capacity entries, or while the stored answers take up stored_capacity_bytes.
 */
void dws_ledger_init(dws_ledger_t *ledger, uint32_t capacity,
		     size_t stored_capacity_bytes);
void dws_ledger_finish(dws_ledger_t *ledger);
/* Finds an entry, borrowed from the ledger; NULL if there is none. */
dws_ledger_entry_t *dws_ledger_find(dws_ledger_t *ledger,
				    const dws_ledger_key_t *key);
/* True if a root request without an entry may not be run any more. */
bool dws_ledger_is_closed(const dws_ledger_t *ledger,
			  const dws_ledger_key_t *key);
/* Adds a running entry; NULL if the ledger is full. */
dws_ledger_entry_t *dws_ledger_add(dws_ledger_t *ledger,
				   const dws_ledger_key_t *key, uint64_t digest,
				   uint64_t request_id, int64_t expires_us);
/* Stores a complete answer, also a late one that arrives after UNKNOWN. */
void dws_ledger_complete(dws_ledger_t *ledger, dws_ledger_entry_t *entry,
			 uint16_t status, const char *content_type,
			 GBytes *body);
/* Records that no answer is expected any more. */
void dws_ledger_set_unknown(dws_ledger_entry_t *entry, dws_reason_t reason);
/*
 * Ends an entry that was not run. That of a root request is closed; that of a
 * nested call is removed, so that a retry of its parent may run it.
 */
void dws_ledger_close(dws_ledger_t *ledger, dws_ledger_entry_t *entry,
		      dws_reason_t reason);
/* Closes a root request that has no entry, so that it can't run later. */
void dws_ledger_close_unused(dws_ledger_t *ledger, const dws_ledger_key_t *key,
			     int64_t expires_us, dws_reason_t reason);
/* Removes an expired entry, unless it is running. */
void dws_ledger_expire(dws_ledger_t *ledger, const dws_ledger_key_t *key,
		       int64_t now_us);
uint32_t dws_ledger_size(const dws_ledger_t *ledger);

#endif
