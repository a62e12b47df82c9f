/* Guards against a request that ends its backend servers and is sent on for
   longer than the bound allows, at any rate and overlap of its runs, and
   against requests that are refused because they ran beside it.  */

#include <glib.h>
#include <string.h>

#include "fleet/crash_evidence.h"
#include "fleet/crash_table.h"
#include "fleet/crash_wire.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
/* The bound: later than this after the third end, at most so many sends.  */
#define SETTLE_TIME (3 * SEC)
#define LATE_SENDS_MAX 3
#define LAST_SEND_AT (60 * SEC)
/* Routers and directors tell each other what they know this often.  */
#define REPORT_INTERVAL (450 * MSEC)
#define RESEND_TIME (100 * MSEC)

enum
{
  RUNS_MAX = 1024,
  ROUTERS_MAX = 9,
  CALLERS_MAX = 18,
  N_COMMON = 24, /* requests that are asked for all the time */
};

static const fingerprint_t poison = { .low = 1, .high = 7 };

static fingerprint_t
common_request (uint64_t i)
{
  return (fingerprint_t){ .low = 100 + i, .high = 9 };
}

static void
add (crash_table_t *table, fingerprint_t fingerprint, uint64_t boot,
     usec_t sent_at, usec_t ended_at)
{
  const crash_t crash = { .boot = boot,
                          .sent_at = sent_at,
                          .ended_at = ended_at,
                          .is_confirmed = true };
  crash_table_add (table, fingerprint, &crash, ended_at);
}

/* --- The request that ends its servers ---------------------------------- */

/* A number of routers and one director, each with a table of its own.  */
typedef struct fleet
{
  size_t n_routers;
  crash_table_t routers[ROUTERS_MAX];
  uint64_t told[ROUTERS_MAX]; /* changes that the director has */
  crash_table_t director;
  size_t n_listed[ROUTERS_MAX]; /* quarantined, as the director told */
  usec_t next_report_at;
} fleet_t;

static void
exchange_reports (fleet_t *fleet, usec_t now)
{
  static crash_report_t report;
  for (size_t i = 0; i < fleet->n_routers; i++)
    {
      crash_wire_write (&fleet->routers[i], fleet->told[i], &report, now);
      crash_wire_merge (&fleet->director, report.suspects, report.n, now, now);
      fleet->told[i] = report.sequence;
    }
  /* Another director would be told one interval later.  */
  for (size_t i = 0; i < fleet->n_routers; i++)
    fleet->n_listed[i] = crash_table_is_quarantined (&fleet->director, poison);
}

/* Whether ROUTER refuses the request, as dispatcher_refuse_suspect does.  */
static bool
is_refused (fleet_t *fleet, size_t router, usec_t now)
{
  crash_table_t *table = &fleet->routers[router];
  const suspect_t *suspect = crash_table_find (table, poison);
  return fleet->n_listed[router] > 0
         || crash_table_is_quarantined (table, poison)
         || (suspect && now < suspect_held_back_until (suspect));
}

/* Send the request each INTERVAL, each run to end its server RUN_TIME later.
   Returns how many sends come too late.  */
static size_t
late_sends (fleet_t *fleet, usec_t interval, usec_t run_time)
{
  size_t n_ends = 0;
  size_t n_sent = 0;
  size_t n_late = 0;
  usec_t third_end_at = INT64_MAX;
  static usec_t sent_at[RUNS_MAX];
  static size_t router_of[RUNS_MAX];
  for (usec_t now = SEC; now < LAST_SEND_AT; now += MSEC)
    {
      while (n_ends < n_sent && sent_at[n_ends] + run_time <= now)
        {
          add (&fleet->routers[router_of[n_ends]], poison, 1000 + n_ends,
               sent_at[n_ends], now);
          if (++n_ends == 3)
            third_end_at = now;
        }
      if (now >= fleet->next_report_at)
        {
          fleet->next_report_at = now + REPORT_INTERVAL;
          exchange_reports (fleet, now);
        }
      if (now % interval != 0 || n_sent == RUNS_MAX)
        continue;
      size_t router = n_sent % fleet->n_routers;
      if (is_refused (fleet, router, now))
        continue;
      router_of[n_sent] = router;
      sent_at[n_sent++] = now;
      n_late += third_end_at < INT64_MAX && now > third_end_at + SETTLE_TIME;
    }
  return n_late;
}

/* All have had an answer to the request, before it began to end servers.  */
static void
note_answered (fleet_t *fleet)
{
  crash_table_complete (&fleet->director, poison, SEC - 1, true);
  for (size_t i = 0; i < fleet->n_routers; i++)
    crash_table_complete (&fleet->routers[i], poison, SEC - 1, true);
}

static void
check_bound (bool was_answered)
{
  static const usec_t intervals[]
      = { 2000, 1000, 500, 370, 250, 125, 83 }; /* msec */
  static const usec_t run_times[]
      = { 100, 500, 1000, 1430, 2500, 4000 }; /* msec */
  static const size_t routers[] = { 1, 3, ROUTERS_MAX };
  static fleet_t fleet;
  for (size_t i = 0; i < G_N_ELEMENTS (intervals); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (run_times); j++)
      for (size_t k = 0; k < G_N_ELEMENTS (routers); k++)
        {
          memset (&fleet, 0, sizeof fleet);
          fleet.n_routers = routers[k];
          if (was_answered)
            note_answered (&fleet);
          size_t n_late
              = late_sends (&fleet, intervals[i] * MSEC, run_times[j] * MSEC);
          if (n_late > LATE_SENDS_MAX)
            g_test_message ("each %d ms, %d ms a run, %zu routers: %zu late",
                            (int)intervals[i], (int)run_times[j], routers[k],
                            n_late);
          g_assert_cmpuint (n_late, <=, LATE_SENDS_MAX);
        }
}

static void
test_bound (void)
{
  check_bound (false);
}

static void
test_bound_answered (void)
{
  check_bound (true);
}

/* Callers send the request all at once, and each again RESEND_TIME after its
   run has ended its server.  Returns how many sends come too late.  */
static size_t
late_sends_at_once (fleet_t *fleet, size_t n_callers, usec_t run_time)
{
  size_t n_ends = 0;
  size_t n_late = 0;
  usec_t third_end_at = INT64_MAX;
  usec_t sent_at[CALLERS_MAX] = { 0 }; /* 0: no run */
  usec_t next_at[CALLERS_MAX];
  for (size_t i = 0; i < n_callers; i++)
    next_at[i] = SEC;
  for (usec_t now = SEC; now < LAST_SEND_AT; now += MSEC)
    {
      if (now >= fleet->next_report_at)
        {
          fleet->next_report_at = now + REPORT_INTERVAL;
          exchange_reports (fleet, now);
        }
      for (size_t i = 0; i < n_callers; i++)
        {
          size_t router = i % fleet->n_routers;
          if (sent_at[i] > 0 && now >= sent_at[i] + run_time)
            {
              add (&fleet->routers[router], poison, 1000 + n_ends, sent_at[i],
                   now);
              sent_at[i] = 0;
              next_at[i] = now + RESEND_TIME;
              if (++n_ends == 3)
                third_end_at = now;
            }
          if (sent_at[i] > 0 || now < next_at[i])
            continue;
          next_at[i] = now + RESEND_TIME;
          if (is_refused (fleet, router, now))
            continue;
          sent_at[i] = now;
          n_late
              += third_end_at < INT64_MAX && now > third_end_at + SETTLE_TIME;
        }
    }
  return n_late;
}

static void
test_at_once (void)
{
  static const size_t callers[] = { 1, 2, 3, 4, 5, 6, 12, CALLERS_MAX };
  static const usec_t run_times[]
      = { 100, 700, 1400, 2000, 2950, 3000, 3500, 4000 }; /* msec */
  static const size_t routers[] = { 1, 3, ROUTERS_MAX };
  static fleet_t fleet;
  size_t n_failed = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (callers); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (run_times); j++)
      for (size_t k = 0; k < G_N_ELEMENTS (routers); k++)
        {
          memset (&fleet, 0, sizeof fleet);
          fleet.n_routers = routers[k];
          size_t n_late
              = late_sends_at_once (&fleet, callers[i], run_times[j] * MSEC);
          if (n_late <= LATE_SENDS_MAX)
            continue;
          n_failed++;
          g_test_message ("%zu callers, %d ms a run, %zu routers: %zu late",
                          callers[i], (int)run_times[j], routers[k], n_late);
        }
  g_assert_cmpuint (n_failed, ==, 0);
}

/* All servers of a service end together, and again when they are back.  */
static void
test_few_servers (void)
{
  enum
  {
    N_SERVERS = 9,
  };
  crash_table_t table = { 0 };
  for (uint64_t i = 0; i < N_SERVERS; i++)
    add (&table, poison, i, SEC, 2 * SEC + (usec_t)i * MSEC);
  g_assert_false (crash_table_is_quarantined (&table, poison));
  add (&table, poison, 100, 4 * SEC, 5 * SEC);
  g_assert_true (crash_table_is_quarantined (&table, poison));
}

/* --- Requests that were merely there ------------------------------------ */

static void
assert_none_refused (crash_table_t *table)
{
  for (uint64_t i = 0; i < N_COMMON; i++)
    g_assert_false (crash_table_is_quarantined (table, common_request (i)));
}

/* Racks end one after the other; a request that is asked for all the time ran
   on each of their servers, and is answered elsewhere.  */
static void
test_racks (void)
{
  enum
  {
    N_RACKS = 3,
    N_SERVERS = 16,
  };
  crash_table_t table = { 0 };
  for (uint64_t rack = 0; rack < N_RACKS; rack++)
    {
      usec_t at = (usec_t)(rack + 1) * SEC;
      for (uint64_t i = 0; i < N_SERVERS; i++)
        for (uint64_t j = 0; j < N_COMMON; j++)
          add (&table, common_request (j), 100 * rack + i, at - SEC / 2,
               at + (usec_t)i * 10 * MSEC);
      assert_none_refused (&table);
      for (uint64_t j = 0; j < N_COMMON; j++)
        crash_table_complete (&table, common_request (j), at + SEC / 2, false);
    }
  assert_none_refused (&table);
}

/* A request ends one server after the other; each time the share PRESENT of
   the common ones runs there too, and they are answered now and then, and
   before if WERE_ANSWERED is true.  */
static void
run_beside_poison (double present, bool were_answered)
{
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      static crash_table_t table;
      memset (&table, 0, sizeof table);
      for (uint64_t j = 0; were_answered && j < N_COMMON; j++)
        crash_table_complete (&table, common_request (j), SEC, true);
      for (uint64_t boot = 1; boot <= 24; boot++)
        {
          usec_t at = 10 * SEC + (usec_t)boot * 250 * MSEC;
          add (&table, poison, boot, at - SEC, at);
          for (uint64_t j = 0; j < N_COMMON; j++)
            {
              if (g_rand_double (random) < present)
                add (&table, common_request (j), boot, at - SEC, at);
              if (g_rand_double (random) < 0.1)
                crash_table_complete (&table, common_request (j), at + 1,
                                      false);
            }
          assert_none_refused (&table);
        }
      g_assert_true (crash_table_is_quarantined (&table, poison));
      g_rand_free (random);
    }
}

static void
test_beside_poison (void)
{
  run_beside_poison (0.25, false);
  run_beside_poison (0.8, true);
}

/* The same, but all of them run at each server that ends, and none is answered
   meanwhile.  They have been answered before.  */
static void
test_answered_before (void)
{
  crash_table_t table = { 0 };
  for (uint64_t j = 0; j < N_COMMON; j++)
    crash_table_complete (&table, common_request (j), SEC, true);
  for (uint64_t boot = 1; boot <= 12; boot++)
    {
      usec_t at = 2 * SEC + (usec_t)boot * 250 * MSEC;
      for (uint64_t j = 0; j < N_COMMON; j++)
        add (&table, common_request (j), boot, at - SEC, at);
      add (&table, poison, boot, at - SEC, at);
      assert_none_refused (&table);
    }
  g_assert_true (crash_table_is_quarantined (&table, poison));
}

typedef struct recorded_run
{
  int sent_at;  /* msec since the first end */
  int ended_at; /* the same */
} recorded_run_t;

/* Nine servers end within 331 ms, and a common request that was cut off is
   sent again at once, to one that ends next: the runs that one router saw when
   two requests were refused that merely ran beside it.  */
static void
test_burst_of_retries (void)
{
  static const recorded_run_t runs[]
      = { { -34, 0 },    { 1, 30 },     { 31, 80 },  { -39, 132 },
          { -157, 143 }, { -101, 229 }, { -37, 317 } };
  crash_table_t table = { 0 };
  crash_table_complete (&table, common_request (0), SEC, true);
  for (uint64_t i = 0; i < G_N_ELEMENTS (runs); i++)
    {
      add (&table, common_request (0), i + 1, 2 * SEC + runs[i].sent_at * MSEC,
           2 * SEC + runs[i].ended_at * MSEC);
      assert_none_refused (&table);
    }
}

/* One caller sends a thousand different requests that end their servers: the
   table stays bounded, those that come again and again are refused, and the
   common requests beside them are not.  */
static void
test_flood (void)
{
  enum
  {
    N_FLOOD = 1000,
    N_REPEATED = 20,
    ROUNDS = 6,
  };
  static crash_table_t table;
  uint64_t boot = 1;
  for (uint64_t j = 0; j < N_COMMON; j++)
    crash_table_complete (&table, common_request (j), SEC, true);
  for (usec_t at = 10 * SEC; at < (10 + ROUNDS) * SEC; at += SEC)
    {
      for (uint64_t i = 0; i < N_FLOOD; i++, boot++)
        {
          uint64_t which = i % 10 == 0 ? i % (10 * N_REPEATED) : at + i;
          const fingerprint_t request = { .low = which, .high = 5 };
          add (&table, request, boot, at - MSEC, at + (usec_t)i);
          add (&table, common_request (i % N_COMMON), boot, at - MSEC,
               at + (usec_t)i);
          if (i % 7 == 0)
            crash_table_complete (&table, common_request (i % N_COMMON),
                                  at + (usec_t)i + 1, true);
        }
      assert_none_refused (&table);
    }
  g_assert_cmpuint (table.n_suspects, <=, SUSPECTS_MAX);
  for (uint64_t i = 0; i < N_REPEATED; i++)
    g_assert_true (crash_table_is_quarantined (
        &table, (fingerprint_t){ .low = 10 * i, .high = 5 }));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crash-bound/rate-and-overlap", test_bound);
  g_test_add_func ("/crash-bound/answered", test_bound_answered);
  g_test_add_func ("/crash-bound/at-once", test_at_once);
  g_test_add_func ("/crash-bound/few-servers", test_few_servers);
  g_test_add_func ("/crash-bound/racks", test_racks);
  g_test_add_func ("/crash-bound/beside-poison", test_beside_poison);
  g_test_add_func ("/crash-bound/answered-before", test_answered_before);
  g_test_add_func ("/crash-bound/burst-of-retries", test_burst_of_retries);
  g_test_add_func ("/crash-bound/flood", test_flood);
  return g_test_run ();
}
