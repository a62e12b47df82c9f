/* Tests of settings_feed: reloading the settings while their file changes.  */

#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings/settings_feed.h"

typedef struct file_text
{
  const char *vm;
  const char *seeds;
  const char *domains; /* additional YAML items */
  const char *drain;
} file_text_t;

static const file_text_t first = {
  .vm = "router-1", .seeds = "127.1.0.1:7000", .domains = "", .drain = "3s"
};

typedef struct fixture
{
  char *folder;
  char *file;
  settings_feed_t *feed;
} fixture_t;

static char *
text_of (const file_text_t *text)
{
  return g_strdup_printf (
      "vm: %s\naddress: 127.1.0.9\nfailure_domain: d1\nregion: r1\n"
      "requests: 127.1.0.9:8000\nreadiness: 127.1.0.9:8001\n"
      "peer_port: 7600\nmetrics_port: 9100\npeer_secret: s\n"
      "first_start: true\nbackend_list: 127.1.0.2:80\n"
      "backend_list_rate: 40\n"
      "failure_domains:\n  - name: d1\n    region: r1\n%sseeds: [%s]\n"
      "bounds:\n  drain: %s\n  grace: 6s\n  config_apply: 2500ms\n"
      "  settle: 3s\n  lookup_age: 5s\n  retry_ratio: 0.2\n"
      "  retry_base: 58\n  retry_window: 10s\n  cold_overshoot: 1.5\n"
      "  cold_slack: 5\n  shift_ratio: 0.15\n",
      text->vm, text->domains, text->seeds, text->drain);
}

/* Replace the file atomically by a rename, as operators' tools do.  */
static void
write_file (const fixture_t *fixture, const char *text)
{
  g_autofree char *next = g_strconcat (fixture->file, ".new", NULL);
  g_assert_true (g_file_set_contents (next, text, -1, NULL));
  g_assert_cmpint (g_rename (next, fixture->file), ==, 0);
}

static void
write_settings (const fixture_t *fixture, const file_text_t *text)
{
  g_autofree char *all = text_of (text);
  write_file (fixture, all);
}

static void
fixture_open (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  err_t err = { 0 };
  fixture->folder = g_dir_make_tmp ("feed-XXXXXX", NULL);
  fixture->file = g_build_filename (fixture->folder, "settings.yaml", NULL);
  write_settings (fixture, &first);
  fixture->feed = settings_feed_open (fixture->file, &err);
  g_assert_nonnull (fixture->feed);
}

static void
fixture_close (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  settings_feed_close (fixture->feed);
  g_remove (fixture->file);
  g_rmdir (fixture->folder);
  g_free (fixture->file);
  g_free (fixture->folder);
}

/* A changed file is put in force without a signal; settings acquired before
   stay valid and unchanged until released.  */
static void
test_changed_file (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  const fleet_settings_t *held = settings_feed_acquire (fixture->feed);
  g_assert_null (settings_feed_acquire_newer (fixture->feed, held));
  write_settings (fixture,
                  &(file_text_t){ .vm = "router-1",
                                  .seeds = "127.1.0.3:7000, 127.1.0.4:7000",
                                  .domains = "  - name: d2\n    region: r2\n",
                                  .drain = "4s" });
  g_assert_true (settings_feed_poll (fixture->feed, SETTINGS_POLL_IF_CHANGED));
  const fleet_settings_t *newer
      = settings_feed_acquire_newer (fixture->feed, held);
  g_assert_nonnull (newer);
  g_assert_cmpuint (newer->n_seeds, ==, 2);
  g_assert_nonnull (fleet_settings_region (newer, "d2"));
  g_assert_cmpint (newer->bounds.drain, ==, 4 * USEC_PER_SEC);
  g_assert_cmpuint (held->n_seeds, ==, 1);
  g_assert_cmpint (held->bounds.drain, ==, 3 * USEC_PER_SEC);
  settings_feed_release (fixture->feed, held);
  settings_feed_release (fixture->feed, newer);
}

/* A file with the same contents puts no new settings in force, with or without
   a forced reload.  */
static void
test_same_file (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  g_assert_false (
      settings_feed_poll (fixture->feed, SETTINGS_POLL_IF_CHANGED));
  g_assert_false (settings_feed_poll (fixture->feed, SETTINGS_POLL_ALWAYS));
  write_settings (fixture, &first);
  g_assert_false (
      settings_feed_poll (fixture->feed, SETTINGS_POLL_IF_CHANGED));
}

/* Guards against seeds that are ignored in silence, which may be the only ones
   that run, and against a port cut to 16 bits.  */
static void
test_beyond_limits (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  err_t err = { 0 };
  file_text_t text = first;
  GString *seeds = g_string_new ("127.1.1.1:7000");
  for (int i = 2; i <= FLEET_SEEDS_MAX; i++)
    g_string_append_printf (seeds, ", 127.1.1.%d:7000", i);
  text.seeds = seeds->str;
  write_settings (fixture, &text);
  fleet_settings_t *settings = fleet_settings_load (fixture->file, &err);
  g_assert_cmpuint (settings->n_seeds, ==, FLEET_SEEDS_MAX);
  free (settings);
  g_string_append (seeds, ", 127.1.2.1:7000");
  text.seeds = seeds->str;
  write_settings (fixture, &text);
  g_assert_null (fleet_settings_load (fixture->file, &err));
  g_assert_nonnull (strstr (err.message, "seeds"));
  g_string_free (seeds, TRUE);

  g_autofree char *all = text_of (&first);
  g_auto (GStrv) parts = g_strsplit (all, "7600", 2);
  g_autofree char *changed = g_strjoinv ("75600", parts);
  write_file (fixture, changed);
  g_assert_null (fleet_settings_load (fixture->file, &err));
  g_assert_nonnull (strstr (err.message, "peer_port"));
}

/* Keys that identify the process keep their values until a restart, while
   other keys of the same file are put in force.  */
static void
test_fixed_keys (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  file_text_t text = first;
  text.vm = "router-2";
  write_settings (fixture, &text);
  g_assert_false (
      settings_feed_poll (fixture->feed, SETTINGS_POLL_IF_CHANGED));
  text.drain = "2s";
  write_settings (fixture, &text);
  g_assert_true (settings_feed_poll (fixture->feed, SETTINGS_POLL_IF_CHANGED));
  const fleet_settings_t *settings = settings_feed_acquire (fixture->feed);
  g_assert_cmpstr (settings->vm.text, ==, "router-1");
  g_assert_cmpint (settings->bounds.drain, ==, 2 * USEC_PER_SEC);
  settings_feed_release (fixture->feed, settings);
}

/* An invalid or missing file leaves the settings in force; the next valid file
   replaces them.  */
static void
test_bad_file (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  file_text_t text = first;
  text.drain = "soon";
  write_settings (fixture, &text);
  g_assert_false (
      settings_feed_poll (fixture->feed, SETTINGS_POLL_IF_CHANGED));
  g_assert_cmpint (g_remove (fixture->file), ==, 0);
  g_assert_false (
      settings_feed_poll (fixture->feed, SETTINGS_POLL_IF_CHANGED));
  const fleet_settings_t *settings = settings_feed_acquire (fixture->feed);
  g_assert_cmpint (settings->bounds.drain, ==, 3 * USEC_PER_SEC);
  settings_feed_release (fixture->feed, settings);
  text.drain = "1s";
  write_settings (fixture, &text);
  g_assert_true (settings_feed_poll (fixture->feed, SETTINGS_POLL_IF_CHANGED));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/settings/feed/changed", fixture_t, NULL, fixture_open,
              test_changed_file, fixture_close);
  g_test_add ("/settings/feed/same", fixture_t, NULL, fixture_open,
              test_same_file, fixture_close);
  g_test_add ("/settings/feed/fixed-keys", fixture_t, NULL, fixture_open,
              test_fixed_keys, fixture_close);
  g_test_add ("/settings/feed/beyond-limits", fixture_t, NULL, fixture_open,
              test_beyond_limits, fixture_close);
  g_test_add ("/settings/feed/bad-file", fixture_t, NULL, fixture_open,
              test_bad_file, fixture_close);
  return g_test_run ();
}
