/*
 * Retry budgets of this process. All daemons together have one budget for each
 * service and sliding window: a ratio of the requests for the service, plus a
 * fixed allowance. The budget is not coordinated: each process spends at most
 * the ratio of its own requests and an equal share of the allowance, so the
 * total is kept when processes start or fail.
 */
#ifndef DWS_REQUEST_RETRY_BUDGET_H
#define DWS_REQUEST_RETRY_BUDGET_H

#include "dogwoodshift.h"

#define DWS_RETRY_BUDGET_BUCKETS 8

typedef struct dws_retry_budget {
	GHashTable *services; /* service name to its counts, owned */
	double ratio; /* retries per request */
	uint32_t allowance; /* further retries per window, for all daemons */
	int64_t bucket_us; /* length of a time bucket */
} dws_retry_budget_t;

/*
 * Initializes caller-provided memory. ratio is in retries per request;
 * allowance is the number of further retries per window, for all daemons.
 */
void dws_retry_budget_init(dws_retry_budget_t *budget, double ratio,
			   uint32_t allowance, int64_t window_us);
void dws_retry_budget_finish(dws_retry_budget_t *budget);
/* Changes the parameters. A new window length resets all counts. */
void dws_retry_budget_configure(dws_retry_budget_t *budget, double ratio,
				uint32_t allowance, int64_t window_us);
/* Counts the first attempt of a request for a service. */
void dws_retry_budget_add_request(dws_retry_budget_t *budget, int64_t now_us,
				  const char *service);
/*
 * Spends one retry. Returns false if the budget of the window is used up.
 * members is the number of processes that share the fixed allowance. Requests
 * that may have been executed have a smaller share of the budget, since their
 * nested calls are retried too, at each service below.
 */
bool dws_retry_budget_try_spend(dws_retry_budget_t *budget, int64_t now_us,
				const char *service, uint32_t members,
				bool may_have_run);
/* Returns the number of retries left now; may be negative. */
double dws_retry_budget_remaining(dws_retry_budget_t *budget, int64_t now_us,
				  const char *service, uint32_t members,
				  bool may_have_run);

#endif
