/*
 * Options of TCP sockets.
 */
#include "connection/socket_io.h"

void dws_socket_set_option(int fd, int level, int name, int value)
{
	setsockopt(fd, level, name, &value, sizeof(value));
}

void dws_socket_limit_unsent(int fd, int size_bytes)
{
	dws_socket_set_option(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, size_bytes);
}
