/* name_defs: the type of short identifiers of VMs, regions, services and
   operators.  */

#ifndef BASE_NAME_DEFS_H
#define BASE_NAME_DEFS_H

enum
{
  NAME_BYTES = 48, /* with the closing NUL */
};

/* ASCII letters, digits, '-', '_' and '.', NUL-terminated.  */
typedef struct name
{
  char text[NAME_BYTES];
} name_t;

#endif
