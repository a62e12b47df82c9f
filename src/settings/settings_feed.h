/* settings_feed: the settings in force, for all threads of a router or a
   director, and the file that they come from.

   Settings are never changed in place: a thread holds those that it works
   with, and takes newer ones when it looks for them.  Thread-safe.  */

#ifndef SETTINGS_SETTINGS_FEED_H
#define SETTINGS_SETTINGS_FEED_H

#include "settings/fleet_settings.h"

typedef struct settings_feed settings_feed_t;

/* The settings of FILE; NULL with ERR_SETTINGS.  */
settings_feed_t *settings_feed_open (const char *file, err_t *err);

/* After the last settings were released.  */
void settings_feed_close (settings_feed_t *feed);

typedef enum
{
  SETTINGS_LOOK,   /* read the file where it looks changed */
  SETTINGS_REREAD, /* read it in any case */
} settings_look_t;

/* Put the file's settings in force where they differ from those in force.
   What can't change while the process runs stays (docs/OPERATIONS.md lists
   it); a file with a fault changes nothing.  Each is logged.  Returns true
   where new settings are in force.  */
bool settings_feed_poll (settings_feed_t *feed, settings_look_t look);

/* The settings in force, until they are released.  */
const fleet_settings_t *settings_feed_acquire (settings_feed_t *feed);
void settings_feed_release (settings_feed_t *feed,
                            const fleet_settings_t *settings);

/* The settings in force, where they are others than HELD; else NULL.  HELD
   stay the caller's to release.  */
const fleet_settings_t *
settings_feed_acquire_newer (settings_feed_t *feed,
                             const fleet_settings_t *held);

#endif
