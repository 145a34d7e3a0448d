/* Measures the broker and the ledger. */
#include "ledger/fg_ledger.h"
#include "peer/fg_msg.h"
#include "place/fg_place.h"
#include "slopes_roles.h"

#define RUN_S (RUN_MS / FG_MS_PER_S)

/* ---- Broker ---- */

#define TICK_MS 20
#define LOAD_MS 250
#define NEEDS_PER_S 20
#define ROUTERS 150

/* Load orders in flight; each succeeds after LOAD_MS. */
struct load_orders {
	fg_ms now;
	GQueue replies; /* fg_place_rep per order, oldest first */
	GQueue done_at; /* fg_ms per order, in the same order */
	uint32_t refused;
};

static void start_load(void *arg, const fg_place *p)
{
	struct load_orders *o = arg;
	fg_place_rep rep = { p->order, p->ep, p->av, FG_PLACE_DONE };

	g_queue_push_tail(&o->replies, g_memdup2(&rep, sizeof(rep)));
	g_queue_push_tail(&o->done_at, GSIZE_TO_POINTER(o->now + LOAD_MS));
}

static void count_refusal(void *arg, uint64_t to, const fg_place_rep *rep)
{
	(void)to;
	(void)rep;
	((struct load_orders *)arg)->refused++;
}

static void run_broker_tick(struct fg_broker *b, struct load_orders *o)
{
	fg_broker_refuse_needs(b, o->now, count_refusal, o);
	fg_broker_tick(b, o->now, start_load, o);
	while (o->replies.length > 0 &&
	       (fg_ms)GPOINTER_TO_SIZE(g_queue_peek_head(&o->done_at)) <=
		       o->now) {
		fg_place_rep *rep = g_queue_pop_head(&o->replies);

		g_queue_pop_head(&o->done_at);
		fg_broker_on_reply(b, o->now, rep);
		g_free(rep);
	}
}

static void send_needs(struct fg_broker *b, fg_ms now, uint32_t *n, int per_s)
{
	for (; (fg_ms)*n * FG_MS_PER_S < now * per_s; ++*n) {
		fg_need need = { slopes_av(ENGINES * SLOTS + *n), 1, 5000,
				 FG_CLASS_INTERACTIVE };

		fg_broker_on_need(b, now, *n % ROUTERS, &need);
	}
}

static void run_broker(struct series *s, int idx, int engines, int per_s)
{
	struct fg_broker_conf conf = { 1,  SERVICE, REGION, 2 * (uint32_t)per_s,
				       64, LOAD_MS, 5000,   50 };
	struct fg_dir *d = slopes_new_dir((uint32_t)engines);
	double start, need_us = 0, tick_us = 0, heap = slopes_heap_bytes();
	struct fg_broker *b = fg_broker_new(&conf, d, "gauge", 1);
	struct load_orders o = { .now = 1 };
	uint32_t needs = 0;

	for (uint32_t i = 0; i < ADAPTERS; i++) {
		fg_popularity_item item = { slopes_av(i), i % 100 };
		fg_popularity popularity = { 1, { 1, &item } };

		fg_broker_on_popularity(b, 0, &popularity);
	}
	for (; o.now < RUN_MS; o.now += TICK_MS) {
		start = slopes_thread_cpu_us();
		send_needs(b, o.now, &needs, per_s);
		need_us += slopes_thread_cpu_us() - start;
		start = slopes_thread_cpu_us();
		run_broker_tick(b, &o);
		tick_us += slopes_thread_cpu_us() - start;
	}
	s[0].y[idx] = need_us / needs;
	s[1].y[idx] = tick_us * TICK_MS / RUN_MS;
	s[2].y[idx] = (need_us + tick_us) / RUN_S;
	s[3].y[idx] = slopes_heap_bytes() - heap;
	s[4].y[idx] = (double)o.refused;
	g_queue_clear_full(&o.replies, g_free);
	g_queue_clear(&o.done_at);
	fg_broker_free(b);
	fg_dir_free(d);
}

void slopes_measure_broker(struct series *s, int idx, int per_s)
{
	run_broker(s, idx, ENGINES, per_s);
}

void slopes_measure_broker_engines(struct series *s, int idx, int engines)
{
	run_broker(s, idx, engines, NEEDS_PER_S);
}

/* ---- Ledger ---- */

struct filings {
	struct fg_ledger *l;
	GQueue pending_ops;
	GArray *running; /* uint64_t ids of dispatched filings */
	uint64_t txns, recorded, row_version;
};

static void on_ledger_act(void *arg, struct fg_ledger_act *act)
{
	struct filings *f = arg;

	if (act->type == FG_LA_TABLE) {
		f->txns++;
		g_queue_push_tail(&f->pending_ops, act->op);
	}
	if (act->type == FG_LA_DISPATCH)
		g_array_append_val(f->running, act->id);
	f->recorded += act->type == FG_LA_RECORDED;
}

static void answer_op(struct filings *f, fg_ms now, struct fg_table_op *op)
{
	struct fg_table_result *res =
		fg_table_result_new(op->id, op->kind, FG_PF_OK);

	for (size_t i = 0; i < op->n_writes; i++)
		fg_table_result_add_row(res, op->writes[i].key,
					++f->row_version, NULL);
	fg_ledger_handle_result(f->l, now, res, on_ledger_act, f);
	fg_table_result_free(res);
	fg_table_op_free(op);
}

/* Completes the service calls and table operations of the last step. */
static void run_ledger_step(struct filings *f, fg_ms now)
{
	for (guint i = 0; i < f->running->len; i++)
		fg_ledger_record_outcome(
			f->l, now, g_array_index(f->running, uint64_t, i),
			FG_DONE, FG_R_NONE, "{\"filed\":1}", on_ledger_act, f);
	g_array_set_size(f->running, 0);
	for (guint n = f->pending_ops.length; n > 0; n--)
		answer_op(f, now, g_queue_pop_head(&f->pending_ops));
	fg_ledger_tick(f->l, now, on_ledger_act, f);
}

void slopes_measure_ledger(struct series *s, int idx, int per_s)
{
	struct fg_ledger_conf conf = { 1, 0, 2000, 200, 86400 };
	struct filings f = { .running = g_array_new(0, 0, sizeof(uint64_t)) };
	double start, heap = slopes_heap_bytes();
	uint64_t n = 0;
	char key[24];

	f.l = fg_ledger_new(&conf, 1);
	start = slopes_thread_cpu_us();
	for (fg_ms now = 1; now < RUN_MS; now++) {
		while ((fg_ms)n * FG_MS_PER_S < now * per_s) {
			g_snprintf(key, sizeof(key), "key-%u", (unsigned)++n);
			fg_ledger_start(f.l, now, n, "caller", key, 7,
					now + 30000, on_ledger_act, &f);
		}
		run_ledger_step(&f, now);
	}
	s[0].y[idx] = (slopes_thread_cpu_us() - start) / RUN_S;
	s[1].y[idx] = (double)f.txns / (double)f.recorded;
	s[2].y[idx] = slopes_heap_bytes() - heap;
	g_queue_clear_full(&f.pending_ops, (GDestroyNotify)fg_table_op_free);
	fg_ledger_free(f.l);
	g_array_free(f.running, TRUE);
}
