#include "director/roster_file.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/inet.h"

enum
{
  PATH_BYTES = 512,
  TEXT_BYTES = ROSTER_MAX * INET_TEXT_BYTES,
};

static bool
set_storage_error (err_t *err, const char *folder)
{
  return err_set (err, ERR_STORAGE,
                  "check the disk, free space and owner of the data folder",
                  "cannot read or write the roster in %s: %s", folder,
                  strerror (errno));
}

/* A shorter roster would have other majorities, so a damaged file is never
   read in part.  */
static bool
set_damaged_error (err_t *err, const char *path, size_t line)
{
  return err_set (err, ERR_STORAGE,
                  "remove this file; the director asks the others for the "
                  "roster",
                  "%s: line %zu is not one of at most %d addresses", path,
                  line, ROSTER_MAX);
}

bool
roster_file_load (const char *folder, roster_t *roster, err_t *err)
{
  char path[PATH_BYTES];
  *roster = (roster_t){ 0 };
  snprintf (path, sizeof path, "%s/roster", folder);
  FILE *file = fopen (path, "r");
  if (!file)
    return errno == ENOENT || set_storage_error (err, folder);
  char line[INET_TEXT_BYTES];
  while (roster->n_slots < ROSTER_MAX && fgets (line, sizeof line, file))
    {
      line[strcspn (line, "\n")] = '\0';
      if (!inet_parse_address (&roster->addresses[roster->n_slots], line))
        {
          fclose (file);
          return set_damaged_error (err, path, roster->n_slots + 1);
        }
      roster->n_slots++;
    }
  bool ok = !ferror (file);
  bool is_longer = ok && fgetc (file) != EOF;
  fclose (file);
  if (is_longer)
    return set_damaged_error (err, path, roster->n_slots + 1);
  return ok || set_storage_error (err, folder);
}

static bool
write_synced (const char *path, const char *text, size_t length)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0)
    return false;
  bool ok = write (fd, text, length) == (ssize_t)length && fsync (fd) == 0;
  return close (fd) == 0 && ok;
}

static bool
sync_folder (const char *folder)
{
  int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0)
    return false;
  bool ok = fsync (fd) == 0;
  close (fd);
  return ok;
}

bool
roster_file_save (const char *folder, const roster_t *roster, err_t *err)
{
  char text[TEXT_BYTES];
  char path[PATH_BYTES];
  char new_path[PATH_BYTES];
  size_t used = 0;
  for (size_t i = 0; i < roster->n_slots; i++)
    {
      char address[INET_TEXT_BYTES];
      inet_format_address (roster->addresses[i], address);
      used += (size_t)snprintf (text + used, sizeof text - used, "%s\n",
                                address);
    }
  snprintf (path, sizeof path, "%s/roster", folder);
  snprintf (new_path, sizeof new_path, "%s/roster.new", folder);
  if (write_synced (new_path, text, used) && rename (new_path, path) == 0
      && sync_folder (folder))
    return true;
  return set_storage_error (err, folder);
}
