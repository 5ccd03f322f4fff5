/*
 * Parsing and writing of configuration patch logs.
 */
#include "version/patch_log.h"
#include "version/fields.h"

#define MAX_SEQUENCE ((uint64_t)INT64_MAX)

/* Reads a required sequence or version number of at least min. */
static bool read_sequence(const dws_fields_t *fields, const char *key,
			  uint64_t min, uint64_t *number)
{
	if (!dws_fields_require(fields, key))
		return false;
	if (dws_value_parse_number(dws_fields_get(fields, key), MAX_SEQUENCE,
				   number) &&
	    *number >= min)
		return true;
	dws_fields_report(fields, DWS_ERROR_VALUE, key,
			  "is not a number of at least %" G_GUINT64_FORMAT
			  "; write it in decimal digits",
			  min);
	return false;
}

/*
 * Reads the snapshot. Null values are removed from its document, as merging the
 * patches would have done.
 */
static void read_snapshot(const dws_fields_t *root, dws_patch_log_t *log)
{
	static const char *const keys[] = {"sequence", "version", "document"};
	const dws_value_t *value = dws_fields_get(root, "snapshot");
	dws_fields_t fields;

	if (!value ||
	    !dws_fields_init(&fields, root->faults, value, "snapshot."))
		return;
	log->has_snapshot = true;
	dws_fields_reject_unknown(&fields, keys, G_N_ELEMENTS(keys));
	bool ok = read_sequence(&fields, "sequence", 1,
				&log->snapshot_sequence) &&
		  read_sequence(&fields, "version", 0, &log->snapshot_version);

	if (ok && log->snapshot_version > log->snapshot_sequence)
		dws_fields_report(&fields, DWS_ERROR_CONFLICT, "version",
				  "is higher than the sequence; write the "
				  "sequence number of the last accepted entry");
	if (ok && log->snapshot_version > 0 &&
	    dws_fields_require(&fields, "document"))
		log->snapshot_document = dws_document_merge(
			NULL, dws_value_get(value, "document"));
	log->end = log->snapshot_sequence;
}

/* Reads the sequence of an entry; the rest is validated when it is applied. */
static void read_entry(dws_faults_t *faults, dws_value_t *value, guint position,
		       dws_patch_log_t *log)
{
	dws_patch_entry_t entry = {.value = value};
	uint64_t previous = 0;
	dws_fields_t fields;
	char path[32];

	g_snprintf(path, sizeof(path), "entries[%u].", position);
	if (!dws_fields_init(&fields, faults, value, path) ||
	    !read_sequence(&fields, "sequence", 1, &entry.sequence))
		return;
	if (log->entries->len > 0)
		previous = g_array_index(log->entries, dws_patch_entry_t,
					 log->entries->len - 1)
				   .sequence;
	if (entry.sequence <= previous)
		dws_fields_report(&fields, DWS_ERROR_CONFLICT, "sequence",
				  "is not higher than that of the previous "
				  "entry; publish entries in ascending order");
	g_array_append_val(log->entries, entry);
	log->end = MAX(log->end, entry.sequence);
}

static void read_entries(const dws_fields_t *root, dws_patch_log_t *log)
{
	const dws_value_t *list = dws_fields_get(root, "entries");

	if (!list)
		return;
	if (list->type != DWS_VALUE_LIST) {
		dws_fields_report(
			root, DWS_ERROR_VALUE, "entries",
			"is not a list; write \"- {sequence: N, ...}\" "
			"lines");
		return;
	}
	for (guint i = 0; i < list->items->len; i++)
		read_entry(root->faults, list->items->pdata[i], i, log);
}

bool dws_patch_log_init(dws_patch_log_t *log, const char *text,
			size_t size_bytes, GError **error)
{
	static const char *const keys[] = {"snapshot", "entries"};
	dws_faults_t faults;
	dws_fields_t fields;

	*log = (dws_patch_log_t){.has_snapshot = false};
	log->root = dws_document_parse(text, size_bytes, "log", error);
	if (!log->root)
		return false;
	log->entries = g_array_new(FALSE, TRUE, sizeof(dws_patch_entry_t));
	dws_faults_init(&faults, "log");
	if (dws_fields_init(&fields, &faults, log->root, "")) {
		dws_fields_reject_unknown(&fields, keys, G_N_ELEMENTS(keys));
		read_snapshot(&fields, log);
		read_entries(&fields, log);
	}
	if (dws_faults_finish(&faults, error))
		return true;
	dws_patch_log_finish(log);
	return false;
}

void dws_patch_log_finish(dws_patch_log_t *log)
{
	g_array_unref(log->entries);
	dws_value_unref(log->snapshot_document);
	dws_value_unref(log->root);
}

/* Returns the canonical text of a value and drops its reference. */
static char *canonical_and_unref(dws_value_t *value)
{
	char *text = dws_document_canonical(value);

	dws_value_unref(value);
	return text;
}

char *dws_patch_log_snapshot_text(uint64_t sequence, uint64_t version,
				  dws_value_t *document)
{
	dws_value_t *snapshot = dws_value_new_map(0);
	dws_value_t *log = dws_value_new_map(0);

	dws_value_map_insert(snapshot, "sequence", 0,
			     dws_value_new_number(sequence));
	dws_value_map_insert(snapshot, "version", 0,
			     dws_value_new_number(version));
	if (document)
		dws_value_map_insert(snapshot, "document", 0,
				     dws_value_ref(document));
	dws_value_map_insert(log, "snapshot", 0, snapshot);
	return canonical_and_unref(log);
}

char *dws_patch_log_entries_text(dws_value_t *const *entries, size_t count)
{
	dws_value_t *list = dws_value_new_list(0);
	dws_value_t *log = dws_value_new_map(0);

	for (size_t i = 0; i < count; i++)
		dws_value_list_append(list, dws_value_ref(entries[i]));
	dws_value_map_insert(log, "entries", 0, list);
	return canonical_and_unref(log);
}
