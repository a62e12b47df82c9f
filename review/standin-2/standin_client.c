/* standin-client: a client, and the operator.

     standin-client put ADDRESS FILE
     standin-client get ADDRESS PATH ID
     standin-client post ADDRESS PATH ID BYTES
     standin-client leave ADDRESS PATH ID MSEC
     standin-client slow ADDRESS PATH1 ID1 PATH2 ID2 PAUSE1 PAUSE2

   put    sends the configuration in FILE as the operator, and follows one
          redirect.
   get    sends one request; `post` one with a body of BYTES bytes.
   leave  sends one request, and closes the connection if there is no answer
          within MSEC.
   slow   sends a request, does not read for PAUSE1 msec, sends another one on
          the same connection, does not read for PAUSE2 msec, and then reads
          both answers to the end of the connection.

   Prints a line an answer: "ID STATUS BYTES whole|not-whole", or "ID - 0 WHY"
   where there is none.  An answer is whole if its body is that of the
   request's id, to its end.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

enum
{
  TIMEOUT_MSEC = 20000,
  DEADLINE_MSEC = 15000,
  READ_BYTES = 64 * 1024,
  SMALL_BUFFER_BYTES = 64 * 1024,
  REQUEST_BYTES = 2048,
  STATUS_OK = 200,
  STATUS_REDIRECT = 307,
};

/* What was read of a connection.  */
typedef struct input
{
  char *bytes; /* malloc'd */
  size_t length;
  size_t n_allocated;
  size_t used;
  bool has_ended;
  bool was_reset;
} input_t;

/* Read more.  Returns false at the end.  */
static bool
read_more (int fd, input_t *input)
{
  if (input->has_ended)
    return false;
  if (input->n_allocated - input->length < READ_BYTES)
    {
      input->n_allocated = 2 * input->n_allocated + 2 * (size_t)READ_BYTES;
      input->bytes = realloc (input->bytes, input->n_allocated);
      if (!input->bytes)
        abort ();
    }
  ssize_t n = recv (fd, input->bytes + input->length, READ_BYTES, 0);
  input->has_ended = n <= 0;
  input->was_reset = n < 0;
  if (n > 0)
    input->length += (size_t)n;
  return n > 0;
}

static const char *
why_none (const input_t *input)
{
  return input->was_reset ? "reset-or-timeout" : "closed";
}

/* Where the head that begins at INPUT->used ends; 0 if it does not.  */
static size_t
read_head (int fd, input_t *input)
{
  for (;;)
    {
      for (size_t i = input->used; i + 4 <= input->length; i++)
        if (memcmp (input->bytes + i, "\r\n\r\n", 4) == 0)
          return i + 4;
      if (!read_more (fd, input))
        return 0;
    }
}

static bool
is_body_of (const char *body, size_t length, const char *id)
{
  char *expected = malloc (length + 1);
  if (!expected)
    abort ();
  net_fill (expected, length, 0, id);
  bool is_equal = memcmp (expected, body, length) == 0;
  free (expected);
  return is_equal;
}

/* Read and print the answer to the request ID.  Returns its status; 0 if there
   is none.  */
static int
read_answer (int fd, input_t *input, const char *id)
{
  static char head[NET_HEAD_BYTES];
  char value[NET_FIELD_BYTES];
  int status = 0;
  size_t body = read_head (fd, input);
  if (body == 0)
    {
      printf ("%s - 0 %s\n", id, why_none (input));
      return 0;
    }
  snprintf (head, sizeof head, "%.*s", (int)(body - input->used),
            input->bytes + input->used);
  sscanf (head, "HTTP/1.1 %d", &status);
  net_field (head, "Content-Length", value);
  bool has_length = value[0] != '\0';
  size_t length = strtoul (value, NULL, 10);
  while ((!has_length || input->length - body < length)
         && read_more (fd, input))
    ;
  size_t n_read = input->length - body;
  bool is_whole = has_length ? n_read >= length : !input->was_reset;
  if (has_length && n_read > length)
    n_read = length;
  net_field (head, "Request-Id", value);
  is_whole = is_whole && strcmp (value, id) == 0
             && (status != STATUS_OK
                 || is_body_of (input->bytes + body, n_read, id));
  printf ("%s %d %zu %s\n", id, status, n_read,
          is_whole ? "whole" : "not-whole");
  input->used = body + n_read;
  return status;
}

static bool
send_request (int fd, const char *method, const char *path, const char *id,
              size_t body_bytes)
{
  char text[REQUEST_BYTES];
  char length[NET_FIELD_BYTES] = "";
  if (body_bytes > 0)
    snprintf (length, sizeof length, "Content-Length: %zu\r\n", body_bytes);
  int n = snprintf (text, sizeof text,
                    "%s %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n"
                    "Deadline-Ms: %d\r\n%s\r\n",
                    method, path, id, DEADLINE_MSEC, length);
  if (!net_write (fd, text, (size_t)n))
    return false;
  char *body = malloc (body_bytes + 1);
  if (!body)
    abort ();
  net_fill (body, body_bytes, 0, id);
  bool ok = net_write (fd, body, body_bytes);
  free (body);
  return ok;
}

static int
connect_or_end (const char *address, int receive_bytes, const char *id)
{
  int fd = net_connect (address, receive_bytes, TIMEOUT_MSEC);
  if (fd >= 0)
    return fd;
  printf ("%s - 0 no-connection\n", id);
  exit (EXIT_FAILURE);
}

static int
run_one (char **args, const char *method, size_t body_bytes)
{
  input_t input = { 0 };
  int fd = connect_or_end (args[0], 0, args[2]);
  int status = 0;
  if (send_request (fd, method, args[1], args[2], body_bytes))
    status = read_answer (fd, &input, args[2]);
  else
    printf ("%s - 0 not-sent\n", args[2]);
  close (fd);
  free (input.bytes);
  return status == STATUS_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
run_leave (char **args)
{
  input_t input = { 0 };
  int timeout = (int)strtol (args[3], NULL, 10);
  int fd = net_connect (args[0], 0, timeout);
  int status = 0;
  if (fd < 0)
    {
      printf ("%s - 0 no-connection\n", args[2]);
      return EXIT_FAILURE;
    }
  if (send_request (fd, "GET", args[1], args[2], 0))
    status = read_answer (fd, &input, args[2]);
  close (fd);
  free (input.bytes);
  return status == STATUS_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
run_slow (char **args)
{
  input_t input = { 0 };
  int fd = connect_or_end (args[0], SMALL_BUFFER_BYTES, args[2]);
  bool ok = send_request (fd, "GET", args[1], args[2], 0);
  net_sleep (strtol (args[5], NULL, 10));
  ok = send_request (fd, "GET", args[3], args[4], 0) && ok;
  net_sleep (strtol (args[6], NULL, 10));
  if (!ok)
    printf ("%s - 0 not-sent\n", args[4]);
  int first = read_answer (fd, &input, args[2]);
  int second = read_answer (fd, &input, args[4]);
  close (fd);
  free (input.bytes);
  return first == STATUS_OK && second == STATUS_OK ? EXIT_SUCCESS
                                                   : EXIT_FAILURE;
}

/* Send the LENGTH bytes of TEXT to ADDRESS as a configuration.  Returns the
   status; LOCATION gets the address of a redirect.  */
static int
put_config (const char *address, const char *text, size_t length,
            char location[NET_FIELD_BYTES])
{
  static net_head_t answer;
  char head[REQUEST_BYTES];
  char value[NET_FIELD_BYTES];
  int status = 0;
  location[0] = '\0';
  int fd = net_connect (address, 0, TIMEOUT_MSEC / 10);
  if (fd < 0)
    return 0;
  int n = snprintf (head, sizeof head,
                    "POST /Config.Put HTTP/1.1\r\nHost: %s\r\n"
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    address, length);
  if (net_write (fd, head, (size_t)n) && net_write (fd, text, length)
      && net_read_head (fd, &answer))
    sscanf (answer.text, "HTTP/1.1 %d", &status);
  close (fd);
  if (status == STATUS_REDIRECT)
    {
      net_field (answer.text, "Location", value);
      sscanf (value, "http://%255[^/]", location);
    }
  return status;
}

static int
run_put (char **args)
{
  static char text[64 * 1024];
  char location[NET_FIELD_BYTES];
  char further[NET_FIELD_BYTES];
  FILE *file = fopen (args[1], "r");
  if (!file)
    return EXIT_FAILURE;
  size_t length = fread (text, 1, sizeof text, file);
  fclose (file);
  int status = put_config (args[0], text, length, location);
  if (location[0])
    status = put_config (location, text, length, further);
  printf ("put %d\n", status);
  return status == STATUS_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  const char *verb = argc > 1 ? argv[1] : "";
  if (strcmp (verb, "put") == 0 && argc == 4)
    return run_put (argv + 2);
  if (strcmp (verb, "get") == 0 && argc == 5)
    return run_one (argv + 2, "GET", 0);
  if (strcmp (verb, "post") == 0 && argc == 6)
    return run_one (argv + 2, "POST", strtoul (argv[5], NULL, 10));
  if (strcmp (verb, "leave") == 0 && argc == 6)
    return run_leave (argv + 2);
  if (strcmp (verb, "slow") == 0 && argc == 9)
    return run_slow (argv + 2);
  fprintf (stderr, "usage: see the head of standin_client.c\n");
  return EXIT_FAILURE;
}
