/*
 * Congestion of the services that nested calls reach: the mean wait of the
 * calls for a slot, as a part of the wait that is tolerated. It is passed up
 * the call tree with each reply, so that a daemon that receives few root
 * requests acts on the measurement of those that send many nested calls.
 */
#ifndef DWS_REQUEST_CONGESTION_H
#define DWS_REQUEST_CONGESTION_H

#include "version/config.h"

typedef struct dws_congestion {
	GHashTable *services; /* service to its counts, owned */
} dws_congestion_t;

/* The congestion that a request has met below it. */
typedef struct dws_congestion_report {
	char service[DWS_NAME_SIZE]; /* the most congested one; "" if none */
	uint32_t permille; /* its congestion, in 1/1000 */
	bool call_refused; /* a nested call was refused for lack of capacity */
} dws_congestion_report_t;

/* Adds a report: the higher congestion is kept, and whether calls failed. */
void dws_congestion_report_merge(dws_congestion_report_t *report,
				 const dws_congestion_report_t *other);

/* Initializes caller-provided memory. */
void dws_congestion_init(dws_congestion_t *congestion);
void dws_congestion_finish(dws_congestion_t *congestion);
/*
 * Counts a nested call that waited for wait_us; one that was refused waited for
 * max_wait_us, the wait that is tolerated.
 */
void dws_congestion_record(dws_congestion_t *congestion, int64_t now_us,
			   const char *service, int64_t wait_us,
			   int64_t max_wait_us);
/*
 * The mean wait of the latest calls, in 1/1000 of what is tolerated, at most
 * 1000; 0 without any call.
 */
uint32_t dws_congestion_permille(const dws_congestion_t *congestion,
				 int64_t now_us, const char *service);

#endif
