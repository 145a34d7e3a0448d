/* Measuring and fitting for bench_slopes. */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <unistd.h>

#include "slopes.h"

/* ---- Series and their fit ---- */

void slopes_series(const char *per, const double *x, const struct series *s)
{
	double mx = 0, my = 0, xy = 0, xx = 0, slope;

	for (int i = 0; i < SIZES; i++) {
		mx += x[i] / SIZES;
		my += s->y[i] / SIZES;
	}
	for (int i = 0; i < SIZES; i++) {
		xy += (x[i] - mx) * (s->y[i] - my);
		xx += (x[i] - mx) * (x[i] - mx);
	}
	slope = xy / xx;
	printf("  %-38s", s->name);
	for (int i = 0; i < SIZES; i++)
		printf(" %10.3g", s->y[i]);
	printf("   %10.4g + %.4g x %s %s\n", my - slope * mx, slope, per,
	       s->unit);
}

void slopes_header(const char *title, const char *per, const double *x)
{
	printf("%s\n  %-38s", title, per);
	for (int i = 0; i < SIZES; i++)
		printf(" %10.0f", x[i]);
	printf("   fit\n");
}

/* ---- Measuring ---- */

double slopes_cpu_us(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

double slopes_heap_bytes(void)
{
	struct mallinfo2 mi = mallinfo2();

	return (double)mi.uordblks + (double)mi.hblkhd;
}

double slopes_resident_bytes(void)
{
	long pages = 0;
	FILE *f = fopen("/proc/self/statm", "r");

	if (f == NULL || fscanf(f, "%*d %ld", &pages) != 1)
		pages = 0;
	if (f != NULL)
		fclose(f);
	return (double)pages * (double)sysconf(_SC_PAGESIZE);
}
