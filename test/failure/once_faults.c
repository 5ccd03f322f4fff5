/*
 * A non-idempotent request is executed at most once, whatever fails during
 * its execution and however often its customer retries it through another
 * daemon. Executions are counted in the upstreams' records.
 */
#include <CUnit/CUnit.h>

#include "support/site.h"

#define TARGET "/deposits/pay?order=1"
/* Bodies of 100 kB, so that an answer needs several reads of a stream. */
#define UPSTREAM_OPTIONS "--fixed|--body-bytes=100000"
#define DAEMON_SETTINGS "probe_interval_ms: 100\n"
#define PAST_DEADLINE_US (6 * G_USEC_PER_SEC)
#define ANY_OUTCOME ""
#define ANY_STARTS (-1)

/*
 * The home issues the ticket and receives the request; the executor's upstream
 * runs it. Retries are sent through the other VM.
 */
typedef struct fixture {
	site_t *site;
	site_vm_t *home, *executor, *other;
	char *ticket;
} fixture_t;

typedef enum fault {
	NO_FAULT,
	KILL_HOME,
	KILL_EXECUTOR,
	KILL_UPSTREAM,
	PAUSE_HOME,
	PAUSE_EXECUTOR,
	BREAK_STREAMS,
	BREAK_STREAMS_LATE,
	PARTITION,
} fault_t;

typedef struct fault_case {
	const char *name;
	const char *upstream; /* behaviour of the executor's upstream */
	const char *during; /* outcome of a retry while the fault lasts */
	const char *first; /* outcome of the request itself */
	const char *after; /* outcome of a retry after the fault */
	fault_t fault; /* injected during the request, cleared after it */
	int starts; /* expected executions, or ANY_STARTS */
} fault_case_t;

/* Pauses a daemon until the deadline of the request has passed. */
static void pause_past_deadline(site_vm_t *vm)
{
	site_process_pause(&vm->daemon);
	g_usleep(PAST_DEADLINE_US);
	site_process_resume(&vm->daemon);
	CU_ASSERT(site_wait_ready(vm));
}

/*
 * Breaks the streams after the execution, when the answer is in transit or
 * has been received.
 */
static void break_streams_late(const fixture_t *fixture)
{
	int64_t deadline = 0;

	while (site_count_events(fixture->site, "finish", TARGET) == 0 &&
	       site_poll(&deadline))
		;
	site_close_streams(fixture->home);
}

static void inject_fault(const fixture_t *fixture, fault_t fault)
{
	if (fault == KILL_HOME)
		site_process_kill(&fixture->home->daemon);
	else if (fault == KILL_EXECUTOR)
		site_process_kill(&fixture->executor->daemon);
	else if (fault == KILL_UPSTREAM)
		site_process_kill(&fixture->executor->upstream);
	else if (fault == PAUSE_HOME)
		pause_past_deadline(fixture->home);
	else if (fault == PAUSE_EXECUTOR)
		pause_past_deadline(fixture->executor);
	else if (fault == BREAK_STREAMS)
		site_close_streams(fixture->home);
	else if (fault == BREAK_STREAMS_LATE)
		break_streams_late(fixture);
	else if (fault == PARTITION)
		site_set_partition(fixture->site, true);
}

/* Restarts killed processes and ends a partition. */
static void clear_fault(const fixture_t *fixture, fault_t fault)
{
	if (fault == KILL_HOME)
		CU_ASSERT(site_start_daemon(fixture->home));
	if (fault == KILL_EXECUTOR)
		CU_ASSERT(site_start_daemon(fixture->executor));
	if (fault == KILL_UPSTREAM)
		site_start_upstream(fixture->executor, UPSTREAM_OPTIONS);
	if (fault == PARTITION)
		site_set_partition(fixture->site, false);
	site_control_upstream(fixture->executor, "close=none");
	CU_ASSERT(site_wait_ready(fixture->home));
}

static const fault_case_t cases[] = {
	{"retries join the one execution", "service_ms=500", "complete",
	 "complete", "complete", NO_FAULT, 1},
	{"home is killed", "service_ms=500", "unknown", ANY_OUTCOME, "unknown",
	 KILL_HOME, 1},
	{"executor is killed", "service_ms=500", "unknown", "unknown",
	 "unknown", KILL_EXECUTOR, 1},
	{"upstream is killed", "service_ms=500", "unknown", "unknown",
	 "unknown", KILL_UPSTREAM, 1},
	{"upstream drops the answer", "service_ms=200&close=after", "unknown",
	 "unknown", "unknown", NO_FAULT, 1},
	{"upstream drops the request", "close=before", "unknown", "unknown",
	 "unknown", NO_FAULT, 0},
	{"home is paused past the deadline", "service_ms=500", ANY_OUTCOME,
	 ANY_OUTCOME, ANY_OUTCOME, PAUSE_HOME, 1},
	{"executor is paused past the deadline", "service_ms=500", ANY_OUTCOME,
	 ANY_OUTCOME, "complete", PAUSE_EXECUTOR, 1},
	{"streams break", "service_ms=1000", "complete", "complete", "complete",
	 BREAK_STREAMS, 1},
	{"streams break late", "service_ms=200", "complete", "complete",
	 "complete", BREAK_STREAMS_LATE, 1},
	{"partition", "service_ms=1000", "unknown", ANY_OUTCOME, ANY_OUTCOME,
	 PARTITION, 1},
	{"partition before it runs", "service_ms=5", "unknown", ANY_OUTCOME,
	 ANY_OUTCOME, PARTITION, ANY_STARTS},
};

static void start_fixture(fixture_t *fixture)
{
	fixture->site = site_new("examples/trinacria.yaml");
	fixture->home = site_add(fixture->site, "home", "a", "bookings",
				 UPSTREAM_OPTIONS, DAEMON_SETTINGS);
	fixture->executor = site_add(fixture->site, "executor", "b", "deposits",
				     UPSTREAM_OPTIONS, DAEMON_SETTINGS);
	fixture->other = site_add(fixture->site, "other", "c", "assignment",
				  UPSTREAM_OPTIONS, DAEMON_SETTINGS);
	CU_ASSERT_FATAL(site_start(fixture->site));
	fixture->ticket = site_get_ticket(fixture->home, TARGET);
}

/* Checks the outcome of an answer against the execution records. */
static void check_answer(const fixture_t *fixture, http_exchange_t *answer,
			 const char *expected)
{
	int starts = site_count_events(fixture->site, "start", TARGET);

	CU_ASSERT(starts <= 1);
	if (site_has_outcome(answer, "not-run"))
		CU_ASSERT_EQUAL(starts, 0);
	if (site_has_outcome(answer, "complete"))
		CU_ASSERT(site_is_complete(answer, TARGET) && starts == 1);
	if (*expected && !site_has_outcome(answer, expected)) {
		printf("expected %s, got %ld %s %s\n", expected, answer->status,
		       http_header(answer, "dogwoodshift-outcome"),
		       http_header(answer, "dogwoodshift-reason"));
		CU_FAIL("unexpected outcome");
	}
	http_free(answer);
}

/* Retries with the same ticket through the other daemon. */
static void retry(const fixture_t *fixture, const char *expected)
{
	http_exchange_t answer;

	site_call(&answer, fixture->other, "POST", TARGET, "hotel-etna",
		  fixture->ticket);
	check_answer(fixture, &answer, expected);
}

/*
 * Sends a request, injects the fault, retries while the fault lasts and again
 * after it has been cleared. Unless exactly one execution is expected, the
 * fault is injected before the request is sent.
 */
static void run_case(const fault_case_t *fault_case)
{
	fixture_t fixture;
	http_exchange_t answer;
	int64_t deadline = 0;
	bool runs_before_fault = fault_case->starts == 1;

	start_fixture(&fixture);
	site_control_upstream(fixture.executor, fault_case->upstream);
	if (!runs_before_fault)
		inject_fault(&fixture, fault_case->fault);
	site_pending_request_t *first = site_call_async(
		fixture.home, "POST", TARGET, "hotel-etna", fixture.ticket);

	while (runs_before_fault &&
	       site_count_events(fixture.site, "start", TARGET) == 0 &&
	       site_poll(&deadline))
		;
	if (runs_before_fault)
		inject_fault(&fixture, fault_case->fault);
	retry(&fixture, fault_case->during);
	site_await_answer(first, &answer);
	check_answer(&fixture, &answer, fault_case->first);
	clear_fault(&fixture, fault_case->fault);
	retry(&fixture, fault_case->after);
	if (fault_case->starts != ANY_STARTS)
		CU_ASSERT_EQUAL(
			site_count_events(fixture.site, "start", TARGET),
			fault_case->starts);
	g_free(fixture.ticket);
	site_free(fixture.site);
}

/* CUnit's tests take no arguments, so each call runs the next case. */
static void run_next_case(void)
{
	static size_t next;

	run_case(&cases[next++]);
}

int main(void)
{
	suite_test_t tests[G_N_ELEMENTS(cases) + 1] = {{NULL, NULL}};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		tests[i] = (suite_test_t){cases[i].name, run_next_case};
	return site_main("at most once", tests);
}
