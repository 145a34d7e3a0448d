/* Prompt parts that crash endpoints: requests with them, and notes about them
 * between the instances. */
#include "gateway/fg_gateway_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Retry-After of a refusal. The part is not tried again much earlier. */
#define BLOCKED_RETRY_MS 30000
/* Entries of one datagram, chosen to fit FG_MESH_PACKET_BYTES. */
#define NOTES_MAX 30
/* Of these, losses that no block explains. */
#define OPEN_MAX 16
/* Interval at which the blocked parts and such losses are sent to one instance,
 * chosen at random, in case it missed the notes about them. */
#define REPAIR_MS 1000
#define ROW_TIMEOUT_MS 1500

static const struct fg_blame_conf blame_conf = {
	.block_deaths = 3,
	.block_run_deaths = 6,
	.run_quiet_ms = 20000,
	.final_deaths = 5,
	.trial_after_ms = 10000,
	.trials_max = 2,
	.late_trial_after_ms = 1800000,
	.keep_ms = 600000,
	.deaths_max = 128,
	.whole_max = 16384,
	.blocked_max = 1024,
};

static void on_send(void *ctx, const struct fg_blame_note *note)
{
	struct fg_gateway *gw = ctx;

	g_array_append_vals(gw->notes, note, 1);
}

static void on_changed(void *ctx, uint64_t part, bool blocked, uint32_t deaths)
{
	struct fg_gateway *gw = ctx;
	char key[FG_KEY_TEXT_BYTES];
	char n[12];

	fg_gw_format_key(key, part);
	g_snprintf(n, sizeof(n), "%u", deaths);
	fg_log(FG_LOG_WARN, "blame", blocked ? "part_blocked" : "block_lifted",
	       "part", key, "deaths", n, NULL);
	fg_gw_count_event(gw, "part_verdicts",
			  blocked ? "event=\"blocked\"" : "event=\"lifted\"");
	gw->blocks_changed = gw->blocks_changed || blocked;
}

/* ---- Rows of the store ---- */

static void on_row_written(void *ctx, unsigned int status, const char *body,
			   size_t len)
{
	(void)ctx;
	(void)body;
	(void)len;
	if (status != HTTP_STATUS_OK)
		fg_log(FG_LOG_WARN, "blame", "row_not_written", NULL);
}

/* Writes a row, or removes it; one instance of each data centre does. Returns
 * false if that cannot be now. */
static bool write_row(struct fg_gateway *gw, const char *key, const char *value)
{
	struct fg_tx_row row = { .table = FG_SYNC_TABLE_OWN,
				 .key = key,
				 .value = value };

	if (fg_channel_is_busy(gw->blame_channel) ||
	    !fg_peers_is_first_in_dc(gw->peers, fg_clock_now()))
		return false;
	fg_gw_count_event(gw, "store_calls", NULL);
	fg_channel_send(gw->blame_channel,
			gw->wire->rows_tx(gw->conf->store, &row, 1),
			ROW_TIMEOUT_MS, on_row_written, gw);
	return true;
}

/* Writes the row of a part, "DEATHS PROVEN TRIALS AGE_MS", or removes it. What
 * cannot be written now is written later, since saves are repeated. */
static void write_block(struct fg_gateway *gw, uint64_t part, const char *value)
{
	char key[sizeof(FG_SYNC_KEY_BLOCKED) + FG_KEY_TEXT_BYTES] =
		FG_SYNC_KEY_BLOCKED;

	fg_gw_format_key(key + strlen(FG_SYNC_KEY_BLOCKED), part);
	write_row(gw, key, value);
}

static void on_save(void *ctx, const struct fg_blame_note *note)
{
	char value[48];

	g_snprintf(value, sizeof(value), "%u %u %u %u", note->deaths,
		   note->proven, note->trials, note->age_ms);
	write_block(ctx, note->part, value);
}

static void on_unsave(void *ctx, uint64_t part)
{
	write_block(ctx, part, NULL);
}

/* ---- Evidence ---- */

/* The row of a data centre's evidence has an entry for each note:
 * "loss PART EP AGE_MS DEPTH BEGUN SOME_BEGUN;" or "whole PART AGE_MS RUNS;".
 */
static bool on_save_evidence(void *ctx, const struct fg_blame_note *notes,
			     uint32_t n)
{
	struct fg_gateway *gw = ctx;
	GString *value;
	char *key;
	bool sent;

	if (!gw->feeds[FG_FEED_OWN].full_read_done)
		return false;
	value = g_string_new(NULL);
	for (uint32_t i = 0; i < n; i++) {
		const struct fg_blame_note *note = &notes[i];

		if (note->kind == FG_BLAME_LOSS)
			g_string_append_printf(
				value,
				"loss %" PRIx64 " %" PRIx64 " %u %u %d %d;",
				note->part, note->ep, note->age_ms, note->depth,
				note->begun, note->some_begun);
		else
			g_string_append_printf(
				value, "whole %" PRIx64 " %u %u\n", note->part,
				note->age_ms, note->runs);
	}
	key = g_strconcat(FG_SYNC_KEY_EVIDENCE, gw->conf->dc, NULL);
	sent = write_row(gw, key, value->str);
	g_free(key);
	g_string_free(value, TRUE);
	return sent;
}

static bool read_evidence_entry(const char *entry, struct fg_blame_note *out)
{
	unsigned int begun;
	unsigned int some_begun;

	*out = (struct fg_blame_note){ .kind = FG_BLAME_LOSS };
	if (sscanf(entry, "loss %" SCNx64 " %" SCNx64 " %u %u %u %u",
		   &out->part, &out->ep, &out->age_ms, &out->depth, &begun,
		   &some_begun) == 6) {
		out->begun = begun != 0;
		out->some_begun = some_begun != 0;
		return true;
	}
	*out = (struct fg_blame_note){ .kind = FG_BLAME_WHOLE };
	return sscanf(entry, "whole %" SCNx64 " %u %u", &out->part,
		      &out->age_ms, &out->runs) == 3;
}

/* Entries of an unknown form are those of newer builds. */
void fg_gw_blame_apply_evidence(struct fg_gateway *gw,
				const struct fg_store_row *row, fg_ms now)
{
	struct fg_blame_note notes[FG_BLAME_EVIDENCE_MAX];
	const char *dc = row->key + strlen(FG_SYNC_KEY_EVIDENCE);
	uint32_t n = 0;
	char **entries;

	if (row->removed || row->value == NULL)
		return;
	entries = g_strsplit(row->value, ";", -1);
	for (char **entry = entries; *entry != NULL && n < G_N_ELEMENTS(notes);
	     entry++)
		n += read_evidence_entry(*entry, &notes[n]);
	g_strfreev(entries);
	fg_blame_on_evidence(gw->blame, now, notes, n,
			     strcmp(dc, gw->conf->dc) == 0);
}

/* ---- Blocked parts ---- */

void fg_gw_blame_apply_row(struct fg_gateway *gw,
			   const struct fg_store_row *row, fg_ms now)
{
	struct fg_blame_note note = { .kind = FG_BLAME_BLOCKED };
	char *end;

	if (row->removed || row->value == NULL)
		return;
	note.part = g_ascii_strtoull(row->key + strlen(FG_SYNC_KEY_BLOCKED),
				     &end, 16);
	/* Older builds write no age, and read none. */
	if (*end != '\0' ||
	    sscanf(row->value, "%u %u %u %u", &note.deaths, &note.proven,
		   &note.trials, &note.age_ms) < 3) {
		fg_log(FG_LOG_WARN, "blame", "row_refused", "key", row->key,
		       NULL);
		return;
	}
	fg_blame_on_stored(gw->blame, now, &note);
}

static const struct fg_blame_ops blame_ops = {
	.save_evidence = on_save_evidence,
	.send = on_send,
	.save = on_save,
	.unsave = on_unsave,
	.changed = on_changed,
};

void fg_gw_blame_init(struct fg_gateway *gw)
{
	struct fg_blame_conf conf = blame_conf;

	conf.seed = fg_rand_next(&gw->rand);
	gw->blame = fg_blame_new(&conf, &blame_ops, gw);
	gw->notes = g_array_new(FALSE, FALSE, sizeof(struct fg_blame_note));
	gw->blame_channel = fg_gw_store_channel_new(gw);
}

void fg_gw_blame_free(struct fg_gateway *gw)
{
	fg_blame_free(gw->blame);
	g_array_unref(gw->notes);
	fg_channel_free(gw->blame_channel);
}

/* ---- Requests ---- */

static void refuse(struct fg_gwreq *r)
{
	fg_gwreq_refuse_until(r, "crashing_part", BLOCKED_RETRY_MS);
}

bool fg_gw_blame_admit(struct fg_gwreq *r)
{
	struct fg_gateway *gw = r->gw;

	if (!fg_blame_admit(gw->blame, r->arrived_at, r->call.shared_parts)) {
		refuse(r);
		return false;
	}
	r->trial = fg_blame_is_blocked(gw->blame, r->call.shared_parts);
	if (r->trial)
		fg_gwreq_log_routine(r, "trial", NULL);
	return true;
}

bool fg_gw_blame_refuse_blocked(struct fg_gwreq *r)
{
	const struct fg_blame *b = r->gw->blame;

	if (r->trial ||
	    (r->sends == 0 ? !fg_blame_is_blocked(b, r->call.shared_parts)
			   : fg_blame_may_resend(b, r->call.shared_parts)))
		return false;
	refuse(r);
	return true;
}

/* Withdraws a request from the endpoint that would begin it next. */
static void withdraw(struct fg_gwreq *r)
{
	r->may_have_run = true;
	fg_send_cancel(r);
	refuse(r);
}

/* Ends the requests in progress with parts that have been blocked, except those
 * that an endpoint has begun to answer. */
static void end_blocked_requests(struct fg_gateway *gw)
{
	for (guint i = gw->reqs->len; i > 0; i--) {
		struct fg_gwreq *r;

		if (i > gw->reqs->len)
			continue;
		r = gw->reqs->pdata[i - 1];
		if (r->trial ||
		    !fg_blame_is_blocked(gw->blame, r->call.shared_parts))
			continue;
		if (r->state != FG_GWREQ_SENT)
			refuse(r);
		else if (r->head_at == 0)
			withdraw(r);
	}
}

/* ---- Notes ---- */

static void write_note(fg_mesh_note *out, const struct fg_blame_note *in)
{
	out->kind = in->kind;
	out->part = in->part;
	out->age_ms = in->age_ms;
	out->ep = in->ep;
	out->depth = in->depth;
	out->begun = in->begun;
	out->deaths = in->deaths;
	out->proven = in->proven;
	out->trials = in->trials;
}

static void read_note(struct fg_blame_note *out, const fg_mesh_note *in)
{
	out->kind = in->kind;
	out->part = in->part;
	out->age_ms = in->age_ms;
	out->ep = in->ep;
	out->depth = in->depth;
	out->begun = in->begun != 0;
	out->deaths = in->deaths;
	out->proven = in->proven;
	out->trials = in->trials;
}

static void send_notes(struct fg_gateway *gw, const struct fg_mesh_peer *peer,
		       const struct fg_blame_note *notes, uint32_t n)
{
	fg_mesh_note list[NOTES_MAX];
	fg_mesh_packet packet;

	fg_gw_mesh_init_packet(gw, &packet, FG_MESH_NOTES);
	packet.body.fg_mesh_body_u.notes.list.list_val = list;
	while (n > 0) {
		uint32_t count = MIN(n, NOTES_MAX);

		for (uint32_t i = 0; i < count; i++)
			write_note(&list[i], &notes[i]);
		packet.body.fg_mesh_body_u.notes.list.list_len = count;
		fg_gw_mesh_send(gw, peer->row.mesh, &packet);
		notes += count;
		n -= count;
	}
}

static void flush_notes(struct fg_gateway *gw)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);

	for (guint i = 0; gw->notes->len > 0 && i < peers->len; i++)
		send_notes(gw, peers->pdata[i],
			   (const struct fg_blame_note *)gw->notes->data,
			   gw->notes->len);
	g_array_set_size(gw->notes, 0);
}

void fg_gw_blame_send_blocked(struct fg_gateway *gw,
			      const struct fg_mesh_peer *peer, fg_ms now)
{
	struct fg_blame_note notes[NOTES_MAX];

	uint32_t n = fg_blame_list(gw->blame, now, notes, NOTES_MAX);

	n += fg_blame_list_open(gw->blame, now, notes + n,
				MIN(OPEN_MAX, NOTES_MAX - n));
	send_notes(gw, peer, notes, n);
}

static void repair_one_peer(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);

	if (now - gw->repair_at < REPAIR_MS || peers->len == 0)
		return;
	gw->repair_at = now;
	fg_gw_blame_send_blocked(
		gw, peers->pdata[fg_rand_below(&gw->rand, peers->len)], now);
}

void fg_gw_blame_apply_notes(struct fg_gateway *gw,
			     const fg_mesh_packet *packet, fg_ms now)
{
	const fg_mesh_notes *notes = &packet->body.fg_mesh_body_u.notes;

	for (u_int i = 0; i < notes->list.list_len; i++) {
		struct fg_blame_note note;
		const struct fg_fleet_ep *ep;

		read_note(&note, &notes->list.list_val[i]);
		ep = note.kind == FG_BLAME_LOSS
			     ? fg_fleet_find_hash(gw->fleet, note.ep)
			     : NULL;
		/* What was lost there from here was lost in the same death. */
		if (ep != NULL && ep->user != NULL)
			fg_ep_local_report_losses(ep->user);
		fg_blame_on_note(gw->blame, now, &note);
	}
	if (gw->blocks_changed)
		fg_gw_blame_tick(gw, now);
}

void fg_gw_blame_tick(struct fg_gateway *gw, fg_ms now)
{
	fg_ep_check_tick(gw, now);
	fg_blame_tick(gw->blame, now);
	flush_notes(gw);
	repair_one_peer(gw, now);
	if (!gw->blocks_changed)
		return;
	gw->blocks_changed = false;
	end_blocked_requests(gw);
}
