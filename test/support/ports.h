/*
 * Reserves local ports for programs that need a port in their configuration.
 */
#ifndef DWS_TEST_PORTS_H
#define DWS_TEST_PORTS_H

#include <stdint.h>

/*
 * Address on which test programs listen. Outgoing connections on loopback use
 * source address 127.0.0.1, so they cannot occupy a port reserved here.
 */
#define LISTEN_IP "127.0.0.2"

/* Reserves a free loopback port until the socket stored in fd is closed. */
uint16_t port_reserve(int type, int *fd);

#endif
