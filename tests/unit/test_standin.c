/*
 * Checks that the stand-ins of the platform and the plain service behave as
 * docs/PROTOCOL.md says, with and without injected faults. An error in a
 * stand-in would invalidate the tests that use it.
 */
#include <pthread.h>
#include <string.h>

#include "base/fg_clock.h"
#include "si_harness.h"

#define PORT_OFFSET 900

static void test_table(void)
{
	struct proc p = start_platform(NULL);

	check_contains(p.addr, "/table/txn",
		       "{\"writes\":[{\"key\":\"a\",\"expect\":0,"
		       "\"value\":\"1\"}]}",
		       200, "{\"ok\":true,\"versions\":[1]}");
	/* A conflict prevents all writes of the transaction. */
	check_contains(p.addr, "/table/txn",
		       "{\"writes\":[{\"key\":\"b\",\"value\":\"1\"},"
		       "{\"key\":\"a\",\"expect\":0,\"value\":\"2\"}]}",
		       409, "\"conflict\":{\"key\":\"a\",\"version\":1");
	check_status(p.addr, "/table/row?key=b", NULL, 404);
	/* A version number is not reused after a deletion. */
	check_status(p.addr, "/table/txn",
		     "{\"writes\":[{\"key\":\"a\",\"value\":null}]}", 200);
	check_contains(p.addr, "/table/txn",
		       "{\"writes\":[{\"key\":\"a\",\"expect\":0,"
		       "\"value\":\"3\"}]}",
		       200, "[3]");
	check_status(p.addr, "/table/txn",
		     "{\"writes\":[{\"key\":\"a/1\",\"value\":\"x\"},"
		     "{\"key\":\"a/2\",\"value\":\"y\"},"
		     "{\"key\":\"b/1\",\"value\":\"z\"}]}",
		     200);
	check_contains(p.addr, "/table/scan?prefix=a%2F&limit=1", NULL, 200,
		       "\"key\":\"a/1\"");
	check_contains(p.addr, "/table/scan?prefix=a%2F&limit=1", NULL, 200,
		       "\"more\":true");
	check_contains(p.addr, "/table/scan?prefix=a%2F&after=a%2F1", NULL, 200,
		       "[{\"key\":\"a/2\",\"version\":5,\"value\":\"y\"}],"
		       "\"more\":false");
	stop_standin(&p);
}

static void test_platform_faults(void)
{
	struct proc p = start_platform("--writes-per-s=2");
	const char *write = "{\"writes\":[{\"key\":\"k\",\"value\":\"1\"}]}";

	/* The answer is lost, but the write takes effect. */
	send_control(&p, "{\"op\":\"drop_answer\",\"count\":1,"
			 "\"path\":\"/table/txn\"}");
	check_status(p.addr, "/table/txn", write, 0);
	check_contains(p.addr, "/table/row?key=k", NULL, 200, "\"version\":1");
	/* A write over the rate has no effect. */
	check_status(p.addr, "/table/txn", write, 200);
	check_contains(p.addr, "/table/txn", write, 429, "retry_after_ms");
	check_contains(p.addr, "/table/row?key=k", NULL, 200, "\"version\":2");
	send_control(&p, "{\"op\":\"cut\",\"name\":\"n1\"}");
	check_status(p.addr, "/table/row?key=k", NULL, 0);
	send_control(&p, "{\"op\":\"heal\",\"name\":\"n1\"}");
	check_status(p.addr, "/table/row?key=k", NULL, 200);
	send_control(&p, "{\"op\":\"outage\",\"ms\":60000}");
	check_status(p.addr, "/table/row?key=k", NULL, 503);
	send_control(&p, "{\"op\":\"outage\",\"ms\":0}");
	check_status(p.addr, "/table/row?key=k", NULL, 200);
	check_status(p.control, "/control", "{\"op\":\"poison\"}", 400);
	stop_standin(&p);
}

static void *fetch_weights(void *arg)
{
	const struct proc *p = arg;

	check_status(p->addr, "/weights/fetch", "{}", 200);
	return NULL;
}

/* Sixteen concurrent loads take twice as long as eight. */
static void test_weight_store(void)
{
	struct proc p = start_platform("--loads-per-s=16");
	pthread_t threads[16];
	fg_ms begin = fg_clock_now();
	fg_ms took;

	for (int i = 0; i < 16; i++)
		pthread_create(&threads[i], NULL, fetch_weights, &p);
	for (int i = 0; i < 16; i++)
		pthread_join(threads[i], NULL);
	took = fg_clock_now() - begin;
	g_assert_cmpint(took, >=, 450);
	stop_standin(&p);
}

static size_t listed_count(const struct proc *p)
{
	struct answer res = send_request(p->addr, "/instances", NULL);
	size_t n = json_array_size(json_object_get(res.body, "instances"));

	answer_clear(&res);
	return n;
}

static void wait_for_listed(const struct proc *p, size_t wanted)
{
	for (int i = 0; i < SI_READY_TRIES && listed_count(p) != wanted; i++)
		g_usleep(SI_READY_WAIT_US);
	g_assert_cmpuint(listed_count(p), ==, wanted);
}

static void test_list_lag(void)
{
	struct proc p = start_platform("--list-ttl-ms=600");
	const char *self = "{\"name\":\"x\",\"kind\":\"entry\",\"addr\":\"\","
			   "\"state\":\"live\"}";
	fg_ms begin = fg_clock_now();

	check_status(p.addr, "/instances/announce", self, 200);
	wait_for_listed(&p, 1);
	g_assert_cmpint(fg_clock_now() - begin, >=, 290);
	/* A frozen list shows an instance beyond its TTL. */
	send_control(&p, "{\"op\":\"list_freeze\",\"ms\":1200}");
	g_usleep(1000000);
	g_assert_cmpuint(listed_count(&p), ==, 1);
	wait_for_listed(&p, 0);
	stop_standin(&p);
}

static void test_plain(void)
{
	struct proc p = start_platform(NULL);
	char *at = g_strconcat("--platform=", p.addr, NULL);
	const char *const options[] = { at, "--service=orders", NULL };
	struct proc s = start_standin("plain", options);
	const char *file = "{\"id\":\"i\",\"tag\":\"t\",\"op\":\"file\","
			   "\"key\":\"k\",\"body\":{}}";

	send_control(&s, "{\"op\":\"drop_answer\",\"count\":1,"
			 "\"path\":\"/v1/call\"}");
	check_status(s.addr, "/v1/call", file, 0);
	check_contains(s.control, "/control/log", NULL, 200,
		       "\"op\":\"file\",\"key\":\"k\",\"ok\":true");
	check_contains(s.addr, "/v1/call",
		       "{\"id\":\"i\",\"tag\":\"t\",\"op\":\"status\","
		       "\"body\":{\"key\":\"k\"}}",
		       200, "{\"key\":\"k\",\"filed\":true},\"n\":24");
	send_control(&s, "{\"op\":\"truncate\",\"count\":1}");
	check_status(s.addr, "/v1/call", file, 0);
	send_control(&s, "{\"op\":\"leave\",\"refuse_after_ms\":0}");
	check_contains(s.addr, "/v1/call", file, 503, "leaving");
	stop_standin(&s);
	stop_standin(&p);
	g_free(at);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	si_harness_init(argv[0], PORT_OFFSET);
	g_test_add_func("/standin/table", test_table);
	g_test_add_func("/standin/platform_faults", test_platform_faults);
	g_test_add_func("/standin/weight_store", test_weight_store);
	g_test_add_func("/standin/list_lags", test_list_lag);
	g_test_add_func("/standin/plain", test_plain);
	status = g_test_run();
	si_harness_free();
	return status;
}
