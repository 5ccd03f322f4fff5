/*
 * Callers of a soak. Each keeps a connection to its daemon until it is closed
 * and sends requests for all routes. Some requests are pipelined in pairs, and
 * some connections are closed before the response arrives.
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
/* Time for which a caller waits for a response after the deadline. */
#define RESPONSE_GRACE_MS 1500
#define TIMEOUT_MIN_MS 400
#define TIMEOUT_MAX_MS 4000
#define PAUSE_MAX_MS 60
#define RECONNECT_DELAY_MS 30
#define RESPONSE_MAX_BYTES (1024 * 1024)
/* Bounds each poll(), so that the end of the wait is noticed. */
#define POLL_TIMEOUT_MS 50
/*
 * Added to the time in which a disturbance exempts a request from
 * check_connection_loss(). A daemon that begins to stop this soon after a
 * request was sent may not have read it.
 */
#define STOP_READ_SLACK_US (200 * US_PER_MS)

struct caller {
	fleet_vm_t *vm;
	GRand *random;
	GThread *thread;
	int fd; /* -1 if there is no connection */
	GString *in; /* received data that is not parsed yet */
};

/* A received response. */
typedef struct response {
	int status; /* 0: no response */
	bool connection_ended; /* before a complete response */
	bool closes_connection;
	char *signature; /* NULL if absent */
	char *body;
} response_t;

static gint next_request_number;

request_t *caller_new_request(fleet_vm_t *vm, const char *path,
			      int64_t timeout_ms)
{
	request_t *request = g_new0(request_t, 1);

	g_snprintf(request->id, sizeof(request->id), "o%d",
		   g_atomic_int_add(&next_request_number, 1));
	request->service = fleet_service_for_path(path);
	request->caller_service = vm->platform_vm->service;
	request->is_idempotent = !g_str_has_prefix(path, PATH_PAY);
	request->deadline_us = g_get_monotonic_time() + timeout_ms * US_PER_MS;
	return request;
}

/* Sends a request with the time left until its deadline. */
static void send_request(int fd, const request_t *request, const char *method,
			 const char *path)
{
	const char *body = strcmp(method, "POST") == 0 ? "amount=50" : "";
	char *text = g_strdup_printf(
		"%s %s%s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\n"
		"Deadline-Ms: %" G_GINT64_FORMAT "\r\nContent-Length: %zu\r\n"
		"\r\n%s",
		method, path, request->id, request->id,
		MAX(request->deadline_us - g_get_monotonic_time(), 0) /
			US_PER_MS,
		strlen(body), body);

	platform_send(fd, text, strlen(text));
	g_free(text);
}

/* Removes a complete response from the input; false if it is incomplete. */
static bool parse_response(GString *in, response_t *response)
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
	response->status = (int)strtol(head + strlen("HTTP/1.1 "), NULL, 10);
	response->signature = platform_header(head, "Response-Signature");
	response->body = g_strndup(in->str + head_bytes, length);
	text = platform_header(head, "Connection");
	response->closes_connection = text && strcmp(text, "close") == 0;
	g_free(text);
	g_free(head);
	g_string_erase(in, 0, (gssize)(head_bytes + length));
	return true;
}

/* Waits for one response until a given time. */
static void await_response(int fd, GString *in, int64_t until_us,
			   response_t *response)
{
	char bytes[16384];

	memset(response, 0, sizeof(*response));
	while (!parse_response(in, response) && in->len < RESPONSE_MAX_BYTES) {
		struct pollfd ready = {.fd = fd, .events = POLLIN};

		if (g_get_monotonic_time() > until_us)
			return;
		if (poll(&ready, 1, POLL_TIMEOUT_MS) != 1)
			continue;
		ssize_t got = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

		if (got < 0 && errno == EAGAIN)
			continue;
		if (got <= 0) {
			response->connection_ended = true;
			return;
		}
		g_string_append_len(in, bytes, got);
	}
}

/*
 * Checks that a daemon which was not disturbed did not close a connection whose
 * request it had forwarded. This holds under all other faults and also during a
 * planned stop.
 */
static void check_connection_loss(fleet_vm_t *vm, const request_t *request,
				  int start_count)
{
	int64_t now_us = g_get_monotonic_time();
	fleet_t *fleet = vm->fleet;

	if (now_us >= request->deadline_us ||
	    start_count != g_atomic_int_get(&vm->start_count))
		return;
	g_mutex_lock(&fleet->platform.lock);
	int64_t disturbed_until_us = vm->disturbed_until_us;

	g_mutex_unlock(&fleet->platform.lock);
	if (disturbed_until_us > request->sent_us - STOP_READ_SLACK_US)
		return;
	if (oracle_execution_count(fleet->oracle, request) > 0)
		oracle_report_violation(fleet->oracle,
					"%s: connection to VM %d closed after "
					"the request was executed",
					request->id, vm->platform_vm->number);
}

/* Passes the outcome of a request to the oracle and frees the response. */
static void record_response(fleet_vm_t *vm, request_t *request,
			    response_t *response, int start_count)
{
	oracle_t *oracle = vm->fleet->oracle;

	if (response->status && response->signature)
		oracle_record_upstream_response(
			oracle, request, response->status, response->signature,
			response->body);
	else if (response->status)
		oracle_record_daemon_response(oracle, request,
					      response->status);
	else if (response->connection_ended)
		check_connection_loss(vm, request, start_count);
	if (response->status == 200 && request->version &&
	    start_count == g_atomic_int_get(&vm->start_count)) {
		gint observed = g_atomic_int_get(&vm->observed_version);

		while (observed < request->version &&
		       !g_atomic_int_compare_and_exchange(&vm->observed_version,
							  observed,
							  request->version))
			observed = g_atomic_int_get(&vm->observed_version);
	}
	g_free(response->signature);
	g_free(response->body);
}

int caller_send_request(fleet_vm_t *vm, request_t *request, const char *method,
			const char *path)
{
	int start_count = g_atomic_int_get(&vm->start_count);
	GString *in = g_string_new(NULL);
	int fd = platform_connect(vm->platform_vm);
	response_t response = {0};

	oracle_record_request(vm->fleet->oracle, request);
	if (fd >= 0) {
		send_request(fd, request, method, path);
		await_response(fd, in,
			       request->deadline_us +
				       RESPONSE_GRACE_MS * US_PER_MS,
			       &response);
		close(fd);
	}
	int status = response.status;

	record_response(vm, request, &response, start_count);
	g_string_free(in, TRUE);
	return status;
}

static void disconnect(caller_t *caller)
{
	if (caller->fd >= 0)
		close(caller->fd);
	caller->fd = -1;
	g_string_set_size(caller->in, 0);
}

/* Draws method, path and version; the path is freed with g_free(). */
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

static request_t *send_next_request(caller_t *caller, bool only_idempotent)
{
	fleet_vm_t *vm = caller->vm;
	const char *method;
	int version;
	char *path;
	request_t *request;

	do {
		path = draw_path(caller, &method, &version);
		if (!only_idempotent || strcmp(method, "GET") == 0)
			break;
		g_free(path);
	} while (true);
	request = caller_new_request(vm, path,
				     g_rand_int_range(caller->random,
						      TIMEOUT_MIN_MS,
						      TIMEOUT_MAX_MS));
	request->version = version;
	request->min_version = g_atomic_int_get(&vm->observed_version);
	oracle_record_request(vm->fleet->oracle, request);
	send_request(caller->fd, request, method, path);
	g_free(path);
	return request;
}

/* Reads the responses to pipelined requests, given in the order sent. */
static void read_responses(caller_t *caller, request_t **requests, int count,
			   int start_count)
{
	for (int i = 0; i < count; i++) {
		response_t response;

		await_response(caller->fd, caller->in,
			       requests[i]->deadline_us +
				       RESPONSE_GRACE_MS * US_PER_MS,
			       &response);
		bool ends_connection =
			response.status == 0 || response.closes_connection;

		record_response(caller->vm, requests[i], &response,
				start_count);
		if (ends_connection) {
			disconnect(caller);
			return;
		}
	}
}

/* Sends one or two requests and reads the responses, or disconnects early. */
static void run_iteration(caller_t *caller)
{
	fleet_vm_t *vm = caller->vm;
	int start_count = g_atomic_int_get(&vm->start_count);
	bool is_pair = g_rand_int_range(caller->random, 0, 6) == 0;
	request_t *requests[2];

	if (caller->fd < 0)
		caller->fd = platform_connect(vm->platform_vm);
	if (caller->fd < 0) {
		g_usleep(RECONNECT_DELAY_MS * US_PER_MS);
		return;
	}
	requests[0] = send_next_request(caller, is_pair);
	if (is_pair)
		requests[1] = send_next_request(caller, true);
	if (g_rand_int_range(caller->random, 0, 20) == 0) {
		g_usleep((gulong)g_rand_int_range(caller->random, 0,
						  TIMEOUT_MIN_MS) *
			 US_PER_MS / 4);
		disconnect(caller);
		return;
	}
	read_responses(caller, requests, is_pair ? 2 : 1, start_count);
}

static gpointer run_caller(gpointer data)
{
	caller_t *caller = data;
	fleet_t *fleet = caller->vm->fleet;

	while (!g_atomic_int_get(&fleet->stopping)) {
		run_iteration(caller);
		if (!g_atomic_int_get(&fleet->in_burst))
			g_usleep((gulong)g_rand_int_range(caller->random, 1,
							  PAUSE_MAX_MS) *
				 US_PER_MS);
	}
	disconnect(caller);
	return NULL;
}

caller_t *caller_new(fleet_vm_t *vm, guint32 seed)
{
	caller_t *caller = g_new0(caller_t, 1);

	caller->vm = vm;
	caller->random = g_rand_new_with_seed(seed);
	caller->fd = -1;
	caller->in = g_string_new(NULL);
	caller->thread = g_thread_new("caller", run_caller, caller);
	return caller;
}

void caller_join(caller_t *caller)
{
	g_thread_join(caller->thread);
	g_string_free(caller->in, TRUE);
	g_rand_free(caller->random);
	g_free(caller);
}
