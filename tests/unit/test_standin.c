/*
 * The stand-ins keep what docs/PROTOCOL.md promises of them, faults included:
 * a wrong stand-in would make every other test worthless.
 */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "base/fg_clock.h"

#define PORT_BASE_DEFAULT 22000
#define READY_TRIES 500
#define READY_WAIT_US 10000
#define TIMEOUT_MS 10000L

static char *bin_dir;
static int next_port;

struct answer {
	long status; /* 0: no whole answer */
	GString *text;
	json_t *body; /* NULL when it is not JSON */
};

struct proc {
	GPid pid;
	char *addr;
	char *control;
};

static char *new_addr(void)
{
	return g_strdup_printf("127.0.0.1:%d", next_port++);
}

static size_t take_data(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

/* POST when body is not NULL, else GET. */
static struct answer ask(const char *addr, const char *path, const char *body)
{
	struct answer res = { .text = g_string_new(NULL) };
	char *url = g_strconcat("http://", addr, path, NULL);
	struct curl_slist *headers = curl_slist_append(NULL, "X-Instance: n1");
	CURL *curl = curl_easy_init();

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take_data);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, res.text);
	if (body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &res.status);
	res.body = json_loads(res.text->str, 0, NULL);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_free(url);
	return res;
}

static void answer_clear(struct answer *res)
{
	json_decref(res->body);
	g_string_free(res->text, TRUE);
}

/* Asks, checks the status, and returns the body's text. */
static char *ask_text(const char *addr, const char *path, const char *body,
		      long status)
{
	struct answer res = ask(addr, path, body);
	char *text = g_strdup(res.text->str);

	g_assert_cmpint(res.status, ==, status);
	answer_clear(&res);
	return text;
}

static void ask_status(const char *addr, const char *path, const char *body,
		       long status)
{
	g_free(ask_text(addr, path, body, status));
}

static void ask_contains(const char *addr, const char *path, const char *body,
			 long status, const char *part)
{
	char *text = ask_text(addr, path, body, status);

	if (!strstr(text, part))
		g_error("%s not in %s", part, text);
	g_free(text);
}

static void wait_ready(const char *addr)
{
	for (int i = 0; i < READY_TRIES; i++) {
		struct answer res = ask(addr, "/", NULL);
		long status = res.status;

		answer_clear(&res);
		if (status != 0)
			return;
		g_usleep(READY_WAIT_US);
	}
	g_error("%s does not answer", addr);
}

/* A test that fails must not leave its processes behind. */
static void end_with_parent(gpointer arg)
{
	(void)arg;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/* Options end with NULL. */
static struct proc start(const char *kind, const char *const *options)
{
	struct proc proc = { .addr = new_addr(), .control = new_addr() };
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	GError *error = NULL;

	g_ptr_array_add(argv, g_strconcat(bin_dir, "/standin-", kind, NULL));
	g_ptr_array_add(argv, g_strconcat("--listen=", proc.addr, NULL));
	g_ptr_array_add(argv, g_strconcat("--control=", proc.control, NULL));
	g_ptr_array_add(argv, g_strconcat("--name=", kind, NULL));
	for (; *options; options++)
		g_ptr_array_add(argv, g_strdup(*options));
	g_ptr_array_add(argv, NULL);
	g_spawn_async(NULL, (char **)argv->pdata, NULL,
		      G_SPAWN_DO_NOT_REAP_CHILD, end_with_parent, NULL,
		      &proc.pid, &error);
	g_assert_no_error(error);
	g_ptr_array_free(argv, TRUE);
	wait_ready(proc.addr);
	return proc;
}

static void stop(struct proc *proc)
{
	int status = 0;

	kill(proc->pid, SIGTERM);
	g_assert_cmpint(waitpid(proc->pid, &status, 0), ==, proc->pid);
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, 0);
	g_free(proc->addr);
	g_free(proc->control);
}

static void control(const struct proc *proc, const char *body)
{
	ask_status(proc->control, "/control", body, 200);
}

static struct proc start_platform(const char *option)
{
	const char *const options[] = { "--list-lag-ms=300", option, NULL };

	return start("platform", options);
}

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

static void test_table(void)
{
	struct proc p = start_platform(NULL);

	ask_contains(p.addr, "/table/txn",
		     "{\"writes\":[{\"key\":\"a\",\"expect\":0,"
		     "\"value\":\"1\"}]}",
		     200, "{\"ok\":true,\"versions\":[1]}");
	/* A check that fails keeps the other write out as well. */
	ask_contains(p.addr, "/table/txn",
		     "{\"writes\":[{\"key\":\"b\",\"value\":\"1\"},"
		     "{\"key\":\"a\",\"expect\":0,\"value\":\"2\"}]}",
		     409, "\"conflict\":{\"key\":\"a\",\"version\":1");
	ask_status(p.addr, "/table/row?key=b", NULL, 404);
	/* A version is not used again after a deletion. */
	ask_status(p.addr, "/table/txn",
		   "{\"writes\":[{\"key\":\"a\",\"value\":null}]}", 200);
	ask_contains(p.addr, "/table/txn",
		     "{\"writes\":[{\"key\":\"a\",\"expect\":0,"
		     "\"value\":\"3\"}]}",
		     200, "[3]");
	ask_status(p.addr, "/table/txn",
		   "{\"writes\":[{\"key\":\"a/1\",\"value\":\"x\"},"
		   "{\"key\":\"a/2\",\"value\":\"y\"},"
		   "{\"key\":\"b/1\",\"value\":\"z\"}]}",
		   200);
	ask_contains(p.addr, "/table/scan?prefix=a%2F&limit=1", NULL, 200,
		     "\"key\":\"a/1\"");
	ask_contains(p.addr, "/table/scan?prefix=a%2F&limit=1", NULL, 200,
		     "\"more\":true");
	ask_contains(p.addr, "/table/scan?prefix=a%2F&after=a%2F1", NULL, 200,
		     "[{\"key\":\"a/2\",\"version\":5,\"value\":\"y\"}],"
		     "\"more\":false");
	stop(&p);
}

static void test_platform_faults(void)
{
	struct proc p = start_platform("--writes-per-s=2");
	const char *write = "{\"writes\":[{\"key\":\"k\",\"value\":\"1\"}]}";

	/* The answer is lost, the write took effect. */
	control(&p, "{\"op\":\"drop_answer\",\"count\":1,"
		    "\"path\":\"/table/txn\"}");
	ask_status(p.addr, "/table/txn", write, 0);
	ask_contains(p.addr, "/table/row?key=k", NULL, 200, "\"version\":1");
	/* Over the rate nothing happens. */
	ask_status(p.addr, "/table/txn", write, 200);
	ask_contains(p.addr, "/table/txn", write, 429, "retry_after_ms");
	ask_contains(p.addr, "/table/row?key=k", NULL, 200, "\"version\":2");
	control(&p, "{\"op\":\"cut\",\"name\":\"n1\"}");
	ask_status(p.addr, "/table/row?key=k", NULL, 0);
	control(&p, "{\"op\":\"heal\",\"name\":\"n1\"}");
	ask_status(p.addr, "/table/row?key=k", NULL, 200);
	control(&p, "{\"op\":\"outage\",\"ms\":60000}");
	ask_status(p.addr, "/table/row?key=k", NULL, 503);
	control(&p, "{\"op\":\"outage\",\"ms\":0}");
	ask_status(p.addr, "/table/row?key=k", NULL, 200);
	ask_status(p.control, "/control", "{\"op\":\"poison\"}", 400);
	stop(&p);
}

static void *fetch(void *arg)
{
	const struct proc *p = arg;

	ask_status(p->addr, "/weights/fetch", "{}", 200);
	return NULL;
}

/* Sixteen loads at once take twice the time of eight. */
static void test_weight_store(void)
{
	struct proc p = start_platform("--loads-per-s=16");
	pthread_t threads[16];
	fg_ms begin = fg_clock_now();
	fg_ms took;

	for (int i = 0; i < 16; i++)
		pthread_create(&threads[i], NULL, fetch, &p);
	for (int i = 0; i < 16; i++)
		pthread_join(threads[i], NULL);
	took = fg_clock_now() - begin;
	g_assert_cmpint(took, >=, 450);
	stop(&p);
}

static size_t list_length(const struct proc *p)
{
	struct answer res = ask(p->addr, "/instances", NULL);
	size_t n = json_array_size(json_object_get(res.body, "instances"));

	answer_clear(&res);
	return n;
}

static void wait_for_length(const struct proc *p, size_t wanted)
{
	for (int i = 0; i < READY_TRIES && list_length(p) != wanted; i++)
		g_usleep(READY_WAIT_US);
	g_assert_cmpuint(list_length(p), ==, wanted);
}

static void test_list_lags(void)
{
	struct proc p = start_platform("--list-ttl-ms=600");
	const char *self = "{\"name\":\"x\",\"kind\":\"entry\",\"addr\":\"\","
			   "\"state\":\"live\"}";
	fg_ms begin = fg_clock_now();

	ask_status(p.addr, "/instances/announce", self, 200);
	wait_for_length(&p, 1);
	g_assert_cmpint(fg_clock_now() - begin, >=, 290);
	/* Its time has passed, but a frozen list still shows it. */
	control(&p, "{\"op\":\"list_freeze\",\"ms\":1200}");
	g_usleep(1000000);
	g_assert_cmpuint(list_length(&p), ==, 1);
	wait_for_length(&p, 0);
	stop(&p);
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
	for (int i = 0; i < READY_TRIES; i++) {
		struct answer res = ask(proc->control, "/control/log", NULL);
		bool found = strstr(res.text->str, part) != NULL;

		answer_clear(&res);
		if (found)
			return;
		g_usleep(READY_WAIT_US);
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

	for (int i = 0; i < READY_TRIES && n != wanted; i++) {
		struct answer res = ask(engine->addr, "/v1/state", NULL);

		n = json_array_size(json_object_get(res.body, "running"));
		answer_clear(&res);
		g_usleep(READY_WAIT_US);
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

static void test_plain(void)
{
	struct proc p = start_platform(NULL);
	char *at = g_strconcat("--platform=", p.addr, NULL);
	const char *const options[] = { at, "--service=orders", NULL };
	struct proc s = start("plain", options);
	const char *file = "{\"id\":\"i\",\"tag\":\"t\",\"op\":\"file\","
			   "\"key\":\"k\",\"body\":{}}";

	control(&s, "{\"op\":\"drop_answer\",\"count\":1,"
		    "\"path\":\"/v1/call\"}");
	ask_status(s.addr, "/v1/call", file, 0);
	ask_contains(s.control, "/control/log", NULL, 200,
		     "\"op\":\"file\",\"key\":\"k\",\"ok\":true");
	ask_contains(s.addr, "/v1/call",
		     "{\"id\":\"i\",\"tag\":\"t\",\"op\":\"status\","
		     "\"body\":{\"key\":\"k\"}}",
		     200, "{\"key\":\"k\",\"filed\":true},\"n\":24");
	control(&s, "{\"op\":\"truncate\",\"count\":1}");
	ask_status(s.addr, "/v1/call", file, 0);
	control(&s, "{\"op\":\"leave\",\"refuse_after_ms\":0}");
	ask_contains(s.addr, "/v1/call", file, 503, "leaving");
	stop(&s);
	stop(&p);
	g_free(at);
}

int main(int argc, char **argv)
{
	const char *base = g_getenv("FG_PORT_BASE");
	int status;

	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_setenv("G_SLICE", "always-malloc", TRUE);
	bin_dir = g_path_get_dirname(argv[0]);
	next_port = base ? atoi(base) + 950 : PORT_BASE_DEFAULT;
	g_test_add_func("/standin/table", test_table);
	g_test_add_func("/standin/platform_faults", test_platform_faults);
	g_test_add_func("/standin/weight_store", test_weight_store);
	g_test_add_func("/standin/list_lags", test_list_lags);
	g_test_add_func("/standin/engine_orders", test_engine_orders);
	g_test_add_func("/standin/replaced_in_use",
			test_engine_replaced_in_use);
	g_test_add_func("/standin/batch", test_engine_batch);
	g_test_add_func("/standin/answer_faults", test_engine_answer_faults);
	g_test_add_func("/standin/plain", test_plain);
	status = g_test_run();
	curl_global_cleanup();
	g_free(bin_dir);
	return status;
}
