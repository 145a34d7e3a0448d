#include "common/si_announce.h"

#include "common/si_client.h"
#include "common/si_fault.h"
#include "common/si_log.h"

#define ANNOUNCE_INTERVAL_MS 500
#define ANNOUNCE_TIMEOUT_MS 2000

struct si_announce {
	struct si_proc *proc;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	bool stop;
	fg_ms leaving_since; /* 0: not leaving */
	bool announce_now;   /* skip the rest of the interval */
};

static json_t *announcement_json(struct si_announce *announce, bool leaving)
{
	const struct si_conf *conf = &announce->proc->conf;
	bool engine = announce->proc->program->kind == SI_ENGINE;

	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "name",
			 conf->name, "kind", engine ? "engine" : "plain",
			 "addr", conf->listen, "rpc", "", "region",
			 conf->region, "dc", conf->dc, "service", conf->service,
			 "state", leaving ? "leaving" : "live");
}

static void announce_once(struct si_announce *announce, CURL *curl,
			  bool leaving)
{
	json_t *body = announcement_json(announce, leaving);

	si_client_post(announce->proc, curl, announce->proc->conf.platform,
		       "/instances/announce", body, ANNOUNCE_TIMEOUT_MS);
	json_decref(body);
}

/* Waits until the next announcement is due; returns false when the process
 * stops. */
static bool wait_until_due(struct si_announce *announce, bool *leaving)
{
	gint64 end = si_deadline_us(ANNOUNCE_INTERVAL_MS);
	bool stop;

	pthread_mutex_lock(&announce->lock);
	while (!announce->stop && !announce->announce_now)
		if (!si_cond_wait_until(&announce->changed, &announce->lock,
					end))
			break;
	announce->announce_now = false;
	*leaving = announce->leaving_since != 0;
	stop = announce->stop;
	pthread_mutex_unlock(&announce->lock);
	return !stop;
}

static void *announce_loop(void *arg)
{
	struct si_announce *announce = arg;
	CURL *curl = curl_easy_init();
	bool leaving = false;

	do {
		if (!si_fault_wait_unfrozen(announce->proc->fault))
			break;
		announce_once(announce, curl, leaving);
	} while (wait_until_due(announce, &leaving));
	curl_easy_cleanup(curl);
	return NULL;
}

struct si_announce *si_announce_start(struct si_proc *proc)
{
	struct si_announce *announce = g_new0(struct si_announce, 1);

	announce->proc = proc;
	pthread_mutex_init(&announce->lock, NULL);
	si_cond_init(&announce->changed);
	pthread_create(&announce->thread, NULL, announce_loop, announce);
	return announce;
}

void si_announce_leave(struct si_announce *announce)
{
	pthread_mutex_lock(&announce->lock);
	if (announce->leaving_since == 0) {
		announce->leaving_since = fg_clock_now();
		announce->announce_now = true;
		pthread_cond_broadcast(&announce->changed);
		si_log_event(announce->proc->log, "leaving", json_object());
	}
	pthread_mutex_unlock(&announce->lock);
}

fg_ms si_announce_leaving_ms(struct si_announce *announce)
{
	fg_ms since;

	if (!announce)
		return -1;
	pthread_mutex_lock(&announce->lock);
	since = announce->leaving_since;
	pthread_mutex_unlock(&announce->lock);
	return since == 0 ? -1 : fg_clock_now() - since;
}

void si_announce_stop(struct si_announce *announce)
{
	if (!announce)
		return;
	pthread_mutex_lock(&announce->lock);
	announce->stop = true;
	pthread_cond_broadcast(&announce->changed);
	pthread_mutex_unlock(&announce->lock);
	pthread_join(announce->thread, NULL);
	pthread_mutex_destroy(&announce->lock);
	pthread_cond_destroy(&announce->changed);
	g_free(announce);
}
