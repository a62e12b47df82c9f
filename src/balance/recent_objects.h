/* recent_objects: which objects a router has lately sent to one backend
   server.  Pure.  */

#ifndef BALANCE_RECENT_OBJECTS_H
#define BALANCE_RECENT_OBJECTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time_defs.h"

enum
{
  RECENT_OBJECTS_MAX = 24, /* a backend server forgets the oldest */
};

typedef struct recent_objects
{
  struct
  {
    uint64_t object;
    usec_t at; /* 0: free */
  } objects[RECENT_OBJECTS_MAX];
} recent_objects_t;

bool recent_objects_contains (const recent_objects_t *memory, uint64_t object);

/* OBJECT was handled at AT; the one that was handled longest ago gives way. */
void recent_objects_add (recent_objects_t *memory, uint64_t object, usec_t at);

void recent_objects_clear (recent_objects_t *memory);

#endif
