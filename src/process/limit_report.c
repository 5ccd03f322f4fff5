/*
 * Log line on limits that clients have reached.
 */
#include "process/limit_report.h"
#include <string.h>

#define INTERVAL_US DWS_US_PER_S

static const dws_counter_t limits[] = {
	DWS_COUNT_FRAMES_REFUSED,      DWS_COUNT_REFUSED_MEMORY,
	DWS_COUNT_ANSWERS_DROPPED,     DWS_COUNT_UNREAD_CLOSED,
	DWS_COUNT_INPUT_CLOSED,	       DWS_COUNT_CONNECTIONS_EVICTED,
	DWS_COUNT_CONNECTIONS_REFUSED, DWS_COUNT_STREAMS_TIMED_OUT,
	DWS_COUNT_STALLED_CLOSED,
};

void dws_limit_report_init(dws_limit_report_t *report)
{
	memset(report, 0, sizeof(*report));
}

char *dws_limit_report_next(dws_limit_report_t *report, int64_t now_us,
			    const dws_counters_t *counters)
{
	GString *fields;

	if (now_us < report->due_us)
		return NULL;
	report->due_us = now_us + INTERVAL_US;
	fields = g_string_new(NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
		dws_counter_t limit = limits[i];
		uint64_t count =
			counters->counts[limit] - report->reported[limit];

		if (count == 0)
			continue;
		report->reported[limit] = counters->counts[limit];
		g_string_append_printf(fields, "%s%s=%" G_GUINT64_FORMAT,
				       fields->len ? " " : "",
				       dws_counter_name(limit), count);
	}
	return g_string_free(fields, fields->len == 0);
}
