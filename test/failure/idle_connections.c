/*
 * Callers that keep their connections after large answers: the daemon's memory
 * does not grow with the number of idle connections.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/routes.h"
#include "support/suite.h"

#define MEMORY_MB 64
#define CONNECTIONS 100
#define ANSWER_BYTES (1024 * 1024)

static const char *const services[] = {"web", NULL};

/* Answers with a large body. */
static bool serve(platform_vm_t *vm, int fd, const char *head,
		  size_t body_size_bytes)
{
	char *id = platform_header(head, "Attempt-Id");
	char *body = g_strnfill(ANSWER_BYTES, 'x');
	char *answer = g_strdup_printf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
				       "Response-Signature: sig-1\r\n"
				       "Content-Length: %d\r\n\r\n%s",
				       id, ANSWER_BYTES, body);

	platform_send(fd, answer, strlen(answer));
	g_free(answer);
	g_free(body);
	g_free(id);
	return true;
}

/* Reads the head and the body of an answer; false if it is not whole. */
static bool read_large_answer(int fd)
{
	static char bytes[64 * 1024];
	char *head = platform_read_head(fd);
	size_t left_bytes = ANSWER_BYTES;
	bool is_success = head && g_str_has_prefix(head, "HTTP/1.1 200");

	g_free(head);
	while (is_success && left_bytes > 0) {
		ssize_t got =
			recv(fd, bytes, MIN(sizeof(bytes), left_bytes), 0);

		if (got <= 0)
			return false;
		left_bytes -= (size_t)got;
	}
	return is_success;
}

/*
 * Guards against idle connections that keep the memory of their largest answer,
 * until the daemon exceeds its limit.
 */
static void test_idle_connections_keep_no_answer(void)
{
	char *settings = g_strdup_printf(
		"memory_mb: %d\nmax_body_bytes: 4194304\n", MEMORY_MB);
	platform_t *platform = routes_start(serve, settings, services);
	int fds[CONNECTIONS];

	for (int i = 0; i < CONNECTIONS; i++) {
		fds[i] = platform_connect(&platform->vms[0]);
		CU_ASSERT_TRUE_FATAL(fds[i] >= 0);
		routes_send(fds[i], "GET", "/w/large", "large");
		CU_ASSERT_TRUE(read_large_answer(fds[i]));
	}
	long peak_mb = platform_peak_memory_mb(&platform->vms[0]);

	printf("peak %ld MB ", peak_mb);
	CU_ASSERT(peak_mb >= 0 && peak_mb < MEMORY_MB);
	for (int i = 0; i < CONNECTIONS; i++)
		close(fds[i]);
	routes_stop(platform);
	g_free(settings);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"idle connections keep no answer",
		 test_idle_connections_keep_no_answer},
		{NULL, NULL},
	};

	return suite_main("idle connections", tests);
}
