/* How long requests take: what is kept of earlier ones, and estimates. */
#include "gateway/fg_gateway_internal.h"

/* Assumed duration of a plain request of a route of which none was answered
 * lately, unless the route's time limit is shorter. */
#define UNKNOWN_MS 3000
/* Of a stream of a service without any, for each token; UNKNOWN_MS at least. */
#define UNKNOWN_TOKEN_MS 150
#define UNKNOWN_TOOK UINT32_MAX
/* Routes, or services, of which something is kept. */
#define NAMES_MAX 8192

void *fg_gw_get_named(GHashTable *all, const char *name, size_t size)
{
	void *record = g_hash_table_lookup(all, name);

	if (record != NULL)
		return record;
	if (g_hash_table_size(all) >= NAMES_MAX)
		g_hash_table_remove_all(all);
	record = g_malloc0(size);
	g_hash_table_insert(all, g_strdup(name), record);
	return record;
}

/* A name is optional in the configuration, a prefix is not. */
static struct fg_took *route_took(const struct fg_gwreq *r)
{
	const struct fg_route *route = r->route;

	return fg_gw_get_named(
		r->gw->took, route->name != NULL ? route->name : route->prefix,
		sizeof(struct fg_took));
}

static struct fg_pace *service_pace(const struct fg_gwreq *r)
{
	return fg_gw_get_named(r->gw->paces, r->service->name,
			       sizeof(struct fg_pace));
}

static struct fg_pace_gaps *endpoint_gaps(const struct fg_gwreq *r,
					  const struct fg_fleet_ep *ep)
{
	return fg_gw_get_named(r->gw->endpoint_gaps, ep->facts.id,
			       sizeof(struct fg_pace_gaps));
}

/* Returns whether the request states how long its answer may get. */
static bool has_length(const struct fg_gwreq *r)
{
	return r->route->streaming && r->call.has_tokens &&
	       r->call.output_tokens > 0;
}

static void note_pace(const struct fg_gwreq *r, fg_ms now, bool ended)
{
	fg_ms begun_at = r->begun_at == 0 ? now : r->begun_at;
	struct fg_pace_run run = {
		.first_ms = (uint32_t)MAX(begun_at - r->sent_at, 0),
		.events_ms = (uint32_t)(now - begun_at),
		.n_events = r->events.n_complete - r->n_events_before,
		.n_events_before = r->n_events_before,
		.tokens = r->call.output_tokens,
		.ended = ended,
	};

	if (r->sent_at != 0 && r->ep != NULL)
		fg_pace_note(service_pace(r), endpoint_gaps(r, r->ep), now,
			     &run);
}

void fg_gw_took_note(const struct fg_gwreq *r, fg_ms now, bool ended)
{
	fg_took_note(route_took(r), now, (uint32_t)(now - r->arrived_at));
	if (has_length(r))
		note_pace(r, now, ended);
}

/* A stream lasts as long as its length and the pace allow. */
static struct fg_gw_estimate estimate_stream(const struct fg_gwreq *r,
					     const struct fg_fleet_ep *ep,
					     fg_ms now)
{
	struct fg_gw_estimate e = { fg_gwreq_time_left_ms(r, now), "limit" };
	struct fg_pace_ask ask = {
		.tokens = r->call.output_tokens,
		.endpoint = ep == NULL ? NULL : endpoint_gaps(r, ep),
	};
	uint64_t longest_ms = fg_pace_longest_ms(service_pace(r), now, &ask);
	bool known = longest_ms != FG_PACE_UNKNOWN;

	if (!known)
		longest_ms = MAX(UNKNOWN_MS,
				 (uint64_t)ask.tokens * UNKNOWN_TOKEN_MS);
	if (longest_ms < e.longest_ms) {
		e.longest_ms = (uint32_t)longest_ms;
		e.evidence = known ? "pace" : "none";
	}
	return e;
}

struct fg_gw_estimate fg_gw_took_estimate(const struct fg_gwreq *r,
					  const struct fg_fleet_ep *ep,
					  fg_ms now)
{
	struct fg_gw_estimate e = { 0, "history" };

	if (has_length(r))
		return estimate_stream(r, ep, now);
	e.longest_ms = fg_took_longest_ms(route_took(r), now, UNKNOWN_TOOK);
	if (e.longest_ms != UNKNOWN_TOOK)
		return e;
	e.longest_ms = UNKNOWN_MS;
	e.evidence = "none";
	if (r->route->timeout_ms > 0 && r->route->timeout_ms < UNKNOWN_MS) {
		e.longest_ms = r->route->timeout_ms;
		e.evidence = "limit";
	}
	return e;
}
