/* answer_class: what a backend server's answer, or its silence, says about a
   request.

   Load pattern: backend servers that lose answers, break them off, add a
   second one, or send one late on a connection that is used again.  */

#ifndef BALANCE_ANSWER_CLASS_H
#define BALANCE_ANSWER_CLASS_H

#include "balance/backend_pool.h"

/* What was seen.  */
typedef struct answer_facts
{
  bool may_be_sent; /* bytes of the request may have left */
  bool is_complete; /* a whole answer came */
  bool id_matches;  /* it bears the request's id */
  bool is_signed;   /* it bears a backend server's signature */
  bool is_encoded;  /* its body is not as the backend server made it */
  bool not_started; /* it says that the request did not run */
  unsigned int status;
} answer_facts_t;

backend_result_t answer_classify (const answer_facts_t *facts);

/* Whether the request may have run, or may run yet.  */
bool answer_may_have_run (const answer_facts_t *facts);

#endif
