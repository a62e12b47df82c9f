/* backend_list: the list of backend servers, as it is passed around.  */

#ifndef FLEET_BACKEND_LIST_H
#define FLEET_BACKEND_LIST_H

#include "fleet/fleet_defs.h"

/* Append RECORD; false where the list is full.  */
bool backend_list_add (backend_list_t *list, const backend_record_t *record);

/* The cold spans from record FIRST on were told LATE after the list was begun,
   but are to count from its beginning.  */
void backend_list_extend_cold_left (backend_list_t *list, size_t first,
                                    usec_t late);

/* Sort the records by id and work out the digest.  Of two records with one id
   the later start holds.  */
void backend_list_finalize (backend_list_t *list);

void backend_list_clear (backend_list_t *list);

/* A deep copy.  */
void backend_list_copy (backend_list_t *into, const backend_list_t *from);

/* Whether they differ in nothing that the digest covers.  */
bool backend_record_equal (const backend_record_t *a,
                           const backend_record_t *b);

/* NULL where no record has ID.  */
const backend_record_t *backend_list_find (const backend_list_t *list,
                                           const char *id);

#endif
