#include "config/fg_ackset.h"

#include <glib.h>

/* Live and lapsed instances of one region. */
struct region {
	size_t live;
	size_t lapsed;
};

static struct region *region_of(GHashTable *regions, const char *name)
{
	struct region *r = g_hash_table_lookup(regions, name);

	if (r == NULL) {
		r = g_new0(struct region, 1);
		g_hash_table_insert(regions, (gpointer)name, r);
	}
	return r;
}

size_t fg_ack_required(const struct fg_ack_member *m, size_t n, uint64_t *ids)
{
	GHashTable *regions =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	size_t required = 0;

	for (size_t i = 0; i < n; i++) {
		struct region *r = region_of(regions, m[i].region);

		if (m[i].live)
			r->live++;
		else
			r->lapsed++;
	}
	for (size_t i = 0; i < n; i++) {
		const struct region *r = region_of(regions, m[i].region);

		if (m[i].live || r->lapsed > r->live)
			ids[required++] = m[i].id;
	}
	g_hash_table_destroy(regions);
	return required;
}
