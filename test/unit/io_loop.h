/*
 * Loopback sockets and an event loop for tests of the transports.
 */
#ifndef DWS_TEST_UNIT_IO_LOOP_H
#define DWS_TEST_UNIT_IO_LOOP_H

#include <errno.h>
#include <ev.h>
#include <string.h>
#include <unistd.h>
#include "connection/address_io.h"
#include "support/suite.h"

#define IO_LIMIT_S 30.0

static inline void io_on_limit(struct ev_loop *ev, ev_timer *watcher,
			       int events)
{
	*(bool *)watcher->data = true;
}

/* Runs the loop until a count is reached; false if it never is. */
static inline bool io_wait(struct ev_loop *ev, const uint64_t *count,
			   uint64_t wanted)
{
	bool is_over = false;
	ev_timer limit;

	ev_timer_init(&limit, io_on_limit, IO_LIMIT_S, 0);
	limit.data = &is_over;
	ev_timer_start(ev, &limit);
	while (!is_over && *count < wanted)
		ev_run(ev, EVRUN_ONCE);
	ev_timer_stop(ev, &limit);
	return !is_over;
}

/* Connects a blocking socket. */
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
 * Runs the loop until a word, or NULL for the end, has come, and returns all
 * that came; g_free() it.
 */
static inline char *io_read(struct ev_loop *ev, int fd, const char *word)
{
	GString *text = g_string_new(NULL);
	int64_t end_us = g_get_monotonic_time() + (int64_t)(IO_LIMIT_S * 1e6);
	char part[4096];
	ssize_t got = -1;

	while (got != 0 && !(word && strstr(text->str, word))) {
		ev_run(ev, EVRUN_NOWAIT);
		got = recv(fd, part, sizeof(part), MSG_DONTWAIT);
		if (got > 0)
			g_string_append_len(text, part, got);
		if (got < 0 && errno != EAGAIN)
			break;
		if (g_get_monotonic_time() > end_us) {
			CU_FAIL("nothing came in time");
			break;
		}
	}
	return g_string_free(text, FALSE);
}

#endif
