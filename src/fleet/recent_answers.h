/* recent_answers: which requests had a complete answer lately.

   Only requests that were running at a crash are remembered in crash_table; a
   request that was answered before its first crash needs more evidence there
   (crash_evidence).  Here each answer is remembered until another one takes
   its place, which a request that is asked for all the time outlasts.

   No I/O and no clock.  Times are usec of the local monotonic clock.  */

#ifndef FLEET_RECENT_ANSWERS_H
#define FLEET_RECENT_ANSWERS_H

#include "base/time_defs.h"
#include "ledger/ledger_defs.h"

enum
{
  RECENT_ANSWERS_MAX = 4096,
};

typedef struct recent_answer
{
  fingerprint_t fingerprint;
  usec_t at; /* 0: none */
} recent_answer_t;

/* All zero at first.  */
typedef struct recent_answers
{
  recent_answer_t slots[RECENT_ANSWERS_MAX];
} recent_answers_t;

/* A complete answer to the request with FINGERPRINT came at AT.  */
void recent_answers_add (recent_answers_t *answers, fingerprint_t fingerprint,
                         usec_t at);

/* When the last remembered answer came; 0: none is remembered.  */
usec_t recent_answers_find (const recent_answers_t *answers,
                            fingerprint_t fingerprint);

#endif
