/*
 * Several folds get one log in other cuts, orders, repeats, snapshots and
 * damaged copies. Oracle: a few plain numbers that say which entries must be
 * accepted. Equal sequences must have equal digests, versions and verdicts.
 * When the input has run out, a generator seeded by it goes on.
 *
 * Fuzz runs: 700
 */
#include <stdio.h>
#include <stdlib.h>
#include "version/config_state.h"
#include "version/patch_log.h"

#define FOLDS 3
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

/* The oracle's view of a document; a value below 0 stands for an absent key. */
typedef struct model {
	int priority[KINDS];
	int window; /* of the only slowdown, of kind k0 */
	int called[CUSTOMERS]; /* the window that was named in the call */
	bool broken;
} model_t;

static struct {
	const uint8_t *data;
	size_t size;
	uint64_t random;
	uint32_t count; /* of entries */
	char *entries[MAX_ENTRIES + 1]; /* flow text, from 1 */
	char *snapshots[MAX_ENTRIES + 1];
	uint64_t versions[MAX_ENTRIES + 1];
	uint8_t digests[MAX_ENTRIES + 1][DWS_DIGEST_SIZE];
	char *reasons[MAX_ENTRIES + 1];
} world;

static uint32_t next(uint32_t bound)
{
	if (world.size == 0) {
		world.random = world.random * 6364136223846793005ULL + 1;
		return (uint32_t)(world.random >> 33) % bound;
	}
	world.size--;
	world.random = (world.random ^ *world.data) * 0x100000001b3ULL;
	return *world.data++ % bound;
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
	return has_kind && !model->broken &&
	       (model->window < 0 || model->priority[0] >= 0);
}

/* Text of a patch; its effect is applied to the model. */
static char *make_patch(model_t *model)
{
	int i = (int)next(KINDS), value = (int)next(10);
	int customer = value % CUSTOMERS, window = i;

	switch (next(9)) {
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
	case 3: /* moves the window and keeps the calls */
		model->window = window;
		return g_strdup_printf(
			"{slowdowns: {x: {start: 2027-01-0%dT00:00:00Z, end: "
			"2027-02-01T00:00:00Z, added_delay_ms: 9, kinds: [k0], "
			"customers: [c0, c1]}}}",
			window + 1);
	case 4: /* moves the window and clears the calls */
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
		model->broken = true;
		return g_strdup(value & 1 ? "{kind: {}}" : "nothing");
	default:
		model->broken = true;
		return g_strdup("{kinds: {k0: {worth: 0}}, limits: [1]}");
	}
}

/* The log of entries first to last, with a snapshot before them if any. */
static char *log_text(uint32_t snapshot, uint32_t first, uint32_t last)
{
	GString *text = g_string_new(snapshot ? world.snapshots[snapshot] : "");

	if (first <= last)
		g_string_append(text, "entries:\n");
	for (uint32_t i = first; i <= last; i++)
		g_string_append_printf(text, "  - %s\n", world.entries[i]);
	return g_string_free(text, FALSE);
}

static bool offer(dws_config_state_t *config_state, const char *text,
		  dws_apply_result_t *result)
{
	GError *error = NULL;
	bool ok = dws_config_state_apply_log(config_state, text, strlen(text),
					     result, &error);

	CHECK(ok == (error == NULL));
	g_clear_error(&error);
	return ok;
}

/* Adds an entry to the log and notes what every config_state must reach with it. */
static void add_entry(dws_config_state_t *reference, model_t *model)
{
	uint32_t sequence = ++world.count;
	uint64_t version = world.versions[sequence - 1];
	uint64_t base = next(4) ? version : next((uint32_t)version + 3);
	model_t candidate = *model;
	char *patch = make_patch(&candidate);
	dws_apply_result_t result;

	world.entries[sequence] =
		g_strdup_printf("{sequence: %u, base_version: %u, patch: %s}",
				sequence, (uint32_t)base, patch);
	g_free(patch);
	bool accepted = base == version && is_valid(&candidate);

	if (accepted)
		*model = candidate;
	world.versions[sequence] = accepted ? sequence : version;
	char *text = log_text(0, sequence, sequence);

	CHECK(offer(reference, text, &result) && result.advanced &&
	      result.changed == accepted);
	g_free(text);
	const GArray *verdicts = dws_config_state_verdicts(reference);

	world.reasons[sequence] = g_strdup(
		g_array_index(verdicts, dws_verdict_t, sequence - 1).reason);
	memcpy(world.digests[sequence], dws_config_state_digest(reference),
	       DWS_DIGEST_SIZE);
	dws_value_t *document = NULL;

	if (world.versions[sequence] > 0) {
		char *canonical = dws_config_state_document(reference);

		document = dws_document_parse(canonical, strlen(canonical), "d",
					      NULL);
		g_free(canonical);
	}
	world.snapshots[sequence] = dws_patch_log_snapshot_text(
		sequence, world.versions[sequence], document);
	dws_value_unref(document);
}

/* A config_state's numbers and verdicts must be those of its sequence. */
static void check_fold(const dws_config_state_t *config_state, uint64_t before)
{
	uint64_t sequence = dws_config_state_sequence(config_state);
	const GArray *verdicts = dws_config_state_verdicts(config_state);

	CHECK(sequence >= before && sequence <= world.count);
	CHECK(dws_config_state_version(config_state) ==
	      world.versions[sequence]);
	CHECK(!memcmp(dws_config_state_digest(config_state),
		      world.digests[sequence], DWS_DIGEST_SIZE));
	const dws_config_t *config = dws_config_state_config(config_state);

	CHECK(config ? config->version == dws_config_state_version(config_state)
		     : dws_config_state_version(config_state) == 0);
	for (guint i = 0; i < verdicts->len; i++) {
		const dws_verdict_t *verdict =
			&g_array_index(verdicts, dws_verdict_t, i);
		uint64_t at = verdict->sequence;

		CHECK(verdict->accepted == (world.versions[at] == at));
		CHECK(!g_strcmp0(verdict->reason, world.reasons[at]));
	}
}

/* Offers some part of the log in some form. */
static void deliver(dws_config_state_t **folds)
{
	dws_config_state_t *config_state = folds[next(FOLDS)];
	uint64_t before = dws_config_state_sequence(config_state);
	uint32_t first = 1 + next(world.count), snapshot = 0;
	uint32_t last = first + next(world.count - first + 1);
	uint32_t form = next(4);
	dws_apply_result_t result;
	char *text;

	if (form == 0)
		snapshot = first > 1 ? first - 1 : first;
	if (form == 1) {
		size_t size;

		text = dws_config_state_log_after(folds[next(FOLDS)], before,
						  &size);
		if (text)
			CHECK(offer(config_state, text, &result) &&
			      result.advanced && !result.gap && !result.older);
	} else if (form == 2) {
		char *good = log_text(0, first, last);

		good[next((uint32_t)strlen(good))] = '\0';
		text = g_strconcat(good, "\n]", NULL);
		CHECK(!offer(config_state, text, &result));
		CHECK(dws_config_state_sequence(config_state) == before);
		g_free(good);
	} else {
		text = log_text(snapshot, first, last);
		CHECK(offer(config_state, text, &result));
		CHECK(result.older == (last < before && snapshot < before));
		CHECK(result.gap == (snapshot <= before && first > before + 1));
		CHECK(result.advanced ==
		      (dws_config_state_sequence(config_state) > before));
		if (!result.gap)
			CHECK(dws_config_state_sequence(config_state) >= last);
	}
	CHECK(text == NULL || !result.conflict);
	g_free(text);
	check_fold(config_state, before);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	model_t model = {.window = -1};
	dws_config_state_t *folds[FOLDS], *reference = dws_config_state_new();
	dws_apply_result_t result;

	memset(&world, 0, sizeof(world));
	memset(model.priority, -1, sizeof(model.priority));
	memset(model.called, -1, sizeof(model.called));
	memcpy(world.digests[0], dws_config_state_digest(reference),
	       DWS_DIGEST_SIZE);
	world.data = data;
	world.size = size;
	for (int i = 0; i < FOLDS; i++)
		folds[i] = dws_config_state_new();
	for (int step = 0; step < STEPS; step++) {
		if (world.count == 0 || (world.count < MAX_ENTRIES && next(2)))
			add_entry(reference, &model);
		else
			deliver(folds);
	}
	for (int i = 0; i < FOLDS && world.count > 0; i++) {
		char *text = log_text(0, 1, world.count);

		CHECK(offer(folds[i], text, &result) && !result.conflict);
		CHECK(dws_config_state_sequence(folds[i]) == world.count);
		check_fold(folds[i], 0);
		g_free(text);
	}
	for (int i = 0; i < FOLDS; i++)
		dws_config_state_free(folds[i]);
	dws_config_state_free(reference);
	for (uint32_t i = 1; i <= world.count; i++) {
		g_free(world.entries[i]);
		g_free(world.snapshots[i]);
		g_free(world.reasons[i]);
	}
	return 0;
}
