/*
 * Retry budgets over a sliding window. Requests and retries are counted in time
 * buckets, DWS_RETRY_BUDGET_BUCKETS per window. One bucket more is kept, so
 * that the whole window is covered also while the newest bucket is incomplete.
 */
#include "request/retry_budget.h"

#include <string.h>

/* The buckets of the window and the incomplete newest one. */
#define KEPT_BUCKETS (DWS_RETRY_BUDGET_BUCKETS + 1)
/*
 * Shares of the budget for requests that may have been executed (RUN_SHARE) and
 * for requests that were refused before execution (REFUSED_SHARE). When a
 * request is executed again, its nested calls are retries as well and have to
 * fit into the budgets of the services that they call.
 */
#define RUN_SHARE 0.2
#define REFUSED_SHARE 0.6

/* Counts of one service by time bucket. */
typedef struct counts {
	int64_t bucket; /* newest bucket: its start time / bucket_us */
	uint32_t requests[KEPT_BUCKETS];
	uint32_t retries[KEPT_BUCKETS];
} counts_t;

/* Initializes caller-provided memory. */
void dws_retry_budget_init(dws_retry_budget_t *budget, double ratio,
			   uint32_t allowance, int64_t window_us)
{
	budget->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	dws_retry_budget_configure(budget, ratio, allowance, window_us);
}

void dws_retry_budget_finish(dws_retry_budget_t *budget)
{
	g_hash_table_destroy(budget->services);
	budget->services = NULL;
}

void dws_retry_budget_configure(dws_retry_budget_t *budget, double ratio,
				uint32_t allowance, int64_t window_us)
{
	int64_t bucket_us = MAX(window_us / DWS_RETRY_BUDGET_BUCKETS, 1);

	if (budget->bucket_us != bucket_us)
		g_hash_table_remove_all(budget->services);
	budget->ratio = ratio;
	budget->allowance = allowance;
	budget->bucket_us = bucket_us;
}

/* Advances to the given bucket; clears those that have left the window. */
static void advance(counts_t *counts, int64_t bucket)
{
	if (bucket - counts->bucket >= KEPT_BUCKETS) {
		memset(counts, 0, sizeof(*counts));
		counts->bucket = bucket;
	}
	while (counts->bucket < bucket) {
		counts->bucket++;
		counts->requests[counts->bucket % KEPT_BUCKETS] = 0;
		counts->retries[counts->bucket % KEPT_BUCKETS] = 0;
	}
}

/* Finds or creates the counts of a service, advanced to the present time. */
static counts_t *get_counts(dws_retry_budget_t *budget, int64_t now_us,
			    const char *service)
{
	int64_t bucket = now_us / budget->bucket_us;
	counts_t *counts = g_hash_table_lookup(budget->services, service);

	if (!counts) {
		counts = g_new0(counts_t, 1);
		counts->bucket = bucket;
		g_hash_table_insert(budget->services, g_strdup(service),
				    counts);
	}
	advance(counts, bucket);
	return counts;
}

static uint32_t sum(const uint32_t values[KEPT_BUCKETS])
{
	uint32_t total = 0;

	for (int i = 0; i < KEPT_BUCKETS; i++)
		total += values[i];
	return total;
}

void dws_retry_budget_add_request(dws_retry_budget_t *budget, int64_t now_us,
				  const char *service)
{
	counts_t *counts = get_counts(budget, now_us, service);

	counts->requests[counts->bucket % KEPT_BUCKETS]++;
}

double dws_retry_budget_remaining(dws_retry_budget_t *budget, int64_t now_us,
				  const char *service, uint32_t members,
				  bool may_have_run)
{
	const counts_t *counts = get_counts(budget, now_us, service);
	double allowed = budget->ratio * sum(counts->requests) +
			 (double)budget->allowance / MAX(members, 1);

	return allowed * (may_have_run ? RUN_SHARE : REFUSED_SHARE) -
	       sum(counts->retries);
}

bool dws_retry_budget_try_spend(dws_retry_budget_t *budget, int64_t now_us,
				const char *service, uint32_t members,
				bool may_have_run)
{
	counts_t *counts = get_counts(budget, now_us, service);

	if (dws_retry_budget_remaining(budget, now_us, service, members,
				       may_have_run) < 1.0)
		return false;
	counts->retries[counts->bucket % KEPT_BUCKETS]++;
	return true;
}
