/*
 * A relay for TCP and UDP links, so that a test can cut them. Datagrams of a
 * cut link are lost; streams stay open and pass nothing until it heals.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/program.h"

#define CHUNK_BYTES 65536
#define BACKLOG 64

typedef struct link {
	struct ev_loop *loop;
	struct sockaddr_in target;
	int type; /* SOCK_STREAM or SOCK_DGRAM */
	ev_io listening;
	bool cut;
	int64_t truncate_bytes; /* of answers, then it closes; -1: never */
	GPtrArray *pipes; /* pipe_t *, both directions of each connection */
} link_t;

/* One direction of a connection. */
typedef struct pipe {
	link_t *link;
	struct pipe *other;
	ev_io reading;
	bool is_answer;
	int64_t passed_bytes;
} pipe_t;

/* Closes both directions of a connection. */
static void close_both(pipe_t *pipe)
{
	pipe_t *both[] = {pipe, pipe->other};

	for (int i = 0; i < 2; i++) {
		ev_io_stop(both[i]->link->loop, &both[i]->reading);
		close(both[i]->reading.fd);
		g_ptr_array_remove_fast(both[i]->link->pipes, both[i]);
		g_free(both[i]);
	}
}

/* Passes on what arrived; a truncated answer ends short. */
static void on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	pipe_t *pipe = io->data;
	int64_t limit = pipe->link->truncate_bytes;
	char chunk[CHUNK_BYTES];
	ssize_t got = recv(io->fd, chunk, sizeof(chunk), MSG_DONTWAIT);
	bool last = got <= 0;

	if (pipe->is_answer && limit >= 0 && pipe->passed_bytes + got > limit) {
		got = (ssize_t)MAX(limit - pipe->passed_bytes, 0);
		last = true;
	}
	if (got > 0 &&
	    send(pipe->other->reading.fd, chunk, (size_t)got, MSG_NOSIGNAL) < 0)
		last = true;
	pipe->passed_bytes += got;
	if (last)
		close_both(pipe);
}

static pipe_t *add_pipe(link_t *link, int fd)
{
	pipe_t *pipe = g_new0(pipe_t, 1);

	pipe->link = link;
	ev_io_init(&pipe->reading, on_readable, fd, EV_READ);
	pipe->reading.data = pipe;
	if (!link->cut)
		ev_io_start(link->loop, &pipe->reading);
	g_ptr_array_add(link->pipes, pipe);
	return pipe;
}

/* Connects a new connection with the target. */
static void on_accept(struct ev_loop *loop, ev_io *io, int events)
{
	link_t *link = io->data;
	int near = accept4(io->fd, NULL, NULL, SOCK_CLOEXEC);
	int far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (near < 0 || far < 0 ||
	    connect(far, (struct sockaddr *)&link->target,
		    sizeof(link->target)) != 0) {
		close(near);
		close(far);
		return;
	}
	pipe_t *question = add_pipe(link, near);
	pipe_t *answer = add_pipe(link, far);

	question->other = answer;
	answer->other = question;
	answer->is_answer = true;
}

/* Passes on one datagram, from this relay's own port. */
static void on_datagram(struct ev_loop *loop, ev_io *io, int events)
{
	link_t *link = io->data;
	char chunk[CHUNK_BYTES];
	ssize_t got = recv(io->fd, chunk, sizeof(chunk), MSG_DONTWAIT);

	if (got > 0 && !link->cut)
		sendto(io->fd, chunk, (size_t)got, MSG_DONTWAIT,
		       (struct sockaddr *)&link->target, sizeof(link->target));
}

/* Stops or continues all connections of a link. */
static void set_cut(link_t *link, bool cut)
{
	link->cut = cut;
	for (guint i = 0; i < link->pipes->len; i++) {
		pipe_t *pipe = g_ptr_array_index(link->pipes, i);

		if (cut)
			ev_io_stop(link->loop, &pipe->reading);
		else
			ev_io_start(link->loop, &pipe->reading);
	}
}

/* Breaks all connections of a link; on_readable() then closes them. */
static void shut_down(link_t *link)
{
	for (guint i = 0; i < link->pipes->len; i++) {
		pipe_t *pipe = g_ptr_array_index(link->pipes, i);

		shutdown(pipe->reading.fd, SHUT_RDWR);
	}
}

/* Carries out "cut I", "heal I", "close I" or "truncate I BYTES". */
static void command(GPtrArray *links, const char *line)
{
	char word[16] = "";
	unsigned int index = 0;
	long value = -1;

	if (sscanf(line, "%15s %u %ld", word, &index, &value) < 2 ||
	    index >= links->len)
		return;
	link_t *link = g_ptr_array_index(links, index);

	if (strcmp(word, "truncate") == 0)
		link->truncate_bytes = value;
	else if (strcmp(word, "cut") == 0 || strcmp(word, "heal") == 0)
		set_cut(link, *word == 'c');
	else if (strcmp(word, "close") == 0)
		shut_down(link);
}

/* Takes one connection with one line of command, and answers "ok". */
static void on_control(struct ev_loop *loop, ev_io *io, int events)
{
	char line[64] = "";
	int fd = accept4(io->fd, NULL, NULL, SOCK_CLOEXEC);
	struct timeval wait = {.tv_sec = 1};

	if (fd < 0)
		return;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	if (recv(fd, line, sizeof(line) - 1, 0) > 0) {
		command(io->data, line);
		send(fd, "ok\n", 3, MSG_NOSIGNAL);
	}
	close(fd);
}

/* Opens a free loopback port and returns it. */
static uint16_t listen_free(struct ev_loop *loop, ev_io *io, int type,
			    void (*handler)(struct ev_loop *, ev_io *, int),
			    void *data)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    (type == SOCK_STREAM && listen(fd, BACKLOG) != 0) ||
	    getsockname(fd, (struct sockaddr *)&address, &length) != 0) {
		fprintf(stderr, "can't listen on loopback\n");
		exit(1);
	}
	ev_io_init(io, handler, fd, EV_READ);
	io->data = data;
	ev_io_start(loop, io);
	return ntohs(address.sin_port);
}

/* Starts one link to "tcp:IP:PORT" or "udp:IP:PORT"; returns its own port. */
static uint16_t add_link(struct ev_loop *loop, GPtrArray *links,
			 const char *target)
{
	link_t *link = g_new0(link_t, 1);
	char **parts = g_strsplit(target, ":", 3);

	if (g_strv_length(parts) != 3 ||
	    inet_pton(AF_INET, parts[1], &link->target.sin_addr) != 1) {
		fprintf(stderr, "%s: not tcp:IP:PORT or udp:IP:PORT\n", target);
		exit(2);
	}
	link->loop = loop;
	link->type = *parts[0] == 'u' ? SOCK_DGRAM : SOCK_STREAM;
	link->truncate_bytes = -1;
	link->pipes = g_ptr_array_new();
	link->target.sin_family = AF_INET;
	link->target.sin_port = htons((uint16_t)strtoul(parts[2], NULL, 10));
	g_strfreev(parts);
	g_ptr_array_add(links, link);
	return listen_free(loop, &link->listening, link->type,
			   link->type == SOCK_DGRAM ? on_datagram : on_accept,
			   link);
}

int main(int argc, const char **argv)
{
	struct ev_loop *loop = ev_default_loop(0);
	GPtrArray *links = g_ptr_array_new();
	int max_s = 600;
	char **targets = NULL;
	ev_io control;
	const struct poptOption options[] = {
		{"link", 0, POPT_ARG_ARGV, &targets, 0, "target", "T:IP:P"},
		{"max-seconds", 0, POPT_ARG_INT, &max_s, 0, "life", "S"},
		POPT_AUTOHELP POPT_TABLEEND};

	program_options(argc, argv, options);
	program_limit(loop, max_s);
	printf("ready port=%u",
	       listen_free(loop, &control, SOCK_STREAM, on_control, links));
	for (; targets && *targets; targets++)
		printf(",%u", add_link(loop, links, *targets));
	printf("\n");
	fflush(stdout);
	ev_run(loop, 0);
	return 0;
}
