/*
 * Log line on limits that clients have reached: what was refused since the last
 * such line. At most one line a second, however much is refused.
 */
#ifndef DWS_PROCESS_LIMIT_REPORT_H
#define DWS_PROCESS_LIMIT_REPORT_H

#include "process/counters.h"

typedef struct dws_limit_report {
	uint64_t reported[DWS_COUNT_COUNT]; /* values at the last line */
	int64_t due_us; /* earliest time of the next line */
} dws_limit_report_t;

void dws_limit_report_init(dws_limit_report_t *report);
/*
 * Returns the fields of a line, "name=N name=N", to be freed with g_free(); NULL
 * if no limit was reached or the next line is not due.
 */
char *dws_limit_report_next(dws_limit_report_t *report, int64_t now_us,
			    const dws_counters_t *counters);

#endif
