/*
 * Tests of the operators' tool as a program: exit codes and output, with local
 * files and with a fake admin listener.
 */
#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <unistd.h>
#include "version/document.h"

#define TRACE_ID "4bf92f3577b34da6a3ce929d0e0e4736"
#define SPAN_EVENT "ts=1 level=info event=span trace=" TRACE_ID " "
#define CALL_RECORD "2027-03-01T02:00:00Z/2027-03-01T03:00:00Z/k"
#define VERSION_FIELDS "{\"sequence\":12,\"version\":10,"

static char *tool; /* path of the program */
static char *admin; /* "IP:PORT" of the fake listener */
static char *closed_address; /* "IP:PORT" without a listener */
static int listener;

static const char *const files[][2] = {
	{"good", "services: {s: {}}\nkinds: {k: {service: s, priority: 1, "
		 "idempotent: true}}\nslowdowns: {x: {start: "
		 "2027-03-01T02:00:00Z, end: 2027-03-01T03:00:00Z, "
		 "added_delay_ms: 5, kinds: [k], customers: [a, b], "
		 "called: {b: " CALL_RECORD "}}}\n"},
	{"bad", "kinds: {}\n"},
	{"patch", "services: {t: {slots: 3}}\n"},
	{"moved", "slowdowns: {x: {end: 2027-03-01T04:00:00Z}}\n"},
	{"log1",
	 SPAN_EVENT "span=a parent=\"\" name=entry vm=v duration_us=1500\n"
		    "ts=1 event=other trace=" TRACE_ID "\n"},
	{"log2",
	 SPAN_EVENT "span=c parent=b name=nested duration_us=9\n" SPAN_EVENT
		    "span=b parent=a name=execute duration_us=1000\n"},
	{"log3", SPAN_EVENT
	 "name=entry id=id-1 outcome=not-run reason=deadline\n" SPAN_EVENT
	 "name=entry id=id-2 outcome=unknown reason=deadline\n" SPAN_EVENT
	 "name=entry id=id-3 outcome=unknown reason=overload\n" SPAN_EVENT
	 "name=entry id=id-4 outcome=complete reason=none\n"},
};

static const char *const responses[][2] = {
	{"GET /status ",
	 VERSION_FIELDS "\"vm_id\":\"vm-1\",\"draining\":false}"},
	{"GET /config ",
	 VERSION_FIELDS "\"document\":\"services:\\n  s: {}\\nkinds:\\n "
			" k: {service: s, priority: 1, idempotent: "
			"true}\\n\"}"},
	{"GET /verdicts ",
	 VERSION_FIELDS "\"verdicts\":[{\"sequence\":11,"
			"\"accepted\":false,\"reason\":\"a \\\"b\"},"
			"{\"sequence\":9,\"accepted\":true}]}"},
	{"GET /counters ", "calls 3\nretries 4\n"},
	{"POST /drain ", "{}"},
};

/* Serves requests one at a time until the listener is shut down. */
static void *serve_requests(void *data)
{
	char request[4096];
	int connection;

	while ((connection = accept(listener, NULL, NULL)) >= 0) {
		ssize_t size = read(connection, request, sizeof(request) - 1);
		const char *body = NULL;

		request[MAX(size, 0)] = '\0';
		for (size_t i = 0; i < G_N_ELEMENTS(responses); i++) {
			if (g_str_has_prefix(request, responses[i][0]))
				body = responses[i][1];
		}
		dprintf(connection,
			"HTTP/1.1 %d x\r\nContent-Length: %zu\r\n"
			"Connection: close\r\n\r\n%s",
			body ? 200 : 404, body ? strlen(body) : 0,
			body ? body : "");
		close(connection);
	}
	return NULL;
}

/*
 * Runs the tool with arguments separated by spaces, in which "@" stands for the
 * address of the fake listener. Returns the exit code, -1 if it did not exit.
 */
static int run_tool(const char *arguments, char **output)
{
	char *template = g_strdup_printf("%s %s", tool, arguments);
	char **parts = g_strsplit(template, "@", -1);
	char *command = g_strjoinv(admin, parts);
	char **words = g_strsplit(command, " ", -1);
	int status = -1;

	CU_ASSERT_TRUE(g_spawn_sync(NULL, words, NULL, G_SPAWN_DEFAULT, NULL,
				    NULL, output, NULL, &status, NULL));
	g_strfreev(words);
	g_free(command);
	g_strfreev(parts);
	g_free(template);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static void test_unreachable_daemon(void)
{
	char *arguments = g_strdup_printf("patch status 9 --admin @ --admin %s",
					  closed_address);
	char *output = NULL;

	CU_ASSERT_EQUAL(run_tool(arguments, &output), 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(output, "read by 1 of 2 daemons"));
	g_free(output);
	g_free(arguments);
}

static void test_commands(void)
{
	static const struct {
		const char *arguments;
		int code;
		const char *output; /* must be contained in it */
	} cases[] = {
		{"config check good", 0, "1 services, 1 kinds, 1 slowdowns"},
		{"config check good --json", 0, "{\"valid\":true,"},
		{"config check bad", 1, ""},
		{"config check none", 2, ""},
		{"slowdown list good", 1,
		 "  record of a call: " CALL_RECORD "\n"
		 "  to be called: a\n"},
		{"slowdown list --json good", 1, "\"uncalled\":[\"a\"]}"},
		{"patch make patch --base good --base-version 7", 0,
		 "base_version: 7\npatch:\n  services:\n    t:\n"
		 "      slots: 3\n"},
		{"patch make patch --base good", 2, ""},
		{"patch check moved --base good", 1, ""},
		{"trace " TRACE_ID " log1 log2", 0,
		 "entry  vm=v  status= 1.500 ms (queued 0.000 ms)\n"
		 "  execute  vm=  status= 1.000 ms (queued 0.000 ms)\n"
		 "    nested  vm="},
		{"trace 4BF92F3577B34DA6A3CE929D0E0E4736 log1 log2", 0,
		 "entry  vm=v  status= 1.500 ms"},
		{"why id-1 log3", 0,
		 "cause: it did not run: its deadline passed"},
		{"why id-2 log3", 0, "cause: it may have run: its deadline"},
		{"why id-3 log3", 0, "cause: it may have run: no upstream"},
		{"why id-4 log3", 0, "cause: the upstream responded"},
		{"trace abc log1", 1, ""},
		{"trace " TRACE_ID " none", 2, ""},
		{"", 2, ""},
		{"patch", 2, ""},
		{"--help", 0, "slowdown list"},
		{"patch make --help", 0, "prints the log entry"},
		{"status --wrong", 2, ""},
		{"status --admin localhost:1", 2, ""},
		{"status --admin @", 0, "vm-1"},
		{"status --json --admin @", 0, "\"draining\":false}}"},
		{"config show --admin @", 0, "# version 10, sequence 12"},
		{"slowdown list --admin @", 0, ""},
		{"patch make patch --admin @", 0, "base_version: 10\n"},
		{"patch make patch --admin @ --base-version 9", 1, ""},
		{"patch status 9 --admin @", 0, ": accepted\n"},
		{"patch status 10 --admin @", 0, ": accepted\n"},
		{"patch status 11 --admin @", 1, ": rejected: a \"b\n"},
		{"patch status 8 --admin @", 1, ": forgotten\n"},
		{"patch status 13 --admin @", 1, "read by 0 of 1 daemons"},
		{"counters --json --admin @", 0, "{\"calls\":3,\"retries\":4}"},
		{"drain --admin @", 0, ": draining\n"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *output = NULL;
		int code = run_tool(cases[i].arguments, &output);
		bool passed = code == cases[i].code && output &&
			      strstr(output, cases[i].output);

		if (!passed)
			fprintf(stderr,
				"\"%s\" exited with %d and printed: %s\n",
				cases[i].arguments, code, output);
		CU_ASSERT_TRUE(passed);
		g_free(output);
	}
}

/*
 * Binds a socket to a free loopback port. Sets its "IP:PORT", which is freed
 * with g_free(), and returns the socket.
 */
static int bind_free_port(char **text)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);
	int bound = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(bound, (struct sockaddr *)&address, size) != 0 ||
	    getsockname(bound, (struct sockaddr *)&address, &size) != 0)
		exit(1);
	*text = g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port));
	return bound;
}

int main(int argc, char **argv)
{
	char *program = g_canonicalize_filename(argv[0], NULL);
	char *directory = g_path_get_dirname(program);
	char *scratch = g_dir_make_tmp("dws-tool-XXXXXX", NULL);

	tool = g_build_filename(directory, "..", "dogwoodshift", NULL);
	if (!scratch || g_chdir(scratch) != 0)
		return 1;
	for (size_t i = 0; i < G_N_ELEMENTS(files); i++)
		g_file_set_contents(files[i][0], files[i][1], -1, NULL);
	int closed_socket = bind_free_port(&closed_address);

	listener = bind_free_port(&admin);
	if (listen(listener, 8) != 0)
		return 1;
	GThread *server = g_thread_new("fake", serve_requests, NULL);

	CU_initialize_registry();
	CU_pSuite suite = CU_add_suite("tool", NULL, NULL);

	CU_add_test(suite, "commands", test_commands);
	CU_add_test(suite, "unreachable", test_unreachable_daemon);
	CU_basic_run_tests();
	unsigned int failures = CU_get_number_of_failures();

	CU_cleanup_registry();
	shutdown(listener, SHUT_RDWR);
	g_thread_join(server);
	close(listener);
	close(closed_socket);
	for (size_t i = 0; i < G_N_ELEMENTS(files); i++)
		g_unlink(files[i][0]);
	g_rmdir(scratch);
	g_free(scratch);
	g_free(directory);
	g_free(program);
	g_free(admin);
	g_free(closed_address);
	g_free(tool);
	return failures ? 1 : 0;
}
