#include "fl_plan.h"

#include <math.h>

#include "base/fg_rand.h"

struct fl_plan {
	const struct fl_conf *conf;
	struct fg_rand rand;
	double *cumulative_share; /* cumulative distribution by rank */
	uint32_t *by_rank;	  /* adapter at each popularity rank */
	uint32_t n_planned;	  /* requests planned so far */
	uint32_t n_filings;	  /* filings planned so far */
};

static void init_popularity(struct fl_plan *plan)
{
	uint32_t n = plan->conf->n_adapters;
	double sum = 0;

	for (uint32_t i = 0; i < n; i++) {
		sum += 1 / pow(i + 1, plan->conf->zipf);
		plan->cumulative_share[i] = sum;
	}
	for (uint32_t i = 0; i < n; i++)
		plan->cumulative_share[i] /= sum;
}

struct fl_plan *fl_plan_new(const struct fl_conf *conf)
{
	struct fl_plan *plan = g_new0(struct fl_plan, 1);

	plan->conf = conf;
	plan->cumulative_share = g_new0(double, conf->n_adapters);
	plan->by_rank = g_new0(uint32_t, conf->n_adapters);
	fg_rand_seed(&plan->rand, conf->seed);
	init_popularity(plan);
	for (uint32_t i = 0; i < conf->n_adapters; i++)
		plan->by_rank[i] = i;
	return plan;
}

void fl_plan_free(struct fl_plan *plan)
{
	g_free(plan->cumulative_share);
	g_free(plan->by_rank);
	g_free(plan);
}

/* Assigns random popularity ranks to the adapters (Fisher-Yates shuffle). */
static void shuffle_popularity(struct fl_plan *plan)
{
	for (uint32_t i = plan->conf->n_adapters - 1; i > 0; i--) {
		uint32_t j = (uint32_t)fg_rand_below(&plan->rand, i + 1);
		uint32_t swap = plan->by_rank[i];

		plan->by_rank[i] = plan->by_rank[j];
		plan->by_rank[j] = swap;
	}
}

static uint32_t pick_adapter(struct fl_plan *plan)
{
	double u = fg_rand_unit(&plan->rand);
	uint32_t low = 0;
	uint32_t high = plan->conf->n_adapters - 1;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;

		if (plan->cumulative_share[mid] < u)
			low = mid + 1;
		else
			high = mid;
	}
	return plan->by_rank[low];
}

static enum fg_class pick_class(struct fl_plan *plan)
{
	const uint32_t *mix = plan->conf->mix;
	uint64_t sum = 0;
	uint64_t u;

	for (int i = 0; i < FG_CLASS_COUNT; i++)
		sum += mix[i];
	if (sum == 0)
		return FG_CLASS_INTERACTIVE;
	u = fg_rand_below(&plan->rand, sum);
	for (int i = 0; i < FG_CLASS_COUNT; i++) {
		if (u < mix[i])
			return (enum fg_class)i;
		u -= mix[i];
	}
	return FG_CLASS_INTERACTIVE;
}

static char *make_prompt(struct fl_plan *plan, enum fg_class cls)
{
	static const char *const crops[] = { "chard",	"oranges",  "pumpkins",
					     "lettuce", "tomatoes", "pears" };
	const char *crop = crops[fg_rand_below(&plan->rand, 6)];
	uint32_t kg = 10 + (uint32_t)fg_rand_below(&plan->rand, 90);

	if (cls == FG_CLASS_DRAFT)
		return g_strdup_printf("Draft the menu of week %u from the "
				       "harvest notice: %u kg of %s.",
				       plan->n_planned % 52 + 1, kg, crop);
	return g_strdup_printf("Summarise delivery manifest %u: %u kg of %s.",
			       plan->n_planned, kg, crop);
}

static char *make_key(const struct fl_plan *plan, uint32_t filing)
{
	return g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%u",
			       plan->conf->caller, plan->conf->seed, filing);
}

static void fill_generation(struct fl_plan *plan, struct fl_req *req)
{
	uint32_t adapter = pick_adapter(plan);

	req->adapter = plan->conf->adapters[adapter];
	req->version = plan->conf->versions[adapter];
	req->prompt = make_prompt(plan, req->cls);
}

static void fill_plain(struct fl_plan *plan, struct fl_req *req)
{
	uint64_t n = plan->conf->n_services;
	uint32_t filing;

	req->service = plan->conf->services[fg_rand_below(&plan->rand, n)];
	if (req->cls == FG_CLASS_FILING)
		filing = ++plan->n_filings;
	else
		filing = (uint32_t)fg_rand_below(&plan->rand,
						 plan->n_filings + 1);
	req->key = make_key(plan, filing);
}

bool fl_is_generation(enum fg_class cls)
{
	return cls == FG_CLASS_INTERACTIVE || cls == FG_CLASS_DRAFT;
}

struct fl_req *fl_plan_next(struct fl_plan *plan)
{
	struct fl_req *req = g_new0(struct fl_req, 1);

	plan->n_planned++;
	if (plan->conf->shift_at > 0 && plan->n_planned == plan->conf->shift_at)
		shuffle_popularity(plan);
	req->index = plan->n_planned;
	req->cls = pick_class(plan);
	req->adapter = "";
	req->version = "";
	req->service = "";
	if (fl_is_generation(req->cls))
		fill_generation(plan, req);
	else
		fill_plain(plan, req);
	return req;
}

void fl_req_free(struct fl_req *req)
{
	g_free(req->prompt);
	g_free(req->key);
	g_free(req);
}
