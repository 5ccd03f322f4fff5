/*
 * HTTP towards the local upstream and the platform: libcurl's multi interface
 * on the event loop.
 *
 * libcurl sends a request again by itself when a connection that it reuses dies
 * before the first byte of an answer, and it can't know whether the upstream had
 * read the first. Non-idempotent work therefore takes a connection of its own.
 * Other work is sent again only if its connection died at once, as an idle one
 * does that the upstream had forgotten; else the node decides about a repeat.
 */
#include <string.h>
#include "connection/http_client_io.h"
#include "version/config.h"

#define CONNECT_TIMEOUT_MS 1000L
/* A reused connection that dies later than this had been alive. */
#define FORGOTTEN_MAX_US (5 * DWS_US_PER_MS)
/* Non-idempotent work runs on after its deadline; its answer is of use. */
#define LATE_ANSWER_MS 30000
/* Beyond the time that the platform was asked to wait. */
#define PLATFORM_EXTRA_MS 2000
/* A page of values of 1 MB in base64, or a document, and what is around it. */
#define PLATFORM_ANSWER_MAX_BYTES (4 * 1024 * 1024)
#define IDLE_HANDLES_MAX 128U
#define IDLE_CONNECTIONS_MAX 128L
#define URL_SIZE 128
#define STATUS_FIRST_FINAL 200
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define STATUS_UNAVAILABLE 503
#define STATUS_OK 200
#define STATUS_TIMEOUT 408
#define STATUS_MISDIRECTED 421
#define STATUS_TOO_MANY 429

static const char *const platform_paths[DWS_PLATFORM_ITEM_COUNT] = {
	[DWS_PLATFORM_CONFIG] = "/v1/config",
	[DWS_PLATFORM_VMS] = "/v1/vms",
};

/* A request that is under way. */
typedef struct transfer {
	dws_http_client_t *client;
	CURL *easy;
	struct curl_slist *headers;
	GByteArray *body;
	size_t body_max_bytes;
	dws_http_get_done_t done; /* of a GET at the platform, else NULL */
	void *done_context;
	uint32_t tag;
	uint64_t attempt_id;
	bool is_routed;
	char *attempt_key; /* that the answer has to bear; NULL: none */
	GString *answer_headers; /* of routed work */
	bool is_head;
	bool is_chunked;
	bool says_not_run;
	bool is_foreign; /* the answer belongs to another request */
	uint32_t sends; /* how often libcurl began to send the request */
	int64_t sent_us; /* when it first did */
} transfer_t;

/* A socket of libcurl that the loop watches. */
typedef struct watch {
	dws_http_client_t *client;
	ev_io io;
} watch_t;

static void collect_ended(dws_http_client_t *client);

/* Lets libcurl act on a socket or a timeout, then reports what has ended. */
static void act(dws_http_client_t *client, curl_socket_t fd, int mask)
{
	int running = 0;

	curl_multi_socket_action(client->multi, fd, mask, &running);
	collect_ended(client);
}

static void on_socket(struct ev_loop *ev, ev_io *watcher, int events)
{
	watch_t *watch = watcher->data;
	int mask = 0;

	if (events & EV_READ)
		mask |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		mask |= CURL_CSELECT_OUT;
	act(watch->client, watcher->fd, mask);
}

static void on_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
	act(watcher->data, CURL_SOCKET_TIMEOUT, 0);
}

/* libcurl wants a socket to be watched, or no longer. */
static int on_watch(CURL *easy, curl_socket_t fd, int what, void *data,
		    void *socket_data)
{
	dws_http_client_t *client = data;
	watch_t *watch = socket_data;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		if (watch)
			ev_io_stop(client->ev, &watch->io);
		curl_multi_assign(client->multi, fd, NULL);
		g_free(watch);
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	if (!watch) {
		watch = g_new0(watch_t, 1);
		watch->client = client;
		ev_io_init(&watch->io, on_socket, fd, events);
		watch->io.data = watch;
		curl_multi_assign(client->multi, fd, watch);
	}
	ev_io_stop(client->ev, &watch->io);
	ev_io_set(&watch->io, fd, events);
	ev_io_start(client->ev, &watch->io);
	return 0;
}

/* libcurl wants to be called after some time; -1: no longer. */
static int on_timeout_set(CURLM *multi, long timeout_ms, void *data)
{
	dws_http_client_t *client = data;

	ev_timer_stop(client->ev, &client->timer);
	if (timeout_ms >= 0) {
		ev_now_update(client->ev);
		ev_timer_set(&client->timer, (double)timeout_ms / 1000.0, 0);
		ev_timer_start(client->ev, &client->timer);
	}
	return 0;
}

/* Gathers the body; too large a one ends the transfer. */
static size_t on_body(char *data, size_t size, size_t count, void *user)
{
	transfer_t *transfer = user;
	size_t size_bytes = size * count;

	if (transfer->body->len + size_bytes > transfer->body_max_bytes)
		return 0;
	g_byte_array_append(transfer->body, (const guint8 *)data,
			    (guint)size_bytes);
	return size_bytes;
}

/* True if a header line has this name, and this value if one is given. */
static bool is_header(const char *line, size_t size_bytes, const char *name,
		      const char *value)
{
	size_t length = strlen(name);

	if (size_bytes <= length || line[length] != ':' ||
	    g_ascii_strncasecmp(line, name, length) != 0)
		return false;
	char *found = g_strndup(line + length + 1, size_bytes - length - 1);
	bool same = g_ascii_strcasecmp(g_strstrip(found), value) == 0;

	g_free(found);
	return same;
}

/* Takes a header of a routed answer, in the platform's dialect. */
static void take_routed_header(transfer_t *transfer, const char *line,
			       size_t size_bytes)
{
	const dws_dialect_t *dialect = transfer->client->dialect;
	const char *colon = memchr(line, ':', size_bytes);
	size_t length = colon ? (size_t)(colon - line) : 0;

	if (length == 0)
		return;
	if (length == strlen(dialect->not_run) &&
	    g_ascii_strncasecmp(line, dialect->not_run, length) == 0)
		transfer->says_not_run = true;
	if (transfer->attempt_key[0] &&
	    length == strlen(dialect->attempt_key) &&
	    g_ascii_strncasecmp(line, dialect->attempt_key, length) == 0 &&
	    !is_header(line, size_bytes, dialect->attempt_key,
		       transfer->attempt_key))
		transfer->is_foreign = true;
	if (!dws_dialect_is_own_header(dialect, line, length))
		g_string_append_len(transfer->answer_headers, line,
				    (gssize)size_bytes);
}

/* Notes the headers that matter here; a status line starts them anew. */
static size_t on_header(char *data, size_t size, size_t count, void *user)
{
	transfer_t *transfer = user;
	size_t size_bytes = size * count;

	if (size_bytes >= 5 && memcmp(data, "HTTP/", 5) == 0) {
		transfer->is_chunked = false;
		transfer->says_not_run = false;
		transfer->is_foreign = false;
		if (transfer->answer_headers)
			g_string_set_size(transfer->answer_headers, 0);
		return size_bytes;
	}
	if (transfer->is_routed)
		take_routed_header(transfer, data, size_bytes);
	if (is_header(data, size_bytes, "Transfer-Encoding", "chunked"))
		transfer->is_chunked = true;
	if (is_header(data, size_bytes, "Dogwoodshift-Outcome", "not-run"))
		transfer->says_not_run = true;
	return size_bytes;
}

/* libcurl has a connection and is about to send a request, or to repeat it. */
static int on_send(void *user, char *remote_ip, char *local_ip, int remote_port,
		   int local_port)
{
	transfer_t *transfer = user;
	int64_t now_us = g_get_monotonic_time();

	if (transfer->sends++ == 0)
		transfer->sent_us = now_us;
	return now_us - transfer->sent_us > FORGOTTEN_MAX_US
		       ? CURL_PREREQFUNC_ABORT
		       : CURL_PREREQFUNC_OK;
}

static CURL *take_handle(dws_http_client_t *client)
{
	if (client->idle->len)
		return g_ptr_array_steal_index_fast(client->idle,
						    client->idle->len - 1);
	return curl_easy_init();
}

static void give_back_handle(dws_http_client_t *client, CURL *easy)
{
	if (client->idle->len >= IDLE_HANDLES_MAX) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	g_ptr_array_add(client->idle, easy);
}

static transfer_t *new_transfer(dws_http_client_t *client)
{
	transfer_t *transfer = g_new0(transfer_t, 1);

	transfer->client = client;
	transfer->easy = take_handle(client);
	transfer->body = g_byte_array_new();
	g_ptr_array_add(client->transfers, transfer);
	return transfer;
}

static void free_transfer(transfer_t *transfer)
{
	dws_http_client_t *client = transfer->client;

	g_ptr_array_remove_fast(client->transfers, transfer);
	if (!transfer->done)
		g_hash_table_remove(client->dispatches, &transfer->attempt_id);
	curl_multi_remove_handle(client->multi, transfer->easy);
	give_back_handle(client, transfer->easy);
	curl_slist_free_all(transfer->headers);
	g_byte_array_free(transfer->body, TRUE);
	g_free(transfer->attempt_key);
	if (transfer->answer_headers)
		g_string_free(transfer->answer_headers, TRUE);
	g_free(transfer);
}

static void add_header(transfer_t *transfer, const char *name,
		       const char *value)
{
	char *line = g_strconcat(name, ": ", value, NULL);

	transfer->headers = curl_slist_append(transfer->headers, line);
	g_free(line);
}

/* An "http://IP:PORT/" for an address. */
static void format_url(char *url, size_t size, const dws_address_t *address)
{
	const char *form =
		strchr(address->ip, ':') ? "http://[%s]:%u/" : "http://%s:%u/";

	g_snprintf(url, size, form, address->ip, address->port);
}

/* Sets what all transfers have in common. */
static void set_common(transfer_t *transfer, const dws_address_t *address,
		       const char *target, int64_t timeout_ms)
{
	CURL *easy = transfer->easy;
	char url[URL_SIZE];

	format_url(url, sizeof(url), address);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, target);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
}

/* Sets method and body. */
static void set_request(transfer_t *transfer, const dws_dispatch_t *dispatch)
{
	CURL *easy = transfer->easy;
	bool has_body = dispatch->body_size_bytes > 0 ||
			strcmp(dispatch->method, "POST") == 0 ||
			strcmp(dispatch->method, "PUT") == 0 ||
			strcmp(dispatch->method, "PATCH") == 0;

	transfer->is_head = strcmp(dispatch->method, "HEAD") == 0;
	if (has_body) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)dispatch->body_size_bytes);
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS,
				 dispatch->body_size_bytes
					 ? (const char *)dispatch->body
					 : "");
	}
	if (transfer->is_head)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	else
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, dispatch->method);
}

static void add_line(transfer_t *transfer, const char *line)
{
	transfer->headers = curl_slist_append(transfer->headers, line);
}

/* True if one of the lines is the header of a name. */
static bool has_header(const char *lines, const char *name)
{
	size_t length = strlen(name);

	for (const char *at = lines; at && *at; at = strchr(at, '\n')) {
		at += *at == '\n';
		if (g_ascii_strncasecmp(at, name, length) == 0 &&
		    at[length] == ':')
			return true;
	}
	return false;
}

/* Gathers the headers of routed work: those of the caller, and the own ones. */
static void set_routed_headers(transfer_t *transfer,
			       const dws_dispatch_t *dispatch,
			       int64_t remaining_ms)
{
	const dws_dialect_t *dialect = transfer->client->dialect;
	char **lines = g_strsplit(dispatch->headers ? dispatch->headers : "",
				  "\r\n", -1);
	char text[32];

	for (char **line = lines; *line; line++) {
		char *colon = strchr(*line, ':');

		if (!colon)
			continue;
		/* libcurl sends a header without a value as "Name;". */
		if (colon[1 + strspn(colon + 1, " ")] == '\0')
			memcpy(colon, ";", sizeof(";"));
		add_line(transfer, *line);
	}
	g_strfreev(lines);
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, remaining_ms);
	add_header(transfer, dialect->time_left_ms, text);
	if (dispatch->upstream_id && dispatch->upstream_id[0])
		add_header(transfer, dialect->upstream_id,
			   dispatch->upstream_id);
	if (!has_header(dispatch->headers, "Content-Type"))
		add_line(transfer, "Content-Type:");
	if (!has_header(dispatch->headers, "Accept"))
		add_line(transfer, "Accept:");
	add_line(transfer, "Expect:");
}

/* Gathers the headers of a dispatch. */
static void set_headers(transfer_t *transfer, const dws_dispatch_t *dispatch,
			int64_t remaining_ms)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
		   dispatch->attempt_id);
	add_header(transfer, "Dogwoodshift-Call", text);
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, remaining_ms);
	add_header(transfer, "Dogwoodshift-Timeout-Ms", text);
	if (dispatch->customer && dispatch->customer[0])
		add_header(transfer, "Dogwoodshift-Customer",
			   dispatch->customer);
	if (dispatch->identity && dispatch->identity[0])
		add_header(transfer, "Idempotency-Key", dispatch->identity);
	if (dispatch->traceparent[0])
		add_header(transfer, "traceparent", dispatch->traceparent);
	if (dispatch->content_type && dispatch->content_type[0])
		add_header(transfer, "Content-Type", dispatch->content_type);
	else
		transfer->headers =
			curl_slist_append(transfer->headers, "Content-Type:");
	transfer->headers = curl_slist_append(transfer->headers, "Expect:");
}

/* Reports a dispatch that can't begin, once the present call has returned. */
static void report_unsent(dws_http_client_t *client, uint64_t attempt_id)
{
	uint64_t *id = g_new(uint64_t, 1);

	*id = attempt_id;
	g_ptr_array_add(client->unsent, id);
	ev_timer_start(client->ev, &client->report);
}

static void on_report(struct ev_loop *ev, ev_timer *watcher, int events)
{
	static const dws_dispatch_outcome_t not_sent = {
		.result = DWS_DISPATCH_NOT_SENT,
	};
	dws_http_client_t *client = watcher->data;

	for (guint left = client->unsent->len; left > 0 && client->unsent->len;
	     left--) {
		uint64_t *id = g_ptr_array_steal_index(client->unsent, 0);

		client->ops->dispatched(client->context, *id, &not_sent);
		g_free(id);
	}
}

/* Sends work to the upstream, until its deadline at the latest. */
void dws_http_client_dispatch(dws_http_client_t *client, int64_t now_us,
			      const dws_dispatch_t *dispatch)
{
	int64_t remaining_ms = (dispatch->deadline_us - now_us) / DWS_US_PER_MS;

	if (client->upstream.port == 0 || remaining_ms <= 0) {
		report_unsent(client, dispatch->attempt_id);
		return;
	}
	transfer_t *transfer = new_transfer(client);

	transfer->attempt_id = dispatch->attempt_id;
	transfer->body_max_bytes = client->answer_max_bytes;
	g_hash_table_insert(client->dispatches, &transfer->attempt_id,
			    transfer);
	if (dispatch->is_routed && client->dialect) {
		transfer->is_routed = true;
		transfer->attempt_key = g_strdup(
			dispatch->attempt_key ? dispatch->attempt_key : "");
		transfer->answer_headers = g_string_new(NULL);
		set_routed_headers(transfer, dispatch, remaining_ms);
	} else {
		set_headers(transfer, dispatch, remaining_ms);
	}
	set_common(transfer, &client->upstream, dispatch->path,
		   dispatch->idempotent ? remaining_ms
					: remaining_ms + LATE_ANSWER_MS);
	set_request(transfer, dispatch);
	/* Nothing is sent after the deadline. */
	curl_easy_setopt(transfer->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)MIN(CONNECT_TIMEOUT_MS, remaining_ms));
	if (!dispatch->idempotent) {
		curl_easy_setopt(transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(transfer->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	curl_multi_add_handle(client->multi, transfer->easy);
}

/* Breaks off a dispatch; its connection closes, which tells the upstream. */
void dws_http_client_cancel(dws_http_client_t *client, uint64_t attempt_id)
{
	transfer_t *transfer =
		g_hash_table_lookup(client->dispatches, &attempt_id);

	if (transfer)
		free_transfer(transfer);
	for (guint i = 0; i < client->unsent->len; i++) {
		uint64_t *id = g_ptr_array_index(client->unsent, i);

		if (*id != attempt_id)
			continue;
		g_free(g_ptr_array_steal_index(client->unsent, i));
		return;
	}
}

/* Gets a target of the platform's service. */
void dws_http_client_get(dws_http_client_t *client, const char *target,
			 int64_t timeout_ms, dws_http_get_done_t done,
			 void *context, uint32_t tag)
{
	transfer_t *transfer = new_transfer(client);

	transfer->done = done;
	transfer->done_context = context;
	transfer->tag = tag;
	transfer->body_max_bytes = PLATFORM_ANSWER_MAX_BYTES;
	set_common(transfer, &client->platform, target, timeout_ms);
	curl_multi_add_handle(client->multi, transfer->easy);
}

/* Ends a read of the platform; the tag is the item. */
static void on_document(void *context, uint32_t tag, long status,
			const char *text, size_t size_bytes)
{
	dws_http_client_t *client = context;
	bool has_news = status == STATUS_OK;

	client->ops->platform_read(client->context, (dws_platform_item_t)tag,
				   has_news || status == STATUS_NO_CONTENT,
				   has_news ? text : NULL,
				   has_news ? size_bytes : 0);
}

/* Reads from the platform what it has after a number. */
void dws_http_client_read(dws_http_client_t *client, dws_platform_item_t item,
			  uint64_t after, int64_t wait_ms)
{
	char target[URL_SIZE];

	g_snprintf(target, sizeof(target),
		   "%s?after=%" G_GUINT64_FORMAT "&wait_ms=%" G_GINT64_FORMAT,
		   platform_paths[item], after, wait_ms);
	dws_http_client_get(client, target, wait_ms + PLATFORM_EXTRA_MS,
			    on_document, client, item);
}

/*
 * True if the end of the answer's body was marked by a length or by chunks,
 * so that a whole one can be told from a truncated one.
 */
static bool is_delimited(const transfer_t *transfer, long status)
{
	curl_off_t length = -1;

	if (transfer->is_head || transfer->is_chunked ||
	    status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED)
		return true;
	curl_easy_getinfo(transfer->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
			  &length);
	return length >= 0;
}

/*
 * True if a failed transfer surely sent nothing: there was no connection, or
 * the time ran out before the first byte of the request.
 */
static bool is_unsent(const transfer_t *transfer, CURLcode code)
{
	long request_bytes = -1;

	if (code == CURLE_COULDNT_CONNECT)
		return true;
	curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE,
			  &request_bytes);
	return code == CURLE_OPERATION_TIMEDOUT && request_bytes == 0;
}

/*
 * True if a transfer brought a whole answer to its request. A routed answer
 * may end with its connection. Some statuses of it promise that the request
 * did not run, which only the upstream's express word makes certain: without
 * it the caller must not be told so.
 */
static bool is_answer(const transfer_t *transfer, long status)
{
	bool promises = status == STATUS_TIMEOUT || status == STATUS_TOO_MANY ||
			status == STATUS_UNAVAILABLE;

	if (status < STATUS_FIRST_FINAL || transfer->is_foreign)
		return false;
	/* It may be the second that was refused, and the first have run. */
	if (transfer->sends > 1 &&
	    (transfer->says_not_run || status == STATUS_MISDIRECTED))
		return false;
	if (!transfer->is_routed)
		return is_delimited(transfer, status);
	return !promises || transfer->says_not_run;
}

static void report_dispatch(const transfer_t *transfer, CURLcode code)
{
	dws_http_client_t *client = transfer->client;
	dws_dispatch_outcome_t outcome = {.result = DWS_DISPATCH_LOST};
	long status = 0;

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK) {
		if (is_unsent(transfer, code))
			outcome.result = DWS_DISPATCH_NOT_SENT;
	} else if (is_answer(transfer, status)) {
		char *type = NULL;

		curl_easy_getinfo(transfer->easy, CURLINFO_CONTENT_TYPE, &type);
		outcome.result = DWS_DISPATCH_ANSWERED;
		outcome.status = (uint16_t)status;
		outcome.content_type = type;
		if (transfer->answer_headers)
			outcome.headers = transfer->answer_headers->str;
		outcome.body = transfer->body->data;
		outcome.body_size_bytes = transfer->body->len;
		outcome.refused =
			transfer->says_not_run &&
			(transfer->is_routed || status == STATUS_UNAVAILABLE);
		outcome.misdirected =
			transfer->is_routed && status == STATUS_MISDIRECTED;
	}
	client->ops->dispatched(client->context, transfer->attempt_id,
				&outcome);
}

static void report_get(const transfer_t *transfer, CURLcode code)
{
	long status = 0;

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK || !is_delimited(transfer, status))
		status = 0;
	g_byte_array_append(transfer->body, (const guint8 *)"", 1);
	transfer->done(transfer->done_context, transfer->tag, status,
		       (const char *)transfer->body->data,
		       transfer->body->len - 1);
}

/*
 * Reports one transfer that has ended. It leaves the tables first, so that
 * the owner may start the next one, or cancel this one in vain.
 */
static void end_transfer(transfer_t *transfer, CURLcode code)
{
	if (transfer->done) {
		report_get(transfer, code);
	} else {
		g_hash_table_remove(transfer->client->dispatches,
				    &transfer->attempt_id);
		report_dispatch(transfer, code);
	}
	free_transfer(transfer);
}

static void collect_ended(dws_http_client_t *client)
{
	CURLMsg *message;
	int left = 0;

	while ((message = curl_multi_info_read(client->multi, &left))) {
		CURLcode code = message->data.result;
		char *transfer = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  &transfer);
		end_transfer((transfer_t *)(void *)transfer, code);
	}
}

static void init_watchers(dws_http_client_t *client)
{
	ev_timer_init(&client->timer, on_timer, 0, 0);
	ev_timer_init(&client->report, on_report, 0, 0);
	client->timer.data = client;
	client->report.data = client;
}

/* Starts on memory of the caller; takes addresses and sizes from settings. */
bool dws_http_client_init(dws_http_client_t *client,
			  const dws_http_client_ops_t *ops, void *context,
			  struct ev_loop *ev, const dws_settings_t *settings,
			  const dws_dialect_t *dialect, GError **error)
{
	memset(client, 0, sizeof(*client));
	client->ops = ops;
	client->context = context;
	client->ev = ev;
	client->upstream = settings->upstream;
	client->platform = settings->platform;
	client->dialect = dialect;
	client->answer_max_bytes = settings->max_body_bytes;
	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK ||
	    !(client->multi = curl_multi_init())) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_SYSTEM,
			    "HTTP client: libcurl could not be started; check "
			    "the installed library and the free memory");
		return false;
	}
	client->dispatches = g_hash_table_new(g_int64_hash, g_int64_equal);
	client->unsent = g_ptr_array_new();
	client->idle = g_ptr_array_new();
	client->transfers = g_ptr_array_new();
	init_watchers(client);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_watch);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION,
			  on_timeout_set);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  IDLE_CONNECTIONS_MAX);
	return true;
}

/* Breaks off all transfers and closes all connections. */
void dws_http_client_finish(dws_http_client_t *client)
{
	for (guint left = client->transfers->len; left > 0; left--)
		free_transfer(g_ptr_array_index(client->transfers, left - 1));
	for (guint i = 0; i < client->idle->len; i++)
		curl_easy_cleanup(g_ptr_array_index(client->idle, i));
	curl_multi_cleanup(client->multi);
	ev_timer_stop(client->ev, &client->timer);
	ev_timer_stop(client->ev, &client->report);
	g_ptr_array_foreach(client->unsent, (GFunc)(void (*)(void))g_free,
			    NULL);
	g_ptr_array_free(client->unsent, TRUE);
	g_ptr_array_free(client->idle, TRUE);
	g_ptr_array_free(client->transfers, TRUE);
	g_hash_table_destroy(client->dispatches);
	curl_global_cleanup();
}
