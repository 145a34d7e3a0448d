/* Fixture: a directory of EPS endpoints with SLOTS slots each. */
#ifndef PLACE_FIXTURE_H
#define PLACE_FIXTURE_H

#include <glib.h>

#include "place/fg_place.h"

#define SERVICE "menu"
#define REGION "salto"
#define EPS 4
#define SLOTS 2

/* Version 1 of an adapter. */
fg_av pfx_av(uint32_t adapter);

/* Applies a RESIDENT message of ep that lists avs. */
void pfx_report_resident(struct fg_dir *d, uint64_t ep, uint64_t seq,
			 uint32_t in_use, const fg_av *avs, size_t n);

/* Creates the directory with all slots empty; the caller frees it. */
struct fg_dir *pfx_new_dir(void);

#endif
