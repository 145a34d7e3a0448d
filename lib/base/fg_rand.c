#include "base/fg_rand.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

void fg_rand_seed(struct fg_rand *r, uint64_t seed)
{
	r->state = fg_hash_mix(seed, 0x9e3779b97f4a7c15ULL);
	if (r->state == 0)
		r->state = 1;
}

uint64_t fg_rand_next(struct fg_rand *r)
{
	uint64_t x = r->state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	r->state = x;
	return x * 0x2545f4914f6cdd1dULL;
}

uint64_t fg_rand_below(struct fg_rand *r, uint64_t bound)
{
	assert(bound > 0);
	return fg_rand_next(r) % bound;
}

double fg_rand_unit(struct fg_rand *r)
{
	return (double)(fg_rand_next(r) >> 11) / 9007199254740992.0;
}

uint64_t fg_hash_bytes(const void *data, size_t len_bytes)
{
	return XXH64(data, len_bytes, 0);
}

uint64_t fg_hash_str(const char *s)
{
	uint64_t h = fg_hash_bytes(s, strlen(s));

	return h != 0 ? h : 1;
}

uint64_t fg_hash_mix(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = { a, b };

	return XXH64(pair, sizeof(pair), 0);
}
