/*
 * Dispatches: a non-idempotent one reaches the upstream once whatever the
 * connection does, an answer counts only if it is whole, and "not sent" is
 * said only of what the upstream can't have seen.
 */
#include "connection/http_client_io.h"
#include "io_loop.h"

#define ANSWER_MAX_BYTES 10
#define OK_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

/* An upstream that answers every request with a script's next line. */
typedef struct upstream {
	struct ev_loop *ev;
	dws_address_t address;
	int fd;
	ev_io acceptable;
	ev_io readable[8];
	uint32_t connections;
	uint32_t requests;
	const char *const *script; /* NULL: close without an answer */
	dws_http_client_t client;
	dws_dispatch_outcome_t outcome;
	uint64_t ended;
	bool platform_ok;
	char *text;
} upstream_t;

static void on_request(struct ev_loop *ev, ev_io *watcher, int events)
{
	upstream_t *upstream = watcher->data;
	char part[2000] = "";
	ssize_t got = recv(watcher->fd, part, sizeof(part) - 1, MSG_DONTWAIT);
	const char *answer = NULL;

	if (got > 0)
		answer = upstream->script[upstream->requests++];
	if (answer)
		io_send_text(watcher->fd, answer);
	if (answer && strstr(answer, "\r\nConnection: close") == NULL)
		return;
	ev_io_stop(ev, watcher);
	close(watcher->fd);
}

static void on_accept(struct ev_loop *ev, ev_io *watcher, int events)
{
	upstream_t *upstream = watcher->data;
	int fd = accept(watcher->fd, NULL, NULL);
	ev_io *readable = &upstream->readable[upstream->connections++];

	ev_io_init(readable, on_request, fd, EV_READ);
	readable->data = upstream;
	ev_io_start(ev, readable);
}

static void on_dispatched(void *context, uint64_t attempt_id,
			  const dws_dispatch_outcome_t *outcome)
{
	upstream_t *upstream = context;

	upstream->outcome = *outcome;
	upstream->ended++;
}

static void on_platform(void *context, dws_platform_item_t item, bool ok,
			const char *text, size_t size_bytes)
{
	upstream_t *upstream = context;

	upstream->platform_ok = ok;
	upstream->text = g_strndup(text ? text : "", size_bytes);
	upstream->ended++;
}

static const dws_http_client_ops_t ops = {on_dispatched, on_platform};

static void start(upstream_t *upstream, const char *const *script)
{
	dws_settings_t settings = {.max_body_bytes = ANSWER_MAX_BYTES};

	memset(upstream, 0, sizeof(*upstream));
	upstream->ev = ev_loop_new(0);
	upstream->script = script;
	g_strlcpy(upstream->address.ip, "127.0.0.1", 46);
	upstream->fd = dws_address_bind(&upstream->address, SOCK_STREAM, NULL);
	ev_io_init(&upstream->acceptable, on_accept, upstream->fd, EV_READ);
	upstream->acceptable.data = upstream;
	ev_io_start(upstream->ev, &upstream->acceptable);
	settings.upstream = upstream->address;
	settings.platform = upstream->address;
	CU_ASSERT_TRUE_FATAL(dws_http_client_init(&upstream->client, &ops,
						  upstream, upstream->ev,
						  &settings, NULL));
}

static void stop(upstream_t *upstream)
{
	dws_http_client_finish(&upstream->client);
	for (uint32_t i = 0; i < upstream->connections; i++) {
		if (ev_is_active(&upstream->readable[i]))
			close(upstream->readable[i].fd);
	}
	close(upstream->fd);
	ev_loop_destroy(upstream->ev);
}

/* Dispatches and returns how it ended. */
static dws_dispatch_result_t dispatch(upstream_t *upstream, bool idempotent,
				      int64_t timeout_us)
{
	const dws_dispatch_t work = {
		.attempt_id = 7,
		.method = "POST",
		.path = "/deposits/a/../b?c#d",
		.body = (const uint8_t *)"body",
		.body_size_bytes = 4,
		.deadline_us = timeout_us,
		.idempotent = idempotent,
	};

	upstream->ended = 0;
	dws_http_client_dispatch(&upstream->client, 0, &work);
	CU_ASSERT_EQUAL(upstream->ended, 0);
	CU_ASSERT_TRUE(io_wait(upstream->ev, &upstream->ended, 1));
	return upstream->outcome.result;
}

/* The second request is read, and its connection closed unanswered. */
static void test_sent_once(void)
{
	static const char *const script[] = {OK_ANSWER, NULL, OK_ANSWER,
					     OK_ANSWER};
	upstream_t upstream;

	start(&upstream, script);
	CU_ASSERT_EQUAL(dispatch(&upstream, true, DWS_US_PER_S * 20),
			DWS_DISPATCH_ANSWERED);
	CU_ASSERT_EQUAL(dispatch(&upstream, false, DWS_US_PER_S * 20),
			DWS_DISPATCH_LOST);
	CU_ASSERT_EQUAL(upstream.requests, 2);
	CU_ASSERT_EQUAL(dispatch(&upstream, false, DWS_US_PER_S * 20),
			DWS_DISPATCH_ANSWERED);
	CU_ASSERT_EQUAL(upstream.requests, 3);
	CU_ASSERT_EQUAL(upstream.connections, 3);
	stop(&upstream);
}

static void test_whole_answers_only(void)
{
	static const char *const script[] = {
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf?",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n"
		"\r\nhalf",
		"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n12345678901",
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n"
		"dogwoodshift-outcome: NOT-RUN\r\n\r\n",
		"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n"
		"Dogwoodshift-Outcome: not-run\r\n\r\n0\r\n\r\n",
		"", /* nothing until the deadline */
	};
	upstream_t upstream;

	start(&upstream, script);
	for (int i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(dispatch(&upstream, false, DWS_US_PER_S * 20),
				DWS_DISPATCH_LOST);
	CU_ASSERT_EQUAL(dispatch(&upstream, false, DWS_US_PER_S * 20),
			DWS_DISPATCH_ANSWERED);
	CU_ASSERT_TRUE(upstream.outcome.refused);
	CU_ASSERT_EQUAL(dispatch(&upstream, false, DWS_US_PER_S * 20),
			DWS_DISPATCH_ANSWERED);
	CU_ASSERT_FALSE(upstream.outcome.refused);
	CU_ASSERT_EQUAL(dispatch(&upstream, false, DWS_US_PER_S / 20),
			DWS_DISPATCH_LOST);
	CU_ASSERT_EQUAL(upstream.requests, 6);
	stop(&upstream);
}

static void test_not_sent(void)
{
	upstream_t upstream;

	start(&upstream, NULL);
	CU_ASSERT_EQUAL(dispatch(&upstream, false, 0), DWS_DISPATCH_NOT_SENT);
	ev_io_stop(upstream.ev, &upstream.acceptable);
	close(upstream.fd);
	CU_ASSERT_EQUAL(dispatch(&upstream, false, DWS_US_PER_S * 20),
			DWS_DISPATCH_NOT_SENT);
	stop(&upstream);
}

static void test_platform(void)
{
	static const char *const script[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnews",
		"HTTP/1.1 204 No\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf?",
		"HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nnews"};
	static const char *const texts[] = {"news", "", "", ""};
	upstream_t upstream;

	start(&upstream, script);
	for (int i = 0; i < 4; i++) {
		upstream.ended = 0;
		dws_http_client_read(&upstream.client, DWS_PLATFORM_CONFIG, 3,
				     IO_LIMIT_S * 1000);
		CU_ASSERT_TRUE(io_wait(upstream.ev, &upstream.ended, 1));
		CU_ASSERT_EQUAL(upstream.platform_ok, i < 2);
		CU_ASSERT_STRING_EQUAL(upstream.text, texts[i]);
		g_free(upstream.text);
	}
	stop(&upstream);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"sent once", test_sent_once},
		{"whole answers only", test_whole_answers_only},
		{"not sent", test_not_sent},
		{"platform", test_platform},
		CU_TEST_INFO_NULL,
	};

	return io_run_tests("HTTP client", tests);
}
