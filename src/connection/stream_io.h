/*
 * Streams of frames between processes, over TCP. A frame is a length of 4
 * bytes, the most significant first, and that many bytes. Each process opens
 * one stream to a peer that it has something to tell, and writes frames on it;
 * on streams that peers opened it writes receipts alone: counts of 8 bytes, the
 * most significant first, of the bytes that it has read there. A stream whose
 * receipts stay away is taken for dead.
 */
#ifndef DWS_CONNECTION_STREAM_IO_H
#define DWS_CONNECTION_STREAM_IO_H

#include <ev.h>
#include "connection/address_io.h"
#include "process/counters.h"

#define DWS_FRAME_HEADER_BYTES 4
/* Room in a frame for what is not the body of a request or document. */
#define DWS_FRAME_SLACK_BYTES (2200 * 1024)

/* What the owner of the streams is told; never from within a function. */
typedef struct dws_stream_ops {
	/* A whole frame; false if it is malformed. */
	bool (*frame)(void *context, const uint8_t *data, size_t size_bytes);
	/*
	 * What was sent to this peer may be lost; unsent says that it surely
	 * is, as there was no connection.
	 */
	void (*lost)(void *context, const dws_address_t *peer, bool unsent);
} dws_stream_ops_t;

typedef struct dws_streams {
	const dws_stream_ops_t *ops;
	void *context;
	struct ev_loop *ev;
	dws_counters_t *counters;
	size_t frame_max_bytes;
	size_t buffer_max_bytes; /* unsent, for each peer */
	uint32_t inbound_max;
	dws_address_t listen; /* with the real port */
	int listen_fd;
	ev_io accept_watcher;
	ev_timer accept_pause; /* after the system refused a connection */
	ev_timer flush; /* only fed; runs after all other events */
	ev_timer report; /* reports broken streams */
	ev_timer receipts; /* writes those that are due, and misses others */
	GHashTable *outbound; /* dws_address_t to outbound_t, owned */
	GHashTable *inbound; /* set of inbound_t, owned */
	GPtrArray *unflushed; /* outbound_t */
	GPtrArray *broken; /* outbound_t */
	GPtrArray *unreceipted; /* inbound_t that have read since the last */
	uint8_t *scratch;
} dws_streams_t;

/* Listens on an address; counters may be shared. */
bool dws_streams_init(dws_streams_t *streams, const dws_stream_ops_t *ops,
		      void *context, struct ev_loop *ev,
		      dws_counters_t *counters, const dws_address_t *listen,
		      size_t frame_max_bytes, GError **error);
/* Writes what can be written at once and closes all streams. */
void dws_streams_finish(dws_streams_t *streams);
/* Sends a frame to a peer, opening a stream if there is none. */
void dws_streams_send(dws_streams_t *streams, const dws_address_t *to,
		      const uint8_t *data, size_t size_bytes);

#endif
