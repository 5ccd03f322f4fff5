/*
 * Loopback sockets and an event loop for tests of the transports.
 */
#ifndef DWS_TEST_UNIT_IO_LOOP_H
#define DWS_TEST_UNIT_IO_LOOP_H

#include <CUnit/Basic.h>
#include <errno.h>
#include <ev.h>
#include <string.h>
#include <unistd.h>
#include "connection/address_io.h"

#define IO_LIMIT_S 30.0

static inline void io_on_limit(struct ev_loop *ev, ev_timer *watcher,
			       int events)
{
	*(bool *)watcher->data = true;
}

/* Runs the loop until a state is reached; false if it never is. */
static inline bool io_run_until(struct ev_loop *ev, bool (*is_reached)(void *),
				void *state)
{
	bool is_over = false;
	ev_timer limit;
	ev_timer poll;

	ev_timer_init(&limit, io_on_limit, IO_LIMIT_S, 0);
	ev_timer_init(&poll, io_on_limit, 0.005, 0.005);
	limit.data = &is_over;
	poll.data = &(bool){false};
	ev_timer_start(ev, &limit);
	ev_timer_start(ev, &poll);
	while (!is_over && !is_reached(state))
		ev_run(ev, EVRUN_ONCE);
	ev_timer_stop(ev, &limit);
	ev_timer_stop(ev, &poll);
	return !is_over;
}

/* Connects a blocking socket. */
static inline int io_connect(const dws_address_t *address)
{
	struct sockaddr_storage storage;
	socklen_t length = 0;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	CU_ASSERT_TRUE_FATAL(dws_address_encode(address, &storage, &length));
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

/* Adds what has come to a text; true if it holds a word, or at the end. */
typedef struct io_expectation {
	int fd;
	const char *word; /* NULL: the end of the stream */
	GString *text;
	bool has_ended;
} io_expectation_t;

static inline bool io_has_come(void *data)
{
	io_expectation_t *expected = data;
	char part[4096];
	ssize_t got;

	while (!expected->has_ended) {
		got = recv(expected->fd, part, sizeof(part), MSG_DONTWAIT);
		if (got < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (got <= 0)
			expected->has_ended = true;
		else
			g_string_append_len(expected->text, part, got);
	}
	return expected->has_ended ||
	       (expected->word && strstr(expected->text->str, expected->word));
}

/* Runs the loop until a word, or NULL for the end, came; g_free() the text. */
static inline char *io_read(struct ev_loop *ev, int fd, const char *word)
{
	io_expectation_t expected = {fd, word, g_string_new(NULL), false};

	CU_ASSERT_TRUE(io_run_until(ev, io_has_come, &expected));
	return g_string_free(expected.text, FALSE);
}

#endif
