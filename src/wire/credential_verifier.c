/* Verifies signed requests.  The nonces seen are stored in a ring buffer in
   order of arrival, which an open-addressing hash table indexes.  */

#include "wire/credential.h"

#include <openssl/crypto.h>
#include <stdlib.h>
#include <string.h>

#include "base/name.h"
#include "base/number.h"
#include "wire/credential_header.h"

enum
{
  TABLE_SLOTS = 4 * CREDENTIAL_NONCES_MAX, /* a power of two */
  FIELD_BYTES = 2 * CREDENTIAL_MAC_BYTES + 1,
};

typedef struct nonce
{
  unsigned char bytes[CREDENTIAL_NONCE_BYTES];
  usec_t expires_at;
} nonce_t;

struct credential_verifier
{
  const credentials_t *credentials;
  usec_t started;
  usec_t latest; /* maximum of NOW so far: the clock may be set back */
  nonce_t ring[CREDENTIAL_NONCES_MAX];
  size_t first; /* index of the oldest nonce in the ring */
  size_t n_nonces;
  uint32_t table[TABLE_SLOTS]; /* index in the ring plus one; 0: empty */
};

credential_verifier_t *
credential_verifier_new (const credentials_t *credentials, usec_t started)
{
  credential_verifier_t *verifier = calloc (1, sizeof *verifier);
  if (!verifier)
    return NULL;
  verifier->credentials = credentials;
  verifier->started = started;
  return verifier;
}

void
credential_verifier_free (credential_verifier_t *verifier)
{
  free (verifier);
}

/* The first bytes of the nonce serve as its hash: only nonces with a valid
   signature are stored, and operators choose them at random.  */
static size_t
table_home_slot (const unsigned char *nonce)
{
  uint32_t head;
  memcpy (&head, nonce, sizeof head);
  return head % TABLE_SLOTS;
}

/* The slot that holds NONCE, or the empty slot to insert it at.  */
static size_t
table_find (const credential_verifier_t *verifier, const unsigned char *nonce)
{
  size_t slot = table_home_slot (nonce);
  for (; verifier->table[slot]; slot = (slot + 1) % TABLE_SLOTS)
    {
      const nonce_t *entry = &verifier->ring[verifier->table[slot] - 1];
      if (memcmp (entry->bytes, nonce, sizeof entry->bytes) == 0)
        break;
    }
  return slot;
}

/* Empty SLOT and reinsert the entries that follow it up to the next empty
   slot, so that linear probing still finds them.  */
static void
table_remove (credential_verifier_t *verifier, size_t slot)
{
  verifier->table[slot] = 0;
  size_t next = (slot + 1) % TABLE_SLOTS;
  for (; verifier->table[next]; next = (next + 1) % TABLE_SLOTS)
    {
      uint32_t entry = verifier->table[next];
      verifier->table[next] = 0;
      verifier->table[table_find (verifier, verifier->ring[entry - 1].bytes)]
          = entry;
    }
}

static void
evict_expired (credential_verifier_t *verifier)
{
  while (verifier->n_nonces > 0
         && verifier->ring[verifier->first].expires_at < verifier->latest)
    {
      const nonce_t *oldest = &verifier->ring[verifier->first];
      table_remove (verifier, table_find (verifier, oldest->bytes));
      verifier->first = (verifier->first + 1) % CREDENTIAL_NONCES_MAX;
      verifier->n_nonces--;
    }
}

static credential_verdict_t
record_nonce (credential_verifier_t *verifier, const unsigned char *nonce)
{
  evict_expired (verifier);
  size_t slot = table_find (verifier, nonce);
  if (verifier->table[slot])
    return CREDENTIAL_REPLAY;
  if (verifier->n_nonces == CREDENTIAL_NONCES_MAX)
    return CREDENTIAL_BUSY;
  size_t index
      = (verifier->first + verifier->n_nonces) % CREDENTIAL_NONCES_MAX;
  memcpy (verifier->ring[index].bytes, nonce, CREDENTIAL_NONCE_BYTES);
  /* The request's own time is at most CREDENTIAL_WINDOW after the VM's clock,
     and stays in the window for another CREDENTIAL_WINDOW.  */
  verifier->ring[index].expires_at = verifier->latest + 2 * CREDENTIAL_WINDOW;
  verifier->table[slot] = (uint32_t)index + 1;
  verifier->n_nonces++;
  return CREDENTIAL_GOOD;
}

/* Copy the value of "KEY=VALUE" at *AT, up to a comma or the end, and move the
   position past the comma.  KEY includes the '='.  */
static bool
read_field (const char **at, const char *key, char value[FIELD_BYTES])
{
  size_t key_bytes = strlen (key);
  if (strncmp (*at, key, key_bytes) != 0)
    return false;
  *at += key_bytes;
  size_t n = strcspn (*at, ",");
  if (n >= FIELD_BYTES)
    return false;
  memcpy (value, *at, n);
  value[n] = '\0';
  *at += n + ((*at)[n] == ',');
  return true;
}

static bool
read_time (const char *text, int64_t *time)
{
  uint64_t number;
  if (number_parse_unsigned (&number, text, INT64_MAX) != NUMBER_OK)
    return false;
  *time = (int64_t)number;
  return true;
}

static bool
read_header (const char *text, credential_header_t *header)
{
  static const char scheme[] = CREDENTIAL_SCHEME " ";
  char value[FIELD_BYTES];
  if (strncmp (text, scheme, strlen (scheme)) != 0)
    return false;
  text += strlen (scheme);
  return read_field (&text, "operator=", value)
         && name_parse (&header->operator_name, value, NULL)
         && read_field (&text, "time=", value)
         && read_time (value, &header->time)
         && read_field (&text, "nonce=", value)
         && credential_hex_read (value, header->nonce, sizeof header->nonce)
         && read_field (&text, "signature=", value)
         && credential_hex_read (value, header->mac, sizeof header->mac)
         && *text == '\0';
}

static bool
time_is_fresh (const credential_verifier_t *verifier, int64_t time, usec_t now)
{
  return time >= verifier->started
         && time >= verifier->latest - CREDENTIAL_WINDOW
         && time <= now + CREDENTIAL_WINDOW;
}

credential_verdict_t
credential_verify (credential_verifier_t *verifier,
                   const credential_request_t *request, const char *header,
                   usec_t now, const credential_t **who)
{
  *who = NULL;
  if (now > verifier->latest)
    verifier->latest = now;
  if (!header)
    return CREDENTIAL_MISSING;
  credential_header_t fields;
  if (!read_header (header, &fields))
    return CREDENTIAL_GARBAGE;
  const credential_t *credential
      = credentials_find (verifier->credentials, fields.operator_name.text);
  if (!credential)
    return CREDENTIAL_UNKNOWN;
  unsigned char mac[CREDENTIAL_MAC_BYTES];
  if (!credential_mac (credential, request, &fields, mac)
      || CRYPTO_memcmp (mac, fields.mac, sizeof mac) != 0)
    return CREDENTIAL_WRONG_KEY;
  if (!time_is_fresh (verifier, fields.time, now))
    return CREDENTIAL_STALE;
  credential_verdict_t verdict = record_nonce (verifier, fields.nonce);
  if (verdict == CREDENTIAL_GOOD)
    *who = credential;
  return verdict;
}

const char *
credential_verdict_name (credential_verdict_t verdict)
{
  static const char *const names[CREDENTIAL_VERDICTS]
      = { "good",      "missing", "garbage", "unknown_operator",
          "wrong_key", "stale",   "replay",  "busy" };
  return names[verdict];
}

void
credential_verdict_error (credential_verdict_t verdict, err_t *err)
{
  switch (verdict)
    {
    case CREDENTIAL_GOOD:
    case CREDENTIAL_VERDICTS:
      return;
    case CREDENTIAL_MISSING:
      err_set (err, ERR_AUTH, "sign the request as docs/API.md describes",
               "the request has no Authorization header");
      return;
    case CREDENTIAL_GARBAGE:
      err_set (err, ERR_AUTH, "sign the request as docs/API.md describes",
               "the Authorization header is malformed");
      return;
    case CREDENTIAL_UNKNOWN:
    case CREDENTIAL_WRONG_KEY:
      err_set (
          err, ERR_AUTH, "check the operator's line in both key files",
          "unknown operator, wrong key, or a request changed after signing");
      return;
    case CREDENTIAL_STALE:
      err_set (
          err, ERR_AUTH, "set the clock, then sign and send the request again",
          "the request was signed more than %d s away from this VM's clock, "
          "or before this VM started",
          (int)(CREDENTIAL_WINDOW / USEC_PER_SEC));
      return;
    case CREDENTIAL_REPLAY:
      err_set (err, ERR_AUTH, "sign each request with a new nonce",
               "this VM has already received this signed request");
      return;
    case CREDENTIAL_BUSY:
      err_set (err, ERR_LIMIT, "send fewer requests; wait a minute",
               "more than %d signed requests in two minutes",
               CREDENTIAL_NONCES_MAX);
      return;
    }
}
