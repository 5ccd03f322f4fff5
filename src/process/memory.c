/*
 * Account of the bytes that the process holds for clients and peers.
 */
#include <string.h>
#include "process/memory.h"

#define BYTES_PER_MB ((size_t)1000 * 1000)
/* Of a process whose memory is not limited by its settings. */
#define DEFAULT_ACCOUNT_BYTES (1024 * BYTES_PER_MB)
/*
 * Memory outside of the account: the program with its tables, and a share for
 * what the kernel and the allocator add to the bytes in it.
 */
#define PROGRAM_BYTES (16 * BYTES_PER_MB)
#define OVERHEAD_DIVISOR 4
#define ACCOUNT_MIN_BYTES BYTES_PER_MB
#define RESERVE_DIVISOR 4

/* Bytes that are removed from the account when they are freed. */
typedef struct charge {
	dws_memory_t *memory;
	size_t size_bytes;
	void *data; /* NULL if it follows the charge */
} charge_t;

void dws_memory_init(dws_memory_t *memory, uint32_t memory_mb)
{
	size_t memory_bytes = memory_mb * BYTES_PER_MB;
	size_t outside_bytes = PROGRAM_BYTES + memory_bytes / OVERHEAD_DIVISOR;

	memory->used_bytes = 0;
	memory->max_bytes = DEFAULT_ACCOUNT_BYTES;
	if (memory_mb > 0)
		memory->max_bytes =
			memory_bytes > outside_bytes + ACCOUNT_MIN_BYTES
				? memory_bytes - outside_bytes
				: ACCOUNT_MIN_BYTES;
	memory->reserve_bytes = memory->max_bytes / RESERVE_DIVISOR;
}

bool dws_memory_has_room(const dws_memory_t *memory, size_t held_bytes,
			 size_t more_bytes)
{
	size_t used_bytes = memory->used_bytes + more_bytes;

	if (used_bytes <= memory->max_bytes - memory->reserve_bytes)
		return true;
	return used_bytes <= memory->max_bytes &&
	       held_bytes + more_bytes <= memory->max_bytes - used_bytes;
}

bool dws_memory_is_scarce(const dws_memory_t *memory)
{
	return memory->used_bytes > memory->max_bytes - memory->reserve_bytes;
}

void dws_memory_add(dws_memory_t *memory, size_t size_bytes)
{
	memory->used_bytes += size_bytes;
}

void dws_memory_remove(dws_memory_t *memory, size_t size_bytes)
{
	memory->used_bytes -= size_bytes;
}

/* Frees data that is in the account; the free function of its bytes. */
static void free_charged(gpointer data)
{
	charge_t *charge = data;

	dws_memory_remove(charge->memory, charge->size_bytes);
	g_free(charge->data);
	g_free(charge);
}

GBytes *dws_memory_copy(dws_memory_t *memory, const void *data,
			size_t size_bytes)
{
	charge_t *charge = g_malloc(sizeof(*charge) + size_bytes);
	uint8_t *copy = (uint8_t *)(charge + 1);

	charge->memory = memory;
	charge->size_bytes = size_bytes;
	charge->data = NULL;
	if (size_bytes > 0)
		memcpy(copy, data, size_bytes);
	dws_memory_add(memory, size_bytes);
	return g_bytes_new_with_free_func(copy, size_bytes, free_charged,
					  charge);
}

GBytes *dws_memory_take(dws_memory_t *memory, GByteArray *array)
{
	charge_t *charge = g_new(charge_t, 1);

	charge->memory = memory;
	charge->size_bytes = array->len;
	charge->data = g_byte_array_free(array, FALSE);
	return g_bytes_new_with_free_func(charge->data, charge->size_bytes,
					  free_charged, charge);
}
