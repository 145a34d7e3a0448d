#include "slots/fg_slots.h"

#include <glib.h>
#include <string.h>

/* A load that should be there is asked for again at this interval until the
 * engine says that it holds. */
#define CHECK_MS 30
/* The same for an unload that waits for its runs. */
#define UNLOAD_CHECK_MS 60
/* The same for a base model, whose load takes seconds. */
#define BASE_CHECK_MS 200
/* The engine's report lags by some hundred ms. */
#define REPORT_RETRY_MS 150
/* After an order that the engine does not know. */
#define REFUSED_WAIT_MS 1000
/* A want of this age can still be loaded, and its prompt read, within the
 * aims of 800 ms and more that model requests have. */
#define YOUNG_MS 400
/* Reloads of an adapter that the engine held before take a tenth of a load. */
#define RELOAD_SHARE 10

enum state {
	COMING = 1,
	RESIDENT = 2,
	LEAVING = 3, /* ordered to unload, not yet confirmed */
};

struct slot {
	uint64_t key;
	char model[FG_FLEET_NAME_BYTES];
	char adapter[FG_FLEET_NAME_BYTES];
	enum state state;
	uint64_t version; /* resident, or 0 */
	uint64_t newest;  /* announced; 0: none heard of */
	fg_ms used;
	fg_ms check_at; /* COMING, LEAVING: look again */
	fg_ms begun;	/* COMING: when it was ordered */
	bool fetch;	/* COMING: from the weight store */
	bool accepted;	/* COMING: the engine took the order, and takes a repeat
			 * of it without counting it in its sequence */
};

struct want {
	uint64_t key;
	char model[FG_FLEET_NAME_BYTES];
	char adapter[FG_FLEET_NAME_BYTES];
	uint64_t version;
	fg_ms since;
	fg_ms asked; /* last */
	uint32_t asks;
};

struct fg_slots {
	struct fg_slots_conf conf;
	struct slot slots[FG_SLOTS_MAX];
	uint32_t n;
	GArray *wants;	       /* struct want, oldest first */
	GHashTable *newest;    /* key -> announced version */
	GHashTable *held_once; /* keys that the engine loaded before */
	uint64_t sequence;
	bool synced;	 /* sequence and slots are known */
	bool known;	 /* slots were known at some time since the reset */
	fg_ms report_at; /* earliest time of the next report */
	uint64_t
		stale_sequence; /* refused as expected: reports of it are old */
	bool stale;
	/* The base model, kept apart from the slots of adapters. */
	struct slot base;
	enum fg_slots_act sent; /* in flight */
	uint64_t sent_key;
	uint32_t fetched_ms; /* of the last load from the weight store */
};

/* No model is known to be there. */
static void clear_base(struct fg_slots *s)
{
	memset(&s->base, 0, sizeof(s->base));
	g_strlcpy(s->base.model, s->conf.model, sizeof(s->base.model));
	s->base.key = fg_adapter_key(s->base.model, "");
	s->base.state = COMING;
}

struct fg_slots *fg_slots_new(const struct fg_slots_conf *conf)
{
	struct fg_slots *s = g_new0(struct fg_slots, 1);

	s->conf = *conf;
	s->conf.slots = MIN(conf->slots, FG_SLOTS_MAX);
	clear_base(s);
	s->wants = g_array_new(FALSE, TRUE, sizeof(struct want));
	s->newest = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  g_free);
	s->held_once = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, NULL);
	return s;
}

void fg_slots_free(struct fg_slots *s)
{
	if (s == NULL)
		return;
	g_array_unref(s->wants);
	g_hash_table_unref(s->newest);
	g_hash_table_unref(s->held_once);
	g_free(s);
}

void fg_slots_reset(struct fg_slots *s)
{
	s->n = 0;
	clear_base(s);
	s->synced = false;
	s->known = false;
	s->stale = false;
	s->report_at = 0;
	s->sent = FG_SLOTS_NOTHING;
	g_hash_table_remove_all(s->held_once);
}

static struct slot *slot_of(const struct fg_slots *s, uint64_t key)
{
	if (s->base.key == key)
		return (struct slot *)&s->base;
	for (uint32_t i = 0; i < s->n; i++) {
		if (s->slots[i].key == key)
			return (struct slot *)&s->slots[i];
	}
	return NULL;
}

static uint64_t newest_of(const struct fg_slots *s, uint64_t key)
{
	const uint64_t *v = g_hash_table_lookup(s->newest, &key);

	return v == NULL ? 0 : *v;
}

static bool is_current(const struct slot *slot)
{
	return slot->state == RESIDENT && slot->version >= slot->newest;
}

static struct slot *add_slot(struct fg_slots *s, fg_ms now, const char *model,
			     const char *adapter)
{
	struct slot *slot;

	if (s->n == FG_SLOTS_MAX)
		return NULL;
	g_assert(slot_of(s, fg_adapter_key(model, adapter)) == NULL);
	slot = &s->slots[s->n++];
	memset(slot, 0, sizeof(*slot));
	g_strlcpy(slot->model, model, sizeof(slot->model));
	g_strlcpy(slot->adapter, adapter, sizeof(slot->adapter));
	slot->key = fg_adapter_key(model, adapter);
	slot->newest = newest_of(s, slot->key);
	slot->used = now;
	return slot;
}

static void drop_slot(struct fg_slots *s, struct slot *slot)
{
	*slot = s->slots[--s->n];
}

/* ---- Room ---- */

static struct slot *victim(const struct fg_slots *s, fg_ms now)
{
	struct slot *best = NULL;

	for (uint32_t i = 0; i < s->n; i++) {
		struct slot *slot = (struct slot *)&s->slots[i];

		if (slot->state != RESIDENT ||
		    now - slot->used < FG_SLOTS_IDLE_MS)
			continue;
		if (best == NULL || slot->used < best->used)
			best = slot;
	}
	return best;
}

uint32_t fg_slots_spare_age(const struct fg_slots *s, fg_ms now)
{
	const struct slot *v;

	if (!s->synced || s->base.state != RESIDENT)
		return 0;
	if (s->n + s->wants->len < s->conf.slots)
		return UINT32_MAX;
	v = victim(s, now);
	return v == NULL ? 0 : (uint32_t)MIN(now - v->used, UINT32_MAX - 1);
}

static uint32_t count(const struct fg_slots *s, enum state state)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n; i++)
		n += s->slots[i].state == state ? 1 : 0;
	return n;
}

/* ---- Wants ---- */

static struct want *want_of(const struct fg_slots *s, uint64_t key)
{
	for (guint i = 0; i < s->wants->len; i++) {
		struct want *w = &g_array_index(s->wants, struct want, i);

		if (w->key == key)
			return w;
	}
	return NULL;
}

enum fg_slot_state fg_slots_state(const struct fg_slots *s, uint64_t key)
{
	const struct slot *slot = slot_of(s, key);

	if (slot != NULL && is_current(slot))
		return FG_SLOT_RESIDENT;
	if (slot != NULL && slot->state != LEAVING)
		return FG_SLOT_COMING;
	return want_of(s, key) != NULL ? FG_SLOT_COMING : FG_SLOT_ABSENT;
}

enum fg_slot_state fg_slots_want(struct fg_slots *s, fg_ms now,
				 const char *model, const char *adapter,
				 uint64_t version)
{
	struct want w = { .since = now, .asked = now, .version = version };
	struct want *before;
	enum fg_slot_state state;

	w.key = fg_adapter_key(model, adapter);
	if (version > newest_of(s, w.key))
		fg_slots_announced(s, w.key, version);
	before = want_of(s, w.key);
	if (before != NULL) {
		before->asks++;
		before->asked = now;
	}
	state = fg_slots_state(s, w.key);
	if (state != FG_SLOT_ABSENT) {
		fg_slots_used(s, now, w.key);
		return state;
	}
	if (adapter[0] == '\0' || strcmp(model, s->base.model) != 0)
		return FG_SLOT_FULL; /* holds another model */
	if (s->wants->len >= s->conf.queue_max)
		return FG_SLOT_FULL;
	g_strlcpy(w.model, model, sizeof(w.model));
	g_strlcpy(w.adapter, adapter, sizeof(w.adapter));
	g_array_append_val(s->wants, w);
	return FG_SLOT_COMING;
}

void fg_slots_used(struct fg_slots *s, fg_ms now, uint64_t key)
{
	struct slot *slot = slot_of(s, key);

	if (slot != NULL)
		slot->used = now;
}

void fg_slots_announced(struct fg_slots *s, uint64_t key, uint64_t version)
{
	struct slot *slot = slot_of(s, key);

	if (version <= newest_of(s, key))
		return;
	g_hash_table_insert(s->newest, g_memdup2(&key, sizeof(key)),
			    g_memdup2(&version, sizeof(version)));
	if (slot != NULL)
		slot->newest = version;
}

/* ---- Next message ---- */

static void remember_sent(struct fg_slots *s, enum fg_slots_act act,
			  struct slot *slot, struct fg_slots_step *step)
{
	s->sent = act;
	s->sent_key = slot == NULL ? 0 : slot->key;
	step->act = act;
	step->expected_sequence = s->sequence;
	if (slot == NULL)
		return;
	step->model = slot->model;
	step->adapter = slot->adapter;
	step->version = slot->newest;
}

/* A load that should have ended by now, or a version to replace. */
static struct slot *due_check(struct fg_slots *s, fg_ms now, fg_ms *wake)
{
	for (uint32_t i = 0; i < s->n; i++) {
		struct slot *slot = &s->slots[i];

		if (slot->state == RESIDENT && !is_current(slot))
			return slot;
		if (slot->state == RESIDENT)
			continue;
		if (now >= slot->check_at)
			return slot;
		*wake = MIN(*wake, slot->check_at);
	}
	return NULL;
}

/* Wants that are old, or met by what a report brought. */
static void drop_wants(struct fg_slots *s, fg_ms now)
{
	for (guint i = s->wants->len; i > 0; i--) {
		const struct want *w =
			&g_array_index(s->wants, struct want, i - 1);

		if (now - w->asked > (fg_ms)s->conf.want_max_ms ||
		    (s->synced && slot_of(s, w->key) != NULL))
			g_array_remove_index(s->wants, i - 1);
	}
}

static bool is_fetch(const struct fg_slots *s, uint64_t key)
{
	return !g_hash_table_contains(s->held_once, &key);
}

/* Does `a` go before `b`? First those whose requests can still be answered
 * within their aim, then the most wanted: asks come from each waiting request
 * and grow with its wait. */
static bool goes_first(const struct want *a, const struct want *b, fg_ms now)
{
	bool young_a = now - a->since < YOUNG_MS;
	bool young_b = now - b->since < YOUNG_MS;

	return young_a != young_b ? young_a : a->asks > b->asks;
}

static guint next_want(const struct fg_slots *s, fg_ms now, bool store_open)
{
	guint best = s->wants->len;

	for (guint i = 0; i < s->wants->len; i++) {
		const struct want *w = &g_array_index(s->wants, struct want, i);

		if (!store_open && is_fetch(s, w->key))
			continue;
		if (best == s->wants->len ||
		    goes_first(w, &g_array_index(s->wants, struct want, best),
			       now))
			best = i;
	}
	return best;
}

static void begin_load(struct fg_slots *s, fg_ms now, guint want,
		       struct fg_slots_step *step)
{
	const struct want *w = &g_array_index(s->wants, struct want, want);
	struct slot *slot = add_slot(s, now, w->model, w->adapter);

	g_assert(slot != NULL);
	slot->state = COMING;
	slot->check_at = now;
	slot->begun = now;
	slot->fetch = is_fetch(s, slot->key);
	g_array_remove_index(s->wants, want);
	remember_sent(s, FG_SLOTS_LOAD, slot, step);
}

/* Begins a want: loads it, or unloads what is in its way. */
static bool begin_want(struct fg_slots *s, fg_ms now, bool store_open,
		       struct fg_slots_step *step)
{
	guint want = next_want(s, now, store_open);
	struct slot *slot;

	if (want == s->wants->len || count(s, COMING) >= s->conf.coming_max)
		return false;
	if (s->n < s->conf.slots) {
		begin_load(s, now, want, step);
		return true;
	}
	if (count(s, LEAVING) > 0)
		return false;
	slot = victim(s, now);
	if (slot == NULL)
		return false;
	slot->state = LEAVING;
	slot->accepted = false;
	slot->check_at = now;
	remember_sent(s, FG_SLOTS_UNLOAD, slot, step);
	return true;
}

struct fg_slots_step fg_slots_next(struct fg_slots *s, fg_ms now,
				   bool store_open)
{
	struct fg_slots_step step = { .wake = FG_MS_NEVER };
	struct slot *slot;

	drop_wants(s, now);
	if (s->sent != FG_SLOTS_NOTHING)
		return step;
	if (!s->synced) {
		if (now >= s->report_at)
			remember_sent(s, FG_SLOTS_REPORT, NULL, &step);
		else
			step.wake = s->report_at;
		return step;
	}
	if (s->base.state != RESIDENT) {
		if (now >= s->base.check_at)
			remember_sent(s, FG_SLOTS_LOAD, &s->base, &step);
		else
			step.wake = s->base.check_at;
		return step;
	}
	slot = due_check(s, now, &step.wake);
	if (slot != NULL) {
		remember_sent(s,
			      slot->state == LEAVING ? FG_SLOTS_UNLOAD
						     : FG_SLOTS_LOAD,
			      slot, &step);
		return step;
	}
	if (s->wants->len > 0 && !begin_want(s, now, store_open, &step))
		step.wake = MIN(step.wake, now + CHECK_MS);
	return step;
}

/* ---- Results ---- */

static void resync(struct fg_slots *s, fg_ms now)
{
	s->synced = false;
	s->report_at = now;
}

static fg_ms load_time(const struct fg_slots *s, uint64_t key)
{
	fg_ms full_ms = s->conf.load_ms;

	if (g_hash_table_contains(s->held_once, &key))
		return full_ms / RELOAD_SHARE;
	return full_ms;
}

static void load_result(struct fg_slots *s, fg_ms now, struct slot *slot,
			enum fg_order_result result)
{
	if (result == FG_ORDER_ACCEPTED && slot->accepted) {
		slot->check_at =
			now + (slot == &s->base ? BASE_CHECK_MS : CHECK_MS);
		return;
	}
	if (result == FG_ORDER_ACCEPTED) {
		slot->check_at = now + load_time(s, slot->key);
		slot->state = COMING;
		slot->accepted = true;
		s->sequence++;
		return;
	}
	if (slot->fetch)
		s->fetched_ms = (uint32_t)MAX(now - slot->begun, 1);
	slot->fetch = false;
	slot->accepted = false;
	slot->state = RESIDENT;
	slot->version = MAX(slot->newest, 1);
	g_hash_table_add(s->held_once,
			 g_memdup2(&slot->key, sizeof(slot->key)));
}

static void unload_result(struct fg_slots *s, fg_ms now, struct slot *slot,
			  enum fg_order_result result)
{
	if (!slot->accepted)
		s->sequence++;
	if (result == FG_ORDER_ACCEPTED) {
		/* It waits for its runs. */
		slot->accepted = true;
		slot->check_at = now + UNLOAD_CHECK_MS;
		return;
	}
	drop_slot(s, slot);
}

void fg_slots_ordered(struct fg_slots *s, fg_ms now,
		      enum fg_order_result result)
{
	struct slot *slot = slot_of(s, s->sent_key);
	enum fg_slots_act sent = s->sent;

	s->sent = FG_SLOTS_NOTHING;
	if (slot == NULL || !s->synced)
		return;
	if (result == FG_ORDER_ACCEPTED || result == FG_ORDER_HOLDS) {
		if (sent == FG_SLOTS_LOAD)
			load_result(s, now, slot, result);
		else
			unload_result(s, now, slot, result);
		return;
	}
	if (result == FG_ORDER_CONFLICT) {
		s->stale = true;
		s->stale_sequence = s->sequence;
	}
	resync(s, result == FG_ORDER_REFUSED ? now + REFUSED_WAIT_MS : now);
}

/* ---- Reports ---- */

static void take_base(struct fg_slots *s, const struct fg_ep_resident *r,
		      enum state state)
{
	if (s->base.state == RESIDENT)
		return;
	g_strlcpy(s->base.model, r->model, sizeof(s->base.model));
	s->base.key = fg_adapter_key(r->model, "");
	s->base.state = state;
	s->base.version = MAX(r->version, 1);
	s->base.accepted = state == COMING;
}

static void take_resident(struct fg_slots *s, fg_ms now,
			  const struct fg_ep_resident *r, enum state state,
			  const struct slot *old, uint32_t n_old)
{
	struct slot *slot;
	uint64_t key;

	if (r->adapter[0] == '\0') {
		take_base(s, r, state);
		return;
	}
	key = fg_adapter_key(r->model, r->adapter);
	slot = slot_of(s, key);
	if (slot == NULL)
		slot = add_slot(s, now, r->model, r->adapter);
	if (slot == NULL)
		return;
	slot->state = state;
	if (state == RESIDENT)
		slot->version = r->version;
	else
		slot->check_at = now + CHECK_MS;
	slot->accepted = state == COMING;
	for (uint32_t i = 0; i < n_old; i++) {
		if (old[i].key != key)
			continue;
		slot->used = old[i].used;
		slot->begun = old[i].begun;
		slot->fetch = state == COMING && old[i].fetch;
	}
	g_hash_table_add(s->held_once, g_memdup2(&key, sizeof(key)));
}

void fg_slots_reported(struct fg_slots *s, fg_ms now,
		       const struct fg_report *report)
{
	struct slot old[FG_SLOTS_MAX];
	uint32_t n_old = s->n;

	s->sent = FG_SLOTS_NOTHING;
	s->report_at = now + REPORT_RETRY_MS;
	if (report == NULL || s->synced || report->busy)
		return;
	/* The report may be older than the answer that started this. */
	if (s->stale && report->sequence == s->stale_sequence) {
		s->stale = false;
		return;
	}
	memcpy(old, s->slots, sizeof(old));
	s->n = 0;
	clear_base(s);
	for (uint32_t i = 0; i < report->n_resident; i++)
		take_resident(s, now, &report->resident[i], RESIDENT, old,
			      n_old);
	for (uint32_t i = 0; i < report->n_coming; i++)
		take_resident(s, now, &report->coming[i], COMING, old, n_old);
	s->sequence = report->sequence;
	s->stale = false;
	s->synced = true;
	s->known = true;
}

uint32_t fg_slots_held(const struct fg_slots *s, struct fg_fleet_held *out)
{
	uint32_t n = 0;

	if (s->known && s->base.state == RESIDENT) {
		out[n].key = s->base.key;
		out[n++].version = MAX(s->base.version, 1);
	}
	for (uint32_t i = 0; s->known && i < s->n; i++) {
		if (!is_current(&s->slots[i]))
			continue;
		out[n].key = s->slots[i].key;
		out[n].version = MAX(s->slots[i].version, 1);
		n++;
	}
	return n;
}

uint32_t fg_slots_fetching(const struct fg_slots *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n; i++)
		n += s->slots[i].state == COMING && s->slots[i].fetch ? 1 : 0;
	return n;
}

uint32_t fg_slots_take_fetched_ms(struct fg_slots *s)
{
	uint32_t ms = s->fetched_ms;

	s->fetched_ms = 0;
	return ms;
}

uint32_t fg_slots_coming(const struct fg_slots *s, uint64_t *out)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n; i++) {
		if (s->slots[i].state == COMING)
			out[n++] = s->slots[i].key;
	}
	for (guint i = 0; i < s->wants->len && n < FG_SLOTS_MAX; i++)
		out[n++] = g_array_index(s->wants, struct want, i).key;
	return n;
}

uint32_t fg_slots_queue(const struct fg_slots *s)
{
	return s->wants->len;
}

uint32_t fg_slots_to_fetch(const struct fg_slots *s)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->wants->len; i++)
		n += is_fetch(s, g_array_index(s->wants, struct want, i).key)
			     ? 1
			     : 0;
	return n;
}
