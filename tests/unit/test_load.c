/*
 * fg-load is the reference of a caller: it must find answers that are not
 * whole, and must never send a filing again that may have run. A server in
 * this process answers in place of an entry instance.
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

/* How the server answers generations and filings. */
enum mode {
	MODE_RIGHT,
	MODE_WRONG_TOKEN,      /* one token from another adapter */
	MODE_TOO_SHORT,	       /* a token is missing */
	MODE_NO_END,	       /* a stream without its last line */
	MODE_NOT_RUN_FIRST,    /* NOT_RUN with a time to come back, once */
	MODE_NOT_RUN_FOR_GOOD, /* NOT_RUN, the request must change */
	MODE_CLOSED,	       /* connection closed without an answer */
	MODE_UNKNOWN,
};

static char *bin_dir;
static char *dir;
static uint16_t port;
static enum mode mode;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint32_t calls; /* but for address lookups */

static char *token_text(const char *adapter, const char *prompt, int tokens,
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

static char *dump(json_t *obj)
{
	char *raw = json_dumps(obj, JSON_COMPACT);
	char *text = g_strdup(raw);

	free(raw);
	json_decref(obj);
	return text;
}

static char *generation(json_t *req)
{
	const char *adapter =
		json_string_value(json_object_get(req, "adapter"));
	const char *prompt = json_string_value(json_object_get(req, "prompt"));
	int tokens =
		(int)json_integer_value(json_object_get(req, "max_tokens"));
	char *text =
		token_text(adapter, prompt, tokens - (mode == MODE_TOO_SHORT),
			   mode == MODE_WRONG_TOKEN ? "other" : adapter);
	char *last = dump(json_pack("{s:s, s:s, s:s, s:s, s:i}", "outcome",
				    "DONE", "adapter", adapter, "version", "v1",
				    "text", text, "tokens", tokens));
	char *piece = dump(json_pack("{s:s}", "t", text));
	char *answer;

	if (!json_is_true(json_object_get(req, "stream")))
		answer = g_strdup(last);
	else
		answer = g_strconcat(piece, "\n",
				     mode == MODE_NO_END ? "" : last, NULL);
	g_free(text);
	g_free(last);
	g_free(piece);
	return answer;
}

static char *filing(struct MHD_Connection *conn)
{
	const char *key = MHD_lookup_connection_value(conn, MHD_HEADER_KIND,
						      "Idempotency-Key");
	char receipt[9];

	g_snprintf(receipt, sizeof(receipt), "%08x",
		   (uint32_t)fg_hash_str(key));
	return dump(json_pack("{s:s, s:{s:s, s:s}}", "outcome", "DONE", "body",
			      "filed", key, "receipt", receipt));
}

static char *lookup(void)
{
	return g_strdup_printf("{\"addresses\":[\"127.0.0.1:%u\"],"
			       "\"ttl_ms\":1000}",
			       port);
}

/* Returns the answer, or NULL to close the connection. */
static char *work(struct MHD_Connection *conn, const char *path, json_t *req,
		  unsigned int *status)
{
	uint32_t call = ++calls;

	if (mode == MODE_CLOSED)
		return NULL;
	if (mode == MODE_NOT_RUN_FIRST && call == 1) {
		*status = 503;
		return g_strdup("{\"outcome\":\"NOT_RUN\",\"reason\":"
				"\"overload\",\"retry_after_ms\":10}");
	}
	if (mode == MODE_NOT_RUN_FOR_GOOD) {
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
		return filing(conn);
	return generation(req);
}

static enum MHD_Result on_request(void *arg, struct MHD_Connection *conn,
				  const char *path, const char *method,
				  const char *http_version, const char *data,
				  size_t *len_bytes, void **state)
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
			 ? lookup()
			 : work(conn, path, req, &status);
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

static void set_mode(enum mode with)
{
	pthread_mutex_lock(&lock);
	mode = with;
	calls = 0;
	pthread_mutex_unlock(&lock);
}

static uint32_t count_calls(void)
{
	uint32_t n;

	pthread_mutex_lock(&lock);
	n = calls;
	pthread_mutex_unlock(&lock);
	return n;
}

/* Runs fg-load with more options; returns its summary. */
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

static void check_number(json_t *obj, const char *name, json_int_t wanted)
{
	g_assert_cmpint(json_integer_value(json_object_get(obj, name)), ==,
			wanted);
}

static void check_run(enum mode with, const char *options, int done, int whole,
		      int attempts)
{
	bool all_done = strstr(options, "--all-done") != NULL;
	json_t *summary;

	set_mode(with);
	summary = run_load(options, done == whole && !(all_done && !done));
	check_number(summary, "done", done);
	check_number(summary, "whole", whole);
	check_number(summary, "attempts", attempts);
	g_assert_cmpuint(count_calls(), ==, (uint32_t)attempts);
	json_decref(summary);
}

static void test_whole(void)
{
	const char *plain = "-n 8 --mix interactive=1";
	const char *streamed = "-n 8 --mix draft=1";

	check_run(MODE_RIGHT, plain, 8, 8, 8);
	check_run(MODE_RIGHT, streamed, 8, 8, 8);
	check_run(MODE_RIGHT, "-n 8 --mix filing=1", 8, 8, 8);
	check_run(MODE_WRONG_TOKEN, plain, 8, 0, 8);
	check_run(MODE_WRONG_TOKEN, streamed, 8, 0, 8);
	check_run(MODE_TOO_SHORT, plain, 8, 0, 8);
	/* The version that is answered must be the one asked for. */
	check_run(MODE_RIGHT, "-n 8 --mix draft=1 --version v2", 8, 0, 8);
}

static void test_repeats(void)
{
	const char *filing = "-n 1 --mix filing=1 --attempts 3";
	const char *draft = "-n 1 --mix draft=1 --attempts 3";

	check_run(MODE_NOT_RUN_FIRST, filing, 1, 1, 2);
	check_run(MODE_NOT_RUN_FIRST, draft, 1, 1, 2);
	check_run(MODE_NOT_RUN_FOR_GOOD, filing, 0, 0, 1);
	check_run(MODE_NOT_RUN_FOR_GOOD, "-n 1 --mix draft=1 --all-done", 0, 0,
		  1);
	/* A filing that may have run is not sent again, a draft is. */
	check_run(MODE_CLOSED, filing, 0, 0, 1);
	check_run(MODE_CLOSED, draft, 0, 0, 3);
	check_run(MODE_UNKNOWN, filing, 0, 0, 1);
	check_run(MODE_NO_END, draft, 0, 0, 3);
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
	/* The command line goes before the file. */
	check_number(summary, "requests", 10);
	/* The fault that was due came as well, the later one did not. */
	g_assert_cmpuint(count_calls(), ==, 11);
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
	daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
				  NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR,
				  &addr, MHD_OPTION_LISTENING_ADDRESS_REUSE,
				  (unsigned int)1, MHD_OPTION_END);
	g_assert_nonnull(daemon);
	g_test_add_func("/load/whole", test_whole);
	g_test_add_func("/load/repeats", test_repeats);
	g_test_add_func("/load/experiment", test_experiment);
	status = g_test_run();
	MHD_stop_daemon(daemon);
	remove_dir();
	g_free(bin_dir);
	g_free(dir);
	return status;
}
