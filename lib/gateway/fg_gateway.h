/*
 * fg_gateway - one instance that serves callers: an event loop of its own.
 *
 * It learns configuration and endpoints from the platform's store, tells
 * callers which addresses to use, forwards their requests to endpoints, has
 * adapters loaded, and exchanges heartbeats with the other instances.
 * Everything that lasts is in the store; an instance keeps nothing.
 *
 * One thread runs all of it. No function is safe for use by several threads.
 */
#ifndef FG_GATEWAY_H
#define FG_GATEWAY_H

#include "gateway/fg_gwconf.h"
#include "wire/fg_wire.h"

struct fg_gateway;

/* Opens the sockets; NULL with error set when one cannot be opened. Takes
 * over `conf`; `path` is read again on SIGHUP and when its text changes. */
struct fg_gateway *fg_gateway_new(struct fg_gwconf *conf, const char *path,
				  const struct fg_wire_ops *wire,
				  GError **error);

/* Serves until a planned stop (SIGTERM or SIGINT) is done. */
void fg_gateway_run(struct fg_gateway *gw);

void fg_gateway_free(struct fg_gateway *gw);

#endif
