/*
 * A platform with one idempotent and one non-idempotent route.
 */
#include "support/routes.h"

#include <CUnit/CUnit.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

static const char listeners[] =
	"[{\"host\":\"shop.example\",\"policy\":["
	"{\"name\":\"w\",\"kind\":\"idempotent\",\"priority\":1,"
	"\"target_latency\":\"2s\",\"match\":{\"prefix\":\"/w/\"},\"action\":"
	"{\"service\":\"web\",\"timeout\":\"8s\",\"attempts\":1}},"
	"{\"name\":\"once\",\"kind\":\"non_idempotent\",\"priority\":1,"
	"\"target_latency\":\"2s\",\"match\":{\"prefix\":\"/once/"
	"\"},\"action\":"
	"{\"service\":\"web\",\"timeout\":\"8s\",\"attempts\":2}}]}]";

platform_t *routes_start(platform_serve_t serve, const char *settings,
			 const char *const *services)
{
	platform_t *platform = g_new0(platform_t, 1);

	platform_start(platform);
	platform->serve_request = serve;
	platform->extra_settings = settings;
	platform_configure(platform, 3, listeners);
	for (; *services; services++)
		platform_add_vm(platform, *services);
	for (int i = 0; i < platform->vm_count; i++)
		platform_start_daemon(&platform->vms[i]);
	for (int i = 0; i < platform->vm_count; i++)
		CU_ASSERT_TRUE_FATAL(platform_await_ready(&platform->vms[i]));
	return platform;
}

void routes_stop(platform_t *platform)
{
	platform_stop(platform);
	g_free(platform);
}

bool routes_has_name(const char *head, const char *name)
{
	const char *path = strchr(head, ' ') + 1;
	char *text = g_strndup(path, strcspn(path, " "));
	const char *last = strrchr(text, '/');
	bool same = last && strcmp(last + 1, name) == 0;

	g_free(text);
	return same;
}

void routes_send(int fd, const char *method, const char *path, const char *id)
{
	char *text = g_strdup_printf("%s %s HTTP/1.1\r\nHost: shop.example\r\n"
				     "Attempt-Id: %s\r\nDeadline-Ms: 8000\r\n"
				     "Content-Length: 4\r\n\r\nbody",
				     method, path, id);

	platform_send(fd, text, strlen(text));
	g_free(text);
}

/* Returns a header's value, or "" if it is absent. */
static char *header_or_empty(const char *head, const char *name)
{
	char *value = head ? platform_header(head, name) : NULL;

	return value ? value : g_strdup("");
}

/* Reads a body of a length; false if the connection ends before. */
static bool read_body(int fd, GString *body, size_t size_bytes)
{
	char byte;

	while (body->len < size_bytes) {
		if (recv(fd, &byte, 1, 0) != 1)
			return false;
		g_string_append_c(body, byte);
	}
	return true;
}

void routes_read_answer(int fd, routes_answer_t *answer)
{
	char *head = platform_read_head(fd);
	char *length = header_or_empty(head, "Content-Length");
	GString *body = g_string_new(NULL);

	answer->is_whole = head && read_body(fd, body, (size_t)atol(length));
	answer->status = head ? atol(head + strlen("HTTP/1.1 ")) : 0;
	answer->attempt_id = header_or_empty(head, "Attempt-Id");
	answer->signature = header_or_empty(head, "Response-Signature");
	answer->body = g_string_free(body, FALSE);
	g_free(length);
	g_free(head);
}

void routes_answer_clear(routes_answer_t *answer)
{
	g_free(answer->attempt_id);
	g_free(answer->signature);
	g_free(answer->body);
}
