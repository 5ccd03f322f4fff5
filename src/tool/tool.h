/*
 * Declarations shared by the subcommands of the command-line tool.
 */
#ifndef DWS_TOOL_TOOL_H
#define DWS_TOOL_TOOL_H

#include <stdio.h>
#include "version/document.h"

typedef enum dws_exit_code {
	DWS_EXIT_OK, /* success, or the result is positive */
	DWS_EXIT_FAILURE, /* negative result, or a failed request to a daemon */
	DWS_EXIT_USAGE, /* usage error, or unreadable input */
} dws_exit_code_t;

/* Command-line options. */
typedef struct dws_tool_options {
	const char **admins; /* "IP:PORT", NULL-terminated, not empty */
	const char *base_file; /* --base; NULL if not given */
	int64_t base_version; /* --base-version; -1 if not given */
	bool json;
} dws_tool_options_t;

/* Runs a subcommand; argv holds the arguments that follow its name. */
typedef dws_exit_code_t (*dws_command_func_t)(const dws_tool_options_t *tool,
					      int argc, const char **argv);

dws_exit_code_t dws_tool_status(const dws_tool_options_t *tool, int argc,
				const char **argv);
dws_exit_code_t dws_tool_config_show(const dws_tool_options_t *tool, int argc,
				     const char **argv);
dws_exit_code_t dws_tool_config_check(const dws_tool_options_t *tool, int argc,
				      const char **argv);
dws_exit_code_t dws_tool_patch_check(const dws_tool_options_t *tool, int argc,
				     const char **argv);
dws_exit_code_t dws_tool_patch_make(const dws_tool_options_t *tool, int argc,
				    const char **argv);
dws_exit_code_t dws_tool_patch_status(const dws_tool_options_t *tool, int argc,
				      const char **argv);
dws_exit_code_t dws_tool_slowdown_list(const dws_tool_options_t *tool, int argc,
				       const char **argv);
dws_exit_code_t dws_tool_drain(const dws_tool_options_t *tool, int argc,
			       const char **argv);
dws_exit_code_t dws_tool_counters(const dws_tool_options_t *tool, int argc,
				  const char **argv);
dws_exit_code_t dws_tool_why(const dws_tool_options_t *tool, int argc,
			     const char **argv);
dws_exit_code_t dws_tool_trace(const dws_tool_options_t *tool, int argc,
			       const char **argv);

/* Prints an error to standard error, frees it and returns code. */
dws_exit_code_t dws_tool_report_error(GError *error, dws_exit_code_t code);
/*
 * Reads a whole file. Returns a buffer, to be freed with g_free(), or NULL with
 * error set.
 */
char *dws_tool_read_file(const char *file, size_t *size_bytes, GError **error);

#endif
