/*
 * Bytes that wait to be written to a socket.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include "connection/output_io.h"

/* Bytes of this number or more are referred to. */
#define SHARED_MIN_BYTES (16 * 1024)
/* A chunk of copied bytes that has reached this size is not extended. */
#define COPIED_MAX_BYTES (64 * 1024)
/* Size of a new chunk, and of the largest one that is kept for reuse. */
#define COPIED_FIRST_BYTES 1024
#define SPARE_MAX_BYTES (2 * 1024)
#define CHUNKS_PER_WRITE 16

/* A piece of the output: either copied or shared bytes. */
typedef struct chunk {
	GByteArray *copied; /* in the memory account; NULL if shared */
	GBytes *shared;
	size_t sent_bytes;
} chunk_t;

void dws_output_init(dws_output_t *output, dws_memory_t *memory)
{
	memset(output, 0, sizeof(*output));
	output->memory = memory;
	g_queue_init(&output->chunks);
}

/* Frees a chunk; keeps its array for reuse unless it is large. */
static void free_chunk(dws_output_t *output, chunk_t *chunk)
{
	if (chunk->shared) {
		g_bytes_unref(chunk->shared);
		g_free(chunk);
		return;
	}
	dws_memory_remove(output->memory, chunk->copied->len);
	if (!output->spare && chunk->copied->len <= SPARE_MAX_BYTES)
		output->spare = g_byte_array_set_size(chunk->copied, 0);
	else
		g_byte_array_free(chunk->copied, TRUE);
	g_free(chunk);
}

void dws_output_finish(dws_output_t *output)
{
	chunk_t *chunk;

	while ((chunk = g_queue_pop_head(&output->chunks)))
		free_chunk(output, chunk);
	if (output->spare)
		g_byte_array_free(output->spare, TRUE);
	output->spare = NULL;
	output->size_bytes = 0;
}

static chunk_t *add_chunk(dws_output_t *output)
{
	chunk_t *chunk = g_new0(chunk_t, 1);

	g_queue_push_tail(&output->chunks, chunk);
	return chunk;
}

/* Returns a chunk that copied bytes can be appended to. */
static chunk_t *copied_chunk(dws_output_t *output)
{
	chunk_t *chunk = g_queue_peek_tail(&output->chunks);

	if (chunk && chunk->copied && chunk->copied->len < COPIED_MAX_BYTES)
		return chunk;
	chunk = add_chunk(output);
	chunk->copied = output->spare
				? output->spare
				: g_byte_array_sized_new(COPIED_FIRST_BYTES);
	output->spare = NULL;
	return chunk;
}

void dws_output_append(dws_output_t *output, const void *data,
		       size_t size_bytes)
{
	if (size_bytes == 0)
		return;
	g_byte_array_append(copied_chunk(output)->copied, data,
			    (guint)size_bytes);
	dws_memory_add(output->memory, size_bytes);
	output->size_bytes += size_bytes;
}

void dws_output_append_bytes(dws_output_t *output, GBytes *bytes)
{
	gsize size_bytes = 0;
	const void *data = g_bytes_get_data(bytes, &size_bytes);

	if (size_bytes < SHARED_MIN_BYTES) {
		dws_output_append(output, data, size_bytes);
		return;
	}
	add_chunk(output)->shared = g_bytes_ref(bytes);
	output->size_bytes += size_bytes;
}

/* Returns the part of a chunk that has not been sent. */
static struct iovec unsent_part(const chunk_t *chunk)
{
	gsize size_bytes = 0;
	const uint8_t *data =
		chunk->copied ? chunk->copied->data
			      : g_bytes_get_data(chunk->shared, &size_bytes);

	if (chunk->copied)
		size_bytes = chunk->copied->len;
	/* The cast drops a const: sendmsg() does not write here. */
	return (struct iovec){.iov_base = (void *)(data + chunk->sent_bytes),
			      .iov_len = size_bytes - chunk->sent_bytes};
}

/* Removes bytes that have been sent, and frees chunks that are sent whole. */
static void remove_sent(dws_output_t *output, size_t sent_bytes)
{
	output->size_bytes -= sent_bytes;
	output->written_bytes += sent_bytes;
	while (sent_bytes > 0) {
		chunk_t *chunk = g_queue_peek_head(&output->chunks);
		size_t left_bytes = unsent_part(chunk).iov_len;

		if (sent_bytes < left_bytes) {
			chunk->sent_bytes += sent_bytes;
			return;
		}
		sent_bytes -= left_bytes;
		free_chunk(output, g_queue_pop_head(&output->chunks));
	}
}

/* Sends once; returns the result of sendmsg(). */
static ssize_t send_chunks(const dws_output_t *output, int fd)
{
	struct iovec parts[CHUNKS_PER_WRITE];
	struct msghdr message = {.msg_iov = parts};

	for (GList *item = output->chunks.head;
	     item && message.msg_iovlen < CHUNKS_PER_WRITE; item = item->next)
		parts[message.msg_iovlen++] = unsent_part(item->data);
	return sendmsg(fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
}

dws_output_state_t dws_output_write(dws_output_t *output, int fd)
{
	while (output->size_bytes > 0) {
		ssize_t sent = send_chunks(output, fd);

		if (sent > 0)
			remove_sent(output, (size_t)sent);
		else if (sent < 0 && errno == EINTR)
			continue;
		else if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return DWS_OUTPUT_BLOCKED;
		else
			return DWS_OUTPUT_FAILED;
	}
	return DWS_OUTPUT_EMPTY;
}
