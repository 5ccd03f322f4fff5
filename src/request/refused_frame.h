/*
 * Frames from peers that were refused for lack of memory. Only their start is
 * known, which tells the message and its id.
 */
#ifndef DWS_REQUEST_REFUSED_FRAME_H
#define DWS_REQUEST_REFUSED_FRAME_H

#include "connection/frame.h"
#include "process/node_internal.h"

/*
 * Tells the sender of a request that it has not run, and the caller of a request
 * that its answer is lost. Other messages are sent again by their sender.
 */
void dws_request_on_refused_frame(dws_node_t *node,
				  const dws_frame_start_t *start);

#endif
