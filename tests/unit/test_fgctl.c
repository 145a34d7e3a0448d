/* Tests of the program fgctl. A server in this process stands in for an entry
 * and gives prepared answers. */
#include <arpa/inet.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <string.h>

#include "base/fg_version.h"
#include "config/fg_config.h"

#define PORT_FIRST 24500
#define PORT_LAST 24599

static struct {
	struct MHD_Daemon *daemon;
	char address[32];
	unsigned int status; /* of the answers; 0 closes the connection */
	char *body;	     /* of the answers */
	char *path;	     /* of the last request */
	GString *received;   /* body of the last request */
	unsigned int n_requests;
} server;

/* The test and the server thread are already ordered by the fgctl process,
 * which the thread sanitizer cannot see. The lock makes the order visible to
 * the sanitizer. */
static pthread_mutex_t server_lock = PTHREAD_MUTEX_INITIALIZER;

static enum MHD_Result handle_request_locked(struct MHD_Connection *conn,
					     const char *url, const char *data,
					     size_t *len, void **ctx)
{
	struct MHD_Response *res;
	enum MHD_Result result;

	if (*ctx == NULL) {
		*ctx = &server;
		g_string_truncate(server.received, 0);
		return MHD_YES;
	}
	if (*len > 0) {
		g_string_append_len(server.received, data, (gssize)*len);
		*len = 0;
		return MHD_YES;
	}
	g_free(server.path);
	server.path = g_strdup(url);
	server.n_requests++;
	if (server.status == 0)
		return MHD_NO;
	res = MHD_create_response_from_buffer(strlen(server.body), server.body,
					      MHD_RESPMEM_MUST_COPY);
	result = MHD_queue_response(conn, server.status, res);
	MHD_destroy_response(res);
	return result;
}

static enum MHD_Result handle_request(void *arg, struct MHD_Connection *conn,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *len, void **ctx)
{
	enum MHD_Result result;

	(void)arg;
	(void)method;
	(void)version;
	pthread_mutex_lock(&server_lock);
	result = handle_request_locked(conn, url, data, len, ctx);
	pthread_mutex_unlock(&server_lock);
	return result;
}

static void start_server(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };

	server.received = g_string_new(NULL);
	inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
	for (uint16_t port = PORT_FIRST; port <= PORT_LAST; port++) {
		sa.sin_port = htons(port);
		server.daemon = MHD_start_daemon(
			MHD_USE_INTERNAL_POLLING_THREAD, port, NULL, NULL,
			handle_request, NULL, MHD_OPTION_SOCK_ADDR, &sa,
			MHD_OPTION_END);
		if (server.daemon == NULL)
			continue;
		g_snprintf(server.address, sizeof(server.address),
			   "127.0.0.1:%u", port);
		return;
	}
	g_error("no free port");
}

static void set_answer(unsigned int status, const char *body)
{
	pthread_mutex_lock(&server_lock);
	server.status = status;
	g_free(server.body);
	server.body = g_strdup(body);
	server.n_requests = 0;
	pthread_mutex_unlock(&server_lock);
}

struct run {
	int exit;
	char *out;
	char *err;
};

static void run_clear(struct run *r)
{
	g_free(r->out);
	g_free(r->err);
}

/* Runs fgctl with a command line, split as by a shell. */
static struct run run_fgctl(const char *line)
{
	const char *build = g_getenv("BUILD");
	g_autofree char *command = g_strdup_printf(
		"%s/bin/fgctl %s", build ? build : "build", line);
	g_auto(GStrv) argv = NULL;
	g_autoptr(GError) error = NULL;
	struct run r = { 0 };
	int status;

	g_assert_true(g_shell_parse_argv(command, NULL, &argv, &error));
	g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &r.out,
		     &r.err, &status, &error);
	g_assert_no_error(error);
	/* Orders the writes of the server thread before the test's reads. */
	pthread_mutex_lock(&server_lock);
	pthread_mutex_unlock(&server_lock);
	if (!g_spawn_check_wait_status(status, &error))
		r.exit = error->code;
	return r;
}

static void assert_run(const char *line, int status, const char *out,
		       const char *err)
{
	struct run r = run_fgctl(line);

	if (r.exit != status || (out && !strstr(r.out, out)) ||
	    (err && !strstr(r.err, err)))
		g_error("fgctl %s: exit %d\n%s\n%s", line, r.exit, r.out,
			r.err);
	run_clear(&r);
}

static void test_usage(void)
{
	assert_run("--help", 0, "right grant ADAPTER CALLER", NULL);
	assert_run("--help", 0, "3  conflict", NULL);
	assert_run("--version", 0, "fgctl " FG_VERSION, NULL);
	assert_run("", 2, NULL, "no command");
	assert_run("nonsense", 2, NULL, "unknown command");
	assert_run("adapter add x", 2, NULL, "arguments");
	assert_run("adapter list", 2, NULL, "FGCTL_ADDRESS");
	assert_run("-a entry.example:1 revision", 2, NULL, "IP number");
	assert_run("--no-such", 2, NULL, "no-such");
	assert_run("-a 127.0.0.1:1 --wait-ms 1 revision", 2, NULL, "--wait-ms");
	assert_run("dump nonsense", 2, NULL, "IP number");
}

static void test_gateway(void)
{
	g_autofree char *state =
		g_strdup_printf("-a %s gateway state", server.address);
	g_autofree char *metrics =
		g_strdup_printf("-a %s gateway metrics", server.address);

	set_answer(200, "instance g1 region=r1\nendpoint e1 usable=1\n");
	assert_run(state, 0, "endpoint e1 usable=1", NULL);
	g_assert_cmpstr(server.path, ==, "/state");
	set_answer(200, "fg_gw_requests_total 3\n");
	assert_run(metrics, 0, "fg_gw_requests_total 3", NULL);
	g_assert_cmpstr(server.path, ==, "/metrics");
	set_answer(404, "");
	assert_run(state, 5, NULL, "answered 404 to /state");
	assert_run("-a 127.0.0.1:1 gateway state", 5, NULL, "does not answer");
}

static void test_answers(void)
{
	g_autofree char *line = g_strdup_printf(
		"-a %s adapter add base-1 'a b'", server.address);

	set_answer(200, "{\"status\":\"accepted\",\"revision\":7}");
	assert_run(line, 0, "accepted: revision 7", NULL);
	g_assert_cmpstr(server.path, ==, "/v1/admin/change");
	g_assert_nonnull(strstr(server.received->str, "\"base\":\"base-1\""));
	g_assert_nonnull(strstr(server.received->str, "\"adapter\":\"a b\""));
	set_answer(200, "{\"status\":\"pending\",\"revision\":7,"
			"\"detail\":\"salto-2\"}");
	assert_run(line, 4, "salto-2", NULL);
	set_answer(409, "{\"status\":\"conflict\",\"revision\":9}");
	assert_run(line, 3, NULL, "revision 9 won");
	assert_run(line, 3, NULL,
		   "fgctl --expect-revision 9 adapter add base-1 'a b'");
	set_answer(422,
		   "{\"status\":\"invalid\",\"detail\":\"adapter exists\"}");
	assert_run(line, 1, NULL, "adapter exists");
	set_answer(503, "{\"status\":\"down\",\"detail\":\"no platform\"}");
	assert_run(line, 5, NULL, "no platform");
	set_answer(504, "{\"status\":\"unknown\",\"revision\":7}");
	assert_run(line, 6, NULL, "may or may not");
	set_answer(400, "{\"outcome\":\"NOT_RUN\",\"message\":\"bad field\"}");
	assert_run(line, 1, NULL, "bad field");
	/* Only the exact status "accepted" counts, not HTTP status 200. */
	set_answer(200, "{\"revision\":7}");
	assert_run(line, 6, NULL, "answered 200");
	set_answer(200, "{\"status\":\"Accepted\",\"revision\":7}");
	assert_run(line, 6, NULL, "answered 200");
	set_answer(200, "accepted");
	assert_run(line, 6, NULL, "answered 200");
}

/* fgctl must try the next address only if the change was provably not sent or
 * not run; otherwise the change could be stored twice. */
static void test_addresses(void)
{
	g_autofree char *first_unreachable = g_strdup_printf(
		"-a 127.0.0.1:24998,%s preset set peak", server.address);
	g_autofree char *twice = g_strdup_printf(
		"-a %s -a %s preset set peak", server.address, server.address);

	set_answer(200, "{\"status\":\"accepted\",\"revision\":1}");
	assert_run(first_unreachable, 0, "accepted", "24998 does not answer");
	assert_run("-a 127.0.0.1:24998 preset set peak", 5, NULL,
		   "nothing was stored");
	set_answer(0, "");
	assert_run(twice, 6, NULL, "may or may not");
	g_assert_cmpuint(server.n_requests, ==, 1);
	set_answer(503, "{\"outcome\":\"NOT_RUN\",\"message\":\"stopping\"}");
	assert_run(twice, 5, NULL, "stopping");
	g_assert_cmpuint(server.n_requests, ==, 2);
}

static void test_put(void)
{
	g_autofree char *put = g_strdup_printf(
		"-a %s -r 5 -w 900 preset put peak stall_weight=80 "
		"accept_drafts=false",
		server.address);
	g_autofree char *bad = g_strdup_printf(
		"-a %s preset put peak stall_weight=high", server.address);
	json_t *received;
	json_t *want;

	set_answer(200, "{\"status\":\"accepted\",\"revision\":6}");
	assert_run(put, 0, "accepted", NULL);
	received = json_loads(server.received->str, 0, NULL);
	want = json_pack("{s:{s:s,s:s,s:i,s:b},s:i,s:i}", "change", "kind",
			 "preset_put", "preset", "peak", "stall_weight", 80,
			 "accept_drafts", 0, "expect_revision", 5, "wait_ms",
			 900);
	g_assert_true(json_equal(received, want));
	json_decref(received);
	json_decref(want);
	assert_run(bad, 2, NULL, "stall_weight=high");
}

static void test_lists(void)
{
	struct fg_config *c = fg_config_new();
	g_autofree char *list =
		g_strdup_printf("-a %s adapter list menu", server.address);
	g_autofree char *json =
		g_strdup_printf("-a %s -j adapter list", server.address);
	g_autofree char *presets =
		g_strdup_printf("-a %s preset show", server.address);
	g_autofree char *revision =
		g_strdup_printf("-a %s revision", server.address);
	g_autofree char *dump = g_strdup_printf("dump %s", server.address);
	g_autofree char *clear =
		g_strdup_printf("-a %s suspects clear 0a", server.address);
	g_autofree char *snapshot = NULL;

	g_assert_true(fg_config_apply(
		c,
		"{\"revision\":1,\"kind\":\"batch\",\"changes\":["
		"{\"kind\":\"adapter_add\",\"base\":\"b\",\"adapter\":"
		"\"menu-1\"},{\"kind\":\"version_add\",\"adapter\":"
		"\"menu-1\",\"version\":\"v1\"},{\"kind\":\"right_grant\","
		"\"adapter\":\"menu-1\",\"caller\":\"*\"}]}",
		NULL));
	snapshot = fg_config_snapshot(c);
	set_answer(200, snapshot);
	assert_run(list, 0,
		   "adapter  base  versions  callers\nmenu-1   b     v1", NULL);
	assert_run(json, 0, "\"versions\": \"v1\"", NULL);
	assert_run(presets, 0, "ordinary", NULL);
	set_answer(200,
		   "{\"name\":\"mvd-1\",\"revision\":3,\"preset\":\"peak\","
		   "\"confirm_age_ms\":12}");
	assert_run(revision, 0, "mvd-1  3         12              peak", NULL);
	assert_run(dump, 0, "\"revision\": 3", NULL);
	set_answer(200, "{\"cleared\":true}");
	assert_run(clear, 0, "cleared", NULL);
	set_answer(200, "{\"cleared\":false}");
	assert_run(clear, 1, "not found", NULL);
	assert_run("-a 127.0.0.1:24998 revision", 5, "none", NULL);
	fg_config_free(c);
}

static void test_change_file(void)
{
	g_autofree char *path = NULL;
	g_autofree char *line = NULL;
	int fd = g_file_open_tmp("fgctl-XXXXXX", &path, NULL);

	g_assert_cmpint(fd, >=, 0);
	g_close(fd, NULL);
	line = g_strdup_printf("-a %s change %s", server.address, path);
	g_file_set_contents(path, "{\n  \"kind\": x }", -1, NULL);
	assert_run(line, 1, NULL, "line 2");
	g_file_set_contents(path, "{\"kind\":\"batch\"}", -1, NULL);
	set_answer(200, "{\"status\":\"accepted\",\"revision\":1}");
	assert_run(line, 0, "accepted", NULL);
	g_assert_nonnull(strstr(server.received->str, "\"kind\":\"batch\""));
	g_unlink(path);
	assert_run(line, 2, NULL, "cannot read");
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	g_unsetenv("FGCTL_ADDRESS");
	start_server();
	g_test_add_func("/fgctl/usage", test_usage);
	g_test_add_func("/fgctl/gateway", test_gateway);
	g_test_add_func("/fgctl/answers", test_answers);
	g_test_add_func("/fgctl/addresses", test_addresses);
	g_test_add_func("/fgctl/put", test_put);
	g_test_add_func("/fgctl/lists", test_lists);
	g_test_add_func("/fgctl/change_file", test_change_file);
	status = g_test_run();
	MHD_stop_daemon(server.daemon);
	return status;
}
