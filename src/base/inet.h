/* inet: an IPv4 address with a port.  */

#ifndef BASE_INET_H
#define BASE_INET_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  INET_TEXT_BYTES = 24, /* "255.255.255.255:65535" and the closing NUL */
};

typedef struct inet
{
  uint32_t address; /* host byte order; 0: none */
  uint16_t port;
} inet_t;

/* Read "A.B.C.D:PORT"; false where TEXT is anything else.  */
bool inet_parse (inet_t *inet, const char *text);

/* Read "A.B.C.D"; false where TEXT is anything else.  */
bool inet_parse_address (uint32_t *address, const char *text);

/* Write "A.B.C.D:PORT".  */
void inet_format (const inet_t *inet, char text[INET_TEXT_BYTES]);

/* Write "A.B.C.D".  */
void inet_format_address (uint32_t address, char text[INET_TEXT_BYTES]);

bool inet_equal (const inet_t *a, const inet_t *b);

#endif
