#include "fl_plot.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define WIDTH_PX 900
#define LEFT_PX 70
#define RIGHT_PX 20
#define PANEL_PX 180
#define TOP_PX 40
#define GAP_PX 60
#define GRID_LINES 4

#define COLOR_P95 "#c0392b"
#define COLOR_P50 "#2471a3"
#define COLOR_FILL "#1e8449"

/* A diagram with a horizontal time axis and a vertical value axis. */
struct panel {
	FILE *out;
	double top_px;
	double max; /* value at the top */
	double end_ms;
};

static double time_to_x(const struct panel *p, double t_ms)
{
	return LEFT_PX + (WIDTH_PX - LEFT_PX - RIGHT_PX) * t_ms / p->end_ms;
}

static double value_to_y(const struct panel *p, double value)
{
	return p->top_px + PANEL_PX * (1 - value / p->max);
}

static void draw_text(FILE *out, double x, double y, const char *anchor,
		      const char *text)
{
	char *escaped = g_markup_escape_text(text, -1);

	fprintf(out,
		"<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x,
		y, anchor, escaped);
	g_free(escaped);
}

static void draw_line(FILE *out, double x1, double y1, double x2, double y2,
		      const char *color)
{
	fprintf(out,
		"<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" "
		"stroke=\"%s\"/>\n",
		x1, y1, x2, y2, color);
}

static void draw_frame(const struct panel *p, const char *title,
		       const char *unit)
{
	double bottom_px = p->top_px + PANEL_PX;
	char label[32];

	draw_text(p->out, LEFT_PX, p->top_px - 10, "start", title);
	for (int i = 0; i <= GRID_LINES; i++) {
		double value = p->max * i / GRID_LINES;
		double t_ms = p->end_ms * i / GRID_LINES;

		draw_line(p->out, LEFT_PX, value_to_y(p, value),
			  WIDTH_PX - RIGHT_PX, value_to_y(p, value), "#dddddd");
		g_snprintf(label, sizeof(label), "%.0f %s", value, unit);
		draw_text(p->out, LEFT_PX - 6, value_to_y(p, value) + 4, "end",
			  label);
		g_snprintf(label, sizeof(label), "%.1f s", t_ms / 1000);
		draw_text(p->out, time_to_x(p, t_ms), bottom_px + 16, "middle",
			  label);
	}
}

static double wait_p50(const struct fl_bucket *b)
{
	return b->wait_p50_ms;
}

static double wait_p95(const struct fl_bucket *b)
{
	return b->wait_p95_ms;
}

static double fill_percent(const struct fl_bucket *b)
{
	return b->fill * 100;
}

static void draw_series(const struct panel *p, const struct fl_bucket *buckets,
			uint32_t n, double (*value)(const struct fl_bucket *),
			const char *color)
{
	fprintf(p->out,
		"<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" "
		"points=\"",
		color);
	for (uint32_t i = 0; i < n; i++)
		fprintf(p->out, "%.1f,%.1f ",
			time_to_x(p, p->end_ms * (i + 0.5) / n),
			value_to_y(p, value(&buckets[i])));
	fprintf(p->out, "\"/>\n");
}

static void draw_faults(const struct panel *p, const struct fl_experiment *exp)
{
	for (uint32_t i = 0; i < exp->faults_count; i++) {
		double x = time_to_x(p, exp->faults[i].at_ms);

		if (exp->faults[i].at_ms < p->end_ms)
			draw_line(p->out, x, p->top_px, x, p->top_px + PANEL_PX,
				  "#888888");
	}
}

static double find_largest_wait(const struct fl_bucket *buckets, uint32_t n)
{
	double max = 1;

	for (uint32_t i = 0; i < n; i++)
		max = MAX(max, buckets[i].wait_p95_ms);
	return max;
}

static void draw_svg(FILE *out, const struct fl_experiment *exp,
		     const struct fl_bucket *buckets, uint32_t n)
{
	struct panel p = {
		.out = out,
		.top_px = TOP_PX,
		.max = find_largest_wait(buckets, n),
		.end_ms = (double)n * exp->bucket_ms,
	};

	fprintf(out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
		"<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
		WIDTH_PX, TOP_PX + 2 * PANEL_PX + 2 * GAP_PX);
	draw_frame(&p,
		   "Wait until a request begins to run: median (blue) and 95th "
		   "percentile (red); faults in grey",
		   "ms");
	draw_faults(&p, exp);
	draw_series(&p, buckets, n, wait_p50, COLOR_P50);
	draw_series(&p, buckets, n, wait_p95, COLOR_P95);
	p.top_px += PANEL_PX + GAP_PX;
	p.max = 100;
	draw_frame(&p, "Batch fill of all engines", "%");
	draw_faults(&p, exp);
	draw_series(&p, buckets, n, fill_percent, COLOR_FILL);
	fprintf(out, "</svg>\n");
}

bool fl_plot_write(const struct fl_experiment *exp,
		   const struct fl_bucket *buckets, uint32_t n)
{
	FILE *out = fopen(exp->plot, "we");

	if (!out) {
		fprintf(stderr, "%s: %s\n", exp->plot, strerror(errno));
		return false;
	}
	draw_svg(out, exp, buckets, n);
	return fclose(out) == 0;
}
