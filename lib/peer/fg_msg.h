/*
 * fg_msg - building, copying and freeing inner messages.
 *
 * The types come from fg_proto.x. Lists and texts inside a message are
 * malloc'ed and belong to it.
 */
#ifndef FG_MSG_H
#define FG_MSG_H

#include <stddef.h>
#include <stdint.h>

#include "peer/fg_proto.h"

/* A zeroed message of the given type. Never NULL. */
fg_msg *fg_msg_new(fg_msg_type type);

/* Deep copy. Never NULL. */
fg_msg *fg_msg_dup(const fg_msg *m);

/* Frees the message with its lists; NULL is allowed. */
void fg_msg_free(fg_msg *m);

/* Size on the wire in bytes, without the batch header. */
size_t fg_msg_wire_bytes(const fg_msg *m);

/* Name such as "grant_req", for logs and counters; never NULL. */
const char *fg_msg_type_name(fg_msg_type type);

/* Copies an address list into a message list (malloc'ed). */
void fg_msg_set_avs(fg_resident *r, const fg_av *av, size_t n);

static inline int fg_av_equal(fg_av a, fg_av b)
{
	return a.adapter == b.adapter && a.ver == b.ver;
}

static inline int fg_av_is_none(fg_av a)
{
	return a.adapter == 0;
}

/* Key of a hash table over adapters and versions. */
static inline uint64_t fg_av_key(fg_av a)
{
	return ((uint64_t)a.adapter << 32) | a.ver;
}

#endif
