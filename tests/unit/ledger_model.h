/*
 * ledger_model - simulates the ledgers of several instances on one in-memory
 * table.
 *
 * A seed determines one interleaving of starts, repeats, lost and delayed
 * writes, outages, pauses and deaths. The invariants are asserted at each
 * event. A violation stops the test and prints the seed.
 */
#ifndef LEDGER_MODEL_H
#define LEDGER_MODEL_H

#include <glib.h>

#include "base/fg_rand.h"
#include "ledger/fg_ledger.h"

#define MODEL_INSTANCES 4
#define MODEL_KEYS 3

/* Probabilities in 1/1000 per operation or per step. */
struct model_faults {
	uint32_t request_lost; /* not applied, no answer */
	uint32_t answer_lost;  /* applied, no answer */
	uint32_t delayed;      /* no answer, applied up to 2 s later */
	uint32_t pause;
	uint32_t outage;
	uint32_t death;
	bool versions; /* the OK of a transaction carries the row versions */
};

struct model_filing {
	uint32_t key;
	uint64_t body;
	uint32_t inst;
	bool dispatched;
	bool ended; /* the dispatch ended with `outcome` */
	enum fg_outcome outcome;
	char text[32];
	bool answered;
	enum fg_outcome answered_outcome;
	enum fg_reason reason;
	bool replayed;
	bool recorded;
};

struct model;

/* Freed with model_free(). */
struct model *model_new(uint64_t seed, uint32_t instances,
			const struct model_faults *faults);
void model_free(struct model *m);

/* Starts a filing and returns its id. */
uint64_t model_start(struct model *m, uint32_t inst, uint32_t key,
		     uint64_t body);
const struct model_filing *model_filing(const struct model *m, uint64_t id);

/* Advances the time by `ms`, with or without random faults. */
void model_run(struct model *m, fg_ms ms, bool faults);

/* Sets the outcome of later dispatches; 0: random. */
void model_set_outcome(struct model *m, enum fg_outcome outcome);

/* Loses the answer to the next operation, which is applied after effect_ms (-1:
 * never). */
void model_lose_next_op(struct model *m, fg_ms effect_ms);
void model_outage(struct model *m, fg_ms ms);
void model_pause(struct model *m, uint32_t inst, fg_ms ms);
void model_kill(struct model *m, uint32_t inst);

uint32_t model_dispatches(const struct model *m, uint32_t key);
uint32_t model_ops(const struct model *m, enum fg_op_kind kind);
size_t model_pending(const struct model *m);
struct fg_ledger *model_ledger(struct model *m, uint32_t inst);
const char *model_row(struct model *m, uint32_t key);

/* Runs the interleaving of a seed and asserts the invariants during and after
 * it. */
void model_interleaving(uint64_t seed, const struct model_faults *faults);

#endif
