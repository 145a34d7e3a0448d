/* Scripted loads of lib/overload, each beside the former policy (first come,
 * first served). tests/overload/NAME.load is the script (format:
 * overload_replay.h), NAME.out the expected output: which bounds of
 * docs/HARD-LOAD.md, Part D, hold over all seeds. The counts themselves are
 * printed with --verbose and are no bounds.
 *
 * Bounds:
 *   quarter  each kind is answered at least a quarter as often as all
 *   ranks    a more urgent kind is answered as often as a less urgent one, but
 *            for the noise of a few hundred draws
 *   room     nothing is shed while half of the slots are free and none waits
 *   calm     nothing is shed before the script's first event
 *   others   the other workspaces of a rank are answered at least as often as
 *            the one that sends more, and lose at most 5 % by it
 */
#include <string.h>

#include "overload_replay.h"

#define SEEDS 3
#define RANK_NOISE 0.05
#define OTHERS_MIN 0.95
#define FOLDER "tests/overload/"

static double answered(const struct replay_result *r)
{
	uint32_t stayed = r->asked - MIN(r->left, r->asked);

	return (double)(r->in_time + r->late) / MAX(stayed, 1);
}

static struct replay_result total(const struct replay *r)
{
	struct replay_result t = { 0 };

	for (uint32_t i = 0; i < r->n_kinds; i++) {
		const struct replay_result *k = &r->kinds[i].result;

		t.asked += k->asked;
		t.in_time += k->in_time;
		t.late += k->late;
		t.left += k->left;
		t.shed_idle += k->shed_idle;
	}
	return t;
}

static void print_counts(const char *policy, const struct replay *r)
{
	for (uint32_t i = 0; i < r->n_kinds; i++) {
		const struct replay_kind *k = &r->kinds[i];

		g_test_message("%-8s %-8s rank %u: asked %5u in_time %5u late "
			       "%5u refused %5u left %4u attempts %5u shed %5u "
			       "(idle %u) waited_out %u",
			       policy, k->name, k->rank, k->result.asked,
			       k->result.in_time, k->result.late,
			       k->result.refused, k->result.left,
			       k->result.attempts, k->result.shed,
			       k->result.shed_idle, k->result.waited_out);
	}
}

static bool keeps_quarter(const struct replay *r)
{
	struct replay_result t = total(r);

	for (uint32_t i = 0; i < r->n_kinds; i++) {
		if (answered(&r->kinds[i].result) < answered(&t) / 4)
			return false;
	}
	return true;
}

static bool keeps_ranks(const struct replay *r)
{
	for (uint32_t i = 0; i < r->n_kinds; i++) {
		for (uint32_t k = 0; k < r->n_kinds; k++) {
			if (r->kinds[i].rank < r->kinds[k].rank &&
			    answered(&r->kinds[i].result) <
				    answered(&r->kinds[k].result) - RANK_NOISE)
				return false;
		}
	}
	return true;
}

/* Shed before `until_s`. */
static uint32_t shed_before(const struct replay *r, guint until_s)
{
	uint32_t n = 0;

	for (guint i = 0; i < MIN(r->seconds->len, until_s); i++)
		n += g_array_index(r->seconds, struct replay_result, i).shed;
	return n;
}

/* The first kind of a script with workspaces sends more than usual. */
static bool keeps_others(const struct replay *r)
{
	double more = answered(&r->kinds[0].result);

	for (uint32_t i = 1; i < r->n_kinds; i++) {
		double other = answered(&r->kinds[i].result);

		if (other < OTHERS_MIN || other < more)
			return false;
	}
	return true;
}

static const char *word(bool ok)
{
	return ok ? "ok" : "broken";
}

static void test_load(gconstpointer data)
{
	const char *name = data;
	char *path = g_strdup_printf(FOLDER "%s.load", name);
	char *out_path = g_strdup_printf(FOLDER "%s.out", name);
	char *script = NULL;
	char *expected = NULL;
	bool quarter = true, ranks = true, room = true, calm = true;
	bool others = true;
	GString *out = g_string_new(NULL);
	guint first_event;

	g_assert_true(g_file_get_contents(path, &script, NULL, NULL));
	g_assert_true(g_file_get_contents(out_path, &expected, NULL, NULL));
	g_assert_nonnull(strstr(script, "\nat "));
	first_event = (guint)(atoi(strstr(script, "\nat ") + 4) / 1000);
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct replay former;
		struct replay now;

		replay_run(&former, script, true, seed);
		replay_run(&now, script, false, seed);
		print_counts("former", &former);
		print_counts("overload", &now);
		quarter &= keeps_quarter(&now);
		ranks &= keeps_ranks(&now);
		room &= total(&now).shed_idle == 0;
		calm &= shed_before(&now, first_event) == 0;
		others &= keeps_others(&now);
		replay_clear(&former);
		replay_clear(&now);
	}
	g_string_printf(out, "quarter %s\nranks %s\nroom %s\ncalm %s\n",
			word(quarter), word(ranks), word(room), word(calm));
	if (strstr(script, "workspace") != NULL)
		g_string_append_printf(out, "others %s\n", word(others));
	if (strcmp(out->str, expected) != 0) {
		g_test_message("%s: expected:\n%sfound:\n%s", name, expected,
			       out->str);
		g_test_fail();
	}
	g_string_free(out, TRUE);
	g_free(expected);
	g_free(script);
	g_free(out_path);
	g_free(path);
}

int main(int argc, char **argv)
{
	static const char *const loads[] = {
		"01-one-kind",	      "02-one-workspace",  "03-quarter-gone",
		"04-retry-at-once",   "05-callers-leave",  "06-all-lost",
		"07-waves",	      "08-other-adapters", "09-deadlines",
		"10-large-and-small", "11-plain",
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		char *path = g_strdup_printf("/overload_loads/%s", loads[i]);

		g_test_add_data_func(path, loads[i], test_load);
		g_free(path);
	}
	return g_test_run();
}
