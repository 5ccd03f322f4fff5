/*
 * What the kernel may buffer of a client's connection before it is read.
 */
#include <string.h>
#include "connection/receive_window_io.h"
#include "connection/socket_io.h"

/* Sizes of the buffer. The kernel adds as much again for its own data. */
#define SMALL_BYTES (32 * 1024)
#define LARGE_BYTES (128 * 1024)

static void set_size(const dws_receive_window_t *window, int size_bytes)
{
	dws_socket_set_option(window->fd, SOL_SOCKET, SO_RCVBUF, size_bytes);
}

void dws_receive_window_init(dws_receive_window_t *window, int fd,
			     dws_memory_t *memory)
{
	memset(window, 0, sizeof(*window));
	window->fd = fd;
	window->memory = memory;
	set_size(window, SMALL_BYTES);
}

void dws_receive_window_finish(dws_receive_window_t *window)
{
	dws_memory_remove(window->memory, window->wide_bytes);
	dws_memory_remove(window->memory, window->unread_bytes);
	window->wide_bytes = 0;
	window->unread_bytes = 0;
}

void dws_receive_window_widen(dws_receive_window_t *window)
{
	if (window->wide_bytes > 0 ||
	    !dws_memory_has_room(window->memory, 0, LARGE_BYTES))
		return;
	window->wide_bytes = LARGE_BYTES;
	dws_memory_add(window->memory, LARGE_BYTES);
	set_size(window, LARGE_BYTES);
}

void dws_receive_window_narrow(dws_receive_window_t *window)
{
	if (window->wide_bytes == 0)
		return;
	dws_memory_remove(window->memory, window->wide_bytes);
	window->wide_bytes = 0;
	set_size(window, SMALL_BYTES);
}

bool dws_receive_window_stop(dws_receive_window_t *window)
{
	if (window->unread_bytes > 0)
		return true;
	if (!dws_memory_has_room(window->memory, 0, SMALL_BYTES))
		return false;
	window->unread_bytes = SMALL_BYTES;
	dws_memory_add(window->memory, SMALL_BYTES);
	return true;
}

void dws_receive_window_resume(dws_receive_window_t *window)
{
	dws_memory_remove(window->memory, window->unread_bytes);
	window->unread_bytes = 0;
}
