/* entry: the entries of the replicated log, and the byte blocks they hold.

   Both are reference-counted, so that the log, an unsent message and a
   snapshot can share one object.  The counts are not atomic: all references
   to an object must stay in one thread.  */

#ifndef AGREEMENT_ENTRY_H
#define AGREEMENT_ENTRY_H

#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "base/name_defs.h"

enum
{
  REPLICAS_MAX = 63,
  SLOT_NONE = 0xff,
};

/* A replica's position in the list of replicas: in the settings of the control
   VMs, or in the directors' roster.  */
typedef uint8_t slot_t;
/* Identifies the contents of one data folder; drawn when the folder is empty.
   0: none.  */
typedef uint64_t incarnation_t;
typedef uint64_t log_index_t;
typedef uint64_t term_t;
/* Identifies a proposal within one process; 0: none.  */
typedef uint64_t proposal_id_t;

/* A block of bytes.  */
typedef struct blob
{
  uint32_t refs;
  uint32_t length;
  uint8_t bytes[];
} blob_t;

typedef enum
{
  ENTRY_NOOP,
  ENTRY_SHEET,        /* a sheet that an operator submitted */
  ENTRY_VOTER_CHANGE, /* a new incarnation takes over a slot's vote */
  ENTRY_GRANT,        /* a spending grant (src/control); opaque here */
  ENTRY_COMMAND,      /* for the driver's state machine; opaque here */
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
  proposal_id_t proposal; /* set if proposed here; never sent or stored */
  entry_kind_t kind;
  union
  {
    sheet_submission_t sheet;
    voter_change_t voter_change;
    blob_t *grant;
    blob_t *command;
  } body;
} entry_t;

/* A block of LENGTH bytes with one reference, copied from BYTES, or zeroed if
   BYTES is NULL.  */
blob_t *blob_new (const void *bytes, size_t length);
/* Add a reference; returns BLOB.  */
blob_t *blob_ref (blob_t *blob);
/* Drop a reference; the last one frees BLOB.  BLOB may be NULL.  */
void blob_unref (blob_t *blob);

/* A zeroed entry of KIND with one reference.  */
entry_t *entry_new (entry_kind_t kind);
/* Takes its own reference to CONTENT.  */
entry_t *entry_new_sheet (uint64_t number, const name_t *operator_name,
                          blob_t *content);
/* Takes its own reference to COMMAND.  */
entry_t *entry_new_command (blob_t *command);
entry_t *entry_ref (entry_t *entry);
/* Drop a reference; the last one frees ENTRY.  ENTRY may be NULL.  */
void entry_unref (entry_t *entry);
/* An upper bound of ENTRY's encoded size in bytes.  */
size_t entry_bytes (const entry_t *entry);

#endif
