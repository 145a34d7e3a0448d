/*
 * Fuzzes the decoding of inner messages. A decoded batch can be encoded, and
 * decoding and encoding it again gives the same bytes.
 */
#include <assert.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "peer/fg_msg.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static char *encode(fg_batch *batch, u_int *len_bytes)
{
	char *buf;
	XDR xdr;

	*len_bytes = xdr_sizeof((xdrproc_t)xdr_fg_batch, batch);
	buf = malloc(*len_bytes);
	assert(buf != NULL);
	xdrmem_create(&xdr, buf, *len_bytes, XDR_ENCODE);
	if (!xdr_fg_batch(&xdr, batch))
		abort();
	return buf;
}

static bool decode(const char *data, u_int len_bytes, fg_batch *batch)
{
	XDR xdr;

	memset(batch, 0, sizeof(*batch));
	xdrmem_create(&xdr, (char *)data, len_bytes, XDR_DECODE);
	return xdr_fg_batch(&xdr, batch);
}

static void check_copies(const fg_batch *batch)
{
	for (u_int i = 0; i < batch->msgs.msgs_len; i++) {
		const fg_msg *m = &batch->msgs.msgs_val[i];
		fg_msg *copy = fg_msg_dup(m);

		if (fg_msg_wire_bytes(copy) != fg_msg_wire_bytes(m))
			abort();
		if (strcmp(fg_msg_type_name(m->body.type), "invalid") == 0)
			abort();
		fg_msg_free(copy);
	}
}

static void check_round_trip(fg_batch *batch)
{
	u_int first_bytes, second_bytes;
	char *first = encode(batch, &first_bytes);
	fg_batch decoded;
	char *second;

	if (!decode(first, first_bytes, &decoded))
		abort();
	second = encode(&decoded, &second_bytes);
	if (first_bytes != second_bytes ||
	    memcmp(first, second, first_bytes) != 0)
		abort();
	xdr_free((xdrproc_t)xdr_fg_batch, &decoded);
	free(second);
	free(first);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fg_batch batch;

	if (decode((const char *)data, size, &batch)) {
		check_copies(&batch);
		check_round_trip(&batch);
	}
	xdr_free((xdrproc_t)xdr_fg_batch, &batch);
	return 0;
}
