/* A small engine with two slots, for the unit tests of lib/grant. */
#ifndef GRANT_FIXTURE_H
#define GRANT_FIXTURE_H

#include <glib.h>

#include "grant/fg_grant.h"

#define LIFE_MS 3000
#define GRANT_MAX_MS 10000

extern const struct fg_grants_conf grant_conf;

fg_av gfx_av(uint32_t adapter);
/* Adapters are named by their number in the fake engine's state. */
fg_av gfx_find(void *arg, const char *adapter, const char *version);
struct fg_engine_state gfx_engine(uint32_t a, uint32_t b, uint32_t running_a);
void gfx_see(struct fg_grants *g, fg_ms now, struct fg_engine_state st);
fg_grant_status gfx_ask(struct fg_grants *g, fg_ms now, uint64_t holder,
			uint64_t req, uint32_t adapter, uint64_t *grant);
enum fg_load_start_result gfx_load_start(struct fg_grants *g, fg_ms now,
					 uint32_t a);
void gfx_load(struct fg_grants *g, fg_ms now, uint32_t adapter);
/* Two slots with adapters 1 and 2. */
struct fg_grants *gfx_loaded(void);
void gfx_count_reply(void *arg, const struct fg_grant_request *ask,
		     fg_grant_status status, uint64_t grant);

#endif
