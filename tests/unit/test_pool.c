/* Unit tests of lib/run/fg_pool. */
#include <glib.h>

#include "run/fg_pool.h"

#define STACK_BYTES (64 * 1024)
#define JOB_US 20000

struct fixture {
	struct fg_pool *pool;
	int ran; /* atomic */
};

static void run_second(void *arg)
{
	struct fixture *f = arg;

	g_atomic_int_inc(&f->ran);
}

static void run_first(void *arg)
{
	struct fixture *f = arg;

	g_usleep(JOB_US);
	g_atomic_int_inc(&f->ran);
	g_assert_true(fg_pool_submit(f->pool, run_second, f));
}

/* A job that is queued by another one while the pool stops is run; one that is
 * queued after that is refused. */
static void test_stopped(void)
{
	struct fixture f = { .pool = fg_pool_new(1, STACK_BYTES) };

	g_assert_true(fg_pool_submit(f.pool, run_first, &f));
	fg_pool_stop(f.pool);
	g_assert_cmpint(g_atomic_int_get(&f.ran), ==, 2);
	g_assert_false(fg_pool_submit(f.pool, run_second, &f));
	fg_pool_free(f.pool);
	g_assert_cmpint(g_atomic_int_get(&f.ran), ==, 2);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pool/stopped", test_stopped);
	return g_test_run();
}
