/* Marks and removals of rows of instances that died. */
#include <glib.h>

#include "retire/fg_retire.h"

#define N 6 /* other instances: o0 to o5 */
#define START_MS 100000
#define SELF_HASH 1 /* the lowest: this instance decides */

struct fixture {
	struct fg_retire *r;
	struct fg_retire_member m[N];
	fg_ms now;
};

static const char *const names[N] = { "o0", "o1", "o2", "o3", "o4", "o5" };

static void set_up(struct fixture *f, uint64_t self_hash)
{
	*f = (struct fixture){ .r = fg_retire_new(self_hash), .now = START_MS };
	for (uint32_t i = 0; i < N; i++)
		f->m[i] = (struct fg_retire_member){
			.name = names[i],
			.hash = 10 + i,
			.row_version = 1 + i,
			.row_seen_at = START_MS,
			.heard = true,
			.binds = true,
		};
}

/* All instances that are heard send heartbeats until then. */
static struct fg_retire_action step_to(struct fixture *f, fg_ms now)
{
	f->now = now;
	for (uint32_t i = 0; i < N; i++) {
		if (f->m[i].heard)
			f->m[i].heard_at = now;
	}
	return fg_retire_decide(f->r, now, f->m, N, true);
}

static void put_mark(struct fixture *f, uint32_t i, uint64_t version)
{
	g_autofree char *text = fg_retire_mark_format(f->m[i].row_version);

	fg_retire_put_mark(f->r, f->now, names[i], text, version);
}

static void note_read(struct fixture *f, uint64_t version)
{
	for (uint32_t i = 0; i < N; i++) {
		if (f->m[i].heard)
			f->m[i].read = version;
	}
}

static void silent_is_marked_and_removed(void)
{
	struct fixture f;
	struct fg_retire_action a;

	set_up(&f, SELF_HASH);
	g_assert_cmpint(step_to(&f, START_MS).step, ==, FG_RETIRE_NOTHING);
	f.m[2].heard = false;
	a = step_to(&f, START_MS + FG_RETIRE_SILENT_MS - 1);
	g_assert_cmpint(a.step, ==, FG_RETIRE_NOTHING);
	a = step_to(&f, START_MS + FG_RETIRE_SILENT_MS);
	g_assert_cmpint(a.step, ==, FG_RETIRE_MARK);
	g_assert_cmpstr(a.names[0], ==, "o2");
	g_assert_cmpuint(a.mark_versions[0], ==, 0);
	put_mark(&f, 2, 9);
	g_assert_false(fg_retire_is_bound(f.r, "o2", 3));
	a = step_to(&f, f.now + 100);
	g_assert_cmpint(a.step, ==, FG_RETIRE_NOTHING);
	g_assert_true(fg_retire_is_bound(f.r, "o2", 3));
	g_assert_false(fg_retire_is_bound(f.r, "o2", 4));
	/* Not all have read the mark. */
	note_read(&f, 9);
	f.m[1].read = 8;
	a = step_to(&f, f.now + 10 * FG_RETIRE_WAIT_MS);
	g_assert_cmpint(a.step, ==, FG_RETIRE_NOTHING);
	note_read(&f, 9);
	a = step_to(&f, f.now + 100);
	g_assert_cmpint(a.step, ==, FG_RETIRE_NOTHING);
	a = step_to(&f, f.now + FG_RETIRE_WAIT_MS);
	g_assert_cmpint(a.step, ==, FG_RETIRE_REMOVE);
	g_assert_cmpuint(a.n, ==, 1);
	g_assert_cmpuint(a.row_versions[0], ==, 3);
	g_assert_cmpuint(a.mark_versions[0], ==, 9);
	fg_retire_free(f.r);
}

/* Another instance that is alive and comes first decides; one that stops does
 * not. */
static void first_one_decides(void)
{
	struct fixture f;

	set_up(&f, 50);
	f.m[2].heard = false;
	g_assert_cmpint(step_to(&f, START_MS + FG_RETIRE_SILENT_MS).step, ==,
			FG_RETIRE_NOTHING);
	for (uint32_t i = 0; i < N; i++)
		f.m[i].leaving = true;
	g_assert_cmpint(step_to(&f, f.now + 100).step, ==, FG_RETIRE_MARK);
	g_assert_cmpint(fg_retire_decide(f.r, f.now, f.m, N, false).step, ==,
			FG_RETIRE_NOTHING);
	fg_retire_free(f.r);
}

static void nothing_without_majority(void)
{
	struct fixture f;

	set_up(&f, SELF_HASH);
	for (uint32_t i = 1; i < N - 2; i++)
		f.m[i].heard = false;
	f.m[N - 1].heard = false;
	g_assert_cmpint(step_to(&f, START_MS + 10 * FG_RETIRE_SILENT_MS).step,
			==, FG_RETIRE_NOTHING);
	f.m[1].heard = true;
	g_assert_cmpint(step_to(&f, f.now + 100).step, ==, FG_RETIRE_MARK);
	fg_retire_free(f.r);
}

/* An instance that hears the marked one removes the mark, and is bound if it
 * does not succeed; it then hears one that it takes for dead. */
static void heard_is_unmarked(void)
{
	struct fixture f;
	struct fg_retire_action a;

	set_up(&f, 50);
	put_mark(&f, 1, 9);
	g_assert_cmpint(step_to(&f, START_MS + 100).step, ==,
			FG_RETIRE_NOTHING);
	a = step_to(&f, START_MS + 1600);
	g_assert_cmpint(a.step, ==, FG_RETIRE_UNMARK);
	g_assert_cmpstr(a.names[0], ==, "o1");
	g_assert_cmpuint(a.mark_versions[0], ==, 9);
	g_assert_false(fg_retire_is_bound(f.r, "o1", 2));
	g_assert_false(fg_retire_is_contradicted(f.r));
	a = step_to(&f, START_MS + FG_RETIRE_OBJECT_MS);
	g_assert_cmpint(a.step, ==, FG_RETIRE_UNMARK);
	g_assert_true(fg_retire_is_bound(f.r, "o1", 2));
	g_assert_true(fg_retire_is_contradicted(f.r));
	fg_retire_put_mark(f.r, f.now, "o1", NULL, 10);
	a = step_to(&f, f.now + 100);
	g_assert_cmpint(a.step, ==, FG_RETIRE_NOTHING);
	g_assert_false(fg_retire_is_bound(f.r, "o1", 2));
	g_assert_false(fg_retire_is_contradicted(f.r));
	fg_retire_free(f.r);
}

/* One that comes back has the time to end its mark itself. */
static void returned_is_not_unmarked_at_once(void)
{
	struct fixture f;

	set_up(&f, 50);
	f.m[1].heard = false;
	put_mark(&f, 1, 9);
	step_to(&f, START_MS + 100);
	f.m[1].heard = true;
	g_assert_cmpint(step_to(&f, START_MS + 5000).step, ==,
			FG_RETIRE_NOTHING);
	g_assert_true(fg_retire_is_contradicted(f.r));
	g_assert_cmpint(step_to(&f, START_MS + 5400).step, ==,
			FG_RETIRE_NOTHING);
	g_assert_cmpint(step_to(&f, START_MS + 6500).step, ==,
			FG_RETIRE_UNMARK);
	fg_retire_free(f.r);
}

/* A mark that was removed is written again only after the time of a silence. */
static void unmarked_is_not_marked_at_once(void)
{
	struct fixture f;

	set_up(&f, SELF_HASH);
	f.m[2].heard = false;
	step_to(&f, START_MS + FG_RETIRE_SILENT_MS);
	put_mark(&f, 2, 9);
	fg_retire_put_mark(f.r, f.now, "o2", NULL, 10);
	g_assert_cmpint(step_to(&f, f.now + FG_RETIRE_SILENT_MS - 1).step, ==,
			FG_RETIRE_NOTHING);
	g_assert_cmpint(step_to(&f, f.now + 1).step, ==, FG_RETIRE_MARK);
	fg_retire_free(f.r);
}

/* A mark of an earlier version of the row, or one that cannot be read, binds
 * nobody and is removed. */
static void stale_mark_is_removed(void)
{
	static const char *const texts[] = { "", "x", "2 3", "-2", "99" };
	struct fixture f;
	struct fg_retire_action a;

	for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
		set_up(&f, SELF_HASH);
		fg_retire_put_mark(f.r, f.now, "o1", texts[i], 9);
		a = step_to(&f, START_MS + 100);
		g_assert_cmpint(a.step, ==, FG_RETIRE_UNMARK);
		g_assert_cmpstr(a.names[0], ==, "o1");
		g_assert_cmpuint(a.mark_versions[0], ==, 9);
		g_assert_false(fg_retire_is_bound(f.r, "o1", 2));
		fg_retire_free(f.r);
	}
}

/* While a build without marks is there, or a silent instance has not read the
 * last removal, no row is removed. */
static void others_must_know(void)
{
	struct fixture f;

	for (int way = 0; way < 3; way++) {
		set_up(&f, SELF_HASH);
		f.m[2].heard = false;
		step_to(&f, START_MS + FG_RETIRE_SILENT_MS);
		put_mark(&f, 2, 9);
		note_read(&f, 9);
		if (way == 0)
			f.m[0].binds = false;
		if (way == 1) {
			f.m[0].heard = false;
			fg_retire_note_removal(f.r, 10);
		}
		if (way == 2)
			f.m[0].read = 8;
		for (int i = 0; i < 9; i++)
			g_assert_cmpint(step_to(&f, f.now + 1000).step, ==,
					FG_RETIRE_NOTHING);
		fg_retire_free(f.r);
	}
}

/* Rows are removed together, but one at a time beside an instance that is
 * silent without a mark. */
static void one_row_beside_a_silent_one(void)
{
	struct fixture f;
	struct fg_retire_action a;

	for (int silent = 0; silent < 2; silent++) {
		set_up(&f, SELF_HASH);
		f.m[2].heard = false;
		f.m[3].heard = false;
		step_to(&f, START_MS + FG_RETIRE_SILENT_MS);
		put_mark(&f, 2, 9);
		put_mark(&f, 3, 10);
		note_read(&f, 10);
		step_to(&f, START_MS + FG_RETIRE_GONE_MS);
		f.m[1].heard = silent == 0;
		a = step_to(&f, f.now + FG_RETIRE_WAIT_MS);
		g_assert_cmpint(a.step, ==, FG_RETIRE_REMOVE);
		g_assert_cmpuint(a.n, ==, silent ? 1 : 2);
		fg_retire_free(f.r);
	}
}

static void full_read_ends_marks(void)
{
	struct fixture f;

	set_up(&f, SELF_HASH);
	f.m[1].heard = false;
	f.m[2].heard = false;
	put_mark(&f, 1, 9);
	put_mark(&f, 2, 10);
	step_to(&f, START_MS + 100);
	fg_retire_begin_full_read(f.r);
	put_mark(&f, 2, 10);
	fg_retire_end_full_read(f.r, f.now);
	g_assert_false(fg_retire_is_bound(f.r, "o1", 2));
	g_assert_true(fg_retire_is_bound(f.r, "o2", 3));
	fg_retire_free(f.r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retire/silent_is_marked_and_removed",
			silent_is_marked_and_removed);
	g_test_add_func("/retire/first_one_decides", first_one_decides);
	g_test_add_func("/retire/nothing_without_majority",
			nothing_without_majority);
	g_test_add_func("/retire/heard_is_unmarked", heard_is_unmarked);
	g_test_add_func("/retire/returned_is_not_unmarked_at_once",
			returned_is_not_unmarked_at_once);
	g_test_add_func("/retire/unmarked_is_not_marked_at_once",
			unmarked_is_not_marked_at_once);
	g_test_add_func("/retire/stale_mark_is_removed", stale_mark_is_removed);
	g_test_add_func("/retire/others_must_know", others_must_know);
	g_test_add_func("/retire/one_row_beside_a_silent_one",
			one_row_beside_a_silent_one);
	g_test_add_func("/retire/full_read_ends_marks", full_read_ends_marks);
	return g_test_run();
}
