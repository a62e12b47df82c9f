/* pull.x: asking any process for a newer version of the accepted sheet. */

const PULL_TEXT_BYTES_MAX = 921600;
const PULL_REPORTS_MAX = 32;

/* What a VM has in force, as it was heard. */
struct pull_report_t
{
  uint32_t vm;
  uint64_t sheet_version;
  uint32_t in_force_ms;
  uint32_t heard_ms;
};

struct pull_args_t
{
  uint64_t sheet_version; /* that the caller has; 0 for none */
  pull_report_t reports<PULL_REPORTS_MAX>;
};

enum pull_kind_t
{
  PULL_NOT_NEWER = 0,
  PULL_DELTA = 1,
  PULL_FULL = 2
};

struct pull_result_t
{
  pull_kind_t kind;
  uint64_t sheet_version;
  uint64_t base;
  uint64_t checksum;
  int64_t freshness_us;
  opaque text<PULL_TEXT_BYTES_MAX>;
};

program MULBERRY_PULL
{
  version MULBERRY_PULL_V1
  {
    void PULL_GREET (void) = 0;
    pull_result_t PULL_NEWER (pull_args_t) = 1;
  } = 1;
} = 0x20004d03;
