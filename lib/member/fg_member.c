/* Life cycle, tick, the platform's list and queries. */
#include "member/fg_member.h"

#include <string.h>

#include "member/fg_member_internal.h"

#define LIST_ENTRY_BYTES 220 /* of one entry in an answer, approximately */

void fg_member_conf_defaults(struct fg_member_conf *conf)
{
	conf->boot = 0;
	conf->renew_ms = 4000;
	conf->lease_ms = 12000;
	conf->scan_ms = 3000;
	conf->list_ms = 5000;
	conf->ping_ms = 1000;
	conf->suspect_ms = 3000;
	conf->confirm_ms = 6000;
	conf->ping_fanout = 4;
	conf->own_lease_ms = 0;
	conf->reachable_ms = 0;
	conf->quorum_ping_ms = 0;
	conf->pause_ms = 0;
}

static void set_derived(struct fg_member_conf *conf)
{
	if (conf->own_lease_ms == 0)
		conf->own_lease_ms = conf->lease_ms - conf->lease_ms / 6;
	if (conf->reachable_ms == 0)
		conf->reachable_ms = conf->lease_ms * 2 / 3;
	if (conf->quorum_ping_ms == 0)
		conf->quorum_ping_ms = conf->reachable_ms / 2;
	if (conf->pause_ms == 0)
		conf->pause_ms = 1000;
	g_assert(conf->own_lease_ms < conf->lease_ms);
	g_assert(conf->quorum_ping_ms > 0 &&
		 2 * conf->quorum_ping_ms <= conf->reachable_ms);
	g_assert(conf->renew_ms > 0 && conf->renew_ms < conf->own_lease_ms);
}

struct fg_member *fg_member_new(const struct fg_member_conf *conf,
				uint64_t seed)
{
	struct fg_member *m = g_new0(struct fg_member, 1);

	m->conf = *conf;
	m->conf.self.id = fg_hash_str(conf->self.name);
	set_derived(&m->conf);
	g_snprintf(m->lease_key, sizeof(m->lease_key),
		   FG_MEMBER_KEY_PREFIX "%s", conf->self.name);
	fg_rand_seed(&m->rand, seed);
	m->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	m->pending_ops = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	m->ring = g_ptr_array_new();
	m->standing = FG_STANDING_JOINING;
	return m;
}

void fg_member_free(struct fg_member *m)
{
	if (m == NULL)
		return;
	g_ptr_array_free(m->ring, TRUE);
	g_hash_table_destroy(m->pending_ops);
	g_hash_table_destroy(m->peers);
	g_free(m);
}

struct fg_peer_entry *fg_member_find_entry(struct fg_member *m, uint64_t id)
{
	return g_hash_table_lookup(m->peers, &id);
}

void fg_member_emit_act(struct fg_member *m, enum fg_member_act_type type,
			uint64_t to)
{
	struct fg_member_act act = { .type = type, .to = to };

	m->emit(m->arg, &act);
}

bool fg_member_is_same_region(const struct fg_member *m,
			      const struct fg_peer_entry *e)
{
	return strcmp(e->view.info.region, m->conf.self.region) == 0;
}

/* ---- Tick ---- */

static int compare_ring_pos(gconstpointer a, gconstpointer b)
{
	const struct fg_peer_entry *x = *(const struct fg_peer_entry *const *)a;
	const struct fg_peer_entry *y = *(const struct fg_peer_entry *const *)b;

	return (x->ring_pos > y->ring_pos) - (x->ring_pos < y->ring_pos);
}

static void rebuild_ring(struct fg_member *m)
{
	GHashTableIter it;
	void *value;

	if (!m->ring_stale)
		return;
	m->ring_stale = false;
	g_ptr_array_set_size(m->ring, 0);
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_peer_entry *e = value;

		if (e->has_row && fg_member_is_same_region(m, e))
			g_ptr_array_add(m->ring, e);
	}
	g_ptr_array_sort(m->ring, compare_ring_pos);
}

/* The random first ping spreads the ping rounds of instances that start
 * together. */
static void init_schedule(struct fg_member *m, fg_ms now)
{
	m->started = true;
	m->resumed_at = now;
	m->next_ping_at = now + (fg_ms)fg_rand_below(&m->rand, m->conf.ping_ms);
	m->next_list_at = now;
	m->next_scan_at = now;
	m->lease.next_at = now;
}

static void detect_pause(struct fg_member *m, fg_ms now)
{
	if (now - m->last_tick <= (fg_ms)m->conf.pause_ms)
		return;
	m->resumed_at = now;
	m->lease.next_at = now;
	m->next_quorum_ping_at = now;
	m->quorum_ping_round = 0;
	/* Rows were not watched during the pause. table_up_since restarts at
	 * the next answer, so that the pause does not count towards a lapse. */
	m->table_ok_at = 0;
}

static void list_tick(struct fg_member *m, fg_ms now)
{
	if (now < m->next_list_at)
		return;
	m->next_list_at =
		now + MAX((fg_ms)m->conf.list_ms,
			  (fg_ms)m->n_listed * LIST_ENTRY_BYTES * FG_MS_PER_S /
				  FG_MEMBER_LIST_BYTES_PER_S);
	m->list_sent_at = now;
	fg_member_emit_act(m, FG_MA_LIST, 0);
}

void fg_member_tick(struct fg_member *m, fg_ms now, fg_member_emit emit,
		    void *arg)
{
	m->emit = emit;
	m->arg = arg;
	if (!m->started)
		init_schedule(m, now);
	else
		detect_pause(m, now);
	m->last_tick = now;
	m->tick_gets = 0;
	/* After a pause ISOLATED must be emitted before any other action. */
	fg_member_update_standing(m, now);
	rebuild_ring(m);
	fg_member_lease_tick(m, now);
	if (m->releasing)
		return;
	fg_member_scan_tick(m, now);
	list_tick(m, now);
	fg_member_ping_tick(m, now);
	fg_member_peers_tick(m, now);
	rebuild_ring(m);
	fg_member_update_standing(m, now);
}

/* ---- The platform's list ---- */

static void handle_list_entry(struct fg_member *m, fg_ms now,
			      const struct fg_list_entry *l)
{
	struct fg_peer_entry *e;

	if (l->kind != FG_LIST_ENTRY_INSTANCE || l->id == m->conf.self.id)
		return;
	e = fg_member_find_entry(m, l->id);
	if (e == NULL) {
		fg_member_scan_soon(m, now);
	} else if (l->leaving && !e->leaving) {
		e->leaving = true;
		fg_member_refresh_state(m, e);
	}
}

void fg_member_on_list(struct fg_member *m, fg_ms now, enum fg_pf_result result,
		       const struct fg_list_entry *list, size_t n,
		       fg_member_emit emit, void *arg)
{
	m->emit = emit;
	m->arg = arg;
	if (result != FG_PF_OK)
		return;
	m->own_contact_at = MAX(m->own_contact_at, m->list_sent_at);
	m->n_listed = n;
	for (size_t i = 0; i < n; i++)
		handle_list_entry(m, now, &list[i]);
	fg_member_update_standing(m, now);
}

/* ---- Own state ---- */

void fg_member_set_revision(struct fg_member *m, uint64_t revision,
			    uint32_t confirm_age_ms)
{
	m->revision = revision;
	m->confirm_age_ms = confirm_age_ms;
	m->confirm_set_at = m->last_tick;
}

void fg_member_leave(struct fg_member *m, fg_ms now, fg_member_emit emit,
		     void *arg)
{
	m->emit = emit;
	m->arg = arg;
	if (m->leaving)
		return;
	m->leaving = true;
	m->lease.next_at = now;
	for (guint i = 0; i < m->ring->len; i++) {
		const struct fg_peer_entry *e = m->ring->pdata[i];
		struct fg_member_act act = {
			.type = FG_MA_SEND,
			.to = e->view.info.id,
			.msg = fg_msg_new(FG_MSG_LEAVING),
		};

		m->emit(m->arg, &act);
	}
	fg_member_lease_tick(m, now);
}

void fg_member_release_lease(struct fg_member *m, fg_ms now,
			     fg_member_emit emit, void *arg)
{
	m->emit = emit;
	m->arg = arg;
	m->leaving = true;
	m->releasing = true;
	m->lease.next_at = now;
	fg_member_lease_tick(m, now);
	fg_member_update_standing(m, now);
}

uint64_t fg_member_epoch(const struct fg_member *m)
{
	return m->lease.epoch;
}

uint64_t fg_member_generation(const struct fg_member *m)
{
	return m->generation;
}

uint64_t fg_member_self(const struct fg_member *m)
{
	return m->conf.self.id;
}

const char *fg_member_region(const struct fg_member *m)
{
	return m->conf.self.region;
}

/* ---- Queries ---- */

const struct fg_peer_view *fg_member_find(const struct fg_member *m,
					  uint64_t id)
{
	const struct fg_peer_entry *e = g_hash_table_lookup(m->peers, &id);

	return e != NULL ? &e->view : NULL;
}

static bool is_live(const struct fg_peer_view *view)
{
	return view->state == FG_PEER_LIVE || view->state == FG_PEER_SUSPECT;
}

static size_t list_instances(const struct fg_member *m, const char *region,
			     bool with_leaving, uint64_t *ids, size_t max)
{
	GHashTableIter it;
	void *value;
	size_t n = 0;

	if (region == NULL || strcmp(region, m->conf.self.region) == 0) {
		if (n < max)
			ids[n] = m->conf.self.id;
		n++;
	}
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_peer_view *v =
			&((const struct fg_peer_entry *)value)->view;

		if (!is_live(v) &&
		    !(with_leaving && v->state == FG_PEER_LEAVING))
			continue;
		if (region != NULL && strcmp(region, v->info.region) != 0)
			continue;
		if (n < max)
			ids[n] = v->info.id;
		n++;
	}
	return n;
}

size_t fg_member_list_live(const struct fg_member *m, const char *region,
			   uint64_t *ids, size_t max)
{
	return list_instances(m, region, false, ids, max);
}

size_t fg_member_list_present(const struct fg_member *m, const char *region,
			      uint64_t *ids, size_t max)
{
	return list_instances(m, region, true, ids, max);
}

struct candidate {
	uint64_t id;
	uint64_t score;
	bool in_dc;
};

static void consider_candidate(struct candidate *best, uint64_t key,
			       const char *region, const char *dc,
			       const struct fg_list_entry *info)
{
	uint64_t score = fg_hash_mix(info->id, key);
	bool in_dc;

	if (strcmp(info->region, region) != 0)
		return;
	in_dc = strcmp(info->dc, dc) == 0;
	if (best->id != 0 && (best->in_dc > in_dc ||
			      (best->in_dc == in_dc && best->score >= score)))
		return;
	best->id = info->id;
	best->score = score;
	best->in_dc = in_dc;
}

uint64_t fg_member_candidate(const struct fg_member *m, uint64_t key,
			     const char *region, const char *dc)
{
	struct candidate best = { 0 };
	GHashTableIter it;
	void *value;

	if (m->lease.held && !m->leaving)
		consider_candidate(&best, key, region, dc, &m->conf.self);
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_peer_entry *e = value;

		if (e->view.state == FG_PEER_LIVE)
			consider_candidate(&best, key, region, dc,
					   &e->view.info);
	}
	return best.id;
}
