/*
 * Replies between daemons: the outcome of an attempt or of a submitted request.
 * A reply is sent as the message Answer.
 */
#ifndef DWS_CONNECTION_REPLY_H
#define DWS_CONNECTION_REPLY_H

#include "connection/envelope.h"

/* Returns a reply without body and headers; freed with dws_reply_free(). */
dws_reply_t *dws_reply_new(uint64_t id, dws_outcome_t outcome,
			   dws_reason_t reason);
/* Frees a reply; NULL is ignored. */
void dws_reply_free(dws_reply_t *reply);
/* Sends a reply to the process that sent the request. */
void dws_reply_send(dws_node_t *node, const dws_origin_t *to,
		    const dws_reply_t *reply);
/*
 * Copies a reply from its message, but for the body, which it refers to; NULL
 * if it is malformed.
 */
dws_reply_t *dws_reply_from_wire(const Dws__Answer *wire, GBytes *body);

#endif
