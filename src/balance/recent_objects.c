#include "balance/recent_objects.h"

#include <stddef.h>

static size_t
find (const recent_objects_t *memory, uint64_t object)
{
  for (size_t i = 0; i < RECENT_OBJECTS_MAX; i++)
    if (memory->objects[i].at > 0 && memory->objects[i].object == object)
      return i;
  return RECENT_OBJECTS_MAX;
}

bool
recent_objects_contains (const recent_objects_t *memory, uint64_t object)
{
  return find (memory, object) < RECENT_OBJECTS_MAX;
}

void
recent_objects_add (recent_objects_t *memory, uint64_t object, usec_t at)
{
  size_t place = find (memory, object);
  if (place == RECENT_OBJECTS_MAX)
    {
      place = 0;
      for (size_t i = 1; i < RECENT_OBJECTS_MAX; i++)
        if (memory->objects[i].at < memory->objects[place].at)
          place = i;
    }
  memory->objects[place].object = object;
  memory->objects[place].at = at;
}

void
recent_objects_clear (recent_objects_t *memory)
{
  *memory = (recent_objects_t){ 0 };
}
