/*
 * Load pattern "deep fan-out over one scarce service", in virtual time: each
 * root makes several calls in turn to a service with few slots and must finish
 * within its timeout. Many entry daemons admit roots; each gets few of them. A
 * root that fails has wasted the calls that it has made.
 */
#include <math.h>

#include "request/admission.h"
#include "request/congestion.h"
#include "request/root_throttle.h"
#include "support/suite.h"

#define ENTRIES 60 /* daemons that receive roots */
#define CALLERS 20 /* daemons whose upstreams make the calls */
#define SLOTS 100
#define CALLS_PER_ROOT 8
#define CALL_MEAN_US (30 * DWS_US_PER_MS)
#define OWN_WORK_US (150 * DWS_US_PER_MS) /* of a root, beside its calls */
#define ROOT_TIMEOUT_US (800 * DWS_US_PER_MS)
#define CALL_MAX_WAIT_US (150 * DWS_US_PER_MS)
#define TOLERATED_WAIT_US (75 * DWS_US_PER_MS)
#define STEP_US (1 * DWS_US_PER_MS)
/* Part of the roots that the slots could serve that is to be reached. */
#define MIN_GOODPUT 0.95
/* Admitted roots that may fail in an overload, for each that is served. */
#define MAX_WASTE 0.05
#define ROUTE "tree"
#define SCARCE "scarce"

typedef struct root {
	uint64_t id;
	int64_t deadline_us;
	int entry;
	int caller;
	int calls_left;
	int64_t ready_us; /* when the next call is made, or the root ends */
	int64_t called_us; /* when the current call was made */
	bool is_waiting; /* for the current call */
	dws_congestion_report_t congestion;
} root_t;

typedef struct running {
	uint64_t id;
	int64_t end_us;
} running_t;

typedef struct load {
	GRand *random;
	int64_t now_us;
	uint64_t next_id;
	dws_root_throttle_t entries[ENTRIES];
	dws_congestion_t callers[CALLERS];
	dws_admission_t server;
	GHashTable *roots; /* id to root_t */
	GArray *running; /* running_t */
	uint32_t offered;
	uint32_t admitted;
	uint32_t served;
	uint32_t wasted; /* admitted and not served */
	uint32_t refused; /* of them, those with a call refused */
	double busy_us; /* slot time used */
} load_t;

static void start_load(load_t *load, guint32 seed)
{
	memset(load, 0, sizeof(*load));
	load->random = g_rand_new_with_seed(seed);
	load->now_us = DWS_US_PER_S;
	for (int i = 0; i < ENTRIES; i++)
		dws_root_throttle_init(&load->entries[i]);
	for (int i = 0; i < CALLERS; i++)
		dws_congestion_init(&load->callers[i]);
	dws_admission_init(&load->server, "fixed", SLOTS, 1000);
	load->roots = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	load->running = g_array_new(FALSE, FALSE, sizeof(running_t));
}

static void stop_load(load_t *load)
{
	g_rand_free(load->random);
	for (int i = 0; i < ENTRIES; i++)
		dws_root_throttle_finish(&load->entries[i]);
	for (int i = 0; i < CALLERS; i++)
		dws_congestion_finish(&load->callers[i]);
	dws_admission_finish(&load->server);
	g_hash_table_destroy(load->roots);
	g_array_free(load->running, TRUE);
}

static void arrive(load_t *load)
{
	int entry = g_rand_int_range(load->random, 0, ENTRIES);
	root_t *root;

	load->offered++;
	if (g_rand_double(load->random) >
	    dws_root_throttle_admitted_share(&load->entries[entry],
					     load->now_us, ROUTE))
		return;
	load->admitted++;
	root = g_new0(root_t, 1);
	root->id = ++load->next_id;
	root->deadline_us = load->now_us + ROOT_TIMEOUT_US;
	root->entry = entry;
	root->caller = g_rand_int_range(load->random, 0, CALLERS);
	root->calls_left = CALLS_PER_ROOT;
	root->ready_us = load->now_us + OWN_WORK_US;
	g_hash_table_insert(load->roots, &root->id, root);
}

/* Ends a root; frees it. */
static void end_root(load_t *load, root_t *root, bool ok)
{
	if (ok)
		load->served++;
	else
		load->wasted++;
	dws_root_throttle_record_end(&load->entries[root->entry], load->now_us,
				     ROUTE, root->congestion.service,
				     root->congestion.permille);
	if (root->is_waiting)
		dws_admission_cancel(&load->server, root->id);
	g_hash_table_remove(load->roots, &root->id);
}

/* Reports the wait of a call of a root, which then started or was refused. */
static void report_wait(load_t *load, root_t *root, bool is_refused)
{
	dws_congestion_t *caller = &load->callers[root->caller];
	dws_congestion_report_t report = {.call_refused = is_refused};
	int64_t waited_us = load->now_us - root->called_us;

	dws_congestion_record(caller, load->now_us, SCARCE,
			      is_refused ? TOLERATED_WAIT_US : waited_us,
			      TOLERATED_WAIT_US);
	report.permille = dws_congestion_permille(caller, load->now_us, SCARCE);
	g_strlcpy(report.service, report.permille ? SCARCE : "",
		  sizeof(report.service));
	dws_congestion_report_merge(&root->congestion, &report);
}

static void make_call(load_t *load, root_t *root)
{
	uint64_t displaced = 0;
	dws_queue_item_t item = {
		.id = root->id,
		.kind = 1,
		.weight = 1,
		.enqueued_us = load->now_us,
		.deadline_us = root->deadline_us,
		.root_started_us = root->deadline_us - ROOT_TIMEOUT_US,
		.latest_start_us = load->now_us + CALL_MAX_WAIT_US};

	root->is_waiting = true;
	root->called_us = load->now_us;
	dws_admission_enqueue(&load->server, load->now_us, &item, &displaced);
}

/* Refuses the calls that have waited too long, and starts others. */
static void run_server(load_t *load)
{
	dws_queue_item_t item;

	while (dws_admission_expire(&load->server, load->now_us, &item)) {
		root_t *root = g_hash_table_lookup(load->roots, &item.id);

		root->is_waiting = false;
		report_wait(load, root, true);
		load->refused++;
		end_root(load, root, false);
	}
	while (dws_admission_dequeue(&load->server, load->now_us, &item)) {
		root_t *root = g_hash_table_lookup(load->roots, &item.id);
		double time_us =
			-log(1.0 - g_rand_double(load->random)) * CALL_MEAN_US;
		running_t running = {item.id, load->now_us + (int64_t)time_us};

		g_array_append_val(load->running, running);
		load->busy_us += time_us;
		if (!root)
			continue;
		root->is_waiting = false;
		root->calls_left--;
		root->ready_us = running.end_us;
		report_wait(load, root, false);
	}
}

static void end_running(load_t *load)
{
	for (guint i = load->running->len; i-- > 0;) {
		running_t *running =
			&g_array_index(load->running, running_t, i);

		if (running->end_us > load->now_us)
			continue;
		dws_admission_end(&load->server, load->now_us, running->id,
				  CALL_MEAN_US, false);
		g_array_remove_index_fast(load->running, i);
	}
}

static void run_roots(load_t *load)
{
	GList *roots = g_hash_table_get_values(load->roots);

	for (GList *item = roots; item; item = item->next) {
		root_t *root = item->data;

		if (root->deadline_us <= load->now_us)
			end_root(load, root, false);
		else if (root->is_waiting || root->ready_us > load->now_us)
			continue;
		else if (root->calls_left == 0)
			end_root(load, root, true);
		else
			make_call(load, root);
	}
	g_list_free(roots);
}

/* Runs a load of roots per second for some time. */
static void run_load(load_t *load, double roots_per_s, int64_t time_us)
{
	int64_t end_us = load->now_us + time_us;
	double due = 0;

	load->offered = 0;
	load->admitted = 0;
	load->served = 0;
	load->wasted = 0;
	load->refused = 0;
	load->busy_us = 0;
	for (; load->now_us < end_us; load->now_us += STEP_US) {
		due += roots_per_s * STEP_US / DWS_US_PER_S;
		while (due >= 1.0) {
			arrive(load);
			due -= 1.0;
		}
		end_running(load);
		run_roots(load);
		run_server(load);
	}
}

/* Roots per second that the scarce service can finish. */
static double capacity(void)
{
	return (double)SLOTS * DWS_US_PER_S / (CALLS_PER_ROOT * CALL_MEAN_US);
}

static void print_load(const char *name, const load_t *load, int64_t time_us)
{
	printf("%s: offered %u admitted %u served %u wasted %u, slots %.2f "
	       "used, best %.0f\n",
	       name, load->offered, load->admitted, load->served, load->wasted,
	       load->busy_us / ((double)SLOTS * (double)time_us),
	       capacity() * (double)time_us / DWS_US_PER_S);
}

/* The part of the roots that the scarce service could finish at best. */
static double goodput(const load_t *load, int64_t time_us)
{
	return load->served / (capacity() * (double)time_us / DWS_US_PER_S);
}

/*
 * In an overload, the calls of roots that have begun run first, so that nearly
 * all slots serve roots that finish; most others are refused on arrival.
 */
static void test_lasting_overload(void)
{
	const int64_t time_us = 20 * DWS_US_PER_S;
	load_t load;

	for (guint32 seed = 1; seed <= 3; seed++) {
		start_load(&load, seed);
		run_load(&load, 1.5 * capacity(), 10 * DWS_US_PER_S);
		run_load(&load, 1.5 * capacity(), time_us);
		print_load("lasting overload", &load, time_us);
		CU_ASSERT(goodput(&load, time_us) > MIN_GOODPUT);
		CU_ASSERT(load.wasted < MAX_WASTE * load.served);
		stop_load(&load);
	}
}

static void test_burst(void)
{
	const int64_t time_us = 5 * DWS_US_PER_S;
	load_t load;

	start_load(&load, 4);
	run_load(&load, 0.7 * capacity(), time_us);
	CU_ASSERT_EQUAL(load.admitted, load.offered);
	run_load(&load, 1.6 * capacity(), time_us);
	print_load("burst", &load, time_us);
	CU_ASSERT(goodput(&load, time_us) > MIN_GOODPUT);
	run_load(&load, 0.7 * capacity(), 2 * DWS_US_PER_S);
	run_load(&load, 0.7 * capacity(), time_us);
	print_load("from 2 s after the burst", &load, time_us);
	CU_ASSERT(load.admitted > 0.95 * load.offered);
	stop_load(&load);
}

/* Without scarcity, nothing is refused. */
static void test_no_scarcity(void)
{
	load_t load;

	start_load(&load, 5);
	run_load(&load, 0.75 * capacity(), 20 * DWS_US_PER_S);
	print_load("no scarcity", &load, 20 * DWS_US_PER_S);
	CU_ASSERT_EQUAL(load.admitted, load.offered);
	CU_ASSERT_EQUAL(load.refused, 0);
	stop_load(&load);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"lasting overload", test_lasting_overload},
		{"burst", test_burst},
		{"no scarcity", test_no_scarcity},
		{NULL, NULL},
	};

	return suite_main("deep fan-out over one scarce service", tests);
}
