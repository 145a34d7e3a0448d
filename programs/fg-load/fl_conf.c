#include "fl_conf.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORKERS_MAX 512
#define REQUESTS_MAX 10000000

/* Option values as parsed, not yet validated. */
struct raw_options {
	char **addresses;
	char *adapters_file;
	char *adapter_prefix;
	gint adapter_count;
	char *version;
	char *services;
	char *mix;
	char *stream;
	gint requests;
	gdouble rate;
	gdouble zipf;
	gint deadline_ms;
	gint draft_deadline_ms;
	gint max_tokens;
	gint workers;
	gint attempts;
	gint64 seed;
	gint shift_at;
	char *caller;
	char *history;
	char *summary;
	gint show;
	gboolean all_done;
	char *experiment;
};

static const struct raw_options defaults = {
	.adapter_count = 24,
	.requests = 100,
	.zipf = 1.0,
	.deadline_ms = 30000,
	.draft_deadline_ms = 30000,
	.max_tokens = 16,
	.workers = 32,
	.attempts = 5,
	.seed = 1,
};

static bool print_error(const char *subject, const char *value)
{
	fprintf(stderr, "fg-load: %s: %s\n", subject, value);
	return false;
}

static bool parse_command_line(struct raw_options *raw, int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{ "address", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &raw->addresses,
		  "An entry instance; may be repeated", "IP:PORT" },
		{ "adapters", 0, 0, G_OPTION_ARG_FILENAME, &raw->adapters_file,
		  "Lines of NAME [VERSION], the most popular first", "FILE" },
		{ "adapter-prefix", 0, 0, G_OPTION_ARG_STRING,
		  &raw->adapter_prefix, "Adapters PREFIX0001 and on (a)",
		  "PREFIX" },
		{ "adapter-count", 0, 0, G_OPTION_ARG_INT, &raw->adapter_count,
		  "Number of adapters (24)", "N" },
		{ "version", 0, 0, G_OPTION_ARG_STRING, &raw->version,
		  "Version to ask for; without it the newest", "NAME" },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &raw->services,
		  "Plain services (orders)", "NAME,..." },
		{ "mix", 0, 0, G_OPTION_ARG_STRING, &raw->mix,
		  "Shares of the classes", "CLASS=N,..." },
		{ "stream", 0, 0, G_OPTION_ARG_STRING, &raw->stream,
		  "Classes to ask for as a stream (draft)", "CLASS,..." },
		{ "requests", 'n', 0, G_OPTION_ARG_INT, &raw->requests,
		  "Number of requests (100)", "N" },
		{ "rate", 'r', 0, G_OPTION_ARG_DOUBLE, &raw->rate,
		  "Requests a second, sent whether answered or not", "R" },
		{ "zipf", 0, 0, G_OPTION_ARG_DOUBLE, &raw->zipf,
		  "Skew of the adapters' popularity (1.0)", "S" },
		{ "shift-at", 0, 0, G_OPTION_ARG_INT, &raw->shift_at,
		  "Request at which popularity is reshuffled", "N" },
		{ "deadline-ms", 0, 0, G_OPTION_ARG_INT, &raw->deadline_ms,
		  "Deadline of a request (30000)", "MS" },
		{ "draft-deadline-ms", 0, 0, G_OPTION_ARG_INT,
		  &raw->draft_deadline_ms, "Deadline of a draft (30000)",
		  "MS" },
		{ "max-tokens", 0, 0, G_OPTION_ARG_INT, &raw->max_tokens,
		  "Tokens of a generated answer (16)", "N" },
		{ "workers", 0, 0, G_OPTION_ARG_INT, &raw->workers,
		  "Requests in flight at most (32)", "N" },
		{ "attempts", 0, 0, G_OPTION_ARG_INT, &raw->attempts,
		  "Attempts of one request (5)", "N" },
		{ "seed", 0, 0, G_OPTION_ARG_INT64, &raw->seed,
		  "Seed of all random choices (1)", "N" },
		{ "caller", 0, 0, G_OPTION_ARG_STRING, &raw->caller,
		  "Name of this caller (load)", "NAME" },
		{ "history", 0, 0, G_OPTION_ARG_FILENAME, &raw->history,
		  "Append every request and its answer", "FILE" },
		{ "summary-json", 0, 0, G_OPTION_ARG_FILENAME, &raw->summary,
		  "Write the summary as JSON", "FILE" },
		{ "show", 0, 0, G_OPTION_ARG_INT, &raw->show,
		  "Print the first N answers of each class", "N" },
		{ "all-done", 0, 0, G_OPTION_ARG_NONE, &raw->all_done,
		  "Succeed only if every request was DONE and whole", NULL },
		{ "experiment", 0, 0, G_OPTION_ARG_FILENAME, &raw->experiment,
		  "Options, faults and plot from a YAML file", "FILE" },
		{ 0 },
	};
	GOptionContext *ctx = g_option_context_new(NULL);
	/* Parsing removes entries from the array, which the caller may own. */
	char **remaining = g_memdup2(argv, ((size_t)argc + 1) * sizeof(*argv));
	GError *error = NULL;
	bool ok;

	g_option_context_set_summary(
		ctx, "Sends requests to entry instances and checks every "
		     "answer.");
	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, &argc, &remaining, &error);
	if (!ok)
		print_error("options", error->message);
	g_clear_error(&error);
	g_free(remaining);
	g_option_context_free(ctx);
	return ok;
}

static bool check_ranges(const struct raw_options *raw)
{
	if (!raw->addresses)
		return print_error("--address",
				   "at least one entry instance is required");
	if (raw->requests < 1 || raw->requests > REQUESTS_MAX)
		return print_error(
			"--requests",
			"must be from 1 to " G_STRINGIFY(REQUESTS_MAX));
	if (raw->workers < 1 || raw->workers > WORKERS_MAX)
		return print_error(
			"--workers",
			"must be from 1 to " G_STRINGIFY(WORKERS_MAX));
	if (raw->rate < 0 || raw->zipf < 0 || raw->show < 0 ||
	    raw->shift_at < 0)
		return print_error("--rate, --zipf, --show and --shift-at",
				   "must not be negative");
	if (raw->attempts < 1 || raw->max_tokens < 1 ||
	    raw->adapter_count < 1 || raw->deadline_ms < 1 ||
	    raw->draft_deadline_ms < 1)
		return print_error("--attempts, --max-tokens, --adapter-count, "
				   "--deadline-ms and --draft-deadline-ms",
				   "must be at least 1");
	return true;
}

static bool parse_mix(struct fl_conf *conf, const char *text)
{
	char **parts = g_strsplit(text, ",", 0);
	bool ok = true;

	for (char **p = parts; *p && ok; p++) {
		char *value = strchr(*p, '=');
		int cls = -1;

		if (value) {
			*value++ = '\0';
			cls = fg_class_parse(*p);
		}
		ok = cls >= 0;
		if (ok)
			conf->mix[cls] = (uint32_t)strtoul(value, NULL, 10);
	}
	g_strfreev(parts);
	return ok ? true : print_error("--mix needs CLASS=N,... but has", text);
}

static bool parse_stream(struct fl_conf *conf, const char *text)
{
	char **parts = g_strsplit(text, ",", 0);
	bool ok = true;

	for (char **p = parts; *p && ok; p++) {
		int cls = fg_class_parse(*p);

		ok = cls == FG_CLASS_DRAFT || cls == FG_CLASS_INTERACTIVE;
		if (ok)
			conf->streamed[cls] = true;
	}
	g_strfreev(parts);
	return ok ? true
		  : print_error("--stream needs classes of models but has",
				text);
}

static void generate_adapters(struct fl_conf *conf,
			      const struct raw_options *raw)
{
	const char *prefix = raw->adapter_prefix ? raw->adapter_prefix : "a";
	const char *version = raw->version ? raw->version : "";

	conf->n_adapters = (uint32_t)raw->adapter_count;
	conf->adapters = g_new0(char *, conf->n_adapters + 1);
	conf->versions = g_new0(char *, conf->n_adapters + 1);
	for (uint32_t i = 0; i < conf->n_adapters; i++) {
		conf->adapters[i] = g_strdup_printf("%s%04u", prefix, i + 1);
		conf->versions[i] = g_strdup(version);
	}
}

static void parse_adapter_lines(struct fl_conf *conf, char **lines,
				const char *version)
{
	guint n = g_strv_length(lines);

	conf->adapters = g_new0(char *, n + 1);
	conf->versions = g_new0(char *, n + 1);
	for (char **line = lines; *line; line++) {
		char *space;

		g_strstrip(*line);
		if (!**line)
			continue;
		space = strchr(*line, ' ');
		if (space)
			*space++ = '\0';
		conf->adapters[conf->n_adapters] = g_strdup(*line);
		conf->versions[conf->n_adapters] =
			g_strdup(space ? g_strstrip(space) : version);
		conf->n_adapters++;
	}
}

static bool read_adapters(struct fl_conf *conf, const struct raw_options *raw)
{
	GError *error = NULL;
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(raw->adapters_file, &text, NULL, &error)) {
		print_error("--adapters", error->message);
		g_clear_error(&error);
		return false;
	}
	lines = g_strsplit(text, "\n", 0);
	parse_adapter_lines(conf, lines, raw->version ? raw->version : "");
	g_strfreev(lines);
	g_free(text);
	return conf->n_adapters > 0
		       ? true
		       : print_error("--adapters", "the file has no adapter");
}

static char *take_or_default(char **s, const char *fallback)
{
	char *taken = *s ? *s : g_strdup(fallback);

	*s = NULL;
	return taken;
}

static bool convert_options(struct fl_conf *conf, struct raw_options *raw)
{
	const char *services = raw->services ? raw->services : "orders";

	conf->addresses = raw->addresses;
	raw->addresses = NULL;
	conf->services = g_strsplit(services, ",", 0);
	conf->n_services = g_strv_length(conf->services);
	conf->requests = (uint32_t)raw->requests;
	conf->rate_per_s = raw->rate;
	conf->zipf = raw->zipf;
	conf->max_tokens = (uint32_t)raw->max_tokens;
	conf->workers = (uint32_t)raw->workers;
	conf->attempts = (uint32_t)raw->attempts;
	conf->seed = (uint64_t)raw->seed;
	conf->shift_at = (uint32_t)raw->shift_at;
	conf->show = (uint32_t)raw->show;
	conf->all_done = raw->all_done;
	for (int i = 0; i < FG_CLASS_COUNT; i++)
		conf->deadline_ms[i] = (uint32_t)raw->deadline_ms;
	conf->deadline_ms[FG_CLASS_DRAFT] = (uint32_t)raw->draft_deadline_ms;
	conf->caller = take_or_default(&raw->caller, "load");
	conf->history = take_or_default(&raw->history, "");
	conf->summary = take_or_default(&raw->summary, "");
	if (raw->adapters_file ? !read_adapters(conf, raw) : false)
		return false;
	if (!raw->adapters_file)
		generate_adapters(conf, raw);
	return parse_mix(conf, raw->mix ? raw->mix
					: "draft=40,interactive=30,status=20,"
					  "filing=10") &&
	       parse_stream(conf, raw->stream ? raw->stream : "draft");
}

static void raw_options_clear(struct raw_options *raw)
{
	g_strfreev(raw->addresses);
	g_free(raw->adapters_file);
	g_free(raw->adapter_prefix);
	g_free(raw->version);
	g_free(raw->services);
	g_free(raw->mix);
	g_free(raw->stream);
	g_free(raw->caller);
	g_free(raw->history);
	g_free(raw->summary);
	g_free(raw->experiment);
}

/* Returns the path of the experiment file on the command line, or NULL. */
static const char *find_experiment(int argc, char **argv)
{
	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--experiment") == 0 && i + 1 < argc)
			return argv[i + 1];
		if (g_str_has_prefix(argv[i], "--experiment="))
			return strchr(argv[i], '=') + 1;
	}
	return NULL;
}

/* Loads the experiment file and parses its options. */
static bool parse_experiment(struct fl_conf *conf, struct raw_options *raw,
			     const char *path)
{
	char *line;
	char **argv = NULL;
	gint argc = 0;
	GError *error = NULL;
	bool ok;

	conf->experiment = fl_experiment_load(path);
	if (!conf->experiment)
		return false;
	line = g_strconcat("fg-load ", conf->experiment->options, NULL);
	ok = g_shell_parse_argv(line, &argc, &argv, &error);
	if (ok)
		ok = parse_command_line(raw, argc, argv);
	else
		print_error(path, error->message);
	g_clear_error(&error);
	g_strfreev(argv);
	g_free(line);
	return ok;
}

bool fl_conf_parse(struct fl_conf *conf, int argc, char **argv)
{
	const char *experiment = find_experiment(argc, argv);
	struct raw_options raw = defaults;
	bool ok = true;

	memset(conf, 0, sizeof(*conf));
	if (experiment)
		ok = parse_experiment(conf, &raw, experiment);
	ok = ok && parse_command_line(&raw, argc, argv) && check_ranges(&raw) &&
	     convert_options(conf, &raw);
	raw_options_clear(&raw);
	return ok;
}

void fl_conf_clear(struct fl_conf *conf)
{
	if (conf->experiment)
		fl_experiment_free(conf->experiment);
	g_strfreev(conf->addresses);
	g_strfreev(conf->adapters);
	g_strfreev(conf->versions);
	g_strfreev(conf->services);
	g_free(conf->caller);
	g_free(conf->history);
	g_free(conf->summary);
}
