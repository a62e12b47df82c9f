#include "control/admin_service.h"

#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/name.h"
#include "shift/cost.h"

static void
digest_text (const char *text, size_t length, char digest[ADMIN_DIGEST_BYTES])
{
  unsigned char bytes[SHA256_DIGEST_LENGTH];
  SHA256 ((const unsigned char *)text, length, bytes);
  for (size_t i = 0; i < sizeof bytes; i++)
    snprintf (digest + 2 * i, 3, "%02x", bytes[i]);
}

/* Whether SHEET may be submitted by OPERATOR_NAME at all.  */
static bool
check_sheet (const admin_service_t *service, const sheet_t *sheet,
             const name_t *operator_name, err_t *err)
{
  if (!name_equal (&sheet->operator_name, operator_name))
    return err_set (err, ERR_AUTH, "write your own name into the sheet",
                    "the sheet names operator %s, signed by %s",
                    sheet->operator_name.text, operator_name->text);
  return cost_check (sheet, &service->settings->topology, NULL, err);
}

bool
admin_submit (admin_service_t *service, const char *text, size_t length,
              const name_t *operator_name, sheet_faults_t *faults,
              admin_accepted_t *answer, err_t *err)
{
  sheet_t *sheet
      = sheet_parse (text, length, &service->settings->topology, faults, err);
  if (!sheet)
    return false;
  bool ok = check_sheet (service, sheet, operator_name, err)
            && accepted_submit (service->accepted, text, length,
                                &answer->number, err);
  if (ok)
    {
      answer->operator_name = sheet->operator_name;
      digest_text (text, length, answer->digest);
    }
  sheet_free (sheet);
  return ok;
}

char *
admin_sheet (admin_service_t *service, size_t *length)
{
  uint64_t number = 0;
  return accepted_newer (service->accepted, 0, length, &number);
}

void
admin_get_status (admin_service_t *service, admin_status_t *status)
{
  size_t length = 0;
  *status = (admin_status_t){ .role = "single", .leader = service->self };
  char *text = accepted_newer (service->accepted, 0, &length, &status->number);
  free (text);
  status->n_replicas = 1;
  status->replicas[0]
      = (admin_replica_t){ .vm = service->self, .state = "current" };
}
