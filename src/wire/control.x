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

/* An entry VM's ask for a part of the shift's cost cap.  Amounts are in
   thousandths of the currency's smallest unit, totals of one generation. */
struct control_spend_ask_t
{
  uint64_t budget;
  uint32_t holder;
  uint64_t generation;
  int64_t wanted;
  int64_t returned;
};

enum control_spend_verdict_t
{
  CONTROL_SPEND_GRANTED = 0,
  CONTROL_SPEND_STALE = 1, /* the generation or the budget has passed */
  CONTROL_SPEND_REFUSED = 2 /* not leading, or too busy: ask another */
};

struct control_spend_answer_t
{
  control_spend_verdict_t verdict;
  uint64_t budget;     /* the one in force */
  uint64_t generation; /* the holder's newest */
  int64_t granted;
  int64_t recall;
};

const CONTROL_SPEND_ACCOUNTS_MAX = 4096;

/* The spend book in a snapshot. */
struct control_spend_account_t
{
  uint32_t holder;
  uint64_t generation;
  int64_t granted;
  int64_t returned;
  bool is_open;
};

struct control_spend_book_t
{
  uint64_t budget;
  int64_t cap;
  int64_t spent;
  control_spend_account_t accounts<CONTROL_SPEND_ACCOUNTS_MAX>;
};

program MULBERRY_CONTROL
{
  version MULBERRY_CONTROL_V1
  {
    void CONTROL_GREET (void) = 0;
    void CONTROL_AGREE (control_agree_args_t) = 1;
    control_submit_result_t CONTROL_SUBMIT (control_submit_args_t) = 2;
    control_spend_answer_t CONTROL_SPEND (control_spend_ask_t) = 3;
  } = 1;
} = 0x20004d01;
