/*
 * The registry of instruments. Its mutex protects the list, not the values. No
 * other lock is taken while the mutex is held.
 */
#include "metrics/fg_metrics.h"

#include <ck_pr.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#include "metrics/fg_hist.h"

enum kind {
	KIND_COUNTER = 1,
	KIND_GAUGE,
	KIND_HIST,
};

struct fg_counter {
	uint64_t value;
};

struct fg_gauge {
	uint64_t value; /* two's complement of an int64_t */
};

struct instrument {
	enum kind kind;
	char *name;
	char *labels; /* NULL: none */
	char *help;
	union {
		struct fg_counter counter;
		struct fg_gauge gauge;
		struct fg_hist hist;
	} u;
};

struct fg_metrics {
	pthread_mutex_t lock;
	GPtrArray *list; /* of struct instrument, grouped by name */
};

/* ---- Registry ---- */

static void instrument_free(gpointer p)
{
	struct instrument *in = p;

	g_free(in->name);
	g_free(in->labels);
	g_free(in->help);
	g_free(in);
}

struct fg_metrics *fg_metrics_new(void)
{
	struct fg_metrics *m = g_new0(struct fg_metrics, 1);

	pthread_mutex_init(&m->lock, NULL);
	m->list = g_ptr_array_new_with_free_func(instrument_free);
	return m;
}

void fg_metrics_free(struct fg_metrics *m)
{
	if (m == NULL)
		return;
	g_ptr_array_free(m->list, TRUE);
	pthread_mutex_destroy(&m->lock);
	g_free(m);
}

static bool is_valid_name(const char *name)
{
	for (const char *s = name; *s != '\0'; s++)
		if (!g_ascii_islower(*s) && !g_ascii_isdigit(*s) && *s != '_')
			return false;
	return g_ascii_islower(name[0]);
}

/* A histogram takes a few kB, a counter or gauge a few words: only histograms
 * are allocated with the full union. */
static struct instrument *instrument_new(enum kind kind, const char *name,
					 const char *labels, const char *help)
{
	size_t size = kind == KIND_HIST ? sizeof(struct instrument)
					: offsetof(struct instrument, u) +
						  sizeof(uint64_t);
	struct instrument *in = g_malloc0(size);

	g_assert(is_valid_name(name));
	in->kind = kind;
	in->name = g_strdup(name);
	in->labels = g_strdup(labels);
	in->help = g_strdup(help);
	return in;
}

/* Finds or creates an instrument. The Prometheus format requires that all
 * instruments of one name stand together. */
static struct instrument *find_or_create(struct fg_metrics *m, enum kind kind,
					 const char *name, const char *labels,
					 const char *help)
{
	struct instrument *in = NULL;
	guint insert_at = 0;

	pthread_mutex_lock(&m->lock);
	for (guint i = 0; i < m->list->len && in == NULL; i++) {
		struct instrument *other = g_ptr_array_index(m->list, i);

		if (strcmp(other->name, name) != 0)
			continue;
		g_assert(other->kind == kind);
		insert_at = i + 1;
		if (g_strcmp0(other->labels, labels) == 0)
			in = other;
	}
	if (in == NULL) {
		in = instrument_new(kind, name, labels, help);
		g_ptr_array_insert(m->list,
				   insert_at > 0 ? (gint)insert_at : -1, in);
	}
	pthread_mutex_unlock(&m->lock);
	return in;
}

struct fg_counter *fg_metrics_counter(struct fg_metrics *m, const char *name,
				      const char *labels, const char *help)
{
	return &find_or_create(m, KIND_COUNTER, name, labels, help)->u.counter;
}

struct fg_gauge *fg_metrics_gauge(struct fg_metrics *m, const char *name,
				  const char *labels, const char *help)
{
	return &find_or_create(m, KIND_GAUGE, name, labels, help)->u.gauge;
}

struct fg_hist *fg_metrics_hist(struct fg_metrics *m, const char *name,
				const char *labels, const char *help)
{
	return &find_or_create(m, KIND_HIST, name, labels, help)->u.hist;
}

/* ---- Values ---- */

void fg_counter_add(struct fg_counter *c, uint64_t n)
{
	ck_pr_add_64(&c->value, n);
}

uint64_t fg_counter_get(const struct fg_counter *c)
{
	return ck_pr_load_64(&c->value);
}

void fg_gauge_set(struct fg_gauge *g, int64_t value)
{
	ck_pr_store_64(&g->value, (uint64_t)value);
}

void fg_gauge_add(struct fg_gauge *g, int64_t change)
{
	ck_pr_add_64(&g->value, (uint64_t)change);
}

int64_t fg_gauge_get(const struct fg_gauge *g)
{
	return (int64_t)ck_pr_load_64(&g->value);
}

/* ---- Rendering ---- */

static const char *type_name(enum kind kind)
{
	if (kind == KIND_COUNTER)
		return "counter";
	return kind == KIND_GAUGE ? "gauge" : "histogram";
}

static void render_instrument(const struct instrument *in, GString *out)
{
	if (in->kind == KIND_HIST) {
		fg_hist_render(&in->u.hist, in->name, in->labels, out);
		return;
	}
	g_string_append(out, in->name);
	if (in->labels != NULL)
		g_string_append_printf(out, "{%s}", in->labels);
	if (in->kind == KIND_COUNTER)
		g_string_append_printf(out, " %" PRIu64 "\n",
				       fg_counter_get(&in->u.counter));
	else
		g_string_append_printf(out, " %" PRId64 "\n",
				       fg_gauge_get(&in->u.gauge));
}

char *fg_metrics_render(struct fg_metrics *m)
{
	GString *out = g_string_new(NULL);
	const char *last_name = "";

	pthread_mutex_lock(&m->lock);
	for (guint i = 0; i < m->list->len; i++) {
		const struct instrument *in = g_ptr_array_index(m->list, i);

		if (strcmp(in->name, last_name) != 0)
			g_string_append_printf(
				out, "# HELP %s %s\n# TYPE %s %s\n", in->name,
				in->help, in->name, type_name(in->kind));
		last_name = in->name;
		render_instrument(in, out);
	}
	pthread_mutex_unlock(&m->lock);
	return g_string_free(out, FALSE);
}
