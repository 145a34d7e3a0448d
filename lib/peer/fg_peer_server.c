/*
 * Server: one thread serves all listeners of the process. A daemon has one
 * listener, a unit test several.
 *
 * libtirpc keeps its server transports in process-wide tables, therefore only
 * this thread creates, serves and destroys them. Connections are non-blocking,
 * so that a peer that stops in the middle of a record does not delay others.
 * The size of a record is bounded; a larger announced length ends the
 * connection. Nothing is registered with rpcbind.
 */
#include <assert.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "peer/fg_peer_internal.h"

#define BACKLOG 512
#define RPC_SEND_BYTES 8192
/* An idle or unacknowledged connection ends after 5 s of silence. With
 * TCP_USER_TIMEOUT set, the kernel ends an idle connection at the first probe
 * that is due after that time, whatever the number of probes. */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3
#define USER_TIMEOUT_MS 5000
#define POLL_RETRY_MS 20 /* pause after poll() failed */

struct fg_listener {
	struct fg_peer *p;
	struct sockaddr_storage local;
	int fd;
	SVCXPRT *xprt; /* set by the service thread */
	bool closing;
	bool closed;
};

static struct {
	pthread_mutex_t lock;	/* guards the fields below */
	pthread_cond_t changed; /* a listener was opened or closed */
	GPtrArray *listeners;	/* NULL while no thread runs */
	int wake_fd;
} service = { .lock = PTHREAD_MUTEX_INITIALIZER,
	      .changed = PTHREAD_COND_INITIALIZER,
	      .wake_fd = -1 };

/* ---- Dispatch ---- */

/* True when a connection with this local address was accepted by a socket that
 * listens on `listening`, which may be a wildcard address. */
static bool is_accepted_by(const struct sockaddr_storage *listening,
			   const struct sockaddr_storage *local)
{
	if (listening->ss_family != local->ss_family)
		return false;
	if (local->ss_family == AF_INET) {
		const struct sockaddr_in *a = (const void *)listening;
		const struct sockaddr_in *b = (const void *)local;

		return a->sin_port == b->sin_port &&
		       (a->sin_addr.s_addr == INADDR_ANY ||
			a->sin_addr.s_addr == b->sin_addr.s_addr);
	}
	const struct sockaddr_in6 *a = (const void *)listening;
	const struct sockaddr_in6 *b = (const void *)local;

	return a->sin6_port == b->sin6_port &&
	       (IN6_IS_ADDR_UNSPECIFIED(&a->sin6_addr) ||
		IN6_ARE_ADDR_EQUAL(&a->sin6_addr, &b->sin6_addr));
}

static bool get_local_address(int fd, struct sockaddr_storage *local)
{
	socklen_t len = sizeof(*local);

	memset(local, 0, sizeof(*local));
	return getsockname(fd, (struct sockaddr *)local, &len) == 0;
}

/* Returns the listener that accepted a connection; NULL when it is closing. */
static struct fg_listener *find_listener(int fd)
{
	struct sockaddr_storage local;
	struct fg_listener *found = NULL;

	if (!get_local_address(fd, &local))
		return NULL;
	pthread_mutex_lock(&service.lock);
	for (guint i = 0; i < service.listeners->len && found == NULL; i++) {
		struct fg_listener *l = service.listeners->pdata[i];

		if (!l->closing && is_accepted_by(&l->local, &local))
			found = l;
	}
	pthread_mutex_unlock(&service.lock);
	return found;
}

static void handle_exchange(struct fg_listener *l, SVCXPRT *xprt)
{
	fg_batch req;
	fg_batch reply;

	memset(&req, 0, sizeof(req));
	if (!svc_getargs(xprt, (xdrproc_t)xdr_fg_batch, (char *)&req)) {
		svcerr_decode(xprt);
		svc_freeargs(xprt, (xdrproc_t)xdr_fg_batch, (char *)&req);
		return;
	}
	fg_peer_deliver(l->p, &req, FG_RPC_CALL_BYTES);
	/* A cut drops the reply too, so that the sender's call times out. */
	if (!fg_peer_is_cut(l->p, req.from)) {
		memset(&reply, 0, sizeof(reply));
		reply.format = FG_FORMAT;
		reply.from = l->p->self;
		reply.to = req.from;
		svc_sendreply(xprt, (xdrproc_t)xdr_fg_batch, (char *)&reply);
	}
	svc_freeargs(xprt, (xdrproc_t)xdr_fg_batch, (char *)&req);
}

static bool_t xdr_empty(XDR *xdrs, void *obj)
{
	(void)xdrs;
	(void)obj;
	return TRUE;
}

static void dispatch(struct svc_req *req, SVCXPRT *xprt)
{
	struct fg_listener *l = find_listener(xprt->xp_fd);

	if (req->rq_proc == NULLPROC)
		svc_sendreply(xprt, (xdrproc_t)xdr_empty, NULL);
	else if (req->rq_proc != FG_EXCHANGE || l == NULL)
		svcerr_noproc(xprt);
	else
		handle_exchange(l, xprt);
}

/* ---- The service thread ---- */

static void listener_open(struct fg_listener *l)
{
	int record_bytes = FG_PEER_RECORD_BYTES;

	l->xprt = svc_vc_create(l->fd, RPC_SEND_BYTES, FG_PEER_RECORD_BYTES);
	assert(l->xprt != NULL);
	SVC_CONTROL(l->xprt, SVCSET_CONNMAXREC, &record_bytes);
	svc_reg(l->xprt, FG_PEER_PROG, FG_PEER_V1, dispatch, NULL);
}

/* Closes the connections that l accepted, then l itself. */
static void listener_close(struct fg_listener *l)
{
	for (int i = 0; i < svc_max_pollfd; i++) {
		int fd = svc_pollfd[i].fd;
		struct sockaddr_storage local;

		if (fd < 0 || fd == l->fd || !get_local_address(fd, &local) ||
		    !is_accepted_by(&l->local, &local))
			continue;
		shutdown(fd, SHUT_RDWR);
		svc_getreq_common(fd); /* reads the EOF and destroys fd */
	}
	if (l->xprt != NULL)
		svc_destroy(l->xprt);
	else
		close(l->fd);
}

/* Opens new listeners and closes those marked as closing. When none is left,
 * releases the state of the service and returns false: the thread must end
 * without access to shared data, since a new thread may have been started. */
static bool service_update(void)
{
	bool has_listeners;

	pthread_mutex_lock(&service.lock);
	for (guint i = 0; i < service.listeners->len;) {
		struct fg_listener *l = service.listeners->pdata[i];

		if (l->closing) {
			listener_close(l);
			l->closed = true;
			g_ptr_array_remove_index(service.listeners, i);
			continue;
		}
		if (l->xprt == NULL)
			listener_open(l);
		i++;
	}
	has_listeners = service.listeners->len > 0;
	if (!has_listeners) {
		close(service.wake_fd);
		g_ptr_array_free(service.listeners, TRUE);
		service.listeners = NULL;
	}
	pthread_cond_broadcast(&service.changed);
	pthread_mutex_unlock(&service.lock);
	return has_listeners;
}

static void clear_wake(void)
{
	uint64_t count;
	ssize_t n = read(service.wake_fd, &count, sizeof(count));

	(void)n;
}

static void serve_ready(GArray *fds, int n_ready)
{
	for (guint i = 1; i < fds->len && n_ready > 0; i++) {
		struct pollfd *pfd = &g_array_index(fds, struct pollfd, i);

		if (pfd->revents == 0)
			continue;
		n_ready--;
		svc_getreq_common(pfd->fd);
	}
}

static void *service_run(void *arg)
{
	GArray *fds = g_array_new(FALSE, FALSE, sizeof(struct pollfd));

	(void)arg;
	fg_peer_block_sigpipe();
	while (service_update()) {
		struct pollfd wake = { .fd = service.wake_fd,
				       .events = POLLIN };
		int n;

		g_array_set_size(fds, 0);
		g_array_append_val(fds, wake);
		g_array_append_vals(fds, svc_pollfd, (guint)svc_max_pollfd);
		n = poll((struct pollfd *)fds->data, fds->len, -1);
		if (n < 0) {
			if (errno != EINTR)
				g_usleep(POLL_RETRY_MS * 1000);
			continue;
		}
		clear_wake();
		serve_ready(fds, n);
	}
	g_array_free(fds, TRUE);
	return NULL;
}

static void service_wake(void)
{
	uint64_t one = 1;
	ssize_t n = write(service.wake_fd, &one, sizeof(one));

	(void)n;
}

/* ---- Listeners ---- */

static void set_options(int fd)
{
	int one = 1;
	int idle_s = KEEPALIVE_IDLE_S;
	int interval_s = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;
	unsigned int user_ms = USER_TIMEOUT_MS;

	/* A peer that is silent for a second gets another probe. */
	G_STATIC_ASSERT((KEEPALIVE_IDLE_S + 2 * KEEPALIVE_INTERVAL_S) * 1000 <
			USER_TIMEOUT_MS);
	/* Accepted connections inherit these options. */
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_ms,
		   sizeof(user_ms));
}

static int listen_socket(const struct fg_peer_addr *addr, GError **error)
{
	int fd = socket(addr->sa.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd >= 0) {
		set_options(fd);
		if (bind(fd, (const struct sockaddr *)&addr->sa,
			 addr->len_bytes) == 0 &&
		    listen(fd, BACKLOG) == 0)
			return fd;
	}
	g_set_error(error, FG_PEER_ERROR, FG_PEER_ERR_BIND,
		    "cannot listen for peers: %s", g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

/* Starts the thread, with service.lock held. A failure ends the process. */
static void service_start(void)
{
	pthread_t tid;
	int err;

	service.listeners = g_ptr_array_new();
	service.wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	err = pthread_create(&tid, NULL, service_run, NULL);
	if (service.wake_fd < 0 || err != 0)
		g_error("cannot start the server thread");
	pthread_detach(tid);
}

struct fg_listener *fg_listener_start(struct fg_peer *p,
				      const struct fg_peer_addr *addr,
				      GError **error)
{
	int fd = listen_socket(addr, error);
	struct fg_listener *l;

	if (fd < 0)
		return NULL;
	l = g_new0(struct fg_listener, 1);
	l->p = p;
	l->fd = fd;
	l->local = addr->sa;
	pthread_mutex_lock(&service.lock);
	if (service.listeners == NULL)
		service_start();
	g_ptr_array_add(service.listeners, l);
	service_wake();
	while (l->xprt == NULL)
		pthread_cond_wait(&service.changed, &service.lock);
	pthread_mutex_unlock(&service.lock);
	return l;
}

void fg_listener_stop(struct fg_listener *l)
{
	pthread_mutex_lock(&service.lock);
	l->closing = true;
	service_wake();
	while (!l->closed)
		pthread_cond_wait(&service.changed, &service.lock);
	pthread_mutex_unlock(&service.lock);
	g_free(l);
}
