/*
 * Senders: one thread per peer that has queued messages.
 *
 * Most calls do not wait for their reply, so that a batch is not delayed by the
 * round trip of the batch before. After SYNC_MS or SYNC_CALLS at the latest,
 * one call waits for its reply, which shows whether the peer still answers.
 * Replies to earlier calls are skipped by their transaction id.
 *
 * The send buffer holds the largest record, so that each record is a single
 * fragment: a libtirpc server accepts no other records on a non-blocking
 * connection.
 */
#include <assert.h>
#include <ck_pr.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/fg_clock.h"
#include "peer/fg_peer_internal.h"

#define STACK_BYTES (128 * 1024)
#define RPC_RECEIVE_BYTES 8192
#define SYNC_MS 250
#define SYNC_CALLS 32
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 2000
#define IDLE_MS 30000 /* without messages, before the thread ends */

struct fg_sender {
	struct fg_peer *p;
	uint64_t id;
	struct fg_peer_addr addr;
	GQueue queue; /* fg_msg; like the flags guarded by fg_peer.lock */
	pthread_cond_t wake; /* a message was queued, or the thread must end */
	bool running;	     /* the thread exists */
	bool sleeping;	     /* the thread waits for a message */
	bool removed;	     /* from fg_peer.senders; the thread frees it */

	/* Used by the thread only. */
	CLIENT *client;	     /* NULL: not connected */
	fg_ms synced_at;     /* last reply that was waited for */
	uint32_t n_one_way;  /* calls without a wait since then */
	uint32_t backoff_ms; /* of the last pause; 0: no failure */
};

/* ---- Connection ---- */

static bool wait_connected(int fd, uint32_t timeout_ms)
{
	struct pollfd pfd = { .fd = fd, .events = POLLOUT };
	int err = 0;
	socklen_t len = sizeof(err);

	if (poll(&pfd, 1, (int)timeout_ms) != 1)
		return false;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) != 0)
		return false;
	return err == 0;
}

static void set_options(int fd, uint32_t timeout_ms)
{
	struct timeval tv = { .tv_sec = timeout_ms / FG_MS_PER_S,
			      .tv_usec = timeout_ms % FG_MS_PER_S * 1000 };
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		   sizeof(timeout_ms));
	/* Limits how long a write to a peer that does not read may block. */
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
}

static int connect_socket(const struct fg_peer_addr *addr, uint32_t timeout_ms)
{
	int fd = socket(addr->sa.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int flags;

	if (fd < 0)
		return -1;
	flags = fcntl(fd, F_GETFL);
	fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	if (connect(fd, (const struct sockaddr *)&addr->sa, addr->len_bytes) !=
		    0 &&
	    (errno != EINPROGRESS || !wait_connected(fd, timeout_ms))) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, flags);
	set_options(fd, timeout_ms);
	return fd;
}

/* The lock is needed because libtirpc allocates its shared credentials with the
 * first client, without a lock of its own. */
static CLIENT *create_client(int fd, struct netbuf *raddr)
{
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	CLIENT *client;

	pthread_mutex_lock(&lock);
	client = clnt_vc_create(fd, raddr, FG_PEER_PROG, FG_PEER_V1,
				FG_PEER_RECORD_BYTES, RPC_RECEIVE_BYTES);
	pthread_mutex_unlock(&lock);
	return client;
}

static bool sender_connect(struct fg_sender *s)
{
	struct netbuf raddr = { .buf = &s->addr.sa,
				.len = s->addr.len_bytes,
				.maxlen = sizeof(s->addr.sa) };
	int fd;

	if (s->client != NULL)
		return true;
	fd = connect_socket(&s->addr, s->p->timeout_ms);
	if (fd < 0)
		return false;
	s->client = create_client(fd, &raddr);
	if (s->client == NULL) {
		close(fd);
		return false;
	}
	clnt_control(s->client, CLSET_FD_CLOSE, NULL);
	s->synced_at = 0;
	s->n_one_way = 0;
	return true;
}

static void sender_disconnect(struct fg_sender *s)
{
	if (s->client == NULL)
		return;
	auth_destroy(s->client->cl_auth);
	clnt_destroy(s->client);
	s->client = NULL;
}

/* ---- One exchange ---- */

/* Moves queued messages into batch up to its limits and returns their size in
 * bytes. The message structs are copied and freed; the batch owns the lists and
 * texts in them. */
static size_t fill_batch(struct fg_sender *s, fg_batch *batch)
{
	size_t total_bytes = 0;

	pthread_mutex_lock(&s->p->lock);
	while (batch->msgs.msgs_len < FG_BATCH_MAX) {
		fg_msg *msg = g_queue_peek_head(&s->queue);
		size_t len_bytes = msg != NULL ? fg_msg_wire_bytes(msg) : 0;

		if (msg == NULL ||
		    (batch->msgs.msgs_len > 0 &&
		     total_bytes + len_bytes > FG_PEER_BATCH_BYTES))
			break;
		total_bytes += len_bytes;
		batch->msgs.msgs_val[batch->msgs.msgs_len++] = *msg;
		free(g_queue_pop_head(&s->queue));
	}
	pthread_mutex_unlock(&s->p->lock);
	return total_bytes;
}

static enum clnt_stat call_sync(struct fg_sender *s, fg_batch *batch)
{
	struct timeval tv = { .tv_sec = s->p->timeout_ms / FG_MS_PER_S,
			      .tv_usec =
				      s->p->timeout_ms % FG_MS_PER_S * 1000 };
	fg_batch reply;
	enum clnt_stat status;

	memset(&reply, 0, sizeof(reply));
	status = clnt_call(s->client, FG_EXCHANGE, (xdrproc_t)xdr_fg_batch,
			   (char *)batch, (xdrproc_t)xdr_fg_batch,
			   (char *)&reply, tv);
	if (status == RPC_SUCCESS) {
		s->synced_at = fg_clock_now();
		s->n_one_way = 0;
		fg_peer_deliver(s->p, &reply, FG_RPC_REPLY_BYTES);
	}
	xdr_free((xdrproc_t)xdr_fg_batch, (char *)&reply);
	return status;
}

/* Sends without waiting for the reply: with a timeout of 0, clnt_call() returns
 * at once. */
static enum clnt_stat call_one_way(struct fg_sender *s, fg_batch *batch)
{
	struct timeval no_wait = { 0, 0 };
	enum clnt_stat status;

	/* With a NULL decoder, libtirpc would not send the record before its
	 * buffer is full. */
	status = clnt_call(s->client, FG_EXCHANGE, (xdrproc_t)xdr_fg_batch,
			   (char *)batch, (xdrproc_t)xdr_fg_batch, NULL,
			   no_wait);
	s->n_one_way++;
	return status == RPC_TIMEDOUT ? RPC_SUCCESS : status;
}

static bool send_batch(struct fg_sender *s, fg_batch *batch)
{
	enum clnt_stat status;

	if (!sender_connect(s))
		return false;
	if (s->n_one_way >= SYNC_CALLS ||
	    fg_clock_now() - s->synced_at >= SYNC_MS)
		status = call_sync(s, batch);
	else
		status = call_one_way(s, batch);
	if (status != RPC_SUCCESS)
		sender_disconnect(s);
	return status == RPC_SUCCESS;
}

/* Sends one batch; false when the connection or the call failed. */
static bool sender_exchange(struct fg_sender *s)
{
	struct fg_peer_counters *c = &s->p->counters;
	fg_batch batch = { .format = FG_FORMAT,
			   .from = s->p->self,
			   .to = s->id };
	uint32_t n;
	size_t len_bytes;
	bool ok = true;

	batch.msgs.msgs_val = calloc(FG_BATCH_MAX, sizeof(fg_msg));
	if (batch.msgs.msgs_val == NULL)
		abort();
	len_bytes = fill_batch(s, &batch);
	n = batch.msgs.msgs_len;
	if (n > 0 && fg_peer_is_cut(s->p, s->id)) {
		ck_pr_add_64(&c->dropped_msgs, n);
	} else if (n > 0) {
		ok = send_batch(s, &batch);
		ck_pr_add_64(&c->exchanges, 1);
		ck_pr_add_64(ok ? &c->sent_msgs : &c->dropped_msgs, n);
		ck_pr_add_64(&c->failed_exchanges, ok ? 0 : 1);
		ck_pr_add_64(&c->sent_bytes,
			     ok ? len_bytes + FG_RPC_CALL_BYTES : 0);
	}
	xdr_free((xdrproc_t)xdr_fg_batch, (char *)&batch);
	return ok;
}

/* ---- Thread ---- */

static struct timespec deadline_after(uint32_t ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += ms / FG_MS_PER_S;
	ts.tv_nsec += (long)(ms % FG_MS_PER_S) * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	return ts;
}

/* Waits for a message, with fg_peer.lock held; false when the thread must end
 * because it was idle, removed or stopped. */
static bool sender_wait(struct fg_sender *s)
{
	struct timespec deadline = deadline_after(IDLE_MS);
	int err = 0;

	while (!s->removed && !s->p->stopping && g_queue_is_empty(&s->queue) &&
	       err == 0) {
		s->sleeping = true;
		err = pthread_cond_timedwait(&s->wake, &s->p->lock, &deadline);
		s->sleeping = false;
	}
	return !s->removed && !s->p->stopping && !g_queue_is_empty(&s->queue);
}

/* Pauses after a failure, for twice as long as after the one before. */
static void sender_back_off(struct fg_sender *s)
{
	struct timespec deadline;
	int err = 0;

	s->backoff_ms = s->backoff_ms == 0 ? BACKOFF_MIN_MS : s->backoff_ms * 2;
	if (s->backoff_ms > BACKOFF_MAX_MS)
		s->backoff_ms = BACKOFF_MAX_MS;
	deadline = deadline_after(s->backoff_ms);
	pthread_mutex_lock(&s->p->lock);
	while (!s->removed && !s->p->stopping && err == 0)
		err = pthread_cond_timedwait(&s->wake, &s->p->lock, &deadline);
	pthread_mutex_unlock(&s->p->lock);
}

static void sender_free(struct fg_sender *s)
{
	fg_msg *msg;

	assert(!s->running);
	while ((msg = g_queue_pop_head(&s->queue)) != NULL) {
		ck_pr_add_64(&s->p->counters.dropped_msgs, 1);
		fg_msg_free(msg);
	}
	pthread_cond_destroy(&s->wake);
	g_free(s);
}

static void *sender_run(void *arg)
{
	struct fg_sender *s = arg;
	struct fg_peer *p = s->p;

	fg_peer_block_sigpipe();
	pthread_mutex_lock(&p->lock);
	while (sender_wait(s)) {
		pthread_mutex_unlock(&p->lock);
		if (sender_exchange(s))
			s->backoff_ms = 0;
		else
			sender_back_off(s);
		pthread_mutex_lock(&p->lock);
	}
	pthread_mutex_unlock(&p->lock);
	sender_disconnect(s);

	pthread_mutex_lock(&p->lock);
	s->running = false;
	if (s->removed)
		sender_free(s);
	p->n_sender_threads--;
	pthread_cond_broadcast(&p->sender_ended);
	pthread_mutex_unlock(&p->lock);
	return NULL;
}

static bool sender_start_thread(struct fg_sender *s)
{
	pthread_attr_t attr;
	pthread_t tid;
	int err;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	s->running = true;
	s->p->n_sender_threads++;
	err = pthread_create(&tid, &attr, sender_run, s);
	pthread_attr_destroy(&attr);
	if (err != 0) {
		s->running = false;
		s->p->n_sender_threads--;
	}
	return err == 0;
}

static struct fg_sender *sender_new(struct fg_peer *p, uint64_t id,
				    const struct fg_peer_addr *addr)
{
	struct fg_sender *s = g_new0(struct fg_sender, 1);
	pthread_condattr_t attr;

	s->p = p;
	s->id = id;
	s->addr = *addr;
	g_queue_init(&s->queue);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&s->wake, &attr);
	pthread_condattr_destroy(&attr);
	g_hash_table_insert(p->senders, &s->id, s);
	return s;
}

/* ---- Public ---- */

/* Queues msg, with fg_peer.lock held; false when the caller must drop it. */
static bool enqueue_msg(struct fg_peer *p, uint64_t id,
			const struct fg_peer_addr *addr, fg_msg *msg)
{
	struct fg_sender *s;

	if (p->stopping || g_hash_table_contains(p->cut_ids, &id))
		return false;
	s = g_hash_table_lookup(p->senders, &id);
	if (s == NULL)
		s = sender_new(p, id, addr);
	if (!s->running) {
		s->addr = *addr;
		if (!sender_start_thread(s))
			return false;
	}
	if (g_queue_get_length(&s->queue) >= p->queue_max)
		return false;
	g_queue_push_tail(&s->queue, msg);
	if (s->sleeping)
		pthread_cond_signal(&s->wake);
	return true;
}

void fg_peer_send(struct fg_peer *p, uint64_t id, const char *addr,
		  const fg_msg *msg)
{
	struct fg_peer_addr parsed;
	fg_msg *copy;
	bool queued;

	if (!fg_peer_addr_parse(addr, &parsed)) {
		ck_pr_add_64(&p->counters.dropped_msgs, 1);
		return;
	}
	copy = fg_msg_dup(msg);
	pthread_mutex_lock(&p->lock);
	queued = enqueue_msg(p, id, &parsed, copy);
	pthread_mutex_unlock(&p->lock);
	if (!queued) {
		ck_pr_add_64(&p->counters.dropped_msgs, 1);
		fg_msg_free(copy);
	}
}

/* Removes a sender, with fg_peer.lock held, and ends its thread. */
static void sender_remove(struct fg_sender *s)
{
	g_hash_table_remove(s->p->senders, &s->id);
	s->removed = true;
	if (s->running)
		pthread_cond_signal(&s->wake);
	else
		sender_free(s);
}

void fg_peer_remove(struct fg_peer *p, uint64_t id)
{
	struct fg_sender *s;

	pthread_mutex_lock(&p->lock);
	s = g_hash_table_lookup(p->senders, &id);
	if (s != NULL)
		sender_remove(s);
	pthread_mutex_unlock(&p->lock);
}

void fg_senders_stop(struct fg_peer *p)
{
	GList *senders;

	pthread_mutex_lock(&p->lock);
	p->stopping = true;
	senders = g_hash_table_get_values(p->senders);
	for (GList *it = senders; it != NULL; it = it->next)
		sender_remove(it->data);
	g_list_free(senders);
	while (p->n_sender_threads > 0)
		pthread_cond_wait(&p->sender_ended, &p->lock);
	pthread_mutex_unlock(&p->lock);
}
