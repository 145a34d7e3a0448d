/*
 * Unit tests of rows that another writer left: what cannot be used is refused,
 * and nothing else is. Each table holds fields of a row, as JSON text, that
 * replace those of a sound one.
 */
#include <string.h>

#include "base/fg_address.h"
#include "fgp_wire.h"
#include "fleet/fg_fleet.h"
#include "mesh/fg_peers.h"

#define DEPTH 10000

struct odd_field {
	const char *name;
	const char *value; /* NULL: nested DEPTH times */
	bool usable;
};

/* Returns the sound object with one field replaced. */
static char *make_row(const struct odd_field *sound, size_t n,
		      const struct odd_field *odd)
{
	GString *out = g_string_new("{");

	for (size_t i = 0; i < n; i++) {
		if (strcmp(sound[i].name, odd->name) != 0)
			g_string_append_printf(out, "\"%s\":%s,", sound[i].name,
					       sound[i].value);
	}
	g_string_append_printf(out, "\"%s\":", odd->name);
	for (int i = 0; odd->value == NULL && i < DEPTH; i++)
		g_string_append_c(out, '[');
	if (odd->value != NULL)
		g_string_append(out, odd->value);
	for (int i = 0; odd->value == NULL && i < DEPTH; i++)
		g_string_append_c(out, ']');
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}

/* ---- Entries of endpoints ---- */

static const struct odd_field sound_entry[] = {
	{ "service", "\"s\"", true },	{ "addr", "\"10.0.0.9:80\"", true },
	{ "zone", "\"z\"", true },	{ "slots", "64", true },
	{ "state", "\"ready\"", true }, { "born", "1700000000000", true },
	{ "models", "[]", true },
};

static const struct odd_field odd_entry[] = {
	{ "slots", "0", true },
	{ "slots", "64.0", true },
	{ "slots", "65536", true },
	{ "slots", "65537", false },
	{ "slots", "4294967297", false },
	{ "slots", "9223372036854775808", false },
	{ "slots", "1e400", false },
	{ "slots", "-1", false },
	{ "slots", "1.5", false },
	{ "slots", "NaN", false },
	{ "slots", "\"64\"", false },
	{ "slots", "null", false },
	{ "slots", NULL, false },
	{ "born", "0", true },
	{ "born", "9007199254740992", true },
	{ "born", "9007199254740993", false },
	{ "born", "9223372036854775807", false },
	{ "born", "-1", false },
	{ "born", "\"1\"", false },
	{ "addr", "\"10.0.0.9:0\"", false },
	{ "addr", "\"10.0.0.9:65535\"", true },
	{ "addr", "\"10.0.0.9:65536\"", false },
	{ "addr", "\"10.0.0.9:-1\"", false },
	{ "addr", "\"10.0.0.9:00080\"", true },
	{ "addr", "\"10.0.0.9:000080\"", false },
	{ "addr", "\"10.0.0.9: 80\"", false },
	{ "addr", "\"10.0.0.9:80 \"", false },
	{ "addr", "\"10.0.0:80\"", false },
	{ "addr", "\"host:80\"", false },
	{ "addr", "\"\"", false },
	{ "addr", "7", false },
	{ "state", "\"leaving\"", false },
	{ "state", "\"\"", false },
	{ "state", "\"draining\"", true },
	{ "service", "\"\"", false },
	{ "service", "\"a\\u0000b\"", false },
	{ "service", "\"\\ud800\"", false },
	{ "zone", "[]", false },
	{ "zone", NULL, false },
	{ "models", "7", true },
	{ "models", "[7,{},{\"name\":7},{\"name\":\"m\",\"version\":1e300}]",
	  true },
	{ "models", NULL, false },
	{ "unknown", "1", true },
	{ "unknown", NULL, false },
};

static void test_entry(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(odd_entry); i++) {
		g_autofree char *text = make_row(
			sound_entry, G_N_ELEMENTS(sound_entry), &odd_entry[i]);
		struct fg_ep_facts facts;
		GError *error = NULL;
		bool usable = fgp_wire.entry_read("i-1", text, strlen(text),
						  &facts, &error);

		if (usable != odd_entry[i].usable)
			g_error("%s %.60s", odd_entry[i].name,
				odd_entry[i].value);
		g_assert_true(usable == (error == NULL));
		g_clear_error(&error);
	}
}

static void test_entry_key(void)
{
	static const char *const odd[] = { "",	   " ",	    "a b",     "a\r\nX",
					   "a\tb", "a\x7f", "\xc3\xa9" };
	g_autofree char *text =
		make_row(sound_entry, G_N_ELEMENTS(sound_entry), sound_entry);
	g_autofree char *long_key = g_strnfill(FG_FLEET_NAME_BYTES, 'x');
	struct fg_ep_facts facts;
	GError *error = NULL;

	g_assert_true(fgp_wire.entry_read("i-7f3a.1:2", text, strlen(text),
					  &facts, &error));
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		g_assert_false(fgp_wire.entry_read(odd[i], text, strlen(text),
						   &facts, &error));
		g_clear_error(&error);
	}
	g_assert_false(fgp_wire.entry_read(long_key, text, strlen(text), &facts,
					   &error));
	g_clear_error(&error);
}

/* ---- Answers of the store ---- */

/* A key that is no text hides no other row, and the version is read. */
static void test_rows_with_odd_keys(void)
{
	static const char *const odd[] = {
		"a\\u0000b", "\\ud800",	 "\\ud800\\ud801",
		"\\udc00x",  "\xff\xfe", "\\ud83d\\u0041",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"rows\":[{\"table\":\"t\",\"key\":\"%s\",\"value\":"
			"\"e30=\",\"ver\":4},{\"table\":\"t\",\"key\":"
			"\"\\ud83d\\ude00\\\\u0000\",\"value\":\"e30=\","
			"\"ver\":5}],\"ver\":9}",
			odd[i]);
		struct fg_store_rows rows;
		const struct fg_store_row *sound;
		GError *error = NULL;

		g_assert_true(
			fgp_wire.rows_read(text, strlen(text), &rows, &error));
		g_assert_cmpuint(rows.version, ==, 9);
		g_assert_cmpuint(rows.rows->len, ==, 2);
		sound = rows.rows->pdata[1];
		g_assert_cmpstr(sound->key, ==, "\xf0\x9f\x98\x80\\u0000");
		fg_store_rows_clear(&rows);
	}
}

/* ---- Configuration and announcements ---- */

static const struct odd_field sound_config[] = {
	{ "version", "3", true },
	{ "services",
	  "[{\"name\":\"s\",\"engine\":{\"models\":[{\"name\":\"m\"}]}}]",
	  true },
	{ "routes",
	  "[{\"host\":\"h\",\"prefix\":\"/\",\"kind\":\"safe\",\"service\":"
	  "\"s\"}]",
	  true },
};

static const struct odd_field odd_config[] = {
	{ "version", "9007199254740992", true },
	{ "version", "9223372036854775807", false },
	{ "version", "-1", false },
	{ "version", "1.5", false },
	{ "version", "\"3\"", false },
	{ "version", NULL, false },
	{ "routes", "[]", true },
	{ "routes", "null", false },
	{ "routes", "{}", false },
	{ "routes", "[7]", false },
	{ "services", "{}", false },
	{ "services", "[{\"name\":\"s\",\"engine\":{\"models\":[{}]}}]",
	  false },
	{ "limits", "{\"maxHeaderBytes\":1e300}", true },
	{ "limits", NULL, false },
};

static void test_config(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(odd_config); i++) {
		g_autofree char *text =
			make_row(sound_config, G_N_ELEMENTS(sound_config),
				 &odd_config[i]);
		GError *error = NULL;
		struct fg_routes *t =
			fgp_wire.config_read(text, strlen(text), &error);

		if ((t != NULL) != odd_config[i].usable)
			g_error("%s %.60s", odd_config[i].name,
				odd_config[i].value);
		fg_routes_unref(t);
		g_clear_error(&error);
	}
}

/* Numbers beyond 32 bits count as the largest one instead of a small one. */
static void test_large_config_numbers(void)
{
	static const char text[] =
		"{\"version\":3,\"services\":[{\"name\":\"s\"}],\"routes\":"
		"[{\"host\":\"h\",\"prefix\":\"/\",\"kind\":\"safe\","
		"\"timeoutMs\":4294967297,\"priority\":4294967296,"
		"\"split\":[{\"service\":\"s\",\"weight\":4294967296}]}]}";
	struct fg_routes *t = fgp_wire.config_read(text, strlen(text), NULL);
	const struct fg_route *r;

	g_assert_nonnull(t);
	r = fg_routes_find(t, "h", "/");
	g_assert_cmpuint(r->timeout_ms, ==, UINT32_MAX);
	g_assert_cmpuint(r->priority, ==, UINT32_MAX);
	g_assert_cmpuint(r->shares[0].weight, ==, UINT32_MAX);
	fg_routes_unref(t);
}

static const struct odd_field sound_announcement[] = {
	{ "model", "\"m\"", true },
	{ "adapter", "\"a\"", true },
	{ "version", "3", true },
};

static const struct odd_field odd_announcement[] = {
	{ "version", "9007199254740992", true },
	{ "version", "9007199254740993", false },
	{ "version", "0", false },
	{ "version", "-3", false },
	{ "version", "\"3\"", false },
	{ "version", NULL, false },
	{ "model", "7", false },
	{ "adapter", "[\"a\"]", false },
};

static void test_announcement(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(odd_announcement); i++) {
		g_autofree char *text = make_row(
			sound_announcement, G_N_ELEMENTS(sound_announcement),
			&odd_announcement[i]);
		struct fg_announcement a;
		GError *error = NULL;
		bool usable = fgp_wire.announcement_read(text, strlen(text), &a,
							 &error);

		if (usable != odd_announcement[i].usable)
			g_error("%s %.60s", odd_announcement[i].name,
				odd_announcement[i].value);
		if (usable)
			fg_announcement_clear(&a);
		g_clear_error(&error);
	}
}

/* ---- Rows of instances ---- */

static void test_instance_row(void)
{
	static const struct {
		const char *text;
		bool usable;
	} rows[] = {
		{ "0a r d 10.0.0.1:1 10.0.0.1:2", true },
		{ "ffffffffffffffff r d 10.0.0.1:1 10.0.0.1:2", true },
		{ "10000000000000000 r d 10.0.0.1:1 10.0.0.1:2", false },
		{ "-1 r d 10.0.0.1:1 10.0.0.1:2", false },
		{ "0 r d 10.0.0.1:1 10.0.0.1:2", false },
		{ "0xa r d 10.0.0.1:1 10.0.0.1:2", false },
		{ "0a r d 10.0.0.1:1 10.0.0.1:0", false },
		{ "0a r d 10.0.0.1:1 10.0.0.1:2\",\"x", false },
		{ "0a r d 10.0.0.1:1 x", false },
		{ "0a r d x 10.0.0.1:2", false },
		{ "0a r d 10.0.0.1:1", false },
		{ "0a r d 10.0.0.1:1 10.0.0.1:2 x", false },
		{ "", false },
	};
	g_autofree char *long_text = g_strnfill(FG_PEER_TEXT_BYTES, 'x');
	g_autofree char *long_dc =
		g_strdup_printf("0a r %s 10.0.0.1:1 10.0.0.1:2", long_text);
	struct fg_peer_row row;

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_assert_true(fg_peer_row_parse("n", rows[i].text, &row) ==
			      rows[i].usable);
	g_assert_false(fg_peer_row_parse("n", long_dc, &row));
	g_assert_false(fg_peer_row_parse(long_text, rows[0].text, &row));
}

/* ---- An entry that turns odd ---- */

static const char *region_of(void *ctx, const char *dc)
{
	(void)ctx;
	return dc;
}

/* What was known is kept while the entry cannot be read, and no longer. */
static void test_turns_odd(void)
{
	struct fg_fleet *f = fg_fleet_new(region_of, NULL, NULL);
	struct fg_ep_facts facts = { .id = "e",
				     .service = "s",
				     .address = "10.0.0.1:1",
				     .dc = "d",
				     .born = 5 };
	struct fg_fleet_ep *ep;

	fg_fleet_registry_up(f, 1000, 1000);
	ep = fg_fleet_put(f, 1000, &facts);
	g_assert_true(fg_ep_mark_leaving(ep));
	fg_fleet_put_unreadable(f, "e");
	fg_fleet_put_unreadable(f, "unknown");
	g_assert_false(fg_ep_is_usable(ep, 1100));
	fg_fleet_tick(f, 60000);
	g_assert_true(fg_fleet_find(f, "e") == ep);
	ep = fg_fleet_put(f, 61000, &facts);
	g_assert_false(fg_ep_is_usable(ep, 61000));
	/* A new start. */
	facts.born = 6;
	ep = fg_fleet_put(f, 62000, &facts);
	g_assert_true(fg_ep_is_usable(ep, 62000));
	/* A full read in which it is odd, and one in which it is gone. */
	fg_fleet_read_begin(f);
	fg_fleet_put_unreadable(f, "e");
	fg_fleet_read_end(f, 63000);
	fg_fleet_tick(f, 63000);
	g_assert_nonnull(fg_fleet_find(f, "e"));
	fg_fleet_read_begin(f);
	fg_fleet_read_end(f, 64000);
	fg_fleet_tick(f, 64000);
	g_assert_null(fg_fleet_find(f, "e"));
	fg_fleet_free(f);
}

/* After an outage, a removal may be a lapse; an odd entry is none. */
static void test_odd_is_no_lapse(void)
{
	struct fg_fleet *f = fg_fleet_new(region_of, NULL, NULL);
	struct fg_ep_facts facts = {
		.id = "e", .service = "s", .address = "10.0.0.1:1", .dc = "d"
	};
	struct fg_fleet_ep *ep;

	fg_fleet_registry_up(f, 1000, 1000);
	ep = fg_fleet_put(f, 1000, &facts);
	fg_fleet_registry_down(f, 1500);
	fg_fleet_registry_up(f, 9000, 9000);
	fg_fleet_put_unreadable(f, "e");
	g_assert_false(fg_ep_is_usable(ep, 9000));
	fg_fleet_remove(f, 9100, "e");
	g_assert_false(fg_ep_is_usable(ep, 9100));
	fg_fleet_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/odd_rows/entry", test_entry);
	g_test_add_func("/odd_rows/entry_key", test_entry_key);
	g_test_add_func("/odd_rows/keys", test_rows_with_odd_keys);
	g_test_add_func("/odd_rows/config", test_config);
	g_test_add_func("/odd_rows/large_config_numbers",
			test_large_config_numbers);
	g_test_add_func("/odd_rows/announcement", test_announcement);
	g_test_add_func("/odd_rows/instance_row", test_instance_row);
	g_test_add_func("/odd_rows/turns_odd", test_turns_odd);
	g_test_add_func("/odd_rows/odd_is_no_lapse", test_odd_is_no_lapse);
	return g_test_run();
}
