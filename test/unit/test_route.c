/*
 * Unit tests of the routes in a configuration: lookup, weighted choice of a
 * target, error messages.
 */
#include "support/suite.h"
#include "version/config.h"

#include <string.h>

#define SERVICES "services: {web: {}, pay: {health_path: /h}}\n"

static const char valid_text[] = SERVICES
	"routes:\n"
	"  all: {host: Shop.Example, path_prefix: /w/, idempotent: true,\n"
	"        targets: [{service: web}]}\n"
	"  deep: {host: shop.example, path_prefix: /w/pay/,\n"
	"         idempotent: false, priority: 7, timeout_ms: 500,\n"
	"         objective_ms: 100, max_attempts: 3,\n"
	"         targets: [{service: web, weight: 1},\n"
	"                   {service: pay, weight: 3}]}\n"
	"callers: {max_body_bytes: 5, idle_timeout_ms: 7}\n";

static dws_config_t *parse(const char *text, GError **error)
{
	return dws_config_parse(text, strlen(text), "c", 1, error);
}

static const char *route_name(const dws_config_t *config, const char *host,
			      const char *path)
{
	const dws_route_t *route = dws_config_match_route(config, host, path);

	return route ? route->name : "";
}

static void test_lookup_by_host_and_longest_prefix(void)
{
	dws_config_t *config = parse(valid_text, NULL);

	CU_ASSERT_PTR_NOT_NULL(config);
	if (!config)
		return;
	CU_ASSERT_STRING_EQUAL(route_name(config, "shop.example", "/w/a"),
			       "all");
	CU_ASSERT_STRING_EQUAL(
		route_name(config, "SHOP.example:80", "/w/pay/x"), "deep");
	CU_ASSERT_STRING_EQUAL(route_name(config, "shop.example", "/w/pay"),
			       "all");
	CU_ASSERT_STRING_EQUAL(route_name(config, "shop.example", "/w"), "");
	CU_ASSERT_STRING_EQUAL(route_name(config, "other", "/w/a"), "");
	char *long_host = g_strnfill(1000, 'h');

	CU_ASSERT_STRING_EQUAL(route_name(config, long_host, "/w/a"), "");
	g_free(long_host);
	const dws_route_t *deep =
		dws_config_match_route(config, "shop.example", "/w/pay/");

	CU_ASSERT_PTR_NOT_NULL(deep);
	if (!deep)
		return;
	CU_ASSERT_FALSE(deep->idempotent);
	CU_ASSERT_EQUAL(deep->priority, 7);
	CU_ASSERT_EQUAL(deep->objective_ms, 100);
	CU_ASSERT_EQUAL(deep->max_attempts, 3);
	CU_ASSERT_EQUAL(config->caller_limits.max_body_bytes, 5);
	CU_ASSERT_EQUAL(config->caller_limits.idle_timeout_ms, 7);
	CU_ASSERT_EQUAL(config->caller_limits.max_header_bytes, 16384);
	dws_config_unref(config);
}

static void test_targets_are_chosen_by_weight(void)
{
	dws_config_t *config = parse(valid_text, NULL);
	const dws_route_t *deep =
		dws_config_match_route(config, "shop.example", "/w/pay/");

	CU_ASSERT_PTR_NOT_NULL(deep);
	if (!deep)
		return;
	CU_ASSERT_STRING_EQUAL(dws_route_select_target(deep, 0)->service,
			       "web");
	CU_ASSERT_STRING_EQUAL(
		dws_route_select_target(deep, UINT32_MAX / 4)->service, "web");
	CU_ASSERT_STRING_EQUAL(
		dws_route_select_target(deep, UINT32_MAX / 4 + 2)->service,
		"pay");
	CU_ASSERT_STRING_EQUAL(
		dws_route_select_target(deep, UINT32_MAX)->service, "pay");
	dws_config_unref(config);
}

static void test_errors_name_key_and_remedy(void)
{
	static const char *const cases[][2] = {
		{"  r: {host: h, idempotent: true, targets: []}\n",
		 "routes.r.targets: is not a list of 1 to"},
		{"  r: {host: h, idempotent: true,\n"
		 "      targets: [{service: inn}]}\n",
		 "\"inn\" is not among the services"},
		{"  r: {host: h, idempotent: true,\n"
		 "      targets: [{service: web, weight: 0}]}\n",
		 "have no weight"},
		{"  r: {host: h, path_prefix: /a, idempotent: true,\n"
		 "      targets: [{service: web}]}\n",
		 "is not a prefix of whole segments"},
		{"  r: {host: h, targets: [{service: web}]}\n",
		 "routes.r.idempotent: is missing"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text =
			g_strconcat(SERVICES "routes:\n", cases[i][0], NULL);
		GError *error = NULL;

		CU_ASSERT_PTR_NULL(parse(text, &error));
		CU_ASSERT_TRUE(error && strstr(error->message, cases[i][1]));
		g_clear_error(&error);
		g_free(text);
	}
}

/* Large sites have thousands of routes, many of them without traffic. */
static void test_many_routes(void)
{
	GString *text = g_string_new(SERVICES "routes:\n");
	GError *error = NULL;

	for (int i = 0; i < 6000; i++)
		g_string_append_printf(
			text,
			"  r%d: {host: h%d.example, path_prefix: /p%d/, "
			"idempotent: true, targets: [{service: web}]}\n",
			i, i % 7, i);
	dws_config_t *config = parse(text->str, &error);

	CU_ASSERT_PTR_NOT_NULL_FATAL(config);
	CU_ASSERT_STRING_EQUAL(route_name(config, "h6.example", "/p5airs/x"),
			       "");
	CU_ASSERT_STRING_EQUAL(route_name(config, "h1.example", "/p5994/x"),
			       "");
	CU_ASSERT_STRING_EQUAL(route_name(config, "h2.example", "/p5994/x"),
			       "r5994");
	dws_config_unref(config);
	g_string_free(text, TRUE);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"many routes", test_many_routes},
		{"lookup", test_lookup_by_host_and_longest_prefix},
		{"weights", test_targets_are_chosen_by_weight},
		{"errors", test_errors_name_key_and_remedy},
		{NULL, NULL},
	};

	return suite_main("route", tests);
}
