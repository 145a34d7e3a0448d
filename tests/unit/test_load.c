/*
 * Tests of fg-load, the reference implementation of a caller. It must detect
 * incomplete and wrong answers, and must never resend a filing that may have
 * run. A server in this process stands in for an entry instance.
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <arpa/inet.h>

#include "base/fg_rand.h"

#define PORT_BASE_DEFAULT 21000
#define PORT_OFFSET 940

/* How the server answers all requests except address lookups. */
enum mode {
	MODE_CORRECT,
	MODE_WRONG_TOKEN,	/* one token from another adapter */
	MODE_MISSING_TOKEN,	/* a token is missing */
	MODE_TRUNCATED_STREAM,	/* a stream without its last line */
	MODE_NOT_RUN_ONCE,	/* NOT_RUN with retry_after_ms, only once */
	MODE_NOT_RUN_FINAL,	/* 403 and NOT_RUN: a retry is useless */
	MODE_CONNECTION_CLOSED, /* connection closed without an answer */
	MODE_UNKNOWN,		/* outcome UNKNOWN */
};

static char *bin_dir;
static char *dir;
static uint16_t port;
static enum mode mode;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint32_t n_calls; /* except address lookups */

static char *make_tokens(const char *adapter, const char *prompt, int tokens,
			 const char *last_adapter)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < tokens; i++) {
		const char *name = i + 1 == tokens ? last_adapter : adapter;
		char *seed = g_strdup_printf("%s@v1|%s|%d", name, prompt, i);

		g_string_append_printf(text, "%s@v1:%d:%08x ", name, i,
				       (uint32_t)fg_hash_str(seed));
		g_free(seed);
	}
	return g_string_free(text, FALSE);
}

static char *dump_and_free(json_t *obj)
{
	char *raw = json_dumps(obj, JSON_COMPACT);
	char *text = g_strdup(raw);

	free(raw);
	json_decref(obj);
	return text;
}

static char *make_generation(json_t *req)
{
	const char *adapter =
		json_string_value(json_object_get(req, "adapter"));
	const char *prompt = json_string_value(json_object_get(req, "prompt"));
	int tokens =
		(int)json_integer_value(json_object_get(req, "max_tokens"));
	char *text = make_tokens(adapter, prompt,
				 tokens - (mode == MODE_MISSING_TOKEN),
				 mode == MODE_WRONG_TOKEN ? "other" : adapter);
	char *last = dump_and_free(json_pack(
		"{s:s, s:s, s:s, s:s, s:i}", "outcome", "DONE", "adapter",
		adapter, "version", "v1", "text", text, "tokens", tokens));
	char *piece = dump_and_free(json_pack("{s:s}", "t", text));
	char *answer;

	if (!json_is_true(json_object_get(req, "stream")))
		answer = g_strdup(last);
	else
		answer = g_strconcat(piece, "\n",
				     mode == MODE_TRUNCATED_STREAM ? "" : last,
				     NULL);
	g_free(text);
	g_free(last);
	g_free(piece);
	return answer;
}

static char *make_filing_answer(struct MHD_Connection *conn)
{
	const char *key = MHD_lookup_connection_value(conn, MHD_HEADER_KIND,
						      "Idempotency-Key");
	char receipt[9];

	g_snprintf(receipt, sizeof(receipt), "%08x",
		   (uint32_t)fg_hash_str(key));
	return dump_and_free(json_pack("{s:s, s:{s:s, s:s}}", "outcome", "DONE",
				       "body", "filed", key, "receipt",
				       receipt));
}

static char *make_lookup_answer(void)
{
	return g_strdup_printf("{\"addresses\":[\"127.0.0.1:%u\"],"
			       "\"ttl_ms\":1000}",
			       port);
}

/* Returns the answer, or NULL to close the connection. */
static char *make_answer(struct MHD_Connection *conn, const char *path,
			 json_t *req, unsigned int *status)
{
	uint32_t call = ++n_calls;

	if (mode == MODE_CONNECTION_CLOSED)
		return NULL;
	if (mode == MODE_NOT_RUN_ONCE && call == 1) {
		*status = 503;
		return g_strdup("{\"outcome\":\"NOT_RUN\",\"reason\":"
				"\"overload\",\"retry_after_ms\":10}");
	}
	if (mode == MODE_NOT_RUN_FINAL) {
		*status = 403;
		return g_strdup("{\"outcome\":\"NOT_RUN\",\"reason\":"
				"\"no_right\",\"retry_after_ms\":10}");
	}
	if (mode == MODE_UNKNOWN) {
		*status = 504;
		return g_strdup("{\"outcome\":\"UNKNOWN\",\"reason\":"
				"\"endpoint_lost\",\"retry_after_ms\":10}");
	}
	if (strcmp(path, "/v1/filings") == 0)
		return make_filing_answer(conn);
	return make_generation(req);
}

static enum MHD_Result handle_request(void *arg, struct MHD_Connection *conn,
				      const char *path, const char *method,
				      const char *http_version,
				      const char *data, size_t *len_bytes,
				      void **state)
{
	GString *body = *state;
	struct MHD_Response *response;
	enum MHD_Result ret;
	unsigned int status = 200;
	char *answer;
	json_t *req;

	(void)arg;
	(void)method;
	(void)http_version;
	if (!body) {
		*state = g_string_new(NULL);
		return MHD_YES;
	}
	if (*len_bytes > 0) {
		g_string_append_len(body, data, (gssize)*len_bytes);
		*len_bytes = 0;
		return MHD_YES;
	}
	req = json_loads(body->str, 0, NULL);
	g_string_free(body, TRUE);
	*state = NULL;
	pthread_mutex_lock(&lock);
	answer = strcmp(path, "/v1/address") == 0
			 ? make_lookup_answer()
			 : make_answer(conn, path, req, &status);
	pthread_mutex_unlock(&lock);
	json_decref(req);
	if (!answer)
		return MHD_NO;
	response = MHD_create_response_from_buffer(strlen(answer), answer,
						   MHD_RESPMEM_MUST_COPY);
	ret = MHD_queue_response(conn, status, response);
	MHD_destroy_response(response);
	g_free(answer);
	return ret;
}

static void set_mode(enum mode new_mode)
{
	pthread_mutex_lock(&lock);
	mode = new_mode;
	n_calls = 0;
	pthread_mutex_unlock(&lock);
}

static uint32_t get_n_calls(void)
{
	uint32_t n;

	pthread_mutex_lock(&lock);
	n = n_calls;
	pthread_mutex_unlock(&lock);
	return n;
}

/* Runs fg-load with additional options; returns its summary. */
static json_t *run_load(const char *options, bool want_success)
{
	char *summary = g_build_filename(dir, "summary.json", NULL);
	char *line = g_strdup_printf("%s/fg-load --address 127.0.0.1:%u "
				     "--summary-json %s %s",
				     bin_dir, port, summary, options);
	GError *error = NULL;
	char *out = NULL;
	int status = 0;
	json_t *obj;

	g_remove(summary);
	g_spawn_command_line_sync(line, &out, NULL, &status, &error);
	g_assert_no_error(error);
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, want_success ? 0 : 1);
	obj = json_load_file(summary, 0, NULL);
	g_assert_nonnull(obj);
	g_free(out);
	g_free(line);
	g_free(summary);
	return obj;
}

static void assert_number(json_t *obj, const char *name, json_int_t expected)
{
	g_assert_cmpint(json_integer_value(json_object_get(obj, name)), ==,
			expected);
}

static void assert_run(enum mode new_mode, const char *options, int done,
		       int whole, int attempts)
{
	bool all_done = strstr(options, "--all-done") != NULL;
	json_t *summary;

	set_mode(new_mode);
	summary = run_load(options, done == whole && !(all_done && !done));
	assert_number(summary, "done", done);
	assert_number(summary, "whole", whole);
	assert_number(summary, "attempts", attempts);
	g_assert_cmpuint(get_n_calls(), ==, (uint32_t)attempts);
	json_decref(summary);
}

static void test_answer_checks(void)
{
	const char *plain = "-n 8 --mix interactive=1";
	const char *streamed = "-n 8 --mix draft=1";

	assert_run(MODE_CORRECT, plain, 8, 8, 8);
	assert_run(MODE_CORRECT, streamed, 8, 8, 8);
	assert_run(MODE_CORRECT, "-n 8 --mix filing=1", 8, 8, 8);
	assert_run(MODE_WRONG_TOKEN, plain, 8, 0, 8);
	assert_run(MODE_WRONG_TOKEN, streamed, 8, 0, 8);
	assert_run(MODE_MISSING_TOKEN, plain, 8, 0, 8);
	/* The server answers with version v1, which does not match v2. */
	assert_run(MODE_CORRECT, "-n 8 --mix draft=1 --version v2", 8, 0, 8);
}

static void test_retries(void)
{
	const char *filing = "-n 1 --mix filing=1 --attempts 3";
	const char *draft = "-n 1 --mix draft=1 --attempts 3";

	assert_run(MODE_NOT_RUN_ONCE, filing, 1, 1, 2);
	assert_run(MODE_NOT_RUN_ONCE, draft, 1, 1, 2);
	assert_run(MODE_NOT_RUN_FINAL, filing, 0, 0, 1);
	assert_run(MODE_NOT_RUN_FINAL, "-n 1 --mix draft=1 --all-done", 0, 0,
		   1);
	/* A filing that may have run must not be sent again, a draft may. */
	assert_run(MODE_CONNECTION_CLOSED, filing, 0, 0, 1);
	assert_run(MODE_CONNECTION_CLOSED, draft, 0, 0, 3);
	assert_run(MODE_UNKNOWN, filing, 0, 0, 1);
	assert_run(MODE_TRUNCATED_STREAM, draft, 0, 0, 3);
}

static void test_experiment(void)
{
	char *path = g_build_filename(dir, "experiment.yaml", NULL);
	char *plot = g_build_filename(dir, "plot.svg", NULL);
	char *text = g_strdup_printf(
		"options: \"-n 20 --rate 100 --mix interactive=1\"\n"
		"faults:\n"
		"  - at_ms: 50\n"
		"    control: 127.0.0.1:%u\n"
		"    body: '{}'\n"
		"  - at_ms: 60000\n"
		"    control: 127.0.0.1:%u\n"
		"    body: '{}'\n"
		"plot: %s\n",
		port, port, plot);
	char *options = g_strconcat("-n 10 --experiment ", path, NULL);
	json_t *summary;

	g_file_set_contents(path, text, -1, NULL);
	set_mode(MODE_UNKNOWN);
	summary = run_load(options, true);
	/* The command line overrides the file. */
	assert_number(summary, "requests", 10);
	/* 10 requests and the fault that was due; the later fault was
	 * cancelled. */
	g_assert_cmpuint(get_n_calls(), ==, 11);
	g_assert_true(g_file_test(plot, G_FILE_TEST_EXISTS));
	json_decref(summary);
	g_remove(path);
	g_remove(plot);
	g_free(path);
	g_free(plot);
	g_free(text);
	g_free(options);
}

static void remove_dir(void)
{
	char *summary = g_build_filename(dir, "summary.json", NULL);

	g_remove(summary);
	g_rmdir(dir);
	g_free(summary);
}

int main(int argc, char **argv)
{
	const char *base = g_getenv("FG_PORT_BASE");
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct MHD_Daemon *daemon;
	int status;

	g_test_init(&argc, &argv, NULL);
	g_setenv("G_SLICE", "always-malloc", TRUE);
	bin_dir = g_path_get_dirname(argv[0]);
	dir = g_dir_make_tmp("fg-load-XXXXXX", NULL);
	port = (uint16_t)((base ? atoi(base) : PORT_BASE_DEFAULT) +
			  PORT_OFFSET);
	addr.sin_port = htons(port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	daemon =
		MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL,
				 handle_request, NULL, MHD_OPTION_SOCK_ADDR,
				 &addr, MHD_OPTION_LISTENING_ADDRESS_REUSE,
				 (unsigned int)1, MHD_OPTION_END);
	g_assert_nonnull(daemon);
	g_test_add_func("/load/whole", test_answer_checks);
	g_test_add_func("/load/repeats", test_retries);
	g_test_add_func("/load/experiment", test_experiment);
	status = g_test_run();
	MHD_stop_daemon(daemon);
	remove_dir();
	g_free(bin_dir);
	g_free(dir);
	return status;
}
