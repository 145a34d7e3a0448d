/* Places of connections: which of them ends for a new one. */
#include "gateway/fg_gateway_internal.h"

/* Places of the port for other instances, and of those for readiness checks and
 * for metrics. */
#define RELAY_CONNECTIONS_MAX 1024
#define TOOL_CONNECTIONS_MAX 32

static struct fg_places_view place_view(const struct fg_caller *c)
{
	struct fg_places_view view = {
		.busy = c->req != NULL || c->tunnel != NULL,
		.answered = c->answered,
		.waits_since = c->free_since,
	};

	return view;
}

/* Returns whether a request has arrived that was not read yet. */
static bool has_request_unread(const struct fg_caller *c)
{
	char byte;

	return !c->h1.started && fg_link_peek(c->link, &byte, 1) > 0;
}

/* Returns the connection of the port that gives its place, or NULL. */
static struct fg_caller *choose_yielding(const struct fg_port *port)
{
	const GPtrArray *callers = port->gw->callers;
	struct fg_caller *chosen = NULL;
	struct fg_places_view chosen_view;

	for (guint i = 0; i < callers->len; i++) {
		struct fg_caller *c = callers->pdata[i];
		struct fg_places_view view = place_view(c);

		if (c->kind != port->kind || c->link == NULL || view.busy)
			continue;
		if ((chosen == NULL ||
		     fg_places_yields_before(&view, &chosen_view)) &&
		    !has_request_unread(c)) {
			chosen = c;
			chosen_view = view;
		}
	}
	return chosen;
}

static void yield_place(struct fg_caller *c)
{
	fg_gw_count_event(c->gw, "gave_way", "what=\"place\"");
	if (c->h1.started) {
		fg_caller_refuse_reading(c, "place");
		return;
	}
	fg_log_routine("caller", "place_given_up", NULL);
	fg_caller_close_idle(c);
}

static struct fg_places_bound port_bound(const struct fg_port *port)
{
	const struct fg_gateway *gw = port->gw;

	switch (port->kind) {
	case FG_PORT_FRONT:
		return fg_places_for_callers(gw->descriptors,
					     gw->conf->connections_max);
	case FG_PORT_DIRECTORY:
		return fg_places_for_other(gw->descriptors,
					   gw->conf->lookup_connections_max);
	case FG_PORT_RELAY:
		return fg_places_for_other(gw->descriptors,
					   RELAY_CONNECTIONS_MAX);
	default:
		return fg_places_for_other(gw->descriptors,
					   TOOL_CONNECTIONS_MAX);
	}
}

bool fg_gw_make_place(const struct fg_port *port)
{
	struct fg_places_bound bound = port_bound(port);
	struct fg_caller *c;

	for (;;) {
		bool descriptors_left =
			fg_link_open_count() <= bound.descriptors_max;

		if (descriptors_left && port->n_callers < bound.connections_max)
			return true;
		if (!descriptors_left && fg_link_abort_oldest_flushing())
			continue;
		c = choose_yielding(port);
		if (c == NULL)
			return false;
		yield_place(c);
	}
}
