/* A VM's check of signed requests, with its memory of nonces: a ring in order
   of arrival, and an open-addressing table over it.  */

#include "wire/credential.h"

#include <errno.h>
#include <openssl/crypto.h>
#include <stdlib.h>
#include <string.h>

#include "base/name.h"
#include "wire/credential_header.h"

enum
{
  TABLE_SLOTS = 4 * CREDENTIAL_NONCES_MAX, /* a power of two */
  PART_BYTES = 2 * CREDENTIAL_MAC_BYTES + 1,
};

typedef struct nonce
{
  unsigned char bytes[CREDENTIAL_NONCE_BYTES];
  usec_t forget_at;
} nonce_t;

struct credential_verifier
{
  const credentials_t *credentials;
  usec_t started;
  usec_t latest; /* the latest time seen: the clock may be set back */
  nonce_t ring[CREDENTIAL_NONCES_MAX];
  size_t first;
  size_t n_nonces;
  uint32_t table[TABLE_SLOTS]; /* index into the ring, plus one; 0: empty */
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

/* Nonces of honest clients are random, and only theirs come here.  */
static size_t
table_home (const unsigned char *nonce)
{
  uint32_t head;
  memcpy (&head, nonce, sizeof head);
  return head % TABLE_SLOTS;
}

/* The slot of NONCE, or the empty one where it would stand.  */
static size_t
table_find (const credential_verifier_t *verifier, const unsigned char *nonce)
{
  size_t slot = table_home (nonce);
  for (; verifier->table[slot]; slot = (slot + 1) % TABLE_SLOTS)
    {
      const nonce_t *entry = &verifier->ring[verifier->table[slot] - 1];
      if (memcmp (entry->bytes, nonce, sizeof entry->bytes) == 0)
        break;
    }
  return slot;
}

/* Empty SLOT, and move up those after it that it stood in the way of.  */
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
forget_old (credential_verifier_t *verifier)
{
  while (verifier->n_nonces > 0
         && verifier->ring[verifier->first].forget_at < verifier->latest)
    {
      const nonce_t *oldest = &verifier->ring[verifier->first];
      table_remove (verifier, table_find (verifier, oldest->bytes));
      verifier->first = (verifier->first + 1) % CREDENTIAL_NONCES_MAX;
      verifier->n_nonces--;
    }
}

static credential_verdict_t
remember (credential_verifier_t *verifier, const unsigned char *nonce)
{
  forget_old (verifier);
  size_t slot = table_find (verifier, nonce);
  if (verifier->table[slot])
    return CREDENTIAL_REPLAY;
  if (verifier->n_nonces == CREDENTIAL_NONCES_MAX)
    return CREDENTIAL_BUSY;
  size_t index
      = (verifier->first + verifier->n_nonces) % CREDENTIAL_NONCES_MAX;
  memcpy (verifier->ring[index].bytes, nonce, CREDENTIAL_NONCE_BYTES);
  /* The latest time at which its own stamp can still be in the window.  */
  verifier->ring[index].forget_at = verifier->latest + 2 * CREDENTIAL_WINDOW;
  verifier->table[slot] = (uint32_t)index + 1;
  verifier->n_nonces++;
  return CREDENTIAL_GOOD;
}

/* Copy the value of "KEY=VALUE" at *AT, up to a comma or the end.  */
static bool
read_part (const char **at, const char *key, char value[PART_BYTES])
{
  size_t key_bytes = strlen (key);
  if (strncmp (*at, key, key_bytes) != 0)
    return false;
  *at += key_bytes;
  size_t n = strcspn (*at, ",");
  if (n >= PART_BYTES)
    return false;
  memcpy (value, *at, n);
  value[n] = '\0';
  *at += n + ((*at)[n] == ',');
  return true;
}

static bool
read_time (const char *text, int64_t *time)
{
  char *end;
  errno = 0;
  *time = strtoll (text, &end, 10);
  return *text >= '0' && *text <= '9' && errno == 0 && *end == '\0';
}

static bool
read_header (const char *text, credential_header_t *header)
{
  static const char scheme[] = CREDENTIAL_SCHEME " ";
  char value[PART_BYTES];
  if (strncmp (text, scheme, strlen (scheme)) != 0)
    return false;
  text += strlen (scheme);
  return read_part (&text, "operator=", value)
         && name_parse (&header->operator_name, value, NULL)
         && read_part (&text, "time=", value)
         && read_time (value, &header->time)
         && read_part (&text, "nonce=", value)
         && credential_hex_read (value, header->nonce, sizeof header->nonce)
         && read_part (&text, "signature=", value)
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
  credential_verdict_t verdict = remember (verifier, fields.nonce);
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
      err_set (err, ERR_AUTH, "sign it, as docs/API.md says",
               "the request is not signed");
      return;
    case CREDENTIAL_GARBAGE:
      err_set (err, ERR_AUTH, "sign it, as docs/API.md says",
               "the Authorization header can't be read");
      return;
    case CREDENTIAL_UNKNOWN:
    case CREDENTIAL_WRONG_KEY:
      err_set (err, ERR_AUTH, "check the operator's line in both key files",
               "no such operator, another key, or the request was changed");
      return;
    case CREDENTIAL_STALE:
      err_set (err, ERR_AUTH, "set the clock, then sign and send it again",
               "signed over %d s from this VM's clock, or before its start",
               (int)(CREDENTIAL_WINDOW / USEC_PER_SEC));
      return;
    case CREDENTIAL_REPLAY:
      err_set (err, ERR_AUTH, "sign each request anew",
               "this signed request was here before");
      return;
    case CREDENTIAL_BUSY:
      err_set (err, ERR_LIMIT, "send fewer requests; wait a minute",
               "more than %d signed requests in two minutes",
               CREDENTIAL_NONCES_MAX);
      return;
    }
}
