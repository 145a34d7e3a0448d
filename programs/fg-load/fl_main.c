/*
 * fg-load - sends requests to entry instances and checks every answer.
 *
 * The main thread plans the requests and queues them when they are due; worker
 * threads send them. The exit status is 0 if every answer DONE was whole. With
 * --all-done it is 0 only if every request was DONE and whole.
 */
#include <pthread.h>
#include <stdio.h>

#include "fl_plot.h"
#include "fl_queue.h"
#include "fl_send.h"

struct worker {
	struct fl_sender *sender;
	struct fl_queue *queue;
	pthread_t thread;
};

static void *run_worker(void *arg)
{
	struct worker *worker = arg;
	CURL *curl = curl_easy_init();
	struct fl_req *req;

	while ((req = fl_queue_pop(worker->queue))) {
		if (req->due == 0)
			req->due = fg_clock_now();
		fl_send(worker->sender, curl, req);
		fl_req_free(req);
	}
	curl_easy_cleanup(curl);
	return NULL;
}

static void sleep_until(fg_ms t)
{
	fg_ms left = t - fg_clock_now();

	if (left > 0)
		g_usleep((gulong)left * 1000);
}

/* Without a rate `due` stays 0, and the worker that takes the request sets it.
 */
static void enqueue_requests(const struct fl_conf *conf, struct fl_queue *queue)
{
	struct fl_plan *plan = fl_plan_new(conf);
	fg_ms begin = fg_clock_now();

	for (uint32_t i = 0; i < conf->requests; i++) {
		struct fl_req *req = fl_plan_next(plan);

		if (conf->rate_per_s > 0) {
			req->due = begin +
				   (fg_ms)(i * FG_MS_PER_S / conf->rate_per_s);
			sleep_until(req->due);
		}
		fl_queue_push(queue, req);
	}
	fl_plan_free(plan);
}

static void send_all(struct fl_sender *sender)
{
	const struct fl_conf *conf = sender->conf;
	struct worker *workers = g_new0(struct worker, conf->workers);
	struct fl_queue *queue = fl_queue_new();

	for (uint32_t i = 0; i < conf->workers; i++) {
		workers[i].sender = sender;
		workers[i].queue = queue;
		pthread_create(&workers[i].thread, NULL, run_worker,
			       &workers[i]);
	}
	enqueue_requests(conf, queue);
	fl_queue_close(queue);
	for (uint32_t i = 0; i < conf->workers; i++)
		pthread_join(workers[i].thread, NULL);
	fl_queue_free(queue);
	g_free(workers);
}

/* Prints and plots waiting times and batch fill. Returns false if the plot
 * cannot be written. */
static bool report_engines(const struct fl_conf *conf, struct fl_stalls *stalls,
			   fg_ms begin, fg_ms end)
{
	struct fl_bucket *buckets;
	bool ok = true;
	uint32_t n;

	fl_stalls_collect(stalls);
	buckets = fl_stalls_buckets(stalls, begin, end, &n);
	printf("  %8s %8s %12s %12s %6s\n", "at s", "requests", "wait p50 ms",
	       "wait p95 ms", "fill");
	for (uint32_t i = 0; i < n; i++)
		printf("  %8.1f %8u %12u %12u %5.0f%%\n",
		       (double)i * conf->experiment->bucket_ms / FG_MS_PER_S,
		       buckets[i].requests, buckets[i].wait_p50_ms,
		       buckets[i].wait_p95_ms, buckets[i].fill * 100);
	if (conf->experiment->plot)
		ok = fl_plot_write(conf->experiment, buckets, n);
	g_free(buckets);
	return ok;
}

/* Sends the requests while the faults are injected, then reports on the
 * engines. Returns false if the plot cannot be written. */
static bool run_experiment(struct fl_sender *sender, fg_ms begin)
{
	const struct fl_conf *conf = sender->conf;
	struct fl_faults *faults = fl_faults_start(conf->experiment, begin);
	bool ok;

	sender->stalls = fl_stalls_new(conf->experiment);
	send_all(sender);
	fl_faults_stop(faults);
	ok = report_engines(conf, sender->stalls, begin, fg_clock_now());
	fl_stalls_free(sender->stalls);
	return ok;
}

int main(int argc, char **argv)
{
	struct fl_conf conf;
	struct fl_sender sender = { .conf = &conf };
	uint32_t n_failed = 0;
	fg_ms begin;
	bool ok;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	ok = fl_conf_parse(&conf, argc, argv);
	if (ok) {
		sender.record = fl_record_new(&conf);
		ok = sender.record != NULL;
	}
	if (ok) {
		sender.addr = fl_addr_new(&conf);
		begin = fg_clock_now();
		if (conf.experiment)
			ok = run_experiment(&sender, begin);
		else
			send_all(&sender);
		n_failed = fl_record_summary(sender.record,
					     fg_clock_now() - begin);
		fl_addr_free(sender.addr);
		fl_record_free(sender.record);
	}
	fl_conf_clear(&conf);
	curl_global_cleanup();
	return ok && n_failed == 0 ? 0 : 1;
}
