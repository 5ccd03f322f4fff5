/*
 * Frames between daemons: an envelope contains one message and identifies the
 * sending process.
 */
#ifndef DWS_CONNECTION_ENVELOPE_H
#define DWS_CONNECTION_ENVELOPE_H

#include "connection/address.h"
#include "process/node_internal.h"

/*
 * Fills in the sender and sends an envelope whose message is already set. body
 * is the body of the request or the answer in it; NULL: none.
 */
void dws_envelope_send(dws_node_t *node, const dws_address_t *to,
		       uint64_t to_epoch, Dws__Envelope *envelope,
		       GBytes *body);
/*
 * Unpacks and validates a frame and fills in its sender. Returns NULL with
 * DWS_ERROR_FRAME if it is malformed; otherwise to be freed with
 * dws__envelope__free_unpacked(). *body is set to the body of the request or
 * the answer in it, a part of the frame to be unreferenced; that of the
 * envelope itself may be empty.
 */
Dws__Envelope *dws_envelope_parse(GBytes *frame, dws_origin_t *origin,
				  GBytes **body, GError **error);

/* Converts a context to its message; strings and trace id are not copied. */
void dws_context_to_wire(const dws_node_t *node, const dws_context_t *context,
			 Dws__Context *wire);
/*
 * Converts and validates a context from its message. waited_us is subtracted
 * from the remaining time. Returns false if it is malformed.
 */
bool dws_context_from_wire(const dws_node_t *node, const Dws__Context *wire,
			   int64_t waited_us, dws_context_t *context);

/* Converts a payload to its message; strings and body are not copied. */
void dws_payload_to_wire(const dws_payload_t *payload, Dws__Request *wire);
/*
 * Copies a payload from its message, but for the body, which it refers to;
 * false if it is malformed.
 */
bool dws_payload_from_wire(const Dws__Request *wire, GBytes *body,
			   dws_payload_t *payload);
/* Frees what a payload holds and clears it. */
void dws_payload_clear(dws_payload_t *payload);
/* Copies a payload; the body is shared by reference. */
void dws_payload_copy(dws_payload_t *to, const dws_payload_t *from);

#endif
