#include "grant_fixture.h"

#include <stdio.h>

const struct fg_grants_conf grant_conf = {
	.ep = 77,
	.fence = 5,
	.slots = 2,
	.batch = 2,
	.grant_max_ms = GRANT_MAX_MS,
	.queue_max = 3,
};

fg_av gfx_av(uint32_t adapter)
{
	return (fg_av){ adapter, 1 };
}

fg_av gfx_find_av(void *arg, const char *adapter, const char *version)
{
	(void)arg;
	(void)version;
	return gfx_av((uint32_t)g_ascii_strtoull(adapter, NULL, 10));
}

struct fg_engine_state gfx_engine_state(uint32_t a, uint32_t b,
					uint32_t running_a)
{
	struct fg_engine_state st = { .epoch = 1, .slots = 2, .batch = 2 };

	if (a != 0)
		snprintf(st.slot[0].adapter, FG_NAME_BYTES, "%u", a);
	if (b != 0)
		snprintf(st.slot[1].adapter, FG_NAME_BYTES, "%u", b);
	st.slot[0].running = running_a;
	return st;
}

void gfx_report_state(struct fg_grants *g, fg_ms now, struct fg_engine_state st)
{
	fg_grants_on_engine_state(g, now, now, &st, gfx_find_av, NULL);
}

fg_grant_status gfx_request(struct fg_grants *g, fg_ms now, uint64_t holder,
			    uint64_t req, uint32_t adapter, uint64_t *grant)
{
	struct fg_grant_request request = { .holder = holder,
					    .req_id = req,
					    .av = gfx_av(adapter),
					    .cls = FG_CLASS_INTERACTIVE,
					    .budget_ms = 5000 };

	return fg_grants_request(g, now, &request, grant);
}

enum fg_load_start_result gfx_start_load(struct fg_grants *g, fg_ms now,
					 uint32_t a)
{
	uint32_t slot;
	fg_av victim;

	return fg_grants_start_load(g, now, gfx_av(a), gfx_av(0), NULL, NULL,
				    &slot, &victim);
}

void gfx_load_adapter(struct fg_grants *g, fg_ms now, uint32_t adapter)
{
	uint32_t slot;
	fg_av victim;

	g_assert_cmpint(fg_grants_start_load(g, now, gfx_av(adapter), gfx_av(0),
					     NULL, NULL, &slot, &victim),
			==, FG_LOAD_START_OK);
	fg_grants_finish_load(g, now, slot, FG_ORDER_DONE, LIFE_MS);
}

struct fg_grants *gfx_new_loaded(void)
{
	struct fg_grants *g = fg_grants_new(&grant_conf, 0, false);

	gfx_load_adapter(g, 1, 1);
	gfx_load_adapter(g, 2, 2);
	return g;
}

void gfx_count_reply(void *arg, const struct fg_grant_request *request,
		     fg_grant_status status, uint64_t grant)
{
	uint32_t *counts = arg;

	(void)request;
	g_assert_true((status == FG_GRANT_OK) == (grant != 0));
	counts[status]++;
}
