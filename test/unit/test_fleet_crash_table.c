/* Unit tests of the requests that were running when backend servers ended:
   guard against a request that crashes one after the other, and against
   innocent requests that are refused with it.  */

#include <glib.h>
#include <string.h>

#include "fleet/backend_list.h"
#include "fleet/crash_evidence.h"
#include "fleet/crash_table.h"
#include "fleet/crash_wire.h"

#define SEC USEC_PER_SEC

enum
{
  SEPARATE_CRASHES = 3, /* of a request that was never answered */
};

static const fingerprint_t poison = { .low = 1, .high = 7 };
static const fingerprint_t innocent = { .low = 2, .high = 7 };

/* FINGERPRINT was sent at SENT_AT to BOOT, which ended at ENDED_AT.  */
static bool
add (crash_table_t *table, fingerprint_t fingerprint, uint64_t boot,
     usec_t sent_at, usec_t ended_at)
{
  const crash_t crash = { .boot = boot,
                          .sent_at = sent_at,
                          .ended_at = ended_at,
                          .is_confirmed = true };
  return crash_table_add (table, fingerprint, &crash, ended_at);
}

static size_t
count (const crash_table_t *table, fingerprint_t fingerprint)
{
  const suspect_t *suspect = crash_table_find (table, fingerprint);
  return suspect ? suspect_count (suspect, false) : 0;
}

static void
test_one_after_the_other (void)
{
  crash_table_t table = { 0 };
  for (int i = 0; i < SEPARATE_CRASHES; i++)
    {
      g_assert_false (crash_table_is_quarantined (&table, poison));
      g_assert_true (
          add (&table, poison, 10u + i, (10 + i) * SEC, (10 + i) * SEC + 1));
    }
  g_assert_true (crash_table_is_quarantined (&table, poison));
  g_assert_false (crash_table_is_quarantined (&table, innocent));
}

/* Three ends at one moment are no evidence, but from then on the request is
   tried once at a time; a complete answer ends that.  */
static void
test_on_trial (void)
{
  crash_table_t table = { 0 };
  fingerprint_t on_trial[QUARANTINED_MAX];
  add (&table, poison, 1, 10 * SEC, 11 * SEC);
  add (&table, poison, 2, 10 * SEC, 11 * SEC);
  g_assert_cmpuint (crash_table_on_trial (&table, on_trial), ==, 0);
  add (&table, poison, 3, 10 * SEC, 11 * SEC);
  g_assert_false (crash_table_is_quarantined (&table, poison));
  g_assert_cmpuint (crash_table_on_trial (&table, on_trial), ==, 1);
  g_assert_cmpuint (on_trial[0].low, ==, poison.low);
  crash_table_complete (&table, poison, 12 * SEC, false);
  g_assert_cmpuint (crash_table_on_trial (&table, on_trial), ==, 0);
}

/* A quarantined request is refused, not tried.  */
static void
test_quarantine_ends_trial (void)
{
  crash_table_t table = { 0 };
  fingerprint_t on_trial[QUARANTINED_MAX];
  for (int i = 0; i < SEPARATE_CRASHES; i++)
    add (&table, poison, 10u + i, (10 + i) * SEC, (10 + i) * SEC + 1);
  g_assert_true (crash_table_is_quarantined (&table, poison));
  g_assert_cmpuint (crash_table_on_trial (&table, on_trial), ==, 0);
}

/* A rack fails: one request that runs everywhere sees many crashes at
   once.  */
static void
test_at_the_same_time (void)
{
  crash_table_t table = { 0 };
  for (uint64_t boot = 1; boot <= 2 * CRASHES_PER_SUSPECT_MAX; boot++)
    add (&table, innocent, boot, 10 * SEC, 11 * SEC + (usec_t)boot);
  g_assert_cmpuint (count (&table, innocent), ==, 1);
  add (&table, innocent, 100, 12 * SEC, 13 * SEC);
  g_assert_cmpuint (count (&table, innocent), ==, 2);
}

/* Several routers can report the same crash, in any order.  */
static void
test_one_boot_counts_once (void)
{
  crash_table_t table = { 0 };
  g_assert_true (add (&table, poison, 1, 30 * SEC, 31 * SEC));
  g_assert_false (add (&table, poison, 1, 40 * SEC, 41 * SEC));
  g_assert_true (add (&table, poison, 2, 10 * SEC, 11 * SEC));
  g_assert_cmpuint (count (&table, poison), ==, 2);
}

static void
test_answer_clears (void)
{
  crash_table_t table = { 0 };
  for (uint64_t boot = 1; boot <= 3; boot++)
    add (&table, innocent, boot, (usec_t)boot * SEC, (usec_t)boot * SEC + 1);
  g_assert_true (crash_table_is_quarantined (&table, innocent));
  g_assert_true (crash_table_complete (&table, innocent, 4 * SEC, false));
  g_assert_cmpuint (count (&table, innocent), ==, 0);
  g_assert_false (add (&table, innocent, 4, 3 * SEC, 4 * SEC - 1));
  g_assert_true (add (&table, innocent, 5, 5 * SEC, 6 * SEC));
  g_assert_cmpuint (count (&table, innocent), ==, 1);
  /* Answers that follow each other closely clear what lies between.  */
  g_assert_true (crash_table_complete (&table, innocent, 7 * SEC, false));
  g_assert_true (add (&table, innocent, 6, 7 * SEC, 7 * SEC + 1));
  g_assert_true (crash_table_complete (&table, innocent, 7 * SEC + 2, false));
  g_assert_cmpuint (count (&table, innocent), ==, 0);
  g_assert_false (crash_table_complete (&table, poison, 4 * SEC, false));
  g_assert_null (crash_table_find (&table, poison));
  g_assert_true (crash_table_complete (&table, poison, 4 * SEC, true));
  g_assert_nonnull (crash_table_find (&table, poison));
}

/* A connection that ends need not mean that the backend server did.  */
static void
test_unconfirmed_do_not_count (void)
{
  crash_table_t table = { 0 };
  for (uint64_t boot = 1; boot <= 3; boot++)
    {
      const crash_t crash = { .boot = boot,
                              .sent_at = (usec_t)boot * SEC,
                              .ended_at = (usec_t)boot * SEC + 1 };
      crash_table_add (&table, poison, &crash, 4 * SEC);
    }
  const suspect_t *suspect = crash_table_find (&table, poison);
  g_assert_cmpuint (suspect_count (suspect, false), ==, 0);
  g_assert_cmpuint (suspect_count (suspect, true), ==, 3);
  g_assert_cmpuint (crash_table_confirm (&table, 2), ==, 1);
  g_assert_cmpuint (crash_table_confirm (&table, 2), ==, 0);
  g_assert_cmpuint (count (&table, poison), ==, 1);
  crash_table_expire (&table, 3 * SEC + 1 + UNCONFIRMED_CRASH_LIFETIME);
  g_assert_cmpuint (crash_table_find (&table, poison)->n_crashes, ==, 1);
}

static void
test_quarantine_ends (void)
{
  crash_table_t table = { 0 };
  for (uint64_t boot = 1; boot <= 3; boot++)
    add (&table, poison, boot, (usec_t)boot * SEC, (usec_t)boot * SEC + 1);
  crash_table_expire (&table, CRASH_LIFETIME);
  g_assert_true (crash_table_is_quarantined (&table, poison));
  crash_table_expire (&table, CRASH_LIFETIME + SEC + 1);
  g_assert_false (crash_table_is_quarantined (&table, poison));
  crash_table_expire (&table, CRASH_LIFETIME + 4 * SEC);
  g_assert_cmpuint (table.n_suspects, ==, 0);
}

static void
test_full_table_keeps_quarantined (void)
{
  crash_table_t table = { 0 };
  for (uint64_t boot = 1; boot <= 3; boot++)
    add (&table, poison, boot, (usec_t)boot * SEC, (usec_t)boot * SEC + 1);
  for (uint64_t i = 0; i < 3 * SUSPECTS_MAX; i++)
    add (&table, (fingerprint_t){ .low = 100 + i }, 50, 10 * SEC, 11 * SEC);
  g_assert_cmpuint (table.n_suspects, ==, SUSPECTS_MAX);
  g_assert_true (crash_table_is_quarantined (&table, poison));
  fingerprint_t found[QUARANTINED_MAX];
  g_assert_cmpuint (crash_table_quarantined (&table, found), ==, 1);
  g_assert_true (fingerprints_contain (found, 1, poison));
  g_assert_false (fingerprints_contain (found, 1, innocent));
  g_assert_false (fingerprints_contain (found, 0, poison));
}

/* Routers compare digests: the same requests in another order of arrival must
   give the same one.  */
static void
test_digest (void)
{
  crash_table_t a = { 0 };
  crash_table_t b = { 0 };
  fingerprint_t found[QUARANTINED_MAX];
  for (uint64_t boot = 1; boot <= 3; boot++)
    {
      usec_t at = (usec_t)boot * SEC;
      add (&a, poison, boot, at, at + 1);
      add (&a, innocent, boot, at, at + 1);
      add (&b, innocent, boot, at, at + 1);
    }
  for (uint64_t boot = 1; boot <= 3; boot++)
    add (&b, poison, boot, (usec_t)boot * SEC, (usec_t)boot * SEC + 1);
  size_t n = crash_table_quarantined (&a, found);
  uint64_t digest = fingerprints_digest (found, n);
  g_assert_cmpuint (n, ==, 2);
  g_assert_true (digest != 0);
  n = crash_table_quarantined (&b, found);
  g_assert_true (fingerprints_digest (found, n) == digest);
  g_assert_cmpuint (fingerprints_digest (found, 0), ==, 0);
}

/* Merge what FROM has changed since *KNOWN into TO, DELAY later.  */
static bool
tell (const crash_table_t *from, crash_table_t *to, uint64_t *known,
      usec_t now, usec_t delay)
{
  crash_report_t report;
  crash_wire_write (from, *known, &report, now);
  *known = report.sequence;
  return crash_wire_merge (to, report.suspects, report.n, now + delay,
                           now + delay);
}

/* Guards against reports that travel between two directors for ever, as each
   message adds its delay to the times.  */
static void
test_reports_come_to_rest (void)
{
  crash_table_t a = { 0 };
  crash_table_t b = { 0 };
  uint64_t a_knows = 0;
  uint64_t b_knows = 0;
  usec_t now = 20 * SEC;
  for (uint64_t boot = 1; boot <= 3; boot++)
    add (&a, poison, boot, (usec_t)boot * SEC, (usec_t)boot * SEC + 1);
  g_assert_true (tell (&a, &b, &b_knows, now, SEC / 20));
  g_assert_true (crash_table_is_quarantined (&b, poison));
  g_assert_false (tell (&b, &a, &a_knows, now + SEC / 10, SEC / 20));
  g_assert_false (tell (&a, &b, &b_knows, now + SEC / 5, SEC / 20));
  crash_table_complete (&a, poison, now + SEC, false);
  g_assert_true (tell (&a, &b, &b_knows, now + 2 * SEC, SEC / 20));
  g_assert_false (crash_table_is_quarantined (&b, poison));
  g_assert_false (tell (&b, &a, &a_knows, now + 3 * SEC, SEC / 20));
}

static void
test_long_report_in_parts (void)
{
  crash_table_t a = { 0 };
  crash_table_t b = { 0 };
  uint64_t known = 0;
  for (uint64_t i = 0; i < FLEET_WIRE_SUSPECTS_MAX + 5; i++)
    add (&a, (fingerprint_t){ .low = i }, 50, 10 * SEC, 11 * SEC);
  g_assert_true (tell (&a, &b, &known, 12 * SEC, 1));
  g_assert_cmpuint (b.n_suspects, ==, FLEET_WIRE_SUSPECTS_MAX);
  g_assert_true (tell (&a, &b, &known, 12 * SEC, 1));
  g_assert_cmpuint (b.n_suspects, ==, a.n_suspects);
  g_assert_false (tell (&a, &b, &known, 12 * SEC, 1));
}

/* Guards against two VMs that tell each other for ever of crashes which the
   other has no room for: of many crashes, heard of in any order, both keep the
   same ones.  */
static void
test_order_does_not_matter (void)
{
  enum
  {
    N_CRASHES = 3 * CRASHES_PER_SUSPECT_MAX,
  };
  static crash_table_t a;
  static crash_table_t b;
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      uint64_t boots[N_CRASHES];
      memset (&a, 0, sizeof a);
      memset (&b, 0, sizeof b);
      for (uint64_t i = 0; i < N_CRASHES; i++)
        boots[i] = i + 1;
      for (size_t i = N_CRASHES; i-- > 0;)
        {
          size_t other = (size_t)g_rand_int_range (random, 0, (gint32)i + 1);
          uint64_t boot = boots[other];
          boots[other] = boots[i];
          boots[i] = boot;
        }
      for (uint64_t boot = 1; boot <= N_CRASHES; boot++)
        add (&a, poison, boot, (usec_t)boot * SEC, (usec_t)boot * SEC + 1);
      for (size_t i = 0; i < N_CRASHES; i++)
        add (&b, poison, boots[i], (usec_t)boots[i] * SEC,
             (usec_t)boots[i] * SEC + 1);
      const suspect_t *in_a = crash_table_find (&a, poison);
      const suspect_t *in_b = crash_table_find (&b, poison);
      g_assert_cmpuint (in_a->n_crashes, ==, CRASHES_PER_SUSPECT_MAX);
      g_assert_cmpuint (in_b->n_crashes, ==, CRASHES_PER_SUSPECT_MAX);
      for (size_t i = 0; i < CRASHES_PER_SUSPECT_MAX; i++)
        g_assert_cmpuint (in_a->crashes[i].boot, ==, in_b->crashes[i].boot);
      uint64_t a_knows = 0;
      g_assert_false (tell (&b, &a, &a_knows, (N_CRASHES + 1) * SEC, 0));
      g_rand_free (random);
    }
}

/* Guards against a request that is told to nobody because it changes all the
   time and each report is full of others.  */
static void
test_busy_suspect_is_told (void)
{
  static crash_table_t from;
  static crash_table_t to;
  uint64_t known = 0;
  for (uint64_t boot = 1; boot <= 8; boot++)
    {
      usec_t at = (usec_t)boot * SEC;
      for (uint64_t i = 0; i < 2 * FLEET_WIRE_SUSPECTS_MAX; i++)
        add (&from, (fingerprint_t){ .low = 1000 * boot + i }, boot, at - 1,
             at);
      add (&from, poison, boot, at - 1, at);
      tell (&from, &to, &known, at + 1, 0);
    }
  g_assert_true (crash_table_is_quarantined (&to, poison));
  for (int i = 0; i < 2 * SUSPECTS_MAX / FLEET_WIRE_SUSPECTS_MAX; i++)
    tell (&from, &to, &known, 9 * SEC, 0);
  g_assert_cmpuint (known, ==, from.sequence);
}

static void
test_impossible_ages (void)
{
  static const int64_t ages[][2] = { { 5, 6 },
                                     { -1, -2 },
                                     { INT64_MAX, 1 },
                                     { INT64_MIN, INT64_MIN },
                                     { INT64_MAX, INT64_MAX } };
  crash_table_t table = { 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (ages); i++)
    {
      fleet_crash_t crash
          = { .boot = 1, .sent_age = ages[i][0], .ended_age = ages[i][1] };
      fleet_suspect_t suspect = { .completed_age = INT64_MIN };
      suspect.crashes.crashes_len = 1;
      suspect.crashes.crashes_val = &crash;
      g_assert_false (
          crash_wire_merge (&table, &suspect, 1, 9 * SEC, 9 * SEC));
    }
  g_assert_cmpuint (table.n_suspects, ==, 0);
}

/* A backend server that starts again under its id is another boot.  */
static void
test_boot (void)
{
  backend_record_t record = { .id = "i-1", .started_unix_ms = 1 };
  uint64_t first = backend_record_boot (&record);
  record.slots = 9;
  g_assert_true (backend_record_boot (&record) == first);
  record.started_unix_ms = 2;
  g_assert_true (backend_record_boot (&record) != first);
}

/* Guards against a release that lasts only until a router reports the same
   crashes again, as it does to a director that it has not asked before.  */
static void
test_released (void)
{
  crash_table_t table = { 0 };
  for (int i = 0; i < SEPARATE_CRASHES; i++)
    add (&table, poison, 10u + i, (10 + i) * SEC, (10 + i) * SEC + 1);
  g_assert_true (crash_table_is_quarantined (&table, poison));
  g_assert_true (crash_table_release (&table, poison, 20 * SEC));
  g_assert_false (crash_table_release (&table, poison, 20 * SEC));
  g_assert_false (crash_table_is_quarantined (&table, poison));
  crash_table_expire (&table, 10 * SEC + CRASH_LIFETIME);
  for (int i = 0; i < SEPARATE_CRASHES; i++)
    g_assert_false (
        add (&table, poison, 10u + i, (10 + i) * SEC, (10 + i) * SEC + 1));
  g_assert_false (crash_table_is_quarantined (&table, poison));
  for (int i = 0; i < SEPARATE_CRASHES; i++)
    add (&table, poison, 20u + i, (30 + i) * SEC, (30 + i) * SEC + 1);
  g_assert_true (crash_table_is_quarantined (&table, poison));
  crash_table_expire (&table, 40 * SEC + CRASH_LIFETIME);
  g_assert_cmpuint (table.n_suspects, ==, 0);
}

/* Guards against a release that one VM knows and another does not, and against
   one that travels back and forth for ever.  */
static void
test_release_told (void)
{
  crash_table_t from = { 0 };
  crash_table_t to = { 0 };
  static crash_report_t report;
  for (int i = 0; i < SEPARATE_CRASHES; i++)
    {
      add (&from, poison, 10u + i, (10 + i) * SEC, (10 + i) * SEC + 1);
      add (&to, poison, 10u + i, (10 + i) * SEC, (10 + i) * SEC + 1);
    }
  crash_table_release (&from, poison, 20 * SEC);
  crash_wire_write (&from, 0, &report, 21 * SEC);
  g_assert_true (
      crash_wire_merge (&to, report.suspects, report.n, 21 * SEC, 21 * SEC));
  g_assert_false (crash_table_is_quarantined (&to, poison));
  crash_wire_write (&to, 0, &report, 22 * SEC);
  g_assert_false (
      crash_wire_merge (&from, report.suspects, report.n, 22 * SEC, 22 * SEC));
}

/* A release that comes while a message is written, which bears the time of its
   begin; it was dropped as one of the future, and never told again.  */
static void
test_release_as_message_begins (void)
{
  crash_table_t from = { 0 };
  crash_table_t to = { 0 };
  uint64_t known = 0;
  for (int i = 0; i < SEPARATE_CRASHES; i++)
    add (&from, poison, 10u + i, (10 + i) * SEC, (10 + i) * SEC + 1);
  tell (&from, &to, &known, 19 * SEC, 0);
  g_assert_true (crash_table_is_quarantined (&to, poison));
  crash_table_release (&from, poison, 20 * SEC + 1);
  tell (&from, &to, &known, 20 * SEC, 0);
  g_assert_false (crash_table_is_quarantined (&to, poison));
}

static void
test_fingerprint_text (void)
{
  char text[FINGERPRINT_TEXT_BYTES];
  const fingerprint_t from = { .low = 1, .high = UINT64_MAX };
  fingerprint_t to;
  fingerprint_format (from, text);
  g_assert_true (fingerprint_parse (&to, text));
  g_assert_cmpuint (to.low, ==, from.low);
  g_assert_cmpuint (to.high, ==, from.high);
  text[5] = '-';
  g_assert_false (fingerprint_parse (&to, text));
  g_assert_false (fingerprint_parse (&to, "12"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crash-table/on-trial", test_on_trial);
  g_test_add_func ("/crash-table/quarantine-ends-trial",
                   test_quarantine_ends_trial);
  g_test_add_func ("/crash-table/one-after-the-other",
                   test_one_after_the_other);
  g_test_add_func ("/crash-table/same-time", test_at_the_same_time);
  g_test_add_func ("/crash-table/boot-once", test_one_boot_counts_once);
  g_test_add_func ("/crash-table/answer-clears", test_answer_clears);
  g_test_add_func ("/crash-table/unconfirmed", test_unconfirmed_do_not_count);
  g_test_add_func ("/crash-table/ends", test_quarantine_ends);
  g_test_add_func ("/crash-table/full", test_full_table_keeps_quarantined);
  g_test_add_func ("/crash-table/digest", test_digest);
  g_test_add_func ("/crash-table/rest", test_reports_come_to_rest);
  g_test_add_func ("/crash-table/parts", test_long_report_in_parts);
  g_test_add_func ("/crash-table/order", test_order_does_not_matter);
  g_test_add_func ("/crash-table/busy", test_busy_suspect_is_told);
  g_test_add_func ("/crash-table/impossible", test_impossible_ages);
  g_test_add_func ("/crash-table/boot", test_boot);
  g_test_add_func ("/crash-table/released", test_released);
  g_test_add_func ("/crash-table/release-told", test_release_told);
  g_test_add_func ("/crash-table/release-as-message-begins",
                   test_release_as_message_begins);
  g_test_add_func ("/crash-table/fingerprint-text", test_fingerprint_text);
  return g_test_run ();
}
