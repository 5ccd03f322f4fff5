/*
 * Test oracle of a soak: the record of requests and the checks on it.
 */
#include "soak/oracle.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Number of upstreams a request may be sent to: "attempts" of the routes. */
#define MAX_UPSTREAMS_PER_REQUEST 2
/* Retry budget shared by all daemons, as in their settings. */
#define RETRY_RATIO 0.2
#define RETRY_SLACK 50
#define RETRY_WINDOW_US (10 * G_USEC_PER_SEC)
#define RETRY_WINDOW_STEP_US (G_USEC_PER_SEC / 2)
/* The time left at an upstream may end this long after the deadline. */
#define DEADLINE_SLACK_US (500 * 1000)
#define BODY_MAX_BYTES 6000
#define MS_PER_S 1000

/* Requests for a service and their retries. */
typedef struct traffic {
	/* int64_t; one per request, except nested calls of retries. */
	GArray *sent_us;
	/*
	 * int64_t; one per arrival at an upstream that is not the first of its
	 * request, or that is a nested call of a retry.
	 */
	GArray *retries_us;
} traffic_t;

struct oracle {
	GMutex lock;
	guint32 seed;
	int64_t start_us;
	int64_t fault_free_since_us;
	GHashTable *requests; /* ID to request_t, owned */
	GHashTable *arrived_ids; /* set of IDs that reached an upstream */
	GHashTable *services; /* name to traffic_t */
	int violations;
	int completed;
	int rejected; /* 408, 421, 429, 503: not executed */
	int unknown_outcomes; /* any other status; expected: 502, 504 */
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

/* As oracle_report_violation(), but the lock must be held. */
static void G_GNUC_PRINTF(2, 3)
	report_violation(oracle_t *oracle, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	print_violation(oracle, format, arguments);
	va_end(arguments);
}

void oracle_report_violation(oracle_t *oracle, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	g_mutex_lock(&oracle->lock);
	print_violation(oracle, format, arguments);
	g_mutex_unlock(&oracle->lock);
	va_end(arguments);
}

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

/* Returns whether no fault has been active since from_us. */
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

/*
 * Records the arrival of a request at an upstream. Each arrival of an ID after
 * the first, and each nested call of a retry, counts as a retry.
 */
static void count_arrival(oracle_t *oracle, const char *id, const char *service)
{
	const request_t *request = g_hash_table_lookup(oracle->requests, id);
	int64_t now_us = g_get_monotonic_time();
	bool is_first = g_hash_table_add(oracle->arrived_ids, g_strdup(id));

	if (!is_first || (request && request->is_from_retry))
		g_array_append_val(get_traffic(oracle, service)->retries_us,
				   now_us);
}

void oracle_record_rejection(oracle_t *oracle, const char *id,
			     const char *service)
{
	g_mutex_lock(&oracle->lock);
	count_arrival(oracle, id, service);
	g_mutex_unlock(&oracle->lock);
}

/* Counts the distinct upstreams that executed a request. */
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
		report_violation(oracle,
				 "%s: non-idempotent request executed again",
				 request->id);
	if (request->reported_not_executed)
		report_violation(
			oracle,
			"%s: executed after it was reported as not executed",
			request->id);
	if (strcmp(request->service, service) != 0)
		report_violation(oracle,
				 "%s: executed by service %s instead of %s",
				 request->id, service, request->service);
	if (g_strcmp0(request->caller_service, caller_service) != 0)
		report_violation(
			oracle,
			"%s: caller service reported as %s instead of %s",
			request->id, caller_service, request->caller_service);
	if (request->version && request->version < request->min_version)
		report_violation(
			oracle, "%s: configuration %d in effect again after %d",
			request->id, request->version, request->min_version);
	if (count_distinct_upstreams(request) > MAX_UPSTREAMS_PER_REQUEST)
		report_violation(
			oracle, "%s: executed by %u different upstreams",
			request->id, count_distinct_upstreams(request));
	if (!is_fault_free_since(oracle, request->sent_us))
		return;
	oracle->deadlines_checked++;
	if (end_us > request->deadline_us + DEADLINE_SLACK_US)
		report_violation(
			oracle,
			"%s: time left at the upstream ends %" G_GINT64_FORMAT
			" ms after the deadline",
			request->id,
			(end_us - request->deadline_us) / MS_PER_S);
}

int oracle_record_execution(oracle_t *oracle, const char *id,
			    const char *upstream_id, const char *service,
			    const char *caller_service, int64_t time_left_ms)
{
	int prior_executions = -1;

	g_mutex_lock(&oracle->lock);
	request_t *request = g_hash_table_lookup(oracle->requests, id);

	oracle->executions++;
	count_arrival(oracle, id, service);
	if (request) {
		prior_executions = (int)request->executed_by->len;
		g_ptr_array_add(request->executed_by, g_strdup(upstream_id));
		check_execution(oracle, request, service, caller_service,
				time_left_ms);
	} else {
		report_violation(
			oracle, "%s: executed, but not sent by any caller", id);
	}
	g_mutex_unlock(&oracle->lock);
	return prior_executions;
}

void oracle_record_daemon_response(oracle_t *oracle, request_t *request,
				   int status)
{
	bool not_executed = status == 408 || status == 421 || status == 429 ||
			    status == 503;

	g_mutex_lock(&oracle->lock);
	request->reported_not_executed |= not_executed;
	if (not_executed && request->executed_by->len > 0)
		report_violation(oracle,
				 "%s: status %d after it had been executed",
				 request->id, status);
	if (status >= 200 && status < 300)
		report_violation(oracle,
				 "%s: 2xx status without an upstream signature",
				 request->id);
	if (!not_executed && status >= 300 && status < 500 &&
	    !(status == 404 && request->version))
		report_violation(
			oracle,
			"%s (%s, version %d): valid request got status %d",
			request->id, request->service, request->version,
			status);
	if (not_executed)
		oracle->rejected++;
	else
		oracle->unknown_outcomes++;
	g_mutex_unlock(&oracle->lock);
}

/*
 * Returns whether a response is complete and comes from an upstream that
 * executed the request.
 */
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

void oracle_record_upstream_response(oracle_t *oracle, request_t *request,
				     int status, const char *signature,
				     const char *body)
{
	g_mutex_lock(&oracle->lock);
	if (!is_expected_response(request, signature, body))
		report_violation(
			oracle,
			"%s: response with status %d is truncated or not from "
			"an upstream that executed the request",
			request->id, status);
	oracle->completed++;
	g_mutex_unlock(&oracle->lock);
}

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
 * Checks that the retries for a service in any window of RETRY_WINDOW_US stay
 * within the budget. The budget follows from the requests for the service in
 * that window, half a window earlier or one window earlier, whichever has most.
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
			report_violation(
				oracle,
				"%s: %d retries for %d requests exceed the "
				"retry budget",
				service, retries, requests);
			return;
		}
	}
}

int oracle_finish(oracle_t *oracle)
{
	GHashTableIter iter;
	gpointer service, traffic;

	g_mutex_lock(&oracle->lock);
	g_hash_table_iter_init(&iter, oracle->services);
	while (g_hash_table_iter_next(&iter, &service, &traffic))
		check_budget(oracle, service, traffic, g_get_monotonic_time());
	if (oracle->completed == 0)
		report_violation(oracle,
				 "no request received a signed response");
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

char *oracle_signature(const char *id, const char *upstream_id)
{
	return g_strdup_printf("sig-%s-%s", id, upstream_id);
}

/* The size of the body is derived from the request ID. */
char *oracle_body(const char *id, const char *upstream_id)
{
	GString *body = g_string_new(NULL);
	guint size_bytes = g_str_hash(id) % BODY_MAX_BYTES;

	while (body->len < size_bytes || body->len == 0)
		g_string_append_printf(body, "%s at %s\n", id, upstream_id);
	return g_string_free(body, FALSE);
}
