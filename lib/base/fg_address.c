#include "base/fg_address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#define PORT_MAX 65535
#define PORT_DIGITS_MAX 5

static bool parse_port(const char *text, in_port_t *out)
{
	uint32_t port = 0;
	size_t len = strspn(text, "0123456789");

	if (len == 0 || len > PORT_DIGITS_MAX || text[len] != '\0')
		return false;
	for (size_t i = 0; i < len; i++)
		port = port * 10 + (uint32_t)(text[i] - '0');
	if (port == 0 || port > PORT_MAX)
		return false;
	*out = htons((uint16_t)port);
	return true;
}

bool fg_address_parse(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1 &&
	       parse_port(colon + 1, &out->sin_port);
}

bool fg_address_is_valid(const char *text)
{
	struct sockaddr_in address;

	return fg_address_parse(text, &address);
}
