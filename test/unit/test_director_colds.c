/* Guards against a report of a cold backend server that does not reach all
   directors, comes back to its sender, or lasts longer at each director.  */

#include <glib.h>

#include "../support/director_world.h"
#include "fleet/cold_wire.h"

enum
{
  LEADER,
  FOLLOWER,
  OTHER,
  DIRECTORS,
};

#define SERVER 77u
#define NOW (100 * USEC_PER_SEC)
#define LEFT (4 * USEC_PER_SEC)
#define TRANSIT (120 * USEC_PER_MSEC)

typedef struct fleet
{
  director_world_t *worlds[DIRECTORS];
} fleet_t;

static void
fleet_open (fleet_t *fleet)
{
  for (size_t i = 0; i < DIRECTORS; i++)
    {
      fleet->worlds[i] = director_world_new ();
      director_core_t *core = &fleet->worlds[i]->core;
      core->options.seed = i + 1u;
      core->role = i == LEADER ? ROLE_LEADER : ROLE_FOLLOWER;
      core->leader_slot = LEADER;
    }
}

static void
fleet_close (fleet_t *fleet)
{
  for (size_t i = 0; i < DIRECTORS; i++)
    {
      cold_table_clear (&fleet->worlds[i]->core.colds);
      director_world_free (fleet->worlds[i]);
    }
}

static director_core_t *
core_of (fleet_t *fleet, slot_t slot)
{
  return &fleet->worlds[slot]->core;
}

/* A router tells the director in slot TO of SERVER, and knows the changes up
   to KNOWN of that director; returns what it is told.  */
static size_t
pull (fleet_t *fleet, slot_t to, size_t n_seen, uint64_t *known, usec_t now)
{
  static fleet_cold_t colds[COLDS_MAX];
  director_core_t *core = core_of (fleet, to);
  fleet_cold_t seen = { .server = SERVER, .left = LEFT / USEC_PER_MSEC };
  fleet_pull_args_t args
      = { .source = core->options.seed, .colds_known = *known };
  args.colds.colds_val = &seen;
  args.colds.colds_len = (u_int)n_seen;
  fleet_pull_result_t result = { 0 };
  core_colds_answer (core, &args, &result, colds, now);
  *known = result.colds_known;
  return result.colds.colds_len;
}

/* FROM shares with TO at NOW; the share arrives after TRANSIT, of which it
   knows all but ERROR.  Returns how many reports it carried.  */
static size_t
share (fleet_t *fleet, slot_t from, slot_t to, usec_t error, usec_t now)
{
  static fleet_cold_t colds[COLDS_MAX];
  fleet_share_args_t args = { 0 };
  uint64_t sent
      = core_colds_fill_share (core_of (fleet, from), to, &args, colds, now);
  core_colds_merge_share (core_of (fleet, to), &args, now + error,
                          now + TRANSIT);
  director_peer_t *peer = &core_of (fleet, from)->peers[to];
  uint64_t incarnation = core_of (fleet, to)->options.seed;
  core_colds_shared (core_of (fleet, from), to, incarnation, sent);
  peer->incarnation = incarnation;
  return args.colds.colds_len;
}

/* The first share to a process only shows which process it is.  */
static void
share_all_once (fleet_t *fleet)
{
  for (size_t i = 0; i < DIRECTORS; i++)
    for (size_t j = 0; j < DIRECTORS; j++)
      if (i != j && (i == LEADER || j == LEADER))
        share (fleet, i, j, 0, NOW);
}

static usec_t
until_at (fleet_t *fleet, slot_t slot)
{
  return cold_table_until (&core_of (fleet, slot)->colds, SERVER);
}

static void
test_relay (void)
{
  fleet_t fleet;
  fleet_open (&fleet);
  share_all_once (&fleet);
  uint64_t known = 0;
  pull (&fleet, FOLLOWER, 1, &known, NOW);
  g_assert_cmpuint (share (&fleet, FOLLOWER, LEADER, 0, NOW), ==, 1);
  g_assert_cmpuint (share (&fleet, LEADER, OTHER, 0, NOW), ==, 1);
  g_assert_cmpint (until_at (&fleet, OTHER), ==, NOW + LEFT);
  known = 0;
  g_assert_cmpuint (pull (&fleet, OTHER, 0, &known, NOW), ==, 1);
  g_assert_cmpuint (pull (&fleet, OTHER, 0, &known, NOW), ==, 0);
  share (&fleet, LEADER, FOLLOWER, 0, NOW);
  g_assert_cmpuint (share (&fleet, FOLLOWER, LEADER, 0, NOW), ==, 0);
  g_assert_cmpuint (share (&fleet, OTHER, LEADER, 0, NOW), ==, 0);
  fleet_close (&fleet);
}

/* Times arrive late by the whole transit, and shares go on.  */
static void
test_no_circle (void)
{
  fleet_t fleet;
  fleet_open (&fleet);
  share_all_once (&fleet);
  uint64_t known = 0;
  pull (&fleet, FOLLOWER, 1, &known, NOW);
  for (usec_t now = NOW; now < NOW + LEFT; now += 2 * TRANSIT)
    for (size_t i = FOLLOWER; i < DIRECTORS; i++)
      {
        share (&fleet, i, LEADER, TRANSIT, now);
        share (&fleet, LEADER, i, TRANSIT, now);
      }
  for (size_t i = 0; i < DIRECTORS; i++)
    g_assert_cmpint (until_at (&fleet, i), <=, NOW + LEFT + 2 * TRANSIT);
  fleet_close (&fleet);
}

/* Leaders change each second, and times arrive late.  */
static void
test_no_circle_by_leaders (void)
{
  fleet_t fleet;
  fleet_open (&fleet);
  share_all_once (&fleet);
  uint64_t known = 0;
  pull (&fleet, FOLLOWER, 1, &known, NOW);
  slot_t leader = LEADER;
  for (usec_t now = NOW; now < NOW + 10 * LEFT; now += USEC_PER_SEC)
    {
      core_of (&fleet, leader)->role = ROLE_FOLLOWER;
      leader = (slot_t)((leader + 1) % DIRECTORS);
      core_of (&fleet, leader)->role = ROLE_LEADER;
      for (size_t i = 0; i < DIRECTORS; i++)
        if (i != leader)
          {
            share (&fleet, i, leader, TRANSIT, now);
            share (&fleet, leader, i, TRANSIT, now);
          }
    }
  for (size_t i = 0; i < DIRECTORS; i++)
    g_assert_cmpint (until_at (&fleet, i), <=, NOW + 2 * LEFT);
  fleet_close (&fleet);
}

/* The leader is lost after it has told one of the others, and these share with
   each other until one of them leads.  */
static void
test_leader_lost (void)
{
  fleet_t fleet;
  fleet_open (&fleet);
  share_all_once (&fleet);
  uint64_t known = 0;
  pull (&fleet, LEADER, 1, &known, NOW);
  g_assert_cmpuint (share (&fleet, LEADER, FOLLOWER, 0, NOW), ==, 1);
  share (&fleet, FOLLOWER, OTHER, 0, NOW);
  share (&fleet, FOLLOWER, OTHER, 0, NOW);
  core_of (&fleet, FOLLOWER)->role = ROLE_LEADER;
  share (&fleet, FOLLOWER, OTHER, 0, NOW);
  g_assert_cmpint (until_at (&fleet, OTHER), ==, NOW + LEFT);
  fleet_close (&fleet);
}

/* The leader is lost after it has told one of the others, whose own router
   then sees the same; the third director leads.  */
static void
test_leader_lost_and_seen_again (void)
{
  fleet_t fleet;
  fleet_open (&fleet);
  share_all_once (&fleet);
  uint64_t known = 0;
  pull (&fleet, LEADER, 1, &known, NOW);
  g_assert_cmpuint (share (&fleet, LEADER, FOLLOWER, 0, NOW), ==, 1);
  known = 0;
  pull (&fleet, FOLLOWER, 1, &known, NOW);
  core_of (&fleet, OTHER)->role = ROLE_LEADER;
  share (&fleet, FOLLOWER, OTHER, 0, NOW);
  share (&fleet, FOLLOWER, OTHER, 0, NOW);
  g_assert_cmpint (until_at (&fleet, OTHER), ==, NOW + LEFT);
  fleet_close (&fleet);
}

/* A server ends again shortly before its limit does.  */
static void
test_second_end_is_shared_soon (void)
{
  fleet_t fleet;
  fleet_open (&fleet);
  director_core_t *core = core_of (&fleet, FOLLOWER);
  const cold_report_t first
      = { .server = SERVER, .until = NOW + USEC_PER_SEC / 5 };
  g_assert_true (cold_table_put (&core->colds, &first, true));
  core->next_share_at = NOW + SHARE_INTERVAL;
  uint64_t known = 0;
  pull (&fleet, FOLLOWER, 1, &known, NOW);
  g_assert_cmpint (core->next_share_at, <, NOW + SHARE_INTERVAL);
  fleet_close (&fleet);
}

/* More servers than one message holds reach a director in several.  */
static void
test_more_than_a_message (void)
{
  fleet_t fleet;
  fleet_open (&fleet);
  share_all_once (&fleet);
  director_core_t *leader = core_of (&fleet, LEADER);
  for (uint64_t i = 1; i <= 2 * COLDS_MAX + 1; i++)
    {
      const cold_report_t report = { .server = i, .until = NOW + LEFT };
      g_assert_true (cold_table_put (&leader->colds, &report, true));
    }
  size_t n = 0;
  for (int i = 0; i < 4; i++)
    n += share (&fleet, LEADER, OTHER, 0, NOW);
  g_assert_cmpuint (n, ==, 2 * COLDS_MAX + 1);
  g_assert_cmpuint (core_of (&fleet, OTHER)->colds.n, ==, n);
  fleet_close (&fleet);
}

/* A pull that was sent before the director was paused is read after it: what
   was left then is over.  The router tells again.  */
static void
test_paused_director (void)
{
  fleet_t fleet;
  fleet_open (&fleet);
  director_core_t *core = core_of (&fleet, FOLLOWER);
  core_colds_note_run (core, NOW);
  usec_t resumed_at = NOW + 6 * USEC_PER_SEC;
  core_colds_note_run (core, resumed_at);
  uint64_t known = 0;
  pull (&fleet, FOLLOWER, 1, &known, resumed_at + USEC_PER_MSEC);
  g_assert_cmpint (until_at (&fleet, FOLLOWER), ==, 0);
  usec_t now = resumed_at;
  for (; now < resumed_at + USEC_PER_SEC; now += 10 * USEC_PER_MSEC)
    core_colds_note_run (core, now);
  pull (&fleet, FOLLOWER, 1, &known, now);
  g_assert_cmpint (until_at (&fleet, FOLLOWER), ==, now + LEFT);
  fleet_close (&fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/director-colds/relay", test_relay);
  g_test_add_func ("/director-colds/no-circle", test_no_circle);
  g_test_add_func ("/director-colds/no-circle-by-leaders",
                   test_no_circle_by_leaders);
  g_test_add_func ("/director-colds/leader-lost", test_leader_lost);
  g_test_add_func ("/director-colds/leader-lost-and-seen-again",
                   test_leader_lost_and_seen_again);
  g_test_add_func ("/director-colds/more-than-a-message",
                   test_more_than_a_message);
  g_test_add_func ("/director-colds/second-end-is-shared-soon",
                   test_second_end_is_shared_soon);
  g_test_add_func ("/director-colds/paused", test_paused_director);
  return g_test_run ();
}
