#include "raw_backend.h"

#include <stdio.h>

enum
{
  PATH_BYTES = 512,
};

static FILE *
open_file (const char *folder, unsigned int port, const char *mode)
{
  char path[PATH_BYTES];
  snprintf (path, sizeof path, "%s/instance-%u", folder, port);
  return fopen (path, mode);
}

void
raw_backend_load_instance (const char *folder, unsigned int port,
                           char instance[ID_BYTES])
{
  FILE *file = open_file (folder, port, "re");
  if (!file)
    return;
  if (fscanf (file, "%127s", instance) != 1)
    instance[0] = '\0';
  fclose (file);
}

void
raw_backend_store_instance (const char *folder, unsigned int port,
                            const char *instance)
{
  FILE *file = open_file (folder, port, "we");
  if (!file)
    {
      perror ("fake-raw-backend: can't store the instance");
      return;
    }
  fprintf (file, "%s\n", instance);
  fclose (file);
}
