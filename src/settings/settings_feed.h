/* settings_feed: reference-counted settings of a router or a director,
   reloaded from their file while the process runs.

   Settings in force are immutable: a reload replaces the whole structure.  A
   thread keeps a reference to the version that it uses and calls
   settings_feed_acquire_newer to move to a newer one.  All threads may acquire
   and release; settings_feed_poll belongs to one thread.  */

#ifndef SETTINGS_SETTINGS_FEED_H
#define SETTINGS_SETTINGS_FEED_H

#include "settings/fleet_settings.h"

typedef struct settings_feed settings_feed_t;

/* Read the settings from FILE, whose name must outlive the feed.  Returns NULL
   with ERR_SETTINGS in ERR if the file can't be read or has an error.  */
settings_feed_t *settings_feed_open (const char *file, err_t *err);

/* Every acquired version must have been released.  */
void settings_feed_close (settings_feed_t *feed);

typedef enum
{
  SETTINGS_POLL_IF_CHANGED, /* read the file if its metadata have changed */
  SETTINGS_POLL_ALWAYS,     /* read the file in any case */
} settings_poll_mode_t;

/* Read the file as MODE says and put its settings in force if they differ from
   those in force.  Keys that need a restart keep their running values
   (docs/OPERATIONS.md lists them), and a file with an error changes nothing;
   both cases, and each reload, are logged.  Returns true if new settings are
   in force.  */
bool settings_feed_poll (settings_feed_t *feed, settings_poll_mode_t mode);

/* Take a reference to the settings in force; valid until released.  */
const fleet_settings_t *settings_feed_acquire (settings_feed_t *feed);
void settings_feed_release (settings_feed_t *feed,
                            const fleet_settings_t *settings);

/* Take a reference to the settings in force if they are not HELD, which the
   caller has acquired; otherwise return NULL.  The reference to HELD remains
   for the caller to release.  */
const fleet_settings_t *
settings_feed_acquire_newer (settings_feed_t *feed,
                             const fleet_settings_t *held);

#endif
