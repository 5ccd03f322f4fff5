/*
 * Account of the bytes that the process holds for clients and peers: bodies and
 * heads of requests, frames, and answers until they have been sent. What would
 * exceed the account is refused.
 *
 * Part of the account is a reserve for holders of little, so that some with
 * large bodies, or many that never finish, leave room for ordinary requests.
 */
#ifndef DWS_PROCESS_MEMORY_H
#define DWS_PROCESS_MEMORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct dws_memory {
	size_t max_bytes;
	size_t reserve_bytes; /* of max_bytes, for holders of little */
	size_t used_bytes;
} dws_memory_t;

/*
 * Initializes an account for a process that may use memory_mb. 0: not limited;
 * the account then has 1024 MB.
 */
void dws_memory_init(dws_memory_t *memory, uint32_t memory_mb);
/*
 * True if a holder that has held_bytes in the account may add more_bytes: the
 * reserve stays free, or what is free then is at least what the holder has. The
 * more there are that hold much, the less each of them may hold.
 */
bool dws_memory_has_room(const dws_memory_t *memory, size_t held_bytes,
			 size_t more_bytes);
/* True if only the reserve is left, so that holders of much are refused. */
bool dws_memory_is_scarce(const dws_memory_t *memory);
/* Adds and removes bytes; adding may exceed max_bytes. */
void dws_memory_add(dws_memory_t *memory, size_t size_bytes);
void dws_memory_remove(dws_memory_t *memory, size_t size_bytes);

/* Returns a copy of data, which is in the account until its last unref. */
GBytes *dws_memory_copy(dws_memory_t *memory, const void *data,
			size_t size_bytes);
/*
 * Turns an array into bytes without copying it, and frees the array. Its bytes
 * are in the account already and are removed from it with the last unref.
 */
GBytes *dws_memory_take(dws_memory_t *memory, GByteArray *array);

#endif
