/*
 * Compression of documents that are sent between processes (zlib).
 */
#ifndef DWS_CONNECTION_COMPRESS_H
#define DWS_CONNECTION_COMPRESS_H

#include <stddef.h>
#include <stdint.h>

/*
 * Compresses data; the result is freed with g_free(). Returns NULL if it would
 * not be smaller than the input.
 */
uint8_t *dws_compress(const void *data, size_t size_bytes,
		      size_t *compressed_bytes);
/*
 * Decompresses data whose decompressed size is plain_bytes. The result is
 * NUL-terminated and freed with g_free(). Returns NULL if the data is
 * malformed, if its size differs, or if plain_bytes exceeds plain_max_bytes.
 */
char *dws_decompress(const uint8_t *data, size_t size_bytes, size_t plain_bytes,
		     size_t plain_max_bytes);

#endif
