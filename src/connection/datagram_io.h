/*
 * Datagrams between processes, over UDP.
 */
#ifndef DWS_CONNECTION_DATAGRAM_IO_H
#define DWS_CONNECTION_DATAGRAM_IO_H

#include <ev.h>
#include "connection/address_io.h"
#include "process/counters.h"

/* Callbacks of the owner, never invoked from within a function of this API. */
typedef struct dws_datagram_ops {
	/* Handles a datagram; returns false if it is malformed. */
	bool (*datagram_received)(void *context, const uint8_t *data,
				  size_t size_bytes);
} dws_datagram_ops_t;

typedef struct dws_datagrams {
	const dws_datagram_ops_t *ops;
	void *context;
	struct ev_loop *ev;
	dws_counters_t *counters;
	dws_address_t address; /* with the port actually bound */
	int fd;
	ev_io readable;
} dws_datagrams_t;

/* Opens a socket on an address and starts receiving. */
bool dws_datagrams_init(dws_datagrams_t *datagrams,
			const dws_datagram_ops_t *ops, void *context,
			struct ev_loop *ev, dws_counters_t *counters,
			const dws_address_t *listen, GError **error);
/* Closes the socket. */
void dws_datagrams_finish(dws_datagrams_t *datagrams);
/* Sends a datagram. Delivery is not guaranteed and errors are not reported. */
void dws_datagrams_send(dws_datagrams_t *datagrams, const dws_address_t *to,
			const uint8_t *data, size_t size_bytes);

#endif
