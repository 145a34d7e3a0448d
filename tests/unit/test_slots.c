/*
 * Unit tests of the adapter slots of one engine: which orders are sent with
 * which sequence, and that no fault of the engine or the network makes the
 * adapters exceed the slots.
 */
#include <glib.h>
#include <string.h>

#include "base/fg_rand.h"
#include "slots/fg_loadgate.h"
#include "slots/fg_slots.h"

#define MODEL "m"
#define SLOTS 3

static struct fg_slots *slots_new(void)
{
	struct fg_slots_conf conf = {
		.model = MODEL,
		.limits = { .slots = SLOTS },
		.load_ms = 250,
		.loads_max = 4,
		.queue_max = 6,
		.request_ttl_ms = 1500,
	};

	return fg_slots_new(&conf);
}

static void set_resident(struct fg_ep_resident *r, const char *adapter,
			 uint64_t version)
{
	memset(r, 0, sizeof(*r));
	g_strlcpy(r->model, MODEL, sizeof(r->model));
	g_strlcpy(r->adapter, adapter, sizeof(r->adapter));
	r->version = version;
}

static struct fg_engine_report base_report(uint64_t sequence)
{
	struct fg_engine_report report = { .sequence = sequence,
					   .n_resident = 1 };

	set_resident(&report.resident[0], "", 1);
	return report;
}

static void sync_without_adapters(struct fg_slots *s, fg_ms now,
				  uint64_t sequence)
{
	struct fg_engine_report report = base_report(sequence);
	struct fg_slots_step step = fg_slots_next(s, now, true);

	g_assert_cmpint(step.act, ==, FG_SLOTS_REPORT);
	fg_slots_handle_report(s, now, &report);
}

static uint64_t key_of(const char *adapter)
{
	return fg_adapter_key(MODEL, adapter);
}

static void test_load_and_confirm(void)
{
	struct fg_slots *s = slots_new();
	struct fg_slots_step step;

	sync_without_adapters(s, 1000, 7);
	g_assert_cmpint(fg_slots_request_load(s, 1000, MODEL, "a1", 0), ==,
			FG_SLOT_PENDING);
	step = fg_slots_next(s, 1000, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_LOAD);
	g_assert_cmpstr(step.adapter, ==, "a1");
	g_assert_cmpuint(step.expected_sequence, ==, 7);
	fg_slots_handle_result(s, 1002, FG_WIRE_ORDER_ACCEPTED);
	step = fg_slots_next(s, 1100, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_NOTHING);
	g_assert_cmpint(step.wake_at, ==, 1252);
	step = fg_slots_next(s, 1252, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_LOAD);
	fg_slots_handle_result(s, 1253, FG_WIRE_ORDER_ALREADY_DONE);
	g_assert_cmpint(fg_slots_state(s, key_of("a1")), ==, FG_SLOT_RESIDENT);
	g_assert_cmpuint(fg_slots_take_fetched_ms(s), ==, 253);
	g_assert_cmpuint(fg_slots_take_fetched_ms(s), ==, 0);
	fg_slots_free(s);
}

/* An engine accepts a repeat of an order that it is carrying out without
 * counting it. Counting it here made the engine answer 409 to every later
 * order. */
static void test_repeat_is_not_counted(void)
{
	struct fg_slots *s = slots_new();
	struct fg_slots_step step;

	sync_without_adapters(s, 1000, 7);
	fg_slots_request_load(s, 1000, MODEL, "a1", 0);
	fg_slots_next(s, 1000, true);
	fg_slots_handle_result(s, 1000, FG_WIRE_ORDER_ACCEPTED);
	for (fg_ms now = 1250; now < 1500; now += 50) {
		step = fg_slots_next(s, now, true);
		g_assert_cmpint(step.act, ==, FG_SLOTS_LOAD);
		fg_slots_handle_result(s, now, FG_WIRE_ORDER_ACCEPTED);
	}
	fg_slots_request_load(s, 1500, MODEL, "a2", 0);
	step = fg_slots_next(s, 1500, true);
	if (strcmp(step.adapter, "a1") == 0) {
		fg_slots_handle_result(s, 1500, FG_WIRE_ORDER_ALREADY_DONE);
		step = fg_slots_next(s, 1500, true);
	}
	g_assert_cmpstr(step.adapter, ==, "a2");
	g_assert_cmpuint(step.expected_sequence, ==, 8);
	fg_slots_free(s);
}

/* A report may already list the adapter of a queued request. When the request
 * was started nevertheless, the adapter got two slots and the second one was
 * ordered forever. */
static void test_request_satisfied_by_report(void)
{
	struct fg_slots *s = slots_new();
	struct fg_engine_report report = base_report(9);
	struct fg_slots_step step;

	fg_slots_request_load(s, 1000, MODEL, "a1", 0);
	step = fg_slots_next(s, 1000, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_REPORT);
	set_resident(&report.loading[0], "a1", 1);
	report.n_loading = 1;
	fg_slots_handle_report(s, 1000, &report);
	for (fg_ms now = 1001; now < 1030; now++) {
		step = fg_slots_next(s, now, true);
		g_assert_cmpint(step.act, ==, FG_SLOTS_NOTHING);
	}
	g_assert_cmpint(fg_slots_state(s, key_of("a1")), ==, FG_SLOT_PENDING);
	fg_slots_free(s);
}

/* An engine that restarted holds no adapter and no base model. */
static void test_base_model_loads_first(void)
{
	struct fg_slots *s = slots_new();
	struct fg_engine_report report = { .sequence = 0 };
	struct fg_slots_step step;

	fg_slots_request_load(s, 1000, MODEL, "a1", 0);
	fg_slots_next(s, 1000, true);
	fg_slots_handle_report(s, 1000, &report);
	g_assert_cmpuint(fg_slots_spare_age_ms(s, 1000), ==, 0);
	step = fg_slots_next(s, 1000, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_LOAD);
	g_assert_cmpstr(step.adapter, ==, "");
	fg_slots_handle_result(s, 1000, FG_WIRE_ORDER_ACCEPTED);
	step = fg_slots_next(s, 1001, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_NOTHING);
	step = fg_slots_next(s, 4000, true);
	g_assert_cmpstr(step.adapter, ==, "");
	fg_slots_handle_result(s, 4000, FG_WIRE_ORDER_ALREADY_DONE);
	fg_slots_request_load(s, 4000, MODEL, "a1", 0);
	step = fg_slots_next(s, 4000, true);
	g_assert_cmpstr(step.adapter, ==, "a1");
	g_assert_cmpuint(step.expected_sequence, ==, 1);
	fg_slots_free(s);
}

static void fill_slots(struct fg_slots *s, fg_ms now)
{
	static const char *const names[SLOTS] = { "a1", "a2", "a3" };

	for (uint32_t i = 0; i < SLOTS; i++) {
		fg_slots_request_load(s, now + i, MODEL, names[i], 0);
		g_assert_cmpint(fg_slots_next(s, now + i, true).act, ==,
				FG_SLOTS_LOAD);
		fg_slots_handle_result(s, now + i, FG_WIRE_ORDER_ALREADY_DONE);
	}
}

static void test_evicts_least_recently_used(void)
{
	struct fg_slots *s = slots_new();
	struct fg_slots_step step;

	sync_without_adapters(s, 1000, 0);
	fill_slots(s, 1000);
	fg_slots_mark_used(s, 5000, key_of("a1"));
	fg_slots_mark_used(s, 4950, key_of("a3"));
	fg_slots_request_load(s, 5000, MODEL, "a4", 0);
	step = fg_slots_next(s, 5000, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_UNLOAD);
	g_assert_cmpstr(step.adapter, ==, "a2");
	/* No load starts while the unload waits for runs to end. */
	fg_slots_handle_result(s, 5000, FG_WIRE_ORDER_ACCEPTED);
	step = fg_slots_next(s, 5001, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_NOTHING);
	step = fg_slots_next(s, 5100, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_UNLOAD);
	fg_slots_handle_result(s, 5100, FG_WIRE_ORDER_ALREADY_DONE);
	step = fg_slots_next(s, 5100, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_LOAD);
	g_assert_cmpstr(step.adapter, ==, "a4");
	fg_slots_free(s);
}

static void test_no_eviction_when_all_in_use(void)
{
	struct fg_slots *s = slots_new();

	sync_without_adapters(s, 1000, 0);
	fill_slots(s, 1000);
	for (uint32_t i = 1; i <= SLOTS; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "a%u", i);
		fg_slots_mark_used(s, 2000, key_of(name));
	}
	g_assert_cmpuint(fg_slots_spare_age_ms(s, 2000), ==, 0);
	fg_slots_request_load(s, 2000, MODEL, "a4", 0);
	g_assert_cmpint(fg_slots_next(s, 2000, true).act, ==, FG_SLOTS_NOTHING);
	fg_slots_free(s);
}

static void test_outdated_version_is_reloaded(void)
{
	struct fg_slots *s = slots_new();
	struct fg_fleet_held resident[FG_SLOTS_MAX + 1];
	struct fg_slots_step step;

	sync_without_adapters(s, 1000, 0);
	fill_slots(s, 1000);
	g_assert_cmpuint(fg_slots_list_resident(s, resident), ==, SLOTS + 1);
	fg_slots_announce_version(s, key_of("a2"), 5);
	g_assert_cmpuint(fg_slots_list_resident(s, resident), ==, SLOTS);
	step = fg_slots_next(s, 1100, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_LOAD);
	g_assert_cmpstr(step.adapter, ==, "a2");
	g_assert_cmpuint(step.version, ==, 5);
	fg_slots_handle_result(s, 1100, FG_WIRE_ORDER_ALREADY_DONE);
	g_assert_cmpuint(fg_slots_list_resident(s, resident), ==, SLOTS + 1);
	g_assert_cmpint(fg_slots_next(s, 1101, true).act, ==, FG_SLOTS_NOTHING);
	fg_slots_free(s);
}

/* A report may be older than the conflict that it was requested for. */
static void test_outdated_report_is_ignored(void)
{
	struct fg_slots *s = slots_new();
	struct fg_engine_report report = base_report(0);
	struct fg_slots_step step;

	sync_without_adapters(s, 1000, 0);
	fg_slots_request_load(s, 1000, MODEL, "a1", 0);
	fg_slots_next(s, 1000, true);
	fg_slots_handle_result(s, 1000, FG_WIRE_ORDER_CONFLICT);
	g_assert_cmpint(fg_slots_next(s, 1000, true).act, ==, FG_SLOTS_REPORT);
	fg_slots_handle_report(s, 1001, &report);
	step = fg_slots_next(s, 1002, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_NOTHING);
	step = fg_slots_next(s, step.wake_at, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_REPORT);
	report.sequence = 1;
	fg_slots_handle_report(s, 1200, &report);
	fg_slots_request_load(s, 1200, MODEL, "a1", 0);
	step = fg_slots_next(s, 1200, true);
	g_assert_cmpuint(step.expected_sequence, ==, 1);
	fg_slots_free(s);
}

static void test_recent_request_first(void)
{
	struct fg_slots *s = slots_new();
	struct fg_slots_step step;

	sync_without_adapters(s, 1000, 0);
	fg_slots_request_load(s, 1000, MODEL, "old", 0);
	for (fg_ms now = 1100; now < 2000; now += 100)
		fg_slots_request_load(s, now, MODEL, "old", 0);
	fg_slots_request_load(s, 2000, MODEL, "young", 0);
	g_assert_cmpint(fg_slots_next(s, 2000, false).act, ==,
			FG_SLOTS_NOTHING);
	step = fg_slots_next(s, 2000, true);
	g_assert_cmpstr(step.adapter, ==, "young");
	fg_slots_free(s);
}

/* ---- Random interleavings, one per seed ---- */

/* Models an engine as the platform specifies it: the engine checks the
 * sequence, may apply an order late or lose the answer to it, and reports with
 * a lag. */
struct engine {
	char resident[64][FG_FLEET_NAME_BYTES];
	uint32_t n;
	uint64_t sequence;
	struct fg_engine_report lagged_report;
	struct {
		bool load;
		char adapter[FG_FLEET_NAME_BYTES];
		uint64_t expected;
		fg_ms at;
	} delayed[8];
	uint32_t n_delayed;
	uint32_t most; /* adapters that it holds without a crash */
};

static int index_of(const struct engine *e, const char *adapter)
{
	for (uint32_t i = 0; i < e->n; i++) {
		if (strcmp(e->resident[i], adapter) == 0)
			return (int)i;
	}
	return -1;
}

static enum fg_wire_order_result engine_order(struct engine *e, bool load,
					      const char *adapter,
					      uint64_t expected)
{
	int at = index_of(e, adapter);

	if (load == (at >= 0))
		return FG_WIRE_ORDER_ALREADY_DONE;
	if (expected != e->sequence)
		return FG_WIRE_ORDER_CONFLICT;
	e->sequence++;
	if (load)
		g_strlcpy(e->resident[e->n++], adapter, FG_FLEET_NAME_BYTES);
	else
		g_strlcpy(e->resident[at], e->resident[--e->n],
			  FG_FLEET_NAME_BYTES);
	/* An engine that is overfilled crashes. */
	g_assert_cmpuint(e->n, <=, e->most);
	return load ? FG_WIRE_ORDER_ACCEPTED : FG_WIRE_ORDER_ALREADY_DONE;
}

static struct fg_engine_report engine_report(const struct engine *e)
{
	struct fg_engine_report report = base_report(e->sequence);

	for (uint32_t i = 0; i < e->n; i++)
		set_resident(&report.resident[report.n_resident++],
			     e->resident[i], 1);
	return report;
}

static void apply_delayed(struct engine *e, fg_ms now)
{
	for (uint32_t i = e->n_delayed; i > 0; i--) {
		if (e->delayed[i - 1].at > now)
			continue;
		engine_order(e, e->delayed[i - 1].load,
			     e->delayed[i - 1].adapter,
			     e->delayed[i - 1].expected);
		e->delayed[i - 1] = e->delayed[--e->n_delayed];
	}
}

static void send_order(struct engine *e, struct fg_slots *s, fg_ms now,
		       const struct fg_slots_step *step, struct fg_rand *rand)
{
	bool load = step->act == FG_SLOTS_LOAD;
	char adapter[FG_FLEET_NAME_BYTES];
	enum fg_wire_order_result result;

	g_strlcpy(adapter, step->adapter, sizeof(adapter));
	switch (fg_rand_below(rand, 6)) {
	case 0: /* no answer, applied later */
		if (e->n_delayed < G_N_ELEMENTS(e->delayed)) {
			e->delayed[e->n_delayed].load = load;
			e->delayed[e->n_delayed].expected =
				step->expected_sequence;
			e->delayed[e->n_delayed].at =
				now + (fg_ms)fg_rand_below(rand, 5000);
			g_strlcpy(e->delayed[e->n_delayed++].adapter, adapter,
				  sizeof(e->delayed[0].adapter));
		}
		fg_slots_handle_result(s, now, FG_WIRE_ORDER_UNKNOWN);
		break;
	case 1: /* applied, answer lost */
		engine_order(e, load, adapter, step->expected_sequence);
		fg_slots_handle_result(s, now, FG_WIRE_ORDER_UNKNOWN);
		break;
	default:
		result =
			engine_order(e, load, adapter, step->expected_sequence);
		fg_slots_handle_result(s, now, result);
	}
}

/* Plays an engine that answers late, loses answers and carries orders out late;
 * it holds `most` adapters. Frees `s`. */
static void run_seed(struct fg_slots *s, uint32_t most, uint64_t seed)
{
	struct engine e = { .most = most };
	struct fg_rand rand;
	uint32_t resident_answers = 0;

	fg_rand_seed(&rand, seed);
	e.lagged_report = engine_report(&e);
	for (fg_ms now = 1000; now < 60000; now += 10) {
		struct fg_slots_step step;
		char name[8];

		apply_delayed(&e, now);
		if (now % 200 == 0)
			e.lagged_report = engine_report(&e);
		g_snprintf(name, sizeof(name), "a%u",
			   (unsigned int)fg_rand_below(&rand, 8));
		if (now % 100 == 0)
			resident_answers +=
				fg_slots_request_load(s, now, MODEL, name, 0) ==
						FG_SLOT_RESIDENT
					? 1
					: 0;
		step = fg_slots_next(s, now, true);
		if (step.act == FG_SLOTS_REPORT)
			fg_slots_handle_report(s, now,
					       fg_rand_below(&rand, 5) == 0
						       ? NULL
						       : &e.lagged_report);
		else if (step.act != FG_SLOTS_NOTHING)
			send_order(&e, s, now, &step, &rand);
	}
	/* Requests still find their adapter resident despite the faults. */
	g_assert_cmpuint(resident_answers, >, 20);
	fg_slots_free(s);
}

static void test_seeds(void)
{
	for (uint64_t seed = 1; seed <= 200; seed++)
		run_seed(slots_new(), SLOTS, seed);
}

/* ---- Memory ---- */

#define MODEL_KB 65500
#define ADAPTER_KB 150

static struct fg_slots *slots_with_memory(uint32_t slots, uint64_t memory_kb)
{
	const struct fg_slots_model models[] = {
		{ MODEL, MODEL_KB, ADAPTER_KB },
		{ "small", 1000, 10 },
	};
	struct fg_slots_conf conf = {
		.limits = { .slots = slots,
			    .memory_kb = memory_kb,
			    .models = models,
			    .n_models = G_N_ELEMENTS(models) },
		.load_ms = 250,
		.loads_max = 4,
		.queue_max = 6,
		.request_ttl_ms = 100000,
	};

	return fg_slots_new(&conf);
}

/* Requests a1 to aN at `now` and returns how many loads are ordered, of which
 * the engine accepts each. */
static uint32_t order_loads(struct fg_slots *s, fg_ms now, uint32_t n)
{
	uint32_t loads = 0;

	for (uint32_t i = 1; i <= n; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "a%u", i);
		fg_slots_request_load(s, now, MODEL, name, 0);
	}
	while (fg_slots_next(s, now, true).act == FG_SLOTS_LOAD) {
		fg_slots_handle_result(s, now, FG_WIRE_ORDER_ACCEPTED);
		loads++;
	}
	return loads;
}

/* Guards against an engine that crashes because its memory holds fewer adapters
 * than it has slots. */
static void test_memory_binds(void)
{
	const struct {
		uint64_t memory_kb;
		uint32_t loads;
	} cases[] = {
		{ 0, 4 }, /* not stated: loads_max binds */
		{ MODEL_KB + 3 * ADAPTER_KB, 3 },
		{ MODEL_KB + 3 * ADAPTER_KB - 1, 2 },
		{ MODEL_KB + ADAPTER_KB, 1 },
		{ MODEL_KB + ADAPTER_KB - 1, 0 },
		{ MODEL_KB, 0 },
		{ UINT64_MAX, 4 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fg_slots *s = slots_with_memory(6, cases[i].memory_kb);

		sync_without_adapters(s, 1000, 0);
		g_assert_cmpuint(order_loads(s, 1000, 6), ==, cases[i].loads);
		fg_slots_free(s);
	}
}

/* An unload frees room when the engine has confirmed it, not when it is
 * ordered. */
static void test_unload_frees_room_when_confirmed(void)
{
	struct fg_slots *s = slots_with_memory(6, MODEL_KB + ADAPTER_KB);
	struct fg_engine_report report = base_report(0);
	struct fg_slots_step step;

	set_resident(&report.resident[report.n_resident++], "old", 1);
	fg_slots_next(s, 1000, true);
	fg_slots_handle_report(s, 1000, &report);
	fg_slots_request_load(s, 1000, MODEL, "a1", 0);
	g_assert_cmpint(fg_slots_next(s, 1000, true).act, ==, FG_SLOTS_NOTHING);
	step = fg_slots_next(s, 1000 + FG_SLOTS_MIN_IDLE_MS, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_UNLOAD);
	fg_slots_handle_result(s, 1201, FG_WIRE_ORDER_ACCEPTED);
	g_assert_cmpint(fg_slots_next(s, 1202, true).act, ==, FG_SLOTS_NOTHING);
	step = fg_slots_next(s, 1300, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_UNLOAD);
	fg_slots_handle_result(s, 1300, FG_WIRE_ORDER_ALREADY_DONE);
	g_assert_cmpint(fg_slots_next(s, 1301, true).act, ==, FG_SLOTS_LOAD);
	fg_slots_free(s);
}

/* What a report calls loading takes room, and so do other base models. */
static void test_reported_takes_room(void)
{
	struct fg_slots *s =
		slots_with_memory(6, MODEL_KB + 1000 + 2 * ADAPTER_KB);
	struct fg_engine_report report = base_report(0);

	set_resident(&report.loading[report.n_loading++], "coming", 1);
	set_resident(&report.resident[report.n_resident], "", 1);
	g_strlcpy(report.resident[report.n_resident++].model, "small",
		  FG_FLEET_NAME_BYTES);
	fg_slots_next(s, 1000, true);
	fg_slots_handle_report(s, 1000, &report);
	g_assert_cmpuint(order_loads(s, 1000, 3), ==, 1);
	fg_slots_free(s);
}

/* A lower limit, or larger adapters, while all slots are resident: nothing is
 * loaded until there is room again, and nothing in use is unloaded. */
static void test_limits_shrink(void)
{
	const struct fg_slots_model larger = { MODEL, MODEL_KB,
					       4 * ADAPTER_KB };
	struct fg_slots_limits limits = {
		.slots = 6,
		.memory_kb = MODEL_KB + 4 * ADAPTER_KB,
		.models = &larger,
		.n_models = 1,
	};
	struct fg_slots *s = slots_with_memory(6, MODEL_KB + 4 * ADAPTER_KB);
	struct fg_engine_report report = base_report(0);
	uint32_t unloads = 0;

	for (uint32_t i = 0; i < 4; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "b%u", i);
		set_resident(&report.resident[report.n_resident++], name, 1);
	}
	fg_slots_next(s, 1000, true);
	fg_slots_handle_report(s, 1000, &report);
	fg_slots_set_limits(s, &limits);
	for (fg_ms now = 1000; now < 3000; now += 10) {
		struct fg_slots_step step;

		fg_slots_mark_used(s, now, key_of("b0"));
		fg_slots_request_load(s, now, MODEL, "a1", 0);
		step = fg_slots_next(s, now, true);
		g_assert_cmpint(step.act, !=, FG_SLOTS_LOAD);
		if (step.act == FG_SLOTS_UNLOAD) {
			fg_slots_handle_result(s, now,
					       FG_WIRE_ORDER_ALREADY_DONE);
			unloads++;
		}
	}
	/* With b0 in use, no number of unloads makes room. */
	g_assert_cmpuint(unloads, ==, 0);
	for (fg_ms now = 3000; now < 4000; now += 10) {
		struct fg_slots_step step;

		fg_slots_request_load(s, now, MODEL, "a1", 0);
		step = fg_slots_next(s, now, true);
		if (step.act == FG_SLOTS_LOAD)
			break;
		if (step.act == FG_SLOTS_UNLOAD) {
			fg_slots_handle_result(s, now,
					       FG_WIRE_ORDER_ALREADY_DONE);
			unloads++;
		}
	}
	g_assert_cmpuint(unloads, ==, 4);
	fg_slots_free(s);
}

/* Random sizes, of which sometimes the slots and sometimes the memory binds. */
static void test_memory_seeds(void)
{
	for (uint64_t seed = 1; seed <= 200; seed++) {
		struct fg_rand rand;
		uint32_t slots;
		uint64_t model_kb;
		uint64_t adapter_kb;
		uint32_t fit;
		struct fg_slots_model model = { .name = MODEL };
		struct fg_slots_conf conf = { .load_ms = 250,
					      .loads_max = 4,
					      .queue_max = 6,
					      .request_ttl_ms = 1500 };

		fg_rand_seed(&rand, seed);
		slots = 2 + (uint32_t)fg_rand_below(&rand, 5);
		fit = 2 + (uint32_t)fg_rand_below(&rand, 5);
		model_kb = fg_rand_below(&rand, 100000);
		adapter_kb = 1 + fg_rand_below(&rand, 1000);
		model.weights_kb = model_kb;
		model.adapter_kb = adapter_kb;
		conf.limits = (struct fg_slots_limits){
			.slots = slots,
			.memory_kb = model_kb + fit * adapter_kb +
				     fg_rand_below(&rand, adapter_kb),
			.models = &model,
			.n_models = 1,
		};
		run_seed(fg_slots_new(&conf), MIN(slots, fit), seed);
	}
}

/* An adapter or a base model that is larger than the engine is never ordered.
 */
static void test_larger_than_engine(void)
{
	struct fg_slots *s = slots_with_memory(6, MODEL_KB);
	struct fg_engine_report empty = { .sequence = 0 };
	struct fg_slots_limits none = { .slots = 6, .memory_kb = 500 };
	struct fg_slots_step step;

	sync_without_adapters(s, 1000, 0);
	g_assert_cmpint(fg_slots_request_load(s, 1000, MODEL, "a1", 0), ==,
			FG_SLOT_FULL);
	fg_slots_free(s);
	/* Of two models, an empty engine loads the one that fits. */
	s = slots_with_memory(6, 2000);
	fg_slots_next(s, 1000, true);
	fg_slots_handle_report(s, 1000, &empty);
	step = fg_slots_next(s, 1000, true);
	g_assert_cmpint(step.act, ==, FG_SLOTS_LOAD);
	g_assert_cmpstr(step.model, ==, "small");
	fg_slots_free(s);
	s = slots_with_memory(6, 500);
	fg_slots_next(s, 1000, true);
	fg_slots_handle_report(s, 1000, &empty);
	g_assert_cmpint(fg_slots_next(s, 1000, true).act, ==, FG_SLOTS_NOTHING);
	/* A model that is no longer configured leaves no room that is known. */
	fg_slots_set_limits(s, &none);
	g_assert_cmpint(fg_slots_next(s, 1000, true).act, ==, FG_SLOTS_NOTHING);
	fg_slots_free(s);
}

/* ---- Names ---- */

/* Guards against a name that is cut off in a slot and not in its key: the
 * adapter was never found to be there, and was loaded twice. */
static void test_names(void)
{
	static const size_t lens[] = { 1,
				       FG_FLEET_NAME_BYTES - 2,
				       FG_FLEET_NAME_BYTES - 1,
				       FG_FLEET_NAME_BYTES,
				       FG_FLEET_NAME_BYTES + 1,
				       8000 };

	for (size_t i = 0; i < G_N_ELEMENTS(lens); i++) {
		struct fg_slots *s = slots_new();
		g_autofree char *name = g_strnfill(lens[i], 'n');
		bool usable = lens[i] < FG_FLEET_NAME_BYTES;
		uint32_t loads = 0;

		g_assert_cmpint(fg_name_is_usable(name), ==, usable);
		sync_without_adapters(s, 1000, 0);
		for (fg_ms now = 1000; now < 2000; now += 10) {
			struct fg_slots_step step;

			g_assert_cmpint(
				fg_slots_request_load(s, now, MODEL, name, 0),
				==, usable ? FG_SLOT_PENDING : FG_SLOT_FULL);
			step = fg_slots_next(s, now, true);
			if (step.act == FG_SLOTS_NOTHING)
				continue;
			loads++;
			fg_slots_handle_result(s, now, FG_WIRE_ORDER_ACCEPTED);
		}
		g_assert_cmpint(loads > 0, ==, usable);
		fg_slots_free(s);
	}
	g_assert_false(fg_name_is_usable(""));
	g_assert_false(fg_name_is_usable("\xff\xfe"));
	g_assert_false(fg_name_is_usable("\xc3"));
	g_assert_true(fg_name_is_usable("\xc3\xa9"));
}

/* ---- Load window ---- */

static void test_loadgate(void)
{
	struct fg_loadgate g;

	fg_loadgate_init(&g, 250);
	g_assert_true(fg_loadgate_is_open(&g, 1));
	g_assert_false(fg_loadgate_is_open(&g, 2));
	for (int i = 0; i < 40; i++)
		fg_loadgate_record_load(&g, 260, 8);
	g_assert_true(fg_loadgate_is_open(&g, 4));
	for (int i = 0; i < 20; i++)
		fg_loadgate_record_load(&g, 900, 8);
	g_assert_true(fg_loadgate_is_open(&g, 0));
	g_assert_false(fg_loadgate_is_open(&g, 1));
	g_assert_cmpuint(fg_loadgate_wait_ms(&g, 0, 0), ==, 0);
	g_assert_cmpuint(fg_loadgate_wait_ms(&g, 1, 2), >, 1500);
	/* Loads that leave the window unused do not widen it. */
	fg_loadgate_init(&g, 250);
	for (int i = 0; i < 20; i++)
		fg_loadgate_record_load(&g, 250, 0);
	g_assert_false(fg_loadgate_is_open(&g, 2));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/slots/load", test_load_and_confirm);
	g_test_add_func("/slots/repeat", test_repeat_is_not_counted);
	g_test_add_func("/slots/want_met", test_request_satisfied_by_report);
	g_test_add_func("/slots/base_model", test_base_model_loads_first);
	g_test_add_func("/slots/victim", test_evicts_least_recently_used);
	g_test_add_func("/slots/none_idle", test_no_eviction_when_all_in_use);
	g_test_add_func("/slots/version", test_outdated_version_is_reloaded);
	g_test_add_func("/slots/old_report", test_outdated_report_is_ignored);
	g_test_add_func("/slots/young_first", test_recent_request_first);
	g_test_add_func("/slots/seeds", test_seeds);
	g_test_add_func("/slots/memory_binds", test_memory_binds);
	g_test_add_func("/slots/unload_frees_room_when_confirmed",
			test_unload_frees_room_when_confirmed);
	g_test_add_func("/slots/reported_takes_room", test_reported_takes_room);
	g_test_add_func("/slots/limits_shrink", test_limits_shrink);
	g_test_add_func("/slots/larger_than_engine", test_larger_than_engine);
	g_test_add_func("/slots/memory_seeds", test_memory_seeds);
	g_test_add_func("/slots/names", test_names);
	g_test_add_func("/slots/loadgate", test_loadgate);
	return g_test_run();
}
