/* A directory of four endpoints with two slots each. */
#ifndef PLACE_FIXTURE_H
#define PLACE_FIXTURE_H

#include <glib.h>

#include "place/fg_place.h"

#define SERVICE "menu"
#define REGION "salto"
#define EPS 4
#define SLOTS 2

fg_av pfx_av(uint32_t adapter);
void pfx_tell(struct fg_dir *d, uint64_t ep, uint64_t seq, uint32_t in_use,
	      const fg_av *avs, size_t n);
struct fg_dir *pfx_dir(void);

#endif
