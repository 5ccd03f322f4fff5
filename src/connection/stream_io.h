/*
 * Framed streams between processes, over TCP. A frame is a 4-byte length in
 * network byte order, followed by that many bytes. A process opens one stream
 * to each peer that it sends to. Frames travel only from the opener to the
 * acceptor. The acceptor sends acknowledgements back: 8-byte counts, in network
 * byte order, of all bytes read from the stream so far. A stream without
 * acknowledgements for too long is considered lost.
 */
#ifndef DWS_CONNECTION_STREAM_IO_H
#define DWS_CONNECTION_STREAM_IO_H

#include <ev.h>
#include "connection/address_io.h"
#include "connection/frame.h"
#include "connection/frame_reader.h"
#include "process/counters.h"
#include "process/descriptors_io.h"
#include "process/memory.h"

/* Callbacks of the owner, never invoked from within a function of this API. */
typedef struct dws_stream_ops {
	/* Handles a complete frame; returns false if it is malformed. */
	bool (*frame_received)(void *context, GBytes *frame);
	/* Handles the start of a frame that is refused for lack of memory. */
	void (*frame_refused)(void *context, const uint8_t *start,
			      size_t size_bytes);
	/*
	 * Frames sent to this peer may be lost. If unsent is true, none was
	 * delivered, as no connection had been established.
	 */
	void (*connection_lost)(void *context, const dws_address_t *peer,
				bool unsent);
} dws_stream_ops_t;

typedef struct dws_streams {
	const dws_stream_ops_t *ops;
	void *context;
	struct ev_loop *ev;
	dws_counters_t *counters;
	dws_memory_t *memory;
	size_t frame_max_bytes;
	size_t buffer_max_bytes; /* unsent bytes per peer */
	uint32_t inbound_max; /* streams accepted at a time */
	uint32_t unproven_max; /* of them, without a valid frame so far */
	dws_address_t address; /* with the port actually bound */
	int listen_fd;
	ev_io accept_watcher;
	ev_timer accept_pause; /* runs after accept() lacked resources */
	ev_timer flush; /* by ev_feed_event(); runs after all other events */
	ev_timer report; /* reports broken streams */
	/* Sends acknowledgements and detects missing ones. */
	ev_timer ack_timer;
	GHashTable *outbound; /* dws_address_t to outbound_t, owned */
	GHashTable *inbound; /* set of inbound_t, owned */
	GQueue unproven; /* inbound_t without a valid frame, oldest first */
	GPtrArray *unflushed; /* outbound_t with frames not yet written */
	GPtrArray *broken; /* outbound_t to be reported and freed */
	GPtrArray *ack_pending; /* inbound_t read since their last ack */
	uint8_t *scratch; /* receive buffer */
} dws_streams_t;

/* Starts listening on an address; counters and account may be shared. */
bool dws_streams_init(dws_streams_t *streams, const dws_stream_ops_t *ops,
		      void *context, struct ev_loop *ev,
		      dws_counters_t *counters, dws_memory_t *memory,
		      const dws_address_t *listen, size_t frame_max_bytes,
		      GError **error);
/* Writes what the sockets accept at once and closes all streams. */
void dws_streams_finish(dws_streams_t *streams);
/*
 * Sends a frame to a peer, opening a stream if there is none. Refers to the
 * frame's body until it has been sent.
 */
void dws_streams_send(dws_streams_t *streams, const dws_address_t *to,
		      const dws_frame_t *frame);

#endif
