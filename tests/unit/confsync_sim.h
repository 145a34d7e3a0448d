/*
 * confsync_sim - several confsync instances over an in-memory table, driven by
 * one seed. Table operations and messages take random time. They may be lost
 * before or after they take effect, and are delayed or dropped while an
 * instance is paused or cut off.
 *
 * The simulation asserts, at every step:
 *   - the revision of an instance only grows;
 *   - instances with equal revisions have equal snapshots;
 *   - exactly one known preset is in force;
 *   - "accepted" means in force at every live instance that is serving;
 *   - every change is answered once, in time, and its answer agrees with the
 *     final contents of the table.
 * An instance serves, that is, takes work, once its revision was confirmed
 * after its lease row was written.
 */
#ifndef CONFSYNC_SIM_H
#define CONFSYNC_SIM_H

#include "base/fg_rand.h"
#include "config/fg_config.h"

#define SIM_INSTANCES_MAX 8

struct sim_instance {
	uint64_t id;
	struct fg_config *c;
	struct fg_confsync *s;
	bool up;
	bool registered; /* lease row written */
	fg_ms registered_at;
	fg_ms paused_until;
	bool cut_platform;
	bool cut[SIM_INSTANCES_MAX]; /* by index of the other instance */
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
	size_t n_instances;
	uint32_t snapshot_every;
	uint32_t lost_percent; /* table operations without an answer */
	uint32_t drop_percent; /* messages */
	uint32_t table_max_ms; /* slowest table operation */
	bool no_push;
	bool no_pings;
};

struct sim {
	struct sim_conf conf;
	struct fg_rand rand;
	fg_ms now;
	struct sim_instance instances[SIM_INSTANCES_MAX];
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
	unsigned int snapshot_parts_sent; /* to peers */
	unsigned int statuses[FG_CHANGE_UNKNOWN + 1];
};

/* Starts conf->n_instances instances; freed with sim_free(). */
struct sim *sim_new(const struct sim_conf *conf, uint64_t seed);
void sim_free(struct sim *m);

/* Runs the simulation up to the given time. */
void sim_run(struct sim *m, fg_ms until);

/* Starts an instance with a new id at index i. */
void sim_start_instance(struct sim *m, size_t i);
void sim_crash_instance(struct sim *m, size_t i);

/* Submits a change to instance i; the returned change is valid until
 * sim_free(). */
struct sim_change *sim_submit_change(struct sim *m, size_t i, const char *body,
				     uint64_t expect, uint32_t wait_ms);

/* Nothing is lost, cut off or slow. */
#define SIM_NO_FAULTS                                                          \
	{                                                                      \
		.n_instances = 4, .snapshot_every = 1000, .table_max_ms = 20   \
	}
#define SIM_CHANGE_WAIT_MS 4000

/* Submits a change that adds adapter "c<id of the change>". */
struct sim_change *sim_add_adapter(struct sim *m, size_t i, uint64_t expect);

uint64_t sim_instance_revision(const struct sim *m, size_t i);

/* Ends all faults and restarts crashed instances. */
void sim_clear_faults(struct sim *m);

/* Returns the revision in config/head; 0 when there is no such row. */
uint64_t sim_head_revision(struct sim *m);

/* Runs an operation on the table; the caller frees the result. */
struct fg_table_result *sim_run_op(struct sim *m, const struct fg_table_op *op);
void sim_row_free(gpointer row);

/* Returns a field of config/head; 0 when there is no such row. */
uint64_t sim_head_field(struct sim *m, const char *name);

/* Read and write a row directly. */
const char *sim_get_row(struct sim *m, const char *key);
void sim_put_row(struct sim *m, const char *key, const char *value);

/* Asserts that all instances agree with the table, and that every answer given
 * agrees with the table too. */
void sim_check_final_state(struct sim *m);

#endif
