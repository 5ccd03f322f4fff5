/*
 * Patches of the configuration document: the check that the fold and the
 * operators' tool share.
 */
#ifndef DWS_VERSION_PATCH_H
#define DWS_VERSION_PATCH_H

#include "version/config.h"

/* A document that was checked whole. */
typedef struct dws_checked {
	dws_value_t *document;
	dws_config_t *config;
	char *text; /* canonical */
} dws_checked_t;

/*
 * Checks a document as the version with the given number. False with a
 * message that depends on the document alone; then nothing needs freeing.
 */
bool dws_checked_init(dws_checked_t *checked, dws_value_t *document,
		      uint64_t version, GError **error);
void dws_checked_finish(dws_checked_t *checked);

/* Merges a patch into a document, which may be NULL, and checks the result. */
bool dws_patch_apply(dws_checked_t *checked, dws_value_t *document,
		     dws_value_t *patch, uint64_t version, GError **error);
/*
 * Text of a log entry without its sequence, to be published by an operator;
 * freed with g_free().
 */
char *dws_patch_entry(uint64_t base_version, dws_value_t *patch);

#endif
