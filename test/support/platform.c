/*
 * Stand-ins of the operators' platform.
 */
#include "support/platform.h"
#include "support/ports.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define AWAIT_STEP_US 20000
#define AWAIT_MAX_US (30 * G_USEC_PER_SEC)
#define EXCHANGE_TIMEOUT_MS 20000
#define HEAD_MAX_BYTES 16384
#define SLOTS 8

typedef struct store_item {
	char *key;
	char *value; /* NULL: removed */
	uint64_t revision;
} store_item_t;

/* A connection that a thread serves. */
typedef struct served {
	platform_t *platform;
	platform_vm_t *vm; /* NULL: the store */
	int fd;
} served_t;

static void free_item(gpointer data)
{
	store_item_t *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static void free_run(gpointer data)
{
	platform_run_t *run = data;

	g_free(run->upstream_id);
	g_free(run->head);
	g_free(run);
}

static int listen_on(const char *ip, uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	inet_pton(AF_INET, ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, 64) != 0) {
		fprintf(stderr, "can't listen on %s:%u: %s\n", ip, port,
			g_strerror(errno));
		exit(1);
	}
	return fd;
}

/* Reads a head up to its empty line; NULL if the connection ended. */
char *platform_read_head(int fd)
{
	GString *head = g_string_new(NULL);
	char byte;

	while (head->len < HEAD_MAX_BYTES && recv(fd, &byte, 1, 0) == 1) {
		g_string_append_c(head, byte);
		if (g_str_has_suffix(head->str, "\r\n\r\n"))
			return g_string_free(head, FALSE);
	}
	g_string_free(head, TRUE);
	return NULL;
}

/* The value of a header; freed with g_free(); NULL if absent. */
char *platform_header(const char *head, const char *name)
{
	char *start = g_strdup_printf("\r\n%s: ", name);
	const char *at = strstr(head, start);
	char *value = NULL;

	if (at) {
		at += strlen(start);
		value = g_strndup(at, strcspn(at, "\r"));
	}
	g_free(start);
	return value;
}

/* Reads and drops the body that a head announces; its size. */
static size_t skip_body(int fd, const char *head)
{
	char *length = platform_header(head, "Content-Length");
	gint64 left = length ? g_ascii_strtoll(length, NULL, 10) : 0;
	size_t size_bytes = 0;
	char byte;

	while (left-- > 0 && recv(fd, &byte, 1, 0) == 1)
		size_bytes++;
	g_free(length);
	return size_bytes;
}

/* Sends a whole text; false if the connection ended. */
bool platform_send(int fd, const char *text, size_t size_bytes)
{
	while (size_bytes > 0) {
		ssize_t sent = send(fd, text, size_bytes, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		text += sent;
		size_bytes -= (size_t)sent;
	}
	return true;
}

static void send_text(int fd, const char *text)
{
	platform_send(fd, text, strlen(text));
}

/* The newest change of each key, in the order of the changes. */
static void append_items(GString *json, const platform_t *platform,
			 uint64_t after, bool with_removed)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	bool any = false;

	for (guint i = platform->items->len; i > 0; i--) {
		const store_item_t *item = platform->items->pdata[i - 1];

		if (!g_hash_table_add(seen, item->key) ||
		    item->revision <= after || (!item->value && !with_removed))
			continue;
		if (any)
			g_string_append_c(json, ',');
		any = true;
		if (!item->value) {
			g_string_append_printf(json,
					       "{\"key\":\"%s\",\"rev\":%lu,"
					       "\"removed\":true}",
					       item->key,
					       (unsigned long)item->revision);
			continue;
		}
		char *value = g_base64_encode((const guchar *)item->value,
					      strlen(item->value));

		g_string_append_printf(json,
				       "{\"key\":\"%s\",\"value\":\"%s\","
				       "\"rev\":%lu,\"created\":%lu,"
				       "\"lease\":0}",
				       item->key, value,
				       (unsigned long)item->revision,
				       (unsigned long)item->revision);
		g_free(value);
	}
	g_hash_table_destroy(seen);
}

/* Waits for a change after a revision; called with the lock. */
static void await_change(platform_t *platform, uint64_t after, gint64 wait_ms)
{
	gint64 until = g_get_monotonic_time() + wait_ms * 1000;

	while (platform->revision <= after && after >= platform->horizon &&
	       platform->mode == STORE_SERVES && !platform->stopping) {
		if (!g_cond_wait_until(&platform->changed, &platform->lock,
				       until))
			return;
	}
}

/* A number of the query. */
static gint64 query_number(const char *head, const char *name)
{
	char *start = g_strdup_printf("%s=", name);
	const char *at = strstr(head, start);
	gint64 number = at ? g_ascii_strtoll(at + strlen(start), NULL, 10) : 0;

	g_free(start);
	return number;
}

/* The body of an answer; NULL with status 410 if that history is gone. */
static char *answer_store(platform_t *platform, const char *head)
{
	bool is_watch = strstr(head, "/v1/kv-watch") != NULL;
	uint64_t after = (uint64_t)query_number(head, "&after");
	GString *json = g_string_new(NULL);

	if (is_watch)
		await_change(platform, after,
			     query_number(head, "wait_timeout_ms"));
	if (is_watch && after < platform->horizon) {
		g_string_free(json, TRUE);
		return NULL;
	}
	g_string_append(json, is_watch ? "{\"events\":[" : "{\"items\":[");
	append_items(json, platform, is_watch ? after : 0, is_watch);
	g_string_append_printf(json, "],\"has_more\":false,\"at_rev\":%lu}",
			       (unsigned long)platform->revision);
	return g_string_free(json, FALSE);
}

/* Serves one call of the store; false if the connection is to end. */
static bool serve_store(served_t *served, const char *head)
{
	platform_t *platform = served->platform;
	store_mode_t mode;
	char *body = NULL;
	char *answer;

	g_mutex_lock(&platform->lock);
	platform->store_calls++;
	if (platform->mode == STORE_SERVES)
		body = answer_store(platform, head);
	mode = platform->mode;
	while (platform->mode == STORE_SILENT && !platform->stopping)
		g_cond_wait(&platform->changed, &platform->lock);
	g_mutex_unlock(&platform->lock);
	if (mode == STORE_DOWN || mode == STORE_SILENT) {
		g_free(body);
		return false;
	}
	if (mode == STORE_BUSY || !body)
		answer = g_strdup_printf("HTTP/1.1 %s\r\n"
					 "Content-Length: 0\r\n\r\n",
					 mode == STORE_BUSY ? "503 Busy"
							    : "410 Gone");
	else
		answer = g_strdup_printf(
			"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			strlen(body), body);
	send_text(served->fd, answer);
	g_free(answer);
	g_free(body);
	return true;
}

static platform_run_t *record_run(platform_vm_t *vm, const char *head)
{
	platform_run_t *run = g_new0(platform_run_t, 1);

	run->upstream_id = g_strdup(vm->upstream_id);
	run->head = g_strdup(head);
	g_ptr_array_add(vm->platform->runs, run);
	return run;
}

static void send_status(int fd, const char *status, const char *headers,
			const char *attempt, const char *body)
{
	char *text = g_strdup_printf(
		"HTTP/1.1 %s\r\nAttempt-Id: %s\r\n%sContent-Length: %zu\r\n"
		"\r\n%s",
		status, attempt, headers, strlen(body), body);

	send_text(fd, text);
	g_free(text);
}

/* Waits until the other side ends its connection. */
static void await_hang_up(platform_vm_t *vm, platform_run_t *run, int fd)
{
	char byte;

	while (recv(fd, &byte, 1, 0) > 0)
		;
	g_mutex_lock(&vm->platform->lock);
	run->hung_up = true;
	g_mutex_unlock(&vm->platform->lock);
}

/* Holds a request until a second one is there, or for a long time. */
static void await_barrier(platform_t *platform)
{
	gint64 until = g_get_monotonic_time() + 5 * G_USEC_PER_SEC;

	g_mutex_lock(&platform->lock);
	platform->waiting++;
	g_cond_broadcast(&platform->changed);
	while (platform->waiting < 2 && !platform->stopping) {
		if (!g_cond_wait_until(&platform->changed, &platform->lock,
				       until))
			break;
	}
	if (platform->waiting >= 2)
		platform->released++;
	g_mutex_unlock(&platform->lock);
}

static void reset_connection(int fd)
{
	struct linger now = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/* Answers by what the path asks for; false if the connection is to end. */
static bool behave(platform_vm_t *vm, platform_run_t *run, int fd,
		   const char *head, const char *attempt)
{
	static const char signed_by[] = "Response-Signature: sig-1\r\n"
					"X-Answer: kept\r\n";
	const char *path = strchr(head, ' ') + 1;
	char *body = g_strdup_printf("%s ran %.*s", vm->upstream_id,
				     (int)strcspn(path, " "), path);
	bool goes_on = true;

	if (strstr(path, "/cut") && strcspn(path, " ") > 0 &&
	    g_strstr_len(path, (gssize)strcspn(path, " "), "/cut")) {
		send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
			      "half");
		reset_connection(fd);
		goes_on = false;
	} else if (g_strstr_len(path, (gssize)strcspn(path, " "),
				"/unframed")) {
		char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n"
					     "Attempt-Id: %s\r\n%s\r\n%s",
					     attempt, signed_by, body);

		send_text(fd, text);
		g_free(text);
		goes_on = false;
	} else if (g_strstr_len(path, (gssize)strcspn(path, " "), "/extra")) {
		send_status(fd, "200 OK", signed_by, attempt, body);
		send_status(fd, "200 OK", signed_by, "another-attempt",
			    "an answer that nobody asked for");
	} else if (g_strstr_len(path, (gssize)strcspn(path, " "), "/hang")) {
		await_hang_up(vm, run, fd);
		goes_on = false;
	} else if (g_strstr_len(path, (gssize)strcspn(path, " "), "/unsure")) {
		send_status(fd, "503 Unavailable", "", attempt, "");
	} else {
		if (g_strstr_len(path, (gssize)strcspn(path, " "), "/barrier"))
			await_barrier(vm->platform);
		send_status(fd, "200 OK", signed_by, attempt, body);
	}
	g_free(body);
	return goes_on;
}

/* Serves one request of an upstream; false if the connection is to end. */
static bool serve_upstream(served_t *served, const char *head)
{
	platform_vm_t *vm = served->vm;
	size_t body_size_bytes = skip_body(served->fd, head);

	if (vm->platform->serve)
		return vm->platform->serve(vm, served->fd, head,
					   body_size_bytes);
	char *target = platform_header(head, "Target-Instance");
	char *attempt = platform_header(head, "Attempt-Id");
	platform_run_t *run = NULL;
	bool goes_on = true;

	g_mutex_lock(&vm->platform->lock);
	bool is_other = target && strcmp(target, vm->upstream_id) != 0;
	bool sheds = strstr(head, "/shed") && vm->number == 0;

	if (!is_other && !sheds)
		run = record_run(vm, head);
	g_cond_broadcast(&vm->platform->changed);
	g_mutex_unlock(&vm->platform->lock);
	if (is_other)
		send_status(served->fd, "421 Misdirected", "", attempt, "");
	else if (sheds)
		send_status(served->fd, "503 Unavailable",
			    "Not-Executed: 1\r\n", attempt, "");
	else
		goes_on = behave(vm, run, served->fd, head,
				 attempt ? attempt : "");
	g_free(target);
	g_free(attempt);
	return goes_on;
}

static gpointer serve(gpointer data)
{
	served_t *served = data;
	bool goes_on = true;
	char *head;

	while (goes_on && (head = platform_read_head(served->fd))) {
		goes_on = served->vm ? serve_upstream(served, head)
				     : serve_store(served, head);
		g_free(head);
	}
	close(served->fd);
	g_atomic_int_add(&served->platform->serving, -1);
	g_free(served);
	return NULL;
}

/* Accepts connections of the store or of one upstream. */
static gpointer accept_all(gpointer data)
{
	served_t *listener = data;
	int fd;

	while ((fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		served_t *served = g_memdup2(listener, sizeof(*listener));

		served->fd = fd;
		g_atomic_int_inc(&served->platform->serving);
		g_thread_unref(g_thread_new("serve", serve, served));
	}
	g_free(listener);
	return NULL;
}

static void listen_for(platform_t *platform, platform_vm_t *vm, int fd)
{
	served_t *listener = g_new0(served_t, 1);

	listener->platform = platform;
	listener->vm = vm;
	listener->fd = fd;
	g_thread_unref(g_thread_new("accept", accept_all, listener));
}

/* Starts the store; ports stay reserved until the end. */
void platform_start(platform_t *platform)
{
	memset(platform, 0, sizeof(*platform));
	signal(SIGPIPE, SIG_IGN);
	g_mutex_init(&platform->lock);
	g_cond_init(&platform->changed);
	platform->revision = 10;
	platform->items = g_ptr_array_new_with_free_func(free_item);
	platform->runs = g_ptr_array_new_with_free_func(free_run);
	platform->dir = g_dir_make_tmp("dws-platform-XXXXXX", NULL);
	for (int i = 0; i < PLATFORM_PORTS; i++)
		platform->ports[i] =
			port_reserve(SOCK_STREAM, &platform->reserved[i]);
	platform->store_port =
		port_reserve(SOCK_STREAM, &platform->reserved[PLATFORM_PORTS]);
	platform->store_fd = listen_on(PLATFORM_STORE_IP, platform->store_port);
	listen_for(platform, NULL, platform->store_fd);
}

/* Writes an item; a value of NULL removes it. */
void platform_put(platform_t *platform, const char *key, const char *value)
{
	store_item_t *item = g_new0(store_item_t, 1);

	g_mutex_lock(&platform->lock);
	item->key = g_strdup(key);
	item->value = g_strdup(value);
	item->revision = ++platform->revision;
	g_ptr_array_add(platform->items, item);
	g_cond_broadcast(&platform->changed);
	g_mutex_unlock(&platform->lock);
}

/* Writes the entry of an upstream. */
void platform_register(platform_vm_t *vm, const char *state)
{
	char *key = g_strdup_printf("servers/%s", vm->upstream_id);
	char *value = g_strdup_printf(
		"{\"addr\":\"%s:%u\",\"born\":%d,\"info\":{\"service\":\"%s\","
		"\"version\":\"v1\",\"zone\":\"%s\",\"max_concurrency\":%d},"
		"\"status\":{\"state\":\"%s\",\"seq\":1,"
		"\"cold_left\":\"0ms\"}}",
		vm->ip, vm->platform->ports[PORT_UPSTREAM], vm->number + 1,
		vm->service, vm->zone, SLOTS, state);

	platform_put(vm->platform, key, value);
	g_free(key);
	g_free(value);
}

/* Writes a configuration for three services. */
void platform_configure(platform_t *platform, int version,
			const char *listeners)
{
	char *value = g_strdup_printf(
		"{\"version\":%d,\"limits\":{\"max_header_bytes\":16384,"
		"\"max_body_bytes\":100000,\"header_timeout\":\"3000ms\","
		"\"idle_timeout\":\"15s\"},\"listeners\":%s,\"clusters\":["
		"{\"name\":\"web\",\"health_path\":\"/h\",\"max_conns\":50},"
		"{\"name\":\"pay\",\"health_path\":\"/h\",\"max_conns\":50},"
		"{\"name\":\"deep\",\"health_path\":\"/h\",\"max_conns\":50}]}",
		version, listeners);

	platform_put(platform, "op/config", value);
	g_free(value);
}

/* Changes how the store behaves. */
void platform_set_mode(platform_t *platform, store_mode_t mode)
{
	g_mutex_lock(&platform->lock);
	platform->mode = mode;
	g_cond_broadcast(&platform->changed);
	g_mutex_unlock(&platform->lock);
}

/* Forgets all history; watches from before it get 410. */
void platform_compact(platform_t *platform)
{
	g_mutex_lock(&platform->lock);
	platform->horizon = ++platform->revision;
	g_cond_broadcast(&platform->changed);
	g_mutex_unlock(&platform->lock);
}

/* Starts an upstream of a service on a new VM and registers it. */
platform_vm_t *platform_add_vm(platform_t *platform, const char *service)
{
	platform_vm_t *vm = &platform->vms[platform->vm_count];

	vm->platform = platform;
	vm->number = platform->vm_count++;
	g_snprintf(vm->ip, sizeof(vm->ip), "127.0.1.%d", vm->number + 1);
	g_snprintf(vm->bind_ip, sizeof(vm->bind_ip), "127.0.%d.%d",
		   platform->has_relays ? 2 : 1, vm->number + 1);
	g_strlcpy(vm->zone, "a", sizeof(vm->zone));
	g_strlcpy(vm->service, service, sizeof(vm->service));
	g_snprintf(vm->upstream_id, sizeof(vm->upstream_id), "u-%d",
		   vm->number);
	vm->upstream_fd =
		listen_on(vm->bind_ip, platform->ports[PORT_UPSTREAM]);
	listen_for(platform, vm, vm->upstream_fd);
	platform_register(vm, "ready");
	vm->settings = g_strdup_printf("%s/%d.yaml", platform->dir, vm->number);
	vm->log = g_strdup_printf("%s/%d.log", platform->dir, vm->number);
	return vm;
}

/*
 * Writes the settings of a VM's daemon. With relays it is reached, and reaches
 * its upstream and the store, by the IP number that peers know.
 */
void platform_write_settings(platform_vm_t *vm, const char *more)
{
	const platform_t *platform = vm->platform;
	const uint16_t *ports = platform->ports;
	char *text = g_strdup_printf(
		"vm_id: %s\nzone: %s\nregion: r\nservice: %s\n"
		"upstream: %s:%u\nrouted_listen: %s:%u\nready_listen: %s:%u\n"
		"admin_listen: %s:%u\nadmin_any_address: true\n"
		"frame_listen: %s:%u\ndatagram_listen: %s:%u\nbind_ip: %s\n"
		"platform: %s:%u\nplatform_protocol: store\n"
		"policy: fixed\nprobe_interval_ms: 100\n%s%s\n%s",
		vm->ip, vm->zone, vm->service, vm->ip, ports[PORT_UPSTREAM],
		vm->bind_ip, ports[PORT_ROUTED], vm->bind_ip, ports[PORT_READY],
		vm->bind_ip, ports[PORT_ADMIN], vm->ip, ports[PORT_FRAMES],
		vm->ip, ports[PORT_FRAMES], vm->bind_ip,
		platform->has_relays ? vm->ip : PLATFORM_STORE_IP,
		platform->store_port, vm->stalls_log ? "" : "log_file: ",
		vm->stalls_log ? "" : vm->log, more);

	g_file_set_contents(vm->settings, text, -1, NULL);
	g_free(text);
}

/* Ends a daemon when the test program ends, however that ends. */
static void die_with_parent(gpointer unused)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/* Starts the daemon of a VM. */
void platform_start_daemon(platform_vm_t *vm)
{
	const char *build = g_getenv("DWS_BUILD_DIR");
	char *program =
		g_strdup_printf("%s/dogwoodshiftd", build ? build : "build");
	char *arguments[] = {program, "--settings", vm->settings, NULL};
	GError *error = NULL;
	int out; /* stays open, and is never read */

	platform_write_settings(vm, "");
	if (!g_spawn_async_with_pipes(
		    NULL, arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
		    die_with_parent, NULL, &vm->daemon, NULL,
		    vm->stalls_log ? &out : NULL, NULL, &error)) {
		fprintf(stderr, "%s; build it first\n", error->message);
		exit(1);
	}
	g_free(program);
}

/* Sends a signal to a daemon. */
void platform_signal_daemon(platform_vm_t *vm, int number, bool wait)
{
	if (vm->daemon == 0)
		return;
	kill(vm->daemon, number);
	if (!wait)
		return;
	waitpid(vm->daemon, NULL, 0);
	vm->daemon = 0;
}

/* Waits until a condition holds; false after a long time. */
bool platform_await(bool (*holds)(void *context), void *context)
{
	gint64 until = g_get_monotonic_time() + AWAIT_MAX_US;

	while (!holds(context)) {
		if (g_get_monotonic_time() > until)
			return false;
		g_usleep(AWAIT_STEP_US);
	}
	return true;
}

/* The status of the readiness listener. */
long platform_readiness(platform_vm_t *vm)
{
	char *url = g_strdup_printf("http://%s:%u/v1/readyz", vm->bind_ip,
				    vm->platform->ports[PORT_READY]);
	http_exchange_t exchange;
	long status;

	http_init(&exchange, "GET", url, NULL, EXCHANGE_TIMEOUT_MS, NULL);
	http_run(&exchange);
	status = exchange.status;
	http_finish(&exchange);
	g_free(url);
	return status;
}

static bool is_ready(void *context)
{
	return platform_readiness(context) == 200;
}

/* Waits until a daemon says that it is ready. */
bool platform_await_ready(platform_vm_t *vm)
{
	return platform_await(is_ready, vm);
}

/* A whole exchange with a daemon's routed listener. */
void platform_call(platform_vm_t *vm, const char *method, const char *host,
		   const char *path, const char *attempt_id,
		   http_exchange_t *exchange)
{
	char *url = g_strdup_printf("http://%s:%u%s", vm->ip,
				    vm->platform->ports[PORT_ROUTED], path);
	char *host_line = g_strdup_printf("Host: %s", host);
	char *id_line = g_strdup_printf("Attempt-Id: %s", attempt_id);
	const char *headers[] = {host_line,
				 id_line,
				 "Deadline-Ms: 15000",
				 "X-Caller: kept",
				 "Caller-Service: forged",
				 NULL};

	http_init(exchange, method, url, "body", EXCHANGE_TIMEOUT_MS, headers);
	http_run(exchange);
	g_free(url);
	g_free(host_line);
	g_free(id_line);
}

/* Connects to a daemon's routed listener. */
int platform_connect(platform_vm_t *vm)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(vm->platform->ports[PORT_ROUTED])};
	struct timeval patience = {.tv_sec = 20};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, vm->ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* How often upstreams got a request whose head holds a text. */
int platform_runs(platform_t *platform, const char *text)
{
	int count = 0;

	g_mutex_lock(&platform->lock);
	for (guint i = 0; i < platform->runs->len; i++) {
		const platform_run_t *run = platform->runs->pdata[i];

		count += strstr(run->head, text) != NULL;
	}
	g_mutex_unlock(&platform->lock);
	return count;
}

/* The head of the latest request that holds a text. */
const char *platform_head(platform_t *platform, const char *text)
{
	const char *head = "";

	g_mutex_lock(&platform->lock);
	for (guint i = 0; i < platform->runs->len; i++) {
		const platform_run_t *run = platform->runs->pdata[i];

		if (strstr(run->head, text))
			head = run->head;
	}
	g_mutex_unlock(&platform->lock);
	return head;
}

static bool is_idle(void *context)
{
	return g_atomic_int_get(&((platform_t *)context)->serving) == 0;
}

/* Ends all processes that were started, and the stand-ins. */
void platform_stop(platform_t *platform)
{
	for (int i = 0; i < platform->vm_count; i++) {
		platform_vm_t *vm = &platform->vms[i];

		platform_signal_daemon(vm, SIGKILL, true);
		shutdown(vm->upstream_fd, SHUT_RDWR);
	}
	g_mutex_lock(&platform->lock);
	platform->stopping = true;
	g_cond_broadcast(&platform->changed);
	g_mutex_unlock(&platform->lock);
	shutdown(platform->store_fd, SHUT_RDWR);
	platform_await(is_idle, platform);
	for (int i = 0; i <= PLATFORM_PORTS; i++)
		close(platform->reserved[i]);
}
