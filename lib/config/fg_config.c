/* Tables of the catalogue and lookups in them. */
#include "config/fg_config.h"

#include <string.h>

#include "config/fg_config_priv.h"

GQuark fg_config_error_quark(void)
{
	return g_quark_from_static_string("fg-config-error");
}

#define ENT_OF(ptr, member)                                                    \
	((struct fg_adapter_ent *)((char *)(ptr)-offsetof(                     \
		struct fg_adapter_ent, member)))

static const struct fg_preset builtin_presets[] = {
	{ "ordinary", 60, 2000, 10, 0, true },
	{ "peak", 90, 500, 5, 0, true },
	{ "maintenance", 50, 0, 10, 0, false },
};

static const struct fg_service builtin_service_defaults = {
	.name = "",
	.plain = false,
	.checks_fence = false,
	.loads_per_s = 2,
	.loads_in_flight = 8,
	.load_ms = 250,
};

/* ---- Adapter records ---- */

struct fg_adapter_ent *fg_adapter_ent_new(uint32_t number, const char *base,
					  const char *name)
{
	size_t len = strlen(name) + 1;
	struct fg_adapter_ent *a = g_malloc0(sizeof(*a) + len);

	a->number = number;
	a->next_ver = 1;
	a->base = g_ref_string_new_intern(base);
	memcpy(a->name, name, len);
	return a;
}

void fg_adapter_ent_free(struct fg_adapter_ent *a)
{
	if (a == NULL)
		return;
	for (uint32_t i = 0; i < a->n_versions; i++)
		g_ref_string_release(a->versions[i].name);
	for (uint32_t i = 0; i < a->n_callers; i++)
		g_ref_string_release(a->callers[i]);
	g_ref_string_release(a->base);
	g_free(a->versions);
	g_free(a->callers);
	g_free(a);
}

size_t fg_adapter_ent_find_version(const struct fg_adapter_ent *a,
				   const char *name)
{
	for (size_t i = 0; i < a->n_versions; i++)
		if (strcmp(a->versions[i].name, name) == 0)
			return i;
	return a->n_versions;
}

void fg_adapter_ent_insert_version(struct fg_adapter_ent *a, size_t index,
				   struct fg_version_ent version)
{
	size_t n_after = a->n_versions - index;

	a->versions =
		g_renew(struct fg_version_ent, a->versions, a->n_versions + 1);
	memmove(&a->versions[index + 1], &a->versions[index],
		n_after * sizeof(version));
	a->versions[index] = version;
	a->n_versions++;
}

struct fg_version_ent fg_adapter_ent_remove_version(struct fg_adapter_ent *a,
						    size_t index)
{
	struct fg_version_ent version = a->versions[index];

	a->n_versions--;
	memmove(&a->versions[index], &a->versions[index + 1],
		(a->n_versions - index) * sizeof(version));
	return version;
}

size_t fg_adapter_ent_find_caller(const struct fg_adapter_ent *a,
				  const char *caller, bool *found)
{
	size_t low = 0;
	size_t high = a->n_callers;

	*found = false;
	while (low < high) {
		size_t mid = low + (high - low) / 2;
		int cmp = strcmp(a->callers[mid], caller);

		if (cmp == 0) {
			*found = true;
			return mid;
		}
		if (cmp < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

void fg_adapter_ent_insert_caller(struct fg_adapter_ent *a, size_t index,
				  char *caller)
{
	size_t n_after = a->n_callers - index;

	a->callers = g_renew(char *, a->callers, a->n_callers + 1);
	memmove(&a->callers[index + 1], &a->callers[index],
		n_after * sizeof(*a->callers));
	a->callers[index] = caller;
	a->n_callers++;
}

char *fg_adapter_ent_remove_caller(struct fg_adapter_ent *a, size_t index)
{
	char *caller = a->callers[index];

	a->n_callers--;
	memmove(&a->callers[index], &a->callers[index + 1],
		(a->n_callers - index) * sizeof(*a->callers));
	return caller;
}

/* ---- The catalogue ---- */

/* First steps of MurmurHash3's 32-bit finalizer; they spread consecutive
 * numbers over the table. */
static guint number_hash(gconstpointer key)
{
	uint32_t x = *(const uint32_t *)key;

	x ^= x >> 16;
	x *= 0x85ebca6bU;
	x ^= x >> 13;
	return x;
}

static gboolean number_equal(gconstpointer a, gconstpointer b)
{
	return *(const uint32_t *)a == *(const uint32_t *)b;
}

static void free_adapter_by_number(gpointer key)
{
	fg_adapter_ent_free(ENT_OF(key, number));
}

struct fg_config *fg_config_new(void)
{
	struct fg_config *c = g_new0(struct fg_config, 1);

	c->next_adapter = 1;
	c->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	c->by_number = g_hash_table_new_full(number_hash, number_equal,
					     free_adapter_by_number, NULL);
	c->n_presets = G_N_ELEMENTS(builtin_presets);
	memcpy(c->presets, builtin_presets, sizeof(builtin_presets));
	return c;
}

void fg_config_free(struct fg_config *c)
{
	if (c == NULL)
		return;
	g_hash_table_destroy(c->by_name);
	g_hash_table_destroy(c->by_number);
	g_free(c);
}

uint64_t fg_config_revision(const struct fg_config *c)
{
	return c->revision;
}

size_t fg_config_adapter_count(const struct fg_config *c)
{
	return g_hash_table_size(c->by_number);
}

struct fg_adapter_ent *fg_config_find_adapter(const struct fg_config *c,
					      const char *name)
{
	gpointer key;

	if (!g_hash_table_lookup_extended(c->by_name, name, &key, NULL))
		return NULL;
	return ENT_OF(key, name);
}

struct fg_adapter_ent *
fg_config_find_adapter_by_number(const struct fg_config *c, uint32_t number)
{
	gpointer key;

	if (!g_hash_table_lookup_extended(c->by_number, &number, &key, NULL))
		return NULL;
	return ENT_OF(key, number);
}

void fg_config_insert_adapter(struct fg_config *c, struct fg_adapter_ent *a)
{
	g_hash_table_add(c->by_name, a->name);
	g_hash_table_add(c->by_number, &a->number);
}

void fg_config_detach_adapter(struct fg_config *c, struct fg_adapter_ent *a)
{
	g_hash_table_remove(c->by_name, a->name);
	g_hash_table_steal(c->by_number, &a->number);
}

size_t fg_config_preset_index(const struct fg_config *c, const char *name)
{
	size_t i = 0;

	while (i < c->n_presets && strcmp(c->presets[i].name, name) != 0)
		i++;
	return i;
}

size_t fg_config_service_index(const struct fg_config *c, const char *name)
{
	size_t i = 0;

	while (i < c->n_services && strcmp(c->services[i].name, name) != 0)
		i++;
	return i;
}

void fg_preset_set_defaults(struct fg_preset *p, const char *name)
{
	*p = builtin_presets[0];
	g_strlcpy(p->name, name, sizeof(p->name));
}

void fg_service_set_defaults(struct fg_service *s, const char *name)
{
	*s = builtin_service_defaults;
	g_strlcpy(s->name, name, sizeof(s->name));
}

/* ---- Lookups ---- */

static bool has_right(const struct fg_adapter_ent *a, const char *caller)
{
	bool found;

	fg_adapter_ent_find_caller(a, "*", &found);
	if (!found && caller != NULL)
		fg_adapter_ent_find_caller(a, caller, &found);
	return found;
}

/* Returns the index of a version, the newest for NULL or ""; n_versions when
 * there is none. */
static size_t find_version(const struct fg_adapter_ent *a, const char *version)
{
	if (version != NULL && version[0] != '\0')
		return fg_adapter_ent_find_version(a, version);
	return a->n_versions > 0 ? a->n_versions - 1u : 0;
}

enum fg_reason fg_config_resolve(const struct fg_config *c, const char *caller,
				 const char *adapter, const char *version,
				 fg_av *av)
{
	const struct fg_adapter_ent *a;
	size_t index;

	*av = (fg_av){ 0, 0 };
	a = adapter != NULL ? fg_config_find_adapter(c, adapter) : NULL;
	if (a == NULL)
		return FG_R_UNKNOWN_ADAPTER;
	/* Checked before the version, so that callers without the right do not
	 * learn which versions exist. */
	if (!has_right(a, caller))
		return FG_R_NO_RIGHT;
	if (a->n_versions == 0)
		return FG_R_UNKNOWN_VERSION;
	index = find_version(a, version);
	if (index == a->n_versions)
		return FG_R_UNKNOWN_VERSION;
	*av = (fg_av){ a->number, a->versions[index].ver };
	return FG_R_NONE;
}

const char *fg_config_adapter_name(const struct fg_config *c, fg_av av)
{
	const struct fg_adapter_ent *a =
		fg_config_find_adapter_by_number(c, av.adapter);

	return a != NULL ? a->name : NULL;
}

const char *fg_config_version_name(const struct fg_config *c, fg_av av)
{
	const struct fg_adapter_ent *a =
		fg_config_find_adapter_by_number(c, av.adapter);

	for (size_t i = 0; a != NULL && i < a->n_versions; i++)
		if (a->versions[i].ver == av.ver)
			return a->versions[i].name;
	return NULL;
}

const char *fg_config_adapter_base(const struct fg_config *c, fg_av av)
{
	const struct fg_adapter_ent *a =
		fg_config_find_adapter_by_number(c, av.adapter);

	return a != NULL ? a->base : NULL;
}

fg_av fg_config_find_version(const struct fg_config *c, const char *adapter,
			     const char *version)
{
	const struct fg_adapter_ent *a = fg_config_find_adapter(c, adapter);
	size_t index;

	if (a == NULL)
		return (fg_av){ 0, 0 };
	index = find_version(a, version);
	if (index == a->n_versions)
		return (fg_av){ 0, 0 };
	return (fg_av){ a->number, a->versions[index].ver };
}

const struct fg_preset *fg_config_preset(const struct fg_config *c)
{
	return &c->presets[c->in_force];
}

const struct fg_service *fg_config_service(const struct fg_config *c,
					   const char *name)
{
	size_t index = fg_config_service_index(c, name);

	return index < c->n_services ? &c->services[index]
				     : &builtin_service_defaults;
}
