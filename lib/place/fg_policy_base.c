/*
 * The baselines. Both load first come, first served, and leave the victim to
 * the owner, which evicts what was used least recently.
 */
#include "place/fg_place_priv.h"

static struct fg_want *next_first_come(const struct fg_broker *b, fg_ms now,
				       struct fg_want **wants, size_t n)
{
	struct fg_want *best = wants[0];

	(void)b;
	(void)now;
	for (size_t i = 1; i < n; i++)
		if (wants[i]->first_at < best->first_at)
			best = wants[i];
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
	for (guint i = 0; i < b->dir->list->len; i++) {
		const struct fg_dir_ep *e = b->dir->list->pdata[i];
		uint64_t score = fg_hash_mix(e->id, fg_av_key(av));

		if (!fg_dir_ep_usable(e, b->service) || e->region != b->region)
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
			    const struct fg_want *w, fg_place *place)
{
	struct candidates c = { 0 };
	const struct fg_dir_ep *best = NULL;

	find_candidates(b, w->av, &c);
	for (int i = 0; i < 2; i++) {
		if (c.e[i] == NULL || !fg_broker_ep_open(b, now, w, c.e[i]))
			continue;
		if (best == NULL ||
		    fg_dir_ep_fill(c.e[i]) < fg_dir_ep_fill(best))
			best = c.e[i];
	}
	if (best == NULL)
		return false;
	place->ep = best->id;
	return true;
}

const struct fg_policy fg_policy_strong = {
	.name = "strong",
	.next = next_first_come,
	.choose = choose_affinity,
};

/* ---- naive: the least loaded endpoint ---- */

static bool choose_least_loaded(const struct fg_broker *b, fg_ms now,
				const struct fg_want *w, fg_place *place)
{
	const struct fg_dir_ep *best = NULL;
	uint64_t best_tie = 0;

	for (guint i = 0; i < b->dir->list->len; i++) {
		const struct fg_dir_ep *e = b->dir->list->pdata[i];
		uint64_t tie = fg_hash_mix(e->id, b->next_order);

		if (!fg_broker_ep_open(b, now, w, e))
			continue;
		if (best == NULL || fg_dir_ep_fill(e) < fg_dir_ep_fill(best) ||
		    (fg_dir_ep_fill(e) == fg_dir_ep_fill(best) &&
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
	.next = next_first_come,
	.choose = choose_least_loaded,
};
