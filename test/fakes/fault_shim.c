/* fault-shim: loaded before libc into a process under test, it lends it a disk
   and a time of day that misbehave.  The variable FAULT_CONTROL names a file
   with words and numbers, which may change at any time:

     full        regular files take no more bytes
     slow MS     each sync of a file takes MS longer
     step MS     the time of day is MS ahead (behind where it is below 0)  */

#include <dlfcn.h>
#include <errno.h>
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

static void
wait_for_disk (void)
{
  long msec = fault_read ().slow_msec;
  const struct timespec span
      = { .tv_sec = msec / MSEC_PER_SEC,
          .tv_nsec = msec % MSEC_PER_SEC * NSEC_PER_MSEC };
  if (msec > 0)
    nanosleep (&span, NULL);
}

ssize_t
write (int fd, const void *bytes, size_t n)
{
  static ssize_t (*next) (int, const void *, size_t);
  if (!next)
    next = (ssize_t (*) (int, const void *, size_t))dlsym (RTLD_NEXT, "write");
  if (is_data (fd) && fault_read ().is_full)
    {
      errno = ENOSPC;
      return -1;
    }
  return next (fd, bytes, n);
}

ssize_t
pwrite (int fd, const void *bytes, size_t n, off_t at)
{
  static ssize_t (*next) (int, const void *, size_t, off_t);
  if (!next)
    next = (ssize_t (*) (int, const void *, size_t, off_t))dlsym (RTLD_NEXT,
                                                                  "pwrite");
  if (is_data (fd) && fault_read ().is_full)
    {
      errno = ENOSPC;
      return -1;
    }
  return next (fd, bytes, n, at);
}

int
fsync (int fd)
{
  static int (*next) (int);
  if (!next)
    next = (int (*) (int))dlsym (RTLD_NEXT, "fsync");
  wait_for_disk ();
  return next (fd);
}

int
fdatasync (int fd)
{
  static int (*next) (int);
  if (!next)
    next = (int (*) (int))dlsym (RTLD_NEXT, "fdatasync");
  wait_for_disk ();
  return next (fd);
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
