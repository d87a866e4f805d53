#include "ledger/lec.h"
#include "base/json_add.h"

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

struct lec
{
  struct lec_options options;
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

/* Returns an entry's side that the caller frees by lec_free.  */
struct lec *
lec_new (const struct lec_options *options)
{
  struct lec *lec = g_new0 (struct lec, 1);
  lec->options = *options;
  lec->tickets
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, ticket_free);
  lec->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  return lec;
}

void
lec_free (struct lec *lec)
{
  if (!lec)
    return;
  g_hash_table_unref (lec->requests);
  g_hash_table_unref (lec->tickets);
  g_free (lec);
}

static void
send_intent (struct lec *lec, struct ticket *ticket)
{
  struct msg_ledger_record intent
      = { .incarnation = lec->options.incarnation, .ticket = ticket->number };
  memcpy (intent.key, ticket->key, MSG_KEY_BYTES);
  memcpy (intent.body, ticket->body, MSG_KEY_BYTES);
  ticket->sent++;
  lec->options.intent (lec->options.ctx, &intent);
}

static void
send_result (struct lec *lec, const struct ticket *ticket)
{
  struct msg_ledger_result result = {
    .incarnation = lec->options.incarnation,
    .ticket = ticket->number,
    .did_not_run = ticket->state != TICKET_ENDING,
    .status = ticket->status,
    .content_type = { ticket->content_type, ticket->content_type_n },
    .answer = { ticket->answer, ticket->answer_n },
  };
  memcpy (result.key, ticket->key, MSG_KEY_BYTES);
  lec->options.result (lec->options.ctx, &result);
}

/* Starts STATE, in which a message is sent until it is answered.  */
static void
enter (struct lec *lec, struct ticket *ticket, enum ticket_state state)
{
  ticket->state = state;
  ticket->since = clk_now (lec->options.clk);
  ticket->wait = LEC_RESEND_US;
  ticket->send_at = ticket->since + ticket->wait;
  if (state == TICKET_ASKING)
    send_intent (lec, ticket);
  else
    send_result (lec, ticket);
}

/* Asks the owner of KEY's shard for leave to send REQUEST's call. BODY is the
   digest of what would be sent.  */
void
lec_ask (struct lec *lec, guint64 request, const guint8 key[MSG_KEY_BYTES],
         const guint8 body[MSG_KEY_BYTES])
{
  struct ticket *ticket = g_new0 (struct ticket, 1);
  ticket->number = ++lec->last_ticket;
  ticket->request = request;
  memcpy (ticket->key, key, MSG_KEY_BYTES);
  memcpy (ticket->body, body, MSG_KEY_BYTES);
  gboolean room = g_hash_table_size (lec->tickets) < LEC_TICKETS_MAX;
  g_hash_table_insert (lec->tickets, &ticket->number, ticket);
  g_hash_table_insert (lec->requests, &ticket->request, ticket);
  if (room)
    enter (lec, ticket, TICKET_ASKING);
}

/* Frees TICKET's key in the ledger, which may hold its intent.  */
static void
free_key (struct lec *lec, struct ticket *ticket)
{
  g_hash_table_remove (lec->requests, &ticket->request);
  enter (lec, ticket, TICKET_FREEING);
}

/* Remembers unsent TICKET for LEC_END_US, since an owner that was paused or a
   write on its way may still record its intent. RECHECK says that this is
   likely enough to ask again.  */
static void
remember (struct lec *lec, struct ticket *ticket, gboolean recheck)
{
  g_hash_table_remove (lec->requests, &ticket->request);
  ticket->state = TICKET_FREED;
  ticket->since = clk_now (lec->options.clk);
  ticket->send_at = recheck ? ticket->since + RECHECK_US : G_MAXINT64;
}

static void
drop (struct lec *lec, struct ticket *ticket)
{
  if (g_hash_table_lookup (lec->requests, &ticket->request) == ticket)
    g_hash_table_remove (lec->requests, &ticket->request);
  g_hash_table_remove (lec->tickets, &ticket->number);
}

void
lec_withdraw (struct lec *lec, guint64 request)
{
  struct ticket *ticket = g_hash_table_lookup (lec->requests, &request);
  if (!ticket)
    return;
  if (ticket->state == TICKET_ASKING)
    free_key (lec, ticket);
  else if (ticket->state == TICKET_REFUSED)
    drop (lec, ticket);
}

/* Copies S into *P, which the ticket owns, and *N.  */
static void
keep (struct str s, char **p, gsize *n)
{
  *p = str_dup (s);
  *n = s.n;
}

void
lec_end (struct lec *lec, guint64 request,
         const struct msg_ledger_result *result)
{
  struct ticket *ticket = g_hash_table_lookup (lec->requests, &request);
  if (!ticket || ticket->state != TICKET_RUNNING)
    return;
  if (!result)
    drop (lec, ticket);
  else if (result->did_not_run)
    free_key (lec, ticket);
  else
    {
      g_hash_table_remove (lec->requests, &ticket->request);
      ticket->status = result->status;
      keep (result->content_type, &ticket->content_type,
            &ticket->content_type_n);
      keep (result->answer, &ticket->answer, &ticket->answer_n);
      enter (lec, ticket, TICKET_ENDING);
    }
}

/* Ends ASKING by VERDICT, which is not FRESH. The key is freed if the ledger
   may hold the ticket's intent.  */
static void
refuse (struct lec *lec, struct ticket *ticket,
        const struct msg_ledger_reply *verdict)
{
  guint64 request = ticket->request;
  if (verdict->unsettled || ticket->sent > 1)
    free_key (lec, ticket);
  else
    remember (lec, ticket, FALSE);
  lec->options.verdict (lec->options.ctx, request, verdict);
}

/* Ends ASKING without a verdict in time.  */
static void
give_up (struct lec *lec, struct ticket *ticket)
{
  refuse (lec, ticket,
          &(struct msg_ledger_reply){ .incarnation = lec->options.incarnation,
                                      .ticket = ticket->number,
                                      .verdict = MSG_VERDICT_UNAVAILABLE,
                                      .unsettled = TRUE });
}

static void
take_verdict (struct lec *lec, struct ticket *ticket,
              const struct msg_ledger_reply *verdict)
{
  if (clk_now (lec->options.clk) - ticket->since >= LEC_WAIT_US)
    give_up (lec, ticket);
  else if (verdict->verdict == MSG_VERDICT_RECORDED)
    {
      ticket->state = TICKET_RUNNING;
      lec->options.verdict (lec->options.ctx, ticket->request, verdict);
    }
  else
    refuse (lec, ticket, verdict);
}

/* Ends TICKET's messages.  */
static void
acknowledge (struct lec *lec, struct ticket *ticket)
{
  if (ticket->state == TICKET_FREEING)
    remember (lec, ticket, TRUE);
  else
    drop (lec, ticket);
}

/* Takes a verdict from an owner of a shard, in time or late.  */
void
lec_verdict (struct lec *lec, const struct msg_ledger_reply *verdict)
{
  struct ticket *ticket = g_hash_table_lookup (lec->tickets, &verdict->ticket);
  if (!ticket || verdict->incarnation != lec->options.incarnation)
    return;
  switch (ticket->state)
    {
    case TICKET_ASKING:
      if (!verdict->replies_to_result)
        take_verdict (lec, ticket, verdict);
      break;
    case TICKET_ENDING:
    case TICKET_FREEING:
      if (verdict->verdict == MSG_VERDICT_RECORDED)
        send_result (lec, ticket);
      else if (verdict->replies_to_result)
        acknowledge (lec, ticket);
      break;
    case TICKET_FREED:
      if (verdict->verdict == MSG_VERDICT_RECORDED || verdict->unsettled)
        enter (lec, ticket, TICKET_FREEING);
      break;
    default:
      break;
    }
}

static void
resend (struct lec *lec, struct ticket *ticket)
{
  ticket->wait = ticket->state == TICKET_FREED
                     ? RECHECK_US
                     : MIN (2 * ticket->wait, RESEND_MAX_US);
  ticket->send_at = clk_now (lec->options.clk) + ticket->wait;
  if (ticket->state == TICKET_ASKING)
    send_intent (lec, ticket);
  else
    send_result (lec, ticket);
}

static void
tick_ticket (struct lec *lec, struct ticket *ticket)
{
  gint64 now = clk_now (lec->options.clk);
  gint64 age = now - ticket->since;
  if (ticket->state == TICKET_RUNNING)
    return;
  if (ticket->state == TICKET_REFUSED)
    refuse (lec, ticket,
            &(struct msg_ledger_reply){ .verdict = MSG_VERDICT_UNAVAILABLE });
  else if (ticket->state == TICKET_ASKING && age >= LEC_WAIT_US)
    give_up (lec, ticket);
  else if (ticket->state != TICKET_ASKING && age >= LEC_END_US)
    drop (lec, ticket);
  else if (now >= ticket->send_at)
    resend (lec, ticket);
}

/* Resends and gives up. A verdict's receiver may end other tickets.  */
void
lec_tick (struct lec *lec)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer number;
  g_hash_table_iter_init (&iter, lec->tickets);
  while (g_hash_table_iter_next (&iter, &number, NULL))
    g_array_append_vals (numbers, number, 1);
  for (guint i = 0; i < numbers->len; i++)
    {
      number = &g_array_index (numbers, guint64, i);
      struct ticket *ticket = g_hash_table_lookup (lec->tickets, number);
      if (ticket)
        tick_ticket (lec, ticket);
    }
  g_array_unref (numbers);
}

guint
lec_open (const struct lec *lec)
{
  return g_hash_table_size (lec->tickets);
}

guint
lec_unsettled (const struct lec *lec)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;
  g_hash_table_iter_init (&iter, lec->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ticket *ticket = value;
      n += ticket->state == TICKET_ENDING || ticket->state == TICKET_FREEING;
    }
  return n;
}

/* Adds one object with the number of tickets by state to JSON.  */
void
lec_dump (const struct lec *lec, JsonBuilder *json)
{
  static const char *const names[] = {
#define TICKET_NAME(id, name) name,
    TICKET_STATES (TICKET_NAME)
#undef TICKET_NAME
  };
  guint n[TICKET_STATE_N] = { 0 };
  GHashTableIter iter;
  gpointer ticket;
  g_hash_table_iter_init (&iter, lec->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &ticket))
    n[((struct ticket *)ticket)->state]++;
  json_builder_begin_object (json);
  for (guint i = 0; i < TICKET_STATE_N; i++)
    {
      json_add_int (json, names[i], n[i]);
    }
  json_builder_end_object (json);
}
