#include "overload_replay.h"

#include <stdio.h>
#include <string.h>

#include "base/fg_rand.h"
#include "overload/fg_overload.h"

#define PROMPT_PER_MS 20
#define QUEUE_MAX 192
#define LOAD_MS 270
#define SNAPSHOT_MS 60 /* age of what is known of other instances' requests */
#define FORMER_LOAD_WAIT_MS 2200
#define ADAPTER_SLOTS_MAX 8
#define INSTANCES_MAX 16
#define PLAIN_WORK_MS 60
#define TICK_RETRY_MS 40

struct endpoint {
	uint64_t adapters[ADAPTER_SLOTS_MAX]; /* 0: free */
	int64_t ready_at[ADAPTER_SLOTS_MAX];
	int64_t used_at[ADAPTER_SLOTS_MAX];
	uint32_t known_running, known_tokens,
		known_loads; /* as of the last snapshot */
	bool known_spare;
	uint32_t running, waiting, loads; /* now */
	double tokens;
};

enum state {
	PENDING = 0,
	WAIT_LOAD,
	AT_ENDPOINT,
	ENDED
};

/* One caller and its attempts. */
struct req {
	struct replay_kind *kind;
	struct fg_overload_ask ask;
	enum state state;
	int64_t first_asked, due, arrived, deadline, leave_at, wait_since;
	int64_t sent, slot_since, expected_load;
	uint32_t instance, ep, attempts;
	uint64_t adapter, id;
	double unread;
	bool has_slot, answered;
	int64_t ends;
};

struct sim {
	struct replay *out;
	bool former;
	struct fg_rand rand;
	struct endpoint *eps;
	uint32_t n_eps, eps_max, slots, adapter_slots, n_instances;
	struct fg_overload *instances[INSTANCES_MAX];
	GPtrArray *reqs;
	uint64_t n_reqs;
	int64_t now;
};

/* ---- Endpoints ---- */

static int find_adapter(const struct sim *s, const struct endpoint *ep,
			uint64_t adapter)
{
	for (uint32_t i = 0; i < s->adapter_slots; i++) {
		if (ep->adapters[i] == adapter)
			return (int)i;
	}
	return -1;
}

static bool is_in_use(const struct sim *s, uint32_t ep, uint64_t adapter)
{
	for (guint i = 0; i < s->reqs->len; i++) {
		const struct req *r = s->reqs->pdata[i];

		if (r->ep == ep && r->adapter == adapter &&
		    (r->state == AT_ENDPOINT || r->state == WAIT_LOAD))
			return true;
	}
	return false;
}

/* Least recently used slot whose adapter has no request; -1: none. */
static int find_spare(const struct sim *s, uint32_t index)
{
	const struct endpoint *ep = &s->eps[index];
	int best = -1;

	for (uint32_t i = 0; i < s->adapter_slots; i++) {
		if (ep->adapters[i] != 0 &&
		    (s->now < ep->ready_at[i] || s->now - ep->used_at[i] < 50 ||
		     is_in_use(s, index, ep->adapters[i])))
			continue;
		if (best < 0 || ep->used_at[i] < ep->used_at[best])
			best = (int)i;
	}
	return best;
}

static bool is_resident(const struct sim *s, const struct endpoint *ep,
			uint64_t adapter)
{
	int slot = adapter == 0 ? 0 : find_adapter(s, ep, adapter);

	return adapter == 0 || (slot >= 0 && s->now >= ep->ready_at[slot]);
}

/* Starts the load unless it runs or no slot is spare. */
static void request_load(struct sim *s, uint32_t index, uint64_t adapter)
{
	struct endpoint *ep = &s->eps[index];
	int slot;

	if (find_adapter(s, ep, adapter) >= 0)
		return;
	slot = find_spare(s, index);
	if (slot < 0)
		return;
	ep->adapters[slot] = adapter;
	ep->ready_at[slot] = s->now + LOAD_MS;
	ep->used_at[slot] = s->now;
}

static void count_endpoints(struct sim *s)
{
	for (uint32_t i = 0; i < s->eps_max; i++) {
		s->eps[i].running = s->eps[i].waiting = 0;
		s->eps[i].loads = 0;
		s->eps[i].tokens = 0;
	}
	for (guint i = 0; i < s->reqs->len; i++) {
		const struct req *r = s->reqs->pdata[i];
		struct endpoint *ep = &s->eps[r->ep];

		if (r->state == AT_ENDPOINT && r->has_slot)
			ep->running++;
		if ((r->state == AT_ENDPOINT && !r->has_slot) ||
		    r->state == WAIT_LOAD)
			ep->waiting++;
		ep->loads += r->state == WAIT_LOAD;
		if (r->state == AT_ENDPOINT || r->state == WAIT_LOAD)
			ep->tokens += r->unread;
	}
	for (uint32_t i = 0; s->now % SNAPSHOT_MS == 0 && i < s->eps_max; i++) {
		s->eps[i].known_running = s->eps[i].running + s->eps[i].waiting;
		s->eps[i].known_loads = s->eps[i].loads;
		s->eps[i].known_tokens = (uint32_t)s->eps[i].tokens;
		s->eps[i].known_spare =
			s->adapter_slots == 0 || find_spare(s, i) >= 0;
	}
}

static bool is_before(const struct req *a, const struct req *b)
{
	return a->ask.rank != b->ask.rank ? a->ask.rank < b->ask.rank
					  : a->sent < b->sent;
}

/* Gives free slots to the first in the queue, and then those of the least
 * urgent ones. */
static void fill_slots(struct sim *s, uint32_t index)
{
	for (;;) {
		struct req *first = NULL;
		struct req *last = NULL;
		uint32_t taken = 0;

		for (guint i = 0; i < s->reqs->len; i++) {
			struct req *r = s->reqs->pdata[i];

			if (r->state != AT_ENDPOINT || r->ep != index)
				continue;
			taken += r->has_slot;
			if (!r->has_slot && (!first || is_before(r, first)))
				first = r;
			if (r->has_slot && !r->answered &&
			    (!last || is_before(last, r)))
				last = r;
		}
		if (first == NULL)
			return;
		if (taken >= s->slots) {
			if (s->adapter_slots == 0 || last == NULL ||
			    first->ask.rank >= last->ask.rank)
				return;
			last->has_slot = false;
		}
		first->has_slot = true;
		first->slot_since = s->now;
	}
}

/* ---- Requests ---- */

static struct replay_result *second(struct sim *s)
{
	guint i = (guint)(s->now / FG_MS_PER_S);

	if (s->out->seconds->len <= i)
		g_array_set_size(s->out->seconds, i + 1);
	return &g_array_index(s->out->seconds, struct replay_result, i);
}

static void end_req(struct req *r, uint32_t *count)
{
	(*count)++;
	r->state = ENDED;
}

static void refuse(struct sim *s, struct req *r, uint32_t retry_ms)
{
	struct replay_result *res = &r->kind->result;
	int64_t left = r->deadline - s->now;

	if (s->now - r->arrived > 300)
		res->waited_out++;
	second(s)->refused++;
	r->has_slot = false;
	if (r->attempts >= 2 || left < 50) {
		end_req(r, &res->refused);
		return;
	}
	if (r->kind->at_once)
		retry_ms = 1;
	r->due = s->now + MIN((int64_t)retry_ms, left / 3);
	r->state = PENDING;
}

/* Estimate by what the instance knows, as lib/balance makes it. */
static void estimate(struct sim *s, struct req *r, uint32_t index,
		     struct fg_overload_ask *ask)
{
	const struct endpoint *ep = &s->eps[index];
	uint32_t own = 0;
	uint32_t own_all = 0;

	ask->load_ms = ask->own_load_ms = 0;
	ask->needs_load = false;
	if (s->adapter_slots == 0) {
		/* Only this instance's requests are known. */
		for (guint i = 0; i < s->reqs->len; i++) {
			const struct req *o = s->reqs->pdata[i];

			if (o->state != AT_ENDPOINT ||
			    o->instance != r->instance)
				continue;
			own += o->ep == index;
			own_all++;
		}
		ask->own_wait_ms = PLAIN_WORK_MS / 2;
		ask->wait_ms = own * PLAIN_WORK_MS / 2 / s->slots;
		ask->slots_taken = own_all * s->n_instances;
		ask->instances = s->n_instances;
		ask->own_running = own_all;
		return;
	}
	ask->own_wait_ms = r->kind->prompt / PROMPT_PER_MS;
	ask->wait_ms = ep->known_tokens / PROMPT_PER_MS + ask->own_wait_ms;
	if (!is_resident(s, ep, r->adapter)) {
		ask->needs_load = find_adapter(s, ep, r->adapter) < 0;
		ask->own_load_ms = LOAD_MS;
		ask->load_ms = LOAD_MS + (ep->known_spare ? 0 : 150);
		ask->wait_ms += ask->load_ms;
	}
}

static uint32_t choose(struct sim *s, struct req *r)
{
	struct fg_overload_ask ask = { 0 };
	double best_cost = 1e9;
	uint32_t best = 0;

	for (uint32_t i = 0; i < s->n_eps; i++) {
		double cost;

		estimate(s, r, i, &ask);
		cost = ask.wait_ms + ask.load_ms + s->eps[i].known_running +
		       4 * fg_rand_unit(&s->rand);
		if (cost < best_cost) {
			best_cost = cost;
			best = i;
		}
	}
	return best;
}

static void describe(struct sim *s, struct req *r)
{
	struct fg_overload_ask *ask = &r->ask;
	double per_s = s->adapter_slots > 0
			       ? PROMPT_PER_MS * 1000.0
			       : s->slots * 1000.0 / (PLAIN_WORK_MS / 2.0);

	ask->waiting = 0;
	if (s->adapter_slots > 0)
		ask->slots_taken = 0;
	ask->slots = s->n_eps * s->slots;
	for (uint32_t i = 0; i < s->n_eps && s->adapter_slots > 0; i++) {
		uint32_t n = s->eps[i].known_running;

		ask->slots_taken += MIN(n, s->slots);
		ask->waiting += n - MIN(n, s->slots) + s->eps[i].known_loads;
	}
	ask->work = s->adapter_slots > 0
			    ? r->kind->prompt + r->kind->out_ms / 10
			    : 1;
	ask->share_per_s = per_s * s->n_eps / s->n_instances;
	ask->loads_per_s = 4000.0 / LOAD_MS * s->n_eps / s->n_instances;
	ask->waited_ms = (uint32_t)(s->now - r->arrived);
	ask->left_ms = (uint32_t)MAX(r->deadline - s->now, 0);
	ask->load_waited_ms =
		r->state == WAIT_LOAD ? (uint32_t)(s->now - r->wait_since) : 0;
	estimate(s, r, r->ep, ask);
}

/* Whether half of the slots are free and nothing waits, in truth. */
static bool is_idle(const struct sim *s)
{
	uint32_t running = 0;
	uint32_t waiting = 0;

	for (uint32_t i = 0; i < s->n_eps; i++) {
		running += s->eps[i].running;
		waiting += s->eps[i].waiting;
	}
	return waiting == 0 && running * 2 < s->n_eps * s->slots;
}

static void note_load(struct sim *s, struct req *r, bool loaded)
{
	if (!s->former)
		fg_overload_note_load(
			s->instances[r->instance], s->now, r->ask.service,
			(uint32_t)r->expected_load,
			(uint32_t)(s->now - r->wait_since), loaded);
}

/* Returns whether the request was refused. */
static bool decide(struct sim *s, struct req *r)
{
	struct fg_overload_verdict v;

	describe(s, r);
	if (s->former) {
		bool late =
			r->state == WAIT_LOAD
				? s->now - r->wait_since > FORMER_LOAD_WAIT_MS
				: r->ask.wait_ms >= r->ask.left_ms;

		if (late)
			refuse(s, r, 400);
		return late;
	}
	v = fg_overload_decide(s->instances[r->instance], s->now, &r->ask,
			       &s->rand);
	r->ask.again = true;
	if (v.why == FG_OVERLOAD_SEND)
		return false;
	if (v.why != FG_OVERLOAD_DEADLINE) {
		r->kind->result.shed++;
		second(s)->shed++;
		r->kind->result.shed_idle += is_idle(s);
	}
	if (r->state == WAIT_LOAD)
		note_load(s, r, false);
	refuse(s, r, v.retry_ms);
	return true;
}

static void send_req(struct sim *s, struct req *r)
{
	struct endpoint *ep = &s->eps[r->ep];

	if (r->state == WAIT_LOAD)
		note_load(s, r, true);
	if (ep->running >= s->slots && ep->waiting >= QUEUE_MAX) {
		if (!s->former)
			fg_overload_note_full(s->instances[r->instance], s->now,
					      r->ask.service, r->ask.rank);
		refuse(s, r, 50);
		return;
	}
	r->state = AT_ENDPOINT;
	r->sent = s->now;
	ep->waiting++;
}

static void arrive(struct sim *s, struct req *r)
{
	r->attempts++;
	r->arrived = s->now;
	r->kind->result.attempts++;
	second(s)->attempts++;
	r->instance =
		r->kind->instance >= 0
			? (uint32_t)r->kind->instance
			: (uint32_t)fg_rand_below(&s->rand, s->n_instances);
	r->ask.again = false;
	r->unread = r->kind->prompt;
	r->answered = r->has_slot = false;
	r->ep = choose(s, r);
	if (decide(s, r))
		return;
	if (is_resident(s, &s->eps[r->ep], r->adapter)) {
		send_req(s, r);
		return;
	}
	r->state = WAIT_LOAD;
	r->wait_since = s->now;
	r->expected_load = r->ask.load_ms;
	request_load(s, r->ep, r->adapter);
}

static void note_answer(struct sim *s, struct req *r)
{
	uint32_t whole = (uint32_t)(s->now - r->arrived);
	struct fg_overload_answer a = {
		.service = r->ask.service,
		.rank = r->ask.rank,
		.work = r->ask.work,
		.expected_ms =
			r->ask.wait_ms - MIN(r->ask.load_ms, r->ask.wait_ms),
		.took_ms = (uint32_t)(s->now - r->sent),
		.whole_ms = whole,

		.objective_ms = r->kind->objective,
	};

	r->answered = true;
	if (s->now - r->first_asked <= r->kind->objective)
		r->kind->result.in_time++;
	else
		r->kind->result.late++;
	if (!s->former)
		fg_overload_note_answer(s->instances[r->instance], s->now, &a);
}

/* Reads the prompt of the first request without an answer at the endpoint. */
static void run_endpoint(struct sim *s, uint32_t index)
{
	struct req *reading = NULL;

	fill_slots(s, index);
	for (guint i = 0; i < s->reqs->len; i++) {
		struct req *r = s->reqs->pdata[i];

		if (r->state != AT_ENDPOINT || r->ep != index || !r->has_slot)
			continue;
		if (r->answered && s->now >= r->ends)
			r->state = ENDED;
		else if (s->adapter_slots == 0 && !r->answered &&
			 s->now - r->slot_since >= PLAIN_WORK_MS) {
			note_answer(s, r);
			r->ends = s->now;
		} else if (!r->answered && (!reading || is_before(r, reading)))
			reading = r;
	}
	if (s->adapter_slots == 0 || reading == NULL)
		return;
	reading->unread -= MIN(reading->unread, PROMPT_PER_MS);
	if (reading->unread == 0) {
		note_answer(s, reading);
		reading->ends = s->now + reading->kind->out_ms;
	}
}

/* Leaves the next slot to a more urgent request of the same instance. */
static bool yields(const struct sim *s, const struct req *r)
{
	for (guint i = 0; i < s->reqs->len && !s->former; i++) {
		const struct req *o = s->reqs->pdata[i];

		if (o->state == WAIT_LOAD && o->ep == r->ep &&
		    o->instance == r->instance && o->adapter != r->adapter &&
		    o->ask.rank < r->ask.rank)
			return true;
	}
	return false;
}

static void step_req(struct sim *s, struct req *r)
{
	int slot;

	if (r->state == ENDED || (r->state == AT_ENDPOINT && r->answered))
		return;
	if (s->now >= r->leave_at) {
		end_req(r, &r->kind->result.left);
		return;
	}
	if (s->now >= r->deadline) {
		end_req(r, &r->kind->result.refused);
		return;
	}
	if (r->state == PENDING && s->now >= r->due)
		arrive(s, r);
	if (r->state != WAIT_LOAD)
		return;
	if (is_resident(s, &s->eps[r->ep], r->adapter)) {
		slot = find_adapter(s, &s->eps[r->ep], r->adapter);
		s->eps[r->ep].used_at[slot] = s->now;
		send_req(s, r);
	} else if ((s->now - r->wait_since) % TICK_RETRY_MS == 0) {
		if (!decide(s, r) && !yields(s, r))
			request_load(s, r->ep, r->adapter);
	}
}

static void add_callers(struct sim *s, struct replay_kind *k)
{
	struct req *r;

	if (fg_rand_unit(&s->rand) >= k->rate / FG_MS_PER_S)
		return;
	r = g_new0(struct req, 1);
	r->kind = k;
	r->id = ++s->n_reqs;
	r->first_asked = r->due = s->now;
	r->deadline = s->now + k->deadline;
	r->leave_at = k->leave_ms > 0 && fg_rand_below(&s->rand, 2) == 0
			      ? s->now + k->leave_ms
			      : INT64_MAX;
	/* The square makes the first adapters the popular ones. */
	if (k->adapters > 0) {
		double u = fg_rand_unit(&s->rand);

		r->adapter = 1 + k->adapters_from +
			     (uint64_t)(u * u * u * k->adapters);
	}
	r->ask.service = 1;
	r->ask.rank = k->rank;
	r->ask.workspace =
		k->workspace[0] == '\0' ? 0 : fg_hash_str(k->workspace);
	r->ask.fingerprint = r->id;
	r->ask.objective_ms = k->objective;
	k->result.asked++;
	g_ptr_array_add(s->reqs, r);
}

/* All instances end: callers retry, and endpoints lose their requests. */
static void restart(struct sim *s)
{
	for (uint32_t i = 0; i < s->n_instances; i++) {
		fg_overload_free(s->instances[i]);
		s->instances[i] = fg_overload_new();
	}
	for (guint i = 0; i < s->reqs->len; i++) {
		struct req *r = s->reqs->pdata[i];

		if (r->state == AT_ENDPOINT && r->answered)
			r->state = ENDED;
		else if (r->state != PENDING && r->state != ENDED)
			refuse(s, r, 100);
	}
}

static void step(struct sim *s)
{
	count_endpoints(s);
	for (uint32_t i = 0; i < s->out->n_kinds; i++)
		add_callers(s, &s->out->kinds[i]);
	for (guint i = 0; i < s->reqs->len; i++)
		step_req(s, s->reqs->pdata[i]);
	for (uint32_t i = 0; i < s->n_eps; i++)
		run_endpoint(s, i);
	for (guint i = s->reqs->len; i > 0; i--) {
		struct req *r = s->reqs->pdata[i - 1];

		if (r->state == ENDED)
			g_ptr_array_remove_index_fast(s->reqs, i - 1);
	}
	s->now++;
}

/* ---- Script ---- */

static double word_number(char **words, const char *name, double missing)
{
	for (int i = 0; words[i] != NULL; i++) {
		if (strcmp(words[i], name) == 0 && words[i + 1] != NULL)
			return g_ascii_strtod(words[i + 1], NULL);
	}
	return missing;
}

static struct replay_kind *find_kind(struct replay *r, const char *name)
{
	for (uint32_t i = 0; i < r->n_kinds; i++) {
		if (strcmp(r->kinds[i].name, name) == 0)
			return &r->kinds[i];
	}
	g_error("no kind %s", name);
}

static void add_kind(struct replay *out, char **words)
{
	struct replay_kind *k = &out->kinds[out->n_kinds++];
	bool has_workspace = false;

	g_assert_cmpuint(out->n_kinds, <=, REPLAY_KINDS_MAX);
	g_strlcpy(k->name, words[1], sizeof(k->name));
	k->rank = (uint32_t)word_number(words, "rank", 5);
	k->prompt = (uint32_t)word_number(words, "prompt", 0);
	k->out_ms = (uint32_t)word_number(words, "out_ms", 0);
	k->objective = (uint32_t)word_number(words, "objective", 1000);
	k->deadline = (uint32_t)word_number(words, "deadline", 5000);
	k->adapters = (uint32_t)word_number(words, "adapters", 0);
	k->leave_ms = (uint32_t)word_number(words, "leave_ms", 0);
	k->rate = word_number(words, "rate", 0);
	k->instance = -1;
	for (int i = 2; words[i] != NULL; i++) {
		if (has_workspace)
			g_strlcpy(k->workspace, words[i], sizeof(k->workspace));
		has_workspace = strcmp(words[i], "workspace") == 0;
		k->at_once |= strcmp(words[i], "at_once") == 0;
	}
}

static void apply_event(struct sim *s, char **words)
{
	struct replay_kind *k;

	if (strcmp(words[2], "restart") == 0) {
		restart(s);
	} else if (strcmp(words[2], "endpoints") == 0) {
		s->n_eps = (uint32_t)word_number(words, "endpoints", 0);
		g_assert_cmpuint(s->n_eps, <=, s->eps_max);
		for (guint i = 0; i < s->reqs->len; i++) {
			struct req *r = s->reqs->pdata[i];

			if ((r->state == AT_ENDPOINT ||
			     r->state == WAIT_LOAD) &&
			    r->ep >= s->n_eps && !r->answered)
				refuse(s, r, 50);
		}
	} else {
		k = find_kind(s->out, words[2]);
		k->rate = word_number(words, "rate", k->rate);
		k->adapters_from = (uint32_t)word_number(words, "adapters_from",
							 k->adapters_from);
		k->instance = (int)word_number(words, "instance", k->instance);
	}
}

static void set_up(struct sim *s, char **words)
{
	if (strcmp(words[0], "instances") == 0) {
		s->n_instances = (uint32_t)word_number(words, "instances", 1);
		g_assert_cmpuint(s->n_instances, <=, INSTANCES_MAX);
	} else if (strcmp(words[0], "endpoints") == 0) {
		s->n_eps = s->eps_max =
			(uint32_t)word_number(words, "endpoints", 1);
		s->slots = (uint32_t)word_number(words, "slots", 64);
		s->adapter_slots = (uint32_t)word_number(words, "adapters", 0);
		g_assert_cmpuint(s->adapter_slots, <=, ADAPTER_SLOTS_MAX);
		s->eps = g_new0(struct endpoint, s->eps_max);
	} else {
		g_assert_cmpstr(words[0], ==, "kind");
		add_kind(s->out, words);
	}
}

void replay_run(struct replay *out, const char *script, bool former,
		uint64_t seed)
{
	struct sim s = { .out = out, .former = former };
	char **lines = g_strsplit(script, "\n", -1);

	memset(out, 0, sizeof(*out));
	out->seconds = g_array_new(FALSE, TRUE, sizeof(struct replay_result));
	fg_rand_seed(&s.rand, seed);
	s.reqs = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; lines[i] != NULL; i++) {
		char **words = g_strsplit(g_strstrip(lines[i]), " ", -1);
		int64_t until = s.now;

		if (words[0] == NULL || words[0][0] == '#') {
			g_strfreev(words);
			continue;
		}
		if (strcmp(words[0], "at") == 0 || strcmp(words[0], "run") == 0)
			until = g_ascii_strtoll(words[1], NULL, 10);
		for (uint32_t k = 0; s.now < until && k < s.n_instances; k++) {
			if (s.instances[k] == NULL)
				s.instances[k] = fg_overload_new();
		}
		while (s.now < until)
			step(&s);
		if (strcmp(words[0], "at") == 0)
			apply_event(&s, words);
		else if (strcmp(words[0], "run") != 0)
			set_up(&s, words);
		g_strfreev(words);
	}
	/* Every caller gets its answer, a refusal, or its deadline. */
	for (uint32_t k = 0; k < out->n_kinds; k++)
		out->kinds[k].rate = 0;
	while (s.reqs->len > 0)
		step(&s);
	for (uint32_t k = 0; k < s.n_instances; k++)
		fg_overload_free(s.instances[k]);
	g_ptr_array_unref(s.reqs);
	g_free(s.eps);
	g_strfreev(lines);
}

void replay_clear(struct replay *r)
{
	g_array_unref(r->seconds);
}
