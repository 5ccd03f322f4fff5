/*
 * The configuration state machine: applies an ordered log of patches, with the
 * same result in every process. An entry is accepted if and only if its base
 * version is the current version and the patched document is valid. The version
 * is the sequence number of the last accepted entry. The sequence never
 * decreases.
 *
 * Format of a log, as published by the platform and forwarded by peers:
 *
 *   snapshot:
 *     sequence: 10
 *     version: 9
 *     document: {...}
 *   entries:
 *     - {sequence: 11, base_version: 9, patch: {...}}
 *
 * A patch is merged into the document: maps key by key, null removes a key,
 * anything else replaces. Either part may be absent.
 */
#ifndef DWS_VERSION_CONFIG_STATE_H
#define DWS_VERSION_CONFIG_STATE_H

#include "version/config.h"

#define DWS_DIGEST_SIZE 32
#define DWS_MAX_VERDICTS 256

typedef struct dws_verdict {
	uint64_t sequence;
	uint64_t base_version;
	bool accepted;
	char *reason; /* NULL if accepted */
} dws_verdict_t;

typedef struct dws_config_state dws_config_state_t;

/* Effect of applying a log. */
typedef struct dws_apply_result {
	bool advanced; /* the sequence increased */
	bool changed; /* a new version is active */
	bool gap; /* entries after the local sequence are missing */
	bool older; /* the log ends before the local sequence; not applied */
	bool conflict; /* the log has another history; not applied */
} dws_apply_result_t;

/* Creates an empty state: sequence 0, version 0, no configuration. */
dws_config_state_t *dws_config_state_new(void);
/* Frees a state and its reference to the active configuration. Ignores NULL. */
void dws_config_state_free(dws_config_state_t *config_state);

/*
 * Applies the part of a log that is newer than the local sequence. False if the
 * log is malformed or too large; then nothing of it was applied. A snapshot is
 * applied only if its sequence is higher than the local one, and its version is
 * the local version or higher than the local sequence.
 */
bool dws_config_state_apply_log(dws_config_state_t *config_state,
				const char *text, size_t size_bytes,
				dws_apply_result_t *result, GError **error);

/*
 * The log after a sequence, for a peer: the retained entries, or a snapshot if
 * some of them are no longer retained. Freed with g_free(); NULL if no entry
 * follows the sequence.
 */
char *dws_config_state_log_after(const dws_config_state_t *config_state,
				 uint64_t after, size_t *size_bytes);

/* The active configuration, borrowed; NULL before the first version. */
dws_config_t *dws_config_state_config(const dws_config_state_t *config_state);
/* Sequence number of the last entry that was applied; 0 before any. */
uint64_t dws_config_state_sequence(const dws_config_state_t *config_state);
/* Sequence number of the last accepted entry; 0 before any. */
uint64_t dws_config_state_version(const dws_config_state_t *config_state);
/*
 * SHA-256 over the sequence and the canonical document; DWS_DIGEST_SIZE bytes,
 * borrowed.
 */
const uint8_t *dws_config_state_digest(const dws_config_state_t *config_state);
/*
 * Canonical text of the active document, "" before the first version; freed
 * with g_free().
 */
char *dws_config_state_document(const dws_config_state_t *config_state);
/*
 * The last DWS_MAX_VERDICTS verdicts on entries, oldest first; borrowed array
 * of dws_verdict_t.
 */
const GArray *dws_config_state_verdicts(const dws_config_state_t *config_state);

#endif
