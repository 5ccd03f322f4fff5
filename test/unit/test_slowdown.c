/*
 * Unit tests of planned slowdowns: they apply only to customers for whom a call
 * about exactly this slowdown is recorded.
 */
#include "version/config.h"
#include "support/suite.h"

#define RECORD "2027-03-01T02:00:00Z/2027-03-01T03:00:00Z/browse+list"
#define START_MS 1803866400000LL
#define END_MS (START_MS + 3600000)
#define SKEW_MS 5000
#define FRESH_MS 60000

static const char base[] =
	"services: {shop: {}}\n"
	"kinds:\n"
	"  list: {service: shop, path_prefix: /l, priority: 0, idempotent: "
	"true}\n"
	"  browse: {service: shop, priority: 0, idempotent: true}\n"
	"  pay: {service: shop, path_prefix: /p, priority: 5, idempotent: "
	"false}\n"
	"slowdowns:\n"
	"  spring: {start: 2027-03-01T02:00:00Z, added_delay_ms: 500, ";
static const char plan[] = "end: 2027-03-01T03:00:00Z, kinds: [list, browse], "
			   "customers: [etna, roma], ";

/* Parses the base document, completed by the rest of the slowdown. */
static dws_config_t *parse_plan(const char *window, const char *called,
				GError **error)
{
	char *text = g_strconcat(base, window, called, NULL);
	dws_config_t *config =
		dws_config_parse(text, strlen(text), "c", 1, error);

	g_free(text);
	return config;
}

static void test_applies_to_called_customers_in_window(void)
{
	dws_config_t *config =
		parse_plan(plan, "called: {etna: " RECORD "}}\n", NULL);
	static const struct {
		const char *kind, *customer;
		int64_t wall_ms, age_ms;
		uint32_t delay_ms;
	} cases[] = {
		{"browse", "etna", START_MS + SKEW_MS, 0, 500},
		{"list", "etna", END_MS - SKEW_MS - 1, FRESH_MS, 500},
		{"pay", "etna", START_MS + SKEW_MS, 0, 0},
		{"browse", "roma", START_MS + SKEW_MS, 0, 0},
		{"browse", "other", START_MS + SKEW_MS, 0, 0},
		{"browse", NULL, START_MS + SKEW_MS, 0, 0},
		{"browse", "etna", START_MS + SKEW_MS - 1, 0, 0},
		{"browse", "etna", END_MS - SKEW_MS, 0, 0},
		{"browse", "etna", START_MS + SKEW_MS, FRESH_MS + 1, 0},
		{"browse", "etna", START_MS + SKEW_MS, -1, 0},
		{"browse", "etna", INT64_MAX, 0, 0},
		{"browse", "etna", INT64_MIN, 0, 0},
	};

	CU_ASSERT_PTR_NOT_NULL_FATAL(config);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		CU_ASSERT_EQUAL(dws_config_slowdown_ms(config, cases[i].kind,
						       cases[i].customer,
						       cases[i].wall_ms,
						       cases[i].age_ms),
				cases[i].delay_ms);
	dws_config_unref(config);
}

static void test_plan_errors(void)
{
	static const char *const cases[][3] = {
		{plan,
		 "called: {etna: 2027-03-01T02:00:00Z/"
		 "2027-03-01T04:00:00Z/browse+list}}",
		 "slowdowns.spring.called.etna: was called for another window "
		 "or other kinds; remove the call in the patch that changes "
		 "them, call again, then record \"" RECORD "\""},
		{plan, "called: {etna: true}}", "was called for another"},
		{plan, "called: {etna: {}}}", "was called for another"},
		{plan, "called: {bari: " RECORD "}}",
		 "slowdowns.spring.called.bari: is not among the customers"},
		{"end: 2027-03-01T02:00:00Z, kinds: [list], customers: [a]}",
		 "", "slowdowns.spring.end: is not after start"},
		{"end: 2027-03-01 03:00, kinds: [list], customers: [a]}", "",
		 "slowdowns.spring.end: is not a valid UTC time"},
		{"end: 2027-02-30T03:00:00Z, kinds: [list], customers: [a]}",
		 "", "slowdowns.spring.end: is not a valid UTC time"},
		{"end: 2027-03-02T02:00:00Z, kinds: [no], customers: [a]}", "",
		 "slowdowns.spring.kinds: \"no\" is not among the kinds"},
		{"end: 2027-03-02T02:00:00Z, kinds: [], customers: [a, a]}", "",
		 "slowdowns.spring.customers: item 2 is a duplicate; remove "
		 "it"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GError *error = NULL;

		CU_ASSERT_PTR_NULL(
			parse_plan(cases[i][0], cases[i][1], &error));
		CU_ASSERT_TRUE(error && strstr(error->message, cases[i][2]));
		g_clear_error(&error);
	}
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"called customers",
		 test_applies_to_called_customers_in_window},
		{"plan errors", test_plan_errors},
		{NULL, NULL},
	};

	return suite_main("slowdown", tests);
}
