/*
 * A non-idempotent request runs at most once, whatever fails while it runs,
 * and however often its customer retries through another daemon. The
 * upstreams' records of executions are the oracle.
 */
#include <CUnit/CUnit.h>
#include <string.h>

#include "support/site.h"

#define TARGET "/deposits/pay?order=1"
#define SLOW "--fixed"
#define FAST_PROBES "probe_interval_ms: 100\n"

/* The home took the request; the executor's upstream runs it. */
typedef struct scene {
	site_t *site;
	site_vm_t *home, *executor, *other;
	char *ticket;
	site_task_t *first;
} scene_t;

static void begin(scene_t *scene, const char *service_ms)
{
	scene->site = site_new("examples/trinacria.yaml");
	scene->home = site_add(scene->site, "home", "a", "bookings", SLOW,
			       FAST_PROBES);
	scene->executor = site_add(scene->site, "executor", "b", "deposits",
				   SLOW, FAST_PROBES);
	scene->other = site_add(scene->site, "other", "c", "assignment", SLOW,
				FAST_PROBES);
	CU_ASSERT_FATAL(site_start(scene->site));
	site_upstream(scene->executor, service_ms);
	scene->ticket = site_ticket(scene->home, TARGET);
}

/* Sends the request and waits until it runs. */
static void send_first(scene_t *scene)
{
	int64_t deadline = 0;

	scene->first = site_call_later(scene->home, "POST", TARGET,
				       "hotel-etna", scene->ticket);
	while (site_count(scene->site, "start", TARGET) == 0 &&
	       site_waits(&deadline))
		;
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
	if (expected && !site_has_outcome(answer, expected)) {
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

static void join_first(scene_t *scene, const char *expected)
{
	http_exchange_t answer;

	site_join(scene->first, &answer);
	check(scene, &answer, expected);
}

static void end(scene_t *scene, int expected_starts)
{
	CU_ASSERT_EQUAL(site_count(scene->site, "start", TARGET),
			expected_starts);
	g_free(scene->ticket);
	site_free(scene->site);
}

/* Both retries, one during the run, get the answer of the one execution. */
static void test_retries_join(void)
{
	scene_t scene;

	begin(&scene, "service_ms=500");
	send_first(&scene);
	retry(&scene, "complete");
	join_first(&scene, "complete");
	retry(&scene, "complete");
	end(&scene, 1);
}

static void test_home_killed(void)
{
	scene_t scene;

	begin(&scene, "service_ms=500");
	send_first(&scene);
	site_kill(&scene.home->daemon);
	join_first(&scene, NULL);
	retry(&scene, "unknown");
	CU_ASSERT(site_start_daemon(scene.home));
	retry(&scene, "unknown");
	end(&scene, 1);
}

static void test_executor_killed(void)
{
	scene_t scene;

	begin(&scene, "service_ms=500");
	send_first(&scene);
	site_kill(&scene.executor->daemon);
	join_first(&scene, "unknown");
	CU_ASSERT(site_start_daemon(scene.executor));
	retry(&scene, "unknown");
	end(&scene, 1);
}

static void test_upstream_killed(void)
{
	scene_t scene;

	begin(&scene, "service_ms=500");
	send_first(&scene);
	site_kill(&scene.executor->upstream);
	join_first(&scene, "unknown");
	site_start_upstream(scene.executor, SLOW);
	retry(&scene, "unknown");
	end(&scene, 1);
}

/* The upstream drops the connection after it ran the request. */
static void test_answer_dropped(void)
{
	scene_t scene;

	begin(&scene, "service_ms=200&close=after");
	send_first(&scene);
	join_first(&scene, "unknown");
	site_upstream(scene.executor, "close=none");
	retry(&scene, "unknown");
	end(&scene, 1);
}

/* The upstream drops the connection before it runs anything. */
static void test_request_dropped(void)
{
	scene_t scene;

	begin(&scene, "service_ms=20&close=before");
	scene.first = site_call_later(scene.home, "POST", TARGET, "hotel-etna",
				      scene.ticket);
	join_first(&scene, "unknown");
	site_upstream(scene.executor, "close=none");
	retry(&scene, "unknown");
	end(&scene, 0);
}

/* Sleeps past the deadline, wakes, and must not run anything again. */
static void pause_past_deadline(scene_t *scene, site_process_t *process)
{
	send_first(scene);
	site_pause(process);
	g_usleep(6 * G_USEC_PER_SEC);
	site_continue(process);
	join_first(scene, NULL);
}

static void test_home_paused(void)
{
	scene_t scene;

	begin(&scene, "service_ms=500");
	pause_past_deadline(&scene, &scene.home->daemon);
	CU_ASSERT(site_wait_ready(scene.home));
	retry(&scene, NULL);
	end(&scene, 1);
}

/* The late answer of the executor still reaches the home's record. */
static void test_executor_paused(void)
{
	scene_t scene;

	begin(&scene, "service_ms=500");
	pause_past_deadline(&scene, &scene.executor->daemon);
	CU_ASSERT(site_wait_ready(scene.executor));
	retry(&scene, "complete");
	end(&scene, 1);
}

static void test_streams_broken_during(void)
{
	scene_t scene;

	begin(&scene, "service_ms=1000");
	send_first(&scene);
	site_break_streams(scene.home);
	join_first(&scene, "complete");
	retry(&scene, "complete");
	end(&scene, 1);
}

static void test_parted_during(void)
{
	scene_t scene;

	begin(&scene, "service_ms=1000");
	send_first(&scene);
	site_set_partition(scene.site, true);
	retry(&scene, "unknown");
	join_first(&scene, NULL);
	site_set_partition(scene.site, false);
	CU_ASSERT(site_wait_ready(scene.home));
	retry(&scene, NULL);
	end(&scene, 1);
}

static void test_parted_before(void)
{
	scene_t scene;
	http_exchange_t answer;

	begin(&scene, "service_ms=20");
	site_set_partition(scene.site, true);
	retry(&scene, "unknown");
	site_call(&answer, scene.home, "POST", TARGET, "hotel-etna",
		  scene.ticket);
	check(&scene, &answer, NULL);
	site_set_partition(scene.site, false);
	CU_ASSERT(site_wait_ready(scene.home));
	retry(&scene, NULL);
	CU_ASSERT(site_count(scene.site, "start", TARGET) <= 1);
	end(&scene, site_count(scene.site, "start", TARGET));
}

int main(void)
{
	static const site_test_t tests[] = {
		{"retries join the one execution", test_retries_join},
		{"home is killed", test_home_killed},
		{"executor is killed", test_executor_killed},
		{"upstream is killed", test_upstream_killed},
		{"upstream drops the answer", test_answer_dropped},
		{"upstream drops the request", test_request_dropped},
		{"home sleeps past the deadline", test_home_paused},
		{"executor sleeps past the deadline", test_executor_paused},
		{"streams break", test_streams_broken_during},
		{"partition while it runs", test_parted_during},
		{"partition before it runs", test_parted_before},
		{NULL, NULL},
	};

	return site_main("at most once", tests);
}
