/*
 * Congestion of services, counted in time buckets.
 */
#include "request/congestion.h"

#include <string.h>

#define BUCKET_US (100 * DWS_US_PER_MS)
/* Buckets kept, with the incomplete newest one. */
#define BUCKETS 4
/* Services counted at most; all are dropped when it is reached. */
#define MAX_SERVICES 1024
#define PERMILLE 1000

/* Nested calls of one service by time bucket. */
typedef struct counts {
	int64_t bucket; /* newest bucket: its start time / BUCKET_US */
	uint32_t calls[BUCKETS];
	uint64_t waits[BUCKETS]; /* total, in 1/1000 of the tolerated wait */
} counts_t;

void dws_congestion_report_merge(dws_congestion_report_t *report,
				 const dws_congestion_report_t *other)
{
	report->call_refused |= other->call_refused;
	if (other->permille <= report->permille)
		return;
	report->permille = other->permille;
	g_strlcpy(report->service, other->service, sizeof(report->service));
}

void dws_congestion_init(dws_congestion_t *congestion)
{
	congestion->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void dws_congestion_finish(dws_congestion_t *congestion)
{
	g_hash_table_destroy(congestion->services);
	congestion->services = NULL;
}

static counts_t *get_counts(dws_congestion_t *congestion, const char *service)
{
	counts_t *counts = g_hash_table_lookup(congestion->services, service);

	if (counts)
		return counts;
	if (g_hash_table_size(congestion->services) >= MAX_SERVICES)
		g_hash_table_remove_all(congestion->services);
	counts = g_new0(counts_t, 1);
	g_hash_table_insert(congestion->services, g_strdup(service), counts);
	return counts;
}

/* Advances to a bucket; clears those that are older than the kept ones. */
static void advance(counts_t *counts, int64_t bucket)
{
	if (bucket - counts->bucket >= BUCKETS) {
		memset(counts, 0, sizeof(*counts));
		counts->bucket = bucket;
	}
	while (counts->bucket < bucket) {
		counts->bucket++;
		counts->calls[counts->bucket % BUCKETS] = 0;
		counts->waits[counts->bucket % BUCKETS] = 0;
	}
}

void dws_congestion_record(dws_congestion_t *congestion, int64_t now_us,
			   const char *service, int64_t wait_us,
			   int64_t max_wait_us)
{
	counts_t *counts = get_counts(congestion, service);
	int64_t permille = wait_us * PERMILLE / MAX(max_wait_us, 1);

	advance(counts, now_us / BUCKET_US);
	counts->calls[counts->bucket % BUCKETS]++;
	counts->waits[counts->bucket % BUCKETS] +=
		(uint64_t)CLAMP(permille, 0, PERMILLE);
}

uint32_t dws_congestion_permille(const dws_congestion_t *congestion,
				 int64_t now_us, const char *service)
{
	const counts_t *counts =
		g_hash_table_lookup(congestion->services, service);
	int64_t newest = now_us / BUCKET_US;
	uint64_t calls = 0;
	uint64_t waits = 0;

	for (int64_t i = 0; counts && i < BUCKETS; i++) {
		int64_t bucket = counts->bucket - i;

		if (bucket < 0 || newest - bucket >= BUCKETS)
			break;
		calls += counts->calls[bucket % BUCKETS];
		waits += counts->waits[bucket % BUCKETS];
	}
	return calls ? (uint32_t)(waits / calls) : 0;
}
