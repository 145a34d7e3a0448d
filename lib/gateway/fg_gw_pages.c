/* Address lookup, readiness, metrics and state dump. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

#define JSON "application/json"
#define TEXT "text/plain; version=0.0.4"
/* Callers read at most this many addresses from an answer. */
#define ADDRESSES_MAX 64

bool fg_gateway_ready(const struct fg_gateway *gw)
{
	return gw->routes != NULL &&
	       gw->feeds[FG_FEED_REGISTRY].full_read_done &&
	       !fg_gw_is_stopping(gw);
}

static void send_page(struct fg_caller *c, unsigned int status,
		      const char *type, const char *body)
{
	fg_caller_answer(c, status, NULL, 0, type, body, strlen(body));
	fg_caller_finish_answer(c);
}

/* ---- Address lookup ---- */

/* Addresses of the instances that serve callers, in `region` or, when that is
 * NULL, in all regions. Instances that are cut from the endpoints are left out
 * unless they are the most: the others could not take their callers too. The
 * caller frees the array. */
static GPtrArray *serving_addresses(struct fg_gateway *gw, const char *region,
				    fg_ms now)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);
	GPtrArray *out = g_ptr_array_new();
	GPtrArray *cut = g_ptr_array_new();

	if (fg_gateway_ready(gw) &&
	    (region == NULL || strcmp(region, gw->conf->region) == 0))
		g_ptr_array_add(gw->cut ? cut : out, gw->conf->front);
	for (guint i = 0; i < peers->len; i++) {
		struct fg_mesh_peer *p = peers->pdata[i];

		if (region != NULL && strcmp(region, p->row.region) != 0)
			continue;
		if (fg_peer_is_ready(p, now))
			g_ptr_array_add(out, p->row.front);
		else if (fg_peer_is_alive(p, now) && p->state == FG_MESH_CUT)
			g_ptr_array_add(cut, p->row.front);
	}
	if (cut->len > out->len)
		g_ptr_array_extend(out, cut, NULL, NULL);
	g_ptr_array_unref(cut);
	return out;
}

/* Reduces the array to a random sample of at most `max` entries. */
static void sample_addresses(GPtrArray *all, guint max, struct fg_rand *rand)
{
	for (guint i = 0; i < all->len && i < max; i++) {
		guint k = i + (guint)fg_rand_below(rand, all->len - i);
		gpointer chosen = all->pdata[k];

		all->pdata[k] = all->pdata[i];
		all->pdata[i] = chosen;
	}
	if (all->len > max)
		g_ptr_array_set_size(all, (gint)max);
}

static void answer_lookup(struct fg_caller *c, const struct fg_lookup *lookup)
{
	struct fg_gateway *gw = c->gw;
	fg_ms now = fg_clock_now();
	const char *region =
		lookup->region == NULL ? gw->conf->region : lookup->region;
	GPtrArray *found = serving_addresses(gw, region, now);
	GString *body = g_string_new(NULL);

	if (found->len == 0) {
		g_ptr_array_unref(found);
		found = serving_addresses(gw, NULL, now);
	}
	sample_addresses(found, ADDRESSES_MAX, &gw->rand);
	gw->wire->lookup_write(body, (const char *const *)found->pdata,
			       found->len, gw->conf->lookup_ttl_s);
	if (found->len == 0)
		send_page(c, HTTP_STATUS_SERVICE_UNAVAILABLE, NULL, "");
	else
		send_page(c, HTTP_STATUS_OK, JSON, body->str);
	g_string_free(body, TRUE);
	g_ptr_array_unref(found);
}

/* ---- State dump ---- */

static void append_endpoints(GString *out, const struct fg_gateway *gw,
			     fg_ms now)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);

	for (guint i = 0; i < all->len; i++) {
		const struct fg_fleet_ep *ep = all->pdata[i];
		const struct fg_ep_local *local = ep->user;

		g_string_append_printf(
			out,
			"endpoint %s service=%s address=%s usable=%d listed=%d "
			"running=%u+%u pending_tokens=%llu+%llu errors=%.2f "
			"slowness=%.2f fence=%llu spare_age_ms=%u "
			"paused_ms=%lld order_wait_ms=%lld sends=%llu "
			"limit_per_s=%g adapters=",
			ep->facts.id, ep->facts.service, ep->facts.address,
			fg_ep_is_usable(ep, now), ep->listed, ep->running,
			ep->peers_running,
			(unsigned long long)ep->pending_tokens,
			(unsigned long long)ep->peers_pending_tokens,
			ep->error_rate, ep->slowness,
			(unsigned long long)(local == NULL ? 0 : local->fence),
			ep->spare_age_ms,
			(long long)MAX(ep->paused_until - now, 0),
			(long long)(int32_t)fg_claims_order_wait_ms(
				gw->claims, now, ep->facts.id),
			(unsigned long long)ep->sends,
			ep->limited ? ep->limit_per_s : -1.0);
		for (uint32_t k = 0; k < ep->n_adapters; k++) {
			if (ep->adapters[k].version != 0)
				g_string_append_printf(
					out, "%016llx,",
					(unsigned long long)ep->adapters[k]
						.key);
		}
		g_string_append_c(out, '\n');
	}
}

static void append_peers(GString *out, const struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);

	for (guint i = 0; i < peers->len; i++) {
		const struct fg_mesh_peer *p = peers->pdata[i];

		g_string_append_printf(out,
				       "peer %s region=%s alive=%d state=%d\n",
				       p->row.name, p->row.region,
				       fg_peer_is_alive(p, now), (int)p->state);
	}
}

#define SUSPECTS_SHOWN_MAX 32

static void append_suspects(GString *out, const struct fg_gateway *gw,
			    fg_ms now)
{
	struct fg_suspect_view views[SUSPECTS_SHOWN_MAX];
	size_t n =
		fg_suspects_list(gw->suspects, now, views, SUSPECTS_SHOWN_MAX);

	for (size_t i = 0; i < MIN(n, SUSPECTS_SHOWN_MAX); i++)
		g_string_append_printf(
			out, "suspect %016llx crashes=%u refused=%d\n",
			(unsigned long long)views[i].fingerprint,
			views[i].crashes, views[i].refused);
}

static void append_blocked_parts(GString *out, const struct fg_gateway *gw,
				 fg_ms now)
{
	struct fg_blame_note notes[SUSPECTS_SHOWN_MAX];
	uint32_t n = fg_blame_list(gw->blame, now, notes, SUSPECTS_SHOWN_MAX);

	for (uint32_t i = 0; i < n; i++)
		g_string_append_printf(out,
				       "blocked_part %llx deaths=%u "
				       "since_ms=%u\n",
				       (unsigned long long)notes[i].part,
				       notes[i].deaths, notes[i].age_ms);
}

static char *format_state(struct fg_gateway *gw)
{
	fg_ms now = fg_clock_now();
	GString *out = g_string_new(NULL);

	g_string_append_printf(
		out,
		"instance %s region=%s ready=%d stopping=%d reads_store=%d "
		"cut=%d tunnels=%u "
		"configuration=%llu requests=%u callers=%u era=%llu "
		"proof_age_ms=%lld\n",
		gw->conf->name, gw->conf->region, fg_gateway_ready(gw),
		fg_gw_is_stopping(gw), gw->reader == 0, gw->cut,
		gw->tunnels->len,
		(unsigned long long)(gw->routes == NULL ? 0
							: gw->routes->version),
		gw->reqs->len, gw->callers->len,
		(unsigned long long)gw->era.known,
		(long long)(int32_t)fg_claims_proof_age_ms(gw->claims, now));
	for (int i = 0; i < FG_FEED_COUNT; i++)
		g_string_append_printf(
			out,
			"feed %s version=%llu failures=%u age_ms=%lld "
			"calls=%u\n",
			gw->feeds[i].table,
			(unsigned long long)gw->feeds[i].synced_version,
			gw->feeds[i].failures,
			(long long)(now - gw->feeds[i].confirmed_at),
			gw->feeds[i].store_calls);
	fg_gw_catchup_append_state(out, gw);
	append_endpoints(out, gw, now);
	append_peers(out, gw, now);
	fg_gw_quota_append_state(out, gw, now);
	fg_gw_overload_append_state(out, gw, now);
	append_suspects(out, gw, now);
	append_blocked_parts(out, gw, now);
	return g_string_free(out, FALSE);
}

/* ---- Metrics ---- */

static const char *wait_label(enum fg_gwreq_state state)
{
	switch (state) {
	case FG_GWREQ_WAIT_TOTALS:
		return "totals";
	case FG_GWREQ_WAIT_LOAD:
		return "load";
	case FG_GWREQ_WAIT_RETRY:
		return "place";
	case FG_GWREQ_WAIT_ORIGIN:
		return "origin";
	default:
		return "endpoint";
	}
}

/* Sets the number of unanswered requests in each state, and the age of the
 * oldest one. */
static void set_wait_gauges(struct fg_gateway *gw, fg_ms now)
{
	for (int state = FG_GWREQ_WAIT_TOTALS; state <= FG_GWREQ_WAIT_ORIGIN;
	     state++) {
		char *labels = g_strdup_printf(
			"for=\"%s\"", wait_label((enum fg_gwreq_state)state));
		fg_ms oldest_ms = 0;
		int64_t n = 0;

		for (guint i = 0; i < gw->reqs->len; i++) {
			const struct fg_gwreq *r = gw->reqs->pdata[i];

			if ((int)r->state != state || r->first_at != 0)
				continue;
			n++;
			oldest_ms = MAX(oldest_ms, now - r->arrived_at);
		}
		fg_gauge_set(fg_metrics_gauge(gw->metrics, "fg_gw_waiting",
					      labels,
					      "requests without an answer"),
			     n);
		fg_gauge_set(fg_metrics_gauge(gw->metrics, "fg_gw_waiting_ms",
					      labels, "age of the oldest"),
			     oldest_ms);
		g_free(labels);
	}
}

static void set_budget_gauges(struct fg_gateway *gw, fg_ms now)
{
	GHashTableIter it;
	gpointer service;
	gpointer budget;

	g_hash_table_iter_init(&it, gw->retry_budgets);
	while (g_hash_table_iter_next(&it, &service, &budget)) {
		char *labels = g_strdup_printf("service=\"%s\"",
					       (const char *)service);

		fg_gauge_set(
			fg_metrics_gauge(gw->metrics, "fg_gw_repeats_left",
					 labels, "repeats left in the budget"),
			fg_retry_budget_left(budget, now, FG_CLASS_STATUS));
		g_free(labels);
	}
}

static void set_gauges(struct fg_gateway *gw)
{
	fg_ms now = fg_clock_now();
	struct fg_metrics *m = gw->metrics;

	fg_gauge_set(fg_metrics_gauge(m, "fg_gw_requests_in_progress", NULL,
				      "requests not yet answered"),
		     gw->reqs->len);
	fg_gauge_set(fg_metrics_gauge(m, "fg_gw_configuration_version", NULL,
				      "version of the configuration in force"),
		     gw->routes == NULL ? 0 : (int64_t)gw->routes->version);
	fg_gauge_set(fg_metrics_gauge(m, "fg_gw_blocked_parts", NULL,
				      "prompt parts that crash endpoints"),
		     fg_blame_count(gw->blame));
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		char *labels =
			g_strdup_printf("table=\"%s\"", gw->feeds[i].table);

		fg_gauge_set(fg_metrics_gauge(m, "fg_gw_feed_age_ms", labels,
					      "time since the last answer"),
			     now - gw->feeds[i].confirmed_at);
		fg_gauge_set(fg_metrics_gauge(m, "fg_gw_feed_version", labels,
					      "version read so far"),
			     (int64_t)gw->feeds[i].synced_version);
		g_free(labels);
	}
	fg_gw_quota_set_gauges(gw);
	fg_gw_memory_set_gauges(gw);
	set_wait_gauges(gw, now);
	set_budget_gauges(gw, now);
}

static void answer_metrics(struct fg_caller *c)
{
	char *text;

	if (strcmp(fg_h1_target(&c->h1.head), "/state") == 0) {
		text = format_state(c->gw);
	} else {
		set_gauges(c->gw);
		text = fg_metrics_render(c->gw->metrics);
	}
	send_page(c, HTTP_STATUS_OK, TEXT, text);
	g_free(text);
}

void fg_pages_answer(struct fg_caller *c)
{
	const struct fg_wire_ops *wire = c->gw->wire;
	struct fg_lookup lookup;

	if (c->kind == FG_PORT_METRICS) {
		answer_metrics(c);
	} else if (c->kind == FG_PORT_RELAY) {
		fg_gw_relay_answer_call(c);
	} else if (wire->is_ready_check(&c->h1.head)) {
		send_page(c,
			  fg_gateway_ready(c->gw)
				  ? HTTP_STATUS_OK
				  : HTTP_STATUS_SERVICE_UNAVAILABLE,
			  NULL, "");
	} else if (wire->is_lookup(&c->h1.head, &lookup)) {
		answer_lookup(c, &lookup);
		fg_lookup_clear(&lookup);
	} else {
		send_page(c, HTTP_STATUS_NOT_FOUND, NULL, "");
	}
}
