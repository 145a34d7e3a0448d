#include "si_harness.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#define PORT_BASE_DEFAULT 21000
#define TIMEOUT_MS 10000L

static char *bin_dir;
static int next_port;

static char *next_addr(void)
{
	return g_strdup_printf("127.0.0.1:%d", next_port++);
}

static size_t append_data(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

struct answer send_request(const char *addr, const char *path, const char *body)
{
	struct answer res = { .text = g_string_new(NULL) };
	char *url = g_strconcat("http://", addr, path, NULL);
	struct curl_slist *headers = curl_slist_append(NULL, "X-Instance: n1");
	CURL *curl = curl_easy_init();

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_data);
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

void answer_clear(struct answer *res)
{
	json_decref(res->body);
	g_string_free(res->text, TRUE);
}

char *request_text(const char *addr, const char *path, const char *body,
		   long status)
{
	struct answer res = send_request(addr, path, body);
	char *text = g_strdup(res.text->str);

	g_assert_cmpint(res.status, ==, status);
	answer_clear(&res);
	return text;
}

void check_status(const char *addr, const char *path, const char *body,
		  long status)
{
	g_free(request_text(addr, path, body, status));
}

void check_contains(const char *addr, const char *path, const char *body,
		    long status, const char *part)
{
	char *text = request_text(addr, path, body, status);

	if (!strstr(text, part))
		g_error("%s not in %s", part, text);
	g_free(text);
}

static void wait_ready(const char *addr)
{
	for (int i = 0; i < SI_READY_TRIES; i++) {
		struct answer res = send_request(addr, "/", NULL);
		long status = res.status;

		answer_clear(&res);
		if (status != 0)
			return;
		g_usleep(SI_READY_WAIT_US);
	}
	g_error("%s does not answer", addr);
}

/* A failing test must not leave its processes behind. */
static void die_with_parent(gpointer arg)
{
	(void)arg;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

struct proc start_standin(const char *kind, const char *const *options)
{
	struct proc proc = { .addr = next_addr(), .control = next_addr() };
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
		      G_SPAWN_DO_NOT_REAP_CHILD, die_with_parent, NULL,
		      &proc.pid, &error);
	g_assert_no_error(error);
	g_ptr_array_free(argv, TRUE);
	wait_ready(proc.addr);
	return proc;
}

void stop_standin(struct proc *proc)
{
	int status = 0;

	kill(proc->pid, SIGTERM);
	g_assert_cmpint(waitpid(proc->pid, &status, 0), ==, proc->pid);
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, 0);
	g_free(proc->addr);
	g_free(proc->control);
}

void send_control(const struct proc *proc, const char *body)
{
	check_status(proc->control, "/control", body, 200);
}

struct proc start_platform(const char *option)
{
	const char *const options[] = { "--list-lag-ms=300", option, NULL };

	return start_standin("platform", options);
}

void si_harness_init(const char *program, int port_offset)
{
	const char *base = g_getenv("FG_PORT_BASE");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	/* ThreadSanitizer does not see the locks of GLib's slice allocator. */
	g_setenv("G_SLICE", "always-malloc", TRUE);
	bin_dir = g_path_get_dirname(program);
	next_port = (base ? atoi(base) : PORT_BASE_DEFAULT) + port_offset;
}

void si_harness_free(void)
{
	curl_global_cleanup();
	g_free(bin_dir);
}
