#include "mesh/fg_mesh.h"

#include <string.h>

bool fg_mesh_encode(const fg_mesh_packet *packet, char *buf, size_t size,
		    size_t *len_bytes)
{
	XDR xdr;
	bool ok;

	xdrmem_create(&xdr, buf, (u_int)size, XDR_ENCODE);
	ok = xdr_fg_mesh_packet(&xdr, (fg_mesh_packet *)packet);
	*len_bytes = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return ok;
}

bool fg_mesh_decode(const char *buf, size_t len_bytes, fg_mesh_packet *out)
{
	XDR xdr;
	bool ok;

	memset(out, 0, sizeof(*out));
	xdrmem_create(&xdr, (char *)buf, (u_int)len_bytes, XDR_DECODE);
	ok = xdr_fg_mesh_packet(&xdr, out) && out->format == FG_MESH_FORMAT &&
	     xdr_getpos(&xdr) == len_bytes;
	xdr_destroy(&xdr);
	if (!ok)
		fg_mesh_clear(out);
	return ok;
}

void fg_mesh_clear(fg_mesh_packet *packet)
{
	xdr_free((xdrproc_t)xdr_fg_mesh_packet, (char *)packet);
	memset(packet, 0, sizeof(*packet));
}
