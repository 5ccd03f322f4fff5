/*
 * Encoded frames: finds the body of a request or an answer, so that it needs no
 * copy, and identifies a frame of which only the start has been kept.
 */
#ifndef DWS_CONNECTION_FRAME_H
#define DWS_CONNECTION_FRAME_H

#include "connection/wire.pb-c.h"
#include "dogwoodshift.h"

/* Space in a frame for everything but the body of a request or an answer. */
#define DWS_FRAME_OVERHEAD_MAX_BYTES (2200 * 1024)

/* The body of the request or answer that a frame contains. */
typedef struct dws_frame_body {
	size_t offset; /* in the frame */
	size_t size_bytes; /* 0: no body, or an empty one */
} dws_frame_body_t;

/* What the start of a frame tells. */
typedef struct dws_frame_start {
	const uint8_t *from_vm; /* not NUL-terminated, like from_ip */
	size_t from_vm_length;
	const uint8_t *from_ip;
	size_t from_ip_length;
	uint64_t from_epoch;
	uint64_t from_port;
	Dws__Envelope__BodyCase message; /* NOT_SET if it isn't reached */
	uint64_t
		id; /* of an Execute, Submit or Answer; 0 if it isn't reached */
} dws_frame_start_t;

/*
 * Packs an envelope whose message contains a body. A large body is not copied:
 * the frame refers to it. Freed with dws_frame_clear().
 */
void dws_frame_pack(dws_frame_t *frame, const Dws__Envelope *envelope,
		    GBytes *body);
void dws_frame_clear(dws_frame_t *frame);
/* Finds the body in a frame; its size is 0 if there is none. */
dws_frame_body_t dws_frame_find_body(const uint8_t *data, size_t size_bytes);
/*
 * Unpacks a frame whose body dws_frame_find_body() has found. The body of the
 * message is left empty if it is large. NULL if the frame is malformed.
 */
Dws__Envelope *dws_frame_unpack(const uint8_t *data, size_t size_bytes,
				const dws_frame_body_t *body);
/* The same, but leaves a body of any size empty. */
Dws__Envelope *dws_frame_unpack_around(const uint8_t *data, size_t size_bytes,
				       const dws_frame_body_t *body);
/* Reads the start of a frame as far as it goes. */
void dws_frame_read_start(const uint8_t *data, size_t size_bytes,
			  dws_frame_start_t *start);

#endif
