#include "place_fixture.h"

#include <stdlib.h>

fg_av pfx_av(uint32_t adapter)
{
	return (fg_av){ adapter, 1 };
}

void pfx_report_resident(struct fg_dir *d, uint64_t ep, uint64_t seq,
			 uint32_t in_use, const fg_av *avs, size_t n)
{
	fg_resident r = { .ep = ep,
			  .fence = 1,
			  .seq = seq,
			  .slots = SLOTS,
			  .in_use = in_use,
			  .batch = 8 };

	fg_msg_set_avs(&r, avs, n);
	fg_dir_on_resident(d, 0, &r);
	free(r.av.av_val);
}

struct fg_dir *pfx_new_dir(void)
{
	struct fg_dir *d = fg_dir_new(1);

	for (uint64_t ep = 1; ep <= EPS; ep++) {
		fg_dir_set_endpoint(d, ep, SERVICE, REGION, "a", false);
		pfx_report_resident(d, ep, 1, 0, NULL, 0);
	}
	return d;
}
