/*
 * Logs of configuration patches as text: reading and writing.
 */
#ifndef DWS_VERSION_PATCH_LOG_H
#define DWS_VERSION_PATCH_LOG_H

#include "version/document.h"

/* An entry as it was published. */
typedef struct dws_log_entry {
	uint64_t sequence;
	dws_value_t *value;
} dws_patch_entry_t;

/* A log that was read; its entries' values belong to its root. */
typedef struct dws_log {
	dws_value_t *root;
	bool has_snapshot;
	uint64_t snapshot_sequence;
	uint64_t snapshot_version;
	dws_value_t *snapshot_document; /* owned; NULL if the version is 0 */
	GArray *entries; /* dws_patch_entry_t, ascending */
	uint64_t end; /* the highest sequence; 0 if the log is empty */
} dws_patch_log_t;

/* False with all faults if the text is no log; then nothing needs freeing. */
bool dws_patch_log_init(dws_patch_log_t *log, const char *text,
			size_t size_bytes, GError **error);
void dws_patch_log_finish(dws_patch_log_t *log);

/* Texts of logs, freed with g_free(). The document may be NULL. */
char *dws_patch_log_snapshot_text(uint64_t sequence, uint64_t version,
				  dws_value_t *document);
char *dws_patch_log_entries_text(dws_value_t *const *entries, size_t count);

#endif
