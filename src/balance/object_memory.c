#include "balance/object_memory.h"

#include <stddef.h>

static size_t
find (const object_memory_t *memory, uint64_t object)
{
  for (size_t i = 0; i < OBJECTS_REMEMBERED; i++)
    if (memory->objects[i].at > 0 && memory->objects[i].object == object)
      return i;
  return OBJECTS_REMEMBERED;
}

bool
object_memory_has (const object_memory_t *memory, uint64_t object)
{
  return find (memory, object) < OBJECTS_REMEMBERED;
}

void
object_memory_note (object_memory_t *memory, uint64_t object, usec_t at)
{
  size_t place = find (memory, object);
  if (place == OBJECTS_REMEMBERED)
    {
      place = 0;
      for (size_t i = 1; i < OBJECTS_REMEMBERED; i++)
        if (memory->objects[i].at < memory->objects[place].at)
          place = i;
    }
  memory->objects[place].object = object;
  memory->objects[place].at = at;
}

void
object_memory_clear (object_memory_t *memory)
{
  *memory = (object_memory_t){ 0 };
}
