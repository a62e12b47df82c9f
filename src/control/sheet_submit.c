#include "control/sheet_submit.h"

#include "base/clock.h"
/* Shorter than a client waits for an answer.  */
#define SUBMIT_DEADLINE (3 * USEC_PER_SEC)

static bool
settled (const sheet_outcome_t *outcome, uint64_t number, err_t *err)
{
  char digest[2 * SHEET_DIGEST_BYTES + 1];
  sheet_digest_text (&outcome->record, digest);
  switch (outcome->verdict)
    {
    case SHEET_ACCEPTED:
      return true;
    case SHEET_CONFLICT:
      return err_set (err, ERR_CONFLICT,
                      "read the accepted sheet, then submit yours under a "
                      "higher number",
                      "sheet %llu was won by operator %s with digest %s",
                      (unsigned long long)number,
                      outcome->record.operator_name.text, digest);
    case SHEET_STALE:
      break;
    }
  return err_set (err, ERR_STALE, "submit it under a higher number",
                  "the number %llu is below the accepted %llu of operator %s",
                  (unsigned long long)number,
                  (unsigned long long)outcome->record.number,
                  outcome->record.operator_name.text);
}

static bool
ended (const submission_t *submission, sheet_record_t *winner, err_t *err)
{
  switch (submission->end)
    {
    case SUBMISSION_SETTLED:
      *winner = submission->outcome.record;
      return settled (&submission->outcome, submission->sheet.number, err);
    case SUBMISSION_REFUSED:
      return err_set (err, ERR_UNAVAILABLE, "submit the same sheet again",
                      "too many sheets wait to be accepted");
    case SUBMISSION_HALTED:
      return err_set (err, ERR_STORAGE,
                      "ask another control VM, and mend this one's disk",
                      "this control VM's disk failed");
    case SUBMISSION_UNKNOWN:
      break;
    }
  return err_set (err, ERR_UNAVAILABLE,
                  "submit the same sheet again: it is accepted once",
                  "no majority of control VMs answered in time; sheet %llu "
                  "may yet be accepted",
                  (unsigned long long)submission->sheet.number);
}

bool
sheet_submit (core_thread_t *core, const sheet_t *sheet, const char *text,
              size_t length, sheet_record_t *winner, err_t *err)
{
  submission_t *submission = submission_new_local (
      sheet->number, &sheet->operator_name, blob_new (text, length),
      clock_monotonic () + SUBMIT_DEADLINE);
  bool ok = core_thread_submit (core, submission);
  if (ok)
    {
      submission_wait (submission);
      ok = ended (submission, winner, err);
    }
  else
    {
      blob_unref (submission->sheet.content);
      err_set (err, ERR_UNAVAILABLE, "submit the same sheet again",
               "this control VM is busy or stopping");
    }
  submission_free (submission);
  return ok;
}
