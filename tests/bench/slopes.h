/*
 * slopes - shared parts of bench_slopes: series with a linear fit, measuring of
 * processor time and memory, and an instance in a simulated environment.
 */
#ifndef BENCH_SLOPES_H
#define BENCH_SLOPES_H

#include <glib.h>
#include <time.h>

#include "member/fg_member.h"
#include "owner/fg_owner.h"

#define SIZES 4 /* sizes at which a series is measured */

/* One quantity, measured at several sizes. y has one value per size. */
struct series {
	const char *name;
	const char *unit;
	double y[SIZES];
};

/* Prints the header line with the sizes x, and a series with its linear fit
 * over x. `per` is the unit of the sizes. */
void slopes_print_header(const char *title, const char *per, const double *x);
void slopes_print_series(const char *per, const double *x,
			 const struct series *s);

/* `clock` is a processor time clock of the thread or of the process. */
double slopes_cpu_us(clockid_t clock);
double slopes_heap_bytes(void);	    /* allocated by malloc and not yet freed */
double slopes_resident_bytes(void); /* of the process; 0 if not readable */

/* Measures and prints the series of the roles that a node has: configuration,
 * router, owner, broker and ledger. */
void slopes_measure_roles(void);

/* One measured instance, and the simulated table and peers around it. */
struct world {
	fg_ms now; /* virtual time */
	int n_nodes;
	int n_regions;
	struct fg_list_entry *nodes; /* [0] is the measured one */
	uint64_t version;	     /* last row version of the table */
	uint64_t own_version;	     /* of the measured instance's lease row */
	bool outage;		     /* the table is unreachable */
	struct fg_member *member;
	struct fg_owner *owner; /* NULL: not measured */
	int n_keys;		/* keys with an owner row */
	GQueue results;		/* struct fg_table_result to deliver */
	GQueue peer_msgs;	/* struct peer_msg to deliver */
	uint64_t sent_msgs, sent_bytes;
	uint64_t table_reads, table_writes, read_bytes;
	double cpu_us; /* of the measured modules */
};

/* Starts a world of n_nodes instances in n_regions regions. The caller frees
 * its contents with world_end(). */
void world_start(struct world *w, int n_nodes, int n_regions);
void world_end(struct world *w);

/* Runs for duration_s of virtual time. */
void world_run(struct world *w, uint32_t duration_s);

/* Sets the counters and cpu_us to 0. */
void world_reset_counters(struct world *w);

#endif
