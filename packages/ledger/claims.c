#include "ledger/claims.h"
#include "base/jsb.h"

#include <string.h>

#define RESEND_MAX_US (8 * CLK_S)
#define RECHECK_US (20 * CLK_S) /* between results after the first ack */

/* Life of a ticket. X (NAME, "name") */
#define TICKET_STATES(X)                                                       \
  X (REFUSED, "refused") /* too many tickets; to be told */                    \
  X (ASKING, "asking")   /* for a verdict */                                   \
  X (RUNNING, "running") /* its call may be sent */                            \
  X (ENDING, "ending")   /* the answer is to be stored */                      \
  X (FREEING, "freeing") /* unsent; the key is to be freed */                  \
  X (FREED, "freed")     /* unsent and free; a late FRESH may yet come */

enum ticket_state
{
#define TICKET_ENUM(id, name) TICKET_##id,
  TICKET_STATES (TICKET_ENUM)
#undef TICKET_ENUM
      TICKET_STATE_N
};

struct ticket
{
  guint64 number;
  guint64 request; /* while REFUSED, ASKING or RUNNING */
  enum ticket_state state;
  guint8 key[MSG_KEY_BYTES];
  guint8 body[MSG_KEY_BYTES];
  gint64 since;   /* start of ASKING, ENDING or FREEING */
  gint64 send_at; /* next resend; after the first one doubles WAIT */
  gint64 wait;    /* microseconds */
  guint sent;     /* intents */
  guint32 status;
  char *content_type; /* of ENDING, owned, CONTENT_TYPE_N bytes */
  gsize content_type_n;
  char *answer; /* of ENDING, owned, ANSWER_N bytes */
  gsize answer_n;
};

struct claims
{
  struct claims_options options;
  guint64 last_ticket;
  GHashTable *tickets;  /* by number, owned */
  GHashTable *requests; /* tickets by request, borrowed */
};

static void
ticket_free (gpointer p)
{
  struct ticket *ticket = p;
  g_free (ticket->content_type);
  g_free (ticket->answer);
  g_free (ticket);
}

/* Returns an entry's side that the caller frees by claims_free.  */
struct claims *
claims_new (const struct claims_options *options)
{
  struct claims *claims = g_new0 (struct claims, 1);
  claims->options = *options;
  claims->tickets
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, ticket_free);
  claims->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  return claims;
}

void
claims_free (struct claims *claims)
{
  if (!claims)
    return;
  g_hash_table_unref (claims->requests);
  g_hash_table_unref (claims->tickets);
  g_free (claims);
}

static void
send_intent (struct claims *claims, struct ticket *ticket)
{
  struct msg_ledger_intent intent
      = { .incarnation = claims->options.incarnation,
          .ticket = ticket->number };
  memcpy (intent.key, ticket->key, MSG_KEY_BYTES);
  memcpy (intent.body, ticket->body, MSG_KEY_BYTES);
  ticket->sent++;
  claims->options.intent (claims->options.ctx, &intent);
}

static void
send_result (struct claims *claims, const struct ticket *ticket)
{
  struct msg_ledger_result result = {
    .incarnation = claims->options.incarnation,
    .ticket = ticket->number,
    .did_not_run = ticket->state != TICKET_ENDING,
    .status = ticket->status,
    .content_type = { ticket->content_type, ticket->content_type_n },
    .answer = { ticket->answer, ticket->answer_n },
  };
  memcpy (result.key, ticket->key, MSG_KEY_BYTES);
  claims->options.result (claims->options.ctx, &result);
}

/* Starts STATE, in which a message is sent until it is answered.  */
static void
enter (struct claims *claims, struct ticket *ticket, enum ticket_state state)
{
  ticket->state = state;
  ticket->since = clk_now (claims->options.clk);
  ticket->wait = CLAIMS_RESEND_US;
  ticket->send_at = ticket->since + ticket->wait;
  if (state == TICKET_ASKING)
    send_intent (claims, ticket);
  else
    send_result (claims, ticket);
}

/* Asks the owner of KEY's shard for leave to send REQUEST's call. BODY is the
   digest of what would be sent.  */
void
claims_request (struct claims *claims, guint64 request,
                const guint8 key[MSG_KEY_BYTES],
                const guint8 body[MSG_KEY_BYTES])
{
  struct ticket *ticket = g_new0 (struct ticket, 1);
  ticket->number = ++claims->last_ticket;
  ticket->request = request;
  memcpy (ticket->key, key, MSG_KEY_BYTES);
  memcpy (ticket->body, body, MSG_KEY_BYTES);
  gboolean room = g_hash_table_size (claims->tickets) < CLAIMS_MAX;
  g_hash_table_insert (claims->tickets, &ticket->number, ticket);
  g_hash_table_insert (claims->requests, &ticket->request, ticket);
  if (room)
    enter (claims, ticket, TICKET_ASKING);
}

/* Frees TICKET's key in the ledger, which may hold its intent.  */
static void
free_key (struct claims *claims, struct ticket *ticket)
{
  g_hash_table_remove (claims->requests, &ticket->request);
  enter (claims, ticket, TICKET_FREEING);
}

/* Remembers unsent TICKET for CLAIMS_RESULT_TIMEOUT_US, since an owner that was
   paused or a write on its way may still record its intent. RECHECK says that
   this is likely enough to ask again.  */
static void
remember (struct claims *claims, struct ticket *ticket, gboolean recheck)
{
  g_hash_table_remove (claims->requests, &ticket->request);
  ticket->state = TICKET_FREED;
  ticket->since = clk_now (claims->options.clk);
  ticket->send_at = recheck ? ticket->since + RECHECK_US : G_MAXINT64;
}

static void
drop (struct claims *claims, struct ticket *ticket)
{
  if (g_hash_table_lookup (claims->requests, &ticket->request) == ticket)
    g_hash_table_remove (claims->requests, &ticket->request);
  g_hash_table_remove (claims->tickets, &ticket->number);
}

void
claims_withdraw (struct claims *claims, guint64 request)
{
  struct ticket *ticket = g_hash_table_lookup (claims->requests, &request);
  if (!ticket)
    return;
  if (ticket->state == TICKET_ASKING)
    free_key (claims, ticket);
  else if (ticket->state == TICKET_REFUSED)
    drop (claims, ticket);
}

/* Copies S into *P, which the ticket owns, and *N.  */
static void
keep (struct str s, char **p, gsize *n)
{
  *p = str_dup (s);
  *n = s.n;
}

void
claims_end (struct claims *claims, guint64 request,
            const struct msg_ledger_result *result)
{
  struct ticket *ticket = g_hash_table_lookup (claims->requests, &request);
  if (!ticket || ticket->state != TICKET_RUNNING)
    return;
  if (!result)
    drop (claims, ticket);
  else if (result->did_not_run)
    free_key (claims, ticket);
  else
    {
      g_hash_table_remove (claims->requests, &ticket->request);
      ticket->status = result->status;
      keep (result->content_type, &ticket->content_type,
            &ticket->content_type_n);
      keep (result->answer, &ticket->answer, &ticket->answer_n);
      enter (claims, ticket, TICKET_ENDING);
    }
}

/* Ends ASKING by VERDICT, which is not FRESH. The key is freed if the ledger
   may hold the ticket's intent.  */
static void
refuse (struct claims *claims, struct ticket *ticket,
        const struct msg_ledger_verdict *verdict)
{
  guint64 request = ticket->request;
  if (verdict->unsettled || ticket->sent > 1)
    free_key (claims, ticket);
  else
    remember (claims, ticket, FALSE);
  claims->options.verdict (claims->options.ctx, request, verdict);
}

/* Ends ASKING without a verdict in time.  */
static void
give_up (struct claims *claims, struct ticket *ticket)
{
  refuse (
      claims, ticket,
      &(struct msg_ledger_verdict){ .incarnation = claims->options.incarnation,
                                    .ticket = ticket->number,
                                    .verdict = MSG_VERDICT_AWAY,
                                    .unsettled = TRUE });
}

static void
take_verdict (struct claims *claims, struct ticket *ticket,
              const struct msg_ledger_verdict *verdict)
{
  if (clk_now (claims->options.clk) - ticket->since >= CLAIMS_REPLY_TIMEOUT_US)
    give_up (claims, ticket);
  else if (verdict->verdict == MSG_VERDICT_FRESH)
    {
      ticket->state = TICKET_RUNNING;
      claims->options.verdict (claims->options.ctx, ticket->request, verdict);
    }
  else
    refuse (claims, ticket, verdict);
}

/* Ends TICKET's messages.  */
static void
acknowledge (struct claims *claims, struct ticket *ticket)
{
  if (ticket->state == TICKET_FREEING)
    remember (claims, ticket, TRUE);
  else
    drop (claims, ticket);
}

/* Takes a verdict from an owner of a shard, in time or late.  */
void
claims_reply (struct claims *claims, const struct msg_ledger_verdict *verdict)
{
  struct ticket *ticket
      = g_hash_table_lookup (claims->tickets, &verdict->ticket);
  if (!ticket || verdict->incarnation != claims->options.incarnation)
    return;
  switch (ticket->state)
    {
    case TICKET_ASKING:
      if (!verdict->of_result)
        take_verdict (claims, ticket, verdict);
      break;
    case TICKET_ENDING:
    case TICKET_FREEING:
      if (verdict->verdict == MSG_VERDICT_FRESH)
        send_result (claims, ticket);
      else if (verdict->of_result)
        acknowledge (claims, ticket);
      break;
    case TICKET_FREED:
      if (verdict->verdict == MSG_VERDICT_FRESH || verdict->unsettled)
        enter (claims, ticket, TICKET_FREEING);
      break;
    default:
      break;
    }
}

static void
resend (struct claims *claims, struct ticket *ticket)
{
  ticket->wait = ticket->state == TICKET_FREED
                     ? RECHECK_US
                     : MIN (2 * ticket->wait, RESEND_MAX_US);
  ticket->send_at = clk_now (claims->options.clk) + ticket->wait;
  if (ticket->state == TICKET_ASKING)
    send_intent (claims, ticket);
  else
    send_result (claims, ticket);
}

static void
tick_ticket (struct claims *claims, struct ticket *ticket)
{
  gint64 now = clk_now (claims->options.clk);
  gint64 age = now - ticket->since;
  if (ticket->state == TICKET_RUNNING)
    return;
  if (ticket->state == TICKET_REFUSED)
    refuse (claims, ticket,
            &(struct msg_ledger_verdict){ .verdict = MSG_VERDICT_AWAY });
  else if (ticket->state == TICKET_ASKING && age >= CLAIMS_REPLY_TIMEOUT_US)
    give_up (claims, ticket);
  else if (ticket->state != TICKET_ASKING && age >= CLAIMS_RESULT_TIMEOUT_US)
    drop (claims, ticket);
  else if (now >= ticket->send_at)
    resend (claims, ticket);
}

/* Resends and gives up. A verdict's receiver may end other tickets.  */
void
claims_tick (struct claims *claims)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer number;
  g_hash_table_iter_init (&iter, claims->tickets);
  while (g_hash_table_iter_next (&iter, &number, NULL))
    g_array_append_vals (numbers, number, 1);
  for (guint i = 0; i < numbers->len; i++)
    {
      number = &g_array_index (numbers, guint64, i);
      struct ticket *ticket = g_hash_table_lookup (claims->tickets, number);
      if (ticket)
        tick_ticket (claims, ticket);
    }
  g_array_unref (numbers);
}

guint
claims_count (const struct claims *claims)
{
  return g_hash_table_size (claims->tickets);
}

guint
claims_unacknowledged (const struct claims *claims)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;
  g_hash_table_iter_init (&iter, claims->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ticket *ticket = value;
      n += ticket->state == TICKET_ENDING || ticket->state == TICKET_FREEING;
    }
  return n;
}

/* Adds one object with the number of tickets by state to JSON.  */
void
claims_dump (const struct claims *claims, JsonBuilder *json)
{
  static const char *const names[] = {
#define TICKET_NAME(id, name) name,
    TICKET_STATES (TICKET_NAME)
#undef TICKET_NAME
  };
  guint n[TICKET_STATE_N] = { 0 };
  GHashTableIter iter;
  gpointer ticket;
  g_hash_table_iter_init (&iter, claims->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &ticket))
    n[((struct ticket *)ticket)->state]++;
  json_builder_begin_object (json);
  for (guint i = 0; i < TICKET_STATE_N; i++)
    {
      jsb_int (json, names[i], n[i]);
    }
  json_builder_end_object (json);
}
