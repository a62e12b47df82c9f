/* roster_file: the roster on disk, in the data folder.  */

#ifndef DIRECTOR_ROSTER_FILE_H
#define DIRECTOR_ROSTER_FILE_H

#include "base/error.h"
#include "director/roster.h"

/* Fill in *ROSTER, empty where the folder holds none.  False with
   ERR_STORAGE where the file can't be read.  */
bool roster_file_load (const char *folder, roster_t *roster, err_t *err);

/* Write and sync it; false with ERR_STORAGE.  */
bool roster_file_save (const char *folder, const roster_t *roster, err_t *err);

#endif
