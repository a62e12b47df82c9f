/* Unit tests of a director's replicated state machine, of the assignment of
   log slots to directors, of the selection of routers for callers and of the
   router table.  */

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "director/director_state.h"
#include "director/list_reader.h"
#include "director/lookup.h"
#include "director/roster.h"
#include "director/roster_file.h"

static void
put_config (director_state_t *state, log_index_t index, uint64_t version,
            const char *text)
{
  blob_t *command = director_command_config (version, text, strlen (text));
  g_assert_true (director_state_apply (state, index, command, NULL));
  blob_unref (command);
}

static void
assert_config (const director_state_t *state, uint64_t version,
               const char *text)
{
  g_assert_cmpuint (state->config_version, ==, version);
  g_assert_cmpmem (state->config->bytes, state->config->length, text,
                   strlen (text));
}

/* Guards against replicas that differ, or go back to an old configuration,
   when two operators put configurations at once or when an older command is
   committed again: a lower version must not replace a higher one, nor other
   content the content first applied under the same version.  */
static void
test_highest_version_holds (void)
{
  director_state_t state = { 0 };
  put_config (&state, 1, 7, "seven");
  put_config (&state, 2, 9, "nine");
  put_config (&state, 3, 8, "eight");
  assert_config (&state, 9, "nine");
  put_config (&state, 4, 9, "another nine");
  assert_config (&state, 9, "nine");
  director_state_clear (&state);
}

/* Guards against a configuration that an earlier release stored under a
   version beyond the range: it would hide every later one for good.  */
static void
test_version_out_of_range (void)
{
  director_state_t state = { 0 };
  put_config (&state, 1, 7, "seven");
  put_config (&state, 2, UINT64_MAX, "hidden");
  assert_config (&state, 7, "seven");
  put_config (&state, 3, 8, "eight");
  assert_config (&state, 8, "eight");
  state.config_version = UINT64_MAX; /* as in a snapshot of that release */
  blob_t *snapshot = director_state_save (&state);
  director_state_t restored = { 0 };
  g_assert_true (director_state_restore (&restored, snapshot, NULL));
  g_assert_null (restored.config);
  g_assert_cmpuint (restored.config_version, ==, 0);
  put_config (&restored, 4, 9, "nine");
  assert_config (&restored, 9, "nine");
  blob_unref (snapshot);
  director_state_clear (&state);
  director_state_clear (&restored);
}

static void
evacuate (director_state_t *state, log_index_t index, const char *domain,
          bool is_evacuated)
{
  name_t name = { 0 };
  g_strlcpy (name.text, domain, sizeof name.text);
  blob_t *command = director_command_evacuate (&name, is_evacuated);
  g_assert_true (director_state_apply (state, index, command, NULL));
  blob_unref (command);
}

/* Guards against a repeated evacuation that is recorded as a change, and
   against the end of one evacuation that ends another one.  */
static void
test_evacuations (void)
{
  director_state_t state = { 0 };
  evacuate (&state, 1, "north-a", true);
  evacuate (&state, 2, "north-a", true);
  g_assert_cmpuint (state.evacuations_index, ==, 1);
  evacuate (&state, 3, "east-a", true);
  evacuate (&state, 4, "north-a", false);
  g_assert_false (director_state_is_evacuated (&state, "north-a"));
  g_assert_true (director_state_is_evacuated (&state, "east-a"));
  g_assert_cmpuint (state.evacuations_index, ==, 4);
  director_state_clear (&state);
}

/* Guards against a snapshot that loses part of the state, and against a
   truncated snapshot that damages the state it was to replace.  */
static void
test_snapshot (void)
{
  director_state_t state = { 0 };
  put_config (&state, 1, 5, "five");
  evacuate (&state, 2, "east-a", true);
  blob_t *snapshot = director_state_save (&state);
  director_state_t restored = { 0 };
  put_config (&restored, 1, 4, "four");
  g_assert_true (director_state_restore (&restored, snapshot, NULL));
  assert_config (&restored, 5, "five");
  g_assert_true (director_state_is_evacuated (&restored, "east-a"));
  g_assert_cmpuint (restored.evacuations_index, ==, 2);
  blob_t *truncated = blob_new (snapshot->bytes, snapshot->length / 2);
  g_assert_false (director_state_restore (&restored, truncated, NULL));
  assert_config (&restored, 5, "five");
  blob_unref (truncated);
  blob_unref (snapshot);
  director_state_clear (&restored);
  director_state_clear (&state);
}

#define START (50 * USEC_PER_SEC)

/* Guards against a roster that is created too early and leaves out a director
   that starts a little later than the others; it would have no slot.  */
static void
test_roster_waits_for_all (void)
{
  const uint32_t seeds[] = { 20, 10, 30 };
  roster_bootstrap_t bootstrap;
  roster_t roster = { 0 };
  roster_bootstrap_init (&bootstrap, 10, seeds, 3, true, START);
  usec_t late = START + 10 * USEC_PER_SEC;
  g_assert_false (roster_bootstrap_tick (&bootstrap, late, &roster));
  roster_bootstrap_add (&bootstrap, 20, START + 1);
  roster_bootstrap_add (&bootstrap, 30, START + 1);
  roster_bootstrap_add (&bootstrap, 5, START + USEC_PER_SEC);
  g_assert_false (roster_bootstrap_tick (
      &bootstrap, START + 1200 * USEC_PER_MSEC, &roster));
  g_assert_true (roster_bootstrap_tick (&bootstrap, late, &roster));
  g_assert_cmpuint (roster.n_slots, ==, 4);
  g_assert_cmpint (roster_slot (&roster, 5), ==, 0);
  g_assert_cmpint (roster_slot (&roster, 30), ==, 3);
  g_assert_cmpint (roster_slot (&roster, 99), ==, SLOT_NONE);
}

/* Guards against two rosters in one deployment.  Only the lowest seed may
   create the roster, and only at the first start: not another seed, not a
   director that comes back with an empty disk, and not one that is no seed. */
static void
test_roster_has_one_coordinator (void)
{
  const uint32_t seeds[] = { 20, 10, 30 };
  roster_bootstrap_t bootstrap;
  roster_bootstrap_init (&bootstrap, 20, seeds, 3, true, START);
  g_assert_false (bootstrap.is_coordinator);
  roster_bootstrap_init (&bootstrap, 10, seeds, 3, false, START);
  g_assert_false (bootstrap.is_coordinator);
  roster_bootstrap_init (&bootstrap, 5, seeds, 3, true, START);
  g_assert_false (bootstrap.is_coordinator);
}

/* More directors than slots start at once: guards against writing past the end
   of the roster, and against a deployment that never gets one because a seed
   announced itself last.  */
static void
test_roster_is_full (void)
{
  enum
  {
    FIRST = 100,
    SEED = 300,
  };
  const uint32_t seeds[] = { FIRST, SEED };
  roster_bootstrap_t bootstrap;
  roster_t roster = { 0 };
  roster_bootstrap_init (&bootstrap, FIRST, seeds, 2, true, START);
  for (uint32_t i = 1; i < ROSTER_MAX; i++)
    g_assert_true (roster_bootstrap_add (&bootstrap, FIRST + i, START));
  g_assert_false (
      roster_bootstrap_add (&bootstrap, FIRST + ROSTER_MAX, START));
  g_assert_false (roster_bootstrap_add (&bootstrap, SEED, START));
  g_assert_true (roster_bootstrap_add (&bootstrap, SEED, START));
  g_assert_true (
      roster_bootstrap_tick (&bootstrap, START + 10 * USEC_PER_SEC, &roster));
  g_assert_cmpuint (roster.n_slots, ==, ROSTER_MAX);
  g_assert_cmpint (roster_slot (&roster, FIRST), ==, 0);
  g_assert_cmpint (roster_slot (&roster, SEED), ==, ROSTER_MAX - 1);
}

static void
write_roster (const char *folder, const char *text)
{
  g_autofree char *path = g_build_filename (folder, "roster", NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
}

/* Guards against a damaged roster that is read as a shorter one: the director
   would count other majorities than the rest.  */
static void
test_roster_file (void)
{
  err_t err = { 0 };
  roster_t roster;
  g_autofree char *folder = g_dir_make_tmp ("roster-XXXXXX", NULL);
  g_autofree char *path = g_build_filename (folder, "roster", NULL);
  g_assert_true (roster_file_load (folder, &roster, &err));
  g_assert_cmpuint (roster.n_slots, ==, 0);
  roster_t full = { .n_slots = ROSTER_MAX };
  for (uint32_t i = 0; i < ROSTER_MAX; i++)
    full.addresses[i] = 0xc0a8c801 + i;
  g_assert_true (roster_file_save (folder, &full, &err));
  g_assert_true (roster_file_load (folder, &roster, &err));
  g_assert_true (roster_equal (&roster, &full));
  write_roster (folder, "10.0.0.1\n10.0.0\n10.0.0.3\n");
  g_assert_false (roster_file_load (folder, &roster, &err));
  g_assert_cmpint (err.kind, ==, ERR_STORAGE);
  GString *long_text = g_string_new (NULL);
  for (int i = 0; i <= ROSTER_MAX; i++)
    g_string_append_printf (long_text, "10.0.0.%d\n", i + 1);
  write_roster (folder, long_text->str);
  g_assert_false (roster_file_load (folder, &roster, &err));
  g_string_free (long_text, TRUE);
  g_unlink (path);
  g_rmdir (folder);
}

/* Guards against a list of many pages that is read as often as one of a single
   page, against readings so rare that a draining backend server is known too
   late, and against more calls than the platform accepts.  */
static void
test_list_interval (void)
{
  fleet_settings_t settings
      = { .backend_list_rate = 200, .bounds.drain = 3 * USEC_PER_SEC };
  g_assert_cmpint (list_reader_min_interval (1, &settings), <=,
                   400 * USEC_PER_MSEC);
  g_assert_cmpint (list_reader_min_interval (25, &settings), >=,
                   500 * USEC_PER_MSEC);
  g_assert_cmpint (list_reader_min_interval (25, &settings), <=,
                   settings.bounds.drain / 3);
  g_assert_cmpint (list_reader_min_interval (50, &settings), <=,
                   settings.bounds.drain / 3);
  settings.backend_list_rate = 20;
  g_assert_cmpint (list_reader_min_interval (25, &settings), >=,
                   25 * USEC_PER_SEC / 20);
  settings.backend_list_rate = 0;
  settings.bounds.drain = 0;
  g_assert_cmpint (list_reader_min_interval (25, &settings), ==, 0);
}

/* Guards against two directors in one slot: a slot whose holder was heard from
   within ROSTER_SLOT_TIMEOUT must not be assigned to another director.  */
static void
test_roster_free_slot (void)
{
  const roster_t roster = { .n_slots = 3, .addresses = { 1, 2, 3 } };
  const usec_t all_alive[] = { 0, 10, 2 * USEC_PER_SEC };
  g_assert_cmpint (roster_find_free_slot (&roster, all_alive, SLOT_NONE), ==,
                   SLOT_NONE);
  g_assert_cmpint (roster_find_free_slot (&roster, all_alive, 2), ==,
                   SLOT_NONE);
  const usec_t two_silent[] = { 0, 4 * USEC_PER_SEC, 30 * USEC_PER_SEC };
  g_assert_cmpint (roster_find_free_slot (&roster, two_silent, SLOT_NONE), ==,
                   2);
  /* A director to which a previous leader assigned a slot keeps it.  */
  g_assert_cmpint (roster_find_free_slot (&roster, two_silent, 1), ==, 1);
  g_assert_cmpint (roster_find_free_slot (&roster, two_silent, 0), ==, 2);
}

static void
add_router (router_table_t *table, uint32_t address, const char *domain,
            const char *region, bool takes_requests)
{
  router_record_t record = { .request_address = { address, 80 },
                             .incarnation = 1,
                             .takes_requests = takes_requests,
                             .heard_at = START };
  g_strlcpy (record.domain.text, domain, sizeof record.domain.text);
  g_strlcpy (record.region.text, region, sizeof record.region.text);
  g_assert_true (router_table_merge (table, &record));
}

static size_t
choose (const router_table_t *table, const route_config_t *config,
        const char *region, const char *domain, inet_t *addresses)
{
  const lookup_query_t query
      = { .host = "a.example", .region = region, .domain = domain };
  return lookup_choose (table, config, &query, addresses, 8);
}

/* Guards against callers that are sent to a router that reaches no backend
   server although others do, and against look-ups that name nobody when none
   does.  */
static void
test_lookup_cut_off (void)
{
  g_autofree router_table_t *table = g_new0 (router_table_t, 1);
  inet_t addresses[8];
  add_router (table, 1, "north-a", "north", true);
  add_router (table, 2, "north-b", "north", true);
  add_router (table, 3, "east-a", "east", true);
  uint64_t digest = router_table_digest (table);
  table->records[0].is_cut_off = true;
  g_assert_cmpuint (router_table_digest (table), !=, digest);
  g_assert_cmpuint (choose (table, NULL, "north", "north-a", addresses), ==,
                    1);
  g_assert_cmpuint (addresses[0].address, ==, 2);
  table->records[1].is_cut_off = true;
  g_assert_cmpuint (choose (table, NULL, "north", "north-a", addresses), ==,
                    1);
  g_assert_cmpuint (addresses[0].address, ==, 3);
  table->records[2].is_cut_off = true;
  g_assert_cmpuint (choose (table, NULL, "north", "north-a", addresses), ==,
                    2);
}

/* Guards against callers that are sent to a router that takes no requests or
   has expired, or across regions although there is a nearer router.  */
static void
test_lookup (void)
{
  router_table_t *table = g_new0 (router_table_t, 1);
  add_router (table, 1, "north-a", "north", true);
  add_router (table, 2, "north-b", "north", true);
  add_router (table, 3, "north-b", "north", false);
  add_router (table, 4, "east-a", "east", true);
  add_router (table, 5, "south-a", "south", true);
  name_t home = { "south" };
  route_t route = { .n_home_regions = 1, .home_region_names = &home };
  g_strlcpy (route.host, "a.example", sizeof route.host);
  const route_config_t config = { .n_routes = 1, .routes = &route };
  inet_t addresses[8];
  g_assert_cmpuint (choose (table, NULL, "north", "north-b", addresses), ==,
                    2);
  g_assert_cmpuint (addresses[0].address, ==, 2);
  g_assert_cmpuint (addresses[1].address, ==, 1);
  /* No router in the caller's region: only regions that the host's routes
     allow.  */
  g_assert_cmpuint (choose (table, &config, "west", "west-a", addresses), ==,
                    1);
  g_assert_cmpuint (addresses[0].address, ==, 5);
  g_assert_cmpuint (router_table_expire (table, START + ROUTER_TIMEOUT), ==,
                    5);
  g_assert_cmpuint (choose (table, NULL, "north", "north-b", addresses), ==,
                    0);
  g_free (table);
}

/* Guards against a router's report that arrives late, through another
   director, and undoes a newer one.  */
static void
test_router_reports_in_any_order (void)
{
  router_table_t *table = g_new0 (router_table_t, 1);
  router_record_t record = { .request_address = { 1, 80 },
                             .incarnation = 2,
                             .takes_requests = false,
                             .heard_at = START };
  router_table_merge (table, &record);
  record.heard_at = START - 1;
  record.takes_requests = true;
  router_table_merge (table, &record);
  g_assert_false (table->records[0].takes_requests);
  record.incarnation = 1;
  record.heard_at = START + 1;
  router_table_merge (table, &record);
  g_assert_false (table->records[0].takes_requests);
  record.incarnation = 3;
  router_table_merge (table, &record);
  g_assert_true (table->records[0].takes_requests);
  g_assert_cmpuint (table->n_records, ==, 1);
  g_free (table);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/director/highest-version", test_highest_version_holds);
  g_test_add_func ("/director/version-range", test_version_out_of_range);
  g_test_add_func ("/director/evacuations", test_evacuations);
  g_test_add_func ("/director/snapshot", test_snapshot);
  g_test_add_func ("/director/roster-waits-for-all",
                   test_roster_waits_for_all);
  g_test_add_func ("/director/roster-coordinator",
                   test_roster_has_one_coordinator);
  g_test_add_func ("/director/roster-claim", test_roster_free_slot);
  g_test_add_func ("/director/roster-full", test_roster_is_full);
  g_test_add_func ("/director/roster-file", test_roster_file);
  g_test_add_func ("/director/list-interval", test_list_interval);
  g_test_add_func ("/director/lookup", test_lookup);
  g_test_add_func ("/director/lookup-cut-off", test_lookup_cut_off);
  g_test_add_func ("/director/router-reports",
                   test_router_reports_in_any_order);
  return g_test_run ();
}
