/* recent_objects: the objects (hashes of affinity keys) of the requests that a
   router sent to one backend server most recently.  Pure.  */

#ifndef BALANCE_RECENT_OBJECTS_H
#define BALANCE_RECENT_OBJECTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time_defs.h"

enum
{
  /* A backend server caches a limited number of objects and evicts the least
     recently used one.  */
  RECENT_OBJECTS_MAX = 24,
};

/* Zero-initialized: empty.  */
typedef struct recent_objects
{
  struct
  {
    uint64_t object_hash;
    usec_t at; /* of the last request; 0: unused entry */
  } objects[RECENT_OBJECTS_MAX];
} recent_objects_t;

bool recent_objects_contains (const recent_objects_t *recent,
                              uint64_t object_hash);

/* Adds an object, or updates its time.  Replaces the least recently used
   object if there is no free entry.  AT must be greater than 0.  */
void recent_objects_add (recent_objects_t *recent, uint64_t object_hash,
                         usec_t at);

void recent_objects_clear (recent_objects_t *recent);

#endif
