#include "store/sto.h"

/* Returns the name of OP for dumps and logs.  */
const char *
sto_op_name (enum sto_op op)
{
  static const char *const names[] = {
#define STO_OP_NAME(id, name) name,
    STO_OPS (STO_OP_NAME)
#undef STO_OP_NAME
  };
  return op < G_N_ELEMENTS (names) ? names[op] : "?";
}
