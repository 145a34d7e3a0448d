/*
 * fg_mesh - packets between the instances of a gateway, in XDR.
 *
 * The packets are described in fg_mesh.x; this wraps the generated codec with
 * bounds. A packet that cannot be read, or of another format, is refused.
 */
#ifndef FG_MESH_H
#define FG_MESH_H

#include <stdbool.h>
#include <stddef.h>

#include "mesh/fg_mesh_proto.h"

/* Fits an unfragmented UDP datagram on every usual network. */
#define FG_MESH_PACKET_BYTES 1400

/* False when the packet does not fit `size` bytes. */
bool fg_mesh_encode(const fg_mesh_packet *packet, char *buf, size_t size,
		    size_t *len_bytes);

/* Reads one datagram; false when it is no whole packet of this format. On
 * true, fg_mesh_clear() releases it. */
bool fg_mesh_decode(const char *buf, size_t len_bytes, fg_mesh_packet *out);

void fg_mesh_clear(fg_mesh_packet *packet);

#endif
