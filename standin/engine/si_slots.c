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

void si_slots_free(struct si_engine *e)
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

void si_slots_clear(struct si_engine *e)
{
	for (uint32_t i = 0; i < e->n_slots; i++) {
		set_slot(&e->slots[i], "", "", false);
		e->slots[i].load = ++e->last_load;
	}
}

/* Reads an order; returns false when it is malformed. */
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

/* Returns false when the fencing number is lower than the recorded one, else
 * records it. An engine that does not check accepts any number. Locked. */
static bool accept_fence(struct si_engine *e, uint64_t fence)
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
	return si_answer_json(req, 409,
			      json_pack("{s:s, s:I}", "error", "fenced",
					"fence", (json_int_t)fence));
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

/* Fetches the weights; returns false when the store does not deliver them. */
static bool fetch_weights(struct si_engine *e, const struct order *order)
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

/* Marks the slot as loading. Returns the load's number, or 0 when the order is
 * fenced; *fence is the recorded fencing number. */
static uint64_t begin_load(struct si_engine *e, const struct order *order,
			   uint64_t *fence)
{
	struct si_slot *slot = &e->slots[order->slot];
	uint64_t load = 0;

	pthread_mutex_lock(&e->lock);
	if (accept_fence(e, order->fence)) {
		load = ++e->last_load;
		log_order(e, "load_start", order, order->adapter,
			  order->version, slot->running, true);
		set_slot(slot, order->adapter, order->version, true);
		slot->load = load;
	}
	*fence = e->fence;
	pthread_mutex_unlock(&e->lock);
	return load;
}

/* Returns false when the load failed or a newer order changed the slot. */
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

/* Delays an order as a slow network does: it is carried out even if its sender
 * has died meanwhile. */
static void delay_order(struct si_engine *e)
{
	fg_ms delay_ms = 0;

	pthread_mutex_lock(&e->lock);
	if (e->delayed_orders > 0) {
		e->delayed_orders--;
		delay_ms = e->order_delay_ms;
	}
	pthread_mutex_unlock(&e->lock);
	if (delay_ms > 0)
		si_proc_sleep(e->proc, delay_ms);
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
	delay_order(e);
	load = begin_load(e, &order, &fence);
	if (load == 0)
		return answer_fenced(req, fence);
	fetched = !si_fault_consume(req->proc->fault, SI_FAULT_FAIL_LOAD) &&
		  fetch_weights(e, &order);
	if (!finish_load(e, &order, load, fetched))
		return si_answer_error(req, 503, "load_failed");
	return si_answer_json(req, 200, json_pack("{s:b}", "ok", 1));
}

/* Returns NULL when the order was carried out, else its error. Locked. */
static const char *evict_slot(struct si_engine *e, const struct order *order)
{
	struct si_slot *slot = &e->slots[order->slot];

	if (!accept_fence(e, order->fence))
		return "fenced";
	log_order(e, "evict", order, slot->adapter, slot->version,
		  slot->running, true);
	set_slot(slot, "", "", false);
	slot->load = ++e->last_load;
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
	error = evict_slot(e, &order);
	fence = e->fence;
	pthread_mutex_unlock(&e->lock);
	if (error)
		return answer_fenced(req, fence);
	return si_answer_json(req, 200, json_pack("{s:b}", "ok", 1));
}

/* Records a new fencing number; changes no slot. */
enum MHD_Result si_slots_role(struct si_req *req)
{
	struct si_engine *e = si_engine_of(req);
	uint64_t asked = (uint64_t)si_field_int(req->body, "fence", 0);
	uint64_t fence;
	bool accepted;

	pthread_mutex_lock(&e->lock);
	accepted = accept_fence(e, asked);
	fence = e->fence;
	pthread_mutex_unlock(&e->lock);
	if (!accepted)
		return answer_fenced(req, fence);
	return si_answer_json(req, 200, json_pack("{s:b}", "ok", 1));
}
