/* yaml_reader: read YAML mappings into structures, with line numbers in error
   messages.

   A table of fields describes a mapping.  An unknown or repeated key, a
   missing required key and a value of the wrong type or range are errors.  All
   errors are ERR_SETTINGS.  */

#ifndef SETTINGS_YAML_READER_H
#define SETTINGS_YAML_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <yaml.h>

#include "base/error.h"

typedef struct yaml_reader
{
  const char *path; /* owned by the caller; used in messages */
  yaml_document_t document;
} yaml_reader_t;

typedef enum
{
  YAML_FIELD_NAME,    /* name_t */
  YAML_FIELD_ADDRESS, /* char[ADDRESS_BYTES], dotted IPv4 */
  YAML_FIELD_PATH,    /* char[SETTINGS_PATH_BYTES] */
  YAML_FIELD_BOOL,    /* bool */
  YAML_FIELD_U16,
  YAML_FIELD_U32,
  YAML_FIELD_U64,
  YAML_FIELD_USEC,     /* usec_t; a whole number of SCALE microseconds */
  YAML_FIELD_REAL,     /* double */
  YAML_FIELD_DURATION, /* usec_t, written as in base/duration.h */
  YAML_FIELD_INET,     /* inet_t, written ADDRESS:PORT */
  YAML_FIELD_NODE,     /* yaml_node_t *; the caller reads the node */
} yaml_field_kind_t;

typedef struct yaml_field
{
  const char *key;
  yaml_field_kind_t kind;
  bool required;
  size_t offset;      /* of the value in the structure to fill */
  double min;         /* numbers: least value as written, before SCALE */
  double max;         /* numbers: greatest value as written */
  uint64_t scale;     /* factor for whole numbers; 0 means 1 */
  const char *remedy; /* where a required key is missing; NULL: add it */
} yaml_field_t;

/* Parse the file PATH.  After true, close READER with yaml_reader_close.  */
bool yaml_reader_open (yaml_reader_t *reader, const char *path, err_t *err);

void yaml_reader_close (yaml_reader_t *reader);

/* Fill the structure at INTO from the mapping NODE; the members of absent
   optional fields are not written.  WHAT names the mapping in messages.
   Returns false with the first error in ERR; INTO may be partly filled
   then.  */
bool yaml_reader_mapping (yaml_reader_t *reader, yaml_node_t *node,
                          const char *what, const yaml_field_t *fields,
                          size_t n_fields, void *into, err_t *err);

/* Set *N to the number of items of the sequence NODE.  Returns false with an
   error in ERR if NODE is NULL or not a sequence.  */
bool yaml_reader_sequence (yaml_reader_t *reader, yaml_node_t *node,
                           const char *what, size_t *n, err_t *err);

/* Item I of the sequence NODE; I must be less than its number of items.  */
yaml_node_t *yaml_reader_item (yaml_reader_t *reader, yaml_node_t *node,
                               size_t i);

/* Set ERR to an ERR_SETTINGS whose message is "path:line: " and the formatted
   text; the line is that of NODE, or 1 if NODE is NULL.  Returns false.  */
bool yaml_reader_fault (yaml_reader_t *reader, const yaml_node_t *node,
                        err_t *err, const char *remedy, const char *format,
                        ...) __attribute__ ((format (printf, 5, 6)));

#endif
