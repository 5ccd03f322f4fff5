/*
 * IP numbers and ports as the socket functions take them.
 */
#ifndef DWS_CONNECTION_ADDRESS_IO_H
#define DWS_CONNECTION_ADDRESS_IO_H

#include <sys/socket.h>
#include "connection/address.h"

/* Opens a socket bound to an address; port 0 is replaced by the real one. */
int dws_address_bind(dws_address_t *address, int type, GError **error);
bool dws_address_encode(const dws_address_t *address,
			struct sockaddr_storage *storage, socklen_t *length);
bool dws_address_of_socket(int fd, dws_address_t *address);
guint dws_address_hash(const dws_address_t *address);

#endif
