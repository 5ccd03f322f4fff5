/*
 * Assembles frames from the bytes of a stream: a 4-byte length in network byte
 * order, followed by that many bytes. A frame for which the memory account has
 * no room is refused, and the rest of it discarded.
 */
#ifndef DWS_CONNECTION_FRAME_READER_H
#define DWS_CONNECTION_FRAME_READER_H

#include "process/memory.h"

#define DWS_FRAME_HEADER_BYTES 4

/* Callbacks of the owner, which must not free the reader. */
typedef struct dws_frame_reader_ops {
	/* Handles a frame; returns false if it is malformed. */
	bool (*frame_complete)(void *context, GBytes *frame);
	/* Handles the start of a frame that is refused. */
	void (*frame_refused)(void *context, const uint8_t *start,
			      size_t size_bytes);
} dws_frame_reader_ops_t;

typedef struct dws_frame_reader {
	const dws_frame_reader_ops_t *ops;
	void *context;
	dws_memory_t *memory;
	size_t frame_max_bytes;
	uint8_t header[DWS_FRAME_HEADER_BYTES];
	size_t header_fill_bytes; /* received bytes of the header */
	size_t length_bytes; /* of the frame, once the header is complete */
	/* Received part of the frame, in the account; NULL: none. */
	GByteArray *in;
	size_t discard_bytes; /* to come of a frame that was refused */
} dws_frame_reader_t;

void dws_frame_reader_init(dws_frame_reader_t *reader,
			   const dws_frame_reader_ops_t *ops, void *context,
			   dws_memory_t *memory, size_t frame_max_bytes);
/* Frees a frame that is not complete. */
void dws_frame_reader_finish(dws_frame_reader_t *reader);
/* True if no part of a frame has been received. */
bool dws_frame_reader_is_idle(const dws_frame_reader_t *reader);
/* Adds received bytes; false if a frame is malformed, empty or too large. */
bool dws_frame_reader_add(dws_frame_reader_t *reader, const uint8_t *data,
			  size_t size_bytes);

#endif
