/*
 * Options of TCP sockets.
 */
#ifndef DWS_CONNECTION_SOCKET_IO_H
#define DWS_CONNECTION_SOCKET_IO_H

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <sys/socket.h>

/* Sets an option with an integer value; one that fails keeps its default. */
void dws_socket_set_option(int fd, int level, int name, int value);
/*
 * Has the kernel accept no more bytes than this that it can't send yet. A peer
 * that does not read then leaves the rest with this process, which accounts for
 * it, instead of in megabytes of socket buffers.
 */
void dws_socket_limit_unsent(int fd, int size_bytes);

#endif
