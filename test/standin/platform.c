/*
 * Takes the place of the platform's service: a configuration log and a list
 * of VMs that can be read and watched. Entries are spliced as text.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/program.h"
#include "support/server.h"

typedef struct entry {
	uint64_t sequence;
	char *text; /* an item of a YAML list */
} entry_t;

/* What readers see; a stale platform shows an older one. */
typedef struct published {
	uint64_t snapshot_sequence;
	uint64_t last_sequence;
	char *document; /* indented */
	GArray *entries; /* entry_t */
	uint64_t revision;
	char *vms;
} published_t;

typedef struct platform {
	struct ev_loop *loop;
	server_t server;
	published_t now;
	published_t *shown; /* &now, or an old copy */
	GPtrArray *waiting; /* reader_t *, until there is news */
	uint64_t reads;
	int64_t lag_ms;
	bool down;
} platform_t;

/* One read that waits for news, or for the lag to pass. */
typedef struct reader {
	platform_t *platform;
	server_request_t *request;
	ev_timer timer;
	bool expired;
} reader_t;

/* Indents each line, so that a text can be a member of another. */
static char *indent(const char *text, const char *by)
{
	char *copy = g_strchomp(g_strdup(text));
	char **lines = g_strsplit(copy, "\n", -1);
	GString *result = g_string_new(NULL);

	for (char **line = lines; *line; line++)
		g_string_append_printf(result, "%s%s\n", by, *line);
	g_strfreev(lines);
	g_free(copy);
	return g_string_free(result, FALSE);
}

/* The log after a sequence; NULL if there is nothing newer. */
static char *log_after(const published_t *shown, uint64_t after)
{
	GString *text = g_string_new(NULL);

	if (shown->last_sequence <= after)
		return g_string_free(text, TRUE);
	if (after < shown->snapshot_sequence) {
		g_string_append_printf(
			text,
			"snapshot:\n  sequence: %" PRIu64
			"\n  version: %" PRIu64 "\n  document:\n%s",
			shown->snapshot_sequence, shown->snapshot_sequence,
			shown->document);
	}
	bool first = true;

	for (guint i = 0; i < shown->entries->len; i++) {
		entry_t *entry = &g_array_index(shown->entries, entry_t, i);

		if (entry->sequence <= after)
			continue;
		g_string_append(text, first ? "entries:\n" : "");
		g_string_append(text, entry->text);
		first = false;
	}
	return g_string_free(text, FALSE);
}

/* The list of VMs if its revision is above the given one, else NULL. */
static char *vms_after(const published_t *shown, uint64_t after)
{
	if (!shown->vms || shown->revision <= after)
		return NULL;
	return g_strdup_printf("revision: %" PRIu64 "\n%s\n", shown->revision,
			       shown->vms);
}

/* Answers a read if there is news or its time is over; frees it then. */
static bool try_answer(reader_t *reader)
{
	platform_t *platform = reader->platform;
	server_request_t *request = reader->request;
	uint64_t after = (uint64_t)server_number(request, "after", 0);
	bool config = strcmp(request->path, "/v1/config") == 0;
	char *text = config ? log_after(platform->shown, after)
			    : vms_after(platform->shown, after);

	if (platform->down)
		server_answer(request, 503, "down\n", NULL, NULL);
	else if (text)
		server_answer(request, 200, text, "Content-Type", "text/yaml");
	else if (reader->expired)
		server_answer(request, 204, "", NULL, NULL);
	else
		return false;
	g_free(text);
	ev_timer_stop(platform->loop, &reader->timer);
	g_ptr_array_remove_fast(platform->waiting, reader);
	g_free(reader);
	return true;
}

static void answer_waiting(platform_t *platform)
{
	for (guint i = platform->waiting->len; i > 0; i--)
		try_answer(g_ptr_array_index(platform->waiting, i - 1));
}

static void on_wait_over(struct ev_loop *loop, ev_timer *timer, int events)
{
	reader_t *reader = timer->data;

	reader->expired = true;
	try_answer(reader);
}

/* Waits for news for the rest of the time that the reader gave. */
static void watch(reader_t *reader)
{
	double wait_s =
		1e-3 * (double)server_number(reader->request, "wait_ms", 0);

	g_ptr_array_add(reader->platform->waiting, reader);
	reader->request->data = reader;
	if (try_answer(reader))
		return;
	ev_timer_init(&reader->timer, on_wait_over, wait_s, 0.0);
	ev_timer_start(reader->platform->loop, &reader->timer);
}

static void on_lag_over(struct ev_loop *loop, ev_timer *timer, int events)
{
	watch(timer->data);
}

static void read_document(platform_t *platform, server_request_t *request)
{
	reader_t *reader = g_new0(reader_t, 1);

	platform->reads++;
	reader->platform = platform;
	reader->request = request;
	request->data = reader;
	ev_timer_init(&reader->timer, on_lag_over,
		      1e-3 * (double)platform->lag_ms, 0.0);
	reader->timer.data = reader;
	if (platform->lag_ms > 0)
		ev_timer_start(platform->loop, &reader->timer);
	else
		watch(reader);
}

/* Publishes an entry under the next sequence number, valid or not. */
static void publish_entry(platform_t *platform, const char *body)
{
	entry_t entry = {.sequence = ++platform->now.last_sequence};
	char *text = indent(body, "    ");

	entry.text = g_strdup_printf("  - sequence: %" PRIu64 "\n%s",
				     entry.sequence, text);
	g_array_append_val(platform->now.entries, entry);
	g_free(text);
}

/* Publishes a whole document; the entries before it are gone. */
static void publish_snapshot(platform_t *platform, const char *document)
{
	published_t *now = &platform->now;

	now->snapshot_sequence = ++now->last_sequence;
	now->document = indent(document, "    ");
	g_array_set_size(now->entries, 0);
}

/* Shows readers what was current when the platform became stale. */
static void set_stale(platform_t *platform, bool stale)
{
	published_t *copy;

	if (!stale) {
		platform->shown = &platform->now;
	} else if (platform->shown == &platform->now) {
		copy = g_new0(published_t, 1);
		*copy = platform->now;
		copy->entries = g_array_copy(platform->now.entries);
		platform->shown = copy;
	}
}

static void set_mode(platform_t *platform, server_request_t *request)
{
	if (server_query(request, "stale"))
		set_stale(platform, server_number(request, "stale", 0));
	platform->lag_ms = server_number(request, "lag_ms", platform->lag_ms);
	platform->down = server_number(request, "down", platform->down);
}

/* Changes what is published, or reports; answers with the last sequence. */
static void control(platform_t *platform, server_request_t *request)
{
	const char *item = request->path + strlen("/control/");
	char *text;

	if (strcmp(item, "reads") == 0) {
		text = g_strdup_printf("%" PRIu64 "\n", platform->reads);
		server_answer(request, 200, text, NULL, NULL);
		g_free(text);
		return;
	}
	if (strcmp(item, "entry") == 0) {
		publish_entry(platform, request->body->str);
	} else if (strcmp(item, "snapshot") == 0) {
		publish_snapshot(platform, request->body->str);
	} else if (strcmp(item, "vms") == 0) {
		platform->now.revision++;
		platform->now.vms = g_strdup(request->body->str);
	} else if (strcmp(item, "mode") == 0) {
		set_mode(platform, request);
	} else {
		server_answer(request, 404, "no such control\n", NULL, NULL);
		return;
	}
	answer_waiting(platform);
	text = g_strdup_printf("%" PRIu64 "\n", platform->now.last_sequence);
	server_answer(request, 200, text, NULL, NULL);
	g_free(text);
}

static void on_request(void *context, server_request_t *request)
{
	platform_t *platform = context;

	if (g_str_has_prefix(request->path, "/control/"))
		control(platform, request);
	else if (strcmp(request->path, "/v1/config") == 0 ||
		 strcmp(request->path, "/v1/vms") == 0)
		read_document(platform, request);
	else
		server_answer(request, 404, "no such path\n", NULL, NULL);
}

static void on_gone(void *context, server_request_t *request)
{
	platform_t *platform = context;
	reader_t *reader = request->data;

	ev_timer_stop(platform->loop, &reader->timer);
	g_ptr_array_remove_fast(platform->waiting, reader);
	g_free(reader);
}

int main(int argc, const char **argv)
{
	static const server_ops_t ops = {on_request, on_gone};
	int port = 0, max_s = 600;
	char *file = NULL, *document;
	const struct poptOption options[] = {
		{"listen", 0, POPT_ARG_INT, &port, 0, "port", "PORT"},
		{"max-seconds", 0, POPT_ARG_INT, &max_s, 0, "life", "S"},
		{"document", 0, POPT_ARG_STRING, &file, 0, "first snapshot",
		 "FILE"},
		POPT_AUTOHELP POPT_TABLEEND};
	platform_t platform = {.loop = ev_default_loop(0)};

	program_options(argc, argv, options);
	program_limit(platform.loop, max_s);
	if (file && !g_file_get_contents(file, &document, NULL, NULL)) {
		fprintf(stderr, "can't read %s; check --document\n", file);
		return 1;
	}
	platform.now.entries = g_array_new(FALSE, FALSE, sizeof(entry_t));
	platform.shown = &platform.now;
	platform.waiting = g_ptr_array_new();
	if (file)
		publish_snapshot(&platform, document);
	server_start(&platform.server, platform.loop, (uint16_t)port, &ops,
		     &platform);
	printf("ready port=%u\n", platform.server.port);
	fflush(stdout);
	ev_run(platform.loop, 0);
	return 0;
}
