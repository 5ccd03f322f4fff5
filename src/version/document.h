/*
 * YAML documents as trees of immutable, reference-counted values. Maps preserve
 * the order of their keys and have no duplicate keys. Aliases, anchors and tags
 * are rejected, so the size of a tree is bounded by the size of its text.
 */
#ifndef DWS_VERSION_DOCUMENT_H
#define DWS_VERSION_DOCUMENT_H

#include "dogwoodshift.h"

#define DWS_DOCUMENT_MAX_BYTES (8 * 1024 * 1024)
#define DWS_DOCUMENT_MAX_DEPTH 32
#define DWS_DOCUMENT_MAX_VALUES 524288 /* keys included */
#define DWS_DOCUMENT_MAX_KEY_BYTES 128

typedef enum dws_value_type {
	DWS_VALUE_SCALAR,
	DWS_VALUE_MAP,
	DWS_VALUE_LIST,
} dws_value_type_t;

typedef struct dws_value {
	uint32_t references;
	dws_value_type_t type;
	uint32_t line; /* counted from 1; 0 if the value was not parsed */
	bool quoted; /* scalar: not in plain style, so never null */
	char *text; /* scalar */
	GPtrArray *items; /* list: dws_value_t *; map: dws_map_entry_t * */
	GHashTable *index; /* map: key to dws_map_entry_t * */
} dws_value_t;

typedef struct dws_map_entry {
	char *key;
	uint32_t line;
	dws_value_t *value;
} dws_map_entry_t;

/*
 * Parses one YAML document of at most DWS_DOCUMENT_MAX_BYTES; name is the file
 * name for error messages. NULL with DWS_ERROR_SYNTAX or DWS_ERROR_TOO_LARGE
 * for the first fault, or DWS_ERROR_SYSTEM if there is no memory. The result is
 * freed with dws_value_unref().
 */
dws_value_t *dws_document_parse(const char *text, size_t size_bytes,
				const char *name, GError **error);
/* The same with another size limit. */
dws_value_t *dws_document_parse_limited(size_t max_bytes, const char *text,
					size_t size_bytes, const char *name,
					GError **error);
/*
 * Canonical text of a tree: equal trees give equal bytes. Freed with g_free().
 */
char *dws_document_canonical(const dws_value_t *value);
/*
 * Merges a patch into a document, which may be NULL (JSON Merge Patch,
 * RFC 7396): maps are merged by key, a null removes its key, any other value
 * replaces the old one. Returns a new tree that shares the unchanged values.
 */
dws_value_t *dws_document_merge(dws_value_t *document, dws_value_t *patch);

dws_value_t *dws_value_ref(dws_value_t *value);
/* Drops a reference; the last one frees the tree. Ignores NULL. */
void dws_value_unref(dws_value_t *value);
/*
 * Creates a scalar with a copy of the text. An unquoted text that is empty, "~"
 * or "null" is null.
 */
dws_value_t *dws_value_new_scalar(const char *text, bool quoted, uint32_t line);
dws_value_t *dws_value_new_number(uint64_t number);
dws_value_t *dws_value_new_map(uint32_t line);
dws_value_t *dws_value_new_list(uint32_t line);
/*
 * Add an entry to a map or list under construction. They take ownership of the
 * value. If the key exists already, dws_value_map_insert() drops the reference
 * to the value and returns false.
 */
bool dws_value_map_insert(dws_value_t *map, const char *key, uint32_t line,
			  dws_value_t *value);
void dws_value_list_append(dws_value_t *list, dws_value_t *value);

/*
 * Number of values in a tree, including itself and all keys, as counted by the
 * parser for DWS_DOCUMENT_MAX_VALUES.
 */
size_t dws_value_count(const dws_value_t *value);
/* True for the YAML null: a plain scalar that is empty, "~" or "null". */
bool dws_value_is_null(const dws_value_t *value);
/* The value of a key, borrowed; NULL if it is absent or map is not a map. */
dws_value_t *dws_value_get(const dws_value_t *map, const char *key);
/* Text of a scalar, borrowed; NULL if it is absent, null or not a scalar. */
const char *dws_value_text(const dws_value_t *value);
/* Parses an unsigned decimal number of at most max; false if it is not one. */
bool dws_value_parse_number(const dws_value_t *value, uint64_t max,
			    uint64_t *number);
/*
 * The entries (dws_map_entry_t *) of a map, sorted by the bytes of their keys.
 * They are borrowed; the array is freed with g_ptr_array_unref().
 */
GPtrArray *dws_value_sorted_entries(const dws_value_t *map);

#endif
