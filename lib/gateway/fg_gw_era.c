/* Eras of the store, and proofs that this instance still owns its engines. */
#include "gateway/fg_gateway_internal.h"

/* Age of the newest proof from which an instance that reads the store asks for
 * another one. A part depends on the instance, so that one call serves all that
 * hear of it in heartbeats. */
#define PROOF_REFRESH_MS 900
#define PROOF_SPREAD_MS 300
/* Minimum time between two such calls. */
#define PROOF_GAP_MS 300
#define PROOF_TIMEOUT_MS 600

/* ---- Eras ---- */

static void log_era(const struct fg_gateway *gw, const char *source)
{
	char era[24];
	char config[24];
	char proof[12];

	g_snprintf(era, sizeof(era), "%llu", (unsigned long long)gw->era.known);
	g_snprintf(config, sizeof(config), "%llu",
		   (unsigned long long)(gw->routes == NULL
						? 0
						: gw->routes->version));
	g_snprintf(proof, sizeof(proof), "%u",
		   fg_claims_proof_age_ms(gw->claims, fg_clock_now()));
	fg_log(FG_LOG_WARN, "sync", "store_restored", "era", era,
	       "learned_from", source, "configuration", config, "proof_age_ms",
	       proof, NULL);
}

/* What the store has lost is read and written again. The configuration in
 * force, announced versions, leaving and removed endpoints stay known. */
static void start_era(struct fg_gateway *gw, const struct fg_channel *from,
		      const char *source)
{
	fg_ms now = fg_clock_now();

	log_era(gw, source);
	fg_gw_count_event(gw, "eras", NULL);
	fg_claims_start_era(gw->claims, now, gw->era.known);
	fg_fleet_registry_restored(gw->fleet, now);
	fg_gw_catchup_on_era(gw);
	gw->own_row_written = false;
	gw->own_row_exists = false;
	gw->own_row_version = 0;
	fg_blame_save_again(gw->blame);
	/* Claims wait until the others have heard of the era as well. */
	gw->own_table_known_at = 0;
	gw->proving_since = 0;
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		struct fg_feed *f = &gw->feeds[i];

		fg_sync_start_full_read(f);
		if (f->channel != from && fg_channel_is_busy(f->channel))
			fg_channel_abort(f->channel);
	}
}

static uint64_t on_store_head(void *ctx, const struct fg_channel *c,
			      const struct fg_h1_head *head)
{
	struct fg_gateway *gw = ctx;
	const char *reason;
	uint64_t era = 0;
	int error = gw->wire->era_read(head, &era);

	if (error == EINVAL && !gw->era.refused)
		fg_log(FG_LOG_WARN, "sync", "era_not_a_number", NULL);
	switch (fg_era_observe(&gw->era, error, era, FG_STORE_ERA_MAX,
			       &reason)) {
	case FG_ERA_ADVANCED:
		start_era(gw, c, "store");
		return FG_STORE_ANSWER_USABLE;
	case FG_ERA_REFUSED:
		if (reason != NULL)
			fg_log(FG_LOG_WARN, "sync", "era_refused", "reason",
			       reason, NULL);
		fg_gw_count_event(gw, "era_refusals", NULL);
		return FG_STORE_ANSWER_REFUSED;
	default:
		fg_claims_set_era(gw->claims, gw->era.known);
		return FG_STORE_ANSWER_USABLE;
	}
}

struct fg_channel *fg_gw_store_channel_new(struct fg_gateway *gw)
{
	struct fg_channel *c = fg_channel_new(&gw->loop, gw->conf->store);

	fg_channel_set_head_hook(c, on_store_head, gw);
	return c;
}

bool fg_gw_store_answer_usable(const struct fg_channel *c, unsigned int status)
{
	return status == 0 ||
	       fg_channel_head_result(c) == FG_STORE_ANSWER_USABLE;
}

void fg_gw_era_on_version(struct fg_gateway *gw, uint64_t version)
{
	if (fg_era_advance(&gw->era, fg_store_era(version), FG_STORE_ERA_MAX))
		start_era(gw, NULL, "instance");
}

/* ---- Proofs ---- */

void fg_gw_prove(struct fg_gateway *gw, fg_ms when)
{
	fg_claims_prove(gw->claims, when);
	if (fg_claims_proof_age_ms(gw->claims, when) == 0)
		gw->own_read_at = when;
}

uint32_t fg_gw_own_read_age_ms(const struct fg_gateway *gw, fg_ms now)
{
	if (gw->own_read_at == 0 ||
	    fg_claims_proof_age_ms(gw->claims, now) == UINT32_MAX)
		return UINT32_MAX;
	return (uint32_t)(now - gw->own_read_at);
}

static void on_proof(void *ctx, unsigned int status, const char *body,
		     size_t len)
{
	struct fg_gateway *gw = ctx;
	struct fg_feed *own = &gw->feeds[FG_FEED_OWN];
	struct fg_store_rows rows;

	/* The feed itself reads the history again when it is lost. */
	if (status != HTTP_STATUS_OK ||
	    !fg_gw_store_answer_usable(gw->proof_channel, status) ||
	    own->in_full_read) {
		fg_gw_count_event(gw, "proof_failures", NULL);
		return;
	}
	if (!fg_sync_read_list(gw, own->table, body, len, &rows))
		return;
	fg_store_rows_set_era(&rows, gw->era.known);
	fg_sync_apply_own(gw, &rows, gw->proof_sent_at);
	fg_store_rows_clear(&rows);
}

static void note_proof(struct fg_gateway *gw, bool proves, uint32_t age_ms,
		       fg_ms now)
{
	char age[12];

	if (proves == (gw->proving_since != 0))
		return;
	gw->proving_since = proves ? now : 0;
	if (gw->conf->fences_checked)
		return;
	g_snprintf(age, sizeof(age), "%d", (int)age_ms);
	fg_log(proves ? FG_LOG_INFO : FG_LOG_WARN, "orders",
	       proves ? "proof_gained" : "proof_lost", "age_ms", age, "reads",
	       gw->reader == 0 ? "store" : gw->reader_address, NULL);
	if (!proves)
		fg_gw_count_event(gw, "proofs_lost", NULL);
}

void fg_gw_proof_tick(struct fg_gateway *gw, fg_ms now)
{
	const struct fg_feed *own = &gw->feeds[FG_FEED_OWN];
	uint32_t age_ms = fg_claims_proof_age_ms(gw->claims, now);
	uint32_t refresh_ms =
		PROOF_REFRESH_MS +
		(uint32_t)(fg_hash_str(gw->conf->name) % PROOF_SPREAD_MS);

	note_proof(gw, age_ms < FG_CLAIM_PROOF_MAX_MS, age_ms, now);
	if (gw->conf->fences_checked || gw->reader != 0 ||
	    !own->full_read_done || own->in_full_read ||
	    fg_channel_is_busy(gw->proof_channel) ||
	    now - gw->proof_sent_at < PROOF_GAP_MS || age_ms < refresh_ms)
		return;
	gw->proof_sent_at = now;
	fg_gw_count_event(gw, "store_calls", NULL);
	fg_gw_count_event(gw, "proof_calls", NULL);
	fg_channel_send(
		gw->proof_channel,
		gw->wire->rows_feed(gw->conf->store, own->table,
				    fg_store_number(own->synced_version), 0),
		PROOF_TIMEOUT_MS, on_proof, gw);
}
