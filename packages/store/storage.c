#include "store/storage.h"

/* Returns the name of OP for dumps and logs.  */
const char *
storage_op_name (enum storage_op op)
{
  static const char *const names[] = {
#define STORAGE_OP_NAME(id, name) name,
    STORAGE_OPS (STORAGE_OP_NAME)
#undef STORAGE_OP_NAME
  };
  return op < G_N_ELEMENTS (names) ? names[op] : "?";
}
