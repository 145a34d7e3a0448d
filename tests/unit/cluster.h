/*
 * cluster - several instances of fg_member and fg_owner over an in-memory
 * table and network, run in virtual time from one seed.
 *
 * Each instance has its own clock, with an offset and a rate of its own.
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
	struct fg_listed self;
	fg_ms clock_offset;
	double clock_rate;
	fg_ms paused_until; /* in cluster time */
	bool platform_cut;
	int partition; /* messages pass only between instances of one partition
			*/
	uint64_t next_intent;
	uint64_t sent_msgs;
	uint64_t gained, lost, intents_ok, intents_failed, released;
	enum fg_standing standing;
};

struct cluster {
	fg_ms now;
	struct fg_rand rand;
	GTree *events; /* (time, number) -> struct event */
	uint64_t next_event;
	GTree *table; /* key -> struct fg_row */
	uint64_t row_version;
	fg_ms outage_until;
	double lost_answer_share; /* of answers */
	double slow_share;	  /* of operations and messages */
	double lost_msg_share;	  /* share of messages */
	double new_address_share; /* of joining instances */
	bool no_versions;	  /* writes are answered without versions */
	struct instance instances[INSTANCES_MAX];
	bool link_cut[INSTANCES_MAX][INSTANCES_MAX]; /* [from][to], by index */
	int n_instances;
	int names_given;
	uint64_t keys[KEYS_MAX];
	const char *key_region[KEYS_MAX];
	int n_keys;
	uint64_t last_fence[KEYS_MAX]; /* of the last GAINED */
	uint64_t table_reads, table_writes;
	uint64_t overlaps;     /* moments with two instances that may act */
	bool abort_on_overlap; /* abort on an overlap */
	struct fg_member_conf conf;
};

struct cluster *cluster_new(uint64_t seed, int n_keys, int n_regions);
void cluster_free(struct cluster *c);

/* Starts an instance; NULL when there is no room. */
struct instance *cluster_join(struct cluster *c, const char *region);
/* Ends it at once; what it sent may still arrive. */
void cluster_kill(struct cluster *c, struct instance *n);
/* Starts draining, and hands over what it owns. */
void cluster_leave(struct cluster *c, struct instance *n);
/* Deletes its lease row, as the last act of a planned stop. */
void cluster_release_lease(struct cluster *c, struct instance *n);
/* Asks for the storage of an intent; the counters of n tell the outcome. */
void cluster_store_intent(struct cluster *c, struct instance *n, int k,
			  uint64_t id);
/* Runs until the cluster's clock shows `until`. */
void cluster_run_until(struct cluster *c, fg_ms until);
/* Ends all faults. */
void cluster_clear_faults(struct cluster *c);

fg_ms instance_clock(const struct cluster *c, const struct instance *n);
/* The one instance that may act on key number k; NULL when none. */
struct instance *cluster_acting_owner(struct cluster *c, int k);
/* Lease rows of the region whose instance has ended. */
int cluster_count_dead_rows(struct cluster *c, const char *region);
int cluster_count_live(struct cluster *c, const char *region);
/* True when each key has an instance that may act. */
bool cluster_all_keys_owned(struct cluster *c);

/* Runs op on the table, without any fault. */
struct fg_table_result *cluster_run_table_op(struct cluster *c,
					     const struct fg_table_op *op);
void cluster_row_free(gpointer row);

#endif
