#include "run/fg_exchange.h"

#include <string.h>

#define STREAM_BLOCK_BYTES 4096

struct fg_exchange *fg_exchange_new(uint64_t id,
				    struct MHD_Connection *connection)
{
	struct fg_exchange *x = g_new0(struct fg_exchange, 1);

	x->refs = 1;
	x->id = id;
	x->cls = -1;
	x->connection = connection;
	x->body = g_string_new(NULL);
	x->pending_text = g_string_new(NULL);
	pthread_mutex_init(&x->lock, NULL);
	return x;
}

struct fg_exchange *fg_exchange_ref(struct fg_exchange *x)
{
	g_atomic_int_inc(&x->refs);
	return x;
}

void fg_exchange_unref(struct fg_exchange *x)
{
	if (x == NULL || !g_atomic_int_dec_and_test(&x->refs))
		return;
	g_string_free(x->body, TRUE);
	g_string_free(x->pending_text, TRUE);
	g_free(x->tag);
	pthread_mutex_destroy(&x->lock);
	g_free(x);
}

void fg_exchange_suspend(struct fg_exchange *x)
{
	pthread_mutex_lock(&x->lock);
	x->suspended = true;
	MHD_suspend_connection(x->connection);
	pthread_mutex_unlock(&x->lock);
}

/* Caller holds the lock. */
static void resume_if_suspended(struct fg_exchange *x)
{
	if (!x->suspended)
		return;
	x->suspended = false;
	MHD_resume_connection(x->connection);
}

void fg_exchange_add_piece(struct fg_exchange *x, const char *line)
{
	pthread_mutex_lock(&x->lock);
	if (!x->closed && !x->done) {
		g_string_append(x->pending_text, line);
		x->pieces++;
		resume_if_suspended(x);
	}
	pthread_mutex_unlock(&x->lock);
}

void fg_exchange_finish(struct fg_exchange *x, uint32_t status,
			uint32_t retry_after_ms, const char *text)
{
	pthread_mutex_lock(&x->lock);
	if (!x->closed && !x->done) {
		x->status = status;
		x->retry_after_ms = retry_after_ms;
		x->done = true;
		g_string_append(x->pending_text, text);
		g_string_append_c(x->pending_text, '\n');
		resume_if_suspended(x);
	}
	pthread_mutex_unlock(&x->lock);
}

void fg_exchange_close(struct fg_exchange *x)
{
	pthread_mutex_lock(&x->lock);
	x->closed = true;
	pthread_mutex_unlock(&x->lock);
}

/* Passes pending text to MHD; suspends the connection while there is none. */
static ssize_t read_stream(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct fg_exchange *x = arg;
	size_t len_bytes;
	ssize_t rc;

	(void)pos;
	pthread_mutex_lock(&x->lock);
	len_bytes = MIN(x->pending_text->len, max);
	if (len_bytes > 0) {
		memcpy(buf, x->pending_text->str, len_bytes);
		g_string_erase(x->pending_text, 0, (gssize)len_bytes);
		rc = (ssize_t)len_bytes;
	} else if (x->done) {
		rc = MHD_CONTENT_READER_END_OF_STREAM;
	} else {
		x->suspended = true;
		MHD_suspend_connection(x->connection);
		rc = 0;
	}
	pthread_mutex_unlock(&x->lock);
	return rc;
}

static void release_stream(void *arg)
{
	fg_exchange_unref(arg);
}

static void add_retry_after(struct MHD_Response *response,
			    uint32_t retry_after_ms)
{
	char seconds[16];

	if (retry_after_ms == 0)
		return;
	g_snprintf(seconds, sizeof(seconds), "%u",
		   (retry_after_ms + 999) / 1000);
	MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
}

struct MHD_Response *fg_exchange_create_response(struct fg_exchange *x,
						 uint32_t *status)
{
	struct MHD_Response *response;

	pthread_mutex_lock(&x->lock);
	if (x->done && x->pieces == 0) {
		*status = x->status;
		response = MHD_create_response_from_buffer(
			x->pending_text->len, x->pending_text->str,
			MHD_RESPMEM_MUST_COPY);
		add_retry_after(response, x->retry_after_ms);
	} else {
		*status = MHD_HTTP_OK;
		response = MHD_create_response_from_callback(
			MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream,
			fg_exchange_ref(x), release_stream);
	}
	pthread_mutex_unlock(&x->lock);
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				"application/json");
	return response;
}
