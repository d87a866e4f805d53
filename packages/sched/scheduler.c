#include "sched/scheduler.h"

#include "sched/backfill.h"
#include "sched/exit_inputs.h"
#include "sched/retry_groups.h"

#include <string.h>

#include "base/json_add.h"
#include "base/log.h"

/* Addresses this load pattern: more work than the servers can take, in bursts
   of seconds. Requests wait at the instance instead of at the engines. There,
   more urgent requests can still overtake them, they can still be placed
   elsewhere, and they can be rejected with certainty that they were not
   executed. A request that cannot be served in time is rejected at once, with
   the time at which the queue will have drained.  */

#define WAITING_MAX 2000            /* queue entries of one instance */
#define RETRY_MIN_US (300 * CLK_MS) /* shortest time to retry */
#define RETRY_MAX_US (10 * CLK_S)   /* longest time to retry */
/* Random share added to the time, so that clients do not return together. */
#define RETRY_SPREAD 0.5
/* Time to retry without a usable server; servers return within seconds. */
#define NO_SERVER_RETRY_US (700 * CLK_MS)
/* Share of a new request's time to its target that the first queued request
   may have waited already. In a sustained overload, a longer queue would only
   make all of its requests late. */
#define HEAD_WAIT_SHARE 0.2
/* Drain rate that is assumed while nothing has waited. */
#define DRAIN_DEFAULT_PER_S 50.0
#define DRAIN_MIN_PER_S 2.0 /* lowest drain rate that is assumed */
/* Interval at which the pools for isolated streams are updated if no request is
   placed. */
#define POOLS_UPDATE_US (500 * CLK_MS)
/* Prefill time per token until it is measured, and the limits of a sample. */
#define PREFILL_US_DEFAULT 25.0
#define PREFILL_US_MIN 5.0
#define PREFILL_US_MAX 400.0
#define PREFILL_SAMPLE_WEIGHT 0.02 /* weight of a new sample */
#define PREFILL_SAMPLE_TOKENS_MIN                                              \
  2000 /* smaller prompts give inaccurate samples */
/* Time to a first event that is not spent on prefill. */
#define PREFILL_SAMPLE_OVERHEAD_US 30000

static const char *const reason_names[] = {
#define SCHEDULER_NAME(id, name) name,
  SCHEDULER_REASONS (SCHEDULER_NAME)
#undef SCHEDULER_NAME
};

/* The queues and measurements of one service.  */
struct service
{
  GQueue waiting[SCHEDULER_TIERS]; /* of struct scheduler_entry, by target */
  guint n_waiting;
  guint n_held;                    /* of these, held back at the last poll */
  struct overload_hold hold;       /* rejections in the own domain */
  struct overload_hold own_hold;   /* those of this instance */
  struct rate_window rate;         /* of starts */
  double us_per_token;             /* measured prefill time per token */
  struct domain_exit *domain_exit; /* NULL: the fixed costs decide */
};

struct scheduler
{
  struct scheduler_options options;
  struct routing_table
      *routing_table; /* referenced; NULL: no configuration yet */
  struct server_load_table *server_load_table;
  struct prefix_directory *prefix_directory;
  struct stream_pools *stream_pools;
  gint64 pools_updated_at; /* clock time */
  GHashTable *services;    /* name: struct service, owned */
  guint n_waiting;
  struct placement_self self;
  /* Offset in microseconds from this instance's clock to a clock that is about
     the same at all instances. */
  gint64 shared_clock;
  struct domain_exit_budget exit_budget; /* of all services */
  GRand *rand;
};

const char *
scheduler_reason_name (enum scheduler_reason reason)
{
  return reason_names[reason];
}

static void
service_free (gpointer data)
{
  struct service *service = data;
  domain_exit_free (service->domain_exit);
  g_free (service);
}

struct scheduler *
scheduler_new (const struct scheduler_options *options, gint64 now)
{
  struct scheduler *scheduler = g_new0 (struct scheduler, 1);
  scheduler->options = *options;
  scheduler->server_load_table = server_load_table_new ();
  scheduler->prefix_directory = directory_new ();
  scheduler->stream_pools
      = stream_pools_new (options->pool_resized, options->pool_resized_ctx);
  scheduler->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, service_free);
  scheduler->rand = g_rand_new_with_seed (options->seed);
  domain_exit_budget_refill (&scheduler->exit_budget, options->region_mbps, 1,
                             now);
  return scheduler;
}

void
scheduler_free (struct scheduler *scheduler)
{
  if (scheduler == NULL)
    return;
  server_load_table_free (scheduler->server_load_table);
  directory_free (scheduler->prefix_directory);
  stream_pools_free (scheduler->stream_pools);
  g_hash_table_unref (scheduler->services);
  routing_table_unref (scheduler->routing_table);
  g_rand_free (scheduler->rand);
  g_free (scheduler);
}

/* Sets this instance's position among all instances. SHARED_CLOCK is the
   offset from its own clock to a clock that is about the same at all instances
   and determines the time slices.  */
void
scheduler_set_self (struct scheduler *scheduler,
                    const struct placement_self *self, gint64 shared_clock)
{
  scheduler->self = *self;
  scheduler->shared_clock = shared_clock;
}

/* Replaces the routing table, from which the scheduler takes the engines of the
   services.  */
void
scheduler_set_table (struct scheduler *scheduler,
                     struct routing_table *routing_table)
{
  struct routing_table *old = scheduler->routing_table;
  scheduler->routing_table = routing_table_ref (routing_table);
  routing_table_unref (old);
}

/* Returns the configuration in force, borrowed until the next one; NULL: none
   yet.  */
const struct routing_table *
scheduler_routing_table (const struct scheduler *scheduler)
{
  return scheduler->routing_table;
}

static struct service *
service_of (struct scheduler *scheduler, const char *name, gint64 now)
{
  struct service *service = g_hash_table_lookup (scheduler->services, name);
  if (service == NULL)
    {
      service = g_new0 (struct service, 1);
      for (guint i = 0; i < SCHEDULER_TIERS; i++)
        g_queue_init (&service->waiting[i]);
      rate_window_init (&service->rate, now);
      service->us_per_token = PREFILL_US_DEFAULT;
      if (scheduler->options.decides_exits)
        service->domain_exit = domain_exit_new ();
      g_hash_table_insert (scheduler->services, g_strdup (name), service);
    }
  return service;
}

/* Returns how many queued requests of SERVICE compete for servers.  */
static guint
n_contending (const struct service *service)
{
  return service->n_waiting - MIN (service->n_held, service->n_waiting);
}

/* Returns what decisions about requests of SERVICE, called NAME, are based
   on.  */
static struct placement_view
view_of (struct scheduler *scheduler, const struct service *service,
         const char *name, gint64 now)
{
  const struct routing_service *service_config
      = scheduler->routing_table
            ? routing_service (scheduler->routing_table, name)
            : NULL;
  struct placement_view view
      = { .service = name,
          .topology = scheduler->options.topology,
          .server_load_table = scheduler->server_load_table,
          .prefix_directory = scheduler->prefix_directory,
          .stream_pools = scheduler->stream_pools,
          .reuse_share = directory_reuse_share (scheduler->prefix_directory),
          .self = scheduler->self,
          .n_waiting
          = service->n_waiting > 0 ? MAX (n_contending (service), 1) : 0,
          .shared_now = now + scheduler->shared_clock,
          .us_per_token = service->us_per_token,
          .now = now,
          .domain_exit = service->domain_exit,
          .exit_budget = &scheduler->exit_budget };
  view.time_slice = (guint64)view.shared_now / PLACEMENT_SLICE_US;
  view.engine = service_config != NULL && service_config->has_engine
                    ? &service_config->engine
                    : NULL;
  view.servers
      = registry_servers (scheduler->options.registry, &view.n_servers);
  return view;
}

static void
on_exit_changed (void *ctx, const struct domain_exit_target *target,
                 const struct domain_exit_inputs *inputs)
{
  const char *service = ctx;
  log_event (
      LOG_INFO, target->leaving ? "domain.leaving" : "domain.returned",
      "service=%s target=%s waiting=%u waiters=%u "
      "queue_wait_ms=%" G_GINT64_FORMAT " servers=%u busy=%.1f prefill_ms=%.0f"
      " target_wait_ms=%.0f target_free=%.1f target_age_ms=%" G_GINT64_FORMAT
      " senders=%u sent=%.2f",
      service, target->name, inputs->n_waiting, inputs->n_waiters,
      inputs->queue_wait_us / CLK_MS, inputs->home.n_servers, inputs->home.busy,
      inputs->home.prefill_us / CLK_MS, target->wait_us / CLK_MS, target->free,
      target->age_us >= 0 ? target->age_us / CLK_MS : target->age_us,
      target->n_senders, target->sent);
}

/* Returns the assumed rate at which queued requests of SERVICE start, per
   second.  */
static double
drain_per_s (const struct service *service)
{
  double per_s = rate_window_drain_per_s (&service->rate);
  return per_s > 0 ? MAX (per_s, DRAIN_MIN_PER_S) : DRAIN_DEFAULT_PER_S;
}

/* Brings the decision on leaving the domain for requests of SERVICE, called
   NAME, up to date, if it is due.  */
static void
update_exit (struct scheduler *scheduler, struct service *service,
             const char *name, gint64 now)
{
  struct domain_exit_inputs inputs;
  if (service->domain_exit == NULL
      || !domain_exit_is_due (service->domain_exit, now))
    return;
  struct placement_view view = view_of (scheduler, service, name, now);
  exit_inputs_collect (
      &view, (gint64)(1e6 * view.n_waiting / drain_per_s (service)), &inputs);
  domain_exit_budget_refill (&scheduler->exit_budget,
                             scheduler->options.region_mbps,
                             scheduler->self.all_instances, now);
  domain_exit_update (service->domain_exit, &inputs, now, on_exit_changed,
                      (gpointer)name);
}

static void
count (const struct scheduler *scheduler, enum counter_id id, guint64 n)
{
  if (scheduler->options.counter_set != NULL)
    counter_add (scheduler->options.counter_set, id, n);
}

/* Records that the request of ENTRY is sent to the server of CHOICE, in this
   domain or in another one.  */
static void
record_exit (struct scheduler *scheduler, const struct service *service,
             const struct scheduler_entry *entry,
             const struct placement_choice *choice)
{
  const char *domain = choice->server->entry.domain;
  gsize bytes = entry->request.body_bytes;
  enum topology_distance distance
      = topology_distance (scheduler->options.topology, domain);
  if (service->domain_exit != NULL)
    domain_exit_record (service->domain_exit, domain,
                        service->us_per_token * choice->prefill_tokens);
  if (distance == TOPOLOGY_SAME_DOMAIN)
    return;
  count (scheduler,
         distance == TOPOLOGY_SAME_REGION ? COUNTER_EXITS_REGION
                                          : COUNTER_EXITS_REMOTE,
         1);
  count (scheduler, COUNTER_EXIT_BYTES, bytes);
  if (distance == TOPOLOGY_OTHER_REGION)
    domain_exit_budget_charge (&scheduler->exit_budget, bytes);
}

/* Chooses a server for ENTRY with the current state of the scheduler.  */
static void
choose (struct scheduler *scheduler, const struct service *service,
        struct scheduler_entry *entry, gint64 now,
        struct placement_choice *choice)
{
  entry->request.left_us = MAX (entry->target - now, 1);
  struct placement_view view
      = view_of (scheduler, service, entry->service, now);
  placement_choose (&view, &entry->request, choice);
  if (!choice->over_budget || choice->server != NULL || entry->exit_denied)
    return;
  entry->exit_denied = TRUE;
  count (scheduler, COUNTER_EXITS_DENIED, 1);
}

/* Chooses a server for ENTRY, which would be rejected otherwise, among all that
   have capacity. Returns whether there is one that it had to stay away from
   before.  */
static gboolean
choose_leaving_freely (struct scheduler *scheduler,
                       const struct service *service,
                       struct scheduler_entry *entry, gint64 now,
                       struct placement_choice *choice)
{
  if (choice->server != NULL || !choice->must_stay)
    return FALSE;
  struct placement_view view
      = view_of (scheduler, service, entry->service, now);
  view.may_leave_freely = TRUE;
  placement_choose (&view, &entry->request, choice);
  return choice->server != NULL;
}

static guint
tier_of (const struct scheduler_entry *entry)
{
  return MIN (entry->tier, SCHEDULER_TIERS - 1);
}

/* Returns the tier whose place ENTRY has in the queue.  */
static guint
queue_tier (const struct scheduler_entry *entry)
{
  return entry->resumed ? 0 : tier_of (entry);
}

/* Returns the number of queued entries that are started before ENTRY.  */
static guint
count_ahead (const struct service *service, const struct scheduler_entry *entry)
{
  guint ahead = 0;
  for (guint i = 0; i <= queue_tier (entry); i++)
    ahead += service->waiting[i].length;
  return ahead;
}

/* Returns whether ENTRY, which is queued, must not use some servers of its
   service, so that those behind it need not wait for it.  */
static gboolean
is_restricted (const struct scheduler_entry *entry)
{
  return placement_is_restricted (&entry->request);
}

/* Returns whether ENTRY is an isolated stream, whose engines AHEAD must not
   use.  */
static gboolean
uses_other_pool (const struct scheduler_entry *entry,
                 const struct scheduler_entry *ahead)
{
  return placement_pace (entry->request.gap_us) == PLACEMENT_ISOLATED
         && placement_pace (ahead->request.gap_us) != PLACEMENT_ISOLATED;
}

/* Returns whether ENTRY, which arrives, may start at SERVER before the queued
   entries that go first. Those that must not use SERVER do not wait for it.  */
static gboolean
may_start_first (const struct service *service,
                 const struct scheduler_entry *entry,
                 const struct registry_server *server)
{
  struct backfill backfill;
  backfill_init (&backfill);
  for (guint tier = 0; tier <= queue_tier (entry); tier++)
    for (const GList *l = service->waiting[tier].head; l != NULL; l = l->next)
      {
        const struct scheduler_entry *ahead = l->data;
        if (!placement_excludes (&ahead->request, server)
            && !uses_other_pool (entry, ahead))
          backfill_add_waiting (&backfill, ahead->request.prompt_tokens);
      }
  return backfill_allows (&backfill, entry->request.prompt_tokens);
}

/* Predicts the time until a start: some server must have capacity, and the
   AHEAD entries must have started.  */
static gint64
predict_wait (const struct service *service, guint ahead,
              const struct placement_choice *choice)
{
  double per_s = drain_per_s (service);
  if (choice->limited_per_s > 0)
    per_s = MIN (per_s, choice->limited_per_s);
  gint64 capacity_us
      = choice->usable > 0 && choice->capacity_wait_us < RETRY_MAX_US
            ? choice->capacity_wait_us
            : 0;
  return capacity_us + (gint64)(1e6 * ahead / per_s);
}

/* Returns how long the first queued entry of the same tier as ENTRY has
   waited. In a sustained overload, a new entry will wait at least as long.  */
static gint64
head_waited (const struct service *service, const struct scheduler_entry *entry,
             gint64 now)
{
  const GList *head = service->waiting[queue_tier (entry)].head;
  return head ? now - ((const struct scheduler_entry *)head->data)->queued_at
              : 0;
}

/* Fills DECISION with a rejection; AFTER_US is the predicted time at which a
   retry will be accepted.  */
static void
reject (struct scheduler *scheduler, struct scheduler_decision *decision,
        enum scheduler_reason reason, gint64 after_us)
{
  double spread = 1.0 + g_rand_double_range (scheduler->rand, 0, RETRY_SPREAD);
  decision->verdict = SCHEDULER_REJECT;
  decision->reason = reason;
  decision->retry_after_us
      = (gint64)((double)CLAMP (after_us, RETRY_MIN_US, RETRY_MAX_US) * spread);
}

/* Fills DECISION, whose choice has no usable server, with a rejection.  */
static void
reject_without_server (struct scheduler *scheduler,
                       struct scheduler_decision *decision)
{
  if (decision->choice.backoff_us == G_MAXINT64)
    reject (scheduler, decision, SCHEDULER_NO_SERVER, NO_SERVER_RETRY_US);
  else
    reject (scheduler, decision, SCHEDULER_BACKOFF,
            decision->choice.backoff_us);
}

/* Returns whether ENTRY competes with the other prompts of its service for
   prefill. Latency-sensitive streams have engines of their own.  */
static gboolean
competes_for_prefill (const struct scheduler_entry *entry)
{
  return entry->request.prompt_tokens > 0
         && placement_pace (entry->request.gap_us) < PLACEMENT_SENSITIVE;
}

/* Returns whether ENTRY must not start because more urgent requests of its
   domain are being rejected for overload.  */
static gboolean
is_held (const struct service *service, const struct scheduler_entry *entry,
         gint64 now)
{
  return competes_for_prefill (entry)
         && overload_hold_applies (&service->hold, queue_tier (entry),
                                   entry->request.prompt_tokens, now);
}

/* Chooses again for ENTRY, which is about to be rejected: engines of the pools
   for isolated streams may be used too then. Returns whether it may start.  */
static gboolean
choose_breaking_isolation (struct scheduler *scheduler,
                           const struct service *service,
                           struct scheduler_entry *entry, gint64 now,
                           struct placement_choice *choice)
{
  if (!stream_pools_any (scheduler->stream_pools)
      || is_held (service, entry, now))
    return FALSE;
  struct placement_choice last;
  entry->request.may_break_isolation = TRUE;
  choose (scheduler, service, entry, now, &last);
  entry->request.may_break_isolation = FALSE;
  if (last.server == NULL || !last.breaks_isolation)
    return FALSE;
  *choice = last;
  return TRUE;
}

/* Fills DECISION with the rejection of ENTRY for overload.  */
static void
reject_for_overload (struct scheduler *scheduler, struct service *service,
                     const struct scheduler_entry *entry, gint64 now,
                     struct scheduler_decision *decision)
{
  if (competes_for_prefill (entry))
    {
      guint tokens = entry->request.prompt_tokens;
      overload_hold_record (&service->hold, tier_of (entry), tokens, now);
      overload_hold_record (&service->own_hold, tier_of (entry), tokens, now);
    }
  reject (scheduler, decision, SCHEDULER_OVERLOAD, decision->wait_us);
}

static gint
by_target (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  const struct scheduler_entry *x = a;
  const struct scheduler_entry *y = b;
  return x->target < y->target ? -1 : x->target > y->target;
}

/* Inserts ENTRY into the queue of its tier, ordered by target.  */
static void
enqueue (struct scheduler *scheduler, struct service *service,
         struct scheduler_entry *entry, gint64 now)
{
  GQueue *queue = &service->waiting[queue_tier (entry)];
  GList *after = queue->tail;
  entry->link = (GList){ .data = entry };
  while (after != NULL && by_target (after->data, entry, NULL) > 0)
    after = after->prev;
  if (after == NULL)
    g_queue_push_head_link (queue, &entry->link);
  else
    g_queue_insert_after_link (queue, after, &entry->link);
  entry->waiting = TRUE;
  entry->queued_at = now;
  service->n_waiting++;
  scheduler->n_waiting++;
}

/* Submits a request that is new or has to be sent again. It is started, queued
   or rejected, as DECISION says; the caller must call scheduler_started if it
   is to start.  */
void
scheduler_submit (struct scheduler *scheduler, struct scheduler_entry *entry,
                  gint64 now, struct scheduler_decision *decision)
{
  struct service *service = service_of (scheduler, entry->service, now);
  *decision = (struct scheduler_decision){ .verdict = SCHEDULER_WAIT };
  rate_window_update (&service->rate, now, service->n_waiting > 0);
  update_exit (scheduler, service, entry->service, now);
  decision->ahead = count_ahead (service, entry);
  choose (scheduler, service, entry, now, &decision->choice);
  if (decision->choice.server != NULL
      && may_start_first (service, entry, decision->choice.server)
      && !is_held (service, entry, now))
    {
      decision->verdict = SCHEDULER_START;
      return;
    }
  if (decision->choice.usable == 0)
    {
      reject_without_server (scheduler, decision);
      return;
    }
  gint64 wait = predict_wait (service, decision->ahead, &decision->choice);
  gint64 waited = head_waited (service, entry, now);
  decision->wait_us = MAX (wait, waited);
  gint64 left = entry->target - now;
  gboolean too_late
      = wait > left || (double)waited > HEAD_WAIT_SHARE * (double)left;
  if ((too_late || scheduler->n_waiting >= WAITING_MAX)
      && ((choose_leaving_freely (scheduler, service, entry, now,
                                  &decision->choice)
           && !is_held (service, entry, now))
          || choose_breaking_isolation (scheduler, service, entry, now,
                                        &decision->choice)))
    decision->verdict = SCHEDULER_START;
  else if (scheduler->n_waiting >= WAITING_MAX)
    reject (scheduler, decision, SCHEDULER_QUEUE_FULL, decision->wait_us);
  else if (too_late)
    reject_for_overload (scheduler, service, entry, now, decision);
  else
    enqueue (scheduler, service, entry, now);
}

/* Returns whether any server may be used that the request was not sent to
   yet.  */
gboolean
scheduler_has_server (struct scheduler *scheduler,
                      struct scheduler_entry *entry, gint64 now)
{
  struct placement_choice choice;
  choose (scheduler, service_of (scheduler, entry->service, now), entry, now,
          &choice);
  return choice.usable > 0;
}

/* Returns when the client of a rejected request should retry, if no server can
   be used for it now; 0: some server can.  */
gint64
scheduler_retry_after_us (struct scheduler *scheduler,
                          struct scheduler_entry *entry, gint64 now)
{
  struct scheduler_decision decision = { .verdict = SCHEDULER_REJECT };
  choose (scheduler, service_of (scheduler, entry->service, now), entry, now,
          &decision.choice);
  if (decision.choice.usable > 0 || decision.choice.backoff_us == G_MAXINT64)
    return 0;
  reject_without_server (scheduler, &decision);
  return decision.retry_after_us;
}

/* Removes ENTRY from its queue if it is queued.  */
void
scheduler_withdraw (struct scheduler *scheduler, struct scheduler_entry *entry)
{
  if (!entry->waiting)
    return;
  struct service *service = service_of (scheduler, entry->service, 0);
  g_queue_unlink (&service->waiting[queue_tier (entry)], &entry->link);
  entry->waiting = FALSE;
  service->n_waiting--;
  scheduler->n_waiting--;
}

/* Decides on ENTRY, which is queued. Returns FALSE if it has to wait.  */
static gboolean
poll_entry (struct scheduler *scheduler, struct service *service,
            struct scheduler_entry *entry,
            const struct retry_groups *retry_groups, gint64 now,
            scheduler_decided decided, void *ctx)
{
  struct scheduler_decision decision = { .verdict = SCHEDULER_START };
  choose (scheduler, service, entry, now, &decision.choice);
  if (now + predict_wait (service, 0, &decision.choice) > entry->target)
    choose_leaving_freely (scheduler, service, entry, now, &decision.choice);
  if (decision.choice.server != NULL
      && !retry_groups_allow (retry_groups, &entry->request,
                              decision.choice.server))
    return FALSE;
  if (decision.choice.server == NULL || is_held (service, entry, now))
    {
      decision.wait_us = predict_wait (service, 0, &decision.choice);
      gboolean too_late = now + decision.wait_us > entry->target;
      if (decision.choice.usable == 0)
        reject_without_server (scheduler, &decision);
      else if (!too_late)
        return FALSE;
      else if (!choose_breaking_isolation (scheduler, service, entry, now,
                                           &decision.choice)
               || !retry_groups_allow (retry_groups, &entry->request,
                                       decision.choice.server))
        reject_for_overload (scheduler, service, entry, now, &decision);
    }
  scheduler_withdraw (scheduler, entry);
  decided (ctx, entry, &decision);
  return TRUE;
}

/* Decides on one queued request of SERVICE, the most urgent one that does not
   have to wait. Returns FALSE if all have to.  */
static gboolean
poll_next (struct scheduler *scheduler, struct service *service, gint64 now,
           scheduler_decided decided, void *ctx)
{
  struct backfill backfill;
  struct retry_groups retry_groups = { .n = 0 };
  backfill_init (&backfill);
  for (guint tier = 0; tier < SCHEDULER_TIERS; tier++)
    for (GList *l = service->waiting[tier].head; l != NULL; l = l->next)
      {
        struct scheduler_entry *entry = l->data;
        const struct retry_group *group
            = is_restricted (entry)
                  ? retry_groups_find (&retry_groups, &entry->request)
                  : NULL;
        if (!backfill_allows (&backfill, entry->request.prompt_tokens)
            || (group != NULL
                && !backfill_allows (&group->backfill,
                                     entry->request.prompt_tokens)))
          continue;
        if (poll_entry (scheduler, service, entry, &retry_groups, now, decided,
                        ctx))
          return TRUE;
        if (!is_restricted (entry)
            || !retry_groups_add (&retry_groups, &entry->request))
          backfill_add_waiting (&backfill, entry->request.prompt_tokens);
      }
  return FALSE;
}

/* Returns how many queued requests of SERVICE are held back.  */
static guint
count_held (const struct service *service, gint64 now)
{
  guint n = 0;
  for (guint tier = 0; tier < SCHEDULER_TIERS; tier++)
    for (const GList *l = service->waiting[tier].head; l != NULL; l = l->next)
      n += is_held (service, l->data, now);
  return n;
}

static void
poll_service (struct scheduler *scheduler, struct service *service, gint64 now,
              scheduler_decided decided, void *ctx)
{
  rate_window_update (&service->rate, now, service->n_waiting > 0);
  while (poll_next (scheduler, service, now, decided, ctx))
    ;
  service->n_held = count_held (service, now);
}

/* Updates the pools for isolated streams while no request is placed, so that
   they shrink after the last stream.  */
static void
update_pools (struct scheduler *scheduler, gint64 now)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  if (now - scheduler->pools_updated_at < POOLS_UPDATE_US
      || !stream_pools_any (scheduler->stream_pools))
    return;
  scheduler->pools_updated_at = now;
  g_hash_table_iter_init (&iter, scheduler->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      struct placement_view view = view_of (scheduler, value, name, now);
      placement_update_pools (&view);
    }
}

/* Brings the decisions on leaving the domain up to date, so that requests that
   arrive later find them so.  */
static void
update_exits (struct scheduler *scheduler, gint64 now)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  if (!scheduler->options.decides_exits)
    return;
  g_hash_table_iter_init (&iter, scheduler->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    update_exit (scheduler, value, name, now);
}

/* Starts or rejects queued requests, most urgent first. DECIDED may submit and
   withdraw entries.  */
void
scheduler_poll (struct scheduler *scheduler, gint64 now,
                scheduler_decided decided, void *ctx)
{
  GHashTableIter iter;
  gpointer value;
  server_load_expire (scheduler->server_load_table, now);
  update_pools (scheduler, now);
  update_exits (scheduler, now);
  if (scheduler->n_waiting == 0)
    return;
  GPtrArray *services = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, scheduler->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (services, value);
  for (guint i = 0; i < services->len; i++)
    poll_service (scheduler, g_ptr_array_index (services, i), now, decided,
                  ctx);
  g_ptr_array_unref (services);
}

/* Returns the memory of an engine of the service, in tokens; 0: unknown.  */
static guint64
engine_memory (const struct scheduler *scheduler, const char *service)
{
  const struct routing_service *service_config
      = scheduler->routing_table
            ? routing_service (scheduler->routing_table, service)
            : NULL;
  return service_config != NULL && service_config->has_engine
             ? service_config->engine.memory
             : 0;
}

/* Records that the request of ENTRY is being sent to the chosen server.  */
void
scheduler_started (struct scheduler *scheduler, struct scheduler_entry *entry,
                   const struct placement_choice *choice, gint64 now)
{
  struct service *service = service_of (scheduler, entry->service, now);
  const struct placement_request *request = &entry->request;
  guint number = choice->server->number;
  struct placement_view view
      = view_of (scheduler, service, entry->service, now);
  placement_record_sent (&view, choice->server);
  record_exit (scheduler, service, entry, choice);
  rate_window_add_start (&service->rate);
  entry->server = registry_server_ref (choice->server);
  entry->first_event_seen = FALSE;
  entry->load = (struct server_load){
    .requests = 1,
    .sensitive = placement_pace (request->gap_us) >= PLACEMENT_SENSITIVE,
    .isolated = placement_pace (request->gap_us) == PLACEMENT_ISOLATED,
    .paced = placement_pace (request->gap_us) == PLACEMENT_PACED,
    .prefill_tokens = choice->prefill_tokens,
    .memory = choice->prefill_tokens + request->output_tokens,
  };
  struct server_load *own
      = server_load_own (scheduler->server_load_table, number);
  own->requests++;
  own->sensitive += entry->load.sensitive;
  own->isolated += entry->load.isolated;
  own->paced += entry->load.paced;
  own->prefill_tokens += entry->load.prefill_tokens;
  own->memory += entry->load.memory;
  entry->prefill_ahead
      = server_load_total (scheduler->server_load_table, number).prefill_tokens;
  directory_sample_reuse (scheduler->prefix_directory, &request->prompt, now);
  if (request->prompt.n > 0)
    directory_record (scheduler->prefix_directory, number,
                      engine_memory (scheduler, entry->service),
                      &request->prompt, now);
}

/* Returns the expected prefill time of the engine before the first event of
   ENTRY, as estimated when the request was sent.  */
gint64
scheduler_expected_prefill_us (struct scheduler *scheduler,
                               const struct scheduler_entry *entry)
{
  const struct service *service = service_of (scheduler, entry->service, 0);
  return (gint64)(service->us_per_token * (double)entry->prefill_ahead);
}

/* Returns the prefill time per token of the engines of the service called NAME,
   as measured by this instance, or the default.  */
double
scheduler_us_per_token (const struct scheduler *scheduler, const char *name)
{
  const struct service *service
      = g_hash_table_lookup (scheduler->services, name);
  return service != NULL ? service->us_per_token : PREFILL_US_DEFAULT;
}

/* Records the first event of ENTRY, ELAPSED_US after the request was sent: its
   prefill is complete. The elapsed time is a sample of the engines' prefill
   time per token.  */
void
scheduler_first_event (struct scheduler *scheduler,
                       struct scheduler_entry *entry, gint64 elapsed_us)
{
  if (entry->server == NULL || entry->first_event_seen)
    return;
  struct service *service = service_of (scheduler, entry->service, 0);
  struct server_load *own
      = server_load_own (scheduler->server_load_table, entry->server->number);
  if (entry->load.prefill_tokens >= PREFILL_SAMPLE_TOKENS_MIN
      && elapsed_us > PREFILL_SAMPLE_OVERHEAD_US)
    {
      double sample = (double)(elapsed_us - PREFILL_SAMPLE_OVERHEAD_US)
                      / (double)entry->prefill_ahead;
      sample = CLAMP (sample, PREFILL_US_MIN, PREFILL_US_MAX);
      service->us_per_token
          += PREFILL_SAMPLE_WEIGHT * (sample - service->us_per_token);
    }
  own->prefill_tokens -= MIN (own->prefill_tokens, entry->load.prefill_tokens);
  entry->load.prefill_tokens = 0;
  entry->first_event_seen = TRUE;
}

/* Records that the attempt of ENTRY has ended, with any result.  */
void
scheduler_ended (struct scheduler *scheduler, struct scheduler_entry *entry)
{
  if (entry->server == NULL)
    return;
  struct server_load *own
      = server_load_own (scheduler->server_load_table, entry->server->number);
  own->requests -= MIN (own->requests, 1);
  own->sensitive -= MIN (own->sensitive, entry->load.sensitive);
  own->isolated -= MIN (own->isolated, entry->load.isolated);
  own->paced -= MIN (own->paced, entry->load.paced);
  own->prefill_tokens -= MIN (own->prefill_tokens, entry->load.prefill_tokens);
  own->memory -= MIN (own->memory, entry->load.memory);
  registry_server_unref (entry->server);
  entry->server = NULL;
}

struct server_load_table *
scheduler_loads (struct scheduler *scheduler)
{
  return scheduler->server_load_table;
}

const struct stream_pools *
scheduler_stream_pools (const struct scheduler *scheduler)
{
  return scheduler->stream_pools;
}

struct prefix_directory *
scheduler_prefix_directory (struct scheduler *scheduler)
{
  return scheduler->prefix_directory;
}

/* Records a rejection for overload at another instance of the domain.  */
void
scheduler_record_rejection (struct scheduler *scheduler,
                            const struct overload_rejection *rejection)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, scheduler->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (overload_hold_service_key (name) == rejection->service_key)
      overload_hold_record (&((struct service *)value)->hold, rejection->tier,
                            rejection->tokens, rejection->at);
}

/* Fills REJECTIONS with this instance's recent rejections for overload, the
   last one of each tier. Returns how many there are, MAX at most.  */
guint
scheduler_rejections (const struct scheduler *scheduler, gint64 now,
                      struct overload_rejection *rejections, guint max)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, scheduler->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct overload_hold *hold = &((struct service *)value)->own_hold;
      for (guint tier = 0; tier < OVERLOAD_HOLD_TIERS && n < max; tier++)
        if (overload_hold_is_recent (hold, tier, now))
          rejections[n++] = (struct overload_rejection){
            .service_key = overload_hold_service_key (name),
            .tier = tier,
            .tokens = (guint)hold->tiers[tier].tokens,
            .at = hold->tiers[tier].rejected_at
          };
    }
  return n;
}

/* Returns how many queued requests compete for servers now.  */
guint
scheduler_n_contending (const struct scheduler *scheduler)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, scheduler->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += n_contending (value);
  return n;
}

/* Adds the member "exits" to JSON: by service, what is known of leaving the
   domain; empty if the fixed costs decide.  */
void
scheduler_dump_exits (const struct scheduler *scheduler, JsonBuilder *json)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  json_builder_set_member_name (json, "exits");
  json_builder_begin_object (json);
  g_hash_table_iter_init (&iter, scheduler->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct service *service = value;
      if (service->domain_exit == NULL)
        continue;
      json_builder_set_member_name (json, name);
      domain_exit_dump (service->domain_exit, json);
    }
  json_builder_end_object (json);
  json_add_double (json, "exit_budget_bytes", scheduler->exit_budget.bytes);
}

guint
scheduler_n_waiting (const struct scheduler *scheduler)
{
  return scheduler->n_waiting;
}
