/* HTTP calls to the entry instances through libcurl. */
#include <curl/curl.h>
#include <string.h>

#include "fgctl.h"
#include "http/fg_http_check.h"

#define CONNECT_TIMEOUT_MS 2000L
#define ANSWER_MAX_BYTES (64 * 1024 * 1024)

void ctl_answer_clear(struct ctl_answer *a)
{
	json_decref(a->body);
	a->body = NULL;
}

static size_t append_data(char *data, size_t size, size_t n, void *arg)
{
	GString *text = arg;

	if (text->len + size * n > ANSWER_MAX_BYTES)
		return 0;
	g_string_append_len(text, data, (gssize)(size * n));
	return size * n;
}

static void set_options(CURL *curl, const struct ctl *c, const char *url,
			const char *post, GString *text)
{
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)c->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_data);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
	if (post != NULL)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, post);
}

static enum ctl_http_result classify_result(CURLcode code)
{
	switch (code) {
	case CURLE_OK:
		return CTL_HTTP_OK;
	case CURLE_COULDNT_CONNECT:
	case CURLE_COULDNT_RESOLVE_HOST:
	case CURLE_URL_MALFORMAT:
		return CTL_HTTP_NOT_SENT;
	default:
		return CTL_HTTP_LOST;
	}
}

static enum ctl_http_result http_call(const struct ctl *c, const char *address,
				      const char *path, const char *post,
				      GString *text, long *status)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", address, path);
	struct curl_slist *headers = NULL;
	CURL *curl = curl_easy_init();
	struct fg_http_check check;
	CURLcode code;
	long sent_bytes = 0;
	enum ctl_http_result result;

	*status = 0;
	if (curl == NULL)
		return CTL_HTTP_NOT_SENT;
	headers = curl_slist_append(headers, "Content-Type: application/json");
	headers = curl_slist_append(headers, "X-Caller: fgctl");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	set_options(curl, c, url, post, text);
	fg_http_check_begin(&check, curl);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, status);
	curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent_bytes);
	result = classify_result(code);
	if (result == CTL_HTTP_OK && !fg_http_check_end(&check))
		result = CTL_HTTP_LOST;
	if (result == CTL_HTTP_LOST && sent_bytes == 0)
		result = CTL_HTTP_NOT_SENT;
	curl_slist_free_all(headers);
	fg_http_check_clear(&check);
	curl_easy_cleanup(curl);
	return result;
}

enum ctl_http_result ctl_call(const struct ctl *c, const char *address,
			      const char *path, const char *post,
			      struct ctl_answer *out)
{
	g_autoptr(GString) text = g_string_new(NULL);
	enum ctl_http_result result;

	out->body = NULL;
	result = http_call(c, address, path, post, text, &out->status);
	if (result == CTL_HTTP_OK)
		out->body = json_loads(text->str, 0, NULL);
	return result;
}

char *ctl_get_text(const struct ctl *c, const char *address, const char *path)
{
	GString *text = g_string_new(NULL);
	long status;

	if (http_call(c, address, path, NULL, text, &status) != CTL_HTTP_OK)
		ctl_error("%s does not answer", address);
	else if (status != 200)
		ctl_error("%s answered %ld to %s", address, status, path);
	else
		return g_string_free(text, FALSE);
	g_string_free(text, TRUE);
	return NULL;
}

json_t *ctl_get(const struct ctl *c, const char *path)
{
	for (char **a = c->addresses; *a != NULL; a++) {
		struct ctl_answer answer;
		enum ctl_http_result result;

		result = ctl_call(c, *a, path, NULL, &answer);
		if (result == CTL_HTTP_OK && answer.status == 200 &&
		    answer.body != NULL)
			return answer.body;
		if (result == CTL_HTTP_OK)
			ctl_error("%s answered %ld to %s", *a, answer.status,
				  path);
		else
			ctl_error("%s does not answer", *a);
		ctl_answer_clear(&answer);
	}
	return NULL;
}
