/*
 * fg_msg - allocates, copies and frees messages between instances.
 *
 * The types are generated from fg_proto.x. Lists and texts in a message are
 * malloc'ed and owned by the message. A failed allocation ends the process.
 */
#ifndef FG_MSG_H
#define FG_MSG_H

#include <stddef.h>
#include <stdint.h>

#include "peer/fg_proto.h"

/* Returns a zeroed message, which the caller frees with fg_msg_free(). */
fg_msg *fg_msg_new(fg_msg_type type);

/* Returns a deep copy, which the caller frees with fg_msg_free(). */
fg_msg *fg_msg_dup(const fg_msg *m);

/* Frees the message and all it owns; NULL is allowed. */
void fg_msg_free(fg_msg *m);

/* Returns the encoded size in bytes, without the batch header. */
size_t fg_msg_wire_bytes(const fg_msg *m);

/* Returns a name such as "grant_req" for logs and counters, or "invalid". */
const char *fg_msg_type_name(fg_msg_type type);

/* Replaces the list r->av by a copy of n <= FG_LIST_MAX items. */
void fg_msg_set_avs(fg_resident *r, const fg_av *av, size_t n);

static inline int fg_av_equal(fg_av a, fg_av b)
{
	return a.adapter == b.adapter && a.ver == b.ver;
}

static inline int fg_av_is_none(fg_av a)
{
	return a.adapter == 0;
}

/* Returns a unique hash table key for an adapter and its version. */
static inline uint64_t fg_av_key(fg_av a)
{
	return ((uint64_t)a.adapter << 32) | a.ver;
}

#endif
