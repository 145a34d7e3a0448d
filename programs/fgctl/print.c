/* Output as tables or JSON, and error messages. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fgctl.h"

#define COLUMN_GAP 2 /* spaces between columns */

struct ctl_table {
	GPtrArray *rows; /* of GStrv; the first one holds the titles */
	guint columns;
};

void ctl_error(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	fputs("fgctl: ", stderr);
	vfprintf(stderr, fmt, ap);
	fputc('\n', stderr);
	va_end(ap);
}

void ctl_print_json(const json_t *value)
{
	json_dumpf(value, stdout, JSON_INDENT(2) | JSON_ENCODE_ANY);
	putchar('\n');
}

struct ctl_table *ctl_table_new(const char *const *titles)
{
	struct ctl_table *t = g_new0(struct ctl_table, 1);

	t->columns = g_strv_length((char **)titles);
	t->rows = g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);
	ctl_table_add_row(t, titles);
	return t;
}

void ctl_table_add_row(struct ctl_table *t, const char *const *cells)
{
	char **row = g_new0(char *, t->columns + 1);

	for (guint i = 0; i < t->columns; i++)
		row[i] = g_strdup(cells[i] != NULL ? cells[i] : "");
	g_ptr_array_add(t->rows, row);
}

static int column_width(const struct ctl_table *t, guint column)
{
	glong width = 0;

	for (guint r = 0; r < t->rows->len; r++) {
		char **row = g_ptr_array_index(t->rows, r);

		width = MAX(width, g_utf8_strlen(row[column], -1));
	}
	return (int)width;
}

static void print_row(char **row, const int *widths, guint columns)
{
	for (guint i = 0; i < columns; i++) {
		int pad =
			widths[i] - (int)g_utf8_strlen(row[i], -1) + COLUMN_GAP;

		fputs(row[i], stdout);
		if (i + 1 < columns)
			printf("%*s", pad, "");
	}
	putchar('\n');
}

void ctl_table_print(struct ctl_table *t)
{
	int *widths = g_new0(int, t->columns);

	for (guint i = 0; i < t->columns; i++)
		widths[i] = column_width(t, i);
	for (guint r = 0; r < t->rows->len; r++)
		print_row(g_ptr_array_index(t->rows, r), widths, t->columns);
	g_free(widths);
	g_ptr_array_free(t->rows, TRUE);
	g_free(t);
}

/* Returns the names of the scalar members of the first object, and a final
 * NULL. */
static GPtrArray *list_scalar_members(const json_t *list)
{
	GPtrArray *names = g_ptr_array_new();
	const char *key;
	json_t *value;

	json_object_foreach(json_array_get(list, 0), key, value)
	{
		if (!json_is_array(value) && !json_is_object(value))
			g_ptr_array_add(names, (gpointer)key);
	}
	g_ptr_array_add(names, NULL);
	return names;
}

static char *format_cell(const json_t *value)
{
	char *dumped;
	char *text;

	if (value == NULL)
		return g_strdup("");
	if (json_is_string(value))
		return g_strdup(json_string_value(value));
	dumped = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	text = g_strdup(dumped);
	free(dumped);
	return text;
}

static void add_object_row(struct ctl_table *t, const GPtrArray *names,
			   const json_t *obj)
{
	char **cells = g_new0(char *, names->len);

	for (guint k = 0; k + 1 < names->len; k++)
		cells[k] = format_cell(json_object_get(obj, names->pdata[k]));
	ctl_table_add_row(t, (const char *const *)cells);
	g_strfreev(cells);
}

void ctl_print_objects(const struct ctl *c, const json_t *list)
{
	g_autoptr(GPtrArray) names = NULL;
	struct ctl_table *t;

	if (c->json) {
		ctl_print_json(list);
		return;
	}
	if (json_array_size(list) == 0)
		return;
	names = list_scalar_members(list);
	t = ctl_table_new((const char *const *)names->pdata);
	for (size_t i = 0; i < json_array_size(list); i++)
		add_object_row(t, names, json_array_get(list, i));
	ctl_table_print(t);
}
