/* Rows of instances that died: marks and removals, as lib/retire decides. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

#define ROWS_PER_NAME 2

void fg_gw_retire_apply_mark(struct fg_gateway *gw,
			     const struct fg_store_row *row, fg_ms now)
{
	const char *name = row->key + strlen(FG_SYNC_KEY_MARK);

	fg_retire_put_mark(gw->retire, now, name,
			   row->removed ? NULL : row->value, row->version);
	if (strcmp(name, gw->conf->name) != 0 || row->removed ||
	    !fg_retire_is_marked(gw->retire, name, gw->own_row_version))
		return;
	/* The others take this instance for dead until it writes its row again.
	 */
	fg_log(FG_LOG_WARN, "sync", "own_row_marked", NULL);
	gw->own_row_written = false;
}

static GArray *list_members(const struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);
	GArray *out = g_array_sized_new(
		FALSE, FALSE, sizeof(struct fg_retire_member), peers->len);

	for (guint i = 0; i < peers->len; i++) {
		const struct fg_mesh_peer *p = peers->pdata[i];
		struct fg_retire_member m = {
			.name = p->row.name,
			.hash = p->hash,
			.row_version = p->row.version,
			.read = p->store.feeds[FG_FEED_OWN].read,
			.row_seen_at = p->row_seen_at,
			.heard_at = p->heartbeat_at,
			.heard = fg_peer_is_heard(p, now),
			.leaving = p->state == FG_MESH_LEAVING,
			.binds = p->binding == p->row.incarnation,
		};

		g_array_append_val(out, m);
	}
	return out;
}

void fg_gw_retire_tick(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);
	const struct fg_feed *own = &gw->feeds[FG_FEED_OWN];
	GArray *members = list_members(gw, now);

	gw->retiring = fg_retire_decide(
		gw->retire, now,
		(const struct fg_retire_member *)(void *)members->data,
		members->len,
		gw->own_row_written && !fg_gw_is_stopping(gw) &&
			own->full_read_done && !own->in_full_read &&
			own->failures == 0);
	g_array_unref(members);
	for (guint i = 0; i < peers->len; i++) {
		struct fg_mesh_peer *p = peers->pdata[i];
		bool bound = fg_retire_is_bound(gw->retire, p->row.name,
						p->row.version);

		if (bound && !p->retired)
			fg_log(FG_LOG_WARN, "mesh", "retired", "instance",
			       p->row.name, NULL);
		p->retired = bound;
	}
}

static const char *step_event(enum fg_retire_step step)
{
	switch (step) {
	case FG_RETIRE_MARK:
		return "mark_written";
	case FG_RETIRE_UNMARK:
		return "mark_removed";
	default:
		return "row_of_dead_removed";
	}
}

/* The feed tells of the change only some time later. */
static void apply_result(struct fg_gateway *gw, uint64_t version, fg_ms now)
{
	char *text = NULL;

	if (gw->retire_sent == FG_RETIRE_REMOVE)
		return;
	if (gw->retire_sent == FG_RETIRE_MARK)
		text = fg_retire_mark_format(gw->retire_row_version);
	fg_retire_put_mark(gw->retire, now, gw->retire_name, text, version);
	g_free(text);
}

static void on_written(void *ctx, unsigned int status, const char *body,
		       size_t len)
{
	struct fg_gateway *gw = ctx;
	fg_ms now = fg_clock_now();
	struct fg_store_rows rows = { 0 };
	bool conflict = status == HTTP_STATUS_PRECONDITION_FAILED;
	char code[12];

	gw->next_tx_at = now + FG_SYNC_TX_GAP_MS;
	g_snprintf(code, sizeof(code), "%u", status);
	fg_log(FG_LOG_INFO, "sync", step_event(gw->retire_sent), "status", code,
	       "first", gw->retire_name, NULL);
	if ((status == HTTP_STATUS_OK || conflict) &&
	    fg_sync_is_tx_answer_usable(gw, status) &&
	    gw->wire->rows_read(body, len, &rows, NULL)) {
		fg_store_rows_set_era(&rows, gw->era.known);
		if (!conflict)
			apply_result(gw, rows.version, now);
		/* The answer to a conflict has the rows as they are now. */
		for (guint i = 0; conflict && i < rows.rows->len; i++)
			fg_sync_apply_row(&gw->feeds[FG_FEED_OWN],
					  rows.rows->pdata[i], now);
	}
	fg_store_rows_clear(&rows);
}

static struct fg_tx_row make_row(const char *prefix, const char *name,
				 uint64_t expected)
{
	return (struct fg_tx_row){
		.table = FG_SYNC_TABLE_OWN,
		.key = g_strconcat(prefix, name, NULL),
		.conditional = true,
		.expected = expected == 0 ? 0 : fg_store_number(expected),
	};
}

/* Each row and mark is as it was last read, or nothing is changed: a
 * transaction that is performed late finds other versions. */
static uint32_t fill_rows(const struct fg_retire_action *a,
			  struct fg_tx_row *rows)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < a->n; i++) {
		rows[n] = make_row(FG_SYNC_KEY_MARK, a->names[i],
				   a->mark_versions[i]);
		if (a->step == FG_RETIRE_MARK)
			rows[n].value =
				fg_retire_mark_format(a->row_versions[i]);
		n++;
		if (a->step != FG_RETIRE_REMOVE)
			continue;
		rows[n++] = make_row(FG_SYNC_KEY_INSTANCE, a->names[i],
				     a->row_versions[i]);
	}
	return n;
}

bool fg_gw_retire_step(struct fg_gateway *gw)
{
	struct fg_tx_row rows[FG_RETIRE_BATCH_MAX * ROWS_PER_NAME];
	uint32_t n;

	if (gw->retiring.step == FG_RETIRE_NOTHING)
		return false;
	n = fill_rows(&gw->retiring, rows);
	gw->retire_sent = gw->retiring.step;
	gw->retire_row_version = gw->retiring.row_versions[0];
	g_strlcpy(gw->retire_name, gw->retiring.names[0],
		  sizeof(gw->retire_name));
	fg_sync_send_tx(gw, rows, n, on_written);
	for (uint32_t i = 0; i < n; i++) {
		g_free((char *)rows[i].key);
		g_free((char *)rows[i].value);
	}
	return true;
}
