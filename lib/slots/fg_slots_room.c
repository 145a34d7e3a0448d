/* What fits into an engine: its slots, and its memory. */
#include "slots/fg_slots_internal.h"

#include <string.h>

/* Room of a model that is not known. Sums of a few stay within 64 bits. */
#define UNKNOWN_KB (UINT64_MAX / FG_SLOTS_MAX / 4)

/* Sets the model that an empty engine loads. */
static void choose_default_model(struct fg_slots *s)
{
	const struct fg_slots_limits *limits = &s->conf.limits;
	const struct fg_slots_model *chosen = limits->models;

	if (limits->n_models == 0)
		return;
	for (uint32_t i = 0; limits->memory_kb > 0 && i < limits->n_models;
	     i++) {
		if (limits->models[i].weights_kb > limits->memory_kb)
			continue;
		chosen = &limits->models[i];
		break;
	}
	g_strlcpy(s->conf.model, chosen->name, sizeof(s->conf.model));
}

void fg_slots_set_limits(struct fg_slots *s,
			 const struct fg_slots_limits *limits)
{
	struct fg_slots_model *models =
		g_new0(struct fg_slots_model, limits->n_models);

	for (uint32_t i = 0; i < limits->n_models; i++) {
		models[i] = limits->models[i];
		models[i].name = g_strdup(limits->models[i].name);
	}
	for (uint32_t i = 0; s->models != NULL && i < s->conf.limits.n_models;
	     i++)
		g_free((char *)s->models[i].name);
	g_free(s->models);
	s->models = models;
	s->conf.limits = *limits;
	s->conf.limits.slots = MIN(limits->slots, FG_SLOTS_MAX);
	s->conf.limits.models = models;
	choose_default_model(s);
}

static const struct fg_slots_model *
find_model(const struct fg_slots_limits *limits, const char *name)
{
	for (uint32_t i = 0; i < limits->n_models; i++) {
		if (strcmp(limits->models[i].name, name) == 0)
			return &limits->models[i];
	}
	return NULL;
}

static uint64_t weights_kb(const struct fg_slots_limits *limits,
			   const char *model)
{
	const struct fg_slots_model *m = find_model(limits, model);

	return m == NULL ? UNKNOWN_KB : MIN(m->weights_kb, UNKNOWN_KB);
}

static uint64_t adapter_kb(const struct fg_slots_limits *limits,
			   const char *model)
{
	const struct fg_slots_model *m = find_model(limits, model);

	return m == NULL ? UNKNOWN_KB : MIN(m->adapter_kb, UNKNOWN_KB);
}

bool fg_slots_could_hold(const struct fg_slots_limits *limits,
			 const char *model)
{
	return limits->memory_kb == 0 ||
	       weights_kb(limits, model) + adapter_kb(limits, model) <=
		       limits->memory_kb;
}

uint64_t fg_slots_weights_kb(const struct fg_slots *s, const char *model)
{
	return weights_kb(&s->conf.limits, model);
}

/* Memory of the base models, and of the adapters other than those that may be
 * evicted, if `evict` is set. */
static uint64_t taken_kb(const struct fg_slots *s, bool evict, fg_ms now)
{
	const struct fg_slots_limits *limits = &s->conf.limits;
	uint64_t sum = weights_kb(limits, s->base.model) +
		       MIN(s->extra_kb, UNKNOWN_KB);

	for (uint32_t i = 0; i < s->n; i++) {
		if (!evict || !fg_slots_is_evictable(&s->slots[i], now))
			sum += adapter_kb(limits, s->slots[i].model);
	}
	return sum;
}

bool fg_slots_fits(const struct fg_slots *s, const char *model)
{
	const struct fg_slots_limits *limits = &s->conf.limits;

	if (s->n >= limits->slots)
		return false;
	return limits->memory_kb == 0 ||
	       taken_kb(s, false, 0) + adapter_kb(limits, model) <=
		       limits->memory_kb;
}

bool fg_slots_fits_after_evictions(const struct fg_slots *s, fg_ms now,
				   const char *model)
{
	const struct fg_slots_limits *limits = &s->conf.limits;

	return limits->memory_kb == 0 ||
	       taken_kb(s, true, now) + adapter_kb(limits, model) <=
		       limits->memory_kb;
}

uint32_t fg_slots_count_free(const struct fg_slots *s)
{
	const struct fg_slots_limits *limits = &s->conf.limits;
	uint32_t slots = limits->slots - MIN(s->n, limits->slots);
	uint64_t each = adapter_kb(limits, s->base.model);
	uint64_t taken;

	if (limits->memory_kb == 0 || each == 0)
		return slots;
	taken = taken_kb(s, false, 0);
	return (uint32_t)MIN(
		slots,
		(limits->memory_kb - MIN(taken, limits->memory_kb)) / each);
}

bool fg_slots_base_fits(const struct fg_slots *s)
{
	const struct fg_slots_limits *limits = &s->conf.limits;

	return limits->memory_kb == 0 ||
	       taken_kb(s, false, 0) <= limits->memory_kb;
}
