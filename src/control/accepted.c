#include "control/accepted.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "shift/sheet.h"

enum
{
  PATH_BYTES = 512,
};

struct accepted
{
  const topology_t *topology;
  char folder[PATH_BYTES / 2];
  pthread_mutex_t lock; /* guards what follows */
  char *text;
  size_t length;
  uint64_t number;
};

static bool
storage_error (err_t *err, const char *path, int why)
{
  return err_set (err, ERR_STORAGE,
                  "check the data folder's disk, its space and its owner",
                  "%s: %s", path, strerror (why));
}

static bool
write_all (int fd, const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t n = write (fd, bytes, length);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      bytes += n;
      length -= (size_t)n;
    }
  return true;
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

/* Replace the file by TEXT; it lasts once this returns true.  */
static bool
store (const accepted_t *accepted, const char *text, size_t length, err_t *err)
{
  char path[PATH_BYTES];
  char temporary[PATH_BYTES];
  snprintf (path, sizeof path, "%s/sheet", accepted->folder);
  snprintf (temporary, sizeof temporary, "%s/sheet.new", accepted->folder);
  int fd = open (temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0)
    return storage_error (err, temporary, errno);
  bool ok = write_all (fd, text, length) && fsync (fd) == 0;
  int why = errno;
  close (fd);
  if (!ok)
    return storage_error (err, temporary, why);
  if (rename (temporary, path) != 0 || !sync_folder (accepted->folder))
    return storage_error (err, path, errno);
  return true;
}

static void
take (accepted_t *accepted, const char *text, size_t length, uint64_t number)
{
  char *copy = strndup (text, length);
  if (!copy)
    abort ();
  free (accepted->text);
  accepted->text = copy;
  accepted->length = length;
  accepted->number = number;
}

static bool
load (accepted_t *accepted, err_t *err)
{
  char path[PATH_BYTES];
  snprintf (path, sizeof path, "%s/sheet", accepted->folder);
  FILE *file = fopen (path, "rb");
  if (!file)
    return errno == ENOENT || storage_error (err, path, errno);
  char *text = malloc (SHEET_BYTES_MAX + 1);
  if (!text)
    abort ();
  size_t length = fread (text, 1, SHEET_BYTES_MAX + 1, file);
  fclose (file);
  sheet_faults_t faults;
  sheet_t *sheet
      = sheet_parse (text, length, accepted->topology, &faults, err);
  if (sheet)
    take (accepted, text, length, sheet->number);
  else
    err_prefix (err, "%s", path);
  bool ok = sheet != NULL;
  sheet_free (sheet);
  free (text);
  return ok;
}

accepted_t *
accepted_open (const char *folder, const topology_t *topology, err_t *err)
{
  accepted_t *accepted = calloc (1, sizeof *accepted);
  if (!accepted)
    abort ();
  accepted->topology = topology;
  pthread_mutex_init (&accepted->lock, NULL);
  snprintf (accepted->folder, sizeof accepted->folder, "%s", folder);
  if (mkdir (folder, 0700) != 0 && errno != EEXIST)
    storage_error (err, folder, errno);
  else if (load (accepted, err))
    return accepted;
  accepted_close (accepted);
  return NULL;
}

void
accepted_close (accepted_t *accepted)
{
  pthread_mutex_destroy (&accepted->lock);
  free (accepted->text);
  free (accepted);
}

/* Whether the parsed sheet may follow the newest one; *KNOWN is set where it
   is the newest one again.  */
static bool
may_follow (const accepted_t *accepted, const sheet_t *sheet, const char *text,
            size_t length, bool *known, err_t *err)
{
  *known = sheet->number == accepted->number && length == accepted->length
           && memcmp (text, accepted->text, length) == 0;
  if (*known || sheet->number > accepted->number)
    return true;
  if (sheet->number == accepted->number)
    return err_set (err, ERR_CONFLICT,
                    "read the accepted sheet, then submit yours under a "
                    "higher number",
                    "another sheet has the number %llu already",
                    (unsigned long long)sheet->number);
  return err_set (err, ERR_STALE, "submit it under a higher number",
                  "the number %llu is below the accepted %llu",
                  (unsigned long long)sheet->number,
                  (unsigned long long)accepted->number);
}

bool
accepted_submit (accepted_t *accepted, const char *text, size_t length,
                 uint64_t *number, err_t *err)
{
  sheet_faults_t faults;
  sheet_t *sheet
      = sheet_parse (text, length, accepted->topology, &faults, err);
  if (!sheet)
    return false;
  *number = sheet->number;
  pthread_mutex_lock (&accepted->lock);
  bool known = false;
  bool ok = may_follow (accepted, sheet, text, length, &known, err);
  if (ok && !known)
    {
      ok = store (accepted, text, length, err);
      if (ok)
        take (accepted, text, length, sheet->number);
    }
  pthread_mutex_unlock (&accepted->lock);
  sheet_free (sheet);
  return ok;
}

char *
accepted_newer (accepted_t *accepted, uint64_t version, size_t *length,
                uint64_t *number)
{
  char *copy = NULL;
  pthread_mutex_lock (&accepted->lock);
  if (accepted->number > version)
    {
      copy = malloc (accepted->length + 1);
      if (!copy)
        abort ();
      memcpy (copy, accepted->text, accepted->length + 1);
      *length = accepted->length;
      *number = accepted->number;
    }
  pthread_mutex_unlock (&accepted->lock);
  return copy;
}
