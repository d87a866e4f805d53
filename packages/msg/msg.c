#include "msg/msg.h"

/* Returns the name of KIND for dumps and logs.  */
const char *
msg_kind_name (enum msg_kind kind)
{
  static const char *const names[MSG_N] = {
#define MSG_NAME(id, member, name) name,
    MSG_KINDS (MSG_NAME)
#undef MSG_NAME
  };
  return kind < MSG_N ? names[kind] : "?";
}

/* Returns the name of REASON as callers see it in an error's code.  */
const char *
msg_reason_name (enum msg_reason reason)
{
  static const char *const names[MSG_REASON_N] = {
#define MSG_NAME(id, name, help) name,
    MSG_REASONS (MSG_NAME)
#undef MSG_NAME
  };
  return reason < MSG_REASON_N ? names[reason] : "?";
}

/* Returns the name of RESULT for dumps and logs.  */
const char *
msg_result_name (enum msg_result result)
{
  static const char *const names[MSG_RESULT_N] = {
#define MSG_NAME(id, name) name,
    MSG_RESULTS (MSG_NAME)
#undef MSG_NAME
  };
  return result < MSG_RESULT_N ? names[result] : "?";
}

/* Returns the name of VERDICT for dumps and logs.  */
const char *
msg_verdict_name (enum msg_verdict verdict)
{
  static const char *const names[MSG_VERDICT_N] = {
#define MSG_NAME(id, name) name,
    MSG_VERDICTS (MSG_NAME)
#undef MSG_NAME
  };
  return verdict < MSG_VERDICT_N ? names[verdict] : "?";
}
