/*
 * Many faults at once, drawn from a seed, while customers pay, book, browse
 * and retry at other daemons. When all faults are over, every promise is
 * checked against the upstreams' records of executions; how long anything
 * took decides nothing.
 */
#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "support/site.h"

#define VMS 6
#define CUSTOMERS 12
#define FLOOD 60
#define FLOOD_ORDERS 2
#define TRIES 4
#define PAUSE_US 50000
#define PASSES 2
#define FAULTS_PER_ROUND 3
#define SETTINGS                                                               \
	"probe_interval_ms: 100\nmax_queue: 4\nmax_held: 4\nupstream_slots: "  \
	"3\n"
#define NESTED                                                                 \
	"--fixed|--nested-retries=2|--nested-keys|--nested|"                   \
	"POST /bookings/confirm=GET /portfolios/calendar,POST /deposits/pay,"  \
	"POST /assignment/assign"

/* In the order in which the faults of one round begin. */
typedef enum fault {
	FAULT_PARTITION,
	FAULT_STREAMS,
	FAULT_PLATFORM_DOWN,
	FAULT_PLATFORM_STALE,
	FAULT_RACE,
	FAULT_ANSWERS_DROPPED,
	FAULT_STALL,
	FAULT_FLOOD,
	FAULT_PAUSE,
	FAULT_DRAIN,
	FAULT_KILL,
	FAULT_COUNT
} fault_t;

/* Most executions are the places of the tree plus the retry budget. */
typedef struct work {
	const char *method;
	const char *path;
	int executions_max;
} work_t;

static const work_t browsing = {"GET", "/portfolios/list", 1 + 3};
static const work_t deposit = {"POST", "/deposits/pay", 1};
static const work_t booking = {"POST", "/bookings/confirm", 4 + 4};
static const work_t *const works[] = {&browsing, &deposit, &booking};
/* All that an order may lead to; the first two are idempotent. */
static const char *const places[] = {"/portfolios/list", "/portfolios/calendar",
				     "/deposits/pay", "/bookings/confirm",
				     "/assignment/assign"};

/* One customer request and what its customer was told. */
typedef struct order {
	const work_t *work;
	int number;
	char *target;
	char *ticket; /* NULL if it got none */
	bool not_run;
	bool differs; /* two complete answers were not the same */
	char *complete; /* body of a complete answer */
} order_t;

typedef struct run {
	site_t *site;
	guint32 seed;
	GRand *random;
	gint stopped;
	int sequence, version; /* of the platform */
	GPtrArray *customers; /* customer_t * */
	site_vm_t *paused, *killed, *drained;
	site_process_t draining;
} run_t;

typedef struct customer {
	run_t *run;
	GThread *thread;
	GRand *random;
	const work_t *work; /* NULL for any */
	GPtrArray *orders; /* order_t * */
	int number; /* of the next order */
} customer_t;

static site_vm_t *any_vm(const run_t *run, GRand *random)
{
	return run->site->vms->pdata[g_rand_int_range(random, 0, VMS)];
}

static customer_t *customer_new(run_t *run, const work_t *work)
{
	customer_t *customer = g_new0(customer_t, 1);

	customer->run = run;
	customer->work = work;
	customer->number = (int)run->customers->len * 1000;
	customer->random = g_rand_new_with_seed(g_rand_int(run->random));
	customer->orders = g_ptr_array_new();
	g_ptr_array_add(run->customers, customer);
	return customer;
}

/* Keeps what an answer claims. */
static void note(order_t *order, http_exchange_t *answer)
{
	order->not_run |= site_has_outcome(answer, "not-run");
	if (site_has_outcome(answer, "complete")) {
		order->differs |=
			order->complete &&
			strcmp(order->complete, answer->body->str) != 0;
		g_free(order->complete);
		order->complete = g_strdup(answer->body->str);
	}
	http_finish(answer);
}

/*
 * Places an order. One with a ticket is sent to two daemons at once, then
 * again to others, also after a refusal: a closed ticket must stay closed.
 */
static order_t *place(customer_t *customer, const work_t *work,
		      const site_vm_t *vm)
{
	order_t *order = g_new0(order_t, 1);
	char *name = g_strdup_printf("customer-%d", customer->number);
	site_task_t *twin = NULL;
	http_exchange_t answer;

	order->work = work;
	order->number = customer->number++;
	order->target =
		g_strdup_printf("%s?order=%d", work->path, order->number);
	g_ptr_array_add(customer->orders, order);
	site_call(&answer, vm, work->method, order->target, name, NULL);
	if (answer.status == 428) {
		order->ticket = g_strdup(
			http_header(&answer, "dogwoodshift-next-ticket"));
		twin = site_call_later(any_vm(customer->run, customer->random),
				       work->method, order->target, name,
				       order->ticket);
		http_finish(&answer);
	} else {
		note(order, &answer);
	}
	for (int i = 0; order->ticket && i < TRIES; i++) {
		vm = any_vm(customer->run, customer->random);
		site_call(&answer, vm, work->method, order->target, name,
			  order->ticket);
		note(order, &answer);
	}
	if (twin) {
		site_join(twin, &answer);
		note(order, &answer);
	}
	g_free(name);
	return order;
}

/* Places one order after the other until the faults are over. */
static gpointer shop(gpointer data)
{
	customer_t *customer = data;

	while (!g_atomic_int_get(&customer->run->stopped) &&
	       (!customer->work || customer->orders->len < FLOOD_ORDERS)) {
		int any = g_rand_int_range(customer->random, 0,
					   G_N_ELEMENTS(works));

		place(customer, customer->work ? customer->work : works[any],
		      any_vm(customer->run, customer->random));
		g_usleep(PAUSE_US);
	}
	return NULL;
}

static void start_customers(run_t *run, int count, const work_t *work)
{
	for (int i = 0; i < count; i++) {
		customer_t *customer = customer_new(run, work);

		customer->thread = g_thread_new("customer", shop, customer);
	}
}

/* Two operators publish against the same version: one is accepted. */
static void publish_race(run_t *run)
{
	for (int i = 0; i < 2; i++) {
		char *entry =
			g_strdup_printf("base_version: %d\npatch: {limits: "
					"{customer_retries_per_min: %d}}\n",
					run->version, 1000 + run->sequence);

		site_platform(run->site, "entry", entry);
		run->sequence++;
		g_free(entry);
	}
	run->version = run->sequence - 1;
}

/* A draining daemon may end at any time: the site must not look at it. */
static void begin_drain(run_t *run, site_vm_t *vm)
{
	run->drained = vm;
	run->draining = vm->daemon;
	vm->daemon.pid = 0;
	kill(run->draining.pid, SIGTERM);
}

/* Begins a fault at a daemon that no other fault of the round has taken. */
static void begin_fault(run_t *run, fault_t fault)
{
	site_vm_t *vm;

	do
		vm = any_vm(run, run->random);
	while (vm == run->paused || vm == run->killed || vm == run->drained);
	if (fault == FAULT_PARTITION)
		site_set_partition(run->site, true);
	else if (fault == FAULT_STREAMS)
		site_break_streams(vm);
	else if (fault == FAULT_PLATFORM_DOWN)
		site_platform(run->site, "mode?down=1", "");
	else if (fault == FAULT_PLATFORM_STALE)
		site_platform(run->site, "mode?stale=1", "");
	else if (fault == FAULT_RACE)
		publish_race(run);
	else if (fault == FAULT_ANSWERS_DROPPED)
		site_upstream(vm, "close=after");
	else if (fault == FAULT_STALL)
		site_upstream(vm, "stall=1");
	else if (fault == FAULT_FLOOD)
		start_customers(run, FLOOD, &browsing);
	else if (fault == FAULT_PAUSE)
		site_pause(&(run->paused = vm)->daemon);
	else if (fault == FAULT_DRAIN)
		begin_drain(run, vm);
	else
		site_kill(&(run->killed = vm)->daemon);
}

/* Ends all faults of a round and starts again what ended. */
static void lift_faults(run_t *run)
{
	if (run->paused)
		site_continue(&run->paused->daemon);
	site_set_partition(run->site, false);
	site_platform(run->site, "mode?down=0&stale=0", "");
	for (int i = 0; i < VMS; i++)
		site_upstream(run->site->vms->pdata[i], "close=none&stall=0");
	if (run->drained) {
		CU_ASSERT_EQUAL(site_wait_end(&run->draining), 0);
		CU_ASSERT(site_start_daemon(run->drained));
	}
	if (run->killed)
		CU_ASSERT(site_start_daemon(run->killed));
	run->paused = run->killed = run->drained = NULL;
}

/* Every fault once, in an order of the seed, some at a time. */
static void have_faults(run_t *run)
{
	int round[FAULT_COUNT] = {0};

	for (int i = 0; i < FAULT_COUNT; i++) {
		int at = g_rand_int_range(run->random, 0, i + 1);

		round[i] = round[at];
		round[at] = i / FAULTS_PER_ROUND;
	}
	for (int i = 0; i * FAULTS_PER_ROUND < FAULT_COUNT; i++) {
		for (int fault = 0; fault < FAULT_COUNT; fault++)
			if (round[fault] == i)
				begin_fault(run, (fault_t)fault);
		g_usleep(1000 *
			 (gulong)g_rand_int_range(run->random, 300, 1500));
		lift_faults(run);
	}
}

/* No identity of non-idempotent work stands twice in all records. */
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
				printf("twice at %s: %s\n", vm->id, identity);
				CU_FAIL("an identity was executed twice");
			}
		g_free(text);
	}
	g_hash_table_unref(seen);
}

/* How often the execution that a complete answer names was recorded. */
static int own_executions(const run_t *run, const order_t *order)
{
	const char *at = strstr(order->complete, "identity=");

	if (!at || !http_body_is_whole(order->complete, order->target))
		return 0;
	at += strlen("identity=");
	char *event = g_strdup_printf("start %.*s", (int)strcspn(at, " "), at);
	int count = site_count(run->site, event, order->target);

	g_free(event);
	return count;
}

/* Compares what a customer was told with what was executed. */
static void check_order(const run_t *run, const order_t *order)
{
	int all = 0, most = 0;
	const char *fault = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(places); i++) {
		char *target = g_strdup_printf("%s?order=%d", places[i],
					       order->number);
		int count = site_count(run->site, "start", target);

		all += count;
		most = i > 1 ? MAX(most, count) : most;
		g_free(target);
	}
	if (order->not_run && all > 0)
		fault = "told not-run but executed";
	if (order->complete && (order->differs || order->not_run))
		fault = "told two things";
	if (order->complete &&
	    (own_executions(run, order) < 1 || (order->ticket && most != 1)))
		fault = "complete, but not the whole answer of its execution";
	if (all > order->work->executions_max || most > 1)
		fault = "executed too often";
	if (fault) {
		printf("seed %u: %s ticket=%s: %s; executions=%d most=%d\n",
		       run->seed, order->target,
		       order->ticket ? order->ticket : "-", fault, all, most);
		CU_FAIL("a promise was broken");
	}
}

/* No daemon has work left, and all agree on the last version. */
static bool has_converged(const run_t *run)
{
	char *expected = g_strdup_printf(
		"\"sequence\":%d,\"version\":%d,\"digest\":", run->sequence,
		run->version);
	char *first = NULL;
	bool same = true;

	for (int i = 0; i < VMS; i++) {
		char *status = site_admin(run->site->vms->pdata[i], "status");
		char *at = strstr(status, expected);
		char *end = at ? strstr(at, ",\"open\":true") : NULL;

		same &= end && strstr(end, "\"running\":0,\"queued\":0,") &&
			strstr(end, "\"held\":0,");
		if (end)
			*end = '\0';
		if (end && !first)
			first = g_strdup(at);
		same &= end && strcmp(at, first) == 0;
		g_free(status);
	}
	g_free(first);
	g_free(expected);
	return same;
}

/* Each daemon still serves: a deposit is paid there, if not at once. */
static void pay_last(run_t *run)
{
	customer_t *customer = customer_new(run, &deposit);

	for (int i = 0; i < VMS; i++) {
		int64_t deadline = 0;
		bool paid;

		do
			paid = place(customer, &deposit,
				     run->site->vms->pdata[i])
				       ->complete != NULL;
		while (!paid && site_waits(&deadline));
		CU_ASSERT(paid);
	}
}

/* Checks all orders and frees them with their customers. */
static void check_orders(const run_t *run)
{
	int all = 0, complete = 0, not_run = 0;

	for (guint i = 0; i < run->customers->len; i++) {
		customer_t *customer = run->customers->pdata[i];

		for (guint j = 0; j < customer->orders->len; j++) {
			order_t *order = customer->orders->pdata[j];

			check_order(run, order);
			all++;
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
	printf("seed %u: orders=%d complete=%d not_run=%d ", run->seed, all,
	       complete, not_run);
	CU_ASSERT(complete > 0 && not_run > 0);
}

/* Three availability zones with two VMs each. */
static void begin_site(run_t *run)
{
	static const char *const services[VMS] = {"portfolios", "bookings",
						  "deposits",	"assignment",
						  "bookings",	"deposits"};
	static const char *const zones[VMS] = {"a", "a", "b", "b", "c", "c"};

	run->site = site_new("examples/trinacria.yaml");
	for (int i = 0; i < VMS; i++) {
		char *id = g_strdup_printf("%s-%s", services[i], zones[i]);

		site_add(run->site, id, zones[i], services[i], NESTED,
			 SETTINGS);
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
	begin_site(&run);
	start_customers(&run, CUSTOMERS, NULL);
	for (int i = 0; i < PASSES; i++)
		have_faults(&run);
	g_atomic_int_set(&run.stopped, 1);
	for (guint i = 0; i < run.customers->len; i++)
		g_thread_join(((customer_t *)run.customers->pdata[i])->thread);
	while (!has_converged(&run) && site_waits(&deadline))
		;
	CU_ASSERT(has_converged(&run));
	pay_last(&run);
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
	static const suite_test_t tests[] = {{"seeds", test_seeds},
					     {NULL, NULL}};

	return site_main("mixed faults", tests);
}
