/*
 * A non-idempotent request runs at most once, whatever fails while it runs,
 * and however often its customer retries through another daemon. The
 * upstreams' records of executions are the oracle.
 */
#include <CUnit/CUnit.h>

#include "support/site.h"

#define TARGET "/deposits/pay?order=1"
/* Answers are too large for one read of a stream. */
#define FIXED "--fixed|--body-bytes=100000"
#define FAST_PROBES "probe_interval_ms: 100\n"
#define PAST_DEADLINE_US (6 * G_USEC_PER_SEC)
#define ANY_OUTCOME ""
#define ANY_STARTS (-1)

/* The home takes the request; the executor's upstream runs it. */
typedef struct scene {
	site_t *site;
	site_vm_t *home, *executor, *other;
	char *ticket;
} scene_t;

typedef enum fault {
	NO_FAULT,
	KILL_HOME,
	KILL_EXECUTOR,
	KILL_UPSTREAM,
	OVERSLEEP_HOME,
	OVERSLEEP_EXECUTOR,
	BREAK_STREAMS,
	BREAK_STREAMS_LATE,
	PARTITION,
} fault_t;

typedef struct fault_case {
	const char *name;
	const char *upstream; /* behaviour of the executor's upstream */
	const char *during; /* outcome of a retry after the fault */
	const char *first; /* outcome of the request itself */
	const char *after; /* outcome of a retry at the end */
	fault_t fault; /* once the request runs; mended after its answer */
	int starts; /* executions */
} fault_case_t;

/* Stops a daemon until the deadline of the request is over. */
static void oversleep(site_vm_t *vm)
{
	site_pause(&vm->daemon);
	g_usleep(PAST_DEADLINE_US);
	site_continue(&vm->daemon);
	CU_ASSERT(site_wait_ready(vm));
}

/* Breaks the streams when the answer is on its way or has arrived. */
static void break_streams_late(const scene_t *scene)
{
	int64_t deadline = 0;

	while (site_count(scene->site, "finish", TARGET) == 0 &&
	       site_waits(&deadline))
		;
	site_break_streams(scene->home);
}

/* Brings about a fault. */
static void inflict(const scene_t *scene, fault_t fault)
{
	if (fault == KILL_HOME)
		site_kill(&scene->home->daemon);
	else if (fault == KILL_EXECUTOR)
		site_kill(&scene->executor->daemon);
	else if (fault == KILL_UPSTREAM)
		site_kill(&scene->executor->upstream);
	else if (fault == OVERSLEEP_HOME)
		oversleep(scene->home);
	else if (fault == OVERSLEEP_EXECUTOR)
		oversleep(scene->executor);
	else if (fault == BREAK_STREAMS)
		site_break_streams(scene->home);
	else if (fault == BREAK_STREAMS_LATE)
		break_streams_late(scene);
	else if (fault == PARTITION)
		site_set_partition(scene->site, true);
}

/* Starts again what was killed, and joins what was parted. */
static void mend(const scene_t *scene, fault_t fault)
{
	if (fault == KILL_HOME)
		CU_ASSERT(site_start_daemon(scene->home));
	if (fault == KILL_EXECUTOR)
		CU_ASSERT(site_start_daemon(scene->executor));
	if (fault == KILL_UPSTREAM)
		site_start_upstream(scene->executor, FIXED);
	if (fault == PARTITION)
		site_set_partition(scene->site, false);
	site_upstream(scene->executor, "close=none");
	CU_ASSERT(site_wait_ready(scene->home));
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
	{"home sleeps past the deadline", "service_ms=500", ANY_OUTCOME,
	 ANY_OUTCOME, ANY_OUTCOME, OVERSLEEP_HOME, 1},
	{"executor sleeps past the deadline", "service_ms=500", ANY_OUTCOME,
	 ANY_OUTCOME, "complete", OVERSLEEP_EXECUTOR, 1},
	{"streams break", "service_ms=1000", "complete", "complete", "complete",
	 BREAK_STREAMS, 1},
	{"streams break late", "service_ms=200", "complete", "complete",
	 "complete", BREAK_STREAMS_LATE, 1},
	{"partition", "service_ms=1000", "unknown", ANY_OUTCOME, ANY_OUTCOME,
	 PARTITION, 1},
	{"partition before it runs", "service_ms=5", "unknown", ANY_OUTCOME,
	 ANY_OUTCOME, PARTITION, ANY_STARTS},
};

static void begin(scene_t *scene)
{
	scene->site = site_new("examples/trinacria.yaml");
	scene->home = site_add(scene->site, "home", "a", "bookings", FIXED,
			       FAST_PROBES);
	scene->executor = site_add(scene->site, "executor", "b", "deposits",
				   FIXED, FAST_PROBES);
	scene->other = site_add(scene->site, "other", "c", "assignment", FIXED,
				FAST_PROBES);
	CU_ASSERT_FATAL(site_start(scene->site));
	scene->ticket = site_ticket(scene->home, TARGET);
}

/* Checks what an answer claims against the record of executions. */
static void check(const scene_t *scene, http_exchange_t *answer,
		  const char *expected)
{
	int starts = site_count(scene->site, "start", TARGET);

	CU_ASSERT(starts <= 1);
	if (site_has_outcome(answer, "not-run"))
		CU_ASSERT_EQUAL(starts, 0);
	if (site_has_outcome(answer, "complete"))
		CU_ASSERT(site_is_complete(answer, TARGET) && starts == 1);
	if (*expected && !site_has_outcome(answer, expected)) {
		printf("expected %s, got %ld %s %s\n", expected, answer->status,
		       http_header(answer, "dogwoodshift-outcome"),
		       http_header(answer, "dogwoodshift-reason"));
		CU_FAIL("another outcome");
	}
	http_finish(answer);
}

/* Retries with the same ticket through the third daemon. */
static void retry(const scene_t *scene, const char *expected)
{
	http_exchange_t answer;

	site_call(&answer, scene->other, "POST", TARGET, "hotel-etna",
		  scene->ticket);
	check(scene, &answer, expected);
}

/* Sends a request, brings about the fault, and retries meanwhile and after. */
static void run_case(const fault_case_t *fault_case)
{
	scene_t scene;
	http_exchange_t answer;
	int64_t deadline = 0;
	bool runs_before = fault_case->starts == 1;

	begin(&scene);
	site_upstream(scene.executor, fault_case->upstream);
	if (!runs_before)
		inflict(&scene, fault_case->fault);
	site_task_t *first = site_call_later(scene.home, "POST", TARGET,
					     "hotel-etna", scene.ticket);

	while (runs_before && site_count(scene.site, "start", TARGET) == 0 &&
	       site_waits(&deadline))
		;
	if (runs_before)
		inflict(&scene, fault_case->fault);
	retry(&scene, fault_case->during);
	site_join(first, &answer);
	check(&scene, &answer, fault_case->first);
	mend(&scene, fault_case->fault);
	retry(&scene, fault_case->after);
	if (fault_case->starts != ANY_STARTS)
		CU_ASSERT_EQUAL(site_count(scene.site, "start", TARGET),
				fault_case->starts);
	g_free(scene.ticket);
	site_free(scene.site);
}

/* CUnit's tests take no arguments: each runs the case after the last one. */
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
