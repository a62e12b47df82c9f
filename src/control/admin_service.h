/* admin_service: what the administration API does, apart from HTTP.

   The one place where the API meets the accepted state: another way of
   agreeing on sheets changes this file alone.  Thread-safe.  */

#ifndef CONTROL_ADMIN_SERVICE_H
#define CONTROL_ADMIN_SERVICE_H

#include "control/accepted.h"
#include "control/core_thread.h"
#include "settings/settings_defs.h"
#include "shift/sheet.h"

enum
{
  ADMIN_DIGEST_BYTES = 65, /* 64 hexadecimal digits of SHA-256, and NUL */
  ADMIN_REPLICAS_MAX = 7,
};

typedef struct admin_service
{
  const settings_t *settings;
  vm_id_t self;
  accepted_t *accepted;
  core_thread_t *core;
} admin_service_t;

/* The answer to a sheet that is accepted, the same at every resend.  */
typedef struct admin_accepted
{
  uint64_t number;
  name_t operator_name;
  char digest[ADMIN_DIGEST_BYTES];
} admin_accepted_t;

/* Submit the sheet TEXT for OPERATOR_NAME, whom it has to name.  Waits for the
   outcome, a bounded time.  ERR_SHEET (with FAULTS), ERR_LIMIT (the plan does
   not fit), ERR_AUTH (another's name), ERR_CONFLICT, ERR_STALE: refused for
   good; ERR_UNAVAILABLE, ERR_TIMEOUT, ERR_STORAGE: send it again.  */
bool admin_submit (admin_service_t *service, const char *text, size_t length,
                   const name_t *operator_name, sheet_faults_t *faults,
                   admin_accepted_t *answer, err_t *err);

/* A malloc'd copy of the newest accepted sheet; NULL before the first.  */
char *admin_sheet (admin_service_t *service, size_t *length);

typedef struct admin_replica
{
  vm_id_t vm;
  const char *state; /* a word */
} admin_replica_t;

typedef struct admin_status
{
  const char *role; /* a word */
  vm_id_t leader;   /* TOPOLOGY_NONE: none known */
  uint64_t term;
  uint64_t number; /* of the newest accepted sheet; 0: none */
  size_t n_replicas;
  admin_replica_t replicas[ADMIN_REPLICAS_MAX];
} admin_status_t;

void admin_get_status (admin_service_t *service, admin_status_t *status);

#endif
