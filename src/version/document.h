/*
 * YAML documents as trees of immutable, reference-counted values. Maps keep
 * their order and have no duplicate keys. Aliases, anchors and tags are
 * refused: the size of a tree is bounded by that of its text.
 */
#ifndef DWS_VERSION_DOCUMENT_H
#define DWS_VERSION_DOCUMENT_H

#include "dogwoodshift.h"

#define DWS_DOCUMENT_MAX_BYTES (2 * 1024 * 1024)
#define DWS_DOCUMENT_MAX_DEPTH 32
#define DWS_DOCUMENT_MAX_VALUES 262144 /* keys included */
#define DWS_DOCUMENT_MAX_KEY_BYTES 128

typedef enum dws_value_type {
	DWS_VALUE_SCALAR,
	DWS_VALUE_MAP,
	DWS_VALUE_LIST,
} dws_value_type_t;

typedef struct dws_value {
	uint32_t references;
	dws_value_type_t type;
	uint32_t line; /* from 1; 0 if the value was built, not parsed */
	bool quoted; /* scalar: not plain, so never null */
	char *text; /* scalar */
	GPtrArray *items; /* list: dws_value_t *; map: dws_pair_t * */
	GHashTable *index; /* map: key to dws_pair_t * */
} dws_value_t;

typedef struct dws_pair {
	char *key;
	uint32_t line;
	dws_value_t *value;
} dws_pair_t;

/* Parses one document; name stands for the file in messages. */
dws_value_t *dws_document_parse(const char *text, size_t size_bytes,
				const char *name, GError **error);
/* The same with another bound on the size. */
dws_value_t *dws_document_parse_up_to(size_t max_bytes, const char *text,
				      size_t size_bytes, const char *name,
				      GError **error);
/* Text of a value with sorted keys; equal trees give equal text. */
char *dws_document_canonical(const dws_value_t *value);
/* A new tree: a document with a patch merged in (RFC 7396). */
dws_value_t *dws_document_merge(dws_value_t *document, dws_value_t *patch);

dws_value_t *dws_value_ref(dws_value_t *value);
void dws_value_unref(dws_value_t *value);
dws_value_t *dws_value_new_scalar(const char *text, bool quoted, uint32_t line);
dws_value_t *dws_value_new_number(uint64_t number);
dws_value_t *dws_value_new_map(uint32_t line);
dws_value_t *dws_value_new_list(uint32_t line);
/* Both take over the reference to the added value. */
bool dws_value_put(dws_value_t *map, const char *key, uint32_t line,
		   dws_value_t *value);
void dws_value_append(dws_value_t *list, dws_value_t *value);

/* The number of values in a tree, itself and keys included. */
size_t dws_value_count(const dws_value_t *value);
bool dws_value_is_null(const dws_value_t *value);
/* The value of a key, borrowed; NULL if it is absent or this is no map. */
dws_value_t *dws_value_get(const dws_value_t *map, const char *key);
/* The text of a scalar, borrowed; NULL if it is absent, null or no scalar. */
const char *dws_value_text(const dws_value_t *value);
/* Reads a decimal number without sign; false if it is none or out of range. */
bool dws_value_number(const dws_value_t *value, uint64_t max, uint64_t *number);
/* Pairs of a map by key, borrowed; freed with g_ptr_array_unref(). */
GPtrArray *dws_value_sorted(const dws_value_t *map);

#endif
