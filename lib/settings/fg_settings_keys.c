/* The keys of the settings file. */
#include "settings/fg_settings_keys.h"

#include <stddef.h>

#define SECOND_MS 1000u
#define MINUTE_MS (60u * SECOND_MS)
#define HOUR_MS (60u * MINUTE_MS)
#define KIB 1024u
#define MIB (1024u * KIB)

#define OFFSET(member) offsetof(struct fg_settings, member)
#define LIMIT(key, min, max, default_value)                                    \
	{                                                                      \
#key, FG_KEY_U32, false, OFFSET(limits.key), min, max,         \
			default_value                                          \
	}
#define TIMING(key, min, max, default_value)                                   \
	{                                                                      \
#key, FG_KEY_U32, false, OFFSET(timing.key), min, max,         \
			default_value                                          \
	}
#define SWITCH(key)                                                            \
	{                                                                      \
#key, FG_KEY_BOOL, false, OFFSET(switches.key), 0, 0, 0        \
	}

static const struct fg_key top_keys[] = {
	{ "name", FG_KEY_NAME, true, OFFSET(name), 0, 0, 0 },
	{ "region", FG_KEY_NAME, true, OFFSET(region), 0, 0, 0 },
	{ "dc", FG_KEY_NAME, true, OFFSET(dc), 0, 0, 0 },
	{ "http", FG_KEY_ADDR, true, OFFSET(http), 0, 0, 0 },
	{ "rpc", FG_KEY_ADDR, true, OFFSET(rpc), 0, 0, 0 },
	{ "platform", FG_KEY_ADDR, true, OFFSET(platform), 0, 0, 0 },
	{ "control", FG_KEY_ADDR, false, OFFSET(control), 0, 0, 0 },
	{ "history", FG_KEY_PATH, false, OFFSET(history), 0, 0, 0 },
	{ "log_level", FG_KEY_LEVEL, false, OFFSET(log_level), 0, 0,
	  FG_LOG_INFO },
	{ "workers", FG_KEY_U32, false, OFFSET(workers), 1, 256, 8 },
};

static const struct fg_key limit_keys[] = {
	LIMIT(body_max_bytes, KIB, 16 * MIB, 256 * KIB),
	LIMIT(deadline_max_ms, SECOND_MS, 10 * MINUTE_MS, 10 * MINUTE_MS),
	LIMIT(deadline_default_ms, SECOND_MS, 10 * MINUTE_MS, 30 * SECOND_MS),
	LIMIT(caller_memory_bytes, MIB, 4095 * MIB, 64 * MIB),
	LIMIT(connections_max, 8, 65536, 1024),
	LIMIT(requests_max, 1, 65536, 1024),
	LIMIT(caller_rate_per_s, 0, 1000000, 0),
	LIMIT(callers_max, 16, 1000000, 4096),
	LIMIT(header_timeout_ms, 100, MINUTE_MS, 5 * SECOND_MS),
	LIMIT(table_in_flight_max, 1, 1024, 16),
	LIMIT(peer_queue_max, 16, 1048576, 4096),
	LIMIT(grant_queue_max, 1, 65536, 256),
	LIMIT(ping_fanout, 1, 64, 4),
	LIMIT(config_snapshot_every, 10, 100000, 500),
};

static const struct fg_key timing_keys[] = {
	TIMING(tick_ms, 1, 100, 20),
	TIMING(renew_ms, 50, MINUTE_MS, 2 * SECOND_MS),
	TIMING(lease_ms, 200, 10 * MINUTE_MS, 8 * SECOND_MS),
	TIMING(scan_ms, 50, MINUTE_MS, 3 * SECOND_MS),
	TIMING(list_ms, 50, MINUTE_MS, 2 * SECOND_MS),
	TIMING(ping_ms, 20, MINUTE_MS, 500),
	TIMING(suspect_ms, 50, MINUTE_MS, 2 * SECOND_MS),
	TIMING(confirm_ms, 100, 10 * MINUTE_MS, 6 * SECOND_MS),
	TIMING(poll_ms, 50, MINUTE_MS, 2 * SECOND_MS),
	TIMING(platform_timeout_ms, 50, MINUTE_MS, 2 * SECOND_MS),
	TIMING(peer_timeout_ms, 50, MINUTE_MS, SECOND_MS),
	TIMING(order_timeout_ms, 100, 10 * MINUTE_MS, 10 * SECOND_MS),
	TIMING(engine_poll_ms, 20, MINUTE_MS, 500),
	TIMING(group_ms, 0, 100, 4),
	TIMING(address_ttl_ms, 100, HOUR_MS, 5 * SECOND_MS),
	TIMING(change_wait_ms, 100, 10 * MINUTE_MS, 7 * SECOND_MS),
	TIMING(stop_max_ms, SECOND_MS, HOUR_MS, 11 * MINUTE_MS),
};

static const struct fg_key switch_keys[] = {
	SWITCH(no_ledger_insert), SWITCH(no_pin),
	SWITCH(no_fence),	  SWITCH(no_intent),
	SWITCH(no_answer_check),  SWITCH(no_leaving),
	SWITCH(no_drain),	  SWITCH(no_retry_budget),
	SWITCH(no_suspects),	  SWITCH(no_push),
	SWITCH(no_isolation),	  SWITCH(no_run_memory),
};

G_STATIC_ASSERT(G_N_ELEMENTS(top_keys) < FG_SECTION_KEYS_MAX);
G_STATIC_ASSERT(G_N_ELEMENTS(limit_keys) < FG_SECTION_KEYS_MAX);
G_STATIC_ASSERT(G_N_ELEMENTS(timing_keys) < FG_SECTION_KEYS_MAX);
G_STATIC_ASSERT(G_N_ELEMENTS(switch_keys) < FG_SECTION_KEYS_MAX);

const struct fg_section fg_sections[FG_SECTION_COUNT] = {
	[FG_SECTION_TOP] = { NULL, top_keys, G_N_ELEMENTS(top_keys) },
	[FG_SECTION_LIMITS] = { "limits", limit_keys,
				G_N_ELEMENTS(limit_keys) },
	[FG_SECTION_TIMING] = { "timing", timing_keys,
				G_N_ELEMENTS(timing_keys) },
	[FG_SECTION_SWITCHES] = { "switches", switch_keys,
				  G_N_ELEMENTS(switch_keys) },
};
