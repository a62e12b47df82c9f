/* control.x: calls to a control process.  Sizes bound what a peer may send. */

const CONTROL_SHEET_BYTES_MAX = 921600;
const CONTROL_MESSAGE_BYTES_MAX = 1000000;
const CONTROL_NAME_BYTES_MAX = 47;
const CONTROL_DIGEST_BYTES = 32;

/* One message between replicas, encoded by agreement/message. */
struct control_agree_args_t
{
  opaque message<CONTROL_MESSAGE_BYTES_MAX>;
};

/* A sheet that another control process was given. */
struct control_submit_args_t
{
  uint64_t number;
  string operator_name<CONTROL_NAME_BYTES_MAX>;
  opaque sheet<CONTROL_SHEET_BYTES_MAX>;
};

enum control_verdict_t
{
  CONTROL_ACCEPTED = 0,
  CONTROL_CONFLICT = 1,
  CONTROL_STALE = 2,
  CONTROL_REFUSED = 3 /* not leading, or too busy: try again */
};

struct control_submit_result_t
{
  control_verdict_t verdict;
  uint64_t number; /* the winner's, as all that follows */
  string operator_name<CONTROL_NAME_BYTES_MAX>;
  opaque digest[CONTROL_DIGEST_BYTES];
  uint64_t index;
};

program MULBERRY_CONTROL
{
  version MULBERRY_CONTROL_V1
  {
    void CONTROL_GREET (void) = 0;
    void CONTROL_AGREE (control_agree_args_t) = 1;
    control_submit_result_t CONTROL_SUBMIT (control_submit_args_t) = 2;
  } = 1;
} = 0x20004d01;
