/* inet: IPv4 addresses with a port.  */

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
  uint32_t address; /* in host byte order; 0: no address */
  uint16_t port;
} inet_t;

/* Parse "A.B.C.D:PORT".  Returns false if TEXT has another form or PORT is not
   1 to 65535.  */
bool inet_parse (inet_t *inet, const char *text);

/* Parse "A.B.C.D" into *ADDRESS, in host byte order.  Returns false if TEXT
   has another form.  */
bool inet_parse_address (uint32_t *address, const char *text);

/* Write INET as "A.B.C.D:PORT", NUL-terminated.  */
void inet_format (const inet_t *inet, char text[INET_TEXT_BYTES]);

/* Write ADDRESS as "A.B.C.D", NUL-terminated.  */
void inet_format_address (uint32_t address, char text[INET_TEXT_BYTES]);

bool inet_equal (const inet_t *a, const inet_t *b);

#endif
