/*
 * The descriptors that the process may have. Part of them is kept for peers, the
 * upstream and the platform: clients get none of these.
 */
#ifndef DWS_PROCESS_DESCRIPTORS_IO_H
#define DWS_PROCESS_DESCRIPTORS_IO_H

#include <stdbool.h>
#include <stdint.h>

typedef struct dws_descriptors {
	uint32_t max; /* limit on open files */
	uint32_t clients_max; /* of them, for connections of clients */
} dws_descriptors_t;

/* Reads the limit on open files. */
void dws_descriptors_init(dws_descriptors_t *descriptors);
/*
 * True if the new descriptor of a client is one of those that are kept. The
 * kernel assigns the lowest that is free, so that all below it are in use.
 */
bool dws_descriptors_is_kept(const dws_descriptors_t *descriptors, int fd);

#endif
