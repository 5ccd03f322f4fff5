/*
 * The ordered log of configuration patches, folded the same way by every
 * process: an entry is accepted if and only if its base is the version
 * reached so far and its result is valid. The version is the sequence number
 * of the last accepted entry. The sequence never goes down.
 *
 * Text of a log, as the platform publishes it and as peers pass it on:
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
#ifndef DWS_VERSION_FOLD_H
#define DWS_VERSION_FOLD_H

#include "version/config.h"

#define DWS_DIGEST_SIZE 32
#define DWS_MAX_VERDICTS 256

typedef struct dws_verdict {
	uint64_t sequence;
	uint64_t base_version;
	bool accepted;
	char *reason; /* NULL if accepted */
} dws_verdict_t;

typedef struct dws_fold dws_fold_t;

/* What an offered log changed. */
typedef struct dws_fold_result {
	bool advanced; /* the sequence went up */
	bool changed; /* a new version is in force */
	bool gap; /* entries are missing between ours and theirs */
	bool older; /* the log ends before our sequence; nothing was taken */
	bool conflict; /* it contradicts what we have read; ours is kept */
} dws_fold_result_t;

dws_fold_t *dws_fold_new(void); /* freed by dws_fold_free() */
void dws_fold_free(dws_fold_t *fold);

/*
 * Takes what is new in a log. False if it is malformed or too large: then
 * nothing of it was taken. A snapshot is taken only if its sequence is above
 * ours, and its version is ours or one that we have not read.
 */
bool dws_fold_offer(dws_fold_t *fold, const char *text, size_t size_bytes,
		    dws_fold_result_t *result, GError **error);

/*
 * The log after a sequence, for a peer: kept entries, or a snapshot if they
 * are no longer kept. Freed with g_free(); NULL if there is nothing after.
 */
char *dws_fold_log_after(const dws_fold_t *fold, uint64_t after,
			 size_t *size_bytes);

/* The version in force, borrowed; NULL before the first. */
dws_config_t *dws_fold_config(const dws_fold_t *fold);
uint64_t dws_fold_sequence(const dws_fold_t *fold);
uint64_t dws_fold_version(const dws_fold_t *fold);
/* SHA-256 over the sequence and the canonical document. */
const uint8_t *dws_fold_digest(const dws_fold_t *fold);
/* Canonical text of the document in force; freed with g_free(). */
char *dws_fold_document(const dws_fold_t *fold);
/* The last verdicts, oldest first; borrowed array of dws_verdict_t. */
const GArray *dws_fold_verdicts(const dws_fold_t *fold);

#endif
