/* Tests of the catalogue at its target size of 65,000 adapters: memory, cost of
 * a change, snapshot parts. */
#include <glib.h>
#include <malloc.h>
#include <string.h>

#include "config/fg_config.h"

#define PART_BYTES 60000

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

#define LARGE_ADAPTERS 65000

static struct fg_config *new_large_config(unsigned int n)
{
	struct fg_config *c = fg_config_new();

	for (unsigned int i = 0; i < n; i++) {
		GString *s = g_string_new(NULL);

		g_string_printf(
			s,
			"\"kind\":\"batch\",\"changes\":[{\"kind\":"
			"\"adapter_add\",\"base\":\"base-%u\",\"adapter\":"
			"\"school-menu-%05u\"},{\"kind\":\"version_add\","
			"\"adapter\":\"school-menu-%05u\",\"version\":\"1\"},"
			"{\"kind\":\"right_grant\",\"adapter\":"
			"\"school-menu-%05u\",\"caller\":\"grower-%u\"}]",
			i % 7, i, i, i, i % 300);
		g_assert_true(apply_next(c, NULL, "%s", s->str));
		g_string_free(s, TRUE);
	}
	return c;
}

static double measure_change_us(struct fg_config *c)
{
	gint64 start = g_get_monotonic_time();
	const int rounds = 2000;

	for (int i = 0; i < rounds; i++) {
		g_assert_true(
			apply_next(c, NULL,
				   "\"kind\":\"version_add\",\"adapter\":"
				   "\"school-menu-00001\",\"version\":\"t\""));
		g_assert_true(
			apply_next(c, NULL,
				   "\"kind\":\"version_remove\",\"adapter\":"
				   "\"school-menu-00001\",\"version\":\"t\""));
	}
	return (double)(g_get_monotonic_time() - start) / (2.0 * rounds);
}

/* Returns the heap in use; 0 with sanitizers, which replace malloc(). */
static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void test_memory_and_change_cost(void)
{
	size_t before = heap_bytes();
	struct fg_config *c = new_large_config(LARGE_ADAPTERS);
	size_t after = heap_bytes();
	struct fg_config *small = new_large_config(100);
	size_t bytes = (after - before) / LARGE_ADAPTERS;
	double large_us = measure_change_us(c);
	double small_us = measure_change_us(small);
	g_autoptr(GPtrArray) parts = fg_config_snapshot_parts(c, PART_BYTES);
	g_autofree char *whole = fg_config_snapshot(c);
	g_autofree char *copied = NULL;
	struct fg_config_loader *l = fg_config_loader_new();
	struct fg_config *copy = fg_config_new();

	g_test_message("%zu bytes an adapter, %u parts, a change takes "
		       "%.1f us at %d adapters and %.1f us at 100",
		       bytes, parts->len, large_us, LARGE_ADAPTERS, small_us);
	g_assert_cmpuint(bytes, <, 320);
	g_assert_cmpfloat(large_us, <, 20 * small_us);
	for (guint i = 0; i < parts->len; i++) {
		const char *part = g_ptr_array_index(parts, i);

		g_assert_cmpuint(strlen(part), <=, PART_BYTES);
		g_assert_false(fg_config_loader_is_complete(l));
		g_assert_true(fg_config_loader_add_part(l, part, NULL));
	}
	g_assert_true(fg_config_loader_is_complete(l));
	fg_config_loader_finish(l, copy);
	copied = fg_config_snapshot(copy);
	g_assert_cmpstr(whole, ==, copied);
	fg_config_free(c);
	fg_config_free(small);
	fg_config_free(copy);
}

static void test_part_order(void)
{
	struct fg_config *c = new_large_config(2000);
	g_autoptr(GPtrArray) parts = fg_config_snapshot_parts(c, PART_BYTES);
	struct fg_config_loader *l = fg_config_loader_new();

	g_assert_cmpuint(parts->len, >, 2);
	g_assert_false(fg_config_loader_add_part(l, parts->pdata[1], NULL));
	g_assert_true(fg_config_loader_add_part(l, parts->pdata[0], NULL));
	g_assert_false(fg_config_loader_add_part(l, parts->pdata[0], NULL));
	g_assert_false(fg_config_loader_add_part(l, parts->pdata[2], NULL));
	g_assert_true(fg_config_loader_add_part(l, parts->pdata[1], NULL));
	fg_config_loader_free(l);
	fg_config_free(c);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/size", test_memory_and_change_cost);
	g_test_add_func("/config/parts_in_order", test_part_order);
	return g_test_run();
}
