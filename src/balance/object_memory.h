/* object_memory: which objects a router has lately sent to one backend
   server.  Pure.  */

#ifndef BALANCE_OBJECT_MEMORY_H
#define BALANCE_OBJECT_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time_defs.h"

enum
{
  OBJECTS_REMEMBERED = 24, /* a backend server forgets the oldest */
};

typedef struct object_memory
{
  struct
  {
    uint64_t object;
    usec_t at; /* 0: free */
  } objects[OBJECTS_REMEMBERED];
} object_memory_t;

bool object_memory_has (const object_memory_t *memory, uint64_t object);

/* OBJECT was handled at AT; the one that was handled longest ago gives way. */
void object_memory_note (object_memory_t *memory, uint64_t object, usec_t at);

void object_memory_clear (object_memory_t *memory);

#endif
