/*
 * Parsing and writing of configuration patch logs; see version/config_state.h
 * for the format.
 */
#ifndef DWS_VERSION_PATCH_LOG_H
#define DWS_VERSION_PATCH_LOG_H

#include "version/document.h"

/* An entry as published, not validated. */
typedef struct dws_patch_entry {
	uint64_t sequence;
	dws_value_t *value;
} dws_patch_entry_t;

/* A parsed log; the values of the entries are owned by root. */
typedef struct dws_patch_log {
	dws_value_t *root;
	bool has_snapshot;
	uint64_t snapshot_sequence;
	uint64_t snapshot_version;
	dws_value_t *snapshot_document; /* owned; NULL if the version is 0 */
	GArray *entries; /* dws_patch_entry_t, ascending */
	uint64_t end; /* highest sequence number; 0 if the log is empty */
} dws_patch_log_t;

/*
 * Parses a log. Validates the structure only, no document and no patch. On
 * failure the error lists all faults, and nothing needs freeing.
 */
bool dws_patch_log_init(dws_patch_log_t *log, const char *text,
			size_t size_bytes, GError **error);
/* Frees the content of a log. */
void dws_patch_log_finish(dws_patch_log_t *log);

/* Text of a log with one snapshot; g_free(). The document may be NULL. */
char *dws_patch_log_snapshot_text(uint64_t sequence, uint64_t version,
				  dws_value_t *document);
/* Text of a log with entries only; g_free(). */
char *dws_patch_log_entries_text(dws_value_t *const *entries, size_t count);

#endif
