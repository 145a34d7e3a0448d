/* Unit tests of lib/settings. Run from the root of the tree. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "settings/fg_settings.h"

#define VALID_SETTINGS                                                         \
	"name: a\nregion: r\ndc: d\n"                                          \
	"http: 127.0.0.1:24100\nrpc: 127.0.0.1:24101\n"                        \
	"platform: 127.0.0.1:24000\n"

static void assert_refused(const char *text, const char *first,
			   const char *second)
{
	g_autoptr(GError) error = NULL;
	struct fg_settings *s = fg_settings_parse("x.yaml", text, &error);

	g_assert_null(s);
	g_assert_nonnull(error);
	g_assert_true(g_str_has_prefix(error->message, "x.yaml"));
	if (strstr(error->message, first) == NULL ||
	    strstr(error->message, second) == NULL)
		g_error("\"%s\" lacks \"%s\" or \"%s\"", error->message, first,
			second);
}

static void test_examples_are_valid(void)
{
	const char *paths[] = { "examples/huerta.yaml",
				"examples/association.yaml" };

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		g_autoptr(GError) error = NULL;
		struct fg_settings *s = fg_settings_load(paths[i], &error);

		g_assert_no_error(error);
		g_assert_cmpuint(s->workers, >, 0);
		g_assert_cmpint(s->log_level, ==, FG_LOG_INFO);
		fg_settings_free(s);
	}
}

static void test_defaults(void)
{
	g_autoptr(GError) error = NULL;
	struct fg_settings *s = fg_settings_parse("x", VALID_SETTINGS, &error);

	g_assert_no_error(error);
	g_assert_cmpstr(s->http, ==, "127.0.0.1:24100");
	g_assert_cmpstr(s->control, ==, "");
	g_assert_null(s->history);
	g_assert_cmpuint(s->limits.deadline_max_ms, ==, 600000);
	g_assert_cmpuint(s->timing.tick_ms, ==, 20);
	g_assert_false(s->switches.no_pin);
	fg_settings_free(s);
}

static void test_invalid_settings_are_refused(void)
{
	assert_refused("", "empty", "mapping");
	assert_refused("- a\n", "Expecting", "MAPPING");
	assert_refused(VALID_SETTINGS "foo: 1\n", "foo", "allowed keys");
	assert_refused(VALID_SETTINGS "limits:\n  foo: 1\n", "foo", "line: 8");
	assert_refused(VALID_SETTINGS "name: b\n", "already seen", "name");
	assert_refused("name: a\n", "region: missing", "platform: missing");
	assert_refused(VALID_SETTINGS "workers: 0\n",
		       "x.yaml:7: workers: found \"0\"", "from 1 to 256");
	assert_refused(VALID_SETTINGS "workers: 5s\n", "found \"5s\"",
		       "whole number");
	assert_refused(VALID_SETTINGS "workers: -1\n", "found \"-1\"",
		       "whole number");
	assert_refused(
		VALID_SETTINGS "limits:\n  body_max_bytes: 99999999999\n",
		"x.yaml:8: limits.body_max_bytes", "from 1024 to 16777216");
	assert_refused(VALID_SETTINGS "limits:\n  body_max_bytes:\n",
		       "body_max_bytes", "allowed");
	assert_refused(VALID_SETTINGS "log_level: loud\n", "loud",
		       "error, warn, info or debug");
	assert_refused(VALID_SETTINGS "control: localhost:80\n", "localhost:80",
		       "IP number");
	assert_refused(VALID_SETTINGS "control: 127.0.0.1:24101\n", "control",
		       "another address");
	assert_refused(VALID_SETTINGS "seeds:\n  - 127.0.0.1:1\n", "seeds",
		       "allowed keys");
	assert_refused(VALID_SETTINGS "timing:\n  lease_ms: 2000\n", "lease_ms",
		       "three times renew_ms");
	assert_refused(VALID_SETTINGS "timing:\n  confirm_ms: 9000\n",
		       "lease_ms", "at least 9000, as confirm_ms");
	assert_refused(VALID_SETTINGS
		       "limits: &a\n  requests_max: 1\ntiming: *a\n",
		       "x.yaml", "");
}

static void test_all_faults_are_reported(void)
{
	assert_refused(VALID_SETTINGS "workers: 0\ncontrol: x\n",
		       "x.yaml:7: workers", "x.yaml:8: control");
}

static void test_addresses(void)
{
	g_assert_true(fg_settings_is_address("192.0.2.1:80"));
	g_assert_true(fg_settings_is_address("[2001:db8::1]:80"));
	g_assert_false(fg_settings_is_address("2001:db8::1:80"));
	g_assert_false(fg_settings_is_address("192.0.2.1"));
	g_assert_false(fg_settings_is_address("192.0.2.1:0"));
	g_assert_false(fg_settings_is_address("192.0.2.1:65536"));
	g_assert_false(fg_settings_is_address("192.0.2.256:1"));
	g_assert_false(fg_settings_is_address(":80"));
	g_assert_false(fg_settings_is_address("[]:80"));
	g_assert_false(fg_settings_is_address(""));
}

static void test_switches_need_test_env(void)
{
	struct fg_settings *s;

	unsetenv(FG_TEST_ENV);
	assert_refused(VALID_SETTINGS "switches:\n  no_pin: true\n",
		       "switches.no_pin", FG_TEST_ENV "=1");
	assert_refused(VALID_SETTINGS "switches:\n  no_pin: false\n",
		       "switches.no_pin", FG_TEST_ENV "=1");
	setenv(FG_TEST_ENV, "1", 1);
	s = fg_settings_parse("x", VALID_SETTINGS "switches:\n  no_pin: true\n",
			      NULL);
	g_assert_true(s->switches.no_pin);
	g_assert_false(s->switches.no_fence);
	fg_settings_free(s);
	assert_refused(VALID_SETTINGS "switches:\n  no_pin: yes\n", "no_pin",
		       "true or false");
	unsetenv(FG_TEST_ENV);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/examples", test_examples_are_valid);
	g_test_add_func("/settings/defaults", test_defaults);
	g_test_add_func("/settings/refused", test_invalid_settings_are_refused);
	g_test_add_func("/settings/all_faults_named",
			test_all_faults_are_reported);
	g_test_add_func("/settings/addresses", test_addresses);
	g_test_add_func("/settings/switches", test_switches_need_test_env);
	return g_test_run();
}
