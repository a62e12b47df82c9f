/* data_folder: the temporary data folder of a storage's test.  */

#ifndef TEST_SUPPORT_DATA_FOLDER_H
#define TEST_SUPPORT_DATA_FOLDER_H

#include <glib.h>
#include <glib/gstdio.h>

static inline char *
folder_new (void)
{
  char *folder = g_dir_make_tmp ("agreement-XXXXXX", NULL);
  g_assert_nonnull (folder);
  return folder;
}

static inline void
folder_free (char *folder)
{
  const char *names[] = { "log", "log.new", "roster", "roster.new" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *path = g_build_filename (folder, names[i], NULL);
      g_unlink (path);
      g_free (path);
    }
  g_rmdir (folder);
  g_free (folder);
}

#endif
