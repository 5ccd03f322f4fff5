/*
 * The upstreams of a soak: they run requests in slots, make calls through
 * their own VM's daemon, and lose, double or fault answers as they are told.
 */
#include "soak/fleet.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define SLOTS 8
#define WORK_MIN_MS 5
#define WORK_MAX_MS 40
#define US_PER_MS 1000
#define TIME_LEFT_DEFAULT_MS 60000

/* One request that an upstream is asked to run. */
typedef struct task {
	fleet_vm_t *vm;
	int fd;
	char *id;
	char *path;
	char *upstream_id;
	int64_t time_left_ms;
	int position; /* among the runs of its order */
} task_t;

static void send_answer(const task_t *task, const char *status,
			const char *headers, const char *id, const char *body)
{
	char *text = g_strdup_printf(
		"HTTP/1.1 %s\r\nAttempt-Id: %s\r\n%sContent-Length: %zu\r\n"
		"\r\n%s",
		status, id, headers, strlen(body), body);

	platform_send(task->fd, text, strlen(text));
	g_free(text);
}

/* Answers with the signature and body that the oracle expects. */
static void send_signed(const task_t *task, const char *status)
{
	char *signature = oracle_signature(task->id, task->upstream_id);
	char *body = oracle_body(task->id, task->upstream_id);
	char *headers =
		g_strdup_printf("Response-Signature: %s\r\n", signature);

	send_answer(task, status, headers, task->id, body);
	g_free(headers);
	g_free(body);
	g_free(signature);
}

static bool draws(const gint *percent)
{
	return g_random_int_range(0, 100) < g_atomic_int_get(percent);
}

/* The calls that a path makes; NULL if it makes none. */
static const char *callee_of(const char *path)
{
	if (g_str_has_prefix(path, PATH_TREE))
		return PATH_MIDDLE;
	return g_str_has_prefix(path, PATH_MIDDLE) ? PATH_LEAF : NULL;
}

/* Makes the call of a run; true if it was served, or if there is none. */
static bool make_call(const task_t *task)
{
	const char *callee = callee_of(task->path);
	order_t *order;

	if (!callee)
		return true;
	order = caller_order(task->vm, callee, task->time_left_ms);
	g_snprintf(order->id, sizeof(order->id), "%s.%d", task->id,
		   task->position);
	order->is_call = true;
	order->is_of_repeat = task->position > 0;
	int status = caller_call(task->vm, order, "GET", callee);

	return status >= 200 && status < 300;
}

/* Runs a task; false if the connection is to end. */
static bool run(const task_t *task)
{
	fleet_vm_t *vm = task->vm;
	bool goes_on = true;

	g_usleep((gulong)(g_random_int_range(WORK_MIN_MS, WORK_MAX_MS) +
			  g_atomic_int_get(&vm->slow_ms)) *
		 US_PER_MS);
	if (!make_call(task) || draws(&vm->fault_percent)) {
		send_signed(task, "500 Failed");
	} else if (draws(&vm->drop_percent)) {
		goes_on = false;
	} else {
		send_signed(task, "200 OK");
		if (draws(&vm->extra_percent))
			send_answer(task, "200 OK", "", "of-another", "late");
	}
	return goes_on;
}

static char *take_header(const char *head, const char *name)
{
	char *value = platform_header(head, name);

	return value ? value : g_strdup("");
}

static task_t *task_new(platform_vm_t *stand_in, int fd, const char *head)
{
	fleet_t *fleet = (fleet_t *)stand_in->platform;
	task_t *task = g_new0(task_t, 1);
	const char *path = strchr(head, ' ') + 1;
	char *time_left = take_header(head, "Deadline-Ms");

	task->vm = &fleet->vms[stand_in->number];
	task->fd = fd;
	task->id = take_header(head, "Attempt-Id");
	task->path = g_strndup(path, strcspn(path, " "));
	task->time_left_ms = time_left[0] ? g_ascii_strtoll(time_left, NULL, 10)
					  : TIME_LEFT_DEFAULT_MS;
	g_mutex_lock(&stand_in->platform->lock);
	task->upstream_id = g_strdup(stand_in->upstream_id);
	g_mutex_unlock(&stand_in->platform->lock);
	g_free(time_left);
	return task;
}

static void task_free(task_t *task)
{
	g_free(task->id);
	g_free(task->path);
	g_free(task->upstream_id);
	g_free(task);
}

/* Serves one request of an upstream; false if the connection is to end. */
bool fleet_serve(platform_vm_t *stand_in, int fd, const char *head,
		 size_t body_size_bytes)
{
	task_t *task = task_new(stand_in, fd, head);
	oracle_t *oracle = task->vm->fleet->oracle;
	char *target = take_header(head, "Target-Instance");
	char *caller = take_header(head, "Caller-Service");
	bool goes_on = true;

	if (strcmp(target, task->upstream_id) != 0) {
		send_answer(task, "421 Misdirected", "", task->id, "");
	} else if (g_atomic_int_add(&task->vm->running, 1) >= SLOTS) {
		oracle_arrived(oracle, task->id, stand_in->service);
		send_answer(task, "503 Full", "Not-Executed: 1\r\n", task->id,
			    "");
		g_atomic_int_add(&task->vm->running, -1);
	} else {
		task->position = oracle_run(oracle, task->id, task->upstream_id,
					    stand_in->service, caller,
					    task->time_left_ms);
		goes_on = run(task);
		g_atomic_int_add(&task->vm->running, -1);
	}
	g_free(target);
	g_free(caller);
	task_free(task);
	return goes_on;
}
