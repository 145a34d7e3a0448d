/*
 * confsync_sim - several confsync instances over an in-memory table, driven
 * by one seed. Calls to the table and messages take random time, may be lost
 * before or after they take effect, and arrive after a pause or a cut.
 *
 * The simulation asserts, at every step:
 *   - the revision of an instance only grows;
 *   - equal revisions have equal snapshots at all instances;
 *   - exactly one known preset is in force;
 *   - "accepted" means in force at every live instance that serves;
 *   - every change is answered once, in time, and its answer agrees with what
 *     the table holds in the end.
 * An instance serves once its revision was confirmed after its lease row was
 * written; until then it takes no work.
 */
#ifndef CONFSYNC_SIM_H
#define CONFSYNC_SIM_H

#include "base/fg_rand.h"
#include "config/fg_config.h"

#define SIM_NODES_MAX 8

struct sim_node {
	uint64_t id;
	struct fg_config *c;
	struct fg_confsync *s;
	bool up;
	bool registered; /* lease row written */
	fg_ms registered_at;
	fg_ms paused_until;
	bool cut_platform;
	bool cut[SIM_NODES_MAX];
	uint64_t revision;
};

struct sim_change {
	uint64_t id;
	fg_ms deadline;
	bool answered;
	enum fg_change_status status;
	uint64_t revision;
	char *text;
};

struct sim_conf {
	size_t nodes;
	uint32_t snapshot_every;
	uint32_t lost_percent; /* table calls without an answer */
	uint32_t drop_percent; /* messages */
	uint32_t table_max_ms; /* slowest table call */
	bool no_push;
	bool no_pings;
};

struct sim {
	struct sim_conf conf;
	struct fg_rand r;
	fg_ms now;
	struct sim_node node[SIM_NODES_MAX];
	size_t n;
	GHashTable *rows; /* key -> struct sim_row */
	uint64_t row_version;
	GQueue events;
	uint64_t seq;
	bool outage;
	GHashTable *history; /* revision -> snapshot */
	GPtrArray *changes;  /* of struct sim_change */
	unsigned int reads;
	unsigned int writes;
	unsigned int msgs;
	unsigned int snapshots; /* parts sent to peers */
	unsigned int statuses[FG_CHANGE_UNKNOWN + 1];
};

struct sim *sim_new(const struct sim_conf *conf, uint64_t seed);
void sim_free(struct sim *m);

/* Runs until `until`. */
void sim_run(struct sim *m, fg_ms until);

/* Starts an instance with a new id in the place of node i. */
void sim_start(struct sim *m, size_t i);
void sim_crash(struct sim *m, size_t i);

/* Sends a change to node i; returns it, valid until sim_free(). */
struct sim_change *sim_change(struct sim *m, size_t i, const char *body,
			      uint64_t expect, uint32_t wait_ms);

/* A calm system: nothing is lost, cut or slow. */
#define SIM_CALM                                                               \
	{                                                                      \
		.nodes = 4, .snapshot_every = 1000, .table_max_ms = 20         \
	}
#define SIM_WAIT_MS 4000

/* A change that adds adapter "c<id of the change>". */
struct sim_change *sim_add(struct sim *m, size_t node, uint64_t expect);

uint64_t sim_revision(const struct sim *m, size_t i);

/* Ends all faults. */
void sim_heal(struct sim *m);

/* Head revision in the table; 0 when there is none. */
uint64_t sim_head(struct sim *m);

/* Runs a call on the table; confsync_sim_table.c. */
struct fg_table_result *sim_run_op(struct sim *m, const struct fg_table_op *op);
void sim_row_free(gpointer row);

/* Field of the row config/head; 0 when there is none. */
uint64_t sim_head_field(struct sim *m, const char *name);

/* Reads and sets rows directly. */
const char *sim_row(struct sim *m, const char *key);
void sim_put(struct sim *m, const char *key, const char *value);

/* Asserts that all instances that are up agree with the table, and that
 * every answer given agrees with it too. */
void sim_check_end(struct sim *m);

#endif
