/*
 * Callers of a soak. Each keeps a connection to its daemon until that ends,
 * sends requests of all routes, at times two at once, and at times leaves
 * before it is answered.
 */
#include "soak/fleet.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define US_PER_MS 1000
/* Beyond its deadline, a caller listens for an answer for so long. */
#define LISTENS_MS 1500
#define TIME_MIN_MS 400
#define TIME_MAX_MS 4000
#define PAUSE_MAX_MS 60
#define RECONNECT_MS 30
#define ANSWER_MAX_BYTES (1024 * 1024)
/* A wait between reads, to notice the end of the time. */
#define POLL_MS 50
/* A stop that begins so shortly after a request was sent may not have read it.
 */
#define READ_SLACK_US (200 * US_PER_MS)

struct caller {
	fleet_vm_t *vm;
	GRand *random;
	GThread *thread;
	int fd; /* -1 if there is no connection */
	GString *in; /* bytes of answers that were read */
};

/* An answer, as it was read. */
typedef struct answer {
	int status; /* 0: there was none */
	bool has_ended; /* the connection ended in its place */
	bool closes;
	char *signature; /* NULL: none */
	char *body;
} answer_t;

static gint last_number;

/* An order for a path at a VM. */
order_t *caller_order(fleet_vm_t *vm, const char *path, int64_t time_ms)
{
	order_t *order = g_new0(order_t, 1);

	g_snprintf(order->id, sizeof(order->id), "o%d",
		   g_atomic_int_add(&last_number, 1));
	order->service = fleet_service_of(path);
	order->caller_service = vm->stand_in->service;
	order->is_idempotent = !g_str_has_prefix(path, PATH_PAY);
	order->deadline_us = g_get_monotonic_time() + time_ms * US_PER_MS;
	return order;
}

/* Writes a request with the time that its caller has. */
static void send_order(int fd, const order_t *order, const char *method,
		       const char *path)
{
	const char *body = strcmp(method, "POST") == 0 ? "amount=50" : "";
	char *text = g_strdup_printf(
		"%s %s%s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\n"
		"Deadline-Ms: %" G_GINT64_FORMAT "\r\nContent-Length: %zu\r\n"
		"\r\n%s",
		method, path, order->id, order->id,
		MAX(order->deadline_us - g_get_monotonic_time(), 0) / US_PER_MS,
		strlen(body), body);

	platform_send(fd, text, strlen(text));
	g_free(text);
}

/* Splits a whole answer off the bytes; false if there is none yet. */
static bool take_answer(GString *in, answer_t *answer)
{
	char *end = strstr(in->str, "\r\n\r\n");
	char *head, *text;
	gsize length, head_bytes;

	if (!end)
		return false;
	head_bytes = (gsize)(end - in->str) + 4;
	head = g_strndup(in->str, head_bytes);
	text = platform_header(head, "Content-Length");
	length = text ? strtoul(text, NULL, 10) : 0;
	g_free(text);
	if (in->len - head_bytes < length) {
		g_free(head);
		return false;
	}
	answer->status = (int)strtol(head + strlen("HTTP/1.1 "), NULL, 10);
	answer->signature = platform_header(head, "Response-Signature");
	answer->body = g_strndup(in->str + head_bytes, length);
	text = platform_header(head, "Connection");
	answer->closes = text && strcmp(text, "close") == 0;
	g_free(text);
	g_free(head);
	g_string_erase(in, 0, (gssize)(head_bytes + length));
	return true;
}

/* Waits for one answer until a time. */
static void await_answer(int fd, GString *in, int64_t until_us,
			 answer_t *answer)
{
	char bytes[16384];

	memset(answer, 0, sizeof(*answer));
	while (!take_answer(in, answer) && in->len < ANSWER_MAX_BYTES) {
		struct pollfd ready = {.fd = fd, .events = POLLIN};

		if (g_get_monotonic_time() > until_us)
			return;
		if (poll(&ready, 1, POLL_MS) != 1)
			continue;
		ssize_t got = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

		if (got < 0 && errno == EAGAIN)
			continue;
		if (got <= 0) {
			answer->has_ended = true;
			return;
		}
		g_string_append_len(in, bytes, got);
	}
}

/*
 * A daemon that was not disturbed ends no connection of a request that it has
 * passed on, whatever else is wrong; also not while it stops.
 */
static void check_cut(fleet_vm_t *vm, const order_t *order, int lifetime)
{
	int64_t now_us = g_get_monotonic_time();
	fleet_t *fleet = vm->fleet;

	if (now_us >= order->deadline_us ||
	    lifetime != g_atomic_int_get(&vm->lifetime))
		return;
	g_mutex_lock(&fleet->platform.lock);
	int64_t disturbed_us = vm->disturbed_us;

	g_mutex_unlock(&fleet->platform.lock);
	if (disturbed_us > order->sent_us - READ_SLACK_US)
		return;
	if (oracle_runs(fleet->oracle, order) > 0)
		oracle_broken(fleet->oracle,
			      "%s: run, and its connection to vm %d was cut",
			      order->id, vm->stand_in->number);
}

/* Tells the oracle what a caller got. */
static void note_answer(fleet_vm_t *vm, order_t *order, answer_t *answer,
			int lifetime)
{
	oracle_t *oracle = vm->fleet->oracle;

	if (answer->status && answer->signature)
		oracle_answered(oracle, order, answer->status,
				answer->signature, answer->body);
	else if (answer->status)
		oracle_refused(oracle, order, answer->status);
	else if (answer->has_ended)
		check_cut(vm, order, lifetime);
	if (answer->status == 200 && order->version &&
	    lifetime == g_atomic_int_get(&vm->lifetime)) {
		gint seen = g_atomic_int_get(&vm->seen_version);

		while (seen < order->version &&
		       !g_atomic_int_compare_and_exchange(&vm->seen_version,
							  seen, order->version))
			seen = g_atomic_int_get(&vm->seen_version);
	}
	g_free(answer->signature);
	g_free(answer->body);
}

/* Sends one request on a connection of its own. */
int caller_call(fleet_vm_t *vm, order_t *order, const char *method,
		const char *path)
{
	int lifetime = g_atomic_int_get(&vm->lifetime);
	GString *in = g_string_new(NULL);
	int fd = platform_connect(vm->stand_in);
	answer_t answer = {0};

	oracle_send(vm->fleet->oracle, order);
	if (fd >= 0) {
		send_order(fd, order, method, path);
		await_answer(fd, in,
			     order->deadline_us + LISTENS_MS * US_PER_MS,
			     &answer);
		close(fd);
	}
	int status = answer.status;

	note_answer(vm, order, &answer, lifetime);
	g_string_free(in, TRUE);
	return status;
}

static void hang_up(caller_t *caller)
{
	if (caller->fd >= 0)
		close(caller->fd);
	caller->fd = -1;
	g_string_set_size(caller->in, 0);
}

/* Draws what to ask for; the path is freed by the caller. */
static char *draw_path(caller_t *caller, const char **method, int *version)
{
	int newest = g_atomic_int_get(&caller->vm->fleet->version);

	*method = "GET";
	*version = 0;
	switch (g_rand_int_range(caller->random, 0, 10)) {
	case 0:
	case 1:
	case 2:
		*method = "POST";
		return g_strdup(PATH_PAY);
	case 3:
	case 4:
		return g_strdup(PATH_TREE);
	case 5:
	case 6:
		newest -= g_rand_int_range(caller->random, 0, 3);
		*version = MAX(newest, 1);
		return g_strdup_printf("/v%d/", *version);
	default:
		return g_strdup(PATH_BROWSE);
	}
}

/* Sends the next request of a caller on its connection. */
static order_t *send_next(caller_t *caller, bool only_idempotent)
{
	fleet_vm_t *vm = caller->vm;
	const char *method;
	int version;
	char *path;
	order_t *order;

	do {
		path = draw_path(caller, &method, &version);
		if (!only_idempotent || strcmp(method, "GET") == 0)
			break;
		g_free(path);
	} while (true);
	order = caller_order(
		vm, path,
		g_rand_int_range(caller->random, TIME_MIN_MS, TIME_MAX_MS));
	order->version = version;
	order->version_floor = g_atomic_int_get(&vm->seen_version);
	oracle_send(vm->fleet->oracle, order);
	send_order(caller->fd, order, method, path);
	g_free(path);
	return order;
}

/* Reads the answers of requests that were sent in this order. */
static void read_answers(caller_t *caller, order_t **orders, int count,
			 int lifetime)
{
	for (int i = 0; i < count; i++) {
		answer_t answer;

		await_answer(caller->fd, caller->in,
			     orders[i]->deadline_us + LISTENS_MS * US_PER_MS,
			     &answer);
		bool ends = answer.status == 0 || answer.closes;

		note_answer(caller->vm, orders[i], &answer, lifetime);
		if (ends) {
			hang_up(caller);
			return;
		}
	}
}

/* Sends one or two requests and sees to their answers. */
static void have_turn(caller_t *caller)
{
	fleet_vm_t *vm = caller->vm;
	int lifetime = g_atomic_int_get(&vm->lifetime);
	bool is_pair = g_rand_int_range(caller->random, 0, 6) == 0;
	order_t *orders[2];

	if (caller->fd < 0)
		caller->fd = platform_connect(vm->stand_in);
	if (caller->fd < 0) {
		g_usleep(RECONNECT_MS * US_PER_MS);
		return;
	}
	orders[0] = send_next(caller, is_pair);
	if (is_pair)
		orders[1] = send_next(caller, true);
	if (g_rand_int_range(caller->random, 0, 20) == 0) {
		g_usleep((gulong)g_rand_int_range(caller->random, 0,
						  TIME_MIN_MS) *
			 US_PER_MS / 4);
		hang_up(caller);
		return;
	}
	read_answers(caller, orders, is_pair ? 2 : 1, lifetime);
}

static gpointer work(gpointer data)
{
	caller_t *caller = data;
	fleet_t *fleet = caller->vm->fleet;

	while (!g_atomic_int_get(&fleet->stopping)) {
		have_turn(caller);
		if (!g_atomic_int_get(&fleet->hurries))
			g_usleep((gulong)g_rand_int_range(caller->random, 1,
							  PAUSE_MAX_MS) *
				 US_PER_MS);
	}
	hang_up(caller);
	return NULL;
}

/* A caller at a VM. */
caller_t *caller_new(fleet_vm_t *vm, guint32 seed)
{
	caller_t *caller = g_new0(caller_t, 1);

	caller->vm = vm;
	caller->random = g_rand_new_with_seed(seed);
	caller->fd = -1;
	caller->in = g_string_new(NULL);
	caller->thread = g_thread_new("caller", work, caller);
	return caller;
}

/* Waits for the end of a caller. */
void caller_join(caller_t *caller)
{
	g_thread_join(caller->thread);
	g_string_free(caller->in, TRUE);
	g_rand_free(caller->random);
	g_free(caller);
}
