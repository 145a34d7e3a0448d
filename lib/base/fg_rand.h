/*
 * fg_rand - seeded random numbers (xorshift64*) and hashes (XXH64).
 *
 * The caller of a decision module passes the generator, so that equal seeds
 * reproduce equal runs. Not for cryptography.
 */
#ifndef FG_RAND_H
#define FG_RAND_H

#include <stddef.h>
#include <stdint.h>

struct fg_rand {
	uint64_t state; /* never 0 after fg_rand_seed() */
};

/* Initializes the generator; every seed is valid. */
void fg_rand_seed(struct fg_rand *r, uint64_t seed);

/* Returns the next 64 random bits. */
uint64_t fg_rand_next(struct fg_rand *r);

/* Returns a uniformly distributed number in [0, bound); bound must be > 0. */
uint64_t fg_rand_below(struct fg_rand *r, uint64_t bound);

/* Returns a uniformly distributed number in [0, 1). */
double fg_rand_unit(struct fg_rand *r);

/* Returns a 64-bit hash of the bytes. Stored ids contain this hash: the
 * function must not change between releases. */
uint64_t fg_hash_bytes(const void *data, size_t len_bytes);

/* Returns fg_hash_bytes() of a string without its NUL, and 1 in place of 0. */
uint64_t fg_hash_str(const char *s);

/* Combines two hashes into one; the order of the arguments matters. Serves as
 * the score in rendezvous hashing. */
uint64_t fg_hash_mix(uint64_t a, uint64_t b);

#endif
