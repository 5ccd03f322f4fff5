/*
 * What the kernel may buffer of a client's connection before it is read. The
 * buffer is small, but larger while a large body arrives. Where it counts, as it
 * is large or is not read, it is in the memory account.
 */
#ifndef DWS_CONNECTION_RECEIVE_WINDOW_IO_H
#define DWS_CONNECTION_RECEIVE_WINDOW_IO_H

#include "process/memory.h"

typedef struct dws_receive_window {
	int fd;
	dws_memory_t *memory;
	size_t wide_bytes; /* in the account while the buffer is large */
	size_t unread_bytes; /* in the account while nothing is read */
} dws_receive_window_t;

/* Gives a connection a small buffer. */
void dws_receive_window_init(dws_receive_window_t *window, int fd,
			     dws_memory_t *memory);
/* Removes the buffer from the account. */
void dws_receive_window_finish(dws_receive_window_t *window);
/* Enlarges the buffer, if the account has room for it. */
void dws_receive_window_widen(dws_receive_window_t *window);
void dws_receive_window_narrow(dws_receive_window_t *window);
/*
 * Adds the buffer of a connection that is not read any more to the account;
 * false without room.
 */
bool dws_receive_window_stop(dws_receive_window_t *window);
void dws_receive_window_resume(dws_receive_window_t *window);

#endif
