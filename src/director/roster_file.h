/* roster_file: stores the roster in the data folder, as the file `roster` with
   one address a line, in the order of the slots.  */

#ifndef DIRECTOR_ROSTER_FILE_H
#define DIRECTOR_ROSTER_FILE_H

#include "base/error.h"
#include "director/roster.h"

/* Read the roster in FOLDER; without a file *ROSTER has no slots.  False with
   ERR_STORAGE where the file can't be read.  */
bool roster_file_load (const char *folder, roster_t *roster, err_t *err);

/* Replace the stored roster atomically and sync it to disk.  False with
   ERR_STORAGE.  */
bool roster_file_save (const char *folder, const roster_t *roster, err_t *err);

#endif
