/*
 * Addresses of processes.
 */
#ifndef DWS_CONNECTION_ADDRESS_H
#define DWS_CONNECTION_ADDRESS_H

#include "dogwoodshift.h"

/* Tells whether two addresses are the same. */
bool dws_address_equal(const dws_address_t *a, const dws_address_t *b);

#endif
