/* accepted: the newest accepted sheet of a control process, in memory and in
   the data folder.  Thread-safe.  */

#ifndef CONTROL_ACCEPTED_H
#define CONTROL_ACCEPTED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "placement/topology_defs.h"

typedef struct accepted accepted_t;

/* Read what lasts in FOLDER (made if it is missing).  NULL and ERR_STORAGE
   where the folder can't be used.  */
accepted_t *accepted_open (const char *folder, const topology_t *topology,
                           err_t *err);

void accepted_close (accepted_t *accepted);

/* Check the sheet TEXT and sync it before returning true.  ERR_SHEET,
   ERR_STALE, ERR_CONFLICT or ERR_STORAGE otherwise.  The same sheet again
   succeeds again.  *NUMBER is the sheet's.  */
bool accepted_submit (accepted_t *accepted, const char *text, size_t length,
                      uint64_t *number, err_t *err);

/* A malloc'd copy of the newest sheet where its number is above VERSION;
   NULL otherwise.  */
char *accepted_newer (accepted_t *accepted, uint64_t version, size_t *length,
                      uint64_t *number);

#endif
