/* Fuzzes the row codec of the ledger: what is read is written and read again
 * as the same row. */
#include <stdlib.h>

#include "ledger/fg_ledger_internal.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	struct fg_lrow row, again;
	char *encoded;

	if (fg_lrow_decode(text, &row) == FG_LROW_OK) {
		encoded = fg_lrow_encode(&row);
		if (fg_lrow_decode(encoded, &again) != FG_LROW_OK)
			abort();
		if (row.state != again.state || row.nonce != again.nonce ||
		    row.body != again.body || row.by != again.by ||
		    row.at != again.at || row.reason != again.reason ||
		    g_strcmp0(row.text, again.text) != 0)
			abort();
		g_free(again.text);
		g_free(row.text);
		g_free(encoded);
	}
	g_free(text);
	return 0;
}
