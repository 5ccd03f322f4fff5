/*
 * Retries by customers. A customer whose request failed a short time ago and
 * who asks again is retrying, whatever the new request is called; a token
 * bucket for each such customer bounds that. Customers without failures cost
 * no memory.
 */
#ifndef DWS_REQUEST_CUSTOMERS_H
#define DWS_REQUEST_CUSTOMERS_H

#include "dogwoodshift.h"

typedef struct dws_customers {
	GHashTable *buckets; /* name to its bucket */
} dws_customers_t;

void dws_customers_init(dws_customers_t *customers);
void dws_customers_finish(dws_customers_t *customers);
/* Notes that a request of a customer failed. */
void dws_customers_failed(dws_customers_t *customers, int64_t now_us,
			  const char *name);
/*
 * Tells whether a customer may ask now; takes a token if it is a retry. A
 * rate of 0 allows all.
 */
bool dws_customers_allow(dws_customers_t *customers, int64_t now_us,
			 const char *name, uint32_t retries_per_min);

#endif
