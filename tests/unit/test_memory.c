/* Unit tests of the memory that is held for callers. */
#include <glib.h>

#include "base/fg_rand.h"
#include "memory/fg_memory.h"

#define LIMIT_BYTES (64 * 1024 * 1024)
#define REQUESTS_MAX_BYTES (LIMIT_BYTES / 8 * 5)
#define LARGE_MAX_BYTES (LIMIT_BYTES / 8 * 3)
#define MIB (1024 * 1024)

static struct fg_memory_holder holders[256];

static void open_holders(struct fg_memory *m, uint32_t n)
{
	fg_memory_init(m, LIMIT_BYTES);
	for (uint32_t i = 0; i < n; i++)
		fg_memory_open(m, &holders[i], &holders[i]);
}

static void close_holders(struct fg_memory *m, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		fg_memory_close(m, &holders[i]);
	g_assert_cmpuint(m->request_bytes, ==, 0);
	g_assert_cmpuint(fg_memory_held_bytes(m), ==, 0);
	fg_memory_clear(m);
}

/* A body that arrived at `now`. */
static void receive(struct fg_memory *m, uint32_t i, uint64_t bytes, fg_ms now)
{
	fg_memory_note_received(&holders[i], bytes, now);
	g_assert_null(fg_memory_ask(m, &holders[i], bytes, now));
}

/* One request inside the limits is served in calm, whatever its size. */
static void test_largest_in_calm(void)
{
	struct fg_memory m;

	open_holders(&m, 1);
	g_assert_cmpuint(fg_memory_largest_request(&m), >=, 16 * MIB);
	receive(&m, 0, fg_memory_largest_request(&m), 1000);
	close_holders(&m, 1);
}

/* Returns who gives way for a newcomer whose body arrives. */
static struct fg_memory_holder *ask_for_newcomer(struct fg_memory *m, fg_ms now)
{
	fg_memory_note_received(&holders[7], 128 * 1024, now);
	return fg_memory_ask(m, &holders[7], 256 * 1024, now);
}

/* Of those that stand still, the largest gives way; the newcomer stays. */
static void test_largest_gives_way(void)
{
	struct fg_memory m;

	open_holders(&m, 8);
	for (uint32_t i = 0; i < 5; i++)
		receive(&m, i, (i == 2 ? 8 : 4) * MIB, 1000);
	g_assert_true(ask_for_newcomer(&m, 60000) == &holders[2]);
	close_holders(&m, 8);
}

/* A slow body that advances stays; one that holds as much and drips goes. */
static void test_dripping_gives_way(void)
{
	struct fg_memory m;
	fg_ms now = 1000;

	open_holders(&m, 8);
	for (uint32_t i = 0; i < 6; i++)
		receive(&m, i, 4 * MIB, now);
	for (int k = 0; k < 20; k++) {
		now += 500;
		for (uint32_t i = 0; i < 6; i++)
			fg_memory_note_received(&holders[i],
						i == 3 ? 1 : 100000, now);
	}
	g_assert_true(ask_for_newcomer(&m, now) == &holders[3]);
	close_holders(&m, 8);
}

/* Complete requests keep their place; then the asker is refused. */
static void test_complete_stays(void)
{
	struct fg_memory m;

	open_holders(&m, 8);
	for (uint32_t i = 0; i < 6; i++) {
		receive(&m, i, 4 * MIB, 1000);
		holders[i].reading = false;
	}
	g_assert_true(fg_memory_ask(&m, &holders[7], 4 * MIB, 60000) ==
		      &holders[7]);
	/* Ordinary ones still have room. */
	g_assert_true(fg_memory_has_room(&m, 2048));
	receive(&m, 7, 2048, 60000);
	close_holders(&m, 8);
}

static void test_has_room(void)
{
	struct fg_memory m;

	open_holders(&m, 1);
	g_assert_true(fg_memory_has_room(&m, LARGE_MAX_BYTES));
	g_assert_false(fg_memory_has_room(&m, LARGE_MAX_BYTES + 1));
	close_holders(&m, 1);
}

/* Callers that do not read give way before those that do, however slowly. */
static void test_unread(void)
{
	struct fg_memory m;

	open_holders(&m, 3);
	g_assert_null(fg_memory_choose_unread(&m, 1000));
	fg_memory_set_unread(&m, &holders[0], 3 * MIB, 1000);
	fg_memory_set_unread(&m, &holders[1], 4 * MIB, 1000);
	fg_memory_set_unread(&m, &holders[1], 3 * MIB + 1, 1500);
	fg_memory_set_collected(&m, &holders[2], 16 * MIB);
	g_assert_true(fg_memory_choose_unread(&m, 1600) == &holders[0]);
	close_holders(&m, 3);
}

/* Answers that are collected keep to their part; those that are not read may
 * take all that is left of the limit, and closed connections count. */
static void test_answers(void)
{
	struct fg_memory m;

	open_holders(&m, 3);
	fg_memory_set_collected(&m, &holders[0], 20 * MIB);
	g_assert_true(fg_memory_may_collect(&m, 4 * MIB));
	g_assert_false(fg_memory_may_collect(&m, 5 * MIB));
	g_assert_false(fg_memory_answers_crowd(&m));
	fg_memory_set_unread(&m, &holders[1], 30 * MIB, 1000);
	g_assert_true(fg_memory_answers_crowd(&m));
	g_assert_false(fg_memory_exceeds(&m, 14 * MIB));
	g_assert_true(fg_memory_exceeds(&m, 15 * MIB));
	fg_memory_set_flushing(&m, 10 * MIB);
	g_assert_true(fg_memory_exceeds(&m, 5 * MIB));
	fg_memory_set_flushing(&m, 0);
	receive(&m, 2, 14 * MIB, 1000);
	g_assert_true(fg_memory_exceeds(&m, 1));
	close_holders(&m, 3);
}

/* A lower limit makes those that read give way, and no others. */
static void test_lower_limit(void)
{
	struct fg_memory m;

	open_holders(&m, 6);
	for (uint32_t i = 0; i < 6; i++)
		receive(&m, i, 4 * MIB, 1000);
	holders[0].reading = false;
	g_assert_null(fg_memory_choose_over(&m, 1000));
	fg_memory_set_limit(&m, 8 * MIB);
	for (uint32_t i = 1; i < 6; i++) {
		struct fg_memory_holder *h = fg_memory_choose_over(&m, 1000);

		g_assert_nonnull(h);
		g_assert_true(h->reading);
		g_assert_null(fg_memory_ask(&m, h, 0, 1000));
		if (fg_memory_choose_over(&m, 1000) == NULL)
			break;
	}
	g_assert_cmpuint(m.request_bytes, <=, 5 * MIB);
	close_holders(&m, 6);
}

struct world {
	struct fg_memory m;
	struct fg_rand rand;
	fg_ms now;
	uint32_t n_gave_way;
};

/* Drops unread answers as users of the module do. */
static bool make_room(struct world *w, uint64_t bytes)
{
	struct fg_memory_holder *loser;

	while (fg_memory_exceeds(&w->m, bytes)) {
		loser = fg_memory_choose_unread(&w->m, w->now);
		if (loser == NULL)
			return false;
		g_assert_cmpuint(loser->unread_bytes, >, 0);
		fg_memory_set_unread(&w->m, loser, 0, w->now);
	}
	return true;
}

/* A holder grows, and the losers give way as users of the module let them. */
static void grow(struct world *w, struct fg_memory_holder *h, uint64_t bytes)
{
	uint64_t calm_bytes = w->m.request_bytes - h->request_bytes;
	struct fg_memory_holder *loser;

	if (!make_room(w, bytes - h->request_bytes))
		return;
	fg_memory_note_received(h, bytes - h->request_bytes, w->now);
	while ((loser = fg_memory_ask(&w->m, h, bytes, w->now)) != NULL) {
		g_assert_cmpuint(calm_bytes, >, 0);
		w->n_gave_way++;
		if (loser == h)
			return;
		g_assert_true(loser->reading);
		g_assert_cmpuint(loser->request_bytes, >, 0);
		g_assert_null(fg_memory_ask(&w->m, loser, 0, w->now));
	}
}

static void step(struct world *w)
{
	struct fg_memory_holder *h =
		&holders[fg_rand_below(&w->rand, G_N_ELEMENTS(holders))];
	uint64_t size = (uint64_t)1 << fg_rand_below(&w->rand, 23);

	w->now += (fg_ms)fg_rand_below(&w->rand, 50);
	switch (fg_rand_below(&w->rand, 7)) {
	case 0:
	case 1:
	case 2:
		if (h->reading)
			grow(w, h, MAX(h->request_bytes, size));
		break;
	case 3:
		h->reading = false;
		break;
	case 4:
		if (fg_memory_may_collect(&w->m, size) && make_room(w, size))
			fg_memory_set_collected(&w->m, h,
						h->collected_bytes + size);
		break;
	case 5:
		if (!fg_memory_exceeds(&w->m, size))
			fg_memory_set_unread(&w->m, h, size, w->now);
		break;
	default:
		fg_memory_close(&w->m, h);
		fg_memory_open(&w->m, h, h);
	}
}

/* The sum is never above its bounds, none gives way whose request is complete,
 * and every charge is given back. */
static void test_random(void)
{
	uint32_t gave_way = 0;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct world w = { .now = 1000 };

		fg_rand_seed(&w.rand, seed);
		open_holders(&w.m, G_N_ELEMENTS(holders));
		for (int i = 0; i < 20000; i++) {
			step(&w);
			g_assert_cmpuint(w.m.request_bytes, <=,
					 REQUESTS_MAX_BYTES);
			g_assert_cmpuint(w.m.collected_bytes, <=,
					 LIMIT_BYTES - REQUESTS_MAX_BYTES);
			g_assert_cmpuint(fg_memory_held_bytes(&w.m), <=,
					 LIMIT_BYTES);
		}
		gave_way += w.n_gave_way;
		close_holders(&w.m, G_N_ELEMENTS(holders));
	}
	g_assert_cmpuint(gave_way, >, 1000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/memory/largest_in_calm", test_largest_in_calm);
	g_test_add_func("/memory/largest_gives_way", test_largest_gives_way);
	g_test_add_func("/memory/dripping_gives_way", test_dripping_gives_way);
	g_test_add_func("/memory/complete_stays", test_complete_stays);
	g_test_add_func("/memory/has_room", test_has_room);
	g_test_add_func("/memory/unread", test_unread);
	g_test_add_func("/memory/answers", test_answers);
	g_test_add_func("/memory/lower_limit", test_lower_limit);
	g_test_add_func("/memory/random", test_random);
	return g_test_run();
}
