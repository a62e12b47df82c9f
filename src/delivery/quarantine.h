/* quarantine: fingerprints of requests that were in flight on a backend
   server when it crashed.

   One crash makes a fingerprint a suspect: it runs only alone, that is one
   request of it at a time, on a backend server where no other suspect is in
   flight.  A whole answer clears it.  A second crash quarantines it: it is
   refused as "not run" everywhere until it expires.  Where several backend
   servers crash at once (a rack, a switch) the crashes make suspects, but
   quarantine none.  Entry VMs send each other what they know; a crash is
   named by the VM that saw it, so hearing of it twice counts once.  */

#ifndef DELIVERY_QUARANTINE_H
#define DELIVERY_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/time_defs.h"
#include "ledger/ledger_defs.h"

enum
{
  QUARANTINE_CRASH_THRESHOLD = 2, /* that a fingerprint may cause */
  QUARANTINE_MARKS_MAX = 4,       /* crashes remembered of one fingerprint */
  QUARANTINE_MESSAGE_MARKS_MAX = 64, /* in one message */
  QUARANTINE_CORRELATED_CRASHES = 3, /* backend servers that crash together for
                                  another cause than one request */
};

typedef struct quarantine quarantine_t;

typedef struct quarantine_options
{
  vm_id_t self;
  uint64_t incarnation;
  size_t max_fingerprints;
  usec_t suspect_ttl;        /* of one crash's mark */
  usec_t quarantine_ttl;     /* after the second crash */
  usec_t correlation_window; /* crashes within it may have one cause */
} quarantine_options_t;

typedef enum
{
  QUARANTINE_ALLOW,         /* unknown or cleared */
  QUARANTINE_ALLOW_ALONE,   /* a suspect: may run here, alone */
  QUARANTINE_TRY_ELSEWHERE, /* a suspect, and one runs already: try elsewhere
                             */
  QUARANTINE_REFUSE,        /* "not run" */
} quarantine_verdict_t;

/* One crash that one fingerprint was in flight at.  */
typedef struct quarantine_mark
{
  fingerprint_t fingerprint;
  vm_id_t seen_by;
  uint64_t incarnation; /* of the VM that saw it */
  uint64_t number;      /* of the crash at that VM */
  usec_t age;
  bool cleared;    /* a whole answer came since */
  bool correlated; /* other backend servers crashed at the same time */
} quarantine_mark_t;

typedef struct quarantine_message
{
  size_t n;
  quarantine_mark_t marks[QUARANTINE_MESSAGE_MARKS_MAX];
} quarantine_message_t;

/* The fingerprint of a request.  */
fingerprint_t quarantine_fingerprint (const char *service, const char *method,
                                      const char *path, const void *body,
                                      size_t n_body);

quarantine_t *quarantine_new (const quarantine_options_t *options, err_t *err);
void quarantine_free (quarantine_t *quarantine);

/* May a request with FINGERPRINT go to BACKEND?  Changes nothing.  */
quarantine_verdict_t quarantine_check (const quarantine_t *quarantine,
                                       fingerprint_t fingerprint,
                                       uint32_t backend, usec_t now);

/* It was sent; it ended.  WHOLE where a whole answer came.  */
void quarantine_on_send (quarantine_t *quarantine, fingerprint_t fingerprint,
                         uint32_t backend, usec_t now);
void quarantine_on_end (quarantine_t *quarantine, fingerprint_t fingerprint,
                        uint32_t backend, bool whole, usec_t now);

/* BACKEND crashed with IN_FLIGHT on it.  Call it in place of
   quarantine_on_end for these.  Returns true where others should hear of it
   before the callers do (quarantine_has_unsent).  */
bool quarantine_on_crash (quarantine_t *quarantine, uint32_t backend,
                          const fingerprint_t *in_flight, size_t n_in_flight,
                          usec_t now);

/* What others should hear: marks not yet sent first, then older ones in
   turn.  */
void quarantine_write (quarantine_t *quarantine, quarantine_message_t *message,
                       usec_t now);

/* Hear it.  In any order, any number of times.  */
void quarantine_merge (quarantine_t *quarantine,
                       const quarantine_message_t *message, usec_t now);

/* Whether marks stand that were never written to a message.  */
bool quarantine_has_unsent (const quarantine_t *quarantine);

size_t quarantine_count (const quarantine_t *quarantine, usec_t now);

#endif
