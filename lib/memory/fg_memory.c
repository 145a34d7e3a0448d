#include "memory/fg_memory.h"

/* Parts of the limit, in eighths. */
#define EIGHTHS 8
#define REQUESTS_EIGHTHS 5
#define MEDIUM_EIGHTHS 4
#define LARGE_EIGHTHS 3
#define COLLECTED_EIGHTHS 3

#define HALF_LIFE_MS 1000
#define HALVINGS_MAX 63
/* A transfer counts as at least this fast, so that among those that stand still
 * the largest gives way. */
#define PACE_FLOOR_BYTES 64
static uint64_t part_of(const struct fg_memory *m, uint64_t eighths)
{
	return m->limit_bytes / EIGHTHS * eighths;
}

/* Bound of the sum for requests, when a holder grows to that many bytes. */
static uint64_t request_bound(const struct fg_memory *m, uint64_t bytes)
{
	if (bytes > FG_MEMORY_LARGE_BYTES)
		return part_of(m, LARGE_EIGHTHS);
	if (bytes > FG_MEMORY_SMALL_BYTES)
		return part_of(m, MEDIUM_EIGHTHS);
	return part_of(m, REQUESTS_EIGHTHS);
}

static uint64_t recent_bytes(const struct fg_memory_pace *p, fg_ms now)
{
	fg_ms halvings = (now - p->at) / HALF_LIFE_MS;

	return halvings > HALVINGS_MAX ? 0 : p->recent_bytes >> halvings;
}

static void add_to_pace(struct fg_memory_pace *p, uint64_t bytes, fg_ms now)
{
	fg_ms halvings = (now - p->at) / HALF_LIFE_MS;

	p->recent_bytes = recent_bytes(p, now) + bytes;
	/* The rest of the half-life counts towards the next halving. */
	p->at = halvings > HALVINGS_MAX ? now : p->at + halvings * HALF_LIFE_MS;
}

/* Returns how long a holder takes for as many bytes as it holds, in units of
 * the half-life. */
static double hold_time(uint64_t bytes, const struct fg_memory_pace *pace,
			fg_ms now)
{
	return (double)bytes /
	       ((double)recent_bytes(pace, now) + PACE_FLOOR_BYTES);
}

static void update_peak(struct fg_memory *m)
{
	m->peak_bytes = MAX(m->peak_bytes, fg_memory_held_bytes(m));
}

void fg_memory_init(struct fg_memory *m, uint64_t limit_bytes)
{
	*m = (struct fg_memory){ .limit_bytes = limit_bytes };
	m->holders = g_ptr_array_new();
}

void fg_memory_clear(struct fg_memory *m)
{
	g_assert(m->holders->len == 0);
	g_ptr_array_unref(m->holders);
	m->holders = NULL;
}

void fg_memory_open(struct fg_memory *m, struct fg_memory_holder *h,
		    void *owner)
{
	*h = (struct fg_memory_holder){ .owner = owner, .reading = true };
	h->index = m->holders->len;
	g_ptr_array_add(m->holders, h);
}

void fg_memory_close(struct fg_memory *m, struct fg_memory_holder *h)
{
	struct fg_memory_holder *moved;

	m->request_bytes -= h->request_bytes;
	m->collected_bytes -= h->collected_bytes;
	m->unread_bytes -= h->unread_bytes;
	h->request_bytes = 0;
	h->collected_bytes = 0;
	h->unread_bytes = 0;
	g_ptr_array_remove_index_fast(m->holders, h->index);
	if (h->index < m->holders->len) {
		moved = m->holders->pdata[h->index];
		moved->index = h->index;
	}
}

uint64_t fg_memory_largest_request(const struct fg_memory *m)
{
	return part_of(m, LARGE_EIGHTHS);
}

/* ---- Requests ---- */

/* Returns the holder that gives way for `asker`, which may be itself; of those
 * whose request is being read, if `asker` is NULL. */
static struct fg_memory_holder *choose_reading(const struct fg_memory *m,
					       struct fg_memory_holder *asker,
					       uint64_t asked_bytes, fg_ms now)
{
	struct fg_memory_holder *chosen = asker;
	double longest = 0;

	if (asker != NULL)
		longest = hold_time(asked_bytes, &asker->request_pace, now);
	for (guint i = 0; i < m->holders->len; i++) {
		struct fg_memory_holder *h = m->holders->pdata[i];
		double held_for;

		if (h == asker || !h->reading)
			continue;
		held_for = hold_time(h->request_bytes, &h->request_pace, now);
		if (held_for > longest) {
			chosen = h;
			longest = held_for;
		}
	}
	return chosen;
}

struct fg_memory_holder *fg_memory_ask(struct fg_memory *m,
				       struct fg_memory_holder *h,
				       uint64_t bytes, fg_ms now)
{
	uint64_t sum_bytes = m->request_bytes - h->request_bytes + bytes;

	if (bytes > h->request_bytes && sum_bytes > request_bound(m, bytes))
		return choose_reading(m, h, bytes, now);
	m->request_bytes = sum_bytes;
	h->request_bytes = bytes;
	update_peak(m);
	return NULL;
}

bool fg_memory_has_room(const struct fg_memory *m, uint64_t bytes)
{
	return m->request_bytes + bytes <= request_bound(m, bytes);
}

void fg_memory_note_received(struct fg_memory_holder *h, uint64_t bytes,
			     fg_ms now)
{
	add_to_pace(&h->request_pace, bytes, now);
}

void fg_memory_set_limit(struct fg_memory *m, uint64_t limit_bytes)
{
	m->limit_bytes = limit_bytes;
}

struct fg_memory_holder *fg_memory_choose_over(const struct fg_memory *m,
					       fg_ms now)
{
	if (m->request_bytes <= part_of(m, REQUESTS_EIGHTHS))
		return NULL;
	return choose_reading(m, NULL, 0, now);
}

/* ---- Answers ---- */

uint64_t fg_memory_held_bytes(const struct fg_memory *m)
{
	return m->request_bytes + m->collected_bytes + m->unread_bytes;
}

bool fg_memory_may_collect(const struct fg_memory *m, uint64_t bytes)
{
	return m->collected_bytes + bytes <= part_of(m, COLLECTED_EIGHTHS);
}

bool fg_memory_exceeds(const struct fg_memory *m, uint64_t bytes)
{
	return fg_memory_held_bytes(m) + bytes > m->limit_bytes;
}

bool fg_memory_answers_crowd(const struct fg_memory *m)
{
	return m->collected_bytes + m->unread_bytes >
	       part_of(m, COLLECTED_EIGHTHS);
}

void fg_memory_set_collected(struct fg_memory *m, struct fg_memory_holder *h,
			     uint64_t bytes)
{
	m->collected_bytes += bytes - h->collected_bytes;
	h->collected_bytes = bytes;
	update_peak(m);
}

void fg_memory_set_unread(struct fg_memory *m, struct fg_memory_holder *h,
			  uint64_t bytes, fg_ms now)
{
	if (bytes < h->unread_bytes)
		add_to_pace(&h->answer_pace, h->unread_bytes - bytes, now);
	m->unread_bytes += bytes - h->unread_bytes;
	h->unread_bytes = bytes;
	update_peak(m);
}

void fg_memory_set_flushing(struct fg_memory *m, uint64_t bytes)
{
	m->unread_bytes += bytes - m->flushing_bytes;
	m->flushing_bytes = bytes;
	update_peak(m);
}

struct fg_memory_holder *fg_memory_choose_unread(const struct fg_memory *m,
						 fg_ms now)
{
	struct fg_memory_holder *chosen = NULL;
	double longest = 0;

	for (guint i = 0; i < m->holders->len; i++) {
		struct fg_memory_holder *h = m->holders->pdata[i];

		double held_for =
			hold_time(h->unread_bytes, &h->answer_pace, now);

		if (h->unread_bytes > 0 &&
		    (chosen == NULL || held_for > longest)) {
			chosen = h;
			longest = held_for;
		}
	}
	return chosen;
}

uint64_t fg_memory_take_peak(struct fg_memory *m)
{
	uint64_t peak_bytes = m->peak_bytes;

	m->peak_bytes = fg_memory_held_bytes(m);
	return peak_bytes;
}
