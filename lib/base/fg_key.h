/*
 * fg_key - hash of a 64-bit key for GLib's hash tables.
 *
 * g_int64_hash() takes the low half of a key alone. In keys made of an adapter
 * and its version that half is the version, the same for nearly all.
 */
#ifndef FG_KEY_H
#define FG_KEY_H

#include <glib.h>
#include <stdint.h>

static inline guint fg_key_hash(gconstpointer p)
{
	uint64_t key = *(const uint64_t *)p * 0x9e3779b97f4a7c15ULL;

	return (guint)(key >> 32);
}

#endif
