/*
 * fg_config - the catalogue: adapters, versions, rights, presets, services.
 *
 * One revision number covers the whole catalogue. A change is a JSON text that
 * turns revision N into revision N + 1. fg_config_apply() applies a change
 * completely or not at all. The catalogue does no I/O and reads no clock. The
 * name of the preset in force belongs to the revision, so exactly one preset is
 * in force at each revision.
 *
 * Adapters and versions have a name for people and a number (fg_av) for
 * messages between instances. Numbers are assigned in order of creation, start
 * at 1 and are never reused.
 *
 * The second half of this header is confsync, which keeps the catalogue of an
 * instance at the newest revision.
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
	FG_CONFIG_ERR_SYNTAX,  /* not JSON, or fields missing or unknown */
	FG_CONFIG_ERR_UNKNOWN, /* no such adapter, version, right or preset */
	FG_CONFIG_ERR_EXISTS,  /* adapter, version or right already exists */
	FG_CONFIG_ERR_RANGE,   /* a value or a count is out of its range */
	FG_CONFIG_ERR_GAP,     /* the change is not for the next revision */
	FG_CONFIG_ERR_FORMAT,  /* unsupported format number */
};

struct fg_preset {
	char name[FG_NAME_BYTES];
	uint32_t stall_weight;	/* 0..100; the rest weighs batch efficiency */
	uint32_t hold_max_ms;	/* longest a draft is held to fill a batch */
	uint32_t retry_percent; /* retries per 100 requests */
	uint32_t caller_rate; /* requests per second and caller; 0: no limit */
	bool accept_drafts;   /* false: drafts are refused (maintenance) */
};

/* Properties of a base model or plain service. */
struct fg_service {
	char name[FG_NAME_BYTES];
	bool plain;		  /* plain service, not a model */
	bool checks_fence;	  /* its engines refuse old fencing numbers */
	uint32_t loads_per_s;	  /* load rate that the weight store allows */
	uint32_t loads_in_flight; /* concurrent loads that it allows */
	uint32_t load_ms;	  /* usual time of one load */
};

struct fg_config;

/*
 * Returns an empty catalogue at revision 0 with the presets ordinary (in
 * force), peak and maintenance. Never NULL; freed with fg_config_free(), which
 * accepts NULL.
 */
struct fg_config *fg_config_new(void);
void fg_config_free(struct fg_config *c);

uint64_t fg_config_revision(const struct fg_config *c);

/*
 * Applies a change, whose "revision" must be the current one + 1. Returns false
 * with error set and leaves the catalogue as it was when the change is invalid.
 * Kinds of change ("kind" in the JSON) and their fields:
 *   adapter_add  {base, adapter}          version_add {adapter, version}
 *   right_grant  {adapter, caller}        right_revoke {adapter, caller}
 *   adapter_remove {adapter}              version_remove {adapter, version}
 *   preset_set   {preset}                 preset_put {preset, ...}
 *   service_put  {service, ...}
 *   batch        {changes: [...]}  all or none, one revision
 * preset_set puts a preset in force. preset_put and service_put create or edit
 * a preset or service: their further fields are those of struct fg_preset and
 * struct fg_service, and fields left out keep their value. The caller "*"
 * stands for every caller. "format" and "nonce" are allowed too. An unknown
 * field is an error.
 */
bool fg_config_apply(struct fg_config *c, const char *change, GError **error);

/*
 * Returns whether a change without "revision" could be applied now; sets error
 * if not. Leaves the catalogue as it was.
 */
bool fg_config_check(struct fg_config *c, const char *change, GError **error);

size_t fg_config_adapter_count(const struct fg_config *c);

/*
 * Returns the whole catalogue as JSON, to be freed with g_free(). Equal
 * catalogues give equal texts:
 *   {"format":1,"revision":N,"part":0,
 *    "head":{"preset","next_adapter","presets":[...],"services":[...]},
 *    "adapters":[[number,name,base,next_ver,[[ver,name]...],[caller...]]...],
 *    "last":true}
 */
char *fg_config_snapshot(const struct fg_config *c);

/*
 * Returns the same snapshot in parts of at most max_bytes each (at least
 * 60000), so that parsing a part takes little memory. The caller frees the
 * array, which frees the texts. Only part 0 has a "head", only the last part
 * has "last":true.
 */
GPtrArray *fg_config_snapshot_parts(const struct fg_config *c,
				    size_t max_bytes);

/*
 * A loader reads the parts of one snapshot, in order, into a catalogue of its
 * own. fg_config_loader_free() accepts NULL.
 *
 * fg_config_loader_add_part() returns false with error set when a part is out
 * of order or of another revision, which leaves the loader as it was, or when
 * a part is invalid; the loader may then only be freed.
 * fg_config_loader_next_part() returns the number of the part expected next.
 *
 * fg_config_loader_finish() replaces the contents of c if the snapshot has a
 * higher revision, and frees the loader. It may only be called when
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

/*
 * Replaces the contents of c by a snapshot of one part if the snapshot has a
 * higher revision. Returns true as well when the revision is not higher, and
 * false with error set when the snapshot is invalid or incomplete; c is left
 * as it was in both cases.
 */
bool fg_config_restore(struct fg_config *c, const char *snapshot,
		       GError **error);

/*
 * Resolves the names in a request and checks the caller's right. Returns
 * FG_R_NONE and sets *av, or returns FG_R_UNKNOWN_ADAPTER,
 * FG_R_UNKNOWN_VERSION or FG_R_NO_RIGHT. A NULL or empty version stands for
 * the newest one.
 */
enum fg_reason fg_config_resolve(const struct fg_config *c, const char *caller,
				 const char *adapter, const char *version,
				 fg_av *av);

/*
 * Return the names behind a number, or NULL when there are none. The catalogue
 * owns the text, which is valid until the next apply or restore.
 */
const char *fg_config_adapter_name(const struct fg_config *c, fg_av av);
const char *fg_config_version_name(const struct fg_config *c, fg_av av);

/* Returns the adapter's base model, under the same rules. */
const char *fg_config_adapter_base(const struct fg_config *c, fg_av av);

/*
 * Returns the numbers of an adapter and version, without checking rights. A
 * NULL or empty version stands for the newest one. {0, 0} when unknown.
 */
fg_av fg_config_find_version(const struct fg_config *c, const char *adapter,
			     const char *version);

/* Returns the preset in force; never NULL. */
const struct fg_preset *fg_config_preset(const struct fg_config *c);

/* Returns a service, or the defaults when it is not configured; never NULL. */
const struct fg_service *fg_config_service(const struct fg_config *c,
					   const char *name);

/*
 * ---- confsync: replicates the catalogue between instances ----
 *
 * confsync reads changes from the platform's table and from peers, applies them
 * to the catalogue of this instance, and stores the changes that operators make
 * here. It does no I/O itself and reads no clock: the caller passes the time
 * and runs the actions that confsync emits.
 *
 * Rows of the table, each with a format number:
 *   config/head                    revision, newest snapshot, rows kept
 *   config/rev/<N, 12 digits>      delta: the change that makes revision N
 *   config/snap/<S, 12 digits>/<part, 4 digits>   snapshot of revision S
 * A change is stored in one transaction, which writes config/head and
 * config/rev and holds only if config/head still has the row version that was
 * read. See docs/design/configuration.md.
 *
 * An instance confirms its revision when it learns that no newer one exists.
 * The age of the last confirmation tells how outdated the instance may be.
 */
struct fg_confsync;

struct fg_confsync_conf {
	uint32_t poll_ms;	 /* between reads of config/head */
	uint32_t confirm_ms;	 /* how long a confirmation counts; unused */
	uint32_t snapshot_every; /* revisions between snapshots */
	bool no_push;		 /* do not push changes to peers; for tests */
};

/*
 * Returns a new confsync; never NULL. `self` is the id of this instance. c is
 * borrowed: it must outlive confsync, and only confsync may change it.
 * fg_confsync_free() accepts NULL.
 */
struct fg_confsync *fg_confsync_new(struct fg_config *c,
				    const struct fg_confsync_conf *conf,
				    uint64_t self, uint64_t seed);
void fg_confsync_free(struct fg_confsync *s);

enum fg_confsync_act_type {
	FG_CS_TABLE = 1,   /* run op; result to fg_confsync_on_table() */
	FG_CS_SEND = 2,	   /* send msg to peer `to` */
	FG_CS_CHANGED = 3, /* a new revision is in force at this instance */
	FG_CS_ANSWER = 4,  /* answer the operator's change `change_id` */
};

enum fg_change_status {
	FG_CHANGE_ACCEPTED = 1, /* in force at every live instance */
	FG_CHANGE_PENDING = 2,	/* stored; not yet acknowledged by all */
	FG_CHANGE_CONFLICT = 3, /* another change, `revision`, came first */
	FG_CHANGE_INVALID = 4,	/* text gives the reason; nothing written */
	FG_CHANGE_DOWN = 5,	/* platform unreachable; nothing written */
	FG_CHANGE_UNKNOWN = 6,	/* write unanswered and not read back yet */
};

/* Returns "accepted", "pending", ... as in docs/PROTOCOL.md; never NULL. */
const char *fg_change_status_name(enum fg_change_status status);

struct fg_confsync_act {
	enum fg_confsync_act_type type;
	struct fg_table_op *op;	      /* TABLE */
	uint64_t to;		      /* SEND */
	fg_msg *msg;		      /* SEND; free with fg_msg_free() */
	uint64_t change_id;	      /* ANSWER */
	enum fg_change_status status; /* ANSWER */
	uint64_t revision;	      /* ANSWER, CHANGED */
	char *text; /* ANSWER: error, or instances that have not acknowledged
		     * a pending change; g_malloc'ed, may be NULL */
};

/*
 * Runs one action. The receiver owns op, msg and text; act itself is valid
 * during the call. The receiver must not call back into the same confsync.
 */
typedef void (*fg_confsync_emit)(void *arg, struct fg_confsync_act *act);

/*
 * Emits the actions that are due. Must be called at least every 100 ms. A gap
 * of more than a second counts as a pause of the process.
 */
void fg_confsync_tick(struct fg_confsync *s, fg_ms now, fg_confsync_emit emit,
		      void *arg);

/*
 * Handles the result of a TABLE action, which stays the caller's. Returns
 * whether the id belongs to an operation in flight; other results are ignored.
 */
bool fg_confsync_on_table(struct fg_confsync *s, fg_ms now,
			  const struct fg_table_result *res,
			  fg_confsync_emit emit, void *arg);

/* Handles CONFIG_ASK and CONFIG_TELL of a peer; ignores other messages. */
void fg_confsync_on_msg(struct fg_confsync *s, fg_ms now, uint64_t from,
			const fg_msg *msg, fg_confsync_emit emit, void *arg);

/*
 * Handles the revision in a peer's ping, confirmed confirm_age_ms before the
 * ping was sent (UINT32_MAX: never). The transit time of a ping is unknown and
 * taken as FG_CONFSYNC_PING_DELAY_MAX_MS. A ping that arrives soon after a
 * pause confirms nothing, since it may have been buffered for longer.
 */
#define FG_CONFSYNC_PING_DELAY_MAX_MS 1500
void fg_confsync_on_ping(struct fg_confsync *s, fg_ms now, uint64_t peer,
			 uint64_t revision, uint32_t confirm_age_ms,
			 fg_confsync_emit emit, void *arg);

/*
 * Handles the revision in a peer's pong to a ping that this instance sent at
 * ping_sent_at. confirm_age_ms is counted from ping_sent_at, which is right
 * whatever the transit time.
 */
void fg_confsync_on_pong(struct fg_confsync *s, fg_ms now, fg_ms ping_sent_at,
			 uint64_t peer, uint64_t revision,
			 uint32_t confirm_age_ms, fg_confsync_emit emit,
			 void *arg);

/*
 * Sets the live instances, which must acknowledge a change. This instance's
 * own id is skipped.
 */
void fg_confsync_set_live(struct fg_confsync *s, const uint64_t *ids, size_t n);

/*
 * Sets the live instances from lease rows whose read began at read_at. After
 * the first call, a change is accepted only once the list comes from a read
 * that did not begin before the change was stored, since an instance may have
 * joined in between.
 */
void fg_confsync_set_live_at(struct fg_confsync *s, fg_ms read_at,
			     const uint64_t *ids, size_t n);

/*
 * Sets the callback that names an instance in the text of a pending answer; it
 * returns NULL for an unknown id. Ids without a name are printed in hex.
 */
typedef const char *(*fg_confsync_name_fn)(void *arg, uint64_t id);
void fg_confsync_set_name_fn(struct fg_confsync *s, fg_confsync_name_fn name,
			     void *arg);

/*
 * Submits an operator's change. `change` is a JSON object without "revision".
 * expect_revision 0 applies the change to whatever revision is newest; any
 * other number makes the change a conflict unless it is the newest revision.
 * Emits one ANSWER with change_id, during this call or at the latest wait_ms
 * later.
 */
void fg_confsync_submit_change(struct fg_confsync *s, fg_ms now,
			       uint64_t change_id, const char *change,
			       uint64_t expect_revision, uint32_t wait_ms,
			       fg_confsync_emit emit, void *arg);

/*
 * Returns the age in ms of the last confirmation that this instance's revision
 * is the newest; UINT32_MAX when there was none.
 */
uint32_t fg_confsync_confirm_age(const struct fg_confsync *s, fg_ms now);

/*
 * Returns the number of live instances that have not acknowledged `revision`,
 * and stores up to max of their ids.
 */
size_t fg_confsync_list_unacked(const struct fg_confsync *s, uint64_t revision,
				uint64_t *ids, size_t max);

/*
 * Returns why the last row or message could not be applied, NULL when it
 * could. The text is valid until the next call that takes an emit function.
 */
const char *fg_confsync_fault(const struct fg_confsync *s);

#endif
