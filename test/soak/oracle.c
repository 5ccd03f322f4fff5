/*
 * The record of a soak and its promises.
 */
#include "soak/oracle.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Upstreams that one caller's attempt may be sent to, by the routes. */
#define MAX_UPSTREAMS_PER_REQUEST 2
/* The shared budget of repeats, as the daemons' settings have it. */
#define RETRY_RATIO 0.2
#define RETRY_SLACK 50
#define RETRY_WINDOW_US (10 * G_USEC_PER_SEC)
#define RETRY_WINDOW_STEP_US (G_USEC_PER_SEC / 2)
/* By which an upstream may be told more time than its caller has. */
#define DEADLINE_SLACK_US (500 * 1000)
#define BODY_MAX_BYTES 6000
#define MS_PER_S 1000

/* What reached the upstreams of a service, or was meant to. */
typedef struct traffic {
	GArray *sent_us; /* int64_t, requests */
	GArray *retries_us; /* int64_t, arrivals beyond the first of each */
} traffic_t;

struct oracle {
	GMutex lock;
	guint32 seed;
	int64_t start_us;
	int64_t fault_free_since_us;
	GHashTable *requests; /* id to order_t, owned */
	GHashTable *arrived_ids; /* ids of which one has reached an upstream */
	GHashTable *services; /* name to traffic_t */
	int violations;
	int completed;
	int rejected;
	int unknown_outcomes; /* 502, 504 */
	int executions;
	int deadlines_checked;
};

static void free_request(gpointer data)
{
	request_t *request = data;

	g_ptr_array_free(request->executed_by, TRUE);
	g_free(request);
}

static void free_traffic(gpointer data)
{
	traffic_t *traffic = data;

	g_array_free(traffic->sent_us, TRUE);
	g_array_free(traffic->retries_us, TRUE);
	g_free(traffic);
}

/* Starts a record. */
oracle_t *oracle_new(guint32 seed)
{
	oracle_t *oracle = g_new0(oracle_t, 1);

	g_mutex_init(&oracle->lock);
	oracle->seed = seed;
	oracle->start_us = g_get_monotonic_time();
	oracle->requests = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_request);
	oracle->arrived_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	oracle->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_traffic);
	return oracle;
}

/* Frees a record with all orders. */
void oracle_free(oracle_t *oracle)
{
	g_hash_table_destroy(oracle->requests);
	g_hash_table_destroy(oracle->arrived_ids);
	g_hash_table_destroy(oracle->services);
	g_mutex_clear(&oracle->lock);
	g_free(oracle);
}

static void print_violation(oracle_t *oracle, const char *format,
			    va_list arguments)
{
	char *text = g_strdup_vprintf(format, arguments);

	oracle->violations++;
	printf("seed %u, %.3f s: %s\n", oracle->seed,
	       (double)(g_get_monotonic_time() - oracle->start_us) /
		       G_USEC_PER_SEC,
	       text);
	fflush(stdout);
	g_free(text);
}

/* Reports with the lock held. */
static void G_GNUC_PRINTF(2, 3)
	violations(oracle_t *oracle, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	print_violation(oracle, format, arguments);
	va_end(arguments);
}

/* A promise was broken. */
void oracle_report_violation(oracle_t *oracle, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	g_mutex_lock(&oracle->lock);
	print_violation(oracle, format, arguments);
	g_mutex_unlock(&oracle->lock);
	va_end(arguments);
}

/* Notes since when no fault is on; 0: there is one. */
void oracle_set_fault_free_since(oracle_t *oracle, int64_t since_us)
{
	g_mutex_lock(&oracle->lock);
	oracle->fault_free_since_us = since_us;
	g_mutex_unlock(&oracle->lock);
}

static bool is_fault_free_since(const oracle_t *oracle, int64_t from_us)
{
	return oracle->fault_free_since_us != 0 &&
	       oracle->fault_free_since_us <= from_us;
}

/* True if there was no fault from a time until now. */
bool oracle_is_fault_free_since(oracle_t *oracle, int64_t from_us)
{
	g_mutex_lock(&oracle->lock);
	bool is_fault_free = is_fault_free_since(oracle, from_us);

	g_mutex_unlock(&oracle->lock);
	return is_fault_free;
}

static traffic_t *get_traffic(oracle_t *oracle, const char *service)
{
	traffic_t *traffic = g_hash_table_lookup(oracle->services, service);

	if (traffic)
		return traffic;
	traffic = g_new0(traffic_t, 1);
	traffic->sent_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	traffic->retries_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	g_hash_table_insert(oracle->services, g_strdup(service), traffic);
	return traffic;
}

/* Takes over an order that is about to be sent. */
request_t *oracle_record_request(oracle_t *oracle, request_t *request)
{
	request->executed_by = g_ptr_array_new_with_free_func(g_free);
	g_mutex_lock(&oracle->lock);
	request->sent_us = g_get_monotonic_time();
	g_hash_table_insert(oracle->requests, request->id, request);
	if (!request->is_from_retry)
		g_array_append_val(
			get_traffic(oracle, request->service)->sent_us,
			request->sent_us);
	g_mutex_unlock(&oracle->lock);
	return request;
}

/* Counts what reached an upstream; the second of an id is a repeat. */
static void count_arrival(oracle_t *oracle, const char *id, const char *service)
{
	const request_t *request = g_hash_table_lookup(oracle->requests, id);
	int64_t now_us = g_get_monotonic_time();
	bool is_first = g_hash_table_add(oracle->arrived_ids, g_strdup(id));

	if (!is_first || (request && request->is_from_retry))
		g_array_append_val(get_traffic(oracle, service)->retries_us,
				   now_us);
}

/* A request was turned away by an upstream. */
void oracle_record_rejection(oracle_t *oracle, const char *id,
			     const char *service)
{
	g_mutex_lock(&oracle->lock);
	count_arrival(oracle, id, service);
	g_mutex_unlock(&oracle->lock);
}

/* Upstreams among those that ran an order, each counted once. */
static guint count_distinct_upstreams(const request_t *request)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < request->executed_by->len; i++)
		g_hash_table_add(seen, request->executed_by->pdata[i]);
	guint count = g_hash_table_size(seen);

	g_hash_table_destroy(seen);
	return count;
}

static void check_execution(oracle_t *oracle, const request_t *request,
			    const char *service, const char *caller_service,
			    int64_t time_left_ms)
{
	int64_t end_us = g_get_monotonic_time() + time_left_ms * MS_PER_S;

	if (!request->is_idempotent && request->executed_by->len > 1)
		violations(oracle, "%s: not idempotent, and run twice",
			   request->id);
	if (request->reported_not_executed)
		violations(oracle, "%s: told not run, and run later",
			   request->id);
	if (strcmp(request->service, service) != 0)
		violations(oracle, "%s: run by %s in place of %s", request->id,
			   service, request->service);
	if (g_strcmp0(request->caller_service, caller_service) != 0)
		violations(oracle, "%s: caller is told as %s, not %s",
			   request->id, caller_service,
			   request->caller_service);
	if (request->version && request->version < request->min_version)
		violations(oracle, "%s: version %d in force again after %d",
			   request->id, request->version, request->min_version);
	if (count_distinct_upstreams(request) > MAX_UPSTREAMS_PER_REQUEST)
		violations(oracle, "%s: run by %u upstreams", request->id,
			   count_distinct_upstreams(request));
	if (!is_fault_free_since(oracle, request->sent_us))
		return;
	oracle->deadlines_checked++;
	if (end_us > request->deadline_us + DEADLINE_SLACK_US)
		violations(oracle,
			   "%s: %" G_GINT64_FORMAT " ms over its deadline",
			   request->id,
			   (end_us - request->deadline_us) / MS_PER_S);
}

/* An upstream begins to run a request. */
int oracle_record_execution(oracle_t *oracle, const char *id,
			    const char *upstream_id, const char *service,
			    const char *caller_service, int64_t time_left_ms)
{
	int position = -1;

	g_mutex_lock(&oracle->lock);
	request_t *request = g_hash_table_lookup(oracle->requests, id);

	oracle->executions++;
	count_arrival(oracle, id, service);
	if (request) {
		position = (int)request->executed_by->len;
		g_ptr_array_add(request->executed_by, g_strdup(upstream_id));
		check_execution(oracle, request, service, caller_service,
				time_left_ms);
	} else {
		violations(oracle, "%s: run, and nobody sent it", id);
	}
	g_mutex_unlock(&oracle->lock);
	return position;
}

/* The caller got an answer of a daemon's own. */
void oracle_record_daemon_response(oracle_t *oracle, request_t *request,
				   int status)
{
	bool not_executed = status == 408 || status == 421 || status == 429 ||
			    status == 503;

	g_mutex_lock(&oracle->lock);
	request->reported_not_executed |= not_executed;
	if (not_executed && request->executed_by->len > 0)
		violations(oracle, "%s: status %d, and it had run", request->id,
			   status);
	if (status >= 200 && status < 300)
		violations(oracle, "%s: success without a signature",
			   request->id);
	if (!not_executed && status >= 300 && status < 500 &&
	    !(status == 404 && request->version))
		violations(oracle,
			   "%s (%s, version %d): a proper request got %d",
			   request->id, request->service, request->version,
			   status);
	if (not_executed)
		oracle->rejected++;
	else
		oracle->unknown_outcomes++;
	g_mutex_unlock(&oracle->lock);
}

/* True if an answer is whole and of an upstream that ran the order. */
static bool is_expected_response(const request_t *request,
				 const char *signature, const char *body)
{
	bool found = false;

	for (guint i = 0; i < request->executed_by->len && !found; i++) {
		const char *upstream_id = request->executed_by->pdata[i];
		char *expected_signature =
			oracle_signature(request->id, upstream_id);
		char *expected_body = oracle_body(request->id, upstream_id);

		found = strcmp(signature, expected_signature) == 0 &&
			strcmp(body, expected_body) == 0;
		g_free(expected_signature);
		g_free(expected_body);
	}
	return found;
}

/* The caller got an answer that bears a signature. */
void oracle_record_upstream_response(oracle_t *oracle, request_t *request,
				     int status, const char *signature,
				     const char *body)
{
	g_mutex_lock(&oracle->lock);
	if (!is_expected_response(request, signature, body))
		violations(oracle,
			   "%s: status %d with an answer that is not its "
			   "own or not whole",
			   request->id, status);
	oracle->completed++;
	g_mutex_unlock(&oracle->lock);
}

/* How often an order was run. */
int oracle_execution_count(oracle_t *oracle, const request_t *request)
{
	g_mutex_lock(&oracle->lock);
	int executions = (int)request->executed_by->len;

	g_mutex_unlock(&oracle->lock);
	return executions;
}

static int count_in(const GArray *times_us, int64_t from_us, int64_t to_us)
{
	int count = 0;

	for (guint i = 0; i < times_us->len; i++) {
		int64_t at_us = g_array_index(times_us, int64_t, i);

		count += at_us >= from_us && at_us < to_us;
	}
	return count;
}

/*
 * The repeats at a service in any window are bounded by the requests for it in
 * that window, the one before it or half a window before, whichever has most.
 */
static void check_budget(oracle_t *oracle, const char *service,
			 const traffic_t *traffic, int64_t end_us)
{
	for (int64_t at_us = oracle->start_us; at_us < end_us;
	     at_us += RETRY_WINDOW_STEP_US) {
		int requests = 0;
		int retries = count_in(traffic->retries_us, at_us,
				       at_us + RETRY_WINDOW_US);

		for (int half = 0; half <= 2; half++) {
			int64_t from_us = at_us - half * RETRY_WINDOW_US / 2;

			requests = MAX(requests,
				       count_in(traffic->sent_us, from_us,
						from_us + RETRY_WINDOW_US));
		}
		if (retries > RETRY_RATIO * requests + RETRY_SLACK) {
			violations(oracle, "%s: %d repeats for %d requests",
				   service, retries, requests);
			return;
		}
	}
}

/* Checks what can be told at the end. */
int oracle_finish(oracle_t *oracle)
{
	GHashTableIter iter;
	gpointer service, traffic;

	g_mutex_lock(&oracle->lock);
	g_hash_table_iter_init(&iter, oracle->services);
	while (g_hash_table_iter_next(&iter, &service, &traffic))
		check_budget(oracle, service, traffic, g_get_monotonic_time());
	if (oracle->completed == 0)
		violations(oracle, "nothing was completed");
	printf("seed %u: orders=%u complete=%d refused=%d unknown=%d runs=%d "
	       "deadlines=%d broken=%d\n",
	       oracle->seed, g_hash_table_size(oracle->requests),
	       oracle->completed, oracle->rejected, oracle->unknown_outcomes,
	       oracle->executions, oracle->deadlines_checked,
	       oracle->violations);
	fflush(stdout);
	int count = oracle->violations;

	g_mutex_unlock(&oracle->lock);
	return count;
}

/* The signature of an upstream's answer. */
char *oracle_signature(const char *id, const char *upstream_id)
{
	return g_strdup_printf("sig-%s-%s", id, upstream_id);
}

/* The body of an upstream's answer; its size follows from the id. */
char *oracle_body(const char *id, const char *upstream_id)
{
	GString *body = g_string_new(NULL);
	guint size_bytes = g_str_hash(id) % BODY_MAX_BYTES;

	while (body->len < size_bytes || body->len == 0)
		g_string_append_printf(body, "%s at %s\n", id, upstream_id);
	return g_string_free(body, FALSE);
}
