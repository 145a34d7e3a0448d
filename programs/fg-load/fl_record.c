#include "fl_record.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SHOWN_TEXT_BYTES 72

struct fl_record {
	const struct fl_conf *conf;
	pthread_mutex_t lock;
	FILE *history;
	GHashTable *outcomes; /* "class OUTCOME reason" -> count */
	GArray *latency_ms[FG_CLASS_COUNT]; /* of answers that were DONE */
	uint32_t shown[FG_CLASS_COUNT];	    /* printed answers */
	uint32_t done;			    /* requests that were DONE */
	uint32_t whole;			    /* requests DONE and whole */
	uint32_t final;			    /* requests with a final answer */
	uint32_t attempts;		    /* of all requests */
};

struct fl_record *fl_record_new(const struct fl_conf *conf)
{
	struct fl_record *r = g_new0(struct fl_record, 1);

	r->conf = conf;
	pthread_mutex_init(&r->lock, NULL);
	r->outcomes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < FG_CLASS_COUNT; i++)
		r->latency_ms[i] = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	if (*conf->history) {
		r->history = fopen(conf->history, "ae");
		if (!r->history) {
			fprintf(stderr, "%s: %s\n", conf->history,
				strerror(errno));
			fl_record_free(r);
			return NULL;
		}
		setvbuf(r->history, NULL, _IOLBF, 0);
	}
	return r;
}

void fl_record_free(struct fl_record *r)
{
	if (r->history)
		fclose(r->history);
	g_hash_table_destroy(r->outcomes);
	for (int i = 0; i < FG_CLASS_COUNT; i++)
		g_array_free(r->latency_ms[i], TRUE);
	pthread_mutex_destroy(&r->lock);
	g_free(r);
}

/* Takes ownership of the reference to `fields`. */
static void write_event(struct fl_record *r, const char *ev, json_t *fields)
{
	json_t *event;
	char *text;

	pthread_mutex_lock(&r->lock);
	event = json_pack("{s:I, s:s, s:s}", "t", (json_int_t)fg_clock_now(),
			  "who", r->conf->caller, "ev", ev);
	json_object_update(event, fields);
	text = json_dumps(event, JSON_COMPACT);
	if (r->history)
		fprintf(r->history, "%s\n", text);
	pthread_mutex_unlock(&r->lock);
	free(text);
	json_decref(event);
	json_decref(fields);
}

void fl_record_invoke(struct fl_record *r, const struct fl_req *req,
		      const char *tag, const char *entry)
{
	const char *key = req->cls == FG_CLASS_FILING ? req->key : "";

	write_event(r, "invoke",
		    json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "tag", tag,
			      "class", fg_class_name(req->cls), "adapter",
			      req->adapter, "version", req->version, "key", key,
			      "service", req->service, "entry", entry));
}

void fl_record_return(struct fl_record *r, const struct fl_req *req,
		      const char *tag, const struct fl_answer *answer)
{
	(void)req;
	write_event(r, "return",
		    json_pack("{s:s, s:s, s:s, s:b, s:b, s:s}", "tag", tag,
			      "outcome", fg_outcome_name(answer->outcome),
			      "reason", answer->reason, "whole", answer->whole,
			      "replayed", answer->replayed, "version",
			      answer->version));
}

static void print_answer(const struct fl_req *req,
			 const struct fl_answer *answer, const char *entry,
			 uint32_t latency_ms)
{
	const char *ellipsis =
		strlen(answer->text) > SHOWN_TEXT_BYTES ? "..." : "";

	printf("%s via %s in %u ms: %s%s%s\n", fg_class_name(req->cls), entry,
	       latency_ms, fg_outcome_name(answer->outcome),
	       *answer->reason ? " " : "", answer->reason);
	if (fl_is_generation(req->cls))
		printf("  asked %s: %s\n", req->adapter, req->prompt);
	else
		printf("  asked %s for %s\n", req->service, req->key);
	printf("  answer: %.*s%s\n", SHOWN_TEXT_BYTES, answer->text, ellipsis);
}

static void count_outcome(struct fl_record *r, const struct fl_req *req,
			  const struct fl_answer *answer)
{
	char *name = g_strdup_printf("%s %s %s", fg_class_name(req->cls),
				     fg_outcome_name(answer->outcome),
				     *answer->reason ? answer->reason : "none");
	gpointer count = g_hash_table_lookup(r->outcomes, name);

	g_hash_table_replace(r->outcomes, name,
			     GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
}

void fl_record_final(struct fl_record *r, const struct fl_req *req,
		     const struct fl_answer *answer, const char *entry,
		     uint32_t attempts, uint32_t latency_ms)
{
	pthread_mutex_lock(&r->lock);
	count_outcome(r, req, answer);
	r->final++;
	r->attempts += attempts;
	if (answer->outcome == FG_DONE) {
		r->done++;
		r->whole += answer->whole;
		g_array_append_val(r->latency_ms[req->cls], latency_ms);
	}
	if (r->shown[req->cls] < r->conf->show) {
		r->shown[req->cls]++;
		print_answer(req, answer, entry, latency_ms);
	}
	pthread_mutex_unlock(&r->lock);
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static uint32_t get_percentile(const GArray *sorted, uint32_t percent)
{
	guint at;

	if (sorted->len == 0)
		return 0;
	at = (sorted->len * percent + 99) / 100;
	return g_array_index(sorted, uint32_t, at > 0 ? at - 1 : 0);
}

static json_t *make_latency_json(const GArray *sorted)
{
	return json_pack("{s:i, s:i, s:i, s:i, s:i}", "count", (int)sorted->len,
			 "p50_ms", (int)get_percentile(sorted, 50), "p95_ms",
			 (int)get_percentile(sorted, 95), "p99_ms",
			 (int)get_percentile(sorted, 99), "max_ms",
			 (int)get_percentile(sorted, 100));
}

static json_t *make_summary_json(struct fl_record *r, fg_ms duration_ms)
{
	double seconds =
		duration_ms > 0 ? (double)duration_ms / FG_MS_PER_S : 1;
	json_t *outcomes = json_object();
	json_t *latency = json_object();
	GHashTableIter iter;
	gpointer name;
	gpointer count;

	g_hash_table_iter_init(&iter, r->outcomes);
	while (g_hash_table_iter_next(&iter, &name, &count))
		json_object_set_new(outcomes, name,
				    json_integer(GPOINTER_TO_UINT(count)));
	for (int i = 0; i < FG_CLASS_COUNT; i++) {
		g_array_sort(r->latency_ms[i], compare_u32);
		json_object_set_new(latency, fg_class_name((enum fg_class)i),
				    make_latency_json(r->latency_ms[i]));
	}
	return json_pack("{s:i, s:i, s:i, s:i, s:I, s:f, s:o, s:o}", "requests",
			 (int)r->final, "attempts", (int)r->attempts, "done",
			 (int)r->done, "whole", (int)r->whole, "duration_ms",
			 (json_int_t)duration_ms, "done_per_s",
			 r->done / seconds, "outcomes", outcomes, "latency",
			 latency);
}

static void print_outcomes(json_t *outcomes)
{
	GList *names = NULL;
	const char *name;
	json_t *count;

	json_object_foreach(outcomes, name, count) names =
		g_list_prepend(names, (char *)name);
	names = g_list_sort(names, (GCompareFunc)strcmp);
	for (GList *l = names; l; l = l->next)
		printf("  %-44s %6d\n", (char *)l->data,
		       (int)json_integer_value(
			       json_object_get(outcomes, l->data)));
	g_list_free(names);
}

static void print_latency(const struct fl_record *r)
{
	printf("  %-12s %6s %8s %8s %8s %8s\n", "class", "done", "p50 ms",
	       "p95 ms", "p99 ms", "max ms");
	for (int i = 0; i < FG_CLASS_COUNT; i++) {
		const GArray *sorted = r->latency_ms[i];

		if (sorted->len == 0)
			continue;
		printf("  %-12s %6u %8u %8u %8u %8u\n",
		       fg_class_name((enum fg_class)i), sorted->len,
		       get_percentile(sorted, 50), get_percentile(sorted, 95),
		       get_percentile(sorted, 99), get_percentile(sorted, 100));
	}
}

uint32_t fl_record_summary(struct fl_record *r, fg_ms duration_ms)
{
	json_t *summary = make_summary_json(r, duration_ms);

	printf("%u requests in %u attempts and %.1f s: %u done, %u whole\n",
	       r->final, r->attempts, (double)duration_ms / FG_MS_PER_S,
	       r->done, r->whole);
	print_outcomes(json_object_get(summary, "outcomes"));
	print_latency(r);
	if (*r->conf->summary &&
	    json_dump_file(summary, r->conf->summary, JSON_INDENT(2)) != 0)
		fprintf(stderr, "%s: cannot write the summary\n",
			r->conf->summary);
	json_decref(summary);
	return (r->conf->all_done ? r->final : r->done) - r->whole;
}
