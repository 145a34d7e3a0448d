/*
 * fg_address - text form of network addresses, "IP:PORT" with an IPv4 address.
 *
 * Does no I/O.
 */
#ifndef FG_ADDRESS_H
#define FG_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/* Decodes "IP:PORT", with a port from 1 to 65535 in at most five digits and
 * nothing before or after it. Returns false, with *out undefined, for any other
 * text. */
bool fg_address_parse(const char *text, struct sockaddr_in *out);

/* Returns whether fg_address_parse() decodes the text. */
bool fg_address_is_valid(const char *text);

#endif
