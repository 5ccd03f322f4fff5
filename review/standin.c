/*
 * The deployment that the cases of the review share; see standin.h.
 */
#define _GNU_SOURCE
#include "standin.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define ADMIN_PORT 9102 /* fixed in deploy/settings.yaml */
#define STORE_NUMBER 250 /* last number of the store's address */
#define CONNECT_TIMEOUT_MS 1000
/* Size from which a page of the store ends. */
#define PAGE_BYTES (1024 * 1024)
/* Reads of pages that are written to record.txt. */
#define RANGES_RECORDED 30

site_t site = {.lock = PTHREAD_MUTEX_INITIALIZER, .memory_mb = 260};

static FILE *record_file;
static int64_t started_ms;

int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void sleep_ms(int64_t time_ms)
{
	usleep((useconds_t)(time_ms * 1000));
}

void record(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	flockfile(record_file);
	fprintf(record_file, "%8.3f ",
		(double)(now_ms() - started_ms) / 1000.0);
	vfprintf(record_file, format, arguments);
	fputc('\n', record_file);
	fflush(record_file);
	funlockfile(record_file);
	va_end(arguments);
}

pthread_t run_thread(void *(*function)(void *), void *data)
{
	pthread_t thread;
	pthread_attr_t attributes;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, 512 * 1024);
	if (pthread_create(&thread, &attributes, function, data) != 0) {
		fprintf(stderr, "no thread could be started\n");
		exit(EXIT_NOT_RUN);
	}
	pthread_attr_destroy(&attributes);
	return thread;
}

static struct sockaddr_in socket_address(const char *ip, uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(port)};

	inet_pton(AF_INET, ip, &address.sin_addr);
	return address;
}

static int try_listen(const char *ip, uint16_t port)
{
	struct sockaddr_in address = socket_address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    listen(fd, 1024) == 0)
		return fd;
	close(fd);
	return -1;
}

int listen_on(const char *ip, uint16_t port)
{
	int fd = try_listen(ip, port);

	if (fd < 0) {
		fprintf(stderr, "cannot listen on %s:%u: %s\n", ip, port,
			strerror(errno));
		exit(EXIT_NOT_RUN);
	}
	return fd;
}

int connect_to(const char *ip, uint16_t port, int receive_bytes)
{
	struct sockaddr_in address = socket_address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd wait = {.fd = fd, .events = POLLOUT};
	int on = 1;
	int failure = 0;
	socklen_t length = sizeof(failure);

	if (receive_bytes > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if ((connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
	     errno != EINPROGRESS) ||
	    poll(&wait, 1, CONNECT_TIMEOUT_MS) != 1 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &length) != 0 ||
	    failure != 0) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	return fd;
}

bool send_all(int fd, const void *data, size_t size_bytes)
{
	const char *at = data;

	while (size_bytes > 0) {
		ssize_t sent = send(fd, at, size_bytes, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		at += sent;
		size_bytes -= (size_t)sent;
	}
	return true;
}

bool read_head(int fd, char *head, size_t size)
{
	size_t fill = 0;

	while (fill + 1 < size && recv(fd, head + fill, 1, 0) == 1) {
		head[++fill] = '\0';
		if (fill >= 4 && memcmp(head + fill - 4, "\r\n\r\n", 4) == 0)
			return true;
	}
	return false;
}

bool find_header(const char *head, const char *name, char *value, size_t size)
{
	size_t length = strlen(name);
	const char *line = strstr(head, "\r\n");

	value[0] = '\0';
	for (; line; line = strstr(line + 2, "\r\n")) {
		const char *at = line + 2;

		if (strncasecmp(at, name, length) != 0 || at[length] != ':')
			continue;
		at += length + 1;
		at += strspn(at, " ");
		snprintf(value, size, "%.*s", (int)strcspn(at, "\r"), at);
		return true;
	}
	return false;
}

void reset_connection(int fd)
{
	struct linger none = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
	close(fd);
}

void new_id(char *id, size_t size)
{
	uint64_t number;

	pthread_mutex_lock(&site.lock);
	number = ++site.next_id;
	pthread_mutex_unlock(&site.lock);
	snprintf(id, size, "%08x%08x", (unsigned int)getpid(),
		 (unsigned int)number);
}

/* The store. */

static void append(char **text, size_t *fill, size_t *size, const char *more,
		   size_t length)
{
	if (*fill + length + 1 > *size) {
		*size = (*fill + length + 1) * 2;
		*text = realloc(*text, *size);
	}
	memcpy(*text + *fill, more, length);
	*fill += length;
	(*text)[*fill] = '\0';
}

static char *to_base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t length = strlen(text);
	char *out = calloc(length * 4 / 3 + 8, 1);
	char *at = out;

	for (size_t i = 0; i < length; i += 3) {
		size_t left = length - i;
		uint32_t bits = (uint32_t)(uint8_t)text[i] << 16;

		if (left > 1)
			bits |= (uint32_t)(uint8_t)text[i + 1] << 8;
		if (left > 2)
			bits |= (uint8_t)text[i + 2];
		*at++ = digits[bits >> 18];
		*at++ = digits[bits >> 12 & 63];
		*at++ = left > 1 ? digits[bits >> 6 & 63] : '=';
		*at++ = left > 2 ? digits[bits & 63] : '=';
	}
	return out;
}

static int compare_items(const void *a, const void *b)
{
	return strcmp(((const store_item_t *)a)->key,
		      ((const store_item_t *)b)->key);
}

void store_put(const char *key, const char *value)
{
	store_item_t *item = NULL;

	pthread_mutex_lock(&site.lock);
	for (int i = 0; i < site.item_count; i++) {
		if (strcmp(site.items[i].key, key) == 0)
			item = &site.items[i];
	}
	if (!item) {
		item = &site.items[site.item_count++];
		snprintf(item->key, sizeof(item->key), "%s", key);
	}
	site.revision++;
	if (!item->value)
		item->created = site.revision;
	free(item->value);
	item->value = value ? strdup(value) : NULL;
	item->revision = site.revision;
	qsort(site.items, (size_t)site.item_count, sizeof(store_item_t),
	      compare_items);
	pthread_cond_broadcast(&site.changed);
	pthread_mutex_unlock(&site.lock);
	record("store: %s %s", value ? "put" : "removed", key);
}

/*
 * Formats the answer of the store: the changes after a revision, or a page of
 * the items after a key. The caller holds the lock.
 */
static char *store_answer(bool is_watch, uint64_t after, const char *prefix,
			  const char *after_key)
{
	bool has_more = false;
	size_t fill = 0;
	size_t size = 0;
	char *text = NULL;
	char line[512];
	bool is_first = true;

	append(&text, &fill, &size, is_watch ? "{\"events\":[" : "{\"items\":[",
	       is_watch ? 11 : 10);
	for (int i = 0; i < site.item_count; i++) {
		const store_item_t *item = &site.items[i];

		if (strncmp(item->key, prefix, strlen(prefix)) != 0 ||
		    (is_watch ? item->revision <= after : !item->value) ||
		    (!is_watch && strcmp(item->key, after_key) <= 0))
			continue;
		if (!is_watch && fill >= PAGE_BYTES) {
			has_more = true;
			break;
		}
		if (!is_first)
			append(&text, &fill, &size, ",", 1);
		is_first = false;
		if (!item->value) {
			int length = snprintf(line, sizeof(line),
					      "{\"key\":\"%s\",\"rev\":%lu,"
					      "\"removed\":true}",
					      item->key,
					      (unsigned long)item->revision);

			append(&text, &fill, &size, line, (size_t)length);
			continue;
		}
		char *value = to_base64(item->value);
		int length = snprintf(line, sizeof(line),
				      "{\"key\":\"%s\",\"rev\":%lu,"
				      "\"created\":%lu,\"lease\":0,"
				      "\"value\":\"",
				      item->key, (unsigned long)item->revision,
				      (unsigned long)item->created);

		append(&text, &fill, &size, line, (size_t)length);
		append(&text, &fill, &size, value, strlen(value));
		append(&text, &fill, &size, "\"}", 2);
		free(value);
	}
	int length = snprintf(
		line, sizeof(line), "],\"has_more\":%s,\"at_rev\":%lu}",
		has_more ? "true" : "false", (unsigned long)site.revision);

	append(&text, &fill, &size, line, (size_t)length);
	return text;
}

static uint64_t query_number(const char *head, const char *name)
{
	const char *at = strstr(head, name);

	return at ? strtoull(at + strlen(name), NULL, 10) : 0;
}

/* Decodes a parameter of a query; "" if it is absent. */
static void query_text(const char *head, const char *name, char *text,
		       size_t size)
{
	const char *at = strstr(head, name);
	size_t fill = 0;

	text[0] = '\0';
	if (!at)
		return;
	for (at += strlen(name); *at && !strchr("& \r", *at); at++) {
		unsigned int byte = (unsigned char)*at;

		if (*at == '%' && sscanf(at + 1, "%2x", &byte) == 1)
			at += 2;
		if (fill + 1 < size)
			text[fill++] = (char)byte;
	}
	text[fill] = '\0';
}

static void *serve_store(void *data)
{
	int fd = (int)(intptr_t)data;
	char head[HEAD_MAX_BYTES];
	char line[256];

	while (read_head(fd, head, sizeof(head))) {
		bool is_watch = strstr(head, "/v1/kv-watch") != NULL;
		uint64_t after = query_number(head, "&after=");
		uint64_t wait = query_number(head, "wait_timeout_ms=");
		char prefix[256];
		char after_key[256];
		struct timespec until;

		query_text(head, "prefix=", prefix, sizeof(prefix));
		query_text(head, "&after=", after_key, sizeof(after_key));
		site.store_reads++;
		if (!is_watch && site.range_reads++ < RANGES_RECORDED)
			record("store: asked for the page after \"%s\", a key "
			       "of %zu bytes",
			       after_key, strlen(after_key));
		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_sec += (time_t)(wait / 1000);
		pthread_mutex_lock(&site.lock);
		while (is_watch && site.revision <= after &&
		       pthread_cond_timedwait(&site.changed, &site.lock,
					      &until) == 0)
			;
		char *body = store_answer(is_watch, after, prefix, after_key);

		pthread_mutex_unlock(&site.lock);
		int length = snprintf(line, sizeof(line),
				      "HTTP/1.1 200 OK\r\n"
				      "Content-Type: application/json\r\n"
				      "Content-Length: %zu\r\n\r\n",
				      strlen(body));
		bool ok = send_all(fd, line, (size_t)length) &&
			  send_all(fd, body, strlen(body));

		free(body);
		if (!ok)
			break;
	}
	close(fd);
	return NULL;
}

static void *accept_store(void *data)
{
	int listener = (int)(intptr_t)data;

	for (;;) {
		int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);

		if (fd >= 0)
			pthread_detach(
				run_thread(serve_store, (void *)(intptr_t)fd));
	}
	return NULL;
}

/* Upstreams. */

typedef struct upstream_connection {
	vm_t *vm;
	int fd;
} upstream_connection_t;

void sound_signature(const char *id, char *text, size_t size)
{
	uint32_t sum = 2166136261U;

	for (const char *at = id; *at; at++)
		sum = (sum ^ (uint8_t)*at) * 16777619U;
	snprintf(text, size, "%08x.%s", sum, id);
}

char sound_byte(const char *id, size_t at)
{
	return id[at % strlen(id)];
}

bool send_sound_answer(const upstream_request_t *request, size_t body_bytes)
{
	char head[1024];
	char signature[512];
	char *body = malloc(body_bytes + 1);
	bool ok;

	sound_signature(request->attempt_id, signature, sizeof(signature));
	for (size_t i = 0; i < body_bytes; i++)
		body[i] = sound_byte(request->attempt_id, i);
	int length = snprintf(head, sizeof(head),
			      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
			      "Response-Signature: %s\r\n"
			      "Content-Length: %zu\r\n\r\n",
			      request->attempt_id, signature, body_bytes);

	ok = send_all(request->fd, head, (size_t)length) &&
	     send_all(request->fd, body, body_bytes);
	free(body);
	return ok;
}

static bool send_misdirected(const upstream_request_t *request)
{
	char text[512];
	int length =
		snprintf(text, sizeof(text),
			 "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s"
			 "\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n",
			 request->attempt_id, request->vm->upstream_id);

	return send_all(request->fd, text, (size_t)length);
}

/* Reads a body of a stated length; false if the connection ends first. */
static bool discard_body(int fd, size_t size_bytes)
{
	char scratch[16384];

	while (size_bytes > 0) {
		size_t part = size_bytes < sizeof(scratch) ? size_bytes
							   : sizeof(scratch);
		ssize_t got = recv(fd, scratch, part, 0);

		if (got <= 0)
			return false;
		size_bytes -= (size_t)got;
	}
	return true;
}

static bool parse_request(upstream_request_t *request)
{
	char number[32];

	if (sscanf(request->head, "%15s %511s", request->method,
		   request->path) != 2)
		return false;
	find_header(request->head, "Attempt-Id", request->attempt_id,
		    sizeof(request->attempt_id));
	find_header(request->head, "Target-Instance", request->target_instance,
		    sizeof(request->target_instance));
	find_header(request->head, "Caller-Service", request->caller_service,
		    sizeof(request->caller_service));
	request->deadline_ms = find_header(request->head, "Deadline-Ms", number,
					   sizeof(number))
				       ? atoll(number)
				       : -1;
	request->body_bytes = find_header(request->head, "Content-Length",
					  number, sizeof(number))
				      ? strtoul(number, NULL, 10)
				      : 0;
	return true;
}

/* Adds or removes a connection, for vm_exit_upstream(). */
static void replace_connection(vm_t *vm, int from, int to)
{
	pthread_mutex_lock(&site.lock);
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		if (vm->connections[i] != from)
			continue;
		vm->connections[i] = to;
		break;
	}
	pthread_mutex_unlock(&site.lock);
}

void vm_exit_upstream(vm_t *vm)
{
	int listener = vm->listener;

	vm->listener = -1;
	shutdown(listener, SHUT_RDWR);
	close(listener);
	pthread_mutex_lock(&site.lock);
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		if (vm->connections[i] > 0)
			shutdown(vm->connections[i], SHUT_RDWR);
	}
	pthread_mutex_unlock(&site.lock);
	record("upstream %d: exits", vm->number);
}

static void *serve_upstream(void *data)
{
	upstream_connection_t *connection = data;
	upstream_request_t *request = calloc(1, sizeof(*request));
	bool is_open = true;

	while (is_open) {
		memset(request, 0, sizeof(*request));
		request->vm = connection->vm;
		request->fd = connection->fd;
		if (!read_head(connection->fd, request->head,
			       sizeof(request->head)) ||
		    !parse_request(request))
			break;
		if (request->target_instance[0] &&
		    strcmp(request->target_instance,
			   connection->vm->upstream_id) != 0) {
			is_open = discard_body(connection->fd,
					       request->body_bytes) &&
				  send_misdirected(request);
			continue;
		}
		if (!connection->vm->leaves_body &&
		    !discard_body(connection->fd, request->body_bytes))
			break;
		is_open = connection->vm->handler(request);
	}
	replace_connection(connection->vm, connection->fd, 0);
	close(connection->fd);
	free(request);
	free(connection);
	return NULL;
}

static void *accept_upstream(void *data)
{
	vm_t *vm = data;

	while (vm->listener >= 0) {
		int fd = accept4(vm->listener, NULL, NULL, SOCK_CLOEXEC);
		int on = 1;

		if (fd < 0)
			continue;
		upstream_connection_t *connection =
			calloc(1, sizeof(*connection));

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		connection->vm = vm;
		connection->fd = fd;
		replace_connection(vm, 0, fd);
		pthread_detach(run_thread(serve_upstream, connection));
	}
	return NULL;
}

/* The site. */

/* True if a TCP and a UDP socket can be bound. */
static bool is_free(const char *ip, uint16_t port)
{
	struct sockaddr_in address = socket_address(ip, port);
	int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	bool ok = bind(udp, (struct sockaddr *)&address, sizeof(address)) == 0;
	int tcp = try_listen(ip, port);

	close(udp);
	if (tcp >= 0)
		close(tcp);
	return ok && tcp >= 0;
}

/* Draws addresses and ports that are free on all VMs. */
static void draw_addresses(void)
{
	unsigned int seed = (unsigned int)(getpid() ^ time(NULL));
	uint16_t *ports[] = {&site.store_port, &site.upstream_port,
			     &site.routed_port, &site.ready_port,
			     &site.frame_port};

	for (int tries = 0; tries < 100; tries++) {
		uint16_t port = (uint16_t)(20000 + rand_r(&seed) % 8000);
		bool ok = true;

		snprintf(site.base_ip, sizeof(site.base_ip), "127.%d.%d",
			 10 + rand_r(&seed) % 200, rand_r(&seed) % 250);
		for (size_t i = 0; i < sizeof(ports) / sizeof(*ports); i++)
			*ports[i] = port++;
		for (int vm = 1; ok && vm <= VMS_MAX; vm++) {
			char ip[64];

			snprintf(ip, sizeof(ip), "%s.%d", site.base_ip, vm);
			ok = is_free(ip, ADMIN_PORT);
			for (size_t i = 0;
			     ok && i < sizeof(ports) / sizeof(*ports); i++)
				ok = is_free(ip, *ports[i]);
		}
		if (ok)
			return;
	}
	fprintf(stderr, "no free ports were found\n");
	exit(EXIT_NOT_RUN);
}

void site_start(const char *folder)
{
	char path[512];
	char ip[64];
	const char *trouble = getenv("TROUBLE");
	const char *temporary = getenv("TMPDIR");

	signal(SIGPIPE, SIG_IGN);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	if (!record_file || access("target/dogwoodshiftd", X_OK) != 0) {
		fprintf(stderr, "run this in the repository, after its build; "
				"the folder has to be writable\n");
		exit(EXIT_NOT_RUN);
	}
	started_ms = now_ms();
	site.has_trouble = !trouble || strcmp(trouble, "0") != 0;
	site.revision = 100;
	pthread_cond_init(&site.changed, NULL);
	snprintf(site.dir, sizeof(site.dir), "%.90s/dws-review-XXXXXX",
		 temporary ? temporary : "/tmp");
	if (!mkdtemp(site.dir))
		exit(EXIT_NOT_RUN);
	draw_addresses();
	snprintf(ip, sizeof(ip), "%s.%d", site.base_ip, STORE_NUMBER);
	pthread_detach(run_thread(accept_store, (void *)(intptr_t)listen_on(
							ip, site.store_port)));
	record("start: trouble=%d", site.has_trouble);
}

void site_put_entry(const vm_t *vm, const char *state)
{
	char key[128];
	char value[1024];

	snprintf(key, sizeof(key), "servers/%s", vm->upstream_id);
	snprintf(value, sizeof(value),
		 "{\"addr\":\"%s:%u\",\"born\":%d,\"info\":{\"service\":\"%s\","
		 "\"version\":\"v1\",\"zone\":\"%s\",\"max_concurrency\":64},"
		 "\"status\":{\"state\":\"%s\",\"seq\":1,"
		 "\"cold_left\":\"0ms\"}}",
		 vm->ip, site.upstream_port, vm->number, vm->service, vm->zone,
		 state);
	store_put(key, value);
}

vm_t *site_add(const char *service, const char *zone,
	       upstream_handler_t handler)
{
	vm_t *vm = &site.vms[site.vm_count++];

	vm->number = site.vm_count;
	vm->handler = handler;
	snprintf(vm->ip, sizeof(vm->ip), "%s.%d", site.base_ip, vm->number);
	snprintf(vm->service, sizeof(vm->service), "%s", service);
	snprintf(vm->zone, sizeof(vm->zone), "%s", zone);
	snprintf(vm->upstream_id, sizeof(vm->upstream_id), "i-%04d",
		 vm->number);
	vm->listener = listen_on(vm->ip, site.upstream_port);
	pthread_detach(run_thread(accept_upstream, vm));
	site_put_entry(vm, "ready");
	return vm;
}

/* Replaces the placeholders of the settings template. */
static void render_settings(const vm_t *vm, const char *path)
{
	char addresses[5][80];
	char memory[16];
	const struct {
		const char *name;
		const char *value;
	} fields[] = {
		{"ip", vm->ip},
		{"zone", vm->zone},
		{"region", "palermo"},
		{"service", vm->service},
		{"app_addr", addresses[0]},
		{"listen.outbound", addresses[1]},
		{"listen.ready", addresses[2]},
		{"port_range.0", addresses[3]},
		{"infra.addr", addresses[4]},
		{"limits.memory_mb", memory},
		{"thresholds.retry_ratio", "0.2"},
		{"thresholds.retry_window", "10s"},
		{"thresholds.retry_slack", "50"},
		{"thresholds.grace_period", "6s"},
	};
	char line[512];
	FILE *from = fopen("deploy/settings.yaml", "r");
	FILE *to = fopen(path, "w");

	if (!from || !to)
		exit(EXIT_NOT_RUN);
	snprintf(addresses[0], 80, "%s:%u", vm->ip, site.upstream_port);
	snprintf(addresses[1], 80, "%s:%u", vm->ip, site.routed_port);
	snprintf(addresses[2], 80, "%s:%u", vm->ip, site.ready_port);
	snprintf(addresses[3], 80, "%u", site.frame_port);
	snprintf(addresses[4], 80, "%s.%d:%u", site.base_ip, STORE_NUMBER,
		 site.store_port);
	snprintf(memory, sizeof(memory), "%d", site.memory_mb);
	while (fgets(line, sizeof(line), from)) {
		const char *at = line;
		const char *open;

		while ((open = strstr(at, "{{"))) {
			const char *close_mark = strstr(open, "}}");
			size_t length = (size_t)(close_mark - open - 2);

			fwrite(at, 1, (size_t)(open - at), to);
			for (size_t i = 0; i < sizeof(fields) / sizeof(*fields);
			     i++) {
				if (strlen(fields[i].name) == length &&
				    strncmp(fields[i].name, open + 2, length) ==
					    0)
					fputs(fields[i].value, to);
			}
			at = close_mark + 2;
		}
		fputs(at, to);
	}
	fclose(from);
	fclose(to);
}

void vm_start_daemon(vm_t *vm)
{
	char settings[256];
	char log[256];

	snprintf(settings, sizeof(settings), "%s/vm-%d", site.dir, vm->number);
	snprintf(log, sizeof(log), "%s/vm-%d.log", site.dir, vm->number);
	render_settings(vm, settings);
	vm->pid = fork();
	if (vm->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		setenv("DOGWOODSHIFT_BOOT", settings, 1);
		execl("target/dogwoodshiftd", "target/dogwoodshiftd",
		      "--settings", settings, (char *)NULL);
		_exit(127);
	}
	record("daemon %d: started", vm->number);
}

void vm_signal(const vm_t *vm, int signal_number)
{
	if (vm->pid > 0)
		kill(vm->pid, signal_number);
	record("daemon %d: signal %d", vm->number, signal_number);
}

void vm_kill(vm_t *vm)
{
	if (vm->pid <= 0)
		return;
	kill(vm->pid, SIGKILL);
	waitpid(vm->pid, NULL, 0);
	vm->pid = 0;
	record("daemon %d: killed", vm->number);
}

bool vm_has_ended(vm_t *vm, int *status)
{
	if (vm->pid <= 0 || waitpid(vm->pid, status, WNOHANG) != vm->pid)
		return false;
	vm->pid = 0;
	record("daemon %d: ended, status %d signal %d", vm->number,
	       WEXITSTATUS(*status),
	       WIFSIGNALED(*status) ? WTERMSIG(*status) : 0);
	return true;
}

size_t vm_memory_kib(const vm_t *vm, const char *field)
{
	char path[64];
	char line[256];
	size_t kib = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", vm->pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file)) {
		if (strncmp(line, field, strlen(field)) == 0)
			kib = strtoul(line + strlen(field) + 1, NULL, 10);
	}
	if (file)
		fclose(file);
	return kib;
}

/* Removes the temporary folder, or keeps it if KEEP is set. */
static void remove_folder(void)
{
	DIR *dir = opendir(site.dir);
	const struct dirent *entry;
	char path[512];

	if (getenv("KEEP") || !dir) {
		fprintf(stderr, "kept %s\n", site.dir);
		return;
	}
	while ((entry = readdir(dir))) {
		snprintf(path, sizeof(path), "%s/%s", site.dir, entry->d_name);
		unlink(path);
	}
	closedir(dir);
	rmdir(site.dir);
}

void site_exit(int status)
{
	site.is_stopping = true;
	for (int i = 0; i < site.vm_count; i++) {
		if (site.vms[i].pid > 0) {
			kill(site.vms[i].pid, SIGCONT);
			vm_kill(&site.vms[i]);
		}
	}
	remove_folder();
	record("result: %s", status == EXIT_HELD     ? "the rule held"
			     : status == EXIT_BROKEN ? "the rule was broken"
						     : "the case did not run");
	fflush(stdout);
	_exit(status);
}

/* Callers. */

/* Receives within a time; -1 after it. */
static ssize_t receive(int fd, char *data, size_t size, int64_t until_ms)
{
	struct pollfd wait = {.fd = fd, .events = POLLIN};
	int64_t left_ms = until_ms - now_ms();

	if (left_ms <= 0 || poll(&wait, 1, (int)left_ms) <= 0)
		return -1;
	return recv(fd, data, size, 0);
}

/* Reads the body of an answer with a stated length. */
static void read_body(int fd, answer_t *answer, size_t length, int64_t until_ms)
{
	char scratch[65536];

	while (answer->body_bytes < length) {
		size_t part = length - answer->body_bytes;
		ssize_t got =
			receive(fd, scratch,
				part < sizeof(scratch) ? part : sizeof(scratch),
				until_ms);

		if (got <= 0)
			return;
		for (ssize_t i = 0; i < got; i++) {
			if (answer->body_bytes + 1 < sizeof(answer->body))
				answer->body[answer->body_bytes] = scratch[i];
			answer->body_bytes++;
		}
	}
	answer->is_whole = true;
}

void read_answer(int fd, answer_t *answer, int64_t timeout_ms)
{
	int64_t until_ms = now_ms() + timeout_ms;
	size_t fill = 0;
	char value[128];

	memset(answer, 0, sizeof(*answer));
	answer->retry_after_s = -1;
	answer->closes = true;
	while (fill + 1 < sizeof(answer->head)) {
		if (receive(fd, answer->head + fill, 1, until_ms) != 1)
			return;
		answer->head[++fill] = '\0';
		if (fill >= 4 &&
		    memcmp(answer->head + fill - 4, "\r\n\r\n", 4) == 0)
			break;
	}
	if (sscanf(answer->head, "HTTP/1.1 %d", &answer->status) != 1)
		return;
	answer->has_signature =
		find_header(answer->head, "Response-Signature",
			    answer->signature, sizeof(answer->signature));
	find_header(answer->head, "Attempt-Id", answer->attempt_id,
		    sizeof(answer->attempt_id));
	if (find_header(answer->head, "Retry-After", value, sizeof(value)))
		answer->retry_after_s = atof(value);
	if (find_header(answer->head, "Content-Length", value, sizeof(value)))
		read_body(fd, answer, strtoul(value, NULL, 10), until_ms);
	answer->closes =
		!answer->is_whole || (find_header(answer->head, "Connection",
						  value, sizeof(value)) &&
				      strcasecmp(value, "close") == 0);
}

bool send_request(int fd, const char *method, const char *path, const char *id,
		  int64_t deadline_ms, const char *extra, const char *body,
		  size_t body_bytes)
{
	char head[2048];
	int length = snprintf(head, sizeof(head),
			      "%s %s HTTP/1.1\r\nHost: shop.example\r\n"
			      "Attempt-Id: %s\r\nDeadline-Ms: %lld\r\n%s",
			      method, path, id, (long long)deadline_ms, extra);

	if (body_bytes > 0)
		length += snprintf(head + length, sizeof(head) - (size_t)length,
				   "Content-Length: %zu\r\n", body_bytes);
	length +=
		snprintf(head + length, sizeof(head) - (size_t)length, "\r\n");
	return send_all(fd, head, (size_t)length) &&
	       (body_bytes == 0 || send_all(fd, body, body_bytes));
}

bool vm_is_ready(const vm_t *vm)
{
	static const char question[] = "GET /v1/readyz HTTP/1.1\r\n"
				       "Host: ready\r\n\r\n";
	answer_t *answer = calloc(1, sizeof(*answer));
	int fd = connect_to(vm->ip, site.ready_port, 0);
	bool is_ready = false;

	if (fd >= 0 && send_all(fd, question, sizeof(question) - 1)) {
		read_answer(fd, answer, 1000);
		is_ready = answer->status == 200;
	}
	if (fd >= 0)
		close(fd);
	free(answer);
	return is_ready;
}

bool site_await_ready(int64_t timeout_ms)
{
	int64_t until_ms = now_ms() + timeout_ms;

	for (int i = 0; i < site.vm_count; i++) {
		while (!vm_is_ready(&site.vms[i])) {
			if (now_ms() > until_ms)
				return false;
			sleep_ms(100);
		}
	}
	/* The daemons find each other by the list of the store. */
	sleep_ms(2500);
	record("all daemons are ready");
	return true;
}
