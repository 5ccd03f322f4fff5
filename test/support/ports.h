/*
 * Free ports of this machine, for programs that must be told theirs.
 */
#ifndef DWS_TEST_PORTS_H
#define DWS_TEST_PORTS_H

#include <stdint.h>

/*
 * Where test programs listen. Outgoing connections to loopback come from
 * 127.0.0.1, so none of them can take a port that is reserved here.
 */
#define LISTEN_IP "127.0.0.2"

/* Reserves a free loopback port until the socket put into fd is closed. */
uint16_t port_reserve(int type, int *fd);

#endif
