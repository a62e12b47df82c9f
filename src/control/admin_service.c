#include "control/admin_service.h"

#include <time.h>

#include "base/name.h"
#include "control/sheet_submit.h"
#include "shift/cost.h"

enum
{
  APPLY_STEP_NSEC = 2 * 1000 * 1000,
  APPLY_STEPS = 500, /* a second in all */
};

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

/* Wait until this VM shows the accepted sheet NUMBER as well, a bounded time:
   who was told "accepted" and asks here again should find it.  */
static void
await_applied (accepted_t *accepted, uint64_t number)
{
  const struct timespec step = { .tv_nsec = APPLY_STEP_NSEC };
  for (int i = 0; i < APPLY_STEPS && accepted_number (accepted) < number; i++)
    nanosleep (&step, NULL);
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
      await_applied (service->accepted, winner.number);
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
  return accepted_text (service->accepted, length);
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
    .number = accepted_number (service->accepted),
    .n_replicas = replica.config.n_slots,
  };
  for (slot_t slot = 0; slot < replica.config.n_slots; slot++)
    status->replicas[slot] = (admin_replica_t){
      .vm = core_thread_slot_vm (service->core, slot),
      .state = slot_state (&replica, slot),
    };
}
