/*
 * Stand-in of one or more upstreams. Each has a number of slots, a bounded
 * queue, a service time and nested calls, and records every execution.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/client.h"
#include "support/program.h"
#include "support/server.h"

/* During a cold start, service times are longer by this factor. */
#define COLD_FACTOR 10.0
#define NESTED_TIMEOUT_MS 10000
#define CONNECTIONS_PER_UPSTREAM 430

typedef enum close_mode {
	CLOSE_NONE,
	CLOSE_BEFORE, /* closes the connection without running the request */
	CLOSE_AFTER, /* runs the request and closes without an answer */
} close_mode_t;

/* State that all upstreams of the program share. */
typedef struct shared {
	struct ev_loop *loop;
	client_t client;
	GRand *random;
	FILE *record;
	char **nested; /* specs such as "POST /a/b=GET /c/d,POST /e/f" */
	int nested_keys;
	int nested_retries;
	int ignore_cancel;
	int fixed;
	int body_bytes;
	int64_t start_us;
	int64_t cold_us;
} shared_t;

typedef struct upstream {
	shared_t *shared;
	server_t server;
	char *daemon; /* listener for nested calls, "IP:PORT" */
	double service_ms;
	int64_t slots;
	int64_t queue_capacity;
	bool stalled;
	close_mode_t close;
	int64_t running;
	GQueue waiting; /* job_t * */
} upstream_t;

/* A queued request or its execution. */
typedef struct job {
	upstream_t *upstream;
	server_request_t *request; /* NULL once the client has disconnected */
	char *method;
	char *target;
	char *identity; /* Idempotency-Key, or "-" */
	char *call; /* Dogwoodshift-Call, or "-" */
	char *customer;
	ev_timer timer;
	char **calls; /* nested calls, NULL if none */
	guint next_call;
	int retries; /* retries of the present nested call */
	bool failed;
	GString *statuses; /* of the nested calls */
} job_t;

static void start_queued(upstream_t *upstream);

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

/* Writes one event of an execution; flushed, so that it survives a kill. */
static void record(const job_t *job, const char *event)
{
	FILE *file = job->upstream->shared->record;

	if (!file)
		return;
	fprintf(file, "%s %s %s %s %s %s\n", event, job->identity, job->call,
		job->method, job->target, job->customer);
	fflush(file);
}

/* Finishes an execution and gives its slot to the next queued request. */
static void finish_execution(job_t *job)
{
	upstream_t *upstream = job->upstream;
	shared_t *shared = upstream->shared;

	record(job, "finish");
	if (job->request && upstream->close == CLOSE_AFTER) {
		server_drop(job->request);
	} else if (job->request) {
		char *body = http_body(job->target, job->identity,
				       job->statuses->str,
				       (size_t)shared->body_bytes);

		server_answer(job->request, job->failed ? 502 : 200, body,
			      "Content-Type", "text/plain");
		g_free(body);
	}
	job_free(job);
	upstream->running--;
	start_queued(upstream);
}

static void call_next(job_t *job);

/* Retries a failed nested call, or records its status and goes on. */
static void on_nested_answer(void *data, http_exchange_t *exchange)
{
	job_t *job = data;
	bool succeeded = exchange->status == 200;

	if (!succeeded &&
	    job->retries < job->upstream->shared->nested_retries) {
		job->retries++;
		call_next(job);
		return;
	}
	g_string_append_printf(job->statuses, "%s%ld",
			       job->statuses->len ? "," : "", exchange->status);
	job->failed = !succeeded;
	job->next_call++;
	job->retries = 0;
	if (succeeded && job->calls[job->next_call])
		call_next(job);
	else
		finish_execution(job);
}

/* Sends the next nested call through the local daemon. */
static void call_next(job_t *job)
{
	shared_t *shared = job->upstream->shared;
	char **parts = g_strsplit(job->calls[job->next_call], " ", 2);
	const char *query = strchr(job->target, '?');
	char *url = g_strdup_printf("http://%s%s%s", job->upstream->daemon,
				    parts[1], query ? query : "");
	char *call = g_strdup_printf("Dogwoodshift-Call: %s", job->call);
	char *key = g_strdup_printf("Idempotency-Key: %s.%u", job->identity,
				    job->next_call);
	const char *const headers[] = {call, shared->nested_keys ? key : NULL,
				       NULL};
	http_exchange_t *exchange = g_new0(http_exchange_t, 1);

	http_init(exchange, parts[0], url, "nested", NESTED_TIMEOUT_MS,
		  headers);
	client_send(&shared->client, exchange, on_nested_answer, job);
	g_strfreev(parts);
	g_free(url);
	g_free(call);
	g_free(key);
}

/* Returns the nested calls of a job's method and path; NULL if none. */
static char **find_nested_calls(const job_t *job)
{
	char *path = g_strndup(job->target, strcspn(job->target, "?"));
	char *prefix = g_strdup_printf("%s %s=", job->method, path);
	char **calls = NULL;

	for (char **nested = job->upstream->shared->nested; nested && *nested;
	     nested++) {
		if (!calls && g_str_has_prefix(*nested, prefix))
			calls = g_strsplit(*nested + strlen(prefix), ",", -1);
	}
	g_free(path);
	g_free(prefix);
	return calls;
}

static void on_service_time_elapsed(struct ev_loop *loop, ev_timer *timer,
				    int events)
{
	job_t *job = timer->data;

	if (job->calls)
		call_next(job);
	else
		finish_execution(job);
}

/*
 * Returns a service time in seconds, without nested calls: constant, or
 * exponentially distributed with the mean service_ms.
 */
static double service_time_s(const upstream_t *upstream)
{
	shared_t *shared = upstream->shared;
	double time_s = upstream->service_ms / 1000.0;

	if (!shared->fixed)
		time_s *= -log(1.0 - g_rand_double(shared->random));
	if (program_now_us() - shared->start_us < shared->cold_us)
		time_s *= COLD_FACTOR;
	return time_s;
}

/* Starts an execution in a free slot. */
static void start_execution(job_t *job)
{
	upstream_t *upstream = job->upstream;

	upstream->running++;
	job->statuses = g_string_new(NULL);
	job->calls = find_nested_calls(job);
	record(job, "start");
	ev_timer_init(&job->timer, on_service_time_elapsed,
		      service_time_s(upstream), 0.0);
	job->timer.data = job;
	ev_timer_start(upstream->shared->loop, &job->timer);
}

static void start_queued(upstream_t *upstream)
{
	while (!upstream->stalled && upstream->running < upstream->slots &&
	       !g_queue_is_empty(&upstream->waiting))
		start_execution(g_queue_pop_head(&upstream->waiting));
}

static char *header_or_dash(server_request_t *request, const char *name)
{
	const char *value = server_header(request, name);

	return g_strdup(value && *value ? value : "-");
}

/* Queues a request, or sheds it when the queue is full. */
static void enqueue_request(upstream_t *upstream, server_request_t *request)
{
	job_t *job;

	if (upstream->close == CLOSE_BEFORE) {
		server_drop(request);
		return;
	}
	if (g_queue_get_length(&upstream->waiting) >=
	    upstream->queue_capacity) {
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
	start_queued(upstream);
}

/* Changes the behaviour of an upstream at run time. */
static void handle_control(upstream_t *upstream, server_request_t *request)
{
	const char *mode = server_query_value(request, "close");

	if (mode)
		upstream->close = strcmp(mode, "before") == 0  ? CLOSE_BEFORE
				  : strcmp(mode, "after") == 0 ? CLOSE_AFTER
							       : CLOSE_NONE;
	upstream->service_ms = (double)server_query_number(
		request, "service_ms", (int64_t)upstream->service_ms);
	upstream->slots =
		server_query_number(request, "slots", upstream->slots);
	upstream->queue_capacity =
		server_query_number(request, "queue", upstream->queue_capacity);
	upstream->stalled =
		server_query_number(request, "stall", upstream->stalled);
	start_queued(upstream);
	server_answer(request, 200, "ok\n", NULL, NULL);
}

static void on_request(void *context, server_request_t *request)
{
	upstream_t *upstream = context;

	if (strcmp(request->path, "/control") == 0)
		handle_control(upstream, request);
	else
		enqueue_request(upstream, request);
}

static void on_disconnect(void *context, server_request_t *request)
{
	upstream_t *upstream = context;
	job_t *job = request->data;

	job->request = NULL;
	if (upstream->shared->ignore_cancel)
		return;
	if (g_queue_remove(&upstream->waiting, job)) {
		job_free(job);
	} else if (ev_is_active(&job->timer)) {
		ev_timer_stop(upstream->shared->loop, &job->timer);
		record(job, "cancel");
		job_free(job);
		upstream->running--;
		start_queued(upstream);
	}
}

/* Starts an upstream from a spec "PORT,slots=N,service_ms=N,...". */
static uint16_t add_upstream(shared_t *shared, const char *spec)
{
	static const server_ops_t ops = {on_request, on_disconnect};
	upstream_t *upstream = g_new0(upstream_t, 1);
	long port = strtol(spec, NULL, 10);

	upstream->shared = shared;
	upstream->daemon = program_option_value(spec, "daemon");
	upstream->slots = program_option_number(spec, "slots", 55);
	upstream->service_ms =
		(double)program_option_number(spec, "service_ms", 20);
	upstream->queue_capacity = program_option_number(spec, "queue", 1000);
	g_queue_init(&upstream->waiting);
	server_start(&upstream->server, shared->loop, (uint16_t)port, &ops,
		     upstream);
	return upstream->server.port;
}

int main(int argc, const char **argv)
{
	int max_seconds = 600, seed = 1, cold_s = 0;
	char **specs = NULL, *file = NULL;
	shared_t shared = {.loop = ev_default_loop(0)};
	const struct poptOption options[] = {
		{"listen", 0, POPT_ARG_ARGV, &specs, 0,
		 "an upstream: port, slots, service_ms, queue, daemon",
		 "PORT,KEY=VALUE..."},
		{"nested", 0, POPT_ARG_ARGV, &shared.nested, 0,
		 "nested calls of a call", "CALL=CALL,CALL"},
		{"nested-keys", 0, POPT_ARG_NONE, &shared.nested_keys, 0,
		 "send Idempotency-Key", NULL},
		{"nested-retries", 0, POPT_ARG_INT, &shared.nested_retries, 0,
		 "retries of a failed nested call", "N"},
		{"ignore-cancel", 0, POPT_ARG_NONE, &shared.ignore_cancel, 0,
		 "finish requests of disconnected clients", NULL},
		{"fixed", 0, POPT_ARG_NONE, &shared.fixed, 0,
		 "constant service time", NULL},
		{"body-bytes", 0, POPT_ARG_INT, &shared.body_bytes, 0,
		 "padding of response bodies", "N"},
		{"cold-s", 0, POPT_ARG_INT, &cold_s, 0,
		 "duration of the cold start", "S"},
		{"seed", 0, POPT_ARG_INT, &seed, 0, "seed of the service times",
		 "N"},
		{"record", 0, POPT_ARG_STRING, &file, 0,
		 "file to append executions to", "FILE"},
		{"max-seconds", 0, POPT_ARG_INT, &max_seconds, 0,
		 "time after which to exit", "S"},
		POPT_AUTOHELP POPT_TABLEEND};

	program_options(argc, argv, options);
	program_set_time_limit(shared.loop, max_seconds);
	shared.random = g_rand_new_with_seed((guint32)seed);
	shared.start_us = program_now_us();
	shared.cold_us = cold_s * 1000000LL;
	shared.record = file ? fopen(file, "ae") : NULL;
	client_init(&shared.client, shared.loop, CONNECTIONS_PER_UPSTREAM);
	printf("ready port=");
	for (char **spec = specs; spec && *spec; spec++)
		printf("%s%u", spec == specs ? "" : ",",
		       add_upstream(&shared, *spec));
	printf("\n");
	fflush(stdout);
	ev_run(shared.loop, 0);
	return 0;
}
