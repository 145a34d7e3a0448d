/* Limits of workspaces, kept by all instances together. */
#include "gateway/fg_gateway_internal.h"

void fg_gw_quota_init(struct fg_gateway *gw)
{
	(void)gw;
}

void fg_gw_quota_free(struct fg_gateway *gw)
{
	(void)gw;
}

bool fg_gw_quota_admit(struct fg_gwreq *r)
{
	(void)r;
	return true;
}

void fg_gw_quota_time_out(struct fg_gwreq *r)
{
	(void)r;
}

void fg_gw_quota_give_back(struct fg_gwreq *r)
{
	(void)r;
}

void fg_gw_quota_tick(struct fg_gateway *gw, fg_ms now)
{
	(void)gw;
	(void)now;
}

void fg_gw_quota_answer_ask(struct fg_gateway *gw, const fg_mesh_packet *packet,
			    const char *from)
{
	(void)gw;
	(void)packet;
	(void)from;
}

void fg_gw_quota_apply_reply(struct fg_gateway *gw,
			     const fg_mesh_packet *packet)
{
	(void)gw;
	(void)packet;
}
