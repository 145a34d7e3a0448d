/*
 * Fuzzes the parsers of rows, configurations, announcements, entries, reports,
 * packets and instance rows. The first byte selects the parser.
 */
#include <stdint.h>
#include <string.h>

#include "fgp_wire.h"
#include "mesh/fg_mesh.h"
#include "mesh/fg_peers.h"

enum input_kind {
	ROWS,
	CONFIG,
	ANNOUNCEMENT,
	ENTRY,
	REPORT,
	PACKET,
	PEER,
	KIND_COUNT
};

static void parse_input(enum input_kind kind, const char *text, size_t len)
{
	struct fg_announcement announcement;
	struct fg_store_rows rows;
	struct fg_ep_facts facts;
	struct fg_engine_report report;
	struct fg_peer_row peer;
	fg_mesh_packet packet;

	switch (kind) {
	case ROWS:
		if (fgp_wire.rows_read(text, len, &rows, NULL))
			fg_store_rows_clear(&rows);
		break;
	case CONFIG:
		fg_routes_unref(fgp_wire.config_read(text, len, NULL));
		break;
	case ANNOUNCEMENT:
		if (fgp_wire.announcement_read(text, len, &announcement, NULL))
			fg_announcement_clear(&announcement);
		break;
	case ENTRY:
		fgp_wire.entry_read("i-1", text, len, &facts, NULL);
		break;
	case REPORT:
		fgp_wire.report_read(text, len, &report, NULL);
		break;
	case PACKET:
		if (fg_mesh_decode(text, len, &packet))
			fg_mesh_clear(&packet);
		break;
	default:
		fg_peer_row_parse("n", text, &peer);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text;

	if (size < 1)
		return 0;
	text = g_strndup((const char *)data + 1, size - 1);
	parse_input((enum input_kind)(data[0] % KIND_COUNT), text, size - 1);
	g_free(text);
	return 0;
}
