/*
 * Framed streams between processes: those to peers, and the acknowledgements
 * that they await. Those from peers are in stream_inbound_io.c.
 *
 * Frames that are sent within one loop iteration are written together at its
 * end. Frames sent on a broken stream are discarded until ops->connection_lost
 * has been called for it, so that this one report covers all undelivered
 * frames.
 */
#include <errno.h>
#include <string.h>
#include <unistd.h>
#include "connection/output_io.h"
#include "connection/socket_io.h"
#include "connection/stream_internal_io.h"

#define CONNECT_TIMEOUT_S 0.4
#define REPORT_DELAY_S 0.001
/* Time for which sent data may remain unacknowledged by TCP. */
#define USER_TIMEOUT_MS 1500
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
/* Interval at which acknowledgements are sent and missing ones counted. */
#define ACK_INTERVAL_S 0.25
/*
 * A stream is broken after more intervals than this without progress in the
 * acknowledgements that it awaits.
 */
#define MISSED_ACK_INTERVALS_MAX 8
#define ACK_BYTES sizeof(uint64_t)
#define ACKS_PER_READ 16
/* Bytes of frames that the kernel buffers for a peer that reads slowly. */
#define UNSENT_MAX_BYTES (256 * 1024)
/* Least size of the send buffer of a peer, in frames of the maximum size. */
#define BUFFERED_FRAMES_MIN 4

typedef struct outbound {
	dws_address_t peer; /* the key in the table */
	dws_streams_t *streams;
	int fd;
	bool connected;
	bool is_broken;
	bool is_unflushed;
	ev_io readable;
	ev_io writable;
	ev_timer connect_timeout;
	dws_output_t out;
	uint64_t acked_bytes; /* written, and acknowledged by the peer */
	uint32_t missed_ack_intervals; /* since the last progress */
	uint8_t ack[ACK_BYTES]; /* partially received acknowledgement */
	size_t ack_fill_bytes; /* received bytes of it */
} outbound_t;

static gboolean address_equal(gconstpointer a, gconstpointer b)
{
	return dws_address_equal(a, b);
}

static guint address_hash(gconstpointer address)
{
	return dws_address_hash(address);
}

/* Sends small frames without delay and detects unreachable peers. */
void dws_stream_set_options(int fd)
{
	dws_socket_set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	dws_socket_set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
			      USER_TIMEOUT_MS);
	dws_socket_set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	dws_socket_set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	dws_socket_set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL,
			      KEEPALIVE_INTERVAL_S);
	dws_socket_set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}

static void close_outbound(outbound_t *stream)
{
	struct ev_loop *ev = stream->streams->ev;

	ev_io_stop(ev, &stream->readable);
	ev_io_stop(ev, &stream->writable);
	ev_timer_stop(ev, &stream->connect_timeout);
	if (stream->fd >= 0)
		close(stream->fd);
	stream->fd = -1;
}

static void free_outbound(gpointer data)
{
	outbound_t *stream = data;

	close_outbound(stream);
	dws_output_finish(&stream->out);
	g_free(stream);
}

/* Closes a stream and schedules the report to the owner. */
static void break_outbound(outbound_t *stream)
{
	if (stream->is_broken)
		return;
	stream->is_broken = true;
	close_outbound(stream);
	dws_output_finish(&stream->out);
	g_ptr_array_add(stream->streams->broken, stream);
	ev_timer_start(stream->streams->ev, &stream->streams->report);
}

/*
 * Reports all broken streams to the owner. Streams that break during the
 * callbacks are reported in the next loop iteration.
 */
static void on_report(struct ev_loop *ev, ev_timer *watcher, int events)
{
	dws_streams_t *streams = watcher->data;

	for (guint left = streams->broken->len; left > 0; left--) {
		outbound_t *stream =
			g_ptr_array_steal_index(streams->broken, 0);
		dws_address_t peer = stream->peer;
		bool unsent = !stream->connected;

		if (stream->is_unflushed)
			g_ptr_array_remove_fast(streams->unflushed, stream);
		g_hash_table_remove(streams->outbound, &peer);
		streams->ops->connection_lost(streams->context, &peer, unsent);
	}
}

/* Starts the timer that sends acknowledgements and counts missing ones. */
void dws_streams_start_ack_timer(dws_streams_t *streams)
{
	if (!ev_is_active(&streams->ack_timer))
		ev_timer_again(streams->ev, &streams->ack_timer);
}

/* Writes as much as the socket accepts; waits until it is writable for more. */
static void write_outbound(outbound_t *stream)
{
	struct ev_loop *ev = stream->streams->ev;
	uint64_t written_bytes = stream->out.written_bytes;
	dws_output_state_t state = dws_output_write(&stream->out, stream->fd);

	if (stream->out.written_bytes > written_bytes)
		dws_streams_start_ack_timer(stream->streams);
	if (state == DWS_OUTPUT_FAILED)
		break_outbound(stream);
	else if (state == DWS_OUTPUT_BLOCKED)
		ev_io_start(ev, &stream->writable);
	else
		ev_io_stop(ev, &stream->writable);
}

/* Completes the connect, or continues writing. */
static void on_writable(struct ev_loop *ev, ev_io *watcher, int events)
{
	outbound_t *stream = watcher->data;
	int socket_error = 0;
	socklen_t length = sizeof(socket_error);

	if (!stream->connected) {
		if (getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &socket_error,
			       &length) != 0 ||
		    socket_error != 0) {
			break_outbound(stream);
			return;
		}
		stream->connected = true;
		ev_timer_stop(ev, &stream->connect_timeout);
		ev_io_start(ev, &stream->readable);
	}
	write_outbound(stream);
}

/* Parses acknowledgements: each counts all bytes that the peer has read. */
static void parse_acks(outbound_t *stream, const uint8_t *data,
		       size_t size_bytes)
{
	uint64_t count;

	for (size_t i = 0; i < size_bytes; i++) {
		stream->ack[stream->ack_fill_bytes++] = data[i];
		if (stream->ack_fill_bytes < ACK_BYTES)
			continue;
		stream->ack_fill_bytes = 0;
		memcpy(&count, stream->ack, sizeof(count));
		count = GUINT64_FROM_BE(count);
		if (count <= stream->acked_bytes ||
		    count > stream->out.written_bytes)
			continue;
		stream->acked_bytes = count;
		stream->missed_ack_intervals = 0;
	}
}

/* Reads acknowledgements or end of file; the peer sends no frames here. */
static void on_outbound_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
	outbound_t *stream = watcher->data;
	uint8_t data[ACK_BYTES * ACKS_PER_READ];
	ssize_t got = recv(stream->fd, data, sizeof(data), MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0)
		break_outbound(stream);
	else
		parse_acks(stream, data, (size_t)got);
}

static void on_connect_timeout(struct ev_loop *ev, ev_timer *watcher,
			       int events)
{
	break_outbound(watcher->data);
}

/* Starts to connect; on failure the stream is broken. */
static void connect_outbound(outbound_t *stream)
{
	struct ev_loop *ev = stream->streams->ev;
	struct sockaddr_storage storage;
	socklen_t length = 0;

	if (dws_address_to_sockaddr(&stream->peer, &storage, &length))
		stream->fd =
			socket(storage.ss_family,
			       SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (stream->fd < 0) {
		break_outbound(stream);
		return;
	}
	dws_stream_set_options(stream->fd);
	dws_socket_limit_unsent(stream->fd, UNSENT_MAX_BYTES);
	if (connect(stream->fd, (struct sockaddr *)&storage, length) != 0 &&
	    errno != EINPROGRESS) {
		break_outbound(stream);
		return;
	}
	ev_io_set(&stream->writable, stream->fd, EV_WRITE);
	ev_io_set(&stream->readable, stream->fd, EV_READ);
	ev_io_start(ev, &stream->writable);
	ev_timer_start(ev, &stream->connect_timeout);
}

static outbound_t *open_outbound(dws_streams_t *streams,
				 const dws_address_t *peer)
{
	outbound_t *stream = g_new0(outbound_t, 1);

	stream->peer = *peer;
	stream->streams = streams;
	stream->fd = -1;
	dws_output_init(&stream->out, streams->memory);
	ev_io_init(&stream->writable, on_writable, -1, EV_WRITE);
	ev_io_init(&stream->readable, on_outbound_readable, -1, EV_READ);
	ev_timer_init(&stream->connect_timeout, on_connect_timeout,
		      CONNECT_TIMEOUT_S, 0);
	stream->writable.data = stream;
	stream->readable.data = stream;
	stream->connect_timeout.data = stream;
	g_hash_table_insert(streams->outbound, &stream->peer, stream);
	connect_outbound(stream);
	return stream;
}

/* Writes the streams to which frames were added since the last flush. */
static void on_flush(struct ev_loop *ev, ev_timer *watcher, int events)
{
	dws_streams_t *streams = watcher->data;

	for (guint i = 0; i < streams->unflushed->len; i++) {
		outbound_t *stream = g_ptr_array_index(streams->unflushed, i);

		stream->is_unflushed = false;
		if (stream->connected && !stream->is_broken)
			write_outbound(stream);
	}
	g_ptr_array_set_size(streams->unflushed, 0);
}

static size_t frame_size_bytes(const dws_frame_t *frame)
{
	size_t body_bytes = frame->body ? g_bytes_get_size(frame->body) : 0;

	return frame->head_bytes + body_bytes + frame->tail_bytes;
}

static void append_frame(outbound_t *stream, const dws_frame_t *frame)
{
	uint32_t length = htonl((uint32_t)frame_size_bytes(frame));

	dws_output_append(&stream->out, &length, sizeof(length));
	dws_output_append(&stream->out, frame->head, frame->head_bytes);
	if (frame->body)
		dws_output_append_bytes(&stream->out, frame->body);
	dws_output_append(&stream->out, frame->tail, frame->tail_bytes);
}

/*
 * Sends a frame. If the frame is too large, or the buffer of a slow peer is
 * full, the stream is broken, which is reported like any other loss.
 */
void dws_streams_send(dws_streams_t *streams, const dws_address_t *to,
		      const dws_frame_t *frame)
{
	size_t size_bytes = frame_size_bytes(frame);
	outbound_t *stream = g_hash_table_lookup(streams->outbound, to);

	if (!stream)
		stream = open_outbound(streams, to);
	if (stream->is_broken)
		return;
	if (size_bytes > streams->frame_max_bytes ||
	    stream->out.size_bytes + size_bytes > streams->buffer_max_bytes) {
		break_outbound(stream);
		return;
	}
	append_frame(stream, frame);
	dws_counters_add(streams->counters, DWS_COUNT_FRAMES_OUT, 1);
	dws_counters_add(streams->counters, DWS_COUNT_FRAME_BYTES_OUT,
			 size_bytes + DWS_FRAME_HEADER_BYTES);
	if (stream->is_unflushed)
		return;
	stream->is_unflushed = true;
	g_ptr_array_add(streams->unflushed, stream);
	ev_feed_event(streams->ev, &streams->flush, EV_CUSTOM);
}

/*
 * Breaks streams whose acknowledgements are missing: a connection can stop
 * delivering data while the peer's kernel, or a middlebox, still acknowledges
 * TCP segments.
 * Timer intervals are counted instead of elapsed time, so that a pause of this
 * process, in which it read no acknowledgements, does not count against the
 * peer. True if any stream awaits an acknowledgement.
 */
static bool check_missing_acks(dws_streams_t *streams)
{
	GHashTableIter iter;
	gpointer value;
	bool is_any_awaited = false;

	g_hash_table_iter_init(&iter, streams->outbound);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		outbound_t *stream = value;

		if (stream->is_broken ||
		    stream->acked_bytes == stream->out.written_bytes)
			continue;
		is_any_awaited = true;
		if (++stream->missed_ack_intervals > MISSED_ACK_INTERVALS_MAX)
			break_outbound(stream);
	}
	return is_any_awaited;
}

static void on_ack_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
	dws_streams_t *streams = watcher->data;

	dws_streams_send_acks(streams);
	if (!check_missing_acks(streams))
		ev_timer_stop(ev, watcher);
}

static void init_watchers(dws_streams_t *streams)
{
	ev_timer_init(&streams->flush, on_flush, 0, 0);
	ev_set_priority(&streams->flush, EV_MINPRI);
	ev_timer_init(&streams->report, on_report, REPORT_DELAY_S, 0);
	ev_timer_init(&streams->ack_timer, on_ack_timer, 0, ACK_INTERVAL_S);
	streams->ack_timer.data = streams;
	streams->flush.data = streams;
	streams->report.data = streams;
}

/*
 * Starts listening on an address. Frames larger than frame_max_bytes are
 * rejected by sender and receiver.
 */
bool dws_streams_init(dws_streams_t *streams, const dws_stream_ops_t *ops,
		      void *context, struct ev_loop *ev,
		      dws_counters_t *counters, dws_memory_t *memory,
		      const dws_address_t *listen, size_t frame_max_bytes,
		      GError **error)
{
	memset(streams, 0, sizeof(*streams));
	streams->address = *listen;
	streams->listen_fd =
		dws_address_open_socket(&streams->address, SOCK_STREAM, error);
	if (streams->listen_fd < 0)
		return false;
	streams->ops = ops;
	streams->context = context;
	streams->ev = ev;
	streams->counters = counters;
	streams->memory = memory;
	streams->frame_max_bytes = frame_max_bytes;
	/* What waits for a peer is in the account, which limits it first. */
	streams->buffer_max_bytes =
		MAX(frame_max_bytes * BUFFERED_FRAMES_MIN, memory->max_bytes);
	streams->outbound = g_hash_table_new_full(address_hash, address_equal,
						  NULL, free_outbound);
	streams->unflushed = g_ptr_array_new();
	streams->broken = g_ptr_array_new();
	init_watchers(streams);
	dws_streams_init_inbound(streams);
	return true;
}

/*
 * Writes pending frames and closes all streams. The kernel still sends what the
 * sockets have accepted.
 */
void dws_streams_finish(dws_streams_t *streams)
{
	on_flush(streams->ev, &streams->flush, 0);
	ev_clear_pending(streams->ev, &streams->flush);
	ev_timer_stop(streams->ev, &streams->report);
	ev_timer_stop(streams->ev, &streams->ack_timer);
	g_hash_table_destroy(streams->outbound);
	dws_streams_finish_inbound(streams);
	g_ptr_array_free(streams->unflushed, TRUE);
	g_ptr_array_free(streams->broken, TRUE);
}
