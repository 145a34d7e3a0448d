/* The command table, with one function per noun and verb. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fgctl.h"
#include "settings/fg_settings.h"

#define FILE_MAX_BYTES (1024 * 1024)

const char ctl_commands_help[] =
	"Commands:\n"
	"  adapter add BASE ADAPTER         adapter remove ADAPTER\n"
	"  adapter list [PREFIX]\n"
	"  version add ADAPTER VERSION      version remove ADAPTER VERSION\n"
	"  right grant ADAPTER CALLER       right revoke ADAPTER CALLER\n"
	"      the caller '*' stands for every caller\n"
	"  preset set PRESET                puts it in force\n"
	"  preset show                      all presets, the one in force "
	"marked\n"
	"  preset put PRESET KEY=VALUE...   keys: stall_weight hold_max_ms\n"
	"      retry_percent caller_rate accept_drafts\n"
	"  service put SERVICE KEY=VALUE... keys: plain checks_fence "
	"loads_per_s\n"
	"      loads_in_flight load_ms\n"
	"  service list\n"
	"  endpoint list                    as the first address sees them\n"
	"  revision                         in force at each address\n"
	"  dump ADDRESS                     state of one process, as JSON\n"
	"  suspects                         requests that crashed endpoints\n"
	"  suspects clear FINGERPRINT\n"
	"  change FILE                      a change as JSON; '-' reads stdin\n"
	"  gateway state                    state of each fg-gateway, by its\n"
	"      metrics address\n"
	"  gateway metrics                  its counters and histograms\n"
	"\n"
	"Exit status:\n"
	"  0  done; a change is in force everywhere\n"
	"  1  refused or invalid, nothing was stored\n"
	"  2  wrong usage\n"
	"  3  conflict: another change won, nothing was stored\n"
	"  4  pending: stored, some instances have not acknowledged it yet\n"
	"  5  no entry, or its platform, was reached; nothing was stored\n"
	"  6  unknown: the change may or may not have been stored\n"
	"\n"
	"Addresses are IP:port of entry instances, tried in order. Without\n"
	"--address they are taken from FGCTL_ADDRESS, separated by commas.\n";

/* ---- Changes ---- */

/* Returns a change of this kind. Its one or two fields get the arguments of the
 * command in order; `second` may be NULL. */
static json_t *new_change(const struct ctl *c, const char *kind,
			  const char *first, const char *second)
{
	json_t *change = json_object();

	json_object_set_new(change, "kind", json_string(kind));
	json_object_set_new(change, first, json_string(c->args[0]));
	if (second != NULL)
		json_object_set_new(change, second, json_string(c->args[1]));
	return change;
}

static int adapter_add(struct ctl *c)
{
	return ctl_send_change(c,
			       new_change(c, "adapter_add", "base", "adapter"));
}

static int adapter_remove(struct ctl *c)
{
	return ctl_send_change(
		c, new_change(c, "adapter_remove", "adapter", NULL));
}

static int version_add(struct ctl *c)
{
	return ctl_send_change(
		c, new_change(c, "version_add", "adapter", "version"));
}

static int version_remove(struct ctl *c)
{
	return ctl_send_change(
		c, new_change(c, "version_remove", "adapter", "version"));
}

static int right_grant(struct ctl *c)
{
	return ctl_send_change(
		c, new_change(c, "right_grant", "adapter", "caller"));
}

static int right_revoke(struct ctl *c)
{
	return ctl_send_change(
		c, new_change(c, "right_revoke", "adapter", "caller"));
}

static int preset_set(struct ctl *c)
{
	return ctl_send_change(c, new_change(c, "preset_set", "preset", NULL));
}

static json_t *parse_value(const char *text)
{
	gint64 number;

	if (strcmp(text, "true") == 0)
		return json_true();
	if (strcmp(text, "false") == 0)
		return json_false();
	if (g_ascii_string_to_signed(text, 10, 0, G_MAXINT32, &number, NULL))
		return json_integer(number);
	return NULL;
}

/* Sends a change whose first argument is the name for field `what` and whose
 * other arguments are KEY=VALUE fields. */
static int send_put(struct ctl *c, const char *kind, const char *what)
{
	json_t *change = new_change(c, kind, what, NULL);

	for (int i = 1; i < c->n_args; i++) {
		g_auto(GStrv) pair = g_strsplit(c->args[i], "=", 2);
		json_t *value = pair[1] != NULL ? parse_value(pair[1]) : NULL;

		if (value == NULL) {
			ctl_error("\"%s\" is not KEY=NUMBER, KEY=true or "
				  "KEY=false",
				  c->args[i]);
			json_decref(change);
			return CTL_USAGE;
		}
		json_object_set_new(change, pair[0], value);
	}
	return ctl_send_change(c, change);
}

static int preset_put(struct ctl *c)
{
	return send_put(c, "preset_put", "preset");
}

static int service_put(struct ctl *c)
{
	return send_put(c, "service_put", "service");
}

static char *read_file(const char *path)
{
	g_autoptr(GString) text = g_string_new(NULL);
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
	char buf[4096];
	size_t n;

	if (f == NULL)
		return NULL;
	while ((n = fread(buf, 1, sizeof(buf), f)) > 0 &&
	       text->len < FILE_MAX_BYTES)
		g_string_append_len(text, buf, (gssize)n);
	if (f != stdin)
		fclose(f);
	return g_strdup(text->str);
}

static int change_file(struct ctl *c)
{
	g_autofree char *text = read_file(c->args[0]);
	json_error_t json_error;
	json_t *change;

	if (text == NULL) {
		ctl_error("cannot read %s", c->args[0]);
		return CTL_USAGE;
	}
	change = json_loads(text, JSON_REJECT_DUPLICATES, &json_error);
	if (!json_is_object(change)) {
		ctl_error("%s, line %d: %s", c->args[0], json_error.line,
			  change == NULL ? json_error.text
					 : "not a JSON object");
		json_decref(change);
		return CTL_REFUSED;
	}
	return ctl_send_change(c, change);
}

/* ---- Reading ---- */

/* Joins the names from a list of names or of [number, name] pairs with commas.
 */
static char *join_names(const json_t *list)
{
	GString *out = g_string_new(NULL);

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *item = json_array_get(list, i);

		if (json_is_array(item))
			item = json_array_get(item, 1);
		g_string_append_printf(out, "%s%s", i > 0 ? "," : "",
				       json_string_value(item));
	}
	return g_string_free(out, FALSE);
}

static json_t *adapter_object(const json_t *row)
{
	g_autofree char *versions = join_names(json_array_get(row, 4));
	g_autofree char *callers = join_names(json_array_get(row, 5));

	return json_pack("{s:s?, s:s?, s:s, s:s}", "adapter",
			 json_string_value(json_array_get(row, 1)), "base",
			 json_string_value(json_array_get(row, 2)), "versions",
			 versions, "callers", callers);
}

static int adapter_list(struct ctl *c)
{
	json_t *catalogue = ctl_get(c, "/v1/admin/catalogue");
	const json_t *rows = json_object_get(catalogue, "adapters");
	const char *prefix = c->n_args > 0 ? c->args[0] : "";
	json_t *list = json_array();

	for (size_t i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);
		const char *name = json_string_value(json_array_get(row, 1));

		if (name != NULL && g_str_has_prefix(name, prefix))
			json_array_append_new(list, adapter_object(row));
	}
	if (catalogue != NULL)
		ctl_print_objects(c, list);
	json_decref(list);
	json_decref(catalogue);
	return catalogue != NULL ? CTL_OK : CTL_UNREACHABLE;
}

static int preset_show(struct ctl *c)
{
	json_t *catalogue = ctl_get(c, "/v1/admin/catalogue");
	const json_t *head = json_object_get(catalogue, "head");
	const json_t *presets = json_object_get(head, "presets");
	const char *in_force =
		json_string_value(json_object_get(head, "preset"));

	for (size_t i = 0; i < json_array_size(presets); i++) {
		json_t *p = json_array_get(presets, i);
		const char *name =
			json_string_value(json_object_get(p, "preset"));

		json_object_set_new(
			p, "in_force",
			json_boolean(g_strcmp0(name, in_force) == 0));
	}
	if (catalogue != NULL)
		ctl_print_objects(c, presets);
	json_decref(catalogue);
	return catalogue != NULL ? CTL_OK : CTL_UNREACHABLE;
}

static int service_list(struct ctl *c)
{
	json_t *catalogue = ctl_get(c, "/v1/admin/catalogue");
	const json_t *head = json_object_get(catalogue, "head");

	if (catalogue != NULL)
		ctl_print_objects(c, json_object_get(head, "services"));
	json_decref(catalogue);
	return catalogue != NULL ? CTL_OK : CTL_UNREACHABLE;
}

/* Prints a list from the state of the first address that answers. */
static int print_state_list(struct ctl *c, const char *name)
{
	json_t *state = ctl_get(c, "/v1/state");

	if (state != NULL)
		ctl_print_objects(c, json_object_get(state, name));
	json_decref(state);
	return state != NULL ? CTL_OK : CTL_UNREACHABLE;
}

static int endpoint_list(struct ctl *c)
{
	return print_state_list(c, "endpoints");
}

static int suspects_list(struct ctl *c)
{
	return print_state_list(c, "suspects");
}

static int suspects_clear(struct ctl *c)
{
	json_t *body = json_pack("{s:s}", "fingerprint", c->args[0]);
	char *text = json_dumps(body, JSON_COMPACT);
	int status = CTL_UNREACHABLE;

	for (char **a = c->addresses; *a != NULL; a++) {
		struct ctl_answer answer;
		bool cleared;

		if (ctl_call(c, *a, "/v1/admin/suspects/clear", text,
			     &answer) != CTL_HTTP_OK) {
			ctl_error("%s does not answer", *a);
			continue;
		}
		cleared = json_is_true(json_object_get(answer.body, "cleared"));
		if (c->json)
			ctl_print_json(answer.body);
		else
			puts(cleared ? "cleared" : "not found");
		ctl_answer_clear(&answer);
		status = cleared ? CTL_OK : CTL_REFUSED;
		break;
	}
	free(text);
	json_decref(body);
	return status;
}

static json_t *get_revision_row(const struct ctl *c, const char *address)
{
	struct ctl_answer answer;
	json_t *row;

	if (ctl_call(c, address, "/v1/state", NULL, &answer) != CTL_HTTP_OK ||
	    answer.status != 200)
		row = json_pack("{s:s, s:s, s:s, s:n, s:n, s:n}", "address",
				address, "answer", "none", "name", "",
				"revision", "confirm_age_ms", "preset");
	else
		row = json_pack(
			"{s:s, s:s, s:O?, s:O?, s:O?, s:O?}", "address",
			address, "answer", "yes", "name",
			json_object_get(answer.body, "name"), "revision",
			json_object_get(answer.body, "revision"),
			"confirm_age_ms",
			json_object_get(answer.body, "confirm_age_ms"),
			"preset", json_object_get(answer.body, "preset"));
	ctl_answer_clear(&answer);
	return row;
}

static int revision_list(struct ctl *c)
{
	json_t *list = json_array();
	int status = CTL_OK;

	for (char **a = c->addresses; *a != NULL; a++) {
		json_t *row = get_revision_row(c, *a);

		if (json_is_null(json_object_get(row, "revision")))
			status = CTL_UNREACHABLE;
		json_array_append_new(list, row);
	}
	ctl_print_objects(c, list);
	json_decref(list);
	return status;
}

static int dump_state(struct ctl *c)
{
	char *single_address[] = { c->args[0], NULL };
	struct ctl single = *c;
	json_t *state;

	if (!fg_settings_is_address(c->args[0])) {
		ctl_error("\"%s\" is not an IP number and port", c->args[0]);
		return CTL_USAGE;
	}
	single.addresses = single_address;
	state = ctl_get(&single, "/v1/state");
	if (state != NULL)
		ctl_print_json(state);
	json_decref(state);
	return state != NULL ? CTL_OK : CTL_UNREACHABLE;
}

/* ---- fg-gateway instances, by their metrics addresses ---- */

static int print_from_gateways(struct ctl *c, const char *path)
{
	int status = CTL_OK;

	for (char **a = c->addresses; *a != NULL; a++) {
		g_autofree char *text = ctl_get_text(c, *a, path);

		if (text == NULL)
			status = CTL_UNREACHABLE;
		else
			fputs(text, stdout);
	}
	return status;
}

static int gateway_state(struct ctl *c)
{
	return print_from_gateways(c, "/state");
}

static int gateway_metrics(struct ctl *c)
{
	return print_from_gateways(c, "/metrics");
}

/* ---- Command table ---- */

#define ANY_NUMBER 99

static const struct command {
	const char *noun;
	const char *verb; /* NULL: the noun alone */
	int min_args;
	int max_args;
	bool no_address; /* runs without --address and FGCTL_ADDRESS */
	int (*run)(struct ctl *c);
} commands[] = {
	{ "adapter", "add", 2, 2, false, adapter_add },
	{ "adapter", "remove", 1, 1, false, adapter_remove },
	{ "adapter", "list", 0, 1, false, adapter_list },
	{ "version", "add", 2, 2, false, version_add },
	{ "version", "remove", 2, 2, false, version_remove },
	{ "right", "grant", 2, 2, false, right_grant },
	{ "right", "revoke", 2, 2, false, right_revoke },
	{ "preset", "set", 1, 1, false, preset_set },
	{ "preset", "show", 0, 0, false, preset_show },
	{ "preset", "put", 2, ANY_NUMBER, false, preset_put },
	{ "service", "put", 1, ANY_NUMBER, false, service_put },
	{ "service", "list", 0, 0, false, service_list },
	{ "endpoint", "list", 0, 0, false, endpoint_list },
	{ "suspects", "clear", 1, 1, false, suspects_clear },
	{ "suspects", NULL, 0, 0, false, suspects_list },
	{ "revision", NULL, 0, 0, false, revision_list },
	{ "dump", NULL, 1, 1, true, dump_state },
	{ "change", NULL, 1, 1, false, change_file },
	{ "gateway", "state", 0, 0, false, gateway_state },
	{ "gateway", "metrics", 0, 0, false, gateway_metrics },
};

static bool matches_words(const struct command *cmd, char **words, int n_words)
{
	if (n_words < 1 || strcmp(cmd->noun, words[0]) != 0)
		return false;
	return cmd->verb == NULL ||
	       (n_words > 1 && strcmp(cmd->verb, words[1]) == 0);
}

int ctl_run_command(struct ctl *c, char **words, int n_words)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const struct command *cmd = &commands[i];
		int used = cmd->verb != NULL ? 2 : 1;

		if (!matches_words(cmd, words, n_words))
			continue;
		c->args = words + used;
		c->n_args = n_words - used;
		if (c->n_args < cmd->min_args || c->n_args > cmd->max_args) {
			ctl_error(
				"wrong number of arguments; see fgctl --help");
			return CTL_USAGE;
		}
		if (c->addresses[0] == NULL && !cmd->no_address) {
			ctl_error("no address; give --address IP:port or set "
				  "FGCTL_ADDRESS");
			return CTL_USAGE;
		}
		return cmd->run(c);
	}
	ctl_error("%s; see fgctl --help",
		  n_words > 0 ? "unknown command" : "no command");
	return CTL_USAGE;
}
