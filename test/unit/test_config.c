/*
 * Unit tests of configuration documents: values and defaults, matching of a
 * request to its kind, error messages.
 */
#include "version/config.h"
#include "support/suite.h"

static const char valid_text[] =
	"services: {shop: {slots: 55}, bank: {}}\n"
	"kinds:\n"
	"  browse: {service: shop, method: GET, priority: 0, idempotent: "
	"true}\n"
	"  any: {service: shop, priority: 1, idempotent: false}\n"
	"  box: {service: shop, path_prefix: /box, priority: 2, worth: 9,\n"
	"        idempotent: true, timeout_ms: 50}\n"
	"  see: {service: shop, path_prefix: /box, priority: 2, method: GET,\n"
	"        idempotent: true}\n"
	"  pay: {service: bank, path_prefix: /pay/, priority: 7,\n"
	"        idempotent: false}\n";

/* Parses the valid document with additional lines. */
static dws_config_t *parse_with(const char *lines, GError **error)
{
	char *text = g_strconcat(valid_text, lines, NULL);
	dws_config_t *config =
		dws_config_parse(text, strlen(text), "c", 4, error);

	g_free(text);
	return config;
}

static void test_values_and_defaults(void)
{
	dws_config_t *config = parse_with("", NULL);

	CU_ASSERT_PTR_NOT_NULL_FATAL(config);
	const dws_kind_t *box = dws_config_find_kind(config, "box");

	CU_ASSERT_EQUAL(config->version, 4);
	CU_ASSERT_EQUAL(dws_config_find_service(config, "shop")->slots, 55);
	CU_ASSERT_EQUAL(dws_config_find_service(config, "bank")->slots, 0);
	CU_ASSERT_PTR_NULL(dws_config_find_service(config, "none"));
	CU_ASSERT_TRUE(box->worth == 9 && box->timeout_ms == 50);
	CU_ASSERT_TRUE(box->retry_budget == 3 && box->calls_per_parent == 1);
	CU_ASSERT_EQUAL(config->customer_retries_per_min, 60);
	CU_ASSERT_EQUAL(config->slowdown_freshness_ms, 60000);
	dws_config_unref(dws_config_ref(config));
	dws_config_unref(config);
}

static void test_match_of_request_to_kind(void)
{
	static const char *const cases[][3] = {
		{"GET", "/shop", "browse"},
		{"GET", "/shop?x=//", "browse"},
		{"POST", "/shop/a", "any"},
		{"GET", "/shop/box/1", "see"},
		{"PUT", "/shop/box?x", "box"},
		{"GET", "/shop/boxes", "browse"},
		{"GET", "/bank/pay/1", "pay"},
		{"GET", "/bank/pay", NULL},
		{"GET", "/bank", NULL},
		{"GET", "/sho", NULL},
		{"GET", "/shops", NULL},
		{"GET", "/", NULL},
		{"GET", "shop", NULL},
		/* an upstream may resolve these to the path of another kind */
		{"GET", "/shop/a/../box", NULL},
		{"GET", "/shop/%2E%2e/bank/pay/1", NULL},
		{"GET", "/shop/a%2Fbox", NULL},
		{"GET", "/shop//box", NULL},
		{"GET", "/shop/..", NULL},
		{"GET", "/shop/.hidden", "browse"},
	};
	dws_config_t *config = parse_with("", NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const dws_kind_t *kind =
			dws_config_match_kind(config, cases[i][0], cases[i][1]);

		CU_ASSERT_EQUAL(
			g_strcmp0(kind ? kind->name : NULL, cases[i][2]), 0);
	}
	dws_config_unref(config);
}

static void test_errors(void)
{
	static const char *const cases[][2] = {
		{"  bad: {service: inn, priority: 1, idempotent: true}\n",
		 "c:11: kinds.bad.service: \"inn\" is not among the"},
		{"  bad: {service: shop, priority: 8, idempotent: true}\n",
		 "kinds.bad.priority: \"8\" is not a valid value; write a "
		 "number from 0 to 7"},
		{"  bad: {service: shop, priority: 1, method: PUT}\n",
		 "kinds.bad.idempotent: is missing"},
		{"  bad: {service: shop, priority: 1, idempotent: true,\n"
		 "        path_prefix: /box}\n",
		 "c:5: kinds.box.path_prefix: has the service, method and "
		 "prefix of kind \"bad\""},
		{"  bad: {service: shop, priority: 1, idempotent: true,\n"
		 "        path_prefix: /a/../b}\n",
		 "kinds.bad.path_prefix: is not a normalized absolute path"},
		{"  \"b d\": {}\n", "kinds.b d: is not a valid name"},
		{"  bad: ~\n", "kinds.bad: is not a map"},
		{"limit: {}\n", "c:11: limit: unknown key; did you mean "
				"\"limits\"?"},
		{"limits: {customer_retries: 1}\n",
		 "limits.customer_retries: unknown key"},
		{"limits: {slowdown_clock_skew_ms: 600001}\n",
		 "limits.slowdown_clock_skew_ms: \"600001\" is not a valid "
		 "value"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GError *error = NULL;

		CU_ASSERT_PTR_NULL(parse_with(cases[i][0], &error));
		CU_ASSERT_TRUE(error && strstr(error->message, cases[i][1]));
		g_clear_error(&error);
	}
	CU_ASSERT_PTR_NULL(dws_config_parse("services: {}", 12, "c", 1, NULL));
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"values", test_values_and_defaults},
		{"match", test_match_of_request_to_kind},
		{"errors", test_errors},
		{NULL, NULL},
	};

	return suite_main("config", tests);
}
