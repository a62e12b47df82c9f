#include "balance/recent_objects.h"

#include <stddef.h>

static size_t
find (const recent_objects_t *recent, uint64_t object_hash)
{
  for (size_t i = 0; i < RECENT_OBJECTS_MAX; i++)
    if (recent->objects[i].at > 0
        && recent->objects[i].object_hash == object_hash)
      return i;
  return RECENT_OBJECTS_MAX;
}

bool
recent_objects_contains (const recent_objects_t *recent, uint64_t object_hash)
{
  return find (recent, object_hash) < RECENT_OBJECTS_MAX;
}

void
recent_objects_add (recent_objects_t *recent, uint64_t object_hash, usec_t at)
{
  size_t index = find (recent, object_hash);
  if (index == RECENT_OBJECTS_MAX)
    {
      index = 0;
      for (size_t i = 1; i < RECENT_OBJECTS_MAX; i++)
        if (recent->objects[i].at < recent->objects[index].at)
          index = i;
    }
  recent->objects[index].object_hash = object_hash;
  recent->objects[index].at = at;
}

void
recent_objects_clear (recent_objects_t *recent)
{
  *recent = (recent_objects_t){ 0 };
}
