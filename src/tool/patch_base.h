/*
 * The base configuration that a patch applies to.
 */
#ifndef DWS_TOOL_PATCH_BASE_H
#define DWS_TOOL_PATCH_BASE_H

#include "tool/tool.h"

typedef struct dws_patch_base {
	dws_value_t *document; /* NULL if no version is in force yet */
	uint64_t version;
} dws_patch_base_t;

/*
 * Loads the base from the file given with --base, otherwise from the first
 * daemon. On failure prints the error and returns the exit code. Must be
 * followed by dws_patch_base_finish() in either case.
 */
dws_exit_code_t dws_patch_base_load(dws_patch_base_t *base,
				    const dws_tool_options_t *tool);
void dws_patch_base_finish(dws_patch_base_t *base);

#endif
