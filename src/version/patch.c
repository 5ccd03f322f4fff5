/*
 * Validation of documents and application of patches.
 */
#include "version/patch.h"

/* Spaces of indentation of each line of a document inside a snapshot. */
#define SNAPSHOT_INDENT 4
/* Upper bounds on the bytes and values of a snapshot outside its document. */
#define SNAPSHOT_OVERHEAD_BYTES 128
#define SNAPSHOT_OVERHEAD_VALUES 16

/* Upper bound on the size of a snapshot of a document. */
static size_t max_snapshot_bytes(const char *text)
{
	size_t lines = 0;

	for (const char *at = text; *at; at++)
		lines += *at == '\n';
	return strlen(text) + SNAPSHOT_INDENT * lines + SNAPSHOT_OVERHEAD_BYTES;
}

/*
 * Checks that a snapshot of a document stays within the limits of the parser,
 * in bytes and in values, so that every process can read it.
 */
static bool fits_snapshot(const dws_value_t *document, const char *text,
			  GError **error)
{
	size_t size_bytes = max_snapshot_bytes(text);
	size_t values = dws_value_count(document) + SNAPSHOT_OVERHEAD_VALUES;

	if (size_bytes <= DWS_CONFIG_MAX_BYTES &&
	    values <= DWS_DOCUMENT_MAX_VALUES)
		return true;
	g_set_error(error, DWS_ERROR, DWS_ERROR_TOO_LARGE,
		    "document: its snapshot of %zu bytes and %zu values "
		    "exceeds the limit of %d bytes or %d values; remove what "
		    "is no longer needed",
		    size_bytes, values, DWS_CONFIG_MAX_BYTES,
		    DWS_DOCUMENT_MAX_VALUES);
	return false;
}

bool dws_valid_document_init(dws_valid_document_t *valid, dws_value_t *document,
			     uint64_t version, GError **error)
{
	char *text = dws_document_canonical(document);

	*valid = (dws_valid_document_t){.document = NULL};
	dws_config_t *config =
		fits_snapshot(document, text, error)
			? dws_config_build(document, NULL, version, error)
			: NULL;

	if (!config) {
		g_free(text);
		return false;
	}
	valid->document = dws_value_ref(document);
	valid->config = config;
	valid->text = text;
	return true;
}

void dws_valid_document_finish(dws_valid_document_t *valid)
{
	dws_value_unref(valid->document);
	dws_config_unref(valid->config);
	g_free(valid->text);
	*valid = (dws_valid_document_t){.document = NULL};
}

bool dws_patch_apply(dws_valid_document_t *valid, dws_value_t *document,
		     dws_value_t *patch, uint64_t version, GError **error)
{
	dws_value_t *merged = dws_document_merge(document, patch);
	bool ok = dws_valid_document_init(valid, merged, version, error);

	dws_value_unref(merged);
	return ok;
}

char *dws_patch_entry(uint64_t base_version, dws_value_t *patch)
{
	dws_value_t *entry = dws_value_new_map(0);

	dws_value_map_insert(entry, "base_version", 0,
			     dws_value_new_number(base_version));
	dws_value_map_insert(entry, "patch", 0, dws_value_ref(patch));
	char *text = dws_document_canonical(entry);

	dws_value_unref(entry);
	return text;
}
