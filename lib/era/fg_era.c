#include "era/fg_era.h"

#include <stddef.h>

enum fg_era_verdict fg_era_observe(struct fg_era *e, int error, uint64_t era,
				   uint64_t max, const char **reason)
{
	const char *refusal = NULL;
	bool first = !e->stated;

	*reason = NULL;
	if (error != 0 && first)
		return FG_ERA_CURRENT;
	if (error != 0)
		refusal = "the answer states no era";
	else if (era > max)
		refusal = "the era is too large";
	else if (era < e->known)
		refusal = "the answer is of an earlier era";
	if (refusal != NULL) {
		if (!e->refused)
			*reason = refusal;
		e->refused = true;
		return FG_ERA_REFUSED;
	}
	e->refused = false;
	e->stated = true;
	if (era == e->known)
		return FG_ERA_CURRENT;
	e->known = era;
	return first ? FG_ERA_CURRENT : FG_ERA_ADVANCED;
}

bool fg_era_advance(struct fg_era *e, uint64_t era, uint64_t max)
{
	if (era <= e->known || era > max)
		return false;
	e->stated = true;
	e->known = era;
	return true;
}
