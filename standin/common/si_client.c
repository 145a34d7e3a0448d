#include "common/si_client.h"

#include <stdlib.h>

static size_t discard_answer(char *data, size_t size, size_t n, void *arg)
{
	(void)data;
	(void)arg;
	return size * n;
}

static int abort_if_stopping(void *arg, curl_off_t dl_total, curl_off_t dl_now,
			     curl_off_t ul_total, curl_off_t ul_now)
{
	(void)dl_total;
	(void)dl_now;
	(void)ul_total;
	(void)ul_now;
	return si_proc_stopping(arg);
}

static struct curl_slist *make_headers(const char *name)
{
	struct curl_slist *headers;
	char *instance = g_strconcat("X-Instance: ", name, NULL);

	headers = curl_slist_append(NULL, "Content-Type: application/json");
	headers = curl_slist_append(headers, instance);
	g_free(instance);
	return headers;
}

uint32_t si_client_post(struct si_proc *proc, CURL *curl, const char *addr,
			const char *path, json_t *body, uint32_t timeout_ms)
{
	struct curl_slist *headers = make_headers(proc->conf.name);
	char *url = g_strconcat("http://", addr, path, NULL);
	char *text = json_dumps(body, JSON_COMPACT);
	long status = 0;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, text);
	/* libcurl repeats a request when a kept connection breaks. */
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_answer);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, abort_if_stopping);
	curl_easy_setopt(curl, CURLOPT_XFERINFODATA, proc);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	g_free(url);
	free(text);
	return (uint32_t)status;
}
