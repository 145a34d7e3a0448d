/* Codec of the owner row. */
#include <jansson.h>
#include <string.h>

#include "owner/fg_owner_internal.h"

#define ROW_FORMAT 1
#define HEX_BYTES 17

static json_t *encode_av(fg_av av)
{
	return json_pack("[I, I]", (json_int_t)av.adapter, (json_int_t)av.ver);
}

static json_t *encode_intent(const struct fg_intent *in)
{
	char id[HEX_BYTES];

	g_snprintf(id, sizeof(id), "%016" PRIx64, in->id);
	return json_pack("{s:s, s:I, s:o, s:o, s:I, s:I}", "id", id, "slot",
			 (json_int_t)in->slot, "victim", encode_av(in->victim),
			 "av", encode_av(in->av), "fence",
			 (json_int_t)in->fence, "life_ms",
			 (json_int_t)in->life_ms);
}

char *fg_owner_row_encode(const struct fg_owner_row *row)
{
	json_t *intents = json_array();
	char owner[HEX_BYTES];
	json_t *obj;
	char *text;
	char *copy;

	for (size_t i = 0; i < row->n_intents; i++)
		json_array_append_new(intents, encode_intent(&row->intents[i]));
	g_snprintf(owner, sizeof(owner), "%016" PRIx64, row->owner);
	obj = json_pack("{s:i, s:s, s:I, s:o}", "format", ROW_FORMAT, "owner",
			owner, "fence", (json_int_t)row->fence, "intents",
			intents);
	g_assert(obj != NULL);
	text = json_dumps(obj, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(obj);
	return copy;
}

static bool decode_av(json_t *obj, fg_av *av)
{
	json_int_t adapter, ver;

	if (json_unpack(obj, "[I, I]", &adapter, &ver) != 0)
		return false;
	av->adapter = (u_int)adapter;
	av->ver = (u_int)ver;
	return true;
}

static bool decode_intent(json_t *obj, struct fg_intent *in)
{
	json_int_t slot, fence, life_ms;
	json_t *victim, *av;
	const char *id;
	guint64 number;

	if (json_unpack(obj, "{s:s, s:I, s:o, s:o, s:I, s:I}", "id", &id,
			"slot", &slot, "victim", &victim, "av", &av, "fence",
			&fence, "life_ms", &life_ms) != 0 ||
	    !g_ascii_string_to_unsigned(id, 16, 0, UINT64_MAX, &number, NULL))
		return false;
	in->id = number;
	in->slot = (uint32_t)slot;
	in->fence = (uint64_t)fence;
	in->life_ms = (uint32_t)life_ms;
	return decode_av(victim, &in->victim) && decode_av(av, &in->av);
}

static bool decode_row(json_t *obj, struct fg_owner_row *row)
{
	json_int_t fence;
	json_t *intents;
	const char *owner;
	guint64 number;
	int format;

	if (json_unpack(obj, "{s:i, s:s, s:I, s:o}", "format", &format, "owner",
			&owner, "fence", &fence, "intents", &intents) != 0 ||
	    format < ROW_FORMAT || json_array_size(intents) > FG_INTENTS_MAX ||
	    !g_ascii_string_to_unsigned(owner, 16, 0, UINT64_MAX, &number,
					NULL))
		return false;
	row->owner = number;
	row->fence = (uint64_t)fence;
	row->n_intents = json_array_size(intents);
	for (size_t i = 0; i < row->n_intents; i++)
		if (!decode_intent(json_array_get(intents, i),
				   &row->intents[i]))
			return false;
	return true;
}

bool fg_owner_row_decode(const char *value, struct fg_owner_row *row)
{
	json_t *obj = value != NULL ? json_loads(value, 0, NULL) : NULL;
	bool ok;

	memset(row, 0, sizeof(*row));
	if (obj == NULL)
		return false;
	ok = decode_row(obj, row);
	json_decref(obj);
	return ok;
}
