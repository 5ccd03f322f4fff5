/*
 * Compression with zlib at its fastest level: documents repeat their keys so
 * often that higher levels gain little.
 */
#include "connection/compress.h"

#include <glib.h>
#include <zlib.h>

/* Compresses data; NULL if that does not make it smaller. */
uint8_t *dws_compress(const void *data, size_t size_bytes,
		      size_t *compressed_bytes)
{
	uLongf length = compressBound(size_bytes);
	uint8_t *compressed = g_malloc(length);

	if (compress2(compressed, &length, data, size_bytes, Z_BEST_SPEED) !=
		    Z_OK ||
	    length >= size_bytes) {
		g_free(compressed);
		return NULL;
	}
	*compressed_bytes = length;
	return compressed;
}

/* Decompresses data to a NUL-terminated text; NULL if it is malformed. */
char *dws_decompress(const uint8_t *data, size_t size_bytes, size_t plain_bytes,
		     size_t plain_max_bytes)
{
	uLongf length = plain_bytes;
	char *plain;

	if (plain_bytes > plain_max_bytes)
		return NULL;
	plain = g_malloc(plain_bytes + 1);
	if (uncompress((Bytef *)plain, &length, data, size_bytes) != Z_OK ||
	    length != plain_bytes) {
		g_free(plain);
		return NULL;
	}
	plain[plain_bytes] = '\0';
	return plain;
}
