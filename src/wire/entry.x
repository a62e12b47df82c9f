/* entry.x: calls between entry VMs.  Sizes bound what a peer may send. */

const ENTRY_REPLICAS_MAX = 3;
const ENTRY_BODY_BYTES_MAX = 65536;

struct entry_replica_t
{
  unsigned int vm;
  uint64_t incarnation;
};

struct entry_ticket_t
{
  unsigned int issuer;
  uint64_t issuer_incarnation;
  uint64_t sequence;
  unsigned int generation;
  int64_t issued_at;
  entry_replica_t replicas<ENTRY_REPLICAS_MAX>;
};

struct entry_outcome_t
{
  unsigned int status;
  bool body_kept;
  opaque body<ENTRY_BODY_BYTES_MAX>;
};

struct entry_ask_t
{
  unsigned int op;
  entry_ticket_t ticket;
  unsigned int attempt_vm;
  uint64_t attempt_incarnation;
  uint64_t attempt_number;
  uint64_t fingerprint_low;
  uint64_t fingerprint_high;
  entry_outcome_t outcome;
};

struct entry_vote_t
{
  unsigned int kind;
  unsigned int generation;
  entry_outcome_t outcome;
};

const ENTRY_ROWS_MAX = 2048;

/* What is known of one VM; membership/liveness has the rules. */
struct entry_row_t
{
  uint16_t vm;
  uint64_t incarnation;
  uint32_t episode;
  int64_t stamp; /* its monotonic clock, usec */
  bool reachable;
  bool leaving;
};

struct entry_heartbeat_t
{
  entry_row_t own;
  entry_row_t changes<ENTRY_ROWS_MAX>;
  bool wants_all; /* the answer is to have a row for each VM */
};

const ENTRY_MARKS_MAX = 64;

struct entry_mark_t
{
  uint64_t fingerprint_low;
  uint64_t fingerprint_high;
  unsigned int seen_by;
  uint64_t incarnation;
  uint64_t number;
  int64_t age;
  bool cleared;
  bool wide;
};

struct entry_marks_t
{
  entry_mark_t marks<ENTRY_MARKS_MAX>;
};

program MULBERRY_ENTRY
{
  version MULBERRY_ENTRY_V1
  {
    void ENTRY_GREET (void) = 0;
    entry_vote_t ENTRY_LEDGER (entry_ask_t) = 1;
    entry_heartbeat_t ENTRY_HEARTBEAT (entry_heartbeat_t) = 2;
    void ENTRY_QUARANTINE (entry_marks_t) = 3;
  } = 1;
} = 0x20004d02;
