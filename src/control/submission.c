#include "control/submission.h"

#include <stdlib.h>
#include <string.h>

#include "wire/generated/control.h"

static submission_t *
submission_new (submission_origin_t origin, usec_t deadline)
{
  submission_t *submission = calloc (1, sizeof *submission);
  if (!submission)
    abort ();
  list_init (&submission->link);
  submission->origin = origin;
  submission->deadline = deadline;
  pthread_mutex_init (&submission->lock, NULL);
  pthread_cond_init (&submission->completed, NULL);
  return submission;
}

submission_t *
submission_new_local (uint64_t number, const name_t *operator_name,
                      blob_t *content, usec_t deadline)
{
  submission_t *submission = submission_new (SUBMISSION_LOCAL, deadline);
  submission->sheet = (sheet_submission_t){ .number = number,
                                            .operator_name = *operator_name,
                                            .content = content };
  return submission;
}

submission_t *
submission_new_peer (rpc_call_t *call, usec_t deadline)
{
  control_submit_args_t args = { 0 };
  if (!rpc_call_args (call, (xdrproc_t)xdr_control_submit_args_t, &args))
    return NULL;
  submission_t *submission = submission_new (SUBMISSION_PEER, deadline);
  submission->call = call;
  submission->sheet.number = args.number;
  submission->sheet.content
      = blob_new (args.sheet.sheet_val, args.sheet.sheet_len);
  memcpy (submission->sheet.operator_name.text, args.operator_name,
          strnlen (args.operator_name, NAME_BYTES - 1));
  xdr_free ((xdrproc_t)xdr_control_submit_args_t, (char *)&args);
  return submission;
}

void
submission_free (submission_t *submission)
{
  pthread_mutex_destroy (&submission->lock);
  pthread_cond_destroy (&submission->completed);
  free (submission);
}

static control_verdict_t
wire_verdict (submission_completion_t completion,
              const sheet_outcome_t *outcome)
{
  if (completion != SUBMISSION_SETTLED || !outcome)
    return CONTROL_REFUSED;
  switch (outcome->verdict)
    {
    case SHEET_ACCEPTED:
      return CONTROL_ACCEPTED;
    case SHEET_CONFLICT:
      return CONTROL_CONFLICT;
    case SHEET_STALE:
      return CONTROL_STALE;
    }
  return CONTROL_REFUSED;
}

static void
answer_call (const submission_t *submission,
             submission_completion_t completion,
             const sheet_outcome_t *outcome)
{
  static const sheet_outcome_t none;
  sheet_record_t record = outcome ? outcome->record : none.record;
  control_submit_result_t result
      = { .verdict = wire_verdict (completion, outcome),
          .number = record.number,
          .operator_name = record.operator_name.text,
          .index = record.index };
  memcpy (result.digest, record.digest, sizeof result.digest);
  rpc_reply (submission->call, (xdrproc_t)xdr_control_submit_result_t,
             &result);
}

void
submission_complete (submission_t *submission,
                     submission_completion_t completion,
                     const sheet_outcome_t *outcome)
{
  blob_unref (submission->sheet.content);
  submission->sheet.content = NULL;
  if (submission->origin == SUBMISSION_PEER)
    {
      answer_call (submission, completion, outcome);
      submission_free (submission);
      return;
    }
  pthread_mutex_lock (&submission->lock);
  submission->is_complete = true;
  submission->completion = completion;
  if (outcome)
    submission->outcome = *outcome;
  pthread_cond_signal (&submission->completed);
  pthread_mutex_unlock (&submission->lock);
}

void
submission_wait (submission_t *submission)
{
  pthread_mutex_lock (&submission->lock);
  while (!submission->is_complete)
    pthread_cond_wait (&submission->completed, &submission->lock);
  pthread_mutex_unlock (&submission->lock);
}

void
submission_forward (rpc_t *rpc, const sheet_submission_t *sheet,
                    const char *address, uint16_t port, usec_t timeout,
                    rpc_done_t done, void *closure)
{
  control_submit_args_t args
      = { .number = sheet->number,
          .operator_name = (char *)sheet->operator_name.text };
  args.sheet.sheet_val = (char *)sheet->content->bytes;
  args.sheet.sheet_len = sheet->content->length;
  const rpc_request_t request
      = { .address = address,
          .port = port,
          .program = MULBERRY_CONTROL,
          .version = MULBERRY_CONTROL_V1,
          .procedure = CONTROL_SUBMIT,
          .encode = (xdrproc_t)xdr_control_submit_args_t,
          .args = &args,
          .timeout = timeout,
          .done = done,
          .closure = closure };
  rpc_send (rpc, &request);
}

bool
submission_decode_answer (const rpc_result_t *result, sheet_outcome_t *outcome)
{
  control_submit_result_t answer = { 0 };
  if (!result->ok
      || !rpc_result_decode (result, (xdrproc_t)xdr_control_submit_result_t,
                             &answer))
    return false;
  bool is_settled = answer.verdict != CONTROL_REFUSED;
  *outcome = (sheet_outcome_t){
    .verdict = answer.verdict == CONTROL_ACCEPTED
                   ? SHEET_ACCEPTED
                   : (answer.verdict == CONTROL_CONFLICT ? SHEET_CONFLICT
                                                         : SHEET_STALE),
    .record = { .number = answer.number, .index = answer.index },
  };
  memcpy (outcome->record.digest, answer.digest, SHEET_DIGEST_BYTES);
  memcpy (outcome->record.operator_name.text, answer.operator_name,
          strnlen (answer.operator_name, NAME_BYTES - 1));
  xdr_free ((xdrproc_t)xdr_control_submit_result_t, (char *)&answer);
  return is_settled;
}
