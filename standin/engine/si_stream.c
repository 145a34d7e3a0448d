#include <stdlib.h>
#include <string.h>

#include "common/si_announce.h"
#include "common/si_fault.h"
#include "engine/si_engine.h"

#define STREAM_BLOCK_BYTES 8192
#define PARTNER_WAIT_MS 2000

/* State of an answer that is being sent. */
struct stream {
	struct si_engine *e;
	struct si_run *own;    /* the run of this connection's request */
	struct si_run *source; /* own, or the partner of a crossed run */
	uint32_t next;	       /* index of the next token to append */
	GString *pending;      /* bytes not yet passed to the server */
	bool ended;	       /* nothing follows pending */
	bool abort;	       /* reset the connection after pending */
};

static void append_json(GString *out, json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);

	g_string_append(out, text);
	g_string_append_c(out, '\n');
	free(text);
	json_decref(line);
}

static void append_token(struct stream *s)
{
	const char *text = g_ptr_array_index(s->source->tokens, s->next);

	if (s->own->garble && s->next == s->own->max_tokens / 2)
		g_string_append(s->pending, SI_GARBLE_TEXT "\n");
	else
		append_json(s->pending, json_pack("{s:i, s:s}", "i",
						  (int)s->next, "t", text));
	s->next++;
}

static void append_end(struct stream *s)
{
	const struct si_run *run = s->source;

	s->ended = true;
	if (run->cut_off) {
		s->abort = true;
		return;
	}
	if (run->error) {
		append_json(s->pending,
			    json_pack("{s:s}", "error", run->error));
		return;
	}
	append_json(s->pending,
		    json_pack("{s:b, s:s, s:s, s:s, s:i}", "end", 1, "id",
			      run->id, "adapter", run->adapter, "version",
			      run->version, "n", (int)run->tokens->len));
}

static bool has_ended(const struct si_run *run)
{
	return run->state == SI_ENDED || run->state == SI_REFUSED;
}

/* Appends all output that is available now. Locked. */
static void append_available_output(struct stream *s)
{
	uint32_t stop_at =
		s->own->truncate ? s->own->max_tokens / 2 : UINT32_MAX;

	while (s->next < s->source->tokens->len && s->next < stop_at)
		append_token(s);
	if (s->next >= stop_at) {
		s->ended = true;
		s->abort = !s->own->truncate_clean;
	} else if (has_ended(s->source)) {
		append_end(s);
	}
}

static ssize_t read_stream(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct stream *s = arg;
	size_t n;

	(void)pos;
	if (!si_fault_wait_unfrozen(s->e->proc->fault))
		return MHD_CONTENT_READER_END_WITH_ERROR;
	pthread_mutex_lock(&s->e->lock);
	while (s->pending->len == 0 && !s->ended) {
		append_available_output(s);
		if (s->pending->len == 0 && !s->ended)
			pthread_cond_wait(&s->source->changed, &s->e->lock);
	}
	pthread_mutex_unlock(&s->e->lock);
	n = s->pending->len < max ? s->pending->len : max;
	if (n == 0)
		return s->abort ? MHD_CONTENT_READER_END_WITH_ERROR
				: MHD_CONTENT_READER_END_OF_STREAM;
	memcpy(buf, s->pending->str, n);
	g_string_erase(s->pending, 0, (gssize)n);
	return (ssize_t)n;
}

static void free_stream(void *arg)
{
	struct stream *s = arg;

	pthread_mutex_lock(&s->e->lock);
	si_run_unref(s->own);
	si_run_unref(s->source);
	pthread_mutex_unlock(&s->e->lock);
	g_string_free(s->pending, TRUE);
	g_free(s);
}

/* Drops the reference to the partner; crossed runs hold references to each
 * other and would never be freed. Locked. */
static void release_partner(struct si_run *run)
{
	struct si_run *partner = run->answer_from;

	run->answer_from = NULL;
	if (partner)
		si_run_unref(partner);
}

/* Called when the request ends; cancels the run if its caller has gone. A
 * crossed run continues, since its answer is sent to the other caller. */
static void on_done(void *arg)
{
	struct si_run *run = arg;
	struct si_engine *e = run->engine;

	pthread_mutex_lock(&e->lock);
	if (!run->answer_from)
		si_batch_end(e, run, "caller_gone");
	release_partner(run);
	si_run_unref(run);
	pthread_mutex_unlock(&e->lock);
}

/* Pairs this run with the one that waits for a partner, if the fault is
 * armed; each caller then gets the other's answer. Locked. */
static void pair_crossed_runs(struct si_engine *e, struct si_run *run)
{
	struct si_run *first = e->cross_waiting;

	if (!e->cross_armed)
		return;
	if (!first) {
		e->cross_waiting = run;
		si_run_ref(run);
		return;
	}
	run->answer_from = first; /* with the reference of cross_waiting */
	first->answer_from = run;
	si_run_ref(run);
	e->cross_waiting = NULL;
	e->cross_armed = false;
	pthread_cond_broadcast(&first->changed);
}

static void consume_faults(struct si_engine *e, struct si_run *run)
{
	struct si_fault *fault = e->proc->fault;

	run->garble = si_fault_consume(fault, SI_FAULT_GARBLE);
	run->truncate = si_fault_consume(fault, SI_FAULT_TRUNCATE);
	if (run->truncate)
		run->truncate_clean = e->truncate_count++ % 2 == 0;
}

/* Waits until the run has started or has been refused. Locked. */
static void wait_for_start(struct si_engine *e, struct si_run *run)
{
	while (run->state == SI_QUEUED)
		pthread_cond_wait(&run->changed, &e->lock);
}

/* Waits up to PARTNER_WAIT_MS for a partner; a run that gets none sends its
 * own answer. Locked. */
static void wait_for_partner(struct si_engine *e, struct si_run *run)
{
	gint64 end = si_deadline_us(PARTNER_WAIT_MS);

	while (e->cross_waiting == run && !e->stopping)
		if (!si_cond_wait_until(&run->changed, &e->lock, end))
			break;
	if (e->cross_waiting == run) {
		e->cross_waiting = NULL;
		si_run_unref(run);
	}
}

static bool is_refusing_requests(struct si_engine *e)
{
	fg_ms leaving_ms = si_announce_leaving_ms(e->proc->announce);

	return leaving_ms >= 0 && leaving_ms >= e->refuse_after_ms;
}

/* Queues the run and waits until it starts. Returns NULL, or the reason why
 * the run was refused. */
static const char *admit_run(struct si_engine *e, struct si_run *run)
{
	const char *refused;

	pthread_mutex_lock(&e->lock);
	if (e->stopping)
		refused = "restarted";
	else if (is_refusing_requests(e))
		refused = "leaving";
	else
		refused = si_batch_enqueue(e, run);
	if (!refused) {
		consume_faults(e, run);
		wait_for_start(e, run);
		if (run->state == SI_REFUSED)
			refused = run->error;
	}
	if (!refused) {
		pair_crossed_runs(e, run);
		wait_for_partner(e, run);
	}
	pthread_mutex_unlock(&e->lock);
	return refused;
}

static enum MHD_Result answer_refused(struct si_req *req, const char *refused)
{
	if (strcmp(refused, "not_loaded") == 0)
		return si_answer_error(req, 404, refused);
	if (strcmp(refused, "full") == 0)
		return si_answer_error(req, 429, refused);
	if (strcmp(refused, "leaving") == 0)
		return si_answer_error(req, 503, refused);
	if (strcmp(refused, "restarted") == 0)
		return si_close_connection(req);
	return si_answer_error(req, 200, refused);
}

static enum MHD_Result start_stream(struct si_req *req, struct si_engine *e,
				    struct si_run *run)
{
	struct stream *s = g_new0(struct stream, 1);

	s->e = e;
	s->own = run;
	s->pending = g_string_new(NULL);
	pthread_mutex_lock(&e->lock);
	s->source = run->answer_from ? run->answer_from : run;
	si_run_ref(run);
	si_run_ref(s->source);
	pthread_mutex_unlock(&e->lock);
	return si_answer_response(req, 200,
				  MHD_create_response_from_callback(
					  MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
					  read_stream, s, free_stream));
}

/* Waits for the run to end: a dropped answer must come after the effect. */
static void wait_for_end(struct si_engine *e, struct si_run *run)
{
	pthread_mutex_lock(&e->lock);
	while (!has_ended(run))
		pthread_cond_wait(&run->changed, &e->lock);
	pthread_mutex_unlock(&e->lock);
}

enum MHD_Result si_stream_run(struct si_req *req)
{
	struct si_engine *e = si_engine_of(req);
	struct si_run *run = si_run_new(req->body);
	const char *refused;

	if (!run)
		return si_answer_error(req, 400, "bad_request");
	run->engine = e;
	req->on_done = on_done;
	req->done_arg = run;
	refused = admit_run(e, run);
	if (refused)
		return answer_refused(req, refused);
	if (!si_fault_before_answer(req->proc->fault, req->path,
				    req->raw->str)) {
		wait_for_end(e, run);
		return si_close_connection(req);
	}
	return start_stream(req, e, run);
}
