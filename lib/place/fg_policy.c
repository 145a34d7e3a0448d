/* Lookup of policies by name. */
#include "place/fg_place_priv.h"

#include <string.h>

static const struct fg_policy *const policies[] = {
	&fg_policy_gauge,
	&fg_policy_strong,
	&fg_policy_naive,
};

const struct fg_policy *fg_policy_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
		if (strcmp(policies[i]->name, name) == 0)
			return policies[i];
	return NULL;
}
