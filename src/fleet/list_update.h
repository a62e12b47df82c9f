/* list_update: the list of backend servers on its way from one that reads it
   to those that follow, as a whole or as the deltas since the list that they
   have.

   What a delta leaves out is as it was; a cold one stays cold for as much
   shorter as lies between the two readings.  */

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

/* What is kept to tell others of a list; all zero at first.  */
typedef struct list_source
{
  size_t n_deltas;
  list_delta_t deltas[LIST_DELTAS_MAX]; /* the last one leads to the list */
  uint64_t whole_digest;                /* of the list that WHOLE holds */
  usec_t whole_read_at;
  bool whole_has_cold; /* some backend server in it is cold */
  packed_t whole;
} list_source_t;

/* The list was FROM and is TO now.  */
void list_source_record_change (list_source_t *source,
                                const backend_list_t *from,
                                const backend_list_t *to);
void list_source_clear (list_source_t *source);

/* What a follower that has the list of digest KNOWN is to be told of LIST.
   The result borrows from SOURCE and stands until it is noted to again. DELTAS
   has room for LIST_DELTAS_MAX.  */
fleet_list_update_t
list_source_build_update (list_source_t *source, const backend_list_t *list,
                          uint64_t known, fleet_packed_t *deltas, usec_t now);

typedef enum
{
  LIST_UPDATE_UNCHANGED, /* the list stands */
  LIST_UPDATE_APPLIED,   /* it is another one now */
  LIST_UPDATE_MISMATCH,  /* they don't fit: ask for the whole list */
} list_update_result_t;

/* The list is as it was, but read at AT.  */
void list_update_advance_time (backend_list_t *list, usec_t at);

/* Follow UPDATE in *LIST.  An older reading than *LIST changes nothing.  */
list_update_result_t list_update_apply (const fleet_list_update_t *update,
                                        usec_t now, backend_list_t *list);

#endif
