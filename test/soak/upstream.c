/*
 * Simulated upstreams of a soak. They execute a limited number of requests at
 * once and send nested calls through their own VM's daemon. As set in the VM,
 * they drop responses, answer with status 500 or send spurious responses.
 */
#include "soak/fleet.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define UPSTREAM_SLOTS 8
#define SERVICE_TIME_MIN_MS 5
#define SERVICE_TIME_MAX_MS 40
#define US_PER_MS 1000
#define TIME_LEFT_DEFAULT_MS 60000

/* A request to an upstream. */
typedef struct task {
	fleet_vm_t *vm;
	int fd;
	char *id;
	char *path;
	char *upstream_id;
	int64_t time_left_ms;
	int prior_executions; /* -1 if no caller sent the request */
} task_t;

static void send_response(const task_t *task, const char *status,
			  const char *headers, const char *id, const char *body)
{
	char *text = g_strdup_printf(
		"HTTP/1.1 %s\r\nAttempt-Id: %s\r\n%sContent-Length: %zu\r\n"
		"\r\n%s",
		status, id, headers, strlen(body), body);

	platform_send(task->fd, text, strlen(text));
	g_free(text);
}

/* Sends a response with the signature and body that the oracle expects. */
static void send_signed_response(const task_t *task, const char *status)
{
	char *signature = oracle_signature(task->id, task->upstream_id);
	char *body = oracle_body(task->id, task->upstream_id);
	char *headers =
		g_strdup_printf("Response-Signature: %s\r\n", signature);

	send_response(task, status, headers, task->id, body);
	g_free(headers);
	g_free(body);
	g_free(signature);
}

static bool draw_percent(const gint *percent)
{
	return g_random_int_range(0, 100) < g_atomic_int_get(percent);
}

/* Path of the nested call that a path requires; NULL if none. */
static const char *nested_path(const char *path)
{
	if (g_str_has_prefix(path, PATH_TREE))
		return PATH_MIDDLE;
	return g_str_has_prefix(path, PATH_MIDDLE) ? PATH_LEAF : NULL;
}

/* Sends the nested call of a task, if any; returns false if it failed. */
static bool make_nested_call(const task_t *task)
{
	const char *path = nested_path(task->path);
	request_t *request;

	if (!path)
		return true;
	request = caller_new_request(task->vm, path, task->time_left_ms);
	g_snprintf(request->id, sizeof(request->id), "%s.%d", task->id,
		   task->prior_executions);
	request->is_nested_call = true;
	request->is_from_retry = task->prior_executions > 0;
	int status = caller_send_request(task->vm, request, "GET", path);

	return status >= 200 && status < 300;
}

/* Executes a request; returns false if the connection is to be closed. */
static bool run_task(const task_t *task)
{
	fleet_vm_t *vm = task->vm;
	bool keeps_connection = true;

	g_usleep((gulong)(g_random_int_range(SERVICE_TIME_MIN_MS,
					     SERVICE_TIME_MAX_MS) +
			  g_atomic_int_get(&vm->added_latency_ms)) *
		 US_PER_MS);
	if (!make_nested_call(task) || draw_percent(&vm->error_percent)) {
		send_signed_response(task, "500 Failed");
	} else if (draw_percent(&vm->drop_percent)) {
		keeps_connection = false;
	} else {
		send_signed_response(task, "200 OK");
		if (draw_percent(&vm->extra_percent))
			send_response(task, "200 OK", "", "of-another", "late");
	}
	return keeps_connection;
}

static char *header_or_empty(const char *head, const char *name)
{
	char *value = platform_header(head, name);

	return value ? value : g_strdup("");
}

static task_t *task_new(platform_vm_t *platform_vm, int fd, const char *head)
{
	fleet_t *fleet = (fleet_t *)platform_vm->platform;
	task_t *task = g_new0(task_t, 1);
	const char *path = strchr(head, ' ') + 1;
	char *time_left = header_or_empty(head, "Deadline-Ms");

	task->vm = &fleet->vms[platform_vm->number];
	task->fd = fd;
	task->id = header_or_empty(head, "Attempt-Id");
	task->path = g_strndup(path, strcspn(path, " "));
	task->time_left_ms = time_left[0] ? g_ascii_strtoll(time_left, NULL, 10)
					  : TIME_LEFT_DEFAULT_MS;
	g_mutex_lock(&platform_vm->platform->lock);
	task->upstream_id = g_strdup(platform_vm->upstream_id);
	g_mutex_unlock(&platform_vm->platform->lock);
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

bool fleet_serve_request(platform_vm_t *platform_vm, int fd, const char *head,
			 size_t body_size_bytes)
{
	task_t *task = task_new(platform_vm, fd, head);
	oracle_t *oracle = task->vm->fleet->oracle;
	char *target_id = header_or_empty(head, "Target-Instance");
	char *caller_service = header_or_empty(head, "Caller-Service");
	bool keeps_connection = true;

	if (strcmp(target_id, task->upstream_id) != 0) {
		send_response(task, "421 Misdirected", "", task->id, "");
	} else if (g_atomic_int_add(&task->vm->running_requests, 1) >=
		   UPSTREAM_SLOTS) {
		oracle_record_rejection(oracle, task->id, platform_vm->service);
		send_response(task, "503 Full", "Not-Executed: 1\r\n", task->id,
			      "");
		g_atomic_int_add(&task->vm->running_requests, -1);
	} else {
		task->prior_executions = oracle_record_execution(
			oracle, task->id, task->upstream_id,
			platform_vm->service, caller_service,
			task->time_left_ms);
		keeps_connection = run_task(task);
		g_atomic_int_add(&task->vm->running_requests, -1);
	}
	g_free(target_id);
	g_free(caller_service);
	task_free(task);
	return keeps_connection;
}
