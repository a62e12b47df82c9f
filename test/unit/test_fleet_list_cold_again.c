/* Guards against a backend server that becomes cold again before its cold
   start is over, and that those who follow the list take to be warm too early.
 */

#include <glib.h>
#include <string.h>

#include "fleet/backend_list.h"
#include "fleet/list_update.h"

#define NOW (100 * USEC_PER_SEC)
#define COLD_START (3 * USEC_PER_SEC)

static void
read_list (backend_list_t *list, usec_t cold_left, usec_t read_at)
{
  backend_record_t record
      = { .slots = 1, .started_unix_ms = 1, .cold_left = cold_left };
  g_strlcpy (record.id, "backend-1", sizeof record.id);
  g_strlcpy (record.service.text, "search", sizeof record.service.text);
  g_strlcpy (record.domain.text, "north-a", sizeof record.domain.text);
  record.address = (inet_t){ .address = 1, .port = 80 };
  *list = (backend_list_t){ .read_at = read_at };
  backend_list_add (list, &record);
  backend_list_finalize (list);
}

/* Updates *FOLLOWER to LIST at NOW, as a pull does.  */
static void
follow (list_source_t *source, const backend_list_t *list,
        backend_list_t *follower, usec_t now)
{
  fleet_packed_t deltas[LIST_DELTAS_MAX];
  const fleet_list_update_t update
      = list_source_build_update (source, list, follower->digest, deltas, now);
  if (list_update_apply (&update, now, follower) == LIST_UPDATE_UNCHANGED)
    list_update_advance_time (follower, list_update_read_at (&update, now));
}

static void
test_cold_again (void)
{
  list_source_t source = { 0 };
  backend_list_t follower = { 0 };
  backend_list_t first;
  backend_list_t second;
  usec_t again_at = NOW + 2 * USEC_PER_SEC;
  const backend_list_t none = { 0 };
  read_list (&first, COLD_START, NOW);
  backend_list_mark_cold (&first, &none);
  read_list (&second, COLD_START, again_at);
  backend_list_mark_cold (&second, &first);
  follow (&source, &first, &follower, NOW);
  if (second.digest != first.digest)
    list_source_record_change (&source, &first, &second);
  follow (&source, &second, &follower, again_at);
  g_assert_cmpuint (follower.n_records, ==, 1);
  g_assert_cmpint (follower.read_at + follower.records[0].cold_left, ==,
                   again_at + COLD_START);
  backend_list_clear (&first);
  backend_list_clear (&second);
  backend_list_clear (&follower);
  list_source_clear (&source);
}

/* Readings of one cold start are the same list, though they differ by the time
   that each of them takes.  */
static void
test_one_cold_start (void)
{
  const backend_list_t none = { 0 };
  backend_list_t first;
  backend_list_t second;
  read_list (&first, COLD_START, NOW);
  backend_list_mark_cold (&first, &none);
  read_list (&second, COLD_START - USEC_PER_SEC,
             NOW + USEC_PER_SEC + USEC_PER_SEC / 5);
  backend_list_mark_cold (&second, &first);
  g_assert_cmpuint (second.digest, ==, first.digest);
  backend_list_clear (&first);
  backend_list_clear (&second);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/list/one-cold-start", test_one_cold_start);
  g_test_add_func ("/list/cold-again", test_cold_again);
  return g_test_run ();
}
