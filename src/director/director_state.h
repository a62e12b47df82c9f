/* director_state: the replicated state machine of the directors: the
   configuration in force and the evacuated failure domains.

   Every replica applies the same commands in the same order.  The
   configuration with the highest version is in force; of several contents
   under the same version the one applied first is.  */

#ifndef DIRECTOR_DIRECTOR_STATE_H
#define DIRECTOR_DIRECTOR_STATE_H

#include <stdbool.h>
#include <stddef.h>

#include "agreement/entry.h"
#include "base/error.h"
#include "base/name_defs.h"

enum
{
  EVACUATED_MAX = 128,
};

/* All zero at first.  */
typedef struct director_state
{
  uint64_t config_version;       /* 0: no configuration yet */
  blob_t *config;                /* text as the operator sent it, or NULL */
  log_index_t evacuations_index; /* of the last change to EVACUATED */
  size_t n_evacuated;
  name_t evacuated[EVACUATED_MAX]; /* failure domains, in no order */
} director_state_t;

/* Free what STATE holds and zero it.  */
void director_state_clear (director_state_t *state);

/* Encode a command for the log.  Returns a new block with one reference, which
   is the caller's.  */
blob_t *director_command_config (uint64_t version, const char *text,
                                 size_t length);
/* IS_EVACUATED: start the evacuation of DOMAIN; else end it.  */
blob_t *director_command_evacuate (const name_t *domain, bool is_evacuated);

/* Apply the command of the log entry at INDEX.  A command that changes nothing
   is accepted: an older or equal configuration version, an evacuation that is
   in force already, or one beyond EVACUATED_MAX.  False with ERR_PROTOCOL
   where COMMAND can't be decoded; STATE is unchanged then.  */
bool director_state_apply (director_state_t *state, log_index_t index,
                           const blob_t *command, err_t *err);

bool director_state_is_evacuated (const director_state_t *state,
                                  const char *domain);

/* Encode a snapshot of STATE.  Returns a new block with one reference, which
   is the caller's.  */
blob_t *director_state_save (const director_state_t *state);

/* Replace STATE by SNAPSHOT.  False with ERR_PROTOCOL where SNAPSHOT can't be
   decoded; STATE is unchanged then.  */
bool director_state_restore (director_state_t *state, const blob_t *snapshot,
                             err_t *err);

#endif
