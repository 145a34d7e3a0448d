/*
 * fg_config - the catalogue: adapters, versions, rights, presets, services.
 *
 * One revision number covers all of it. A change is a JSON text that makes
 * revision N + 1 out of revision N; fg_config_apply() is pure and total: it
 * applies a change whole or not at all. The preset in force is a field of the
 * revision, so exactly one is in force by construction.
 *
 * Adapters and versions have a name for people and a number (fg_av) for inner
 * messages. Numbers are given in order of creation, start at 1 and are never
 * used again.
 */
#ifndef FG_CONFIG_H
#define FG_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_outcome.h"
#include "peer/fg_proto.h"
#include "platform/fg_platform.h"

#define FG_CONFIG_ERROR (fg_config_error_quark())
GQuark fg_config_error_quark(void);

enum fg_config_error {
	FG_CONFIG_ERR_SYNTAX,  /* not JSON, or not an object of this shape */
	FG_CONFIG_ERR_UNKNOWN, /* names an adapter, preset, ... not there */
	FG_CONFIG_ERR_EXISTS,
	FG_CONFIG_ERR_RANGE,  /* a value out of its allowed range */
	FG_CONFIG_ERR_GAP,    /* the change is not for the next revision */
	FG_CONFIG_ERR_FORMAT, /* written in a format that is not ours */
};

/* The weights that a preset sets. */
struct fg_preset {
	char name[FG_NAME_BYTES];
	uint32_t stall_weight;	/* 0..100; the rest weighs batch efficiency */
	uint32_t hold_max_ms;	/* longest a draft is held to fill a batch */
	uint32_t retry_percent; /* retries per 100 requests */
	uint32_t caller_rate;	/* requests a second and caller; 0: no limit */
	bool accept_drafts;	/* false: drafts are refused (maintenance) */
};

/* Facts of a base model or plain service. */
struct fg_service {
	char name[FG_NAME_BYTES];
	bool plain;	      /* plain service, not a model */
	bool checks_fence;    /* its engines refuse old fencing numbers */
	uint32_t loads_per_s; /* budget of the weight store */
	uint32_t loads_in_flight;
	uint32_t load_ms; /* usual time of one load */
};

struct fg_config;

/* An empty catalogue at revision 0, with the presets ordinary (in force),
 * peak and maintenance. */
struct fg_config *fg_config_new(void);
void fg_config_free(struct fg_config *c);

uint64_t fg_config_revision(const struct fg_config *c);

/*
 * Applies the change text, which must carry "revision": current + 1. On
 * error nothing has changed. Kinds of change ("kind" in the JSON):
 *   adapter_add  {base, adapter}          version_add {adapter, version}
 *   right_grant  {adapter, caller}        right_revoke {adapter, caller}
 *   adapter_remove {adapter}              version_remove {adapter, version}
 *   preset_set   {preset}                 preset_put {preset, ...weights}
 *   service_put  {service, ...facts}
 *   batch        {changes: [...]}  all or none, one revision
 * The weights and facts are the fields of the two structs above; those left
 * out keep their value. The caller "*" stands for every caller. "format" and
 * "nonce" may be there too. An unknown field is an error.
 */
bool fg_config_apply(struct fg_config *c, const char *change, GError **error);

/* Tells whether a change without "revision" could be applied now; changes
 * nothing. */
bool fg_config_check(struct fg_config *c, const char *change, GError **error);

/* Number of adapters. */
size_t fg_config_adapter_count(const struct fg_config *c);

/*
 * The whole catalogue as JSON; g_malloc'ed. Equal catalogues give equal texts:
 *   {"format":1,"revision":N,"part":0,
 *    "head":{"preset","next_adapter","presets":[...],"services":[...]},
 *    "adapters":[[number,name,base,next_ver,[[ver,name]...],[caller...]]...],
 *    "last":true}
 */
char *fg_config_snapshot(const struct fg_config *c);

/* The same in parts of at most max_bytes each (at least 60000), so that no
 * part needs much memory to read; texts are g_malloc'ed and freed with the
 * array. Only part 0 has a head, only the last one "last":true. */
GPtrArray *fg_config_snapshot_parts(const struct fg_config *c,
				    size_t max_bytes);

/*
 * Reads the parts of one snapshot, in order, into a catalogue of its own.
 * fg_config_loader_finish() then makes c that catalogue if its revision is
 * higher than c's, and frees the load; it must only be called when
 * fg_config_loader_is_complete().
 */
struct fg_config_loader;
struct fg_config_loader *fg_config_loader_new(void);
void fg_config_loader_free(struct fg_config_loader *l);
bool fg_config_loader_add_part(struct fg_config_loader *l, const char *part,
			       GError **error);
bool fg_config_loader_is_complete(const struct fg_config_loader *l);
uint32_t fg_config_loader_next_part(const struct fg_config_loader *l);
void fg_config_loader_finish(struct fg_config_loader *l, struct fg_config *c);

/* Replaces all of c if the snapshot's revision is higher, else leaves c as it
 * is and returns true as well. */
bool fg_config_restore(struct fg_config *c, const char *snapshot,
		       GError **error);

/*
 * Looks up what a request names. Returns FG_R_NONE and *av, or
 * FG_R_UNKNOWN_ADAPTER, FG_R_UNKNOWN_VERSION or FG_R_NO_RIGHT. A NULL or
 * empty version asks for the newest one.
 */
enum fg_reason fg_config_resolve(const struct fg_config *c, const char *caller,
				 const char *adapter, const char *version,
				 fg_av *av);

/* Names of a number; NULL when there is none. Owned by the catalogue, valid
 * until the next apply or restore. */
const char *fg_config_adapter_name(const struct fg_config *c, fg_av av);
const char *fg_config_version_name(const struct fg_config *c, fg_av av);

/* Base model that an adapter belongs to; NULL when there is none. */
const char *fg_config_adapter_base(const struct fg_config *c, fg_av av);

/* Number of (adapter, version) by names, the newest version for NULL or "";
 * {0, 0} when unknown. */
fg_av fg_config_find_version(const struct fg_config *c, const char *adapter,
			     const char *version);

/* The preset in force; never NULL. */
const struct fg_preset *fg_config_preset(const struct fg_config *c);

/* Facts of a service; defaults when it was never put. Never NULL. */
const struct fg_service *fg_config_service(const struct fg_config *c,
					   const char *name);

/* ---- Keeping up with the revision: pure, drives reads and messages ---- */

/*
 * Rows, all with a format number:
 *   config/head                    revision, newest snapshot, what is kept
 *   config/rev/<N, 12 digits>      the change that makes revision N
 *   config/snap/<S, 12 digits>/<part, 4 digits>   a snapshot of revision S
 * A change is one transaction: head checked by its row version, head and
 * config/rev written. See docs/design/configuration.md.
 */
struct fg_confsync;

struct fg_confsync_conf {
	uint32_t poll_ms;	 /* between reads of config/head */
	uint32_t confirm_ms;	 /* revision counts as confirmed this long */
	uint32_t snapshot_every; /* revisions between snapshots */
	bool no_push;		 /* tests alone: do not push to peers */
};

/* Borrows c, which only confsync changes from now on. */
struct fg_confsync *fg_confsync_new(struct fg_config *c,
				    const struct fg_confsync_conf *conf,
				    uint64_t self, uint64_t seed);
void fg_confsync_free(struct fg_confsync *s);

enum fg_confsync_act_type {
	FG_CS_TABLE = 1,   /* run op; result to fg_confsync_on_table() */
	FG_CS_SEND = 2,	   /* send msg to peer `to` */
	FG_CS_CHANGED = 3, /* a new revision is in force here */
	FG_CS_ANSWER = 4,  /* answer the operator's change `change_id` */
};

enum fg_change_status {
	FG_CHANGE_ACCEPTED = 1, /* in force at every live instance */
	FG_CHANGE_PENDING = 2,	/* stored; some have not acknowledged it yet */
	FG_CHANGE_CONFLICT = 3, /* lost a race; revision names the winner */
	FG_CHANGE_INVALID = 4,	/* text says why; nothing was written */
	FG_CHANGE_DOWN = 5,	/* platform unreachable; nothing was written */
	FG_CHANGE_UNKNOWN = 6,	/* answer lost and not yet read back */
};

/* "accepted", "pending", ... as in docs/PROTOCOL.md; never NULL. */
const char *fg_change_status_name(enum fg_change_status status);

struct fg_confsync_act {
	enum fg_confsync_act_type type;
	struct fg_table_op *op;	      /* TABLE; owned by the receiver */
	uint64_t to;		      /* SEND */
	fg_msg *msg;		      /* SEND; owned, free with fg_msg_free() */
	uint64_t change_id;	      /* ANSWER */
	enum fg_change_status status; /* ANSWER */
	uint64_t revision;	      /* ANSWER, CHANGED */
	char *text; /* ANSWER: error or the instances missing; g_malloc'ed */
};

/*
 * Takes one action; the receiver owns op, msg and text. It must not call
 * back into the same confsync.
 */
typedef void (*fg_confsync_emit)(void *arg, struct fg_confsync_act *act);

/* Emits the actions that are due. Call at least each 100 ms; a gap of a
 * second counts as a pause of the process. */
void fg_confsync_tick(struct fg_confsync *s, fg_ms now, fg_confsync_emit emit,
		      void *arg);

/* The result of a TABLE action. Results with other ids are ignored; returns
 * whether the id was in use. */
bool fg_confsync_on_table(struct fg_confsync *s, fg_ms now,
			  const struct fg_table_result *res,
			  fg_confsync_emit emit, void *arg);

/* CONFIG_ASK and CONFIG_TELL; others are ignored. */
void fg_confsync_on_msg(struct fg_confsync *s, fg_ms now, uint64_t from,
			const fg_msg *msg, fg_confsync_emit emit, void *arg);

/*
 * A peer's ping: its revision, and how long ago that was confirmed. How long
 * the message was under way is not known, so that it confirms our revision
 * only as of FG_CONFSYNC_PING_DELAY_MAX_MS earlier, and not at all after a
 * pause.
 */
#define FG_CONFSYNC_PING_DELAY_MAX_MS 1500
void fg_confsync_on_ping(struct fg_confsync *s, fg_ms now, uint64_t peer,
			 uint64_t revision, uint32_t confirm_age_ms,
			 fg_confsync_emit emit, void *arg);

/* A peer's pong to a ping that we sent at `asked`: the age counts from then,
 * which needs no assumption about delays. */
void fg_confsync_on_pong(struct fg_confsync *s, fg_ms now, fg_ms asked,
			 uint64_t peer, uint64_t revision,
			 uint32_t confirm_age_ms, fg_confsync_emit emit,
			 void *arg);

/* The live instances that must acknowledge a change (self is skipped). */
void fg_confsync_set_live(struct fg_confsync *s, const uint64_t *ids, size_t n);

/*
 * The same, from lease rows whose read was begun at `asked`. Once it has been
 * called, a change is accepted only by a list asked for after the change was
 * stored, so that an instance that joined in between is not overlooked.
 */
void fg_confsync_set_live_at(struct fg_confsync *s, fg_ms asked,
			     const uint64_t *ids, size_t n);

/* Gives names of instances for the text of a pending answer; NULL when
 * unknown. Without it ids are printed. */
typedef const char *(*fg_confsync_name_fn)(void *arg, uint64_t id);
void fg_confsync_set_name_fn(struct fg_confsync *s, fg_confsync_name_fn name,
			     void *arg);

/*
 * An operator's change. `change` is a JSON object without "revision";
 * expect_revision 0 takes whatever is newest, else a mismatch is a conflict.
 * Ends in one ANSWER with change_id, at the latest wait_ms later.
 */
void fg_confsync_submit_change(struct fg_confsync *s, fg_ms now,
			       uint64_t change_id, const char *change,
			       uint64_t expect_revision, uint32_t wait_ms,
			       fg_confsync_emit emit, void *arg);

/* Age in ms of the last confirmation that our revision is the newest. */
uint32_t fg_confsync_confirm_age(const struct fg_confsync *s, fg_ms now);

/* Live instances not known to have `revision`: up to max ids; how many. */
size_t fg_confsync_list_unacked(const struct fg_confsync *s, uint64_t revision,
				uint64_t *ids, size_t max);

/* Why the last row or message could not be applied; NULL when all could. */
const char *fg_confsync_fault(const struct fg_confsync *s);

#endif
