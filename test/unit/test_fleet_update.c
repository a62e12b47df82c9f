/* Updates of the list of backend servers.  Load pattern: thousands of backend
   servers, of which a few start, stop, drain or become warm all the time, and
   hundreds of routers that follow the list over links of 2 Mbit/s. */

#include <glib.h>
#include <string.h>

#include "base/random.h"
#include "fleet/backend_list.h"
#include "fleet/list_update.h"

#define NOW (100 * USEC_PER_SEC)
/* The followers' monotonic clocks minus the sender's.  */
#define CLOCK_OFFSET (77 * USEC_PER_SEC)

static void
add_backend (backend_list_t *list, uint32_t number, usec_t cold_left)
{
  backend_record_t record = { .address = { .address = number, .port = 80 },
                              .slots = 3,
                              .cold_left = cold_left,
                              .started_unix_ms = 1 };
  g_snprintf (record.id, sizeof record.id, "i-%08x", number * 2654435761u);
  g_strlcpy (record.service.text, "search", NAME_BYTES);
  g_strlcpy (record.domain.text, "north-a", NAME_BYTES);
  backend_list_add (list, &record);
}

static backend_list_t
make_list (uint32_t n, usec_t read_at)
{
  backend_list_t list = { .read_at = read_at };
  for (uint32_t i = 0; i < n; i++)
    add_backend (&list, i, 0);
  backend_list_finalize (&list);
  return list;
}

static size_t
update_bytes (const fleet_list_update_t *update)
{
  size_t n = update->whole.fleet_packed_t_len;
  for (u_int i = 0; i < update->deltas.deltas_len; i++)
    n += update->deltas.deltas_val[i].fleet_packed_t_len;
  return n;
}

/* Bring FOLLOWER up to date with LIST at NOW; returns the size of the update
   in bytes.  */
static size_t
update_follower (list_source_t *source, const backend_list_t *list,
                 backend_list_t *follower, usec_t now)
{
  fleet_packed_t deltas[LIST_DELTAS_MAX];
  fleet_list_update_t update
      = list_source_build_update (source, list, follower->digest, deltas, now);
  g_assert_cmpint (list_update_apply (&update, now + CLOCK_OFFSET, follower),
                   ==,
                   update_bytes (&update) > 0 ? LIST_UPDATE_APPLIED
                                              : LIST_UPDATE_UNCHANGED);
  g_assert_cmpuint (follower->digest, ==, list->digest);
  g_assert_cmpuint (follower->n_records, ==, list->n_records);
  return update_bytes (&update);
}

/* Replace LIST by a reading at AT in which record WHICH has changed.  */
static void
change_one (list_source_t *source, backend_list_t *list, size_t which,
            usec_t at)
{
  backend_list_t next;
  backend_list_copy (&next, list);
  next.read_at = at;
  next.records[which].is_draining = !next.records[which].is_draining;
  backend_list_finalize (&next);
  list_source_record_change (source, list, &next);
  backend_list_clear (list);
  *list = next;
}

/* When one of 3,000 backend servers starts to drain, the update must fit into
   one packet.  */
static void
test_one_change_of_3000 (void)
{
  list_source_t source = { 0 };
  backend_list_t list = make_list (3000, NOW);
  backend_list_t follower = { 0 };
  g_assert_cmpuint (update_follower (&source, &list, &follower, NOW + 10), >,
                    10000);
  change_one (&source, &list, 1234, NOW + USEC_PER_SEC);
  size_t bytes
      = update_follower (&source, &list, &follower, NOW + USEC_PER_SEC + 10);
  g_assert_cmpuint (bytes, <, 1400);
  g_assert_true (follower.records[1234].is_draining);
  g_assert_cmpint (follower.read_at, ==, list.read_at + CLOCK_OFFSET);
  g_assert_cmpuint (
      update_follower (&source, &list, &follower, NOW + USEC_PER_SEC + 20), ==,
      0);
  list_source_clear (&source);
  backend_list_clear (&list);
  backend_list_clear (&follower);
}

/* A follower that missed a few deltas gets all of them in one update.  One
   that missed more than are kept, or has an unrelated list, gets the full
   list.  */
static void
test_missed_deltas (void)
{
  list_source_t source = { 0 };
  backend_list_t list = make_list (1000, NOW);
  backend_list_t few_missed = { 0 };
  backend_list_t many_missed = { 0 };
  backend_list_t unrelated = make_list (7, NOW + CLOCK_OFFSET);
  update_follower (&source, &list, &few_missed, NOW + 10);
  update_follower (&source, &list, &many_missed, NOW + 10);
  for (size_t i = 0; i < LIST_DELTAS_MAX + 5; i++)
    {
      change_one (&source, &list, i, NOW + (usec_t)(i + 1) * USEC_PER_SEC);
      if (i == LIST_DELTAS_MAX)
        update_follower (&source, &list, &few_missed, list.read_at + 10);
    }
  usec_t now = list.read_at + 10;
  size_t whole = update_follower (&source, &list, &many_missed, now);
  g_assert_cmpuint (update_follower (&source, &list, &few_missed, now), <,
                    whole / 4);
  g_assert_cmpuint (update_follower (&source, &list, &unrelated, now), ==,
                    whole);
  list_source_clear (&source);
  backend_list_clear (&list);
  backend_list_clear (&few_missed);
  backend_list_clear (&many_missed);
  backend_list_clear (&unrelated);
}

/* cold_left of a record that no delta names must keep ending at the same
   time.  It would end too late if the time between two readings were not
   subtracted, and too early if it were subtracted twice.  */
static void
test_cold_left (void)
{
  list_source_t source = { 0 };
  backend_list_t list = make_list (100, NOW);
  add_backend (&list, 5000, 3 * USEC_PER_SEC);
  backend_list_finalize (&list);
  backend_list_t follower = { 0 };
  update_follower (&source, &list, &follower, NOW + 10);
  usec_t cold_until = NOW + CLOCK_OFFSET + 3 * USEC_PER_SEC;
  for (int i = 1; i <= 2; i++)
    {
      change_one (&source, &list, 50, NOW + i * USEC_PER_SEC);
      for (size_t r = 0; r < list.n_records; r++)
        if (list.records[r].address.address == 5000)
          list.records[r].cold_left = (3 - i) * USEC_PER_SEC;
      update_follower (&source, &list, &follower, list.read_at + 10);
      for (size_t r = 0; r < follower.n_records; r++)
        if (follower.records[r].address.address == 5000)
          g_assert_cmpint (follower.read_at + follower.records[r].cold_left,
                           ==, cold_until);
    }
  list_source_clear (&source);
  backend_list_clear (&list);
  backend_list_clear (&follower);
}

/* Random sequences of backend servers that start and stop, and of missed
   deltas: the follower's list must always equal the source's.  */
static void
test_random_changes (void)
{
  list_source_t source = { 0 };
  random_state_t random;
  random_seed (&random, 11);
  backend_list_t list = make_list (60, NOW);
  backend_list_t follower = { 0 };
  for (uint32_t i = 1; i <= 400; i++)
    {
      backend_list_t next = { .read_at = NOW + (usec_t)i * USEC_PER_SEC };
      for (size_t r = 0; r < list.n_records; r++)
        if (random_next (&random) % 40 != 0)
          backend_list_add (&next, &list.records[r]);
      for (uint64_t n = random_next (&random) % 3; n > 0; n--)
        add_backend (&next, 1000 + 4 * i + (uint32_t)n,
                     random_next (&random) % 2 ? USEC_PER_SEC : 0);
      backend_list_finalize (&next);
      list_source_record_change (&source, &list, &next);
      backend_list_clear (&list);
      list = next;
      if (random_next (&random) % 3 == 0)
        update_follower (&source, &list, &follower, list.read_at + 10);
    }
  list_source_clear (&source);
  backend_list_clear (&list);
  backend_list_clear (&follower);
}

/* Deltas that don't fit the follower's list, and truncated ones, are rejected
   and leave that list unchanged.  */
static void
test_mismatched_deltas (void)
{
  list_source_t source = { 0 };
  backend_list_t list = make_list (100, NOW);
  backend_list_t follower = { 0 };
  update_follower (&source, &list, &follower, NOW + 10);
  change_one (&source, &list, 3, NOW + USEC_PER_SEC);
  fleet_packed_t deltas[LIST_DELTAS_MAX];
  fleet_list_update_t update = list_source_build_update (
      &source, &list, follower.digest, deltas, NOW + USEC_PER_SEC);
  g_assert_cmpuint (update.deltas.deltas_len, ==, 1);
  follower.records[7].slots = 99;
  g_assert_cmpint (list_update_apply (
                       &update, NOW + USEC_PER_SEC + CLOCK_OFFSET, &follower),
                   ==, LIST_UPDATE_MISMATCH);
  g_assert_cmpuint (follower.records[7].slots, ==, 99);
  deltas[0].fleet_packed_t_len /= 2;
  g_assert_cmpint (list_update_apply (
                       &update, NOW + USEC_PER_SEC + CLOCK_OFFSET, &follower),
                   ==, LIST_UPDATE_MISMATCH);
  list_source_clear (&source);
  backend_list_clear (&list);
  backend_list_clear (&follower);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet/update/one-change-of-3000",
                   test_one_change_of_3000);
  g_test_add_func ("/fleet/update/missed-deltas", test_missed_deltas);
  g_test_add_func ("/fleet/update/cold-left", test_cold_left);
  g_test_add_func ("/fleet/update/random", test_random_changes);
  g_test_add_func ("/fleet/update/mismatched-deltas", test_mismatched_deltas);
  return g_test_run ();
}
