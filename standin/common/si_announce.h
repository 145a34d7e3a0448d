/*
 * si_announce - tells the platform regularly that this endpoint is live.
 */
#ifndef SI_ANNOUNCE_H
#define SI_ANNOUNCE_H

#include <stdbool.h>

#include "common/si_proc.h"

struct si_announce;

struct si_announce *si_announce_start(struct si_proc *proc);

/* Leaving from now on, which is announced and logged at once. */
void si_announce_leave(struct si_announce *announce);

/* Time since the leaving began, or -1. */
fg_ms si_announce_leaving_ms(struct si_announce *announce);

/* Ends the thread; proc->stopping must be set. NULL is allowed. */
void si_announce_stop(struct si_announce *announce);

#endif
