#include "fl_send.h"

#include <stdlib.h>
#include <string.h>

#include "fl_http.h"

#define EXTRA_WAIT_MS 2000 /* after the deadline, for the answer to arrive */
#define RETRY_WAIT_MAX_MS 2000
#define RECONNECT_WAIT_MS 50

/* State of a request across its attempts. */
struct send_state {
	struct fl_sender *sender;
	CURL *curl;
	const struct fl_req *req;
	fg_ms deadline;
	uint32_t attempt;
	char *addr;	     /* of the current attempt */
	char *redirect_addr; /* address given in the last answer, or NULL */
	struct fl_answer answer;
	bool not_sent;
	uint32_t http_status;
};

static char *make_body(const struct send_state *s, uint32_t left_ms)
{
	const struct fl_conf *conf = s->sender->conf;
	const struct fl_req *req = s->req;
	json_t *body;
	char *dump;
	char *text;

	if (fl_is_generation(req->cls))
		body = json_pack("{s:s, s:s, s:i, s:s, s:i, s:b}", "adapter",
				 req->adapter, "prompt", req->prompt,
				 "max_tokens", (int)conf->max_tokens, "class",
				 fg_class_name(req->cls), "deadline_ms",
				 (int)left_ms, "stream",
				 conf->streamed[req->cls]);
	else
		body = json_pack("{s:s, s:{s:s}, s:i}", "service", req->service,
				 "body", "key", req->key, "deadline_ms",
				 (int)left_ms);
	if (*req->version)
		json_object_set_new(body, "version", json_string(req->version));
	dump = json_dumps(body, JSON_COMPACT);
	text = g_strdup(dump);
	free(dump);
	json_decref(body);
	return text;
}

static const char *get_path(enum fg_class cls)
{
	switch (cls) {
	case FG_CLASS_FILING:
		return "/v1/filings";
	case FG_CLASS_STATUS:
		return "/v1/status";
	default:
		return "/v1/generate";
	}
}

static void post_request(struct send_state *s, const char *tag,
			 uint32_t left_ms)
{
	const struct fl_req *req = s->req;
	struct fl_http_headers headers = {
		.caller = s->sender->conf->caller,
		.request_id = tag,
		.key = req->cls == FG_CLASS_FILING ? req->key : NULL,
	};
	struct fl_http_result res = { 0 };
	char *body = make_body(s, left_ms);

	fl_http_post(s->curl, s->addr, get_path(req->cls), &headers, body,
		     left_ms + EXTRA_WAIT_MS, &res);
	s->http_status = res.status;
	s->not_sent = res.not_sent;
	fl_check_answer(s->sender->conf, req, res.status ? res.body->str : "",
			&s->answer);
	fl_http_result_clear(&res);
	g_free(body);
}

/* If the answer is incomplete, the outcome is NOT_RUN if the request was not
 * sent and UNKNOWN otherwise. */
static void handle_incomplete_answer(struct send_state *s)
{
	if (s->answer.has_outcome)
		return;
	s->answer.outcome = s->not_sent ? FG_NOT_RUN : FG_UNKNOWN;
	g_free(s->answer.reason);
	s->answer.reason =
		g_strdup(s->not_sent ? "unreachable" : "connection_lost");
	fl_addr_mark_failed(s->sender->addr, s->addr);
}

/* Returns the tag of the request without the number of the attempt. */
static char *make_base_tag(const struct send_state *s)
{
	return g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%u",
			       s->sender->conf->caller, s->sender->conf->seed,
			       s->req->index);
}

static void run_attempt(struct send_state *s, const char *base_tag,
			uint32_t left_ms)
{
	struct fl_sender *sender = s->sender;
	char *tag = g_strdup_printf("%s.%u", base_tag, s->attempt);

	g_free(s->addr);
	s->addr = s->redirect_addr;
	s->redirect_addr = NULL;
	if (!s->addr)
		s->addr =
			fl_addr_pick(sender->addr, s->curl, s->req, s->attempt);
	fl_record_invoke(sender->record, s->req, tag, s->addr);
	post_request(s, tag, left_ms);
	handle_incomplete_answer(s);
	fl_record_return(sender->record, s->req, tag, &s->answer);
	g_free(tag);
}

/* Returns true if the request may be sent again after *wait_ms. */
static bool may_retry(const struct send_state *s, uint32_t *wait_ms)
{
	const struct fl_answer *answer = &s->answer;

	*wait_ms = RECONNECT_WAIT_MS;
	if (s->not_sent)
		return true;
	if (!answer->has_outcome)
		return s->req->cls != FG_CLASS_FILING;
	if (answer->outcome != FG_NOT_RUN)
		return false;
	if (s->http_status != 409 && s->http_status != 429 &&
	    s->http_status != 503)
		return false;
	if (answer->retry_after_ms == 0 && !*answer->address)
		return false;
	*wait_ms = MIN(answer->retry_after_ms, RETRY_WAIT_MAX_MS);
	return true;
}

static fg_ms get_time_left(const struct send_state *s)
{
	return s->deadline - fg_clock_now();
}

static bool prepare_retry(struct send_state *s)
{
	uint32_t wait_ms;

	if (s->attempt >= s->sender->conf->attempts ||
	    !may_retry(s, &wait_ms) || get_time_left(s) <= wait_ms)
		return false;
	if (*s->answer.address)
		s->redirect_addr = g_strdup(s->answer.address);
	fl_answer_clear(&s->answer);
	g_usleep((gulong)wait_ms * 1000);
	return true;
}

void fl_send(struct fl_sender *sender, CURL *curl, const struct fl_req *req)
{
	struct send_state s = {
		.sender = sender,
		.curl = curl,
		.req = req,
		.deadline = req->due + sender->conf->deadline_ms[req->cls],
	};
	char *base_tag = make_base_tag(&s);
	fg_ms left_ms;

	if (sender->stalls && fl_is_generation(req->cls))
		fl_stalls_request(sender->stalls, base_tag, req->due);
	do {
		left_ms = get_time_left(&s);
		run_attempt(&s, base_tag, left_ms > 1 ? (uint32_t)left_ms : 1);
		s.attempt++;
	} while (prepare_retry(&s));
	fl_record_final(sender->record, req, &s.answer, s.addr, s.attempt,
			(uint32_t)(fg_clock_now() - req->due));
	fl_answer_clear(&s.answer);
	g_free(base_tag);
	g_free(s.addr);
	g_free(s.redirect_addr);
}
