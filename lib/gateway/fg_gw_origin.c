/* Software versions that began streams: records here and at other instances. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Longer than callers try again. */
#define KEEP_MS 60000
/* Streams begin at a version that is new to a service this long after its first
 * endpoint was listed, so that all instances in touch know of it. The view of
 * the registry is younger than SETTLE_MS even when a pause of the process that
 * is too short to be noticed is added to it. */
#define SETTLE_MS 3000
#define VIEW_MAX_MS 1900
#define PAUSE_NOTICED_MS 1000
#define STREAMS_MAX 8192
/* Other instances that keep the record of a stream. */
#define HOLDERS 2
/* Instances asked about a stream: the holders may differ between the one that
 * recorded it and the one that asks. */
#define ASKED_MAX 16
#define ASK_TIMEOUT_MS 80
#define RECORDS_PER_PACKET 32
/* Retry-After of a refusal, and the part of it that is random. */
#define RETRY_MS 300
#define RETRY_SPREAD_MS 400

static const struct fg_origin_conf origin_conf = {
	.keep_ms = KEEP_MS,
	.settle_ms = SETTLE_MS,
	.view_max_ms = VIEW_MAX_MS,
	.streams_max = STREAMS_MAX,
};

void fg_gw_origin_init(struct fg_gateway *gw)
{
	fg_ms since = gw->started_at;

	/* No stream is older than the first start of all instances. */
	if (gw->conf->first_start)
		since -= KEEP_MS;
	gw->origins = fg_origins_new(&origin_conf, since, gw->started_at);
}

void fg_gw_origin_free(struct fg_gateway *gw)
{
	fg_origins_free(gw->origins);
}

/* Notes when the registry was last read, unless that may have been earlier than
 * it seems: answers that were received before a pause of the process. */
static void note_view(struct fg_gateway *gw, fg_ms now)
{
	const struct fg_feed *f = &gw->feeds[FG_FEED_REGISTRY];

	if (now - gw->last_tick_at < PAUSE_NOTICED_MS &&
	    f->confirmed_at > gw->woke_at)
		fg_origins_note_view(gw->origins, f->confirmed_at);
}

/* ---- Versions ---- */

static uint64_t service_key(const struct fg_fleet_ep *ep)
{
	return fg_hash_str(ep->facts.service);
}

static void count_at_start(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);

	for (guint i = 0; i < all->len; i++) {
		const struct fg_fleet_ep *ep = all->pdata[i];

		fg_origins_count_at_start(gw->origins, now, service_key(ep),
					  ep->software);
	}
	fg_origins_end_start(gw->origins, now);
}

static void note_endpoint(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			  fg_ms now)
{
	uint64_t service = service_key(ep);
	bool first = fg_origins_note_version(gw->origins, now, service,
					     ep->software);

	ep->streams_after =
		fg_origins_begin_after(gw->origins, service, ep->software);
	if (first)
		fg_log(FG_LOG_INFO, "origin", "version_seen", "service",
		       ep->facts.service, "software", ep->facts.software,
		       "endpoint", ep->facts.id, "settled",
		       ep->streams_after <= now ? "yes" : "no", NULL);
}

void fg_gw_origin_refresh(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);

	if (!gw->feeds[FG_FEED_REGISTRY].full_read_done)
		return;
	if (!gw->origins_started)
		count_at_start(gw, now);
	gw->origins_started = true;
	note_view(gw, now);
	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];

		if (ep->listed || now < ep->lapsed_until)
			note_endpoint(gw, ep, now);
	}
}

/* ---- Records at other instances ---- */

/* Chooses up to `max` instances, those that hold the stream's record first.
 * Returns their number. */
static uint32_t choose_holders(struct fg_gateway *gw, uint64_t stream,
			       fg_ms now, const struct fg_mesh_peer **out,
			       uint32_t max)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);
	uint32_t n = 0;

	for (guint i = 0; i < peers->len; i++) {
		const struct fg_mesh_peer *p = peers->pdata[i];
		uint64_t rank = fg_origin_holder_rank(stream, p->hash);
		uint32_t at = MIN(n, max);

		if (!fg_peer_is_alive(p, now))
			continue;
		while (at > 0 && fg_origin_holder_rank(
					 stream, out[at - 1]->hash) < rank) {
			if (at < max)
				out[at] = out[at - 1];
			at--;
		}
		if (at < max)
			out[at] = p;
		n = MIN(n + 1, max);
	}
	return n;
}

/* Records for one instance that have not been sent yet. */
struct outbox {
	const struct fg_mesh_peer *peer;
	fg_mesh_origin list[RECORDS_PER_PACKET];
	u_int len;
};

static void send_outbox(struct fg_gateway *gw, struct outbox *box)
{
	fg_mesh_packet packet;
	fg_mesh_origins *origins = &packet.body.fg_mesh_body_u.origins;

	if (box->len == 0)
		return;
	fg_gw_mesh_init_packet(gw, &packet, FG_MESH_ORIGINS);
	origins->list.list_len = box->len;
	origins->list.list_val = box->list;
	fg_gw_mesh_send(gw, box->peer->row.mesh, &packet);
	fg_gw_add_counter(gw, "origins_sent", NULL, box->len);
	box->len = 0;
}

static void add_to_outbox(struct fg_gateway *gw, GArray *boxes,
			  const struct fg_mesh_peer *peer,
			  const struct fg_origin_record *record)
{
	struct outbox *box = NULL;
	struct outbox first = { .peer = peer };

	for (guint i = 0; i < boxes->len && box == NULL; i++) {
		if (g_array_index(boxes, struct outbox, i).peer == peer)
			box = &g_array_index(boxes, struct outbox, i);
	}
	if (box == NULL) {
		g_array_append_val(boxes, first);
		box = &g_array_index(boxes, struct outbox, boxes->len - 1);
	}
	box->list[box->len].stream = record->stream;
	box->list[box->len].service = record->service;
	box->list[box->len++].software = record->software;
	if (box->len == RECORDS_PER_PACKET)
		send_outbox(gw, box);
}

/* Sends the records that other instances need and do not have yet. */
static void tell_holders(struct fg_gateway *gw, fg_ms now)
{
	struct fg_origin_record records[RECORDS_PER_PACKET];
	const struct fg_mesh_peer *holders[HOLDERS];
	GArray *boxes = NULL;
	uint32_t n;

	while ((n = fg_origins_take_untold(gw->origins, now, records,
					   RECORDS_PER_PACKET)) > 0) {
		if (boxes == NULL)
			boxes = g_array_new(FALSE, FALSE,
					    sizeof(struct outbox));
		for (uint32_t i = 0; i < n; i++) {
			uint32_t n_holders = choose_holders(
				gw, records[i].stream, now, holders, HOLDERS);

			for (uint32_t k = 0; k < n_holders; k++)
				add_to_outbox(gw, boxes, holders[k],
					      &records[i]);
		}
	}
	if (boxes == NULL)
		return;
	for (guint i = 0; i < boxes->len; i++)
		send_outbox(gw, &g_array_index(boxes, struct outbox, i));
	g_array_unref(boxes);
}

void fg_gw_origin_tick(struct fg_gateway *gw, fg_ms now)
{
	fg_origins_tick(gw->origins, now);
	tell_holders(gw, now);
}

/* Key of the stream that the attempt with this id began. Another target or
 * adapter is another stream, whatever id is named. */
static uint64_t stream_key(const struct fg_gwreq *r, const char *id)
{
	uint64_t target = fg_hash_str(fg_h1_target(r->head));

	return fg_hash_mix(fg_hash_mix(fg_hash_str(id), target), r->adapter);
}

void fg_gw_origin_record(struct fg_gwreq *r)
{
	struct fg_gateway *gw = r->gw;
	struct fg_origin_record record = {
		.service = fg_hash_str(r->service->name),
		.software = r->software,
	};
	fg_ms now = fg_clock_now();

	if (!r->route->resumable || r->call.id == NULL)
		return;
	record.stream = stream_key(r, r->call.id);
	fg_origins_put(gw->origins, now, &record, false);
	tell_holders(gw, now);
}

void fg_gw_origin_apply(struct fg_gateway *gw, const fg_mesh_packet *packet)
{
	const fg_mesh_origins *m = &packet->body.fg_mesh_body_u.origins;

	for (u_int i = 0; i < m->list.list_len; i++) {
		const fg_mesh_origin *origin = &m->list.list_val[i];
		struct fg_origin_record record = {
			.stream = origin->stream,
			.service = origin->service,
			.software = origin->software,
		};

		fg_origins_put(gw->origins, fg_clock_now(), &record, true);
	}
}

/* ---- Streams that callers take up ---- */

static void log_resolved(const struct fg_gwreq *r, const char *by)
{
	char labels[32];

	g_snprintf(labels, sizeof(labels), "by=\"%s\"", by);
	fg_gw_count_event(r->gw, "streams_taken_up", labels);
	fg_log_routine("request", "stream_taken_up", "id", r->call.id,
		       "begun_by", r->call.resumes_id, "version_by", by, NULL);
}

static void refuse_unknown(struct fg_gwreq *r)
{
	uint32_t spread_ms =
		(uint32_t)fg_rand_below(&r->gw->rand, RETRY_SPREAD_MS);

	log_resolved(r, "none");
	fg_gwreq_refuse(r, "stream_unknown", RETRY_MS + spread_ms);
}

/* Asks other instances; returns how many. */
static uint32_t ask_instances(struct fg_gwreq *r, uint64_t stream, fg_ms now)
{
	const struct fg_mesh_peer *asked[ASKED_MAX];
	struct fg_gateway *gw = r->gw;
	uint32_t n = choose_holders(gw, stream, now, asked, ASKED_MAX);
	fg_mesh_packet packet;
	fg_mesh_origin_ask *ask = &packet.body.fg_mesh_body_u.origin_ask;

	fg_gw_mesh_init_packet(gw, &packet, FG_MESH_ORIGIN_ASK);
	ask->request = (uint32_t)r->local_id;
	ask->stream = stream;
	ask->service = fg_hash_str(r->service->name);
	for (uint32_t i = 0; i < n; i++)
		fg_gw_mesh_send(gw, asked[i]->row.mesh, &packet);
	fg_gw_add_counter(gw, "origins_asked", NULL, n);
	return n;
}

bool fg_gw_origin_resolve(struct fg_gwreq *r)
{
	struct fg_gateway *gw = r->gw;
	fg_ms now = fg_clock_now();
	uint64_t service = fg_hash_str(r->service->name);
	uint64_t stream = 0;

	if (!r->route->streaming ||
	    (!r->call.resumes && r->call.resumes_id == NULL))
		return true;
	if (r->call.resumes_id != NULL && r->call.resumes_id[0] != '\0') {
		stream = stream_key(r, r->call.resumes_id);
		r->software = fg_origins_find(gw->origins, now, stream);
		if (r->software != 0) {
			log_resolved(r, "record");
			return true;
		}
	}
	r->software = fg_origins_uniform(gw->origins, now, service);
	if (r->software != 0) {
		log_resolved(r, "only_version");
		return true;
	}
	r->software = FG_SOFTWARE_NONE;
	r->origins_pending = ask_instances(r, stream, now);
	if (r->origins_pending == 0)
		refuse_unknown(r);
	else
		fg_gwreq_enter_state(r, FG_GWREQ_WAIT_ORIGIN,
				     now + ASK_TIMEOUT_MS);
	return false;
}

void fg_gw_origin_time_out(struct fg_gwreq *r)
{
	refuse_unknown(r);
}

void fg_gw_origin_answer_ask(struct fg_gateway *gw,
			     const fg_mesh_packet *packet, const char *from)
{
	const fg_mesh_origin_ask *ask = &packet->body.fg_mesh_body_u.origin_ask;
	fg_ms now = fg_clock_now();
	fg_mesh_packet reply;
	fg_mesh_origin_rep *rep = &reply.body.fg_mesh_body_u.origin_rep;

	fg_gw_mesh_init_packet(gw, &reply, FG_MESH_ORIGIN_REP);
	rep->request = ask->request;
	if (ask->stream != 0)
		rep->software = fg_origins_find(gw->origins, now, ask->stream);
	if (rep->software == 0)
		rep->software =
			fg_origins_uniform(gw->origins, now, ask->service);
	fg_gw_mesh_send(gw, from, &reply);
}

void fg_gw_origin_apply_reply(struct fg_gateway *gw,
			      const fg_mesh_packet *packet)
{
	const fg_mesh_origin_rep *rep = &packet->body.fg_mesh_body_u.origin_rep;

	for (guint i = 0; i < gw->reqs->len; i++) {
		struct fg_gwreq *r = gw->reqs->pdata[i];

		if ((uint32_t)r->local_id != rep->request ||
		    r->state != FG_GWREQ_WAIT_ORIGIN)
			continue;
		r->origins_pending--;
		if (rep->software != 0) {
			r->software = rep->software;
			log_resolved(r, "instance");
			fg_gwreq_place(r);
		} else if (r->origins_pending == 0) {
			refuse_unknown(r);
		}
		return;
	}
}
