#include <string.h>

#include "base/fg_rand.h"
#include "common/si_fault.h"
#include "engine/si_engine.h"

#define QUEUE_PER_BATCH 4 /* queued requests allowed per batch position */
#define PREFILL_STEPS 2	  /* when the prompt prefix is not cached */
#define TOKENS_MAX 100000
#define TIMEOUT_MAX_MS 3600000

struct si_run *si_run_new(json_t *body)
{
	int64_t max_tokens = si_field_int(body, "max_tokens", 0);
	int64_t timeout_ms = si_field_int(body, "timeout_ms", TIMEOUT_MAX_MS);
	struct si_run *run;

	if (!*si_field_str(body, "id") || !*si_field_str(body, "adapter") ||
	    !*si_field_str(body, "version") || max_tokens < 1 ||
	    max_tokens > TOKENS_MAX || timeout_ms < 1)
		return NULL;
	run = g_new0(struct si_run, 1);
	run->refs = 1;
	run->id = g_strdup(si_field_str(body, "id"));
	run->tag = g_strdup(si_field_str(body, "tag"));
	run->adapter = g_strdup(si_field_str(body, "adapter"));
	run->version = g_strdup(si_field_str(body, "version"));
	run->prompt = g_strdup(si_field_str(body, "prompt"));
	run->max_tokens = (uint32_t)max_tokens;
	run->priority = si_field_int(body, "priority", 0);
	run->deadline = fg_clock_now() + timeout_ms;
	run->slot = SI_NO_SLOT;
	run->tokens = g_ptr_array_new_with_free_func(g_free);
	si_cond_init(&run->changed);
	return run;
}

void si_run_ref(struct si_run *run)
{
	run->refs++;
}

void si_run_unref(struct si_run *run)
{
	if (--run->refs > 0)
		return;
	g_free(run->id);
	g_free(run->tag);
	g_free(run->adapter);
	g_free(run->version);
	g_free(run->prompt);
	g_ptr_array_free(run->tokens, TRUE);
	pthread_cond_destroy(&run->changed);
	g_free(run);
}

static void log_run(struct si_engine *e, const char *ev,
		    const struct si_run *run, bool ok)
{
	const struct si_slot *slot = &e->slots[run->slot];

	si_log_event(e->proc->log, ev,
		     json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:s, s:b}", "id",
			       run->id, "tag", run->tag, "adapter",
			       run->adapter, "version", run->version, "slot",
			       (int)run->slot, "slot_adapter", slot->adapter,
			       "slot_version", slot->version, "ok", ok));
}

void si_batch_end(struct si_engine *e, struct si_run *run, const char *error)
{
	run->error = error;
	if (run->state == SI_RUNNING) {
		log_run(e, "run_end", run, error == NULL);
		e->slots[run->slot].running--;
		run->state = SI_ENDED;
		g_ptr_array_remove(e->running, run);
	} else if (run->state == SI_QUEUED) {
		run->state = SI_REFUSED;
		g_ptr_array_remove(e->queue, run);
	} else {
		return;
	}
	pthread_cond_broadcast(&run->changed);
	si_run_unref(run);
}

static struct si_run *find_run(GPtrArray *runs, const char *id)
{
	for (guint i = 0; i < runs->len; i++) {
		struct si_run *run = g_ptr_array_index(runs, i);

		if (strcmp(run->id, id) == 0)
			return run;
	}
	return NULL;
}

void si_batch_cancel(struct si_engine *e, const char *id)
{
	struct si_run *run = find_run(e->running, id);

	if (!run)
		run = find_run(e->queue, id);
	if (run)
		si_batch_end(e, run, "cancelled");
}

static void cut_runs(struct si_engine *e, const GPtrArray *runs)
{
	/* Backwards, because a run that ends is removed from the array. */
	for (guint i = runs->len; i > 0; i--) {
		struct si_run *run = g_ptr_array_index(runs, i - 1);

		run->cut_off = true;
		si_batch_end(e, run, "restarted");
	}
}

void si_batch_cut_all(struct si_engine *e)
{
	cut_runs(e, e->running);
	cut_runs(e, e->queue);
}

const char *si_batch_enqueue(struct si_engine *e, struct si_run *run)
{
	if (si_slots_find(e, run->adapter, run->version) == SI_NO_SLOT)
		return "not_loaded";
	if (e->queue->len >= e->batch * QUEUE_PER_BATCH)
		return "full";
	run->arrival = ++e->last_arrival;
	run->state = SI_QUEUED;
	si_run_ref(run);
	g_ptr_array_add(e->queue, run);
	pthread_cond_signal(&e->wakeup);
	return NULL;
}

/* True when a is to start before b. */
static bool has_precedence(const struct si_run *a, const struct si_run *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->arrival < b->arrival;
}

static struct si_run *first_queued(struct si_engine *e)
{
	struct si_run *first = NULL;

	for (guint i = 0; i < e->queue->len; i++) {
		struct si_run *run = g_ptr_array_index(e->queue, i);

		if (!first || has_precedence(run, first))
			first = run;
	}
	return first;
}

/* Ends the process if the prompt holds the poison word, unless the fault asks
 * for a restart instead: restart_if_poisoned() does that. */
static void crash_if_poisoned(struct si_engine *e, const struct si_run *run)
{
	if (!*e->poison || !strstr(run->prompt, e->poison))
		return;
	if (!e->poison_restarts)
		si_proc_crash();
}

static void start_run(struct si_engine *e, struct si_run *run)
{
	uint32_t slot = si_slots_find(e, run->adapter, run->version);

	if (slot == SI_NO_SLOT) {
		si_batch_end(e, run, "not_loaded");
		return;
	}
	g_ptr_array_remove(e->queue, run);
	g_ptr_array_add(e->running, run);
	run->state = SI_RUNNING;
	run->slot = slot;
	run->prefill = si_prefix_use(e->prefix, run) ? 0 : PREFILL_STEPS;
	e->slots[slot].running++;
	log_run(e, "run_start", run, true);
	pthread_cond_broadcast(&run->changed);
	crash_if_poisoned(e, run);
}

static void fill_batch(struct si_engine *e)
{
	while (e->running->len < e->batch && e->queue->len > 0)
		start_run(e, first_queued(e));
}

static char *make_token(const struct si_slot *slot, const struct si_run *run)
{
	char *seed =
		g_strdup_printf("%s@%s|%s|%u", slot->adapter, slot->version,
				run->prompt, run->tokens->len);
	char *text =
		g_strdup_printf("%s@%s:%u:%08x ", slot->adapter, slot->version,
				run->tokens->len, (uint32_t)fg_hash_str(seed));

	g_free(seed);
	return text;
}

/*
 * Makes the next token from the current content of the slot, so that the answer
 * shows whether the adapter was replaced during the run.
 */
static void step_run(struct si_engine *e, struct si_run *run)
{
	const struct si_slot *slot = &e->slots[run->slot];

	if (fg_clock_now() >= run->deadline) {
		si_batch_end(e, run, "timeout");
		return;
	}
	if (slot->loading || !*slot->adapter) {
		si_batch_end(e, run, "adapter_gone");
		return;
	}
	if (run->prefill > 0) {
		run->prefill--;
		return;
	}
	g_ptr_array_add(run->tokens, make_token(slot, run));
	if (run->tokens->len == run->max_tokens)
		si_batch_end(e, run, NULL);
	else
		pthread_cond_broadcast(&run->changed);
}

static void restart_if_poisoned(struct si_engine *e)
{
	for (guint i = 0; i < e->running->len; i++) {
		struct si_run *run = g_ptr_array_index(e->running, i);

		if (!*e->poison || !strstr(run->prompt, e->poison))
			continue;
		si_engine_restart(e);
		return;
	}
}

static void step_batch(struct si_engine *e)
{
	restart_if_poisoned(e);
	/* Backwards, because a run that ends is removed from the array. */
	for (guint i = e->running->len; i > 0; i--)
		step_run(e, g_ptr_array_index(e->running, i - 1));
}

/* Waits until the next step is due; admits queued runs in the meantime. */
static void wait_for_step(struct si_engine *e, gint64 due_us)
{
	while (!e->stopping && g_get_monotonic_time() < due_us) {
		fill_batch(e);
		si_cond_wait_until(&e->wakeup, &e->lock, due_us);
	}
}

static void *batch_loop(void *arg)
{
	struct si_engine *e = arg;
	gint64 step_us = (gint64)e->token_ms * 1000;
	gint64 due_us;

	pthread_mutex_lock(&e->lock);
	while (!e->stopping) {
		fill_batch(e);
		if (e->running->len == 0) {
			pthread_cond_wait(&e->wakeup, &e->lock);
			continue;
		}
		due_us = g_get_monotonic_time() + step_us;
		wait_for_step(e, due_us);
		pthread_mutex_unlock(&e->lock);
		if (!si_fault_wait_unfrozen(e->proc->fault)) {
			pthread_mutex_lock(&e->lock);
			break;
		}
		pthread_mutex_lock(&e->lock);
		step_batch(e);
	}
	pthread_mutex_unlock(&e->lock);
	return NULL;
}

bool si_batch_start(struct si_engine *e)
{
	e->queue = g_ptr_array_new();
	e->running = g_ptr_array_new();
	pthread_create(&e->thread, NULL, batch_loop, e);
	return true;
}

void si_batch_stop(struct si_engine *e)
{
	pthread_mutex_lock(&e->lock);
	e->stopping = true;
	pthread_cond_broadcast(&e->wakeup);
	si_batch_cut_all(e);
	pthread_mutex_unlock(&e->lock);
	pthread_join(e->thread, NULL);
}

void si_batch_free(struct si_engine *e)
{
	g_ptr_array_free(e->queue, TRUE);
	g_ptr_array_free(e->running, TRUE);
}
