/* fault-shim: loaded before libc into a process under test, it lends it a disk
   and a time of day that misbehave.  The variable FAULT_CONTROL names a file
   with words and numbers, which may change at any time:

     full        regular files take no more bytes
     short       a write to a regular file takes half of its bytes, or none of
                 one
     sync        syncs of files and folders fail
     create      no file or folder is created
     rename      no file is renamed
     truncate    no file's length is set
     slow MS     each sync of a file takes MS longer
     step MS     the time of day is MS ahead (behind where it is below 0)

   What fails does so as on a full disk, with ENOSPC.  */

#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum
{
  MSEC_PER_SEC = 1000,
  NSEC_PER_MSEC = 1000 * 1000,
  STANDARD_STREAMS = 3,
};

typedef struct fault
{
  bool is_full;
  bool is_short;
  bool refuses_sync;
  bool refuses_create;
  bool refuses_rename;
  bool refuses_truncate;
  long slow_msec;
  long step_msec;
} fault_t;

/* The number that follows a word; 0 where none does.  */
static long
read_number (FILE *file)
{
  long number = 0;
  return fscanf (file, "%ld", &number) == 1 ? number : 0;
}

static fault_t
fault_read (void)
{
  fault_t fault = { 0 };
  const char *path = getenv ("FAULT_CONTROL");
  FILE *file = path ? fopen (path, "re") : NULL;
  if (!file)
    return fault;
  char word[16];
  while (fscanf (file, "%15s", word) == 1)
    {
      if (strcmp (word, "full") == 0)
        fault.is_full = true;
      else if (strcmp (word, "short") == 0)
        fault.is_short = true;
      else if (strcmp (word, "sync") == 0)
        fault.refuses_sync = true;
      else if (strcmp (word, "create") == 0)
        fault.refuses_create = true;
      else if (strcmp (word, "rename") == 0)
        fault.refuses_rename = true;
      else if (strcmp (word, "truncate") == 0)
        fault.refuses_truncate = true;
      else if (strcmp (word, "slow") == 0)
        fault.slow_msec = read_number (file);
      else if (strcmp (word, "step") == 0)
        fault.step_msec = read_number (file);
    }
  fclose (file);
  return fault;
}

static bool
is_data (int fd)
{
  struct stat status;
  return fd >= STANDARD_STREAMS && fstat (fd, &status) == 0
         && S_ISREG (status.st_mode);
}

/* Whether REFUSES holds, with ENOSPC as the error.  */
static bool
is_refused (bool refuses)
{
  if (refuses)
    errno = ENOSPC;
  return refuses;
}

static void
wait_for_disk (const fault_t *fault)
{
  const struct timespec span
      = { .tv_sec = fault->slow_msec / MSEC_PER_SEC,
          .tv_nsec = fault->slow_msec % MSEC_PER_SEC * NSEC_PER_MSEC };
  if (fault->slow_msec > 0)
    nanosleep (&span, NULL);
}

/* How many of N bytes a write to FD may take; 0 where it is refused.  */
static size_t
bytes_taken (int fd, size_t n)
{
  if (!is_data (fd))
    return n;
  const fault_t fault = fault_read ();
  size_t taken = fault.is_short ? n / 2 : n;
  return is_refused (fault.is_full || (taken == 0 && n > 0)) ? 0 : taken;
}

ssize_t
write (int fd, const void *bytes, size_t n)
{
  static ssize_t (*next) (int, const void *, size_t);
  if (!next)
    next = (ssize_t (*) (int, const void *, size_t))dlsym (RTLD_NEXT, "write");
  size_t taken = bytes_taken (fd, n);
  return taken == 0 && n > 0 ? -1 : next (fd, bytes, taken);
}

ssize_t
pwrite (int fd, const void *bytes, size_t n, off_t at)
{
  static ssize_t (*next) (int, const void *, size_t, off_t);
  if (!next)
    next = (ssize_t (*) (int, const void *, size_t, off_t))dlsym (RTLD_NEXT,
                                                                  "pwrite");
  size_t taken = bytes_taken (fd, n);
  return taken == 0 && n > 0 ? -1 : next (fd, bytes, taken, at);
}

/* Carry out the sync of FD by the function of libc named NAME.  */
static int
sync_by (const char *name, int fd)
{
  int (*next) (int) = (int (*) (int))dlsym (RTLD_NEXT, name);
  const fault_t fault = fault_read ();
  wait_for_disk (&fault);
  return is_refused (fault.refuses_sync) ? -1 : next (fd);
}

int
fsync (int fd)
{
  return sync_by ("fsync", fd);
}

int
fdatasync (int fd)
{
  return sync_by ("fdatasync", fd);
}

int
ftruncate (int fd, off_t length)
{
  static int (*next) (int, off_t);
  if (!next)
    next = (int (*) (int, off_t))dlsym (RTLD_NEXT, "ftruncate");
  return is_refused (fault_read ().refuses_truncate) ? -1 : next (fd, length);
}

int
renameat (int from_folder, const char *from, int to_folder, const char *to)
{
  static int (*next) (int, const char *, int, const char *);
  if (!next)
    next = (int (*) (int, const char *, int, const char *))dlsym (RTLD_NEXT,
                                                                  "renameat");
  return is_refused (fault_read ().refuses_rename)
             ? -1
             : next (from_folder, from, to_folder, to);
}

int
rename (const char *from, const char *to)
{
  return renameat (AT_FDCWD, from, AT_FDCWD, to);
}

int
mkdir (const char *path, mode_t mode)
{
  static int (*next) (const char *, mode_t);
  if (!next)
    next = (int (*) (const char *, mode_t))dlsym (RTLD_NEXT, "mkdir");
  return is_refused (fault_read ().refuses_create) ? -1 : next (path, mode);
}

/* Libc's open and openat, whose MODE counts only where a file is created.  */
int open_with_mode (const char *path, int flags, mode_t mode) __asm__("open");
int openat_with_mode (int folder, const char *path, int flags,
                      mode_t mode) __asm__("openat");

int
openat_with_mode (int folder, const char *path, int flags, mode_t mode)
{
  static int (*next) (int, const char *, int, ...);
  if (!next)
    next = (int (*) (int, const char *, int, ...))dlsym (RTLD_NEXT, "openat");
  bool creates = (flags & O_CREAT) != 0;
  if (is_refused (creates && fault_read ().refuses_create))
    return -1;
  return next (folder, path, flags, creates ? mode : 0);
}

int
open_with_mode (const char *path, int flags, mode_t mode)
{
  return openat_with_mode (AT_FDCWD, path, flags, mode);
}

int
clock_gettime (clockid_t clock, struct timespec *now)
{
  static int (*next) (clockid_t, struct timespec *);
  if (!next)
    next = (int (*) (clockid_t, struct timespec *))dlsym (RTLD_NEXT,
                                                          "clock_gettime");
  int result = next (clock, now);
  if (result != 0 || clock != CLOCK_REALTIME)
    return result;
  long step = fault_read ().step_msec;
  now->tv_sec += step / MSEC_PER_SEC;
  now->tv_nsec += step % MSEC_PER_SEC * NSEC_PER_MSEC;
  if (now->tv_nsec < 0)
    {
      now->tv_sec--;
      now->tv_nsec += (long)MSEC_PER_SEC * NSEC_PER_MSEC;
    }
  return result;
}
