/* Memory held for callers: what their connections are charged, and what gives
 * way when it runs out. */
#include "gateway/fg_gateway_internal.h"

#include <malloc.h>

/* GLib allocates no less for an array. */
#define ARRAY_MIN_BYTES 16
#define ARRAY_MAX_BYTES ((uint64_t)1 << 62)
/* Memory is returned to the system after more than this was held, once less
 * than a part of it is. */
#define TRIM_MIN_BYTES (4 * 1024 * 1024)
#define TRIM_DIVISOR 4

/* GLib's arrays and strings grow to powers of two. */
uint64_t fg_gw_memory_array_bytes(uint64_t len)
{
	if (len == 0)
		return 0;
	len = MIN(len, ARRAY_MAX_BYTES);
	return MAX((uint64_t)1 << g_bit_storage(len - 1), ARRAY_MIN_BYTES);
}

/* What the connection holds for requests now. */
static uint64_t request_bytes(const struct fg_caller *c)
{
	uint64_t bytes = fg_gw_memory_array_bytes(c->body->len) +
			 fg_gw_memory_array_bytes(c->pipelined->len);

	if (c->h1.started)
		bytes += c->h1.head.text->allocated_len;
	if (c->whole_body != NULL)
		bytes += fg_gw_memory_array_bytes(
			g_bytes_get_size(c->whole_body));
	return bytes + fg_link_unread_bytes(c->link);
}

/* What is held of answers that the caller has not read, also by the kernel, of
 * the connection that they come from. */
static uint64_t unread_bytes(const struct fg_caller *c)
{
	uint64_t bytes = fg_link_unsent_bytes(c->link);

	if (c->req != NULL && c->req->conn != NULL &&
	    c->req->conn->link != NULL)
		bytes += fg_link_unread_bytes(c->req->conn->link);
	if (c->tunnel != NULL)
		bytes += fg_link_unread_bytes(c->link) +
			 fg_gw_tunnel_unread_bytes(c->tunnel);
	return bytes;
}

static void log_gave_way(const struct fg_gateway *gw, const char *what,
			 const struct fg_caller *c, uint64_t bytes)
{
	char ip[INET_ADDRSTRLEN];
	char held[24];
	char all[24];

	fg_link_peer_ip(c->link, ip, sizeof(ip));
	g_snprintf(held, sizeof(held), "%llu", (unsigned long long)bytes);
	g_snprintf(all, sizeof(all), "%llu",
		   (unsigned long long)fg_memory_held_bytes(&gw->memory));
	fg_log_routine("memory", "gave_way", "what", what, "from", ip,
		       "held_bytes", held, "all_bytes", all, NULL);
}

void fg_gw_memory_refuse(struct fg_caller *c)
{
	log_gave_way(c->gw, "request", c, c->memory.request_bytes);
	fg_gw_count_event(c->gw, "gave_way", "what=\"request\"");
	fg_caller_refuse_reading(c, "memory");
}

static void drop_answer(struct fg_memory_holder *h)
{
	struct fg_caller *c = h->owner;

	log_gave_way(c->gw, "answer", c, h->unread_bytes);
	fg_gw_count_event(c->gw, "gave_way", "what=\"answer\"");
	c->end_reason = "memory";
	fg_caller_abort(c);
}

/* Resets one closed connection whose last answer is not read. Returns false
 * when there is none. */
static bool drop_flushing(struct fg_gateway *gw)
{
	struct fg_memory *m = &gw->memory;

	if (!fg_link_abort_largest_flushing())
		return false;
	fg_gw_count_event(gw, "gave_way", "what=\"answer\"");
	fg_memory_set_flushing(m, fg_link_flushing_bytes());
	return true;
}

void fg_gw_memory_note_flushing(struct fg_caller *c)
{
	struct fg_memory *m = &c->gw->memory;

	fg_memory_set_flushing(m, m->flushing_bytes +
					  fg_link_unsent_bytes(c->link));
}

/* Makes room within the limit for `more` bytes of `c`, or of any caller if that
 * is NULL: callers give way that do not read their answers. Returns false when
 * only `c` is left, or none. */
static bool make_room(struct fg_gateway *gw, const struct fg_caller *c,
		      uint64_t more)
{
	struct fg_memory *m = &gw->memory;
	struct fg_memory_holder *loser;

	while (fg_memory_exceeds(m, more)) {
		if (drop_flushing(gw))
			continue;
		loser = fg_memory_choose_unread(m, fg_clock_now());
		if (loser == NULL || loser->owner == c)
			return false;
		drop_answer(loser);
	}
	return true;
}

bool fg_gw_memory_ask(struct fg_caller *c, uint64_t more)
{
	struct fg_memory *m = &c->gw->memory;
	uint64_t bytes = request_bytes(c) + more;
	uint64_t held = c->memory.request_bytes;
	struct fg_memory_holder *loser;

	if (bytes > held && !make_room(c->gw, c, bytes - held))
		return false;
	for (;;) {
		loser = fg_memory_ask(m, &c->memory, bytes, fg_clock_now());
		if (loser == NULL)
			return true;
		if (loser == &c->memory)
			return false;
		fg_gw_memory_refuse(loser->owner);
	}
}

bool fg_gw_memory_may_collect(struct fg_caller *c, uint64_t more)
{
	return fg_memory_may_collect(&c->gw->memory, more) &&
	       make_room(c->gw, c, more);
}

static void update_unread(struct fg_caller *c, fg_ms now)
{
	uint64_t bytes = unread_bytes(c);

	if (bytes != c->memory.unread_bytes)
		fg_memory_set_unread(&c->gw->memory, &c->memory, bytes, now);
}

void fg_gw_memory_note_written(struct fg_caller *c)
{
	update_unread(c, fg_clock_now());
}

/* Returns the free blocks of the heap to the system after much was held. */
static void trim(struct fg_gateway *gw)
{
	uint64_t held = fg_memory_held_bytes(&gw->memory);

	if (fg_memory_take_peak(&gw->memory) >= TRIM_MIN_BYTES)
		gw->trim_memory = true;
	if (!gw->trim_memory || held >= TRIM_MIN_BYTES / TRIM_DIVISOR)
		return;
	gw->trim_memory = false;
	(void)malloc_trim(0);
}

void fg_gw_memory_tick(struct fg_gateway *gw, fg_ms now)
{
	struct fg_memory *m = &gw->memory;
	struct fg_memory_holder *loser;

	for (guint i = 0; i < gw->callers->len; i++) {
		struct fg_caller *c = gw->callers->pdata[i];

		if (c->link != NULL)
			update_unread(c, now);
	}
	fg_memory_set_flushing(m, fg_link_flushing_bytes());
	(void)make_room(gw, NULL, 0);
	while ((loser = fg_memory_choose_over(m, now)) != NULL)
		fg_gw_memory_refuse(loser->owner);
	trim(gw);
}

static void set_gauge(struct fg_gateway *gw, const char *labels, uint64_t bytes)
{
	fg_gauge_set(fg_metrics_gauge(gw->metrics, "fg_gw_caller_memory_bytes",
				      labels, "held for callers"),
		     (int64_t)bytes);
}

void fg_gw_memory_set_gauges(struct fg_gateway *gw)
{
	set_gauge(gw, "part=\"requests\"", gw->memory.request_bytes);
	set_gauge(gw, "part=\"collected\"", gw->memory.collected_bytes);
	set_gauge(gw, "part=\"unread\"", gw->memory.unread_bytes);
	set_gauge(gw, "part=\"limit\"", gw->memory.limit_bytes);
}

void fg_gw_memory_apply_limits(struct fg_gateway *gw)
{
	struct fg_caller_limits l = fg_caller_limits(gw);
	uint64_t need;
	char needed[24];

	fg_memory_set_limit(&gw->memory, gw->conf->caller_memory_bytes);
	need = fg_gw_memory_array_bytes(l.body_max_bytes) +
	       fg_gw_memory_array_bytes(l.head_max_bytes);
	if (need <= fg_memory_largest_request(&gw->memory))
		return;
	g_snprintf(needed, sizeof(needed), "%llu", (unsigned long long)need);
	fg_log(FG_LOG_ERROR, "memory", "memory_too_small", "request_bytes",
	       needed, NULL);
}
