/*
 * Requests that come late in the time that a daemon has to stop, in calm: each
 * is answered, by its upstream or by a refusal, and none is passed on only to be
 * cut off when the daemon ends.
 */
#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/routes.h"
#include "support/suite.h"

#define STOP_TIMEOUT_MS 6000
/* A request that was sent before may still run when the daemon must end. */
#define EARLY_MS (STOP_TIMEOUT_MS / 2)
/* When upstreams that are still at work may be cut off: the last sixth. */
#define END_MS (STOP_TIMEOUT_MS * 5 / 6)
/* Requests are sent from the start of the stop on, at this interval. */
#define INTERVAL_MS 100
#define LAST_REQUEST_MS 5200
#define REQUESTS (LAST_REQUEST_MS / INTERVAL_MS)
/* Slow bodies take this long from the head to the last byte. */
#define SLOW_BODY_MS 1500

/* The first VM is stopped; the others have room for all requests. */
static const char *const services[] = {"pay", "web", "web", "web", "web", NULL};

/* A request on a connection that was opened before the stop. */
typedef struct late_request {
	platform_t *platform;
	int number;
	int sent_ms; /* since the start of the stop: its last byte */
	int work_ms;
	bool is_slow; /* its body comes late */
	bool is_once;
	bool is_answered;
	long status;
	gint64 stop_us; /* when the stop started */
	int fd;
} late_request_t;

static void sleep_until(const late_request_t *request, int at_ms)
{
	gint64 left_us =
		request->stop_us + at_ms * 1000 - g_get_monotonic_time();

	if (left_us > 0)
		g_usleep((gulong)left_us);
}

/* Works for the time in the path, then answers. */
static bool serve(platform_vm_t *vm, int fd, const char *head,
		  size_t body_size_bytes)
{
	char *attempt = platform_header(head, "Attempt-Id");
	const char *work = strstr(head, "work-");
	char *answer = g_strdup_printf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
				       "Response-Signature: sig-1\r\n"
				       "Content-Length: 4\r\n\r\ndone",
				       attempt);

	platform_record_execution(vm, head);
	if (work)
		g_usleep(1000 * (gulong)atoi(work + strlen("work-")));
	platform_send(fd, answer, strlen(answer));
	g_free(answer);
	g_free(attempt);
	return true;
}

/* Sends the request at its time, a slow one in two parts. */
static gpointer run_request(gpointer data)
{
	late_request_t *request = data;
	routes_answer_t answer;
	char *text = g_strdup_printf(
		"%s /%s/work-%d HTTP/1.1\r\nHost: shop.example\r\n"
		"Attempt-Id: late-%d.\r\nDeadline-Ms: 8000\r\n"
		"Content-Length: 4\r\n\r\n",
		request->is_once ? "POST" : "GET",
		request->is_once ? "once" : "w", request->work_ms,
		request->number);

	if (request->is_slow)
		sleep_until(request, MAX(request->sent_ms - SLOW_BODY_MS, 0));
	else
		sleep_until(request, request->sent_ms);
	platform_send(request->fd, text, strlen(text));
	sleep_until(request, request->sent_ms);
	platform_send(request->fd, "body", 4);
	routes_read_answer(request->fd, &answer);
	request->is_answered = answer.is_whole;
	request->status = answer.status;
	routes_answer_clear(&answer);
	close(request->fd);
	g_free(text);
	return NULL;
}

/* Opens a connection and has it kept by a first request. */
static void open_connection(late_request_t *request)
{
	routes_answer_t answer;

	request->fd = platform_connect(&request->platform->vms[0]);
	CU_ASSERT_TRUE_FATAL(request->fd >= 0);
	routes_send(request->fd, "GET", "/w/first", "first");
	routes_read_answer(request->fd, &answer);
	CU_ASSERT_TRUE(answer.is_whole);
	routes_answer_clear(&answer);
}

static void check_request(const late_request_t *request)
{
	char *line =
		g_strdup_printf("Attempt-Id: late-%d.\r\n", request->number);
	int runs = platform_count_executions(request->platform, line);
	bool may_be_cut = request->sent_ms <= EARLY_MS &&
			  request->sent_ms + request->work_ms >= END_MS;
	bool is_good = request->is_answered ? request->status != 503 || !runs
					    : !runs || may_be_cut;

	if (!is_good)
		printf("%s sent at %d ms, work %d ms, slow %d: %s %ld, %d "
		       "runs\n",
		       request->is_once ? "POST" : "GET", request->sent_ms,
		       request->work_ms, request->is_slow,
		       request->is_answered ? "answered" : "cut",
		       request->status, runs);
	CU_ASSERT_TRUE(is_good);
	g_free(line);
}

/*
 * Stops a daemon and sends it requests of some amount of work until it ends.
 * The upstreams that run them are beside other daemons, which stay.
 */
static void stop_with_requests(const char *settings, int work_ms)
{
	platform_t *platform = routes_start(serve, settings, services);
	late_request_t requests[REQUESTS] = {0};
	GThread *threads[REQUESTS];

	for (int i = 0; i < REQUESTS; i++) {
		requests[i] = (late_request_t){
			.platform = platform,
			.number = i,
			.sent_ms = (i + 1) * INTERVAL_MS,
			.work_ms = work_ms,
			.is_slow = i % 4 >= 2,
			.is_once = i % 2 == 1,
		};
		open_connection(&requests[i]);
	}
	gint64 stop_us = g_get_monotonic_time();

	platform_signal_daemon(&platform->vms[0], SIGTERM, false);
	for (int i = 0; i < REQUESTS; i++) {
		requests[i].stop_us = stop_us;
		threads[i] = g_thread_new("late", run_request, &requests[i]);
	}
	for (int i = 0; i < REQUESTS; i++)
		g_thread_join(threads[i]);
	platform_signal_daemon(&platform->vms[0], 0, true);
	CU_ASSERT(g_get_monotonic_time() - stop_us < STOP_TIMEOUT_MS * 1000);
	for (int i = 0; i < REQUESTS; i++)
		check_request(&requests[i]);
	routes_stop(platform);
}

/* Settings as on the platform: new requests are taken for 2.2 s. */
static void test_platform_settings(void)
{
	static const char settings[] = "drain_linger_ms: 2200\n"
				       "stop_timeout: 6s\nupstream_slots: 64\n";

	stop_with_requests(settings, 1000);
	stop_with_requests(settings, 3000);
	stop_with_requests(settings, 5000);
}

/*
 * Guards against requests being taken so late, under a long drain_linger_ms,
 * that the end of the stop timeout cuts them off.
 */
static void test_long_linger(void)
{
	static const char settings[] = "drain_linger_ms: 5000\n"
				       "stop_timeout: 6s\nupstream_slots: 64\n";

	stop_with_requests(settings, 1000);
	stop_with_requests(settings, 3000);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"platform settings", test_platform_settings},
		{"long linger", test_long_linger},
		{NULL, NULL},
	};

	return suite_main("late requests", tests);
}
