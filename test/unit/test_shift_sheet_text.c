/* Tests of shift: prices for all services, and sheets written as CSV and read
   again.  */

#include <glib.h>
#include <string.h>

#include "settings/settings.h"
#include "shift/cost.h"
#include "shift/sheet.h"
#include "shift/sheet_text.h"

typedef struct fixture
{
  settings_t *settings;
  char *text;
  sheet_t *sheet;
} fixture_t;

static sheet_t *
parse (const fixture_t *fixture, const char *text)
{
  sheet_faults_t faults;
  err_t err = { 0 };
  sheet_t *sheet = sheet_parse (text, strlen (text),
                                &fixture->settings->topology, &faults, &err);
  g_assert_cmpstr (err.message, ==, "");
  return sheet;
}

static void
setup (fixture_t *fixture, gconstpointer organisation)
{
  err_t err = { 0 };
  char *path = g_strdup_printf ("%s/examples/%s.yaml", SOURCE_DIR,
                                (const char *)organisation);
  fixture->settings = settings_load (path, &err);
  g_free (path);
  path = g_strdup_printf ("%s/examples/%s-sheet.csv", SOURCE_DIR,
                          (const char *)organisation);
  g_assert_true (g_file_get_contents (path, &fixture->text, NULL, NULL));
  g_free (path);
  fixture->sheet = parse (fixture, fixture->text);
}

static void
teardown (fixture_t *fixture, gconstpointer organisation)
{
  (void)organisation;
  sheet_free (fixture->sheet);
  g_free (fixture->text);
  settings_free (fixture->settings);
}

/* A price row without a service applies to every service.  */
static void
test_every_service_has_its_price (fixture_t *fixture,
                                  gconstpointer organisation)
{
  (void)organisation;
  const topology_t *topology = &fixture->settings->topology;
  err_t err = { 0 };
  for (size_t i = 0; i < fixture->sheet->n_prices; i++)
    g_assert_cmpuint (fixture->sheet->prices[i].service, <,
                      topology->n_services);
  for (service_id_t s = 0; s < topology->n_services; s++)
    for (region_id_t r = 0; r < topology->n_regions; r++)
      {
        money_t price = 0;
        g_assert_true (cost_of_request (fixture->sheet, s, r, &price));
        g_assert_cmpint (price, ==, 1);
      }
  g_assert_true (cost_check (fixture->sheet, topology, NULL, &err));
  g_assert_cmpstr (err.message, ==, "");
}

static void
test_a_service_keeps_its_own_price (fixture_t *fixture,
                                    gconstpointer organisation)
{
  (void)organisation;
  const topology_t *topology = &fixture->settings->topology;
  char *text = g_strdup_printf ("%sprice,%s,%s,,,77\n", fixture->text,
                                topology->services[1].name.text,
                                topology->regions[2].name.text);
  sheet_t *sheet = parse (fixture, text);
  size_t n_own = 0;
  for (size_t i = 0; i < sheet->n_prices; i++)
    if (sheet->prices[i].service == 1 && sheet->prices[i].region == 2)
      {
        g_assert_cmpint (sheet->prices[i].per_thousand, ==, 77);
        n_own++;
      }
  g_assert_cmpuint (n_own, ==, 1);
  g_assert_cmpuint (sheet->n_prices, ==,
                    topology->n_services * topology->n_regions);
  sheet_free (sheet);
  g_free (text);
}

static void
test_written_sheets_read_the_same (fixture_t *fixture,
                                   gconstpointer organisation)
{
  (void)organisation;
  const topology_t *topology = &fixture->settings->topology;
  fixture->sheet->backends[3].state = BACKEND_STOPPING;
  size_t length = 0;
  char *text = sheet_text (fixture->sheet, topology, &length);
  g_assert_cmpuint (length, ==, strlen (text));
  sheet_t *sheet = parse (fixture, text);
  char *again = sheet_text (sheet, topology, &length);
  g_assert_cmpstr (again, ==, text);
  g_assert_cmpuint (sheet->n_backends, ==, fixture->sheet->n_backends);
  g_assert_cmpint (sheet->backends[3].state, ==, BACKEND_STOPPING);
  g_assert_cmpint (sheet->cost_cap, ==, fixture->sheet->cost_cap);
  g_assert_cmpuint (sheet->n_shares, ==, fixture->sheet->n_shares);
  sheet_free (sheet);
  free (text);
  free (again);
}

int
main (int argc, char **argv)
{
  static const char *const organisations[] = { "consortium", "cooperative" };
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (organisations); i++)
    {
      const char *name = organisations[i];
      char path[64];
      g_snprintf (path, sizeof path, "/shift/prices/%s", name);
      g_test_add (path, fixture_t, name, setup,
                  test_every_service_has_its_price, teardown);
      g_snprintf (path, sizeof path, "/shift/own/%s", name);
      g_test_add (path, fixture_t, name, setup,
                  test_a_service_keeps_its_own_price, teardown);
      g_snprintf (path, sizeof path, "/shift/text/%s", name);
      g_test_add (path, fixture_t, name, setup,
                  test_written_sheets_read_the_same, teardown);
    }
  return g_test_run ();
}
