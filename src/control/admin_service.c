#include "control/admin_service.h"

#include <time.h>

#include "base/name.h"
#include "control/sheet_submit.h"
#include "shift/cost.h"

enum
{
  APPLY_POLL_NSEC = 2 * 1000 * 1000,
  APPLY_POLLS_MAX = 500, /* 1 s altogether */
};

/* Check that SHEET names OPERATOR_NAME and that its planned cost fits.  */
static bool
check_sheet (const admin_service_t *service, const sheet_t *sheet,
             const name_t *operator_name, err_t *err)
{
  if (!name_equal (&sheet->operator_name, operator_name))
    return err_set (err, ERR_AUTH,
                    "name yourself as the operator in the sheet",
                    "the sheet names operator %s, but %s signed the request",
                    sheet->operator_name.text, operator_name->text);
  return cost_check (sheet, &service->settings->topology, NULL, err);
}

/* Wait, for a limited time, until this VM has applied the accepted sheet
   NUMBER too, so that an operator who got "accepted" can then read the sheet
   from this VM.  */
static void
wait_until_applied (accepted_sheet_t *accepted, uint64_t number)
{
  const struct timespec interval = { .tv_nsec = APPLY_POLL_NSEC };
  for (int i = 0;
       i < APPLY_POLLS_MAX && accepted_sheet_number (accepted) < number; i++)
    nanosleep (&interval, NULL);
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
  sheet_record_t winner;
  bool ok = check_sheet (service, sheet, operator_name, err)
            && sheet_submit (service->core, sheet, text, length, &winner, err);
  if (ok)
    {
      wait_until_applied (service->accepted, winner.number);
      answer->number = winner.number;
      answer->operator_name = winner.operator_name;
      sheet_digest_text (&winner, answer->digest);
    }
  sheet_free (sheet);
  return ok;
}

char *
admin_sheet (admin_service_t *service, size_t *length)
{
  return accepted_sheet_text (service->accepted, length);
}

static const char *
slot_state (const replica_status_t *status, slot_t slot)
{
  if (slot == status->pending_slot)
    return "joining";
  return slot == status->leader ? "leading" : "voting";
}

void
admin_get_status (admin_service_t *service, admin_status_t *status)
{
  replica_status_t replica = core_thread_status (service->core);
  *status = (admin_status_t){
    .role = replica_role_name (replica.role),
    .leader = core_thread_slot_vm (service->core, replica.leader),
    .term = replica.term,
    .number = accepted_sheet_number (service->accepted),
    .n_replicas = replica.config.n_slots,
  };
  for (slot_t slot = 0; slot < replica.config.n_slots; slot++)
    status->replicas[slot] = (admin_replica_t){
      .vm = core_thread_slot_vm (service->core, slot),
      .state = slot_state (&replica, slot),
    };
}
