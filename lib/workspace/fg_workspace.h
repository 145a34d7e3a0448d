/*
 * fg_workspace - the customers of a deployment, their API keys and limits.
 *
 * A set is built once from a configuration and then only read. Keys are kept
 * and found by their SHA-256 digest; the text of a key is never stored.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
#ifndef FG_WORKSPACE_H
#define FG_WORKSPACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FG_WS_DIGEST_BYTES 32
/* Longer keys are malformed. */
#define FG_WS_KEY_MAX_BYTES 512

struct fg_ws_digest {
	uint8_t bytes[FG_WS_DIGEST_BYTES];
};

struct fg_workspace {
	char *name;
	uint64_t hash; /* of the name */
	bool has_priority;
	uint32_t priority; /* 0 is the most urgent */
	/* Limit over all instances; either number 0: none. It counts the tokens
	 * of a request, `plain_tokens` for one that states none, or, unless
	 * `in_tokens`, each request as 1. */
	bool in_tokens;
	uint32_t plain_tokens;
	double rate_per_s;
	double burst;
};

struct fg_ws_set;

/* Returns an empty set; fg_ws_set_free() accepts NULL. */
struct fg_ws_set *fg_ws_set_new(void);
void fg_ws_set_free(struct fg_ws_set *s);

/* Adds a workspace, which belongs to the set, for the caller to fill in.
 * Returns NULL when there is one of that name already, or when the name cannot
 * be the value of a header field. */
struct fg_workspace *fg_ws_set_add(struct fg_ws_set *s, const char *name);

/* Gives the workspace a key. Returns false when it cannot be a key. A key of
 * two workspaces is accepted for neither, which is noted as a problem. */
bool fg_ws_set_add_key(struct fg_ws_set *s, const struct fg_workspace *w,
		       const char *key);

/* Notes a fault of the configuration, for the operator's log. */
void fg_ws_set_add_problem(struct fg_ws_set *s, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/* The faults noted (char *), owned by the set. */
const GPtrArray *fg_ws_set_problems(const struct fg_ws_set *s);

/* Returns whether the text can be a key: printable ASCII without spaces, at
 * most FG_WS_KEY_MAX_BYTES. */
bool fg_ws_is_key(const char *key);

/* Computes the digest of a key. Returns false when it cannot be a key. */
bool fg_ws_digest(const char *key, struct fg_ws_digest *out);

/* Returns the workspace that holds the key, or NULL. */
const struct fg_workspace *fg_ws_set_find(const struct fg_ws_set *s,
					  const struct fg_ws_digest *digest);

/* Returns the workspace of that name, or NULL. */
const struct fg_workspace *fg_ws_set_find_name(const struct fg_ws_set *s,
					       const char *name);

/* All workspaces (struct fg_workspace *), owned by the set. */
const GPtrArray *fg_ws_set_all(const struct fg_ws_set *s);

/* Returns what a request counts against the limit of its workspace. */
uint32_t fg_ws_cost(const struct fg_workspace *w, bool has_tokens,
		    uint32_t prompt_tokens, uint32_t output_tokens);

static inline bool fg_ws_is_limited(const struct fg_workspace *w)
{
	return w->rate_per_s > 0 && w->burst > 0;
}

#endif
