/*
 * sim_env - parameters of simulations from the environment.
 */
#ifndef SIM_ENV_H
#define SIM_ENV_H

#include <stdint.h>

/* Returns the variable as a decimal number, or `fallback` when it is not set.
 */
uint64_t sim_env_number(const char *name, uint64_t fallback);

#endif
