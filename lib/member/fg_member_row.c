/* Codec of the lease row. */
#include <jansson.h>
#include <string.h>

#include "member/fg_member_internal.h"

#define ROW_FORMAT 1

char *fg_lease_row_encode(const struct fg_lease_row *row)
{
	json_t *obj =
		json_pack("{s:i, s:I, s:s, s:s, s:s, s:s, s:s, s:I, s:I}",
			  "format", ROW_FORMAT, "boot", (json_int_t)row->boot,
			  "http", row->info.addr, "rpc", row->info.rpc,
			  "region", row->info.region, "dc", row->info.dc,
			  "state", row->leaving ? "leaving" : "live",
			  "region_size", (json_int_t)row->region_size,
			  "total_size", (json_int_t)row->total_size);
	char *text;
	char *copy;

	g_assert(obj != NULL);
	text = json_dumps(obj, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(obj);
	return copy;
}

bool fg_lease_row_decode(const char *key, const char *value,
			 struct fg_lease_row *row)
{
	const char *http, *rpc, *region, *dc, *state;
	json_t *obj = value != NULL ? json_loads(value, 0, NULL) : NULL;
	/* Without these keys the sizes are not known: 0. */
	json_int_t boot, region_size = 0, total_size = 0;
	int format;
	bool ok;

	memset(row, 0, sizeof(*row));
	ok = obj != NULL && g_str_has_prefix(key, FG_MEMBER_KEY_PREFIX) &&
	     json_unpack(obj, "{s:i, s:I, s:s, s:s, s:s, s:s, s:s, s?I, s?I}",
			 "format", &format, "boot", &boot, "http", &http, "rpc",
			 &rpc, "region", &region, "dc", &dc, "state", &state,
			 "region_size", &region_size, "total_size",
			 &total_size) == 0 &&
	     format >= ROW_FORMAT;
	if (ok) {
		const char *name = key + strlen(FG_MEMBER_KEY_PREFIX);

		row->boot = (uint64_t)boot;
		row->region_size = (uint32_t)region_size;
		row->total_size = (uint32_t)total_size;
		row->leaving = strcmp(state, "leaving") == 0;
		row->info.kind = FG_LIST_ENTRY_INSTANCE;
		row->info.id = fg_hash_str(name);
		row->info.leaving = row->leaving;
		g_strlcpy(row->info.name, name, sizeof(row->info.name));
		g_strlcpy(row->info.addr, http, sizeof(row->info.addr));
		g_strlcpy(row->info.rpc, rpc, sizeof(row->info.rpc));
		g_strlcpy(row->info.region, region, sizeof(row->info.region));
		g_strlcpy(row->info.dc, dc, sizeof(row->info.dc));
	}
	if (obj != NULL)
		json_decref(obj);
	return ok;
}
