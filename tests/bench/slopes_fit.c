/* Measures processor time and memory, and fits series, for bench_slopes. */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <unistd.h>

#include "slopes.h"

/* ---- Series and their fit ---- */

void slopes_print_series(const char *per, const double *x,
			 const struct series *s)
{
	double mean_x = 0, mean_y = 0, sum_xy = 0, sum_xx = 0, slope;

	for (int i = 0; i < SIZES; i++) {
		mean_x += x[i] / SIZES;
		mean_y += s->y[i] / SIZES;
	}
	for (int i = 0; i < SIZES; i++) {
		sum_xy += (x[i] - mean_x) * (s->y[i] - mean_y);
		sum_xx += (x[i] - mean_x) * (x[i] - mean_x);
	}
	slope = sum_xy / sum_xx;
	printf("  %-38s", s->name);
	for (int i = 0; i < SIZES; i++)
		printf(" %10.3g", s->y[i]);
	printf("   %10.4g + %.4g x %s %s\n", mean_y - slope * mean_x, slope,
	       per, s->unit);
}

void slopes_print_header(const char *title, const char *per, const double *x)
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
