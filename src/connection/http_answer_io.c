/*
 * Answers of HTTP transfers.
 */
#include <string.h>
#include "connection/http_answer_io.h"

/*
 * Bound on the header lines of one transfer, with those of interim answers and
 * trailers, which may come in any number.
 */
#define HEAD_MAX_BYTES ((size_t)128 * 1024)
/*
 * Bound on the framing of a chunked body: its chunk sizes, with extensions that
 * may have any length. Small chunks may take as much again as their data.
 */
#define FRAMING_MAX_BYTES ((size_t)128 * 1024)
#define STATUS_FIRST_FINAL 200
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define STATUS_TIMEOUT 408
#define STATUS_MISDIRECTED 421
#define STATUS_TOO_MANY 429
#define STATUS_UNAVAILABLE 503

void dws_http_answer_init(dws_http_answer_t *answer, size_t body_max_bytes,
			  dws_memory_t *memory,
			  const dws_http_names_t *http_names,
			  const char *attempt_key)
{
	memset(answer, 0, sizeof(*answer));
	dws_http_head_init(&answer->head);
	answer->http_names = http_names;
	answer->memory = memory;
	answer->body_max_bytes = body_max_bytes;
	answer->attempt_key = g_strdup(attempt_key ? attempt_key : "");
	answer->body = g_byte_array_new();
	if (http_names)
		answer->headers = g_string_new(NULL);
}

void dws_http_answer_finish(dws_http_answer_t *answer)
{
	if (answer->body) {
		dws_memory_remove(answer->memory, answer->body->len);
		g_byte_array_free(answer->body, TRUE);
	}
	g_free(answer->attempt_key);
	if (answer->headers)
		g_string_free(answer->headers, TRUE);
}

GBytes *dws_http_answer_take_body(dws_http_answer_t *answer)
{
	GByteArray *body = answer->body;

	answer->body = NULL;
	return dws_memory_take(answer->memory, body);
}

/* Why the body may not grow by some bytes, or NONE. */
static dws_loss_t refuse_growth(const dws_http_answer_t *answer,
				size_t size_bytes)
{
	size_t held_bytes = answer->body->len;

	if (held_bytes + size_bytes > answer->body_max_bytes)
		return DWS_LOSS_TOO_LARGE;
	if (!answer->has_precedence &&
	    !dws_memory_has_room(answer->memory, held_bytes, size_bytes))
		return DWS_LOSS_NO_MEMORY;
	return DWS_LOSS_NONE;
}

/* CURLOPT_WRITEFUNCTION: collects the body; aborts if it may not grow. */
static size_t on_body(char *data, size_t size, size_t count, void *user)
{
	dws_http_answer_t *answer = user;
	size_t size_bytes = size * count;

	answer->abort_cause = refuse_growth(answer, size_bytes);
	if (answer->abort_cause != DWS_LOSS_NONE)
		return 0;
	g_byte_array_append(answer->body, (const guint8 *)data,
			    (guint)size_bytes);
	dws_memory_add(answer->memory, size_bytes);
	return size_bytes;
}

/* True if the chunks received so far have too much framing for their data. */
static bool has_excessive_framing(const dws_http_answer_t *answer)
{
	uint64_t data_bytes = answer->body->len;
	uint64_t other_bytes = data_bytes + answer->trailer_bytes;

	return answer->chunked_bytes >
	       other_bytes + data_bytes + FRAMING_MAX_BYTES;
}

/* CURLOPT_DEBUGFUNCTION: counts the bytes of a chunked body as they come. */
static int on_received(CURL *easy, curl_infotype type, char *data, size_t size,
		       void *user)
{
	dws_http_answer_t *answer = user;

	if (type == CURLINFO_DATA_IN)
		answer->chunked_bytes += size;
	return 0;
}

/* CURLOPT_XFERINFOFUNCTION: aborts a chunked answer for its framing. */
static int on_progress(void *user, curl_off_t download_total,
		       curl_off_t downloaded, curl_off_t upload_total,
		       curl_off_t uploaded)
{
	dws_http_answer_t *answer = user;

	if (!has_excessive_framing(answer))
		return 0;
	answer->abort_cause = DWS_LOSS_TOO_LARGE;
	return 1;
}

/*
 * Has libcurl report the bytes of a chunked body before it decodes them, which it
 * does as debugging output.
 */
static void watch_framing(dws_http_answer_t *answer)
{
	curl_easy_setopt(answer->easy, CURLOPT_VERBOSE, 1L);
	curl_easy_setopt(answer->easy, CURLOPT_NOPROGRESS, 0L);
}

/* Reads the id that an answer repeats; false if it names another request. */
static bool read_attempt_key(dws_http_answer_t *answer, const char *line,
			     size_t size_bytes)
{
	const char *name = answer->http_names->attempt_key_header;

	if (!answer->attempt_key[0] ||
	    !dws_http_header_has_name(line, size_bytes, name))
		return true;
	answer->has_attempt_key =
		dws_http_header_is(line, size_bytes, name, answer->attempt_key);
	return answer->has_attempt_key;
}

/* Evaluates a header of a routed answer and keeps it to be forwarded. */
static void collect_routed_header(dws_http_answer_t *answer, const char *line,
				  size_t size_bytes)
{
	const dws_http_names_t *http_names = answer->http_names;
	const char *colon = memchr(line, ':', size_bytes);
	size_t length = colon ? (size_t)(colon - line) : 0;

	if (length == 0)
		return;
	if (dws_http_header_has_name(line, size_bytes,
				     http_names->not_run_header))
		answer->has_not_run_header = true;
	if (dws_http_header_has_name(line, size_bytes,
				     http_names->signature_header) &&
	    !dws_http_header_is(line, size_bytes, http_names->signature_header,
				""))
		answer->has_signature = true;
	if (!dws_http_names_is_per_hop(http_names, line, length))
		g_string_append_len(answer->headers, line, (gssize)size_bytes);
}

/* Discards the headers of the preceding interim answer. */
static void start_head(dws_http_answer_t *answer)
{
	answer->has_not_run_header = false;
	answer->has_attempt_key = false;
	answer->has_signature = false;
	if (answer->headers)
		g_string_set_size(answer->headers, 0);
}

/*
 * Evaluates a header line. Returns false if the answer is that of another
 * request: its own may still follow on the connection, which therefore must not
 * be used again.
 */
static bool add_header(dws_http_answer_t *answer, const char *line,
		       size_t size_bytes)
{
	if (answer->http_names) {
		if (!read_attempt_key(answer, line, size_bytes)) {
			answer->abort_cause = DWS_LOSS_OTHER_REQUEST;
			return false;
		}
		collect_routed_header(answer, line, size_bytes);
	}
	if (dws_http_header_is(line, size_bytes, "Dogwoodshift-Outcome",
			       "not-run"))
		answer->has_not_run_header = true;
	return true;
}

/* True if the upstream says that it has not run the request. */
static bool is_refusal(const dws_http_answer_t *answer)
{
	return answer->has_not_run_header ||
	       answer->head.status == STATUS_MISDIRECTED;
}

/* True if an answer has no body, whatever its head says of a length. */
static bool is_bodiless(const dws_http_answer_t *answer, long status)
{
	return answer->is_head_request || status == STATUS_NO_CONTENT ||
	       status == STATUS_NOT_MODIFIED;
}

/* True if a routed answer names its request; true if that has no id. */
static bool names_request(const dws_http_answer_t *answer)
{
	return answer->has_attempt_key || !answer->http_names ||
	       !answer->attempt_key[0];
}

static bool is_success(uint16_t status)
{
	return status / 100 == 2;
}

/*
 * True if a failure may be a late answer to an earlier request on its
 * connection: the id would tell. Refusals need not bear one.
 */
static bool may_be_late(const dws_http_answer_t *answer)
{
	return answer->is_on_kept_connection && !names_request(answer) &&
	       !is_success(answer->head.status) && !is_refusal(answer);
}

bool dws_http_answer_is_delimited(const dws_http_answer_t *answer, long status)
{
	if (answer->head.state != DWS_HEAD_WHOLE)
		return false;
	return is_bodiless(answer, status) || answer->head.is_chunked ||
	       answer->head.length_bytes != DWS_HTTP_NO_LENGTH;
}

/* Why the end of a final head shows that the answer is lost, or NONE. */
static dws_loss_t head_loss(const dws_http_answer_t *answer)
{
	const dws_http_head_t *head = &answer->head;

	if (may_be_late(answer))
		return DWS_LOSS_UNNAMED;
	if (answer->http_names && is_success(head->status) &&
	    !dws_http_answer_is_delimited(answer, head->status))
		return DWS_LOSS_UNFRAMED;
	if (head->length_bytes == DWS_HTTP_NO_LENGTH ||
	    is_bodiless(answer, head->status))
		return DWS_LOSS_NONE;
	return refuse_growth(answer, (size_t)head->length_bytes);
}

/* Evaluates the end of a final head; false if the answer is lost by it. */
static bool end_head(dws_http_answer_t *answer)
{
	if (answer->head.is_chunked)
		watch_framing(answer);
	if (!names_request(answer))
		curl_easy_setopt(answer->easy, CURLOPT_FORBID_REUSE, 1L);
	answer->abort_cause = head_loss(answer);
	return answer->abort_cause == DWS_LOSS_NONE;
}

/*
 * CURLOPT_HEADERFUNCTION: reads a line of a head or a trailer. A trailer is
 * ignored: whether a request has run is told by the head.
 *
 * The connection of a refusal is not used again. Refusals need not name their
 * request, so that a second copy of one could not be told from a refusal of the
 * next request, which runs. end_head() does the same for all that name none.
 */
static size_t on_header(char *data, size_t size, size_t count, void *user)
{
	dws_http_answer_t *answer = user;
	size_t size_bytes = size * count;

	answer->head_bytes += size_bytes;
	if (answer->head_bytes > HEAD_MAX_BYTES) {
		answer->abort_cause = DWS_LOSS_TOO_LARGE;
		return 0;
	}
	dws_head_line_t kind =
		dws_http_head_read(&answer->head, data, size_bytes);

	if (kind == DWS_HEAD_LINE_MALFORMED) {
		answer->abort_cause = DWS_LOSS_MALFORMED;
		return 0;
	}
	if (kind == DWS_HEAD_LINE_TRAILER)
		answer->trailer_bytes += size_bytes;
	if (kind == DWS_HEAD_LINE_STATUS)
		start_head(answer);
	if (kind == DWS_HEAD_LINE_END && is_refusal(answer))
		curl_easy_setopt(answer->easy, CURLOPT_FORBID_REUSE, 1L);
	if (kind == DWS_HEAD_LINE_END && answer->head.state == DWS_HEAD_WHOLE &&
	    !end_head(answer))
		return 0;
	if (kind == DWS_HEAD_LINE_HEADER &&
	    !add_header(answer, data, size_bytes))
		return 0;
	return size_bytes;
}

void dws_http_answer_attach(dws_http_answer_t *answer, CURL *easy)
{
	answer->easy = easy;
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, answer);
	curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, on_received);
	curl_easy_setopt(easy, CURLOPT_DEBUGDATA, answer);
	curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(easy, CURLOPT_XFERINFODATA, answer);
}

/* The loss of an answer whose transfer failed. */
static dws_loss_t transfer_loss(const dws_http_answer_t *answer, CURLcode code)
{
	if (answer->abort_cause != DWS_LOSS_NONE)
		return answer->abort_cause;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return DWS_LOSS_TIMEOUT;
	if (code == CURLE_PARTIAL_FILE)
		return DWS_LOSS_BODY_CUT;
	return DWS_LOSS_CONNECTION;
}

/* True for answers that tell the caller that its request did not run. */
static bool means_not_run(uint16_t status)
{
	return status == STATUS_TIMEOUT || status == STATUS_TOO_MANY ||
	       status == STATUS_UNAVAILABLE;
}

/* True if an answer names its request and bears the upstream's signature. */
static bool is_signed(const dws_http_answer_t *answer)
{
	return answer->has_signature && names_request(answer);
}

dws_loss_t dws_http_answer_loss(const dws_http_answer_t *answer, CURLcode code,
				uint32_t send_count)
{
	uint16_t status = answer->head.status;

	if (code != CURLE_OK)
		return transfer_loss(answer, code);
	if (status < STATUS_FIRST_FINAL)
		return DWS_LOSS_CONNECTION;
	/* libcurl takes the end of the connection for the end of the head. */
	if (answer->head.state != DWS_HEAD_WHOLE)
		return DWS_LOSS_HEAD_CUT;
	/* This may answer a resent copy, while the first copy has run. */
	if (send_count > 1 && is_refusal(answer))
		return DWS_LOSS_UNCERTAIN;
	if (!answer->http_names)
		return dws_http_answer_is_delimited(answer, status)
			       ? DWS_LOSS_NONE
			       : DWS_LOSS_UNFRAMED;
	if (means_not_run(status) && !answer->has_not_run_header)
		return DWS_LOSS_UNCERTAIN;
	if (is_success(status) && !is_signed(answer))
		return DWS_LOSS_UNSIGNED;
	return DWS_LOSS_NONE;
}
