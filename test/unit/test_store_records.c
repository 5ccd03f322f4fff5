/*
 * Tests of the decoding of what the platform's store holds. Anyone may write an
 * entry, so an odd one must neither end the process nor hide the others: deep
 * nesting, numbers out of range, bad ports, NUL characters, items without key.
 */
#include <CUnit/CUnit.h>
#include <string.h>

#include "json.h"
#include "records.h"
#include "support/suite.h"

#define DEEP_LEVELS 200000

/* Decodes the text of an entry under the key "servers/u-1". */
static bool decode(dws_store_server_t *server, const char *text)
{
	dws_store_item_t item = {
		.key = (char *)"servers/u-1",
		.value = g_bytes_new(text, strlen(text)),
		.revision = 7,
		.created = 7,
	};
	GError *error = NULL;
	bool ok = dws_store_server_decode(server, &item, &error);

	CU_ASSERT_EQUAL(ok, error == NULL);
	if (error) {
		CU_ASSERT_PTR_NOT_NULL(strstr(error->message, "servers/u-1"));
		CU_ASSERT_EQUAL(error->domain, DWS_ERROR);
	}
	g_clear_error(&error);
	g_bytes_unref(item.value);
	return ok;
}

/* Decodes an entry with the given values of some of its fields. */
static bool decode_fields(dws_store_server_t *server, const char *address,
			  const char *born, const char *slots, const char *cold)
{
	char *text = g_strdup_printf(
		"{\"addr\":%s,\"born\":%s,\"info\":{\"service\":\"web\","
		"\"zone\":\"a\",\"max_concurrency\":%s},\"status\":"
		"{\"state\":\"ready\",\"seq\":1,\"cold_left\":%s}}",
		address, born, slots, cold);
	bool ok = decode(server, text);

	g_free(text);
	return ok;
}

/* The text of an object with a deeply nested member, freed with g_free(). */
static char *nested_text(char open, char close)
{
	GString *text = g_string_new("{\"addr\":");

	for (int i = 0; i < DEEP_LEVELS; i++) {
		g_string_append_c(text, open);
		if (open == '{')
			g_string_append(text, "\"a\":");
	}
	g_string_append_c(text, '1');
	for (int i = 0; i < DEEP_LEVELS; i++)
		g_string_append_c(text, close);
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

static void test_deep_nesting_is_rejected(void)
{
	char *texts[] = {nested_text('[', ']'), nested_text('{', '}'),
			 g_strnfill(DEEP_LEVELS, '[')};
	dws_store_server_t server;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		GError *error = NULL;

		CU_ASSERT_FALSE(decode(&server, texts[i]));
		CU_ASSERT_PTR_NULL(dws_store_config_log(
			texts[i], strlen(texts[i]), &error));
		CU_ASSERT_PTR_NOT_NULL(error);
		CU_ASSERT_TRUE(error && strstr(error->message, "nested"));
		g_clear_error(&error);
		g_free(texts[i]);
	}
}

/* Brackets within strings are text, whatever characters are escaped there. */
static void test_brackets_in_strings(void)
{
	char *brackets = g_strnfill(DEEP_LEVELS, '[');
	char *text =
		g_strdup_printf("{\"a\\\"[\\\\\":\"%s\",\"b\":7}", brackets);
	JsonObject *root = dws_json_parse(text, strlen(text), "text", NULL);
	uint64_t number = 0;

	CU_ASSERT_PTR_NOT_NULL_FATAL(root);
	CU_ASSERT_TRUE(dws_json_number(root, "b", &number));
	CU_ASSERT_EQUAL(number, 7);
	json_object_unref(root);
	g_free(text);
	g_free(brackets);
}

static void test_entry_fields_out_of_range(void)
{
	static const struct {
		const char *address;
		const char *born;
		const char *slots;
		const char *cold;
		bool ok;
	} cases[] = {
		{"\"10.0.0.1:80\"", "5", "8", "\"0ms\"", true},
		{"\"10.0.0.1:65535\"", "4102444800000", "65535", "\"3600s\"",
		 true},
		{"\"10.0.0.1:65536\"", "5", "8", "\"0ms\"", false},
		{"\"10.0.0.1:0\"", "5", "8", "\"0ms\"", false},
		{"\"10.0.0.1:-1\"", "5", "8", "\"0ms\"", false},
		{"\"10.0.0.1:99999999999999999999\"", "5", "8", "\"0ms\"",
		 false},
		{"\"10.0.0.1\"", "5", "8", "\"0ms\"", false},
		{"\"300.0.0.1:80\"", "5", "8", "\"0ms\"", false},
		{"\"host:80\"", "5", "8", "\"0ms\"", false},
		{"\"10.0.0.1:80\\u0000x\"", "5", "8", "\"0ms\"", false},
		{"[\"10.0.0.1:80\"]", "5", "8", "\"0ms\"", false},
		{"\"10.0.0.1:80\"", "5", "0", "\"0ms\"", false},
		{"\"10.0.0.1:80\"", "5", "65536", "\"0ms\"", false},
		{"\"10.0.0.1:80\"", "5", "-8", "\"0ms\"", false},
		{"\"10.0.0.1:80\"", "5", "8.5", "\"0ms\"", false},
		{"\"10.0.0.1:80\"", "5", "1e3", "\"0ms\"", false},
		{"\"10.0.0.1:80\"", "5", "1e999", "\"0ms\"", false},
		/* json-glib reads these as 16, 8, 1, 5 and -1. */
		{"\"10.0.0.1:80\"", "5", "0x10", "\"0ms\"", false},
		{"\"10.0.0.1:80\"", "5", "010", "\"0ms\"", false},
		{"\"10.0.0.1:80\"", "5", "-18446744073709551615", "\"0ms\"",
		 false},
		{"\"10.0.0.1:80\"", "-18446744073709551611", "8", "\"0ms\"",
		 false},
		{"\"10.0.0.1:80\"", "5", "99999999999999999999999", "\"0ms\"",
		 false},
		{"\"10.0.0.1:80\"", "9223372036854775807", "8", "\"0ms\"",
		 false},
		{"\"10.0.0.1:80\"", "-1", "8", "\"0ms\"", false},
		{"\"10.0.0.1:80\"", "\"5\"", "8", "\"0ms\"", false},
		/* The node would reject a whole list with such a warm-up. */
		{"\"10.0.0.1:80\"", "5", "8", "\"3601s\"", false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		dws_store_server_t server;
		bool ok =
			decode_fields(&server, cases[i].address, cases[i].born,
				      cases[i].slots, cases[i].cold);

		if (ok != cases[i].ok)
			printf("case %zu: %s %s %s %s\n", i, cases[i].address,
			       cases[i].born, cases[i].slots, cases[i].cold);
		CU_ASSERT_EQUAL(ok, cases[i].ok);
	}
}

static void test_malformed_texts(void)
{
	static const char *const texts[] = {
		"",
		"{",
		"[]",
		"{\"addr\":\"10.0.0.1:80",
		"{\"addr\":\"10.0.0.1:80\\",
		"{\"addr\":'10.0.0.1:80'}",
		"{/* [ */}",
		"var x = {};",
		"{]",
		"}{",
		"{\"a\":\"\xff\xfe\"}",
		"{\"a\":\"\\ud800\"}",
		"{\"a\":-}",
	};
	dws_store_server_t server;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		CU_ASSERT_FALSE(decode(&server, texts[i]));
}

/* Items that can't be decoded are skipped, and the page goes on behind them. */
static void test_odd_items_of_a_page(void)
{
	static const char text[] =
		"{\"items\":[7,null,[],{\"rev\":3},{\"key\":\"a\"},"
		"{\"key\":\"b\",\"rev\":\"3\"},{\"key\":\"c\",\"rev\":-3},"
		"{\"key\":\"d\",\"rev\":5,\"value\":\"%%%not base64\"},"
		"{\"key\":\"e\",\"rev\":6,\"removed\":false,\"value\":\"eA==\"}"
		","
		"{\"key\":\"f\",\"rev\":7,\"removed\":true},"
		"{\"key\":\"g\",\"rev\":99999999999999999999}],"
		"\"has_more\":true,\"at_rev\":9}";
	dws_store_page_t page;

	CU_ASSERT_TRUE_FATAL(
		dws_store_page_init(&page, "items", text, strlen(text), NULL));
	CU_ASSERT_EQUAL_FATAL(page.items->len, 3);
	CU_ASSERT_TRUE(page.has_more);
	CU_ASSERT_STRING_EQUAL(page.last_key, "g");
	const dws_store_item_t *items = (dws_store_item_t *)page.items->data;

	CU_ASSERT_FALSE(items[1].removed);
	CU_ASSERT_PTR_NOT_NULL(items[1].value);
	CU_ASSERT_TRUE(items[2].removed);
	dws_store_page_finish(&page);
}

/*
 * Guards against one key that can't be read hiding the other items of a page,
 * or passing for the key of an upstream.
 */
static void test_odd_keys_of_a_page(void)
{
	static const char *const keys[] = {
		"servers/u-1\\u0000", "servers/u-1\\ud800",
		"servers/u-1\\udc00", "servers/u-1\\ud800\\u0000",
		"servers/u-1\xff",    "servers/u-1\\ud83d\\ude00",
		"servers/\\\\u0000",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		char *text = g_strdup_printf(
			"{\"items\":[{\"key\":\"%s\",\"rev\":3},"
			"{\"key\":\"servers/u-1\",\"rev\":4}],\"at_rev\":9}",
			keys[i]);
		dws_store_page_t page;

		CU_ASSERT_TRUE_FATAL(dws_store_page_init(&page, "items", text,
							 strlen(text), NULL));
		CU_ASSERT_EQUAL_FATAL(page.items->len, 2);
		const dws_store_item_t *items =
			(const dws_store_item_t *)(void *)page.items->data;

		CU_ASSERT_STRING_NOT_EQUAL(items[0].key, "servers/u-1");
		CU_ASSERT_STRING_EQUAL(items[1].key, "servers/u-1");
		dws_store_page_finish(&page);
		g_free(text);
	}
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"deep nesting", test_deep_nesting_is_rejected},
		{"brackets in strings", test_brackets_in_strings},
		{"fields out of range", test_entry_fields_out_of_range},
		{"malformed texts", test_malformed_texts},
		{"odd items of a page", test_odd_items_of_a_page},
		{"odd keys of a page", test_odd_keys_of_a_page},
		{NULL, NULL},
	};

	return suite_main("store records", tests);
}
