/* Tests of the metrics page over a real socket.  They guard against wrong
   /metrics and /health responses, and against unknown requests that are served
   or not counted.  */

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wire/metrics_page.h"

static const char address_text[] = "127.44.0.10";

static int
connect_page (uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  inet_pton (AF_INET, address_text, &address.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&address, sizeof address),
                   ==, 0);
  return fd;
}

/* Send REQUEST and read the complete response.  */
static void
ask (uint16_t port, const char *request, char *reply, size_t size)
{
  int fd = connect_page (port);
  g_assert_cmpint (write (fd, request, strlen (request)), ==,
                   (ssize_t)strlen (request));
  size_t used = 0;
  ssize_t n;
  while (used < size - 1 && (n = read (fd, reply + used, size - 1 - used)) > 0)
    used += (size_t)n;
  reply[used] = '\0';
  close (fd);
}

#define REQUEST(method, path)                                                 \
  method " " path " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"

static void
assert_reply (uint16_t port, const char *request, const char *status,
              const char *part)
{
  char reply[4096];
  ask (port, request, reply, sizeof reply);
  g_assert_nonnull (strstr (reply, status));
  g_assert_nonnull (strstr (reply, part));
}

static void
test_page_serves_and_refuses (void)
{
  err_t err = { 0 };
  metrics_t *metrics = metrics_new ();
  const metric_options_t sheets = { .name = "mulberry_sheets_total" };
  counter_add (metrics_counter (metrics, &sheets, &err), 41);
  const metric_options_t number = { .name = "mulberry_sheet_number" };
  gauge_t *ready = metrics_gauge (metrics, &number, &err);
  metrics_page_t *page = metrics_page_start (
      &(metrics_page_options_t){ .address = address_text,
                                 .metrics = metrics,
                                 .ready = ready,
                                 .not_ready = "no sheet" },
      &err);
  g_assert_nonnull (page);
  uint16_t port = metrics_page_port (page);
  assert_reply (port, REQUEST ("GET", "/metrics"), " 200 ",
                "\nmulberry_sheets_total 41\n");
  assert_reply (port, REQUEST ("GET", "/health"), " 503 ", "no sheet\n");
  gauge_set (ready, 7);
  assert_reply (port, REQUEST ("GET", "/health"), " 200 ", "\r\nok\n");
  metrics_page_set_health (page, "no quorum");
  assert_reply (port, REQUEST ("GET", "/health"), " 503 ", "no quorum\n");
  assert_reply (port, REQUEST ("GET", "/secret"), " 404 ", "/metrics");
  assert_reply (port, REQUEST ("POST", "/metrics"), " 405 ", "only GET");
  const metric_options_t refused
      = { .name = "mulberry_metrics_refused_total" };
  g_assert_cmpuint (counter_read (metrics_counter (metrics, &refused, &err)),
                    ==, 2);
  g_assert_null (metrics_page_start (
      &(metrics_page_options_t){ .address = "nowhere", .metrics = metrics },
      &err));
  g_assert_cmpint (err.kind, ==, ERR_SETTINGS);
  metrics_page_stop (page);
  metrics_free (metrics);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wire/metrics_page", test_page_serves_and_refuses);
  return g_test_run ();
}
