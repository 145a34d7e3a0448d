/*
 * fl_record - records the results of the requests: history, summary and
 * printed answers. All functions are thread-safe except for new, free and
 * summary.
 */
#ifndef FL_RECORD_H
#define FL_RECORD_H

#include "fl_check.h"

struct fl_record;

/* conf is borrowed. Returns NULL after an error message if the history cannot
 * be opened. */
struct fl_record *fl_record_new(const struct fl_conf *conf);
void fl_record_free(struct fl_record *r);

/* Write the start and the end of an attempt to the history. `tag` identifies
 * the attempt, `entry` is the address it is sent to. */
void fl_record_invoke(struct fl_record *r, const struct fl_req *req,
		      const char *tag, const char *entry);
void fl_record_return(struct fl_record *r, const struct fl_req *req,
		      const char *tag, const struct fl_answer *answer);

/* Counts the final answer to a request, after `attempts` attempts. */
void fl_record_final(struct fl_record *r, const struct fl_req *req,
		     const struct fl_answer *answer, const char *entry,
		     uint32_t attempts, uint32_t latency_ms);

/* Prints the summary and writes it to conf->summary. Returns the number of
 * answers that were DONE but not whole. With conf->all_done, returns the number
 * of all answers that were not both DONE and whole. */
uint32_t fl_record_summary(struct fl_record *r, fg_ms duration_ms);

#endif
