/*
 * Entry point of the command-line tool: parses the options and runs the
 * subcommand.
 */
#include "tool/tool.h"
#include "version/fields.h"
#include <curl/curl.h>
#include <popt.h>

#define MAX_NAME_WORDS 2 /* words in a subcommand's name */

typedef struct dws_command {
	const char *name;
	const char *arguments;
	int min_arguments;
	int max_arguments; /* -1: unlimited */
	const char *help;
	dws_command_func_t run;
} dws_command_t;

static const dws_command_t commands[] = {
	{"status", "", 0, 0,
	 "Shows the state of daemons and the configuration version in force.",
	 dws_tool_status},
	{"config show", "", 0, 0,
	 "Prints the configuration in force at a daemon.",
	 dws_tool_config_show},
	{"config check", "FILE", 1, 1,
	 "Validates a complete configuration file without contacting a daemon.",
	 dws_tool_config_check},
	{"patch check", "FILE", 1, 1,
	 "Validates a patch against the version in force at a daemon, or "
	 "against the\nfile given with --base.",
	 dws_tool_patch_check},
	{"patch make", "FILE", 1, 1,
	 "Validates a patch and prints the log entry to publish. With --base "
	 "FILE and\n--base-version N no daemon is contacted.",
	 dws_tool_patch_make},
	{"patch status", "SEQUENCE", 1, 1,
	 "Shows each daemon's verdict on a published entry, and how many "
	 "daemons have\nread it. Exit code 1 unless all of them accepted it.",
	 dws_tool_patch_status},
	{"slowdown list", "[FILE]", 0, 1,
	 "Lists planned slowdowns, in force at a daemon or in a file, and the "
	 "customers\nnot yet called. Exit code 1 if any customer has not been "
	 "called.",
	 dws_tool_slowdown_list},
	{"drain", "", 0, 0,
	 "Shuts daemons down gracefully: they refuse new requests, complete "
	 "those in\nflight and exit.",
	 dws_tool_drain},
	{"counters", "", 0, 0, "Prints the counters of daemons.",
	 dws_tool_counters},
	{"trace", "TRACE_ID FILE...", 2, -1,
	 "Prints the spans of one request, collected from log files, as a "
	 "tree.",
	 dws_tool_trace},
	{"why", "ID FILE...", 2, -1,
	 "Prints the log lines of a routed request and the cause of its "
	 "outcome.",
	 dws_tool_why},
};

/*
 * Finds the command whose name the arguments start with. Sets words to the
 * number of words in the name.
 */
static const dws_command_t *find_command(int argc, const char **argv,
					 int *words)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		char **name = g_strsplit(commands[i].name, " ", MAX_NAME_WORDS);
		int count = (int)g_strv_length(name);
		bool matches = argc >= count;

		for (int word = 0; word < count && matches; word++)
			matches = !strcmp(name[word], argv[word]);
		g_strfreev(name);
		if (matches) {
			*words = count;
			return &commands[i];
		}
	}
	return NULL;
}

static void print_usage(FILE *out)
{
	fprintf(out, "Usage: dogwoodshift [OPTION...] COMMAND [ARGUMENT...]\n"
		     "\nCommands:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %s %s\n", commands[i].name,
			commands[i].arguments);
	fprintf(out, "\nOptions:\n"
		     "  --admin IP:PORT     admin address of a daemon; may be "
		     "repeated\n"
		     "                      (default 127.0.0.1:7070)\n"
		     "  --json              print JSON\n"
		     "  --base FILE         configuration to patch\n"
		     "  --base-version N    version of that file\n"
		     "  --help              show this help\n"
		     "  --version           show the program version\n"
		     "\nExit codes: 0 success or yes, 1 failure or no, 2 usage "
		     "or input error.\n");
}

static void print_command_help(FILE *out, const dws_command_t *command)
{
	fprintf(out, "Usage: dogwoodshift %s %s\n\n%s\n", command->name,
		command->arguments, command->help);
}

/* Validates all --admin values before the first request is made. */
static bool check_admins(const dws_tool_options_t *tool)
{
	for (const char **admin = tool->admins; *admin; admin++) {
		dws_address_t address;

		if (dws_address_parse(&address, *admin))
			continue;
		fprintf(stderr,
			"dogwoodshift: --admin %s: not an address; use "
			"IP:PORT with a numeric IP address\n",
			*admin);
		return false;
	}
	return true;
}

/* Runs the command named by the first arguments. */
static dws_exit_code_t run(const dws_tool_options_t *tool, int argc,
			   const char **argv, bool wants_help)
{
	int words = 0;
	const dws_command_t *command = find_command(argc, argv, &words);

	if (!command) {
		print_usage(wants_help ? stdout : stderr);
		return wants_help && argc == 0 ? DWS_EXIT_OK : DWS_EXIT_USAGE;
	}
	int arguments = argc - words;
	bool valid_count = arguments >= command->min_arguments &&
			   (command->max_arguments < 0 ||
			    arguments <= command->max_arguments);

	if (wants_help || !valid_count) {
		print_command_help(wants_help ? stdout : stderr, command);
		return wants_help ? DWS_EXIT_OK : DWS_EXIT_USAGE;
	}
	if (!check_admins(tool))
		return DWS_EXIT_USAGE;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	dws_exit_code_t code = command->run(tool, arguments, argv + words);

	curl_global_cleanup();
	return code;
}

int main(int argc, char **argv)
{
	static const char *const default_admins[] = {"127.0.0.1:7070", NULL};
	char **admins = NULL;
	char *base_file = NULL;
	long long base_version = -1;
	int json = 0;
	int help = 0;
	int version = 0;
	const struct poptOption options[] = {
		{"admin", 'a', POPT_ARG_ARGV, &admins, 0, NULL, NULL},
		{"json", 'j', POPT_ARG_NONE, &json, 0, NULL, NULL},
		{"base", 0, POPT_ARG_STRING, &base_file, 0, NULL, NULL},
		{"base-version", 0, POPT_ARG_LONGLONG, &base_version, 0, NULL,
		 NULL},
		{"help", 'h', POPT_ARG_NONE, &help, 0, NULL, NULL},
		{"version", 0, POPT_ARG_NONE, &version, 0, NULL, NULL},
		POPT_TABLEEND};
	poptContext context = poptGetContext("dogwoodshift", argc,
					     (const char **)argv, options, 0);
	int result = poptGetNextOpt(context);
	dws_exit_code_t code = DWS_EXIT_USAGE;

	if (result < -1) {
		fprintf(stderr, "dogwoodshift: %s: %s; see --help\n",
			poptBadOption(context, 0), poptStrerror(result));
	} else if (version) {
		puts("dogwoodshift " DWS_VERSION);
		code = DWS_EXIT_OK;
	} else {
		const char **words = poptGetArgs(context);
		dws_tool_options_t tool = {
			.admins = admins ? (const char **)admins
					 : (const char **)default_admins,
			.base_file = base_file,
			.base_version = base_version,
			.json = json != 0,
		};
		int count = 0;

		while (words && words[count])
			count++;
		code = run(&tool, count, words, help != 0);
	}
	poptFreeContext(context);
	free(base_file);
	for (int i = 0; admins && admins[i]; i++)
		free(admins[i]);
	free(admins);
	return (int)code;
}
