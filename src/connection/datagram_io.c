/*
 * Datagrams between processes, over UDP.
 */
#include <string.h>
#include <unistd.h>
#include "connection/datagram_io.h"

#define DATAGRAM_MAX_BYTES 65536
/* Datagrams read per event, so that other events are served in between. */
#define READS_PER_EVENT 64

/* Reads the received datagrams, a bounded number at a time. */
static void on_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
	static const int flags = MSG_DONTWAIT | MSG_TRUNC;
	dws_datagrams_t *datagrams = watcher->data;
	uint8_t data[DATAGRAM_MAX_BYTES];

	for (int i = 0; i < READS_PER_EVENT; i++) {
		ssize_t got = recv(datagrams->fd, data, sizeof(data), flags);

		if (got < 0)
			return;
		dws_counters_add(datagrams->counters, DWS_COUNT_DATAGRAMS_IN,
				 1);
		dws_counters_add(datagrams->counters,
				 DWS_COUNT_DATAGRAM_BYTES_IN, (uint64_t)got);
		if ((size_t)got > sizeof(data) ||
		    !datagrams->ops->datagram_received(datagrams->context, data,
						       (size_t)got))
			dws_counters_add(datagrams->counters,
					 DWS_COUNT_BAD_MESSAGES, 1);
	}
}

/* Opens the socket and starts receiving. */
bool dws_datagrams_init(dws_datagrams_t *datagrams,
			const dws_datagram_ops_t *ops, void *context,
			struct ev_loop *ev, dws_counters_t *counters,
			const dws_address_t *listen, GError **error)
{
	memset(datagrams, 0, sizeof(*datagrams));
	datagrams->address = *listen;
	datagrams->fd =
		dws_address_open_socket(&datagrams->address, SOCK_DGRAM, error);
	if (datagrams->fd < 0)
		return false;
	datagrams->ops = ops;
	datagrams->context = context;
	datagrams->ev = ev;
	datagrams->counters = counters;
	ev_io_init(&datagrams->readable, on_readable, datagrams->fd, EV_READ);
	datagrams->readable.data = datagrams;
	ev_io_start(ev, &datagrams->readable);
	return true;
}

/* Closes the socket. */
void dws_datagrams_finish(dws_datagrams_t *datagrams)
{
	ev_io_stop(datagrams->ev, &datagrams->readable);
	close(datagrams->fd);
}

/* Sends a datagram; one that the kernel rejects is dropped without an error. */
void dws_datagrams_send(dws_datagrams_t *datagrams, const dws_address_t *to,
			const uint8_t *data, size_t size_bytes)
{
	struct sockaddr_storage storage;
	socklen_t length = 0;

	if (!dws_address_to_sockaddr(to, &storage, &length))
		return;
	if (sendto(datagrams->fd, data, size_bytes, MSG_DONTWAIT | MSG_NOSIGNAL,
		   (struct sockaddr *)&storage, length) < 0)
		return;
	dws_counters_add(datagrams->counters, DWS_COUNT_DATAGRAMS_OUT, 1);
	dws_counters_add(datagrams->counters, DWS_COUNT_DATAGRAM_BYTES_OUT,
			 size_bytes);
}
