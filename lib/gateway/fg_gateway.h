/*
 * fg_gateway - one gateway instance, run by an event loop of its own.
 *
 * An instance reads the configuration and the registered endpoints from the
 * platform's store, answers address lookups, forwards requests of callers to
 * endpoints, orders adapter loads at engines, and exchanges heartbeats with the
 * other instances. All lasting state is in the store; an instance writes
 * nothing to disk.
 *
 * Everything runs on the thread that calls fg_gateway_run(). The functions are
 * not thread-safe.
 */
#ifndef FG_GATEWAY_H
#define FG_GATEWAY_H

#include "gateway/fg_gwconf.h"
#include "wire/fg_wire.h"

struct fg_gateway;

/* Creates an instance and opens its sockets. Returns NULL and sets *error when
 * a socket cannot be opened. Takes ownership of `conf`, also on failure. The
 * settings file `path` is read again on SIGHUP and when its content changes.
 * `wire` must outlive the instance. */
struct fg_gateway *fg_gateway_new(struct fg_gwconf *conf, const char *path,
				  const struct fg_wire_ops *wire,
				  GError **error);

/* Serves until a planned stop (on SIGTERM or SIGINT) is complete. */
void fg_gateway_run(struct fg_gateway *gw);

void fg_gateway_free(struct fg_gateway *gw);

#endif
