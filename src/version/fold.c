/*
 * Folding of the configuration log. The state after a sequence depends on the
 * log alone: not on how it was cut into offers, nor on their order.
 */
#include "version/fold.h"
#include "version/fields.h"
#include "version/patch_log.h"
#include "version/patch.h"

#define MAX_KEPT_ENTRIES 1024
#define MAX_KEPT_BYTES (256 * 1024)
#define MAX_REASON_CHARACTERS 1000
/* Spaces before each line of an entry inside a log. */
#define ENTRY_INDENT 4

/* An entry that is kept for peers. */
typedef struct dws_kept {
	char *text; /* canonical */
	dws_value_t *value;
	size_t size_bytes; /* in a log */
} dws_kept_t;

struct dws_fold {
	uint64_t sequence;
	uint64_t version;
	dws_checked_t current; /* empty before the first version */
	uint8_t digest[DWS_DIGEST_SIZE];
	GPtrArray *kept; /* dws_kept_t *; the last is that of our sequence */
	size_t kept_bytes;
	GArray *verdicts; /* dws_verdict_t */
};

/* Frees an entry that was kept. */
static void free_kept(void *data)
{
	dws_kept_t *kept = data;

	g_free(kept->text);
	dws_value_unref(kept->value);
	g_free(kept);
}

/* Frees the content of a verdict. */
static void clear_verdict(void *data)
{
	dws_verdict_t *verdict = data;

	g_free(verdict->reason);
}

/* SHA-256 over a sequence, highest byte first, and a canonical document. */
static void compute_digest(uint64_t sequence, const char *text,
			   uint8_t digest[DWS_DIGEST_SIZE])
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	guint64 ordered = GUINT64_TO_BE(sequence);
	gsize size_bytes = DWS_DIGEST_SIZE;

	g_checksum_update(checksum, (const guchar *)&ordered, sizeof(ordered));
	if (text)
		g_checksum_update(checksum, (const guchar *)text, -1);
	g_checksum_get_digest(checksum, digest, &size_bytes);
	g_checksum_free(checksum);
}

/* A fold that has read nothing: sequence 0, version 0, no configuration. */
dws_fold_t *dws_fold_new(void)
{
	dws_fold_t *fold = g_new0(dws_fold_t, 1);

	fold->kept = g_ptr_array_new_with_free_func(free_kept);
	fold->verdicts = g_array_new(FALSE, TRUE, sizeof(dws_verdict_t));
	g_array_set_clear_func(fold->verdicts, clear_verdict);
	compute_digest(0, NULL, fold->digest);
	return fold;
}

/* Frees a fold and its reference to the version in force. Ignores NULL. */
void dws_fold_free(dws_fold_t *fold)
{
	if (!fold)
		return;
	dws_checked_finish(&fold->current);
	g_ptr_array_unref(fold->kept);
	g_array_unref(fold->verdicts);
	g_free(fold);
}

/* Puts a checked document, which may be empty, into force. */
static void replace_current(dws_fold_t *fold, const dws_checked_t *checked)
{
	dws_checked_finish(&fold->current);
	fold->current = *checked;
}

/* The size that a canonical text takes inside a log. */
static size_t size_in_log(const char *text)
{
	size_t size_bytes = strlen(text);

	for (const char *at = text; *at; at++)
		size_bytes += *at == '\n' ? ENTRY_INDENT : 0;
	return size_bytes;
}

/* Keeps an entry for peers and drops the oldest ones beyond the bounds. */
static void keep_entry(dws_fold_t *fold, dws_value_t *value)
{
	dws_kept_t *kept = g_new0(dws_kept_t, 1);
	guint dropped = 0;

	kept->value = dws_value_ref(value);
	kept->text = dws_document_canonical(value);
	kept->size_bytes = size_in_log(kept->text);
	g_ptr_array_add(fold->kept, kept);
	fold->kept_bytes += kept->size_bytes;
	while (fold->kept->len - dropped > MAX_KEPT_ENTRIES ||
	       fold->kept_bytes > MAX_KEPT_BYTES) {
		const dws_kept_t *oldest = fold->kept->pdata[dropped++];

		fold->kept_bytes -= oldest->size_bytes;
	}
	if (dropped > 0)
		g_ptr_array_remove_range(fold->kept, 0, dropped);
}

/*
 * Turns an error into a reason: one line, cut at a fixed length. Frees the
 * error.
 */
static char *take_reason(GError *error)
{
	char **lines = g_strsplit(error->message, "\n", -1);
	char *reason = g_strjoinv(" | ", lines);

	if (g_utf8_strlen(reason, -1) > MAX_REASON_CHARACTERS)
		*g_utf8_offset_to_pointer(reason, MAX_REASON_CHARACTERS) = '\0';
	g_strfreev(lines);
	g_error_free(error);
	return reason;
}

/* Reads an entry's parts. False with all faults if it has the wrong form. */
static bool read_entry(const dws_value_t *value, uint64_t *base_version,
		       GError **error)
{
	static const char *const keys[] = {"sequence", "base_version", "patch"};
	dws_faults_t faults;
	dws_fields_t fields;

	dws_faults_init(&faults, NULL);
	if (dws_fields_init(&fields, &faults, value, "")) {
		dws_fields_known(&fields, keys, G_N_ELEMENTS(keys));
		if (!dws_value_number(dws_value_get(value, "base_version"),
				      INT64_MAX, base_version))
			dws_fields_fault(&fields, DWS_ERROR_VALUE,
					 "base_version",
					 "is no number; write the version that "
					 "the patch was made for");
		const dws_value_t *patch = dws_value_get(value, "patch");

		if (!patch || patch->type != DWS_VALUE_MAP)
			dws_fields_fault(&fields, DWS_ERROR_VALUE, "patch",
					 "is no map; write the keys to change");
	}
	return dws_faults_finish(&faults, error);
}

/* Decides on an entry; on acceptance the result is filled. */
static bool judge_entry(const dws_fold_t *fold, const dws_patch_entry_t *entry,
			uint64_t *base_version, dws_checked_t *checked,
			GError **error)
{
	if (!read_entry(entry->value, base_version, error))
		return false;
	if (*base_version != fold->version) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_CONFLICT,
			    "base_version: %" G_GUINT64_FORMAT
			    " is not the version reached, %" G_GUINT64_FORMAT
			    "; make the patch again for that version",
			    *base_version, fold->version);
		return false;
	}
	return dws_patch_apply(checked, fold->current.document,
			       dws_value_get(entry->value, "patch"),
			       entry->sequence, error);
}

/* Records a verdict, whose reason is taken over, and drops the oldest. */
static void add_verdict(dws_fold_t *fold, uint64_t sequence,
			uint64_t base_version, char *reason)
{
	dws_verdict_t verdict = {.sequence = sequence,
				 .base_version = base_version,
				 .accepted = reason == NULL,
				 .reason = reason};

	g_array_append_val(fold->verdicts, verdict);
	if (fold->verdicts->len > DWS_MAX_VERDICTS)
		g_array_remove_index(fold->verdicts, 0);
}

/* Folds the entry that follows our sequence. */
static void fold_entry(dws_fold_t *fold, const dws_patch_entry_t *entry,
		       dws_fold_result_t *result)
{
	uint64_t base_version = 0;
	char *reason = NULL;
	dws_checked_t checked;
	GError *error = NULL;

	if (judge_entry(fold, entry, &base_version, &checked, &error)) {
		replace_current(fold, &checked);
		fold->version = entry->sequence;
		result->changed = true;
	} else {
		reason = take_reason(error);
	}
	fold->sequence = entry->sequence;
	result->advanced = true;
	keep_entry(fold, entry->value);
	add_verdict(fold, entry->sequence, base_version, reason);
}

/*
 * Takes a snapshot above our sequence. False if its document is not valid.
 * The verdicts of the entries that it replaces are not known.
 */
static bool take_snapshot(dws_fold_t *fold, const dws_patch_log_t *log,
			  dws_fold_result_t *result, GError **error)
{
	dws_checked_t checked = {.document = NULL};

	if (log->snapshot_document &&
	    !dws_checked_init(&checked, log->snapshot_document,
			      log->snapshot_version, error)) {
		g_prefix_error(error, "log: snapshot: ");
		return false;
	}
	result->advanced = true;
	result->changed = log->snapshot_version != fold->version;
	replace_current(fold, &checked);
	fold->sequence = log->snapshot_sequence;
	fold->version = log->snapshot_version;
	g_ptr_array_set_size(fold->kept, 0);
	fold->kept_bytes = 0;
	return true;
}

/* Folds the entries that follow without a gap. */
static void take_entries(dws_fold_t *fold, const dws_patch_log_t *log,
			 dws_fold_result_t *result)
{
	for (guint i = 0; i < log->entries->len; i++) {
		const dws_patch_entry_t *entry =
			&g_array_index(log->entries, dws_patch_entry_t, i);

		if (entry->sequence <= fold->sequence)
			continue;
		if (entry->sequence != fold->sequence + 1) {
			result->gap = true;
			return;
		}
		fold_entry(fold, entry, result);
	}
}

/* Tells whether a snapshot has another document than the one in force. */
static bool document_differs(const dws_fold_t *fold, const dws_patch_log_t *log)
{
	if (!log->snapshot_document)
		return fold->current.text != NULL;
	char *text = dws_document_canonical(log->snapshot_document);
	bool differs = g_strcmp0(text, fold->current.text) != 0;

	g_free(text);
	return differs;
}

/*
 * Tells whether a snapshot of our sequence or above contradicts our state.
 * After entries that we have read, the version is ours or a later entry's: an
 * older one would put an older configuration back into force.
 */
static bool snapshot_differs(const dws_fold_t *fold, const dws_patch_log_t *log)
{
	if (log->snapshot_version == fold->version)
		return document_differs(fold, log);
	return log->snapshot_version <= fold->sequence;
}

/* The kept entry of a sequence; NULL if it is not kept. */
static const dws_kept_t *find_kept(const dws_fold_t *fold, uint64_t sequence)
{
	uint64_t back = fold->sequence - sequence;

	if (sequence > fold->sequence || back >= fold->kept->len)
		return NULL;
	return fold->kept->pdata[fold->kept->len - 1 - back];
}

/* Tells whether an entry differs from the one that we folded. */
static bool entry_differs(const dws_fold_t *fold,
			  const dws_patch_entry_t *entry)
{
	const dws_kept_t *kept = find_kept(fold, entry->sequence);

	if (!kept)
		return false;
	char *text = dws_document_canonical(entry->value);
	bool differs = strcmp(text, kept->text) != 0;

	g_free(text);
	return differs;
}

/*
 * Tells whether a log contradicts our state or the entries that we keep: it
 * then has another history than ours.
 */
static bool is_conflict(const dws_fold_t *fold, const dws_patch_log_t *log)
{
	if (log->has_snapshot && log->snapshot_sequence >= fold->sequence &&
	    snapshot_differs(fold, log))
		return true;
	if (log->snapshot_sequence > fold->sequence)
		return false;
	for (guint i = 0; i < log->entries->len; i++) {
		if (entry_differs(fold, &g_array_index(log->entries,
						       dws_patch_entry_t, i)))
			return true;
	}
	return false;
}

/* Takes what is new in a log that fits our history. */
static bool take_log(dws_fold_t *fold, const dws_patch_log_t *log,
		     dws_fold_result_t *result, GError **error)
{
	if (log->has_snapshot && log->snapshot_sequence > fold->sequence &&
	    !take_snapshot(fold, log, result, error))
		return false;
	take_entries(fold, log, result);
	if (result->advanced)
		compute_digest(fold->sequence, fold->current.text,
			       fold->digest);
	return true;
}

/*
 * Takes what is new in a log. Nothing is taken of a log with another history
 * than ours; a later snapshot of a version that we have not read heals that.
 */
bool dws_fold_offer(dws_fold_t *fold, const char *text, size_t size_bytes,
		    dws_fold_result_t *result, GError **error)
{
	dws_patch_log_t log;
	bool ok = true;

	*result = (dws_fold_result_t){.advanced = false};
	if (!dws_patch_log_init(&log, text, size_bytes, error))
		return false;
	result->older = log.end > 0 && log.end < fold->sequence;
	result->conflict = is_conflict(fold, &log);
	if (!result->conflict)
		ok = take_log(fold, &log, result, error);
	dws_patch_log_finish(&log);
	return ok;
}

/* Copies the kept entries after a sequence, all of them kept, into a log. */
static char *kept_text(const dws_fold_t *fold, uint64_t after)
{
	guint count = (guint)(fold->sequence - after);
	guint first = fold->kept->len - count;
	dws_value_t **values = g_new(dws_value_t *, count);

	for (guint i = 0; i < count; i++) {
		const dws_kept_t *kept = fold->kept->pdata[first + i];

		values[i] = kept->value;
	}
	char *text = dws_patch_log_entries_text(values, count);

	g_free(values);
	return text;
}

/* The log after a sequence; NULL if there is nothing after. */
char *dws_fold_log_after(const dws_fold_t *fold, uint64_t after,
			 size_t *size_bytes)
{
	*size_bytes = 0;
	if (after >= fold->sequence)
		return NULL;
	char *text = fold->sequence - after <= fold->kept->len
			     ? kept_text(fold, after)
			     : dws_patch_log_snapshot_text(
				       fold->sequence, fold->version,
				       fold->current.document);

	*size_bytes = strlen(text);
	return text;
}

/* The version in force, borrowed; NULL before the first. */
dws_config_t *dws_fold_config(const dws_fold_t *fold)
{
	return fold->current.config;
}

/* The sequence number of the last entry that was read; 0 before any. */
uint64_t dws_fold_sequence(const dws_fold_t *fold)
{
	return fold->sequence;
}

/* The sequence number of the last accepted entry; 0 before any. */
uint64_t dws_fold_version(const dws_fold_t *fold)
{
	return fold->version;
}

/* The digest of our sequence and document, DWS_DIGEST_SIZE bytes, borrowed. */
const uint8_t *dws_fold_digest(const dws_fold_t *fold)
{
	return fold->digest;
}

/* The canonical document in force; "" before the first. */
char *dws_fold_document(const dws_fold_t *fold)
{
	return g_strdup(fold->current.text ? fold->current.text : "");
}

/* The last verdicts, oldest first. */
const GArray *dws_fold_verdicts(const dws_fold_t *fold)
{
	return fold->verdicts;
}
