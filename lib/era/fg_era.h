/*
 * fg_era - the era of the platform's store, as one instance knows it.
 *
 * The store states its era in its answers. The era rises when the store returns
 * from an older copy of its data: what was written since that copy is lost, and
 * version numbers are given out again. An answer of an earlier era than the
 * known one was sent before the return and must not be used.
 *
 * A store that states no era has era 0. Once one answer has stated an era, an
 * answer without one is not used either, since it cannot be dated.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_ERA_H
#define FG_ERA_H

#include <stdbool.h>
#include <stdint.h>

struct fg_era {
	uint64_t known;
	bool stated;  /* some answer has stated its era */
	bool refused; /* the last answer was refused */
};

enum fg_era_verdict {
	FG_ERA_CURRENT = 0,  /* the answer is of the known era */
	FG_ERA_ADVANCED = 1, /* of a later era, which is the known one now */
	FG_ERA_REFUSED = 2,  /* the answer must not be used */
};

/*
 * Judges an answer. `error` is 0 when the answer states `era`, ENOENT when it
 * states none and EINVAL when the value is not a number. `max` is the largest
 * era that can be represented. *reason is set to a text for the log when the
 * answer is refused, and to NULL when it is not or when the answer before was
 * refused as well. The first era stated is CURRENT.
 */
enum fg_era_verdict fg_era_observe(struct fg_era *e, int error, uint64_t era,
				   uint64_t max, const char **reason);

/* Another instance knows this era, 0 when its store states none. Returns true
 * when it is later than the known one and replaces it. */
bool fg_era_advance(struct fg_era *e, uint64_t era, uint64_t max);

#endif
