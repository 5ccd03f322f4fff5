/*
 * The subcommand "patch status".
 */
#include "tool/admin.h"
#include "tool/json_writer.h"
#include "tool/tool.h"

/* State of a log entry at one daemon. */
typedef enum dws_entry_state {
	DWS_ENTRY_UNREACHED, /* the request to the daemon failed */
	DWS_ENTRY_UNREAD, /* the daemon has not read it yet */
	DWS_ENTRY_ACCEPTED,
	DWS_ENTRY_REJECTED,
	DWS_ENTRY_FORGOTTEN, /* read, but the verdict is no longer stored */
	DWS_ENTRY_STATE_COUNT
} dws_entry_state_t;

static const char *const state_names[DWS_ENTRY_STATE_COUNT] = {
	[DWS_ENTRY_UNREACHED] = "unreached", [DWS_ENTRY_UNREAD] = "unread",
	[DWS_ENTRY_ACCEPTED] = "accepted",   [DWS_ENTRY_REJECTED] = "rejected",
	[DWS_ENTRY_FORGOTTEN] = "forgotten",
};

/*
 * Returns the verdict on the entry with a sequence number, owned by response;
 * NULL if there is none.
 */
static const dws_value_t *find_verdict(const dws_value_t *response,
				       uint64_t sequence)
{
	const dws_value_t *list = dws_value_get(response, "verdicts");

	if (!list || list->type != DWS_VALUE_LIST)
		return NULL;
	for (guint i = 0; i < list->items->len; i++) {
		const dws_value_t *verdict = list->items->pdata[i];

		if (dws_json_get_number(verdict, "sequence") == sequence)
			return verdict;
	}
	return NULL;
}

/*
 * Derives the state of an entry from a daemon's response. The version in force
 * has the sequence number of the entry that introduced it.
 */
static dws_entry_state_t get_state(const dws_value_t *response,
				   const dws_value_t *verdict,
				   uint64_t sequence)
{
	if (dws_json_get_number(response, "sequence") < sequence)
		return DWS_ENTRY_UNREAD;
	if (dws_json_get_number(response, "version") == sequence)
		return DWS_ENTRY_ACCEPTED;
	if (!verdict)
		return DWS_ENTRY_FORGOTTEN;
	return strcmp(dws_json_get_string(verdict, "accepted"), "true") == 0
		       ? DWS_ENTRY_ACCEPTED
		       : DWS_ENTRY_REJECTED;
}

static void print_state(const dws_tool_options_t *tool, const char *address,
			dws_entry_state_t state, const char *reason)
{
	if (!tool->json) {
		printf("%s: %s%s%s\n", address, state_names[state],
		       reason ? ": " : "", reason ? reason : "");
		return;
	}
	GString *line = g_string_new("{\"admin\":");

	dws_json_append_string(line, address);
	g_string_append_printf(
		line, ",\"verdict\":\"%s\",\"reason\":", state_names[state]);
	dws_json_append_string(line, reason ? reason : "");
	printf("%s}\n", line->str);
	g_string_free(line, TRUE);
}

/* Requests the verdict of one daemon and prints it. */
static dws_entry_state_t query_daemon(const dws_tool_options_t *tool,
				      const char *address, uint64_t sequence)
{
	GError *error = NULL;
	dws_value_t *response =
		dws_admin_get_json(address, "/verdicts", &error);

	if (!response) {
		print_state(tool, address, DWS_ENTRY_UNREACHED, error->message);
		g_error_free(error);
		return DWS_ENTRY_UNREACHED;
	}
	const dws_value_t *verdict = find_verdict(response, sequence);
	dws_entry_state_t state = get_state(response, verdict, sequence);

	print_state(tool, address, state,
		    state == DWS_ENTRY_REJECTED
			    ? dws_json_get_string(verdict, "reason")
			    : NULL);
	dws_value_unref(response);
	return state;
}

/*
 * Requests each daemon's verdict on an entry. All daemons reach the same
 * verdict, so that of one daemon also holds for daemons that no longer store
 * it.
 */
dws_exit_code_t dws_tool_patch_status(const dws_tool_options_t *tool, int argc,
				      const char **argv)
{
	uint32_t counts[DWS_ENTRY_STATE_COUNT] = {0};
	uint32_t daemon_count = 0;
	guint64 sequence = 0;

	if (!g_ascii_string_to_unsigned(argv[0], 10, 1, INT64_MAX, &sequence,
					NULL)) {
		fprintf(stderr,
			"dogwoodshift: patch status: \"%s\" is not a sequence "
			"number; specify a number from 1\n",
			argv[0]);
		return DWS_EXIT_USAGE;
	}
	for (; tool->admins[daemon_count]; daemon_count++)
		counts[query_daemon(tool, tool->admins[daemon_count],
				    sequence)]++;
	uint32_t read_count = daemon_count - counts[DWS_ENTRY_UNREACHED] -
			      counts[DWS_ENTRY_UNREAD];

	if (!tool->json)
		printf("read by %u of %u daemons: %u accepted, %u rejected, %u "
		       "forgotten\n",
		       read_count, daemon_count, counts[DWS_ENTRY_ACCEPTED],
		       counts[DWS_ENTRY_REJECTED], counts[DWS_ENTRY_FORGOTTEN]);
	return read_count == daemon_count && counts[DWS_ENTRY_ACCEPTED] > 0 &&
			       counts[DWS_ENTRY_REJECTED] == 0
		       ? DWS_EXIT_OK
		       : DWS_EXIT_FAILURE;
}
