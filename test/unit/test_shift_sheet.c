/* Tests of the sheet parser: the committed sheets are accepted, and bad rows
   of each kind are refused.  */

#include <glib.h>
#include <string.h>

#include "placement/topology.h"
#include "settings/settings.h"
#include "shift/sheet.h"

static settings_t *
load_settings (const char *organisation)
{
  char *path
      = g_strdup_printf ("%s/examples/%s.yaml", SOURCE_DIR, organisation);
  err_t err = { 0 };
  settings_t *settings = settings_load (path, &err);
  g_assert_cmpstr (err.message, ==, "");
  g_free (path);
  return settings;
}

static char *
load_sheet (const char *organisation)
{
  char *path
      = g_strdup_printf ("%s/examples/%s-sheet.csv", SOURCE_DIR, organisation);
  char *text = NULL;
  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  g_free (path);
  return text;
}

static void
test_committed_sheets_parse (void)
{
  static const char *const names[] = { "consortium", "cooperative" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      settings_t *settings = load_settings (names[i]);
      char *text = load_sheet (names[i]);
      sheet_faults_t faults;
      err_t err = { 0 };
      sheet_t *sheet = sheet_parse (text, strlen (text), &settings->topology,
                                    &faults, &err);
      g_assert_cmpstr (err.message, ==, "");
      g_assert_cmpuint (sheet->number, ==, 20261204);
      g_assert_cmpuint (sheet->n_backends, ==, 48);
      g_assert_cmpuint (sheet->n_shares, ==, 12);
      g_assert_cmpuint (sheet->n_prices, ==, 12); /* 4 services, 3 regions */
      g_assert_cmpuint (sheet->backends[0].port, ==, 9000);
      sheet_free (sheet);
      g_free (text);
      settings_free (settings);
    }
}

/* Every bad row is reported with its column, and no good row is.  */
static void
test_bad_rows_are_all_named (void)
{
  static const char text[]
      = "record,service,place,name,address,value\n"
        "shift,,,number,,7\n"
        "shift,,,number,,8\n"
        "shift,,,cost_cap,,12.50\n"
        "shift,,,operator,,a b\n"
        "shift,,,currency,,JPY\n"
        "price,,nowhere,,,3\n"
        "traffic,songfind,sapporo,,,101\n"
        "backend,nosuch,sapporo-1,x1,127.0.0.1:1,serving\n"
        "backend,songfind,sapporo-9,x2,127.0.0.1:2,serving\n"
        "backend,songfind,sapporo-1,x3,127.0.0.1,serving\n"
        "backend,songfind,sapporo-1,x4,127.0.0.1:4,resting\n"
        "backend,songfind,sapporo-1,x5\n"
        "banana,,,,,\n"
        "backend,songfind,sapporo-1,x6,127.0.0.1:6,serving\n"
        "backend,songfind,sapporo-1,x6,127.0.0.1:6,joining\n"
        ",,,,,\n";
  static const struct
  {
    size_t row;
    const char *column;
  } expected[] = { { 3, "name" },    { 4, "value" },    { 5, "value" },
                   { 7, "place" },   { 8, "value" },    { 9, "service" },
                   { 10, "place" },  { 11, "address" }, { 12, "value" },
                   { 13, "record" }, { 14, "record" },  { 0, "name" },
                   { 0, "name" },    { 0, "name" },     { 0, "address" },
                   { 0, "value" } };
  settings_t *settings = load_settings ("consortium");
  sheet_faults_t faults;
  err_t err = { 0 };
  g_assert_null (
      sheet_parse (text, strlen (text), &settings->topology, &faults, &err));
  g_assert_cmpint (err.kind, ==, ERR_SHEET);
  g_assert_cmpuint (faults.n_faults, ==, G_N_ELEMENTS (expected));
  for (size_t i = 0; i < faults.n_faults; i++)
    {
      g_assert_cmpuint (faults.fault[i].row, ==, expected[i].row);
      g_assert_cmpstr (faults.fault[i].column, ==, expected[i].column);
      g_assert_cmpstr (faults.fault[i].remedy, !=, "");
    }
  settings_free (settings);
}

static void
test_not_csv_is_refused (void)
{
  settings_t *settings = load_settings ("consortium");
  sheet_faults_t faults;
  err_t err = { 0 };
  static const char *const texts[]
      = { "", "record,\"a\nb", "\"x\"y,1\n", "name,record\n1,2\n" };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_assert_null (sheet_parse (texts[i], strlen (texts[i]),
                                  &settings->topology, &faults, &err));
      g_assert_cmpint (err.kind, ==, ERR_SHEET);
    }
  settings_free (settings);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/shift/sheet/committed", test_committed_sheets_parse);
  g_test_add_func ("/shift/sheet/bad-rows", test_bad_rows_are_all_named);
  g_test_add_func ("/shift/sheet/not-csv", test_not_csv_is_refused);
  return g_test_run ();
}
