/*
 * fg_mesh - encodes and decodes datagrams between the instances of a gateway.
 *
 * The packets are described in fg_mesh.x. Does no I/O.
 */
#ifndef FG_MESH_H
#define FG_MESH_H

#include <stdbool.h>
#include <stddef.h>

#include "mesh/fg_mesh_proto.h"

/* Below the MTU of common networks, so that a datagram is not fragmented. */
#define FG_MESH_PACKET_BYTES 1400

/* Encodes a packet into buf and sets *len_bytes. Returns false when it does not
 * fit `size` bytes. */
bool fg_mesh_encode(const fg_mesh_packet *packet, char *buf, size_t size,
		    size_t *len_bytes);

/* Decodes one datagram. Returns false when it is truncated, has trailing bytes,
 * exceeds a limit of fg_mesh.x or is of another format. On true, the caller
 * releases `out` with fg_mesh_clear(). */
bool fg_mesh_decode(const char *buf, size_t len_bytes, fg_mesh_packet *out);

/* Frees what a decoded packet owns and zeroes it. */
void fg_mesh_clear(fg_mesh_packet *packet);

#endif
