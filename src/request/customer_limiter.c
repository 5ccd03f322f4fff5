/*
 * Limits the retries of each customer by a token bucket.
 */
#include "request/customer_limiter.h"

/* A request within this time after a failure counts as a retry. */
#define RETRY_WINDOW_US (10 * DWS_US_PER_S)
#define US_PER_MIN (60 * DWS_US_PER_S)
/* At this number of buckets, the retries of further customers are unlimited. */
#define MAX_BUCKETS 4096

typedef struct bucket {
	double used; /* tokens taken and not yet refilled */
	int64_t updated_us; /* time of the last refill */
	int64_t failed_us; /* time of the last failure */
} bucket_t;

/* Initializes caller-provided memory. */
void dws_customer_limiter_init(dws_customer_limiter_t *limiter)
{
	limiter->buckets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void dws_customer_limiter_finish(dws_customer_limiter_t *limiter)
{
	g_hash_table_destroy(limiter->buckets);
}

/* True if the last failure of a customer is more than a minute ago. */
static gboolean is_expired(gpointer name, gpointer value, gpointer now_us)
{
	return ((bucket_t *)value)->failed_us + US_PER_MIN < *(int64_t *)now_us;
}

/* Records the failure of a request of a customer; no effect for "". */
void dws_customer_limiter_record_failure(dws_customer_limiter_t *limiter,
					 int64_t now_us, const char *name)
{
	bucket_t *bucket = g_hash_table_lookup(limiter->buckets, name);

	if (name[0] == '\0')
		return;
	if (!bucket) {
		if (g_hash_table_size(limiter->buckets) >= MAX_BUCKETS)
			g_hash_table_foreach_remove(limiter->buckets,
						    is_expired, &now_us);
		if (g_hash_table_size(limiter->buckets) >= MAX_BUCKETS)
			return;
		bucket = g_new0(bucket_t, 1);
		bucket->updated_us = now_us;
		g_hash_table_insert(limiter->buckets, g_strdup(name), bucket);
	}
	bucket->failed_us = now_us;
}

/* True if a request of a customer is allowed; a retry takes a token. */
bool dws_customer_limiter_allow(dws_customer_limiter_t *limiter, int64_t now_us,
				const char *name, uint32_t retries_per_min)
{
	bucket_t *bucket = g_hash_table_lookup(limiter->buckets, name);
	double refilled;

	if (!bucket || retries_per_min == 0 ||
	    now_us - bucket->failed_us > RETRY_WINDOW_US)
		return true;
	refilled = (double)(now_us - bucket->updated_us) * retries_per_min /
		   US_PER_MIN;
	bucket->updated_us = now_us;
	bucket->used = MAX(bucket->used - refilled, 0.0);
	if (bucket->used + 1 > retries_per_min)
		return false;
	bucket->used += 1;
	return true;
}
