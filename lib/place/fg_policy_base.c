/*
 * Baseline policies "strong" and "naive". Both load in order of arrival and
 * name no victim: the endpoint's owner evicts the least recently used adapter.
 */
#include "place/fg_place_priv.h"

static struct fg_demand *next_in_arrival_order(const struct fg_broker *b,
					       fg_ms now,
					       struct fg_demand **demands,
					       size_t n)
{
	struct fg_demand *best = demands[0];

	(void)b;
	(void)now;
	for (size_t i = 1; i < n; i++)
		if (demands[i]->first_need_at < best->first_need_at)
			best = demands[i];
	return best;
}

/* ---- strong: rendezvous hashing with two candidates ---- */

struct candidates {
	const struct fg_dir_ep *e[2];
	uint64_t score[2];
};

static void find_candidates(const struct fg_broker *b, fg_av av,
			    struct candidates *c)
{
	for (guint i = 0; i < b->dir->eps->len; i++) {
		const struct fg_dir_ep *e = b->dir->eps->pdata[i];
		uint64_t score = fg_hash_mix(e->id, fg_av_key(av));

		if (!fg_dir_ep_is_usable(e, b->service) ||
		    e->region != b->region)
			continue;
		if (c->e[0] == NULL || score > c->score[0]) {
			c->e[1] = c->e[0];
			c->score[1] = c->score[0];
			c->e[0] = e;
			c->score[0] = score;
		} else if (c->e[1] == NULL || score > c->score[1]) {
			c->e[1] = e;
			c->score[1] = score;
		}
	}
}

static bool choose_affinity(const struct fg_broker *b, fg_ms now,
			    const struct fg_demand *demand, fg_place *place)
{
	struct candidates c = { 0 };
	const struct fg_dir_ep *best = NULL;

	find_candidates(b, demand->av, &c);
	for (int i = 0; i < 2; i++) {
		if (c.e[i] == NULL ||
		    !fg_broker_can_load_on(b, now, demand, c.e[i]))
			continue;
		if (best == NULL ||
		    fg_dir_ep_utilization(c.e[i]) < fg_dir_ep_utilization(best))
			best = c.e[i];
	}
	if (best == NULL)
		return false;
	place->ep = best->id;
	return true;
}

const struct fg_policy fg_policy_strong = {
	.name = "strong",
	.next_load = next_in_arrival_order,
	.choose_endpoint = choose_affinity,
};

/* ---- naive: the least loaded endpoint ---- */

static bool choose_least_loaded(const struct fg_broker *b, fg_ms now,
				const struct fg_demand *demand, fg_place *place)
{
	const struct fg_dir_ep *best = NULL;
	uint64_t best_tie = 0;

	for (guint i = 0; i < b->dir->eps->len; i++) {
		const struct fg_dir_ep *e = b->dir->eps->pdata[i];
		uint64_t tie = fg_hash_mix(e->id, b->next_order);

		if (!fg_broker_can_load_on(b, now, demand, e))
			continue;
		if (best == NULL ||
		    fg_dir_ep_utilization(e) < fg_dir_ep_utilization(best) ||
		    (fg_dir_ep_utilization(e) == fg_dir_ep_utilization(best) &&
		     tie > best_tie)) {
			best = e;
			best_tie = tie;
		}
	}
	if (best == NULL)
		return false;
	place->ep = best->id;
	return true;
}

const struct fg_policy fg_policy_naive = {
	.name = "naive",
	.next_load = next_in_arrival_order,
	.choose_endpoint = choose_least_loaded,
};
