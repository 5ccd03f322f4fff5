/*
 * Assembles frames from the bytes of a stream. A frame that arrives in parts is
 * collected in an array, which becomes the frame without being copied.
 */
#include "connection/frame_reader.h"
#include <string.h>

/*
 * A frame of up to this size is always taken, and of a larger one its start, so
 * that the owner can tell what it refuses.
 */
#define TAKEN_BYTES 1024

void dws_frame_reader_init(dws_frame_reader_t *reader,
			   const dws_frame_reader_ops_t *ops, void *context,
			   dws_memory_t *memory, size_t frame_max_bytes)
{
	memset(reader, 0, sizeof(*reader));
	reader->ops = ops;
	reader->context = context;
	reader->memory = memory;
	reader->frame_max_bytes = frame_max_bytes;
}

/* Frees the received part of a frame. */
static void discard_part(dws_frame_reader_t *reader)
{
	if (!reader->in)
		return;
	dws_memory_remove(reader->memory, reader->in->len);
	g_byte_array_free(reader->in, TRUE);
	reader->in = NULL;
}

void dws_frame_reader_finish(dws_frame_reader_t *reader)
{
	discard_part(reader);
}

bool dws_frame_reader_is_idle(const dws_frame_reader_t *reader)
{
	return reader->header_fill_bytes == 0;
}

/* Reads bytes of the header; returns their number. */
static size_t read_header(dws_frame_reader_t *reader, const uint8_t *data,
			  size_t size_bytes)
{
	size_t taken_bytes = MIN(
		DWS_FRAME_HEADER_BYTES - reader->header_fill_bytes, size_bytes);
	uint32_t length;

	memcpy(reader->header + reader->header_fill_bytes, data, taken_bytes);
	reader->header_fill_bytes += taken_bytes;
	memcpy(&length, reader->header, sizeof(length));
	reader->length_bytes = GUINT32_FROM_BE(length);
	return taken_bytes;
}

/* Passes on a complete frame and expects the next one. */
static bool complete_frame(dws_frame_reader_t *reader, GBytes *frame)
{
	bool is_valid = reader->ops->frame_complete(reader->context, frame);

	g_bytes_unref(frame);
	reader->header_fill_bytes = 0;
	return is_valid;
}

/* True if more bytes of a frame may be taken. */
static bool has_room(const dws_frame_reader_t *reader, size_t more_bytes)
{
	size_t have_bytes = reader->in ? reader->in->len : 0;

	return have_bytes + more_bytes <= TAKEN_BYTES ||
	       dws_memory_has_room(reader->memory, have_bytes, more_bytes);
}

/*
 * Refuses the frame of which data are further bytes, and expects the rest of it
 * to be discarded.
 */
static void refuse_frame(dws_frame_reader_t *reader, const uint8_t *data,
			 size_t size_bytes)
{
	reader->discard_bytes = reader->length_bytes;
	if (reader->in) {
		reader->discard_bytes -= reader->in->len;
		data = reader->in->data;
		size_bytes = reader->in->len;
	}
	reader->ops->frame_refused(reader->context, data, size_bytes);
	discard_part(reader);
}

/* Discards bytes of a refused frame; returns their number. */
static size_t discard(dws_frame_reader_t *reader, size_t size_bytes)
{
	size_t taken_bytes = MIN(reader->discard_bytes, size_bytes);

	reader->discard_bytes -= taken_bytes;
	if (reader->discard_bytes == 0)
		reader->header_fill_bytes = 0;
	return taken_bytes;
}

/* Adds bytes to the received part of a frame. */
static void add_part(dws_frame_reader_t *reader, const uint8_t *data,
		     size_t size_bytes)
{
	if (!reader->in)
		reader->in = g_byte_array_new();
	g_byte_array_append(reader->in, data, (guint)size_bytes);
	dws_memory_add(reader->memory, size_bytes);
}

/*
 * Reads bytes of the frame and sets taken_bytes to their number; false if the
 * frame is malformed.
 */
static bool read_frame(dws_frame_reader_t *reader, const uint8_t *data,
		       size_t size_bytes, size_t *taken_bytes)
{
	size_t have_bytes = reader->in ? reader->in->len : 0;
	size_t missing_bytes = reader->length_bytes - have_bytes;

	*taken_bytes = MIN(missing_bytes, size_bytes);
	if (!has_room(reader, *taken_bytes)) {
		if (have_bytes < TAKEN_BYTES && reader->in) {
			*taken_bytes = TAKEN_BYTES - have_bytes;
			add_part(reader, data, *taken_bytes);
			return true;
		}
		refuse_frame(reader, data, *taken_bytes);
		*taken_bytes = 0;
		return true;
	}
	if (!reader->in && *taken_bytes == missing_bytes)
		return complete_frame(
			reader,
			dws_memory_copy(reader->memory, data, missing_bytes));
	add_part(reader, data, *taken_bytes);
	if (*taken_bytes < missing_bytes)
		return true;
	GByteArray *in = reader->in;

	reader->in = NULL;
	return complete_frame(reader, dws_memory_take(reader->memory, in));
}

static bool is_header_complete(const dws_frame_reader_t *reader)
{
	return reader->header_fill_bytes == DWS_FRAME_HEADER_BYTES;
}

bool dws_frame_reader_add(dws_frame_reader_t *reader, const uint8_t *data,
			  size_t size_bytes)
{
	while (size_bytes > 0) {
		size_t taken_bytes = 0;

		if (reader->discard_bytes > 0) {
			taken_bytes = discard(reader, size_bytes);
		} else if (is_header_complete(reader)) {
			if (!read_frame(reader, data, size_bytes, &taken_bytes))
				return false;
		} else {
			taken_bytes = read_header(reader, data, size_bytes);
			if (is_header_complete(reader) &&
			    (reader->length_bytes == 0 ||
			     reader->length_bytes > reader->frame_max_bytes))
				return false;
		}
		data += taken_bytes;
		size_bytes -= taken_bytes;
	}
	return true;
}
