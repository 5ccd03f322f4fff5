/*
 * Planned slowdowns: reading them, and deciding whether one applies to a
 * request. A call to a customer is recorded with the window and kinds that
 * the customer was told of, so a call for an older plan can't pass for one
 * for the present plan.
 */
#include "version/config_read.h"

#define MAX_ADDED_DELAY_MS 60000
#define MAX_CUSTOMER_BYTES DWS_DOCUMENT_MAX_KEY_BYTES
#define TIME_FORM "0000-00-00T00:00:00Z"
#define MS_PER_S 1000

/* Frees a slowdown. */
void dws_slowdown_free(dws_slowdown_t *slowdown)
{
	g_ptr_array_unref(slowdown->kinds);
	g_ptr_array_unref(slowdown->customers);
	g_hash_table_unref(slowdown->called);
	g_free(slowdown);
}

/* Tells whether a text has digits and signs where TIME_FORM has them. */
static bool has_time_form(const char *text)
{
	if (strlen(text) != strlen(TIME_FORM))
		return false;
	for (size_t i = 0; text[i]; i++) {
		if (TIME_FORM[i] == '0' ? !g_ascii_isdigit(text[i])
					: text[i] != TIME_FORM[i])
			return false;
	}
	return true;
}

/*
 * Reads a time of the one form TIME_FORM, as ms since 1970 in UTC. Returns
 * its text, borrowed; NULL with a fault if there is none.
 */
static const char *read_time(const dws_fields_t *fields, const char *key,
			     int64_t *time_ms)
{
	if (!dws_fields_require(fields, key))
		return NULL;
	const char *text = dws_value_text(dws_fields_get(fields, key));
	GDateTime *time = text && has_time_form(text)
				  ? g_date_time_new_from_iso8601(text, NULL)
				  : NULL;

	if (!time) {
		dws_fields_fault(fields, DWS_ERROR_VALUE, key,
				 "is no time in UTC; write it as "
				 "2027-03-01T02:00:00Z");
		return NULL;
	}
	*time_ms = g_date_time_to_unix(time) * MS_PER_S;
	g_date_time_unref(time);
	return text;
}

/* Reports an item of a list by its place. */
static void report_item(const dws_fields_t *fields, const char *key, guint at,
			const char *fault)
{
	dws_fields_fault(fields, DWS_ERROR_VALUE, key, "item %u %s", at + 1,
			 fault);
}

/* Tells whether a text can name a customer. */
static bool is_customer(const char *text)
{
	if (!text || !text[0] || strlen(text) > MAX_CUSTOMER_BYTES)
		return false;
	for (const char *at = text; *at; at++) {
		if (g_ascii_iscntrl(*at))
			return false;
	}
	return true;
}

/* Orders texts by their bytes. */
static int compare_texts(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Reads a list of different texts into an array, in sorted order. */
static void read_list(const dws_fields_t *fields, const char *key,
		      GPtrArray *texts)
{
	if (!dws_fields_require(fields, key))
		return;
	const dws_value_t *list = dws_fields_get(fields, key);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	if (list->type != DWS_VALUE_LIST || list->items->len == 0) {
		dws_fields_fault(fields, DWS_ERROR_VALUE, key,
				 "is no list of names; write [a, b]");
		g_hash_table_unref(seen);
		return;
	}
	for (guint i = 0; i < list->items->len; i++) {
		const char *text = dws_value_text(list->items->pdata[i]);

		if (!is_customer(text))
			report_item(fields, key, i,
				    "is no name; write 1 to 128 printable "
				    "bytes");
		else if (!g_hash_table_add(seen, (char *)text))
			report_item(fields, key, i,
				    "is there twice; keep one of them");
		else
			g_ptr_array_add(texts, g_strdup(text));
	}
	g_hash_table_unref(seen);
	g_ptr_array_sort(texts, compare_texts);
}

/* Reports kinds that the configuration does not have. */
static void check_kinds(const dws_config_t *config, const dws_fields_t *fields,
			const dws_slowdown_t *slowdown)
{
	for (guint i = 0; i < slowdown->kinds->len; i++) {
		const char *kind = slowdown->kinds->pdata[i];

		if (!dws_config_kind(config, kind))
			dws_fields_fault(fields, DWS_ERROR_CONFLICT, "kinds",
					 "\"%s\" is not among the kinds; add "
					 "it there, or remove it here",
					 kind);
	}
}

/*
 * The record of a call for exactly this plan: "START/END/kind1+kind2", kinds
 * sorted. Freed with g_free().
 */
char *dws_slowdown_call_record(const dws_slowdown_t *slowdown,
			       const char *start, const char *end)
{
	GString *record = g_string_new(NULL);

	g_string_printf(record, "%s/%s/", start, end);
	for (guint i = 0; i < slowdown->kinds->len; i++)
		g_string_append_printf(record, "%s%s", i ? "+" : "",
				       (char *)slowdown->kinds->pdata[i]);
	return g_string_free(record, FALSE);
}

/* The customers of a slowdown as a set of borrowed texts. */
static GHashTable *customer_set(const dws_slowdown_t *slowdown)
{
	GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < slowdown->customers->len; i++)
		g_hash_table_add(set, slowdown->customers->pdata[i]);
	return set;
}

/* Reads one call; it counts only if it was made for this plan. */
static void read_call(const dws_fields_t *called, const dws_pair_t *pair,
		      GHashTable *customers, const char *record,
		      dws_slowdown_t *slowdown)
{
	const char *text = dws_value_text(pair->value);

	if (dws_value_is_null(pair->value))
		return;
	if (!g_hash_table_contains(customers, pair->key))
		dws_fields_fault(called, DWS_ERROR_CONFLICT, pair->key,
				 "is not among the customers; add it there, or "
				 "remove the call");
	else if (g_strcmp0(text, record) != 0)
		dws_fields_fault(called, DWS_ERROR_CONFLICT, pair->key,
				 "was called for another window or other "
				 "kinds; remove the call in the patch that "
				 "changes them, call again, then record "
				 "\"%s\"",
				 record);
	else
		g_hash_table_add(slowdown->called, g_strdup(pair->key));
}

/* Reads who was called. */
static void read_calls(const dws_fields_t *fields, const char *record,
		       dws_slowdown_t *slowdown)
{
	const dws_value_t *map = dws_fields_get(fields, "called");
	char *path = g_strconcat(fields->path, "called.", NULL);
	dws_fields_t called;

	if (map && dws_fields_init(&called, fields->faults, map, path)) {
		GHashTable *customers = customer_set(slowdown);
		GPtrArray *pairs = dws_value_sorted(map);

		for (guint i = 0; i < pairs->len; i++)
			read_call(&called, pairs->pdata[i], customers, record,
				  slowdown);
		g_ptr_array_unref(pairs);
		g_hash_table_unref(customers);
	}
	g_free(path);
}

/* Reads one slowdown; the kinds must be read before. */
void dws_config_read_slowdown(dws_config_t *config, const dws_fields_t *fields,
			      const char *name)
{
	static const char *const keys[] = {"start",	     "end",
					   "added_delay_ms", "kinds",
					   "customers",	     "called"};
	dws_slowdown_t *slowdown = g_new0(dws_slowdown_t, 1);

	g_strlcpy(slowdown->name, name, sizeof(slowdown->name));
	slowdown->kinds = g_ptr_array_new_with_free_func(g_free);
	slowdown->customers = g_ptr_array_new_with_free_func(g_free);
	slowdown->called =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_ptr_array_add(config->slowdowns, slowdown);

	dws_fields_known(fields, keys, G_N_ELEMENTS(keys));
	const char *start = read_time(fields, "start", &slowdown->start_ms);
	const char *end = read_time(fields, "end", &slowdown->end_ms);

	if (start && end && slowdown->end_ms <= slowdown->start_ms)
		dws_fields_fault(fields, DWS_ERROR_CONFLICT, "end",
				 "is not after start; write a later time");
	if (dws_fields_require(fields, "added_delay_ms"))
		dws_fields_number(fields, "added_delay_ms", 1,
				  MAX_ADDED_DELAY_MS,
				  &slowdown->added_delay_ms);
	read_list(fields, "kinds", slowdown->kinds);
	check_kinds(config, fields, slowdown);
	read_list(fields, "customers", slowdown->customers);
	if (!start || !end)
		return;
	char *record = dws_slowdown_call_record(slowdown, start, end);

	read_calls(fields, record, slowdown);
	g_free(record);
}

/*
 * Tells whether a window surely is on, whatever the wall clock's error within
 * the skew.
 */
static bool is_surely_on(const dws_slowdown_t *slowdown, int64_t wall_ms,
			 int64_t skew_ms)
{
	return wall_ms >= slowdown->start_ms + skew_ms &&
	       wall_ms < slowdown->end_ms - skew_ms;
}

/*
 * The delay in ms that planned slowdowns add to a request. Where several
 * apply, the longest counts alone: the customer was told of no sum.
 */
uint32_t dws_config_slowdown_ms(const dws_config_t *config, const char *kind,
				const char *customer, int64_t wall_ms,
				int64_t age_ms)
{
	uint32_t delay_ms = 0;

	if (!customer || age_ms < 0 ||
	    age_ms > (int64_t)config->slowdown_freshness_ms)
		return 0;
	for (guint i = 0; i < config->slowdowns->len; i++) {
		const dws_slowdown_t *slowdown = config->slowdowns->pdata[i];

		if (is_surely_on(slowdown, wall_ms,
				 config->slowdown_clock_skew_ms) &&
		    g_hash_table_contains(slowdown->called, customer) &&
		    g_ptr_array_find_with_equal_func(slowdown->kinds, kind,
						     g_str_equal, NULL))
			delay_ms = MAX(delay_ms, slowdown->added_delay_ms);
	}
	return delay_ms;
}
