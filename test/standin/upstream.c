/*
 * Takes the place of one or more upstreams: slots, a queue above them, a
 * service time, nested calls, and a record of every execution.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/client.h"
#include "support/program.h"
#include "support/server.h"

#define COLD_FACTOR 10.0
#define NESTED_TIMEOUT_MS 10000
#define CONNECTIONS_PER_UPSTREAM 430

typedef enum close_mode {
	CLOSE_NONE,
	CLOSE_BEFORE, /* drops requests unrun, without an answer */
	CLOSE_AFTER, /* runs them and drops the answer */
} close_mode_t;

/* What all upstreams of the program share. */
typedef struct bench {
	struct ev_loop *loop;
	client_t client;
	GRand *random;
	FILE *record;
	char **nested; /* "POST /a/b=GET /c/d,POST /e/f" */
	int nested_keys;
	int nested_retries;
	int ignore_cancel;
	int fixed;
	int body_bytes;
	int64_t start_us;
	int64_t cold_us;
} bench_t;

typedef struct upstream {
	bench_t *bench;
	server_t server;
	char *daemon; /* listener for nested calls, "IP:PORT" */
	double service_ms;
	int64_t slots;
	int64_t queue_bound;
	bool stalled;
	close_mode_t close;
	int64_t running;
	GQueue waiting; /* job_t * */
} upstream_t;

/* One request and its execution. */
typedef struct job {
	upstream_t *upstream;
	server_request_t *request; /* NULL once answered or gone */
	char *method;
	char *target;
	char *identity;
	char *call;
	char *customer;
	ev_timer timer;
	char **calls; /* nested, NULL if none */
	guint next_call;
	int tries;
	bool failed;
	GString *statuses;
} job_t;

static void start_waiting(upstream_t *upstream);

static void job_free(job_t *job)
{
	g_free(job->method);
	g_free(job->target);
	g_free(job->identity);
	g_free(job->call);
	g_free(job->customer);
	g_strfreev(job->calls);
	if (job->statuses)
		g_string_free(job->statuses, TRUE);
	g_free(job);
}

/* Writes one event of an execution, so that it outlives the process. */
static void record(const job_t *job, const char *event)
{
	FILE *file = job->upstream->bench->record;

	if (!file)
		return;
	fprintf(file, "%s %s %s %s %s %s\n", event, job->identity, job->call,
		job->method, job->target, job->customer);
	fflush(file);
}

/* Ends an execution; the next one that waits gets its slot. */
static void finish(job_t *job)
{
	upstream_t *upstream = job->upstream;
	bench_t *bench = upstream->bench;

	record(job, "finish");
	if (job->request && upstream->close == CLOSE_AFTER) {
		server_drop(job->request);
	} else if (job->request) {
		char *body = http_body(job->target, job->identity,
				       job->statuses->str,
				       (size_t)bench->body_bytes);

		server_answer(job->request, job->failed ? 502 : 200, body,
			      "Content-Type", "text/plain");
		g_free(body);
	}
	job_free(job);
	upstream->running--;
	start_waiting(upstream);
}

static void call_next(job_t *job);

/* Counts the answer of a nested call, or makes it again. */
static void on_nested(void *data, http_exchange_t *exchange)
{
	job_t *job = data;
	bool good = exchange->status == 200;

	if (!good && job->tries < job->upstream->bench->nested_retries) {
		job->tries++;
		call_next(job);
		return;
	}
	g_string_append_printf(job->statuses, "%s%ld",
			       job->statuses->len ? "," : "", exchange->status);
	job->failed = !good;
	job->next_call++;
	job->tries = 0;
	if (good && job->calls[job->next_call])
		call_next(job);
	else
		finish(job);
}

/* Makes the next nested call through the local daemon. */
static void call_next(job_t *job)
{
	bench_t *bench = job->upstream->bench;
	char **parts = g_strsplit(job->calls[job->next_call], " ", 2);
	const char *query = strchr(job->target, '?');
	char *url = g_strdup_printf("http://%s%s%s", job->upstream->daemon,
				    parts[1], query ? query : "");
	char *call = g_strdup_printf("Dogwoodshift-Call: %s", job->call);
	char *key = g_strdup_printf("Idempotency-Key: %s.%u", job->identity,
				    job->next_call);
	const char *const headers[] = {call, bench->nested_keys ? key : NULL,
				       NULL};
	http_exchange_t *exchange = g_new0(http_exchange_t, 1);

	http_init(exchange, parts[0], url, "nested", NESTED_TIMEOUT_MS,
		  headers);
	client_send(&bench->client, exchange, on_nested, job);
	g_strfreev(parts);
	g_free(url);
	g_free(call);
	g_free(key);
}

/* The nested calls of a method and path; NULL if there are none. */
static char **nested_calls(const job_t *job)
{
	char *path = g_strndup(job->target, strcspn(job->target, "?"));
	char *start = g_strdup_printf("%s %s=", job->method, path);
	char **calls = NULL;

	for (char **nested = job->upstream->bench->nested; nested && *nested;
	     nested++) {
		if (!calls && g_str_has_prefix(*nested, start))
			calls = g_strsplit(*nested + strlen(start), ",", -1);
	}
	g_free(path);
	g_free(start);
	return calls;
}

static void on_served(struct ev_loop *loop, ev_timer *timer, int events)
{
	job_t *job = timer->data;

	if (job->calls)
		call_next(job);
	else
		finish(job);
}

/* The own time of one execution, in seconds. */
static double service_time_s(const upstream_t *upstream)
{
	bench_t *bench = upstream->bench;
	double time_s = upstream->service_ms / 1000.0;

	if (!bench->fixed)
		time_s *= -log(1.0 - g_rand_double(bench->random));
	if (program_now_us() - bench->start_us < bench->cold_us)
		time_s *= COLD_FACTOR;
	return time_s;
}

/* Starts an execution on a free slot. */
static void start(job_t *job)
{
	upstream_t *upstream = job->upstream;

	upstream->running++;
	job->statuses = g_string_new(NULL);
	job->calls = nested_calls(job);
	record(job, "start");
	ev_timer_init(&job->timer, on_served, service_time_s(upstream), 0.0);
	job->timer.data = job;
	ev_timer_start(upstream->bench->loop, &job->timer);
}

static void start_waiting(upstream_t *upstream)
{
	while (!upstream->stalled && upstream->running < upstream->slots &&
	       !g_queue_is_empty(&upstream->waiting))
		start(g_queue_pop_head(&upstream->waiting));
}

static char *header_or_dash(server_request_t *request, const char *name)
{
	const char *value = server_header(request, name);

	return g_strdup(value && *value ? value : "-");
}

/* Queues a request, or sheds it when the queue is full. */
static void serve(upstream_t *upstream, server_request_t *request)
{
	job_t *job;

	if (upstream->close == CLOSE_BEFORE) {
		server_drop(request);
		return;
	}
	if (g_queue_get_length(&upstream->waiting) >= upstream->queue_bound) {
		server_answer(request, 503, "shed\n", "Dogwoodshift-Outcome",
			      "not-run");
		return;
	}
	job = g_new0(job_t, 1);
	job->upstream = upstream;
	job->request = request;
	job->method = g_strdup(request->method);
	job->target = g_strdup(request->target);
	job->identity = header_or_dash(request, "Idempotency-Key");
	job->call = header_or_dash(request, "Dogwoodshift-Call");
	job->customer = header_or_dash(request, "Dogwoodshift-Customer");
	request->data = job;
	g_queue_push_tail(&upstream->waiting, job);
	start_waiting(upstream);
}

/* Changes the behaviour of one upstream while it runs. */
static void control(upstream_t *upstream, server_request_t *request)
{
	const char *mode = server_query(request, "close");

	if (mode)
		upstream->close = strcmp(mode, "before") == 0  ? CLOSE_BEFORE
				  : strcmp(mode, "after") == 0 ? CLOSE_AFTER
							       : CLOSE_NONE;
	upstream->service_ms = (double)server_number(
		request, "service_ms", (int64_t)upstream->service_ms);
	upstream->slots = server_number(request, "slots", upstream->slots);
	upstream->queue_bound =
		server_number(request, "queue", upstream->queue_bound);
	upstream->stalled = server_number(request, "stall", upstream->stalled);
	start_waiting(upstream);
	server_answer(request, 200, "ok\n", NULL, NULL);
}

static void on_request(void *context, server_request_t *request)
{
	upstream_t *upstream = context;

	if (strcmp(request->path, "/control") == 0)
		control(upstream, request);
	else
		serve(upstream, request);
}

static void on_gone(void *context, server_request_t *request)
{
	upstream_t *upstream = context;
	job_t *job = request->data;

	job->request = NULL;
	if (upstream->bench->ignore_cancel)
		return;
	if (g_queue_remove(&upstream->waiting, job)) {
		job_free(job);
	} else if (ev_is_active(&job->timer)) {
		ev_timer_stop(upstream->bench->loop, &job->timer);
		record(job, "cancel");
		job_free(job);
		upstream->running--;
		start_waiting(upstream);
	}
}

/* Starts one upstream as described by "PORT,slots=N,service_ms=N,...". */
static uint16_t add_upstream(bench_t *bench, const char *spec)
{
	static const server_ops_t ops = {on_request, on_gone};
	upstream_t *upstream = g_new0(upstream_t, 1);
	long port = strtol(spec, NULL, 10);

	upstream->bench = bench;
	upstream->daemon = program_value(spec, "daemon");
	upstream->slots = program_number(spec, "slots", 55);
	upstream->service_ms = (double)program_number(spec, "service_ms", 20);
	upstream->queue_bound = program_number(spec, "queue", 1000);
	g_queue_init(&upstream->waiting);
	server_start(&upstream->server, bench->loop, (uint16_t)port, &ops,
		     upstream);
	return upstream->server.port;
}

int main(int argc, const char **argv)
{
	int max_seconds = 600, seed = 1, cold_s = 0;
	char **listens = NULL, *file = NULL;
	bench_t bench = {.loop = ev_default_loop(0)};
	const struct poptOption options[] = {
		{"listen", 0, POPT_ARG_ARGV, &listens, 0,
		 "an upstream: port, slots, service_ms, queue, daemon",
		 "PORT,KEY=VALUE..."},
		{"nested", 0, POPT_ARG_ARGV, &bench.nested, 0, "nested calls",
		 "CALL=CALL,CALL"},
		{"nested-keys", 0, POPT_ARG_NONE, &bench.nested_keys, 0,
		 "send Idempotency-Key", NULL},
		{"nested-retries", 0, POPT_ARG_INT, &bench.nested_retries, 0,
		 "own retries", "N"},
		{"ignore-cancel", 0, POPT_ARG_NONE, &bench.ignore_cancel, 0,
		 "run on when the client hangs up", NULL},
		{"fixed", 0, POPT_ARG_NONE, &bench.fixed, 0,
		 "constant service time", NULL},
		{"body-bytes", 0, POPT_ARG_INT, &bench.body_bytes, 0,
		 "padding of answers", "N"},
		{"cold-s", 0, POPT_ARG_INT, &cold_s, 0, "slow start", "S"},
		{"seed", 0, POPT_ARG_INT, &seed, 0, "of service times", "N"},
		{"record", 0, POPT_ARG_STRING, &file, 0, "executions", "FILE"},
		{"max-seconds", 0, POPT_ARG_INT, &max_seconds, 0, "life", "S"},
		POPT_AUTOHELP POPT_TABLEEND};

	program_options(argc, argv, options);
	program_limit(bench.loop, max_seconds);
	bench.random = g_rand_new_with_seed((guint32)seed);
	bench.start_us = program_now_us();
	bench.cold_us = cold_s * 1000000LL;
	bench.record = file ? fopen(file, "ae") : NULL;
	client_init(&bench.client, bench.loop, CONNECTIONS_PER_UPSTREAM);
	printf("ready port=");
	for (char **listen = listens; listen && *listen; listen++)
		printf("%s%u", listen == listens ? "" : ",",
		       add_upstream(&bench, *listen));
	printf("\n");
	fflush(stdout);
	ev_run(bench.loop, 0);
	return 0;
}
