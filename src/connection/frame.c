/*
 * Encoded frames. Only the fields on the way to a body are read here (see
 * wire.proto); protobuf-c unpacks and validates all others.
 */
#include "connection/frame.h"
#include <string.h>

/* A body of this size or more is referred to instead of copied. */
#define SHARED_BODY_MIN_BYTES (16 * 1024)
#define WIRE_TYPE_BITS 3
#define VARINT_BITS 7
#define VARINT_MAX_BYTES 10
/* protobuf-c reads the length of a field from up to this many bytes. */
#define LENGTH_MAX_BYTES 5
#define NESTING_MAX 3

#define FIELD_FROM_VM 1
#define FIELD_FROM_EPOCH 2
#define FIELD_FROM_IP 3
#define FIELD_FROM_PORT 4
/* Of Execute, Submit and Answer. */
#define FIELD_ID 1
/* Of Execute and Submit. */
#define FIELD_REQUEST 3
#define FIELD_REQUEST_BODY 4
#define FIELD_ANSWER_BODY 7

typedef enum wire_type {
	WIRE_VARINT = 0,
	WIRE_FIXED64 = 1,
	WIRE_BYTES = 2,
	WIRE_FIXED32 = 5,
} wire_type_t;

/* A range of an encoded message. */
typedef struct reader {
	const uint8_t *data;
	size_t at;
	size_t end;
} reader_t;

typedef struct field {
	uint32_t number;
	uint32_t type; /* wire_type_t, or invalid */
	uint64_t value; /* of a number; the length of bytes */
	size_t length_at; /* offset of the length of bytes */
	size_t offset; /* of the bytes */
} field_t;

/* The length prefixes of the fields that a body lies in, outermost first. */
typedef struct nesting {
	field_t levels[NESTING_MAX];
	uint32_t count;
} nesting_t;

/* Reads a varint; false at the end of the range. */
static bool read_varint(reader_t *reader, uint64_t *value)
{
	*value = 0;
	for (uint32_t i = 0; i < VARINT_MAX_BYTES; i++) {
		if (reader->at == reader->end)
			return false;
		uint8_t byte = reader->data[reader->at++];

		*value |= (uint64_t)(byte & 0x7f) << (VARINT_BITS * i);
		if (byte < 0x80)
			return true;
	}
	return false;
}

/* Reads a number in little-endian order; false at the end of the range. */
static bool read_fixed(reader_t *reader, size_t size_bytes, uint64_t *value)
{
	uint64_t little_endian = 0;

	if (reader->end - reader->at < size_bytes)
		return false;
	memcpy(&little_endian, reader->data + reader->at, size_bytes);
	*value = GUINT64_FROM_LE(little_endian);
	reader->at += size_bytes;
	return true;
}

/*
 * Reads the next field. Bytes may go beyond the range if that is the start of a
 * frame. False at the end, and if what follows is malformed.
 */
static bool read_field(reader_t *reader, field_t *field)
{
	uint64_t tag;

	if (!read_varint(reader, &tag))
		return false;
	field->number = (uint32_t)(tag >> WIRE_TYPE_BITS);
	field->type = tag & ((1 << WIRE_TYPE_BITS) - 1);
	switch (field->type) {
	case WIRE_VARINT:
		return read_varint(reader, &field->value);
	case WIRE_FIXED64:
		return read_fixed(reader, sizeof(uint64_t), &field->value);
	case WIRE_FIXED32:
		return read_fixed(reader, sizeof(uint32_t), &field->value);
	case WIRE_BYTES:
		field->length_at = reader->at;
		if (!read_varint(reader, &field->value))
			return false;
		field->offset = reader->at;
		reader->at += MIN(field->value, reader->end - reader->at);
		return true;
	default:
		return false;
	}
}

/* True if all bytes of a field lie in the range. */
static bool is_whole(const reader_t *reader, const field_t *field)
{
	return field->type == WIRE_BYTES &&
	       field->value <= reader->end - field->offset;
}

/* Finds the last field of a number that is whole; false if there is none. */
static bool find_bytes(const reader_t *range, uint32_t number, field_t *found)
{
	reader_t reader = *range;
	field_t field;
	bool is_found = false;

	while (read_field(&reader, &field)) {
		if (field.number != number || !is_whole(range, &field))
			continue;
		*found = field;
		is_found = true;
	}
	return is_found;
}

/* Descends into a field; false if the range has none of that number. */
static bool enter(reader_t *range, uint32_t number, nesting_t *nesting)
{
	field_t *field = &nesting->levels[nesting->count];

	if (!find_bytes(range, number, field))
		return false;
	range->at = field->offset;
	range->end = field->offset + field->value;
	nesting->count++;
	return true;
}

/* Finds the fields that lead to a body, the body last; false if none do. */
static bool find_nesting(const uint8_t *data, size_t size_bytes,
			 nesting_t *nesting)
{
	static const uint32_t requests[] = {DWS__ENVELOPE__BODY_EXECUTE,
					    DWS__ENVELOPE__BODY_SUBMIT};
	reader_t envelope = {.data = data, .end = size_bytes};

	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		reader_t range = envelope;

		nesting->count = 0;
		if (enter(&range, requests[i], nesting) &&
		    enter(&range, FIELD_REQUEST, nesting) &&
		    enter(&range, FIELD_REQUEST_BODY, nesting))
			return true;
	}
	nesting->count = 0;
	return enter(&envelope, DWS__ENVELOPE__BODY_ANSWER, nesting) &&
	       enter(&envelope, FIELD_ANSWER_BODY, nesting);
}

dws_frame_body_t dws_frame_find_body(const uint8_t *data, size_t size_bytes)
{
	dws_frame_body_t body = {0};
	nesting_t nesting;

	if (!find_nesting(data, size_bytes, &nesting))
		return body;
	const field_t *field = &nesting.levels[nesting.count - 1];

	body.offset = field->offset;
	body.size_bytes = field->value;
	return body;
}

/* Overwrites the length of a field, in as many bytes as it had. */
static void write_length(uint8_t *data, const field_t *field, uint64_t length)
{
	size_t last = field->offset - 1;

	for (size_t at = field->length_at; at <= last; at++) {
		data[at] = (uint8_t)((length & 0x7f) | (at < last ? 0x80 : 0));
		length >>= VARINT_BITS;
	}
}

/* Returns a copy of a frame in which the body is empty; NULL if malformed. */
static uint8_t *copy_without_body(const uint8_t *data, size_t size_bytes,
				  const dws_frame_body_t *body)
{
	nesting_t nesting;

	if (!find_nesting(data, size_bytes, &nesting))
		return NULL;
	size_t rest_offset = body->offset + body->size_bytes;
	uint8_t *copy = g_malloc(size_bytes - body->size_bytes);

	memcpy(copy, data, body->offset);
	memcpy(copy + body->offset, data + rest_offset,
	       size_bytes - rest_offset);
	for (uint32_t i = 0; i < nesting.count; i++) {
		const field_t *field = &nesting.levels[i];

		if (field->offset - field->length_at > LENGTH_MAX_BYTES) {
			g_free(copy);
			return NULL;
		}
		write_length(copy, field, field->value - body->size_bytes);
	}
	return copy;
}

Dws__Envelope *dws_frame_unpack_around(const uint8_t *data, size_t size_bytes,
				       const dws_frame_body_t *body)
{
	size_t rest_bytes = size_bytes - body->size_bytes;

	if (rest_bytes > DWS_FRAME_OVERHEAD_MAX_BYTES)
		return NULL;
	uint8_t *copy = copy_without_body(data, size_bytes, body);
	Dws__Envelope *envelope =
		copy ? dws__envelope__unpack(NULL, rest_bytes, copy) : NULL;

	g_free(copy);
	return envelope;
}

Dws__Envelope *dws_frame_unpack(const uint8_t *data, size_t size_bytes,
				const dws_frame_body_t *body)
{
	if (body->size_bytes >= SHARED_BODY_MIN_BYTES)
		return dws_frame_unpack_around(data, size_bytes, body);
	if (size_bytes - body->size_bytes > DWS_FRAME_OVERHEAD_MAX_BYTES)
		return NULL;
	return dws__envelope__unpack(NULL, size_bytes, data);
}

/* Reads the id of a message, of which only the start may be there. */
static uint64_t read_id(const reader_t *frame, const field_t *message)
{
	reader_t reader = {
		.data = frame->data, .at = message->offset, .end = frame->end};
	field_t field;

	if (message->type == WIRE_BYTES && read_field(&reader, &field) &&
	    field.number == FIELD_ID && field.type == WIRE_VARINT)
		return field.value;
	return 0;
}

/* Takes over a field of the envelope. */
static void read_envelope_field(const reader_t *frame, const field_t *field,
				dws_frame_start_t *start)
{
	bool has_bytes = is_whole(frame, field);

	switch (field->number) {
	case FIELD_FROM_VM:
		start->from_vm = frame->data + field->offset;
		start->from_vm_length = has_bytes ? field->value : 0;
		return;
	case FIELD_FROM_IP:
		start->from_ip = frame->data + field->offset;
		start->from_ip_length = has_bytes ? field->value : 0;
		return;
	case FIELD_FROM_EPOCH:
		start->from_epoch = field->value;
		return;
	case FIELD_FROM_PORT:
		start->from_port = field->value;
		return;
	case DWS__ENVELOPE__BODY_EXECUTE:
	case DWS__ENVELOPE__BODY_SUBMIT:
	case DWS__ENVELOPE__BODY_ANSWER:
		start->message = (Dws__Envelope__BodyCase)field->number;
		start->id = read_id(frame, field);
		return;
	default:
		return;
	}
}

void dws_frame_read_start(const uint8_t *data, size_t size_bytes,
			  dws_frame_start_t *start)
{
	reader_t reader = {.data = data, .end = size_bytes};
	reader_t frame = reader;
	field_t field = {0};

	memset(start, 0, sizeof(*start));
	start->message = DWS__ENVELOPE__BODY__NOT_SET;
	while (read_field(&reader, &field))
		read_envelope_field(&frame, &field, start);
}

/* A buffer that leaves out one piece of data, and keeps what comes after it. */
typedef struct split_buffer {
	ProtobufCBuffer base; /* first: protobuf-c calls its append function */
	const uint8_t *left_out;
	size_t left_out_bytes;
	bool is_split;
	GByteArray *head;
	GByteArray *tail;
} split_buffer_t;

static void append_to_split(ProtobufCBuffer *base, size_t length,
			    const uint8_t *data)
{
	split_buffer_t *buffer = (split_buffer_t *)base;

	if (!buffer->is_split && data == buffer->left_out &&
	    length == buffer->left_out_bytes)
		buffer->is_split = true;
	else
		g_byte_array_append(buffer->is_split ? buffer->tail
						     : buffer->head,
				    data, (guint)length);
}

/* Packs an envelope around a body that is referred to. */
static void pack_around_body(dws_frame_t *frame, const Dws__Envelope *envelope,
			     GBytes *body)
{
	split_buffer_t buffer = {
		.base.append = append_to_split,
		.left_out = g_bytes_get_data(body, NULL),
		.left_out_bytes = g_bytes_get_size(body),
		.head = g_byte_array_new(),
		.tail = g_byte_array_new(),
	};

	dws__envelope__pack_to_buffer(envelope, &buffer.base);
	frame->head_bytes = buffer.head->len;
	frame->tail_bytes = buffer.tail->len;
	frame->head = g_byte_array_free(buffer.head, FALSE);
	frame->tail = g_byte_array_free(buffer.tail, FALSE);
	frame->body = buffer.is_split ? g_bytes_ref(body) : NULL;
}

void dws_frame_pack(dws_frame_t *frame, const Dws__Envelope *envelope,
		    GBytes *body)
{
	memset(frame, 0, sizeof(*frame));
	if (body && g_bytes_get_size(body) >= SHARED_BODY_MIN_BYTES) {
		pack_around_body(frame, envelope, body);
		return;
	}
	frame->head_bytes = dws__envelope__get_packed_size(envelope);
	frame->head = g_malloc(frame->head_bytes);
	dws__envelope__pack(envelope, frame->head);
}

void dws_frame_clear(dws_frame_t *frame)
{
	g_free(frame->head);
	g_free(frame->tail);
	if (frame->body)
		g_bytes_unref(frame->body);
	memset(frame, 0, sizeof(*frame));
}
