/*
 * Unit tests of lib/workspace: keys and their digests, faulty entries, and what
 * a request counts against a limit. The text of a key must not be found in
 * anything that the set keeps or reports.
 */
#include <glib.h>
#include <string.h>

#include "gateway/fg_gateway_internal.h"
#include "workspace/fg_workspace.h"

static const struct fg_workspace *find(const struct fg_ws_set *s,
				       const char *key)
{
	struct fg_ws_digest digest;

	g_assert_true(fg_ws_digest(key, &digest));
	return fg_ws_set_find(s, &digest);
}

static struct fg_workspace *add(struct fg_ws_set *s, const char *name)
{
	struct fg_workspace *w = fg_ws_set_add(s, name);

	g_assert_nonnull(w);
	return w;
}

static const char *problem(const struct fg_ws_set *s, guint i)
{
	const GPtrArray *all = fg_ws_set_problems(s);

	g_assert_cmpuint(i, <, all->len);
	return all->pdata[i];
}

/* Guards against a digest that is not SHA-256, or of a part of the key: two
 * keys with a common beginning would be one. */
static void test_digest(void)
{
	static const uint8_t abc[] = { 0xba, 0x78, 0x16, 0xbf,
				       0x8f, 0x01, 0xcf, 0xea };
	struct fg_ws_digest a;
	struct fg_ws_digest b;

	g_assert_true(fg_ws_digest("abc", &a));
	g_assert_cmpmem(a.bytes, sizeof(abc), abc, sizeof(abc));
	g_assert_true(fg_ws_digest("abc", &b));
	g_assert_cmpmem(a.bytes, sizeof(a.bytes), b.bytes, sizeof(b.bytes));
	g_assert_true(fg_ws_digest("abcd", &b));
	g_assert_cmpint(memcmp(a.bytes, b.bytes, sizeof(a.bytes)), !=, 0);
	g_assert_true(fg_ws_digest("ABC", &b));
	g_assert_cmpint(memcmp(a.bytes, b.bytes, sizeof(a.bytes)), !=, 0);
}

/* Guards against a text that is no key but has a digest: a configuration could
 * then hold the empty key. */
static void test_malformed_keys(void)
{
	static const char *const bad[] = { "",	   " ",	    "a b",	"a\tb",
					   "a\nb", "a\x7f", "\xc3\xa9", "a\r" };
	g_autofree char *longest = g_strnfill(FG_WS_KEY_MAX_BYTES, 'k');
	g_autofree char *overlong = g_strnfill(FG_WS_KEY_MAX_BYTES + 1, 'k');
	struct fg_ws_digest digest;
	struct fg_ws_set *s = fg_ws_set_new();
	struct fg_workspace *w = add(s, "w");

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_assert_false(fg_ws_is_key(bad[i]));
		g_assert_false(fg_ws_digest(bad[i], &digest));
		g_assert_false(fg_ws_set_add_key(s, w, bad[i]));
	}
	g_assert_false(fg_ws_is_key(overlong));
	g_assert_false(fg_ws_digest(overlong, &digest));
	g_assert_false(fg_ws_set_add_key(s, w, overlong));
	g_assert_true(fg_ws_set_add_key(s, w, longest));
	g_assert_true(find(s, longest) == w);
	fg_ws_set_free(s);
	fg_ws_set_free(NULL);
}

static void test_find(void)
{
	struct fg_ws_set *s = fg_ws_set_new();
	struct fg_workspace *a = add(s, "a");
	struct fg_workspace *b = add(s, "b");

	g_assert_null(find(s, "k1"));
	g_assert_true(fg_ws_set_add_key(s, a, "k1"));
	g_assert_true(fg_ws_set_add_key(s, a, "k2"));
	g_assert_true(fg_ws_set_add_key(s, b, "k3"));
	g_assert_true(find(s, "k1") == a);
	g_assert_true(find(s, "k2") == a);
	g_assert_true(find(s, "k3") == b);
	g_assert_null(find(s, "k"));
	g_assert_null(find(s, "k11"));
	g_assert_null(find(s, "K1"));
	g_assert_true(fg_ws_set_find_name(s, "b") == b);
	g_assert_null(fg_ws_set_find_name(s, "c"));
	g_assert_cmpuint(fg_ws_set_all(s)->len, ==, 2);
	g_assert_cmpuint(fg_ws_set_problems(s)->len, ==, 0);
	fg_ws_set_free(s);
}

/* Guards against a key of two workspaces that is accepted for the last one: its
 * requests would be charged to the wrong customer. */
static void test_shared_key(void)
{
	struct fg_ws_set *s = fg_ws_set_new();
	struct fg_workspace *a = add(s, "a");
	struct fg_workspace *b = add(s, "b");
	struct fg_workspace *c = add(s, "c");

	g_assert_true(fg_ws_set_add_key(s, a, "abc"));
	g_assert_true(fg_ws_set_add_key(s, a, "own"));
	g_assert_true(fg_ws_set_add_key(s, b, "abc"));
	g_assert_null(find(s, "abc"));
	g_assert_cmpuint(fg_ws_set_problems(s)->len, ==, 1);
	g_assert_cmpstr(problem(s, 0), ==,
			"key ba7816bf of workspaces a and b is accepted for "
			"neither");
	/* A third workspace, or one of the two again, does not get it either.
	 */
	g_assert_true(fg_ws_set_add_key(s, c, "abc"));
	g_assert_null(find(s, "abc"));
	g_assert_true(fg_ws_set_add_key(s, a, "abc"));
	g_assert_null(find(s, "abc"));
	g_assert_nonnull(strstr(problem(s, 1), " c "));
	g_assert_nonnull(strstr(problem(s, 1), "ba7816bf"));
	g_assert_true(find(s, "own") == a);
	for (guint i = 0; i < fg_ws_set_problems(s)->len; i++)
		g_assert_null(strstr(problem(s, i), "abc"));
	fg_ws_set_free(s);
}

/* Guards against a key that is listed twice in one workspace and taken for a
 * shared one. */
static void test_key_listed_twice(void)
{
	struct fg_ws_set *s = fg_ws_set_new();
	struct fg_workspace *a = add(s, "a");

	g_assert_true(fg_ws_set_add_key(s, a, "k"));
	g_assert_true(fg_ws_set_add_key(s, a, "k"));
	g_assert_true(find(s, "k") == a);
	g_assert_cmpuint(fg_ws_set_problems(s)->len, ==, 0);
	fg_ws_set_free(s);
}

/* Guards against names that end the header field in which an endpoint gets
 * them. */
static void test_bad_names(void)
{
	static const char *const bad[] = {
		"", " ", " a", "a ", "a\tb", "a\r\nX: y", "a\x7f", "a\n"
	};
	struct fg_ws_set *s = fg_ws_set_new();

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_null(fg_ws_set_add(s, bad[i]));
	g_assert_cmpuint(fg_ws_set_all(s)->len, ==, 0);
	add(s, "a");
	g_assert_null(fg_ws_set_add(s, "a"));
	/* Names are compared as they are written. */
	add(s, "A");
	g_assert_cmpuint(fg_ws_set_all(s)->len, ==, 2);
	fg_ws_set_free(s);
}

/* Guards against 401 for all keys of a workspace whose name is a valid field
 * value. */
static void test_good_names(void)
{
	static const char *const good[] = { "Acme Corp", "a b  c", "a/b,c:d=e",
					    "M\xc3\xbcller", "x" };
	struct fg_ws_set *s = fg_ws_set_new();

	for (size_t i = 0; i < G_N_ELEMENTS(good); i++)
		g_assert_cmpstr(add(s, good[i])->name, ==, good[i]);
	fg_ws_set_free(s);
}

/* Guards against a cost that wraps round: a request of nearly 2^32 tokens would
 * cost nothing. */
static void test_cost(void)
{
	struct fg_workspace w = { .in_tokens = true, .plain_tokens = 30 };

	g_assert_cmpuint(fg_ws_cost(&w, true, 900, 80), ==, 980);
	g_assert_cmpuint(fg_ws_cost(&w, true, 0, 0), ==, 0);
	g_assert_cmpuint(fg_ws_cost(&w, false, 0, 0), ==, 30);
	g_assert_cmpuint(fg_ws_cost(&w, true, UINT32_MAX, 1), ==, UINT32_MAX);
	g_assert_cmpuint(fg_ws_cost(&w, true, 1, UINT32_MAX), ==, UINT32_MAX);
	g_assert_cmpuint(fg_ws_cost(&w, true, UINT32_MAX, UINT32_MAX), ==,
			 UINT32_MAX);
	w.in_tokens = false;
	g_assert_cmpuint(fg_ws_cost(&w, true, 900, 80), ==, 1);
	g_assert_cmpuint(fg_ws_cost(&w, false, 0, 0), ==, 1);
}

/* A limit needs both numbers. */
static void test_limited(void)
{
	struct fg_workspace w = { .rate_per_s = 0, .burst = 0 };

	g_assert_false(fg_ws_is_limited(&w));
	w.rate_per_s = 4200;
	g_assert_false(fg_ws_is_limited(&w));
	w.burst = 4200;
	g_assert_true(fg_ws_is_limited(&w));
	w.rate_per_s = 0;
	g_assert_false(fg_ws_is_limited(&w));
}

static uint32_t urgency(const struct fg_workspace *w, uint32_t route_priority)
{
	struct fg_route route = { .priority = route_priority };
	struct fg_gwreq r = { .route = &route, .workspace = w };

	return fg_gwreq_urgency(&r);
}

/* Guards against a route's priority that outweighs the workspace's, and against
 * numbers that engines do not know (above 9). */
static void test_urgency(void)
{
	static const uint32_t priorities[] = { 0, 1, 2, 3, 7, UINT32_MAX };
	struct fg_workspace urgent = { .has_priority = true };
	struct fg_workspace less = { .has_priority = true };

	for (uint32_t w = 0; w + 1 < G_N_ELEMENTS(priorities); w++) {
		urgent.priority = priorities[w];
		less.priority = priorities[w + 1];
		for (uint32_t a = 0; a < G_N_ELEMENTS(priorities); a++) {
			for (uint32_t b = 0; b < G_N_ELEMENTS(priorities); b++)
				g_assert_cmpuint(
					urgency(&urgent, priorities[a]), <=,
					urgency(&less, priorities[b]));
			g_assert_cmpuint(urgency(&less, priorities[a]), <=, 9);
			if (a > 0)
				g_assert_cmpuint(
					urgency(&urgent, priorities[a - 1]), <=,
					urgency(&urgent, priorities[a]));
		}
	}
	/* The numbers that differ must differ: 0 before 1 before 2. */
	for (uint32_t p = 0; p < 2; p++) {
		urgent.priority = p;
		less.priority = p + 1;
		g_assert_cmpuint(urgency(&urgent, 2), <, urgency(&less, 0));
		g_assert_cmpuint(urgency(&urgent, 0), <, urgency(&urgent, 1));
	}
	/* Without a priority of the workspace, that of the route applies. */
	less.has_priority = false;
	for (uint32_t p = 0; p < G_N_ELEMENTS(priorities); p++)
		g_assert_cmpuint(urgency(&less, priorities[p]), ==,
				 urgency(NULL, priorities[p]));
	g_assert_cmpuint(urgency(NULL, 1), ==, 5);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/workspace/digest", test_digest);
	g_test_add_func("/workspace/malformed_keys", test_malformed_keys);
	g_test_add_func("/workspace/find", test_find);
	g_test_add_func("/workspace/shared_key", test_shared_key);
	g_test_add_func("/workspace/key_listed_twice", test_key_listed_twice);
	g_test_add_func("/workspace/bad_names", test_bad_names);
	g_test_add_func("/workspace/good_names", test_good_names);
	g_test_add_func("/workspace/cost", test_cost);
	g_test_add_func("/workspace/limited", test_limited);
	g_test_add_func("/workspace/urgency", test_urgency);
	return g_test_run();
}
