/*
 * standin-platform - simulates the platform that docs/PROTOCOL.md, section 2,
 * defines: table, objects, instance list and weight store.
 */
#include <stdlib.h>
#include <string.h>

#include "platform/si_platform.h"

static gint loads_per_s = 5;
static gint load_ms = 250;
static gint loads_in_flight = 8;
static gint list_lag_ms = 1000;
static gint list_ttl_ms = 3000;
static gint writes_per_s = 400;
static gint reads_per_s = 2000;

static const GOptionEntry options[] = {
	{ "loads-per-s", 0, 0, G_OPTION_ARG_INT, &loads_per_s,
	  "Loads per second, 0 for no limit", "N" },
	{ "load-ms", 0, 0, G_OPTION_ARG_INT, &load_ms, "Duration of one load",
	  "MS" },
	{ "loads-in-flight", 0, 0, G_OPTION_ARG_INT, &loads_in_flight,
	  "Concurrent loads that run at full speed", "N" },
	{ "list-lag-ms", 0, 0, G_OPTION_ARG_INT, &list_lag_ms,
	  "Delay until the list shows a change", "MS" },
	{ "list-ttl-ms", 0, 0, G_OPTION_ARG_INT, &list_ttl_ms,
	  "Time that an announcement stays listed", "MS" },
	{ "writes-per-s", 0, 0, G_OPTION_ARG_INT, &writes_per_s,
	  "Transactions per second, 0 for no limit", "N" },
	{ "reads-per-s", 0, 0, G_OPTION_ARG_INT, &reads_per_s,
	  "Reads per second, 0 for no limit", "N" },
	{ 0 },
};

static struct si_platform *platform_of(const struct si_req *req)
{
	return req->proc->self;
}

static enum MHD_Result answer_over_rate(struct si_req *req,
					fg_ms retry_after_ms)
{
	return si_answer_retry_later(req, 429, "over_rate", retry_after_ms);
}

static enum MHD_Result get_row(struct si_req *req)
{
	struct si_platform *self = platform_of(req);
	const char *key = si_query_arg(req, "key");
	fg_ms retry_after_ms = 0;
	json_t *row;

	if (!key)
		return si_answer_error(req, 400, "bad_request");
	if (!si_table_may_read(self->table, &retry_after_ms))
		return answer_over_rate(req, retry_after_ms);
	row = si_table_get(self->table, key);
	if (!row)
		return si_answer_error(req, 404, "absent");
	return si_answer_json(req, 200, row);
}

static enum MHD_Result scan_rows(struct si_req *req)
{
	struct si_platform *self = platform_of(req);
	const char *prefix = si_query_arg(req, "prefix");
	const char *after = si_query_arg(req, "after");
	const char *limit = si_query_arg(req, "limit");
	fg_ms retry_after_ms = 0;

	if (!si_table_may_read(self->table, &retry_after_ms))
		return answer_over_rate(req, retry_after_ms);
	return si_answer_json(req, 200,
			      si_table_scan(self->table, prefix ? prefix : "",
					    after ? after : "",
					    limit ? atoll(limit) : 0));
}

static enum MHD_Result run_txn(struct si_req *req)
{
	struct si_platform *self = platform_of(req);
	fg_ms retry_after_ms = 0;
	json_t *res;
	bool ok;

	if (!si_table_may_write(self->table, &retry_after_ms))
		return answer_over_rate(req, retry_after_ms);
	res = si_table_txn(self->table, json_object_get(req->body, "writes"),
			   &ok);
	if (!res)
		return si_answer_error(req, 400, "bad_request");
	return si_answer_json(req, ok ? 200 : 409, res);
}

static const char *object_name(const struct si_req *req)
{
	return req->path + strlen("/object/");
}

static enum MHD_Result get_object(struct si_req *req)
{
	struct si_platform *self = platform_of(req);
	fg_ms retry_after_ms = 0;
	char *text;

	if (!si_table_may_read(self->table, &retry_after_ms))
		return answer_over_rate(req, retry_after_ms);
	text = si_table_object(self->table, object_name(req));
	if (!text)
		return si_answer_error(req, 404, "absent");
	return si_answer_text(req, 200, text);
}

static enum MHD_Result put_object(struct si_req *req)
{
	struct si_platform *self = platform_of(req);
	fg_ms retry_after_ms = 0;

	if (!si_table_may_write(self->table, &retry_after_ms))
		return answer_over_rate(req, retry_after_ms);
	si_table_put_object(self->table, object_name(req), req->raw->str);
	return si_answer_json(req, 200, json_pack("{s:b}", "ok", 1));
}

static enum MHD_Result get_instances(struct si_req *req)
{
	return si_answer_json(req, 200,
			      si_listing_read(platform_of(req)->listing));
}

static enum MHD_Result announce_instance(struct si_req *req)
{
	if (!si_listing_announce(platform_of(req)->listing, req->body))
		return si_answer_error(req, 400, "bad_request");
	return si_answer_json(req, 200, json_pack("{s:b}", "ok", 1));
}

static enum MHD_Result fetch_weights(struct si_req *req)
{
	struct si_platform *self = platform_of(req);
	fg_ms retry_after_ms = 0;

	if (!si_store_may_load(self->store, &retry_after_ms))
		return answer_over_rate(req, retry_after_ms);
	if (!si_store_load(self->store))
		return si_close_connection(req);
	return si_answer_json(req, 200, json_pack("{s:b}", "ok", 1));
}

static const struct si_route routes[] = {
	{ "GET", "/table/row", 0, get_row },
	{ "GET", "/table/scan", 0, scan_rows },
	{ "POST", "/table/txn", SI_ROUTE_JSON, run_txn },
	{ "GET", "/object/", SI_ROUTE_PREFIX, get_object },
	{ "PUT", "/object/", SI_ROUTE_PREFIX, put_object },
	{ "GET", "/instances", 0, get_instances },
	{ "POST", "/instances/announce", SI_ROUTE_JSON, announce_instance },
	{ "POST", "/weights/fetch", SI_ROUTE_JSON, fetch_weights },
};

static bool start(struct si_proc *proc)
{
	struct si_platform *self = g_new0(struct si_platform, 1);

	self->table =
		si_table_new((uint32_t)reads_per_s, (uint32_t)writes_per_s);
	self->listing =
		si_listing_new((uint32_t)list_lag_ms, (uint32_t)list_ttl_ms);
	self->store =
		si_store_new(proc, (uint32_t)loads_per_s, (uint32_t)load_ms,
			     (uint32_t)loads_in_flight);
	proc->self = self;
	return true;
}

static void stop(struct si_proc *proc)
{
	struct si_platform *self = proc->self;

	si_store_stop(self->store);
}

static void free_platform(struct si_proc *proc)
{
	struct si_platform *self = proc->self;

	si_table_free(self->table);
	si_listing_free(self->listing);
	si_store_free(self->store);
	g_free(self);
}

static bool control(struct si_proc *proc, const char *op, json_t *body)
{
	struct si_platform *self = proc->self;

	if (strcmp(op, "list_freeze") != 0)
		return false;
	si_listing_freeze(self->listing, si_field_int(body, "ms", 0));
	return true;
}

static const struct si_program program = {
	.kind = SI_PLATFORM,
	.summary = "Stand-in for the platform.",
	.options = options,
	.routes = routes,
	.n_routes = G_N_ELEMENTS(routes),
	.start = start,
	.stop = stop,
	.free = free_platform,
	.control = control,
};

int main(int argc, char **argv)
{
	return si_proc_main(&program, argc, argv);
}
