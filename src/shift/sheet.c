#include "shift/sheet.h"

#include <arpa/inet.h>
#include <csv.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/name.h"
#include "base/number.h"
#include "placement/topology.h"

enum
{
  COLUMN_RECORD,
  COLUMN_SERVICE,
  COLUMN_PLACE,
  COLUMN_NAME,
  COLUMN_ADDRESS,
  COLUMN_VALUE,
  N_COLUMNS,
  FIELD_BYTES = 128,
  PERCENT_WHOLE = 100,
  PORT_MAX = 65535,
};

static const char *const column_names[N_COLUMNS]
    = { "record", "service", "place", "name", "address", "value" };

typedef struct row
{
  size_t number;
  size_t n_fields;
  char field[N_COLUMNS][FIELD_BYTES];
  bool too_long;
} row_t;

typedef struct parser
{
  const topology_t *topology;
  sheet_faults_t *faults;
  sheet_t *sheet;
  row_t row;
  bool has_number;
  bool has_operator;
  bool has_currency;
  bool has_cap;
} parser_t;

static void fault_add (parser_t *parser, int column, const char *remedy,
                       const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

static void
fault_add (parser_t *parser, int column, const char *remedy,
           const char *format, ...)
{
  sheet_faults_t *faults = parser->faults;
  if (faults->n_faults++ >= SHEET_FAULTS_MAX)
    return;
  sheet_fault_t *at = &faults->fault[faults->n_faults - 1];
  at->row = parser->row.number;
  at->column = column_names[column];
  snprintf (at->remedy, sizeof at->remedy, "%s", remedy);
  va_list args;
  va_start (args, format);
  vsnprintf (at->message, sizeof at->message, format, args);
  va_end (args);
}

/* Append a zeroed item to the array at *ITEMS and return it.  The capacity is
   doubled at each power of two.  */
static void *
array_append (void **items, size_t *n, size_t item_bytes)
{
  if ((*n & (*n - 1)) == 0)
    {
      void *grown = realloc (*items, (*n ? 2 * *n : 1) * item_bytes);
      if (!grown)
        abort ();
      *items = grown;
    }
  char *item = (char *)*items + (*n)++ * item_bytes;
  memset (item, 0, item_bytes);
  return item;
}

static bool
parse_whole (parser_t *parser, int column, int64_t max, int64_t *number)
{
  const char *text = parser->row.field[column];
  uint64_t value;
  if (number_parse_unsigned (&value, text, (uint64_t)max) == NUMBER_OK)
    {
      *number = (int64_t)value;
      return true;
    }
  fault_add (
      parser, column, "write a whole number without signs or separators",
      "'%.40s' is not a whole number from 0 to %lld", text, (long long)max);
  return false;
}

static bool
parse_name (parser_t *parser, int column, name_t *name)
{
  err_t why = { 0 };
  if (name_parse (name, parser->row.field[column], &why))
    return true;
  fault_add (parser, column, why.remedy, "%s", why.message);
  return false;
}

/* Where ANY is true, an empty field means all services, as TOPOLOGY_NONE.  */
static bool
parse_service (parser_t *parser, service_id_t *service, bool any)
{
  const char *text = parser->row.field[COLUMN_SERVICE];
  *service = topology_service (parser->topology, text);
  if (*service != TOPOLOGY_NONE || (any && !*text))
    return true;
  fault_add (parser, COLUMN_SERVICE, "use a service that the settings list",
             "unknown service '%.40s'", text);
  return false;
}

static bool
parse_region (parser_t *parser, region_id_t *region)
{
  const char *text = parser->row.field[COLUMN_PLACE];
  *region = topology_region (parser->topology, text);
  if (*region != TOPOLOGY_NONE)
    return true;
  fault_add (parser, COLUMN_PLACE, "use a region that the settings list",
             "unknown region '%.40s'", text);
  return false;
}

static bool
parse_domain (parser_t *parser, domain_id_t *domain)
{
  const char *text = parser->row.field[COLUMN_PLACE];
  *domain = topology_domain (parser->topology, text);
  if (*domain != TOPOLOGY_NONE)
    return true;
  fault_add (parser, COLUMN_PLACE,
             "use a failure domain that the settings list",
             "unknown failure domain '%.40s'", text);
  return false;
}

static bool
parse_address (parser_t *parser, backend_t *backend)
{
  char text[FIELD_BYTES];
  memcpy (text, parser->row.field[COLUMN_ADDRESS], sizeof text);
  char *colon = strchr (text, ':');
  struct in_addr parsed;
  uint64_t port;
  if (colon)
    {
      *colon = '\0';
      if (inet_pton (AF_INET, text, &parsed) == 1
          && number_parse_unsigned (&port, colon + 1, PORT_MAX) == NUMBER_OK
          && port > 0)
        {
          memcpy (backend->address, text, strlen (text) + 1);
          backend->port = (uint16_t)port;
          return true;
        }
    }
  fault_add (parser, COLUMN_ADDRESS, "write it as 127.10.1.1:9000",
             "'%.40s' is not an IPv4 address and port",
             parser->row.field[COLUMN_ADDRESS]);
  return false;
}

static const char *const state_names[]
    = { "serving", "joining", "leaving", "stopping" };

const char *
sheet_state_name (backend_state_t state)
{
  return state_names[state];
}

static bool
parse_state (parser_t *parser, backend_state_t *state)
{
  const char *text = parser->row.field[COLUMN_VALUE];
  for (size_t i = 0; i < sizeof state_names / sizeof state_names[0]; i++)
    if (strcmp (text, state_names[i]) == 0)
      {
        *state = (backend_state_t)i;
        return true;
      }
  fault_add (parser, COLUMN_VALUE,
             "write serving, joining, leaving or stopping",
             "unknown state '%.40s'", text);
  return false;
}

static void
read_shift (parser_t *parser)
{
  sheet_t *sheet = parser->sheet;
  const char *name = parser->row.field[COLUMN_NAME];
  bool *seen = NULL;
  int64_t number = 0;
  bool ok = true;
  if (strcmp (name, "number") == 0)
    {
      seen = &parser->has_number;
      ok = parse_whole (parser, COLUMN_VALUE, INT64_MAX, &number);
      sheet->number = (uint64_t)number;
      if (ok && number == 0)
        fault_add (parser, COLUMN_VALUE, "begin at 1",
                   "the shift's number is 0; the lowest is 1");
    }
  else if (strcmp (name, "operator") == 0)
    {
      seen = &parser->has_operator;
      ok = parse_name (parser, COLUMN_VALUE, &sheet->operator_name);
    }
  else if (strcmp (name, "currency") == 0)
    {
      seen = &parser->has_currency;
      ok = parse_name (parser, COLUMN_VALUE, &sheet->currency);
    }
  else if (strcmp (name, "cost_cap") == 0)
    {
      seen = &parser->has_cap;
      ok = parse_whole (parser, COLUMN_VALUE, MONEY_CAP_MAX, &sheet->cost_cap);
    }
  else if (strcmp (name, "budget") == 0)
    {
      ok = parse_whole (parser, COLUMN_VALUE, INT64_MAX, &number);
      sheet->budget = (uint64_t)number;
    }
  else if (strcmp (name, "expected_requests") == 0)
    {
      ok = parse_whole (parser, COLUMN_VALUE, INT64_MAX / 2, &number);
      sheet->expected_requests = (uint64_t)number;
    }
  else
    fault_add (parser, COLUMN_NAME,
               "use number, operator, currency, cost_cap, budget or "
               "expected_requests",
               "unknown shift value '%.40s'", name);
  if (seen && *seen)
    fault_add (parser, COLUMN_NAME, "keep one of the rows",
               "'%s' is given more than once", name);
  if (seen && ok)
    *seen = true;
}

static void
read_price (parser_t *parser)
{
  price_t price = { 0 };
  bool ok = parse_service (parser, &price.service, true);
  ok = parse_region (parser, &price.region) && ok;
  ok = parse_whole (parser, COLUMN_VALUE, INT32_MAX, &price.per_thousand)
       && ok;
  sheet_t *sheet = parser->sheet;
  for (size_t i = 0; ok && i < sheet->n_prices; i++)
    if (sheet->prices[i].service == price.service
        && sheet->prices[i].region == price.region)
      {
        fault_add (parser, COLUMN_PLACE, "keep one of the rows",
                   "a second price for the same service and region");
        return;
      }
  if (ok)
    *(price_t *)array_append ((void **)&sheet->prices, &sheet->n_prices,
                              sizeof price)
        = price;
}

static void
read_traffic (parser_t *parser)
{
  traffic_share_t share = { 0 };
  int64_t percent = 0;
  bool ok = parse_service (parser, &share.service, false);
  ok = parse_region (parser, &share.region) && ok;
  ok = parse_whole (parser, COLUMN_VALUE, PERCENT_WHOLE, &percent) && ok;
  share.percent = (uint32_t)percent;
  sheet_t *sheet = parser->sheet;
  for (size_t i = 0; ok && i < sheet->n_shares; i++)
    if (sheet->shares[i].service == share.service
        && sheet->shares[i].region == share.region)
      {
        fault_add (parser, COLUMN_PLACE, "keep one of the rows",
                   "a second share for the same service and region");
        return;
      }
  if (ok)
    *(traffic_share_t *)array_append ((void **)&sheet->shares,
                                      &sheet->n_shares, sizeof share)
        = share;
}

static void
read_backend (parser_t *parser)
{
  backend_t backend = { 0 };
  bool ok = parse_service (parser, &backend.service, false);
  ok = parse_domain (parser, &backend.domain) && ok;
  ok = parse_name (parser, COLUMN_NAME, &backend.name) && ok;
  ok = parse_address (parser, &backend) && ok;
  ok = parse_state (parser, &backend.state) && ok;
  if (ok)
    *(backend_t *)array_append ((void **)&parser->sheet->backends,
                                &parser->sheet->n_backends, sizeof backend)
        = backend;
}

static void
check_heading (parser_t *parser)
{
  const row_t *row = &parser->row;
  for (int i = 0; i < N_COLUMNS; i++)
    if (strcmp (row->field[i], column_names[i]) != 0)
      fault_add (parser, i,
                 "begin with: record,service,place,name,address,value",
                 "the heading is '%.40s'", row->field[i]);
}

/* libcsv calls this at the end of each field.  */
static void
on_field (void *text, size_t length, void *closure)
{
  row_t *row = &((parser_t *)closure)->row;
  if (row->n_fields < N_COLUMNS)
    {
      char *field = row->field[row->n_fields];
      row->too_long = row->too_long || length >= FIELD_BYTES
                      || memchr (text, '\0', length);
      size_t kept = length < FIELD_BYTES ? length : FIELD_BYTES - 1;
      memcpy (field, text, kept);
      field[kept] = '\0';
    }
  row->n_fields++;
}

static void
read_row (parser_t *parser)
{
  const row_t *row = &parser->row;
  const char *record = row->field[COLUMN_RECORD];
  if (row->n_fields != N_COLUMNS || row->too_long)
    fault_add (parser, COLUMN_RECORD,
               "give 6 columns of at most 127 bytes; leave unused ones empty",
               "a row of %zu columns%s", row->n_fields,
               row->too_long ? ", one too long" : "");
  else if (row->number == 1)
    check_heading (parser);
  else if (strcmp (record, "shift") == 0)
    read_shift (parser);
  else if (strcmp (record, "price") == 0)
    read_price (parser);
  else if (strcmp (record, "traffic") == 0)
    read_traffic (parser);
  else if (strcmp (record, "backend") == 0)
    read_backend (parser);
  else
    fault_add (parser, COLUMN_RECORD, "use shift, price, traffic or backend",
               "unknown record '%.40s'", record);
}

/* libcsv calls this at the end of each row; rows without text are
   ignored, because spreadsheets export such rows at the end.  */
static void
on_row (int terminator, void *closure)
{
  (void)terminator;
  parser_t *parser = closure;
  row_t *row = &parser->row;
  row->number++;
  bool empty = true;
  for (size_t i = 0; i < row->n_fields && i < N_COLUMNS; i++)
    empty = empty && row->field[i][0] == '\0';
  if (!empty || row->number == 1)
    read_row (parser);
  size_t number = row->number;
  memset (row, 0, sizeof *row);
  row->number = number;
}

typedef struct backend_ref
{
  const backend_t *backend;
} backend_ref_t;

static int
compare_names (const void *a, const void *b)
{
  return name_compare (&((const backend_ref_t *)a)->backend->name,
                       &((const backend_ref_t *)b)->backend->name);
}

static int
compare_addresses (const void *a, const void *b)
{
  const backend_t *x = ((const backend_ref_t *)a)->backend;
  const backend_t *y = ((const backend_ref_t *)b)->backend;
  int order = strcmp (x->address, y->address);
  return order ? order : (int)x->port - (int)y->port;
}

/* Two backend servers may share neither a name nor an address.  */
static void
check_backends (parser_t *parser)
{
  sheet_t *sheet = parser->sheet;
  backend_ref_t *sorted = calloc (sheet->n_backends + 1, sizeof *sorted);
  if (!sorted)
    abort ();
  for (size_t i = 0; i < sheet->n_backends; i++)
    sorted[i].backend = &sheet->backends[i];
  qsort (sorted, sheet->n_backends, sizeof *sorted, compare_names);
  for (size_t i = 1; i < sheet->n_backends; i++)
    if (compare_names (&sorted[i - 1], &sorted[i]) == 0)
      fault_add (parser, COLUMN_NAME, "give each backend server its own name",
                 "backend server '%s' is listed more than once",
                 sorted[i].backend->name.text);
  qsort (sorted, sheet->n_backends, sizeof *sorted, compare_addresses);
  for (size_t i = 1; i < sheet->n_backends; i++)
    if (compare_addresses (&sorted[i - 1], &sorted[i]) == 0)
      fault_add (
          parser, COLUMN_ADDRESS, "give each backend server its own address",
          "'%s' and '%s' have the same address",
          sorted[i - 1].backend->name.text, sorted[i].backend->name.text);
  free (sorted);
}

/* Check that the shares of every service with backend servers or shares sum
   to 100.  */
static void
check_shares (parser_t *parser)
{
  const sheet_t *sheet = parser->sheet;
  for (size_t s = 0; s < parser->topology->n_services; s++)
    {
      uint32_t sum = 0;
      bool used = false;
      for (size_t i = 0; i < sheet->n_backends; i++)
        used = used || sheet->backends[i].service == s;
      for (size_t i = 0; i < sheet->n_shares; i++)
        if (sheet->shares[i].service == s)
          {
            sum += sheet->shares[i].percent;
            used = true;
          }
      if (used && sum != PERCENT_WHOLE)
        fault_add (parser, COLUMN_VALUE,
                   "let the service's traffic rows sum to 100",
                   "traffic of service '%s' sums to %u percent",
                   parser->topology->services[s].name.text, sum);
    }
}

static bool
has_price (const sheet_t *sheet, service_id_t service, region_id_t region)
{
  for (size_t i = 0; i < sheet->n_prices; i++)
    if (sheet->prices[i].service == service
        && sheet->prices[i].region == region)
      return true;
  return false;
}

/* Replace each price for all services by one for every service without a price
   of its own in that region.  */
static void
expand_prices (parser_t *parser)
{
  sheet_t *sheet = parser->sheet;
  size_t n_rows = sheet->n_prices;
  for (size_t i = 0; i < n_rows; i++)
    {
      price_t price = sheet->prices[i];
      if (price.service != TOPOLOGY_NONE)
        continue;
      for (price.service = 0; price.service < parser->topology->n_services;
           price.service++)
        if (!has_price (sheet, price.service, price.region))
          *(price_t *)array_append ((void **)&sheet->prices, &sheet->n_prices,
                                    sizeof price)
              = price;
    }
  size_t n_kept = 0;
  for (size_t i = 0; i < sheet->n_prices; i++)
    if (sheet->prices[i].service != TOPOLOGY_NONE)
      sheet->prices[n_kept++] = sheet->prices[i];
  sheet->n_prices = n_kept;
}

static void
check_sheet (parser_t *parser)
{
  parser->row.number = 0;
  if (!parser->has_number)
    fault_add (parser, COLUMN_NAME, "add: shift,,,number,,N",
               "the shift's number is missing");
  if (!parser->has_operator)
    fault_add (parser, COLUMN_NAME, "add: shift,,,operator,,NAME",
               "the shift's operator is missing");
  if (!parser->has_currency)
    fault_add (parser, COLUMN_NAME, "add: shift,,,currency,,CODE",
               "the shift's currency is missing");
  if (!parser->has_cap)
    fault_add (parser, COLUMN_NAME, "add: shift,,,cost_cap,,AMOUNT",
               "the shift's cost cap is missing");
  sheet_t *sheet = parser->sheet;
  if (sheet->budget == 0)
    sheet->budget = sheet->number;
  if (sheet->budget > sheet->number)
    fault_add (parser, COLUMN_VALUE,
               "give the number of the sheet that opened the budget",
               "the budget's number is above the sheet's number");
  check_backends (parser);
  check_shares (parser);
}

static bool
read_csv (parser_t *parser, const char *text, size_t length)
{
  struct csv_parser csv;
  if (csv_init (&csv, CSV_STRICT | CSV_STRICT_FINI) != 0)
    abort ();
  bool ok = csv_parse (&csv, text, length, on_field, on_row, parser) == length
            && csv_fini (&csv, on_field, on_row, parser) == 0;
  if (!ok)
    {
      parser->row.number++;
      fault_add (parser, COLUMN_RECORD,
                 "export it as CSV again; write a quote inside quotes twice",
                 "invalid CSV: %s", csv_strerror (csv_error (&csv)));
    }
  csv_free (&csv);
  return ok;
}

sheet_t *
sheet_parse (const char *text, size_t length, const topology_t *topology,
             sheet_faults_t *faults, err_t *err)
{
  faults->n_faults = 0;
  parser_t parser = { .topology = topology,
                      .faults = faults,
                      .sheet = calloc (1, sizeof (sheet_t)) };
  if (!parser.sheet)
    abort ();
  if (length > SHEET_BYTES_MAX)
    fault_add (&parser, COLUMN_RECORD, "split it or remove rows",
               "the sheet has %zu bytes; the limit is %d", length,
               SHEET_BYTES_MAX);
  else if (read_csv (&parser, text, length))
    {
      check_sheet (&parser);
      expand_prices (&parser);
    }
  if (faults->n_faults == 0)
    return parser.sheet;
  const sheet_fault_t *first = &faults->fault[0];
  err_set (err, ERR_SHEET,
           "correct every bad row, then submit the sheet again; nothing of "
           "it has taken effect",
           "%zu bad row%s; the first: row %zu, column %s: %s",
           faults->n_faults, faults->n_faults == 1 ? "" : "s", first->row,
           first->column, first->message);
  sheet_free (parser.sheet);
  return NULL;
}

void
sheet_free (sheet_t *sheet)
{
  if (!sheet)
    return;
  free (sheet->backends);
  free (sheet->shares);
  free (sheet->prices);
  free (sheet);
}
