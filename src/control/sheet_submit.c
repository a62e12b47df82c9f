#include "control/sheet_submit.h"

#include "base/clock.h"

/* Shorter than mulberryctl waits for an answer.  */
#define SUBMIT_TIMEOUT (3 * USEC_PER_SEC)

static bool
check_outcome (const sheet_outcome_t *outcome, uint64_t number, err_t *err)
{
  char digest[2 * SHEET_DIGEST_BYTES + 1];
  sheet_digest_text (&outcome->record, digest);
  switch (outcome->verdict)
    {
    case SHEET_ACCEPTED:
      return true;
    case SHEET_CONFLICT:
      return err_set (
          err, ERR_CONFLICT,
          "read the accepted sheet, then submit yours under a "
          "higher number",
          "sheet number %llu is already accepted with other content: "
          "operator %s, digest %s",
          (unsigned long long)number, outcome->record.operator_name.text,
          digest);
    case SHEET_STALE:
      break;
    }
  return err_set (
      err, ERR_STALE, "submit the sheet under a higher number",
      "sheet number %llu is below the accepted %llu of operator %s",
      (unsigned long long)number, (unsigned long long)outcome->record.number,
      outcome->record.operator_name.text);
}

static bool
check_completion (const submission_t *submission, sheet_record_t *accepted,
                  err_t *err)
{
  switch (submission->completion)
    {
    case SUBMISSION_SETTLED:
      *accepted = submission->outcome.record;
      return check_outcome (&submission->outcome, submission->sheet.number,
                            err);
    case SUBMISSION_REFUSED:
      return err_set (err, ERR_UNAVAILABLE, "submit the same sheet again",
                      "too many sheets are waiting to be accepted");
    case SUBMISSION_HALTED:
      return err_set (
          err, ERR_STORAGE,
          "submit to another control VM and repair this one's disk",
          "the disk of this control VM has failed");
    case SUBMISSION_UNKNOWN:
      break;
    }
  return err_set (err, ERR_UNAVAILABLE,
                  "submit the same sheet again: repeating is safe",
                  "no majority of control VMs answered in time; sheet %llu "
                  "may still be accepted",
                  (unsigned long long)submission->sheet.number);
}

bool
sheet_submit (core_thread_t *core, const sheet_t *sheet, const char *text,
              size_t length, sheet_record_t *accepted, err_t *err)
{
  submission_t *submission = submission_new_local (
      sheet->number, &sheet->operator_name, blob_new (text, length),
      clock_monotonic () + SUBMIT_TIMEOUT);
  bool ok = core_thread_submit (core, submission);
  if (ok)
    {
      submission_wait (submission);
      ok = check_completion (submission, accepted, err);
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
