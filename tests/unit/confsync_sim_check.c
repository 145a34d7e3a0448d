/* Checks at the end of a simulation. */
#include "confsync_sim.h"

#include <inttypes.h>
#include <string.h>

/* Every change adds the adapter "c<id of the change>". */
static bool is_in_force(struct sim *m, uint64_t id)
{
	g_autofree char *name = g_strdup_printf("c%" G_GUINT64_FORMAT, id);
	g_autofree char *quoted = g_strdup_printf("\"%s\"", name);
	g_autofree char *text = fg_config_snapshot(m->instances[0].c);

	return strstr(text, quoted) != NULL;
}

static void check_answer(struct sim *m, const struct sim_change *ch)
{
	g_assert_true(ch->answered);
	if (ch->status == FG_CHANGE_UNKNOWN)
		return;
	if (ch->status == FG_CHANGE_ACCEPTED || ch->status == FG_CHANGE_PENDING)
		g_assert_true(is_in_force(m, ch->id));
	else
		g_assert_false(is_in_force(m, ch->id));
}

/* A new instance reads the snapshot and deltas named by the head: all must
 * exist. */
static void check_head_rows(struct sim *m)
{
	uint64_t snapshot = sim_head_field(m, "snapshot");
	char key[FG_ROW_KEY_MAX];

	for (uint64_t i = 0; i < sim_head_field(m, "parts"); i++) {
		g_snprintf(key, sizeof(key), "config/snap/%012" PRIu64 "/%04u",
			   snapshot, (unsigned int)i);
		g_assert_nonnull(sim_get_row(m, key));
	}
	for (uint64_t r = snapshot + 1; r <= sim_head_revision(m); r++) {
		g_snprintf(key, sizeof(key), "config/rev/%012" PRIu64, r);
		g_assert_nonnull(sim_get_row(m, key));
	}
}

void sim_check_final_state(struct sim *m)
{
	check_head_rows(m);
	for (size_t i = 0; i < m->n; i++) {
		const struct sim_instance *inst = &m->instances[i];

		g_assert_cmpuint(fg_config_revision(inst->c), ==,
				 sim_head_revision(m));
		g_assert_cmpuint(fg_confsync_confirm_age(inst->s, m->now), <,
				 3000);
		g_assert_null(fg_confsync_fault(inst->s));
	}
	for (guint i = 0; i < m->changes->len; i++)
		check_answer(m, m->changes->pdata[i]);
}
