/* crash_table: requests that were running at backend servers when these
   ended.

   A request that crashes each backend server that runs it (a poison request)
   comes again and again, at any router.  Each router reports the crashes that
   it saw; the directors merge the reports and tell all routers which requests
   are quarantined.

   Many requests are cut off when one backend server ends, and all but one of
   them are innocent; crash_evidence tells them apart.  A complete answer
   discards all earlier crashes of the request, as does an operator's release.
   After CRASH_LIFETIME a crash no longer counts, so that the request is tried
   again when the backend servers may have been mended.

   What is dropped for want of room: of a request's crashes those between the
   oldest and the newest (see crash_defs), counted in n_dropped; of the
   requests the one that changed least recently, whose evidence begins anew.

   No I/O and no clock.  Times are usec of the local monotonic clock.  */

#ifndef FLEET_CRASH_TABLE_H
#define FLEET_CRASH_TABLE_H

#include "fleet/crash_defs.h"

enum
{
  SUSPECTS_MAX = 512,
  QUARANTINED_MAX = 256,
  FINGERPRINT_TEXT_BYTES = 33, /* with the NUL */
};

#define CRASH_LIFETIME (10 * 60 * USEC_PER_SEC)
/* The list of backend servers shows within this time that one has ended.  */
#define UNCONFIRMED_CRASH_LIFETIME (10 * USEC_PER_SEC)

/* All zero at first.  */
typedef struct crash_table
{
  uint64_t sequence; /* of changes */
  bool is_judged;    /* is_quarantined of all suspects is up to date */
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

/* Whether the crashes of the request with FINGERPRINT show that it ends
   backend servers.  */
bool crash_table_is_quarantined (crash_table_t *table,
                                 fingerprint_t fingerprint);

/* Write the quarantined fingerprints, sorted, to OUT.  Returns how many.  */
size_t crash_table_quarantined (crash_table_t *table,
                                fingerprint_t out[QUARANTINED_MAX]);

/* The same for those that are on trial and not quarantined
   (suspect_is_on_trial).  */
size_t crash_table_on_trial (crash_table_t *table,
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
