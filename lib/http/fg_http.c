#include "http/fg_http.h"

#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "http/fg_http_check.h"
#include "log/fg_log.h"

#define ANSWER_MAX_BYTES ((size_t)16 << 20)
#define CONNECT_TIMEOUT_MS 1000
#define URL_BYTES 512

static pthread_key_t share_key;

static void free_share(void *share)
{
	curl_share_cleanup(share);
}

void fg_http_init(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	pthread_key_create(&share_key, free_share);
}

/* Returns a new handle. Those of a thread keep their connections for its later
 * requests. A handle is used once: libcurl 7.88 joins a folded first line of an
 * answer to the last field of the handle's answer before, which it has freed.
 */
static CURL *new_handle(void)
{
	CURLSH *share = pthread_getspecific(share_key);
	CURL *handle = curl_easy_init();

	if (share == NULL) {
		share = curl_share_init();
		curl_share_setopt(share, CURLSHOPT_SHARE,
				  CURL_LOCK_DATA_CONNECT);
		pthread_setspecific(share_key, share);
	}
	curl_easy_setopt(handle, CURLOPT_SHARE, share);
	return handle;
}

/* Heads of an answer, with those of informational answers before it. */
#define HEADS_MAX_BYTES ((size_t)256 << 10)

struct transfer {
	const struct fg_http_call *call;
	struct fg_http_check check;
	size_t heads_bytes;
	bool unreadable; /* as found when the transfer had ended */
	GString *text;
	size_t received_bytes;
	size_t max_bytes;
	bool too_large;
};

/* Returns whether what arrives is no answer. */
static bool is_broken(const struct transfer *t)
{
	return t->check.broken || t->unreadable ||
	       t->heads_bytes > HEADS_MAX_BYTES;
}

static size_t on_write(char *data, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;
	size_t len_bytes = size * n;

	if (is_broken(t))
		return 0;
	t->received_bytes += len_bytes;
	if (t->received_bytes > t->max_bytes) {
		t->too_large = true;
		return 0;
	}
	if (t->call->on_data == NULL) {
		g_string_append_len(t->text, data, (gssize)len_bytes);
		return len_bytes;
	}
	return t->call->on_data(t->call->arg, data, len_bytes) ? len_bytes : 0;
}

/* Gets each line of a head, the first one included. */
static size_t on_header(char *line, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;
	size_t len_bytes = size * n;

	(void)line;
	t->heads_bytes += len_bytes;
	return is_broken(t) ? 0 : len_bytes;
}

static int on_progress(void *arg, curl_off_t dltotal, curl_off_t dlnow,
		       curl_off_t ultotal, curl_off_t ulnow)
{
	const struct transfer *t = arg;

	(void)dltotal;
	(void)dlnow;
	(void)ultotal;
	(void)ulnow;
	return t->call->cancel != NULL && *t->call->cancel;
}

static struct curl_slist *set_headers(CURL *h, const struct fg_http_call *call)
{
	struct curl_slist *list = NULL;

	/* Disables "Expect: 100-continue", with which libcurl waits up to 1 s
	 * before it sends a large body. */
	list = curl_slist_append(list, "Expect:");
	list = curl_slist_append(list, "Content-Type: application/json");
	if (call->header != NULL)
		list = curl_slist_append(list, call->header);
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, list);
	return list;
}

static void set_options(CURL *h, struct transfer *t)
{
	const struct fg_http_call *call = t->call;
	char url[URL_BYTES];

	g_snprintf(url, sizeof(url), "http://%s%s", call->addr, call->path);
	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	curl_easy_setopt(h, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)MIN(CONNECT_TIMEOUT_MS, call->timeout_ms));
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(h, CURLOPT_HEADERDATA, t);
	if (call->cancel != NULL) {
		curl_easy_setopt(h, CURLOPT_NOPROGRESS, 0L);
		curl_easy_setopt(h, CURLOPT_XFERINFOFUNCTION, on_progress);
		curl_easy_setopt(h, CURLOPT_XFERINFODATA, t);
	}
	if (call->new_connection) {
		curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(h, CURLOPT_FORBID_REUSE, 1L);
	}
	if (call->body != NULL) {
		curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE,
				 (long)strlen(call->body));
		curl_easy_setopt(h, CURLOPT_POSTFIELDS, call->body);
	}
	curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, call->method);
}

static enum fg_http_error classify_error(CURL *h, CURLcode code,
					 const struct transfer *t)
{
	long sent_bytes = 0;

	if (t->too_large)
		return FG_HTTP_TOO_LARGE;
	if (is_broken(t))
		return FG_HTTP_LOST;
	if (code == CURLE_OK)
		return FG_HTTP_OK;
	curl_easy_getinfo(h, CURLINFO_REQUEST_SIZE, &sent_bytes);
	if (sent_bytes == 0)
		return FG_HTTP_NOT_SENT;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return FG_HTTP_TIMEOUT;
	if (code == CURLE_ABORTED_BY_CALLBACK)
		return FG_HTTP_CANCELLED;
	return FG_HTTP_LOST;
}

/* Returns whether libcurl itself found that what arrived is no answer. */
static bool is_unreadable(CURLcode code)
{
	return code == CURLE_WEIRD_SERVER_REPLY ||
	       code == CURLE_BAD_FUNCTION_ARGUMENT ||
	       code == CURLE_BAD_CONTENT_ENCODING;
}

static void log_broken(const struct transfer *t)
{
	enum fg_h1_rule rule = fg_http_check_rule(&t->check);
	char at[FG_H1_AT_TEXT_BYTES];

	fg_h1_format_fault_at(&t->check.h1, at);
	fg_log(FG_LOG_WARN, "http", "unreadable_answer", "address",
	       t->call->addr, "rule",
	       rule == FG_H1_RULE_NONE ? NULL : fg_h1_rule_name(rule),
	       "at_byte", at, NULL);
}

void fg_http_perform(const struct fg_http_call *call,
		     struct fg_http_answer *answer)
{
	struct transfer t = { .call = call };
	CURL *h = new_handle();
	struct curl_slist *headers;
	CURLcode code;
	long status = 0;

	memset(answer, 0, sizeof(*answer));
	t.max_bytes = call->answer_max_bytes > 0 ? call->answer_max_bytes
						 : ANSWER_MAX_BYTES;
	if (call->on_data == NULL)
		t.text = g_string_new(NULL);
	set_options(h, &t);
	fg_http_check_begin(&t.check, h);
	headers = set_headers(h, call);
	code = curl_easy_perform(h);
	t.unreadable = is_unreadable(code) ||
		       (code == CURLE_OK && !fg_http_check_end(&t.check));
	if (is_broken(&t))
		log_broken(&t);
	answer->error = classify_error(h, code, &t);
	curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	answer->status = is_broken(&t) ? 0 : (uint32_t)status;
	answer->len_bytes = t.received_bytes;
	if (t.text != NULL)
		answer->text = g_string_free(t.text, FALSE);
	fg_http_check_clear(&t.check);
	curl_slist_free_all(headers);
	curl_easy_cleanup(h);
}
