/* Requests: arrival, admission, deadline and reply. */
#include <string.h>

#include "node/fg_node_internal.h"

#define RETRY_AFTER_MS 1000

void fg_req_free(void *arg)
{
	struct fg_req *r = arg;

	g_free(r->tag);
	g_free(r->caller);
	g_free(r->adapter);
	g_free(r->version);
	g_free(r->service);
	g_free(r->key);
	g_free(r->body);
	g_free(r);
}

struct fg_req *fg_req_find(struct fg_node *n, uint64_t id)
{
	return g_hash_table_lookup(n->reqs, &id);
}

uint32_t fg_req_left_ms(const struct fg_node *n, const struct fg_req *r)
{
	return r->deadline > n->now ? (uint32_t)(r->deadline - n->now) : 0;
}

/* ---- Replies ---- */

static void count_outcome(struct fg_node *n, enum fg_outcome outcome)
{
	static const enum fg_node_counter counter_of[] = {
		[FG_DONE] = FG_NC_DONE,
		[FG_FAILED] = FG_NC_FAILED,
		[FG_NOT_RUN] = FG_NC_NOT_RUN,
		[FG_UNKNOWN] = FG_NC_UNKNOWN,
	};

	fg_node_add_counter(n, counter_of[outcome], 1);
}

/* Picks another live instance of the region at random. */
static bool pick_other_address(struct fg_node *n, char out[FG_ADDR_BYTES])
{
	uint64_t ids[64];
	size_t total = fg_node_live_peers(n, ids, G_N_ELEMENTS(ids));
	const struct fg_peer_view *peer;

	if (total == 0)
		return false;
	peer = fg_member_find(n->member, ids[fg_rand_below(&n->rand, total)]);
	if (peer == NULL)
		return false;
	g_strlcpy(out, peer->info.addr, FG_ADDR_BYTES);
	return true;
}

static void send_reply(struct fg_node *n, uint64_t id, struct fg_reply *reply)
{
	char address[FG_ADDR_BYTES];

	if ((reply->reason == FG_R_STOPPING ||
	     reply->reason == FG_R_ISOLATED) &&
	    pick_other_address(n, address))
		reply->address = address;
	count_outcome(n, reply->outcome);
	n->io.reply(n->io.arg, id, reply);
}

/* A request is never reported as NOT_RUN once one of its attempts may have run,
 * whatever ends it later. */
static enum fg_outcome outcome_to_report(const struct fg_req *r,
					 enum fg_outcome outcome)
{
	return outcome == FG_NOT_RUN && r->may_have_run ? FG_UNKNOWN : outcome;
}

void fg_req_reply_full(struct fg_node *n, struct fg_req *r,
		       struct fg_reply *reply)
{
	fg_wait_remove(n, r);
	fg_route_release_grant(n, r, 0, false);
	if (r->adapter != NULL) {
		reply->adapter = r->adapter;
		reply->version = r->version;
	}
	send_reply(n, r->id, reply);
	g_hash_table_remove(n->reqs, &r->id);
}

void fg_req_reply(struct fg_node *n, struct fg_req *r, enum fg_outcome outcome,
		  enum fg_reason reason, uint32_t retry_after_ms)
{
	struct fg_reply reply = {
		.outcome = outcome_to_report(r, outcome),
		.reason = reason,
		.retry_after_ms = retry_after_ms,
	};

	fg_req_reply_full(n, r, &reply);
}

void fg_req_fail(struct fg_node *n, struct fg_req *r, enum fg_outcome outcome,
		 enum fg_reason reason, uint32_t retry_after_ms)
{
	if (r->cls != FG_CLASS_FILING || n->conf.switches.no_ledger) {
		fg_req_reply(n, r, outcome, reason, retry_after_ms);
		return;
	}
	/* The ledger sends the reply, so that the row never records less than
	 * the caller was told. */
	r->state = FG_REQ_FINISHING;
	fg_ledger_record_outcome(n->ledger, n->now, r->id,
				 outcome_to_report(r, outcome), reason, NULL,
				 fg_node_on_ledger_act, n);
}

/* ---- Arrival ---- */

static void refuse_request(struct fg_node *n, const struct fg_request *in,
			   enum fg_reason reason, uint32_t retry_after_ms)
{
	struct fg_reply reply = {
		.outcome = FG_NOT_RUN,
		.reason = reason,
		.retry_after_ms = retry_after_ms,
	};

	send_reply(n, in->id, &reply);
}

static bool is_model_class(enum fg_class cls)
{
	return cls == FG_CLASS_INTERACTIVE || cls == FG_CLASS_DRAFT;
}

/* Checks that do not depend on the adapter. */
static enum fg_reason check_admission(struct fg_node *n,
				      const struct fg_request *in,
				      uint32_t *retry_after_ms)
{
	const struct fg_preset *preset = fg_config_preset(n->config);

	*retry_after_ms = RETRY_AFTER_MS;
	if (n->stop_begun_at != 0)
		return FG_R_STOPPING;
	if (!fg_node_may_serve(n))
		return FG_R_ISOLATED;
	if (in->deadline_ms == 0)
		return FG_R_PAST_DEADLINE;
	if (in->cls == FG_CLASS_FILING && (in->key == NULL || !*in->key))
		return FG_R_NO_KEY;
	if (g_hash_table_size(n->reqs) >= n->conf.requests_max)
		return FG_R_OVERLOAD;
	if (in->cls == FG_CLASS_DRAFT && !preset->accept_drafts)
		return FG_R_OVERLOAD;
	if (!fg_limits_take(n->limits, n->now, in->caller,
			    n->conf.caller_rate_per_s != 0
				    ? n->conf.caller_rate_per_s
				    : preset->caller_rate,
			    retry_after_ms))
		return FG_R_OVERLOAD;
	return FG_R_NONE;
}

static struct fg_req *create_req(struct fg_node *n, const struct fg_request *in)
{
	struct fg_req *r = g_new0(struct fg_req, 1);

	r->id = in->id;
	r->cls = in->cls;
	r->tag = g_strdup(in->tag);
	r->caller = g_strdup(in->caller);
	r->service = g_strdup(in->service);
	r->key = g_strdup(in->key);
	r->body = g_strdup(in->body != NULL ? in->body : "");
	r->max_tokens = in->max_tokens;
	r->stream = in->stream;
	r->arrived_at = n->now;
	r->deadline = n->now + in->deadline_ms;
	g_hash_table_insert(n->reqs, &r->id, r);
	return r;
}

/* Copies the catalogue's names, since the next revision may free them. */
static void set_adapter(struct fg_node *n, struct fg_req *r, fg_av av)
{
	r->av = av;
	g_free(r->service);
	r->adapter = g_strdup(fg_config_adapter_name(n->config, av));
	r->version = g_strdup(fg_config_version_name(n->config, av));
	r->service = g_strdup(fg_config_adapter_base(n->config, av));
	r->prefix_hash = fg_hash_bytes(r->body, MIN(strlen(r->body), 256));
	r->fingerprint = fg_fingerprint(av, fg_hash_str(r->body));
}

static void start_model_req(struct fg_node *n, struct fg_req *r)
{
	uint32_t retry_after_ms = 0;

	fg_model_count_arrival(n, r->service, r->av);
	if (fg_estimate_fits(n->estimate, r->cls, fg_req_left_ms(n, r), 0,
			     &retry_after_ms))
		fg_route_req(n, r);
	else
		fg_req_fail(n, r, FG_NOT_RUN, FG_R_NO_TIME, retry_after_ms);
}

static void start_filing(struct fg_node *n, struct fg_req *r)
{
	if (n->conf.switches.no_ledger) {
		fg_route_req(n, r);
		return;
	}
	r->state = FG_REQ_LEDGER;
	fg_ledger_start(n->ledger, n->now, r->id, r->caller, r->key,
			fg_hash_str(r->body), r->deadline,
			fg_node_on_ledger_act, n);
}

void fg_node_on_request(struct fg_node *n, fg_ms now,
			const struct fg_request *in)
{
	uint32_t retry_after_ms = 0;
	enum fg_reason reason;
	struct fg_req *r;
	fg_av av = { 0, 0 };

	n->now = now;
	fg_node_add_counter(n, FG_NC_REQUESTS, 1);
	reason = check_admission(n, in, &retry_after_ms);
	if (reason == FG_R_NONE && is_model_class(in->cls))
		reason = fg_config_resolve(n->config, in->caller, in->adapter,
					   in->version, &av);
	if (reason != FG_R_NONE) {
		refuse_request(n, in, reason,
			       fg_http_status(FG_NOT_RUN, reason) >= 429
				       ? retry_after_ms
				       : 0);
		return;
	}
	fg_retry_count_first(n->retry, now, in->cls);
	r = create_req(n, in);
	if (is_model_class(in->cls)) {
		set_adapter(n, r, av);
		start_model_req(n, r);
	} else if (in->cls == FG_CLASS_FILING) {
		start_filing(n, r);
	} else {
		fg_route_req(n, r);
	}
	fg_node_run_deferred(n);
}

/* A filing continues without its caller, who may ask for the outcome later
 * under the same key. */
void fg_node_on_caller_gone(struct fg_node *n, fg_ms now, uint64_t id)
{
	struct fg_req *r = fg_req_find(n, id);

	n->now = now;
	if (r == NULL || r->cls == FG_CLASS_FILING)
		return;
	r->caller_gone = true;
	if (r->state != FG_REQ_RUNNING)
		fg_req_fail(n, r, FG_NOT_RUN, FG_R_CANCELLED, 0);
	fg_node_run_deferred(n);
}

/* ---- Ticks ---- */

/* A request that runs, or that the ledger is handling, ends with the result of
 * that step and not at its deadline. */
static bool may_expire(const struct fg_req *r)
{
	return r->state != FG_REQ_RUNNING && r->state != FG_REQ_LEDGER &&
	       r->state != FG_REQ_FINISHING;
}

static void tick_req(struct fg_node *n, struct fg_req *r)
{
	if (may_expire(r) && n->now >= r->deadline) {
		fg_req_fail(n, r, FG_NOT_RUN, FG_R_PAST_DEADLINE,
			    RETRY_AFTER_MS);
		return;
	}
	if (r->state == FG_REQ_BACKOFF) {
		if (n->now >= r->retry_at)
			fg_route_req(n, r);
	} else if (r->state == FG_REQ_GRANT) {
		fg_route_repeat_grant_req(n, r);
	}
}

void fg_reqs_tick(struct fg_node *n)
{
	GList *ids = g_hash_table_get_keys(n->reqs);

	/* A tick may end other requests, and a key is freed with its request.
	 * Therefore the ids are copied, and each is looked up again. */
	uint64_t *copy = g_new(uint64_t, g_list_length(ids) + 1);
	size_t total = 0;

	for (GList *l = ids; l != NULL; l = l->next)
		copy[total++] = *(uint64_t *)l->data;
	g_list_free(ids);
	for (size_t i = 0; i < total; i++) {
		struct fg_req *r = fg_req_find(n, copy[i]);

		if (r != NULL)
			tick_req(n, r);
	}
	g_free(copy);
}
