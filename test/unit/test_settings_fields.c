/* Every key of the settings of routers and directors: missing, null, of each
   other type and out of range.  Guards against a wrong type that is taken for
   a value, with which a process serves what nobody has set.  */

#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings/fleet_settings.h"

typedef enum
{
  SECTION_TOP,
  SECTION_DOMAIN,
  SECTION_BOUNDS,
} section_t;

/* A key, a valid value, and the names of the variants that it may have.  */
typedef struct key_case
{
  section_t section;
  const char *key;
  const char *value;
  const char *accepted;
} key_case_t;

/* A value that each key is given in turn.  */
typedef struct variant
{
  const char *name;
  const char *yaml; /* NULL: the key is missing */
} variant_t;

static const variant_t variants[] = {
  { "missing", NULL },
  { "nothing", "" },
  { "tilde", "~" },
  { "null", "null" },
  { "empty", "\"\"" },
  { "quoted", "\"null\"" },
  { "text", "text" },
  { "cut", "\"a\\0b\"" },
  { "bool", "true" },
  { "whole", "9" },
  { "real", "1.5" },
  { "negative", "-1" },
  { "huge", "99999999999" },
  { "span", "2s" },
  { "address", "127.1.0.9" },
  { "inet", "127.1.0.9:80" },
  { "port", "127.1.0.9:65536" },
  { "list", "[]" },
  { "items", "[a]" },
  { "mapping", "{}" },
};

#define NAME                                                                  \
  "quoted text bool whole real negative huge span address" /* strings */
#define PATH NAME " inet port"

static const key_case_t keys[] = {
  { SECTION_TOP, "vm", "router-1", NAME },
  { SECTION_TOP, "address", "127.1.0.9", "address" },
  { SECTION_TOP, "failure_domain", "d1", NAME },
  { SECTION_TOP, "region", "r1", NAME },
  { SECTION_TOP, "requests", "127.1.0.9:8000", "missing inet" },
  { SECTION_TOP, "readiness", "127.1.0.9:8001", "missing inet" },
  { SECTION_TOP, "operators", "127.1.0.9:8002", "missing inet" },
  { SECTION_TOP, "lookups", "127.1.0.9:8003", "missing inet" },
  { SECTION_TOP, "peer_port", "7600", "whole" },
  { SECTION_TOP, "metrics_port", "9100", "whole" },
  { SECTION_TOP, "peer_secret", "s", NAME },
  { SECTION_TOP, "first_start", "true", "missing bool" },
  { SECTION_TOP, "data_folder", "/data", "missing " PATH },
  { SECTION_TOP, "backend_list", "127.1.0.2:80", "inet" },
  { SECTION_TOP, "backend_list_rate", "40", "whole real" },
  { SECTION_TOP, "backend_list_lag", "1s", "missing span" },
  { SECTION_TOP, "share_load", "false", "missing bool" },
  { SECTION_TOP, "body_memory_mb", "64", "missing whole" },
  { SECTION_TOP, "another", NULL, "missing" },
  { SECTION_TOP, "failure_domains", NULL, "list" },
  { SECTION_TOP, "seeds", "[127.1.0.1:7000]", "list" },
  { SECTION_TOP, "bounds", NULL, "" },
  { SECTION_DOMAIN, "name", "d1", NAME },
  { SECTION_DOMAIN, "region", "r1", NAME },
  { SECTION_DOMAIN, "another", NULL, "missing" },
  { SECTION_BOUNDS, "drain", "3s", "span" },
  { SECTION_BOUNDS, "grace", "6s", "span" },
  { SECTION_BOUNDS, "config_apply", "2500ms", "missing span" },
  { SECTION_BOUNDS, "settle", "3s", "missing span" },
  { SECTION_BOUNDS, "lookup_age", "5s", "missing span" },
  { SECTION_BOUNDS, "retry_ratio", "0.2", "missing whole real" },
  { SECTION_BOUNDS, "retry_base", "58", "missing whole real" },
  { SECTION_BOUNDS, "retry_window", "10s", "missing span" },
  { SECTION_BOUNDS, "cold_overshoot", "1.5", "missing whole real" },
  { SECTION_BOUNDS, "cold_slack", "5", "missing whole real" },
  { SECTION_BOUNDS, "shift_ratio", "0.15", "missing whole real" },
  { SECTION_BOUNDS, "another", NULL, "missing" },
};

/* Append the keys of SECTION, each behind INDENT, with YAML as the value of
   CHANGED.  */
static void
append_section (GString *text, section_t section, const char *indent,
                const key_case_t *changed, const char *yaml)
{
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      const char *value = &keys[i] == changed ? yaml : keys[i].value;
      if (keys[i].section == section && value)
        g_string_append_printf (text, "%s%s: %s\n", indent, keys[i].key,
                                value);
    }
}

static bool
is_changed (const key_case_t *changed, const char *key)
{
  return changed && changed->section == SECTION_TOP
         && strcmp (changed->key, key) == 0;
}

/* The settings with YAML as the value of CHANGED, or without it.  */
static char *
settings_with (const key_case_t *changed, const char *yaml)
{
  GString *text = g_string_new ("");
  append_section (text, SECTION_TOP, "", changed, yaml);
  if (!is_changed (changed, "failure_domains"))
    {
      g_string_append (text, "failure_domains:\n  -\n");
      append_section (text, SECTION_DOMAIN, "    ", changed, yaml);
    }
  if (!is_changed (changed, "bounds"))
    {
      g_string_append (text, "bounds:\n");
      append_section (text, SECTION_BOUNDS, "  ", changed, yaml);
    }
  return g_string_free (text, FALSE);
}

/* Whether TEXT may come in force.  If not, an error names the file's line and
   a remedy.  */
static bool
is_read (const char *file, const char *text)
{
  err_t err = { 0 };
  g_assert_true (g_file_set_contents (file, text, -1, NULL));
  fleet_settings_t *settings = fleet_settings_load (file, &err);
  bool ok = settings != NULL;
  g_assert_cmpint (err.kind == ERR_NONE, ==, ok);
  if (!ok)
    {
      g_assert_nonnull (strstr (err.message, file));
      g_assert_cmpuint (strlen (err.remedy), >, 0);
    }
  free (settings);
  return ok;
}

static void
test_keys (void)
{
  g_autofree char *folder = g_dir_make_tmp ("settings-XXXXXX", NULL);
  g_autofree char *file = g_build_filename (folder, "settings.yaml", NULL);
  g_autofree char *whole = settings_with (NULL, NULL);
  g_assert_true (is_read (file, whole));
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (variants); j++)
      {
        g_autofree char *text = settings_with (&keys[i], variants[j].yaml);
        g_auto (GStrv) names = g_strsplit (keys[i].accepted, " ", -1);
        if (is_read (file, text)
            == g_strv_contains ((const char *const *)names, variants[j].name))
          continue;
        g_test_message ("%s: %s", keys[i].key, variants[j].name);
        g_test_fail ();
      }
  g_remove (file);
  g_rmdir (folder);
}

/* Guards against a process that doesn't start, as a bound is missing for which
   there is a sound value.  */
static void
test_bounds_by_default (void)
{
  static const char head[]
      = "vm: v\naddress: 127.1.0.9\nfailure_domain: d1\nregion: r1\n"
        "peer_port: 7600\nmetrics_port: 9100\npeer_secret: s\n"
        "backend_list: 127.1.0.2:80\nbackend_list_rate: 40\n"
        "failure_domains: [{name: d1, region: r1}]\nseeds: [127.1.0.1:1]\n";
  g_autofree char *folder = g_dir_make_tmp ("settings-XXXXXX", NULL);
  g_autofree char *file = g_build_filename (folder, "settings.yaml", NULL);
  g_autofree char *enough
      = g_strconcat (head, "bounds: {drain: 3s, grace: 6s}\n", NULL);
  g_autofree char *graceless
      = g_strconcat (head, "bounds: {drain: 3s}\n", NULL);
  err_t err = { 0 };
  g_assert_true (g_file_set_contents (file, enough, -1, NULL));
  fleet_settings_t *settings = fleet_settings_load (file, &err);
  g_assert_cmpstr (err.message, ==, "");
  g_assert_nonnull (settings);
  const fleet_bounds_t *bounds = &settings->bounds;
  g_assert_cmpint (bounds->lookup_age, ==, USEC_PER_SEC);
  g_assert_cmpfloat (bounds->retry_ratio, ==, 0);
  g_assert_cmpfloat (bounds->retry_base, ==, 0);
  free (settings);
  g_assert_true (g_file_set_contents (file, graceless, -1, NULL));
  g_assert_null (fleet_settings_load (file, &err));
  g_assert_nonnull (strstr (err.message, "grace"));
  g_assert_nonnull (strstr (err.remedy, "SIGKILL"));
  g_remove (file);
  g_rmdir (folder);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/settings/fields", test_keys);
  g_test_add_func ("/settings/bounds-by-default", test_bounds_by_default);
  return g_test_run ();
}
