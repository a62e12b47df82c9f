/* admin_service: the operations of the administration API, independent of
   HTTP.

   Only this module connects the API to the replicated log and the accepted
   sheet: a different consensus protocol would change no other file of the API.
   Thread-safe.  */

#ifndef CONTROL_ADMIN_SERVICE_H
#define CONTROL_ADMIN_SERVICE_H

#include "control/accepted_sheet.h"
#include "control/core_thread.h"
#include "settings/settings_defs.h"
#include "shift/sheet.h"

enum
{
  ADMIN_DIGEST_BYTES = 65, /* SHA-256 as 64 hexadecimal digits, and NUL */
  ADMIN_REPLICAS_MAX = 7,
};

typedef struct admin_service
{
  const settings_t *settings;
  vm_id_t self; /* this VM */
  accepted_sheet_t *accepted;
  core_thread_t *core;
} admin_service_t;

/* The answer to an accepted sheet; submitting the sheet again gives the same
   answer.  */
typedef struct admin_accepted
{
  uint64_t number;
  name_t operator_name;
  char digest[ADMIN_DIGEST_BYTES];
} admin_accepted_t;

/* Submit the sheet TEXT for OPERATOR_NAME, which must be the operator named in
   the sheet.  Blocks until the outcome is known or a deadline of a few seconds
   has passed.  Returns true with ANSWER filled in if the sheet is accepted.
   Final errors: ERR_SHEET (FAULTS lists the invalid rows), ERR_LIMIT (the
   planned cost exceeds a cap), ERR_AUTH (the sheet names another operator),
   ERR_CONFLICT, ERR_STALE.  After ERR_UNAVAILABLE, ERR_TIMEOUT and ERR_STORAGE
   the same sheet may be submitted again.  */
bool admin_submit (admin_service_t *service, const char *text, size_t length,
                   const name_t *operator_name, sheet_faults_t *faults,
                   admin_accepted_t *answer, err_t *err);

/* A copy of the newest accepted sheet, which the caller releases with free,
   and its length in bytes; NULL before the first.  */
char *admin_sheet (admin_service_t *service, size_t *length);

typedef struct admin_replica
{
  vm_id_t vm;
  const char *state; /* "joining", "leading" or "voting" */
} admin_replica_t;

typedef struct admin_status
{
  const char *role; /* replica_role_name of this VM's replica */
  vm_id_t leader;   /* TOPOLOGY_NONE: not known */
  uint64_t term;
  uint64_t number; /* of the newest accepted sheet; 0: none */
  size_t n_replicas;
  admin_replica_t replicas[ADMIN_REPLICAS_MAX];
} admin_status_t;

/* Fill in STATUS as this VM's replica sees the cluster.  */
void admin_get_status (admin_service_t *service, admin_status_t *status);

#endif
