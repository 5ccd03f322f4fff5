/*
 * Frames between daemons: an envelope names the sending process around one
 * message.
 */
#ifndef DWS_CONNECTION_ENVELOPE_H
#define DWS_CONNECTION_ENVELOPE_H

#include "connection/address.h"
#include "process/node_internal.h"

/* Wraps a message (its oneof case and member set) and sends it. */
void dws_envelope_send(dws_node_t *node, const dws_address_t *to,
		       uint64_t to_epoch, Dws__Envelope *envelope);
/* Unpacks and checks a frame; freed with dws__envelope__free_unpacked(). */
Dws__Envelope *dws_envelope_parse(const uint8_t *data, size_t size_bytes,
				  dws_origin_t *origin, GError **error);

/* Writes a context for the wire. Texts and the id point into the source. */
void dws_context_to_wire(const dws_node_t *node, const dws_context_t *context,
			 Dws__Context *wire);
/* Reads and checks a context; waited_us is taken off its remaining time. */
bool dws_context_from_wire(const dws_node_t *node, const Dws__Context *wire,
			   int64_t waited_us, dws_context_t *context);

void dws_payload_to_wire(const dws_payload_t *payload, Dws__Request *wire);
bool dws_payload_from_wire(const Dws__Request *wire, dws_payload_t *payload);
void dws_payload_finish(dws_payload_t *payload);
void dws_payload_copy(dws_payload_t *to, const dws_payload_t *from);

#endif
