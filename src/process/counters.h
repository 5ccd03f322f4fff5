/*
 * Counters and fixed-bucket histograms of one process. The names of the
 * metrics are in counters.c.
 */
#ifndef DWS_PROCESS_COUNTERS_H
#define DWS_PROCESS_COUNTERS_H

#include "dogwoodshift.h"

typedef enum dws_counter {
	DWS_COUNT_CALLS, /* received from callers */
	DWS_COUNT_NESTED_CALLS, /* received from the local upstream */
	DWS_COUNT_COMPLETE, /* by outcome: see dws_outcome_t */
	DWS_COUNT_NOT_RUN,
	DWS_COUNT_UNKNOWN,
	DWS_COUNT_REFUSED_OVERLOAD, /* by reason: see dws_reason_t */
	DWS_COUNT_REFUSED_DEADLINE,
	DWS_COUNT_REFUSED_BUDGET, /* by a retry or customer budget */
	DWS_COUNT_HELD, /* sent after being held */
	DWS_COUNT_ATTEMPTS, /* sent to an executing daemon */
	DWS_COUNT_RETRIES, /* attempts after the first of a request */
	DWS_COUNT_DISPATCHES, /* sent to the local upstream */
	DWS_COUNT_JOINED, /* answered from the ledger or a running attempt */
	DWS_COUNT_TICKETS, /* issued */
	DWS_COUNT_RECALLS, /* Recall messages sent to an executing daemon */
	DWS_COUNT_LATE_ANSWERS, /* received when no caller was waiting */
	DWS_COUNT_SLOWED, /* delayed by a planned slowdown */
	DWS_COUNT_FRAMES_IN,
	DWS_COUNT_FRAMES_OUT,
	DWS_COUNT_FRAME_BYTES_IN,
	DWS_COUNT_FRAME_BYTES_OUT,
	DWS_COUNT_DATAGRAMS_IN,
	DWS_COUNT_DATAGRAMS_OUT,
	DWS_COUNT_DATAGRAM_BYTES_IN,
	DWS_COUNT_DATAGRAM_BYTES_OUT,
	DWS_COUNT_BAD_MESSAGES, /* malformed frames and datagrams */
	DWS_COUNT_PLATFORM_READS,
	DWS_COUNT_PLATFORM_FAILURES,
	DWS_COUNT_PLATFORM_STAND_INS, /* times it read in place of others */
	DWS_COUNT_CONFIG_ACCEPTED,
	DWS_COUNT_CONFIG_REJECTED,
	DWS_COUNT_CONFIG_OLDER, /* logs ending before the local sequence */
	DWS_COUNT_CONFIG_CONFLICTS, /* logs that contradict the local one */
	DWS_COUNT_CONFIG_INVALID, /* malformed or too large logs */
	DWS_COUNT_PAUSES, /* detected pauses of the process */
	DWS_COUNT_CONNECTIONS, /* accepted from callers */
	DWS_COUNT_REFUSED_DOWNSTREAM, /* a called service is overloaded */
	DWS_COUNT_REFUSED_SHED, /* shed by the upstream */
	DWS_COUNT_UPSTREAM_LOST, /* response of the upstream lost */
	DWS_COUNT_FRAMES_REFUSED, /* for lack of memory */
	DWS_COUNT_REFUSED_MEMORY, /* requests, before they were received */
	DWS_COUNT_ANSWERS_DROPPED, /* for lack of memory */
	DWS_COUNT_UNREAD_CLOSED, /* connections whose clients read nothing */
	DWS_COUNT_INPUT_CLOSED, /* connections with too many requests */
	DWS_COUNT_CONNECTIONS_EVICTED, /* closed to make room for others */
	DWS_COUNT_CONNECTIONS_REFUSED, /* closed at once, without room */
	DWS_COUNT_STREAMS_TIMED_OUT, /* of peers, without a whole frame */
	DWS_COUNT_STALLED_CLOSED, /* connections, while memory was scarce */
	DWS_COUNT_SURPLUS_CLOSED, /* idle connections that sent something */
	DWS_COUNT_COUNT
} dws_counter_t;

typedef enum dws_histogram {
	DWS_HIST_CALL, /* from arrival to response */
	DWS_HIST_QUEUE, /* queued for the local upstream */
	DWS_HIST_HOLD, /* held until an endpoint had capacity */
	DWS_HIST_UPSTREAM, /* from dispatch to response of the upstream */
	DWS_HIST_LOAD_AGE, /* age of the load report used for routing */
	DWS_HIST_COUNT
} dws_histogram_t;

/* Upper bounds double from 64 us; the last bucket has no upper bound. */
#define DWS_HIST_BUCKETS 24

struct dws_counters {
	uint64_t counts[DWS_COUNT_COUNT];
	uint64_t buckets[DWS_HIST_COUNT][DWS_HIST_BUCKETS];
	uint64_t sums_us[DWS_HIST_COUNT];
};

/* Initializes caller-provided memory; all counts are 0. */
void dws_counters_init(dws_counters_t *counters);
void dws_counters_add(dws_counters_t *counters, dws_counter_t counter,
		      uint64_t amount);
/* Adds a duration to a histogram; negative ones count as 0 us. */
void dws_counters_observe(dws_counters_t *counters, dws_histogram_t histogram,
			  int64_t duration_us);
/*
 * Formats all counters and histograms as lines "name value". Histograms have
 * lines "name_le_US" with cumulative counts, up to the first bound that covers
 * every entry, then "name_count" and "name_sum_us". Free with g_free().
 */
char *dws_counters_text(const dws_counters_t *counters);
/*
 * Formats all counters and histograms in the Prometheus text format, durations
 * in seconds. Free with g_free().
 */
char *dws_counters_prometheus(const dws_counters_t *counters);
/* Returns a counter's name; "unknown-value" for numbers out of range. */
const char *dws_counter_name(dws_counter_t counter);

#endif
