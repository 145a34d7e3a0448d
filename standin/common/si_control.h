/*
 * si_control - the control address: POST /control and GET /control/log.
 */
#ifndef SI_CONTROL_H
#define SI_CONTROL_H

#include "common/si_proc.h"

/* Listens on conf.control; NULL with a message on stderr on error. */
struct si_http *si_control_start(struct si_proc *proc);

#endif
