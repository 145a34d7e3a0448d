#include "common/si_fault.h"

#include <string.h>

#include "common/si_http.h"

#define COUNT_UNLIMITED (-1)

struct si_fault {
	struct si_proc *proc;
	pthread_mutex_t lock;
	fg_ms outage_until;
	fg_ms frozen_until;
	int64_t slow_ms;
	int64_t slow_count; /* answers left, or COUNT_UNLIMITED */
	char *slow_match;   /* text in the request body; "": any body */
	int64_t drop_count;
	char *drop_path;	   /* "": any path */
	char *drop_match;	   /* like slow_match */
	GHashTable *cut_instances; /* set of instance names */
	int64_t counted[SI_FAULT_KINDS];
};

struct si_fault *si_fault_new(struct si_proc *proc)
{
	struct si_fault *fault = g_new0(struct si_fault, 1);

	fault->proc = proc;
	pthread_mutex_init(&fault->lock, NULL);
	fault->drop_path = g_strdup("");
	fault->drop_match = g_strdup("");
	fault->slow_match = g_strdup("");
	fault->cut_instances =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return fault;
}

void si_fault_free(struct si_fault *fault)
{
	if (!fault)
		return;
	g_hash_table_destroy(fault->cut_instances);
	g_free(fault->drop_path);
	g_free(fault->drop_match);
	g_free(fault->slow_match);
	pthread_mutex_destroy(&fault->lock);
	g_free(fault);
}

static void op_outage(struct si_fault *fault, json_t *body)
{
	fault->outage_until = fg_clock_now() + si_field_int(body, "ms", 0);
}

static void set_field_text(char **text, json_t *body, const char *field)
{
	g_free(*text);
	*text = g_strdup(si_field_str(body, field));
}

static void op_slow(struct si_fault *fault, json_t *body)
{
	fault->slow_ms = si_field_int(body, "ms", 0);
	fault->slow_count = si_field_int(body, "count", COUNT_UNLIMITED);
	set_field_text(&fault->slow_match, body, "match");
}

static void op_drop_answer(struct si_fault *fault, json_t *body)
{
	fault->drop_count = si_field_int(body, "count", 1);
	set_field_text(&fault->drop_path, body, "path");
	set_field_text(&fault->drop_match, body, "match");
}

static void op_cut(struct si_fault *fault, json_t *body)
{
	g_hash_table_add(fault->cut_instances,
			 g_strdup(si_field_str(body, "name")));
}

static void op_heal(struct si_fault *fault, json_t *body)
{
	g_hash_table_remove(fault->cut_instances, si_field_str(body, "name"));
}

static void op_crash(struct si_fault *fault, json_t *body)
{
	(void)fault;
	(void)body;
	si_proc_crash();
}

static void op_freeze(struct si_fault *fault, json_t *body)
{
	fault->frozen_until = fg_clock_now() + si_field_int(body, "ms", 0);
}

static void op_truncate(struct si_fault *fault, json_t *body)
{
	fault->counted[SI_FAULT_TRUNCATE] = si_field_int(body, "count", 1);
}

static void op_garble(struct si_fault *fault, json_t *body)
{
	fault->counted[SI_FAULT_GARBLE] = si_field_int(body, "count", 1);
}

static void op_refuse(struct si_fault *fault, json_t *body)
{
	fault->counted[SI_FAULT_REFUSE] = si_field_int(body, "count", 1);
}

static void op_fail_load(struct si_fault *fault, json_t *body)
{
	fault->counted[SI_FAULT_FAIL_LOAD] = si_field_int(body, "count", 1);
}

#define ANY_KIND (SI_PLATFORM | SI_ENGINE | SI_PLAIN)

static const struct {
	const char *name;
	uint32_t kinds; /* enum si_kind */
	void (*fn)(struct si_fault *fault, json_t *body);
} ops[] = {
	{ "outage", SI_PLATFORM, op_outage },
	{ "slow", ANY_KIND, op_slow },
	{ "drop_answer", ANY_KIND, op_drop_answer },
	{ "cut", SI_PLATFORM, op_cut },
	{ "heal", SI_PLATFORM, op_heal },
	{ "crash", SI_ENGINE | SI_PLAIN, op_crash },
	{ "freeze", SI_ENGINE | SI_PLAIN, op_freeze },
	{ "truncate", SI_ENGINE | SI_PLAIN, op_truncate },
	{ "garble", SI_ENGINE | SI_PLAIN, op_garble },
	{ "refuse", SI_ENGINE | SI_PLAIN, op_refuse },
	{ "fail_load", SI_ENGINE, op_fail_load },
};

bool si_fault_apply_op(struct si_fault *fault, const char *op, json_t *body)
{
	uint32_t kind = fault->proc->program->kind;

	for (size_t i = 0; i < G_N_ELEMENTS(ops); i++) {
		if (strcmp(ops[i].name, op) != 0 || !(ops[i].kinds & kind))
			continue;
		pthread_mutex_lock(&fault->lock);
		ops[i].fn(fault, body);
		pthread_mutex_unlock(&fault->lock);
		return true;
	}
	return false;
}

static fg_ms freeze_remaining_ms(struct si_fault *fault)
{
	fg_ms left;

	pthread_mutex_lock(&fault->lock);
	left = fault->frozen_until - fg_clock_now();
	pthread_mutex_unlock(&fault->lock);
	return left;
}

bool si_fault_wait_unfrozen(struct si_fault *fault)
{
	fg_ms left;

	while ((left = freeze_remaining_ms(fault)) > 0)
		if (!si_proc_sleep(fault->proc, left))
			return false;
	return true;
}

bool si_fault_before_run(struct si_fault *fault, const char *instance)
{
	bool is_cut;

	if (!si_fault_wait_unfrozen(fault))
		return false;
	pthread_mutex_lock(&fault->lock);
	is_cut = g_hash_table_contains(fault->cut_instances, instance);
	pthread_mutex_unlock(&fault->lock);
	return !is_cut;
}

static bool body_matches(const char *body, const char *match)
{
	return *match == '\0' || strstr(body, match) != NULL;
}

static int64_t consume_delay_ms(struct si_fault *fault, const char *body)
{
	if (fault->slow_ms <= 0 || fault->slow_count == 0)
		return 0;
	if (!body_matches(body, fault->slow_match))
		return 0;
	if (fault->slow_count > 0)
		fault->slow_count--;
	return fault->slow_ms;
}

static bool consume_drop(struct si_fault *fault, const char *path,
			 const char *body)
{
	if (fault->drop_count <= 0)
		return false;
	if (*fault->drop_path && strcmp(fault->drop_path, path) != 0)
		return false;
	if (!body_matches(body, fault->drop_match))
		return false;
	fault->drop_count--;
	return true;
}

bool si_fault_before_answer(struct si_fault *fault, const char *path,
			    const char *body)
{
	int64_t delay_ms;
	bool drop;

	pthread_mutex_lock(&fault->lock);
	delay_ms = consume_delay_ms(fault, body);
	drop = consume_drop(fault, path, body);
	pthread_mutex_unlock(&fault->lock);
	if (delay_ms > 0 && !si_proc_sleep(fault->proc, delay_ms))
		return false;
	return si_fault_wait_unfrozen(fault) && !drop;
}

bool si_fault_is_outage(struct si_fault *fault)
{
	bool outage;

	pthread_mutex_lock(&fault->lock);
	outage = fg_clock_now() < fault->outage_until;
	pthread_mutex_unlock(&fault->lock);
	return outage;
}

bool si_fault_consume(struct si_fault *fault, enum si_counted_fault which)
{
	bool taken;

	pthread_mutex_lock(&fault->lock);
	taken = fault->counted[which] > 0;
	if (taken)
		fault->counted[which]--;
	pthread_mutex_unlock(&fault->lock);
	return taken;
}
