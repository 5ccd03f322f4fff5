/*
 * Replies: the fate of an attempt or of a submitted request.
 */
#ifndef DWS_CONNECTION_REPLY_H
#define DWS_CONNECTION_REPLY_H

#include "connection/envelope.h"

dws_reply_t *dws_reply_new(uint64_t id, dws_outcome_t outcome,
			   dws_reason_t reason);
void dws_reply_free(dws_reply_t *reply);
void dws_reply_send(dws_node_t *node, const dws_origin_t *to,
		    const dws_reply_t *reply);
/* Copies an answer of the wire; NULL if it is malformed. */
dws_reply_t *dws_reply_from_wire(const Dws__Answer *wire);

#endif
