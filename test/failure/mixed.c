/*
 * Several faults at a time, in a random order from a seed, while customers
 * send payments, bookings and browse requests and retry them through other
 * daemons. After the last fault has been cleared, the outcomes that customers
 * received are checked against the upstreams' execution records. No check
 * depends on how long a request took.
 */
#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "support/site.h"

#define VMS 6
#define CUSTOMERS 12
#define FLOOD_CUSTOMERS 60
#define FLOOD_ORDERS 2
#define TICKET_RETRIES 4
#define THINK_TIME_US 50000
#define PASSES 2
#define FAULTS_PER_STEP 3
#define DAEMON_SETTINGS                                                        \
	"probe_interval_ms: 100\nmax_queue: 4\nmax_held: 4\nupstream_slots: "  \
	"3\n"
#define UPSTREAM_OPTIONS                                                       \
	"--fixed|--nested-retries=2|--nested-keys|--nested|"                   \
	"POST /bookings/confirm=GET /portfolios/calendar,POST /deposits/pay,"  \
	"POST /assignment/assign"

/* Faults of one step are injected in this order. */
typedef enum fault {
	FAULT_PARTITION,
	FAULT_STREAMS_BROKEN,
	FAULT_PLATFORM_DOWN,
	FAULT_PLATFORM_STALE,
	FAULT_CONFIG_RACE,
	FAULT_ANSWERS_DROPPED,
	FAULT_STALL,
	FAULT_FLOOD,
	FAULT_PAUSE,
	FAULT_DRAIN,
	FAULT_KILL,
	FAULT_COUNT
} fault_t;

/*
 * A kind of request. executions_max bounds the executions of one order in all
 * services: the calls of its call tree plus the retry budget.
 */
typedef struct request_kind {
	const char *method;
	const char *path;
	int executions_max;
} request_kind_t;

static const request_kind_t browsing = {"GET", "/portfolios/list", 1 + 3};
static const request_kind_t deposit = {"POST", "/deposits/pay", 1};
static const request_kind_t booking = {"POST", "/bookings/confirm", 4 + 4};
static const request_kind_t *const request_kinds[] = {&browsing, &deposit,
						      &booking};
/* All paths that an order may call; the first two are idempotent. */
static const char *const paths[] = {"/portfolios/list", "/portfolios/calendar",
				    "/deposits/pay", "/bookings/confirm",
				    "/assignment/assign"};

/* One customer request and the outcomes that its customer received. */
typedef struct order {
	const request_kind_t *kind;
	int number;
	char *target;
	char *ticket; /* NULL if none was issued */
	bool not_run;
	bool answers_differ; /* two complete answers had different bodies */
	char *complete; /* body of a complete answer */
} order_t;

typedef struct run {
	site_t *site;
	guint32 seed;
	GRand *random;
	gint stopped;
	int sequence, version; /* the last published configuration */
	GPtrArray *customers; /* customer_t * */
	site_vm_t *paused, *killed, *drained;
	site_process_t draining;
} run_t;

typedef struct customer {
	run_t *run;
	GThread *thread;
	GRand *random;
	const request_kind_t *kind; /* NULL: a random kind for each order */
	GPtrArray *orders; /* order_t * */
	int number; /* of the next order */
} customer_t;

static site_vm_t *random_vm(const run_t *run, GRand *random)
{
	return run->site->vms->pdata[g_rand_int_range(random, 0, VMS)];
}

static customer_t *customer_new(run_t *run, const request_kind_t *kind)
{
	customer_t *customer = g_new0(customer_t, 1);

	customer->run = run;
	customer->kind = kind;
	customer->number = (int)run->customers->len * 1000;
	customer->random = g_rand_new_with_seed(g_rand_int(run->random));
	customer->orders = g_ptr_array_new();
	g_ptr_array_add(run->customers, customer);
	return customer;
}

/* Records the outcome of an answer in its order. */
static void record_answer(order_t *order, http_exchange_t *answer)
{
	order->not_run |= site_has_outcome(answer, "not-run");
	if (site_has_outcome(answer, "complete")) {
		order->answers_differ |=
			order->complete &&
			strcmp(order->complete, answer->body->str) != 0;
		g_free(order->complete);
		order->complete = g_strdup(answer->body->str);
	}
	http_free(answer);
}

/*
 * Places an order. If a ticket is needed, the order is sent to two daemons
 * concurrently and then repeated through random daemons, even after a
 * not-run answer, because a closed ticket must stay closed.
 */
static order_t *place_order(customer_t *customer, const request_kind_t *kind,
			    const site_vm_t *vm)
{
	order_t *order = g_new0(order_t, 1);
	char *name = g_strdup_printf("customer-%d", customer->number);
	site_pending_request_t *duplicate = NULL;
	http_exchange_t answer;

	order->kind = kind;
	order->number = customer->number++;
	order->target =
		g_strdup_printf("%s?order=%d", kind->path, order->number);
	g_ptr_array_add(customer->orders, order);
	site_call(&answer, vm, kind->method, order->target, name, NULL);
	if (answer.status == 428) {
		order->ticket = g_strdup(
			http_header(&answer, "dogwoodshift-next-ticket"));
		duplicate = site_call_async(
			random_vm(customer->run, customer->random),
			kind->method, order->target, name, order->ticket);
		http_free(&answer);
	} else {
		record_answer(order, &answer);
	}
	for (int i = 0; order->ticket && i < TICKET_RETRIES; i++) {
		vm = random_vm(customer->run, customer->random);
		site_call(&answer, vm, kind->method, order->target, name,
			  order->ticket);
		record_answer(order, &answer);
	}
	if (duplicate) {
		site_await_answer(duplicate, &answer);
		record_answer(order, &answer);
	}
	g_free(name);
	return order;
}

/* Places orders one after another until the faults are over. */
static gpointer run_customer(gpointer data)
{
	customer_t *customer = data;

	while (!g_atomic_int_get(&customer->run->stopped) &&
	       (!customer->kind || customer->orders->len < FLOOD_ORDERS)) {
		int random_kind = g_rand_int_range(customer->random, 0,
						   G_N_ELEMENTS(request_kinds));

		place_order(customer,
			    customer->kind ? customer->kind
					   : request_kinds[random_kind],
			    random_vm(customer->run, customer->random));
		g_usleep(THINK_TIME_US);
	}
	return NULL;
}

static void start_customers(run_t *run, int count, const request_kind_t *kind)
{
	for (int i = 0; i < count; i++) {
		customer_t *customer = customer_new(run, kind);

		customer->thread =
			g_thread_new("customer", run_customer, customer);
	}
}

/* Publishes two patches with the same base version; only the first applies. */
static void publish_conflicting_patches(run_t *run)
{
	for (int i = 0; i < 2; i++) {
		char *entry =
			g_strdup_printf("base_version: %d\npatch: {limits: "
					"{customer_retries_per_min: %d}}\n",
					run->version, 1000 + run->sequence);

		site_post_platform(run->site, "entry", entry);
		run->sequence++;
		g_free(entry);
	}
	run->version = run->sequence - 1;
}

/*
 * Starts to drain a daemon. It may exit at any time from now on, so the site
 * must not count it among the running daemons.
 */
static void start_drain(run_t *run, site_vm_t *vm)
{
	run->drained = vm;
	run->draining = vm->daemon;
	vm->daemon.pid = 0;
	kill(run->draining.pid, SIGTERM);
}

/* Injects a fault; a VM that is paused, killed or draining is not chosen. */
static void inject_fault(run_t *run, fault_t fault)
{
	site_vm_t *vm;

	do
		vm = random_vm(run, run->random);
	while (vm == run->paused || vm == run->killed || vm == run->drained);
	if (fault == FAULT_PARTITION)
		site_set_partition(run->site, true);
	else if (fault == FAULT_STREAMS_BROKEN)
		site_close_streams(vm);
	else if (fault == FAULT_PLATFORM_DOWN)
		site_post_platform(run->site, "mode?down=1", "");
	else if (fault == FAULT_PLATFORM_STALE)
		site_post_platform(run->site, "mode?stale=1", "");
	else if (fault == FAULT_CONFIG_RACE)
		publish_conflicting_patches(run);
	else if (fault == FAULT_ANSWERS_DROPPED)
		site_control_upstream(vm, "close=after");
	else if (fault == FAULT_STALL)
		site_control_upstream(vm, "stall=1");
	else if (fault == FAULT_FLOOD)
		start_customers(run, FLOOD_CUSTOMERS, &browsing);
	else if (fault == FAULT_PAUSE)
		site_process_pause(&(run->paused = vm)->daemon);
	else if (fault == FAULT_DRAIN)
		start_drain(run, vm);
	else
		site_process_kill(&(run->killed = vm)->daemon);
}

/* Clears all faults of a step and restarts the daemons that have exited. */
static void clear_faults(run_t *run)
{
	if (run->paused)
		site_process_resume(&run->paused->daemon);
	site_set_partition(run->site, false);
	site_post_platform(run->site, "mode?down=0&stale=0", "");
	for (int i = 0; i < VMS; i++)
		site_control_upstream(run->site->vms->pdata[i],
				      "close=none&stall=0");
	if (run->drained) {
		CU_ASSERT_EQUAL(site_process_wait(&run->draining), 0);
		CU_ASSERT(site_start_daemon(run->drained));
	}
	if (run->killed)
		CU_ASSERT(site_start_daemon(run->killed));
	run->paused = run->killed = run->drained = NULL;
}

/*
 * Injects every fault once, in a random order, FAULTS_PER_STEP at a time. The
 * faults of a step last between 300 and 1500 ms.
 */
static void inject_all_faults(run_t *run)
{
	int step_of[FAULT_COUNT] = {0};

	for (int i = 0; i < FAULT_COUNT; i++) {
		int at = g_rand_int_range(run->random, 0, i + 1);

		step_of[i] = step_of[at];
		step_of[at] = i / FAULTS_PER_STEP;
	}
	for (int i = 0; i * FAULTS_PER_STEP < FAULT_COUNT; i++) {
		for (int fault = 0; fault < FAULT_COUNT; fault++)
			if (step_of[fault] == i)
				inject_fault(run, (fault_t)fault);
		g_usleep(1000 *
			 (gulong)g_rand_int_range(run->random, 300, 1500));
		clear_faults(run);
	}
}

/* Checks that no non-idempotent execution was recorded twice in the site. */
static void check_identities(const run_t *run)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (int i = 0; i < VMS; i++) {
		const site_vm_t *vm = run->site->vms->pdata[i];
		char *text = NULL, identity[128], method[8];

		CU_ASSERT_FATAL(
			g_file_get_contents(vm->record, &text, NULL, NULL));
		for (char *line = text; *line; line += strcspn(line, "\n") + 1)
			if (sscanf(line, "start %127s %*s %7s", identity,
				   method) == 2 &&
			    strcmp(method, "POST") == 0 &&
			    !g_hash_table_add(seen, g_strdup(identity))) {
				printf("executed again at %s: %s\n", vm->id,
				       identity);
				CU_FAIL("request executed more than once");
			}
		g_free(text);
	}
	g_hash_table_unref(seen);
}

/*
 * Returns how often the execution that a complete answer names was recorded;
 * 0 if the answer names none or its body is incomplete.
 */
static int own_executions(const run_t *run, const order_t *order)
{
	const char *at = strstr(order->complete, "identity=");

	if (!at || !http_body_is_valid(order->complete, order->target))
		return 0;
	at += strlen("identity=");
	char *event = g_strdup_printf("start %.*s", (int)strcspn(at, " "), at);
	int count = site_count_events(run->site, event, order->target);

	g_free(event);
	return count;
}

/* Compares the outcomes that a customer received with the executions. */
static void check_order(const run_t *run, const order_t *order)
{
	int total = 0, max_per_path = 0;
	const char *violation = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		char *target =
			g_strdup_printf("%s?order=%d", paths[i], order->number);
		int count = site_count_events(run->site, "start", target);

		total += count;
		max_per_path = i > 1 ? MAX(max_per_path, count) : max_per_path;
		g_free(target);
	}
	if (order->not_run && total > 0)
		violation = "answered not-run, but was executed";
	if (order->complete && (order->answers_differ || order->not_run))
		violation = "contradictory answers";
	if (order->complete && (own_executions(run, order) < 1 ||
				(order->ticket && max_per_path != 1)))
		violation =
			"complete, but body or execution record does not match";
	if (total > order->kind->executions_max || max_per_path > 1)
		violation = "too many executions";
	if (violation) {
		printf("seed %u: %s ticket=%s: %s; executions=%d most=%d\n",
		       run->seed, order->target,
		       order->ticket ? order->ticket : "-", violation, total,
		       max_per_path);
		CU_FAIL("an execution guarantee was violated");
	}
}

/* True if all daemons are idle and have the same, latest configuration. */
static bool has_converged(const run_t *run)
{
	char *expected = g_strdup_printf(
		"\"sequence\":%d,\"version\":%d,\"digest\":", run->sequence,
		run->version);
	char *reference = NULL;
	bool converged = true;

	for (int i = 0; i < VMS; i++) {
		char *status =
			site_get_admin_page(run->site->vms->pdata[i], "status");
		char *at = strstr(status, expected);
		char *end = at ? strstr(at, ",\"open\":true") : NULL;

		converged &= end &&
			     strstr(end, "\"running\":0,\"queued\":0,") &&
			     strstr(end, "\"held\":0,");
		if (end)
			*end = '\0';
		if (end && !reference)
			reference = g_strdup(at);
		converged &= end && strcmp(at, reference) == 0;
		g_free(status);
	}
	g_free(reference);
	g_free(expected);
	return converged;
}

/* Checks that a deposit can be paid through each daemon, after retries. */
static void check_all_serve(run_t *run)
{
	customer_t *customer = customer_new(run, &deposit);

	for (int i = 0; i < VMS; i++) {
		int64_t deadline = 0;
		bool paid;

		do
			paid = place_order(customer, &deposit,
					   run->site->vms->pdata[i])
				       ->complete != NULL;
		while (!paid && site_poll(&deadline));
		CU_ASSERT(paid);
	}
}

/* Checks all orders, then frees them and their customers. */
static void check_orders(const run_t *run)
{
	int total = 0, complete = 0, not_run = 0;

	for (guint i = 0; i < run->customers->len; i++) {
		customer_t *customer = run->customers->pdata[i];

		for (guint j = 0; j < customer->orders->len; j++) {
			order_t *order = customer->orders->pdata[j];

			check_order(run, order);
			total++;
			complete += order->complete != NULL;
			not_run += order->not_run;
			g_free(order->target);
			g_free(order->ticket);
			g_free(order->complete);
			g_free(order);
		}
		g_ptr_array_free(customer->orders, TRUE);
		g_rand_free(customer->random);
		g_free(customer);
	}
	printf("seed %u: orders=%d complete=%d not_run=%d ", run->seed, total,
	       complete, not_run);
	CU_ASSERT(complete > 0 && not_run > 0);
}

/* Starts a site of three availability zones with two VMs each. */
static void start_site(run_t *run)
{
	static const char *const services[VMS] = {"portfolios", "bookings",
						  "deposits",	"assignment",
						  "bookings",	"deposits"};
	static const char *const zones[VMS] = {"a", "a", "b", "b", "c", "c"};

	run->site = site_new("examples/trinacria.yaml");
	for (int i = 0; i < VMS; i++) {
		char *id = g_strdup_printf("%s-%s", services[i], zones[i]);

		site_add(run->site, id, zones[i], services[i], UPSTREAM_OPTIONS,
			 DAEMON_SETTINGS);
		g_free(id);
	}
	CU_ASSERT_FATAL(site_start(run->site));
}

static void run_seed(guint32 seed)
{
	run_t run = {.seed = seed, .sequence = 1, .version = 1};
	int64_t deadline = 0;

	run.random = g_rand_new_with_seed(seed);
	run.customers = g_ptr_array_new();
	start_site(&run);
	start_customers(&run, CUSTOMERS, NULL);
	for (int i = 0; i < PASSES; i++)
		inject_all_faults(&run);
	g_atomic_int_set(&run.stopped, 1);
	for (guint i = 0; i < run.customers->len; i++)
		g_thread_join(((customer_t *)run.customers->pdata[i])->thread);
	while (!has_converged(&run) && site_poll(&deadline))
		;
	CU_ASSERT(has_converged(&run));
	check_all_serve(&run);
	check_identities(&run);
	check_orders(&run);
	g_ptr_array_free(run.customers, TRUE);
	g_rand_free(run.random);
	site_free(run.site);
}

static void test_seeds(void)
{
	static const guint32 seeds[] = {1, 2, 3};

	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		run_seed(seeds[i]);
}

int main(void)
{
	static const suite_test_t tests[] = {{"random faults", test_seeds},
					     {NULL, NULL}};

	return site_main("mixed faults", tests);
}
