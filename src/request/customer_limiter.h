/*
 * Limits the retries of each customer by a token bucket. Any request of a
 * customer shortly after a failed one counts as a retry, also one of another
 * kind. Customers without failures take up no memory.
 */
#ifndef DWS_REQUEST_CUSTOMER_LIMITER_H
#define DWS_REQUEST_CUSTOMER_LIMITER_H

#include "dogwoodshift.h"

typedef struct dws_customer_limiter {
	GHashTable *buckets; /* customer name to its token bucket */
} dws_customer_limiter_t;

/* Initializes caller-provided memory; no customer has a bucket yet. */
void dws_customer_limiter_init(dws_customer_limiter_t *limiter);
void dws_customer_limiter_finish(dws_customer_limiter_t *limiter);
/* Records the failure of a request of a customer; no effect for "". */
void dws_customer_limiter_record_failure(dws_customer_limiter_t *limiter,
					 int64_t now_us, const char *name);
/*
 * True if a request of a customer is allowed; a retry takes a token. A rate of
 * 0 disables the limit.
 */
bool dws_customer_limiter_allow(dws_customer_limiter_t *limiter, int64_t now_us,
				const char *name, uint32_t retries_per_min);

#endif
