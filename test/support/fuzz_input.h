/* fuzz_input: reads a fuzz target's schedule byte by byte, and aborts the
   process where a checked condition fails.  */

#ifndef TEST_SUPPORT_FUZZ_INPUT_H
#define TEST_SUPPORT_FUZZ_INPUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct fuzz_input
{
  const uint8_t *data;
  size_t size;
} fuzz_input_t;

/* Returns the next byte of INPUT, or 0 after its end.  */
static inline uint8_t
fuzz_next_byte (fuzz_input_t *input)
{
  if (input->size == 0)
    return 0;
  input->size--;
  return *input->data++;
}

/* Abort with WHAT on standard error unless HOLDS.  */
static inline void
require (bool holds, const char *what)
{
  if (holds)
    return;
  fprintf (stderr, "violated: %s\n", what);
  abort ();
}

#endif
