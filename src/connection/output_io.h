/*
 * Bytes that wait to be written to a socket. Large ones are referred to instead
 * of copied; the others are in the memory account until they have been written.
 */
#ifndef DWS_CONNECTION_OUTPUT_IO_H
#define DWS_CONNECTION_OUTPUT_IO_H

#include "process/memory.h"

typedef enum dws_output_state {
	DWS_OUTPUT_EMPTY, /* all has been written */
	DWS_OUTPUT_BLOCKED, /* the socket accepts no more at present */
	DWS_OUTPUT_FAILED, /* the connection has failed */
} dws_output_state_t;

typedef struct dws_output {
	dws_memory_t *memory;
	GQueue chunks; /* owned, in the order of writing */
	GByteArray *spare; /* an empty array for the next chunk, or NULL */
	size_t size_bytes; /* not yet written */
	uint64_t written_bytes; /* since the output was initialized */
} dws_output_t;

void dws_output_init(dws_output_t *output, dws_memory_t *memory);
/* Frees what has not been written. */
void dws_output_finish(dws_output_t *output);
/* Appends a copy of data. */
void dws_output_append(dws_output_t *output, const void *data,
		       size_t size_bytes);
/* Appends bytes, which are referred to if they are many. */
void dws_output_append_bytes(dws_output_t *output, GBytes *bytes);
/* Writes as much as a socket accepts. */
dws_output_state_t dws_output_write(dws_output_t *output, int fd);

#endif
