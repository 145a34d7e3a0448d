/*
 * bench_slopes - measures what each part costs per unit, for docs/CAPACITY.md.
 *
 * Each series is measured at several sizes and printed with its linear fit.
 * Times are processor time, heap sizes are bytes allocated by malloc. Modules
 * run in virtual time against a simulated table and peers that answer at once.
 */
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "owner/fg_owner_internal.h"
#include "peer/fg_peer.h"
#include "peer/fg_peer_internal.h"
#include "slopes.h"

#define WARMUP_S 30
#define RUN_S 1800

/* ---- Membership ---- */

enum {
	M_HEAP,
	M_CPU,
	M_MSGS,
	M_BYTES,
	M_READ_BYTES,
	M_SCANS,
	M_WRITES,
	M_OUTAGE_CPU,
	M_OUTAGE_MSGS,
	M_OUTAGE_BYTES,
	M_SERIES,
};

static void measure_member(struct series *s, int idx, int n, int n_regions)
{
	struct world w;
	double heap;

	world_start(&w, n, n_regions);
	heap = slopes_heap_bytes();
	world_run(&w, WARMUP_S);
	s[M_HEAP].y[idx] = slopes_heap_bytes() - heap;
	world_reset_counters(&w);
	world_run(&w, RUN_S);
	s[M_CPU].y[idx] = w.cpu_us / RUN_S;
	s[M_MSGS].y[idx] = (double)w.sent_msgs / RUN_S;
	s[M_BYTES].y[idx] = (double)w.sent_bytes / RUN_S;
	s[M_READ_BYTES].y[idx] = (double)w.read_bytes / RUN_S;
	s[M_SCANS].y[idx] = (double)w.table_reads / RUN_S;
	s[M_WRITES].y[idx] = (double)w.table_writes / RUN_S;
	w.outage = true;
	world_run(&w, WARMUP_S);
	world_reset_counters(&w);
	world_run(&w, RUN_S);
	g_assert(fg_member_standing(w.member, w.now) == FG_STANDING_OUTAGE);
	s[M_OUTAGE_CPU].y[idx] = w.cpu_us / RUN_S;
	s[M_OUTAGE_MSGS].y[idx] = (double)w.sent_msgs / RUN_S;
	s[M_OUTAGE_BYTES].y[idx] = (double)w.sent_bytes / RUN_S;
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
		[M_OUTAGE_CPU] = { .name = "outage: processor time",
				   .unit = "us/s" },
		[M_OUTAGE_MSGS] = { .name = "outage: messages sent",
				    .unit = "1/s" },
		[M_OUTAGE_BYTES] = { .name = "outage: bytes sent",
				     .unit = "B/s" },
	};
	double x[SIZES];

	for (int i = 0; i < SIZES; i++) {
		x[i] = sizes[i];
		measure_member(s, i, sizes[i], n_regions);
	}
	slopes_print_header(n_regions == 1 ? "member, all in one region"
					   : "member, four regions",
			    "instances", x);
	for (int i = 0; i < M_SERIES; i++)
		slopes_print_series("instances", x, &s[i]);
}

/* ---- Ownership ---- */

enum {
	O_HEAP,
	O_CPU,
	O_READ_BYTES,
	O_SCANS,
	O_CLAIM_PASS,
	O_SERIES
};

static void measure_owner(struct series *s, int idx, int n_keys)
{
	struct fg_owner_conf conf = { .scan_ms = 5000, .retry_ms = 1000 };
	struct world w;
	double heap, member_us, member_bytes, start;

	world_start(&w, 600, 4);
	world_run(&w, WARMUP_S);
	world_reset_counters(&w);
	world_run(&w, RUN_S);
	member_us = w.cpu_us;
	member_bytes = (double)w.read_bytes;
	heap = slopes_heap_bytes();
	conf.self = w.nodes[0].id;
	w.owner = fg_owner_new(&conf, w.member, 4);
	w.n_keys = n_keys;
	for (int i = 0; i < n_keys; i++)
		fg_owner_set_key(w.owner, fg_hash_mix(9, (uint64_t)i),
				 w.nodes[i % 4].region, w.nodes[i % 11].dc,
				 false);
	world_run(&w, WARMUP_S);
	s[O_HEAP].y[idx] = slopes_heap_bytes() - heap;
	world_reset_counters(&w);
	world_run(&w, RUN_S);
	s[O_CPU].y[idx] = (w.cpu_us - member_us) / RUN_S;
	s[O_READ_BYTES].y[idx] = ((double)w.read_bytes - member_bytes) / RUN_S;
	s[O_SCANS].y[idx] = (double)w.table_reads / RUN_S;
	start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);
	for (int i = 0; i < 100; i++) {
		w.owner->pass_at = 0;
		fg_owner_claim_tick(w.owner, w.now);
	}
	s[O_CLAIM_PASS].y[idx] =
		(slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start) / 100;
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
		[O_CLAIM_PASS] = { .name = "one look for keys to claim",
				   .unit = "us" },
	};
	double x[SIZES];

	for (int i = 0; i < SIZES; i++) {
		x[i] = sizes[i];
		measure_owner(s, i, sizes[i]);
	}
	slopes_print_header("owner, 600 instances", "endpoints", x);
	for (int i = 0; i < O_SERIES; i++)
		slopes_print_series("endpoints", x, &s[i]);
}

/* ---- Codec ---- */

enum {
	C_BYTES,
	C_ENCODE,
	C_DECODE,
	C_SERIES
};

static void measure_codec(struct series *s, int idx, fg_msg_type type, int n)
{
	enum {
		ROUNDS = 2000
	};
	static char buf[FG_PEER_RECORD_BYTES];
	fg_batch batch = { .format = FG_FORMAT };
	fg_msg *msg = fg_msg_new(type);
	u_int len_bytes = 0;
	double start;
	XDR xdr;

	batch.msgs.msgs_len = (u_int)n;
	batch.msgs.msgs_val = g_new0(fg_msg, (gsize)n);
	for (int i = 0; i < n; i++)
		batch.msgs.msgs_val[i] = *msg;
	start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);
	for (int i = 0; i < ROUNDS; i++) {
		xdrmem_create(&xdr, buf, sizeof(buf), XDR_ENCODE);
		g_assert(xdr_fg_batch(&xdr, &batch));
		len_bytes = xdr_getpos(&xdr);
	}
	s[C_ENCODE].y[idx] =
		(slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start) / ROUNDS;
	s[C_BYTES].y[idx] = len_bytes + FG_RPC_CALL_BYTES;
	start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);
	for (int i = 0; i < ROUNDS; i++) {
		fg_batch decoded = { 0 };

		xdrmem_create(&xdr, buf, len_bytes, XDR_DECODE);
		g_assert(xdr_fg_batch(&xdr, &decoded));
		xdr_free((xdrproc_t)xdr_fg_batch, (char *)&decoded);
	}
	s[C_DECODE].y[idx] =
		(slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start) / ROUNDS;
	g_free(batch.msgs.msgs_val);
	fg_msg_free(msg);
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
		g_strdup_printf("codec, messages %s", fg_msg_type_name(type));
	double x[SIZES];

	for (int i = 0; i < SIZES; i++) {
		x[i] = sizes[i];
		measure_codec(s, i, type, sizes[i]);
	}
	slopes_print_header(title, "messages", x);
	for (int i = 0; i < C_SERIES; i++)
		slopes_print_series("messages", x, &s[i]);
}

/* ---- Transport ---- */

#define BENCH_PORT 23400

enum {
	T_RSS,
	T_CPU,
	T_RECEIVED,
	T_SERIES
};

static void count_received(void *arg, uint64_t from, const fg_msg *msg)
{
	(void)from;
	(void)msg;
	g_atomic_int_inc((int *)arg);
}

static void send_round(struct fg_peer *p, int n, const int *received,
		       int expected)
{
	fg_msg *msg = fg_msg_new(FG_MSG_PING);

	for (int i = 1; i <= n; i++) {
		g_autofree char *addr =
			g_strdup_printf("127.0.0.1:%d", BENCH_PORT + i);

		fg_peer_send(p, (uint64_t)i, addr, msg);
	}
	fg_msg_free(msg);
	for (int i = 0; i < 5000 && g_atomic_int_get(received) < expected; i++)
		g_usleep(1000);
}

/* Measures one peer that sends to n others in this process. The costs of both
 * ends are included. */
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

		peers[i] =
			fg_peer_start(&conf, count_received, &received, NULL);
		g_assert(peers[i] != NULL);
	}
	rss = slopes_resident_bytes();
	send_round(peers[0], n, &received, n);
	cpu = slopes_cpu_us(CLOCK_PROCESS_CPUTIME_ID);
	for (int i = 0; i < ROUNDS; i++)
		send_round(peers[0], n, &received, n * (i + 2));
	y[T_CPU] = (slopes_cpu_us(CLOCK_PROCESS_CPUTIME_ID) - cpu) / ROUNDS;
	y[T_RSS] = slopes_resident_bytes() - rss;
	y[T_RECEIVED] = (double)received / (ROUNDS + 1);
	for (int i = 0; i <= n; i++)
		fg_peer_stop(peers[i]);
}

/* Measures in a child process, so that memory left from the last size is not
 * counted. */
static void measure_in_child(struct series *s, int idx, int n)
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
		s[i].y[idx] = y[i];
}

static void bench_transport(void)
{
	static const int sizes[SIZES] = { 20, 40, 80, 160 };
	struct series s[T_SERIES] = {
		[T_RSS] = { .name = "resident, both ends", .unit = "B" },
		[T_CPU] = { .name = "one message to each, both ends",
			    .unit = "us" },
		[T_RECEIVED] = { .name = "received of one round", .unit = "" },
	};
	double x[SIZES];

	for (int i = 0; i < SIZES; i++) {
		x[i] = sizes[i];
		measure_in_child(s, i, sizes[i]);
	}
	slopes_print_header("transport, one message per exchange", "peers", x);
	for (int i = 0; i < T_SERIES; i++)
		slopes_print_series("peers", x, &s[i]);
}

/* With the argument "roles" only the roles are measured; they need no ports. */
int main(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], "roles") == 0) {
		slopes_measure_roles();
		return 0;
	}
	/* Children inherit this process's heap, so the transport comes before
	 * the heap has grown. */
	bench_transport();
	bench_member(4);
	bench_member(1);
	bench_owner();
	bench_codec(FG_MSG_PING);
	bench_codec(FG_MSG_GRANT_REQ);
	bench_codec(FG_MSG_GRANT_REP);
	bench_codec(FG_MSG_RELEASE);
	slopes_measure_roles();
	return 0;
}
