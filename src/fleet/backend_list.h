/* backend_list: the list of backend servers: building, digest and look-up.

   A list is built by backend_list_add and then finalized; only a finalized
   list is sorted and has a digest.  It owns its records, which
   backend_list_clear releases.  */

#ifndef FLEET_BACKEND_LIST_H
#define FLEET_BACKEND_LIST_H

#include "fleet/fleet_defs.h"

/* Append a copy of RECORD.  Returns false if the list already holds
   FLEET_BACKENDS_MAX records.  */
bool backend_list_add (backend_list_t *list, const backend_record_t *record);

/* Add ELAPSED to cold_left of the cold records from index FIRST on.  Used for
   records that were read ELAPSED after list->read_at, because cold_left counts
   from list->read_at.  */
void backend_list_extend_cold_left (backend_list_t *list, size_t first,
                                    usec_t elapsed);

/* Sort the records by id, drop duplicates and compute the digest.  Of several
   records with the same id the one with the latest start is kept.  */
void backend_list_finalize (backend_list_t *list);

/* Mark the cold records of LIST, which was read from the platform, and
   finalize it: a record that is cold for longer than BEFORE, the list read
   before it, told has become cold again.  Without a mark the digest would not
   differ.  */
void backend_list_mark_cold (backend_list_t *list,
                             const backend_list_t *before);

/* Free the records and reset LIST to an empty list.  */
void backend_list_clear (backend_list_t *list);

/* Make COPY a deep copy of SOURCE.  The previous content of COPY is
   overwritten, not freed.  */
void backend_list_copy (backend_list_t *copy, const backend_list_t *source);

/* Whether A and B agree in all that the digest covers; of cold_left that is
   only whether it is greater than 0.  */
bool backend_record_equal (const backend_record_t *a,
                           const backend_record_t *b);

/* A hash that identifies one start of RECORD's backend server.  */
uint64_t backend_record_boot (const backend_record_t *record);

/* Binary search by id in a finalized list.  Returns NULL if no record has
   ID; the result is owned by LIST.  */
const backend_record_t *backend_list_find (const backend_list_t *list,
                                           const char *id);

#endif
