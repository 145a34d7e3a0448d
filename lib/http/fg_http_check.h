/*
 * fg_http_check - strict check of the answers that libcurl reads.
 *
 * libcurl accepts names with blanks, folded lines, lengths that are no number,
 * two lengths, frames of chunks with other bytes in them, and bytes behind the
 * answer. The check reads the same bytes with fg_h1, before libcurl passes on
 * what it made of them.
 */
#ifndef FG_HTTP_CHECK_H
#define FG_HTTP_CHECK_H

#include <curl/curl.h>
#include <stdbool.h>

#include "h1/fg_h1.h"

struct fg_http_check {
	CURL *curl;
	struct fg_h1 h1;
	bool has_rest; /* bytes that belong to no answer followed it */
	bool broken;   /* the answer cannot be read, or did not end */
};

/* Prepares the check for the answer to the next transfer of `curl`, which is
 * borrowed until fg_http_check_clear(), as is the check. */
void fg_http_check_begin(struct fg_http_check *c, CURL *curl);

/* The transfer has ended without an error. Returns whether its answer is
 * complete and sound. */
bool fg_http_check_end(struct fg_http_check *c);

/* Returns the rule that the answer breaks, or FG_H1_RULE_NONE. */
enum fg_h1_rule fg_http_check_rule(const struct fg_http_check *c);

/* Detaches the check from the handle, which must still exist, and frees its
 * memory. */
void fg_http_check_clear(struct fg_http_check *c);

#endif
