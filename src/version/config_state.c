/*
 * The configuration state machine. The state at a sequence number depends only
 * on the log, not on how the log was split into parts or in which order the
 * parts arrived.
 */
#include "version/config_state.h"
#include "version/fields.h"
#include "version/patch_log.h"
#include "version/patch.h"

#define MAX_RETAINED_ENTRIES 1024
#define MAX_RETAINED_BYTES (256 * 1024)
#define MAX_REASON_CHARACTERS 1000
/* Spaces of indentation of each line of an entry inside a log. */
#define ENTRY_INDENT 4

/* An applied entry, retained to answer pulls of peers. */
typedef struct retained_entry {
	char *text; /* canonical */
	dws_value_t *value;
	size_t size_bytes; /* in a log */
} retained_entry_t;

struct dws_config_state {
	uint64_t sequence;
	uint64_t version;
	/* The active document; empty before the first version. */
	dws_valid_document_t active;
	uint8_t digest[DWS_DIGEST_SIZE];
	/* retained_entry_t *; the last one has the current sequence */
	GPtrArray *retained;
	size_t retained_bytes;
	GArray *verdicts; /* dws_verdict_t */
};

static void free_retained_entry(void *data)
{
	retained_entry_t *retained = data;

	g_free(retained->text);
	dws_value_unref(retained->value);
	g_free(retained);
}

static void clear_verdict(void *data)
{
	dws_verdict_t *verdict = data;

	g_free(verdict->reason);
}

/* SHA-256 over a sequence in big-endian order and a canonical document. */
static void compute_digest(uint64_t sequence, const char *text,
			   uint8_t digest[DWS_DIGEST_SIZE])
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	guint64 sequence_be = GUINT64_TO_BE(sequence);
	gsize size_bytes = DWS_DIGEST_SIZE;

	g_checksum_update(checksum, (const guchar *)&sequence_be,
			  sizeof(sequence_be));
	if (text)
		g_checksum_update(checksum, (const guchar *)text, -1);
	g_checksum_get_digest(checksum, digest, &size_bytes);
	g_checksum_free(checksum);
}

/* Creates an empty state: sequence 0, version 0, no configuration. */
dws_config_state_t *dws_config_state_new(void)
{
	dws_config_state_t *config_state = g_new0(dws_config_state_t, 1);

	config_state->retained =
		g_ptr_array_new_with_free_func(free_retained_entry);
	config_state->verdicts =
		g_array_new(FALSE, TRUE, sizeof(dws_verdict_t));
	g_array_set_clear_func(config_state->verdicts, clear_verdict);
	compute_digest(0, NULL, config_state->digest);
	return config_state;
}

/* Frees a state and its reference to the active configuration. Ignores NULL. */
void dws_config_state_free(dws_config_state_t *config_state)
{
	if (!config_state)
		return;
	dws_valid_document_finish(&config_state->active);
	g_ptr_array_unref(config_state->retained);
	g_array_unref(config_state->verdicts);
	g_free(config_state);
}

/* Makes a validated document, which may be empty, the active one. */
static void replace_active(dws_config_state_t *config_state,
			   const dws_valid_document_t *document)
{
	dws_valid_document_finish(&config_state->active);
	config_state->active = *document;
}

/* Size of a canonical text inside a log, with indentation. */
static size_t size_in_log(const char *text)
{
	size_t size_bytes = strlen(text);

	for (const char *at = text; *at; at++)
		size_bytes += *at == '\n' ? ENTRY_INDENT : 0;
	return size_bytes;
}

/*
 * Retains an entry for peers. Drops the oldest entries beyond
 * MAX_RETAINED_ENTRIES or MAX_RETAINED_BYTES.
 */
static void retain_entry(dws_config_state_t *config_state, dws_value_t *value)
{
	retained_entry_t *retained = g_new0(retained_entry_t, 1);
	guint dropped = 0;

	retained->value = dws_value_ref(value);
	retained->text = dws_document_canonical(value);
	retained->size_bytes = size_in_log(retained->text);
	g_ptr_array_add(config_state->retained, retained);
	config_state->retained_bytes += retained->size_bytes;
	while (config_state->retained->len - dropped > MAX_RETAINED_ENTRIES ||
	       config_state->retained_bytes > MAX_RETAINED_BYTES) {
		const retained_entry_t *oldest =
			config_state->retained->pdata[dropped++];

		config_state->retained_bytes -= oldest->size_bytes;
	}
	if (dropped > 0)
		g_ptr_array_remove_range(config_state->retained, 0, dropped);
}

/*
 * Converts an error message into the reason of a verdict: one line, truncated
 * to MAX_REASON_CHARACTERS. Frees the error.
 */
static char *error_to_reason(GError *error)
{
	char **lines = g_strsplit(error->message, "\n", -1);
	char *reason = g_strjoinv(" | ", lines);

	if (g_utf8_strlen(reason, -1) > MAX_REASON_CHARACTERS)
		*g_utf8_offset_to_pointer(reason, MAX_REASON_CHARACTERS) = '\0';
	g_strfreev(lines);
	g_error_free(error);
	return reason;
}

/*
 * Checks the structure of an entry and reads its base version. On failure the
 * error lists all faults.
 */
static bool read_entry(const dws_value_t *value, uint64_t *base_version,
		       GError **error)
{
	static const char *const keys[] = {"sequence", "base_version", "patch"};
	dws_faults_t faults;
	dws_fields_t fields;

	dws_faults_init(&faults, NULL);
	if (dws_fields_init(&fields, &faults, value, "")) {
		dws_fields_reject_unknown(&fields, keys, G_N_ELEMENTS(keys));
		if (!dws_value_parse_number(
			    dws_value_get(value, "base_version"), INT64_MAX,
			    base_version))
			dws_fields_report(
				&fields, DWS_ERROR_VALUE, "base_version",
				"is not a number; write the version that "
				"the patch is based on");
		const dws_value_t *patch = dws_value_get(value, "patch");

		if (!patch || patch->type != DWS_VALUE_MAP)
			dws_fields_report(
				&fields, DWS_ERROR_VALUE, "patch",
				"is not a map; write the keys to change");
	}
	return dws_faults_finish(&faults, error);
}

/*
 * Validates an entry against the current version. If the entry is accepted,
 * patched receives the patched document.
 */
static bool validate_entry(const dws_config_state_t *config_state,
			   const dws_patch_entry_t *entry,
			   uint64_t *base_version,
			   dws_valid_document_t *patched, GError **error)
{
	if (!read_entry(entry->value, base_version, error))
		return false;
	if (*base_version != config_state->version) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_CONFLICT,
			    "base_version: %" G_GUINT64_FORMAT
			    " is not the current version, %" G_GUINT64_FORMAT
			    "; make the patch again for that version",
			    *base_version, config_state->version);
		return false;
	}
	return dws_patch_apply(patched, config_state->active.document,
			       dws_value_get(entry->value, "patch"),
			       entry->sequence, error);
}

/*
 * Records the verdict on an entry and drops the oldest one beyond
 * DWS_MAX_VERDICTS. Takes ownership of the reason; NULL means accepted.
 */
static void add_verdict(dws_config_state_t *config_state, uint64_t sequence,
			uint64_t base_version, char *reason)
{
	dws_verdict_t verdict = {.sequence = sequence,
				 .base_version = base_version,
				 .accepted = reason == NULL,
				 .reason = reason};

	g_array_append_val(config_state->verdicts, verdict);
	if (config_state->verdicts->len > DWS_MAX_VERDICTS)
		g_array_remove_index(config_state->verdicts, 0);
}

/* Applies the entry that follows the current sequence. */
static void apply_entry(dws_config_state_t *config_state,
			const dws_patch_entry_t *entry,
			dws_apply_result_t *result)
{
	uint64_t base_version = 0;
	char *reason = NULL;
	dws_valid_document_t patched;
	GError *error = NULL;

	if (validate_entry(config_state, entry, &base_version, &patched,
			   &error)) {
		replace_active(config_state, &patched);
		config_state->version = entry->sequence;
		result->changed = true;
	} else {
		reason = error_to_reason(error);
	}
	config_state->sequence = entry->sequence;
	result->advanced = true;
	retain_entry(config_state, entry->value);
	add_verdict(config_state, entry->sequence, base_version, reason);
}

/*
 * Replaces the state by a snapshot with a higher sequence. False if the
 * document of the snapshot is invalid. The verdicts on the entries that the
 * snapshot covers remain unknown.
 */
static bool apply_snapshot(dws_config_state_t *config_state,
			   const dws_patch_log_t *log,
			   dws_apply_result_t *result, GError **error)
{
	dws_valid_document_t document = {.document = NULL};

	if (log->snapshot_document &&
	    !dws_valid_document_init(&document, log->snapshot_document,
				     log->snapshot_version, error)) {
		g_prefix_error(error, "log: snapshot: ");
		return false;
	}
	result->advanced = true;
	result->changed = log->snapshot_version != config_state->version;
	replace_active(config_state, &document);
	config_state->sequence = log->snapshot_sequence;
	config_state->version = log->snapshot_version;
	g_ptr_array_set_size(config_state->retained, 0);
	config_state->retained_bytes = 0;
	return true;
}

/* Applies the newer entries of a log up to the first gap. */
static void apply_entries(dws_config_state_t *config_state,
			  const dws_patch_log_t *log,
			  dws_apply_result_t *result)
{
	for (guint i = 0; i < log->entries->len; i++) {
		const dws_patch_entry_t *entry =
			&g_array_index(log->entries, dws_patch_entry_t, i);

		if (entry->sequence <= config_state->sequence)
			continue;
		if (entry->sequence != config_state->sequence + 1) {
			result->gap = true;
			return;
		}
		apply_entry(config_state, entry, result);
	}
}

/* True if the document of a snapshot differs from the active one. */
static bool document_differs(const dws_config_state_t *config_state,
			     const dws_patch_log_t *log)
{
	if (!log->snapshot_document)
		return config_state->active.text != NULL;
	char *text = dws_document_canonical(log->snapshot_document);
	bool differs = g_strcmp0(text, config_state->active.text) != 0;

	g_free(text);
	return differs;
}

/*
 * True if a snapshot with the current or a higher sequence contradicts the
 * current state. Its version must be the current one, or that of an entry after
 * the current sequence: an earlier version would bring back an older
 * configuration.
 */
static bool snapshot_conflicts(const dws_config_state_t *config_state,
			       const dws_patch_log_t *log)
{
	if (log->snapshot_version == config_state->version)
		return document_differs(config_state, log);
	return log->snapshot_version <= config_state->sequence;
}

/* The retained entry with a sequence number; NULL if there is none. */
static const retained_entry_t *
find_retained_entry(const dws_config_state_t *config_state, uint64_t sequence)
{
	uint64_t distance = config_state->sequence - sequence;

	if (sequence > config_state->sequence ||
	    distance >= config_state->retained->len)
		return NULL;
	return config_state->retained
		->pdata[config_state->retained->len - 1 - distance];
}

/*
 * True if an entry differs from the one that was applied with the same sequence
 * number. False if that one is no longer retained.
 */
static bool entry_differs(const dws_config_state_t *config_state,
			  const dws_patch_entry_t *entry)
{
	const retained_entry_t *retained =
		find_retained_entry(config_state, entry->sequence);

	if (!retained)
		return false;
	char *text = dws_document_canonical(entry->value);
	bool differs = strcmp(text, retained->text) != 0;

	g_free(text);
	return differs;
}

/*
 * True if a log contradicts the current state or the retained entries, which
 * means that it has another history.
 */
static bool log_conflicts(const dws_config_state_t *config_state,
			  const dws_patch_log_t *log)
{
	if (log->has_snapshot &&
	    log->snapshot_sequence >= config_state->sequence &&
	    snapshot_conflicts(config_state, log))
		return true;
	if (log->snapshot_sequence > config_state->sequence)
		return false;
	for (guint i = 0; i < log->entries->len; i++) {
		if (entry_differs(
			    config_state,
			    &g_array_index(log->entries, dws_patch_entry_t, i)))
			return true;
	}
	return false;
}

/* Applies the newer part of a log that has the same history. */
static bool apply_log(dws_config_state_t *config_state,
		      const dws_patch_log_t *log, dws_apply_result_t *result,
		      GError **error)
{
	if (log->has_snapshot &&
	    log->snapshot_sequence > config_state->sequence &&
	    !apply_snapshot(config_state, log, result, error))
		return false;
	apply_entries(config_state, log, result);
	if (result->advanced)
		compute_digest(config_state->sequence,
			       config_state->active.text, config_state->digest);
	return true;
}

/*
 * Applies the newer part of a log. A log with another history is not applied at
 * all; the conflict ends with a snapshot whose version is above the current
 * sequence.
 */
bool dws_config_state_apply_log(dws_config_state_t *config_state,
				const char *text, size_t size_bytes,
				dws_apply_result_t *result, GError **error)
{
	dws_patch_log_t log;
	bool ok = true;

	*result = (dws_apply_result_t){.advanced = false};
	if (!dws_patch_log_init(&log, text, size_bytes, error))
		return false;
	result->older = log.end > 0 && log.end < config_state->sequence;
	result->conflict = log_conflicts(config_state, &log);
	if (!result->conflict)
		ok = apply_log(config_state, &log, result, error);
	dws_patch_log_finish(&log);
	return ok;
}

/* A log of the entries after a sequence, all of which must be retained. */
static char *retained_entries_text(const dws_config_state_t *config_state,
				   uint64_t after)
{
	guint count = (guint)(config_state->sequence - after);
	guint first = config_state->retained->len - count;
	dws_value_t **values = g_new(dws_value_t *, count);

	for (guint i = 0; i < count; i++) {
		const retained_entry_t *retained =
			config_state->retained->pdata[first + i];

		values[i] = retained->value;
	}
	char *text = dws_patch_log_entries_text(values, count);

	g_free(values);
	return text;
}

char *dws_config_state_log_after(const dws_config_state_t *config_state,
				 uint64_t after, size_t *size_bytes)
{
	*size_bytes = 0;
	if (after >= config_state->sequence)
		return NULL;
	char *text =
		config_state->sequence - after <= config_state->retained->len
			? retained_entries_text(config_state, after)
			: dws_patch_log_snapshot_text(
				  config_state->sequence, config_state->version,
				  config_state->active.document);

	*size_bytes = strlen(text);
	return text;
}

dws_config_t *dws_config_state_config(const dws_config_state_t *config_state)
{
	return config_state->active.config;
}

uint64_t dws_config_state_sequence(const dws_config_state_t *config_state)
{
	return config_state->sequence;
}

uint64_t dws_config_state_version(const dws_config_state_t *config_state)
{
	return config_state->version;
}

const uint8_t *dws_config_state_digest(const dws_config_state_t *config_state)
{
	return config_state->digest;
}

char *dws_config_state_document(const dws_config_state_t *config_state)
{
	return g_strdup(config_state->active.text ? config_state->active.text
						  : "");
}

const GArray *dws_config_state_verdicts(const dws_config_state_t *config_state)
{
	return config_state->verdicts;
}
