#include "agreement/entry.h"

#include <stdlib.h>
#include <string.h>

enum
{
  ENTRY_FIXED_BYTES_MAX = 96, /* of an encoded entry without its content */
};

blob_t *
blob_new (const void *bytes, size_t length)
{
  blob_t *blob = malloc (sizeof *blob + length);
  if (!blob)
    abort ();
  blob->refs = 1;
  blob->length = (uint32_t)length;
  if (bytes)
    memcpy (blob->bytes, bytes, length);
  else
    memset (blob->bytes, 0, length);
  return blob;
}

blob_t *
blob_ref (blob_t *blob)
{
  blob->refs++;
  return blob;
}

void
blob_unref (blob_t *blob)
{
  if (blob && --blob->refs == 0)
    free (blob);
}

entry_t *
entry_new (entry_kind_t kind)
{
  entry_t *entry = calloc (1, sizeof *entry);
  if (!entry)
    abort ();
  list_init (&entry->link);
  entry->refs = 1;
  entry->kind = kind;
  return entry;
}

entry_t *
entry_new_sheet (uint64_t number, const name_t *operator_name, blob_t *content)
{
  entry_t *entry = entry_new (ENTRY_SHEET);
  entry->body.sheet.number = number;
  entry->body.sheet.operator_name = *operator_name;
  entry->body.sheet.content = blob_ref (content);
  return entry;
}

entry_t *
entry_new_command (blob_t *command)
{
  entry_t *entry = entry_new (ENTRY_COMMAND);
  entry->body.command = blob_ref (command);
  return entry;
}

entry_t *
entry_ref (entry_t *entry)
{
  entry->refs++;
  return entry;
}

static blob_t *
entry_blob (const entry_t *entry)
{
  switch (entry->kind)
    {
    case ENTRY_SHEET:
      return entry->body.sheet.content;
    case ENTRY_GRANT:
      return entry->body.grant;
    case ENTRY_COMMAND:
      return entry->body.command;
    case ENTRY_NOOP:
    case ENTRY_VOTER_CHANGE:
    case ENTRY_KINDS:
      break;
    }
  return NULL;
}

void
entry_unref (entry_t *entry)
{
  if (!entry || --entry->refs > 0)
    return;
  blob_unref (entry_blob (entry));
  free (entry);
}

size_t
entry_bytes (const entry_t *entry)
{
  const blob_t *blob = entry_blob (entry);
  return ENTRY_FIXED_BYTES_MAX + (blob ? blob->length : 0);
}
