/*
 * Streams from peers: accepting them, reading their frames within the limits,
 * and acknowledging what has been read.
 */
#include <errno.h>
#include <string.h>
#include <unistd.h>
#include "connection/socket_io.h"
#include "connection/stream_internal_io.h"

#define ACCEPT_PAUSE_S 0.1
#define SCRATCH_BYTES (64 * 1024)
/* Reads of one stream per event, so that others are served in between. */
#define READS_PER_EVENT 8
#define INBOUND_MAX 2048
/* Accepts per event, so that what has been accepted is read in between. */
#define ACCEPTS_PER_EVENT 16
/* Share of the descriptors for streams that have not delivered a valid frame. */
#define UNPROVEN_DIVISOR 8
/* Time for the first valid frame of a stream, and for the rest of any frame. */
#define FRAME_TIMEOUT_S 10.0
/*
 * Receive buffer of an accepted stream, and of one that has delivered a valid
 * frame. The kernel would otherwise buffer megabytes of each.
 */
#define RECEIVE_BUFFER_FIRST_BYTES (32 * 1024)
#define RECEIVE_BUFFER_PEER_BYTES (256 * 1024)

typedef struct inbound {
	dws_streams_t *streams;
	int fd;
	ev_io readable;
	dws_frame_reader_t reader;
	uint64_t read_bytes; /* since the stream was opened */
	bool is_ack_pending; /* in streams->ack_pending */
	bool is_peer; /* it has delivered a valid frame */
	GList *unproven; /* its item in streams->unproven; NULL if is_peer */
	ev_timer frame_timeout; /* while a frame is incomplete or none came */
} inbound_t;

static void free_inbound(gpointer data)
{
	inbound_t *stream = data;

	if (stream->is_ack_pending)
		g_ptr_array_remove_fast(stream->streams->ack_pending, stream);
	if (stream->unproven)
		g_queue_delete_link(&stream->streams->unproven,
				    stream->unproven);
	ev_io_stop(stream->streams->ev, &stream->readable);
	ev_timer_stop(stream->streams->ev, &stream->frame_timeout);
	close(stream->fd);
	dws_frame_reader_finish(&stream->reader);
	g_free(stream);
}

/* Records that a stream is one of a peer. */
static void set_peer(inbound_t *stream)
{
	if (stream->is_peer)
		return;
	stream->is_peer = true;
	g_queue_delete_link(&stream->streams->unproven, stream->unproven);
	stream->unproven = NULL;
	dws_socket_set_option(stream->fd, SOL_SOCKET, SO_RCVBUF,
			      RECEIVE_BUFFER_PEER_BYTES);
}

/* Counts a frame and passes it to the owner. */
static bool on_frame_complete(void *context, GBytes *frame)
{
	inbound_t *stream = context;
	dws_streams_t *streams = stream->streams;

	dws_counters_add(streams->counters, DWS_COUNT_FRAMES_IN, 1);
	dws_counters_add(streams->counters, DWS_COUNT_FRAME_BYTES_IN,
			 g_bytes_get_size(frame) + DWS_FRAME_HEADER_BYTES);
	if (!streams->ops->frame_received(streams->context, frame))
		return false;
	set_peer(stream);
	return true;
}

static void on_frame_refused(void *context, const uint8_t *start,
			     size_t size_bytes)
{
	dws_streams_t *streams = ((inbound_t *)context)->streams;

	dws_counters_add(streams->counters, DWS_COUNT_FRAMES_REFUSED, 1);
	streams->ops->frame_refused(streams->context, start, size_bytes);
}

static const dws_frame_reader_ops_t reader_ops = {
	.frame_complete = on_frame_complete,
	.frame_refused = on_frame_refused,
};

/* Counts received bytes and schedules their acknowledgement. */
static void schedule_ack(inbound_t *stream, size_t size_bytes)
{
	dws_streams_t *streams = stream->streams;

	stream->read_bytes += size_bytes;
	dws_streams_start_ack_timer(streams);
	if (stream->is_ack_pending)
		return;
	stream->is_ack_pending = true;
	g_ptr_array_add(streams->ack_pending, stream);
}

/*
 * Sends the count of bytes read. If the send buffer is full, because the peer
 * does not read, the acknowledgement is dropped and the peer breaks the stream.
 */
static void send_ack(inbound_t *stream)
{
	uint64_t count = GUINT64_TO_BE(stream->read_bytes);

	(void)!send(stream->fd, &count, sizeof(count),
		    MSG_NOSIGNAL | MSG_DONTWAIT);
	stream->is_ack_pending = false;
}

void dws_streams_send_acks(dws_streams_t *streams)
{
	for (guint i = 0; i < streams->ack_pending->len; i++)
		send_ack(streams->ack_pending->pdata[i]);
	g_ptr_array_set_size(streams->ack_pending, 0);
}

/*
 * Allows FRAME_TIMEOUT_S for further bytes of an incomplete frame. A stream
 * that has not delivered a valid frame has that time in all.
 */
static void update_frame_timeout(inbound_t *stream)
{
	struct ev_loop *ev = stream->streams->ev;

	if (!stream->is_peer)
		return;
	if (dws_frame_reader_is_idle(&stream->reader))
		ev_timer_stop(ev, &stream->frame_timeout);
	else
		ev_timer_again(ev, &stream->frame_timeout);
}

/* Reads one stream, a bounded number of times. */
static void on_inbound_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
	inbound_t *stream = watcher->data;
	dws_streams_t *streams = stream->streams;

	for (int i = 0; i < READS_PER_EVENT; i++) {
		ssize_t got = recv(stream->fd, streams->scratch, SCRATCH_BYTES,
				   MSG_DONTWAIT);

		if (got < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (got <= 0) {
			g_hash_table_remove(streams->inbound, stream);
			return;
		}
		schedule_ack(stream, (size_t)got);
		if (!dws_frame_reader_add(&stream->reader, streams->scratch,
					  (size_t)got)) {
			dws_counters_add(streams->counters,
					 DWS_COUNT_BAD_MESSAGES, 1);
			g_hash_table_remove(streams->inbound, stream);
			return;
		}
		update_frame_timeout(stream);
		if (got < SCRATCH_BYTES)
			return;
	}
}

static void on_frame_timeout(struct ev_loop *ev, ev_timer *watcher, int events)
{
	inbound_t *stream = watcher->data;
	dws_streams_t *streams = stream->streams;

	dws_counters_add(streams->counters, DWS_COUNT_STREAMS_TIMED_OUT, 1);
	g_hash_table_remove(streams->inbound, stream);
}

static void add_inbound(dws_streams_t *streams, int fd)
{
	inbound_t *stream = g_new0(inbound_t, 1);

	stream->streams = streams;
	stream->fd = fd;
	dws_frame_reader_init(&stream->reader, &reader_ops, stream,
			      streams->memory, streams->frame_max_bytes);
	dws_stream_set_options(fd);
	dws_socket_set_option(fd, SOL_SOCKET, SO_RCVBUF,
			      RECEIVE_BUFFER_FIRST_BYTES);
	ev_io_init(&stream->readable, on_inbound_readable, fd, EV_READ);
	ev_timer_init(&stream->frame_timeout, on_frame_timeout, 0,
		      FRAME_TIMEOUT_S);
	stream->readable.data = stream;
	stream->frame_timeout.data = stream;
	ev_io_start(streams->ev, &stream->readable);
	ev_timer_again(streams->ev, &stream->frame_timeout);
	g_hash_table_add(streams->inbound, stream);
	g_queue_push_tail(&streams->unproven, stream);
	stream->unproven = streams->unproven.tail;
}

/*
 * Registers an accepted stream. Above a limit, the oldest one that has not
 * delivered a valid frame is closed for it; if there is none, this one is.
 */
static void take_inbound(dws_streams_t *streams, int fd)
{
	bool is_full =
		g_hash_table_size(streams->inbound) >= streams->inbound_max;
	inbound_t *oldest = g_queue_peek_head(&streams->unproven);

	if (is_full || streams->unproven.length >= streams->unproven_max) {
		dws_counters_add(streams->counters,
				 DWS_COUNT_CONNECTIONS_EVICTED, 1);
		if (!oldest) {
			close(fd);
			return;
		}
		g_hash_table_remove(streams->inbound, oldest);
	}
	add_inbound(streams, fd);
}

/* Accepts pending connections, a bounded number of them. */
static void on_accept(struct ev_loop *ev, ev_io *watcher, int events)
{
	dws_streams_t *streams = watcher->data;

	for (int i = 0; i < ACCEPTS_PER_EVENT; i++) {
		int fd = accept4(streams->listen_fd, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0 && (errno == EMFILE || errno == ENFILE ||
			       errno == ENOBUFS || errno == ENOMEM)) {
			ev_io_stop(ev, &streams->accept_watcher);
			ev_timer_set(&streams->accept_pause, ACCEPT_PAUSE_S, 0);
			ev_timer_start(ev, &streams->accept_pause);
		}
		if (fd < 0)
			return;
		take_inbound(streams, fd);
	}
}

static void on_accept_pause(struct ev_loop *ev, ev_timer *watcher, int events)
{
	dws_streams_t *streams = watcher->data;

	ev_io_start(ev, &streams->accept_watcher);
}

void dws_streams_init_inbound(dws_streams_t *streams)
{
	dws_descriptors_t descriptors;

	dws_descriptors_init(&descriptors);
	streams->inbound_max = INBOUND_MAX;
	streams->unproven_max =
		MAX(descriptors.max / UNPROVEN_DIVISOR, ACCEPTS_PER_EVENT);
	g_queue_init(&streams->unproven);
	streams->inbound = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						 free_inbound, NULL);
	streams->ack_pending = g_ptr_array_new();
	streams->scratch = g_malloc(SCRATCH_BYTES);
	ev_io_init(&streams->accept_watcher, on_accept, streams->listen_fd,
		   EV_READ);
	ev_timer_init(&streams->accept_pause, on_accept_pause, ACCEPT_PAUSE_S,
		      0);
	streams->accept_watcher.data = streams;
	streams->accept_pause.data = streams;
	ev_io_start(streams->ev, &streams->accept_watcher);
}

void dws_streams_finish_inbound(dws_streams_t *streams)
{
	ev_io_stop(streams->ev, &streams->accept_watcher);
	ev_timer_stop(streams->ev, &streams->accept_pause);
	close(streams->listen_fd);
	g_hash_table_destroy(streams->inbound);
	g_ptr_array_free(streams->ack_pending, TRUE);
	g_free(streams->scratch);
}
