/*
 * Compression of documents on their way between processes (zlib).
 */
#ifndef DWS_CONNECTION_COMPRESS_H
#define DWS_CONNECTION_COMPRESS_H

#include <stddef.h>
#include <stdint.h>

/* Compresses bytes; freed with g_free(). NULL if that makes them no smaller. */
uint8_t *dws_compress(const void *data, size_t size_bytes,
		      size_t *compressed_bytes);
/*
 * Restores bytes whose plain size is told; freed with g_free(), and followed by
 * a NUL. NULL if they are malformed, or of another or a larger size than the
 * most that is allowed.
 */
char *dws_decompress(const uint8_t *data, size_t size_bytes, size_t plain_bytes,
		     size_t plain_max_bytes);

#endif
