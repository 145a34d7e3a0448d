/* Requests: arrival, admission, deadline and answer. */
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

/* ---- Answers ---- */

static void count_outcome(struct fg_node *n, enum fg_outcome outcome)
{
	static const enum fg_node_counter of[] = {
		[FG_DONE] = FG_NC_DONE,
		[FG_FAILED] = FG_NC_FAILED,
		[FG_NOT_RUN] = FG_NC_NOT_RUN,
		[FG_UNKNOWN] = FG_NC_UNKNOWN,
	};

	fg_node_count(n, of[outcome], 1);
}

/* A live instance other than this one, to go to instead. */
static bool other_address(struct fg_node *n, char out[FG_ADDR_BYTES])
{
	uint64_t ids[64];
	size_t total = fg_node_region_peers(n, ids, G_N_ELEMENTS(ids));
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
	    other_address(n, address))
		reply->address = address;
	count_outcome(n, reply->outcome);
	n->io.reply(n->io.arg, id, reply);
}

/* Whatever ends a request later, once an attempt may have run nobody is told
 * that it did not. */
static enum fg_outcome truthful(const struct fg_req *r, enum fg_outcome outcome)
{
	return outcome == FG_NOT_RUN && r->ran ? FG_UNKNOWN : outcome;
}

void fg_req_reply_full(struct fg_node *n, struct fg_req *r,
		       struct fg_reply *reply)
{
	fg_wait_remove(n, r);
	fg_route_release(n, r, 0, false);
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
		.outcome = truthful(r, outcome),
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
	/* The ledger answers, so that the row never says less than the
	 * caller was told. */
	r->state = FG_REQ_FINISHING;
	fg_ledger_record_outcome(n->ledger, n->now, r->id, truthful(r, outcome),
				 reason, NULL, fg_wire_ledger, n);
}

/* ---- Arrival ---- */

static void refuse(struct fg_node *n, const struct fg_request *in,
		   enum fg_reason reason, uint32_t retry_after_ms)
{
	struct fg_reply reply = {
		.outcome = FG_NOT_RUN,
		.reason = reason,
		.retry_after_ms = retry_after_ms,
	};

	send_reply(n, in->id, &reply);
}

static bool is_model(enum fg_class cls)
{
	return cls == FG_CLASS_INTERACTIVE || cls == FG_CLASS_DRAFT;
}

/* Checks that need no look at the adapter. */
static enum fg_reason first_checks(struct fg_node *n,
				   const struct fg_request *in,
				   uint32_t *retry_after_ms)
{
	const struct fg_preset *preset = fg_config_preset(n->config);

	*retry_after_ms = RETRY_AFTER_MS;
	if (n->stop_begun != 0)
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
			    n->conf.caller_rate != 0 ? n->conf.caller_rate
						     : preset->caller_rate,
			    retry_after_ms))
		return FG_R_OVERLOAD;
	return FG_R_NONE;
}

static struct fg_req *new_req(struct fg_node *n, const struct fg_request *in)
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
	r->arrived = n->now;
	r->deadline = n->now + in->deadline_ms;
	g_hash_table_insert(n->reqs, &r->id, r);
	return r;
}

/* Copies the catalogue's names: they change with the next revision. */
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

static void start_model(struct fg_node *n, struct fg_req *r)
{
	uint32_t retry_after_ms = 0;

	fg_model_heat(n, r->service, r->av);
	if (fg_estimate_fits(n->estimate, r->cls, fg_req_left_ms(n, r), 0,
			     &retry_after_ms))
		fg_route(n, r);
	else
		fg_req_fail(n, r, FG_NOT_RUN, FG_R_NO_TIME, retry_after_ms);
}

static void start_filing(struct fg_node *n, struct fg_req *r)
{
	if (n->conf.switches.no_ledger) {
		fg_route(n, r);
		return;
	}
	r->state = FG_REQ_LEDGER;
	fg_ledger_start(n->ledger, n->now, r->id, r->caller, r->key,
			fg_hash_str(r->body), r->deadline, fg_wire_ledger, n);
}

void fg_node_request(struct fg_node *n, fg_ms now, const struct fg_request *in)
{
	uint32_t retry_after_ms = 0;
	enum fg_reason reason;
	struct fg_req *r;
	fg_av av = { 0, 0 };

	n->now = now;
	fg_node_count(n, FG_NC_REQUESTS, 1);
	reason = first_checks(n, in, &retry_after_ms);
	if (reason == FG_R_NONE && is_model(in->cls))
		reason = fg_config_resolve(n->config, in->caller, in->adapter,
					   in->version, &av);
	if (reason != FG_R_NONE) {
		refuse(n, in, reason,
		       fg_http_status(FG_NOT_RUN, reason) >= 429
			       ? retry_after_ms
			       : 0);
		return;
	}
	fg_retry_count_first(n->retry, now, in->cls);
	r = new_req(n, in);
	if (is_model(in->cls)) {
		set_adapter(n, r, av);
		start_model(n, r);
	} else if (in->cls == FG_CLASS_FILING) {
		start_filing(n, r);
	} else {
		fg_route(n, r);
	}
	fg_node_drain(n);
}

/* A filing goes on without its caller: the key will be asked for again. */
void fg_node_caller_gone(struct fg_node *n, fg_ms now, uint64_t id)
{
	struct fg_req *r = fg_req_find(n, id);

	n->now = now;
	if (r == NULL || r->cls == FG_CLASS_FILING)
		return;
	r->caller_gone = true;
	if (r->state != FG_REQ_RUNNING)
		fg_req_fail(n, r, FG_NOT_RUN, FG_R_CANCELLED, 0);
	fg_node_drain(n);
}

/* ---- Time ---- */

/* Requests that have a dispatch in progress end with its result. */
static bool is_waiting(const struct fg_req *r)
{
	return r->state != FG_REQ_RUNNING && r->state != FG_REQ_LEDGER &&
	       r->state != FG_REQ_FINISHING;
}

static void tick_req(struct fg_node *n, struct fg_req *r)
{
	if (is_waiting(r) && n->now >= r->deadline) {
		fg_req_fail(n, r, FG_NOT_RUN, FG_R_PAST_DEADLINE,
			    RETRY_AFTER_MS);
		return;
	}
	if (r->state == FG_REQ_BACKOFF) {
		if (n->now >= r->next_at)
			fg_route(n, r);
	} else if (r->state == FG_REQ_GRANT) {
		fg_route_repeat_ask(n, r);
	}
}

void fg_reqs_tick(struct fg_node *n)
{
	GList *ids = g_hash_table_get_keys(n->reqs);

	/* A step may end other requests: each is looked up anew. The keys
	 * live in the requests, so they are copied first. */
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
