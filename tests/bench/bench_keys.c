/*
 * Measures the lookup of a key among those of a large deployment, with its
 * digest (what each request costs) and without, and the memory that a key
 * takes. A lookup must stay below LOOKUP_MAX_NS.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/fg_rand.h"
#include "workspace/fg_workspace.h"

#define KEYS 10000
#define WORKSPACES 16
#define LOOKUPS 400000
#define RUNS 9
#define LOOKUP_MAX_NS 1000.0

/* SHA-256 takes a second block, and the digest twice the time, for keys above
 * 55 bytes. The limit is judged for those of 48. */
static const uint32_t lengths[] = { 48, 32, 64 };

static char *keys[KEYS];
static struct fg_ws_digest digests[KEYS];
static uint32_t order[LOOKUPS];

static int64_t cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static void make_keys(struct fg_rand *rand, uint32_t length)
{
	for (uint32_t i = 0; i < KEYS; i++) {
		GString *key = g_string_new(NULL);

		while (key->len < length)
			g_string_append_printf(
				key, "%016llx",
				(unsigned long long)fg_rand_next(rand));
		keys[i] = g_string_free(key, FALSE);
		fg_ws_digest(keys[i], &digests[i]);
	}
	for (uint32_t i = 0; i < LOOKUPS; i++)
		order[i] = (uint32_t)fg_rand_below(rand, KEYS);
}

static struct fg_ws_set *make_set(void)
{
	struct fg_ws_set *s = fg_ws_set_new();
	struct fg_workspace *w[WORKSPACES];

	for (uint32_t i = 0; i < WORKSPACES; i++) {
		g_autofree char *name = g_strdup_printf("workspace-%u", i);

		w[i] = fg_ws_set_add(s, name);
	}
	for (uint32_t i = 0; i < KEYS; i++)
		fg_ws_set_add_key(s, w[i % WORKSPACES], keys[i]);
	return s;
}

static int compare(const void *a, const void *b)
{
	const double *x = a;
	const double *y = b;

	return (*x > *y) - (*x < *y);
}

/* Prints the processor time of one lookup, as median and minimum of RUNS, and
 * returns the minimum: other processes on the machine only add to it. */
static double measure(const struct fg_ws_set *s, const char *what,
		      bool with_digest)
{
	double ns[RUNS];

	for (int run = 0; run < RUNS; run++) {
		int64_t begin = cpu_ns();
		uint32_t found = 0;

		for (uint32_t i = 0; i < LOOKUPS; i++) {
			struct fg_ws_digest d;
			const struct fg_ws_digest *key = &digests[order[i]];

			if (with_digest) {
				fg_ws_digest(keys[order[i]], &d);
				key = &d;
			}
			found += fg_ws_set_find(s, key) != NULL;
		}
		g_assert_cmpuint(found, ==, LOOKUPS);
		ns[run] = (double)(cpu_ns() - begin) / LOOKUPS;
	}
	qsort(ns, RUNS, sizeof(ns[0]), compare);
	printf("lookup %s: median %.0f ns, minimum %.0f ns\n", what,
	       ns[RUNS / 2], ns[0]);
	return ns[0];
}

static size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

/* Returns the time of a lookup with its digest. */
static double run(struct fg_rand *rand, uint32_t length)
{
	struct fg_ws_set *s;
	size_t before;
	double ns;

	make_keys(rand, length);
	before = heap_bytes();
	s = make_set();
	printf("%d keys of %u characters: %.1f bytes a key\n", KEYS, length,
	       (double)(heap_bytes() - before) / KEYS);
	ns = measure(s, "with digest", true);
	(void)measure(s, "without digest", false);
	fg_ws_set_free(s);
	for (uint32_t i = 0; i < KEYS; i++)
		g_free(keys[i]);
	return ns;
}

int main(void)
{
	double ns[G_N_ELEMENTS(lengths)];
	struct fg_rand rand;

	fg_rand_seed(&rand, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++)
		ns[i] = run(&rand, lengths[i]);
	printf("limit %.0f ns: %s\n", LOOKUP_MAX_NS,
	       ns[0] < LOOKUP_MAX_NS ? "kept" : "exceeded");
	return ns[0] < LOOKUP_MAX_NS ? 0 : 1;
}
