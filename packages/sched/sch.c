#include "sched/sch.h"

#include <string.h>

/* Load pattern answered: more work than the servers take, in bursts of
   seconds. Work waits at the instance, where it can still be overtaken by more
   urgent work, placed elsewhere or refused truthfully, not at the engines. Who
   cannot be served in time is told at once, with the time at which the queue
   will have drained.  */

#define WAITING_MAX 2000            /* requests at one instance */
#define RETRY_MIN_US (300 * CLK_MS) /* soonest return */
#define RETRY_MAX_US (10 * CLK_S)   /* latest return */
#define RETRY_SPREAD 0.5            /* of the time, so that callers spread */
#define NO_SERVER_RETRY_US (700 * CLK_MS) /* servers come back in seconds */
#define WAITED_SHARE                                                           \
  0.2 /* of a newcomer's time to its target that others may have waited        \
         already; in a lasting overload a longer queue only makes all of its   \
         requests late */
#define DRAIN_DEFAULT_PER_S 50.0  /* assumed while none has waited */
#define DRAIN_MIN_PER_S 2.0       /* slower than this is not believed */
#define US_PER_TOKEN_DEFAULT 25.0 /* until engines have been seen */
#define US_PER_TOKEN_MIN 5.0
#define US_PER_TOKEN_MAX 400.0
#define US_PER_TOKEN_WEIGHT 0.02 /* of a new sample */
#define SAMPLE_TOKENS_MIN 2000   /* smaller prompts tell little */
#define SAMPLE_OVERHEAD_US 30000 /* of a first event besides reading */

static const char *const reason_names[] = {
#define SCH_NAME(id, name) name,
  SCH_REASONS (SCH_NAME)
#undef SCH_NAME
};

struct service
{
  GQueue waiting[SCH_TIERS]; /* of struct sch_ticket, by target */
  guint n_waiting;
  struct rate_window rate; /* of starts */
  double us_per_token;     /* learned */
};

struct sch
{
  struct sch_options options;
  struct routing_table *routing_table; /* referenced; NULL: none yet */
  struct sld *sld;
  struct pdr *pdr;
  GHashTable *services; /* name: struct service, owned */
  guint n_waiting;
  struct spl_self self;
  gint64 shared_clock; /* microseconds from the own clock to one that all
                          instances have in common, about */
  GRand *rand;
};

const char *
sch_reason_name (enum sch_reason reason)
{
  return reason_names[reason];
}

struct sch *
sch_new (const struct sch_options *options, gint64 now)
{
  (void)now;
  struct sch *sch = g_new0 (struct sch, 1);
  sch->options = *options;
  sch->sld = sld_new ();
  sch->pdr = pdr_new ();
  sch->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sch->rand = g_rand_new_with_seed (options->seed);
  return sch;
}

void
sch_free (struct sch *sch)
{
  if (sch == NULL)
    return;
  sld_free (sch->sld);
  pdr_free (sch->pdr);
  g_hash_table_unref (sch->services);
  routing_table_unref (sch->routing_table);
  g_rand_free (sch->rand);
  g_free (sch);
}

/* Tells how this instance stands among the others, and what time SHARED_CLOCK
   is ahead of its own on a clock that all have in common; turns go by that.  */
void
sch_set_self (struct sch *sch, const struct spl_self *self, gint64 shared_clock)
{
  sch->self = *self;
  sch->shared_clock = shared_clock;
}

/* Takes over the services of a configuration.  */
void
sch_set_table (struct sch *sch, struct routing_table *routing_table)
{
  struct routing_table *old = sch->routing_table;
  sch->routing_table = routing_table_ref (routing_table);
  routing_table_unref (old);
}

static struct service *
service_of (struct sch *sch, const char *name, gint64 now)
{
  struct service *service = g_hash_table_lookup (sch->services, name);
  if (service == NULL)
    {
      service = g_new0 (struct service, 1);
      for (guint i = 0; i < SCH_TIERS; i++)
        g_queue_init (&service->waiting[i]);
      rate_window_init (&service->rate, now);
      service->us_per_token = US_PER_TOKEN_DEFAULT;
      g_hash_table_insert (sch->services, g_strdup (name), service);
    }
  return service;
}

static void
choose (struct sch *sch, const struct service *service,
        struct sch_ticket *ticket, gint64 now, struct spl_choice *choice)
{
  ticket->request.left_us = MAX (ticket->target - now, 1);
  const struct routing_service *known
      = sch->routing_table
            ? routing_service (sch->routing_table, ticket->service)
            : NULL;
  struct spl_view view
      = { .service = ticket->service,
          .top = sch->options.top,
          .sld = sch->sld,
          .pdr = sch->pdr,
          .known = pdr_known (sch->pdr),
          .self = sch->self,
          .contended = service->n_waiting > 0,
          .turn = (guint64)(now + sch->shared_clock) / SPL_TURN_US,
          .us_per_token = service->us_per_token,
          .now = now };
  view.engine = known != NULL && known->has_engine ? &known->engine : NULL;
  view.servers = flt_servers (sch->options.flt, &view.n_servers);
  spl_choose (&view, &ticket->request, choice);
}

static guint
tier_of (const struct sch_ticket *ticket)
{
  return MIN (ticket->tier, SCH_TIERS - 1);
}

static guint
count_ahead (const struct service *service, const struct sch_ticket *ticket)
{
  guint ahead = 0;
  for (guint i = 0; i <= tier_of (ticket); i++)
    ahead += service->waiting[i].length;
  return ahead;
}

/* Time until a start: some server has room, and those ahead have gone.  */
static gint64
predict_wait (const struct service *service, guint ahead,
              const struct spl_choice *choice)
{
  double per_s = rate_window_drain_per_s (&service->rate);
  per_s = per_s > 0 ? MAX (per_s, DRAIN_MIN_PER_S) : DRAIN_DEFAULT_PER_S;
  gint64 room = choice->usable > 0 && choice->room_us < RETRY_MAX_US
                    ? choice->room_us
                    : 0;
  return room + (gint64)(1e6 * ahead / per_s);
}

/* How long the first of those that wait like TICKET has waited. In a lasting
   overload a newcomer will wait no shorter.  */
static gint64
first_waited (const struct service *service, const struct sch_ticket *ticket,
              gint64 now)
{
  const GList *head = service->waiting[tier_of (ticket)].head;
  return head ? now - ((const struct sch_ticket *)head->data)->queued_at : 0;
}

static void
refuse (struct sch *sch, struct sch_decision *decision, enum sch_reason reason,
        gint64 after_us)
{
  double spread = 1.0 + g_rand_double_range (sch->rand, 0, RETRY_SPREAD);
  decision->verdict = SCH_REFUSE;
  decision->reason = reason;
  decision->retry_after_us
      = (gint64)((double)CLAMP (after_us, RETRY_MIN_US, RETRY_MAX_US) * spread);
}

static gint
by_target (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  const struct sch_ticket *x = a;
  const struct sch_ticket *y = b;
  return x->target < y->target ? -1 : x->target > y->target;
}

static void
enqueue (struct sch *sch, struct service *service, struct sch_ticket *ticket,
         gint64 now)
{
  GQueue *queue = &service->waiting[tier_of (ticket)];
  GList *after = queue->tail;
  ticket->link = (GList){ .data = ticket };
  while (after != NULL && by_target (after->data, ticket, NULL) > 0)
    after = after->prev;
  if (after == NULL)
    g_queue_push_head_link (queue, &ticket->link);
  else
    g_queue_insert_after_link (queue, after, &ticket->link);
  ticket->waiting = TRUE;
  ticket->queued_at = now;
  service->n_waiting++;
  sch->n_waiting++;
}

/* Offers a request that has just come, or that has to be sent again.  */
void
sch_offer (struct sch *sch, struct sch_ticket *ticket, gint64 now,
           struct sch_decision *decision)
{
  struct service *service = service_of (sch, ticket->service, now);
  *decision = (struct sch_decision){ .verdict = SCH_WAIT };
  rate_window_update (&service->rate, now, service->n_waiting > 0);
  decision->ahead = count_ahead (service, ticket);
  choose (sch, service, ticket, now, &decision->choice);
  if (decision->choice.server != NULL && decision->ahead == 0)
    {
      decision->verdict = SCH_START;
      return;
    }
  if (decision->choice.usable == 0)
    {
      refuse (sch, decision, SCH_NO_SERVER, NO_SERVER_RETRY_US);
      return;
    }
  gint64 wait = predict_wait (service, decision->ahead, &decision->choice);
  gint64 waited = first_waited (service, ticket, now);
  decision->wait_us = MAX (wait, waited);
  gint64 left = ticket->target - now;
  if (sch->n_waiting >= WAITING_MAX)
    refuse (sch, decision, SCH_QUEUE_FULL, decision->wait_us);
  else if (wait > left || (double)waited > WAITED_SHARE * (double)left)
    refuse (sch, decision, SCH_OVERLOAD, decision->wait_us);
  else
    enqueue (sch, service, ticket, now);
}

/* Tells whether any server may be used that the request was not sent to.  */
gboolean
sch_has_server (struct sch *sch, struct sch_ticket *ticket, gint64 now)
{
  struct spl_choice choice;
  choose (sch, service_of (sch, ticket->service, now), ticket, now, &choice);
  return choice.usable > 0;
}

/* Takes a waiting ticket out of the queue; others are left as they are.  */
void
sch_withdraw (struct sch *sch, struct sch_ticket *ticket)
{
  if (!ticket->waiting)
    return;
  struct service *service = service_of (sch, ticket->service, 0);
  g_queue_unlink (&service->waiting[tier_of (ticket)], &ticket->link);
  ticket->waiting = FALSE;
  service->n_waiting--;
  sch->n_waiting--;
}

/* Decides about the first ticket of a queue. Returns FALSE if it has to wait
   on, and with it all behind it.  */
static gboolean
poll_head (struct sch *sch, struct service *service, GQueue *queue, gint64 now,
           sch_decided decided, void *ctx)
{
  struct sch_ticket *ticket = queue->head->data;
  struct sch_decision decision = { .verdict = SCH_START };
  choose (sch, service, ticket, now, &decision.choice);
  if (decision.choice.server == NULL)
    {
      decision.wait_us = predict_wait (service, 0, &decision.choice);
      gboolean hopeless = now + decision.wait_us > ticket->target;
      if (decision.choice.usable == 0)
        refuse (sch, &decision, SCH_NO_SERVER, NO_SERVER_RETRY_US);
      else if (hopeless)
        refuse (sch, &decision, SCH_OVERLOAD, decision.wait_us);
      else
        return FALSE;
    }
  sch_withdraw (sch, ticket);
  decided (ctx, ticket, &decision);
  return TRUE;
}

static void
poll_service (struct sch *sch, struct service *service, gint64 now,
              sch_decided decided, void *ctx)
{
  rate_window_update (&service->rate, now, service->n_waiting > 0);
  for (guint tier = 0; tier < SCH_TIERS; tier++)
    while (service->waiting[tier].length > 0)
      if (!poll_head (sch, service, &service->waiting[tier], now, decided, ctx))
        return;
}

/* Starts or refuses waiting requests, most urgent first. DECIDED may offer and
   withdraw tickets.  */
void
sch_poll (struct sch *sch, gint64 now, sch_decided decided, void *ctx)
{
  GHashTableIter iter;
  gpointer value;
  sld_tick (sch->sld, now);
  if (sch->n_waiting == 0)
    return;
  GPtrArray *services = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, sch->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (services, value);
  for (guint i = 0; i < services->len; i++)
    poll_service (sch, g_ptr_array_index (services, i), now, decided, ctx);
  g_ptr_array_unref (services);
}

static guint64
engine_memory (const struct sch *sch, const char *service)
{
  const struct routing_service *known
      = sch->routing_table ? routing_service (sch->routing_table, service)
                           : NULL;
  return known != NULL && known->has_engine ? known->engine.memory : 0;
}

/* TICKET is being sent to the choice's server.  */
void
sch_started (struct sch *sch, struct sch_ticket *ticket,
             const struct spl_choice *choice, gint64 now)
{
  struct service *service = service_of (sch, ticket->service, now);
  const struct spl_request *request = &ticket->request;
  guint number = choice->server->number;
  rate_window_add_start (&service->rate);
  ticket->server = flt_server_ref (choice->server);
  ticket->begun = FALSE;
  ticket->load = (struct sld_load){
    .requests = 1,
    .tight = spl_pace (request->gap_us) == SPL_TIGHT,
    .paced = spl_pace (request->gap_us) == SPL_PACED,
    .unread = choice->unread,
    .memory = choice->unread + request->output_tokens,
  };
  struct sld_load *own = sld_own (sch->sld, number);
  own->requests++;
  own->tight += ticket->load.tight;
  own->paced += ticket->load.paced;
  own->unread += ticket->load.unread;
  own->memory += ticket->load.memory;
  ticket->unread_ahead = sld_total (sch->sld, number).unread;
  pdr_sample (sch->pdr, &request->prompt, now);
  if (request->prompt.n > 0)
    pdr_note (sch->pdr, number, engine_memory (sch, ticket->service),
              &request->prompt, now);
}

/* How long the engine of TICKET would read before its first event, by what was
   known when it was sent.  */
gint64
sch_expected_us (struct sch *sch, const struct sch_ticket *ticket)
{
  const struct service *service = service_of (sch, ticket->service, 0);
  return (gint64)(service->us_per_token * (double)ticket->unread_ahead);
}

/* The first event of TICKET has come ELAPSED_US after it was sent, so its
   prompt is read. What that took tells how fast the engines read.  */
void
sch_begun (struct sch *sch, struct sch_ticket *ticket, gint64 elapsed_us)
{
  if (ticket->server == NULL || ticket->begun)
    return;
  struct service *service = service_of (sch, ticket->service, 0);
  struct sld_load *own = sld_own (sch->sld, ticket->server->number);
  if (ticket->load.unread >= SAMPLE_TOKENS_MIN
      && elapsed_us > SAMPLE_OVERHEAD_US)
    {
      double sample = (double)(elapsed_us - SAMPLE_OVERHEAD_US)
                      / (double)ticket->unread_ahead;
      sample = CLAMP (sample, US_PER_TOKEN_MIN, US_PER_TOKEN_MAX);
      service->us_per_token
          += US_PER_TOKEN_WEIGHT * (sample - service->us_per_token);
    }
  own->unread -= MIN (own->unread, ticket->load.unread);
  ticket->load.unread = 0;
  ticket->begun = TRUE;
}

/* The attempt of TICKET has ended in whatever way.  */
void
sch_ended (struct sch *sch, struct sch_ticket *ticket)
{
  if (ticket->server == NULL)
    return;
  struct sld_load *own = sld_own (sch->sld, ticket->server->number);
  own->requests -= MIN (own->requests, 1);
  own->tight -= MIN (own->tight, ticket->load.tight);
  own->paced -= MIN (own->paced, ticket->load.paced);
  own->unread -= MIN (own->unread, ticket->load.unread);
  own->memory -= MIN (own->memory, ticket->load.memory);
  flt_server_unref (ticket->server);
  ticket->server = NULL;
}

struct sld *
sch_loads (struct sch *sch)
{
  return sch->sld;
}

struct pdr *
sch_directory (struct sch *sch)
{
  return sch->pdr;
}

guint
sch_waiting (const struct sch *sch)
{
  return sch->n_waiting;
}
