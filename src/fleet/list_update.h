/* list_update: replication of the list of backend servers from the process
   that reads it to its followers, as the full list or as the deltas since the
   list that the follower has.

   A record that no delta names is unchanged, except that its cold_left
   shrinks by the time between the two readings.  */

#ifndef FLEET_LIST_UPDATE_H
#define FLEET_LIST_UPDATE_H

#include "fleet/fleet_defs.h"
#include "fleet/packed.h"
#include "wire/generated/fleet.h"

enum
{
  LIST_DELTAS_MAX = FLEET_WIRE_DELTAS_MAX,
};

typedef struct list_delta
{
  uint64_t from_digest;
  uint64_t to_digest;
  packed_t packed; /* a fleet_delta_t */
} list_delta_t;

/* The encoded list and its recent deltas, kept to serve followers.  Zero
   initialized at first; list_source_clear releases what it owns.  */
typedef struct list_source
{
  size_t n_deltas;
  list_delta_t deltas[LIST_DELTAS_MAX]; /* oldest first; the last one leads to
                                           the current list */
  uint64_t full_digest;                 /* of the list in FULL */
  usec_t full_read_at;
  bool full_has_cold; /* some backend server in FULL is cold */
  packed_t full;      /* a fleet_list_t */
} list_source_t;

/* Record that the list changed from FROM to TO, both finalized.  */
void list_source_record_change (list_source_t *source,
                                const backend_list_t *from,
                                const backend_list_t *to);
void list_source_clear (list_source_t *source);

/* Build the update to LIST for a follower whose list has the digest KNOWN.
   DELTAS has room for LIST_DELTAS_MAX.  The result borrows from SOURCE and
   DELTAS, and is valid until the next call with SOURCE.  */
fleet_list_update_t
list_source_build_update (list_source_t *source, const backend_list_t *list,
                          uint64_t known, fleet_packed_t *deltas, usec_t now);

typedef enum
{
  LIST_UPDATE_UNCHANGED, /* the follower's list is still current */
  LIST_UPDATE_APPLIED,   /* the follower's list was replaced */
  LIST_UPDATE_MISMATCH,  /* the update can't be decoded, or its deltas don't
                            fit the list: request the full list */
} list_update_result_t;

/* Returns when the list that UPDATE describes was read, by the local clock;
   UPDATE arrived at NOW.  */
usec_t list_update_read_at (const fleet_list_update_t *update, usec_t now);

/* Set the time of reading of an unchanged LIST to AT, and shorten cold_left
   of its cold records accordingly.  */
void list_update_advance_time (backend_list_t *list, usec_t at);

/* Apply UPDATE to *LIST.  An update that is older than *LIST, and one that
   fails, leave *LIST as it is.  */
list_update_result_t list_update_apply (const fleet_list_update_t *update,
                                        usec_t now, backend_list_t *list);

#endif
