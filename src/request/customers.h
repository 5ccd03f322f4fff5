/*
 * Limits the retries of each customer by a token bucket. Any request of a
 * customer shortly after a failed one counts as a retry, also one of another
 * kind. Customers without failures take up no memory.
 */
#ifndef DWS_REQUEST_CUSTOMERS_H
#define DWS_REQUEST_CUSTOMERS_H

#include "dogwoodshift.h"

typedef struct dws_customers {
	GHashTable *buckets; /* customer name to its token bucket */
} dws_customers_t;

void dws_customers_init(dws_customers_t *customers);
void dws_customers_finish(dws_customers_t *customers);
/* Records the failure of a request of a customer. */
void dws_customers_failed(dws_customers_t *customers, int64_t now_us,
			  const char *name);
/*
 * True if a request of a customer is allowed; a retry takes a token. A rate of
 * 0 disables the limit.
 */
bool dws_customers_allow(dws_customers_t *customers, int64_t now_us,
			 const char *name, uint32_t retries_per_min);

#endif
