/* answer_class: classifies the answer of a backend server to a request, or its
   absence.  Pure.

   Load pattern: backend servers lose answers, truncate them, send a second
   answer to a request, or send an answer late on a connection that already
   carries the next request.  */

#ifndef BALANCE_ANSWER_CLASS_H
#define BALANCE_ANSWER_CLASS_H

#include "balance/backend_pool.h"

/* What was observed of a call.  */
typedef struct answer_facts
{
  bool may_have_been_sent; /* bytes of the request may have left this VM */
  bool is_complete;        /* a complete answer was received */
  bool is_foreign;  /* the head of an answer was received, and does not carry
                       the id of this request, which has one */
  bool was_reused;  /* the connection had carried another request before */
  bool id_matches;  /* the answer carries the id of this request */
  bool is_signed;   /* the answer carries a backend server's signature */
  bool is_encoded;  /* the body is not as the backend server sent it */
  bool not_started; /* the answer says that the request did not start to run */
  unsigned int status; /* HTTP status */
} answer_facts_t;

backend_result_t answer_classify (const answer_facts_t *facts);

/* The name of RESULT in logs, for example "refused"; a static string.  */
const char *answer_class_name (backend_result_t result);

/* Returns whether the request may have run or may still run: unless nothing
   was sent, or the answer states the contrary.  If false, the
   request can be sent to another backend server even if it is not
   idempotent.  */
bool answer_may_have_run (const answer_facts_t *facts);

/* Returns whether the answer is one that a backend server gives a caller whose
   requests it limits: 408 or 429 without the statement that the request has
   not run.  It tells nothing of other callers' requests, and gets no retry. */
bool answer_limits_caller (const answer_facts_t *facts);

/* Returns whether the answer shows that the request ran to its end.  A backend
   server that answers with a timeout has stopped the run before that.  */
bool answer_shows_complete_run (const answer_facts_t *facts);

#endif
