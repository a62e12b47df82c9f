/* settings: reading and checking a YAML settings file.

   Every fault is an ERR_SETTINGS whose message begins with file:line and
   names the key.  docs/OPERATIONS.md lists the keys with units and
   ranges.  */

#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include "base/error.h"
#include "settings/settings_defs.h"

/* Paths in the file are relative to the file's folder.  NULL on a fault; the
   result is the caller's, for settings_free.  */
settings_t *settings_load (const char *path, err_t *err);

void settings_free (settings_t *settings);

enum
{
  SETTINGS_KEY_BYTES = 32,
};

/* Read a key file: 64 hexadecimal digits, readable by its owner only.  */
bool settings_read_key (const char *path, unsigned char *key, err_t *err);

#endif
