/* Load reports that routers share.  Guards against an old report that replaces
   a newer one, against one that is told again and again, and against a table
   that grows without bound.  */

#include <glib.h>

#include "load/load_table.h"

static load_report_t
report_of (uint32_t server, uint16_t running, usec_t at)
{
  return (load_report_t){ .server = server, .running = running, .at = at };
}

static void
test_newest_wins (void)
{
  load_table_t table = { 0 };
  load_report_t read[4];
  const load_report_t newer = report_of (7, 3, 200);
  const load_report_t older = report_of (7, 1, 100);
  g_assert_true (load_table_put (&table, &newer));
  g_assert_false (load_table_put (&table, &older));
  g_assert_false (load_table_put (&table, &newer));
  g_assert_cmpuint (load_table_changed (&table, 0, 0, read, 4), ==, 1);
  g_assert_cmpuint (read[0].running, ==, 3);
  load_table_clear (&table);
}

static void
test_changes (void)
{
  load_table_t table = { 0 };
  load_report_t read[4];
  for (uint32_t i = 3; i > 0; i--)
    {
      const load_report_t report = report_of (i, 1, 100 + i);
      load_table_put (&table, &report);
    }
  uint64_t known = table.n_changes;
  g_assert_cmpuint (load_table_changed (&table, 0, 0, read, 4), ==, 3);
  for (uint32_t i = 0; i < 3; i++)
    g_assert_cmpuint (read[i].server, ==, i + 1);
  g_assert_cmpuint (load_table_changed (&table, known, 0, read, 4), ==, 0);
  const load_report_t report = report_of (2, 5, 200);
  load_table_put (&table, &report);
  g_assert_cmpuint (load_table_changed (&table, known, 0, read, 4), ==, 1);
  g_assert_cmpuint (read[0].server, ==, 2);
  g_assert_cmpuint (load_table_changed (&table, 0, 150, read, 4), ==, 1);
  load_table_clear (&table);
}

/* Of more reports than there is room for, the newest are told.  */
static void
test_newest_first (void)
{
  load_table_t table = { 0 };
  load_report_t read[2];
  static const usec_t times[] = { 30, 10, 40, 20 };
  for (uint32_t i = 0; i < 4; i++)
    {
      const load_report_t report = report_of (i, 1, times[i]);
      load_table_put (&table, &report);
    }
  g_assert_cmpuint (load_table_changed (&table, 0, 0, read, 2), ==, 2);
  g_assert_cmpuint (read[0].server, ==, 0);
  g_assert_cmpuint (read[1].server, ==, 2);
  load_table_clear (&table);
}

static void
test_bounds (void)
{
  load_table_t table = { 0 };
  for (uint32_t i = 0; i < LOAD_SERVERS_MAX + 10; i++)
    {
      const load_report_t report = report_of (i, 1, 100);
      g_assert_cmpint (load_table_put (&table, &report), ==,
                       i < LOAD_SERVERS_MAX);
    }
  load_table_expire (&table, 101);
  g_assert_cmpuint (table.n, ==, 0);
  load_table_clear (&table);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/load-table/newest-wins", test_newest_wins);
  g_test_add_func ("/load-table/changes", test_changes);
  g_test_add_func ("/load-table/newest-first", test_newest_first);
  g_test_add_func ("/load-table/bounds", test_bounds);
  return g_test_run ();
}
