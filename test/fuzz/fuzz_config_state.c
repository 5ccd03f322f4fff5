/*
 * Offers one patch log to several configuration states in different parts and
 * orders, with repeats, snapshots and corrupted copies. The oracle is a small
 * model of the document that tells which entries must be accepted. States at
 * equal sequences must have equal digests, versions and verdicts. After the end
 * of the input, a generator seeded by it supplies the values.
 *
 * Fuzz runs: 700
 */
#include <stdio.h>
#include <stdlib.h>
#include "version/config_state.h"
#include "version/patch_log.h"

#define CONFIG_STATES 3
#define MAX_ENTRIES 16
#define STEPS 40
#define KINDS 3
#define CUSTOMERS 2
#define CHECK(condition)                                                       \
	do {                                                                   \
		if (!(condition)) {                                            \
			fprintf(stderr, "%d: %s\n", __LINE__, #condition);     \
			abort();                                               \
		}                                                              \
	} while (0)

/* The oracle's model of a document; a value below 0 means an absent key. */
typedef struct model {
	int priority[KINDS];
	int window; /* of the only slowdown, which is of kind k0 */
	int called[CUSTOMERS]; /* window given in the customer's call */
	bool is_invalid;
} model_t;

static struct {
	const uint8_t *data;
	size_t size;
	uint64_t random;
	uint32_t count; /* number of entries */
	/* YAML flow text; the index is the sequence, from 1 */
	char *entries[MAX_ENTRIES + 1];
	char *snapshots[MAX_ENTRIES + 1];
	uint64_t versions[MAX_ENTRIES + 1];
	uint8_t digests[MAX_ENTRIES + 1][DWS_DIGEST_SIZE];
	char *reasons[MAX_ENTRIES + 1];
} fuzz;

static uint32_t draw(uint32_t bound)
{
	if (fuzz.size == 0) {
		fuzz.random = fuzz.random * 6364136223846793005ULL + 1;
		return (uint32_t)(fuzz.random >> 33) % bound;
	}
	fuzz.size--;
	fuzz.random = (fuzz.random ^ *fuzz.data) * 0x100000001b3ULL;
	return *fuzz.data++ % bound;
}

static bool is_valid(const model_t *model)
{
	bool has_kind = false;

	for (int i = 0; i < KINDS; i++) {
		has_kind |= model->priority[i] >= 0;
		if (model->priority[i] > 7)
			return false;
	}
	for (int i = 0; i < CUSTOMERS; i++) {
		if (model->called[i] >= 0 && model->called[i] != model->window)
			return false;
	}
	return has_kind && !model->is_invalid &&
	       (model->window < 0 || model->priority[0] >= 0);
}

/* Draws a patch, applies it to the model and returns its text. */
static char *make_patch(model_t *model)
{
	int i = (int)draw(KINDS), value = (int)draw(10);
	int customer = value % CUSTOMERS, window = i;

	switch (draw(9)) {
	case 0:
	case 1:
		model->priority[i] = value;
		return g_strdup_printf(
			"{services: {s: {}}, kinds: {k%d: {service: s, priority"
			": %d, path_prefix: /k%d, idempotent: true}}}",
			i, value, i);
	case 2:
		model->priority[i] = -1;
		return g_strdup_printf("{kinds: {k%d: ~}}", i);
	case 3: /* changes the window, keeps the calls */
		model->window = window;
		return g_strdup_printf(
			"{slowdowns: {x: {start: 2027-01-0%dT00:00:00Z, end: "
			"2027-02-01T00:00:00Z, added_delay_ms: 9, kinds: [k0], "
			"customers: [c0, c1]}}}",
			window + 1);
	case 4: /* changes the window, clears the calls */
		model->window = window;
		model->called[0] = model->called[1] = -1;
		return g_strdup_printf(
			"{slowdowns: {x: {start: 2027-01-0%dT00:00:00Z, end: "
			"2027-02-01T00:00:00Z, added_delay_ms: 9, kinds: [k0], "
			"customers: [c1, c0], called: null}}}",
			window + 1);
	case 5:
		model->called[customer] = window;
		return g_strdup_printf(
			"{slowdowns: {x: {called: {c%d: 2027-01-0%dT00:00:00Z/"
			"2027-02-01T00:00:00Z/k0}}}}",
			customer, window + 1);
	case 6:
		model->window = model->called[0] = model->called[1] = -1;
		return g_strdup("{slowdowns: {x: ~}}");
	case 7:
		model->is_invalid = true;
		return g_strdup(value & 1 ? "{kind: {}}" : "nothing");
	default:
		model->is_invalid = true;
		return g_strdup("{kinds: {k0: {worth: 0}}, limits: [1]}");
	}
}

/*
 * Formats the log of entries first to last, preceded by the snapshot of a
 * sequence; 0 means no snapshot.
 */
static char *log_text(uint32_t snapshot, uint32_t first, uint32_t last)
{
	GString *text = g_string_new(snapshot ? fuzz.snapshots[snapshot] : "");

	if (first <= last)
		g_string_append(text, "entries:\n");
	for (uint32_t i = first; i <= last; i++)
		g_string_append_printf(text, "  - %s\n", fuzz.entries[i]);
	return g_string_free(text, FALSE);
}

static bool offer_log(dws_config_state_t *config_state, const char *text,
		      dws_apply_result_t *result)
{
	GError *error = NULL;
	bool accepted = dws_config_state_apply_log(
		config_state, text, strlen(text), result, &error);

	CHECK(accepted == (error == NULL));
	g_clear_error(&error);
	return accepted;
}

/*
 * Adds an entry to the log and records the version, digest and verdict that all
 * configuration states must reach with it, and a snapshot.
 */
static void add_entry(dws_config_state_t *reference, model_t *model)
{
	uint32_t sequence = ++fuzz.count;
	uint64_t version = fuzz.versions[sequence - 1];
	uint64_t base_version = draw(4) ? version : draw((uint32_t)version + 3);
	model_t candidate = *model;
	char *patch = make_patch(&candidate);
	dws_apply_result_t result;

	fuzz.entries[sequence] =
		g_strdup_printf("{sequence: %u, base_version: %u, patch: %s}",
				sequence, (uint32_t)base_version, patch);
	g_free(patch);
	bool accepted = base_version == version && is_valid(&candidate);

	if (accepted)
		*model = candidate;
	fuzz.versions[sequence] = accepted ? sequence : version;
	char *text = log_text(0, sequence, sequence);

	CHECK(offer_log(reference, text, &result) && result.advanced &&
	      result.changed == accepted);
	g_free(text);
	const GArray *verdicts = dws_config_state_verdicts(reference);

	fuzz.reasons[sequence] = g_strdup(
		g_array_index(verdicts, dws_verdict_t, sequence - 1).reason);
	memcpy(fuzz.digests[sequence], dws_config_state_digest(reference),
	       DWS_DIGEST_SIZE);
	dws_value_t *document = NULL;

	if (fuzz.versions[sequence] > 0) {
		char *canonical = dws_config_state_document(reference);

		document = dws_document_parse(canonical, strlen(canonical), "d",
					      NULL);
		g_free(canonical);
	}
	fuzz.snapshots[sequence] = dws_patch_log_snapshot_text(
		sequence, fuzz.versions[sequence], document);
	dws_value_unref(document);
}

/* Checks a state's version, digest and verdicts against its sequence. */
static void check_config_state(const dws_config_state_t *config_state,
			       uint64_t before)
{
	uint64_t sequence = dws_config_state_sequence(config_state);
	const GArray *verdicts = dws_config_state_verdicts(config_state);

	CHECK(sequence >= before && sequence <= fuzz.count);
	CHECK(dws_config_state_version(config_state) ==
	      fuzz.versions[sequence]);
	CHECK(!memcmp(dws_config_state_digest(config_state),
		      fuzz.digests[sequence], DWS_DIGEST_SIZE));
	const dws_config_t *config = dws_config_state_config(config_state);

	CHECK(config ? config->version == dws_config_state_version(config_state)
		     : dws_config_state_version(config_state) == 0);
	for (guint i = 0; i < verdicts->len; i++) {
		const dws_verdict_t *verdict =
			&g_array_index(verdicts, dws_verdict_t, i);
		uint64_t at = verdict->sequence;

		CHECK(verdict->accepted == (fuzz.versions[at] == at));
		CHECK(!g_strcmp0(verdict->reason, fuzz.reasons[at]));
	}
}

/*
 * Offers a configuration state a part of the log: after a snapshot, as the log
 * of another state, corrupted or plain.
 */
static void deliver_part(dws_config_state_t **config_states)
{
	dws_config_state_t *config_state = config_states[draw(CONFIG_STATES)];
	uint64_t before = dws_config_state_sequence(config_state);
	uint32_t first = 1 + draw(fuzz.count), snapshot = 0;
	uint32_t last = first + draw(fuzz.count - first + 1);
	uint32_t variant = draw(4);
	dws_apply_result_t result;
	char *text;

	if (variant == 0)
		snapshot = first > 1 ? first - 1 : first;
	if (variant == 1) {
		size_t size;

		text = dws_config_state_log_after(
			config_states[draw(CONFIG_STATES)], before, &size);
		if (text)
			CHECK(offer_log(config_state, text, &result) &&
			      result.advanced && !result.gap && !result.older);
	} else if (variant == 2) {
		char *valid_text = log_text(0, first, last);

		valid_text[draw((uint32_t)strlen(valid_text))] = '\0';
		text = g_strconcat(valid_text, "\n]", NULL);
		CHECK(!offer_log(config_state, text, &result));
		CHECK(dws_config_state_sequence(config_state) == before);
		g_free(valid_text);
	} else {
		text = log_text(snapshot, first, last);
		CHECK(offer_log(config_state, text, &result));
		CHECK(result.older == (last < before && snapshot < before));
		CHECK(result.gap == (snapshot <= before && first > before + 1));
		CHECK(result.advanced ==
		      (dws_config_state_sequence(config_state) > before));
		if (!result.gap)
			CHECK(dws_config_state_sequence(config_state) >= last);
	}
	CHECK(text == NULL || !result.conflict);
	g_free(text);
	check_config_state(config_state, before);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	model_t model = {.window = -1};
	dws_config_state_t *config_states[CONFIG_STATES];
	dws_config_state_t *reference = dws_config_state_new();
	dws_apply_result_t result;

	memset(&fuzz, 0, sizeof(fuzz));
	memset(model.priority, -1, sizeof(model.priority));
	memset(model.called, -1, sizeof(model.called));
	memcpy(fuzz.digests[0], dws_config_state_digest(reference),
	       DWS_DIGEST_SIZE);
	fuzz.data = data;
	fuzz.size = size;
	for (int i = 0; i < CONFIG_STATES; i++)
		config_states[i] = dws_config_state_new();
	for (int step = 0; step < STEPS; step++) {
		if (fuzz.count == 0 || (fuzz.count < MAX_ENTRIES && draw(2)))
			add_entry(reference, &model);
		else
			deliver_part(config_states);
	}
	for (int i = 0; i < CONFIG_STATES && fuzz.count > 0; i++) {
		char *text = log_text(0, 1, fuzz.count);

		CHECK(offer_log(config_states[i], text, &result) &&
		      !result.conflict);
		CHECK(dws_config_state_sequence(config_states[i]) ==
		      fuzz.count);
		check_config_state(config_states[i], 0);
		g_free(text);
	}
	for (int i = 0; i < CONFIG_STATES; i++)
		dws_config_state_free(config_states[i]);
	dws_config_state_free(reference);
	for (uint32_t i = 1; i <= fuzz.count; i++) {
		g_free(fuzz.entries[i]);
		g_free(fuzz.snapshots[i]);
		g_free(fuzz.reasons[i]);
	}
	return 0;
}
