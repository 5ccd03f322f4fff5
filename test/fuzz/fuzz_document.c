/*
 * Parses arbitrary bytes as a document, as settings and as a configuration, and
 * builds value trees from the bytes. The oracle checks that canonical text is
 * unchanged by parsing, and that merging a patch is idempotent.
 *
 * Fuzz runs: 20000
 */
#include <stdlib.h>
#include "process/settings.h"
#include "version/config.h"

/* Parses text that must be valid and returns its canonical form. */
static char *canonicalize(const char *text)
{
	dws_value_t *value =
		dws_document_parse(text, strlen(text), "canonical", NULL);

	if (!value)
		abort();
	char *canonical = dws_document_canonical(value);

	dws_value_unref(value);
	return canonical;
}

/* Draws a number below a bound from the input, after its end a generator. */
static uint32_t draw(const uint8_t **data, size_t *size, uint32_t bound)
{
	static uint64_t random;

	if (*size == 0) {
		random = random * 6364136223846793005ULL + 1;
		return (uint32_t)(random >> 33) % bound;
	}
	random = (*data)[0];
	(*size)--;
	return *(*data)++ % bound;
}

/* Draws a short text of ordinary and special characters. */
static char *make_text(const uint8_t **data, size_t *size)
{
	static const gunichar characters[] = {
		'a',  'b',  '0', '-',  ':',    ' ',	'#',   '"',
		'\\', '\'', 1,	 9,    10,     0x7f,	0x85,  0xa0,
		0xe9, '~',  '[', 0xad, 0x2028, 0x1f600, 0xfeff};
	GString *text = g_string_new(draw(data, size, 8) ? "" : "null");

	for (uint32_t i = draw(data, size, 4); i > 0; i--)
		g_string_append_unichar(
			text,
			characters[draw(data, size, G_N_ELEMENTS(characters))]);
	return g_string_free(text, FALSE);
}

/* Draws a small tree of values. */
static dws_value_t *make_value(const uint8_t **data, size_t *size, int depth)
{
	uint32_t type = draw(data, size, depth > 0 ? 4 : 1);
	dws_value_t *value =
		type == 1 ? dws_value_new_list(0) : dws_value_new_map(0);

	for (uint32_t i = type ? draw(data, size, 5) : 0; i > 0; i--) {
		dws_value_t *child = make_value(data, size, depth - 1);
		char *key = make_text(data, size);

		if (type == 1)
			dws_value_list_append(value, child);
		else
			dws_value_map_insert(value, key, 0, child);
		g_free(key);
	}
	if (type > 0)
		return value;
	dws_value_unref(value);
	char *text = make_text(data, size);

	value = dws_value_new_scalar(text, text[0] && draw(data, size, 2), 0);
	g_free(text);
	return value;
}

/*
 * Checks that a merge is idempotent and that its canonical text is unchanged by
 * parsing.
 */
static void check_merge(dws_value_t *document, dws_value_t *patch)
{
	dws_value_t *once = dws_document_merge(document, patch);
	dws_value_t *twice = dws_document_merge(once, patch);
	char *once_text = dws_document_canonical(once);
	char *twice_text = dws_document_canonical(twice);
	char *reparsed = canonicalize(once_text);

	if (strcmp(once_text, twice_text) != 0 ||
	    strcmp(once_text, reparsed) != 0)
		abort();
	g_free(reparsed);
	g_free(twice_text);
	g_free(once_text);
	dws_value_unref(twice);
	dws_value_unref(once);
}

/* Parses the bytes as settings and as a configuration. */
static void check_readers(const char *text, size_t size)
{
	dws_settings_t settings;
	GError *error = NULL;
	dws_config_t *config = dws_config_parse(text, size, "f", 1, &error);

	if ((config == NULL) != (error != NULL))
		abort();
	if (config)
		dws_config_match_kind(config, "GET", "/a/b");
	dws_config_unref(config);
	g_clear_error(&error);
	if (!dws_settings_parse(&settings, text, size, "f", &error) && !error)
		abort();
	g_clear_error(&error);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	const char *newline = memchr(text, '\n', size);
	size_t document_size = newline ? (size_t)(newline - text) : size / 2;
	dws_value_t *document =
		dws_document_parse(text, document_size, "f", NULL);
	dws_value_t *patch = dws_document_parse(
		text + document_size, size - document_size, "f", NULL);

	if (document && patch)
		check_merge(document, patch);
	dws_value_unref(document);
	dws_value_unref(patch);
	const uint8_t *remaining = data;
	size_t remaining_size = size;

	document = make_value(&remaining, &remaining_size, 4);
	patch = make_value(&remaining, &remaining_size, 4);
	check_merge(document, patch);
	dws_value_unref(document);
	dws_value_unref(patch);
	document = dws_document_parse(text, size, "f", NULL);
	if (document) {
		char *canonical = dws_document_canonical(document);
		char *reparsed = canonicalize(canonical);

		if (strcmp(canonical, reparsed) != 0)
			abort();
		g_free(reparsed);
		g_free(canonical);
		dws_value_unref(document);
	}
	check_readers(text, size);
	return 0;
}
