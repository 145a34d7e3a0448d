/*
 * overload_replay - a small replay of instances, endpoints and callers, in
 * steps of 1 ms, for tests of lib/overload.
 *
 * An endpoint has slots, reads the prompts of its requests one after the other,
 * the most urgent first, and queues what has no slot; a more urgent arrival
 * takes the slot of the least urgent one. Engines hold adapters and load one in
 * 270 ms into a slot whose adapter has no request.
 *
 * A script has a line for each fact:
 *   endpoints N slots N adapters N   one service; adapters 0: plain
 *   instances N
 *   kind NAME rank N prompt N out_ms N objective N deadline N rate N
 *        adapters N [workspace NAME] [leave_ms N] [at_once]
 *   at MS endpoints N | at MS restart | at MS NAME rate N |
 *   at MS NAME adapters_from N | at MS NAME instance N
 *   run MS                           the last line
 * `leave_ms`: half of the callers leave after it. `at_once`: callers retry
 * without regard to Retry-After. `instance`: all come through this one; -1:
 * all.
 */
#ifndef OVERLOAD_REPLAY_H
#define OVERLOAD_REPLAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define REPLAY_KINDS_MAX 8
#define REPLAY_PHASES_MAX 16

struct replay_result {
	uint32_t asked; /* by callers, without retries */
	uint32_t in_time;
	uint32_t late;
	uint32_t refused; /* finally */
	uint32_t left;
	uint32_t attempts;
	uint32_t shed;	     /* attempts refused by rank or share */
	uint32_t shed_idle;  /* of these, with half of the slots free */
	uint32_t waited_out; /* attempts refused after a wait > 300 ms */
};

struct replay_kind {
	char name[32];
	char workspace[32];
	uint32_t rank, prompt, out_ms, objective, deadline, adapters;
	uint32_t adapters_from, leave_ms;
	double rate;
	int instance;
	bool at_once;
	struct replay_result result;
};

struct replay {
	struct replay_kind kinds[REPLAY_KINDS_MAX];
	uint32_t n_kinds;
	/* Attempts and refusals of each second. */
	GArray *seconds; /* struct replay_result */
};

/* Replays the script; `former`: with first come, first served instead of
 * lib/overload. Fails the test when the script is malformed. */
void replay_run(struct replay *out, const char *script, bool former,
		uint64_t seed);
void replay_clear(struct replay *r);

#endif
