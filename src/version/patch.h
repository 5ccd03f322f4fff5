/*
 * Application of patches to the configuration document, and validation of the
 * result. Shared by the daemon and the operators' tool.
 */
#ifndef DWS_VERSION_PATCH_H
#define DWS_VERSION_PATCH_H

#include "version/config.h"

/* A validated document and the configuration built from it. */
typedef struct dws_valid_document {
	dws_value_t *document;
	dws_config_t *config;
	char *text; /* canonical */
} dws_valid_document_t;

/*
 * Validates a document as the version with the given number. On failure the
 * error message depends on the document alone, and nothing needs freeing. On
 * success the result holds a reference to the document.
 */
bool dws_valid_document_init(dws_valid_document_t *valid, dws_value_t *document,
			     uint64_t version, GError **error);
/* Frees the content; does nothing if it is empty. */
void dws_valid_document_finish(dws_valid_document_t *valid);

/*
 * Merges a patch into a document, which may be NULL, and validates the result
 * like dws_valid_document_init().
 */
bool dws_patch_apply(dws_valid_document_t *valid, dws_value_t *document,
		     dws_value_t *patch, uint64_t version, GError **error);
/*
 * Text of a log entry for an operator to publish: base_version and patch,
 * without the sequence. Freed with g_free().
 */
char *dws_patch_entry(uint64_t base_version, dws_value_t *patch);

#endif
