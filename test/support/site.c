/*
 * Starts, controls and stops the processes of a site.
 */
#include "support/site.h"

#include <CUnit/Basic.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support/ports.h"

#define WAIT_TIMEOUT_US (60LL * G_USEC_PER_SEC)
#define POLL_INTERVAL_US 20000
#define CALL_TIMEOUT_MS 120000

/* Has the kernel kill the process when the test program ends or crashes. */
static void set_parent_death_signal(gpointer unused)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/*
 * Starts a program of the build directory. If it prints a ready line, waits for
 * the line and reads the ports from it.
 */
static void start_process(site_process_t *process, GPtrArray *arguments,
			  bool reads_ready_line)
{
	const char *build = g_getenv("DWS_BUILD_DIR");
	char line[256] = "";
	char *program = g_strdup_printf("%s/%s", build ? build : "build",
					(char *)arguments->pdata[0]);
	GError *error = NULL;
	int stdout_fd = -1;

	g_free(arguments->pdata[0]);
	arguments->pdata[0] = program;
	g_ptr_array_add(arguments, NULL);
	if (!g_spawn_async_with_pipes(
		    NULL, (char **)arguments->pdata, NULL,
		    G_SPAWN_DO_NOT_REAP_CHILD, set_parent_death_signal, NULL,
		    &process->pid, NULL, reads_ready_line ? &stdout_fd : NULL,
		    NULL, &error)) {
		fprintf(stderr,
			"cannot start the program: %s; build it first\n",
			error->message);
		exit(1);
	}
	g_ptr_array_free(arguments, TRUE);
	if (!reads_ready_line)
		return;
	FILE *file = fdopen(stdout_fd, "r");
	char *at = fgets(line, sizeof(line), file) ? strchr(line, '=') : NULL;

	for (int i = 0; at && i < (int)G_N_ELEMENTS(process->ports); i++) {
		process->ports[i] = (uint16_t)strtoul(at + 1, &at, 10);
		at = *at == ',' ? at : NULL;
	}
	fclose(file);
}

/*
 * Builds an argument vector from the program name and the options, which are
 * separated by '|'. The array owns the strings.
 */
static GPtrArray *arguments_new(const char *program, const char *options)
{
	GPtrArray *arguments = g_ptr_array_new_with_free_func(g_free);
	char **parts = g_strsplit(options ? options : "", "|", -1);

	g_ptr_array_add(arguments, g_strdup(program));
	for (char **part = parts; *part; part++)
		if (**part)
			g_ptr_array_add(arguments, g_strdup(*part));
	g_strfreev(parts);
	return arguments;
}

/* Kills a process with SIGKILL and reaps it. */
void site_process_kill(site_process_t *process)
{
	if (process->pid <= 0)
		return;
	kill(process->pid, SIGKILL);
	waitpid(process->pid, NULL, 0);
	process->pid = 0;
}

void site_process_pause(site_process_t *process)
{
	kill(process->pid, SIGSTOP);
}

void site_process_resume(site_process_t *process)
{
	kill(process->pid, SIGCONT);
}

/* Waits until a process that was asked to exit has exited. */
int site_process_wait(site_process_t *process)
{
	int status = -1;
	int64_t deadline = 0;

	while (waitpid(process->pid, &status, WNOHANG) == 0) {
		if (!site_poll(&deadline))
			return -1;
	}
	process->pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Sends SIGTERM to a process and waits until it has exited. */
int site_process_terminate(site_process_t *process)
{
	kill(process->pid, SIGTERM);
	return site_process_wait(process);
}

/* Sleeps for one poll interval; returns false once the deadline has passed. */
bool site_poll(int64_t *deadline_us)
{
	int64_t now_us = g_get_monotonic_time();

	if (*deadline_us == 0)
		*deadline_us = now_us + WAIT_TIMEOUT_US;
	g_usleep(POLL_INTERVAL_US);
	return now_us < *deadline_us;
}

/* Starts the simulated platform, on its previous port if it had one. */
void site_restart_platform(site_t *site)
{
	GPtrArray *arguments = arguments_new("test/standin_platform", NULL);

	site_process_kill(&site->platform);
	g_ptr_array_add(arguments,
			g_strdup_printf("--document=%s", site->document));
	g_ptr_array_add(arguments, g_strdup_printf("--listen=%u",
						   site->platform.ports[0]));
	start_process(&site->platform, arguments, true);
}

/* Creates a site and starts its platform only. */
site_t *site_new(const char *document)
{
	site_t *site = g_new0(site_t, 1);

	site->dir = g_dir_make_tmp("site-XXXXXX", NULL);
	site->document = g_strdup(document);
	site->vms = g_ptr_array_new();
	site_restart_platform(site);
	return site;
}

/* Sends a POST request on loopback, expects 200 and discards the body. */
static void post_request(uint16_t port, const char *path, const char *body)
{
	char *url = g_strdup_printf("http://127.0.0.2:%u%s", port, path);
	http_exchange_t exchange;

	http_init(&exchange, "POST", url, body, CALL_TIMEOUT_MS, NULL);
	http_run(&exchange);
	CU_ASSERT_EQUAL(exchange.status, 200);
	http_free(&exchange);
	g_free(url);
}

void site_post_platform(site_t *site, const char *item, const char *body)
{
	char *path = g_strdup_printf("/control/%s", item);

	post_request(site->platform.ports[0], path, body);
	g_free(path);
}

void site_control_upstream(site_vm_t *vm, const char *query)
{
	char *path = g_strdup_printf("/control?%s", query);

	post_request(vm->upstream.ports[0], path, "");
	g_free(path);
}

/* Starts a VM's upstream, on its previous port if it had one. */
void site_start_upstream(site_vm_t *vm, const char *options)
{
	GPtrArray *arguments = arguments_new("test/standin_upstream", options);

	g_ptr_array_add(arguments, g_strdup_printf("--record=%s", vm->record));
	g_ptr_array_add(arguments,
			g_strdup_printf("--listen=%u,daemon=127.0.0.2:%u,"
					"service_ms=5",
					vm->upstream.ports[0], vm->nested));
	start_process(&vm->upstream, arguments, true);
}

site_vm_t *site_add(site_t *site, const char *id, const char *zone,
		    const char *service, const char *upstream,
		    const char *settings)
{
	site_vm_t *vm = g_new0(site_vm_t, 1);

	vm->site = site;
	vm->id = g_strdup(id);
	vm->zone = g_strdup(zone);
	vm->service = g_strdup(service);
	vm->settings = g_strdup(settings);
	vm->record = g_strdup_printf("%s/%s.record", site->dir, id);
	vm->log = g_strdup_printf("%s/%s.log", site->dir, id);
	vm->callers = port_reserve(SOCK_STREAM, &vm->reserved_sockets[0]);
	vm->nested = port_reserve(SOCK_STREAM, &vm->reserved_sockets[1]);
	vm->admin = port_reserve(SOCK_STREAM, &vm->reserved_sockets[2]);
	vm->frame = port_reserve(SOCK_STREAM, &vm->reserved_sockets[3]);
	vm->datagram = port_reserve(SOCK_DGRAM, &vm->reserved_sockets[4]);
	site_start_upstream(vm, upstream);
	g_ptr_array_add(site->vms, vm);
	return vm;
}

/* Formats the seeds setting of a VM, which lists all other VMs. */
static char *format_seeds(const site_vm_t *vm)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < vm->site->vms->len; i++) {
		const site_vm_t *other = g_ptr_array_index(vm->site->vms, i);

		if (other != vm)
			g_string_append_printf(text,
					       "  - {frame: 127.0.0.2:%u, "
					       "datagram: 127.0.0.2:%u}\n",
					       other->frame, other->datagram);
	}
	if (text->len > 0)
		g_string_prepend(text, "seeds:\n");
	return g_string_free(text, FALSE);
}

/* Writes the settings file of a VM and returns its name. */
static char *write_settings(const site_vm_t *vm)
{
	char *file = g_strdup_printf("%s/%s.yaml", vm->site->dir, vm->id);
	char *seeds = format_seeds(vm);
	char *text = g_strdup_printf(
		"vm_id: %s\nzone: %s\nregion: palermo\nservice: %s\n"
		"callers_listen: 127.0.0.2:%u\nupstream_listen: 127.0.0.2:%u\n"
		"admin_listen: 127.0.0.2:%u\nframe_listen: 127.0.0.2:%u\n"
		"datagram_listen: 127.0.0.2:%u\nupstream: 127.0.0.2:%u\n"
		"platform: 127.0.0.2:%u\nlog_file: %s\n%s%s",
		vm->id, vm->zone, vm->service, vm->callers, vm->nested,
		vm->admin, vm->frame, vm->datagram, vm->upstream.ports[0],
		vm->site->platform.ports[0], vm->log, seeds, vm->settings);

	CU_ASSERT(g_file_set_contents(file, text, -1, NULL));
	g_free(seeds);
	g_free(text);
	return file;
}

/* Starts a daemon without waiting until it serves. */
void site_spawn_daemon(site_vm_t *vm)
{
	GPtrArray *arguments = arguments_new("dogwoodshiftd", "--settings");

	g_ptr_array_add(arguments, write_settings(vm));
	for (int i = 0; i < SITE_LISTENERS; i++) {
		if (vm->reserved_sockets[i] >= 0)
			close(vm->reserved_sockets[i]);
		vm->reserved_sockets[i] = -1;
	}
	start_process(&vm->daemon, arguments, false);
}

/* Starts a daemon and waits until it serves. */
bool site_start_daemon(site_vm_t *vm)
{
	site_spawn_daemon(vm);
	return site_wait_ready(vm);
}

/* Publishes the VM list, starts the daemons and waits until all serve. */
bool site_start(site_t *site)
{
	GString *list = g_string_new("vms:\n");
	bool ready = true;

	for (guint i = 0; i < site->vms->len; i++) {
		const site_vm_t *vm = g_ptr_array_index(site->vms, i);

		g_string_append_printf(
			list,
			"  - {id: %s, ip: 127.0.0.2, frame_port: %u, "
			"datagram_port: %u, zone: %s, region: palermo, "
			"service: %s, state: live}\n",
			vm->id, vm->frame, vm->datagram, vm->zone, vm->service);
	}
	site_post_platform(site, "vms", list->str);
	g_string_free(list, TRUE);
	for (guint i = 0; i < site->vms->len; i++)
		ready &= site_start_daemon(g_ptr_array_index(site->vms, i));
	for (guint i = 0; i < site->vms->len; i++)
		ready &= site_wait_ready(g_ptr_array_index(site->vms, i));
	return ready;
}

/*
 * True if a daemon serves and counts at least as many alive members as there
 * are running daemons.
 */
static bool is_ready(const site_vm_t *vm)
{
	char *status = site_get_admin_page(vm, "status");
	bool is_open = strstr(status, "\"open\":true") != NULL;
	int running = 0;

	for (guint i = 0; i < vm->site->vms->len; i++) {
		const site_vm_t *other = g_ptr_array_index(vm->site->vms, i);

		running += other->daemon.pid > 0;
	}
	g_free(status);
	return is_open &&
	       site_get_number(vm, "status", "members_alive") >= running;
}

/* Waits until a daemon serves and sees all running daemons as alive. */
bool site_wait_ready(site_vm_t *vm)
{
	int64_t deadline = 0;

	while (!is_ready(vm)) {
		if (!site_poll(&deadline)) {
			fprintf(stderr,
				"daemon of %s not ready within 60 s; see its "
				"log\n",
				vm->id);
			return false;
		}
	}
	return true;
}

/* Reads a page of the admin listener; returns "" on failure. */
char *site_get_admin_page(const site_vm_t *vm, const char *page)
{
	char *url = g_strdup_printf("http://127.0.0.2:%u/%s", vm->admin, page);
	http_exchange_t exchange;

	http_init(&exchange, "GET", url, NULL, CALL_TIMEOUT_MS, NULL);
	http_run(&exchange);
	char *text = g_strdup(exchange.status == 200 ? exchange.body->str : "");

	http_free(&exchange);
	g_free(url);
	return text;
}

/* Finds the number after a name, in JSON or in a counter line. */
int64_t site_get_number(const site_vm_t *vm, const char *page, const char *name)
{
	char *text = site_get_admin_page(vm, page);
	size_t length = strlen(name);
	int64_t value = -1;

	for (char *at = strstr(text, name); at && value < 0;
	     at = strstr(at + 1, name)) {
		const char *digits = at + length + strspn(at + length, "\": ");

		if (digits > at + length && g_ascii_isdigit(*digits))
			value = g_ascii_strtoll(digits, NULL, 10);
	}
	g_free(text);
	return value;
}

/* Initializes a customer's request; ticket may be NULL. */
static void init_customer_request(http_exchange_t *exchange,
				  const site_vm_t *vm, const char *method,
				  const char *target, const char *customer,
				  const char *ticket)
{
	char *url =
		g_strdup_printf("http://127.0.0.2:%u%s", vm->callers, target);
	char *customer_header =
		g_strdup_printf("Dogwoodshift-Customer: %s", customer);
	char *ticket_header = g_strdup_printf("Dogwoodshift-Ticket: %s",
					      ticket ? ticket : "");
	const char *const headers[] = {customer_header,
				       ticket ? ticket_header : NULL, NULL};

	http_init(exchange, method, url, "order", CALL_TIMEOUT_MS, headers);
	g_free(url);
	g_free(customer_header);
	g_free(ticket_header);
}

/* Sends a request and waits for the answer. */
void site_call(http_exchange_t *answer, const site_vm_t *vm, const char *method,
	       const char *target, const char *customer, const char *ticket)
{
	init_customer_request(answer, vm, method, target, customer, ticket);
	http_run(answer);
}

struct site_pending_request {
	GThread *thread;
	http_exchange_t *exchange;
};

static gpointer run_exchange(gpointer exchange)
{
	http_run(exchange);
	return NULL;
}

/* Sends a request on a new thread. */
site_pending_request_t *site_call_async(const site_vm_t *vm, const char *method,
					const char *target,
					const char *customer,
					const char *ticket)
{
	site_pending_request_t *task = g_new0(site_pending_request_t, 1);

	task->exchange = g_new0(http_exchange_t, 1);
	init_customer_request(task->exchange, vm, method, target, customer,
			      ticket);
	task->thread = g_thread_new("call", run_exchange, task->exchange);
	return task;
}

/* Waits for the answer of a background request and frees the task. */
void site_await_answer(site_pending_request_t *task, http_exchange_t *answer)
{
	g_thread_join(task->thread);
	*answer = *task->exchange;
	g_free(task->exchange);
	g_free(task);
}

/* Obtains a ticket from the 428 answer to a request without one. */
char *site_get_ticket(const site_vm_t *vm, const char *target)
{
	http_exchange_t answer;

	site_call(&answer, vm, "POST", target, "hotel-etna", NULL);
	CU_ASSERT_EQUAL(answer.status, 428);
	char *ticket =
		g_strdup(http_header(&answer, "dogwoodshift-next-ticket"));

	CU_ASSERT(*ticket != '\0');
	http_free(&answer);
	return ticket;
}

bool site_has_outcome(const http_exchange_t *answer, const char *outcome)
{
	return strcmp(http_header(answer, "dogwoodshift-outcome"), outcome) ==
	       0;
}

bool site_is_complete(const http_exchange_t *answer, const char *target)
{
	return answer->status == 200 && site_has_outcome(answer, "complete") &&
	       http_body_is_valid(answer->body->str, target);
}

/* Counts the matching lines in the upstreams' execution records. */
int site_count_events(const site_t *site, const char *event, const char *target)
{
	char *line_prefix = g_strdup_printf("%s ", event);
	char *target_field = g_strdup_printf(" %s ", target);
	int count = 0;

	for (guint i = 0; i < site->vms->len; i++) {
		const site_vm_t *vm = g_ptr_array_index(site->vms, i);
		char *text = NULL;

		if (!g_file_get_contents(vm->record, &text, NULL, NULL))
			continue;
		char **lines = g_strsplit(text, "\n", -1);

		for (char **line = lines; *line; line++)
			count += g_str_has_prefix(*line, line_prefix) &&
				 strstr(*line, target_field);
		g_strfreev(lines);
		g_free(text);
	}
	g_free(line_prefix);
	g_free(target_field);
	return count;
}

/*
 * Kills all processes and removes the files of the site, which are kept if a
 * test has failed.
 */
void site_free(site_t *site)
{
	for (guint i = 0; i < site->vms->len; i++) {
		site_vm_t *vm = g_ptr_array_index(site->vms, i);

		site_process_kill(&vm->daemon);
		site_process_kill(&vm->upstream);
	}
	site_process_kill(&site->platform);
	if (CU_get_number_of_failures() > 0) {
		fprintf(stderr, "tests failed; logs kept in %s\n", site->dir);
		return;
	}
	GDir *dir = g_dir_open(site->dir, 0, NULL);

	for (const char *name; (name = g_dir_read_name(dir));) {
		char *file = g_build_filename(site->dir, name, NULL);

		g_unlink(file);
		g_free(file);
	}
	g_dir_close(dir);
	g_rmdir(site->dir);
}

/* Runs the tests of one program in order. */
int site_main(const char *suite_name, const suite_test_t *tests)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return suite_main(suite_name, tests);
}
