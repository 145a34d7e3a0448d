/* Start and stop, delivery, cuts and counters. */
#include "peer/fg_peer.h"

#include <ck_pr.h>
#include <gio/gio.h>
#include <signal.h>
#include <string.h>

#include "peer/fg_peer_internal.h"

GQuark fg_peer_error_quark(void)
{
	return g_quark_from_static_string("fg-peer-error-quark");
}

bool fg_peer_addr_parse(const char *text, struct fg_peer_addr *out)
{
	char host[64];
	const char *colon = strrchr(text, ':');
	size_t len;
	guint64 port;
	GSocketAddress *sa;

	if (colon == NULL ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		return false;
	len = (size_t)(colon - text);
	if (len >= 2 && text[0] == '[' && text[len - 1] == ']') {
		text++;
		len -= 2;
	}
	if (len == 0 || len >= sizeof(host))
		return false;
	memcpy(host, text, len);
	host[len] = '\0';
	sa = g_inet_socket_address_new_from_string(host, (guint)port);
	if (sa == NULL)
		return false;
	memset(out, 0, sizeof(*out));
	out->len_bytes = (socklen_t)g_socket_address_get_native_size(sa);
	g_socket_address_to_native(sa, &out->sa, sizeof(out->sa), NULL);
	g_object_unref(sa);
	return true;
}

bool fg_peer_is_cut(struct fg_peer *p, uint64_t id)
{
	bool cut;

	pthread_mutex_lock(&p->lock);
	cut = g_hash_table_contains(p->cut_ids, &id);
	pthread_mutex_unlock(&p->lock);
	return cut;
}

void fg_peer_deliver(struct fg_peer *p, const fg_batch *batch,
		     size_t header_bytes)
{
	size_t len_bytes = xdr_sizeof((xdrproc_t)xdr_fg_batch, (void *)batch);

	if (batch->format != FG_FORMAT ||
	    (batch->to != 0 && batch->to != p->self) ||
	    fg_peer_is_cut(p, batch->from)) {
		ck_pr_add_64(&p->counters.dropped_msgs, batch->msgs.msgs_len);
		return;
	}
	ck_pr_add_64(&p->counters.received_bytes, len_bytes + header_bytes);
	ck_pr_add_64(&p->counters.received_msgs, batch->msgs.msgs_len);
	for (u_int i = 0; i < batch->msgs.msgs_len; i++)
		p->receive(p->arg, batch->from, &batch->msgs.msgs_val[i]);
}

void fg_peer_block_sigpipe(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

static void peer_free(struct fg_peer *p)
{
	g_hash_table_destroy(p->senders);
	g_hash_table_destroy(p->cut_ids);
	pthread_cond_destroy(&p->sender_ended);
	pthread_mutex_destroy(&p->lock);
	g_free(p);
}

struct fg_peer *fg_peer_start(const struct fg_peer_conf *conf,
			      fg_peer_receive_fn receive, void *arg,
			      GError **error)
{
	struct fg_peer_addr addr;
	struct fg_peer *p;

	if (!fg_peer_addr_parse(conf->listen, &addr)) {
		g_set_error(error, FG_PEER_ERROR, FG_PEER_ERR_ADDRESS,
			    "invalid listen address, expected IP:port: %s",
			    conf->listen);
		return NULL;
	}
	p = g_new0(struct fg_peer, 1);
	p->self = conf->self;
	p->timeout_ms = conf->timeout_ms > 0 ? conf->timeout_ms : 1;
	p->queue_max = conf->queue_max > 0 ? conf->queue_max : 1;
	p->receive = receive;
	p->arg = arg;
	pthread_mutex_init(&p->lock, NULL);
	pthread_cond_init(&p->sender_ended, NULL);
	p->senders = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->cut_ids = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	p->listener = fg_listener_start(p, &addr, error);
	if (p->listener == NULL) {
		peer_free(p);
		return NULL;
	}
	return p;
}

void fg_peer_stop(struct fg_peer *p)
{
	if (p == NULL)
		return;
	fg_senders_stop(p);
	fg_listener_stop(p->listener);
	peer_free(p);
}

void fg_peer_set_cut(struct fg_peer *p, uint64_t id, int cut)
{
	pthread_mutex_lock(&p->lock);
	if (cut)
		g_hash_table_add(p->cut_ids, g_memdup2(&id, sizeof(id)));
	else
		g_hash_table_remove(p->cut_ids, &id);
	pthread_mutex_unlock(&p->lock);
}

void fg_peer_get_counters(const struct fg_peer *p, struct fg_peer_counters *out)
{
	const struct fg_peer_counters *c = &p->counters;

	out->sent_msgs = ck_pr_load_64(&c->sent_msgs);
	out->sent_bytes = ck_pr_load_64(&c->sent_bytes);
	out->received_msgs = ck_pr_load_64(&c->received_msgs);
	out->received_bytes = ck_pr_load_64(&c->received_bytes);
	out->dropped_msgs = ck_pr_load_64(&c->dropped_msgs);
	out->exchanges = ck_pr_load_64(&c->exchanges);
	out->failed_exchanges = ck_pr_load_64(&c->failed_exchanges);
}
