/*
 * bench_slopes - what each part costs per unit, for docs/CAPACITY.md.
 *
 * Each series is measured at several sizes and printed with its linear fit.
 * Times are processor time, memory is what malloc has handed out. Modules run
 * in virtual time against a table and peers that answer at once.
 */
#include <glib.h>
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "base/fg_rand.h"
#include "member/fg_member.h"
#include "member/fg_member_internal.h"
#include "owner/fg_owner.h"
#include "owner/fg_owner_internal.h"
#include "peer/fg_peer.h"
#include "peer/fg_peer_internal.h"

#define SIZES 4
#define TICK_MS 100
#define WARM_S 30
#define RUN_S 300
#define BATCH_HEADER_BYTES 24 /* XDR of a batch without messages */
#define ROW_JSON_BYTES 36     /* {"key":"","version":N,"value":""}, in a scan */

/* ---- Series and their fit ---- */

struct series {
	const char *name;
	const char *unit;
	double y[SIZES];
};

static void print_series(const char *per, const double *x,
			 const struct series *s)
{
	double mx = 0, my = 0, xy = 0, xx = 0, slope;

	for (int i = 0; i < SIZES; i++) {
		mx += x[i] / SIZES;
		my += s->y[i] / SIZES;
	}
	for (int i = 0; i < SIZES; i++) {
		xy += (x[i] - mx) * (s->y[i] - my);
		xx += (x[i] - mx) * (x[i] - mx);
	}
	slope = xy / xx;
	printf("  %-38s", s->name);
	for (int i = 0; i < SIZES; i++)
		printf(" %10.3g", s->y[i]);
	printf("   %10.4g + %.4g x %s %s\n", my - slope * mx, slope, per,
	       s->unit);
}

static void print_header(const char *title, const char *per, const double *x)
{
	printf("%s\n  %-38s", title, per);
	for (int i = 0; i < SIZES; i++)
		printf(" %10.0f", x[i]);
	printf("   fit\n");
}

/* ---- Measuring ---- */

static double cpu_us(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static double heap_bytes(void)
{
	struct mallinfo2 mi = mallinfo2();

	return (double)mi.uordblks + (double)mi.hblkhd;
}

static double resident_bytes(void)
{
	long pages = 0;
	FILE *f = fopen("/proc/self/statm", "r");

	if (f == NULL || fscanf(f, "%*d %ld", &pages) != 1)
		pages = 0;
	if (f != NULL)
		fclose(f);
	return (double)pages * (double)sysconf(_SC_PAGESIZE);
}

/* ---- An instance among others ---- */

struct world {
	fg_ms now;
	int n;
	int n_regions;
	struct fg_listed *nodes; /* [0] is the one measured */
	uint64_t version;
	uint64_t own_version;
	bool outage;
	struct fg_member *m;
	struct fg_owner *o;
	int n_keys;
	GQueue results; /* struct fg_table_result */
	GQueue answers; /* struct answer */
	uint64_t sent_msgs, sent_bytes;
	uint64_t reads, writes, read_bytes;
	double cpu_us;
};

struct answer {
	uint64_t from;
	fg_msg *msg;
};

static uint64_t table_row(struct fg_table_result *res, const char *key,
			  uint64_t version, const char *value)
{
	fg_table_result_row(res, key, version, value);
	return strlen(key) + strlen(value) + ROW_JSON_BYTES;
}

static void scan_sessions(struct world *w, struct fg_table_result *res)
{
	for (int i = 0; i < w->n; i++) {
		struct fg_lease_row row = { .boot = (uint64_t)i + 1,
					    .info = w->nodes[i] };
		g_autofree char *value = fg_lease_row_encode(&row);
		g_autofree char *key =
			g_strconcat(FG_MEMBER_PREFIX, w->nodes[i].name, NULL);

		w->read_bytes += table_row(
			res, key, i == 0 ? w->own_version : ++w->version,
			value);
	}
}

static void scan_owners(struct world *w, struct fg_table_result *res)
{
	for (int i = 0; i < w->n_keys; i++) {
		struct fg_owner_row row = { .owner = w->nodes[i % w->n].id,
					    .fence = 3 };
		g_autofree char *value = fg_owner_row_encode(&row);
		g_autofree char *key =
			g_strdup_printf(FG_OWNER_PREFIX "%016" PRIx64,
					fg_hash_mix(9, (uint64_t)i));

		w->read_bytes += table_row(res, key, 5, value);
	}
}

static void answer_op(struct world *w, struct fg_table_op *op)
{
	struct fg_table_result *res =
		fg_table_result_new(op->id, op->kind, FG_PF_OK);

	if (w->outage) {
		res->result = FG_PF_DOWN;
	} else if (op->kind == FG_OP_TXN) {
		w->writes++;
		for (size_t i = 0; i < op->n_writes; i++)
			fg_table_result_row(res, op->writes[i].key,
					    ++w->version, NULL);
		if (g_str_has_prefix(op->writes[0].key, FG_MEMBER_PREFIX))
			w->own_version = w->version;
	} else if (op->kind == FG_OP_SCAN) {
		w->reads++;
		if (strcmp(op->key, FG_MEMBER_PREFIX) == 0)
			scan_sessions(w, res);
		else
			scan_owners(w, res);
	} else {
		w->reads++;
		res->result = FG_PF_ABSENT;
	}
	fg_table_op_free(op);
	g_queue_push_tail(&w->results, res);
}

/* Counts a message as a batch of its own, with the reply that is due. */
static void count_msg(struct world *w, const fg_msg *msg)
{
	w->sent_msgs++;
	w->sent_bytes +=
		fg_msg_wire_bytes(msg) + BATCH_HEADER_BYTES + FG_RPC_CALL_BYTES;
	/* The reply that this side sends for the message that answers. */
	w->sent_bytes += BATCH_HEADER_BYTES + FG_RPC_REPLY_BYTES;
}

static void answer_ping(struct world *w, uint64_t to, fg_msg *msg)
{
	struct answer *pong = g_new0(struct answer, 1);
	struct answer *ping = g_new0(struct answer, 1);

	/* The peer answers, and pings us as often as we ping it. */
	pong->from = to;
	pong->msg = msg;
	msg->body.type = FG_MSG_PONG;
	msg->body.fg_body_u.pong.attests = TRUE;
	ping->from = to;
	ping->msg = fg_msg_new(FG_MSG_PING);
	ping->msg->body.fg_body_u.ping = msg->body.fg_body_u.pong;
	g_queue_push_tail(&w->answers, pong);
	g_queue_push_tail(&w->answers, ping);
}

static void on_member_act(void *arg, struct fg_member_act *act)
{
	struct world *w = arg;
	double start = cpu_us(CLOCK_THREAD_CPUTIME_ID);

	if (act->type == FG_MA_TABLE) {
		answer_op(w, act->op);
	} else if (act->type == FG_MA_SEND) {
		count_msg(w, act->msg);
		if (act->msg->body.type == FG_MSG_PING)
			answer_ping(w, act->to, act->msg);
		else
			fg_msg_free(act->msg);
	}
	/* What the world does is not the module's. */
	w->cpu_us -= cpu_us(CLOCK_THREAD_CPUTIME_ID) - start;
}

static void on_owner_act(void *arg, struct fg_owner_act *act)
{
	struct world *w = arg;
	double start = cpu_us(CLOCK_THREAD_CPUTIME_ID);

	if (act->type == FG_OA_TABLE)
		answer_op(w, act->op);
	w->cpu_us -= cpu_us(CLOCK_THREAD_CPUTIME_ID) - start;
}

static void deliver_all(struct world *w)
{
	struct fg_table_result *res;
	struct answer *a;

	while ((res = g_queue_pop_head(&w->results)) != NULL) {
		double start = cpu_us(CLOCK_THREAD_CPUTIME_ID);

		if (!fg_member_on_table(w->m, w->now, res, on_member_act, w) &&
		    w->o != NULL)
			fg_owner_on_table(w->o, w->now, res, on_owner_act, w);
		w->cpu_us += cpu_us(CLOCK_THREAD_CPUTIME_ID) - start;
		fg_table_result_free(res);
	}
	while ((a = g_queue_pop_head(&w->answers)) != NULL) {
		double start = cpu_us(CLOCK_THREAD_CPUTIME_ID);

		fg_member_on_msg(w->m, w->now, a->from, a->msg, on_member_act,
				 w);
		w->cpu_us += cpu_us(CLOCK_THREAD_CPUTIME_ID) - start;
		fg_msg_free(a->msg);
		g_free(a);
	}
}

static void world_run(struct world *w, uint32_t s)
{
	for (uint32_t i = 0; i < s * FG_MS_PER_S / TICK_MS; i++) {
		double start = cpu_us(CLOCK_THREAD_CPUTIME_ID);

		w->now += TICK_MS;
		fg_member_tick(w->m, w->now, on_member_act, w);
		if (w->o != NULL)
			fg_owner_tick(w->o, w->now, on_owner_act, w);
		w->cpu_us += cpu_us(CLOCK_THREAD_CPUTIME_ID) - start;
		deliver_all(w);
	}
}

static void world_reset_counters(struct world *w)
{
	w->sent_msgs = w->sent_bytes = 0;
	w->reads = w->writes = w->read_bytes = 0;
	w->cpu_us = 0;
}

static void world_start(struct world *w, int n, int n_regions)
{
	struct fg_member_conf conf;

	memset(w, 0, sizeof(*w));
	w->now = 1000000;
	w->n = n;
	w->n_regions = n_regions;
	w->nodes = g_new0(struct fg_listed, (gsize)n);
	for (int i = 0; i < n; i++) {
		struct fg_listed *l = &w->nodes[i];

		g_snprintf(l->name, sizeof(l->name), "entry-%04d-7f3a", i);
		l->id = fg_hash_str(l->name);
		l->kind = FG_LISTED_ENTRY;
		g_snprintf(l->addr, sizeof(l->addr), "10.20.30.%d:8080", i);
		g_snprintf(l->rpc, sizeof(l->rpc), "10.20.30.%d:7080", i);
		g_snprintf(l->region, sizeof(l->region), "region-%d",
			   i % n_regions);
		g_snprintf(l->dc, sizeof(l->dc), "dc-%d", i % 11);
	}
	fg_member_conf_defaults(&conf);
	conf.self = w->nodes[0];
	conf.boot = 1;
	w->m = fg_member_new(&conf, 3);
}

static void world_end(struct world *w)
{
	fg_owner_free(w->o);
	fg_member_free(w->m);
	g_free(w->nodes);
}

/* ---- Membership ---- */

enum {
	M_HEAP,
	M_CPU,
	M_MSGS,
	M_BYTES,
	M_READ_BYTES,
	M_SCANS,
	M_WRITES,
	M_OUT_CPU,
	M_OUT_MSGS,
	M_OUT_BYTES,
	M_SERIES,
};

static void measure_member(struct series *s, int at, int n, int n_regions)
{
	struct world w;
	double heap;

	world_start(&w, n, n_regions);
	heap = heap_bytes();
	world_run(&w, WARM_S);
	s[M_HEAP].y[at] = heap_bytes() - heap;
	world_reset_counters(&w);
	world_run(&w, RUN_S);
	s[M_CPU].y[at] = w.cpu_us / RUN_S;
	s[M_MSGS].y[at] = (double)w.sent_msgs / RUN_S;
	s[M_BYTES].y[at] = (double)w.sent_bytes / RUN_S;
	s[M_READ_BYTES].y[at] = (double)w.read_bytes / RUN_S;
	s[M_SCANS].y[at] = (double)w.reads / RUN_S;
	s[M_WRITES].y[at] = (double)w.writes / RUN_S;
	w.outage = true;
	world_run(&w, WARM_S);
	world_reset_counters(&w);
	world_run(&w, RUN_S);
	g_assert(fg_member_standing(w.m, w.now) == FG_STANDING_OUTAGE);
	s[M_OUT_CPU].y[at] = w.cpu_us / RUN_S;
	s[M_OUT_MSGS].y[at] = (double)w.sent_msgs / RUN_S;
	s[M_OUT_BYTES].y[at] = (double)w.sent_bytes / RUN_S;
	world_end(&w);
}

static void bench_member(int n_regions)
{
	static const int sizes[SIZES] = { 75, 150, 300, 600 };
	struct series s[M_SERIES] = {
		[M_HEAP] = { .name = "heap", .unit = "B" },
		[M_CPU] = { .name = "processor time", .unit = "us/s" },
		[M_MSGS] = { .name = "messages sent", .unit = "1/s" },
		[M_BYTES] = { .name = "bytes sent", .unit = "B/s" },
		[M_READ_BYTES] = { .name = "bytes of scans", .unit = "B/s" },
		[M_SCANS] = { .name = "scans", .unit = "1/s" },
		[M_WRITES] = { .name = "table writes", .unit = "1/s" },
		[M_OUT_CPU] = { .name = "outage: processor time",
				.unit = "us/s" },
		[M_OUT_MSGS] = { .name = "outage: messages sent",
				 .unit = "1/s" },
		[M_OUT_BYTES] = { .name = "outage: bytes sent", .unit = "B/s" },
	};
	double x[SIZES];

	for (int i = 0; i < SIZES; i++) {
		x[i] = sizes[i];
		measure_member(s, i, sizes[i], n_regions);
	}
	print_header(n_regions == 1 ? "member, all in one region"
				    : "member, four regions",
		     "instances", x);
	for (int i = 0; i < M_SERIES; i++)
		print_series("instances", x, &s[i]);
}

/* ---- Ownership ---- */

enum {
	O_HEAP,
	O_CPU,
	O_READ_BYTES,
	O_SCANS,
	O_PASS,
	O_SERIES
};

static void measure_owner(struct series *s, int at, int n_keys)
{
	struct fg_owner_conf conf = { .scan_ms = 5000, .retry_ms = 1000 };
	struct world w;
	double heap, member_us, member_bytes, start;

	world_start(&w, 600, 4);
	world_run(&w, WARM_S);
	world_reset_counters(&w);
	world_run(&w, RUN_S);
	member_us = w.cpu_us;
	member_bytes = (double)w.read_bytes;
	heap = heap_bytes();
	conf.self = w.nodes[0].id;
	w.o = fg_owner_new(&conf, w.m, 4);
	w.n_keys = n_keys;
	for (int i = 0; i < n_keys; i++)
		fg_owner_want(w.o, fg_hash_mix(9, (uint64_t)i),
			      w.nodes[i % 4].region, w.nodes[i % 11].dc, false);
	world_run(&w, WARM_S);
	s[O_HEAP].y[at] = heap_bytes() - heap;
	world_reset_counters(&w);
	world_run(&w, RUN_S);
	s[O_CPU].y[at] = (w.cpu_us - member_us) / RUN_S;
	s[O_READ_BYTES].y[at] = ((double)w.read_bytes - member_bytes) / RUN_S;
	s[O_SCANS].y[at] = (double)w.reads / RUN_S;
	start = cpu_us(CLOCK_THREAD_CPUTIME_ID);
	for (int i = 0; i < 100; i++) {
		w.o->pass_at = 0;
		fg_owner_claim_tick(w.o, w.now);
	}
	s[O_PASS].y[at] = (cpu_us(CLOCK_THREAD_CPUTIME_ID) - start) / 100;
	world_end(&w);
}

static void bench_owner(void)
{
	static const int sizes[SIZES] = { 725, 1450, 2900, 5800 };
	struct series s[O_SERIES] = {
		[O_HEAP] = { .name = "heap", .unit = "B" },
		[O_CPU] = { .name = "processor time", .unit = "us/s" },
		[O_READ_BYTES] = { .name = "bytes of scans", .unit = "B/s" },
		[O_SCANS] = { .name = "scans, of members too", .unit = "1/s" },
		[O_PASS] = { .name = "one look for keys to claim",
			     .unit = "us" },
	};
	double x[SIZES];

	for (int i = 0; i < SIZES; i++) {
		x[i] = sizes[i];
		measure_owner(s, i, sizes[i]);
	}
	print_header("owner, 600 instances", "endpoints", x);
	for (int i = 0; i < O_SERIES; i++)
		print_series("endpoints", x, &s[i]);
}

/* ---- Codec ---- */

enum {
	C_BYTES,
	C_ENCODE,
	C_DECODE,
	C_SERIES
};

static void measure_codec(struct series *s, int at, fg_msg_type type, int n)
{
	enum {
		ROUNDS = 2000
	};
	static char buf[FG_PEER_RECORD_BYTES];
	fg_batch batch = { .format = FG_FORMAT };
	fg_msg *one = fg_msg_new(type);
	u_int len_bytes = 0;
	double start;
	XDR xdr;

	batch.msgs.msgs_len = (u_int)n;
	batch.msgs.msgs_val = g_new0(fg_msg, (gsize)n);
	for (int i = 0; i < n; i++)
		batch.msgs.msgs_val[i] = *one;
	start = cpu_us(CLOCK_THREAD_CPUTIME_ID);
	for (int i = 0; i < ROUNDS; i++) {
		xdrmem_create(&xdr, buf, sizeof(buf), XDR_ENCODE);
		g_assert(xdr_fg_batch(&xdr, &batch));
		len_bytes = xdr_getpos(&xdr);
	}
	s[C_ENCODE].y[at] = (cpu_us(CLOCK_THREAD_CPUTIME_ID) - start) / ROUNDS;
	s[C_BYTES].y[at] = len_bytes + FG_RPC_CALL_BYTES;
	start = cpu_us(CLOCK_THREAD_CPUTIME_ID);
	for (int i = 0; i < ROUNDS; i++) {
		fg_batch back = { 0 };

		xdrmem_create(&xdr, buf, len_bytes, XDR_DECODE);
		g_assert(xdr_fg_batch(&xdr, &back));
		xdr_free((xdrproc_t)xdr_fg_batch, (char *)&back);
	}
	s[C_DECODE].y[at] = (cpu_us(CLOCK_THREAD_CPUTIME_ID) - start) / ROUNDS;
	g_free(batch.msgs.msgs_val);
	fg_msg_free(one);
}

static void bench_codec(fg_msg_type type)
{
	static const int sizes[SIZES] = { 1, 16, 64, 256 };
	struct series s[C_SERIES] = {
		[C_BYTES] = { .name = "bytes of a call", .unit = "B" },
		[C_ENCODE] = { .name = "encoding a batch", .unit = "us" },
		[C_DECODE] = { .name = "decoding a batch", .unit = "us" },
	};
	g_autofree char *title =
		g_strdup_printf("codec, messages %s", fg_msg_name(type));
	double x[SIZES];

	for (int i = 0; i < SIZES; i++) {
		x[i] = sizes[i];
		measure_codec(s, i, type, sizes[i]);
	}
	print_header(title, "messages", x);
	for (int i = 0; i < C_SERIES; i++)
		print_series("messages", x, &s[i]);
}

/* ---- Transport ---- */

#define BENCH_PORT 23400

enum {
	T_RSS,
	T_CPU,
	T_GOT,
	T_SERIES
};

static void ignore_msg(void *arg, uint64_t from, const fg_msg *msg)
{
	(void)from;
	(void)msg;
	g_atomic_int_inc((int *)arg);
}

static void send_round(struct fg_peer *p, int n, const int *received, int until)
{
	fg_msg *msg = fg_msg_new(FG_MSG_PING);

	for (int i = 1; i <= n; i++) {
		g_autofree char *addr =
			g_strdup_printf("127.0.0.1:%d", BENCH_PORT + i);

		fg_peer_send(p, (uint64_t)i, addr, msg);
	}
	fg_msg_free(msg);
	for (int i = 0; i < 5000 && g_atomic_int_get(received) < until; i++)
		g_usleep(1000);
}

/* One peer sends to n others in this process: both ends are counted. */
static void measure_transport(double *y, int n)
{
	enum {
		ROUNDS = 50
	};
	g_autofree struct fg_peer **peers =
		g_new0(struct fg_peer *, (gsize)n + 1);
	int received = 0;
	double rss, cpu;

	for (int i = 0; i <= n; i++) {
		g_autofree char *addr =
			g_strdup_printf("127.0.0.1:%d", BENCH_PORT + i);
		struct fg_peer_conf conf = { .listen = addr,
					     .self = (uint64_t)i,
					     .timeout_ms = 1000,
					     .queue_max = 256 };

		peers[i] = fg_peer_start(&conf, ignore_msg, &received, NULL);
		g_assert(peers[i] != NULL);
	}
	rss = resident_bytes();
	send_round(peers[0], n, &received, n);
	cpu = cpu_us(CLOCK_PROCESS_CPUTIME_ID);
	for (int i = 0; i < ROUNDS; i++)
		send_round(peers[0], n, &received, n * (i + 2));
	y[T_CPU] = (cpu_us(CLOCK_PROCESS_CPUTIME_ID) - cpu) / ROUNDS;
	y[T_RSS] = resident_bytes() - rss;
	y[T_GOT] = (double)received / (ROUNDS + 1);
	for (int i = 0; i <= n; i++)
		fg_peer_stop(peers[i]);
}

/* In a process of its own, so that no memory is left over from the last. */
static void measure_in_child(struct series *s, int at, int n)
{
	double y[T_SERIES];
	int fds[2];
	pid_t pid;

	g_assert(pipe(fds) == 0);
	pid = fork();
	if (pid == 0) {
		measure_transport(y, n);
		_exit(write(fds[1], y, sizeof(y)) == sizeof(y) ? 0 : 1);
	}
	g_assert(read(fds[0], y, sizeof(y)) == sizeof(y));
	waitpid(pid, NULL, 0);
	close(fds[0]);
	close(fds[1]);
	for (int i = 0; i < T_SERIES; i++)
		s[i].y[at] = y[i];
}

static void bench_transport(void)
{
	static const int sizes[SIZES] = { 20, 40, 80, 160 };
	struct series s[T_SERIES] = {
		[T_RSS] = { .name = "resident, both ends", .unit = "B" },
		[T_CPU] = { .name = "one message to each, both ends",
			    .unit = "us" },
		[T_GOT] = { .name = "received of one round", .unit = "" },
	};
	double x[SIZES];

	for (int i = 0; i < SIZES; i++) {
		x[i] = sizes[i];
		measure_in_child(s, i, sizes[i]);
	}
	print_header("transport, one message per exchange", "peers", x);
	for (int i = 0; i < T_SERIES; i++)
		print_series("peers", x, &s[i]);
}

int main(void)
{
	/* Before the heap of this process has grown. */
	bench_transport();
	bench_member(4);
	bench_member(1);
	bench_owner();
	bench_codec(FG_MSG_PING);
	bench_codec(FG_MSG_GRANT_REQ);
	bench_codec(FG_MSG_GRANT_REP);
	bench_codec(FG_MSG_RELEASE);
	return 0;
}
