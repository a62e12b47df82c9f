#include "base/inet.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "base/number.h"

bool
inet_parse_address (uint32_t *address, const char *text)
{
  struct in_addr in;
  if (inet_pton (AF_INET, text, &in) != 1)
    return false;
  *address = ntohl (in.s_addr);
  return true;
}

bool
inet_parse (inet_t *inet, const char *text)
{
  const char *colon = strchr (text, ':');
  char address[INET_TEXT_BYTES];
  if (!colon || (size_t)(colon - text) >= sizeof address)
    return false;
  memcpy (address, text, (size_t)(colon - text));
  address[colon - text] = '\0';
  uint64_t port = 0;
  if (number_parse_unsigned (&port, colon + 1, UINT16_MAX) != NUMBER_OK
      || port == 0 || !inet_parse_address (&inet->address, address))
    return false;
  inet->port = (uint16_t)port;
  return true;
}

void
inet_format_address (uint32_t address, char text[INET_TEXT_BYTES])
{
  struct in_addr in = { .s_addr = htonl (address) };
  inet_ntop (AF_INET, &in, text, INET_TEXT_BYTES);
}

void
inet_format (const inet_t *inet, char text[INET_TEXT_BYTES])
{
  inet_format_address (inet->address, text);
  size_t used = strlen (text);
  snprintf (text + used, INET_TEXT_BYTES - used, ":%u", inet->port);
}

bool
inet_equal (const inet_t *a, const inet_t *b)
{
  return a->address == b->address && a->port == b->port;
}
