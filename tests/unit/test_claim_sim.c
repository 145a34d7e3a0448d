/*
 * Owners of one engine under kills, freezes, cuts, lost and late messages, late
 * transactions and a store that returns from an older copy, in virtual time.
 *
 * The engine checks no fencing numbers. A judge checks each arriving order
 * against the platform's rule: numbers do not fall, no two instances use the
 * same number, and the engine does not return to an instance within the lease
 * while another one ordered in between.
 *
 * Environment: FG_CLAIM_SCHEDULES (1000) is the number of schedules,
 * FG_CLAIM_SEED (1) the first seed.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/fg_rand.h"
#include "claim/fg_claim.h"
#include "sim_env.h"

#define MACHINES 4
#define STEP_MS 20
#define LENGTH_MS 30000
#define LEASE_MS 3000
#define HEARTBEAT_MS 260
#define ALIVE_MS 1500
#define READ_GAP_MS 400
#define TX_TIMEOUT_MS 1500
#define ORDER_GAP_MS 80
#define MESSAGES_MAX 512
#define COPIES 64
#define COPY_EVERY_MS 200
#define CLAIM_AFTER_MS 700
/* Orders that are not answered for this long are withdrawn. */
#define ORDER_LATE_MAX_MS 300
#define STOP_MS 2000
#define ERA_BITS 40

static const char *const names[MACHINES] = { "a", "b", "c", "d" };
static const char *const regions[MACHINES] = { "r1", "r1", "r2", "r3" };

struct row {
	char value[FG_CLAIM_VALUE_BYTES];
	uint64_t version; /* 0: no row */
};

enum message_kind {
	HEARTBEAT = 1,
	READ_CALL,
	READ_ANSWER,
	TX_CALL,
	TX_ANSWER,
	ORDER,
};

struct message {
	enum message_kind kind; /* 0: free */
	fg_ms at;
	uint32_t from;
	uint32_t to;
	uint64_t incarnation; /* of the sender, or of the receiver */
	fg_ms sent_at;	      /* of the call, or of the proof */
	uint64_t era;
	uint64_t newest;
	struct row row;
	struct fg_claim_write write;
	bool lose_answer;
	bool has_proof;
	bool leaving;
	uint64_t row_version;
};

struct machine {
	struct fg_claims *claims;
	uint64_t incarnation;
	fg_ms started_at;
	fg_ms down_until; /* killed */
	fg_ms stop_at;	  /* planned stop, until it ends; 0: none */
	fg_ms frozen_until;
	fg_ms store_cut_until;
	fg_ms peers_cut_until;
	bool was_frozen;
	bool current; /* the table was read since the last freeze */
	bool full_read;
	uint64_t era;
	uint64_t synced;
	fg_ms known_at; /* 0: the table was not read yet */
	fg_ms own_read_at;
	bool has_own_read;
	fg_ms read_at;
	bool reading;
	fg_ms tx_at;
	bool writing;
	struct fg_claim_write write;
	fg_ms heartbeat_at;
	fg_ms order_at;
	fg_ms heard_at[MACHINES];
	uint64_t heard[MACHINES];     /* incarnation */
	uint64_t heard_row[MACHINES]; /* version of the instance's row */
	uint64_t row_version;
	bool heard_leaving[MACHINES];
};

struct arrival {
	uint32_t holder;
	uint64_t fence;
	fg_ms at;
};

struct sim {
	struct fg_rand rand;
	struct machine m[MACHINES];
	struct message messages[MESSAGES_MAX];
	struct fg_fleet_ep *ep;
	struct row row;
	uint64_t number; /* of the store */
	uint64_t era;
	struct row copies[COPIES];
	uint64_t copy_numbers[COPIES];
	uint32_t n_copies;
	fg_ms store_down_until;
	uint64_t next_incarnation;
	bool checked;	   /* conf of the claims */
	uint32_t calmness; /* 1: troubles overlap all the time */
	GArray *arrivals;
	uint32_t n_orders;
	uint32_t n_broken;
};

static fg_ms below(struct sim *s, fg_ms n)
{
	return (fg_ms)fg_rand_below(&s->rand, (uint64_t)n);
}

static bool one_in(struct sim *s, uint32_t n)
{
	return fg_rand_below(&s->rand, n) == 0;
}

static struct message *post(struct sim *s, enum message_kind kind, fg_ms at,
			    uint32_t from, uint32_t to)
{
	for (uint32_t i = 0; i < MESSAGES_MAX; i++) {
		struct message *m = &s->messages[i];

		if (m->kind != 0)
			continue;
		memset(m, 0, sizeof(*m));
		m->kind = kind;
		m->at = at;
		m->from = from;
		m->to = to;
		m->incarnation = s->m[from].incarnation;
		return m;
	}
	g_assert_not_reached();
}

/* ---- Judge ---- */

static void judge(struct sim *s, const struct message *m, fg_ms now)
{
	struct arrival a = { m->from, m->newest, now };
	bool other = false;

	s->n_orders++;
	for (guint i = s->arrivals->len; i > 0; i--) {
		const struct arrival *b =
			&g_array_index(s->arrivals, struct arrival, i - 1);

		if (b->holder != a.holder) {
			other = true;
			if (b->fence >= a.fence) {
				s->n_broken++;
				break;
			}
		} else if (other && now - b->at < LEASE_MS) {
			s->n_broken++;
			break;
		}
		if (now - b->at > 2 * LEASE_MS)
			break;
	}
	g_array_append_val(s->arrivals, a);
}

/* ---- Store ---- */

static void run_tx(struct sim *s, const struct message *call, fg_ms now)
{
	struct message *answer;
	bool ok = call->write.expected ==
			  (s->row.version & ((UINT64_C(1) << ERA_BITS) - 1)) &&
		  now >= s->store_down_until;

	if (ok) {
		g_strlcpy(s->row.value, call->write.value,
			  sizeof(s->row.value));
		s->row.version = ++s->number;
	}
	if (call->lose_answer)
		return;
	answer = post(s, TX_ANSWER, now + 2 + below(s, 20), call->from,
		      call->from);
	answer->incarnation = call->incarnation;
	answer->sent_at = call->sent_at;
	answer->era = s->era;
	answer->newest = ok ? s->row.version : 0;
}

static void run_read(struct sim *s, const struct message *call, fg_ms now)
{
	struct message *answer;

	if (now < s->store_down_until || call->lose_answer)
		return;
	answer = post(s, READ_ANSWER, now + 2 + below(s, 40), call->from,
		      call->from);
	answer->incarnation = call->incarnation;
	answer->sent_at = call->sent_at;
	answer->era = s->era;
	answer->row = s->row;
	answer->newest = s->number;
}

static void copy_store(struct sim *s)
{
	s->copies[s->n_copies % COPIES] = s->row;
	s->copy_numbers[s->n_copies % COPIES] = s->number;
	s->n_copies++;
}

/* Returns from a copy up to 5 s old, after a moment away. */
static void restore_store(struct sim *s, fg_ms now)
{
	uint32_t back = 1 + (uint32_t)below(s, 5000 / COPY_EVERY_MS);

	if (s->n_copies <= back)
		return;
	s->row = s->copies[(s->n_copies - back) % COPIES];
	s->number = s->copy_numbers[(s->n_copies - back) % COPIES];
	s->era++;
	s->store_down_until = now + below(s, 800);
	s->n_copies = 0;
	copy_store(s);
}

/* ---- Instances ---- */

static void start_process(struct sim *s, uint32_t i, fg_ms now)
{
	struct machine *m = &s->m[i];
	struct fg_claims_conf conf = {
		.name = names[i],
		.started_at = now,
		.fences_checked = s->checked,
		.turn_ms = LEASE_MS,
	};

	fg_claims_free(m->claims);
	memset(m, 0, sizeof(*m));
	conf.incarnation = m->incarnation = ++s->next_incarnation;
	m->claims = fg_claims_new(&conf);
	m->started_at = now;
	m->heartbeat_at = now + below(s, HEARTBEAT_MS);
	m->current = true;
	m->era = s->era;
	m->row_version = s->era << ERA_BITS | ++s->number;
	fg_claims_set_era(m->claims, m->era);
	m->full_read = true;
}

static bool runs(const struct machine *m, fg_ms now)
{
	return now >= m->down_until && now >= m->frozen_until;
}

static uint32_t list_live(const struct sim *s, uint32_t i, fg_ms now,
			  struct fg_claim_candidate *live)
{
	const struct machine *m = &s->m[i];
	uint32_t n = 0;

	for (uint32_t k = 0; k < MACHINES; k++) {
		if (k != i &&
		    (m->heard[k] == 0 || now - m->heard_at[k] > ALIVE_MS))
			continue;
		if (k == i && m->stop_at != 0)
			continue;
		live[n++] = (struct fg_claim_candidate){
			.incarnation = k == i ? m->incarnation : m->heard[k],
			.hash = fg_hash_str(names[k]),
			.name = names[k],
			.dc = regions[k],
			.region = regions[k],
			.self = k == i,
			.row_version = m->heard_row[k],
			.leaving = k != i && m->heard_leaving[k],
		};
	}
	return n;
}

static void learn_era(struct machine *m, uint64_t era, fg_ms now)
{
	if (era <= m->era)
		return;
	m->era = era;
	m->full_read = true;
	m->known_at = 0;
	m->has_own_read = false;
	fg_claims_start_era(m->claims, now, era);
}

static void take_read(struct machine *m, const struct message *answer,
		      fg_ms now)
{
	uint64_t version;

	m->reading = false;
	if (answer->era < m->era)
		return;
	if (answer->era > m->era) {
		/* The call was of the former era; the table is read again. */
		learn_era(m, answer->era, now);
		return;
	}
	version = m->era << ERA_BITS | answer->row.version;
	if (m->full_read)
		fg_claims_begin_full_read(m->claims);
	if (answer->row.version != 0)
		fg_claims_apply_row(m->claims, now, "e", answer->row.value,
				    version);
	if (m->full_read)
		fg_claims_end_full_read(m->claims);
	m->full_read = false;
	m->synced = m->era << ERA_BITS | answer->newest;
	if (m->known_at == 0)
		m->known_at = now;
	m->current = true;
	m->own_read_at = answer->sent_at;
	m->has_own_read = true;
	fg_claims_prove(m->claims, answer->sent_at);
}

static void take_tx(struct machine *m, const struct message *answer, fg_ms now)
{
	bool same_era = answer->era == m->era;

	if (!m->writing || answer->sent_at != m->tx_at)
		return;
	m->writing = false;
	learn_era(m, answer->era, now);
	fg_claims_handle_result(m->claims, now, &m->write, 1,
				answer->newest == 0 || !same_era
					? 0
					: m->era << ERA_BITS | answer->newest,
				answer->sent_at);
}

static void take_heartbeat(struct machine *m, const struct message *hb,
			   fg_ms now)
{
	m->heard_at[hb->from] = now;
	m->heard[hb->from] = hb->incarnation;
	m->heard_leaving[hb->from] = hb->leaving;
	m->heard_row[hb->from] = hb->row_version;
	if (hb->has_proof && hb->newest <= m->synced && !m->full_read &&
	    hb->era == m->era)
		fg_claims_prove(m->claims, hb->sent_at);
}

static void deliver(struct sim *s, struct message *slot, fg_ms now)
{
	struct message m = *slot;
	struct machine *to = &s->m[m.to];

	if (m.kind == ORDER || m.kind == TX_CALL || m.kind == READ_CALL) {
		slot->kind = 0;
		if (m.kind == ORDER)
			judge(s, &m, now);
		else if (m.kind == TX_CALL)
			run_tx(s, &m, now);
		else
			run_read(s, &m, now);
		return;
	}
	if (now < to->frozen_until)
		return; /* read after the freeze */
	slot->kind = 0;
	if (now < to->down_until)
		return;
	if (m.kind == HEARTBEAT)
		take_heartbeat(to, &m, now);
	else if (m.incarnation == to->incarnation && m.kind == READ_ANSWER)
		take_read(to, &m, now);
	else if (m.incarnation == to->incarnation)
		take_tx(to, &m, now);
}

static void send_heartbeats(struct sim *s, uint32_t i, fg_ms now)
{
	struct machine *m = &s->m[i];

	if (now - m->heartbeat_at < HEARTBEAT_MS)
		return;
	m->heartbeat_at = now;
	for (uint32_t k = 0; k < MACHINES; k++) {
		struct message *hb;

		if (k == i || now < m->peers_cut_until ||
		    now < s->m[k].peers_cut_until || one_in(s, 10))
			continue;
		hb = post(s, HEARTBEAT, now + 1 + below(s, 30), i, k);
		hb->has_proof = m->has_own_read;
		hb->sent_at = m->own_read_at;
		hb->newest = m->synced;
		hb->era = m->era;
		hb->row_version = m->row_version;
		hb->leaving = m->stop_at != 0;
	}
}

static void call_store(struct sim *s, uint32_t i, fg_ms now)
{
	struct machine *m = &s->m[i];
	struct message *call;

	if (now - m->read_at > TX_TIMEOUT_MS)
		m->reading = false;
	if (m->reading || now - m->read_at < READ_GAP_MS)
		return;
	m->read_at = now;
	m->reading = true;
	if (now < m->store_cut_until)
		return;
	call = post(s, READ_CALL, now + 1 + below(s, 30), i, i);
	call->sent_at = now;
	call->lose_answer = one_in(s, 12);
}

static void claim(struct sim *s, uint32_t i, fg_ms now)
{
	struct fg_claim_candidate live[MACHINES];
	struct machine *m = &s->m[i];
	struct message *call;
	uint32_t n = list_live(s, i, now, live);

	if (m->writing && now - m->tx_at > TX_TIMEOUT_MS) {
		m->writing = false;
		fg_claims_handle_result(m->claims, now, &m->write, 1, 0,
					m->tx_at);
	}
	if (m->writing || !m->current || m->full_read || m->known_at == 0 ||
	    now - m->known_at < CLAIM_AFTER_MS)
		return;
	if (fg_claims_select(m->claims, now, &s->ep, 1, live, n, &m->write,
			     1) == 0)
		return;
	m->writing = true;
	m->tx_at = now;
	if (now < m->store_cut_until)
		return;
	call = post(s, TX_CALL, now + 1 + below(s, one_in(s, 10) ? 6000 : 30),
		    i, i);
	call->sent_at = now;
	call->write = m->write;
	call->write.expected &= (UINT64_C(1) << ERA_BITS) - 1;
	call->lose_answer = one_in(s, 8);
}

static void order(struct sim *s, uint32_t i, fg_ms now)
{
	struct machine *m = &s->m[i];
	struct message *out;

	if (!m->current || now - m->order_at < ORDER_GAP_MS ||
	    fg_claims_order_wait_ms(m->claims, now, "e") != 0)
		return;
	m->order_at = now;
	fg_claims_note_order(m->claims, now, "e");
	out = post(s, ORDER,
		   now + 1 + below(s, one_in(s, 6) ? ORDER_LATE_MAX_MS : 24), i,
		   i);
	out->newest = fg_claims_fence(m->claims, "e");
}

static void make_trouble(struct sim *s, fg_ms now)
{
	struct machine *m = &s->m[below(s, MACHINES)];

	if (!one_in(s, s->calmness))
		return;
	if (one_in(s, 60)) {
		m->frozen_until = now + 300 + below(s, 4000);
		m->was_frozen = true;
	}
	if (one_in(s, 60))
		m->store_cut_until = now + below(s, 5000);
	if (one_in(s, 60))
		m->peers_cut_until = now + below(s, 6000);
	if (one_in(s, 50) && now >= m->down_until) {
		m->down_until = now + 100 + below(s, 3000);
		m->frozen_until = 0;
	}
	if (one_in(s, 80) && m->stop_at == 0)
		m->stop_at = now;
	if (one_in(s, 300))
		s->store_down_until = now + below(s, 4000);
	if (one_in(s, 400))
		restore_store(s, now);
}

static void step_machine(struct sim *s, uint32_t i, fg_ms now)
{
	struct machine *m = &s->m[i];

	if (m->down_until != 0 && now >= m->down_until)
		start_process(s, i, now);
	if (m->stop_at != 0 && now - m->stop_at > STOP_MS) {
		m->stop_at = 0;
		m->down_until = now + 100 + below(s, 1000);
	}
	if (!runs(m, now))
		return;
	if (m->was_frozen) {
		m->was_frozen = false;
		m->current = false;
		m->reading = false;
		m->read_at = 0;
	}
	call_store(s, i, now);
	claim(s, i, now);
	order(s, i, now);
	send_heartbeats(s, i, now);
}

/* Returns the number of orders that broke the rule; *n_orders counts all. */
static uint32_t run_schedule(uint64_t seed, bool checked, bool trouble,
			     uint32_t *n_orders)
{
	struct sim *s = g_new0(struct sim, 1);
	uint32_t n_broken;

	fg_rand_seed(&s->rand, seed);
	s->checked = checked;
	s->calmness = 1 + (uint32_t)(seed % 8);
	s->ep = g_new0(struct fg_fleet_ep, 1);
	s->ep->hash = fg_hash_str("e");
	g_strlcpy(s->ep->facts.id, "e", sizeof(s->ep->facts.id));
	g_strlcpy(s->ep->facts.dc, "r2", sizeof(s->ep->facts.dc));
	g_strlcpy(s->ep->region, "r2", sizeof(s->ep->region));
	s->arrivals = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	for (uint32_t i = 0; i < MACHINES; i++)
		start_process(s, i, 1000);
	for (fg_ms now = 1000; now < LENGTH_MS; now += STEP_MS) {
		if (now % COPY_EVERY_MS == 0 && now >= s->store_down_until)
			copy_store(s);
		if (trouble && now > 6000)
			make_trouble(s, now);
		for (uint32_t i = 0; i < MESSAGES_MAX; i++) {
			if (s->messages[i].kind != 0 &&
			    s->messages[i].at <= now)
				deliver(s, &s->messages[i], now);
		}
		for (uint32_t i = 0; i < MACHINES; i++)
			step_machine(s, i, now);
	}
	n_broken = s->n_broken;
	*n_orders = s->n_orders;
	for (uint32_t i = 0; i < MACHINES; i++)
		fg_claims_free(s->m[i].claims);
	g_array_unref(s->arrivals);
	g_free(s->ep);
	g_free(s);
	return n_broken;
}

static void test_rule_holds(void)
{
	uint64_t n = sim_env_number("FG_CLAIM_SCHEDULES", 1000);
	uint64_t first = sim_env_number("FG_CLAIM_SEED", 1);
	uint32_t n_schedules_broken = 0;
	uint64_t total = 0;

	for (uint64_t seed = first; seed < first + n; seed++) {
		uint32_t n_orders;
		uint32_t n_broken = run_schedule(seed, false, true, &n_orders);

		total += n_orders;
		if (n_broken == 0)
			continue;
		n_schedules_broken++;
		g_test_message("seed %" G_GUINT64_FORMAT ": %u of %u orders",
			       (guint64)seed, n_broken, n_orders);
	}
	g_assert_cmpuint(n_schedules_broken, ==, 0);
	/* An engine without an owner would keep the rule as well: some owner
	 * orders in a third of the time at least. */
	g_assert_cmpuint(total / n, >, LENGTH_MS / ORDER_GAP_MS / 3);
}

/* The same schedules break the rule when owners rely on the engine. */
static void test_rule_needs_waits(void)
{
	uint32_t n_schedules_broken = 0;

	for (uint64_t seed = 1; seed <= 100; seed++) {
		uint32_t n_orders;

		n_schedules_broken +=
			run_schedule(seed, true, true, &n_orders) > 0 ? 1 : 0;
	}
	g_assert_cmpuint(n_schedules_broken, >, 50);
}

/* Without trouble the first owner orders all the time. */
static void test_calm(void)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		uint32_t n_orders;

		g_assert_cmpuint(run_schedule(seed, false, false, &n_orders),
				 ==, 0);
		g_assert_cmpuint(n_orders, >, 200);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim_sim/calm", test_calm);
	g_test_add_func("/claim_sim/rule_holds", test_rule_holds);
	g_test_add_func("/claim_sim/rule_needs_waits", test_rule_needs_waits);
	return g_test_run();
}
