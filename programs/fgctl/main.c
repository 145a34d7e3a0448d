/* Options and addresses of fgctl. */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/fg_version.h"
#include "fgctl.h"
#include "settings/fg_settings.h"

#define WAIT_MS 7000 /* for all instances to acknowledge a change */
#define WAIT_MAX_MS 600000
#define ANSWER_MARGIN_MS 5000 /* for the answer to arrive after the wait */

struct options {
	char **addresses;
	gboolean json;
	gint64 expect_revision;
	int wait_ms;
	gboolean version;
	char **words;
};

static bool parse_options(struct options *o, int *argc, char ***argv)
{
	const GOptionEntry entries[] = {
		{ "address", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &o->addresses,
		  "Entry instance to ask; may be given several times",
		  "IP:port" },
		{ "json", 'j', 0, G_OPTION_ARG_NONE, &o->json,
		  "Print JSON in place of text and tables", NULL },
		{ "expect-revision", 'r', 0, G_OPTION_ARG_INT64,
		  &o->expect_revision,
		  "Make the change only on top of this revision", "N" },
		{ "wait-ms", 'w', 0, G_OPTION_ARG_INT, &o->wait_ms,
		  "Longest wait for all to acknowledge (7000)", "MS" },
		{ "version", 'V', 0, G_OPTION_ARG_NONE, &o->version,
		  "Print the version", NULL },
		{ G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY,
		  &o->words, NULL, "COMMAND" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	g_autoptr(GOptionContext) ctx =
		g_option_context_new("- drives fulmargauge");
	g_autoptr(GError) error = NULL;

	g_option_context_set_description(ctx, ctl_commands_help);
	g_option_context_add_main_entries(ctx, entries, NULL);
	if (g_option_context_parse(ctx, argc, argv, &error))
		return true;
	ctl_error("%s; see fgctl --help", error->message);
	return false;
}

/* Returns the addresses given with --address, or else those in FGCTL_ADDRESS.
 * Each value may be a list separated by commas. */
static char **collect_addresses(char **given)
{
	const char *env = getenv("FGCTL_ADDRESS");
	g_autofree char *joined = NULL;

	if (given != NULL)
		joined = g_strjoinv(",", given);
	else
		joined = g_strdup(env != NULL ? env : "");
	if (joined[0] == '\0')
		return g_new0(char *, 1);
	return g_strsplit(joined, ",", -1);
}

static bool check_addresses(char **addresses)
{
	for (char **a = addresses; *a != NULL; a++) {
		if (fg_settings_is_address(*a))
			continue;
		ctl_error("\"%s\" is not an IP number and port such as "
			  "192.0.2.1:7000",
			  *a);
		return false;
	}
	return true;
}

static bool check_options(const struct options *o)
{
	if (o->expect_revision >= 0 && o->wait_ms >= 100 &&
	    o->wait_ms <= WAIT_MAX_MS)
		return true;
	ctl_error("--expect-revision must not be negative, --wait-ms is from "
		  "100 to %d",
		  WAIT_MAX_MS);
	return false;
}

/* Returns the words quoted for a shell, so that an operator can copy the
 * command from a hint. */
static char *quote_words(char **words, int n)
{
	GString *out = g_string_new(NULL);

	for (int i = 0; i < n; i++) {
		g_autofree char *quoted = g_shell_quote(words[i]);
		bool plain =
			strpbrk(words[i], " \"'\\$`*?[]{}()<>|&;#~") == NULL &&
			words[i][0] != '\0';

		g_string_append_printf(out, "%s%s", i > 0 ? " " : "",
				       plain ? words[i] : quoted);
	}
	return g_string_free(out, FALSE);
}

static int run_with_options(const struct options *o)
{
	int n_words = o->words != NULL ? (int)g_strv_length(o->words) : 0;
	struct ctl c = { 0 };
	int status = CTL_USAGE;

	c.addresses = collect_addresses(o->addresses);
	c.json = o->json;
	c.expect_revision = (uint64_t)o->expect_revision;
	c.wait_ms = (uint32_t)o->wait_ms;
	c.timeout_ms = c.wait_ms + ANSWER_MARGIN_MS;
	c.command = quote_words(o->words, n_words);
	if (check_addresses(c.addresses))
		status = ctl_run_command(&c, o->words, n_words);
	g_free(c.command);
	g_strfreev(c.addresses);
	return status;
}

int main(int argc, char **argv)
{
	struct options o = { .wait_ms = WAIT_MS };
	int status = CTL_USAGE;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (parse_options(&o, &argc, &argv) && check_options(&o)) {
		if (o.version) {
			puts("fgctl " FG_VERSION);
			status = CTL_OK;
		} else {
			status = run_with_options(&o);
		}
	}
	g_strfreev(o.addresses);
	g_strfreev(o.words);
	curl_global_cleanup();
	return status;
}
