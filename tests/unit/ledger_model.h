/*
 * ledger_model - ledgers of several instances over one table in memory.
 *
 * A seed gives one interleaving of starts, repeats, lost and late writes,
 * outages, pauses and deaths. What must hold is asserted as it happens; the
 * model stops the test with the seed when it does not.
 */
#ifndef LEDGER_MODEL_H
#define LEDGER_MODEL_H

#include <glib.h>

#include "base/fg_rand.h"
#include "ledger/fg_ledger.h"

#define MODEL_INSTANCES 4
#define MODEL_KEYS 3

/* Chances of 1000, drawn for each operation or step. */
struct model_faults {
	uint32_t lost_unsent; /* no effect, no answer */
	uint32_t lost_stored; /* effect, no answer */
	uint32_t late;	      /* no answer, and effect up to 2 s later */
	uint32_t pause;
	uint32_t outage;
	uint32_t death;
	bool versions; /* OK of a transaction names the row versions */
};

struct model_filing {
	uint32_t key;
	uint64_t body;
	uint32_t inst;
	bool dispatched;
	bool ended; /* its dispatch ended with `outcome` */
	enum fg_outcome outcome;
	char text[32];
	bool answered;
	enum fg_outcome told;
	enum fg_reason reason;
	bool replayed;
	bool recorded;
};

struct model;
struct model *model_new(uint64_t seed, uint32_t instances,
			const struct model_faults *faults);
void model_free(struct model *m);

/* Starts a filing; returns its id. */
uint64_t model_start(struct model *m, uint32_t inst, uint32_t key,
		     uint64_t body);
const struct model_filing *model_filing(const struct model *m, uint64_t id);

/* Passes ms of time, with faults or without. */
void model_run(struct model *m, fg_ms ms, bool faults);

/* How dispatches end from now on; 0 draws it. */
void model_set_outcome(struct model *m, enum fg_outcome outcome);

/* The next operation alone: its answer is lost, and it takes effect after
 * effect_ms (-1: never). */
void model_lose_next(struct model *m, fg_ms effect_ms);
void model_outage(struct model *m, fg_ms ms);
void model_pause(struct model *m, uint32_t inst, fg_ms ms);
void model_kill(struct model *m, uint32_t inst);

uint32_t model_dispatches(const struct model *m, uint32_t key);
uint32_t model_ops(const struct model *m, enum fg_op_kind kind);
size_t model_pending(const struct model *m);
struct fg_ledger *model_ledger(struct model *m, uint32_t inst);
const char *model_row(struct model *m, uint32_t key);

/* A whole interleaving; asserts what must hold in it and after it. */
void model_interleaving(uint64_t seed, const struct model_faults *faults);

#endif
