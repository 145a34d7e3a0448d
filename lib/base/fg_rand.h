/*
 * fg_rand - a small seeded generator (xorshift64*) and hashing.
 *
 * Decision modules take their randomness from a generator handed in, so that
 * one seed gives one run.
 */
#ifndef FG_RAND_H
#define FG_RAND_H

#include <stddef.h>
#include <stdint.h>

struct fg_rand {
	uint64_t state; /* never 0 after fg_rand_seed() */
};

/* Seeds; every seed is allowed. */
void fg_rand_seed(struct fg_rand *r, uint64_t seed);

/* Next 64 bits. */
uint64_t fg_rand_next(struct fg_rand *r);

/* Uniform in [0, bound); bound must be > 0. */
uint64_t fg_rand_below(struct fg_rand *r, uint64_t bound);

/* Uniform in [0, 1). */
double fg_rand_unit(struct fg_rand *r);

/* 64-bit hash of bytes; stable between releases, used in stored ids. */
uint64_t fg_hash_bytes(const void *data, size_t len_bytes);

/* fg_hash_bytes() of a NUL-terminated string; 0 is never returned. */
uint64_t fg_hash_str(const char *s);

/* Mixes two hashes; the score of rendezvous hashing. */
uint64_t fg_hash_mix(uint64_t a, uint64_t b);

#endif
