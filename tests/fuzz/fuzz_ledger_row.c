/* Fuzzes the row codec of the ledger: a decoded row that is encoded and decoded
 * again stays the same. */
#include <stdlib.h>

#include "ledger/fg_ledger_internal.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	struct fg_lrow row, copy;
	char *encoded;

	if (fg_lrow_decode(text, &row) == FG_LROW_OK) {
		encoded = fg_lrow_encode(&row);
		if (fg_lrow_decode(encoded, &copy) != FG_LROW_OK)
			abort();
		if (row.state != copy.state || row.nonce != copy.nonce ||
		    row.body != copy.body || row.by != copy.by ||
		    row.at != copy.at || row.reason != copy.reason ||
		    g_strcmp0(row.text, copy.text) != 0)
			abort();
		g_free(copy.text);
		g_free(row.text);
		g_free(encoded);
	}
	g_free(text);
	return 0;
}
