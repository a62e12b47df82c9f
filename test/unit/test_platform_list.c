/* Reading the list of backend servers from a service that doesn't keep to its
   protocol.  The service is a thread that answers one connection at a time. */

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "backend_list_client.h"
#include "fleet/backend_list.h"

#include "../support/loopback.h"

enum
{
  PAGES_MAX = 256, /* of a list */
  GOOD_PAGES = 3,
};

typedef enum
{
  GOOD,
  PAGES_WITHOUT_END,
  HEAD_WITHOUT_END,
  BODY_WITHOUT_END,
} behaviour_t;

typedef struct fixture
{
  behaviour_t behaviour;
  int listener;
  int n_pages; /* that were asked for */
  GThread *server;
  backend_list_client_t *client;
} fixture_t;

static bool
write_text (int fd, const char *text)
{
  size_t length = strlen (text);
  return send (fd, text, length, MSG_NOSIGNAL) == (ssize_t)length;
}

static void
repeat (int fd, const char *first, const char *text)
{
  write_text (fd, first);
  while (write_text (fd, text))
    ;
}

static void
write_page (fixture_t *fixture, int fd)
{
  int number = fixture->n_pages;
  bool is_last = fixture->behaviour == GOOD && number == GOOD_PAGES;
  g_autofree char *body = g_strdup_printf (
      "{\"instances\":{},\"next_token\":\"%s\"}", is_last ? "" : "next");
  g_autofree char *page = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (body), body);
  write_text (fd, page);
}

static void
answer (fixture_t *fixture, int fd)
{
  fixture->n_pages++;
  switch (fixture->behaviour)
    {
    case GOOD:
    case PAGES_WITHOUT_END:
      write_page (fixture, fd);
      break;
    case HEAD_WITHOUT_END:
      repeat (fd, "HTTP/1.1 200 OK\r\n", "X-Field: 1234567890\r\n");
      break;
    case BODY_WITHOUT_END:
      repeat (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
              "10\r\n                \r\n");
      break;
    }
}

/* Ends when the listener is shut down.  */
static gpointer
serve (gpointer data)
{
  fixture_t *fixture = data;
  char request[4096];
  int fd;
  while ((fd = accept (fixture->listener, NULL, NULL)) >= 0)
    {
      while (recv (fd, request, sizeof request, 0) > 0)
        answer (fixture, fd);
      close (fd);
    }
  return NULL;
}

static void
fixture_open (fixture_t *fixture, behaviour_t behaviour)
{
  *fixture = (fixture_t){ .behaviour = behaviour };
  backend_list_client_options_t options = { .own_address = "127.0.0.1" };
  fixture->listener = loopback_listen (&options.address);
  fixture->client = backend_list_client_new (&options);
  fixture->server = g_thread_new ("list", serve, fixture);
}

static void
fixture_close (fixture_t *fixture)
{
  backend_list_client_free (fixture->client);
  shutdown (fixture->listener, SHUT_RDWR);
  g_thread_join (fixture->server);
  close (fixture->listener);
}

/* Reads the list once; returns the error's kind, or ERR_NONE.  */
static err_kind_t
read_list (behaviour_t behaviour, int n_pages)
{
  fixture_t fixture;
  fixture_open (&fixture, behaviour);
  backend_list_t list;
  list_read_stats_t stats;
  err_t err = { 0 };
  bool is_read
      = backend_list_client_read (fixture.client, &list, &stats, &err);
  g_assert_cmpint (is_read, ==, err.kind == ERR_NONE);
  g_assert_cmpuint (list.n_records, ==, 0);
  backend_list_clear (&list);
  fixture_close (&fixture);
  g_assert_cmpint (fixture.n_pages, ==, n_pages);
  return err.kind;
}

static void
test_all_pages_are_read (void)
{
  g_assert_cmpint (read_list (GOOD, GOOD_PAGES), ==, ERR_NONE);
}

/* Guards against a director that reads for ever and has no list.  */
static void
test_pages_without_end (void)
{
  g_assert_cmpint (read_list (PAGES_WITHOUT_END, PAGES_MAX), ==, ERR_PROTOCOL);
}

/* Guards against a director whose memory fills.  */
static void
test_bytes_without_end (void)
{
  g_assert_cmpint (read_list (HEAD_WITHOUT_END, 1), ==, ERR_UNAVAILABLE);
  g_assert_cmpint (read_list (BODY_WITHOUT_END, 1), ==, ERR_UNAVAILABLE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform/list/pages", test_all_pages_are_read);
  g_test_add_func ("/platform/list/pages-without-end", test_pages_without_end);
  g_test_add_func ("/platform/list/bytes-without-end", test_bytes_without_end);
  return g_test_run ();
}
