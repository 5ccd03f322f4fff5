/*
 * Typed access to the keys of a document.
 */
#include "version/fields.h"
#include <arpa/inet.h>
#include <string.h>

#define EXCERPT_CHARACTERS 40
#define MS_PER_S 1000
#define SUGGESTION_MAX_DISTANCE 3

/* The path of a key from the root; freed with g_free(). */
static char *full_key(const dws_fields_t *fields, const char *key)
{
	return g_strconcat(fields->path, key, NULL);
}

/* The line of a key, or of its map if the key is absent. */
static uint32_t key_line(const dws_fields_t *fields, const char *key)
{
	const dws_map_entry_t *entry =
		g_hash_table_lookup(fields->map->index, key);

	return entry ? entry->line : fields->line;
}

void dws_fields_report(const dws_fields_t *fields, dws_error_t kind,
		       const char *key, const char *format, ...)
{
	va_list arguments;
	char *path = full_key(fields, key);

	va_start(arguments, format);
	char *fault = g_strdup_vprintf(format, arguments);

	va_end(arguments);
	dws_faults_add(fields->faults, kind, key_line(fields, key), path, "%s",
		       fault);
	g_free(fault);
	g_free(path);
}

bool dws_fields_init(dws_fields_t *fields, dws_faults_t *faults,
		     const dws_value_t *value, const char *path)
{
	*fields = (dws_fields_t){.faults = faults,
				 .map = value,
				 .path = path,
				 .line = value->line};
	if (value->type == DWS_VALUE_MAP)
		return true;
	size_t length = strlen(path);
	char *key = length ? g_strndup(path, length - 1) : g_strdup("document");

	dws_faults_add(faults, DWS_ERROR_VALUE, value->line, key,
		       "is not a map; write \"key: value\" lines");
	g_free(key);
	return false;
}

static size_t min3(size_t a, size_t b, size_t c)
{
	return MIN(MIN(a, b), c);
}

/*
 * Levenshtein distance of two texts, computed with a single row of the dynamic
 * programming table. The second text is at most DWS_DOCUMENT_MAX_KEY_BYTES
 * long.
 */
static size_t edit_distance(const char *first, const char *second)
{
	size_t row[DWS_DOCUMENT_MAX_KEY_BYTES + 1];
	size_t length = strlen(second);

	for (size_t j = 0; j <= length; j++)
		row[j] = j;
	for (size_t i = 1; first[i - 1]; i++) {
		size_t diagonal = row[0];

		row[0] = i;
		for (size_t j = 1; j <= length; j++) {
			size_t above = row[j];
			size_t substitution = first[i - 1] != second[j - 1];

			row[j] = min3(row[j - 1] + 1, above + 1,
				      diagonal + substitution);
			diagonal = above;
		}
	}
	return row[length];
}

/*
 * Reports an unknown key. Suggests the known key with the smallest edit
 * distance, if that is at most SUGGESTION_MAX_DISTANCE.
 */
static void report_unknown_key(const dws_fields_t *fields, const char *key,
			       const char *const *keys, size_t count)
{
	const char *suggestion = NULL;
	size_t suggestion_distance = SUGGESTION_MAX_DISTANCE + 1;

	for (size_t i = 0; i < count; i++) {
		size_t distance = edit_distance(key, keys[i]);

		if (distance < suggestion_distance) {
			suggestion = keys[i];
			suggestion_distance = distance;
		}
	}
	if (suggestion)
		dws_fields_report(fields, DWS_ERROR_UNKNOWN_KEY, key,
				  "unknown key; did you mean \"%s\"?",
				  suggestion);
	else
		dws_fields_report(fields, DWS_ERROR_UNKNOWN_KEY, key,
				  "unknown key; remove it");
}

void dws_fields_reject_unknown(const dws_fields_t *fields,
			       const char *const *keys, size_t count)
{
	GPtrArray *entries = dws_value_sorted_entries(fields->map);

	for (guint i = 0; i < entries->len; i++) {
		const dws_map_entry_t *entry = entries->pdata[i];
		bool known = false;

		for (size_t k = 0; k < count && !known; k++)
			known = !strcmp(entry->key, keys[k]);
		if (!known)
			report_unknown_key(fields, entry->key, keys, count);
	}
	g_ptr_array_unref(entries);
}

const dws_value_t *dws_fields_get(const dws_fields_t *fields, const char *key)
{
	const dws_value_t *value = dws_value_get(fields->map, key);

	return value && !dws_value_is_null(value) ? value : NULL;
}

bool dws_fields_require(const dws_fields_t *fields, const char *key)
{
	if (dws_fields_get(fields, key))
		return true;
	dws_fields_report(fields, DWS_ERROR_VALUE, key,
			  "is missing; add the key with its value");
	return false;
}

/* The text of a key's scalar, or NULL; reports a map or a list as a fault. */
static const char *get_scalar_text(const dws_fields_t *fields, const char *key)
{
	const dws_value_t *value = dws_fields_get(fields, key);

	if (!value)
		return NULL;
	if (value->type != DWS_VALUE_SCALAR)
		dws_fields_report(fields, DWS_ERROR_VALUE, key,
				  "is a map or list; write one value");
	return dws_value_text(value);
}

/* Reports an invalid value; quotes at most its first EXCERPT_CHARACTERS. */
static void report_invalid_value(const dws_fields_t *fields, const char *key,
				 const char *text, const char *remedy)
{
	char *excerpt = g_utf8_strlen(text, -1) > EXCERPT_CHARACTERS
				? g_utf8_substring(text, 0, EXCERPT_CHARACTERS)
				: g_strdup(text);
	char *escaped = g_strescape(excerpt, NULL);

	dws_fields_report(fields, DWS_ERROR_VALUE, key,
			  "\"%s\" is not a valid value; %s", escaped, remedy);
	g_free(escaped);
	g_free(excerpt);
}

bool dws_fields_number(const dws_fields_t *fields, const char *key,
		       uint32_t min, uint32_t max, uint32_t *number)
{
	const char *text = get_scalar_text(fields, key);
	char remedy[64];
	guint64 parsed;

	if (!text)
		return false;
	if (!g_ascii_string_to_unsigned(text, 10, min, max, &parsed, NULL)) {
		g_snprintf(remedy, sizeof(remedy),
			   "write a number from %u to %u", min, max);
		report_invalid_value(fields, key, text, remedy);
		return false;
	}
	*number = (uint32_t)parsed;
	return true;
}

bool dws_fields_bool(const dws_fields_t *fields, const char *key, bool *flag)
{
	const char *text = get_scalar_text(fields, key);

	if (!text)
		return false;
	if (!g_str_equal(text, "true") && !g_str_equal(text, "false")) {
		report_invalid_value(fields, key, text, "write true or false");
		return false;
	}
	*flag = text[0] == 't';
	return true;
}

bool dws_fields_fraction(const dws_fields_t *fields, const char *key,
			 double *fraction)
{
	const char *text = get_scalar_text(fields, key);
	char *end = NULL;

	if (!text)
		return false;
	double parsed = g_ascii_strtod(text, &end);

	if (end == text || *end || !(parsed >= 0.0 && parsed <= 1.0)) {
		report_invalid_value(fields, key, text,
				     "write a number from 0 to 1");
		return false;
	}
	*fraction = parsed;
	return true;
}

bool dws_duration_parse_any(const char *text, double *time_ms)
{
	char *unit = NULL;
	double number = g_ascii_strtod(text, &unit);

	if (unit == text || !g_ascii_isdigit(text[0]))
		return false;
	if (strcmp(unit, "s") == 0)
		number *= MS_PER_S;
	else if (strcmp(unit, "ms") != 0)
		return false;
	*time_ms = number;
	return number >= 0.0;
}

bool dws_duration_parse(const char *text, uint32_t max_ms, uint32_t *time_ms)
{
	double number = 0;

	if (!dws_duration_parse_any(text, &number) || number > (double)max_ms)
		return false;
	*time_ms = (uint32_t)(number + 0.5);
	return true;
}

bool dws_fields_duration(const dws_fields_t *fields, const char *key,
			 uint32_t min_ms, uint32_t max_ms, uint32_t *time_ms)
{
	const char *text = get_scalar_text(fields, key);
	char remedy[96];
	uint32_t parsed = 0;

	if (!text)
		return false;
	if (!dws_duration_parse(text, max_ms, &parsed) || parsed < min_ms) {
		g_snprintf(
			remedy, sizeof(remedy),
			"write a duration from %ums to %ums, as 500ms or 2.5s",
			min_ms, max_ms);
		report_invalid_value(fields, key, text, remedy);
		return false;
	}
	*time_ms = parsed;
	return true;
}

static bool has_control_character(const char *text)
{
	for (const char *at = text; *at; at++) {
		if (g_ascii_iscntrl(*at))
			return true;
	}
	return false;
}

bool dws_fields_text(const dws_fields_t *fields, const char *key, char *text,
		     size_t size_bytes)
{
	const char *value = get_scalar_text(fields, key);
	char remedy[64];

	if (!value)
		return false;
	if (strlen(value) >= size_bytes || has_control_character(value)) {
		g_snprintf(remedy, sizeof(remedy),
			   "write at most %zu printable bytes", size_bytes - 1);
		report_invalid_value(fields, key, value, remedy);
		return false;
	}
	g_strlcpy(text, value, size_bytes);
	return true;
}

char *dws_fields_dup_text(const dws_fields_t *fields, const char *key)
{
	const char *value = get_scalar_text(fields, key);

	if (!value)
		return NULL;
	if (!has_control_character(value))
		return g_strdup(value);
	report_invalid_value(fields, key, value,
			     "write printable characters only");
	return NULL;
}

bool dws_is_valid_name(const char *text, size_t size_bytes)
{
	if (!g_ascii_isalnum(text[0]) || strlen(text) >= size_bytes)
		return false;
	for (const char *at = text; *at; at++) {
		if (!g_ascii_isalnum(*at) && !strchr("-_.", *at))
			return false;
	}
	return true;
}

bool dws_fields_name(const dws_fields_t *fields, const char *key, char *name,
		     size_t size_bytes)
{
	const char *value = get_scalar_text(fields, key);

	if (!value)
		return false;
	if (!dws_is_valid_name(value, size_bytes)) {
		report_invalid_value(
			fields, key, value,
			"write 1 to 63 letters, digits, -, _ or .");
		return false;
	}
	g_strlcpy(name, value, size_bytes);
	return true;
}

/* Splits "IP:PORT" at its last colon and removes the brackets around the IP. */
static bool split_address(dws_address_t *address, const char *text,
			  const char **port)
{
	const char *colon = strrchr(text, ':');

	if (!colon)
		return false;
	*port = colon + 1;
	size_t length = (size_t)(colon - text);

	if (text[0] == '[' && length > 1 && colon[-1] == ']') {
		text++;
		length -= 2;
	}
	if (length >= sizeof(address->ip))
		return false;
	memcpy(address->ip, text, length);
	address->ip[length] = '\0';
	return true;
}

bool dws_address_parse(dws_address_t *address, const char *text)
{
	unsigned char binary[sizeof(struct in6_addr)];
	const char *port = NULL;
	guint64 number = 0;

	*address = (dws_address_t){.port = 0};
	bool is_v6 = text[0] == '[';
	bool ok = split_address(address, text, &port) &&
		  inet_pton(is_v6 ? AF_INET6 : AF_INET, address->ip, binary) ==
			  1 &&
		  g_ascii_string_to_unsigned(port, 10, 1, UINT16_MAX, &number,
					     NULL);

	if (!ok) {
		*address = (dws_address_t){.port = 0};
		return false;
	}
	address->port = (uint16_t)number;
	return true;
}

bool dws_address_is_loopback(const dws_address_t *address)
{
	return g_str_has_prefix(address->ip, "127.") ||
	       !strcmp(address->ip, "::1");
}

bool dws_fields_address(const dws_fields_t *fields, const char *key,
			dws_address_t *address)
{
	const char *text = get_scalar_text(fields, key);
	dws_address_t parsed;

	if (!text)
		return false;
	if (!dws_address_parse(&parsed, text)) {
		report_invalid_value(fields, key, text,
				     "write IP:PORT with a numeric IP address, "
				     "[IP]:PORT for IPv6");
		return false;
	}
	*address = parsed;
	return true;
}
