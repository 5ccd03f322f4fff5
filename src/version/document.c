/*
 * Values of documents: construction, access and merge.
 */
#include "version/document.h"

static void free_entry(void *data)
{
	dws_map_entry_t *entry = data;

	g_free(entry->key);
	dws_value_unref(entry->value);
	g_free(entry);
}

/* GDestroyNotify of the items of a list. */
static void free_item(void *data)
{
	dws_value_unref(data);
}

/* Creates an empty value with one reference. */
static dws_value_t *new_value(dws_value_type_t type, uint32_t line)
{
	dws_value_t *value = g_new0(dws_value_t, 1);

	value->references = 1;
	value->type = type;
	value->line = line;
	return value;
}

dws_value_t *dws_value_ref(dws_value_t *value)
{
	value->references++;
	return value;
}

/* The parser bounds the recursion depth by DWS_DOCUMENT_MAX_DEPTH. */
void dws_value_unref(dws_value_t *value)
{
	if (!value || --value->references > 0)
		return;
	g_free(value->text);
	if (value->index)
		g_hash_table_unref(value->index);
	if (value->items)
		g_ptr_array_unref(value->items);
	g_free(value);
}

dws_value_t *dws_value_new_scalar(const char *text, bool quoted, uint32_t line)
{
	dws_value_t *value = new_value(DWS_VALUE_SCALAR, line);

	value->text = g_strdup(text);
	value->quoted = quoted;
	return value;
}

dws_value_t *dws_value_new_number(uint64_t number)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, number);
	return dws_value_new_scalar(text, false, 0);
}

dws_value_t *dws_value_new_map(uint32_t line)
{
	dws_value_t *value = new_value(DWS_VALUE_MAP, line);

	value->items = g_ptr_array_new_with_free_func(free_entry);
	value->index = g_hash_table_new(g_str_hash, g_str_equal);
	return value;
}

dws_value_t *dws_value_new_list(uint32_t line)
{
	dws_value_t *value = new_value(DWS_VALUE_LIST, line);

	value->items = g_ptr_array_new_with_free_func(free_item);
	return value;
}

bool dws_value_map_insert(dws_value_t *map, const char *key, uint32_t line,
			  dws_value_t *value)
{
	if (g_hash_table_contains(map->index, key)) {
		dws_value_unref(value);
		return false;
	}
	dws_map_entry_t *entry = g_new0(dws_map_entry_t, 1);

	entry->key = g_strdup(key);
	entry->line = line;
	entry->value = value;
	g_ptr_array_add(map->items, entry);
	g_hash_table_insert(map->index, entry->key, entry);
	return true;
}

void dws_value_list_append(dws_value_t *list, dws_value_t *value)
{
	g_ptr_array_add(list->items, value);
}

bool dws_value_is_null(const dws_value_t *value)
{
	if (value->type != DWS_VALUE_SCALAR || value->quoted)
		return false;
	return value->text[0] == '\0' || !strcmp(value->text, "~") ||
	       !strcmp(value->text, "null") || !strcmp(value->text, "Null") ||
	       !strcmp(value->text, "NULL");
}

size_t dws_value_count(const dws_value_t *value)
{
	size_t count = 1;

	if (value->type == DWS_VALUE_SCALAR)
		return count;
	for (guint i = 0; i < value->items->len; i++) {
		if (value->type == DWS_VALUE_LIST) {
			count += dws_value_count(value->items->pdata[i]);
			continue;
		}
		const dws_map_entry_t *entry = value->items->pdata[i];

		count += 1 + dws_value_count(entry->value);
	}
	return count;
}

dws_value_t *dws_value_get(const dws_value_t *map, const char *key)
{
	if (!map || map->type != DWS_VALUE_MAP)
		return NULL;
	const dws_map_entry_t *entry = g_hash_table_lookup(map->index, key);

	return entry ? entry->value : NULL;
}

const char *dws_value_text(const dws_value_t *value)
{
	if (!value || value->type != DWS_VALUE_SCALAR ||
	    dws_value_is_null(value))
		return NULL;
	return value->text;
}

bool dws_value_parse_number(const dws_value_t *value, uint64_t max,
			    uint64_t *number)
{
	const char *text = dws_value_text(value);

	return text &&
	       g_ascii_string_to_unsigned(text, 10, 0, max, number, NULL);
}

static int compare_entries(const void *a, const void *b)
{
	const dws_map_entry_t *const *first = a;
	const dws_map_entry_t *const *second = b;

	return strcmp((*first)->key, (*second)->key);
}

GPtrArray *dws_value_sorted_entries(const dws_value_t *map)
{
	GPtrArray *entries = g_ptr_array_sized_new(map->items->len);

	for (guint i = 0; i < map->items->len; i++)
		g_ptr_array_add(entries, map->items->pdata[i]);
	g_ptr_array_sort(entries, compare_entries);
	return entries;
}

/* Merges the keys of a document; keys that only the patch has are not added. */
static void merge_existing_keys(dws_value_t *merged, dws_value_t *document,
				dws_value_t *patch)
{
	for (guint i = 0; i < document->items->len; i++) {
		const dws_map_entry_t *entry = document->items->pdata[i];
		dws_value_t *change = dws_value_get(patch, entry->key);

		if (!change)
			dws_value_map_insert(merged, entry->key, entry->line,
					     dws_value_ref(entry->value));
		else if (!dws_value_is_null(change))
			dws_value_map_insert(
				merged, entry->key, entry->line,
				dws_document_merge(entry->value, change));
	}
}

dws_value_t *dws_document_merge(dws_value_t *document, dws_value_t *patch)
{
	if (patch->type != DWS_VALUE_MAP)
		return dws_value_ref(patch);
	dws_value_t *merged = dws_value_new_map(patch->line);

	if (document && document->type == DWS_VALUE_MAP)
		merge_existing_keys(merged, document, patch);
	for (guint i = 0; i < patch->items->len; i++) {
		const dws_map_entry_t *entry = patch->items->pdata[i];

		if (dws_value_is_null(entry->value) ||
		    dws_value_get(document, entry->key))
			continue;
		dws_value_map_insert(merged, entry->key, entry->line,
				     dws_document_merge(NULL, entry->value));
	}
	return merged;
}
