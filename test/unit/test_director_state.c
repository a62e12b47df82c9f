/* What the directors agree on, who holds which slot, and whom callers are
   sent to.  */

#include <glib.h>
#include <string.h>

#include "director/director_state.h"
#include "director/lookup.h"
#include "director/roster.h"

static void
put (director_state_t *state, log_index_t index, uint64_t version,
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
  g_assert_cmpuint (state->version, ==, version);
  g_assert_cmpmem (state->config->bytes, state->config->length, text,
                   strlen (text));
}

/* Two operators, and an older change that is delivered again.  */
static void
test_highest_version_holds (void)
{
  director_state_t state = { 0 };
  put (&state, 1, 7, "seven");
  put (&state, 2, 9, "nine");
  put (&state, 3, 8, "eight");
  assert_config (&state, 9, "nine");
  put (&state, 4, 9, "another nine");
  assert_config (&state, 9, "nine");
  director_state_clear (&state);
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

static void
test_snapshot (void)
{
  director_state_t state = { 0 };
  put (&state, 1, 5, "five");
  evacuate (&state, 2, "east-a", true);
  blob_t *saved = director_state_save (&state);
  director_state_t restored = { 0 };
  put (&restored, 1, 4, "four");
  g_assert_true (director_state_restore (&restored, saved, NULL));
  assert_config (&restored, 5, "five");
  g_assert_true (director_state_is_evacuated (&restored, "east-a"));
  g_assert_cmpuint (restored.evacuations_index, ==, 2);
  blob_t *cut = blob_new (saved->bytes, saved->length / 2);
  g_assert_false (director_state_restore (&restored, cut, NULL));
  assert_config (&restored, 5, "five");
  blob_unref (cut);
  blob_unref (saved);
  director_state_clear (&restored);
  director_state_clear (&state);
}

#define START (50 * USEC_PER_SEC)

static void
test_roster_waits_for_all (void)
{
  const uint32_t seeds[] = { 20, 10, 30 };
  roster_former_t former;
  roster_t roster = { 0 };
  roster_former_init (&former, 10, seeds, 3, true, START);
  usec_t late = START + 10 * USEC_PER_SEC;
  g_assert_false (roster_former_tick (&former, late, &roster));
  roster_former_hear (&former, 20, START + 1);
  roster_former_hear (&former, 30, START + 1);
  roster_former_hear (&former, 5, START + USEC_PER_SEC);
  g_assert_false (
      roster_former_tick (&former, START + 1200 * USEC_PER_MSEC, &roster));
  g_assert_true (roster_former_tick (&former, late, &roster));
  g_assert_cmpuint (roster.n_slots, ==, 4);
  g_assert_cmpint (roster_slot (&roster, 5), ==, 0);
  g_assert_cmpint (roster_slot (&roster, 30), ==, 3);
  g_assert_cmpint (roster_slot (&roster, 99), ==, SLOT_NONE);
}

/* One alone forms it: neither another seed, nor a director that comes back
   with an empty disk.  */
static void
test_roster_is_formed_once (void)
{
  const uint32_t seeds[] = { 20, 10, 30 };
  roster_former_t former;
  roster_former_init (&former, 20, seeds, 3, true, START);
  g_assert_false (former.is_former);
  roster_former_init (&former, 10, seeds, 3, false, START);
  g_assert_false (former.is_former);
  roster_former_init (&former, 5, seeds, 3, true, START);
  g_assert_false (former.is_former);
}

static void
test_roster_claim (void)
{
  const roster_t roster = { .n_slots = 3, .addresses = { 1, 2, 3 } };
  const usec_t calm[] = { 0, 10, 2 * USEC_PER_SEC };
  g_assert_cmpint (roster_free_slot (&roster, calm, SLOT_NONE), ==, SLOT_NONE);
  g_assert_cmpint (roster_free_slot (&roster, calm, 2), ==, SLOT_NONE);
  const usec_t gone[] = { 0, 4 * USEC_PER_SEC, 30 * USEC_PER_SEC };
  g_assert_cmpint (roster_free_slot (&roster, gone, SLOT_NONE), ==, 2);
  /* One that was given a slot, by a leader that is gone, keeps it.  */
  g_assert_cmpint (roster_free_slot (&roster, gone, 1), ==, 1);
  g_assert_cmpint (roster_free_slot (&roster, gone, 0), ==, 2);
}

static void
add_router (router_table_t *table, uint32_t address, const char *domain,
            const char *region, bool takes_requests)
{
  router_record_t record = { .requests = { address, 80 },
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
  route_t route = { .n_home_regions = 1, .home_regions = &home };
  g_strlcpy (route.host, "a.example", sizeof route.host);
  const route_config_t config = { .n_routes = 1, .routes = &route };
  inet_t addresses[8];
  g_assert_cmpuint (choose (table, NULL, "north", "north-b", addresses), ==,
                    2);
  g_assert_cmpuint (addresses[0].address, ==, 2);
  g_assert_cmpuint (addresses[1].address, ==, 1);
  /* No router of its own region: only where the host may be served.  */
  g_assert_cmpuint (choose (table, &config, "west", "west-a", addresses), ==,
                    1);
  g_assert_cmpuint (addresses[0].address, ==, 5);
  g_assert_cmpuint (router_table_expire (table, START + ROUTER_LIFETIME), ==,
                    5);
  g_assert_cmpuint (choose (table, NULL, "north", "north-b", addresses), ==,
                    0);
  g_free (table);
}

/* A report that took a detour does not undo a later one.  */
static void
test_router_reports_in_any_order (void)
{
  router_table_t *table = g_new0 (router_table_t, 1);
  router_record_t record = { .requests = { 1, 80 },
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
  g_test_add_func ("/director/highest", test_highest_version_holds);
  g_test_add_func ("/director/evacuations", test_evacuations);
  g_test_add_func ("/director/snapshot", test_snapshot);
  g_test_add_func ("/director/roster-all", test_roster_waits_for_all);
  g_test_add_func ("/director/roster-once", test_roster_is_formed_once);
  g_test_add_func ("/director/roster-claim", test_roster_claim);
  g_test_add_func ("/director/lookup", test_lookup);
  g_test_add_func ("/director/reports", test_router_reports_in_any_order);
  return g_test_run ();
}
