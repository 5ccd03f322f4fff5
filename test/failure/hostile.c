/*
 * One daemon with hostile callers and peers: it refuses malformed input with
 * an error that names the remedy, its memory stays bounded under a flood of
 * requests, and a valid deposit still completes.
 */
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support/ports.h"
#include "support/site.h"

#define MEMORY_MAX_BYTES (64LL * 1024 * 1024)
#define MAX_BODY_BYTES 65536
#define RECEIVE_TIMEOUT_S 60
#define CONNECTION_COUNT 300
#define DATAGRAM_COUNT 300
#define FLOOD_REQUESTS 30000
/* One ticket in this many is used. */
#define TICKET_USE_INTERVAL 3
#define TICKET_EXPIRY_US 2500000
#define DAEMON_SETTINGS                                                        \
	"probe_interval_ms: 100\nmax_body_bytes: 65536\n"                      \
	"ticket_ttl_ms: 2000\nmax_ledger_entries: 1000\n"

static site_vm_t *start_site(void)
{
	site_t *site = site_new("examples/trinacria.yaml");
	site_vm_t *vm = site_add(site, "one", "a", "deposits", "--fixed",
				 DAEMON_SETTINGS);

	CU_ASSERT_FATAL(site_start(site));
	return vm;
}

/* Checks that a deposit completes, after retries, and stops the site. */
static void check_deposit_and_stop(site_vm_t *vm)
{
	static const char target[] = "/deposits/pay?order=proper";
	int64_t deadline = 0;
	bool complete = false;

	while (!complete && site_poll(&deadline)) {
		http_exchange_t unticketed, answer;

		site_call(&unticketed, vm, "POST", target, "hotel-etna", NULL);
		site_call(&answer, vm, "POST", target, "hotel-etna",
			  http_header(&unticketed, "dogwoodshift-next-ticket"));
		complete = site_is_complete(&answer, target);
		http_free(&unticketed);
		http_free(&answer);
	}
	CU_ASSERT(complete);
	site_free(vm->site);
}

/* Returns a socket that is connected to a port of the daemon. */
static int connect_to(int type, uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(port)};
	struct timeval timeout = {.tv_sec = RECEIVE_TIMEOUT_S};
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	address.sin_addr.s_addr = inet_addr(LISTEN_IP);
	CU_ASSERT_FATAL(
		connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0);
	return fd;
}

/* Sends bytes on a new peer stream; the daemon must close the connection. */
static void send_frames(const site_vm_t *vm, const char *data, size_t size)
{
	int fd = connect_to(SOCK_STREAM, vm->frame);
	char byte;

	CU_ASSERT(send(fd, data, size, MSG_NOSIGNAL) == (ssize_t)size);
	ssize_t received = recv(fd, &byte, 1, 0);

	CU_ASSERT(received == 0 || (received < 0 && errno == ECONNRESET));
	close(fd);
}

static void test_messages(void)
{
	site_vm_t *vm = start_site();
	GRand *random = g_rand_new_with_seed(1);
	int fd = connect_to(SOCK_DGRAM, vm->datagram);
	int64_t deadline = 0, bad_before;
	char random_bytes[1200];

	send_frames(vm, "GET / HTTP/1.1\r\n\r\n", 18);
	send_frames(vm, "\xff\xff\xff\xff too large", 14);
	send_frames(vm, "\0\0\0\0 empty", 10);
	send_frames(vm, "\0\0\0\4\xff\xff\xff\xff", 8);
	bad_before = site_get_number(vm, "counters", "bad_messages");
	CU_ASSERT(bad_before >= 4);
	for (int i = 0; i < DATAGRAM_COUNT; i++) {
		for (size_t j = 0; j < sizeof(random_bytes); j++)
			random_bytes[j] = (char)g_rand_int(random);
		(void)send(fd, random_bytes, 1 + (size_t)i * 3, 0);
	}
	while (site_get_number(vm, "counters", "bad_messages") <= bad_before &&
	       site_poll(&deadline))
		;
	CU_ASSERT(site_get_number(vm, "counters", "bad_messages") > bad_before);
	close(fd);
	g_rand_free(random);
	check_deposit_and_stop(vm);
}

/*
 * Sends a request with a header and checks that it is refused with a status
 * and with a body that names the remedy.
 */
static void check_refused(const site_vm_t *vm, const char *header,
			  const char *body, long status, const char *remedy)
{
	const char *const headers[] = {"Content-Type: text/plain", header,
				       NULL};
	char *url = g_strdup_printf("http://127.0.0.2:%u/deposits/pay?order=no",
				    vm->callers);
	http_exchange_t answer;

	http_init(&answer, "POST", url, body, 30000, headers);
	http_run(&answer);
	if (answer.status != status || !strstr(answer.body->str, remedy) ||
	    !site_has_outcome(&answer, "not-run")) {
		printf("%s: %ld %s\n", header, answer.status, answer.body->str);
		CU_FAIL("not refused, or not with the expected error");
	}
	http_free(&answer);
	g_free(url);
}

static void test_requests(void)
{
	site_vm_t *vm = start_site();
	char *large = g_strnfill(MAX_BODY_BYTES + 1, 'x');
	char *ticket = site_get_ticket(vm, "/deposits/pay?order=no");
	char *header = g_strdup_printf("Dogwoodshift-Ticket: %s", ticket);
	char *mac = g_strrstr(header, ".") - 1;
	char digit = *mac;

	check_refused(vm, "X: y", large, 413, "send a smaller one");
	check_refused(vm, "Dogwoodshift-Customer: a b", "", 400,
		      "send 1 to 128");
	check_refused(vm, "Dogwoodshift-Timeout-Ms: soon", "", 400,
		      "send 1 to");
	check_refused(vm, "Dogwoodshift-Timeout-Ms: -5", "", 400, "send 1 to");
	check_refused(vm, "Dogwoodshift-Ticket: a b", "", 400,
		      "send the value of Dogwoodshift-Next-Ticket unchanged");
	check_refused(vm, "Dogwoodshift-Ticket: 1.2.3", "", 400,
		      "malformed ticket; send the Dogwoodshift-Next-Ticket");
	*mac = digit == '0' ? '1' : '0';
	check_refused(
		vm, header, "", 400,
		"authentication failed; send the Dogwoodshift-Next-Ticket");
	*mac = digit;
	g_usleep(TICKET_EXPIRY_US);
	check_refused(vm, header, "", 410, "ticket");
	CU_ASSERT_EQUAL(
		site_count_events(vm->site, "start", "/deposits/pay?order=no"),
		0);
	g_free(large);
	g_free(ticket);
	g_free(header);
	check_deposit_and_stop(vm);
}

/* Callers that send nothing, an incomplete head or an incomplete body. */
static void test_connections(void)
{
	static const char *const incomplete[] = {
		"", "POST /deposits/pay HTTP/1.1\r\nHost: a",
		"POST /deposits/pay HTTP/1.1\r\nHost: a\r\n"
		"Content-Length: 9\r\n\r\nhalf"};
	site_vm_t *vm = start_site();
	int fds[CONNECTION_COUNT];

	for (int i = 0; i < CONNECTION_COUNT; i++) {
		const char *bytes = incomplete[i % G_N_ELEMENTS(incomplete)];

		fds[i] = connect_to(SOCK_STREAM, vm->callers);
		(void)send(fds[i], bytes, strlen(bytes), MSG_NOSIGNAL);
	}
	check_deposit_and_stop(vm);
	for (int i = 0; i < CONNECTION_COUNT; i++)
		close(fds[i]);
}

/* Sends a deposit request of a customer and copies the whole answer. */
static void send_deposit(int fd, int customer, const char *ticket, char *answer,
			 size_t size)
{
	char *request = g_strdup_printf(
		"POST /deposits/pay?order=%d HTTP/1.1\r\nHost: a\r\n"
		"Dogwoodshift-Customer: customer-%d\r\n%s%s%s"
		"Content-Length: 0\r\n\r\n",
		customer, customer, ticket ? "Dogwoodshift-Ticket: " : "",
		ticket ? ticket : "", ticket ? "\r\n" : "");
	const char *body = NULL;
	size_t received = 0;

	CU_ASSERT(send(fd, request, strlen(request), MSG_NOSIGNAL) > 0);
	answer[0] = '\0';
	while (!body || !g_str_has_suffix(body, "\n")) {
		ssize_t count =
			recv(fd, answer + received, size - received - 1, 0);

		CU_ASSERT_FATAL(count > 0);
		received += (size_t)count;
		answer[received] = '\0';
		body = strstr(answer, "\r\n\r\n");
		body = body && body[4] ? body + 4 : NULL;
	}
	g_free(request);
}

static int64_t memory_bytes(const site_vm_t *vm)
{
	char *file = g_strdup_printf("/proc/%d/statm", vm->daemon.pid);
	char *text = NULL, *rest = NULL;

	CU_ASSERT_FATAL(g_file_get_contents(file, &text, NULL, NULL));
	g_ascii_strtoll(text, &rest, 10);
	int64_t pages = g_ascii_strtoll(rest, NULL, 10);

	g_free(text);
	g_free(file);
	return pages * sysconf(_SC_PAGESIZE);
}

static void test_flood(void)
{
	static const char header[] = "Dogwoodshift-Next-Ticket: ";
	site_vm_t *vm = start_site();
	int fd = connect_to(SOCK_STREAM, vm->callers);
	int64_t peak_bytes = 0;
	char answer[4096];

	site_control_upstream(vm, "service_ms=0");
	for (int i = 0; i < FLOOD_REQUESTS; i++) {
		send_deposit(fd, i, NULL, answer, sizeof(answer));
		const char *at = strstr(answer, header);

		if (at && i % TICKET_USE_INTERVAL == 0) {
			char *ticket =
				g_strndup(at + strlen(header),
					  strcspn(at + strlen(header), "\r"));

			send_deposit(fd, i, ticket, answer, sizeof(answer));
			g_free(ticket);
		}
		if (i % 500 == 499)
			peak_bytes = MAX(peak_bytes, memory_bytes(vm));
	}
	printf("memory_bytes=%" G_GINT64_FORMAT " ", peak_bytes);
	CU_ASSERT(peak_bytes > 0 && peak_bytes < MEMORY_MAX_BYTES);
	close(fd);
	check_deposit_and_stop(vm);
}

static void test_public_admin_address(void)
{
	char *build = g_strdup(g_getenv("DWS_BUILD_DIR"));
	char *program =
		g_strdup_printf("%s/dogwoodshiftd", build ? build : "build");
	char *file = NULL, *errors = NULL;
	int fd = g_file_open_tmp("settings-XXXXXX", &file, NULL), status = 0;
	char *arguments[] = {program, "--settings", file, NULL};

	CU_ASSERT_FATAL(fd >= 0);
	close(fd);
	CU_ASSERT(g_file_set_contents(
		file,
		"vm_id: one\nzone: a\nregion: palermo\n"
		"callers_listen: 127.0.0.2:0\nupstream_listen: 127.0.0.2:0\n"
		"admin_listen: 0.0.0.0:9\nframe_listen: 127.0.0.2:0\n"
		"datagram_listen: 127.0.0.2:0\n",
		-1, NULL));
	CU_ASSERT(g_spawn_sync(NULL, arguments, NULL, G_SPAWN_DEFAULT, NULL,
			       NULL, NULL, &errors, &status, NULL));
	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 2);
	CU_ASSERT(strstr(errors, "admin_listen") &&
		  strstr(errors, "add admin_any_address: true"));
	unlink(file);
	g_free(errors);
	g_free(file);
	g_free(program);
	g_free(build);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"malformed messages", test_messages},
		{"malformed requests", test_requests},
		{"slow connections", test_connections},
		{"flood of customers and tickets", test_flood},
		{"public admin address", test_public_admin_address},
		{NULL, NULL},
	};

	return site_main("hostile", tests);
}
