/* quarantine: fingerprints of requests that were in flight on a backend
   server when it crashed.

   One crash makes a fingerprint a suspect: at most one request with it runs
   at a time, and only on a backend server where no other suspect is in
   flight.  A complete answer clears a suspect.  A second crash quarantines
   the fingerprint: all requests with it are refused as "not run" until the
   quarantine expires.  Where several backend servers crash at about the same
   time (a rack or a switch failed), the crashes make suspects but quarantine
   nothing.

   Entry VMs exchange their crash records, called marks.  A mark is
   identified by the VM that observed the crash, that VM's incarnation and
   the number of the crash there, so that receiving it twice counts once.  */

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
  QUARANTINE_CRASH_THRESHOLD = 2, /* crashes that quarantine a fingerprint */
  QUARANTINE_MARKS_MAX = 4,       /* marks kept for one fingerprint */
  QUARANTINE_MESSAGE_MARKS_MAX = 64, /* marks in one message */
  QUARANTINE_CORRELATED_CRASHES = 3, /* crashes within the window that point
                                        to another cause than one request */
};

typedef struct quarantine quarantine_t;

typedef struct quarantine_options
{
  vm_id_t self;
  uint64_t incarnation; /* of this VM */
  size_t max_fingerprints;
  usec_t suspect_ttl;        /* how long one crash makes a suspect */
  usec_t quarantine_ttl;     /* how long a crash counts to the threshold */
  usec_t correlation_window; /* crashes within it may have a common cause */
} quarantine_options_t;

typedef enum
{
  QUARANTINE_ALLOW,         /* not a suspect */
  QUARANTINE_ALLOW_ALONE,   /* a suspect that may run here now */
  QUARANTINE_TRY_ELSEWHERE, /* a suspect, and a request with this fingerprint
                               or another suspect here is in flight */
  QUARANTINE_REFUSE,        /* quarantined: refuse as "not run" */
} quarantine_verdict_t;

/* The record of one crash with one fingerprint in flight.  */
typedef struct quarantine_mark
{
  fingerprint_t fingerprint;
  vm_id_t seen_by;      /* the VM that observed the crash */
  uint64_t incarnation; /* of that VM */
  uint64_t number;      /* of the crash, counted by that VM */
  usec_t age;           /* since the crash */
  bool cleared;         /* a complete answer came after the crash */
  bool correlated; /* other backend servers crashed at about the same time */
} quarantine_mark_t;

typedef struct quarantine_message
{
  size_t n; /* marks */
  quarantine_mark_t marks[QUARANTINE_MESSAGE_MARKS_MAX];
} quarantine_message_t;

/* The fingerprint of a request: a hash of SERVICE, METHOD, PATH and the
   N_BODY bytes of BODY.  */
fingerprint_t quarantine_fingerprint (const char *service, const char *method,
                                      const char *path, const void *body,
                                      size_t n_body);

/* Returns NULL with ERR_SETTINGS where max_fingerprints is 0 or more than
   the memory holds.  */
quarantine_t *quarantine_new (const quarantine_options_t *options, err_t *err);
void quarantine_free (quarantine_t *quarantine);

/* Whether a request with FINGERPRINT may be sent to BACKEND.  Changes
   nothing.  */
quarantine_verdict_t quarantine_check (const quarantine_t *quarantine,
                                       fingerprint_t fingerprint,
                                       uint32_t backend, usec_t now);

/* A request with FINGERPRINT was sent to BACKEND.  */
void quarantine_on_send (quarantine_t *quarantine, fingerprint_t fingerprint,
                         uint32_t backend, usec_t now);

/* The request ended without a crash of BACKEND.  COMPLETE is true where its
   whole answer arrived, which clears the fingerprint's marks, unless it is
   quarantined.  */
void quarantine_on_end (quarantine_t *quarantine, fingerprint_t fingerprint,
                        uint32_t backend, bool complete, usec_t now);

/* BACKEND crashed while the requests with the fingerprints IN_FLIGHT were
   running on it.  Replaces quarantine_on_end for these requests.  Returns
   true where the other entry VMs should receive the new marks
   (quarantine_write) before the callers are answered.  */
bool quarantine_on_crash (quarantine_t *quarantine, uint32_t backend,
                          const fingerprint_t *in_flight, size_t n_in_flight,
                          usec_t now);

/* Fill MESSAGE for the other entry VMs: first the marks that are new or
   changed since they were last written, then older ones in rotation.  */
void quarantine_write (quarantine_t *quarantine, quarantine_message_t *message,
                       usec_t now);

/* Merge a message of another entry VM.  Messages may arrive in any order and
   any number of times; all VMs that received the same marks agree.  */
void quarantine_merge (quarantine_t *quarantine,
                       const quarantine_message_t *message, usec_t now);

/* Whether marks exist that are new or changed since quarantine_write last
   wrote them.  */
bool quarantine_has_unsent (const quarantine_t *quarantine);

/* The number of quarantined fingerprints.  */
size_t quarantine_count (const quarantine_t *quarantine, usec_t now);

#endif
