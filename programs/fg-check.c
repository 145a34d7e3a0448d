/*
 * fg-check - checks the histories of a run for violated promises.
 *
 * Prints one line per promise; the history lines that show a violation follow
 * its line. Exit status: 0 if all promises hold; 1 if a promise is violated; 2
 * if none is violated but one is undecided, if a history cannot be read, or
 * after wrong usage.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "check/fg_check.h"

static struct fg_check_conf conf;
static gchar **paths;

static GOptionEntry options[] = {
	{ "leaving-ms", 0, 0, G_OPTION_ARG_INT, &conf.leaving_ms,
	  "New work allowed after the sign of leaving (5000)", "MS" },
	{ "revision-ms", 0, 0, G_OPTION_ARG_INT, &conf.revision_ms,
	  "Accepted configuration in force within (7000)", "MS" },
	{ G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &paths, NULL,
	  "HISTORY..." },
	{ 0 },
};

static gboolean parse_args(int *argc, char ***argv, GError **error)
{
	GOptionContext *ctx = g_option_context_new(NULL);
	gboolean ok;

	g_option_context_set_summary(ctx, "Checks the histories of a run.");
	g_option_context_add_main_entries(ctx, options, NULL);
	ok = g_option_context_parse(ctx, argc, argv, error);
	if (ok && paths == NULL) {
		g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
			    "no history given");
		ok = FALSE;
	}
	g_option_context_free(ctx);
	return ok;
}

static gboolean add_history(struct fg_check *c, const char *path,
			    GError **error)
{
	char *text;
	gboolean ok;

	if (!g_file_get_contents(path, &text, NULL, error))
		return FALSE;
	ok = fg_check_add(c, text, error);
	if (!ok)
		g_prefix_error(error, "%s: ", path);
	g_free(text);
	return ok;
}

static enum fg_verdict print_verdict(const struct fg_check *c,
				     enum fg_promise p)
{
	enum fg_verdict verdict = fg_check_verdict(c, p);

	if (verdict == FG_VERDICT_OK)
		printf("promise %d: ok (%u events)\n", p,
		       fg_check_events(c, p));
	if (verdict == FG_VERDICT_UNDECIDED)
		printf("promise %d: undecided: %s\n", p, fg_check_reason(c, p));
	if (verdict == FG_VERDICT_VIOLATED)
		printf("promise %d: VIOLATED\n", p);
	for (uint32_t i = 0; i < fg_check_evidence_count(c, p); i++)
		printf("  %s\n", fg_check_evidence_line(c, p, i));
	return verdict;
}

static int check_and_print(struct fg_check *c)
{
	bool seen[FG_VERDICT_UNDECIDED + 1] = { false };

	fg_check_run(c);
	for (int p = 1; p <= FG_PROMISE_LAST; p++)
		seen[print_verdict(c, p)] = true;
	if (seen[FG_VERDICT_VIOLATED])
		return 1;
	return seen[FG_VERDICT_UNDECIDED] ? 2 : 0;
}

int main(int argc, char **argv)
{
	GError *error = NULL;
	struct fg_check *c;
	int status = 2;

	fg_check_conf_defaults(&conf);
	if (!parse_args(&argc, &argv, &error)) {
		fprintf(stderr, "fg-check: %s\n", error->message);
		g_error_free(error);
		return status;
	}
	c = fg_check_new(&conf);
	for (int i = 0; paths[i] != NULL && error == NULL; i++)
		add_history(c, paths[i], &error);
	if (error == NULL) {
		status = check_and_print(c);
	} else {
		fprintf(stderr, "fg-check: %s\n", error->message);
		g_error_free(error);
	}
	fg_check_free(c);
	g_strfreev(paths);
	return status;
}
