/*
 * Free ports of this machine, for programs that must be told theirs.
 */
#ifndef DWS_TEST_PORTS_H
#define DWS_TEST_PORTS_H

#include <stdint.h>

/* Reserves a free loopback port until the socket put into fd is closed. */
uint16_t port_reserve(int type, int *fd);

#endif
