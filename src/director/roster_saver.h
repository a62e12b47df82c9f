/* roster_saver: stores rosters on a thread of its own.

   A sync can take longer than an election timeout, and the thread that sends
   heartbeats must not wait for it.  */

#ifndef DIRECTOR_ROSTER_SAVER_H
#define DIRECTOR_ROSTER_SAVER_H

#include "base/error.h"
#include "director/roster.h"

typedef struct roster_saver roster_saver_t;

typedef enum
{
  ROSTER_SAVER_IDLE,
  ROSTER_SAVER_BUSY,
  ROSTER_SAVER_SAVED,  /* told once, then idle */
  ROSTER_SAVER_FAILED, /* the same; the cause has been logged */
} roster_saver_state_t;

/* NULL with ERR_IO if the thread can't be created.  */
roster_saver_t *roster_saver_start (err_t *err);

/* End the save in progress, and the thread, and free SAVER.  */
void roster_saver_stop (roster_saver_t *saver);

/* Store ROSTER in FOLDER, by roster_file_save.  Returns false, and does
   nothing, unless SAVER is idle.  */
bool roster_saver_save (roster_saver_t *saver, const char *folder,
                        const roster_t *roster);

/* Returns the state; one that is told once is idle after that.  */
roster_saver_state_t roster_saver_poll (roster_saver_t *saver);

#endif
