#include "fl_stalls.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "fl_http.h"

#define LOG_TIMEOUT_MS 10000

struct request_times {
	fg_ms due;
	fg_ms started_at; /* start of the last run; 0 if there was none */
};

/* A run on an engine. */
struct span {
	fg_ms begin;
	fg_ms end;
};

struct fl_stalls {
	const struct fl_experiment *exp;
	pthread_mutex_t lock;
	GHashTable *requests; /* name -> struct request_times */
	GArray *spans;
	uint32_t batch_capacity; /* sum of all engines' batch sizes */
};

struct fl_stalls *fl_stalls_new(const struct fl_experiment *exp)
{
	struct fl_stalls *s = g_new0(struct fl_stalls, 1);

	s->exp = exp;
	pthread_mutex_init(&s->lock, NULL);
	s->requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->spans = g_array_new(FALSE, FALSE, sizeof(struct span));
	return s;
}

void fl_stalls_free(struct fl_stalls *s)
{
	g_hash_table_destroy(s->requests);
	g_array_free(s->spans, TRUE);
	pthread_mutex_destroy(&s->lock);
	g_free(s);
}

void fl_stalls_request(struct fl_stalls *s, const char *name, fg_ms due)
{
	struct request_times *times = g_new0(struct request_times, 1);

	times->due = due;
	pthread_mutex_lock(&s->lock);
	g_hash_table_replace(s->requests, g_strdup(name), times);
	pthread_mutex_unlock(&s->lock);
}

static const char *get_string(json_t *obj, const char *name)
{
	const char *s = json_string_value(json_object_get(obj, name));

	return s ? s : "";
}

static void record_start(struct fl_stalls *s, json_t *event, fg_ms t)
{
	char *name = g_strdup(get_string(event, "tag"));
	char *dot = strrchr(name, '.');
	struct request_times *times;

	if (dot)
		*dot = '\0';
	times = g_hash_table_lookup(s->requests, name);
	if (times && t > times->started_at)
		times->started_at = t;
	g_free(name);
}

/* Processes an event of an engine's log. `open` maps the ids of the engine's
 * unfinished runs to their start times. */
static void process_event(struct fl_stalls *s, GHashTable *open, json_t *event)
{
	fg_ms t = json_integer_value(json_object_get(event, "t"));
	const char *ev = get_string(event, "ev");
	const char *id = get_string(event, "id");
	fg_ms *begin;

	if (strcmp(ev, "run_start") == 0) {
		g_hash_table_replace(open, g_strdup(id),
				     g_memdup2(&t, sizeof(t)));
		record_start(s, event, t);
	} else if (strcmp(ev, "run_end") == 0) {
		begin = g_hash_table_lookup(open, id);
		if (begin) {
			struct span span = { *begin, t };

			g_array_append_val(s->spans, span);
		}
		g_hash_table_remove(open, id);
	}
}

static void process_log(struct fl_stalls *s, const char *text)
{
	GHashTable *open =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	char **lines = g_strsplit(text, "\n", 0);

	for (char **line = lines; *line; line++) {
		json_t *event = json_loads(*line, 0, NULL);

		if (event)
			process_event(s, open, event);
		json_decref(event);
	}
	g_strfreev(lines);
	g_hash_table_destroy(open);
}

void fl_stalls_collect(struct fl_stalls *s)
{
	CURL *curl = curl_easy_init();

	for (uint32_t i = 0; i < s->exp->engines_count; i++) {
		const struct fl_engine *engine = &s->exp->engines[i];
		struct fl_http_result res = { 0 };

		fl_http_get(curl, engine->control, "/control/log",
			    LOG_TIMEOUT_MS, &res);
		if (res.status == 200) {
			process_log(s, res.body->str);
			s->batch_capacity += engine->batch;
		} else {
			fprintf(stderr,
				"%s: cannot read the engine's log, the report "
				"omits its runs\n",
				engine->control);
		}
		fl_http_result_clear(&res);
	}
	curl_easy_cleanup(curl);
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/* Computes the waits of the requests that were due in [from, to). */
static void measure_waits(struct fl_stalls *s, fg_ms from, fg_ms to,
			  struct fl_bucket *out)
{
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct request_times *times = value;
		uint32_t wait_ms = (uint32_t)(times->started_at - times->due);

		if (times->started_at != 0 && times->due >= from &&
		    times->due < to)
			g_array_append_val(waits, wait_ms);
	}
	g_array_sort(waits, compare_u32);
	out->requests = waits->len;
	if (waits->len > 0) {
		guint last = waits->len - 1;

		out->wait_p50_ms = g_array_index(waits, uint32_t, last / 2);
		out->wait_p95_ms =
			g_array_index(waits, uint32_t, last * 95 / 100);
	}
	g_array_free(waits, TRUE);
}

static double measure_fill(const struct fl_stalls *s, fg_ms from, fg_ms to)
{
	fg_ms used_ms = 0;

	for (guint i = 0; i < s->spans->len; i++) {
		struct span span = g_array_index(s->spans, struct span, i);
		fg_ms begin = MAX(span.begin, from);
		fg_ms end = MIN(span.end, to);

		if (end > begin)
			used_ms += end - begin;
	}
	if (s->batch_capacity == 0)
		return 0;
	return (double)used_ms / ((double)(to - from) * s->batch_capacity);
}

struct fl_bucket *fl_stalls_buckets(struct fl_stalls *s, fg_ms begin, fg_ms end,
				    uint32_t *n)
{
	fg_ms width = s->exp->bucket_ms;
	struct fl_bucket *buckets;

	*n = (uint32_t)((end - begin) / width + 1);
	buckets = g_new0(struct fl_bucket, *n);
	for (uint32_t i = 0; i < *n; i++) {
		fg_ms from = begin + (fg_ms)i * width;

		measure_waits(s, from, from + width, &buckets[i]);
		buckets[i].fill = measure_fill(s, from, from + width);
	}
	return buckets;
}
