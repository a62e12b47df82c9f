#include "settings/yaml_reader.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/duration.h"
#include "base/inet.h"
#include "base/name.h"
#include "base/number.h"
#include "base/time_defs.h"
#include "settings/settings_defs.h"

enum
{
  FIELDS_MAX = 48, /* in the table of one mapping */
};

bool
yaml_reader_open (yaml_reader_t *reader, const char *path, err_t *err)
{
  reader->path = path;
  FILE *file = fopen (path, "rb");
  if (!file)
    return err_set (err, ERR_SETTINGS,
                    "give the path of a readable settings file", "%s: %s",
                    path, strerror (errno));
  yaml_parser_t parser;
  yaml_parser_initialize (&parser);
  yaml_parser_set_input_file (&parser, file);
  bool ok = yaml_parser_load (&parser, &reader->document);
  if (!ok)
    err_set (err, ERR_SETTINGS, "correct the YAML syntax at that line",
             "%s:%zu: %s", path, parser.problem_mark.line + 1,
             parser.problem ? parser.problem : "invalid YAML");
  yaml_parser_delete (&parser);
  fclose (file);
  return ok;
}

void
yaml_reader_close (yaml_reader_t *reader)
{
  yaml_document_delete (&reader->document);
}

bool
yaml_reader_fault (yaml_reader_t *reader, const yaml_node_t *node, err_t *err,
                   const char *remedy, const char *format, ...)
{
  char text[ERR_MESSAGE_BYTES / 2];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  return err_set (err, ERR_SETTINGS, remedy, "%s:%zu: %s", reader->path,
                  node ? node->start_mark.line + 1 : 1, text);
}

static bool
read_number (const char *text, const yaml_field_t *field, double *number)
{
  return number_parse_decimal (number, text, strlen (text), field->max)
             == NUMBER_OK
         && *number >= field->min;
}

static bool
store_number (yaml_reader_t *reader, yaml_node_t *node, const char *text,
              const yaml_field_t *field, char *at, err_t *err)
{
  double number = 0;
  bool whole = field->kind != YAML_FIELD_REAL;
  if (!read_number (text, field, &number)
      || (whole && number != (double)(uint64_t)number))
    return yaml_reader_fault (reader, node, err,
                              "give a number in that range; "
                              "docs/OPERATIONS.md lists the keys",
                              "key '%s': '%s' is not a%s number from %g to %g",
                              field->key, text, whole ? " whole" : "",
                              field->min, field->max);
  uint64_t value = (uint64_t)number * (field->scale ? field->scale : 1);
  switch (field->kind)
    {
    case YAML_FIELD_U16:
      *(uint16_t *)at = (uint16_t)value;
      return true;
    case YAML_FIELD_U32:
      *(uint32_t *)at = (uint32_t)value;
      return true;
    case YAML_FIELD_U64:
      *(uint64_t *)at = value;
      return true;
    case YAML_FIELD_USEC:
      *(usec_t *)at = (usec_t)value;
      return true;
    default:
      *(double *)at = number;
      return true;
    }
}

/* The text of NODE, or NULL with an error that names KEY: if NODE is no
   scalar, is YAML's null, or has a null byte, at which C would cut it.  */
static const char *
scalar_text (yaml_reader_t *reader, const yaml_node_t *node, const char *key,
             err_t *err)
{
  if (node->type != YAML_SCALAR_NODE)
    {
      yaml_reader_fault (reader, node, err, "give a single value",
                         "key '%s' has a list or mapping as its value", key);
      return NULL;
    }
  const char *text = (const char *)node->data.scalar.value;
  bool is_plain = node->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
  if (is_plain && (strcmp (text, "~") == 0 || strcasecmp (text, "null") == 0))
    yaml_reader_fault (reader, node, err, "give a value, or quote the word",
                       "key '%s' has no value", key);
  else if (strlen (text) != node->data.scalar.length)
    yaml_reader_fault (reader, node, err, "remove the null byte",
                       "key '%s' has a null byte in its value", key);
  else
    return text;
  return NULL;
}

static bool
store_scalar (yaml_reader_t *reader, yaml_node_t *node,
              const yaml_field_t *field, char *at, err_t *err)
{
  const char *text = scalar_text (reader, node, field->key, err);
  if (!text)
    return false;
  err_t why = { 0 };
  struct in_addr address;
  switch (field->kind)
    {
    case YAML_FIELD_NAME:
      if (name_parse ((name_t *)at, text, &why))
        return true;
      return yaml_reader_fault (reader, node, err, why.remedy, "key '%s': %s",
                                field->key, why.message);
    case YAML_FIELD_ADDRESS:
      if (strlen (text) < ADDRESS_BYTES && inet_pton (AF_INET, text, &address))
        {
          memcpy (at, text, strlen (text) + 1);
          return true;
        }
      return yaml_reader_fault (
          reader, node, err, "give an IPv4 address such as 127.10.1.1",
          "key '%s': bad address '%s'", field->key, text);
    case YAML_FIELD_PATH:
      if (*text && strlen (text) < SETTINGS_PATH_BYTES)
        {
          memcpy (at, text, strlen (text) + 1);
          return true;
        }
      return yaml_reader_fault (
          reader, node, err, "give a path of 1 to 255 bytes",
          "key '%s': the path has %zu bytes", field->key, strlen (text));
    case YAML_FIELD_BOOL:
      *(bool *)at = strcmp (text, "true") == 0;
      if (*(bool *)at || strcmp (text, "false") == 0)
        return true;
      return yaml_reader_fault (reader, node, err, "write true or false",
                                "key '%s': '%s' is not a Boolean", field->key,
                                text);
    case YAML_FIELD_DURATION:
      if (duration_parse ((usec_t *)at, text))
        return true;
      return yaml_reader_fault (
          reader, node, err,
          "write a number and its unit, for example 1500ms or 2.5s",
          "key '%s': '%s' is not a duration", field->key, text);
    case YAML_FIELD_INET:
      if (inet_parse ((inet_t *)at, text))
        return true;
      return yaml_reader_fault (
          reader, node, err, "write ADDRESS:PORT, for example 127.10.1.1:8080",
          "key '%s': bad address '%s'", field->key, text);
    default:
      return store_number (reader, node, text, field, at, err);
    }
}

static const yaml_field_t *
find_field (const yaml_field_t *fields, size_t n_fields, const char *key)
{
  for (size_t i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, key) == 0)
      return &fields[i];
  return NULL;
}

static bool
check_required (yaml_reader_t *reader, yaml_node_t *node, const char *what,
                const yaml_field_t *fields, size_t n_fields, const bool *seen,
                err_t *err)
{
  for (size_t i = 0; i < n_fields; i++)
    if (fields[i].required && !seen[i])
      return yaml_reader_fault (reader, node, err,
                                fields[i].remedy ? fields[i].remedy
                                                 : "add the missing key",
                                "%s: missing key '%s'", what, fields[i].key);
  return true;
}

bool
yaml_reader_mapping (yaml_reader_t *reader, yaml_node_t *node,
                     const char *what, const yaml_field_t *fields,
                     size_t n_fields, void *into, err_t *err)
{
  bool seen[FIELDS_MAX] = { false };
  if (!node || node->type != YAML_MAPPING_NODE)
    return yaml_reader_fault (reader, node, err, "write 'key: value' lines",
                              "%s is not a mapping", what);
  for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top; pair++)
    {
      yaml_node_t *key = yaml_document_get_node (&reader->document, pair->key);
      yaml_node_t *value
          = yaml_document_get_node (&reader->document, pair->value);
      const char *text = key->type == YAML_SCALAR_NODE
                             ? (const char *)key->data.scalar.value
                             : "?";
      const yaml_field_t *field = find_field (fields, n_fields, text);
      if (!field)
        return yaml_reader_fault (reader, key, err,
                                  "remove the key or correct its spelling; "
                                  "docs/OPERATIONS.md lists the keys",
                                  "unknown key '%s' in %s", text, what);
      if (seen[field - fields])
        return yaml_reader_fault (reader, key, err,
                                  "remove all but one of them",
                                  "duplicate key '%s' in %s", text, what);
      seen[field - fields] = true;
      char *at = (char *)into + field->offset;
      if (field->kind == YAML_FIELD_NODE)
        *(yaml_node_t **)at = value;
      else if (!store_scalar (reader, value, field, at, err))
        return false;
    }
  return check_required (reader, node, what, fields, n_fields, seen, err);
}

bool
yaml_reader_sequence (yaml_reader_t *reader, yaml_node_t *node,
                      const char *what, size_t *n, err_t *err)
{
  if (!node || node->type != YAML_SEQUENCE_NODE)
    return yaml_reader_fault (reader, node, err,
                              "write a list of '- ...' items",
                              "%s is not a list", what);
  *n = (size_t)(node->data.sequence.items.top
                - node->data.sequence.items.start);
  return true;
}

yaml_node_t *
yaml_reader_item (yaml_reader_t *reader, yaml_node_t *node, size_t i)
{
  return yaml_document_get_node (&reader->document,
                                 node->data.sequence.items.start[i]);
}
