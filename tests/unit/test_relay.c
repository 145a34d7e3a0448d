/* Unit tests of rows relayed between instances, and of the choice of the
 * instance that reads the store. */
#include <string.h>

#include "base/fg_rand.h"
#include "mesh/fg_peers.h"
#include "relay/fg_relay.h"

#define FRESH_MS 1800

static void put_row(struct fg_relay *r, const char *key, uint64_t version,
		    const char *value)
{
	struct fg_store_row row = {
		.table = (char *)"t",
		.key = (char *)key,
		.value = (char *)value,
		.value_bytes = value == NULL ? 0 : strlen(value),
		.version = version,
		.removed = value == NULL,
	};

	fg_relay_put(r, &row);
}

static struct fg_store_rows encode_and_decode(const struct fg_relay *r,
					      uint64_t after)
{
	GString *body = g_string_new(NULL);
	struct fg_store_rows rows;

	g_assert_true(fg_relay_encode(r, after, 99, body));
	g_assert_true(fg_relay_decode(body->str, body->len, "t", &rows));
	g_string_free(body, TRUE);
	return rows;
}

static const struct fg_store_row *row_at(const struct fg_store_rows *rows,
					 guint i)
{
	g_assert_cmpuint(i, <, rows->rows->len);
	return rows->rows->pdata[i];
}

static void test_newest_of_each_key(void)
{
	struct fg_relay *r = fg_relay_new();
	struct fg_store_rows rows;

	fg_relay_reset(r, 10);
	put_row(r, "a", 11, "one");
	put_row(r, "b", 12, "two");
	put_row(r, "a", 13, "three");
	put_row(r, "c", 14, NULL);
	rows = encode_and_decode(r, 11);
	g_assert_cmpuint(rows.version, ==, 99);
	g_assert_cmpuint(rows.rows->len, ==, 3);
	g_assert_cmpstr(row_at(&rows, 0)->key, ==, "b");
	g_assert_cmpstr(row_at(&rows, 1)->key, ==, "a");
	g_assert_cmpstr(row_at(&rows, 1)->value, ==, "three");
	g_assert_cmpuint(row_at(&rows, 1)->value_bytes, ==, 5);
	g_assert_true(row_at(&rows, 2)->removed);
	g_assert_null(row_at(&rows, 2)->value);
	g_assert_cmpstr(row_at(&rows, 2)->table, ==, "t");
	fg_store_rows_clear(&rows);
	rows = encode_and_decode(r, 14);
	g_assert_cmpuint(rows.rows->len, ==, 0);
	fg_store_rows_clear(&rows);
	fg_relay_free(r);
}

/* An answer with an older version of a row can arrive after a newer one. */
static void test_older_row_is_ignored(void)
{
	struct fg_relay *r = fg_relay_new();
	struct fg_store_rows rows;

	fg_relay_reset(r, 10);
	put_row(r, "a", 13, "three");
	put_row(r, "a", 11, "one");
	rows = encode_and_decode(r, 10);
	g_assert_cmpuint(rows.rows->len, ==, 1);
	g_assert_cmpstr(row_at(&rows, 0)->value, ==, "three");
	fg_store_rows_clear(&rows);
	fg_relay_free(r);
}

/* A neighbour's row with an empty value, as a fuzzer found it. */
static void test_empty_value(void)
{
	struct fg_relay *r = fg_relay_new();
	struct fg_store_rows rows;

	fg_relay_reset(r, 10);
	put_row(r, "a", 13, "");
	rows = encode_and_decode(r, 10);
	g_assert_cmpuint(rows.rows->len, ==, 1);
	g_assert_false(row_at(&rows, 0)->removed);
	g_assert_cmpstr(row_at(&rows, 0)->value, ==, "");
	g_assert_cmpuint(row_at(&rows, 0)->value_bytes, ==, 0);
	fg_store_rows_clear(&rows);
	fg_relay_free(r);
}

/* An instance that has read less than the floor must get no answer: an empty
 * answer would tell it that it has all rows. */
static void test_floor(void)
{
	struct fg_relay *r = fg_relay_new();
	GString *body = g_string_new(NULL);

	g_assert_false(fg_relay_encode(r, 5, 9, body));
	fg_relay_reset(r, 10);
	put_row(r, "old", 9, "x");
	put_row(r, "new", 11, "x");
	g_assert_false(fg_relay_encode(r, 9, 11, body));
	g_assert_cmpuint(body->len, ==, 0);
	g_assert_true(fg_relay_encode(r, 10, 11, body));
	g_string_free(body, TRUE);
	fg_relay_free(r);
}

static void test_many_rows_raise_floor(void)
{
	struct fg_relay *r = fg_relay_new();
	GString *body = g_string_new(NULL);
	char key[16];

	fg_relay_reset(r, 0);
	for (int i = 1; i <= FG_RELAY_ROWS_MAX + 1; i++) {
		g_snprintf(key, sizeof(key), "k%d", i);
		put_row(r, key, (uint64_t)i, "x");
	}
	g_assert_false(fg_relay_encode(r, 1, 9, body));
	g_assert_true(fg_relay_encode(r, FG_RELAY_ROWS_MAX + 1, 9, body));
	g_string_free(body, TRUE);
	fg_relay_free(r);
}

static void test_malformed(void)
{
	struct fg_store_rows rows;
	struct fg_relay *r = fg_relay_new();
	GString *body = g_string_new(NULL);

	fg_relay_reset(r, 0);
	put_row(r, "a", 1, "value");
	g_assert_true(fg_relay_encode(r, 0, 9, body));
	for (gsize n = 0; n < body->len; n++) {
		g_assert_false(fg_relay_decode(body->str, n, "t", &rows));
		g_assert_null(rows.rows);
	}
	g_string_append_c(body, 'x');
	g_assert_false(fg_relay_decode(body->str, body->len, "t", &rows));
	g_string_free(body, TRUE);
	fg_relay_free(r);
}

/* ---- Choice of the reader ---- */

static struct fg_peers *new_peers(const char *self)
{
	struct fg_peer_row row = { .incarnation = 1 };

	g_strlcpy(row.name, self, sizeof(row.name));
	g_strlcpy(row.region, "r1", sizeof(row.region));
	g_strlcpy(row.dc, "d1", sizeof(row.dc));
	return fg_peers_new(&row);
}

static void add_peer_in(struct fg_peers *p, const char *region,
			const char *name, const char *dc, uint64_t incarnation)
{
	struct fg_peer_row row = { .incarnation = incarnation };

	g_strlcpy(row.name, name, sizeof(row.name));
	g_strlcpy(row.region, region, sizeof(row.region));
	g_strlcpy(row.dc, dc, sizeof(row.dc));
	fg_peers_put(p, 0, &row);
}

static void add_peer(struct fg_peers *p, const char *name, const char *dc,
		     uint64_t incarnation)
{
	add_peer_in(p, "r1", name, dc, incarnation);
}

static void send_heartbeat(struct fg_peers *p, fg_ms now, uint64_t incarnation,
			   bool reads, uint32_t age_ms)
{
	static uint32_t seq;
	fg_mesh_heartbeat hb = { .state = FG_MESH_READY };

	hb.store.reads = reads;
	hb.store.age_ms = age_ms;
	fg_peers_on_heartbeat(p, now, incarnation, ++seq, &hb);
}

static uint64_t chosen_reader(struct fg_peers *p, fg_ms now)
{
	const struct fg_mesh_peer *peer =
		fg_peers_find_reader(p, now, FRESH_MS);

	return peer == NULL ? 0 : peer->row.incarnation;
}

/* The instance whose name has the highest hash follows any of the others. */
static const char *const names[] = { "n1", "n2", "n3", "n4" };

static guint index_of_highest_hash(void)
{
	guint last = 0;

	for (guint i = 1; i < G_N_ELEMENTS(names); i++) {
		if (fg_hash_str(names[i]) > fg_hash_str(names[last]))
			last = i;
	}
	return last;
}

static void test_reader_is_current_and_near(void)
{
	guint self = index_of_highest_hash();
	struct fg_peers *p = new_peers(names[self]);

	add_peer(p, names[(self + 1) % 4], "d1", 11);
	add_peer(p, names[(self + 2) % 4], "d2", 12);
	g_assert_cmpuint(chosen_reader(p, 1000), ==, 0);
	send_heartbeat(p, 1000, 12, true, 0);
	/* The instance that reads is in another data centre. */
	g_assert_cmpuint(chosen_reader(p, 1000), ==, 0);
	send_heartbeat(p, 1000, 11, false, 0);
	/* The instance of this data centre does not read the store. */
	g_assert_cmpuint(chosen_reader(p, 1000), ==, 0);
	send_heartbeat(p, 1000, 11, true, 100);
	g_assert_cmpuint(chosen_reader(p, 1000), ==, 11);
	g_assert_cmpuint(chosen_reader(p, 1000 + FG_PEER_READER_TIMEOUT_MS), ==,
			 0);
	send_heartbeat(p, 2000, 11, true, FRESH_MS - 100);
	g_assert_cmpuint(chosen_reader(p, 2050), ==, 11);
	/* The data of the reader is too old. */
	g_assert_cmpuint(chosen_reader(p, 2150), ==, 0);
	send_heartbeat(p, 3000, 11, true, FG_MESH_STORE_LOST);
	g_assert_cmpuint(chosen_reader(p, 3000), ==, 0);
	fg_peers_free(p);
}

/* Of four instances that all read the store, exactly one keeps reading and the
 * others follow it. */
static void test_one_reader_remains(void)
{
	uint64_t followed[4];
	guint n_readers = 0;

	for (guint i = 0; i < 4; i++) {
		struct fg_peers *p = new_peers(names[i]);

		for (guint k = 0; k < 4; k++) {
			if (k == i)
				continue;
			add_peer(p, names[k], "d1", 100 + k);
			send_heartbeat(p, 1000, 100 + k, true, 0);
		}
		followed[i] = chosen_reader(p, 1000);
		g_assert_true(fg_peers_is_first_in_dc(p, 1000) ==
			      (followed[i] == 0));
		n_readers += followed[i] == 0 ? 1 : 0;
		fg_peers_free(p);
	}
	g_assert_cmpuint(n_readers, ==, 1);
	for (guint i = 0; i < 4; i++) {
		if (followed[i] != 0)
			g_assert_cmpuint(followed[followed[i] - 100], ==, 0);
	}
}

/* Heartbeats to another region go to the instances there that read the store,
 * or to all when none is known to read it. */
static void test_cross_region_targets(void)
{
	struct fg_peers *p = new_peers("n1");
	const GPtrArray *all = fg_peers_all(p);
	guint sent;

	add_peer_in(p, "r2", "w1", "d5", 51);
	add_peer_in(p, "r2", "w2", "d5", 52);
	add_peer_in(p, "r2", "w3", "d5", 53);
	for (guint i = 0; i < all->len; i++)
		g_assert_true(fg_peers_is_target(p, 1000, all->pdata[i]));
	send_heartbeat(p, 1000, 51, false, 0);
	send_heartbeat(p, 1000, 52, true, 0);
	send_heartbeat(p, 1000, 53, false, 0);
	sent = 0;
	for (guint i = 0; i < all->len; i++)
		sent += fg_peers_is_target(p, 1100, all->pdata[i]) ? 1 : 0;
	g_assert_cmpuint(sent, ==, 1);
	g_assert_true(fg_peers_is_target(p, 1100, fg_peers_find(p, 52)));
	/* The reader sends no more heartbeats. */
	for (guint i = 0; i < all->len; i++)
		g_assert_true(fg_peers_is_target(
			p, 1000 + FG_PEER_CROSS_REGION_TIMEOUT_MS + 1,
			all->pdata[i]));
	fg_peers_free(p);
}

/* In another data centre of the region only the instance that reads the store
 * and is known to forward gets heartbeats; a build that does not forward them,
 * or one that is silent, must not cut its neighbours off. */
static void test_region_targets(void)
{
	struct fg_peers *p = new_peers("n1");
	const GPtrArray *all = fg_peers_all(p);
	g_autofree char *features = fg_peer_features_format(52);
	guint sent = 0;

	/* The row of features may come before the instance's row. */
	fg_peers_put_features(p, "w2", features);
	add_peer(p, "w1", "d2", 51);
	add_peer(p, "w2", "d2", 52);
	add_peer(p, "w3", "d2", 53);
	send_heartbeat(p, 1000, 51, false, 0);
	send_heartbeat(p, 1000, 52, true, 0);
	send_heartbeat(p, 1000, 53, false, 0);
	for (guint i = 0; i < all->len; i++)
		sent += fg_peers_is_target(p, 1100, all->pdata[i]) ? 1 : 0;
	g_assert_cmpuint(sent, ==, 1);
	g_assert_true(fg_peers_is_target(p, 1100, fg_peers_find(p, 52)));
	for (guint i = 0; i < all->len; i++)
		g_assert_true(fg_peers_is_target(
			p, 1000 + FG_PEER_READER_TIMEOUT_MS, all->pdata[i]));
	/* Replaced by a build without the feature, then without a row. */
	send_heartbeat(p, 2000, 52, true, 0);
	g_assert_false(fg_peers_is_target(p, 2000, fg_peers_find(p, 51)));
	fg_peers_put_features(p, "w2", "0000000000000034");
	g_assert_true(fg_peers_is_target(p, 2000, fg_peers_find(p, 51)));
	fg_peers_put_features(p, "w2", features);
	g_assert_false(fg_peers_is_target(p, 2000, fg_peers_find(p, 51)));
	fg_peers_put_features(p, "w2", NULL);
	g_assert_true(fg_peers_is_target(p, 2000, fg_peers_find(p, 51)));
	add_peer(p, "w2", "d2", 54);
	send_heartbeat(p, 2000, 54, true, 0);
	fg_peers_put_features(p, "w2", features); /* of its earlier start */
	g_assert_true(fg_peers_is_target(p, 2000, fg_peers_find(p, 51)));
	fg_peers_free(p);
}

/* Rows known without being complete: fails if the answer claims more
 * than the asker has read, or leaves out rows below a floor. */
static void test_known_rows(void)
{
	struct fg_relay *caches[2] = { fg_relay_new(), fg_relay_new() };
	GString *body = g_string_new(NULL);
	struct fg_store_rows rows;

	fg_relay_reset(caches[0], 0);
	fg_relay_reset(caches[1], 10);
	put_row(caches[0], "a", 15, "one");
	put_row(caches[1], "b", 14, "two");
	put_row(caches[1], "c", 16, "three");
	g_assert_true(fg_relay_encode_known(
		(const struct fg_relay *const *)caches, 2, 5, body));
	g_assert_true(fg_relay_decode(body->str, body->len, "t", &rows));
	g_assert_cmpuint(rows.version, ==, 5);
	g_assert_cmpuint(rows.rows->len, ==, 3);
	g_assert_cmpstr(row_at(&rows, 0)->key, ==, "b");
	g_assert_cmpstr(row_at(&rows, 1)->key, ==, "a");
	g_assert_cmpstr(row_at(&rows, 2)->key, ==, "c");
	fg_store_rows_clear(&rows);
	g_string_truncate(body, 0);
	g_assert_true(fg_relay_encode_known(
		(const struct fg_relay *const *)caches, 2, 15, body));
	g_assert_true(fg_relay_decode(body->str, body->len, "t", &rows));
	g_assert_cmpuint(rows.rows->len, ==, 1);
	fg_store_rows_clear(&rows);
	g_string_free(body, TRUE);
	fg_relay_free(caches[0]);
	fg_relay_free(caches[1]);
}

/* Fails if a configuration with 10,000 keys cannot be relayed: the
 * limit of a row was 128 KB. */
static void test_large_row(void)
{
	struct fg_relay *r = fg_relay_new();
	char *text = g_strnfill(1000000, 'k');
	struct fg_store_rows rows;

	fg_relay_reset(r, 10);
	put_row(r, "a", 11, text);
	rows = encode_and_decode(r, 10);
	g_assert_cmpuint(row_at(&rows, 0)->value_bytes, ==, 1000000);
	g_assert_cmpstr(row_at(&rows, 0)->value, ==, text);
	fg_store_rows_clear(&rows);
	g_free(text);
	fg_relay_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/relay/empty_value", test_empty_value);
	g_test_add_func("/relay/older_row", test_older_row_is_ignored);
	g_test_add_func("/relay/newest_of_each_key", test_newest_of_each_key);
	g_test_add_func("/relay/floor", test_floor);
	g_test_add_func("/relay/many_rows", test_many_rows_raise_floor);
	g_test_add_func("/relay/known_rows", test_known_rows);
	g_test_add_func("/relay/large_row", test_large_row);
	g_test_add_func("/relay/malformed", test_malformed);
	g_test_add_func("/peers/reader_is_fresh_and_near",
			test_reader_is_current_and_near);
	g_test_add_func("/peers/one_reader_is_left", test_one_reader_remains);
	g_test_add_func("/peers/far_targets", test_cross_region_targets);
	g_test_add_func("/peers/region_targets", test_region_targets);
	return g_test_run();
}
