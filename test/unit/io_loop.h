/*
 * Helpers for tests of the transports: blocking loopback sockets on the test's
 * side, and an event loop that runs the code under test.
 */
#ifndef DWS_TEST_UNIT_IO_LOOP_H
#define DWS_TEST_UNIT_IO_LOOP_H

#include <errno.h>
#include <ev.h>
#include <string.h>
#include <unistd.h>
#include "connection/address_io.h"
#include "support/suite.h"

#define IO_TIMEOUT_S 30.0

static inline void io_on_timeout(struct ev_loop *ev, ev_timer *watcher,
				 int events)
{
	*(bool *)watcher->data = true;
}

/*
 * Runs the loop until *count reaches the target. Returns false if that takes
 * longer than IO_TIMEOUT_S.
 */
static inline bool io_run_until(struct ev_loop *ev, const uint64_t *count,
				uint64_t target)
{
	bool timed_out = false;
	ev_timer timer;

	ev_timer_init(&timer, io_on_timeout, IO_TIMEOUT_S, 0);
	timer.data = &timed_out;
	ev_timer_start(ev, &timer);
	while (!timed_out && *count < target)
		ev_run(ev, EVRUN_ONCE);
	ev_timer_stop(ev, &timer);
	return !timed_out;
}

/* Connects a blocking TCP socket. A failure aborts the test. */
static inline int io_connect(const dws_address_t *address)
{
	struct sockaddr_storage storage;
	socklen_t length = 0;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	CU_ASSERT_TRUE_FATAL(
		dws_address_to_sockaddr(address, &storage, &length));
	CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&storage, length),
			      0);
	return fd;
}

static inline void io_send(int fd, const void *data, size_t size_bytes)
{
	CU_ASSERT_EQUAL(send(fd, data, size_bytes, MSG_NOSIGNAL),
			(ssize_t)size_bytes);
}

static inline void io_send_text(int fd, const char *text)
{
	io_send(fd, text, strlen(text));
}

/*
 * Runs the loop and reads from a socket until the data contains the marker, or
 * until end of file if the marker is NULL. Returns all data as a string, which
 * the caller frees with g_free().
 */
static inline char *io_read_until(struct ev_loop *ev, int fd,
				  const char *marker)
{
	GString *text = g_string_new(NULL);
	int64_t end_us = g_get_monotonic_time() + (int64_t)(IO_TIMEOUT_S * 1e6);
	char chunk[4096];
	ssize_t received = -1;

	while (received != 0 && !(marker && strstr(text->str, marker))) {
		ev_run(ev, EVRUN_NOWAIT);
		received = recv(fd, chunk, sizeof(chunk), MSG_DONTWAIT);
		if (received > 0)
			g_string_append_len(text, chunk, received);
		if (received < 0 && errno != EAGAIN)
			break;
		if (g_get_monotonic_time() > end_us) {
			CU_FAIL("timed out waiting for data on the socket");
			break;
		}
	}
	return g_string_free(text, FALSE);
}

#endif
