/*
 * Reserves ports by binding to port 0.
 */
#include "support/ports.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>

/* Reserves a port; type is SOCK_STREAM or SOCK_DGRAM. */
uint16_t port_reserve(int type, int *fd)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);

	*fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	address.sin_addr.s_addr = inet_addr(LISTEN_IP);
	if (bind(*fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    getsockname(*fd, (struct sockaddr *)&address, &length) != 0)
		abort();
	return ntohs(address.sin_port);
}
