/* Unit tests of fg_quota: each mechanism of limits that instances keep. */
#include <glib.h>
#include <string.h>

#include "quota/fg_quota.h"

#define SELF 1u
#define SELF_HASH 11u
#define RATE 10000.0
#define BURST 5000.0
/* Of a new account: a tenth of a second's rate. */
#define INITIAL 1000u

struct fixture {
	struct fg_quota *q;
	fg_ms now;
	uint64_t workspace;
	struct fg_quota_member others[2];
	uint32_t n_asks;
	uint64_t asked; /* instance, newest ask */
	struct fg_quota_ask ask;
	uint32_t n_decided;
	uint64_t decided; /* newest */
	enum fg_quota_verdict verdict;
	uint32_t retry_ms;
};

static void on_send(void *ctx, uint64_t to, const struct fg_quota_ask *ask)
{
	struct fixture *f = ctx;

	f->n_asks++;
	f->asked = to;
	f->ask = *ask;
}

/* Takes out all decisions. */
static void drain(struct fixture *f)
{
	struct fg_quota_decision d;

	while (fg_quota_next_decision(f->q, &d)) {
		f->n_decided++;
		f->decided = d.request;
		f->verdict = d.verdict;
		f->retry_ms = d.retry_ms;
	}
}

static void set_limit(struct fixture *f, double rate, double burst)
{
	struct fg_quota_limit limit = { rate, burst };

	fg_quota_set_limit(f->q, f->now, f->workspace, &limit);
	fg_quota_end_limits(f->q, f->now);
	drain(f);
}

static void set_members(struct fixture *f)
{
	fg_quota_set_members(f->q, f->now, f->others, 2, true);
}

/* Time passes with the view of the instances kept up to date. */
static void pass(struct fixture *f, fg_ms ms)
{
	for (fg_ms end = f->now + ms; f->now < end;) {
		f->now += MIN(10, end - f->now);
		set_members(f);
		if (fg_quota_next_due(f->q) <= f->now)
			fg_quota_tick(f->q, f->now);
		drain(f);
	}
}

/* `place` is the number of instances that precede this one. */
static void setup(struct fixture *f, uint32_t place)
{
	static const struct fg_quota_ops ops = { on_send };
	struct fg_quota_conf conf = { SELF, SELF_HASH, 100, 0 };
	uint32_t n;

	memset(f, 0, sizeof(*f));
	f->now = 100000;
	f->others[0] = (struct fg_quota_member){ 2, 22, true };
	f->others[1] = (struct fg_quota_member){ 3, 33, true };
	do {
		uint64_t own = fg_hash_mix(SELF_HASH, ++f->workspace);

		n = (fg_hash_mix(22, f->workspace) > own) +
		    (fg_hash_mix(33, f->workspace) > own);
	} while (n != place ||
		 (place == 2 && fg_hash_mix(22, f->workspace) <
					fg_hash_mix(33, f->workspace)));
	f->q = fg_quota_new(&conf, &ops, f);
	set_limit(f, RATE, BURST);
	set_members(f);
}

static enum fg_quota_verdict take(struct fixture *f, uint32_t tokens,
				  uint64_t request)
{
	return fg_quota_take(f->q, f->now, f->workspace, tokens, request,
			     &f->retry_ms);
}

static struct fg_quota_reply answer(struct fixture *f, uint64_t from,
				    uint32_t request, uint32_t tokens,
				    uint32_t returned)
{
	struct fg_quota_ask ask = { request, f->workspace, tokens, tokens,
				    returned };
	struct fg_quota_reply reply;

	fg_quota_answer(f->q, f->now, from, &ask, &reply);
	return reply;
}

static void grant(struct fixture *f, uint32_t tokens, uint32_t retry_ms)
{
	struct fg_quota_reply reply = {
		.request = f->ask.request,
		.workspace = f->workspace,
		.holder = true,
		.tokens = tokens,
		.valid_ms = FG_QUOTA_LEASE_MS,
		.retry_ms = retry_ms,
	};

	fg_quota_on_reply(f->q, f->now, f->asked, &reply);
	drain(f);
}

static void say_not_holder(struct fixture *f, uint64_t from, uint32_t retry_ms)
{
	struct fg_quota_reply reply = { .request = f->ask.request,
					.workspace = f->workspace,
					.retry_ms = retry_ms };

	fg_quota_on_reply(f->q, f->now, from, &reply);
	drain(f);
}

/* ---- At the holder ---- */

/* Guards against a refill of the burst at a new holder, and above it later. */
static void test_bucket(void)
{
	struct fixture f;

	setup(&f, 0);
	g_assert_cmpint(take(&f, INITIAL, 1), ==, FG_QUOTA_ADMITTED);
	g_assert_cmpint(take(&f, 100, 2), ==, FG_QUOTA_REFUSED);
	g_assert_cmpuint(f.retry_ms, ==, 11);
	pass(&f, 12);
	g_assert_cmpint(take(&f, 100, 3), ==, FG_QUOTA_ADMITTED);
	pass(&f, 60000);
	g_assert_cmpint(take(&f, (uint32_t)BURST, 4), ==, FG_QUOTA_ADMITTED);
	g_assert_cmpint(take(&f, 1, 5), ==, FG_QUOTA_REFUSED);
	g_assert_cmpuint(f.n_asks, ==, 0);
	fg_quota_free(f.q);
}

/* Guards against a request above the burst that is never served, or for
 * nothing. */
static void test_debt(void)
{
	struct fixture f;

	setup(&f, 0);
	g_assert_cmpint(take(&f, 9000, 1), ==, FG_QUOTA_REFUSED);
	pass(&f, 400);
	g_assert_cmpint(take(&f, 9000, 2), ==, FG_QUOTA_ADMITTED);
	pass(&f, 390);
	g_assert_cmpint(take(&f, 100, 3), ==, FG_QUOTA_REFUSED);
	pass(&f, 30);
	g_assert_cmpint(take(&f, 100, 4), ==, FG_QUOTA_ADMITTED);
	fg_quota_free(f.q);
}

/* Guards against callers that come back for the same tokens. */
static void test_retry_times_follow(void)
{
	struct fixture f;
	uint32_t first;

	setup(&f, 0);
	take(&f, INITIAL, 1);
	g_assert_cmpint(take(&f, 1000, 2), ==, FG_QUOTA_REFUSED);
	first = f.retry_ms;
	g_assert_cmpint(take(&f, 1000, 3), ==, FG_QUOTA_REFUSED);
	g_assert_cmpuint(f.retry_ms, ==, first + 100);
	g_assert_cmpuint(answer(&f, 2, 1, 1000, 0).retry_ms, ==, first + 200);
	fg_quota_free(f.q);
}

/* Guards against a second grant for a repeated or late ask. */
static void test_repeated_ask(void)
{
	struct fixture f;

	setup(&f, 0);
	g_assert_cmpuint(answer(&f, 2, 7, 600, 0).tokens, ==, 600);
	g_assert_cmpuint(answer(&f, 2, 7, 600, 0).tokens, ==, 600);
	g_assert_cmpuint(answer(&f, 2, 6, 100, 0).tokens, ==, 0);
	g_assert_cmpint(take(&f, 400, 1), ==, FG_QUOTA_ADMITTED);
	g_assert_cmpint(take(&f, 1, 2), ==, FG_QUOTA_REFUSED);
	fg_quota_free(f.q);
}

static void test_returned_tokens(void)
{
	struct fixture f;

	setup(&f, 0);
	g_assert_cmpuint(answer(&f, 2, 1, 1000, 0).tokens, ==, 1000);
	g_assert_cmpuint(answer(&f, 2, 2, 700, 800).tokens, ==, 700);
	g_assert_cmpint(take(&f, 100, 1), ==, FG_QUOTA_ADMITTED);
	g_assert_cmpint(take(&f, 1, 2), ==, FG_QUOTA_REFUSED);
	/* Never above the burst. */
	g_assert_cmpuint(answer(&f, 2, 3, 5001, 90000).tokens, ==, 5001);
	g_assert_cmpint(take(&f, 1, 3), ==, FG_QUOTA_REFUSED);
	fg_quota_free(f.q);
}

static void test_limit_changes(void)
{
	struct fixture f;

	setup(&f, 0);
	take(&f, 1, 1);
	pass(&f, 10000);
	set_limit(&f, 100, 200);
	g_assert_cmpint(take(&f, 200, 1), ==, FG_QUOTA_ADMITTED);
	pass(&f, 1000);
	g_assert_cmpint(take(&f, 150, 2), ==, FG_QUOTA_REFUSED);
	/* A raised limit refills at its rate, not at once. */
	set_limit(&f, RATE, BURST);
	g_assert_cmpint(take(&f, 1000, 3), ==, FG_QUOTA_REFUSED);
	pass(&f, 100);
	g_assert_cmpint(take(&f, 1000, 4), ==, FG_QUOTA_ADMITTED);
	/* Without a limit all is admitted; one that is added starts anew. */
	fg_quota_end_limits(f.q, f.now);
	g_assert_cmpint(take(&f, 1000000, 5), ==, FG_QUOTA_ADMITTED);
	set_limit(&f, RATE, BURST);
	g_assert_cmpint(take(&f, INITIAL, 6), ==, FG_QUOTA_ADMITTED);
	g_assert_cmpint(take(&f, 1, 7), ==, FG_QUOTA_REFUSED);
	fg_quota_free(f.q);
}

/* Guards against two instances that use the same part of the rate. */
static void test_kept_back_share(void)
{
	struct fixture f;
	struct fg_quota_view view;

	setup(&f, 0);
	f.others[0].alive = false;
	pass(&f, 1000);
	fg_quota_list(f.q, f.now, &view, 1);
	g_assert_cmpfloat_with_epsilon(view.rate_per_s, RATE * 2 / 3, 0.1);
	pass(&f, FG_QUOTA_SHARE_MS + FG_QUOTA_LEASE_MS);
	fg_quota_list(f.q, f.now, &view, 1);
	g_assert_cmpfloat_with_epsilon(view.rate_per_s, RATE, 0.1);
	fg_quota_free(f.q);
}

/* Guards against an account found full after another instance kept it, be it
 * that nobody used the workspace here meanwhile or that this one was paused. */
static void test_account_lost_unseen(void)
{
	struct fixture f;

	setup(&f, 0);
	take(&f, 1, 1);
	pass(&f, 2000);
	f.others[0].alive = f.others[1].alive = false;
	pass(&f, 1000);
	f.others[0].alive = f.others[1].alive = true;
	pass(&f, 200);
	g_assert_cmpint(take(&f, 4000, 2), ==, FG_QUOTA_REFUSED);
	pass(&f, 5000);
	/* Requests are read before the first step after a pause. */
	f.now += 3000;
	g_assert_cmpint(take(&f, 2000, 3), ==, FG_QUOTA_UNKNOWN);
	set_members(&f);
	g_assert_cmpint(take(&f, 4000, 4), ==, FG_QUOTA_REFUSED);
	fg_quota_free(f.q);
}

/* Guards against a request that is decided, and freed by its owner, while the
 * owner's call still uses it: others wait for the account when this instance
 * becomes its holder. */
static void test_take_decides_after_return(void)
{
	struct fixture f;
	uint32_t level = INITIAL;

	setup(&f, 1);
	g_assert_cmpint(take(&f, 300, 1), ==, FG_QUOTA_WAITING);
	say_not_holder(&f, f.asked, 0);
	g_assert_cmpuint(f.n_decided, ==, 0);
	for (guint i = 0; i < 2; i++)
		if (f.others[i].id == f.asked)
			f.others[i].alive = false;
	set_members(&f);
	g_assert_false(fg_quota_has_decisions(f.q));
	g_assert_cmpint(take(&f, 300, 2), ==, FG_QUOTA_WAITING);
	g_assert_cmpuint(f.n_decided, ==, 0);
	g_assert_true(fg_quota_has_decisions(f.q));
	drain(&f);
	g_assert_cmpuint(f.n_decided, ==, 2);
	g_assert_cmpuint(f.decided, ==, 2);
	g_assert_cmpint(f.verdict, ==, FG_QUOTA_ADMITTED);
	level -= 600;
	g_assert_cmpint(take(&f, level, 3), ==, FG_QUOTA_ADMITTED);
	g_assert_cmpint(take(&f, 100, 4), ==, FG_QUOTA_REFUSED);
	fg_quota_free(f.q);
}

/* Guards against tokens that are lost with a request that ends between its
 * decision and the time at which its owner learns of it. */
static void test_cancel_decided(void)
{
	struct fixture f;
	struct fg_quota_decision d;
	struct fg_quota_reply reply = { .holder = true,
					.tokens = 300,
					.valid_ms = FG_QUOTA_LEASE_MS };

	setup(&f, 1);
	g_assert_cmpint(take(&f, 300, 1), ==, FG_QUOTA_WAITING);
	reply.request = f.ask.request;
	reply.workspace = f.workspace;
	fg_quota_on_reply(f.q, f.now, f.asked, &reply);
	g_assert_true(fg_quota_has_decisions(f.q));
	fg_quota_cancel(f.q, f.now, f.workspace, 1);
	g_assert_false(fg_quota_next_decision(f.q, &d));
	g_assert_cmpint(take(&f, 200, 2), ==, FG_QUOTA_WAITING);
	g_assert_cmpuint(f.ask.returned, ==, 300);
	fg_quota_free(f.q);
}

/* ---- At another instance ---- */

static void test_lease_validity(void)
{
	struct fixture f;

	setup(&f, 1);
	g_assert_cmpint(take(&f, 300, 1), ==, FG_QUOTA_WAITING);
	g_assert_cmpuint(f.ask.need, ==, 300);
	grant(&f, 1000, 0);
	g_assert_cmpuint(f.n_decided, ==, 1);
	g_assert_cmpint(f.verdict, ==, FG_QUOTA_ADMITTED);
	pass(&f, FG_QUOTA_LEASE_MS - 10);
	g_assert_cmpint(take(&f, 300, 2), ==, FG_QUOTA_ADMITTED);
	pass(&f, 10);
	/* The rest has lapsed and is returned with the ask. */
	g_assert_cmpint(take(&f, 300, 3), ==, FG_QUOTA_WAITING);
	g_assert_cmpuint(f.ask.returned, ==, 400);
	fg_quota_free(f.q);
}

static void test_give_back(void)
{
	struct fixture f;

	setup(&f, 1);
	take(&f, 300, 1);
	grant(&f, 300, 0);
	fg_quota_give_back(f.q, f.now, f.workspace, 300);
	take(&f, 200, 2);
	g_assert_cmpuint(f.ask.returned, ==, 300);
	fg_quota_free(f.q);
}

static void test_cancel(void)
{
	struct fixture f;

	setup(&f, 1);
	take(&f, 300, 1);
	take(&f, 200, 2);
	fg_quota_cancel(f.q, f.now, f.workspace, 1);
	grant(&f, 300, 0);
	g_assert_cmpuint(f.n_decided, ==, 1);
	g_assert_cmpuint(f.decided, ==, 2);
	fg_quota_free(f.q);
}

/* After a refusal no ask goes out for some tens of ms. */
static void test_hold_off(void)
{
	struct fixture f;

	setup(&f, 1);
	take(&f, 300, 1);
	grant(&f, 0, 500);
	g_assert_cmpint(f.verdict, ==, FG_QUOTA_REFUSED);
	g_assert_cmpuint(f.retry_ms, ==, 500);
	pass(&f, 10);
	g_assert_cmpint(take(&f, 300, 2), ==, FG_QUOTA_REFUSED);
	g_assert_cmpuint(f.retry_ms, ==, 490);
	g_assert_cmpuint(f.n_asks, ==, 1);
	pass(&f, 20);
	g_assert_cmpint(take(&f, 300, 3), ==, FG_QUOTA_WAITING);
	g_assert_cmpuint(f.n_asks, ==, 2);
	fg_quota_free(f.q);
}

/* An instance that does not answer is asked twice, then the next one. */
static void test_next_is_asked(void)
{
	struct fixture f;
	uint32_t request;

	setup(&f, 2);
	take(&f, 300, 1);
	request = f.ask.request;
	g_assert_cmpuint(f.asked, ==, 2);
	pass(&f, FG_QUOTA_ASK_TIMEOUT_MS);
	g_assert_cmpuint(f.asked, ==, 2);
	g_assert_cmpuint(f.ask.request, ==, request);
	pass(&f, FG_QUOTA_ASK_TIMEOUT_MS);
	g_assert_cmpuint(f.asked, ==, 3);
	g_assert_cmpuint(f.ask.request, !=, request);
	/* No request waits longer than the limit of waits. */
	for (uint32_t i = 2 * FG_QUOTA_ASK_TIMEOUT_MS; i < FG_QUOTA_WAIT_MAX_MS;
	     i += 10) {
		say_not_holder(&f, 3, 30);
		pass(&f, 10);
	}
	g_assert_cmpuint(f.n_decided, ==, 1);
	g_assert_cmpint(f.verdict, ==, FG_QUOTA_UNKNOWN);
	fg_quota_free(f.q);
}

/* The next holder checks the earlier one twice before it takes over, and gives
 * the account up as soon as that answers. */
static void test_earlier_is_checked(void)
{
	struct fixture f;
	struct fg_quota_reply reply;

	setup(&f, 1);
	reply = answer(&f, 2, 1, 300, 0);
	g_assert_false(reply.holder);
	g_assert_cmpuint(reply.retry_ms, >, 0);
	g_assert_cmpuint(f.ask.tokens, ==, 0);
	pass(&f, FG_QUOTA_ASK_TIMEOUT_MS);
	g_assert_cmpuint(f.n_asks, ==, 2);
	g_assert_false(answer(&f, 2, 2, 300, 0).holder);
	pass(&f, FG_QUOTA_ASK_TIMEOUT_MS);
	g_assert_true(answer(&f, 2, 3, 300, 0).holder);
	pass(&f, 200);
	g_assert_cmpuint(f.n_asks, >, 4);
	say_not_holder(&f, f.asked, 0);
	g_assert_false(answer(&f, 2, 4, 300, 0).holder);
	fg_quota_free(f.q);
}

/* Guards against two full rates while a holder that was cut off has not yet
 * noticed it. */
static void test_contested_account(void)
{
	struct fixture f;

	setup(&f, 1);
	f.others[0].alive = f.others[1].alive = true;
	pass(&f, 200);
	f.others[fg_hash_mix(22, f.workspace) >
				 fg_hash_mix(SELF_HASH, f.workspace)
			 ? 0
			 : 1]
		.alive = false;
	pass(&f, 100);
	g_assert_cmpint(take(&f, INITIAL, 1), ==, FG_QUOTA_ADMITTED);
	pass(&f, 500);
	/* Twice the initial level a second, instead of the rate. */
	g_assert_cmpint(take(&f, 1100, 2), ==, FG_QUOTA_REFUSED);
	g_assert_cmpint(take(&f, 900, 3), ==, FG_QUOTA_ADMITTED);
	pass(&f, 1500);
	g_assert_cmpint(take(&f, 4000, 4), ==, FG_QUOTA_ADMITTED);
	fg_quota_free(f.q);
}

/* An instance that sees no majority admits from its share: it starts empty,
 * allows no debt and ends. */
static void test_share(void)
{
	struct fixture f;

	setup(&f, 1);
	pass(&f, 5000);
	f.others[0].alive = f.others[1].alive = false;
	pass(&f, 100);
	g_assert_cmpint(take(&f, 1000, 1), ==, FG_QUOTA_UNKNOWN);
	pass(&f, 400);
	g_assert_cmpint(take(&f, 1600, 2), ==, FG_QUOTA_ADMITTED);
	g_assert_cmpint(take(&f, 200, 3), ==, FG_QUOTA_UNKNOWN);
	g_assert_cmpuint(f.retry_ms, >, 0);
	pass(&f, FG_QUOTA_SHARE_MS);
	g_assert_cmpint(take(&f, 1, 4), ==, FG_QUOTA_UNKNOWN);
	fg_quota_free(f.q);
}

/* An instance whose row is gone counts for some time, and then no longer. */
static void test_gone_instances(void)
{
	struct fixture f;

	setup(&f, 0);
	pass(&f, 5000);
	f.others[0].alive = f.others[1].alive = false;
	pass(&f, 2 * FG_QUOTA_GONE_MS);
	g_assert_cmpint(take(&f, 100, 1), ==, FG_QUOTA_UNKNOWN);
	for (fg_ms end = f.now + FG_QUOTA_GONE_MS; f.now < end; f.now += 100) {
		fg_quota_set_members(f.q, f.now, f.others, 0, true);
		fg_quota_tick(f.q, f.now);
		g_assert_cmpint(take(&f, 100, 2), ==, FG_QUOTA_UNKNOWN);
	}
	for (fg_ms end = f.now + 2000; f.now < end; f.now += 100) {
		fg_quota_set_members(f.q, f.now, f.others, 0, true);
		fg_quota_tick(f.q, f.now);
	}
	g_assert_cmpint(take(&f, 100, 3), ==, FG_QUOTA_ADMITTED);
	fg_quota_free(f.q);
}

static void test_limit_removed_while_waiting(void)
{
	struct fixture f;

	setup(&f, 1);
	take(&f, 300, 1);
	fg_quota_end_limits(f.q, f.now);
	drain(&f);
	g_assert_cmpuint(f.n_decided, ==, 1);
	g_assert_cmpint(f.verdict, ==, FG_QUOTA_ADMITTED);
	grant(&f, 300, 0);
	fg_quota_free(f.q);
}

static void test_leave(void)
{
	struct fixture f;

	setup(&f, 0);
	g_assert_cmpint(take(&f, 300, 1), ==, FG_QUOTA_ADMITTED);
	fg_quota_leave(f.q);
	g_assert_false(answer(&f, 2, 1, 300, 0).holder);
	g_assert_cmpint(take(&f, 300, 2), ==, FG_QUOTA_WAITING);
	g_assert_cmpuint(f.n_asks, ==, 1);
	fg_quota_free(f.q);
}

/* Tokens given back after the last request return to the holder. */
static void test_leave_returns_tokens(void)
{
	struct fixture f;

	setup(&f, 2);
	g_assert_cmpint(take(&f, 300, 1), ==, FG_QUOTA_WAITING);
	grant(&f, 300, 0);
	fg_quota_leave(f.q);
	fg_quota_tick(f.q, f.now);
	g_assert_cmpuint(f.n_asks, ==, 1);
	fg_quota_give_back(f.q, f.now, f.workspace, 300);
	fg_quota_tick(f.q, f.now);
	g_assert_cmpuint(f.n_asks, ==, 2);
	g_assert_cmpuint(f.ask.returned, ==, 300);
	g_assert_cmpuint(f.ask.need, ==, 0);
	grant(&f, 1, 0);
	f.now += FG_QUOTA_LEASE_MS;
	set_members(&f);
	fg_quota_tick(f.q, f.now);
	g_assert_cmpuint(f.n_asks, ==, 2);
	fg_quota_free(f.q);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quota/bucket", test_bucket);
	g_test_add_func("/quota/debt", test_debt);
	g_test_add_func("/quota/retry_times_follow", test_retry_times_follow);
	g_test_add_func("/quota/repeated_ask", test_repeated_ask);
	g_test_add_func("/quota/returned_tokens", test_returned_tokens);
	g_test_add_func("/quota/limit_changes", test_limit_changes);
	g_test_add_func("/quota/kept_back_share", test_kept_back_share);
	g_test_add_func("/quota/account_lost_unseen", test_account_lost_unseen);
	g_test_add_func("/quota/take_decides_after_return",
			test_take_decides_after_return);
	g_test_add_func("/quota/cancel_decided", test_cancel_decided);
	g_test_add_func("/quota/lease_validity", test_lease_validity);
	g_test_add_func("/quota/give_back", test_give_back);
	g_test_add_func("/quota/cancel", test_cancel);
	g_test_add_func("/quota/hold_off", test_hold_off);
	g_test_add_func("/quota/next_is_asked", test_next_is_asked);
	g_test_add_func("/quota/earlier_is_checked", test_earlier_is_checked);
	g_test_add_func("/quota/contested_account", test_contested_account);
	g_test_add_func("/quota/share", test_share);
	g_test_add_func("/quota/gone_instances", test_gone_instances);
	g_test_add_func("/quota/limit_removed_while_waiting",
			test_limit_removed_while_waiting);
	g_test_add_func("/quota/leave", test_leave);
	g_test_add_func("/quota/leave_returns_tokens",
			test_leave_returns_tokens);
	return g_test_run();
}
