/*
 * The configuration that a patch is made for.
 */
#ifndef DWS_TOOL_BASE_H
#define DWS_TOOL_BASE_H

#include "tool/tool.h"

typedef struct dws_base {
	dws_value_t *document; /* NULL before the first version */
	uint64_t version;
} dws_base_t;

/*
 * Takes the base from --base and --base-version, else from the first daemon.
 * Returns DWS_EXIT_OK, or the exit code with the fault printed.
 */
dws_exit_t dws_base_init(dws_base_t *base, const dws_tool_t *tool);
void dws_base_finish(dws_base_t *base);

#endif
