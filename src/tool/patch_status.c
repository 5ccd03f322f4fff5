/*
 * The subcommand "patch status".
 */
#include "tool/admin.h"
#include "tool/json.h"
#include "tool/tool.h"

/* What one daemon knows of an entry. */
typedef enum dws_ledger_state {
	DWS_FATE_UNREACHED, /* the daemon did not answer */
	DWS_FATE_UNREAD, /* the daemon has not read it yet */
	DWS_FATE_ACCEPTED,
	DWS_FATE_REJECTED,
	DWS_FATE_FORGOTTEN, /* read, but the verdict is no longer kept */
	DWS_FATE_COUNT
} dws_ledger_state_t;

static const char *const fate_names[DWS_FATE_COUNT] = {
	[DWS_FATE_UNREACHED] = "unreached", [DWS_FATE_UNREAD] = "unread",
	[DWS_FATE_ACCEPTED] = "accepted",   [DWS_FATE_REJECTED] = "rejected",
	[DWS_FATE_FORGOTTEN] = "forgotten",
};

/* Finds the verdict on a sequence, borrowed; NULL if there is none. */
static const dws_value_t *find_verdict(const dws_value_t *view,
				       uint64_t sequence)
{
	const dws_value_t *list = dws_value_get(view, "verdicts");

	if (!list || list->type != DWS_VALUE_LIST)
		return NULL;
	for (guint i = 0; i < list->items->len; i++) {
		const dws_value_t *verdict = list->items->pdata[i];

		if (dws_view_number(verdict, "sequence") == sequence)
			return verdict;
	}
	return NULL;
}

/* Decides what a view says about an entry. */
static dws_ledger_state_t judge(const dws_value_t *view,
				const dws_value_t *verdict, uint64_t sequence)
{
	if (dws_view_number(view, "sequence") < sequence)
		return DWS_FATE_UNREAD;
	if (dws_view_number(view, "version") == sequence)
		return DWS_FATE_ACCEPTED;
	if (!verdict)
		return DWS_FATE_FORGOTTEN;
	return strcmp(dws_view_text(verdict, "accepted"), "true") == 0
		       ? DWS_FATE_ACCEPTED
		       : DWS_FATE_REJECTED;
}

/* Prints what one daemon said. */
static void print_fate(const dws_tool_t *tool, const char *address,
		       dws_ledger_state_t fate, const char *reason)
{
	if (!tool->json) {
		printf("%s: %s%s%s\n", address, fate_names[fate],
		       reason ? ": " : "", reason ? reason : "");
		return;
	}
	GString *line = g_string_new("{\"admin\":");

	dws_json_text(line, address);
	g_string_append_printf(
		line, ",\"verdict\":\"%s\",\"reason\":", fate_names[fate]);
	dws_json_text(line, reason ? reason : "");
	printf("%s}\n", line->str);
	g_string_free(line, TRUE);
}

/* Asks one daemon for its verdict and prints it. */
static dws_ledger_state_t ask(const dws_tool_t *tool, const char *address,
			      uint64_t sequence)
{
	GError *error = NULL;
	dws_value_t *view = dws_admin_view(address, "/verdicts", &error);

	if (!view) {
		print_fate(tool, address, DWS_FATE_UNREACHED, error->message);
		g_error_free(error);
		return DWS_FATE_UNREACHED;
	}
	const dws_value_t *verdict = find_verdict(view, sequence);
	dws_ledger_state_t fate = judge(view, verdict, sequence);

	print_fate(tool, address, fate,
		   fate == DWS_FATE_REJECTED ? dws_view_text(verdict, "reason")
					     : NULL);
	dws_value_unref(view);
	return fate;
}

/*
 * Asks each daemon for its verdict on an entry. Verdicts are the same
 * everywhere, so one that a daemon has forgotten is settled by another's.
 */
dws_exit_t dws_tool_patch_status(const dws_tool_t *tool, int argc,
				 const char **argv)
{
	uint32_t counts[DWS_FATE_COUNT] = {0};
	uint32_t asked = 0;
	guint64 sequence = 0;

	if (!g_ascii_string_to_unsigned(argv[0], 10, 1, INT64_MAX, &sequence,
					NULL)) {
		fprintf(stderr,
			"dogwoodshift: patch status: \"%s\" is no sequence "
			"number; write one from 1\n",
			argv[0]);
		return DWS_EXIT_USAGE;
	}
	for (; tool->admins[asked]; asked++)
		counts[ask(tool, tool->admins[asked], sequence)]++;
	uint32_t read =
		asked - counts[DWS_FATE_UNREACHED] - counts[DWS_FATE_UNREAD];

	if (!tool->json)
		printf("read by %u of %u daemons: %u accepted, %u rejected, %u "
		       "forgotten\n",
		       read, asked, counts[DWS_FATE_ACCEPTED],
		       counts[DWS_FATE_REJECTED], counts[DWS_FATE_FORGOTTEN]);
	return read == asked && counts[DWS_FATE_ACCEPTED] > 0 &&
			       counts[DWS_FATE_REJECTED] == 0
		       ? DWS_EXIT_OK
		       : DWS_EXIT_NO;
}
