/*
 * Fuzzes the decoding of inner messages. What decodes must encode, and the
 * encoding must be stable.
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

static void copy_messages(const fg_batch *batch)
{
	for (u_int i = 0; i < batch->msgs.msgs_len; i++) {
		const fg_msg *m = &batch->msgs.msgs_val[i];
		fg_msg *copy = fg_msg_dup(m);

		if (fg_msg_wire_bytes(copy) != fg_msg_wire_bytes(m))
			abort();
		if (strcmp(fg_msg_name(m->body.type), "invalid") == 0)
			abort();
		fg_msg_free(copy);
	}
}

static void check_stable(fg_batch *batch)
{
	u_int len_bytes, again_bytes;
	char *first = encode(batch, &len_bytes);
	fg_batch twin;
	char *again;

	if (!decode(first, len_bytes, &twin))
		abort();
	again = encode(&twin, &again_bytes);
	if (len_bytes != again_bytes || memcmp(first, again, len_bytes) != 0)
		abort();
	xdr_free((xdrproc_t)xdr_fg_batch, &twin);
	free(again);
	free(first);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fg_batch batch;

	if (decode((const char *)data, size, &batch)) {
		copy_messages(&batch);
		check_stable(&batch);
	}
	xdr_free((xdrproc_t)xdr_fg_batch, &batch);
	return 0;
}
