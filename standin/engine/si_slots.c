#include <string.h>

#include "common/si_client.h"
#include "common/si_fault.h"
#include "engine/si_engine.h"

#define FETCH_TIMEOUT_MS 60000

struct order {
	json_int_t id;
	uint32_t slot;
	uint64_t fence;
	const char *adapter;
	const char *version;
};

static void set_slot(struct si_slot *slot, const char *adapter,
		     const char *version, bool loading)
{
	g_free(slot->adapter);
	g_free(slot->version);
	slot->adapter = g_strdup(adapter);
	slot->version = g_strdup(version);
	slot->loading = loading;
}

void si_slots_init(struct si_engine *e)
{
	for (uint32_t i = 0; i < SI_SLOTS_MAX; i++)
		set_slot(&e->slots[i], "", "", false);
}

void si_slots_clear(struct si_engine *e)
{
	for (uint32_t i = 0; i < SI_SLOTS_MAX; i++) {
		g_free(e->slots[i].adapter);
		g_free(e->slots[i].version);
	}
}

uint32_t si_slots_find(struct si_engine *e, const char *adapter,
		       const char *version)
{
	uint32_t found = SI_NO_SLOT;

	for (uint32_t i = 0; i < e->n_slots; i++) {
		struct si_slot *slot = &e->slots[i];

		if (slot->loading || strcmp(slot->adapter, adapter) != 0 ||
		    strcmp(slot->version, version) != 0)
			continue;
		if (found == SI_NO_SLOT ||
		    slot->running < e->slots[found].running)
			found = i;
	}
	return found;
}

void si_slots_empty(struct si_engine *e)
{
	for (uint32_t i = 0; i < e->n_slots; i++) {
		set_slot(&e->slots[i], "", "", false);
		e->slots[i].load = ++e->loads;
	}
}

/* Returns false when the order is malformed. */
static bool read_order(struct si_engine *e, json_t *body, struct order *order)
{
	int64_t slot = si_field_int(body, "slot", -1);

	if (slot < 0 || slot >= e->n_slots)
		return false;
	order->id = si_field_int(body, "order", 0);
	order->slot = (uint32_t)slot;
	order->fence = (uint64_t)si_field_int(body, "fence", 0);
	order->adapter = si_field_str(body, "adapter");
	order->version = si_field_str(body, "version");
	return true;
}

/* Locked. Returns false when the order carries an old fencing number. */
static bool fence_holds(struct si_engine *e, uint64_t fence)
{
	if (!e->checks_fence)
		return true;
	if (fence < e->fence)
		return false;
	e->fence = fence;
	return true;
}

static enum MHD_Result answer_fenced(struct si_req *req, uint64_t fence)
{
	return si_answer(req, 409,
			 json_pack("{s:s, s:I}", "error", "fenced", "fence",
				   (json_int_t)fence));
}

static void log_order(struct si_engine *e, const char *ev,
		      const struct order *order, const char *adapter,
		      const char *version, uint32_t running, bool ok)
{
	si_log_event(e->proc->log, ev,
		     json_pack("{s:I, s:i, s:s, s:s, s:I, s:i, s:b}", "order",
			       order->id, "slot", (int)order->slot, "adapter",
			       adapter, "version", version, "fence",
			       (json_int_t)order->fence, "running",
			       (int)running, "ok", ok));
}

/* Fetches the weights; returns false when the store did not give them. */
static bool fetch(struct si_engine *e, const struct order *order)
{
	CURL *curl = curl_easy_init();
	json_t *body = json_pack("{s:s, s:s, s:s}", "adapter", order->adapter,
				 "version", order->version, "engine",
				 e->proc->conf.name);
	uint32_t status;

	status = si_client_post(e->proc, curl, e->proc->conf.platform,
				"/weights/fetch", body, FETCH_TIMEOUT_MS);
	json_decref(body);
	curl_easy_cleanup(curl);
	return status == 200;
}

/* Takes the slot over for a load; returns the load's number, or 0 with the
 * fencing number in force. */
static uint64_t begin_load(struct si_engine *e, const struct order *order,
			   uint64_t *fence)
{
	struct si_slot *slot = &e->slots[order->slot];
	uint64_t load = 0;

	pthread_mutex_lock(&e->lock);
	if (fence_holds(e, order->fence)) {
		load = ++e->loads;
		log_order(e, "load_start", order, order->adapter,
			  order->version, slot->running, true);
		set_slot(slot, order->adapter, order->version, true);
		slot->load = load;
	}
	*fence = e->fence;
	pthread_mutex_unlock(&e->lock);
	return load;
}

/* Returns false when the load failed or another order overtook it. */
static bool finish_load(struct si_engine *e, const struct order *order,
			uint64_t load, bool fetched)
{
	struct si_slot *slot = &e->slots[order->slot];
	bool ok;

	pthread_mutex_lock(&e->lock);
	ok = fetched && slot->load == load;
	if (slot->load == load) {
		if (ok)
			slot->loading = false;
		else
			set_slot(slot, "", "", false);
	}
	log_order(e, "load_end", order, order->adapter, order->version,
		  slot->running, ok);
	pthread_mutex_unlock(&e->lock);
	return ok;
}

/* An order that was held up on its way, and arrives whatever became of its
 * sender. */
static void wait_if_late(struct si_engine *e)
{
	fg_ms late_ms = 0;

	pthread_mutex_lock(&e->lock);
	if (e->late_orders > 0) {
		e->late_orders--;
		late_ms = e->late_ms;
	}
	pthread_mutex_unlock(&e->lock);
	if (late_ms > 0)
		si_proc_sleep(e->proc, late_ms);
}

enum MHD_Result si_slots_load(struct si_req *req)
{
	struct si_engine *e = si_engine_of(req);
	struct order order;
	uint64_t fence;
	uint64_t load;
	bool fetched;

	if (!read_order(e, req->body, &order) || !*order.adapter ||
	    !*order.version)
		return si_answer_error(req, 400, "bad_request");
	wait_if_late(e);
	load = begin_load(e, &order, &fence);
	if (load == 0)
		return answer_fenced(req, fence);
	fetched = !si_fault_take(req->proc->fault, SI_FAIL_LOAD) &&
		  fetch(e, &order);
	if (!finish_load(e, &order, load, fetched))
		return si_answer_error(req, 503, "load_failed");
	return si_answer(req, 200, json_pack("{s:b}", "ok", 1));
}

/* Returns the error of the order, or NULL when it was carried out. */
static const char *evict(struct si_engine *e, const struct order *order)
{
	struct si_slot *slot = &e->slots[order->slot];

	if (!fence_holds(e, order->fence))
		return "fenced";
	log_order(e, "evict", order, slot->adapter, slot->version,
		  slot->running, true);
	set_slot(slot, "", "", false);
	slot->load = ++e->loads;
	return NULL;
}

enum MHD_Result si_slots_evict(struct si_req *req)
{
	struct si_engine *e = si_engine_of(req);
	struct order order;
	const char *error;
	uint64_t fence;

	if (!read_order(e, req->body, &order))
		return si_answer_error(req, 400, "bad_request");
	pthread_mutex_lock(&e->lock);
	error = evict(e, &order);
	fence = e->fence;
	pthread_mutex_unlock(&e->lock);
	if (error)
		return answer_fenced(req, fence);
	return si_answer(req, 200, json_pack("{s:b}", "ok", 1));
}

/* Changes no slot: an order that carries a fencing number and nothing else. */
enum MHD_Result si_slots_role(struct si_req *req)
{
	struct si_engine *e = si_engine_of(req);
	uint64_t asked = (uint64_t)si_field_int(req->body, "fence", 0);
	uint64_t fence;
	bool holds;

	pthread_mutex_lock(&e->lock);
	holds = fence_holds(e, asked);
	fence = e->fence;
	pthread_mutex_unlock(&e->lock);
	if (!holds)
		return answer_fenced(req, fence);
	return si_answer(req, 200, json_pack("{s:b}", "ok", 1));
}
