/* Unit tests of lib/settings. Run from the root of the tree. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "settings/fg_settings.h"

#define BASE                                                                   \
	"name: a\nregion: r\ndc: d\n"                                          \
	"http: 127.0.0.1:24100\nrpc: 127.0.0.1:24101\n"                        \
	"platform: 127.0.0.1:24000\n"

static void refuse(const char *text, const char *first, const char *second)
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

static void test_examples(void)
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
	struct fg_settings *s = fg_settings_parse("x", BASE, &error);

	g_assert_no_error(error);
	g_assert_cmpstr(s->http, ==, "127.0.0.1:24100");
	g_assert_cmpstr(s->control, ==, "");
	g_assert_null(s->history);
	g_assert_cmpuint(s->limits.deadline_max_ms, ==, 600000);
	g_assert_cmpuint(s->timing.tick_ms, ==, 20);
	g_assert_false(s->switches.no_pin);
	fg_settings_free(s);
}

static void test_refused(void)
{
	refuse("", "empty", "mapping");
	refuse("- a\n", "Expecting", "MAPPING");
	refuse(BASE "foo: 1\n", "foo", "allowed keys");
	refuse(BASE "limits:\n  foo: 1\n", "foo", "line: 8");
	refuse(BASE "name: b\n", "already seen", "name");
	refuse("name: a\n", "region: missing", "platform: missing");
	refuse(BASE "workers: 0\n", "x.yaml:7: workers: found \"0\"",
	       "from 1 to 256");
	refuse(BASE "workers: 5s\n", "found \"5s\"", "whole number");
	refuse(BASE "workers: -1\n", "found \"-1\"", "whole number");
	refuse(BASE "limits:\n  body_max_bytes: 99999999999\n",
	       "x.yaml:8: limits.body_max_bytes", "from 1024 to 16777216");
	refuse(BASE "limits:\n  body_max_bytes:\n", "body_max_bytes",
	       "allowed");
	refuse(BASE "log_level: loud\n", "loud", "error, warn, info or debug");
	refuse(BASE "control: localhost:80\n", "localhost:80", "IP number");
	refuse(BASE "control: 127.0.0.1:24101\n", "control", "another address");
	refuse(BASE "seeds:\n  - 127.0.0.1:1\n", "seeds", "allowed keys");
	refuse(BASE "timing:\n  lease_ms: 2000\n", "lease_ms",
	       "three times renew_ms");
	refuse(BASE "timing:\n  confirm_ms: 9000\n", "lease_ms",
	       "at least 9000, as confirm_ms");
	refuse(BASE "limits: &a\n  requests_max: 1\ntiming: *a\n", "x.yaml",
	       "");
}

static void test_all_faults_named(void)
{
	refuse(BASE "workers: 0\ncontrol: x\n", "x.yaml:7: workers",
	       "x.yaml:8: control");
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

static void test_switches(void)
{
	struct fg_settings *s;

	unsetenv(FG_TEST_ENV);
	refuse(BASE "switches:\n  no_pin: true\n", "switches.no_pin",
	       FG_TEST_ENV "=1");
	refuse(BASE "switches:\n  no_pin: false\n", "switches.no_pin",
	       FG_TEST_ENV "=1");
	setenv(FG_TEST_ENV, "1", 1);
	s = fg_settings_parse("x", BASE "switches:\n  no_pin: true\n", NULL);
	g_assert_true(s->switches.no_pin);
	g_assert_false(s->switches.no_fence);
	fg_settings_free(s);
	refuse(BASE "switches:\n  no_pin: yes\n", "no_pin", "true or false");
	unsetenv(FG_TEST_ENV);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/examples", test_examples);
	g_test_add_func("/settings/defaults", test_defaults);
	g_test_add_func("/settings/refused", test_refused);
	g_test_add_func("/settings/all_faults_named", test_all_faults_named);
	g_test_add_func("/settings/addresses", test_addresses);
	g_test_add_func("/settings/switches", test_switches);
	return g_test_run();
}
