#include "peer/fg_msg.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

fg_msg *fg_msg_new(fg_msg_type type)
{
	fg_msg *m = calloc(1, sizeof(*m));

	if (m == NULL)
		abort();
	m->body.type = type;
	/* XDR cannot encode a NULL string. */
	if (type == FG_MSG_CONFIG_TELL)
		m->body.fg_body_u.config_tell.text = strdup("");
	return m;
}

fg_msg *fg_msg_dup(const fg_msg *m)
{
	size_t len_bytes = xdr_sizeof((xdrproc_t)xdr_fg_msg, (void *)m);
	char *buf = malloc(len_bytes);
	fg_msg *copy = calloc(1, sizeof(*copy));
	XDR enc;
	XDR dec;
	bool_t ok;

	if (buf == NULL || copy == NULL)
		abort();
	xdrmem_create(&enc, buf, (u_int)len_bytes, XDR_ENCODE);
	ok = xdr_fg_msg(&enc, (fg_msg *)m);
	xdrmem_create(&dec, buf, (u_int)len_bytes, XDR_DECODE);
	ok = ok && xdr_fg_msg(&dec, copy);
	assert(ok);
	(void)ok;
	free(buf);
	return copy;
}

void fg_msg_free(fg_msg *m)
{
	if (m == NULL)
		return;
	xdr_free((xdrproc_t)xdr_fg_msg, m);
	free(m);
}

size_t fg_msg_wire_bytes(const fg_msg *m)
{
	return xdr_sizeof((xdrproc_t)xdr_fg_msg, (void *)m);
}

static const char *const type_names[] = {
	[FG_MSG_PING] = "ping",
	[FG_MSG_PONG] = "pong",
	[FG_MSG_GRANT_REQ] = "grant_req",
	[FG_MSG_GRANT_REP] = "grant_rep",
	[FG_MSG_RELEASE] = "release",
	[FG_MSG_NEED] = "need",
	[FG_MSG_PLACE] = "place",
	[FG_MSG_PLACE_REP] = "place_rep",
	[FG_MSG_RESIDENT] = "resident",
	[FG_MSG_GRANTS_ASK] = "grants_ask",
	[FG_MSG_GRANTS_TELL] = "grants_tell",
	[FG_MSG_POPULARITY] = "heat",
	[FG_MSG_CONFIG_ASK] = "config_ask",
	[FG_MSG_CONFIG_TELL] = "config_tell",
	[FG_MSG_SUSPECT] = "suspect",
	[FG_MSG_LEAVING] = "leaving",
	[FG_MSG_OWNED] = "owned",
};

const char *fg_msg_type_name(fg_msg_type type)
{
	if ((size_t)type >= sizeof(type_names) / sizeof(type_names[0]) ||
	    type_names[type] == NULL)
		return "invalid";
	return type_names[type];
}

void fg_msg_set_avs(fg_resident *r, const fg_av *av, size_t n)
{
	assert(n <= FG_LIST_MAX);
	free(r->av.av_val);
	r->av.av_val = calloc(n > 0 ? n : 1, sizeof(*av));
	if (r->av.av_val == NULL)
		abort();
	if (n > 0)
		memcpy(r->av.av_val, av, n * sizeof(*av));
	r->av.av_len = (u_int)n;
}
