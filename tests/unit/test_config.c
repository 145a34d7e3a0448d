/* Unit tests of the catalogue: changes, lookups, snapshots. */
#include <glib.h>
#include <string.h>

#include "base/fg_rand.h"
#include "config/fg_config.h"

/* Applies a change as the next revision. The format gives the JSON members of
 * the change without braces and revision. */
static bool apply_next(struct fg_config *c, GError **error, const char *fmt,
		       ...) G_GNUC_PRINTF(3, 4);
static bool apply_next(struct fg_config *c, GError **error, const char *fmt,
		       ...)
{
	g_autofree char *body = NULL;
	g_autofree char *text = NULL;
	va_list ap;

	va_start(ap, fmt);
	body = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	text = g_strdup_printf("{\"revision\":%" G_GUINT64_FORMAT ",%s}",
			       fg_config_revision(c) + 1, body);
	return fg_config_apply(c, text, error);
}

static void apply_ok(struct fg_config *c, const char *body)
{
	g_autoptr(GError) error = NULL;

	g_assert_true(apply_next(c, &error, "%s", body));
	g_assert_no_error(error);
}

/* Asserts that a change fails with this code and leaves the catalogue as it
 * was. */
static void assert_refused(struct fg_config *c, int code, const char *body)
{
	g_autofree char *before = fg_config_snapshot(c);
	g_autofree char *after = NULL;
	g_autoptr(GError) error = NULL;

	g_assert_false(apply_next(c, &error, "%s", body));
	g_assert_error(error, FG_CONFIG_ERROR, code);
	after = fg_config_snapshot(c);
	g_assert_cmpstr(before, ==, after);
}

static struct fg_config *new_small_config(void)
{
	struct fg_config *c = fg_config_new();

	apply_ok(c,
		 "\"kind\":\"adapter_add\",\"base\":\"b\",\"adapter\":\"a1\"");
	apply_ok(c, "\"kind\":\"version_add\",\"adapter\":\"a1\",\"version\":"
		    "\"1\"");
	apply_ok(c, "\"kind\":\"version_add\",\"adapter\":\"a1\",\"version\":"
		    "\"2\"");
	apply_ok(
		c,
		"\"kind\":\"right_grant\",\"adapter\":\"a1\",\"caller\":\"x\"");
	return c;
}

static void test_resolve(void)
{
	struct fg_config *c = new_small_config();
	fg_av av;

	g_assert_cmpint(fg_config_resolve(c, "x", "a1", NULL, &av), ==,
			FG_R_NONE);
	g_assert_cmpuint(av.adapter, ==, 1);
	g_assert_cmpuint(av.ver, ==, 2);
	g_assert_cmpstr(fg_config_adapter_name(c, av), ==, "a1");
	g_assert_cmpstr(fg_config_version_name(c, av), ==, "2");
	g_assert_cmpstr(fg_config_adapter_base(c, av), ==, "b");
	g_assert_cmpint(fg_config_resolve(c, "x", "a1", "1", &av), ==,
			FG_R_NONE);
	g_assert_cmpuint(av.ver, ==, 1);
	g_assert_cmpint(fg_config_resolve(c, "x", "a1", "9", &av), ==,
			FG_R_UNKNOWN_VERSION);
	g_assert_cmpint(fg_config_resolve(c, "x", "zz", "1", &av), ==,
			FG_R_UNKNOWN_ADAPTER);
	g_assert_cmpint(fg_config_resolve(c, "y", "a1", "9", &av), ==,
			FG_R_NO_RIGHT);
	g_assert_cmpint(fg_config_resolve(c, NULL, NULL, NULL, &av), ==,
			FG_R_UNKNOWN_ADAPTER);
	apply_ok(
		c,
		"\"kind\":\"right_grant\",\"adapter\":\"a1\",\"caller\":\"*\"");
	g_assert_cmpint(fg_config_resolve(c, "y", "a1", "1", &av), ==,
			FG_R_NONE);
	g_assert_cmpuint(fg_config_find_version(c, "a1", "2").ver, ==, 2);
	g_assert_cmpuint(fg_config_find_version(c, "a1", "9").adapter, ==, 0);
	g_assert_null(fg_config_adapter_name(c, (fg_av){ 99, 1 }));
	g_assert_null(fg_config_version_name(c, (fg_av){ 1, 99 }));
	fg_config_free(c);
}

static void test_numbers_never_reused(void)
{
	struct fg_config *c = new_small_config();

	apply_ok(c, "\"kind\":\"version_remove\",\"adapter\":\"a1\","
		    "\"version\":\"2\"");
	apply_ok(c, "\"kind\":\"version_add\",\"adapter\":\"a1\",\"version\":"
		    "\"2\"");
	g_assert_cmpuint(fg_config_find_version(c, "a1", "2").ver, ==, 3);
	apply_ok(c, "\"kind\":\"adapter_remove\",\"adapter\":\"a1\"");
	apply_ok(c,
		 "\"kind\":\"adapter_add\",\"base\":\"b\",\"adapter\":\"a1\"");
	apply_ok(c, "\"kind\":\"version_add\",\"adapter\":\"a1\",\"version\":"
		    "\"2\"");
	g_assert_cmpuint(fg_config_find_version(c, "a1", "2").adapter, ==, 2);
	fg_config_free(c);
}

static void test_presets_services(void)
{
	struct fg_config *c = new_small_config();

	g_assert_cmpstr(fg_config_preset(c)->name, ==, "ordinary");
	apply_ok(c, "\"kind\":\"preset_set\",\"preset\":\"maintenance\"");
	g_assert_false(fg_config_preset(c)->accept_drafts);
	apply_ok(c, "\"kind\":\"preset_put\",\"preset\":\"maintenance\","
		    "\"accept_drafts\":true,\"stall_weight\":7");
	g_assert_true(fg_config_preset(c)->accept_drafts);
	g_assert_cmpuint(fg_config_preset(c)->stall_weight, ==, 7);
	apply_ok(c,
		 "\"kind\":\"service_put\",\"service\":\"s\",\"plain\":true");
	g_assert_true(fg_config_service(c, "s")->plain);
	g_assert_cmpuint(fg_config_service(c, "s")->loads_in_flight, ==, 8);
	g_assert_false(fg_config_service(c, "other")->plain);
	assert_refused(c, FG_CONFIG_ERR_UNKNOWN,
		       "\"kind\":\"preset_set\",\"preset\":\"none\"");
	assert_refused(c, FG_CONFIG_ERR_RANGE,
		       "\"kind\":\"preset_put\",\"preset\":\"p\",\"stall_"
		       "weight\":101");
	assert_refused(
		c, FG_CONFIG_ERR_RANGE,
		"\"kind\":\"preset_put\",\"preset\":\"p\",\"accept_drafts\":1");
	assert_refused(
		c, FG_CONFIG_ERR_RANGE,
		"\"kind\":\"service_put\",\"service\":\"s\",\"load_ms\":-1");
	fg_config_free(c);
}

static void test_invalid_changes(void)
{
	struct fg_config *c = new_small_config();
	g_autoptr(GError) error = NULL;

	assert_refused(c, FG_CONFIG_ERR_SYNTAX, "\"kind\":\"nonsense\"");
	assert_refused(c, FG_CONFIG_ERR_SYNTAX, "\"kind\":1");
	assert_refused(c, FG_CONFIG_ERR_SYNTAX,
		       "\"kind\":\"preset_set\",\"preset\":\"peak\",\"x\":1");
	assert_refused(c, FG_CONFIG_ERR_SYNTAX, "\"kind\":\"adapter_add\"");
	assert_refused(
		c, FG_CONFIG_ERR_EXISTS,
		"\"kind\":\"adapter_add\",\"base\":\"b\",\"adapter\":\"a1\"");
	assert_refused(c, FG_CONFIG_ERR_EXISTS,
		       "\"kind\":\"version_add\",\"adapter\":\"a1\","
		       "\"version\":\"1\"");
	assert_refused(c, FG_CONFIG_ERR_UNKNOWN,
		       "\"kind\":\"adapter_remove\",\"adapter\":\"a2\"");
	assert_refused(c, FG_CONFIG_ERR_UNKNOWN,
		       "\"kind\":\"right_revoke\",\"adapter\":\"a1\","
		       "\"caller\":\"y\"");
	g_assert_false(
		fg_config_apply(c, "{\"revision\":99,\"kind\":\"x\"}", &error));
	g_assert_error(error, FG_CONFIG_ERROR, FG_CONFIG_ERR_GAP);
	g_clear_error(&error);
	g_assert_false(fg_config_apply(c, "[]", &error));
	g_assert_error(error, FG_CONFIG_ERROR, FG_CONFIG_ERR_SYNTAX);
	fg_config_free(c);
}

static void test_name_limits(void)
{
	struct fg_config *c = fg_config_new();
	g_autofree char *longest = g_strnfill(63, 'n');
	g_autofree char *too_long = g_strnfill(64, 'n');
	const char *bad[] = { "", "a@b", "a|b", "a\\nb", "a\\u007f", too_long };
	g_autoptr(GError) error = NULL;
	g_autofree char *ok = g_strdup_printf(
		"\"kind\":\"adapter_add\",\"base\":\"b\",\"adapter\":\"%s\"",
		longest);

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_autofree char *text =
			g_strdup_printf("\"kind\":\"adapter_add\",\"base\":"
					"\"b\",\"adapter\":\"%s\"",
					bad[i]);

		assert_refused(c, FG_CONFIG_ERR_RANGE, text);
	}
	apply_ok(c, ok);
	apply_ok(c, "\"kind\":\"adapter_add\",\"base\":\"b\","
		    "\"adapter\":\"men\xc3\xba \\\"x\\\\\"");
	fg_config_free(c);
}

static void test_format_numbers(void)
{
	struct fg_config *c = new_small_config();
	g_autoptr(GError) error = NULL;

	apply_ok(c, "\"format\":1,\"nonce\":\"n\",\"kind\":\"preset_set\","
		    "\"preset\":\"peak\"");
	assert_refused(
		c, FG_CONFIG_ERR_FORMAT,
		"\"format\":2,\"kind\":\"preset_set\",\"preset\":\"peak\"");
	assert_refused(
		c, FG_CONFIG_ERR_FORMAT,
		"\"format\":0,\"kind\":\"preset_set\",\"preset\":\"peak\"");
	g_assert_false(fg_config_restore(
		c, "{\"format\":2,\"revision\":900,\"part\":0}", &error));
	g_assert_error(error, FG_CONFIG_ERROR, FG_CONFIG_ERR_FORMAT);
	g_assert_nonnull(strstr(error->message, "format 2 cannot be read"));
	fg_config_free(c);
}

static void test_batch_rollback(void)
{
	struct fg_config *c = new_small_config();

	assert_refused(c, FG_CONFIG_ERR_RANGE,
		       "\"kind\":\"batch\",\"changes\":[]");
	assert_refused(c, FG_CONFIG_ERR_SYNTAX,
		       "\"kind\":\"batch\",\"changes\":[{\"kind\":\"batch\","
		       "\"changes\":[]}]");
	/* The last change fails: all kinds of changes must be rolled back. */
	assert_refused(c, FG_CONFIG_ERR_UNKNOWN,
		       "\"kind\":\"batch\",\"changes\":["
		       "{\"kind\":\"version_remove\",\"adapter\":\"a1\","
		       "\"version\":\"1\"},"
		       "{\"kind\":\"right_revoke\",\"adapter\":\"a1\","
		       "\"caller\":\"x\"},"
		       "{\"kind\":\"right_grant\",\"adapter\":\"a1\","
		       "\"caller\":\"w\"},"
		       "{\"kind\":\"version_add\",\"adapter\":\"a1\","
		       "\"version\":\"3\"},"
		       "{\"kind\":\"adapter_remove\",\"adapter\":\"a1\"},"
		       "{\"kind\":\"adapter_add\",\"base\":\"b\","
		       "\"adapter\":\"a1\"},"
		       "{\"kind\":\"preset_put\",\"preset\":\"new\"},"
		       "{\"kind\":\"preset_put\",\"preset\":\"peak\","
		       "\"hold_max_ms\":1},"
		       "{\"kind\":\"preset_set\",\"preset\":\"new\"},"
		       "{\"kind\":\"service_put\",\"service\":\"s\"},"
		       "{\"kind\":\"service_put\",\"service\":\"s\","
		       "\"load_ms\":9},"
		       "{\"kind\":\"adapter_remove\",\"adapter\":\"a2\"}]");
	apply_ok(c, "\"kind\":\"batch\",\"changes\":["
		    "{\"kind\":\"adapter_remove\",\"adapter\":\"a1\"},"
		    "{\"kind\":\"adapter_add\",\"base\":\"b\","
		    "\"adapter\":\"a1\"},"
		    "{\"kind\":\"preset_set\",\"preset\":\"peak\"}]");
	g_assert_cmpuint(fg_config_revision(c), ==, 5);
	g_assert_cmpstr(fg_config_preset(c)->name, ==, "peak");
	fg_config_free(c);
}

/* Returns a random change. The few names used make many changes fail. */
static char *random_change(struct fg_rand *r)
{
	static const char *const kinds[] = { "adapter_add", "adapter_remove",
					     "version_add", "version_remove",
					     "right_grant", "right_revoke",
					     "preset_set",  "preset_put",
					     "service_put" };
	uint64_t k = fg_rand_below(r, G_N_ELEMENTS(kinds));
	GString *out = g_string_new(NULL);

	g_string_printf(out, "{\"kind\":\"%s\"", kinds[k]);
	if (k <= 5)
		g_string_append_printf(out, ",\"adapter\":\"a%u\"",
				       (unsigned int)fg_rand_below(r, 12));
	if (k == 0)
		g_string_append(out, ",\"base\":\"b\"");
	if (k == 2 || k == 3)
		g_string_append_printf(out, ",\"version\":\"%u\"",
				       (unsigned int)fg_rand_below(r, 4));
	if (k == 4 || k == 5)
		g_string_append_printf(out, ",\"caller\":\"c%u\"",
				       (unsigned int)fg_rand_below(r, 4));
	if (k == 6 || k == 7)
		g_string_append_printf(out, ",\"preset\":\"p%u\"",
				       (unsigned int)fg_rand_below(r, 4));
	if (k == 8)
		g_string_append_printf(out, ",\"service\":\"s%u\"",
				       (unsigned int)fg_rand_below(r, 4));
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}

static char *random_batch(struct fg_rand *r)
{
	GString *out = g_string_new("\"kind\":\"batch\",\"changes\":[");
	uint64_t n = 1 + fg_rand_below(r, 4);

	for (uint64_t i = 0; i < n; i++) {
		g_autofree char *one = random_change(r);

		g_string_append_printf(out, "%s%s", i > 0 ? "," : "", one);
	}
	g_string_append_c(out, ']');
	return g_string_free(out, FALSE);
}

/* A catalogue and its copy restored from a snapshot must be equal after the
 * same changes, and unchanged after failed ones. */
static void test_restored_copy_stays_equal(void)
{
	struct fg_rand r;
	unsigned int applied = 0;
	unsigned int refused = 0;

	fg_rand_seed(&r, 11);
	for (int run = 0; run < 100; run++) {
		struct fg_config *a = fg_config_new();

		for (int i = 0; i < 60; i++) {
			g_autofree char *before = fg_config_snapshot(a);
			struct fg_config *b = fg_config_new();
			g_autofree char *body = random_batch(&r);
			g_autofree char *left = NULL;
			g_autofree char *right = NULL;
			bool ok;

			g_assert_true(fg_config_restore(b, before, NULL));
			ok = apply_next(a, NULL, "%s", body);
			g_assert_true(apply_next(b, NULL, "%s", body) == ok);
			left = fg_config_snapshot(a);
			right = fg_config_snapshot(b);
			g_assert_cmpstr(left, ==, right);
			g_assert_true(ok || strcmp(before, left) == 0);
			applied += ok;
			refused += !ok;
			fg_config_free(b);
		}
		fg_config_free(a);
	}
	g_assert_cmpuint(applied, >, 500);
	g_assert_cmpuint(refused, >, 500);
}

/* A snapshot with a corrupted byte must be refused or restored completely. */
static void test_corrupted_snapshot(void)
{
	struct fg_config *c = new_small_config();
	g_autofree char *good = fg_config_snapshot(c);
	size_t len = strlen(good);
	struct fg_rand r;

	fg_rand_seed(&r, 12);
	for (int i = 0; i < 20000; i++) {
		g_autofree char *corrupted = g_strdup(good);
		struct fg_config *d = fg_config_new();
		struct fg_config *e = fg_config_new();
		g_autofree char *one = NULL;
		g_autofree char *two = NULL;

		corrupted[fg_rand_below(&r, len)] =
			(char)(' ' + fg_rand_below(&r, 95));
		if (fg_config_restore(d, corrupted, NULL)) {
			one = fg_config_snapshot(d);
			g_assert_true(fg_config_restore(e, one, NULL));
			two = fg_config_snapshot(e);
			g_assert_cmpstr(one, ==, two);
		}
		fg_config_free(d);
		fg_config_free(e);
	}
	fg_config_free(c);
}

static void test_restore_ignores_older(void)
{
	struct fg_config *c = new_small_config();
	g_autofree char *old = fg_config_snapshot(c);

	apply_ok(c, "\"kind\":\"preset_set\",\"preset\":\"peak\"");
	g_assert_true(fg_config_restore(c, old, NULL));
	g_assert_cmpuint(fg_config_revision(c), ==, 5);
	g_assert_cmpstr(fg_config_preset(c)->name, ==, "peak");
	fg_config_free(c);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/resolve", test_resolve);
	g_test_add_func("/config/numbers", test_numbers_never_reused);
	g_test_add_func("/config/presets_services", test_presets_services);
	g_test_add_func("/config/refused", test_invalid_changes);
	g_test_add_func("/config/names", test_name_limits);
	g_test_add_func("/config/format", test_format_numbers);
	g_test_add_func("/config/batch", test_batch_rollback);
	g_test_add_func("/config/random_equal", test_restored_copy_stays_equal);
	g_test_add_func("/config/damaged", test_corrupted_snapshot);
	g_test_add_func("/config/only_upwards", test_restore_ignores_older);
	return g_test_run();
}
