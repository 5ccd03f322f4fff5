/*
 * Counters and fixed-bucket histograms, and their text formats.
 */
#include <string.h>
#include "process/counters.h"

/* Upper bound of the first bucket; the bound doubles with each bucket. */
#define FIRST_BUCKET_US 64

static const char *const counter_names[DWS_COUNT_COUNT] = {
	[DWS_COUNT_CALLS] = "calls",
	[DWS_COUNT_NESTED_CALLS] = "nested_calls",
	[DWS_COUNT_COMPLETE] = "complete",
	[DWS_COUNT_NOT_RUN] = "not_run",
	[DWS_COUNT_UNKNOWN] = "unknown",
	[DWS_COUNT_REFUSED_OVERLOAD] = "refused_overload",
	[DWS_COUNT_REFUSED_DEADLINE] = "refused_deadline",
	[DWS_COUNT_REFUSED_BUDGET] = "refused_budget",
	[DWS_COUNT_HELD] = "held",
	[DWS_COUNT_ATTEMPTS] = "attempts",
	[DWS_COUNT_RETRIES] = "retries",
	[DWS_COUNT_DISPATCHES] = "dispatches",
	[DWS_COUNT_JOINED] = "joined",
	[DWS_COUNT_TICKETS] = "tickets",
	[DWS_COUNT_RECALLS] = "recalls",
	[DWS_COUNT_LATE_ANSWERS] = "late_answers",
	[DWS_COUNT_SLOWED] = "slowed",
	[DWS_COUNT_FRAMES_IN] = "frames_in",
	[DWS_COUNT_FRAMES_OUT] = "frames_out",
	[DWS_COUNT_FRAME_BYTES_IN] = "frame_bytes_in",
	[DWS_COUNT_FRAME_BYTES_OUT] = "frame_bytes_out",
	[DWS_COUNT_DATAGRAMS_IN] = "datagrams_in",
	[DWS_COUNT_DATAGRAMS_OUT] = "datagrams_out",
	[DWS_COUNT_DATAGRAM_BYTES_IN] = "datagram_bytes_in",
	[DWS_COUNT_DATAGRAM_BYTES_OUT] = "datagram_bytes_out",
	[DWS_COUNT_BAD_MESSAGES] = "bad_messages",
	[DWS_COUNT_PLATFORM_READS] = "platform_reads",
	[DWS_COUNT_PLATFORM_FAILURES] = "platform_failures",
	[DWS_COUNT_PLATFORM_STAND_INS] = "platform_stand_ins",
	[DWS_COUNT_CONFIG_ACCEPTED] = "config_accepted",
	[DWS_COUNT_CONFIG_REJECTED] = "config_rejected",
	[DWS_COUNT_CONFIG_OLDER] = "config_older",
	[DWS_COUNT_CONFIG_CONFLICTS] = "config_conflicts",
	[DWS_COUNT_CONFIG_INVALID] = "config_invalid",
	[DWS_COUNT_PAUSES] = "loop_gaps",
	[DWS_COUNT_CONNECTIONS] = "connections",
	[DWS_COUNT_REFUSED_DOWNSTREAM] = "refused_crowded",
	[DWS_COUNT_REFUSED_SHED] = "refused_shed",
	[DWS_COUNT_UPSTREAM_LOST] = "upstream_lost",
	[DWS_COUNT_FRAMES_REFUSED] = "frames_refused",
	[DWS_COUNT_REFUSED_MEMORY] = "refused_memory",
	[DWS_COUNT_ANSWERS_DROPPED] = "answers_dropped",
	[DWS_COUNT_UNREAD_CLOSED] = "unread_closed",
	[DWS_COUNT_INPUT_CLOSED] = "input_closed",
	[DWS_COUNT_CONNECTIONS_EVICTED] = "connections_evicted",
	[DWS_COUNT_CONNECTIONS_REFUSED] = "connections_refused",
	[DWS_COUNT_STREAMS_TIMED_OUT] = "streams_timed_out",
	[DWS_COUNT_STALLED_CLOSED] = "stalled_closed",
	[DWS_COUNT_SURPLUS_CLOSED] = "surplus_closed",
};

static const char *const histogram_names[DWS_HIST_COUNT] = {
	[DWS_HIST_CALL] = "call",	  [DWS_HIST_QUEUE] = "queue",
	[DWS_HIST_HOLD] = "hold",	  [DWS_HIST_UPSTREAM] = "upstream",
	[DWS_HIST_LOAD_AGE] = "load_age",
};

/* Returns the inclusive upper bound of a bucket other than the last. */
static uint64_t bucket_bound_us(uint32_t bucket)
{
	return (uint64_t)FIRST_BUCKET_US << bucket;
}

/* Returns the first bucket whose bound is not below the duration. */
static uint32_t bucket_of(int64_t duration_us)
{
	uint32_t bucket = 0;

	while (bucket < DWS_HIST_BUCKETS - 1 &&
	       (uint64_t)duration_us > bucket_bound_us(bucket))
		bucket++;
	return bucket;
}

void dws_counters_init(dws_counters_t *counters)
{
	memset(counters, 0, sizeof(*counters));
}

void dws_counters_add(dws_counters_t *counters, dws_counter_t counter,
		      uint64_t amount)
{
	counters->counts[counter] += amount;
}

void dws_counters_observe(dws_counters_t *counters, dws_histogram_t histogram,
			  int64_t duration_us)
{
	if (duration_us < 0)
		duration_us = 0;
	counters->buckets[histogram][bucket_of(duration_us)]++;
	counters->sums_us[histogram] += (uint64_t)duration_us;
}

static void append_histogram(GString *text, const dws_counters_t *counters,
			     dws_histogram_t histogram)
{
	const uint64_t *buckets = counters->buckets[histogram];
	const char *name = histogram_names[histogram];
	uint64_t total = 0;
	uint64_t cumulative = 0;

	for (uint32_t i = 0; i < DWS_HIST_BUCKETS; i++)
		total += buckets[i];
	for (uint32_t i = 0; i < DWS_HIST_BUCKETS - 1 && cumulative < total;
	     i++) {
		cumulative += buckets[i];
		g_string_append_printf(text,
				       "%s_le_%" G_GUINT64_FORMAT
				       " %" G_GUINT64_FORMAT "\n",
				       name, bucket_bound_us(i), cumulative);
	}
	g_string_append_printf(text, "%s_count %" G_GUINT64_FORMAT "\n", name,
			       total);
	g_string_append_printf(text, "%s_sum_us %" G_GUINT64_FORMAT "\n", name,
			       counters->sums_us[histogram]);
}

char *dws_counters_text(const dws_counters_t *counters)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < DWS_COUNT_COUNT; i++)
		g_string_append_printf(text, "%s %" G_GUINT64_FORMAT "\n",
				       counter_names[i], counters->counts[i]);
	for (int i = 0; i < DWS_HIST_COUNT; i++)
		append_histogram(text, counters, i);
	return g_string_free(text, FALSE);
}

/* Appends a histogram in the Prometheus text format, in seconds. */
static void append_prometheus_histogram(GString *text,
					const dws_counters_t *counters,
					dws_histogram_t histogram)
{
	const uint64_t *buckets = counters->buckets[histogram];
	const char *name = histogram_names[histogram];
	uint64_t cumulative = 0;

	g_string_append_printf(
		text, "# TYPE dogwoodshift_%s_seconds histogram\n", name);
	for (uint32_t i = 0; i < DWS_HIST_BUCKETS - 1; i++) {
		cumulative += buckets[i];
		g_string_append_printf(
			text,
			"dogwoodshift_%s_seconds_bucket{le=\"%.6f\"} "
			"%" G_GUINT64_FORMAT "\n",
			name, (double)bucket_bound_us(i) / DWS_US_PER_S,
			cumulative);
	}
	cumulative += buckets[DWS_HIST_BUCKETS - 1];
	g_string_append_printf(
		text,
		"dogwoodshift_%s_seconds_bucket{le=\"+Inf\"} "
		"%" G_GUINT64_FORMAT "\n"
		"dogwoodshift_%s_seconds_sum %.6f\n"
		"dogwoodshift_%s_seconds_count %" G_GUINT64_FORMAT "\n",
		name, cumulative, name,
		(double)counters->sums_us[histogram] / DWS_US_PER_S, name,
		cumulative);
}

char *dws_counters_prometheus(const dws_counters_t *counters)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < DWS_COUNT_COUNT; i++)
		g_string_append_printf(text,
				       "# TYPE dogwoodshift_%s_total counter\n"
				       "dogwoodshift_%s_total "
				       "%" G_GUINT64_FORMAT "\n",
				       counter_names[i], counter_names[i],
				       counters->counts[i]);
	for (int i = 0; i < DWS_HIST_COUNT; i++)
		append_prometheus_histogram(text, counters, i);
	return g_string_free(text, FALSE);
}

const char *dws_counter_name(dws_counter_t counter)
{
	if ((unsigned int)counter >= DWS_COUNT_COUNT)
		return "unknown-value";
	return counter_names[counter];
}
