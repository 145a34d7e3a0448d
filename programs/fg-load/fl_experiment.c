#include "fl_experiment.h"

#include <cyaml/cyaml.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <time.h>

#include "fl_http.h"

#define FAULT_TIMEOUT_MS 2000
#define BUCKET_DEFAULT_MS 500

static const cyaml_schema_field_t fault_fields[] = {
	CYAML_FIELD_UINT("at_ms", CYAML_FLAG_DEFAULT, struct fl_fault, at_ms),
	CYAML_FIELD_STRING_PTR("control", CYAML_FLAG_POINTER, struct fl_fault,
			       control, 1, CYAML_UNLIMITED),
	CYAML_FIELD_STRING_PTR("body", CYAML_FLAG_POINTER, struct fl_fault,
			       body, 1, CYAML_UNLIMITED),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t fault_value = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct fl_fault, fault_fields),
};

static const cyaml_schema_field_t engine_fields[] = {
	CYAML_FIELD_STRING_PTR("control", CYAML_FLAG_POINTER, struct fl_engine,
			       control, 1, CYAML_UNLIMITED),
	CYAML_FIELD_UINT("batch", CYAML_FLAG_DEFAULT, struct fl_engine, batch),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t engine_value = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct fl_engine,
			    engine_fields),
};

static const cyaml_schema_field_t fields[] = {
	CYAML_FIELD_STRING_PTR("options", CYAML_FLAG_POINTER,
			       struct fl_experiment, options, 0,
			       CYAML_UNLIMITED),
	CYAML_FIELD_SEQUENCE("engines",
			     CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     struct fl_experiment, engines, &engine_value, 0,
			     CYAML_UNLIMITED),
	CYAML_FIELD_SEQUENCE("faults", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     struct fl_experiment, faults, &fault_value, 0,
			     CYAML_UNLIMITED),
	CYAML_FIELD_STRING_PTR("plot", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			       struct fl_experiment, plot, 1, CYAML_UNLIMITED),
	CYAML_FIELD_UINT("bucket_ms", CYAML_FLAG_OPTIONAL, struct fl_experiment,
			 bucket_ms),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct fl_experiment, fields),
};

static const cyaml_config_t cyaml = {
	.log_fn = cyaml_log,
	.mem_fn = cyaml_mem,
	.log_level = CYAML_LOG_ERROR,
};

struct fl_experiment *fl_experiment_load(const char *path)
{
	struct fl_experiment *exp = NULL;
	cyaml_err_t err;

	err = cyaml_load_file(path, &cyaml, &schema, (cyaml_data_t **)&exp,
			      NULL);
	if (err != CYAML_OK) {
		fprintf(stderr, "%s: %s\n", path, cyaml_strerror(err));
		return NULL;
	}
	if (exp->bucket_ms == 0)
		exp->bucket_ms = BUCKET_DEFAULT_MS;
	return exp;
}

void fl_experiment_free(struct fl_experiment *exp)
{
	cyaml_free(&cyaml, &schema, exp, 0);
}

struct fl_faults {
	const struct fl_experiment *exp;
	fg_ms begin;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t stopped;
	bool stop;
};

/* Sleeps until time t. Returns false if fl_faults_stop() was called. */
static bool wait_until(struct fl_faults *faults, fg_ms t)
{
	fg_ms end = fg_clock_wall() + (t - fg_clock_now());
	struct timespec ts = {
		.tv_sec = end / FG_MS_PER_S,
		.tv_nsec = end % FG_MS_PER_S * 1000000,
	};
	bool stop;

	pthread_mutex_lock(&faults->lock);
	while (!faults->stop && fg_clock_now() < t)
		pthread_cond_timedwait(&faults->stopped, &faults->lock, &ts);
	stop = faults->stop;
	pthread_mutex_unlock(&faults->lock);
	return !stop;
}

static void inject_fault(CURL *curl, const struct fl_fault *fault)
{
	const struct fl_http_headers headers = { 0 };
	struct fl_http_result res = { 0 };

	fl_http_post(curl, fault->control, "/control", &headers, fault->body,
		     FAULT_TIMEOUT_MS, &res);
	printf("fault at %u ms, %s: %s (status %u)\n", fault->at_ms,
	       fault->control, fault->body, res.status);
	fl_http_result_clear(&res);
}

static void *run_faults(void *arg)
{
	struct fl_faults *faults = arg;
	const struct fl_experiment *exp = faults->exp;
	CURL *curl = curl_easy_init();

	for (uint32_t i = 0; i < exp->faults_count; i++) {
		if (!wait_until(faults, faults->begin + exp->faults[i].at_ms))
			break;
		inject_fault(curl, &exp->faults[i]);
	}
	curl_easy_cleanup(curl);
	return NULL;
}

struct fl_faults *fl_faults_start(const struct fl_experiment *exp, fg_ms begin)
{
	struct fl_faults *faults = g_new0(struct fl_faults, 1);

	faults->exp = exp;
	faults->begin = begin;
	pthread_mutex_init(&faults->lock, NULL);
	pthread_cond_init(&faults->stopped, NULL);
	pthread_create(&faults->thread, NULL, run_faults, faults);
	return faults;
}

void fl_faults_stop(struct fl_faults *faults)
{
	pthread_mutex_lock(&faults->lock);
	faults->stop = true;
	pthread_cond_broadcast(&faults->stopped);
	pthread_mutex_unlock(&faults->lock);
	pthread_join(faults->thread, NULL);
	pthread_cond_destroy(&faults->stopped);
	pthread_mutex_destroy(&faults->lock);
	g_free(faults);
}
