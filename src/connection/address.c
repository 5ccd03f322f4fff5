/*
 * Network addresses of processes.
 */
#include "connection/address.h"
#include <string.h>

/* Compares IP addresses, as text, and ports. */
bool dws_address_equal(const dws_address_t *a, const dws_address_t *b)
{
	return a->port == b->port && strcmp(a->ip, b->ip) == 0;
}
