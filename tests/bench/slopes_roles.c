/* Measures configuration, router and owner; lists the series of all roles. */
#include <stdio.h>
#include <stdlib.h>

#include "config/fg_config.h"
#include "grant/fg_grant.h"
#include "peer/fg_msg.h"
#include "place/fg_place.h"
#include "slopes_roles.h"

#define OWNED_ENGINES 5 /* engines of one owner */
#define EVENTS 50000	/* timed operations of one kind */
#define CHANGES 1000
#define STRIDE 7919 /* prime step that visits adapters out of order */

typedef void (*measure_fn)(struct series *s, int idx, int size);

/* ---- Configuration ---- */

static void add_adapter(struct fg_config *c, int i)
{
	g_autofree char *text = g_strdup_printf(
		"{\"revision\":%d,\"kind\":\"batch\",\"changes\":["
		"{\"kind\":\"adapter_add\",\"base\":\"base-%d\","
		"\"adapter\":\"adapter-%05d\"},"
		"{\"kind\":\"version_add\",\"adapter\":\"adapter-%05d\","
		"\"version\":\"1\"},"
		"{\"kind\":\"right_grant\",\"adapter\":\"adapter-%05d\","
		"\"caller\":\"caller\"}]}",
		i + 1, i % 7, i, i, i);

	if (!fg_config_apply(c, text, NULL))
		g_error("cannot add adapter %d", i);
}

static void change_right(struct fg_config *c, int n, int i)
{
	g_autofree char *text = g_strdup_printf(
		"{\"revision\":%d,\"kind\":\"right_%s\","
		"\"adapter\":\"adapter-%05d\",\"caller\":\"other\"}",
		n + i + 1, i % 2 ? "revoke" : "grant", i / 2);

	if (!fg_config_apply(c, text, NULL))
		g_error("cannot apply change %d", i);
}

static double resolve_us(const struct fg_config *c, int n)
{
	static char names[EVENTS][24];
	double start;
	fg_av av;

	for (int i = 0; i < EVENTS; i++)
		g_snprintf(names[i], sizeof(names[i]), "adapter-%05d",
			   (int)((int64_t)i * STRIDE % n));
	start = slopes_thread_cpu_us();
	for (int i = 0; i < EVENTS; i++)
		if (fg_config_resolve(c, "caller", names[i], "", &av) !=
		    FG_R_NONE)
			g_error("cannot resolve %s", names[i]);
	return (slopes_thread_cpu_us() - start) / EVENTS;
}

static void measure_config(struct series *s, int idx, int n)
{
	double start, heap = slopes_heap_bytes();
	struct fg_config *c = fg_config_new();

	for (int i = 0; i < n; i++)
		add_adapter(c, i);
	s[0].y[idx] = slopes_heap_bytes() - heap;
	start = slopes_thread_cpu_us();
	for (int i = 0; i < CHANGES; i++)
		change_right(c, n, i);
	s[1].y[idx] = (slopes_thread_cpu_us() - start) / CHANGES;
	s[2].y[idx] = resolve_us(c, n);
	fg_config_free(c);
}

/* ---- Router: directory and popularity ---- */

static void apply_resident(struct fg_dir *d, uint32_t ep, uint64_t seq,
			   uint32_t shift)
{
	fg_av av[SLOTS];
	fg_resident r = {
		ep + 1, 1, seq, SLOTS, 0, BATCH, false, { SLOTS, av }
	};

	for (uint32_t i = 0; i < SLOTS; i++)
		av[i] = slopes_av(ep * SLOTS + i + shift);
	fg_dir_on_resident(d, 0, &r);
}

struct fg_dir *slopes_new_dir(uint32_t n)
{
	struct fg_dir *d = fg_dir_new(1);

	for (uint32_t ep = 0; ep < n; ep++) {
		fg_dir_set_endpoint(d, ep + 1, SERVICE, REGION, "dc", false);
		apply_resident(d, ep, 1, 0);
	}
	return d;
}

static void measure_dir(struct series *s, int idx, int size)
{
	uint32_t n = (uint32_t)size;
	double start, heap = slopes_heap_bytes();
	struct fg_dir *d = slopes_new_dir(n);

	s[0].y[idx] = slopes_heap_bytes() - heap;
	start = slopes_thread_cpu_us();
	for (uint32_t i = 0; i < EVENTS; i++)
		fg_dir_pick_endpoint(d, 0, SERVICE, slopes_av(i * STRIDE),
				     REGION, false, NULL, 0, 0);
	s[1].y[idx] = (slopes_thread_cpu_us() - start) / EVENTS;
	start = slopes_thread_cpu_us();
	for (uint32_t i = 0; i < EVENTS; i++)
		apply_resident(d, i % n, i + 2, i);
	s[2].y[idx] = (slopes_thread_cpu_us() - start) / EVENTS;
	start = slopes_thread_cpu_us();
	for (uint32_t i = 0; i < EVENTS; i++) /* repeats the last list */
		apply_resident(d, (EVENTS - 1) % n, EVENTS + i + 2, EVENTS - 1);
	s[3].y[idx] = (slopes_thread_cpu_us() - start) / EVENTS;
	fg_dir_free(d);
}

static void measure_popularity(struct series *s, int idx, int n)
{
	double start, heap = slopes_heap_bytes();
	struct fg_popularity_table *t = fg_popularity_new(300000);

	for (uint32_t i = 1; i <= (uint32_t)n; i++)
		fg_popularity_add(t, 0, (fg_av){ i, 1 }, 1);
	s[0].y[idx] = slopes_heap_bytes() - heap;
	start = slopes_thread_cpu_us();
	for (uint32_t i = 0; i < EVENTS; i++)
		fg_popularity_add(
			t, 1, (fg_av){ i * STRIDE % (uint32_t)n + 1, 1 }, 1);
	s[1].y[idx] = (slopes_thread_cpu_us() - start) / EVENTS;
	fg_popularity_free(t);
}

/* ---- Owner: grants ---- */

static struct fg_grants *new_full_grants(uint64_t ep)
{
	struct fg_grants_conf conf = {
		ep, 1, SLOTS, BATCH, RUN_MS, BATCH, false
	};
	struct fg_grants *g = fg_grants_new(&conf, 0, false);

	for (uint32_t i = 0; i < SLOTS; i++) {
		uint32_t slot;
		fg_av victim;

		if (fg_grants_start_load(g, 1, slopes_av(i), (fg_av){ 0 }, NULL,
					 NULL, &slot,
					 &victim) != FG_LOAD_START_OK)
			g_error("cannot load adapter %u", i);
		fg_grants_finish_load(g, 1, slot, FG_ORDER_DONE, RUN_MS);
	}
	return g;
}

static uint64_t request_grant(struct fg_grants *g, uint32_t req)
{
	struct fg_grant_request request = { .holder = 9,
					    .req_id = req + 1,
					    .av = slopes_av(req % SLOTS),
					    .cls = FG_CLASS_INTERACTIVE,
					    .budget_ms = RUN_MS / 2 };
	uint64_t id = 0;

	if (fg_grants_request(g, 2, &request, &id) != FG_GRANT_OK)
		g_error("no grant for request %u", req);
	return id;
}

static void measure_grants(struct series *s, int idx, int size)
{
	uint32_t n = (uint32_t)size;
	double start, heap = slopes_heap_bytes();
	uint64_t ids[OWNED_ENGINES * BATCH];
	struct fg_grants *g[OWNED_ENGINES];

	for (uint32_t i = 0; i < OWNED_ENGINES; i++)
		g[i] = new_full_grants(i + 1);
	for (uint32_t i = 0; i < n; i++)
		ids[i] = request_grant(g[i % OWNED_ENGINES], i);
	s[0].y[idx] = slopes_heap_bytes() - heap;
	start = slopes_thread_cpu_us();
	for (uint32_t i = 0; i < EVENTS; i++) {
		uint32_t k = i % n;

		fg_grants_release(g[k % OWNED_ENGINES], 2, ids[k]);
		ids[k] = request_grant(g[k % OWNED_ENGINES], i + n);
	}
	s[1].y[idx] = (slopes_thread_cpu_us() - start) / EVENTS;
	s[2].y[idx] = slopes_heap_bytes() - heap;
	for (uint32_t i = 0; i < OWNED_ENGINES; i++)
		fg_grants_free(g[i]);
}

/* ---- All roles ---- */

static void print_msg_bytes(fg_msg_type type, u_int n)
{
	fg_msg *m = fg_msg_new(type);
	fg_av av[SLOTS] = { 0 };

	if (type == FG_MSG_RESIDENT)
		fg_msg_set_avs(&m->body.fg_body_u.resident, av, n);
	if (type == FG_MSG_POPULARITY) {
		m->body.fg_body_u.popularity.items.items_val =
			calloc(n, sizeof(fg_popularity_item));
		m->body.fg_body_u.popularity.items.items_len = n;
	}
	printf("  %-38s %10zu B, %u items\n", fg_msg_type_name(type),
	       fg_msg_wire_bytes(m), n);
	fg_msg_free(m);
}

struct role_case {
	const char *title;
	const char *per;
	int sizes[SIZES];
	measure_fn measure;
	struct series s[6]; /* ends with an entry without a name */
};

static const struct role_case role_cases[] = {
	{ "config",
	  "adapters",
	  { 8000, 16000, 32000, 65000 },
	  measure_config,
	  { { "heap", "B", { 0 } },
	    { "one change of a right", "us", { 0 } },
	    { "one resolve", "us", { 0 } } } },
	{ "directory, 8 slots an engine",
	  "engines",
	  { 180, 360, 725, 1450 },
	  measure_dir,
	  { { "heap", "B", { 0 } },
	    { "one pick", "us", { 0 } },
	    { "one RESIDENT, all slots new", "us", { 0 } },
	    { "one RESIDENT repeated", "us", { 0 } } } },
	{ "heat",
	  "adapters",
	  { 4000, 16000, 32000, 65000 },
	  measure_popularity,
	  { { "heap", "B", { 0 } }, { "one count", "us", { 0 } } } },
	{ "grants, 5 engines",
	  "in flight",
	  { 16, 64, 128, 256 },
	  measure_grants,
	  { { "heap", "B", { 0 } },
	    { "one release and grant", "us", { 0 } },
	    { "heap, ended asks at their bound", "B", { 0 } } } },
	{ "broker, 725 engines",
	  "needs/s",
	  { 5, 10, 20, 40 },
	  slopes_measure_broker,
	  { { "one need", "us", { 0 } },
	    { "one tick of 20 ms, and replies", "us", { 0 } },
	    { "processor time", "us/s", { 0 } },
	    { "heap", "B", { 0 } },
	    { "refused", "", { 0 } } } },
	{ "broker, 20 needs a second",
	  "engines",
	  { 90, 180, 360, 725 },
	  slopes_measure_broker_engines,
	  { { "one need", "us", { 0 } },
	    { "one tick of 20 ms, and replies", "us", { 0 } },
	    { "processor time", "us/s", { 0 } },
	    { "heap", "B", { 0 } },
	    { "refused", "", { 0 } } } },
	{ "ledger, no window, ticks of 1 ms",
	  "filings/s",
	  { 1, 10, 50, 100 },
	  slopes_measure_ledger,
	  { { "processor time", "us/s", { 0 } },
	    { "transactions a filing", "", { 0 } },
	    { "heap after 60 s", "B", { 0 } } } },
};

static void run_role_case(struct role_case c)
{
	double x[SIZES];

	for (int i = 0; i < SIZES; i++) {
		x[i] = c.sizes[i];
		c.measure(c.s, i, c.sizes[i]);
	}
	slopes_print_header(c.title, c.per, x);
	for (struct series *s = c.s; s->name != NULL; s++)
		slopes_print_series(c.per, x, s);
}

void slopes_measure_roles(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(role_cases); i++)
		run_role_case(role_cases[i]);
	printf("messages, without the frame\n");
	print_msg_bytes(FG_MSG_NEED, 1);
	print_msg_bytes(FG_MSG_PLACE, 1);
	print_msg_bytes(FG_MSG_PLACE_REP, 1);
	print_msg_bytes(FG_MSG_RESIDENT, SLOTS);
	print_msg_bytes(FG_MSG_POPULARITY, 20);
}
