/*
 * si_announce - a thread that announces this endpoint to the platform at a
 * fixed interval.
 */
#ifndef SI_ANNOUNCE_H
#define SI_ANNOUNCE_H

#include <stdbool.h>

#include "common/si_proc.h"

struct si_announce;

/* Starts the thread. proc must outlive it. */
struct si_announce *si_announce_start(struct si_proc *proc);

/* Marks the endpoint as leaving; announces and logs that at once. Later calls
 * have no effect. */
void si_announce_leave(struct si_announce *announce);

/* Returns the time since si_announce_leave(), or -1 when the endpoint is not
 * leaving or announce is NULL. */
fg_ms si_announce_leaving_ms(struct si_announce *announce);

/* Ends the thread and frees announce. proc->stopping must be set, which ends a
 * request in progress. NULL is allowed. */
void si_announce_stop(struct si_announce *announce);

#endif
