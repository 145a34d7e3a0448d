/*
 * cluster - simulation of several instances, each with an fg_member and an
 * fg_owner, over an in-memory table and network. It runs in virtual time, and
 * one seed determines all random choices. The clock of each instance has an
 * offset and a rate of its own.
 *
 * While it runs, it checks that no two instances may act on one key, that
 * fences grow, and that the table holds each stored intent. A violation
 * aborts the test.
 */
#ifndef TEST_CLUSTER_H
#define TEST_CLUSTER_H

#include <glib.h>

#include "base/fg_rand.h"
#include "member/fg_member.h"
#include "owner/fg_owner.h"

#define INSTANCES_MAX 24
#define KEYS_MAX 16

struct instance {
	int index;
	bool alive;
	struct fg_member *member;
	struct fg_owner *owner;
	struct fg_list_entry self;
	fg_ms clock_offset;
	double clock_rate;
	fg_ms paused_until; /* in cluster time */
	bool platform_cut;
	int partition; /* messages only pass within one partition */
	uint64_t next_intent;
	uint64_t sent_msgs;
	/* Actions emitted by owner, counted by type. */
	uint64_t gained, lost, intents_ok, intents_failed, released;
	enum fg_standing standing; /* last emitted */
};

struct cluster {
	fg_ms now;
	struct fg_rand rand;
	GTree *events; /* (time, number) -> struct event */
	uint64_t next_event;
	GTree *table; /* key -> struct fg_row */
	uint64_t row_version;
	fg_ms outage_until;
	/* Probabilities, 0 to 1. */
	double lost_answer_share; /* an answer of the table is lost */
	double slow_share;	  /* an operation, answer or message is slow */
	double lost_msg_share;	  /* a message is lost */
	double new_address_share; /* a new instance gets an unused address */
	bool no_versions;	  /* writes are answered without versions */
	struct instance instances[INSTANCES_MAX];
	bool link_cut[INSTANCES_MAX][INSTANCES_MAX]; /* [from][to], by index */
	int n_instances;
	int names_given;
	uint64_t keys[KEYS_MAX];
	const char *key_region[KEYS_MAX];
	int n_keys;
	uint64_t last_fence[KEYS_MAX]; /* of the last FG_OA_GAINED */
	uint64_t table_reads, table_writes;
	uint64_t overlaps; /* checks that found two instances that may act */
	bool abort_on_overlap;
	struct fg_member_conf conf;
};

/* Creates a cluster without instances and faults. The keys are spread over the
 * regions in turn. conf has timings shorter than the defaults; the caller may
 * change it before instances join. Free it with cluster_free(). */
struct cluster *cluster_new(uint64_t seed, int n_keys, int n_regions);
void cluster_free(struct cluster *c);

/* Starts an instance under a new name; NULL when INSTANCES_MAX are running. */
struct instance *cluster_join(struct cluster *c, const char *region);
/* Kills an instance at once; what it has sent may still arrive. */
void cluster_kill(struct cluster *c, struct instance *n);
/* Starts draining an instance, and releases the keys that it owns. */
void cluster_leave(struct cluster *c, struct instance *n);
/* Deletes the lease row of an instance, as the last step of a planned stop. */
void cluster_release_lease(struct cluster *c, struct instance *n);
/* Makes n store an intent for key number k; its counters intents_ok and
 * intents_failed tell the outcome. */
void cluster_store_intent(struct cluster *c, struct instance *n, int k,
			  uint64_t id);
/* Runs until the cluster's clock shows `until`. */
void cluster_run_until(struct cluster *c, fg_ms until);
/* Ends all faults but new_address_share and no_versions. */
void cluster_clear_faults(struct cluster *c);

/* Returns the time of the cluster on the clock of n. */
fg_ms instance_clock(const struct cluster *c, const struct instance *n);
/* Returns the one instance that may act on key number k; NULL when none. Aborts
 * on a second one if abort_on_overlap is set. */
struct instance *cluster_acting_owner(struct cluster *c, int k);
/* Returns how many lease rows of the region have no running instance. */
int cluster_count_dead_rows(struct cluster *c, const char *region);
int cluster_count_live(struct cluster *c, const char *region);
/* Returns true when each key has an instance that may act on it. */
bool cluster_all_keys_owned(struct cluster *c);

/* Runs op on the table at once and without faults; the caller frees the result.
 */
struct fg_table_result *cluster_run_table_op(struct cluster *c,
					     const struct fg_table_op *op);
void cluster_row_free(gpointer row);

#endif
