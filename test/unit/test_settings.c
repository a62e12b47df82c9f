/* Tests of settings: the example files load; an error in a file is refused
   with a message that names file, line and key, and with a remedy.  */

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/stat.h>

#include "placement/topology.h"
#include "settings/settings.h"

static void
test_committed_files_load (void)
{
  static const char *const files[]
      = { "/examples/consortium.yaml", "/examples/cooperative.yaml" };
  for (size_t i = 0; i < G_N_ELEMENTS (files); i++)
    {
      char *path = g_strconcat (SOURCE_DIR, files[i], NULL);
      err_t err = { 0 };
      settings_t *settings = settings_load (path, &err);
      g_assert_cmpstr (err.message, ==, "");
      g_assert_nonnull (settings);
      const topology_t *topology = &settings->topology;
      g_assert_cmpuint (topology->n_regions, ==, 3);
      g_assert_cmpuint (topology->n_domains, ==, 6);
      g_assert_cmpuint (topology->n_vms, ==, 9);
      g_assert_cmpuint (topology->n_services, ==, 4);
      g_assert_cmpuint (topology->n_links, ==, 6);
      g_assert_cmpint (topology_delay (topology, 0, 2), ==, 20000);
      settings_free (settings);
      g_free (path);
    }
}

/* Load the example file of the consortium with FROM replaced by TO, and return
   the error.  */
static err_t
load_changed (const char *from, const char *to)
{
  char *text = NULL;
  g_assert_true (g_file_get_contents (SOURCE_DIR "/examples/consortium.yaml",
                                      &text, NULL, NULL));
  char *at = strstr (text, from);
  g_assert_nonnull (at);
  *at = '\0';
  char *changed = g_strconcat (text, to, at + strlen (from), NULL);
  char *folder = g_dir_make_tmp ("settings-XXXXXX", NULL);
  char *path = g_build_filename (folder, "bad.yaml", NULL);
  g_assert_true (g_file_set_contents (path, changed, -1, NULL));
  err_t err = { 0 };
  g_assert_null (settings_load (path, &err));
  g_assert_cmpint (err.kind, ==, ERR_SETTINGS);
  g_assert_cmpstr (err.remedy, !=, "");
  g_assert_nonnull (strstr (err.message, "bad.yaml:"));
  g_remove (path);
  g_rmdir (folder);
  g_free (path);
  g_free (folder);
  g_free (changed);
  g_free (text);
  return err;
}

static void
test_bad_files_name_line_and_key (void)
{
  static const struct
  {
    const char *from;
    const char *to;
    const char *message_part;
  } cases[] = {
    { "objective:", "objectiv:", ":3: unknown key 'objectiv'" },
    { "  caller: 8080", "  caller: 80800", "key 'caller': '80800'" },
    { "  caller: 8080\n", "", "ports: missing key 'caller'" },
    { "127.10.1.2", "127.10.1.300", "bad address '127.10.1.300'" },
    { "127.10.1.2", "127.10.1.1", "has the address of VM" },
    { "failure_domain: sapporo-1,", "failure_domain: sapporo-9,",
      "no 'sapporo-9' in the list failure_domains" },
    { ", failure_domain: sapporo-1,", ",", "missing key 'failure_domain'" },
    { "name: sapporo-1b", "name: sapporo-1a", "duplicate name 'sapporo-1a'" },
    { "deadline_max_ms: 4000", "deadline_max_ms: 2999",
      "the deadline_ms of service 'dedicate' exceeds" },
    { "organisation: consortium", "organisation: [a", "bad.yaml:" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      err_t err = load_changed (cases[i].from, cases[i].to);
      if (!strstr (err.message, cases[i].message_part))
        g_error ("'%s' lacks '%s'", err.message, cases[i].message_part);
    }
}

static void
test_key_file_must_be_private (void)
{
  char *folder = g_dir_make_tmp ("settings-XXXXXX", NULL);
  char *path = g_build_filename (folder, "peer.key", NULL);
  unsigned char key[SETTINGS_KEY_BYTES];
  err_t err = { 0 };
  g_assert_false (settings_read_key (path, key, &err));
  char text[2 * SETTINGS_KEY_BYTES + 1];
  memset (text, 'a', sizeof text - 1);
  text[sizeof text - 1] = '\0';
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  chmod (path, 0644);
  g_assert_false (settings_read_key (path, key, &err));
  g_assert_nonnull (strstr (err.message, "is accessible to group or others"));
  chmod (path, 0600);
  g_assert_true (settings_read_key (path, key, &err));
  g_assert_cmpuint (key[31], ==, 0xaa);
  text[5] = 'x';
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  chmod (path, 0600);
  g_assert_false (settings_read_key (path, key, &err));
  g_remove (path);
  g_rmdir (folder);
  g_free (path);
  g_free (folder);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/settings/committed", test_committed_files_load);
  g_test_add_func ("/settings/bad", test_bad_files_name_line_and_key);
  g_test_add_func ("/settings/key", test_key_file_must_be_private);
  return g_test_run ();
}
