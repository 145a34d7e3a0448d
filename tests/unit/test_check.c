/* Unit tests of lib/check and lib/history. A history without violations must
 * pass; each test case changes it in one place and states the verdicts. */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "check/fg_check.h"
#include "history/fg_history.h"

#define ALL_OK "        "

/* A history in which all promises hold. E1 and E2 are entries, M and N engines,
 * P is a plain service, C a caller. E2 does a planned stop. */
static const char valid_history[] =
	"{'t':1,'who':'test','ev':'live','name':'E1','kind':'entry'}\n"
	"{'t':1,'who':'test','ev':'live','name':'E2','kind':'entry',"
	"'addr':'e2'}\n"
	"{'t':1,'who':'test','ev':'live','name':'M','kind':'engine'}\n"
	"{'t':2,'who':'M','ev':'open'}\n"
	"{'t':2,'who':'N','ev':'open'}\n"
	"{'t':2,'who':'P','ev':'open'}\n"
	"{'t':2,'who':'E1','ev':'open'}\n"
	"{'t':2,'who':'E2','ev':'open'}\n"
	"{'t':3,'who':'E1','ev':'revision','revision':1,'preset':'peak'}\n"
	"{'t':3,'who':'E2','ev':'revision','revision':1,'preset':'peak'}\n"
	"{'t':5,'who':'M','ev':'load_start','slot':0,'running':0}\n"
	"{'t':6,'who':'M','ev':'load_end','slot':0,'ok':true}\n"
	/* a draft that is answered with DONE */
	"{'t':10,'who':'C','ev':'invoke','tag':'a','adapter':'A',"
	"'version':'1','class':'draft','entry':'e1'}\n"
	"{'t':11,'who':'E1','ev':'dispatch','id':'a1','tag':'a','ep':'M'}\n"
	"{'t':12,'who':'M','ev':'run_start','id':'a1','tag':'a',"
	"'adapter':'A','version':'1','slot':0,'slot_adapter':'A',"
	"'slot_version':'1'}\n"
	"{'t':20,'who':'M','ev':'run_end','id':'a1','tag':'a','ok':true,"
	"'adapter':'A','version':'1','slot_adapter':'A','slot_version':'1'}\n"
	"{'t':21,'who':'C','ev':'return','tag':'a','outcome':'DONE',"
	"'whole':true}\n"
	"{'t':21,'who':'M','ev':'load_start','slot':0,'running':0}\n"
	/* a filing, its replay, and a filing that does not run */
	"{'t':30,'who':'C','ev':'invoke','tag':'f','key':'k',"
	"'class':'filing'}\n"
	"{'t':31,'who':'E1','ev':'dispatch','id':'f1','tag':'f','ep':'P'}\n"
	"{'t':32,'who':'P','ev':'exec','id':'f1','tag':'f','op':'file',"
	"'key':'k','ok':true}\n"
	"{'t':33,'who':'C','ev':'return','tag':'f','outcome':'DONE',"
	"'whole':true}\n"
	"{'t':34,'who':'C','ev':'invoke','tag':'g','key':'k',"
	"'class':'filing'}\n"
	"{'t':35,'who':'C','ev':'return','tag':'g','outcome':'DONE',"
	"'whole':true,'replayed':true}\n"
	"{'t':36,'who':'C','ev':'invoke','tag':'h','key':'l',"
	"'class':'filing'}\n"
	"{'t':37,'who':'C','ev':'return','tag':'h','outcome':'NOT_RUN'}\n"
	/* an endpoint leaves and gets new work within the time allowed */
	"{'t':40,'who':'N','ev':'leaving'}\n"
	"{'t':50,'who':'C','ev':'invoke','tag':'n','adapter':'A',"
	"'entry':'e2'}\n"
	"{'t':4000,'who':'E2','ev':'dispatch','id':'n1','tag':'n',"
	"'ep':'N'}\n"
	"{'t':4001,'who':'N','ev':'run_start','id':'n1','tag':'n',"
	"'adapter':'A','version':'2','slot':0,'slot_adapter':'A',"
	"'slot_version':'2'}\n"
	/* a planned stop that waits for this work */
	"{'t':4010,'who':'E2','ev':'stop_begin','in_progress':1}\n"
	"{'t':4020,'who':'N','ev':'run_end','id':'n1','tag':'n',"
	"'ok':true}\n"
	"{'t':4021,'who':'C','ev':'return','tag':'n','outcome':'DONE',"
	"'whole':true}\n"
	"{'t':4022,'who':'E2','ev':'stop_end','in_progress':0}\n"
	/* a change of configuration */
	"{'t':5000,'who':'E1','ev':'accepted','revision':2}\n"
	"{'t':9000,'who':'E1','ev':'revision','revision':2,"
	"'preset':'ordinary'}\n"
	"{'t':20000,'who':'test','ev':'dead','name':'M'}\n";

/* Returns one character per promise: ' ' ok, 'X' violated, '?' undecided. */
static char *check_text(const char *text)
{
	char *json = g_strdelimit(g_strdup(text), "'", '"');
	struct fg_check_conf conf;
	GError *error = NULL;
	struct fg_check *c;
	char *out;

	fg_check_conf_defaults(&conf);
	c = fg_check_new(&conf);
	fg_check_add(c, json, &error);
	g_assert_no_error(error);
	fg_check_run(c);
	out = g_strnfill(FG_PROMISE_LAST, ' ');
	for (int p = 1; p <= FG_PROMISE_LAST; p++) {
		out[p - 1] = " X?"[fg_check_verdict(c, p)];
		g_assert_cmpint(fg_check_evidence_count(c, p) > 0, ==,
				out[p - 1] == 'X');
		g_assert_cmpint(*fg_check_reason(c, p) != '\0', ==,
				out[p - 1] == '?');
	}
	fg_check_free(c);
	g_free(json);
	return out;
}

static void assert_verdicts(const char *what, const char *text,
			    const char *expected)
{
	char *got = check_text(text);

	if (strcmp(got, expected) != 0)
		g_error("%s: \"%s\" instead of \"%s\"", what, got, expected);
	g_free(got);
}

/* Replaces the first `find` in valid_history by `replacement`. */
struct test_case {
	const char *what;
	const char *find; /* "": append the replacement */
	const char *replacement;
	const char *expected; /* as returned by check_text() */
};

static void assert_cases(const struct test_case *cases, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		const struct test_case *p = &cases[i];
		const char *at =
			*p->find != '\0'
				? strstr(valid_history, p->find)
				: valid_history + strlen(valid_history);
		char *text;

		g_assert_nonnull(at);
		text = g_strdup_printf("%.*s%s%s", (int)(at - valid_history),
				       valid_history, p->replacement,
				       at + strlen(p->find));
		assert_verdicts(p->what, text, p->expected);
		g_free(text);
	}
}

static void test_valid_history(void)
{
	assert_verdicts("clean", valid_history, ALL_OK);
}

static void test_answers(void)
{
	static const struct test_case cases[] = {
		{ "other adapter in the slot", "'slot_adapter':'A'",
		  "'slot_adapter':'B'", "X       " },
		{ "other version in the slot", "'slot_version':'1'",
		  "'slot_version':'0'", "X       " },
		{ "replaced while it ran",
		  "'ok':true,'adapter':'A','version':'1','slot_adapter':'A'",
		  "'ok':true,'adapter':'A','version':'1','slot_adapter':'B'",
		  "X       " },
		{ "not what the caller asked for", "'version':'1','class'",
		  "'version':'9','class'", "X       " },
		{ "not whole", "'DONE','whole':true", "'DONE','whole':false",
		  "  X     " },
		{ "not checked", "'DONE','whole':true", "'DONE'", "  X     " },
		{ "an answer without a run that ended well",
		  "'id':'a1','tag':'a','ok':true",
		  "'id':'a1','tag':'a','ok':false", "  X     " },
		{ "a replay of what never ran", "'tag':'g','key':'k'",
		  "'tag':'g','key':'z'", "  X     " },
		{ "not run, but it ran", "'tag':'f','outcome':'DONE'",
		  "'tag':'f','outcome':'NOT_RUN'", "   X    " },
		{ "two answers", "",
		  "{'t':38,'who':'C','ev':'return','tag':'h','outcome':"
		  "'DONE','whole':true}\n",
		  "  X     " },
		{ "an answer to nobody", "",
		  "{'t':38,'who':'C','ev':'return','tag':'x','outcome':"
		  "'FAILED'}\n",
		  "  X     " },
		{ "not run, and run later", "",
		  "{'t':30000,'who':'P','ev':'exec','id':'h1','tag':'h',"
		  "'op':'file','key':'l','ok':false}\n"
		  "{'t':29999,'who':'E1','ev':'dispatch','id':'h1',"
		  "'tag':'h','ep':'P'}\n",
		  "   X    " },
		{ "filed twice", "",
		  "{'t':30000,'who':'P','ev':'exec','id':'f1','tag':'f',"
		  "'op':'file','key':'k','ok':false}\n",
		  "    X   " },
	};

	assert_cases(cases, G_N_ELEMENTS(cases));
}

/* Histories that resemble violations but are valid, such as a tag that is sent
 * again after NOT_RUN, or the same key from another caller. */
static void test_no_false_positives(void)
{
	static const struct test_case cases[] = {
		{ "sent again", "",
		  "{'t':100,'who':'C','ev':'invoke','tag':'h','key':'l'}\n"
		  "{'t':101,'who':'E1','ev':'dispatch','id':'h1',"
		  "'tag':'h','ep':'P'}\n"
		  "{'t':102,'who':'P','ev':'exec','id':'h1','tag':'h',"
		  "'op':'file','key':'l','ok':true}\n",
		  ALL_OK },
		{ "same key, other caller", "",
		  "{'t':100,'who':'D','ev':'invoke','tag':'i','key':'k'}\n"
		  "{'t':101,'who':'E1','ev':'dispatch','id':'i1',"
		  "'tag':'i','ep':'P'}\n"
		  "{'t':102,'who':'P','ev':'exec','id':'i1','tag':'i',"
		  "'op':'file','key':'k','ok':true}\n",
		  ALL_OK },
		{ "refused eviction", "",
		  "{'t':4002,'who':'N','ev':'evict','slot':0,'ok':false,"
		  "'running':1}\n",
		  ALL_OK },
		{ "other slot", "",
		  "{'t':4002,'who':'N','ev':'evict','slot':1,'ok':true,"
		  "'running':0}\n",
		  ALL_OK },
		{ "loads after a restart ended what ran", "",
		  "{'t':4002,'who':'N','ev':'restart','epoch':2}\n"
		  "{'t':4003,'who':'N','ev':'load_start','slot':0,"
		  "'running':0}\n",
		  ALL_OK },
		{ "killed while stopping",
		  "{'t':4022,'who':'E2','ev':'stop_end','in_progress':0}",
		  "{'t':4015,'who':'test','ev':'dead','name':'E2'}", ALL_OK },
		{ "dead before the change is due", "",
		  "{'t':8000,'who':'test','ev':'dead','name':'E3'}\n"
		  "{'t':4,'who':'E3','ev':'revision','revision':1,"
		  "'preset':'peak'}\n",
		  ALL_OK },
	};

	assert_cases(cases, G_N_ELEMENTS(cases));
}

static void test_engines(void)
{
	static const struct test_case cases[] = {
		{ "evicted in use by the engine's count",
		  "'t':21,'who':'M','ev':'load_start','slot':0,'running':0",
		  "'t':21,'who':'M','ev':'load_start','slot':0,'running':1",
		  " X      " },
		{ "evicted in use as seen", "",
		  "{'t':4002,'who':'N','ev':'evict','slot':0,'ok':true,"
		  "'running':0}\n",
		  " X      " },
		{ "new work of a leaving endpoint", "'t':4001", "'t':5041",
		  "     X  " },
	};

	assert_cases(cases, G_N_ELEMENTS(cases));
}

static void test_stop(void)
{
	static const struct test_case cases[] = {
		{ "requests left", "'stop_end','in_progress':0",
		  "'stop_end','in_progress':1", "      X " },
		{ "no answer",
		  "{'t':4021,'who':'C','ev':'return','tag':'n',"
		  "'outcome':'DONE','whole':true}\n",
		  "", "      X " },
		{ "connection closed", "'tag':'n','outcome':'DONE'",
		  "'tag':'n','outcome':'UNKNOWN','reason':'no_answer'",
		  "      X " },
		{ "failed though it ran well", "'tag':'n','outcome':'DONE'",
		  "'tag':'n','outcome':'FAILED'", "      X " },
		{ "closed before any dispatch", "",
		  "{'t':4005,'who':'C','ev':'invoke','tag':'w',"
		  "'entry':'e2'}\n"
		  "{'t':4015,'who':'C','ev':'return','tag':'w','outcome':"
		  "'UNKNOWN','reason':'no_answer'}\n",
		  "      X " },
		{ "never ended",
		  "{'t':4022,'who':'E2','ev':'stop_end','in_progress':0}\n", "",
		  "      ? " },
	};

	assert_cases(cases, G_N_ELEMENTS(cases));
}

static void test_configuration(void)
{
	static const struct test_case cases[] = {
		{ "too late", "{'t':9000", "{'t':12001", "       X" },
		{ "never at another entry", "",
		  "{'t':6,'who':'E3','ev':'revision','revision':1,"
		  "'preset':'peak'}\n",
		  "       X" },
		{ "reverts", "",
		  "{'t':9001,'who':'E1','ev':'revision','revision':1,"
		  "'preset':'peak'}\n"
		  "{'t':9002,'who':'E1','ev':'revision','revision':2,"
		  "'preset':'ordinary'}\n",
		  "       X" },
		{ "a new entry begins with the old one", "",
		  "{'t':15000,'who':'E3','ev':'revision','revision':1,"
		  "'preset':'peak'}\n",
		  "       X" },
		{ "two presets of one revision", "",
		  "{'t':9000,'who':'E3','ev':'revision','revision':2,"
		  "'preset':'peak'}\n",
		  "       X" },
	};

	assert_cases(cases, G_N_ELEMENTS(cases));
}

/* Without a history that it depends on, a promise is undecided. The remaining
 * histories may still show a violation. */
static void test_missing_histories(void)
{
	static const struct test_case cases[] = {
		{ "an entry", "",
		  "{'t':1,'who':'test','ev':'live','name':'E9',"
		  "'kind':'entry'}\n",
		  "      ??" },
		{ "an engine", "",
		  "{'t':1,'who':'test','ev':'live','name':'M9',"
		  "'kind':'engine'}\n",
		  "??????? " },
		{ "a process of unknown kind", "",
		  "{'t':1,'who':'test','ev':'live','name':'X'}\n", "????????" },
		{ "the platform needs none", "",
		  "{'t':1,'who':'test','ev':'live','name':'X',"
		  "'kind':'platform'}\n",
		  ALL_OK },
		{ "the entry that dispatched", "'ev':'dispatch','id':'f1'",
		  "'ev':'other','id':'f1'", "      ??" },
		{ "the caller that invoked", "",
		  "{'t':60,'who':'E1','ev':'dispatch','id':'z1',"
		  "'tag':'z','ep':'N'}\n"
		  "{'t':61,'who':'N','ev':'run_start','id':'z1','tag':'z',"
		  "'adapter':'A','version':'2','slot':0,"
		  "'slot_adapter':'A','slot_version':'2'}\n",
		  "? ??  ? " },
		{ "an endpoint that was dispatched to", "'ep':'P'", "'ep':'Q'",
		  "??????? " },
		{ "an entry, and a violation elsewhere", "",
		  "{'t':1,'who':'test','ev':'live','name':'E9',"
		  "'kind':'entry'}\n"
		  "{'t':9001,'who':'E1','ev':'revision','revision':1,"
		  "'preset':'peak'}\n"
		  "{'t':9001,'who':'E1','ev':'revision','revision':2,"
		  "'preset':'ordinary'}\n",
		  "      ?X" },
	};

	assert_cases(cases, G_N_ELEMENTS(cases));
	assert_verdicts("nothing", "", "????????");
}

static void test_malformed_lines(void)
{
	struct fg_check_conf conf = { 1, 1 };
	struct fg_check *c = fg_check_new(&conf);
	GError *error = NULL;

	g_assert_true(fg_check_add(c,
				   "{\"t\":1,\"who\":\"a\",\"ev\":\"x\"}\n"
				   "\n{\"t\":2,\"wh",
				   &error));
	g_assert_false(fg_check_add(c, "{\"t\":2}\n", &error));
	g_assert_error(error, FG_CHECK_ERROR, FG_CHECK_ERR_LINE);
	g_error_free(error);
	fg_check_free(c);
}

/* The checker must accept what fg_history writes. */
static void test_history_is_readable(void)
{
	char *dir = g_dir_make_tmp("fg-history-XXXXXX", NULL);
	char *path = g_build_filename(dir, "h", NULL);
	struct fg_check_conf conf = { 1, 1 };
	struct fg_check *c = fg_check_new(&conf);
	struct fg_history *h = fg_history_open(path, "E1", NULL);
	GError *error = NULL;
	char *text;

	g_assert_nonnull(h);
	fg_history_log(h, "revision", "{s:i,s:s}", "revision", 5, "preset",
		       "peak");
	fg_history_add(h, "stop_end", NULL);
	fg_history_log(NULL, "stop_end", "{}");
	g_assert_cmpuint(fg_history_failures(h), ==, 0);
	fg_history_close(h);
	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	g_assert_true(g_str_has_prefix(text, "{\"t\":"));
	g_assert_nonnull(strstr(text, "\"who\":\"E1\",\"ev\":\"open\"}\n"));
	g_assert_nonnull(strstr(text, "\"revision\":5,\"preset\":\"peak\"}\n"));
	g_assert_true(fg_check_add(c, text, &error));
	g_assert_no_error(error);
	g_assert_null(fg_history_open(dir, "E1", &error));
	g_assert_error(error, FG_HISTORY_ERROR, FG_HISTORY_ERR_OPEN);
	g_error_free(error);
	g_unlink(path);
	g_rmdir(dir);
	g_free(text);
	g_free(path);
	g_free(dir);
	fg_check_free(c);
}

#define WRITERS 4
#define LINES 500

static void *write_many(void *arg)
{
	for (int i = 0; i < LINES; i++)
		fg_history_log(arg, "revision", "{s:i}", "revision", i);
	return NULL;
}

/* Lines written by several threads must be complete and in the order of their
 * times. */
static void test_history_threads(void)
{
	char *dir = g_dir_make_tmp("fg-history-XXXXXX", NULL);
	char *path = g_build_filename(dir, "h", NULL);
	struct fg_history *h = fg_history_open(path, "E1", NULL);
	GThread *threads[WRITERS];
	gint64 last = 0;
	char **lines;
	char *text;

	for (int i = 0; i < WRITERS; i++)
		threads[i] = g_thread_new("writer", write_many, h);
	for (int i = 0; i < WRITERS; i++)
		g_thread_join(threads[i]);
	fg_history_close(h);
	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	g_assert_cmpuint(g_strv_length(lines), ==, 1 + WRITERS * LINES + 1);
	for (int i = 0; *lines[i] != '\0'; i++) {
		gint64 t;

		g_assert_true(g_str_has_prefix(lines[i], "{\"t\":"));
		g_assert_true(g_str_has_suffix(lines[i], "}"));
		t = g_ascii_strtoll(lines[i] + strlen("{\"t\":"), NULL, 10);
		g_assert_cmpint(t, >=, last);
		last = t;
	}
	g_strfreev(lines);
	g_free(text);
	g_unlink(path);
	g_rmdir(dir);
	g_free(path);
	g_free(dir);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/check/clean", test_valid_history);
	g_test_add_func("/check/answers", test_answers);
	g_test_add_func("/check/no_false_alarm", test_no_false_positives);
	g_test_add_func("/check/engines", test_engines);
	g_test_add_func("/check/stop", test_stop);
	g_test_add_func("/check/configuration", test_configuration);
	g_test_add_func("/check/missing", test_missing_histories);
	g_test_add_func("/check/lines", test_malformed_lines);
	g_test_add_func("/check/history", test_history_is_readable);
	g_test_add_func("/check/history_threads", test_history_threads);
	return g_test_run();
}
