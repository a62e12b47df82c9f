/* Guards against datagrams of strangers, of another router or of another
   format that limit a backend server.  */

#include "fleet/cold_datagram.h"

#include <glib.h>
#include <string.h>

#define NOW (100 * USEC_PER_SEC)

static const unsigned char key[COLD_DATAGRAM_KEY_BYTES] = { 1, 2, 3 };

typedef struct sent
{
  unsigned char bytes[COLD_DATAGRAM_BYTES_MAX + 1];
  size_t length;
} sent_t;

static sent_t
sent_of (size_t n)
{
  cold_datagram_t datagram = {
    .from = 1, .to = 2, .incarnation = 3, .sequence = 4, .groups = 5, .n = n
  };
  for (size_t i = 0; i < n; i++)
    datagram.reports[i]
        = (cold_report_t){ .server = i, .until = NOW + USEC_PER_SEC };
  sent_t sent = { .length = 0 };
  sent.length = cold_datagram_write (&datagram, key, NOW, sent.bytes);
  return sent;
}

static cold_datagram_verdict_t
read_at (const sent_t *sent, uint32_t from, uint32_t to,
         const unsigned char *with, cold_datagram_t *datagram)
{
  *datagram = (cold_datagram_t){ .from = from, .to = to };
  return cold_datagram_read (datagram, with, 2 * NOW, sent->bytes,
                             sent->length);
}

static void
test_arrives (void)
{
  for (size_t n = 0; n <= COLD_DATAGRAM_REPORTS_MAX; n++)
    {
      sent_t sent = sent_of (n);
      g_assert_cmpuint (sent.length, ==,
                        COLD_DATAGRAM_BYTES_MIN
                            + n * COLD_DATAGRAM_REPORT_BYTES);
      cold_datagram_t datagram;
      g_assert_cmpint (read_at (&sent, 1, 2, key, &datagram), ==,
                       COLD_DATAGRAM_GOOD);
      g_assert_cmpuint (datagram.incarnation, ==, 3);
      g_assert_cmpuint (datagram.sequence, ==, 4);
      g_assert_cmpuint (datagram.groups, ==, 5);
      g_assert_cmpuint (datagram.n, ==, n);
      for (size_t i = 0; i < n; i++)
        {
          g_assert_cmpuint (datagram.reports[i].server, ==, i);
          g_assert_cmpint (datagram.reports[i].until, ==,
                           2 * NOW + USEC_PER_SEC);
        }
    }
}

static void
test_forged (void)
{
  sent_t sent = sent_of (2);
  cold_datagram_t datagram;
  const unsigned char other[COLD_DATAGRAM_KEY_BYTES] = { 1, 2, 4 };
  g_assert_cmpint (read_at (&sent, 1, 2, other, &datagram), ==,
                   COLD_DATAGRAM_FORGED);
  g_assert_cmpint (read_at (&sent, 1, 3, key, &datagram), ==,
                   COLD_DATAGRAM_FORGED);
  g_assert_cmpint (read_at (&sent, 3, 2, key, &datagram), ==,
                   COLD_DATAGRAM_FORGED);
  for (size_t i = 0; i < sent.length; i++)
    {
      sent.bytes[i] ^= 1;
      g_assert_cmpint (read_at (&sent, 1, 2, key, &datagram), ==,
                       COLD_DATAGRAM_FORGED);
      sent.bytes[i] ^= 1;
    }
  for (size_t length = sent.length; length-- > 0;)
    {
      sent.length = length;
      g_assert_cmpint (read_at (&sent, 1, 2, key, &datagram), !=,
                       COLD_DATAGRAM_GOOD);
    }
  sent.length = COLD_DATAGRAM_BYTES_MAX + 1;
  g_assert_cmpint (read_at (&sent, 1, 2, key, &datagram), ==,
                   COLD_DATAGRAM_MALFORMED);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cold-datagram/arrives", test_arrives);
  g_test_add_func ("/cold-datagram/forged", test_forged);
  return g_test_run ();
}
