/* Guards against a router that passes on all requests that come at once, when
   one that ends its servers was held back and there is not evidence enough for
   a quarantine: the times of docs/incidents/crashes-seed-25.txt.  */

#include <glib.h>

#include "../support/sync_world.h"
#include "router/dispatcher_internal.h"

#define MSEC USEC_PER_MSEC
#define FIRST_END_AT (100 * USEC_PER_SEC)
/* Of the third end, and then the time of the bound.  */
#define LATE_FROM (FIRST_END_AT + (1036 + 3000) * MSEC)
#define RUN_TIME (1447 * MSEC)

enum
{
  LATE_MAX = 3,
  ROUTERS = 2, /* the third one was lost */
  ENDS = 5,
};

static const fingerprint_t request = { .low = 1, .high = 2 };

typedef struct recorded_end
{
  int msec; /* since the first */
  size_t router;
} recorded_end_t;

static const recorded_end_t ends[ENDS]
    = { { 0, 0 }, { 11, 1 }, { 1036, 0 }, { 1065, 0 }, { 1459, 1 } };
/* Of attempts after these ends: msec since the first one.  */
static const int attempts[] = { 3514, 3615, 4104, 4104, 4217, 4533 };

/* How many attempts ROUTER, one of ROUTERS in regions of their own, lets
   through later than the bound's time, if all come to it.  */
static size_t
late_attempts (size_t router)
{
  static const char *const regions[ROUTERS] = { "north", "east" };
  pool_router_t routers[ROUTERS] = { 0 };
  sync_world_t *world = sync_world_new ();
  fleet_settings_t *settings = &world->settings;
  for (size_t i = 0; i < ROUTERS; i++)
    {
      routers[i].address = (uint32_t)i + 1;
      g_strlcpy (routers[i].region.text, regions[i],
                 sizeof routers[i].region.text);
    }
  g_strlcpy (settings->region.text, regions[router],
             sizeof settings->region.text);
  settings->requests.address = (uint32_t)router + 1;
  fingerprint_t on_trial[] = { request }; /* of all five ends */
  fleet_snapshot_t snapshot = { .n_routers = ROUTERS,
                                .routers = routers,
                                .n_on_trial = 1,
                                .on_trial = on_trial };
  dispatcher_t *dispatcher = calloc (1, sizeof *dispatcher);
  dispatcher->options.settings = settings;
  dispatcher->snapshot = &snapshot;
  list_init (&dispatcher->active);
  for (size_t i = 0; i < ENDS; i++)
    {
      usec_t at = FIRST_END_AT + ends[i].msec * MSEC;
      const crash_t crash = { .boot = i + 1,
                              .sent_at = at - RUN_TIME,
                              .ended_at = at,
                              .is_confirmed = true };
      if (ends[i].router == router)
        crash_table_add (&dispatcher->crashes, request, &crash, at);
    }
  exchange_t *exchanges = calloc (G_N_ELEMENTS (attempts), sizeof *exchanges);
  size_t n_late = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (attempts); i++)
    {
      exchange_t *exchange = &exchanges[i];
      usec_t now = FIRST_END_AT + attempts[i] * MSEC;
      exchange->has_fingerprint = true;
      exchange->fingerprint = request;
      list_push_back (&dispatcher->active, &exchange->link);
      if (dispatcher_may_be_poison (dispatcher, exchange, now))
        continue;
      /* No run of the record ends before the last attempt.  */
      g_assert_cmpint (now + RUN_TIME, >, FIRST_END_AT + 4533 * MSEC);
      exchange->call = (backend_call_t *)exchange;
      n_late += now > LATE_FROM;
    }
  free (exchanges);
  free (dispatcher);
  sync_world_free (world);
  return n_late;
}

static void
test_seed_25 (void)
{
  size_t n_late = 0;
  for (size_t router = 0; router < ROUTERS; router++)
    n_late += late_attempts (router);
  g_assert_cmpuint (n_late, <=, LATE_MAX);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/trial-replay/seed-25", test_seed_25);
  return g_test_run ();
}
