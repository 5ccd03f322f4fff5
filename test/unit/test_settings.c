/*
 * Unit tests of settings: defaults, values, and an error message that lists all
 * errors.
 */
#include "process/settings.h"
#include "support/suite.h"

static const char valid_text[] = "vm_id: vm-1\n"
				 "zone: a\n"
				 "region: palermo\n"
				 "callers_listen: 127.0.0.1:7000\n"
				 "upstream_listen: 127.0.0.1:7001\n"
				 "admin_listen: 127.0.0.1:7070\n"
				 "frame_listen: 10.0.0.1:7002\n"
				 "datagram_listen: \"[::1]:7002\"\n";

/*
 * Parses the valid settings with additional lines. Returns NULL, or the error
 * message, which the caller frees.
 */
static char *parse_with(dws_settings_t *settings, const char *lines)
{
	char *text = g_strconcat(valid_text, lines, NULL);
	char *message = NULL;
	GError *error = NULL;

	if (!dws_settings_parse(settings, text, strlen(text), "s.yaml",
				&error)) {
		message = g_strdup(error->message);
		g_clear_error(&error);
	}
	g_free(text);
	return message;
}

static void test_defaults_and_values(void)
{
	dws_settings_t settings;

	CU_ASSERT_PTR_NULL(parse_with(&settings, ""));
	CU_ASSERT_STRING_EQUAL(settings.vm_id, "vm-1");
	CU_ASSERT_STRING_EQUAL(settings.datagram_listen.ip, "::1");
	CU_ASSERT_EQUAL(settings.datagram_listen.port, 7002);
	CU_ASSERT_EQUAL(settings.max_body_bytes, 262144);
	CU_ASSERT_EQUAL(settings.max_ledger_entries, 65536);
	CU_ASSERT_EQUAL(settings.ticket_ttl_ms, 120000);
	CU_ASSERT_EQUAL(settings.log_level, DWS_LOG_INFO);
	CU_ASSERT_STRING_EQUAL(settings.policy, "adaptive");
	CU_ASSERT_EQUAL(settings.upstream.port, 0);
	CU_ASSERT_PTR_NULL(parse_with(
		&settings,
		"service: deposits\nupstream: 127.0.0.1:8\npolicy: fixed\n"
		"log_level: debug\nmax_held: 0\n"
		"seeds: [{frame: 10.0.0.2:1, datagram: 10.0.0.2:2}]\n"));
	CU_ASSERT_EQUAL(settings.seed_count, 1);
	CU_ASSERT_EQUAL(settings.seeds[0].datagram.port, 2);
	CU_ASSERT_EQUAL(settings.upstream.port, 8);
	CU_ASSERT_EQUAL(settings.max_held, 0);
	CU_ASSERT_STRING_EQUAL(settings.policy, "fixed");
	CU_ASSERT_STRING_EQUAL(settings.bind_ip, "");
	CU_ASSERT_PTR_NULL(parse_with(&settings, "bind_ip: 10.9.0.1\n"));
	CU_ASSERT_STRING_EQUAL(settings.bind_ip, "10.9.0.1");
	CU_ASSERT_STRING_EQUAL(settings.frame_listen.ip, "10.0.0.1");
}

static void test_errors(void)
{
	static const char *const cases[][2] = {
		{"max_cals: 3\n", "s.yaml:9: max_cals: unknown key; did you "
				  "mean \"max_calls\"?"},
		{"weather: fine\n", "s.yaml:9: weather: unknown key; remove"},
		{"max_calls: 0\n",
		 "s.yaml:9: max_calls: \"0\" is not a valid value; "
		 "write a number from 1 to 1000000"},
		{"max_calls: -1\n", "max_calls: \"-1\" is not a valid value"},
		{"max_calls: [1]\n", "max_calls: is a map or list"},
		{"platform: example.org:80\n",
		 "platform: \"example.org:80\" "
		 "is not a valid value; write IP:PORT"},
		{"platform: 10.0.0.1:65536\n", "platform: "},
		{"platform: ::1:80\n", "platform: "},
		{"service: x\nupstream: 127.0.0.1:7001\n",
		 "upstream: is the address of upstream_listen; give it"},
		{"service: x\n", "service: has no upstream; add upstream"},
		{"upstream: 10.0.0.1:1\n", "upstream: has no service; add"},
		{"policy: fast\n", "policy: is not an allowed value; write one "
				   "of adaptive, fixed, none"},
		{"admin_any_address: yes\n",
		 "admin_any_address: \"yes\" is not a "
		 "valid value; write true or false"},
		{"seeds: [{frame: 10.0.0.2:1}]\n",
		 "seeds[0].datagram: is missing"},
		{"seeds: {}\n", "seeds: is not a list of at most 16 entries"},
		{"bind_ip: here\n", "bind_ip: is not an IP address; write one"},
		{"log_file: \"a\\nb\"\n",
		 "log_file: \"a\\nb\" is not a valid value"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		dws_settings_t settings;
		char *message = parse_with(&settings, cases[i][0]);

		CU_ASSERT_TRUE(message && strstr(message, cases[i][1]) &&
			       !strchr(message, '\n'));
		g_free(message);
	}
}

static void test_all_errors_are_reported_at_once(void)
{
	dws_settings_t settings;
	GError *error = NULL;
	static const char text[] = "zone: \"a b\"\nadmin_listen: 10.0.0.1:1\n";

	CU_ASSERT_FALSE(
		dws_settings_parse(&settings, text, strlen(text), "s", &error));
	char **lines = g_strsplit(error->message, "\n", -1);

	/*
	 * missing: vm_id, region and four addresses; invalid: zone and
	 * admin_listen
	 */
	CU_ASSERT_EQUAL(g_strv_length(lines), 8);
	CU_ASSERT_PTR_NOT_NULL(strstr(error->message,
				      "s:2: admin_listen: "
				      "10.0.0.1 is not a loopback "
				      "address"));
	g_strfreev(lines);
	g_clear_error(&error);
	CU_ASSERT_FALSE(dws_settings_parse(&settings, "x", 1, "s", &error));
	CU_ASSERT_STRING_EQUAL(
		error->message,
		"s:1: document: is not a map; write \"key: value\" "
		"lines");
	g_clear_error(&error);
}

static void test_admin_on_any_address(void)
{
	dws_settings_t settings;
	char *text = g_strconcat(valid_text, "admin_any_address: true\n", NULL);
	char **parts = g_strsplit(text, "127.0.0.1:7070", 2);
	char *changed = g_strjoinv("10.0.0.1:7070", parts);

	CU_ASSERT_TRUE(dws_settings_parse(&settings, changed, strlen(changed),
					  "s", NULL));
	g_free(changed);
	g_strfreev(parts);
	g_free(text);
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"defaults", test_defaults_and_values},
		{"errors", test_errors},
		{"all errors", test_all_errors_are_reported_at_once},
		{"admin", test_admin_on_any_address},
		{NULL, NULL},
	};

	return suite_main("settings", tests);
}
