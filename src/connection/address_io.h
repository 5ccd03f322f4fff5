/*
 * Conversion of addresses to and from socket addresses.
 */
#ifndef DWS_CONNECTION_ADDRESS_IO_H
#define DWS_CONNECTION_ADDRESS_IO_H

#include <sys/socket.h>
#include "connection/address.h"

/*
 * Opens a non-blocking socket bound to an address; SOCK_STREAM also listens.
 * Port 0 is replaced by the port actually bound. Returns -1 with an error.
 */
int dws_address_open_socket(dws_address_t *address, int type, GError **error);
/* Converts to a socket address; false if the text is no IP address. */
bool dws_address_to_sockaddr(const dws_address_t *address,
			     struct sockaddr_storage *storage,
			     socklen_t *length);
/* Gets the local address of a socket; false if the system call fails. */
bool dws_address_from_socket(int fd, dws_address_t *address);
/* Hashes an address for GHashTable. */
guint dws_address_hash(const dws_address_t *address);

#endif
