/*
 * Stand-in of the platform's service: a configuration log and a list of VMs,
 * both of which can be read and watched. Entries are inserted as text and
 * not parsed, so invalid ones can be published too.
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

/* The state that readers get; a stale platform serves an older copy. */
typedef struct published {
	uint64_t snapshot_sequence;
	uint64_t last_sequence;
	char *document; /* of the snapshot, indented */
	GArray *entries; /* entry_t */
	uint64_t revision;
	char *vms;
} published_t;

typedef struct platform {
	struct ev_loop *loop;
	server_t server;
	published_t now;
	published_t *visible; /* &now, or an older copy if stale */
	GPtrArray *barrier_arrivals; /* pending_read_t *, awaiting a change */
	uint64_t reads; /* received so far */
	int64_t lag_ms; /* delay of every read */
	bool down;
} platform_t;

/* A read that is delayed or waits for a change. */
typedef struct pending_read {
	platform_t *platform;
	server_request_t *request;
	ev_timer timer;
	bool timed_out;
} pending_read_t;

/* Indents each line, so that a text can be nested in a YAML document. */
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

/* Returns the log after a sequence number; NULL if there is nothing newer. */
static char *log_after(const published_t *visible, uint64_t after)
{
	GString *text = g_string_new(NULL);

	if (visible->last_sequence <= after)
		return g_string_free(text, TRUE);
	if (after < visible->snapshot_sequence) {
		g_string_append_printf(
			text,
			"snapshot:\n  sequence: %" PRIu64
			"\n  version: %" PRIu64 "\n  document:\n%s",
			visible->snapshot_sequence, visible->snapshot_sequence,
			visible->document);
	}
	bool first = true;

	for (guint i = 0; i < visible->entries->len; i++) {
		entry_t *entry = &g_array_index(visible->entries, entry_t, i);

		if (entry->sequence <= after)
			continue;
		g_string_append(text, first ? "entries:\n" : "");
		g_string_append(text, entry->text);
		first = false;
	}
	return g_string_free(text, FALSE);
}

/* Returns the list of VMs; NULL if its revision is not newer than given. */
static char *vms_after(const published_t *visible, uint64_t after)
{
	if (!visible->vms || visible->revision <= after)
		return NULL;
	return g_strdup_printf("revision: %" PRIu64 "\n%s\n", visible->revision,
			       visible->vms);
}

/*
 * Answers and frees a read if there is a change, if its wait has timed out or
 * if the platform is down. Returns false if the read must wait on.
 */
static bool try_answer(pending_read_t *pending)
{
	platform_t *platform = pending->platform;
	server_request_t *request = pending->request;
	uint64_t after = (uint64_t)server_query_number(request, "after", 0);
	bool config = strcmp(request->path, "/v1/config") == 0;
	char *text = config ? log_after(platform->visible, after)
			    : vms_after(platform->visible, after);

	if (platform->down)
		server_answer(request, 503, "down\n", NULL, NULL);
	else if (text)
		server_answer(request, 200, text, "Content-Type", "text/yaml");
	else if (pending->timed_out)
		server_answer(request, 204, "", NULL, NULL);
	else
		return false;
	g_free(text);
	ev_timer_stop(platform->loop, &pending->timer);
	g_ptr_array_remove_fast(platform->barrier_arrivals, pending);
	g_free(pending);
	return true;
}

static void answer_waiting_reads(platform_t *platform)
{
	for (guint i = platform->barrier_arrivals->len; i > 0; i--)
		try_answer(
			g_ptr_array_index(platform->barrier_arrivals, i - 1));
}

static void on_wait_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	pending_read_t *pending = timer->data;

	pending->timed_out = true;
	try_answer(pending);
}

/*
 * Answers a read now or, if there is no change, within the time that the
 * reader is willing to wait.
 */
static void wait_for_change(pending_read_t *pending)
{
	double wait_s = 1e-3 * (double)server_query_number(pending->request,
							   "wait_ms", 0);

	g_ptr_array_add(pending->platform->barrier_arrivals, pending);
	pending->request->data = pending;
	if (try_answer(pending))
		return;
	ev_timer_init(&pending->timer, on_wait_timeout, wait_s, 0.0);
	ev_timer_start(pending->platform->loop, &pending->timer);
}

static void on_lag_elapsed(struct ev_loop *loop, ev_timer *timer, int events)
{
	wait_for_change(timer->data);
}

static void start_read(platform_t *platform, server_request_t *request)
{
	pending_read_t *pending = g_new0(pending_read_t, 1);

	platform->reads++;
	pending->platform = platform;
	pending->request = request;
	request->data = pending;
	ev_timer_init(&pending->timer, on_lag_elapsed,
		      1e-3 * (double)platform->lag_ms, 0.0);
	pending->timer.data = pending;
	if (platform->lag_ms > 0)
		ev_timer_start(platform->loop, &pending->timer);
	else
		wait_for_change(pending);
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

/* Publishes a whole document and drops the entries before it. */
static void publish_snapshot(platform_t *platform, const char *document)
{
	published_t *now = &platform->now;

	now->snapshot_sequence = ++now->last_sequence;
	now->document = indent(document, "    ");
	g_array_set_size(now->entries, 0);
}

/* While stale, readers get the state from the time when staleness began. */
static void set_stale(platform_t *platform, bool stale)
{
	published_t *copy;

	if (!stale) {
		platform->visible = &platform->now;
	} else if (platform->visible == &platform->now) {
		copy = g_new0(published_t, 1);
		*copy = platform->now;
		copy->entries = g_array_copy(platform->now.entries);
		platform->visible = copy;
	}
}

static void set_mode(platform_t *platform, server_request_t *request)
{
	if (server_query_value(request, "stale"))
		set_stale(platform, server_query_number(request, "stale", 0));
	platform->lag_ms =
		server_query_number(request, "lag_ms", platform->lag_ms);
	platform->down = server_query_number(request, "down", platform->down);
}

/*
 * Handles a control request: reports the number of reads, or changes the
 * published state or the mode and answers with the last sequence number.
 */
static void handle_control(platform_t *platform, server_request_t *request)
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
	answer_waiting_reads(platform);
	text = g_strdup_printf("%" PRIu64 "\n", platform->now.last_sequence);
	server_answer(request, 200, text, NULL, NULL);
	g_free(text);
}

static void on_request(void *context, server_request_t *request)
{
	platform_t *platform = context;

	if (g_str_has_prefix(request->path, "/control/"))
		handle_control(platform, request);
	else if (strcmp(request->path, "/v1/config") == 0 ||
		 strcmp(request->path, "/v1/vms") == 0)
		start_read(platform, request);
	else
		server_answer(request, 404, "no such path\n", NULL, NULL);
}

static void on_disconnect(void *context, server_request_t *request)
{
	platform_t *platform = context;
	pending_read_t *pending = request->data;

	ev_timer_stop(platform->loop, &pending->timer);
	g_ptr_array_remove_fast(platform->barrier_arrivals, pending);
	g_free(pending);
}

int main(int argc, const char **argv)
{
	static const server_ops_t ops = {on_request, on_disconnect};
	int port = 0, max_s = 600;
	char *file = NULL, *document;
	const struct poptOption options[] = {
		{"listen", 0, POPT_ARG_INT, &port, 0, "port; 0 for any",
		 "PORT"},
		{"max-seconds", 0, POPT_ARG_INT, &max_s, 0,
		 "time after which to exit", "S"},
		{"document", 0, POPT_ARG_STRING, &file, 0, "first snapshot",
		 "FILE"},
		POPT_AUTOHELP POPT_TABLEEND};
	platform_t platform = {.loop = ev_default_loop(0)};

	program_options(argc, argv, options);
	program_set_time_limit(platform.loop, max_s);
	if (file && !g_file_get_contents(file, &document, NULL, NULL)) {
		fprintf(stderr, "can't read %s; check --document\n", file);
		return 1;
	}
	platform.now.entries = g_array_new(FALSE, FALSE, sizeof(entry_t));
	platform.visible = &platform.now;
	platform.barrier_arrivals = g_ptr_array_new();
	if (file)
		publish_snapshot(&platform, document);
	server_start(&platform.server, platform.loop, (uint16_t)port, &ops,
		     &platform);
	printf("ready port=%u\n", platform.server.port);
	fflush(stdout);
	ev_run(platform.loop, 0);
	return 0;
}
