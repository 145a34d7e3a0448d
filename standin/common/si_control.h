/*
 * si_control - serves the control address: POST /control, GET /control/log.
 */
#ifndef SI_CONTROL_H
#define SI_CONTROL_H

#include "common/si_proc.h"

/* Listens on conf.control. Returns NULL and writes to stderr on error; the
 * caller ends the server with si_http_stop(). */
struct si_http *si_control_start(struct si_proc *proc);

#endif
