/*
 * HTTP client for the local upstream and the platform: libcurl's multi
 * interface on the event loop.
 *
 * If a reused connection fails before the first byte of an answer, libcurl
 * resends the request by itself, without knowing whether the upstream has read
 * the first copy. Non-idempotent requests therefore use a new connection each.
 * Other requests are resent only if the connection failed at once, as one does
 * that the upstream had closed while it was idle; after any later failure the
 * node decides about a retry.
 */
#include <string.h>
#include "connection/http_client_io.h"
#include "connection/http_headers_io.h"
#include "connection/socket_io.h"
#include "process/descriptors_io.h"
#include "version/config.h"

#define CONNECT_TIMEOUT_MS 1000L
/*
 * libcurl may resend a request within this time of the first send. A connection
 * that fails later was alive, so that the upstream may have read the request.
 */
#define RESEND_WINDOW_US (5 * DWS_US_PER_MS)
/*
 * Time after the deadline in which the answer of a non-idempotent request is
 * still awaited: the request keeps running, and its outcome is needed.
 */
#define LATE_ANSWER_MS 30000
/* Added to the time that the platform is asked to wait. */
#define PLATFORM_TIMEOUT_MARGIN_MS 2000
/* Fits a page of values of 1 MB in base64, or a document, with its framing. */
#define PLATFORM_ANSWER_MAX_BYTES (4 * 1024 * 1024)
#define IDLE_CONNECTIONS_MAX 1024L
/* Share of the process's descriptors that idle connections may have. */
#define IDLE_DESCRIPTORS_DIVISOR 8
/* Bytes of a request that the kernel buffers for an upstream that reads slowly. */
#define UNSENT_MAX_BYTES (64 * 1024)
#define URL_SIZE 128
/* Above all ports; see connection_key(). */
#define PLATFORM_CONNECTION_FLAG 0x10000
#define STATUS_NO_CONTENT 204
#define STATUS_UNAVAILABLE 503
#define STATUS_OK 200
#define STATUS_MISDIRECTED 421

static const char *const platform_paths[DWS_PLATFORM_ITEM_COUNT] = {
	[DWS_PLATFORM_CONFIG] = "/v1/config",
	[DWS_PLATFORM_VMS] = "/v1/vms",
};

/* A request in progress. */
typedef struct transfer {
	dws_http_client_t *client;
	CURL *easy;
	struct curl_slist *headers;
	GBytes *body; /* of the request, which libcurl reads; NULL: none */
	dws_http_answer_t answer;
	dws_http_get_done_t done; /* of a GET of the platform, else NULL */
	void *done_context;
	uint32_t tag;
	uint64_t attempt_id;
	/* Not established yet; CURL_SOCKET_BAD if there is none. */
	curl_socket_t new_socket;
	bool is_unusable; /* the idle connection that libcurl has chosen */
	uint32_t send_count; /* times that libcurl began to send the request */
	int64_t first_sent_us; /* start of the first send */
} transfer_t;

/* A key for a connection; a local port may serve one to each of two peers. */
static uint32_t connection_key(const transfer_t *transfer, int local_port)
{
	return (uint32_t)local_port |
	       (transfer->done ? PLATFORM_CONNECTION_FLAG : 0);
}

/*
 * Registers the connection of a transfer if it is new; false if it was idle and
 * can't be used.
 */
static bool check_connection(transfer_t *transfer, int local_port)
{
	dws_curl_loop_t *loop = &transfer->client->curl_loop;
	uint32_t key = connection_key(transfer, local_port);
	bool is_kept = transfer->new_socket == CURL_SOCKET_BAD;

	transfer->answer.is_on_kept_connection = is_kept;
	if (is_kept)
		return dws_curl_loop_is_usable(loop, key);
	dws_curl_loop_established(loop, transfer->new_socket, key);
	transfer->new_socket = CURL_SOCKET_BAD;
	return true;
}

/*
 * CURLOPT_PREREQFUNCTION: called before a request is sent or resent on a
 * connection. Aborts a send on an unusable connection, and a resend after
 * RESEND_WINDOW_US.
 */
static int on_send(void *user, char *remote_ip, char *local_ip, int remote_port,
		   int local_port)
{
	transfer_t *transfer = user;
	int64_t now_us = g_get_monotonic_time();

	transfer->is_unusable = !check_connection(transfer, local_port);
	if (transfer->is_unusable)
		return CURL_PREREQFUNC_ABORT;
	if (transfer->send_count++ == 0)
		transfer->first_sent_us = now_us;
	return now_us - transfer->first_sent_us > RESEND_WINDOW_US
		       ? CURL_PREREQFUNC_ABORT
		       : CURL_PREREQFUNC_OK;
}

/*
 * Creates a transfer with a handle of its own. A handle that is used again keeps
 * a pointer to the last header of its previous transfer, which is freed, also
 * after curl_easy_reset() (libcurl 7.88). libcurl follows it if the first line
 * of the next head begins with a blank. The connections belong to the
 * multi handle, so that they are kept.
 */
static transfer_t *new_transfer(dws_http_client_t *client)
{
	transfer_t *transfer = g_new0(transfer_t, 1);

	transfer->client = client;
	transfer->easy = curl_easy_init();
	transfer->new_socket = CURL_SOCKET_BAD;
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
	curl_easy_cleanup(transfer->easy);
	curl_slist_free_all(transfer->headers);
	dws_http_answer_finish(&transfer->answer);
	if (transfer->body)
		g_bytes_unref(transfer->body);
	g_free(transfer);
}

/* CURLOPT_SOCKOPTFUNCTION: called for each new socket. */
static int on_socket_open(void *user, curl_socket_t fd, curlsocktype purpose)
{
	transfer_t *transfer = user;

	transfer->new_socket = fd;
	dws_socket_limit_unsent(fd, UNSENT_MAX_BYTES);
	return CURL_SOCKOPT_OK;
}

/* Formats an address as "http://IP:PORT/". */
static void format_url(char *url, size_t size, const dws_address_t *address)
{
	const char *format =
		strchr(address->ip, ':') ? "http://[%s]:%u/" : "http://%s:%u/";

	g_snprintf(url, size, format, address->ip, address->port);
}

/* Sets the options that all transfers have in common. */
static void set_transfer_options(transfer_t *transfer,
				 const dws_address_t *address,
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
	dws_http_answer_attach(&transfer->answer, easy);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_open);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, transfer);
	dws_curl_loop_prepare(&transfer->client->curl_loop, easy);
}

/* Sets the request method and the body. */
static void set_method_and_body(transfer_t *transfer,
				const dws_dispatch_t *dispatch)
{
	CURL *easy = transfer->easy;
	gsize size_bytes = 0;
	const char *body =
		dispatch->body ? g_bytes_get_data(dispatch->body, &size_bytes)
			       : NULL;
	bool has_body = size_bytes > 0 ||
			strcmp(dispatch->method, "POST") == 0 ||
			strcmp(dispatch->method, "PUT") == 0 ||
			strcmp(dispatch->method, "PATCH") == 0;

	bool is_head_request = strcmp(dispatch->method, "HEAD") == 0;

	transfer->answer.is_head_request = is_head_request;
	if (has_body) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)size_bytes);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body ? body : "");
	}
	if (dispatch->body)
		transfer->body = g_bytes_ref(dispatch->body);
	if (is_head_request)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	else
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, dispatch->method);
}

/* Schedules the report of a dispatch that was not sent. */
static void queue_unsent(dws_http_client_t *client, uint64_t attempt_id)
{
	uint64_t *id = g_new(uint64_t, 1);

	*id = attempt_id;
	g_ptr_array_add(client->unsent, id);
	ev_timer_start(client->ev, &client->unsent_timer);
}

static void on_unsent_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
	static const dws_dispatch_outcome_t not_sent = {
		.result = DWS_DISPATCH_NOT_SENT,
	};
	dws_http_client_t *client = watcher->data;

	for (guint left = client->unsent->len; left > 0 && client->unsent->len;
	     left--) {
		uint64_t *id = g_ptr_array_steal_index(client->unsent, 0);

		client->ops->dispatch_finished(client->context, *id, &not_sent);
		g_free(id);
	}
}

/* Sends a request to the upstream, at the latest at its deadline. */
void dws_http_client_dispatch(dws_http_client_t *client, int64_t now_us,
			      const dws_dispatch_t *dispatch)
{
	int64_t remaining_ms = (dispatch->deadline_us - now_us) / DWS_US_PER_MS;

	if (client->upstream.port == 0 || remaining_ms <= 0) {
		queue_unsent(client, dispatch->attempt_id);
		return;
	}
	transfer_t *transfer = new_transfer(client);
	bool is_routed = dispatch->is_routed && client->http_names;

	transfer->attempt_id = dispatch->attempt_id;
	dws_http_answer_init(
		&transfer->answer, client->answer_max_bytes, client->memory,
		is_routed ? client->http_names : NULL, dispatch->attempt_key);
	g_hash_table_insert(client->dispatches, &transfer->attempt_id,
			    transfer);
	transfer->headers =
		is_routed ? dws_http_headers_routed(client->http_names,
						    dispatch, remaining_ms)
			  : dws_http_headers_call(dispatch, remaining_ms);
	set_transfer_options(transfer, &client->upstream, dispatch->path,
			     dispatch->idempotent
				     ? remaining_ms
				     : remaining_ms + LATE_ANSWER_MS);
	set_method_and_body(transfer, dispatch);
	/* Limits the connect as well: nothing is sent after the deadline. */
	curl_easy_setopt(transfer->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)MIN(CONNECT_TIMEOUT_MS, remaining_ms));
	if (!dispatch->idempotent) {
		curl_easy_setopt(transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(transfer->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	curl_multi_add_handle(client->multi, transfer->easy);
}

/*
 * Aborts a dispatch. This closes its connection, by which the upstream learns
 * of the cancellation.
 */
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

/* Sends a GET for a target to the platform. */
void dws_http_client_get_platform(dws_http_client_t *client, const char *target,
				  int64_t timeout_ms, dws_http_get_done_t done,
				  void *context, uint32_t tag)
{
	transfer_t *transfer = new_transfer(client);

	transfer->done = done;
	transfer->done_context = context;
	transfer->tag = tag;
	dws_http_answer_init(&transfer->answer, PLATFORM_ANSWER_MAX_BYTES,
			     client->memory, NULL, NULL);
	transfer->answer.has_precedence = true;
	set_transfer_options(transfer, &client->platform, target, timeout_ms);
	curl_multi_add_handle(client->multi, transfer->easy);
}

/* Completes a read from the platform; the tag is the item. */
static void on_platform_item(void *context, uint32_t tag,
			     const dws_http_get_answer_t *answer)
{
	dws_http_client_t *client = context;
	bool has_content = answer->status == STATUS_OK;

	client->ops->platform_read_finished(
		client->context, (dws_platform_item_t)tag,
		has_content || answer->status == STATUS_NO_CONTENT,
		has_content ? answer->text : NULL,
		has_content ? answer->size_bytes : 0);
}

/* Reads from the platform what is newer than the revision after. */
void dws_http_client_read_platform(dws_http_client_t *client,
				   dws_platform_item_t item, uint64_t after,
				   int64_t wait_ms)
{
	char target[URL_SIZE];

	g_snprintf(target, sizeof(target),
		   "%s?after=%" G_GUINT64_FORMAT "&wait_ms=%" G_GINT64_FORMAT,
		   platform_paths[item], after, wait_ms);
	dws_http_client_get_platform(client, target,
				     wait_ms + PLATFORM_TIMEOUT_MARGIN_MS,
				     on_platform_item, client, item);
}

/*
 * True if a failed transfer certainly sent nothing: the connection could not
 * be established, or the timeout expired before the first byte of the request.
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

/* Fills in the outcome of a whole answer, with a reference to its body. */
static void describe_answer(transfer_t *transfer,
			    dws_dispatch_outcome_t *outcome)
{
	dws_http_answer_t *answer = &transfer->answer;
	bool is_routed = answer->http_names != NULL;
	char *type = NULL;
	long status = 0;

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(transfer->easy, CURLINFO_CONTENT_TYPE, &type);
	outcome->result = DWS_DISPATCH_ANSWERED;
	outcome->status = (uint16_t)status;
	outcome->content_type = type;
	if (answer->headers)
		outcome->headers = answer->headers->str;
	outcome->body = dws_http_answer_take_body(answer);
	outcome->not_run = answer->has_not_run_header &&
			   (is_routed || status == STATUS_UNAVAILABLE);
	outcome->misdirected = is_routed && status == STATUS_MISDIRECTED;
}

static void report_dispatch(transfer_t *transfer, CURLcode code)
{
	dws_http_client_t *client = transfer->client;
	dws_dispatch_outcome_t outcome = {0};

	outcome.loss = dws_http_answer_loss(&transfer->answer, code,
					    transfer->send_count);
	if (is_unsent(transfer, code)) {
		outcome.result = DWS_DISPATCH_NOT_SENT;
		outcome.loss = DWS_LOSS_NONE;
	} else if (outcome.loss != DWS_LOSS_NONE) {
		outcome.result = DWS_DISPATCH_LOST;
	} else {
		describe_answer(transfer, &outcome);
	}
	client->ops->dispatch_finished(client->context, transfer->attempt_id,
				       &outcome);
	if (outcome.body)
		g_bytes_unref(outcome.body);
}

static void report_get(transfer_t *transfer, CURLcode code)
{
	dws_http_answer_t *answer = &transfer->answer;
	dws_http_get_answer_t result = {.easy = transfer->easy};

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE,
			  &result.status);
	if (answer->abort_cause == DWS_LOSS_TOO_LARGE)
		result.status = DWS_HTTP_ANSWER_TOO_LARGE;
	else if (code != CURLE_OK ||
		 !dws_http_answer_is_delimited(answer, result.status))
		result.status = 0;
	g_byte_array_append(answer->body, (const guint8 *)"", 1);
	dws_memory_add(transfer->client->memory, 1);
	result.text = (const char *)answer->body->data;
	result.size_bytes = answer->body->len - 1;
	transfer->done(transfer->done_context, transfer->tag, &result);
}

const char *dws_http_get_answer_header(const dws_http_get_answer_t *answer,
				       const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(answer->easy, name, 0, CURLH_HEADER, -1,
			     &header) != CURLHE_OK ||
	    header->amount > 1)
		return NULL;
	return header->value;
}

/* Starts a transfer again that has sent nothing, on a new connection. */
static void restart_transfer(transfer_t *transfer)
{
	CURLM *multi = transfer->client->multi;

	transfer->is_unusable = false;
	curl_multi_remove_handle(multi, transfer->easy);
	curl_easy_setopt(transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_multi_add_handle(multi, transfer->easy);
}

/*
 * Reports a completed transfer. It is removed from the dispatches first, so
 * that the owner may start another one from within the callback, and a cancel
 * of this one has no effect.
 */
static void finish_transfer(transfer_t *transfer, CURLcode code)
{
	if (transfer->is_unusable && transfer->send_count == 0) {
		restart_transfer(transfer);
		return;
	}
	if (transfer->done) {
		report_get(transfer, code);
	} else {
		g_hash_table_remove(transfer->client->dispatches,
				    &transfer->attempt_id);
		report_dispatch(transfer, code);
	}
	free_transfer(transfer);
}

/* Reports all transfers that have completed. */
static void finish_completed(void *context)
{
	dws_http_client_t *client = context;
	CURLMsg *message;
	int left = 0;

	while ((message = curl_multi_info_read(client->multi, &left))) {
		CURLcode code = message->data.result;
		char *transfer = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  &transfer);
		finish_transfer((transfer_t *)(void *)transfer, code);
	}
}

static void on_surplus(void *context, const char *peer)
{
	const dws_http_client_t *client = context;

	client->ops->surplus_closed(client->context, peer);
}

static const dws_curl_loop_ops_t curl_loop_ops = {
	.advanced = finish_completed,
	.surplus = on_surplus,
};

/* Idle connections that are kept. */
static long idle_connections_max(void)
{
	dws_descriptors_t descriptors;

	dws_descriptors_init(&descriptors);
	return MIN(IDLE_CONNECTIONS_MAX,
		   (long)descriptors.max / IDLE_DESCRIPTORS_DIVISOR);
}

/* Initializes a client; addresses and size limits come from the settings. */
bool dws_http_client_init(dws_http_client_t *client,
			  const dws_http_client_ops_t *ops, void *context,
			  struct ev_loop *ev, dws_memory_t *memory,
			  const dws_settings_t *settings,
			  const dws_http_names_t *http_names, GError **error)
{
	memset(client, 0, sizeof(*client));
	client->ops = ops;
	client->context = context;
	client->ev = ev;
	client->upstream = settings->upstream;
	client->platform = settings->platform;
	client->http_names = http_names;
	client->answer_max_bytes = settings->max_body_bytes;
	client->memory = memory;
	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK ||
	    !(client->multi = curl_multi_init())) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_SYSTEM,
			    "HTTP client: libcurl could not be started; check "
			    "the installed library and the free memory");
		return false;
	}
	client->dispatches = g_hash_table_new(g_int64_hash, g_int64_equal);
	client->unsent = g_ptr_array_new();
	client->transfers = g_ptr_array_new();
	ev_timer_init(&client->unsent_timer, on_unsent_timer, 0, 0);
	client->unsent_timer.data = client;
	dws_curl_loop_init(&client->curl_loop, &curl_loop_ops, client, ev,
			   client->multi);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  idle_connections_max());
	return true;
}

/* Aborts all transfers and closes all connections. */
void dws_http_client_finish(dws_http_client_t *client)
{
	for (guint left = client->transfers->len; left > 0; left--)
		free_transfer(g_ptr_array_index(client->transfers, left - 1));
	curl_multi_cleanup(client->multi);
	dws_curl_loop_finish(&client->curl_loop);
	ev_timer_stop(client->ev, &client->unsent_timer);
	g_ptr_array_foreach(client->unsent, (GFunc)(void (*)(void))g_free,
			    NULL);
	g_ptr_array_free(client->unsent, TRUE);
	g_ptr_array_free(client->transfers, TRUE);
	g_hash_table_destroy(client->dispatches);
	curl_global_cleanup();
}
