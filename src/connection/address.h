/*
 * Network addresses of processes.
 */
#ifndef DWS_CONNECTION_ADDRESS_H
#define DWS_CONNECTION_ADDRESS_H

#include "dogwoodshift.h"

/* True if IP address, as text, and port are equal. */
bool dws_address_equal(const dws_address_t *a, const dws_address_t *b);

#endif
