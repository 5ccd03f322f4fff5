/*
 * The record of a soak and its promises.
 */
#include "soak/oracle.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Upstreams that one caller's attempt may be sent to, by the routes. */
#define MAX_ATTEMPTS 2
/* The shared budget of repeats, as the daemons' settings have it. */
#define RETRY_RATIO 0.2
#define RETRY_SLACK 50
#define RETRY_WINDOW_US (10 * G_USEC_PER_SEC)
#define RETRY_STEP_US (G_USEC_PER_SEC / 2)
/* By which an upstream may be told more time than its caller has. */
#define DEADLINE_SLACK_US (500 * 1000)
#define BODY_MAX_BYTES 6000
#define MS_PER_S 1000

/* What reached the upstreams of a service, or was meant to. */
typedef struct traffic {
	GArray *sent_us; /* int64_t, requests */
	GArray *repeats_us; /* int64_t, arrivals beyond the first of each */
} traffic_t;

struct oracle {
	GMutex lock;
	guint32 seed;
	int64_t start_us;
	int64_t calm_since_us;
	GHashTable *orders; /* id to order_t, owned */
	GHashTable *arrived; /* ids of which one has reached an upstream */
	GHashTable *services; /* name to traffic_t */
	int broken;
	int complete;
	int refused;
	int unknown; /* 502, 504 */
	int runs;
	int deadlines_checked;
};

static void free_order(gpointer data)
{
	order_t *order = data;

	g_ptr_array_free(order->upstreams, TRUE);
	g_free(order);
}

static void free_traffic(gpointer data)
{
	traffic_t *traffic = data;

	g_array_free(traffic->sent_us, TRUE);
	g_array_free(traffic->repeats_us, TRUE);
	g_free(traffic);
}

/* Starts a record. */
oracle_t *oracle_new(guint32 seed)
{
	oracle_t *oracle = g_new0(oracle_t, 1);

	g_mutex_init(&oracle->lock);
	oracle->seed = seed;
	oracle->start_us = g_get_monotonic_time();
	oracle->orders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_order);
	oracle->arrived =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	oracle->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_traffic);
	return oracle;
}

/* Frees a record with all orders. */
void oracle_free(oracle_t *oracle)
{
	g_hash_table_destroy(oracle->orders);
	g_hash_table_destroy(oracle->arrived);
	g_hash_table_destroy(oracle->services);
	g_mutex_clear(&oracle->lock);
	g_free(oracle);
}

static void report(oracle_t *oracle, const char *format, va_list arguments)
{
	char *text = g_strdup_vprintf(format, arguments);

	oracle->broken++;
	printf("seed %u, %.3f s: %s\n", oracle->seed,
	       (double)(g_get_monotonic_time() - oracle->start_us) /
		       G_USEC_PER_SEC,
	       text);
	fflush(stdout);
	g_free(text);
}

/* Reports with the lock held. */
static void G_GNUC_PRINTF(2, 3)
	broken(oracle_t *oracle, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	report(oracle, format, arguments);
	va_end(arguments);
}

/* A promise was broken. */
void oracle_broken(oracle_t *oracle, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	g_mutex_lock(&oracle->lock);
	report(oracle, format, arguments);
	g_mutex_unlock(&oracle->lock);
	va_end(arguments);
}

/* Notes since when no fault is on; 0: there is one. */
void oracle_set_calm(oracle_t *oracle, int64_t since_us)
{
	g_mutex_lock(&oracle->lock);
	oracle->calm_since_us = since_us;
	g_mutex_unlock(&oracle->lock);
}

static bool is_calm(const oracle_t *oracle, int64_t from_us)
{
	return oracle->calm_since_us != 0 && oracle->calm_since_us <= from_us;
}

/* True if there was no fault from a time until now. */
bool oracle_is_calm(oracle_t *oracle, int64_t from_us)
{
	g_mutex_lock(&oracle->lock);
	bool calm = is_calm(oracle, from_us);

	g_mutex_unlock(&oracle->lock);
	return calm;
}

static traffic_t *traffic_of(oracle_t *oracle, const char *service)
{
	traffic_t *traffic = g_hash_table_lookup(oracle->services, service);

	if (traffic)
		return traffic;
	traffic = g_new0(traffic_t, 1);
	traffic->sent_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	traffic->repeats_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	g_hash_table_insert(oracle->services, g_strdup(service), traffic);
	return traffic;
}

/* Takes over an order that is about to be sent. */
order_t *oracle_send(oracle_t *oracle, order_t *order)
{
	order->upstreams = g_ptr_array_new_with_free_func(g_free);
	g_mutex_lock(&oracle->lock);
	order->sent_us = g_get_monotonic_time();
	g_hash_table_insert(oracle->orders, order->id, order);
	if (!order->is_of_repeat)
		g_array_append_val(traffic_of(oracle, order->service)->sent_us,
				   order->sent_us);
	g_mutex_unlock(&oracle->lock);
	return order;
}

/* Counts what reached an upstream; the second of an id is a repeat. */
static void count_arrival(oracle_t *oracle, const char *id, const char *service)
{
	const order_t *order = g_hash_table_lookup(oracle->orders, id);
	int64_t now_us = g_get_monotonic_time();
	bool is_first = g_hash_table_add(oracle->arrived, g_strdup(id));

	if (!is_first || (order && order->is_of_repeat))
		g_array_append_val(traffic_of(oracle, service)->repeats_us,
				   now_us);
}

/* A request was turned away by an upstream. */
void oracle_arrived(oracle_t *oracle, const char *id, const char *service)
{
	g_mutex_lock(&oracle->lock);
	count_arrival(oracle, id, service);
	g_mutex_unlock(&oracle->lock);
}

/* Upstreams among those that ran an order, each counted once. */
static guint count_distinct(const order_t *order)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < order->upstreams->len; i++)
		g_hash_table_add(seen, order->upstreams->pdata[i]);
	guint count = g_hash_table_size(seen);

	g_hash_table_destroy(seen);
	return count;
}

static void check_run(oracle_t *oracle, const order_t *order,
		      const char *service, const char *caller_service,
		      int64_t time_left_ms)
{
	int64_t end_us = g_get_monotonic_time() + time_left_ms * MS_PER_S;

	if (!order->is_idempotent && order->upstreams->len > 1)
		broken(oracle, "%s: not idempotent, and run twice", order->id);
	if (order->told_not_run)
		broken(oracle, "%s: told not run, and run later", order->id);
	if (strcmp(order->service, service) != 0)
		broken(oracle, "%s: run by %s in place of %s", order->id,
		       service, order->service);
	if (g_strcmp0(order->caller_service, caller_service) != 0)
		broken(oracle, "%s: caller is told as %s, not %s", order->id,
		       caller_service, order->caller_service);
	if (order->version && order->version < order->version_floor)
		broken(oracle, "%s: version %d in force again after %d",
		       order->id, order->version, order->version_floor);
	if (count_distinct(order) > MAX_ATTEMPTS)
		broken(oracle, "%s: run by %u upstreams", order->id,
		       count_distinct(order));
	if (!is_calm(oracle, order->sent_us))
		return;
	oracle->deadlines_checked++;
	if (end_us > order->deadline_us + DEADLINE_SLACK_US)
		broken(oracle, "%s: %" G_GINT64_FORMAT " ms over its deadline",
		       order->id, (end_us - order->deadline_us) / MS_PER_S);
}

/* An upstream begins to run a request. */
int oracle_run(oracle_t *oracle, const char *id, const char *upstream_id,
	       const char *service, const char *caller_service,
	       int64_t time_left_ms)
{
	int position = -1;

	g_mutex_lock(&oracle->lock);
	order_t *order = g_hash_table_lookup(oracle->orders, id);

	oracle->runs++;
	count_arrival(oracle, id, service);
	if (order) {
		position = (int)order->upstreams->len;
		g_ptr_array_add(order->upstreams, g_strdup(upstream_id));
		check_run(oracle, order, service, caller_service, time_left_ms);
	} else {
		broken(oracle, "%s: run, and nobody sent it", id);
	}
	g_mutex_unlock(&oracle->lock);
	return position;
}

/* The caller got an answer of a daemon's own. */
void oracle_refused(oracle_t *oracle, order_t *order, int status)
{
	bool says_not_run = status == 408 || status == 421 || status == 429 ||
			    status == 503;

	g_mutex_lock(&oracle->lock);
	order->told_not_run |= says_not_run;
	if (says_not_run && order->upstreams->len > 0)
		broken(oracle, "%s: status %d, and it had run", order->id,
		       status);
	if (status >= 200 && status < 300)
		broken(oracle, "%s: success without a signature", order->id);
	if (!says_not_run && status >= 300 && status < 500 &&
	    !(status == 404 && order->version))
		broken(oracle, "%s (%s, version %d): a proper request got %d",
		       order->id, order->service, order->version, status);
	if (says_not_run)
		oracle->refused++;
	else
		oracle->unknown++;
	g_mutex_unlock(&oracle->lock);
}

/* True if an answer is whole and of an upstream that ran the order. */
static bool is_own_answer(const order_t *order, const char *signature,
			  const char *body)
{
	bool found = false;

	for (guint i = 0; i < order->upstreams->len && !found; i++) {
		const char *upstream_id = order->upstreams->pdata[i];
		char *own_signature = oracle_signature(order->id, upstream_id);
		char *own_body = oracle_body(order->id, upstream_id);

		found = strcmp(signature, own_signature) == 0 &&
			strcmp(body, own_body) == 0;
		g_free(own_signature);
		g_free(own_body);
	}
	return found;
}

/* The caller got an answer that bears a signature. */
void oracle_answered(oracle_t *oracle, order_t *order, int status,
		     const char *signature, const char *body)
{
	g_mutex_lock(&oracle->lock);
	if (!is_own_answer(order, signature, body))
		broken(oracle,
		       "%s: status %d with an answer that is not its "
		       "own or not whole",
		       order->id, status);
	oracle->complete++;
	g_mutex_unlock(&oracle->lock);
}

/* How often an order was run. */
int oracle_runs(oracle_t *oracle, const order_t *order)
{
	g_mutex_lock(&oracle->lock);
	int runs = (int)order->upstreams->len;

	g_mutex_unlock(&oracle->lock);
	return runs;
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
	     at_us += RETRY_STEP_US) {
		int requests = 0;
		int repeats = count_in(traffic->repeats_us, at_us,
				       at_us + RETRY_WINDOW_US);

		for (int half = 0; half <= 2; half++) {
			int64_t from_us = at_us - half * RETRY_WINDOW_US / 2;

			requests = MAX(requests,
				       count_in(traffic->sent_us, from_us,
						from_us + RETRY_WINDOW_US));
		}
		if (repeats > RETRY_RATIO * requests + RETRY_SLACK) {
			broken(oracle, "%s: %d repeats for %d requests",
			       service, repeats, requests);
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
	if (oracle->complete == 0)
		broken(oracle, "nothing was completed");
	printf("seed %u: orders=%u complete=%d refused=%d unknown=%d runs=%d "
	       "deadlines=%d broken=%d\n",
	       oracle->seed, g_hash_table_size(oracle->orders),
	       oracle->complete, oracle->refused, oracle->unknown, oracle->runs,
	       oracle->deadlines_checked, oracle->broken);
	fflush(stdout);
	int count = oracle->broken;

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
