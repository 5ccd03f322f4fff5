/*
 * Planned slowdowns: parsing, and the decision whether one applies to a
 * request. A slowdown applies only to customers that were notified of it, which
 * the document lists under "called". The record of a notification contains the
 * time window and the kinds, so a notification of an earlier plan is not
 * accepted for a changed one.
 */
#include "version/config_read.h"

#define MAX_ADDED_DELAY_MS 60000
#define MAX_NAME_BYTES DWS_DOCUMENT_MAX_KEY_BYTES
#define TIME_FORMAT "0000-00-00T00:00:00Z"
#define MS_PER_S 1000

void dws_slowdown_free(dws_slowdown_t *slowdown)
{
	g_ptr_array_unref(slowdown->kinds);
	g_ptr_array_unref(slowdown->customers);
	g_hash_table_unref(slowdown->notified);
	g_free(slowdown);
}

/* True if a text has the format TIME_FORMAT, where 0 stands for any digit. */
static bool has_time_format(const char *text)
{
	if (strlen(text) != strlen(TIME_FORMAT))
		return false;
	for (size_t i = 0; text[i]; i++) {
		if (TIME_FORMAT[i] == '0' ? !g_ascii_isdigit(text[i])
					  : text[i] != TIME_FORMAT[i])
			return false;
	}
	return true;
}

/*
 * Reads a required time in the format TIME_FORMAT, as ms since 1970 in UTC.
 * Returns its text, borrowed; reports a fault and returns NULL if the time is
 * missing or invalid.
 */
static const char *read_time(const dws_fields_t *fields, const char *key,
			     int64_t *time_ms)
{
	if (!dws_fields_require(fields, key))
		return NULL;
	const char *text = dws_value_text(dws_fields_get(fields, key));
	GDateTime *time = text && has_time_format(text)
				  ? g_date_time_new_from_iso8601(text, NULL)
				  : NULL;

	if (!time) {
		dws_fields_report(fields, DWS_ERROR_VALUE, key,
				  "is not a valid UTC time; write it as "
				  "2027-03-01T02:00:00Z");
		return NULL;
	}
	*time_ms = g_date_time_to_unix(time) * MS_PER_S;
	g_date_time_unref(time);
	return text;
}

/* Reports a fault of a list item with its position, counted from 1. */
static void report_list_item(const dws_fields_t *fields, const char *key,
			     guint index, const char *fault)
{
	dws_fields_report(fields, DWS_ERROR_VALUE, key, "item %u %s", index + 1,
			  fault);
}

/* True if a text is a valid name of a customer or kind. */
static bool is_valid_name(const char *text)
{
	if (!text || !text[0] || strlen(text) > MAX_NAME_BYTES)
		return false;
	for (const char *at = text; *at; at++) {
		if (g_ascii_iscntrl(*at))
			return false;
	}
	return true;
}

static int compare_strings(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Reads a required list of names without duplicates; sorts them by bytes. */
static void read_names(const dws_fields_t *fields, const char *key,
		       GPtrArray *names)
{
	if (!dws_fields_require(fields, key))
		return;
	const dws_value_t *list = dws_fields_get(fields, key);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	if (list->type != DWS_VALUE_LIST || list->items->len == 0) {
		dws_fields_report(fields, DWS_ERROR_VALUE, key,
				  "is not a list of names; write [a, b]");
		g_hash_table_unref(seen);
		return;
	}
	for (guint i = 0; i < list->items->len; i++) {
		const char *text = dws_value_text(list->items->pdata[i]);

		if (!is_valid_name(text))
			report_list_item(
				fields, key, i,
				"is not a name; write 1 to 128 printable "
				"bytes");
		else if (!g_hash_table_add(seen, (char *)text))
			report_list_item(fields, key, i,
					 "is a duplicate; remove it");
		else
			g_ptr_array_add(names, g_strdup(text));
	}
	g_hash_table_unref(seen);
	g_ptr_array_sort(names, compare_strings);
}

/* Reports kinds that the configuration does not define. */
static void check_kinds_exist(const dws_config_t *config,
			      const dws_fields_t *fields,
			      const dws_slowdown_t *slowdown)
{
	for (guint i = 0; i < slowdown->kinds->len; i++) {
		const char *kind = slowdown->kinds->pdata[i];

		if (!dws_config_find_kind(config, kind))
			dws_fields_report(fields, DWS_ERROR_CONFLICT, "kinds",
					  "\"%s\" is not among the kinds; add "
					  "it there, or remove it here",
					  kind);
	}
}

char *dws_slowdown_notification_record(const dws_slowdown_t *slowdown,
				       const char *start, const char *end)
{
	GString *record = g_string_new(NULL);

	g_string_printf(record, "%s/%s/", start, end);
	for (guint i = 0; i < slowdown->kinds->len; i++)
		g_string_append_printf(record, "%s%s", i ? "+" : "",
				       (char *)slowdown->kinds->pdata[i]);
	return g_string_free(record, FALSE);
}

/* The customers of a slowdown as a set of borrowed strings. */
static GHashTable *customer_set(const dws_slowdown_t *slowdown)
{
	GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < slowdown->customers->len; i++)
		g_hash_table_add(set, slowdown->customers->pdata[i]);
	return set;
}

/*
 * Reads the notification record of one customer. It is accepted only if it
 * equals the record of the present plan; a null value is ignored.
 */
static void read_notification(const dws_fields_t *called,
			      const dws_map_entry_t *entry,
			      GHashTable *customers, const char *record,
			      dws_slowdown_t *slowdown)
{
	const char *text = dws_value_text(entry->value);

	if (dws_value_is_null(entry->value))
		return;
	if (!g_hash_table_contains(customers, entry->key))
		dws_fields_report(
			called, DWS_ERROR_CONFLICT, entry->key,
			"is not among the customers; add it there, or "
			"remove the call");
	else if (g_strcmp0(text, record) != 0)
		dws_fields_report(called, DWS_ERROR_CONFLICT, entry->key,
				  "was called for another window or other "
				  "kinds; remove the call in the patch that "
				  "changes them, call again, then record "
				  "\"%s\"",
				  record);
	else
		g_hash_table_add(slowdown->notified, g_strdup(entry->key));
}

/* Reads which customers were notified. */
static void read_notifications(const dws_fields_t *fields, const char *record,
			       dws_slowdown_t *slowdown)
{
	const dws_value_t *map = dws_fields_get(fields, "called");
	char *path = g_strconcat(fields->path, "called.", NULL);
	dws_fields_t called;

	if (map && dws_fields_init(&called, fields->faults, map, path)) {
		GHashTable *customers = customer_set(slowdown);
		GPtrArray *entries = dws_value_sorted_entries(map);

		for (guint i = 0; i < entries->len; i++)
			read_notification(&called, entries->pdata[i], customers,
					  record, slowdown);
		g_ptr_array_unref(entries);
		g_hash_table_unref(customers);
	}
	g_free(path);
}

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
	slowdown->notified =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_ptr_array_add(config->slowdowns, slowdown);

	dws_fields_reject_unknown(fields, keys, G_N_ELEMENTS(keys));
	const char *start = read_time(fields, "start", &slowdown->start_ms);
	const char *end = read_time(fields, "end", &slowdown->end_ms);

	if (start && end && slowdown->end_ms <= slowdown->start_ms)
		dws_fields_report(fields, DWS_ERROR_CONFLICT, "end",
				  "is not after start; write a later time");
	if (dws_fields_require(fields, "added_delay_ms"))
		dws_fields_number(fields, "added_delay_ms", 1,
				  MAX_ADDED_DELAY_MS,
				  &slowdown->added_delay_ms);
	read_names(fields, "kinds", slowdown->kinds);
	check_kinds_exist(config, fields, slowdown);
	read_names(fields, "customers", slowdown->customers);
	if (!start || !end)
		return;
	char *record = dws_slowdown_notification_record(slowdown, start, end);

	read_notifications(fields, record, slowdown);
	g_free(record);
}

/*
 * True if the time window is open for any error of the wall clock up to the
 * skew.
 */
static bool is_window_open(const dws_slowdown_t *slowdown, int64_t wall_ms,
			   int64_t skew_ms)
{
	return wall_ms >= slowdown->start_ms + skew_ms &&
	       wall_ms < slowdown->end_ms - skew_ms;
}

/*
 * If several slowdowns apply, only the longest delay counts, as the customer
 * was notified of each one and not of their sum.
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

		if (is_window_open(slowdown, wall_ms,
				   config->slowdown_clock_skew_ms) &&
		    g_hash_table_contains(slowdown->notified, customer) &&
		    g_ptr_array_find_with_equal_func(slowdown->kinds, kind,
						     g_str_equal, NULL))
			delay_ms = MAX(delay_ms, slowdown->added_delay_ms);
	}
	return delay_ms;
}
