#include "ledger/ticket.h"

#include <ctype.h>
#include <inttypes.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdio.h>
#include <string.h>

enum
{
  TICKET_VERSION = 1,
  MAC_BYTES = 16,      /* the text holds the first 16 of HMAC-SHA256's 32 */
  HEX_DIGITS_MAX = 16, /* of a 64-bit field */
};

static const usec_t issued_at_max = INT64_MAX / 2;

static const char invalid_ticket_remedy[]
    = "get a ticket with GET /v1/lookup and send it unchanged";

/* How suitable a candidate is as the next replica; the lowest rank is the best
   one.  */
typedef enum
{
  RANK_SAME_REGION,  /* another failure domain of the issuer's region */
  RANK_OTHER_REGION, /* another failure domain elsewhere */
  RANK_USED_DOMAIN,  /* a failure domain that has a replica already */
  RANK_UNSUITABLE,   /* unreachable, or a replica already */
} candidate_rank_t;

bool
ticket_id_equal (const ticket_id_t *a, const ticket_id_t *b)
{
  return a->issuer == b->issuer
         && a->issuer_incarnation == b->issuer_incarnation
         && a->sequence == b->sequence;
}

size_t
ticket_majority (const ticket_t *ticket)
{
  return ticket->n_replicas / 2 + 1;
}

static const ticket_candidate_t *
find_issuer (const ticket_issue_options_t *options)
{
  for (size_t i = 0; i < options->n_candidates; i++)
    if (options->candidates[i].vm == options->issuer)
      return &options->candidates[i];
  return NULL;
}

static candidate_rank_t
rank_candidate (const ticket_candidate_t *candidate,
                const ticket_candidate_t *const *chosen, size_t n_chosen)
{
  if (!candidate->reachable)
    return RANK_UNSUITABLE;
  bool used_domain = false;
  for (size_t i = 0; i < n_chosen; i++)
    {
      if (chosen[i]->vm == candidate->vm)
        return RANK_UNSUITABLE;
      if (chosen[i]->domain == candidate->domain)
        used_domain = true;
    }
  if (used_domain)
    return RANK_USED_DOMAIN;
  if (candidate->region == chosen[0]->region)
    return RANK_SAME_REGION;
  return RANK_OTHER_REGION;
}

/* One of the best candidates, chosen uniformly; NULL where none is
   suitable.  */
static const ticket_candidate_t *
choose_replica (const ticket_issue_options_t *options,
                const ticket_candidate_t *const *chosen, size_t n_chosen,
                random_state_t *random)
{
  const ticket_candidate_t *best = NULL;
  candidate_rank_t best_rank = RANK_UNSUITABLE;
  uint64_t n_equal = 0;
  for (size_t i = 0; i < options->n_candidates; i++)
    {
      const ticket_candidate_t *candidate = &options->candidates[i];
      candidate_rank_t rank = rank_candidate (candidate, chosen, n_chosen);
      if (rank == RANK_UNSUITABLE || rank > best_rank)
        continue;
      n_equal = rank < best_rank ? 1 : n_equal + 1;
      best_rank = rank;
      if (random_below (random, n_equal) == 0)
        best = candidate;
    }
  return best;
}

bool
ticket_issue (ticket_t *ticket, const ticket_issue_options_t *options,
              random_state_t *random, err_t *err)
{
  const ticket_candidate_t *chosen[TICKET_REPLICAS_MAX];
  chosen[0] = find_issuer (options);
  if (!chosen[0])
    return err_set (err, ERR_USAGE, "list the issuer among the candidates",
                    "the issuer, VM %u, is not among the %zu candidates for "
                    "replicas",
                    (unsigned)options->issuer, options->n_candidates);
  size_t n_chosen = 1;
  while (n_chosen < TICKET_REPLICAS_MAX)
    {
      chosen[n_chosen] = choose_replica (options, chosen, n_chosen, random);
      if (!chosen[n_chosen])
        break;
      n_chosen++;
    }
  /* An even number tolerates no more failures than the odd one below it.  */
  if (n_chosen % 2 == 0)
    n_chosen--;

  *ticket = (ticket_t){
    .id = { .issuer = options->issuer,
            .issuer_incarnation = options->incarnation,
            .sequence = options->sequence },
    .generation = TICKET_GENERATION_FIRST,
    .issued_at = options->now,
    .n_replicas = (uint8_t)n_chosen,
  };
  for (size_t i = 0; i < n_chosen; i++)
    ticket->replicas[i]
        = (ticket_replica_t){ .vm = chosen[i]->vm,
                              .incarnation = chosen[i]->incarnation };
  return true;
}

/* Write all fields but the keyed hash; returns the length.  */
static size_t
format_fields (char text[TICKET_TEXT_BYTES], const ticket_t *ticket)
{
  int used = snprintf (
      text, TICKET_TEXT_BYTES,
      "%d.%x.%" PRIx64 ".%" PRIx64 ".%" PRIx32 ".%" PRIx64 ".%x",
      TICKET_VERSION, (unsigned)ticket->id.issuer,
      ticket->id.issuer_incarnation, ticket->id.sequence, ticket->generation,
      (uint64_t)ticket->issued_at, (unsigned)ticket->n_replicas);
  size_t length = (size_t)used;
  for (size_t i = 0; i < ticket->n_replicas; i++)
    {
      used = snprintf (text + length, TICKET_TEXT_BYTES - length,
                       ".%x.%" PRIx64, (unsigned)ticket->replicas[i].vm,
                       ticket->replicas[i].incarnation);
      length += (size_t)used;
    }
  return length;
}

void
ticket_format (char text[TICKET_TEXT_BYTES], const ticket_t *ticket,
               const ticket_key_t *key)
{
  size_t length = format_fields (text, ticket);
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned int n_mac = 0;
  HMAC (EVP_sha256 (), key->bytes, TICKET_KEY_BYTES,
        (const unsigned char *)text, length, mac, &n_mac);
  text[length++] = '.';
  for (size_t i = 0; i < MAC_BYTES; i++)
    {
      snprintf (text + length, TICKET_TEXT_BYTES - length, "%02x", mac[i]);
      length += 2;
    }
}

/* Read one field of lower-case hexadecimal digits and the '.' after it.  */
static bool
read_field (const char **cursor, uint64_t max, uint64_t *value)
{
  const char *at = *cursor;
  uint64_t number = 0;
  size_t n_digits = 0;
  while (isxdigit ((unsigned char)*at) && !isupper ((unsigned char)*at))
    {
      unsigned digit
          = *at <= '9' ? (unsigned)(*at - '0') : (unsigned)(*at - 'a') + 10;
      number = number << 4 | digit;
      n_digits++;
      at++;
      if (n_digits > HEX_DIGITS_MAX)
        return false;
    }
  if (n_digits == 0 || *at != '.' || number > max)
    return false;
  *cursor = at + 1;
  *value = number;
  return true;
}

static bool
parse_replicas (ticket_t *ticket, const char **cursor)
{
  for (size_t i = 0; i < ticket->n_replicas; i++)
    {
      uint64_t vm;
      if (!read_field (cursor, TOPOLOGY_NONE - 1, &vm)
          || !read_field (cursor, UINT64_MAX,
                          &ticket->replicas[i].incarnation))
        return false;
      ticket->replicas[i].vm = (vm_id_t)vm;
      for (size_t j = 0; j < i; j++)
        if (ticket->replicas[j].vm == vm)
          return false;
    }
  return true;
}

static bool
parse_fields (ticket_t *ticket, const char *text)
{
  uint64_t version;
  uint64_t issuer;
  uint64_t generation;
  uint64_t issued_at;
  uint64_t n_replicas;
  if (!read_field (&text, TICKET_VERSION, &version)
      || version != TICKET_VERSION
      || !read_field (&text, TOPOLOGY_NONE - 1, &issuer)
      || !read_field (&text, UINT64_MAX, &ticket->id.issuer_incarnation)
      || !read_field (&text, UINT64_MAX, &ticket->id.sequence)
      || !read_field (&text, UINT32_MAX - 1, &generation)
      || !read_field (&text, (uint64_t)issued_at_max, &issued_at)
      || !read_field (&text, TICKET_REPLICAS_MAX, &n_replicas))
    return false;
  if (n_replicas == 0 || generation < TICKET_GENERATION_FIRST)
    return false;
  ticket->id.issuer = (vm_id_t)issuer;
  ticket->generation = (uint32_t)generation;
  ticket->issued_at = (usec_t)issued_at;
  ticket->n_replicas = (uint8_t)n_replicas;
  return parse_replicas (ticket, &text);
}

bool
ticket_parse (ticket_t *ticket, const char *text, const ticket_key_t *key,
              err_t *err)
{
  size_t length = strnlen (text, TICKET_TEXT_BYTES);
  ticket_t parsed = { 0 };
  if (length >= TICKET_TEXT_BYTES || !parse_fields (&parsed, text))
    return err_set (err, ERR_PROTOCOL, invalid_ticket_remedy,
                    "the idempotency key is not a valid ticket: %zu bytes "
                    "(limit %d)",
                    length, TICKET_TEXT_BYTES - 1);
  /* Formatted again, the ticket must give the same text, keyed hash
     included.  */
  char expected[TICKET_TEXT_BYTES];
  ticket_format (expected, &parsed, key);
  if (strlen (expected) != length
      || CRYPTO_memcmp (expected, text, length) != 0)
    return err_set (err, ERR_AUTH, invalid_ticket_remedy,
                    "the ticket's keyed hash does not match: the ticket was "
                    "changed, or was issued under another key");
  *ticket = parsed;
  return true;
}
