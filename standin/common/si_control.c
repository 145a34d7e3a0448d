#include "common/si_control.h"

#include "common/si_fault.h"
#include "common/si_http.h"
#include "common/si_log.h"

static enum MHD_Result handle_control(struct si_req *req)
{
	struct si_proc *proc = req->proc;
	const char *op = si_field_str(req->body, "op");

	if (!si_fault_apply_op(proc->fault, op, req->body) &&
	    !proc->program->control(proc, op, req->body))
		return si_answer_error(req, 400, "unknown_op");
	return si_answer_json(req, 200, json_pack("{s:b}", "ok", 1));
}

static enum MHD_Result get_log(struct si_req *req)
{
	return si_answer_text(req, 200, si_log_text(req->proc->log));
}

static const struct si_route routes[] = {
	{ "POST", "/control", SI_ROUTE_JSON, handle_control },
	{ "GET", "/control/log", 0, get_log },
};

struct si_http *si_control_start(struct si_proc *proc)
{
	return si_http_start(proc, proc->conf.control, routes,
			     G_N_ELEMENTS(routes), false);
}
