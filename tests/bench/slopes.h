/*
 * slopes - what bench_slopes measures with.
 */
#ifndef BENCH_SLOPES_H
#define BENCH_SLOPES_H

#include <glib.h>
#include <time.h>

#include "member/fg_member.h"
#include "owner/fg_owner.h"

#define SIZES 4

/* One quantity, measured at several sizes. */
struct series {
	const char *name;
	const char *unit;
	double y[SIZES];
};

/* Prints the sizes, and a series with its linear fit over them. */
void slopes_header(const char *title, const char *per, const double *x);
void slopes_series(const char *per, const double *x, const struct series *s);

double slopes_cpu_us(clockid_t clock);
double slopes_heap_bytes(void); /* handed out by malloc */
double slopes_resident_bytes(void);

/* Prints the slopes of the roles of a node. */
void slopes_roles(void);

/* An instance and what it sees. */
struct world {
	fg_ms now;
	int n;
	int n_regions;
	struct fg_listed *nodes; /* [0] is the one measured */
	uint64_t version;
	uint64_t own_version;
	bool outage;
	struct fg_member *m;
	struct fg_owner *o;
	int n_keys;
	GQueue results; /* struct fg_table_result */
	GQueue answers; /* struct answer */
	uint64_t sent_msgs, sent_bytes;
	uint64_t reads, writes, read_bytes;
	double cpu_us;
};

/* n instances over n_regions regions; the first is the one measured. */
void world_start(struct world *w, int n, int n_regions);
void world_end(struct world *w);
void world_run(struct world *w, uint32_t s);
void world_reset_counters(struct world *w);

#endif
