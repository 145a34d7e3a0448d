/* lib/blame with one or two instances. */
#include <glib.h>
#include <string.h>

#include "blame/fg_blame.h"

static const struct fg_blame_conf conf = {
	.block_deaths = 3,
	.block_run_deaths = 6,
	.run_quiet_ms = 20000,
	.final_deaths = 5,
	.trial_after_ms = 10000,
	.trials_max = 2,
	.keep_ms = 600000,
	.deaths_max = 32,
	.whole_max = 128,
	.blocked_max = 8,
	.seed = 7,
};

enum {
	FIRST = 1,
	BAD = 0xbad,
	OTHER = 0x07,
};

struct node {
	struct fg_blame *blame;
	GArray *sent; /* struct fg_blame_note */
	uint32_t blocked;
	uint32_t lifted;
	struct fg_blame_note stored; /* kind 0: none */
	struct fg_blame_note evidence[FG_BLAME_EVIDENCE_MAX];
	uint32_t n_evidence;
	uint32_t evidence_writes;
};

static void on_send(void *ctx, const struct fg_blame_note *note)
{
	struct node *n = ctx;

	g_array_append_vals(n->sent, note, 1);
}

static void on_changed(void *ctx, uint64_t part, bool blocked, uint32_t deaths)
{
	struct node *n = ctx;

	(void)part;
	(void)deaths;
	if (blocked)
		n->blocked++;
	else
		n->lifted++;
}

static void on_save(void *ctx, const struct fg_blame_note *note)
{
	struct node *n = ctx;

	n->stored = *note;
}

static void on_unsave(void *ctx, uint64_t part)
{
	struct node *n = ctx;

	(void)part;
	n->stored = (struct fg_blame_note){ 0 };
}

static bool on_save_evidence(void *ctx, const struct fg_blame_note *notes,
			     uint32_t n)
{
	struct node *node = ctx;

	node->n_evidence = n;
	memcpy(node->evidence, notes, n * sizeof(*notes));
	node->evidence_writes++;
	return true;
}

static const struct fg_blame_ops ops = { on_send, on_save, on_unsave,
					 on_save_evidence, on_changed };

static void node_init(struct node *n)
{
	*n = (struct node){ 0 };
	n->blame = fg_blame_new(&conf, &ops, n);
	n->sent = g_array_new(FALSE, FALSE, sizeof(struct fg_blame_note));
}

static void node_clear(struct node *n)
{
	fg_blame_free(n->blame);
	g_array_unref(n->sent);
}

/* Delivers what `from` has sent. */
static void deliver(struct node *from, struct node *to, fg_ms now)
{
	for (guint i = 0; i < from->sent->len; i++)
		fg_blame_on_note(
			to->blame, now,
			&g_array_index(from->sent, struct fg_blame_note, i));
	g_array_set_size(from->sent, 0);
}

static GBytes *parts2(uint64_t a, uint64_t b)
{
	uint64_t keys[] = { a, b };

	return g_bytes_new(keys, sizeof(keys));
}

/* Verdicts follow a death once others had the time to speak for its parts. */
#define VERDICT_MS 300

static void lose(struct node *n, fg_ms now, uint64_t ep, bool begun, uint64_t a,
		 uint64_t b)
{
	GBytes *parts = parts2(a, b);

	fg_blame_on_loss(n->blame, now, ep, now, begun, parts);
	fg_blame_tick(n->blame, now + VERDICT_MS);
	g_bytes_unref(parts);
}

static void run_whole(struct node *n, fg_ms now, uint64_t ep, uint64_t a,
		      uint64_t b)
{
	GBytes *parts = parts2(a, b);

	fg_blame_on_answer(n->blame, now, ep, parts);
	fg_blame_tick(n->blame, now + FG_BLAME_SETTLE_MS);
	g_bytes_unref(parts);
}

static bool is_blocked(struct node *n, uint64_t a, uint64_t b)
{
	GBytes *parts = parts2(a, b);
	bool blocked = fg_blame_is_blocked(n->blame, parts);

	g_bytes_unref(parts);
	return blocked;
}

static bool admit(struct node *n, fg_ms now, uint64_t a, uint64_t b)
{
	GBytes *parts = parts2(a, b);
	bool ok = fg_blame_admit(n->blame, now, parts);

	g_bytes_unref(parts);
	return ok;
}

/* The bad part is blocked, not the one that sound requests have in common. */
static void test_blocks_the_common_part(void)
{
	struct node n;

	node_init(&n);
	run_whole(&n, 0, 90, FIRST, OTHER);
	for (uint64_t i = 1; i <= 3; i++) {
		g_assert_false(is_blocked(&n, FIRST, BAD));
		lose(&n, 2000 * (fg_ms)i, i, true, FIRST, BAD);
		lose(&n, 2000 * (fg_ms)i, i, true, FIRST, OTHER);
	}
	g_assert_true(is_blocked(&n, BAD, 0x55));
	g_assert_false(is_blocked(&n, FIRST, OTHER));
	g_assert_cmpuint(n.blocked, ==, 1);
	node_clear(&n);
}

/* All requests lost at one endpoint are one death. */
static void test_one_death_counts_once(void)
{
	struct node n;

	node_init(&n);
	for (fg_ms i = 0; i < 20; i++)
		lose(&n, 1000 + i, 1, true, FIRST, BAD);
	g_assert_false(is_blocked(&n, FIRST, BAD));
	node_clear(&n);
}

/* A request that was waiting is no suspect where another one had begun. */
static void test_waiting_requests_are_no_suspects(void)
{
	struct node n;

	node_init(&n);
	for (uint64_t i = 1; i <= 5; i++) {
		lose(&n, 3000 * (fg_ms)i, i, false, 0x71, 0x72);
		lose(&n, 3000 * (fg_ms)i, i, true, 0x80 + i, 0x90 + i);
	}
	fg_blame_tick(n.blame, 17000);
	g_assert_cmpuint(n.blocked, ==, 0);
	node_clear(&n);
}

/* Without any request that had begun, those that were waiting count. */
static void test_crash_before_the_head(void)
{
	struct node n;

	node_init(&n);
	for (uint64_t i = 1; i <= 3; i++)
		lose(&n, 3000 * (fg_ms)i, i, false, 0x80 + i, BAD);
	fg_blame_tick(n.blame, 11000);
	g_assert_true(is_blocked(&n, FIRST, BAD));
	g_assert_cmpuint(n.blocked, ==, 1);
	node_clear(&n);
}

/* Three instances see one death each; each of them blocks the part. */
static void test_counts_across_instances(void)
{
	struct node n[3];

	for (int i = 0; i < 3; i++)
		node_init(&n[i]);
	for (int i = 0; i < 3; i++) {
		fg_ms now = 5000 * (i + 1);

		lose(&n[i], now, (uint64_t)i + 1, true, FIRST + 0x100 * i, BAD);
		deliver(&n[i], &n[(i + 1) % 3], now + VERDICT_MS + 20);
		fg_blame_tick(n[i].blame, now + 1000); /* repeats its notes */
		deliver(&n[i], &n[(i + 2) % 3], now + 1020);
	}
	for (int i = 0; i < 3; i++) {
		fg_blame_tick(n[i].blame, 15000 + 1020 + VERDICT_MS);
		g_assert_true(is_blocked(&n[i], BAD, 0x33));
		node_clear(&n[i]);
	}
}

/* A whole run at another instance speaks for a part that was lost in three
 * deaths; one before the deaths does too. */
static void test_whole_run_elsewhere(void)
{
	struct node a;
	struct node b;

	node_init(&a);
	node_init(&b);
	run_whole(&b, 100, 9, OTHER, FIRST);
	for (uint64_t i = 1; i <= 3; i++)
		lose(&a, 3000 * (fg_ms)i, i, true, FIRST, OTHER);
	g_assert_true(is_blocked(&a, OTHER, OTHER));
	fg_blame_tick(a.blame, 9000);
	deliver(&a, &b, 9030);
	g_assert_false(is_blocked(&b, FIRST, OTHER));
	fg_blame_tick(b.blame, 9200);
	deliver(&b, &a, 9220);
	g_assert_false(is_blocked(&a, FIRST, OTHER));
	node_clear(&a);
	node_clear(&b);
}

/* An answer that ended right before its endpoint died is no whole run. */
static void test_short_answer_before_the_crash(void)
{
	struct node n;

	node_init(&n);
	for (uint64_t i = 1; i <= 3; i++) {
		GBytes *parts = parts2(FIRST, BAD);
		fg_ms now = 5000 * (fg_ms)i;

		fg_blame_on_answer(n.blame, now, i, parts);
		lose(&n, now + 60, i, true, FIRST, BAD);
		fg_blame_tick(n.blame, now + 2000);
		g_bytes_unref(parts);
	}
	g_assert_true(is_blocked(&n, BAD, BAD));
	node_clear(&n);
}

/* Two bad parts, each in requests of its own. */
static void test_two_bad_parts(void)
{
	struct node n;

	node_init(&n);
	run_whole(&n, 0, 90, FIRST, OTHER);
	for (uint64_t i = 1; i <= 6; i++)
		lose(&n, 3000 * (fg_ms)i, i, true, FIRST,
		     i % 2 == 0 ? BAD : BAD + 1);
	g_assert_true(is_blocked(&n, BAD, 0));
	g_assert_true(is_blocked(&n, BAD + 1, 0));
	g_assert_cmpuint(n.blocked, ==, 2);
	node_clear(&n);
}

/* Lets callers ask for the part for a quarter of an hour. */
static uint32_t count_trials(struct node *n, bool crashes)
{
	uint32_t tried = 0;

	for (fg_ms now = 9000; now < 900000; now += 100) {
		if (!admit(n, now, FIRST, BAD))
			continue;
		tried++;
		g_assert_cmpint(now, >=, 19000);
		if (crashes)
			lose(n, now + 50, 100 + tried, true, 0x300 + tried,
			     BAD);
	}
	return tried;
}

/* A blocked part is tried again after a while, one request at a time: once if
 * the endpoint dies, twice if nothing is known of the trial. */
static void test_trials_are_few(void)
{
	for (int crashes = 0; crashes < 2; crashes++) {
		struct node n;

		node_init(&n);
		for (uint64_t i = 1; i <= 3; i++)
			lose(&n, 3000 * (fg_ms)i, i, true, FIRST + 0x100 * i,
			     BAD);
		g_assert_cmpuint(count_trials(&n, crashes), ==,
				 crashes ? 1 : 2);
		g_assert_true(is_blocked(&n, FIRST, BAD));
		node_clear(&n);
	}
}

/* With the fifth death there are no more trials. */
static void test_no_trial_after_the_fifth_death(void)
{
	struct node n;

	node_init(&n);
	for (uint64_t i = 1; i <= 5; i++)
		lose(&n, 3000 * (fg_ms)i, i, true, FIRST + 0x100 * i, BAD);
	g_assert_cmpuint(count_trials(&n, true), ==, 0);
	node_clear(&n);
}

/* A trial that runs whole lifts the block, at other instances too. */
static void test_sound_trial_lifts_the_block(void)
{
	struct node a;
	struct node b;
	fg_ms now = 9000;

	node_init(&a);
	node_init(&b);
	for (uint64_t i = 1; i <= 3; i++)
		lose(&a, 3000 * (fg_ms)i, i, true, FIRST + 0x100 * i, OTHER);
	fg_blame_tick(a.blame, now);
	deliver(&a, &b, now + 20);
	g_assert_true(is_blocked(&b, OTHER, 0));
	while (!admit(&a, now, FIRST, OTHER))
		now += 100;
	run_whole(&a, now + 300, 50, FIRST, OTHER);
	fg_blame_tick(a.blame, now + 3000);
	deliver(&a, &b, now + 3020);
	g_assert_false(is_blocked(&a, OTHER, 0));
	g_assert_false(is_blocked(&b, OTHER, 0));
	node_clear(&a);
	node_clear(&b);
}

/* A new instance reads the evidence that another one has stored. */
static void read_stored(struct node *from, struct node *to, fg_ms now)
{
	fg_blame_on_evidence(to->blame, now, from->evidence, from->n_evidence,
			     true);
	fg_blame_tick(to->blame, now);
}

/* Guards against bad parts that start anew, and sound first parts that are
 * blocked, when all instances end together. */
static void test_evidence_outlives_all(void)
{
	struct node a;
	struct node b;

	node_init(&a);
	node_init(&b);
	for (fg_ms now = 0; now < 8000; now += 1000)
		run_whole(&a, now, 90, FIRST, OTHER);
	for (uint64_t i = 1; i <= 2; i++)
		lose(&a, 9000 + 100 * (fg_ms)i, i, true, FIRST, BAD);
	fg_blame_tick(a.blame, 13000);
	read_stored(&a, &b, 500);
	g_assert_cmpuint(b.blocked, ==, 0);
	lose(&b, 4000, 3, true, FIRST, BAD);
	lose(&b, 4000, 3, true, FIRST, 0x77);
	g_assert_true(is_blocked(&b, BAD, 0x55));
	g_assert_false(is_blocked(&b, FIRST, OTHER));
	g_assert_cmpuint(b.blocked, ==, 1);
	node_clear(&a);
	node_clear(&b);
}

/* Reading the same evidence again, at another time, adds no death. Two deaths
 * of one endpoint remain two. */
static void test_evidence_read_again(void)
{
	struct node a;
	struct node b;

	node_init(&a);
	node_init(&b);
	lose(&a, 1000, 1, true, 0x71, BAD);
	lose(&a, 6000, 1, true, 0x72, BAD);
	fg_blame_tick(a.blame, 9000);
	g_assert_cmpuint(a.n_evidence, ==, 4);
	for (fg_ms now = 500; now < 20000; now += 3700)
		read_stored(&a, &b, now);
	g_assert_cmpuint(b.blocked, ==, 0);
	lose(&b, 22000, 2, true, 0x73, BAD);
	g_assert_true(is_blocked(&b, BAD, BAD));
	g_assert_cmpuint(b.blocked, ==, 1);
	node_clear(&a);
	node_clear(&b);
}

/* The evidence is written at most every two seconds while endpoints die, and
 * not at all once it holds what is known. */
static void test_evidence_is_written_seldom(void)
{
	struct node n;

	node_init(&n);
	for (fg_ms now = 0; now < 20000; now += 100) {
		lose(&n, now, (uint64_t)now / 100, true, 0x1000 + now,
		     0x9000 + now);
		fg_blame_on_evidence(n.blame, now, n.evidence, n.n_evidence,
				     true);
	}
	g_assert_cmpuint(n.evidence_writes, >=, 5);
	g_assert_cmpuint(n.evidence_writes, <=, 11);
	fg_blame_tick(n.blame, 25000);
	fg_blame_on_evidence(n.blame, 25000, n.evidence, n.n_evidence, true);
	n.evidence_writes = 0;
	for (fg_ms now = 25100; now < 60000; now += 100)
		fg_blame_tick(n.blame, now);
	g_assert_cmpuint(n.evidence_writes, ==, 0);
	node_clear(&n);
}

/* A part that most requests carry is in three deaths by chance: it is blocked
 * for six. */
static void test_common_part_needs_more(void)
{
	struct node n;

	node_init(&n);
	for (fg_ms now = 0; now < 1000; now += 20)
		g_assert_true(admit(&n, now, FIRST, 0x4000 + (uint64_t)now));
	for (uint64_t i = 1; i <= 6; i++) {
		g_assert_false(is_blocked(&n, FIRST, FIRST));
		lose(&n, 1000 * (fg_ms)i, i, true, FIRST, 0x80 + i);
	}
	g_assert_true(is_blocked(&n, FIRST, FIRST));
	g_assert_cmpuint(n.blocked, ==, 1);
	node_clear(&n);
}

/* A lost request is not sent again if one more death would block a part. */
static void test_suspects_are_not_sent_again(void)
{
	struct node n;
	GBytes *parts = parts2(FIRST, BAD);

	node_init(&n);
	run_whole(&n, 0, 90, FIRST, OTHER);
	lose(&n, 2000, 1, true, FIRST, BAD);
	g_assert_true(fg_blame_may_resend(n.blame, parts));
	lose(&n, 6000, 2, true, FIRST, BAD);
	g_assert_false(fg_blame_may_resend(n.blame, parts));
	g_assert_true(fg_blame_admit(n.blame, 6500, parts));
	run_whole(&n, 7000, 90, FIRST, BAD);
	g_assert_true(fg_blame_may_resend(n.blame, parts));
	g_bytes_unref(parts);
	node_clear(&n);
}

/* With late trials, a verdict after five deaths can be lifted, and one after a
 * death in a trial. There are two trials in all. */
static void test_late_trials(void)
{
	struct fg_blame_conf late = conf;

	late.late_trial_after_ms = 1800000;
	for (uint64_t deaths = 3; deaths <= 5; deaths += 2) {
		struct node n;
		uint32_t tried = 0;

		node_init(&n);
		fg_blame_free(n.blame);
		n.blame = fg_blame_new(&late, &ops, &n);
		for (uint64_t i = 1; i <= deaths; i++)
			lose(&n, 1500 * (fg_ms)i, i, true, FIRST + 0x100 * i,
			     BAD);
		for (fg_ms now = 10000; now < 20000000; now += 1000) {
			if (!admit(&n, now, FIRST, BAD))
				continue;
			if (deaths == 5 || tried == 1)
				g_assert_cmpint(now, >=, 1800000);
			tried++;
			lose(&n, now + 50, 100 + tried, true, 0x300 + tried,
			     BAD);
		}
		g_assert_cmpuint(tried, ==, 2);
		node_clear(&n);
	}
}

/* An instance that starts later gets the blocked parts from another. */
static void test_late_instance(void)
{
	struct node a;
	struct node b;
	struct fg_blame_note list[4];
	uint32_t n;

	node_init(&a);
	node_init(&b);
	for (uint64_t i = 1; i <= 5; i++)
		lose(&a, 3000 * (fg_ms)i, i, true, FIRST + 0x100 * i, BAD);
	n = fg_blame_list(a.blame, 60000, list, 4);
	g_assert_cmpuint(n, ==, 1);
	g_assert_cmpuint(list[0].deaths, ==, 5);
	for (int repeat = 0; repeat < 2; repeat++)
		fg_blame_on_note(b.blame, 1000, &list[0]);
	g_assert_true(is_blocked(&b, BAD, 0));
	g_assert_false(admit(&b, 800000, FIRST, BAD));
	g_assert_cmpuint(b.blocked, ==, 1);
	node_clear(&a);
	node_clear(&b);
}

/* New parts without end, in whole runs and in deaths, take no more memory than
 * configured; a bad part that is still requested stays blocked. */
static void test_parts_without_end(void)
{
	struct node n;
	uint64_t part = 0x10000;

	node_init(&n);
	for (uint64_t i = 1; i <= 5; i++)
		lose(&n, 3000 * (fg_ms)i, i, true, part++, BAD);
	for (fg_ms now = 20000; now < 400000; now += 100) {
		run_whole(&n, now, 1000, part, part + 1);
		part += 2;
		lose(&n, now, 5000 + (uint64_t)now / 6000, true, part,
		     0x1000000 + (uint64_t)now / 18000);
		part++;
		g_assert_false(admit(&n, now, FIRST, BAD));
		g_assert_cmpuint(fg_blame_count(n.blame), <=, conf.blocked_max);
		g_array_set_size(n.sent, 0);
	}
	g_assert_cmpuint(fg_blame_count(n.blame), ==, conf.blocked_max);
	node_clear(&n);
}

/* Notes with values that no instance sends. */
static void test_odd_notes(void)
{
	struct node n;
	struct fg_blame_note notes[] = {
		{ .kind = 0, .part = BAD },
		{ .kind = 99, .part = BAD },
		{ .kind = FG_BLAME_TRIAL, .part = BAD, .age_ms = UINT32_MAX },
		{ .kind = FG_BLAME_WHOLE, .part = BAD, .age_ms = UINT32_MAX },
		{ .kind = FG_BLAME_LOSS,
		  .part = OTHER,
		  .age_ms = UINT32_MAX,
		  .depth = UINT32_MAX },
	};

	node_init(&n);
	for (size_t i = 0; i < G_N_ELEMENTS(notes); i++)
		fg_blame_on_note(n.blame, 1000, &notes[i]);
	fg_blame_tick(n.blame, 5000);
	fg_blame_on_loss(n.blame, 6000, 1, 6000, true, NULL);
	fg_blame_on_answer(n.blame, 6000, 1, NULL);
	g_assert_true(fg_blame_admit(n.blame, 6000, NULL));
	g_assert_cmpuint(fg_blame_count(n.blame), ==, 0);
	node_clear(&n);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/blame/common_part", test_blocks_the_common_part);
	g_test_add_func("/blame/one_death", test_one_death_counts_once);
	g_test_add_func("/blame/waiting_requests",
			test_waiting_requests_are_no_suspects);
	g_test_add_func("/blame/crash_before_the_head",
			test_crash_before_the_head);
	g_test_add_func("/blame/across_instances",
			test_counts_across_instances);
	g_test_add_func("/blame/whole_run_elsewhere", test_whole_run_elsewhere);
	g_test_add_func("/blame/short_answer",
			test_short_answer_before_the_crash);
	g_test_add_func("/blame/two_bad_parts", test_two_bad_parts);
	g_test_add_func("/blame/trials", test_trials_are_few);
	g_test_add_func("/blame/no_trial", test_no_trial_after_the_fifth_death);
	g_test_add_func("/blame/sound_trial", test_sound_trial_lifts_the_block);
	g_test_add_func("/blame/late_trials", test_late_trials);
	g_test_add_func("/blame/evidence_outlives_all",
			test_evidence_outlives_all);
	g_test_add_func("/blame/evidence_read_again", test_evidence_read_again);
	g_test_add_func("/blame/evidence_is_written_seldom",
			test_evidence_is_written_seldom);
	g_test_add_func("/blame/common_part_needs_more",
			test_common_part_needs_more);
	g_test_add_func("/blame/suspects_are_not_sent_again",
			test_suspects_are_not_sent_again);
	g_test_add_func("/blame/late_instance", test_late_instance);
	g_test_add_func("/blame/parts_without_end", test_parts_without_end);
	g_test_add_func("/blame/odd_notes", test_odd_notes);
	return g_test_run();
}
