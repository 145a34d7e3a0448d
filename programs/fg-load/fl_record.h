/*
 * fl_record - what became of the requests: history, summary, shown answers.
 */
#ifndef FL_RECORD_H
#define FL_RECORD_H

#include "fl_check.h"

struct fl_record;

/* NULL with a message on stderr when the history cannot be opened. */
struct fl_record *fl_record_new(const struct fl_conf *conf);
void fl_record_free(struct fl_record *r);

/* An attempt starts and ends; both go to the history. */
void fl_record_invoke(struct fl_record *r, const struct fl_req *req,
		      const char *tag, const char *entry);
void fl_record_return(struct fl_record *r, const struct fl_req *req,
		      const char *tag, const struct fl_answer *answer);

/* The last answer to a request, after `attempts` attempts. */
void fl_record_final(struct fl_record *r, const struct fl_req *req,
		     const struct fl_answer *answer, const char *entry,
		     uint32_t attempts, uint32_t latency_ms);

/* Prints the summary and writes it to conf->summary. Returns the number of
 * answers that were DONE and not whole, with conf->all_done of all that were
 * not DONE and whole. */
uint32_t fl_record_summary(struct fl_record *r, fg_ms duration_ms);

#endif
