/* director_state: what the directors agree on: the configuration in force and
   the failure domains that are evacuated.

   Every replica applies the same commands in the same order.  The highest
   configuration version holds; the first content that was applied under a
   version has won it.  */

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

typedef struct director_state
{
  uint64_t version;              /* of the configuration; 0: none yet */
  blob_t *config;                /* as the operator wrote it; NULL: none yet */
  log_index_t evacuations_index; /* of the last change to what follows */
  size_t n_evacuated;
  name_t evacuated[EVACUATED_MAX]; /* failure domains */
} director_state_t;

void director_state_clear (director_state_t *state);

/* Commands as blocks for the log; the caller's.  */
blob_t *director_command_config (uint64_t version, const char *text,
                                 size_t length);
blob_t *director_command_evacuate (const name_t *domain, bool is_evacuated);

/* Apply the command at INDEX.  False with ERR_PROTOCOL where it is none.  */
bool director_state_apply (director_state_t *state, log_index_t index,
                           const blob_t *command, err_t *err);

bool director_state_is_evacuated (const director_state_t *state,
                                  const char *domain);

/* The whole state as a new block; the caller's.  */
blob_t *director_state_save (const director_state_t *state);

/* Replace the state; on ERR_PROTOCOL it stays as it was.  */
bool director_state_restore (director_state_t *state, const blob_t *saved,
                             err_t *err);

#endif
