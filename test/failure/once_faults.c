/*
 * A non-idempotent request runs at most once, whatever fails while it runs,
 * and however often its customer retries through another daemon. The
 * upstreams' records of executions are the oracle.
 */
#include <CUnit/CUnit.h>

#include "support/site.h"

#define TARGET "/deposits/pay?order=1"
#define FIXED "--fixed"
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

typedef struct fault_case {
	const char *name;
	const char *upstream; /* behaviour of the executor's upstream */
	void (*fault)(scene_t *scene); /* once the request runs */
	void (*mend)(scene_t *scene); /* after its answer */
	const char *during; /* outcome of a retry after the fault */
	const char *first; /* outcome of the request itself */
	const char *after; /* outcome of a retry at the end */
	int starts; /* executions */
} fault_case_t;

static void kill_home(scene_t *scene)
{
	site_kill(&scene->home->daemon);
}

static void start_home(scene_t *scene)
{
	CU_ASSERT(site_start_daemon(scene->home));
}

static void kill_executor(scene_t *scene)
{
	site_kill(&scene->executor->daemon);
}

static void start_executor(scene_t *scene)
{
	CU_ASSERT(site_start_daemon(scene->executor));
}

static void kill_upstream(scene_t *scene)
{
	site_kill(&scene->executor->upstream);
}

static void start_upstream(scene_t *scene)
{
	site_start_upstream(scene->executor, FIXED);
}

static void close_no_more(scene_t *scene)
{
	site_upstream(scene->executor, "close=none");
}

/* Stops a daemon until the deadline of the request is over. */
static void oversleep(site_vm_t *vm)
{
	site_pause(&vm->daemon);
	g_usleep(PAST_DEADLINE_US);
	site_continue(&vm->daemon);
	CU_ASSERT(site_wait_ready(vm));
}

static void oversleep_home(scene_t *scene)
{
	oversleep(scene->home);
}

static void oversleep_executor(scene_t *scene)
{
	oversleep(scene->executor);
}

static void break_streams(scene_t *scene)
{
	site_break_streams(scene->home);
}

/* Breaks the streams when the answer is on its way or has arrived. */
static void break_streams_late(scene_t *scene)
{
	int64_t deadline = 0;

	while (site_count(scene->site, "finish", TARGET) == 0 &&
	       site_waits(&deadline))
		;
	site_break_streams(scene->home);
}

static void part(scene_t *scene)
{
	site_set_partition(scene->site, true);
}

static void join(scene_t *scene)
{
	site_set_partition(scene->site, false);
	CU_ASSERT(site_wait_ready(scene->home));
}

static const fault_case_t cases[] = {
	{"retries join the one execution", "service_ms=500", NULL, NULL,
	 "complete", "complete", "complete", 1},
	{"home is killed", "service_ms=500", kill_home, start_home, "unknown",
	 ANY_OUTCOME, "unknown", 1},
	{"executor is killed", "service_ms=500", kill_executor, start_executor,
	 "unknown", "unknown", "unknown", 1},
	{"upstream is killed", "service_ms=500", kill_upstream, start_upstream,
	 "unknown", "unknown", "unknown", 1},
	{"upstream drops the answer", "service_ms=200&close=after", NULL,
	 close_no_more, "unknown", "unknown", "unknown", 1},
	{"upstream drops the request", "close=before", NULL, close_no_more,
	 "unknown", "unknown", "unknown", 0},
	{"home sleeps past the deadline", "service_ms=500", oversleep_home,
	 NULL, ANY_OUTCOME, ANY_OUTCOME, ANY_OUTCOME, 1},
	{"executor sleeps past the deadline", "service_ms=500",
	 oversleep_executor, NULL, ANY_OUTCOME, ANY_OUTCOME, "complete", 1},
	{"streams break", "service_ms=1000", break_streams, NULL, "complete",
	 "complete", "complete", 1},
	{"streams break late", "service_ms=200", break_streams_late, NULL,
	 "complete", "complete", "complete", 1},
	{"partition", "service_ms=1000", part, join, "unknown", ANY_OUTCOME,
	 ANY_OUTCOME, 1},
	{"partition before it runs", NULL, part, join, "unknown", ANY_OUTCOME,
	 ANY_OUTCOME, ANY_STARTS},
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
	if (fault_case->upstream)
		site_upstream(scene.executor, fault_case->upstream);
	if (fault_case->fault && !runs_before)
		fault_case->fault(&scene);
	site_task_t *first = site_call_later(scene.home, "POST", TARGET,
					     "hotel-etna", scene.ticket);

	while (runs_before && site_count(scene.site, "start", TARGET) == 0 &&
	       site_waits(&deadline))
		;
	if (fault_case->fault && runs_before)
		fault_case->fault(&scene);
	retry(&scene, fault_case->during);
	site_join(first, &answer);
	check(&scene, &answer, fault_case->first);
	if (fault_case->mend)
		fault_case->mend(&scene);
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
