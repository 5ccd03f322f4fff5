/*
 * What the streams to peers and those from peers share. Private to the files
 * stream_*io.c.
 */
#ifndef DWS_CONNECTION_STREAM_INTERNAL_IO_H
#define DWS_CONNECTION_STREAM_INTERNAL_IO_H

#include "connection/stream_io.h"

/* Sends small frames without delay and detects unreachable peers. */
void dws_stream_set_options(int fd);
/* Starts the timer that sends acknowledgements and counts missing ones. */
void dws_streams_start_ack_timer(dws_streams_t *streams);

/* Accepts streams on streams->listen_fd. */
void dws_streams_init_inbound(dws_streams_t *streams);
/* Closes the listening socket and all streams that were accepted. */
void dws_streams_finish_inbound(dws_streams_t *streams);
/* Sends the acknowledgements that are due. */
void dws_streams_send_acks(dws_streams_t *streams);

#endif
