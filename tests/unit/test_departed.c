/*
 * Unit tests of endpoints that were removed from the registry, and whose
 * entries come back when the registry returns from an older copy.
 */
#include <glib.h>
#include <string.h>

#include "fleet/fg_fleet.h"

static const char *region_of(void *ctx, const char *dc)
{
	(void)ctx;
	return dc;
}

static struct fg_ep_facts make_facts(const char *id, uint64_t born)
{
	struct fg_ep_facts facts = {
		.service = "s", .address = "10.0.0.1:1", .dc = "d", .born = born
	};

	g_strlcpy(facts.id, id, sizeof(facts.id));
	return facts;
}

static struct fg_fleet *make_fleet(fg_ms now, const struct fg_ep_facts *facts)
{
	struct fg_fleet *f = fg_fleet_new(region_of, NULL, NULL);

	fg_fleet_registry_up(f, now, now);
	fg_fleet_put(f, now, facts);
	return f;
}

/* The registry returns from a copy with this entry. */
static struct fg_fleet_ep *restore_with(struct fg_fleet *f, fg_ms now,
					const struct fg_ep_facts *facts)
{
	struct fg_fleet_ep *ep;

	fg_fleet_registry_restored(f, now);
	fg_fleet_read_begin(f);
	ep = fg_fleet_put(f, now, facts);
	fg_fleet_read_end(f, now);
	return ep;
}

static void test_returns_from_copy(void)
{
	struct fg_ep_facts facts = make_facts("e", 5);
	struct fg_fleet *f = make_fleet(1000, &facts);
	struct fg_fleet_ep *ep;

	fg_fleet_remove(f, 2000, "e");
	fg_fleet_tick(f, 2100);
	g_assert_null(fg_fleet_find(f, "e"));
	ep = restore_with(f, 5000, &facts);
	g_assert_false(fg_ep_is_usable(ep, 5000));
	/* A second return, and the removal written again: no lapse. */
	ep = restore_with(f, 6000, &facts);
	g_assert_false(fg_ep_is_usable(ep, 6000));
	fg_fleet_remove(f, 6500, "e");
	g_assert_false(fg_ep_is_usable(ep, 6500));
	fg_fleet_tick(f, 6600);
	g_assert_null(fg_fleet_find(f, "e"));
	ep = restore_with(f, 7000, &facts);
	g_assert_false(fg_ep_is_usable(ep, 7000));
	fg_fleet_free(f);
}

/* The removal is seen while a request is in flight, so that the record stays.
 */
static void test_returns_while_in_use(void)
{
	struct fg_ep_facts facts = make_facts("e", 5);
	struct fg_fleet *f = make_fleet(1000, &facts);
	struct fg_fleet_ep *ep = fg_fleet_find(f, "e");

	ep->running = 1;
	fg_fleet_remove(f, 2000, "e");
	fg_fleet_tick(f, 2100);
	g_assert_true(restore_with(f, 5000, &facts) == ep);
	g_assert_false(fg_ep_is_usable(ep, 5000));
	ep->running = 0;
	fg_fleet_free(f);
}

static void test_written_again(void)
{
	struct fg_ep_facts facts = make_facts("e", 5);
	struct fg_fleet *f = make_fleet(1000, &facts);
	struct fg_fleet_ep *ep;

	fg_fleet_remove(f, 2000, "e");
	ep = restore_with(f, 5000, &facts);
	g_assert_false(fg_ep_is_usable(ep, 5000));
	/* It is alive: it writes its entry. */
	ep = fg_fleet_put(f, 5600, &facts);
	g_assert_true(fg_ep_is_usable(ep, 5600));
	ep = restore_with(f, 9000, &facts);
	g_assert_true(fg_ep_is_usable(ep, 9000));
	fg_fleet_free(f);
}

static void test_started_again(void)
{
	struct fg_ep_facts facts = make_facts("e", 5);
	struct fg_fleet *f = make_fleet(1000, &facts);
	struct fg_fleet_ep *ep;

	fg_fleet_remove(f, 2000, "e");
	facts.born = 6;
	ep = restore_with(f, 5000, &facts);
	g_assert_true(fg_ep_is_usable(ep, 5000));
	fg_fleet_remove(f, 9000, "e");
	fg_fleet_tick(f, 9100);
	facts.born = 4; /* of a start before the removed one */
	ep = restore_with(f, 10000, &facts);
	g_assert_false(fg_ep_is_usable(ep, 10000));
	fg_fleet_free(f);
}

/* Without a return, an entry that comes back is used: its endpoint was silent.
 */
static void test_silent_endpoint(void)
{
	struct fg_ep_facts facts = make_facts("e", 5);
	struct fg_fleet *f = make_fleet(1000, &facts);
	struct fg_fleet_ep *ep;

	fg_fleet_remove(f, 2000, "e");
	ep = fg_fleet_put(f, 3000, &facts);
	g_assert_true(fg_ep_is_usable(ep, 3000));
	fg_fleet_remove(f, 4000, "e");
	fg_fleet_tick(f, 4100);
	fg_fleet_read_begin(f); /* the history was dropped */
	ep = fg_fleet_put(f, 5000, &facts);
	fg_fleet_read_end(f, 5000);
	g_assert_true(fg_ep_is_usable(ep, 5000));
	/* The same after a return from a copy that did not have it. */
	fg_fleet_remove(f, 6000, "e");
	fg_fleet_tick(f, 6100);
	fg_fleet_registry_restored(f, 7000);
	fg_fleet_read_begin(f);
	fg_fleet_read_end(f, 7000);
	fg_fleet_read_begin(f);
	ep = fg_fleet_put(f, 8000, &facts);
	fg_fleet_read_end(f, 8000);
	g_assert_true(fg_ep_is_usable(ep, 8000));
	fg_fleet_free(f);
}

static void test_bounds(void)
{
	struct fg_ep_facts facts = make_facts("e", 5);
	struct fg_fleet *f = make_fleet(1000, &facts);
	struct fg_fleet_ep *ep;

	fg_fleet_remove(f, 2000, "e");
	fg_fleet_tick(f, 2100);
	ep = restore_with(f, 5000, &facts);
	/* Listed for longer than the entry of one that is gone. */
	g_assert_false(fg_ep_is_usable(ep, 5000 + FG_FLEET_RETURNED_MS - 1));
	g_assert_true(fg_ep_is_usable(ep, 5000 + FG_FLEET_RETURNED_MS));
	fg_fleet_free(f);

	f = make_fleet(1000, &facts);
	fg_fleet_remove(f, 2000, "e");
	fg_fleet_tick(f, 2100);
	fg_fleet_tick(f, 2000 + FG_FLEET_DEPARTED_MS);
	ep = restore_with(f, 2100 + FG_FLEET_DEPARTED_MS, &facts);
	g_assert_true(fg_ep_is_usable(ep, 2100 + FG_FLEET_DEPARTED_MS));
	fg_fleet_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/departed/returns_from_copy", test_returns_from_copy);
	g_test_add_func("/departed/returns_while_in_use",
			test_returns_while_in_use);
	g_test_add_func("/departed/written_again", test_written_again);
	g_test_add_func("/departed/started_again", test_started_again);
	g_test_add_func("/departed/silent_endpoint", test_silent_endpoint);
	g_test_add_func("/departed/bounds", test_bounds);
	return g_test_run();
}
