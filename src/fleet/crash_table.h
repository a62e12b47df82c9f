/* crash_table: requests that were running at backend servers when these
   ended.

   A request that crashes each backend server that runs it (a poison request)
   comes again and again, at any router.  Each router reports the crashes that
   it saw; the directors merge the reports and tell all routers which requests
   are quarantined.

   Many requests are cut off when one backend server ends, and all but one of
   them are innocent.  A request is quarantined only if it was running at
   CRASHES_UNTIL_QUARANTINE crashes one after the other: each run was sent
   after the crash before it.  Crashes at about the same time, such as those of
   a whole rack, count as one.  A complete answer discards all earlier crashes
   of the request, as does an operator's release.  After CRASH_LIFETIME a crash
   no longer counts, so that the request is tried again when the backend
   servers may have been mended.

   No I/O and no clock.  Times are usec of the local monotonic clock.  */

#ifndef FLEET_CRASH_TABLE_H
#define FLEET_CRASH_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "ledger/ledger_defs.h"

enum
{
  CRASHES_UNTIL_QUARANTINE = 3,
  CRASHES_PER_SUSPECT_MAX = 8,
  SUSPECTS_MAX = 512,
  QUARANTINED_MAX = 256,
  FINGERPRINT_TEXT_BYTES = 33, /* with the NUL */
};

#define CRASH_LIFETIME (10 * 60 * USEC_PER_SEC)
/* The list of backend servers shows within this time that one has ended.  */
#define UNCONFIRMED_CRASH_LIFETIME (10 * USEC_PER_SEC)

/* One run of a request that ended without a complete answer.  */
typedef struct crash
{
  uint64_t boot; /* backend_record_boot of the backend server */
  usec_t sent_at;
  usec_t ended_at;
  bool is_confirmed; /* the backend server has ended, not only the
                        connection */
} crash_t;

typedef struct suspect
{
  fingerprint_t fingerprint;
  usec_t completed_at; /* of the last complete answer or release; 0: none */
  usec_t released_at;  /* of an operator's last release; 0: none */
  size_t n_crashes;
  crash_t crashes[CRASHES_PER_SUSPECT_MAX]; /* by ended_at */
  uint64_t n_dropped; /* crashes for which there was no room */
  uint64_t changed;   /* value of the table's `sequence` at the last change of
                         what other VMs have to learn */
} suspect_t;

/* All zero at first.  */
typedef struct crash_table
{
  uint64_t sequence; /* of changes */
  size_t n_suspects;
  suspect_t suspects[SUSPECTS_MAX]; /* least recently changed first */
} crash_table_t;

/* Add CRASH of the request with FINGERPRINT, once for each boot.  A full table
   drops the suspect that changed least recently and is not quarantined.
   Returns true if the table changed.  */
bool crash_table_add (crash_table_t *table, fingerprint_t fingerprint,
                      const crash_t *crash, usec_t now);

/* The backend server BOOT has ended: confirm its crashes.  Returns how many
   requests were running there.  */
size_t crash_table_confirm (crash_table_t *table, uint64_t boot);

/* A complete answer to the request with FINGERPRINT came at AT.  If it is not
   a suspect, it is added if ADDS is true, and ignored otherwise.  Returns true
   if the table changed.  */
bool crash_table_complete (crash_table_t *table, fingerprint_t fingerprint,
                           usec_t at, bool adds);

/* An operator has released the request with FINGERPRINT at AT: crashes before
   that do not count any more, nor do later reports of them.  Returns true if
   the table changed.  */
bool crash_table_release (crash_table_t *table, fingerprint_t fingerprint,
                          usec_t at);

/* Drop the crashes that are too old to count, and suspects without any.
   Returns how many of these crashes were never confirmed.  */
size_t crash_table_expire (crash_table_t *table, usec_t now);

/* NULL if there is none.  Valid until the table changes.  */
const suspect_t *crash_table_find (const crash_table_t *table,
                                   fingerprint_t fingerprint);

/* The number of SUSPECT's crashes one after the other since the last complete
   answer, with the unconfirmed ones if WITH_UNCONFIRMED is true.  */
size_t suspect_count (const suspect_t *suspect, bool with_unconfirmed);

/* The number of SUSPECT's crashes that are confirmed.  */
size_t suspect_n_confirmed (const suspect_t *suspect);

bool suspect_is_quarantined (const suspect_t *suspect);

/* Write the quarantined fingerprints, sorted, to OUT.  Returns how many.  */
size_t crash_table_quarantined (const crash_table_t *table,
                                fingerprint_t out[QUARANTINED_MAX]);

/* Whether the N fingerprints of SORTED contain FINGERPRINT.  */
bool fingerprints_contain (const fingerprint_t *sorted, size_t n,
                           fingerprint_t fingerprint);

/* A hash of the N fingerprints of SORTED; 0 if there are none.  */
uint64_t fingerprints_digest (const fingerprint_t *sorted, size_t n);

/* FINGERPRINT as 32 hexadecimal digits, for logs and operators.  */
void fingerprint_format (fingerprint_t fingerprint,
                         char text[FINGERPRINT_TEXT_BYTES]);

/* The reverse of fingerprint_format.  Returns false if TEXT has another
   form.  */
bool fingerprint_parse (fingerprint_t *fingerprint, const char *text);

#endif
