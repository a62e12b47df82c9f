/* yaml_reader: typed reading of YAML mappings with line numbers.

   A mapping is described by a table of fields; an unknown key, a missing
   required key and a value outside its range are faults.  */

#ifndef SETTINGS_YAML_READER_H
#define SETTINGS_YAML_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <yaml.h>

#include "base/error.h"

typedef struct yaml_reader
{
  const char *path;
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
  YAML_FIELD_USEC,     /* usec_t; SCALE microseconds a unit */
  YAML_FIELD_REAL,     /* double */
  YAML_FIELD_DURATION, /* usec_t, written as in base/duration.h */
  YAML_FIELD_INET,     /* inet_t, written ADDRESS:PORT */
  YAML_FIELD_NODE,     /* yaml_node_t *, read by the caller */
} yaml_field_kind_t;

typedef struct yaml_field
{
  const char *key;
  yaml_field_kind_t kind;
  bool required;
  size_t offset;
  double min;
  double max;
  uint64_t scale; /* multiplies whole numbers; 0 stands for 1 */
} yaml_field_t;

bool yaml_reader_open (yaml_reader_t *reader, const char *path, err_t *err);

void yaml_reader_close (yaml_reader_t *reader);

/* Fill the struct at INTO from the mapping NODE; absent optional fields stay
   as they are.  WHAT names the mapping in messages.  */
bool yaml_reader_mapping (yaml_reader_t *reader, yaml_node_t *node,
                          const char *what, const yaml_field_t *fields,
                          size_t n_fields, void *into, err_t *err);

/* How many items the sequence NODE has; false where it is none.  */
bool yaml_reader_sequence (yaml_reader_t *reader, yaml_node_t *node,
                           const char *what, size_t *n, err_t *err);

yaml_node_t *yaml_reader_item (yaml_reader_t *reader, yaml_node_t *node,
                               size_t i);

/* A fault at NODE: "path:line: ...".  Returns false.  */
bool yaml_reader_fault (yaml_reader_t *reader, const yaml_node_t *node,
                        err_t *err, const char *remedy, const char *format,
                        ...) __attribute__ ((format (printf, 5, 6)));

#endif
