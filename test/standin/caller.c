/*
 * Stand-in of customers: an open-loop load generator for several kinds of
 * requests, or the sender of a single request. It keeps the tickets of each
 * customer, as a well-behaved caller does.
 */
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "support/client.h"
#include "support/ports.h"
#include "support/program.h"

#define MAX_CONNECTIONS 1000
#define STATUS_TICKET_NEEDED 428

typedef struct customer {
	char name[32];
	GQueue tickets; /* char * */
} customer_t;

typedef struct caller caller_t;

/* One kind of request, with Poisson arrivals at its own rate. */
typedef struct load {
	caller_t *caller;
	char *method;
	char *path;
	double rate_per_s;
	uint32_t customer_count;
	customer_t *customers;
	double next_s; /* time of the next arrival, on the loop's clock */
	ev_timer timer;
	uint64_t sent, complete, not_run, unknown, other, torn, tries;
	GArray *latencies_us; /* int64_t, of complete requests */
} load_t;

struct caller {
	struct ev_loop *loop;
	client_t client;
	GRand *random;
	char **daemons;
	char *once; /* spec of a single request, NULL for loads */
	guint daemon_count;
	GPtrArray *loads;
	FILE *out;
	double end_s;
	uint64_t pending;
	uint64_t next_order;
	int retries;
	int timeout_ms;
	int seed;
	int64_t origin_us;
};

/* One request of a customer with all its attempts. */
typedef struct request {
	load_t *load;
	customer_t *customer;
	char *target;
	char *ticket; /* NULL if none is needed or available */
	int64_t start_us;
	int retries_left;
	guint daemon;
} request_t;

static void send_attempt(request_t *request);

static int compare_times(const void *a, const void *b)
{
	const int64_t *left = a, *right = b;

	return (*left > *right) - (*left < *right);
}

/* Returns a quantile, in ms, of latencies sorted in ascending order. */
static double quantile_ms(const GArray *sorted, double fraction)
{
	if (sorted->len == 0)
		return 0.0;
	return (double)g_array_index(sorted, int64_t,
				     (guint)(fraction * (sorted->len - 1))) /
	       1000.0;
}

static void print_header(gpointer name, gpointer value, gpointer unused)
{
	if (g_str_has_prefix(name, "dogwoodshift-"))
		printf("%s: %s\n", (const char *)name, (const char *)value);
}

static void print_answer(const http_exchange_t *exchange)
{
	printf("status: %ld\n", exchange->status);
	g_hash_table_foreach(exchange->answer_headers, print_header, NULL);
	printf("%s\n", exchange->body->str);
}

/* Counts the final outcome of a request, writes its CSV line and frees it. */
static void finish_request(request_t *request, const http_exchange_t *exchange)
{
	load_t *load = request->load;
	caller_t *caller = load->caller;
	const char *outcome = http_header(exchange, "dogwoodshift-outcome");
	const char *reason = http_header(exchange, "dogwoodshift-reason");
	int64_t latency_us = program_now_us() - request->start_us;
	bool body_is_valid =
		http_body_is_valid(exchange->body->str, request->target);

	if (strcmp(outcome, "complete") == 0 && exchange->status == 200) {
		load->complete++;
		load->torn += !body_is_valid;
		g_array_append_val(load->latencies_us, latency_us);
	} else if (strcmp(outcome, "not-run") == 0) {
		load->not_run++;
	} else if (strcmp(outcome, "unknown") == 0) {
		load->unknown++;
	} else {
		load->other++;
	}
	if (caller->out)
		fprintf(caller->out,
			"%" PRId64 ",%" PRId64 ",%s %s,%ld,%s,%s,%s,%d\n",
			request->start_us - caller->origin_us, latency_us,
			load->method, request->target, exchange->status,
			outcome, reason, request->ticket ? request->ticket : "",
			body_is_valid);
	if (caller->once)
		print_answer(exchange);
	g_free(request->target);
	g_free(request->ticket);
	g_free(request);
	if (--caller->pending == 0 && ev_now(caller->loop) >= caller->end_s)
		ev_break(caller->loop, EVBREAK_ALL);
}

/* True if the answer says that the request is not, and never will be, run. */
static bool was_not_run(http_exchange_t *exchange)
{
	return strcmp(http_header(exchange, "dogwoodshift-outcome"),
		      "not-run") == 0;
}

/*
 * Handles an answer: repeats the request with the issued ticket, retries it,
 * or finishes it. The ticket of a request that was not run is closed, so its
 * retry uses the customer's latest ticket.
 */
static void on_answer(void *data, http_exchange_t *exchange)
{
	request_t *request = data;
	const char *next = http_header(exchange, "dogwoodshift-next-ticket");

	if (exchange->status == STATUS_TICKET_NEEDED && *next &&
	    !request->ticket) {
		request->ticket = g_strdup(next);
		send_attempt(request);
		return;
	}
	if (*next)
		g_queue_push_tail(&request->customer->tickets, g_strdup(next));
	if ((exchange->status == 0 || exchange->status == 429 ||
	     exchange->status >= 500) &&
	    request->retries_left > 0) {
		if (request->ticket && was_not_run(exchange)) {
			g_free(request->ticket);
			request->ticket =
				g_queue_pop_tail(&request->customer->tickets);
		}
		request->retries_left--;
		request->daemon++;
		send_attempt(request);
		return;
	}
	finish_request(request, exchange);
}

/* Sends the first attempt of a request or a retry. */
static void send_attempt(request_t *request)
{
	load_t *load = request->load;
	caller_t *caller = load->caller;
	http_exchange_t *exchange = g_new0(http_exchange_t, 1);
	char *url = g_strdup_printf(
		"http://%s%s",
		caller->daemons[request->daemon % caller->daemon_count],
		request->target);
	char *customer = g_strdup_printf("Dogwoodshift-Customer: %s",
					 request->customer->name);
	char *ticket = request->ticket
			       ? g_strdup_printf("Dogwoodshift-Ticket: %s",
						 request->ticket)
			       : NULL;
	const char *const headers[] = {customer, ticket, NULL};

	load->tries++;
	http_init(exchange, load->method, url, "order", caller->timeout_ms,
		  headers);
	client_send(&caller->client, exchange, on_answer, request);
	g_free(url);
	g_free(customer);
	g_free(ticket);
}

/* Starts one request of a random customer. */
static void send_request(load_t *load)
{
	caller_t *caller = load->caller;
	request_t *request = g_new0(request_t, 1);
	guint index = (guint)g_rand_int_range(caller->random, 0,
					      (gint32)load->customer_count);

	request->load = load;
	request->customer = &load->customers[index];
	request->target = g_strdup_printf("%s?order=%d-%" PRIu64, load->path,
					  caller->seed, caller->next_order++);
	if (strcmp(load->method, "GET") != 0)
		request->ticket = g_queue_pop_head(&request->customer->tickets);
	request->start_us = program_now_us();
	request->retries_left = caller->retries;
	request->daemon = index;
	load->sent++;
	caller->pending++;
	send_attempt(request);
}

/* Sends all requests that are due and sets the timer to the next arrival. */
static void on_arrival(struct ev_loop *loop, ev_timer *timer, int events)
{
	load_t *load = timer->data;
	caller_t *caller = load->caller;

	while (load->next_s <= ev_now(loop) && load->next_s < caller->end_s) {
		send_request(load);
		load->next_s -= log(1.0 - g_rand_double(caller->random)) /
				load->rate_per_s;
	}
	if (load->next_s >= caller->end_s)
		return;
	ev_timer_set(timer, load->next_s - ev_now(loop), 0.0);
	ev_timer_start(loop, timer);
}

static void on_end(struct ev_loop *loop, ev_timer *timer, int events)
{
	caller_t *caller = timer->data;

	if (caller->pending == 0)
		ev_break(loop, EVBREAK_ALL);
}

/* Adds a load from a spec "METHOD /path,rate=N,customers=N". */
static load_t *add_load(caller_t *caller, const char *spec)
{
	load_t *load = g_new0(load_t, 1);
	char *call = g_strndup(spec, strcspn(spec, ","));
	char **parts = g_strsplit(call, " ", 2);

	load->caller = caller;
	load->method = parts[0];
	load->path = parts[1] ? parts[1] : "/";
	load->rate_per_s = (double)program_option_number(spec, "rate", 10);
	load->customer_count =
		(uint32_t)program_option_number(spec, "customers", 10);
	load->customers = g_new0(customer_t, load->customer_count);
	for (uint32_t i = 0; i < load->customer_count; i++)
		g_snprintf(load->customers[i].name,
			   sizeof(load->customers[i].name), "customer-%u", i);
	load->latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	load->next_s = ev_now(caller->loop);
	g_ptr_array_add(caller->loads, load);
	g_free(call);
	return load;
}

static void print_summary(const caller_t *caller)
{
	for (guint i = 0; i < caller->loads->len; i++) {
		load_t *load = g_ptr_array_index(caller->loads, i);

		g_array_sort(load->latencies_us, compare_times);
		printf("%s %s sent=%" PRIu64 " complete=%" PRIu64
		       " not_run=%" PRIu64 " unknown=%" PRIu64 " other=%" PRIu64
		       " torn=%" PRIu64 " tries=%" PRIu64
		       " p50_ms=%.2f p99_ms=%.2f\n",
		       load->method, load->path, load->sent, load->complete,
		       load->not_run, load->unknown, load->other, load->torn,
		       load->tries, quantile_ms(load->latencies_us, 0.5),
		       quantile_ms(load->latencies_us, 0.99));
	}
}

/* Runs the loads for a time, then until all requests have finished. */
static void run_loads(caller_t *caller, char **specs, double duration_s)
{
	ev_timer end;

	caller->end_s = ev_now(caller->loop) + duration_s;
	for (; specs && *specs; specs++) {
		load_t *load = add_load(caller, *specs);

		ev_timer_init(&load->timer, on_arrival, 0.0, 0.0);
		load->timer.data = load;
		ev_timer_start(caller->loop, &load->timer);
	}
	ev_timer_init(&end, on_end, duration_s, 0.0);
	end.data = caller;
	ev_timer_start(caller->loop, &end);
	ev_run(caller->loop, 0);
	print_summary(caller);
}

/* Sends one request and prints its answer; true if the outcome is complete. */
static bool run_once(caller_t *caller, const char *customer)
{
	load_t *load = add_load(caller, caller->once);

	g_strlcpy(load->customers[0].name, customer,
		  sizeof(load->customers[0].name));
	load->customer_count = 1;
	send_request(load);
	ev_run(caller->loop, 0);
	return load->complete == 1;
}

/* Prints ports that are currently free, for scripts. */
static int print_ports(int count)
{
	for (int i = 0, fd; i < count; i++)
		printf("%u\n", port_reserve(SOCK_STREAM, &fd));
	return 0;
}

int main(int argc, const char **argv)
{
	int max_s = 600, duration_s = 10, free_ports = 0;
	char *customer = "customer-0", *file = NULL, **loads = NULL;
	caller_t caller = {
		.loop = ev_default_loop(0), .timeout_ms = 30000, .seed = 1};
	const struct poptOption options[] = {
		{"daemon", 0, POPT_ARG_ARGV, &caller.daemons, 0,
		 "target daemon, repeatable", "IP:PORT"},
		{"load", 0, POPT_ARG_ARGV, &loads, 0,
		 "a kind of request and its rate, repeatable",
		 "METHOD /PATH,rate=N,customers=N"},
		{"duration-s", 0, POPT_ARG_INT, &duration_s, 0, "load", "S"},
		{"retries", 0, POPT_ARG_INT, &caller.retries, 0,
		 "retries per request", "N"},
		{"timeout-ms", 0, POPT_ARG_INT, &caller.timeout_ms, 0,
		 "timeout of an attempt", "MS"},
		{"seed", 0, POPT_ARG_INT, &caller.seed, 0,
		 "seed of the arrivals", "N"},
		{"out", 0, POPT_ARG_STRING, &file, 0,
		 "file with a line per request", "CSV"},
		{"once", 0, POPT_ARG_STRING, &caller.once, 0,
		 "a single request", "METHOD /PATH"},
		{"customer", 0, POPT_ARG_STRING, &customer, 0,
		 "customer of --once", "NAME"},
		{"free-ports", 0, POPT_ARG_INT, &free_ports, 0,
		 "print N free ports", "N"},
		{"max-seconds", 0, POPT_ARG_INT, &max_s, 0,
		 "time after which to exit", "S"},
		POPT_AUTOHELP POPT_TABLEEND};

	program_options(argc, argv, options);
	program_set_time_limit(caller.loop, max_s);
	if (free_ports > 0)
		return print_ports(free_ports);
	if (!caller.daemons) {
		fprintf(stderr, "no daemon is given; add --daemon IP:PORT\n");
		return 2;
	}
	caller.daemon_count = g_strv_length(caller.daemons);
	caller.random = g_rand_new_with_seed((guint32)caller.seed);
	caller.out = file ? fopen(file, "we") : NULL;
	caller.loads = g_ptr_array_new();
	caller.origin_us = program_now_us();
	client_init(&caller.client, caller.loop, MAX_CONNECTIONS);
	if (caller.once)
		return run_once(&caller, customer) ? 0 : 1;
	run_loads(&caller, loads, duration_s);
	if (caller.out)
		fclose(caller.out);
	return 0;
}
