/*
 * Checks that the engine stand-in behaves as docs/PROTOCOL.md says, with and
 * without injected faults.
 */
#include <pthread.h>
#include <stdbool.h>
#include <string.h>

#include "si_harness.h"

#define PORT_OFFSET 920

static struct proc start_engine(const struct proc *platform, const char *more)
{
	char *at = g_strconcat("--platform=", platform->addr, NULL);
	const char *const options[] = { at,	     "--service=m", "--slots=2",
					"--batch=2", more,	    NULL };
	struct proc proc = start_standin("engine", options);

	g_free(at);
	return proc;
}

static void load_adapter(const struct proc *engine, int slot,
			 const char *adapter, int fence, long status)
{
	char *body = g_strdup_printf("{\"order\":1,\"slot\":%d,\"adapter\":"
				     "\"%s\",\"version\":\"v1\",\"fence\":%d}",
				     slot, adapter, fence);

	check_status(engine->addr, "/v1/load", body, status);
	g_free(body);
}

static char *run_body(const char *id, const char *adapter, int tokens,
		      int priority)
{
	return g_strdup_printf("{\"id\":\"%s\",\"tag\":\"t-%s\",\"adapter\":"
			       "\"%s\",\"version\":\"v1\",\"prompt\":\"p\","
			       "\"max_tokens\":%d,\"priority\":%d,"
			       "\"timeout_ms\":8000}",
			       id, id, adapter, tokens, priority);
}

static void test_engine_orders(void)
{
	struct proc p = start_platform("--loads-per-s=0");
	struct proc e = start_engine(&p, "--checks-fence");
	char *body = run_body("r1", "a", 3, 1);

	check_contains(e.addr, "/v1/run", body, 404, "not_loaded");
	load_adapter(&e, 0, "a", 5, 200);
	check_contains(e.addr, "/v1/run", body, 200, "\"n\":3}");
	check_contains(e.addr, "/v1/evict",
		       "{\"order\":2,\"slot\":0,\"fence\":4}", 409,
		       "{\"error\":\"fenced\",\"fence\":5}");
	send_control(&e, "{\"op\":\"fail_load\",\"count\":1}");
	load_adapter(&e, 0, "b", 5, 503);
	/* A failed load leaves the slot empty. */
	check_contains(e.addr, "/v1/run", body, 404, "not_loaded");
	load_adapter(&e, 0, "a", 5, 200);
	send_control(&e, "{\"op\":\"restart_empty\"}");
	check_contains(e.addr, "/v1/run", body, 404, "not_loaded");
	check_contains(e.addr, "/v1/state", NULL, 200, "\"fence\":0");
	g_free(body);
	stop_standin(&e);
	stop_standin(&p);
}

struct pending_run {
	const struct proc *engine;
	char *body;
	struct answer res;
	pthread_t thread;
};

static void *wait_for_answer(void *arg)
{
	struct pending_run *b = arg;

	b->res = send_request(b->engine->addr, "/v1/run", b->body);
	return NULL;
}

static void start_run(struct pending_run *b, const struct proc *engine,
		      const char *id, int tokens, int priority)
{
	b->engine = engine;
	b->body = run_body(id, "a", tokens, priority);
	pthread_create(&b->thread, NULL, wait_for_answer, b);
}

static void finish_run(struct pending_run *b, long status, const char *part)
{
	pthread_join(b->thread, NULL);
	g_assert_cmpint(b->res.status, ==, status);
	if (!strstr(b->res.text->str, part))
		g_error("%s not in %s", part, b->res.text->str);
	answer_clear(&b->res);
	g_free(b->body);
}

static void wait_for_log(const struct proc *proc, const char *part)
{
	for (int i = 0; i < SI_READY_TRIES; i++) {
		struct answer res =
			send_request(proc->control, "/control/log", NULL);
		bool found = strstr(res.text->str, part) != NULL;

		answer_clear(&res);
		if (found)
			return;
		g_usleep(SI_READY_WAIT_US);
	}
	g_error("%s is not in the log", part);
}

/* An eviction during a run is visible in the log and in the answer. */
static void test_engine_replaced_in_use(void)
{
	struct proc p = start_platform("--loads-per-s=0");
	struct proc e = start_engine(&p, NULL);
	struct pending_run run;

	load_adapter(&e, 0, "a", 9, 200);
	start_run(&run, &e, "r1", 500, 1);
	wait_for_log(&e, "\"ev\":\"run_start\",\"id\":\"r1\"");
	check_status(e.addr, "/v1/evict",
		     "{\"order\":7,\"slot\":0,\"fence\":1}", 200);
	finish_run(&run, 200, "{\"error\":\"adapter_gone\"}");
	check_contains(e.control, "/control/log", NULL, 200,
		       "\"order\":7,\"slot\":0,\"adapter\":\"a\","
		       "\"version\":\"v1\",\"fence\":1,\"running\":1");
	stop_standin(&e);
	stop_standin(&p);
}

static void wait_for_running(const struct proc *engine, size_t wanted)
{
	size_t n = 0;

	for (int i = 0; i < SI_READY_TRIES && n != wanted; i++) {
		struct answer res =
			send_request(engine->addr, "/v1/state", NULL);

		n = json_array_size(json_object_get(res.body, "running"));
		answer_clear(&res);
		g_usleep(SI_READY_WAIT_US);
	}
	g_assert_cmpuint(n, ==, wanted);
}

/* When the batch is full, the more urgent of two queued requests starts first.
 */
static void test_engine_batch(void)
{
	struct proc p = start_platform("--loads-per-s=0");
	struct proc e = start_engine(&p, NULL);
	struct pending_run runs[4];

	load_adapter(&e, 0, "a", 1, 200);
	start_run(&runs[0], &e, "r0", 5000, 1);
	start_run(&runs[1], &e, "r1", 5000, 1);
	wait_for_log(&e, "\"ev\":\"run_start\",\"id\":\"r0\"");
	wait_for_log(&e, "\"ev\":\"run_start\",\"id\":\"r1\"");
	start_run(&runs[2], &e, "late", 2, 5);
	start_run(&runs[3], &e, "urgent", 2, 0);
	wait_for_running(&e, 4);
	check_status(e.addr, "/v1/cancel", "{\"id\":\"r0\"}", 200);
	finish_run(&runs[0], 200, "{\"error\":\"cancelled\"}");
	finish_run(&runs[3], 200, "\"id\":\"urgent\"");
	finish_run(&runs[2], 200, "\"id\":\"late\"");
	check_status(e.addr, "/v1/cancel", "{\"id\":\"r1\"}", 200);
	finish_run(&runs[1], 200, "{\"error\":\"cancelled\"}");
	stop_standin(&e);
	stop_standin(&p);
}

static void test_engine_answer_faults(void)
{
	struct proc p = start_platform("--loads-per-s=0");
	struct proc e = start_engine(&p, NULL);
	struct pending_run one, other;
	char *body = run_body("r1", "a", 4, 1);
	char *text;

	load_adapter(&e, 0, "a", 1, 200);
	send_control(&e, "{\"op\":\"truncate\",\"count\":2}");
	text = request_text(e.addr, "/v1/run", body, 200);
	g_assert_null(strstr(text, "\"end\""));
	g_free(text);
	check_status(e.addr, "/v1/run", body, 0);
	send_control(&e, "{\"op\":\"refuse\",\"count\":1}");
	check_contains(e.addr, "/v1/run", body, 429, "full");
	send_control(&e, "{\"op\":\"garble\",\"count\":1}");
	check_contains(e.addr, "/v1/run", body, 200, "garbled");
	send_control(&e, "{\"op\":\"cross\"}");
	/* A run without a partner gets its own answer. */
	check_contains(e.addr, "/v1/run", body, 200, "\"id\":\"r1\"");
	start_run(&one, &e, "one", 3, 1);
	start_run(&other, &e, "other", 3, 1);
	finish_run(&one, 200, "\"id\":\"other\"");
	finish_run(&other, 200, "\"id\":\"one\"");
	check_contains(e.addr, "/v1/run", body, 200, "\"id\":\"r1\"");
	g_free(body);
	stop_standin(&e);
	stop_standin(&p);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	si_harness_init(argv[0], PORT_OFFSET);
	g_test_add_func("/standin/engine_orders", test_engine_orders);
	g_test_add_func("/standin/replaced_in_use",
			test_engine_replaced_in_use);
	g_test_add_func("/standin/batch", test_engine_batch);
	g_test_add_func("/standin/answer_faults", test_engine_answer_faults);
	status = g_test_run();
	si_harness_free();
	return status;
}
