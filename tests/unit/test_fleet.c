/* Unit tests of endpoint records, their health, requests in flight, lost
 * requests, and the choice of an endpoint. */
#include <glib.h>
#include <string.h>

#include "admit/fg_loss.h"
#include "balance/fg_balance.h"
#include "fleet/fg_fleet.h"
#include "fleet/fg_health.h"
#include "fleet/fg_uses.h"

static uint32_t n_dropped;

static const char *region_of(void *ctx, const char *dc)
{
	(void)ctx;
	return strcmp(dc, "east") == 0 ? "r1" : "r2";
}

static void count_dropped(void *ctx, struct fg_fleet_ep *ep)
{
	(void)ctx;
	(void)ep;
	n_dropped++;
}

static struct fg_fleet *fleet_new(void)
{
	n_dropped = 0;
	return fg_fleet_new(region_of, count_dropped, NULL);
}

static struct fg_fleet_ep *put_ep(struct fg_fleet *f, fg_ms now, const char *id,
				  bool draining)
{
	struct fg_ep_facts facts = { .draining = draining, .slots = 6 };

	g_strlcpy(facts.id, id, sizeof(facts.id));
	g_strlcpy(facts.service, "s", sizeof(facts.service));
	g_strlcpy(facts.address, "10.0.0.1:80", sizeof(facts.address));
	g_strlcpy(facts.dc, id[0] == 'e' ? "east" : "west", sizeof(facts.dc));
	return fg_fleet_put(f, now, &facts);
}

static void test_leaving_is_not_usable(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_ep(f, 1000, "e1", false);

	g_assert_true(fg_ep_is_usable(ep, 1000));
	put_ep(f, 1100, "e1", true);
	g_assert_false(fg_ep_is_usable(ep, 1100));
	put_ep(f, 1100, "e2", false);
	fg_fleet_remove(f, 1200, "e2");
	g_assert_false(fg_ep_is_usable(fg_fleet_find(f, "e2"), 1200));
	fg_fleet_tick(f, 1200);
	g_assert_null(fg_fleet_find(f, "e2"));
	g_assert_cmpuint(n_dropped, ==, 1);
	fg_fleet_free(f);
}

/* An endpoint whose entry lapsed in an outage of the registry stays usable for
 * the grace period and is dropped if the entry does not return. */
static void test_lapse_in_outage(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_ep(f, 1000, "e1", false);

	put_ep(f, 1000, "e2", false);
	fg_fleet_registry_down(f, 2000);
	fg_fleet_registry_up(f, 8000, 8000);
	fg_fleet_remove(f, 8100, "e1");
	fg_fleet_remove(f, 8100, "e2");
	g_assert_true(fg_ep_is_usable(ep, 8200));
	put_ep(f, 9000, "e2", false);
	fg_fleet_tick(f, 8000 + FG_FLEET_LAPSE_GRACE_MS);
	g_assert_null(fg_fleet_find(f, "e1"));
	g_assert_nonnull(fg_fleet_find(f, "e2"));
	/* After the grace period a removal takes effect at once. */
	fg_fleet_remove(f, 11000, "e2");
	g_assert_false(fg_ep_is_usable(fg_fleet_find(f, "e2"), 11000));
	fg_fleet_free(f);
}

/* A call that was open when the outage began fails late. The outage counts from
 * the answer before it. */
static void test_outage_noticed_late(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_ep(f, 1000, "e1", false);

	fg_fleet_registry_up(f, 2000, 2000);
	fg_fleet_registry_down(f, 3100);
	fg_fleet_registry_up(f, 3470, 3470);
	fg_fleet_remove(f, 3500, "e1");
	g_assert_true(fg_ep_is_usable(ep, 3500));
	g_assert_false(fg_ep_is_usable(ep, 3470 + FG_FLEET_LAPSE_GRACE_MS));
	fg_fleet_free(f);
}

/* An answer that another instance got is as old as it says. */
static void test_outage_after_relayed_answer(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_ep(f, 1000, "e1", false);

	fg_fleet_registry_up(f, 3000, 2000);
	fg_fleet_registry_down(f, 3100);
	fg_fleet_registry_up(f, 3200, 3200);
	fg_fleet_remove(f, 3300, "e1");
	g_assert_true(fg_ep_is_usable(ep, 3300));
	fg_fleet_free(f);
}

/* A failed call between two answers is no outage. */
static void test_short_failure_is_no_outage(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_ep(f, 1000, "e1", false);

	fg_fleet_registry_up(f, 2000, 2000);
	fg_fleet_registry_down(f, 2100);
	fg_fleet_registry_up(f, 2300, 2300);
	fg_fleet_remove(f, 2400, "e1");
	g_assert_false(fg_ep_is_usable(ep, 2400));
	fg_fleet_free(f);
}

/* Entries that a restored registry has lost count as lapsed. */
static void test_registry_restored(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_ep(f, 1000, "e1", false);

	fg_fleet_registry_restored(f, 2000);
	fg_fleet_read_begin(f);
	fg_fleet_read_end(f, 2100);
	g_assert_true(fg_ep_is_usable(ep, 2100));
	g_assert_false(fg_ep_is_usable(ep, 2000 + FG_FLEET_LAPSE_GRACE_MS));
	fg_fleet_free(f);
}

static struct fg_fleet_ep *put_born(struct fg_fleet *f, fg_ms now,
				    uint64_t born, bool draining)
{
	struct fg_ep_facts facts = { .draining = draining,
				     .slots = 6,
				     .born = born };

	g_strlcpy(facts.id, "e1", sizeof(facts.id));
	g_strlcpy(facts.service, "s", sizeof(facts.service));
	g_strlcpy(facts.address, "10.0.0.1:80", sizeof(facts.address));
	g_strlcpy(facts.dc, "east", sizeof(facts.dc));
	return fg_fleet_put(f, now, &facts);
}

/* An entry from an older copy of the registry does not bring an endpoint back
 * that was leaving; a restart under the same id does. */
static void test_leaving_is_final(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_born(f, 1000, 7, true);

	put_born(f, 1100, 7, false);
	g_assert_false(fg_ep_is_usable(ep, 1100));
	put_born(f, 1200, 8, false);
	g_assert_true(fg_ep_is_usable(ep, 1200));
	fg_fleet_free(f);
}

/* Leaving said in an answer counts before the registry says so. */
static void test_said_leaving(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_born(f, 1000, 7, false);

	g_assert_true(fg_ep_mark_leaving(ep));
	g_assert_false(fg_ep_mark_leaving(ep));
	g_assert_false(fg_ep_accepts(ep, 1000));
	put_born(f, 1100, 7, false);
	g_assert_false(fg_ep_accepts(ep, 1100));
	/* Its removal in an outage is no lapse. */
	fg_fleet_registry_restored(f, 1200);
	fg_fleet_remove(f, 1300, "e1");
	g_assert_false(fg_ep_accepts(ep, 1300));
	put_born(f, 1400, 9, false);
	g_assert_true(fg_ep_accepts(ep, 1400));
	fg_fleet_free(f);
}

static void test_pause(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_born(f, 1000, 7, false);

	g_assert_cmpuint(fg_fleet_pause_left_ms(f, 1000, "s"), ==, 0);
	g_assert_cmpuint(fg_fleet_pause_left_ms(f, 1000, "t"), ==, UINT32_MAX);
	g_assert_true(fg_ep_pause(ep, 1000, 1500));
	g_assert_true(fg_ep_is_usable(ep, 1000));
	g_assert_false(fg_ep_accepts(ep, 2499));
	g_assert_true(fg_ep_accepts(ep, 2500));
	g_assert_cmpuint(fg_fleet_pause_left_ms(f, 2000, "s"), ==, 500);
	/* A shorter pause does not end an earlier one, zero is none, and an
	 * hour is cut. */
	g_assert_false(fg_ep_pause(ep, 1100, 100));
	g_assert_false(fg_ep_pause(ep, 1000, 0));
	g_assert_true(fg_ep_pause(ep, 3000, 3600 * 1000));
	g_assert_false(fg_ep_accepts(ep, 3000 + FG_EP_PAUSE_MAX_MS - 1));
	g_assert_true(fg_ep_accepts(ep, 3000 + FG_EP_PAUSE_MAX_MS));
	/* The shortest pause of the service counts. */
	put_ep(f, 4000, "e2", false);
	g_assert_cmpuint(fg_fleet_pause_left_ms(f, 4000, "s"), ==, 0);
	/* A restarted endpoint has asked for nothing. */
	put_born(f, 5000, 8, false);
	g_assert_true(fg_ep_accepts(ep, 5000));
	fg_fleet_free(f);
}

static void test_draining_does_not_lapse(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_ep(f, 1000, "e1", true);

	fg_fleet_registry_down(f, 2000);
	fg_fleet_registry_up(f, 8000, 8000);
	fg_fleet_remove(f, 8100, "e1");
	g_assert_false(fg_ep_is_usable(ep, 8200));
	fg_fleet_free(f);
}

static void test_full_read_removes_missing(void)
{
	struct fg_fleet *f = fleet_new();

	put_ep(f, 1000, "e1", false);
	put_ep(f, 1000, "e2", false);
	fg_fleet_read_begin(f);
	put_ep(f, 2000, "e2", false);
	fg_fleet_read_end(f, 2000);
	g_assert_false(fg_ep_is_usable(fg_fleet_find(f, "e1"), 2000));
	g_assert_true(fg_ep_is_usable(fg_fleet_find(f, "e2"), 2000));
	fg_fleet_free(f);
}

/* An endpoint that restarts under the same id has lost its adapters. */
static void test_restart_resets_state(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_ep(f, 1000, "e1", false);
	struct fg_fleet_held held = { .key = 5, .version = 1 };
	struct fg_ep_facts facts;

	fg_ep_set_resident(ep, 1000, &held, 1);
	ep->addr_taken = true;
	facts = ep->facts;
	facts.born = 77;
	fg_fleet_put(f, 2000, &facts);
	g_assert_null(fg_ep_adapter_find(ep, 5));
	g_assert_true(fg_ep_is_usable(ep, 2000));
	fg_fleet_free(f);
}

static void test_adapter_table_eviction(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_ep(f, 1000, "e1", false);
	struct fg_ep_adapter *a = fg_ep_adapter_find_or_add(ep, 1000, 1);

	a->running = 1;
	for (uint64_t key = 2; key < 200; key++)
		g_assert_nonnull(
			fg_ep_adapter_find_or_add(ep, 1000 + (fg_ms)key, key));
	g_assert_cmpuint(ep->n_adapters, ==, FG_EP_ADAPTERS_MAX);
	/* A record in use is never evicted. */
	g_assert_nonnull(fg_ep_adapter_find(ep, 1));
	g_assert_nonnull(fg_ep_adapter_find(ep, 199));
	g_assert_null(fg_ep_adapter_find(ep, 2));
	fg_fleet_free(f);
}

static void test_health_ejection(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_ep(f, 1000, "e1", false);

	fg_health_record_failure(ep, 1000);
	g_assert_false(fg_health_is_ejected(ep, 1000));
	fg_health_record_failure(ep, 1000);
	g_assert_true(fg_health_is_ejected(ep, 1400));
	g_assert_false(fg_health_is_ejected(ep, 1500));
	fg_health_record_failure(ep, 1500);
	g_assert_true(fg_health_is_ejected(ep, 2400));
	fg_health_record_answer(ep, 2400, false);
	g_assert_false(fg_health_is_ejected(ep, 2400));
	g_assert_cmpfloat(ep->error_rate, >, 0.1);
	for (int i = 0; i < 50; i++)
		fg_health_record_first_token(ep, 800, 100);
	g_assert_cmpfloat(ep->slowness, >, 5);
	fg_fleet_free(f);
}

static void test_uses_totals(void)
{
	struct fg_uses u;
	struct fg_use use = { .instance = 1,
			      .adapter = 5,
			      .running = 2,
			      .pending_tokens = 300,
			      .reported_at = 1000 };

	fg_uses_init(&u);
	fg_uses_put(&u, &use);
	use.instance = 2;
	use.reported_at = 1500;
	fg_uses_put(&u, &use);
	g_assert_cmpuint(fg_uses_running(&u), ==, 4);
	use.running = 1;
	use.pending_tokens = 0;
	fg_uses_put(&u, &use);
	g_assert_cmpuint(fg_uses_running(&u), ==, 3);
	g_assert_cmpuint(fg_uses_pending_tokens(&u), ==, 300);
	/* A report that is not repeated expires. */
	fg_uses_expire(&u, 1000 + FG_USES_TTL_MS + 1);
	g_assert_cmpuint(fg_uses_running(&u), ==, 1);
	use.running = 0;
	fg_uses_put(&u, &use);
	g_assert_cmpuint(u.list->len, ==, 0);
	fg_uses_clear(&u);
}

static void test_losses_ring(void)
{
	struct fg_losses l = { 0 };
	struct fg_loss out[FG_LOSS_MAX];
	struct fg_loss loss = { .at = 1000,
				.shared_parts = g_bytes_new("12345678", 8) };

	for (uint64_t i = 1; i <= FG_LOSS_MAX + 8; i++) {
		loss.fingerprint = i;
		fg_losses_add(&l, &loss);
	}
	g_assert_cmpuint(fg_losses_take(&l, 2000, out), ==, FG_LOSS_MAX);
	for (uint32_t i = 0; i < FG_LOSS_MAX; i++) {
		g_assert_cmpuint(out[i].fingerprint, >, 8);
		g_assert_cmpuint(g_bytes_get_size(out[i].shared_parts), ==, 8);
		fg_loss_clear(&out[i]);
	}
	g_bytes_unref(loss.shared_parts);
	loss.shared_parts = NULL;
	g_assert_cmpuint(fg_losses_take(&l, 2000, out), ==, 0);
	fg_losses_add(&l, &loss);
	g_assert_cmpuint(fg_losses_take(&l, 1001 + FG_LOSS_KEEP_MS, out), ==,
			 0);
}

/* ---- Balance ---- */

static const struct fg_balance_conf conf = {
	.prefill_tokens_per_ms = 25,
	.load_ms = 250,
	.reload_ms = 30,
	.load_penalty_ms = 300,
	.non_home_penalty_ms = 200,
	.home_utilization = 0.3,
	.cross_region_rtt_ms = 26,
	.cross_region_penalty_ms = 30,
	.plain_request_ms = 30,
};

#define MODEL_KEY 1
#define ADAPTER_KEY 2

static const struct fg_svc engine_service = { .engine = true, .slots = 64 };
static const struct fg_svc plain_service = { .engine = false };

static struct fg_fleet_ep *put_engine(struct fg_fleet *f, const char *id)
{
	struct fg_fleet_ep *ep = put_ep(f, 1000, id, false);
	struct fg_fleet_held held = { .key = MODEL_KEY, .version = 1 };

	ep->owner = 1;
	ep->spare_age_ms = 5000;
	fg_ep_set_resident(ep, 1000, &held, 1);
	return ep;
}

static void set_adapter_resident(struct fg_fleet_ep *ep)
{
	struct fg_fleet_held held[] = { { MODEL_KEY, 1 }, { ADAPTER_KEY, 1 } };

	fg_ep_set_resident(ep, 1000, held, 2);
}

static struct fg_balance_pick pick_endpoint(struct fg_fleet *f,
					    double tokens_per_s)
{
	struct fg_rand rand;
	struct fg_balance_query ask = {
		.service = "s",
		.svc = &engine_service,
		.region = "r1",
		.adapter = ADAPTER_KEY,
		.model = MODEL_KEY,
		.prompt_tokens = 100,
		.tokens_per_s = tokens_per_s,
	};

	fg_rand_seed(&rand, 1);
	return fg_balance_pick(&conf, f, 2000, &ask, &rand);
}

static void test_pick_prefers_resident(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *a = put_engine(f, "e1");
	struct fg_fleet_ep *b = put_engine(f, "e2");
	struct fg_fleet_ep *remote_ep = put_engine(f, "w1");

	set_adapter_resident(b);
	g_assert_true(pick_endpoint(f, 0).ep == b);
	g_assert_true(pick_endpoint(f, 0).resident);
	/* A short queue costs less than a load, a long one costs more. */
	b->peers_pending_tokens = 25 * 200;
	g_assert_true(pick_endpoint(f, 0).ep == b);
	b->peers_pending_tokens = 25 * 2000;
	g_assert_true(pick_endpoint(f, 0).ep != b);
	/* A resident adapter in another region beats a local load. */
	set_adapter_resident(remote_ep);
	g_assert_true(pick_endpoint(f, 0).ep == remote_ep);
	a->owner = 0;
	fg_fleet_free(f);
}

static void test_pick_home_is_stable(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *first;
	char id[8];

	for (int i = 0; i < 8; i++) {
		g_snprintf(id, sizeof(id), "e%d", i);
		put_engine(f, id);
	}
	first = pick_endpoint(f, 0).ep;
	for (int i = 0; i < 20; i++)
		g_assert_true(pick_endpoint(f, 0).ep == first);
	/* An endpoint without an owner or a base model cannot load adapters. */
	first->owner = 0;
	g_assert_true(pick_endpoint(f, 0).ep != first);
	first->owner = 1;
	fg_ep_set_resident(first, 1000, NULL, 0);
	g_assert_true(pick_endpoint(f, 0).ep != first);
	fg_fleet_free(f);
}

static void test_popular_adapter_spreads(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *first;
	char id[8];

	for (int i = 0; i < 8; i++) {
		g_snprintf(id, sizeof(id), "e%d", i);
		put_engine(f, id);
	}
	first = pick_endpoint(f, 0).ep;
	set_adapter_resident(first);
	first->pending_tokens = 25 * 400;
	g_assert_true(pick_endpoint(f, 0).ep == first);
	/* An adapter that saturates an endpoint gets a second home sooner. */
	first->pending_tokens = 25 * 650;
	g_assert_true(pick_endpoint(f, 25000).ep != first);
	fg_fleet_free(f);
}

static void test_pick_plain_service(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *local_ep = put_ep(f, 1000, "e1", false);
	struct fg_fleet_ep *remote_ep = put_ep(f, 1000, "w1", false);
	struct fg_rand rand;
	struct fg_balance_query ask = { .service = "s",
					.svc = &plain_service,
					.region = "r1" };

	fg_rand_seed(&rand, 1);
	g_assert_true(fg_balance_pick(&conf, f, 2000, &ask, &rand).ep ==
		      local_ep);
	local_ep->running = 30;
	g_assert_true(fg_balance_pick(&conf, f, 2000, &ask, &rand).ep ==
		      remote_ep);
	local_ep->running = 0;
	ask.avoid[0] = local_ep;
	ask.n_avoid = 1;
	g_assert_true(fg_balance_pick(&conf, f, 2000, &ask, &rand).ep ==
		      remote_ep);
	ask.n_avoid = 0;
	fg_health_record_failure(local_ep, 2000);
	fg_health_record_failure(local_ep, 2000);
	g_assert_true(fg_balance_pick(&conf, f, 2000, &ask, &rand).ep ==
		      remote_ep);
	put_ep(f, 2000, "e1", true);
	put_ep(f, 2000, "w1", true);
	g_assert_null(fg_balance_pick(&conf, f, 2000, &ask, &rand).ep);
	fg_fleet_free(f);
}

static void test_rank_order(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_balance_query ask = {
		.service = "s",
		.svc = &engine_service,
		.region = "r1",
		.adapter = ADAPTER_KEY,
	};
	struct fg_balance_pick out[3];
	struct fg_rand rand;
	char id[8];

	for (int i = 0; i < 6; i++) {
		struct fg_fleet_ep *ep;

		g_snprintf(id, sizeof(id), "e%d", i);
		ep = put_engine(f, id);
		set_adapter_resident(ep);
		ep->pending_tokens = 25 * 100 * (uint32_t)((i * 5) % 6);
	}
	fg_rand_seed(&rand, 1);
	g_assert_cmpuint(fg_balance_rank(&conf, f, 2000, &ask, &rand, out, 3),
			 ==, 3);
	/* Queueing delays of 0, 100 and 200 ms. */
	g_assert_cmpstr(out[0].ep->facts.id, ==, "e0");
	g_assert_cmpstr(out[1].ep->facts.id, ==, "e5");
	g_assert_cmpstr(out[2].ep->facts.id, ==, "e4");
	g_assert_true(out[0].cost_ms < out[1].cost_ms);
	g_assert_true(fg_balance_pick(&conf, f, 2000, &ask, &rand).ep ==
		      out[0].ep);
	ask.service = "none";
	g_assert_cmpuint(fg_balance_rank(&conf, f, 2000, &ask, &rand, out, 3),
			 ==, 0);
	fg_fleet_free(f);
}

static struct fg_fleet_ep *put_software(struct fg_fleet *f, const char *id,
					const char *software, uint64_t born)
{
	struct fg_ep_facts facts = { .slots = 6, .born = born };

	g_strlcpy(facts.id, id, sizeof(facts.id));
	g_strlcpy(facts.service, "s", sizeof(facts.service));
	g_strlcpy(facts.address, "10.0.0.1:80", sizeof(facts.address));
	g_strlcpy(facts.dc, "east", sizeof(facts.dc));
	g_strlcpy(facts.software, software, sizeof(facts.software));
	return fg_fleet_put(f, 1000, &facts);
}

/* A registry that comes back from an older copy shows the former start of an
 * endpoint, with its former version, until the endpoint writes again. */
static void test_restored_entry_of_former_start(void)
{
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *ep = put_software(f, "e1", "v1", 5);
	uint64_t v1 = ep->software;
	uint64_t v2;

	put_software(f, "e1", "v2", 7);
	v2 = ep->software;
	ep->error_rate = 0.5;
	fg_fleet_registry_restored(f, 1000);
	put_software(f, "e1", "v1", 5);
	g_assert_cmpuint(ep->software, ==, v2);
	g_assert_cmpuint(ep->facts.born, ==, 7);
	g_assert_cmpfloat(ep->error_rate, ==, 0.5);
	g_assert_true(fg_ep_is_usable(ep, 1000));
	/* Later, an earlier start is that of an endpoint whose clock was set.
	 */
	ep->facts.born = 7;
	fg_fleet_registry_restored(f, 1000 - FG_FLEET_LAPSE_GRACE_MS);
	put_software(f, "e1", "v1", 5);
	g_assert_cmpuint(ep->software, ==, v1);
	fg_fleet_free(f);
}

/* A stream goes on at another version when the required one is ignored, also
 * because the endpoints that have it are tried, slow or gone. */
static void test_required_software(void)
{
	struct fg_svc svc = { .engine = true };
	struct fg_fleet *f = fleet_new();
	struct fg_fleet_ep *a = put_software(f, "e1", "v1", 1);
	struct fg_fleet_ep *b = put_software(f, "e2", "v2", 1);
	struct fg_fleet_ep *unknown = put_software(f, "e3", "", 1);
	struct fg_rand rand;
	struct fg_balance_query ask = { .service = "s",
					.svc = &svc,
					.region = "r",
					.avoid = { a },
					.n_avoid = 1,
					.software = a->software };

	fg_rand_seed(&rand, 5);
	g_assert_cmpuint(a->software, !=, 0);
	g_assert_cmpuint(a->software, !=, b->software);
	g_assert_cmpuint(unknown->software, ==, 0);
	a->pending_tokens = 100000;
	g_assert_true(fg_balance_pick(&conf, f, 2000, &ask, &rand).ep == a);
	put_software(f, "e1", "v2", 2);
	g_assert_null(fg_balance_pick(&conf, f, 2000, &ask, &rand).ep);
	ask.software = FG_SOFTWARE_NONE;
	g_assert_null(fg_balance_pick(&conf, f, 2000, &ask, &rand).ep);
	ask.software = 0;
	g_assert_nonnull(fg_balance_pick(&conf, f, 2000, &ask, &rand).ep);
	fg_fleet_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/outage_noticed_late", test_outage_noticed_late);
	g_test_add_func("/fleet/outage_after_relayed_answer",
			test_outage_after_relayed_answer);
	g_test_add_func("/fleet/short_failure_is_no_outage",
			test_short_failure_is_no_outage);
	g_test_add_func("/fleet/registry_restored", test_registry_restored);
	g_test_add_func("/fleet/leaving_is_final", test_leaving_is_final);
	g_test_add_func("/fleet/said_leaving", test_said_leaving);
	g_test_add_func("/fleet/pause", test_pause);
	g_test_add_func("/fleet/leaving", test_leaving_is_not_usable);
	g_test_add_func("/fleet/lapse", test_lapse_in_outage);
	g_test_add_func("/fleet/lapse_of_draining",
			test_draining_does_not_lapse);
	g_test_add_func("/fleet/full_read", test_full_read_removes_missing);
	g_test_add_func("/fleet/restart", test_restart_resets_state);
	g_test_add_func("/fleet/adapter_table", test_adapter_table_eviction);
	g_test_add_func("/fleet/health", test_health_ejection);
	g_test_add_func("/fleet/uses", test_uses_totals);
	g_test_add_func("/fleet/losses", test_losses_ring);
	g_test_add_func("/balance/resident", test_pick_prefers_resident);
	g_test_add_func("/balance/home", test_pick_home_is_stable);
	g_test_add_func("/balance/popular", test_popular_adapter_spreads);
	g_test_add_func("/balance/plain", test_pick_plain_service);
	g_test_add_func("/balance/top", test_rank_order);
	g_test_add_func("/balance/required_software", test_required_software);
	g_test_add_func("/fleet/restored_entry_of_former_start",
			test_restored_entry_of_former_start);
	return g_test_run();
}
