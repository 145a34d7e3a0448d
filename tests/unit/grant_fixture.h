/* Fixture for the unit tests of lib/grant: an engine with two slots. */
#ifndef GRANT_FIXTURE_H
#define GRANT_FIXTURE_H

#include <glib.h>

#include "grant/fg_grant.h"

#define LIFE_MS 3000
#define GRANT_MAX_MS 10000

extern const struct fg_grants_conf grant_conf;

fg_av gfx_av(uint32_t adapter);

/* Maps the decimal names in the fake engine's state to adapters. */
fg_av gfx_find_av(void *arg, const char *adapter, const char *version);

/* State with adapters a and b in slots 0 and 1 (0: empty), and `running_a`
 * requests in slot 0. */
struct fg_engine_state gfx_engine_state(uint32_t a, uint32_t b,
					uint32_t running_a);

/* Applies an engine state that was asked for now. */
void gfx_report_state(struct fg_grants *g, fg_ms now,
		      struct fg_engine_state st);

/* Requests a grant with an interactive class and a budget of 5 s. */
fg_grant_status gfx_request(struct fg_grants *g, fg_ms now, uint64_t holder,
			    uint64_t req, uint32_t adapter, uint64_t *grant);

/* Starts a load; gfx_load_adapter() also finishes it successfully. */
enum fg_load_start_result gfx_start_load(struct fg_grants *g, fg_ms now,
					 uint32_t a);
void gfx_load_adapter(struct fg_grants *g, fg_ms now, uint32_t adapter);

/* Creates grants with adapters 1 and 2 loaded; the caller frees them. */
struct fg_grants *gfx_new_loaded(void);

/* Reply callback: counts by status in the uint32_t array `arg`. */
void gfx_count_reply(void *arg, const struct fg_grant_request *request,
		     fg_grant_status status, uint64_t grant);

#endif
