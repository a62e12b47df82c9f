/* standin-order: sends one call to the operator's interface, or a look-up, and
   prints the status and the body of the answer.

     standin-order METHOD HOST:PORT PATH [FILE]
     standin-order note TEXT              only adds TEXT to the record

   FILE holds the body.  Follows two redirects, and gives up after a second
   without an answer, as the operator does.  The status is 000 without an
   answer.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "io.h"

enum
{
  REDIRECTS_MAX = 2,
  BODY_BYTES_MAX = 1024 * 1024,
  ANSWER_MSEC = 1000,
};

typedef struct answer
{
  char status[4];
  char location[IO_VALUE_BYTES];
  char *body;
  size_t length;
} answer_t;

static char *
read_file (const char *path, size_t *length)
{
  char *text = calloc (1, BODY_BYTES_MAX);
  if (!text)
    abort ();
  FILE *file = path ? fopen (path, "r") : NULL;
  *length = file ? fread (text, 1, BODY_BYTES_MAX, file) : 0;
  if (file)
    fclose (file);
  return text;
}

static void
read_answer (io_stream_t *stream, answer_t *answer)
{
  io_head_t *head = calloc (1, sizeof *head);
  if (!head)
    abort ();
  if (io_read_head (stream, head))
    {
      snprintf (answer->status, sizeof answer->status, "%.3s",
                head->text + strlen ("HTTP/1.1 "));
      io_header (head, "Location", answer->location);
      while (answer->length < (size_t)head->body_bytes
             && answer->length < BODY_BYTES_MAX)
        {
          long n = io_read (stream, answer->body + answer->length,
                            (size_t)head->body_bytes - answer->length);
          if (n <= 0)
            break;
          answer->length += (size_t)n;
        }
    }
  free (head);
}

static void
call (const char *method, const io_address_t *at, const char *path,
      const char *body, size_t length, answer_t *answer)
{
  char head[1024];
  snprintf (answer->status, sizeof answer->status, "000");
  answer->location[0] = '\0';
  answer->length = 0;
  int fd = io_connect (at, 0);
  if (fd < 0)
    return;
  io_set_timeout (fd, ANSWER_MSEC);
  int n = snprintf (head, sizeof head,
                    "%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: "
                    "application/json\r\nContent-Length: %zu\r\nConnection: "
                    "close\r\n\r\n",
                    method, path, at->host, at->port, length);
  io_stream_t *stream = calloc (1, sizeof *stream);
  if (!stream)
    abort ();
  io_stream_init (stream, fd);
  if (io_write (fd, head, (size_t)n) && io_write (fd, body, length))
    read_answer (stream, answer);
  free (stream);
  close (fd);
}

int
main (int argc, char **argv)
{
  io_address_t at;
  if (argc == 3 && strcmp (argv[1], "note") == 0)
    {
      io_record ("%s", argv[2]);
      return 0;
    }
  if (argc < 4 || !io_address_parse (&at, argv[2]))
    {
      fprintf (stderr, "usage: standin-order METHOD HOST:PORT PATH [FILE]\n");
      return 2;
    }
  size_t length = 0;
  char *body = read_file (argc > 4 ? argv[4] : NULL, &length);
  answer_t answer = { .body = calloc (1, BODY_BYTES_MAX + 1) };
  if (!answer.body)
    abort ();
  for (int i = 0; i <= REDIRECTS_MAX; i++)
    {
      call (argv[1], &at, argv[3], body, length, &answer);
      io_record ("order %s %s:%d %s -> %s", argv[1], at.host, at.port, argv[3],
                 answer.status);
      if (strcmp (answer.status, "307") != 0
          || strncmp (answer.location, "http://", 7) != 0)
        break;
      answer.location[7 + strcspn (answer.location + 7, "/")] = '\0';
      if (!io_address_parse (&at, answer.location + 7))
        break;
    }
  printf ("%s\n%s\n", answer.status, answer.body);
  free (answer.body);
  free (body);
  return 0;
}
