/*
 * Requests of callers: each gets its own answer whatever the order, malformed
 * and oversized ones are refused as not run, and a hang-up is noticed.
 */
#include "connection/http_answer_io.h"
#include "connection/http_server_io.h"
#include "io_loop.h"

#define BODY_MAX_BYTES 64
#define CALLERS 200

/* Plays the node's part. */
typedef struct owner {
	struct ev_loop *ev;
	dws_counters_t counters;
	dws_http_server_t server;
	uint64_t calls;
	uint64_t gone;
	bool answers_at_once;
	bool answers_earlier; /* answers the first call during another */
	char seen[256]; /* of the latest call */
} owner_t;

static void answer(owner_t *owner, uint64_t call_id)
{
	char body[32];
	int length = g_snprintf(body, sizeof(body), "answer %d.", (int)call_id);
	const dws_answer_t complete = {
		.status = 200,
		.content_type = "text/plain",
		.body = (const uint8_t *)body,
		.body_size_bytes = (size_t)length,
		.next_ticket = "ticket",
	};

	dws_http_server_answer(&owner->server, call_id, &complete);
}

static uint64_t on_call(void *context, const dws_call_t *call)
{
	owner_t *owner = context;

	g_snprintf(owner->seen, sizeof(owner->seen), "%s %s %s %s %d %d %d %d",
		   call->method, call->path, call->customer, call->traceparent,
		   call->is_nested, (int)call->parent_attempt,
		   (int)call->timeout_us, (int)call->body_size_bytes);
	owner->calls++;
	if (owner->answers_at_once) {
		answer(owner, owner->calls + 100);
		answer(owner, owner->calls);
	}
	if (owner->answers_earlier)
		answer(owner, 1);
	return owner->calls;
}

static void on_gone(void *context, uint64_t call_id)
{
	((owner_t *)context)->gone++;
}

static char *on_describe(void *context, const char *view)
{
	return g_strdup("{}");
}

static char *on_metrics(void *context)
{
	return g_strdup("metric 1\n");
}

static void on_drain(void *context)
{
}

static const dws_http_server_ops_t ops = {on_call, on_gone, on_describe,
					  on_metrics, on_drain};

static void start(owner_t *owner)
{
	dws_settings_t settings = {
		.callers_listen = {"127.0.0.1", 0},
		.upstream_listen = {"127.0.0.1", 0},
		.admin_listen = {"127.0.0.1", 0},
		.max_body_bytes = BODY_MAX_BYTES,
		.max_connections = CALLERS,
	};

	memset(owner, 0, sizeof(*owner));
	owner->ev = ev_loop_new(0);
	CU_ASSERT_TRUE_FATAL(dws_http_server_init(&owner->server, &ops, owner,
						  owner->ev, &owner->counters,
						  &settings, NULL));
}

static void stop(owner_t *owner)
{
	dws_http_server_finish(&owner->server);
	ev_loop_destroy(owner->ev);
}

/* Sends a request and checks that the reply holds a text. */
static void expect(owner_t *owner, dws_listener_role_t role, const char *line,
		   const char *headers, const char *wanted)
{
	int fd = io_connect(&owner->server.listeners[role].address);

	io_send_text(fd, line);
	io_send_text(fd, " HTTP/1.1\r\nHost: x\r\n");
	io_send_text(fd, headers);
	char *reply = io_read_until(owner->ev, fd, wanted);

	CU_ASSERT_PTR_NOT_NULL(strstr(reply, wanted));
	g_free(reply);
	close(fd);
}

static void test_refused_heads(void)
{
	static const char *const bad[] = {
		"Dogwoodshift-Customer: two words\r\n\r\n",
		"Dogwoodshift-Timeout-Ms: 0\r\n\r\n",
		"Dogwoodshift-Timeout-Ms: 600001\r\n\r\n",
		"Dogwoodshift-Timeout-Ms: 99999999999999999999\r\n\r\n",
		"Dogwoodshift-Timeout-Ms: 1s\r\n\r\n",
		"Dogwoodshift-Ticket: \xff\r\n\r\n",
		"Content-Type: a\x01\r\n\r\n",
	};
	owner_t owner;

	start(&owner);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		expect(&owner, DWS_LISTENER_CALLERS, "GET /a", bad[i],
		       "{\"outcome\":\"not-run\",\"reason\":\"bad-request\"");
	expect(&owner, DWS_LISTENER_UPSTREAM, "GET /a",
	       "Dogwoodshift-Call: 12\r\n\r\n", "HTTP/1.1 400");
	char *body = g_strnfill(100000, 'x');
	char *request =
		g_strconcat("Content-Length: 100000\r\n\r\n", body, NULL);

	expect(&owner, DWS_LISTENER_CALLERS, "POST /a", request,
	       "\"outcome\":\"not-run\",\"reason\":\"too-large\"");
	CU_ASSERT_EQUAL(owner.calls, 0);
	g_free(request);
	g_free(body);
	stop(&owner);
}

static void test_heads(void)
{
	owner_t owner;

	start(&owner);
	owner.answers_at_once = true;
	expect(&owner, DWS_LISTENER_CALLERS, "GET /a%2fb?c=%20",
	       "Dogwoodshift-Customer: ann\r\n"
	       "Dogwoodshift-Timeout-Ms: 600000\r\n"
	       "traceparent: 01-0af7651916cd43dd8448eb211c80319c-"
	       "b7ad6b7169203331-01-x\r\n\r\n",
	       "answer 1.");
	CU_ASSERT_STRING_EQUAL(owner.seen,
			       "GET /a%2fb?c=%20 ann 01-0af7651916cd43dd8448eb2"
			       "11c80319c-b7ad6b7169203331-01 0 0 600000000 0");
	expect(&owner, DWS_LISTENER_UPSTREAM, "POST /a",
	       "Content-Length: 3\r\nDogwoodshift-Call: 00000000000000ff"
	       "\r\n\r\nabc",
	       "Dogwoodshift-Next-Ticket: ticket\r\n");
	CU_ASSERT_STRING_EQUAL(owner.seen, "POST /a (null) (null) 1 255 0 3");
	stop(&owner);
}

/* Answers that come in the opposite order find their callers. */
static void test_order(void)
{
	owner_t owner;
	int fds[CALLERS];
	char wanted[32];

	start(&owner);
	for (int i = 0; i < CALLERS; i++) {
		fds[i] = io_connect(
			&owner.server.listeners[DWS_LISTENER_CALLERS].address);
		io_send_text(fds[i], "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
		CU_ASSERT_TRUE(
			io_run_until(owner.ev, &owner.calls, (uint64_t)i + 1));
	}
	for (int i = CALLERS; i > 0; i--)
		answer(&owner, (uint64_t)i);
	for (int i = 0; i < CALLERS; i++) {
		g_snprintf(wanted, sizeof(wanted), "answer %d.", i + 1);
		char *reply = io_read_until(owner.ev, fds[i], wanted);

		CU_ASSERT_PTR_NOT_NULL(strstr(reply, wanted));
		g_free(reply);
		close(fds[i]);
	}
	CU_ASSERT_EQUAL(owner.gone, 0);
	stop(&owner);
}

static void test_hang_up_and_stop(void)
{
	owner_t owner;

	start(&owner);
	const dws_address_t *address =
		&owner.server.listeners[DWS_LISTENER_CALLERS].address;
	int gone = io_connect(address);
	int waiting = io_connect(address);

	io_send_text(gone, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
	io_send_text(waiting, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
	CU_ASSERT_TRUE(io_run_until(owner.ev, &owner.calls, 2));
	/* A next request that has been sent already hides no hang-up. */
	io_send_text(gone, "GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
	ev_run(owner.ev, EVRUN_NOWAIT);
	close(gone);
	CU_ASSERT_TRUE(io_run_until(owner.ev, &owner.gone, 1));
	CU_ASSERT_EQUAL(owner.calls, 2);
	struct ev_loop *ev = ev_loop_new(0);

	stop(&owner);
	char *reply = io_read_until(ev, waiting, NULL);

	CU_ASSERT_PTR_NOT_NULL(strstr(reply, "\"outcome\":\"unknown\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(reply, "Connection: close"));
	g_free(reply);
	close(waiting);
	ev_loop_destroy(ev);
}

static void test_refusal_is_json(void)
{
	const dws_answer_t refusal = {
		.outcome = DWS_OUTCOME_UNKNOWN,
		.detail = "a\"b\\c\n\x01\xff",
		.retry_after_ms = 1500,
	};
	char *json = dws_http_refusal_json(&refusal);

	CU_ASSERT_STRING_EQUAL(json, "{\"outcome\":\"unknown\",\"reason\":"
				     "\"none\",\"detail\":\"a\\\"b\\\\c\\u000a"
				     "\\u0001\xef\xbf\xbd\",\"retry_after_ms\":"
				     "1500}\n");
	g_free(json);
}

/* A call may end another one, which must not wait for the next event. */
static void test_answer_during_another_call(void)
{
	owner_t owner;
	int fds[2];

	start(&owner);
	for (int i = 0; i < 2; i++) {
		owner.answers_earlier = i == 1;
		fds[i] = io_connect(
			&owner.server.listeners[DWS_LISTENER_CALLERS].address);
		io_send_text(fds[i], "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
		CU_ASSERT_TRUE(
			io_run_until(owner.ev, &owner.calls, (uint64_t)i + 1));
	}
	char *reply = io_read_until(owner.ev, fds[0], "answer 1.");

	CU_ASSERT_PTR_NOT_NULL(strstr(reply, "answer 1."));
	g_free(reply);
	close(fds[0]);
	close(fds[1]);
	stop(&owner);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"heads", test_heads},
		{"refused heads", test_refused_heads},
		{"order", test_order},
		{"answer during another call", test_answer_during_another_call},
		{"hang-up and stop", test_hang_up_and_stop},
		{"refusal is JSON", test_refusal_is_json},
		{NULL, NULL},
	};

	return suite_main("HTTP server", tests);
}
