/*
 * Conversion of addresses to and from socket addresses.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>
#include "connection/address_io.h"

/* Connections that may wait to be accepted. */
#define LISTEN_BACKLOG 1024

/*
 * Fills in a socket address from an IPv4 or IPv6 address. False if the text is
 * neither.
 */
bool dws_address_to_sockaddr(const dws_address_t *address,
			     struct sockaddr_storage *storage,
			     socklen_t *length)
{
	struct sockaddr_in *in4 = (struct sockaddr_in *)storage;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)storage;

	memset(storage, 0, sizeof(*storage));
	if (inet_pton(AF_INET, address->ip, &in4->sin_addr) == 1) {
		in4->sin_family = AF_INET;
		in4->sin_port = htons(address->port);
		*length = sizeof(*in4);
		return true;
	}
	if (inet_pton(AF_INET6, address->ip, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(address->port);
		*length = sizeof(*in6);
		return true;
	}
	return false;
}

/* Gets the local address of a socket; false if the system call fails. */
bool dws_address_from_socket(int fd, dws_address_t *address)
{
	union {
		struct sockaddr any;
		struct sockaddr_in in4;
		struct sockaddr_in6 in6;
	} local = {0};
	socklen_t length = sizeof(local);

	if (getsockname(fd, &local.any, &length) != 0)
		return false;
	if (local.any.sa_family == AF_INET) {
		address->port = ntohs(local.in4.sin_port);
		return inet_ntop(AF_INET, &local.in4.sin_addr, address->ip,
				 sizeof(address->ip)) != NULL;
	}
	address->port = ntohs(local.in6.sin6_port);
	return inet_ntop(AF_INET6, &local.in6.sin6_addr, address->ip,
			 sizeof(address->ip)) != NULL;
}

/* Closes the socket and sets the error from errno; returns -1. */
static int set_bind_error(const dws_address_t *address, int fd, GError **error)
{
	int error_number = errno;

	if (fd >= 0)
		close(fd);
	g_set_error(error, DWS_ERROR, DWS_ERROR_SYSTEM,
		    "listen on %s port %u: %s; use an IP address of this VM "
		    "and a free port",
		    address->ip, address->port, g_strerror(error_number));
	return -1;
}

/*
 * Opens a non-blocking socket of the given type, bound to the address; a
 * SOCK_STREAM socket is listening. The caller closes it. Returns -1 with an
 * error if the address can't be used.
 */
int dws_address_open_socket(dws_address_t *address, int type, GError **error)
{
	struct sockaddr_storage storage;
	socklen_t length = 0;
	int on = 1;

	if (!dws_address_to_sockaddr(address, &storage, &length)) {
		errno = EADDRNOTAVAIL;
		return set_bind_error(address, -1, error);
	}
	int fd = socket(storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC,
			0);

	if (fd < 0)
		return set_bind_error(address, fd, error);
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&storage, length) != 0)
		return set_bind_error(address, fd, error);
	if (type == SOCK_STREAM && listen(fd, LISTEN_BACKLOG) != 0)
		return set_bind_error(address, fd, error);
	if (!dws_address_from_socket(fd, address))
		return set_bind_error(address, fd, error);
	return fd;
}

/* Hashes an address for GHashTable. */
guint dws_address_hash(const dws_address_t *address)
{
	return g_str_hash(address->ip) * 31 + address->port;
}
