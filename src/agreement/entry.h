/* entry: the records of the replicated log, and the byte blocks they hold.

   Both are counted references: the log, a message under way and a snapshot
   may share one.  The counts are not atomic; all references to one object
   stay in one thread.  */

#ifndef AGREEMENT_ENTRY_H
#define AGREEMENT_ENTRY_H

#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "base/name_defs.h"

enum
{
  REPLICAS_MAX = 15,
  SLOT_NONE = 0xff,
};

/* Which control VM: its place in the settings' list.  */
typedef uint8_t slot_t;
/* One life of one data folder; 0 names none.  */
typedef uint64_t incarnation_t;
typedef uint64_t log_index_t;
typedef uint64_t term_t;
/* Names a proposal between the replica and its own process; 0 names none. */
typedef uint64_t proposal_id_t;

typedef struct blob
{
  uint32_t refs;
  uint32_t length;
  uint8_t bytes[];
} blob_t;

typedef enum
{
  ENTRY_NOOP,
  ENTRY_SHEET,        /* an operator's sheet */
  ENTRY_VOTER_CHANGE, /* one replica's incarnation takes the place of another
                       */
  ENTRY_GRANT,        /* a share of a cap; opaque here */
  ENTRY_COMMAND,      /* of the driver's own state machine; opaque here */
  ENTRY_KINDS,
} entry_kind_t;

typedef struct sheet_submission
{
  uint64_t number;
  name_t operator_name;
  blob_t *content;
} sheet_submission_t;

typedef struct voter_change
{
  slot_t slot;
  incarnation_t old_incarnation;
  incarnation_t new_incarnation;
} voter_change_t;

typedef struct entry
{
  list_t link; /* in the log of one replica */
  uint32_t refs;
  log_index_t index;
  term_t term;
  proposal_id_t proposal; /* of this process; never sent or stored */
  entry_kind_t kind;
  union
  {
    sheet_submission_t sheet;
    voter_change_t voter_change;
    blob_t *grant;
    blob_t *command;
  } body;
} entry_t;

/* A block of LENGTH bytes, copied from BYTES (left zero where NULL), with
   one reference.  */
blob_t *blob_new (const void *bytes, size_t length);
blob_t *blob_ref (blob_t *blob);
/* BLOB may be NULL.  */
void blob_unref (blob_t *blob);

/* A zeroed entry with one reference.  */
entry_t *entry_new (entry_kind_t kind);
/* Takes its own reference to CONTENT.  */
entry_t *entry_new_sheet (uint64_t number, const name_t *operator_name,
                          blob_t *content);
/* Takes its own reference to COMMAND.  */
entry_t *entry_new_command (blob_t *command);
entry_t *entry_ref (entry_t *entry);
void entry_unref (entry_t *entry);
/* About how many bytes ENTRY takes in a message.  */
size_t entry_bytes (const entry_t *entry);

#endif
