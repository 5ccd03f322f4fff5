/*
 * Stand-ins for the scripts of the second review; see harness.h. Each
 * connection is served by a thread of its own.
 */
#define _GNU_SOURCE
#include "harness.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define DAEMON "target/dogwoodshiftd"
#define TEMPLATE "deploy/settings.yaml"
/* The script ends itself before its limit of 120 s. */
#define RUN_LIMIT_S 110
#define READY_TIMEOUT_MS 30000
#define RESTART_DELAY_MS 500
#define WATCH_INTERVAL_MS 10
#define ITEM_MAX 256
#define LOG_MAX 1024
#define TEXT_MAX (256 * 1024)
#define STORE_VM_OFFSET 128
#define CHUNK_BYTES (64 * 1024)
#define CHUNKS_PER_S 10
#define RUN_MAX 20000
#define MEMORY_MB 260
#define SLOTS 64

enum {
	PORT_UPSTREAM,
	PORT_ROUTED,
	PORT_READY,
	PORT_FRAMES,
	PORT_ADMIN,
	PORT_STORE,
	PORT_COUNT
};

/* An item of the store, or the removal of one, as JSON. */
typedef struct item {
	char key[128];
	uint64_t revision;
	char *json;
} item_t;

vm_t vms[VM_MAX];
int vm_count;

static char temp_dir[128];
static char network[24]; /* first three parts of the addresses */
static uint16_t ports[PORT_COUNT];
static FILE *record_file;
static int64_t started_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static item_t items[ITEM_MAX];
static int item_count;
static item_t changes[LOG_MAX];
static int change_count;
static uint64_t revision = 100;
static volatile bool is_ending;
static struct {
	char attempt[ID_SIZE];
	vm_t *vm;
} runs[RUN_MAX];
static int run_count;

int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void sleep_ms(int64_t time_ms)
{
	struct timespec time = {.tv_sec = time_ms / 1000,
				.tv_nsec = time_ms % 1000 * 1000000};

	nanosleep(&time, NULL);
}

void record(const char *format, ...)
{
	static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
	va_list arguments;
	int64_t time_ms = now_ms() - started_ms;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%3d.%03d ", (int)(time_ms / 1000),
		(int)(time_ms % 1000));
	va_start(arguments, format);
	vfprintf(record_file, format, arguments);
	va_end(arguments);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

bool harness_has_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return !trouble || strcmp(trouble, "0") != 0;
}

void start_thread(void *(*function)(void *), void *argument)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attributes, (size_t)512 * 1024);
	if (pthread_create(&thread, &attributes, function, argument) != 0) {
		record("no thread could be started");
		harness_end(CASE_NOT_RUN);
	}
	pthread_attr_destroy(&attributes);
}

static struct sockaddr_in make_address(const char *ip, uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(port)};

	inet_pton(AF_INET, ip, &address.sin_addr);
	return address;
}

/* Finds a free port for streams and datagrams. */
static uint16_t find_free_port(const char *ip)
{
	struct sockaddr_in address = make_address(ip, 0);
	socklen_t length = sizeof(address);
	int stream = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int datagram = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	uint16_t port = 0;

	if (bind(stream, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    getsockname(stream, (struct sockaddr *)&address, &length) == 0 &&
	    bind(datagram, (struct sockaddr *)&address, sizeof(address)) == 0)
		port = ntohs(address.sin_port);
	close(stream);
	close(datagram);
	return port;
}

static void *limit_run(void *unused)
{
	(void)unused;
	sleep_ms(RUN_LIMIT_S * 1000);
	record("the run took too long");
	harness_end(CASE_NOT_RUN);
}

static void on_signal(int number)
{
	(void)number;
	for (int i = 0; i < vm_count; i++) {
		if (vms[i].daemon > 0)
			kill(vms[i].daemon, SIGKILL);
	}
	_exit(CASE_NOT_RUN);
}

void harness_start(const char *case_dir)
{
	char path[512];
	char ip[32];

	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	started_ms = now_ms();
	snprintf(path, sizeof(path), "%s/record.txt", case_dir);
	record_file = fopen(path, "w");
	snprintf(temp_dir, sizeof(temp_dir), "/tmp/dws-review-XXXXXX");
	if (!record_file || !mkdtemp(temp_dir)) {
		fprintf(stderr, "no record or no temporary folder\n");
		exit(CASE_NOT_RUN);
	}
	snprintf(network, sizeof(network), "127.%d.%d", 64 + getpid() % 128,
		 getpid() / 128 % 256);
	snprintf(ip, sizeof(ip), "%s.1", network);
	for (int i = 0; i < PORT_COUNT; i++) {
		bool is_new;

		do {
			ports[i] = find_free_port(ip);
			is_new = ports[i] != 0;
			for (int j = 0; j < i; j++)
				is_new = is_new && ports[j] != ports[i];
		} while (!is_new);
	}
	record("start, trouble=%d", harness_has_trouble());
	start_thread(limit_run, NULL);
}

static void remove_temp_dir(void)
{
	DIR *dir = opendir(temp_dir);
	struct dirent *entry;
	char path[512];

	while (dir && (entry = readdir(dir))) {
		snprintf(path, sizeof(path), "%s/%s", temp_dir, entry->d_name);
		unlink(path);
	}
	if (dir)
		closedir(dir);
	rmdir(temp_dir);
}

void harness_end(int status)
{
	is_ending = true;
	sleep_ms(2 * WATCH_INTERVAL_MS);
	for (int i = 0; i < vm_count; i++) {
		pid_t pid = vms[i].daemon;

		if (pid <= 0)
			continue;
		kill(pid, SIGKILL);
		waitpid(pid, NULL, 0);
	}
	if (!getenv("REVIEW_KEEP_LOGS"))
		remove_temp_dir();
	record("end, status=%d", status);
	printf("%s\n", status == RULE_BROKEN ? "rule broken"
		       : status == RULE_HELD ? "rule held"
					     : "not run");
	fflush(stdout);
	_exit(status);
}

static int listen_on(const char *ip, uint16_t port)
{
	struct sockaddr_in address = make_address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int enabled = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, 1024) != 0) {
		record("cannot listen on %s:%u: %s", ip, port, strerror(errno));
		harness_end(CASE_NOT_RUN);
	}
	return fd;
}

static bool send_all(int fd, const char *data, size_t size_bytes)
{
	while (size_bytes > 0) {
		ssize_t sent = send(fd, data, size_bytes, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		data += sent;
		size_bytes -= (size_t)sent;
	}
	return true;
}

/* Sends a body of zeros. */
static bool send_body(int fd, size_t size_bytes)
{
	static const char zeros[CHUNK_BYTES];

	while (size_bytes > 0) {
		size_t part =
			size_bytes < CHUNK_BYTES ? size_bytes : CHUNK_BYTES;

		if (!send_all(fd, zeros, part))
			return false;
		size_bytes -= part;
	}
	return true;
}

/*
 * Reads up to the end of a head, which is NUL-terminated then; what follows it
 * stays in rest. Returns false if the connection ends before.
 */
static bool read_head(int fd, char *head, char *rest, size_t *rest_bytes)
{
	size_t filled = *rest_bytes;
	char *end = NULL;

	memcpy(head, rest, filled);
	for (;;) {
		head[filled] = '\0';
		end = strstr(head, "\r\n\r\n");
		if (end)
			break;
		if (filled >= HEAD_SIZE - 1)
			return false;
		ssize_t got =
			recv(fd, head + filled, HEAD_SIZE - 1 - filled, 0);

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			return false;
		filled += (size_t)got;
	}
	size_t head_bytes = (size_t)(end - head) + 4;

	*rest_bytes = filled - head_bytes;
	memcpy(rest, head + head_bytes, *rest_bytes);
	head[head_bytes] = '\0';
	return true;
}

/* Copies a header's value; "" if absent. */
static void get_header(const char *head, const char *name, char *value,
		       size_t size)
{
	size_t length = strlen(name);

	value[0] = '\0';
	for (const char *at = strstr(head, "\r\n"); at;
	     at = strstr(at + 2, "\r\n")) {
		if (strncasecmp(at + 2, name, length) != 0 ||
		    at[2 + length] != ':')
			continue;
		const char *text = at + 3 + length;

		text += strspn(text, " ");
		snprintf(value, size, "%.*s", (int)strcspn(text, "\r"), text);
		return;
	}
}

/* Reads "METHOD PATH" of a request line. */
static void get_request_line(const char *head, char *method, size_t method_size,
			     char *path, size_t path_size)
{
	size_t length = strcspn(head, " ");

	snprintf(method, method_size, "%.*s", (int)length, head);
	head += length + (head[length] == ' ');
	snprintf(path, path_size, "%.*s", (int)strcspn(head, " "), head);
}

/* The store. */

static void encode_base64(const char *text, char *out)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t length = strlen(text);

	for (size_t i = 0; i < length; i += 3) {
		uint32_t bits = (uint32_t)(uint8_t)text[i] << 16;

		if (i + 1 < length)
			bits |= (uint32_t)(uint8_t)text[i + 1] << 8;
		if (i + 2 < length)
			bits |= (uint8_t)text[i + 2];
		*out++ = digits[bits >> 18];
		*out++ = digits[bits >> 12 & 63];
		*out++ = i + 1 < length ? digits[bits >> 6 & 63] : '=';
		*out++ = i + 2 < length ? digits[bits & 63] : '=';
	}
	*out = '\0';
}

int64_t store_put(const char *key, const char *json)
{
	size_t size = strlen(json) * 4 / 3 + 512;
	char *value = malloc(size);
	char *text = malloc(size + 512);
	int at = 0;

	encode_base64(json, value);
	pthread_mutex_lock(&lock);
	revision++;
	snprintf(text, size + 512,
		 "{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%llu,"
		 "\"created\":%llu,\"lease\":0}",
		 key, value, (unsigned long long)revision,
		 (unsigned long long)revision);
	while (at < item_count && strcmp(items[at].key, key) != 0)
		at++;
	if (at == item_count)
		item_count++;
	snprintf(items[at].key, sizeof(items[at].key), "%s", key);
	items[at].revision = revision;
	items[at].json = text;
	changes[change_count++] = items[at];
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&lock);
	free(value);
	return now_ms();
}

/* Appends the items, or the changes after a revision, as a JSON list. */
static int append_list(char *out, const item_t *list, int count, uint64_t after)
{
	int used = 0;

	for (int i = 0; i < count; i++) {
		if (list[i].revision <= after)
			continue;
		used += snprintf(out + used, TEXT_MAX - 4096 - (size_t)used,
				 "%s%s", used ? "," : "", list[i].json);
	}
	return used;
}

/* Waits for a change after a revision; called with the lock held. */
static void await_change(uint64_t after, long wait_ms)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	while (revision <= after) {
		if (pthread_cond_timedwait(&store_changed, &lock, &until) != 0)
			return;
	}
}

/* Answers a call; false if the connection is to be closed. */
static bool answer_store_call(const vm_t *vm, int fd, const char *path)
{
	static const char ok[] = "HTTP/1.1 200 OK\r\n"
				 "Content-Type: application/json\r\n";
	char *body = malloc(TEXT_MAX);
	char head[256];
	bool is_watch = strncmp(path, "/v1/kv-watch", 12) == 0;
	const char *after = strstr(path, "after=");
	const char *wait = strstr(path, "wait_timeout_ms=");
	uint64_t known = after ? strtoull(after + 6, NULL, 10) : 0;
	int used;

	pthread_mutex_lock(&lock);
	if (is_watch)
		await_change(known, wait ? strtol(wait + 16, NULL, 10) : 0);
	used = sprintf(body, "{\"%s\":[", is_watch ? "events" : "items");
	used += is_watch
			? append_list(body + used, changes, change_count, known)
			: append_list(body + used, items, item_count, 0);
	used += sprintf(body + used, "],%s\"at_rev\":%llu}",
			is_watch ? "" : "\"has_more\":false,",
			(unsigned long long)revision);
	pthread_mutex_unlock(&lock);
	/* A partition drops the answer too. */
	while (vm->is_cut && !is_ending)
		sleep_ms(50);
	snprintf(head, sizeof(head), "%sContent-Length: %d\r\n\r\n", ok, used);
	bool sent = send_all(fd, head, strlen(head)) &&
		    send_all(fd, body, (size_t)used);

	free(body);
	return sent;
}

typedef struct connection {
	vm_t *vm;
	int fd;
} connection_t;

static void *serve_store(void *argument)
{
	connection_t connection = *(connection_t *)argument;
	char *head = malloc(HEAD_SIZE);
	char *rest = malloc(HEAD_SIZE);
	size_t rest_bytes = 0;
	char method[16];
	char path[1024];
	bool is_open = true;

	free(argument);
	while (is_open && read_head(connection.fd, head, rest, &rest_bytes)) {
		/* A partition: the call does not arrive. */
		while (connection.vm->is_cut && !is_ending)
			sleep_ms(50);
		connection.vm->last_read_ms = now_ms();
		get_request_line(head, method, sizeof(method), path,
				 sizeof(path));
		is_open = answer_store_call(connection.vm, connection.fd, path);
	}
	close(connection.fd);
	free(head);
	free(rest);
	return NULL;
}

/* Upstreams. */

static upstream_serve_t serve_functions[VM_MAX];

void note_run(const upstream_request_t *request)
{
	pthread_mutex_lock(&lock);
	if (run_count < RUN_MAX) {
		snprintf(runs[run_count].attempt, ID_SIZE, "%s",
			 request->attempt);
		runs[run_count].vm = request->vm;
		run_count++;
	}
	pthread_mutex_unlock(&lock);
}

vm_t *find_run(const char *attempt)
{
	vm_t *vm = NULL;

	pthread_mutex_lock(&lock);
	for (int i = run_count; i > 0 && !vm; i--) {
		if (strcmp(runs[i - 1].attempt, attempt) == 0)
			vm = runs[i - 1].vm;
	}
	pthread_mutex_unlock(&lock);
	return vm;
}

bool upstream_read_body(upstream_request_t *request, size_t bytes_per_s)
{
	char *chunk = malloc(CHUNK_BYTES);
	size_t left = request->body_bytes;
	size_t quota = bytes_per_s / CHUNKS_PER_S;
	size_t taken =
		request->buffered_bytes < left ? request->buffered_bytes : left;

	memmove(request->buffered, request->buffered + taken,
		request->buffered_bytes - taken);
	request->buffered_bytes -= taken;
	left -= taken;
	size_t in_interval = 0;

	while (left > 0) {
		ssize_t got = recv(request->fd, chunk,
				   left < CHUNK_BYTES ? left : CHUNK_BYTES, 0);

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			break;
		left -= (size_t)got;
		in_interval += (size_t)got;
		if (quota > 0 && in_interval >= quota) {
			sleep_ms(1000 / CHUNKS_PER_S);
			in_interval = 0;
		}
	}
	free(chunk);
	return left == 0;
}

bool upstream_answer(const upstream_request_t *request, size_t body_bytes)
{
	char head[512];

	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
		 "Response-Signature: sig-%s\r\nContent-Length: %zu\r\n\r\n",
		 request->attempt, request->vm->upstream_id, body_bytes);
	return send_all(request->fd, head, strlen(head)) &&
	       send_body(request->fd, body_bytes);
}

/* Answers a request that was meant for another upstream, or a health check. */
static bool answer_itself(upstream_request_t *request, const char *target,
			  bool *is_open)
{
	const char *id = request->vm->upstream_id;
	char text[512];

	if (strcmp(request->path, "/healthz") == 0)
		snprintf(text, sizeof(text),
			 "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
			 "Content-Length: 0\r\n\r\n",
			 id);
	else if (target[0] && strcmp(target, id) != 0)
		snprintf(text, sizeof(text),
			 "HTTP/1.1 421 Misdirected Request\r\n"
			 "Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
			 id);
	else
		return false;
	*is_open = upstream_read_body(request, 0) &&
		   send_all(request->fd, text, strlen(text));
	return true;
}

static void *serve_upstream(void *argument)
{
	connection_t connection = *(connection_t *)argument;
	upstream_request_t *request = calloc(1, sizeof(*request));
	char *head = malloc(HEAD_SIZE);
	char target[ID_SIZE];
	char length[32];
	bool is_open = true;

	free(argument);
	request->vm = connection.vm;
	request->fd = connection.fd;
	while (is_open && read_head(request->fd, head, request->buffered,
				    &request->buffered_bytes)) {
		get_request_line(head, request->method, sizeof(request->method),
				 request->path, sizeof(request->path));
		get_header(head, "Attempt-Id", request->attempt,
			   sizeof(request->attempt));
		get_header(head, "Target-Instance", target, sizeof(target));
		get_header(head, "Content-Length", length, sizeof(length));
		request->body_bytes = strtoull(length, NULL, 10);
		if (!answer_itself(request, target, &is_open))
			is_open = serve_functions[request->vm->number](request);
	}
	close(connection.fd);
	free(head);
	free(request);
	return NULL;
}

/* Accepts connections for a function that serves them. */
typedef struct listener {
	vm_t *vm;
	int fd;
	void *(*serve)(void *);
} listener_t;

static void *accept_connections(void *argument)
{
	listener_t listener = *(listener_t *)argument;

	free(argument);
	for (;;) {
		int fd = accept4(listener.fd, NULL, NULL, SOCK_CLOEXEC);

		if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
			continue;
		if (fd < 0)
			return NULL;
		connection_t *connection = malloc(sizeof(*connection));

		connection->vm = listener.vm;
		connection->fd = fd;
		start_thread(listener.serve, connection);
	}
}

static void start_listener(vm_t *vm, const char *ip, uint16_t port,
			   void *(*serve)(void *))
{
	listener_t *listener = malloc(sizeof(*listener));

	listener->vm = vm;
	listener->fd = listen_on(ip, port);
	listener->serve = serve;
	start_thread(accept_connections, listener);
}

/* Daemons. */

/* Replaces all occurrences of a text in a buffer of TEXT_MAX bytes. */
static void replace_all(char *text, const char *from, const char *to)
{
	size_t from_length = strlen(from);
	size_t to_length = strlen(to);

	for (char *at = text; (at = strstr(at, from)); at += to_length) {
		memmove(at + to_length, at + from_length,
			strlen(at + from_length) + 1);
		memcpy(at, to, to_length);
	}
}

static void replace_address(char *text, const char *from, const char *ip,
			    uint16_t port)
{
	char to[64];

	snprintf(to, sizeof(to), "%s:%u", ip, port);
	replace_all(text, from, to);
}

/* Renders deploy/settings.yaml for a VM, as the platform does. */
static void write_settings(const vm_t *vm)
{
	char *text = calloc(1, TEXT_MAX);
	char number[32];
	FILE *file = fopen(TEMPLATE, "r");

	if (!file || fread(text, 1, TEXT_MAX / 2, file) == 0) {
		record("no template of the settings");
		harness_end(CASE_NOT_RUN);
	}
	fclose(file);
	replace_address(text, "{{app_addr}}", vm->ip, ports[PORT_UPSTREAM]);
	replace_address(text, "{{listen.outbound}}", vm->ip,
			ports[PORT_ROUTED]);
	replace_address(text, "{{listen.ready}}", vm->ip, ports[PORT_READY]);
	replace_address(text, "{{infra.addr}}", vm->store_ip,
			ports[PORT_STORE]);
	replace_address(text, "{{ip}}:9102", vm->ip, ports[PORT_ADMIN]);
	snprintf(number, sizeof(number), "%u", ports[PORT_FRAMES]);
	replace_all(text, "{{port_range.0}}", number);
	replace_all(text, "{{ip}}", vm->ip);
	replace_all(text, "{{zone}}", vm->zone);
	replace_all(text, "{{region}}", "palermo");
	replace_all(text, "{{service}}", vm->service);
	snprintf(number, sizeof(number), "%d", vm->memory_mb);
	replace_all(text, "{{limits.memory_mb}}", number);
	replace_all(text, "{{thresholds.retry_ratio}}", "0.2");
	replace_all(text, "{{thresholds.retry_window}}", "10s");
	replace_all(text, "{{thresholds.retry_slack}}", "50");
	replace_all(text, "{{thresholds.grace_period}}", "6s");
	file = fopen(vm->settings, "w");
	if (!file || strstr(text, "{{") || fputs(text, file) < 0) {
		record("settings of %s can't be rendered", vm->ip);
		harness_end(CASE_NOT_RUN);
	}
	fclose(file);
	free(text);
}

void start_daemon(vm_t *vm)
{
	write_settings(vm);
	pid_t parent = getpid();
	pid_t pid = fork();

	if (pid == 0) {
		int log = open(vm->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(CASE_NOT_RUN);
		dup2(log, STDOUT_FILENO);
		dup2(log, STDERR_FILENO);
		setenv("DOGWOODSHIFT_BOOT", vm->settings, 1);
		execl(DAEMON, DAEMON, "--settings", vm->settings, (char *)NULL);
		_exit(CASE_NOT_RUN);
	}
	vm->daemon = pid;
}

static int connect_to(const char *ip, uint16_t port, int receive_bytes)
{
	struct sockaddr_in address = make_address(ip, port);
	struct timeval timeout = {.tv_sec = 60};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (receive_bytes > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

static bool is_ready(const vm_t *vm)
{
	static const char question[] =
		"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
	char answer[256];
	int fd = connect_to(vm->ip, ports[PORT_READY], 0);
	ssize_t got = -1;

	if (fd < 0)
		return false;
	if (send_all(fd, question, strlen(question)))
		got = recv(fd, answer, sizeof(answer) - 1, 0);
	close(fd);
	if (got <= 0)
		return false;
	answer[got] = '\0';
	return strstr(answer, " 200 ") != NULL;
}

void start_daemons(void)
{
	int64_t until_ms = now_ms() + READY_TIMEOUT_MS;

	if (access(DAEMON, X_OK) != 0) {
		record("%s is not built", DAEMON);
		harness_end(CASE_NOT_RUN);
	}
	for (int i = 0; i < vm_count; i++)
		start_daemon(&vms[i]);
	for (int i = 0; i < vm_count;) {
		if (is_ready(&vms[i])) {
			i++;
			continue;
		}
		if (now_ms() > until_ms) {
			record("daemon of %s is not ready", vms[i].ip);
			harness_end(CASE_NOT_RUN);
		}
		sleep_ms(20);
	}
	record("%d daemons are ready", vm_count);
}

/* The resident memory of a process in MB; 0 if it is unknown. */
static long resident_mb(pid_t pid)
{
	char path[64];
	char line[256];
	long resident_kb = 0;

	snprintf(path, sizeof(path), "/proc/%d/status", pid);
	FILE *file = fopen(path, "r");

	if (!file)
		return 0;
	while (fgets(line, sizeof(line), file)) {
		if (sscanf(line, "VmRSS: %ld", &resident_kb) == 1)
			break;
	}
	fclose(file);
	return resident_kb / 1024;
}

static void watch_daemon(vm_t *vm)
{
	pid_t pid = vm->daemon;
	long memory_mb = resident_mb(pid);
	int status = 0;

	if (memory_mb > vm->peak_mb)
		vm->peak_mb = memory_mb;
	if (memory_mb > vm->memory_mb) {
		record("platform: daemon of %s has %ld MB of %d: killed",
		       vm->ip, memory_mb, vm->memory_mb);
		vm->memory_kills++;
		kill(pid, SIGKILL);
		waitpid(pid, &status, 0);
	} else if (waitpid(pid, &status, WNOHANG) != pid) {
		return;
	} else {
		record("daemon of %s has ended by itself, status %d", vm->ip,
		       status);
	}
	vm->daemon = 0;
	sleep_ms(RESTART_DELAY_MS);
	if (is_ending)
		return;
	start_daemon(vm);
	record("platform: daemon of %s is started again", vm->ip);
}

static void *watch_all(void *unused)
{
	(void)unused;
	while (!is_ending) {
		for (int i = 0; i < vm_count && !is_ending; i++)
			watch_daemon(&vms[i]);
		sleep_ms(WATCH_INTERVAL_MS);
	}
	return NULL;
}

void watch_processes(void)
{
	start_thread(watch_all, NULL);
}

vm_t *add_vm(const char *zone, const char *service, upstream_serve_t serve)
{
	vm_t *vm = &vms[vm_count];
	char key[128];
	char json[512];

	vm->number = vm_count;
	snprintf(vm->ip, sizeof(vm->ip), "%s.%d", network, vm_count + 1);
	snprintf(vm->store_ip, sizeof(vm->store_ip), "%s.%d", network,
		 vm_count + 1 + STORE_VM_OFFSET);
	snprintf(vm->zone, sizeof(vm->zone), "%s", zone);
	snprintf(vm->service, sizeof(vm->service), "%s", service);
	snprintf(vm->upstream_id, sizeof(vm->upstream_id), "i-%04d", vm_count);
	snprintf(vm->settings, sizeof(vm->settings), "%s/%d.yaml", temp_dir,
		 vm_count);
	snprintf(vm->log, sizeof(vm->log), "%s/%d.log", temp_dir, vm_count);
	vm->memory_mb = MEMORY_MB;
	serve_functions[vm_count] = serve;
	vm_count++;
	start_listener(vm, vm->ip, ports[PORT_UPSTREAM], serve_upstream);
	start_listener(vm, vm->store_ip, ports[PORT_STORE], serve_store);
	snprintf(key, sizeof(key), "servers/%s", vm->upstream_id);
	snprintf(json, sizeof(json),
		 "{\"addr\":\"%s:%u\",\"info\":{\"service\":\"%s\","
		 "\"version\":\"v1\",\"zone\":\"%s\",\"max_concurrency\":%d},"
		 "\"status\":{\"state\":\"ready\",\"seq\":4,"
		 "\"cold_left\":\"0ms\"}}",
		 vm->ip, ports[PORT_UPSTREAM], service, zone, SLOTS);
	store_put(key, json);
	return vm;
}

const char *route_json(const char *name, const char *host, const char *prefix,
		       const char *kind, const char *service,
		       const char *timeout)
{
	static char text[1024];

	snprintf(text, sizeof(text),
		 "{\"host\":\"%s\",\"policy\":[{\"name\":\"%s\","
		 "\"kind\":\"%s\",\"target_latency\":\"1500ms\","
		 "\"priority\":1,\"match\":{\"prefix\":\"%s\"},"
		 "\"action\":{\"service\":\"%s\",\"timeout\":\"%s\","
		 "\"attempts\":2}}]}",
		 host, name, kind, prefix, service, timeout);
	return text;
}

/* Appends the services of all VMs, each once, as JSON. */
static int append_services(char *out)
{
	int used = 0;

	for (int i = 0; i < vm_count; i++) {
		bool is_listed = false;

		for (int j = 0; j < i; j++)
			is_listed |=
				strcmp(vms[j].service, vms[i].service) == 0;
		if (is_listed)
			continue;
		used += sprintf(out + used,
				"%s{\"name\":\"%s\",\"health_path\":"
				"\"/healthz\",\"max_conns\":484,"
				"\"proto\":\"h1\",\"tls\":false}",
				used ? "," : "", vms[i].service);
	}
	return used;
}

int64_t put_config(int version, const char *idle_timeout, const char *routes)
{
	char *text = malloc(TEXT_MAX);
	int used = snprintf(text, TEXT_MAX / 2,
			    "{\"version\":%d,\"limits\":{"
			    "\"max_header_bytes\":16384,"
			    "\"max_body_bytes\":67108864,"
			    "\"header_timeout\":\"3000ms\","
			    "\"idle_timeout\":\"%s\"},\"listeners\":[%s],"
			    "\"clusters\":[",
			    version, idle_timeout, routes);

	used += append_services(text + used);
	sprintf(text + used, "]}");
	int64_t acked_ms = store_put("op/config", text);

	record("store: acknowledges configuration %d, idle_timeout %s", version,
	       idle_timeout);
	free(text);
	return acked_ms;
}

/* Consumers. */

void new_attempt_id(char *id)
{
	static pthread_mutex_t id_lock = PTHREAD_MUTEX_INITIALIZER;
	static unsigned int last;

	pthread_mutex_lock(&id_lock);
	snprintf(id, ID_SIZE, "%08x%08x", (unsigned int)getpid(), ++last);
	pthread_mutex_unlock(&id_lock);
}

bool consumer_connect(consumer_t *consumer, vm_t *vm, int receive_bytes)
{
	consumer->vm = vm;
	consumer->requests = 0;
	consumer->buffered_bytes = 0;
	consumer->fd = connect_to(vm->ip, ports[PORT_ROUTED], receive_bytes);
	return consumer->fd >= 0;
}

void consumer_close(consumer_t *consumer)
{
	if (consumer->fd >= 0)
		close(consumer->fd);
	consumer->fd = -1;
}

bool consumer_send(consumer_t *consumer, const char *method, const char *host,
		   const char *path, const char *attempt, int deadline_ms,
		   size_t body_bytes)
{
	char head[2048];
	char length[64] = "";

	if (body_bytes > 0)
		snprintf(length, sizeof(length), "Content-Length: %zu\r\n",
			 body_bytes);
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n"
		 "Deadline-Ms: %d\r\n%s\r\n",
		 method, path, host, attempt, deadline_ms, length);
	consumer->requests++;
	return send_all(consumer->fd, head, strlen(head)) &&
	       send_body(consumer->fd, body_bytes);
}

int consumer_read_head(consumer_t *consumer, size_t *length_bytes)
{
	char head[HEAD_SIZE];
	char length[32];
	const char *space;

	if (!read_head(consumer->fd, head, consumer->buffer,
		       &consumer->buffered_bytes))
		return 0;
	get_header(head, "Content-Length", length, sizeof(length));
	*length_bytes = strtoull(length, NULL, 10);
	space = strchr(head, ' ');
	return space ? atoi(space + 1) : 0;
}

size_t consumer_read_body(consumer_t *consumer, size_t length_bytes,
			  size_t bytes_per_s)
{
	char *chunk = malloc(CHUNK_BYTES);
	size_t quota = bytes_per_s / CHUNKS_PER_S;
	size_t part = quota > 0 && quota < CHUNK_BYTES ? quota : CHUNK_BYTES;
	size_t taken = consumer->buffered_bytes < length_bytes
			       ? consumer->buffered_bytes
			       : length_bytes;
	size_t done = taken;

	memmove(consumer->buffer, consumer->buffer + taken,
		consumer->buffered_bytes - taken);
	consumer->buffered_bytes -= taken;
	while (done < length_bytes) {
		size_t left = length_bytes - done;
		ssize_t got =
			recv(consumer->fd, chunk, left < part ? left : part, 0);

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			break;
		done += (size_t)got;
		if (quota > 0)
			sleep_ms(1000 / CHUNKS_PER_S);
	}
	free(chunk);
	return done;
}
