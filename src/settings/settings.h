/* settings: read and check the YAML settings file of mulberry-entry and
   mulberry-control.

   An error in the file's contents is an ERR_SETTINGS whose message begins with
   file:line and names the key.  docs/OPERATIONS.md lists the keys with units
   and ranges.  */

#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include "base/error.h"
#include "settings/settings_defs.h"

/* Read the settings file PATH.  Relative paths in it start at the file's
   folder.  Returns a structure that the caller releases with settings_free, or
   NULL with the error in ERR.  */
settings_t *settings_load (const char *path, err_t *err);

/* SETTINGS may be NULL.  */
void settings_free (settings_t *settings);

enum
{
  SETTINGS_KEY_BYTES = 32,
};

/* Read the key file PATH into the SETTINGS_KEY_BYTES bytes at KEY.  The file
   holds two hexadecimal digits per byte and must grant no access to group and
   others.  Returns false with ERR_SETTINGS in ERR otherwise.  */
bool settings_read_key (const char *path, unsigned char *key, err_t *err);

#endif
