/*
 * The engine keeps what docs/PROTOCOL.md promises of it, faults included.
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
	struct proc proc = start("engine", options);

	g_free(at);
	return proc;
}

static void load(const struct proc *engine, int slot, const char *adapter,
		 int fence, long status)
{
	char *body = g_strdup_printf("{\"order\":1,\"slot\":%d,\"adapter\":"
				     "\"%s\",\"version\":\"v1\",\"fence\":%d}",
				     slot, adapter, fence);

	ask_status(engine->addr, "/v1/load", body, status);
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

	ask_contains(e.addr, "/v1/run", body, 404, "not_loaded");
	load(&e, 0, "a", 5, 200);
	ask_contains(e.addr, "/v1/run", body, 200, "\"n\":3}");
	ask_contains(e.addr, "/v1/evict",
		     "{\"order\":2,\"slot\":0,\"fence\":4}", 409,
		     "{\"error\":\"fenced\",\"fence\":5}");
	control(&e, "{\"op\":\"fail_load\",\"count\":1}");
	load(&e, 0, "b", 5, 503);
	/* A failed load has emptied the slot. */
	ask_contains(e.addr, "/v1/run", body, 404, "not_loaded");
	load(&e, 0, "a", 5, 200);
	control(&e, "{\"op\":\"restart_empty\"}");
	ask_contains(e.addr, "/v1/run", body, 404, "not_loaded");
	ask_contains(e.addr, "/v1/state", NULL, 200, "\"fence\":0");
	g_free(body);
	stop(&e);
	stop(&p);
}

struct background {
	const struct proc *engine;
	char *body;
	struct answer res;
	pthread_t thread;
};

static void *run_background(void *arg)
{
	struct background *b = arg;

	b->res = ask(b->engine->addr, "/v1/run", b->body);
	return NULL;
}

static void begin_run(struct background *b, const struct proc *engine,
		      const char *id, int tokens, int priority)
{
	b->engine = engine;
	b->body = run_body(id, "a", tokens, priority);
	pthread_create(&b->thread, NULL, run_background, b);
}

static void end_run(struct background *b, long status, const char *part)
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
		struct answer res = ask(proc->control, "/control/log", NULL);
		bool found = strstr(res.text->str, part) != NULL;

		answer_clear(&res);
		if (found)
			return;
		g_usleep(SI_READY_WAIT_US);
	}
	g_error("%s is not in the log", part);
}

/* A wrong order shows in the log and in the answer. */
static void test_engine_replaced_in_use(void)
{
	struct proc p = start_platform("--loads-per-s=0");
	struct proc e = start_engine(&p, NULL);
	struct background run;

	load(&e, 0, "a", 9, 200);
	begin_run(&run, &e, "r1", 500, 1);
	wait_for_log(&e, "\"ev\":\"run_start\",\"id\":\"r1\"");
	ask_status(e.addr, "/v1/evict", "{\"order\":7,\"slot\":0,\"fence\":1}",
		   200);
	end_run(&run, 200, "{\"error\":\"adapter_gone\"}");
	ask_contains(e.control, "/control/log", NULL, 200,
		     "\"order\":7,\"slot\":0,\"adapter\":\"a\","
		     "\"version\":\"v1\",\"fence\":1,\"running\":1");
	stop(&e);
	stop(&p);
}

static void wait_for_running(const struct proc *engine, size_t wanted)
{
	size_t n = 0;

	for (int i = 0; i < SI_READY_TRIES && n != wanted; i++) {
		struct answer res = ask(engine->addr, "/v1/state", NULL);

		n = json_array_size(json_object_get(res.body, "running"));
		answer_clear(&res);
		g_usleep(SI_READY_WAIT_US);
	}
	g_assert_cmpuint(n, ==, wanted);
}

/* With a full batch the more urgent of two queued requests goes first. */
static void test_engine_batch(void)
{
	struct proc p = start_platform("--loads-per-s=0");
	struct proc e = start_engine(&p, NULL);
	struct background runs[4];

	load(&e, 0, "a", 1, 200);
	begin_run(&runs[0], &e, "r0", 5000, 1);
	begin_run(&runs[1], &e, "r1", 5000, 1);
	wait_for_log(&e, "\"ev\":\"run_start\",\"id\":\"r0\"");
	wait_for_log(&e, "\"ev\":\"run_start\",\"id\":\"r1\"");
	begin_run(&runs[2], &e, "late", 2, 5);
	begin_run(&runs[3], &e, "urgent", 2, 0);
	wait_for_running(&e, 4);
	ask_status(e.addr, "/v1/cancel", "{\"id\":\"r0\"}", 200);
	end_run(&runs[0], 200, "{\"error\":\"cancelled\"}");
	end_run(&runs[3], 200, "\"id\":\"urgent\"");
	end_run(&runs[2], 200, "\"id\":\"late\"");
	ask_status(e.addr, "/v1/cancel", "{\"id\":\"r1\"}", 200);
	end_run(&runs[1], 200, "{\"error\":\"cancelled\"}");
	stop(&e);
	stop(&p);
}

static void test_engine_answer_faults(void)
{
	struct proc p = start_platform("--loads-per-s=0");
	struct proc e = start_engine(&p, NULL);
	struct background one, other;
	char *body = run_body("r1", "a", 4, 1);
	char *text;

	load(&e, 0, "a", 1, 200);
	control(&e, "{\"op\":\"truncate\",\"count\":2}");
	text = ask_text(e.addr, "/v1/run", body, 200);
	g_assert_null(strstr(text, "\"end\""));
	g_free(text);
	ask_status(e.addr, "/v1/run", body, 0);
	control(&e, "{\"op\":\"refuse\",\"count\":1}");
	ask_contains(e.addr, "/v1/run", body, 429, "full");
	control(&e, "{\"op\":\"garble\",\"count\":1}");
	ask_contains(e.addr, "/v1/run", body, 200, "garbled");
	control(&e, "{\"op\":\"cross\"}");
	/* Alone it waits in vain for a partner and gets its own answer. */
	ask_contains(e.addr, "/v1/run", body, 200, "\"id\":\"r1\"");
	begin_run(&one, &e, "one", 3, 1);
	begin_run(&other, &e, "other", 3, 1);
	end_run(&one, 200, "\"id\":\"other\"");
	end_run(&other, 200, "\"id\":\"one\"");
	ask_contains(e.addr, "/v1/run", body, 200, "\"id\":\"r1\"");
	g_free(body);
	stop(&e);
	stop(&p);
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
