/* control.x: calls to a control process.  Sizes bound what a peer may send. */

const CONTROL_SHEET_BYTES_MAX = 921600;

/* An entry VM names the version that it has in force, 0 for none. */
struct control_pull_args_t
{
  uint64_t sheet_version;
};

enum control_pull_kind_t
{
  CONTROL_PULL_NOT_NEWER = 0,
  CONTROL_PULL_FULL = 1
};

struct control_full_t
{
  uint64_t sheet_version;
  opaque sheet<CONTROL_SHEET_BYTES_MAX>;
};

union control_pull_result_t switch (control_pull_kind_t kind)
{
case CONTROL_PULL_FULL:
  control_full_t full;
default:
  void;
};

program MULBERRY_CONTROL
{
  version MULBERRY_CONTROL_V1
  {
    void CONTROL_GREET (void) = 0;
    control_pull_result_t CONTROL_PULL (control_pull_args_t) = 1;
  } = 1;
} = 0x20004d01;
