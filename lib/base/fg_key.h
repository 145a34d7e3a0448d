/*
 * fg_key - hash function for 64-bit keys in GLib hash tables.
 *
 * g_int64_hash() uses only the low 32 bits of a key. In keys that combine an
 * adapter and its version, these bits hold the version, which is the same in
 * nearly all keys: g_int64_hash() would map nearly all keys to one bucket.
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
