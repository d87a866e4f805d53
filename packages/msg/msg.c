#include "msg/msg.h"

static const void *
copy_array (const void *items, gsize bytes)
{
  return bytes > 0 ? g_memdup2 (items, bytes) : NULL;
}

static void
copy_str (struct str *s)
{
  s->p = s->n > 0 ? g_memdup2 (s->p, s->n) : NULL;
}

struct msg *
msg_copy (const struct msg *msg)
{
  struct msg *copy = g_memdup2 (msg, sizeof *msg);
  switch (msg->kind)
    {
    case MSG_MEMBERS:
      copy->members.items
          = copy_array (msg->members.items,
                        msg->members.n_items * sizeof *msg->members.items);
      break;
    case MSG_PROGRESS:
      copy->progress.items
          = copy_array (msg->progress.items,
                        msg->progress.n_items * sizeof *msg->progress.items);
      break;
    case MSG_SUMMARY:
      copy->summary.shards
          = copy_array (msg->summary.shards,
                        msg->summary.n_shards * sizeof *msg->summary.shards);
      break;
    case MSG_OBJECT_BODY:
      copy_str (&copy->object_body.body);
      break;
    case MSG_LEDGER_REPLY:
      copy_str (&copy->ledger_reply.content_type);
      copy_str (&copy->ledger_reply.response_body);
      break;
    case MSG_LEDGER_RESULT:
      copy_str (&copy->ledger_result.content_type);
      copy_str (&copy->ledger_result.response_body);
      break;
    default:
      break;
    }
  return copy;
}

/* Frees a message that msg_copy returned; NULL is allowed.  */
void
msg_free (struct msg *copy)
{
  if (copy == NULL)
    return;
  switch (copy->kind)
    {
    case MSG_MEMBERS:
      g_free ((void *)copy->members.items);
      break;
    case MSG_PROGRESS:
      g_free ((void *)copy->progress.items);
      break;
    case MSG_SUMMARY:
      g_free ((void *)copy->summary.shards);
      break;
    case MSG_OBJECT_BODY:
      g_free ((void *)copy->object_body.body.p);
      break;
    case MSG_LEDGER_REPLY:
      g_free ((void *)copy->ledger_reply.content_type.p);
      g_free ((void *)copy->ledger_reply.response_body.p);
      break;
    case MSG_LEDGER_RESULT:
      g_free ((void *)copy->ledger_result.content_type.p);
      g_free ((void *)copy->ledger_result.response_body.p);
      break;
    default:
      break;
    }
  g_free (copy);
}

/* Returns the name of KIND used in dumps and logs.  */
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

/* Returns the name of REASON, which clients get as the error code.  */
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

/* Returns the name of RESULT used in dumps and logs.  */
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

/* Returns the name of VERDICT used in dumps and logs.  */
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
