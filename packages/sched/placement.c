#include "sched/placement_internal.h"

#include "base/hash.h"

#include <math.h>
#include <stdlib.h>

/* Chooses a server. The choice addresses these load patterns:
   - Prompts that share most of their tokens. They go to an engine that has the
     shared prefix cached. If that engine is loaded, another one fetches the
     prefix from it, which costs a fraction of prefilling it.
   - More shared prefixes than the engines of a domain can cache. Each region
     has one preferred server for each prefix, which all instances find by
     rendezvous hashing, without exchanging messages.
   - Many instances that place requests at the same time, from the same,
     slightly outdated load information. All of them would send their next
     prompts to the engine that seems least loaded and fill its queue. Each
     prompt is therefore compared over a few engines only, selected by hashing
     its shared prefix, and over more engines only if none of these is in
   time.  */

#define CANDIDATES_MAX 1024
/* Engines that are compared first. Two are the least that balances load; the
   third allows for engines that are slow or cut off. */
#define COMPARED_MIN 3
/* Share of a domain's engines that are never preferred servers, so that the
   preferred servers stay the same when the sensitive pool grows. */
#define RESERVED_SHARE 0.25
/* Share of an engine's batch that latency-sensitive streams may fill. */
#define SENSITIVE_BATCH_SHARE 0.5
/* Longest predicted wait for a limit; requests are rejected before.  */
#define LIMIT_WAIT_MAX_US (9 * CLK_S)
/* What a server with a limit may cost more than another one while the limit
   allows a request: its few requests show when the limit ends.  */
#define LIMITED_PREFERENCE_US 30000.0
#define EQUAL_COST_US 4000.0 /* costs that differ by no more count as equal */

/* Returns whether the request must not be sent to SERVER: it was before, or
   SERVER has another version than the request needs.  */
gboolean
placement_excludes (const struct placement_request *request,
                    const struct registry_server *server)
{
  if (request->version != NULL
      && !g_str_equal (server->entry.version, request->version))
    return TRUE;
  for (guint i = 0; i < request->n_tried; i++)
    if (request->tried[i] == server->number)
      return TRUE;
  return FALSE;
}

/* Returns whether there may be servers that the request must not be sent to,
   while others of its service may get it.  */
gboolean
placement_is_restricted (const struct placement_request *request)
{
  return request->n_tried > 0 || request->version != NULL;
}

/* Returns whether SERVER may get requests, serves the service, and its health
   allows another request of this instance.  */
static gboolean
is_usable (const struct placement_view *view,
           const struct registry_server *server)
{
  return registry_may_serve (server, view->now)
         && server->avoid_until <= view->now
         && !registry_is_backing_off (server, view->now)
         && g_str_equal (server->entry.service, view->service)
         && server_load_own (view->server_load_table, server->number)->requests
                < server_health_slots (&server->server_health, G_MAXUINT);
}

/* Returns the time until the first of the servers of the service may be used
   that have asked this instance to send nothing, or G_MAXINT64. Includes
   servers that the request was sent to: the client's next try may use them.  */
static gint64
backoff_left (const struct placement_view *view)
{
  gint64 left = G_MAXINT64;
  for (guint i = 0; i < view->n_servers; i++)
    {
      const struct registry_server *server = view->servers[i];
      if (registry_is_backing_off (server, view->now)
          && registry_may_serve (server, server->backoff.until)
          && g_str_equal (server->entry.service, view->service))
        left = MIN (left, server->backoff.until - view->now);
    }
  return left;
}

static guint64
domain_key (const struct registry_server *server)
{
  return str_hash (str_of (server->entry.domain), 0);
}

/* Finds the domains that have servers of the service, unless they are known.
 */
static void
find_domains (const struct placement_view *view, struct limit_domains *domains)
{
  if (domains->n > 0)
    return;
  for (guint i = 0; i < view->n_servers; i++)
    if (g_str_equal (view->servers[i]->entry.service, view->service))
      limit_domains_add (domains, domain_key (view->servers[i]));
}

static struct limit_query
limit_query_of (const struct placement_view *view,
                const struct registry_server *server,
                const struct limit_domains *domains)
{
  return (struct limit_query){ .per_s = server->limit.report.per_s,
                               .server_key = registry_life_key (server),
                               .domain_key = domain_key (server),
                               .domains = domains,
                               .members = &view->self.limit_members,
                               .shared_now = view->shared_now };
}

/* Fills in what the limit that the server of C has named, if it has, allows.
   DOMAINS is filled in on first use.  */
static void
apply_limit (const struct placement_view *view, struct limit_domains *domains,
             struct placement_candidate *c)
{
  if (c->server->limit.report.per_s == 0)
    return;
  find_domains (view, domains);
  struct limit_query query = limit_query_of (view, c->server, domains);
  c->limit_wait_us = MIN (limit_share_wait (&c->server->limit_share, &query),
                          LIMIT_WAIT_MAX_US);
  c->limited_per_s = c->server->limit_share.own_per_s;
}

/* Returns the report of the most brittle server of the service, as a limit; 0:
   none says that it is brittle.  */
static double
brittle_of_service (const struct placement_view *view)
{
  double least = 0;
  for (guint i = 0; i < view->n_servers; i++)
    {
      double per_s = view->servers[i]->brittle.report.per_s;
      if (per_s > 0 && (least == 0 || per_s < least)
          && g_str_equal (view->servers[i]->entry.service, view->service))
        least = per_s;
    }
  return least;
}

/* Returns whether SERVER is brittle, as a limit; 0: it is not. Servers of a
   service are brittle together: one that has not responded yet in its present
   life, as when it has come back under another id, is taken for what the others
   are.  */
static double
brittle_limit (const struct placement_view *view,
               const struct registry_server *server)
{
  const struct server_limit_report *report = &server->brittle.report;
  return report->per_s == 0 && report->before == 0 ? brittle_of_service (view)
                                                   : report->per_s;
}

/* Fills in whether the server of C, if it is brittle, has room for a further
   request of this instance. DOMAINS is filled in on first use.  */
static void
apply_brittle (const struct placement_view *view, struct limit_domains *domains,
               struct placement_candidate *c)
{
  double per_s = brittle_limit (view, c->server);
  if (per_s == 0)
    return;
  find_domains (view, domains);
  const struct brittle_query query = {
    .limit = limit_query_of (view, c->server, domains),
    .slots = MAX (c->server->entry.slots, 1),
    .rejections_per_s = (guint)per_s - 1,
    .in_progress = c->load.requests,
    .own_in_progress
    = server_load_own (view->server_load_table, c->server->number)->requests,
    .now = view->now
  };
  c->brittle_wait_us = brittle_share_wait (&c->server->brittle_share, &query);
}

/* Records that a request is being sent to SERVER, so that it counts towards the
   limit that SERVER may have named.  */
void
placement_record_sent (const struct placement_view *view,
                       struct registry_server *server)
{
  struct limit_domains domains = { .n = 0 };
  if (server->limit.report.per_s == 0)
    return;
  find_domains (view, &domains);
  struct limit_query query = limit_query_of (view, server, &domains);
  limit_share_spend (&server->limit_share, &query);
}

static gboolean
is_isolated (const struct placement_request *request)
{
  return placement_pace (request->gap_us) == PLACEMENT_ISOLATED;
}

/* Returns the rendezvous hashing score of a server for the request; lower is
   better. All instances compute the same order of the servers without
   exchanging messages, and requests with the same shared prefix get the same
   order.  */
static guint64
rendezvous_score (const struct placement_request *request, guint64 rank)
{
  return hash_mix_bits (
      rank
      ^ (request->affinity_hash * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15)));
}

/* Returns a score that differs by request and instance. It decides between
   engines with about as many isolated streams, so that instances with the same
   outdated loads do not all choose the same engine.  */
static guint64
random_score (const struct placement_view *view,
              const struct placement_request *request, guint64 rank)
{
  const struct prefix_prompt *prompt = &request->prompt;
  guint64 own
      = prompt->n > 0 ? prompt->blocks[prompt->n - 1].key : (guint64)view->now;
  return hash_mix_bits (
      rank ^ hash_mix_bits (own ^ hash_mix_bits (view->self.hash)));
}

/* Servers are compared of the first group that has usable ones. */
enum placement_group
{
  GROUP_SOUND,
  GROUP_DOUBTED, /* peers could not reach them */
  GROUP_LEAVING,
  GROUPS_N
};

static enum placement_group
group_of (const struct placement_view *view,
          const struct registry_server *server)
{
  if (registry_is_leaving (server))
    return GROUP_LEAVING;
  return server->peer_avoid_until > view->now ? GROUP_DOUBTED : GROUP_SOUND;
}

/* Fills CANDIDATES with the usable servers of GROUP that the request was not
   sent to yet. Returns their number.  */
static guint
collect (const struct placement_view *view,
         const struct placement_request *request, enum placement_group group,
         struct placement_candidate *candidates)
{
  guint n = 0;
  guint n_local = 0;
  struct limit_domains domains = { .n = 0 };
  for (guint i = 0; i < view->n_servers && n < CANDIDATES_MAX; i++)
    {
      struct registry_server *server = view->servers[i];
      if (group_of (view, server) != group || !is_usable (view, server)
          || placement_excludes (request, server))
        continue;
      struct placement_candidate *c = &candidates[n++];
      *c = (struct placement_candidate){ .server = server };
      c->load = server_load_total (view->server_load_table, server->number);
      c->distance = topology_distance (view->topology, server->entry.domain);
      c->trial_running = server->backoff.trial && server->backoff.trials > 0;
      c->rank = str_hash (str_of (server->entry.id), 0);
      c->rendezvous_score = is_isolated (request)
                                ? random_score (view, request, c->rank)
                                : rendezvous_score (request, c->rank);
      if (view->engine != NULL)
        c->cached_tokens
            = directory_cached_tokens (view->prefix_directory, server->number,
                                       &request->prompt, view->now);
      c->expected_cached = c->cached_tokens;
      apply_limit (view, &domains, c);
      apply_brittle (view, &domains, c);
      n_local += c->distance == TOPOLOGY_SAME_DOMAIN;
    }
  for (guint i = 0; i < n; i++)
    candidates[i].no_local_server = n_local == 0;
  return n;
}

/* Returns whether prefix blocks may be fetched from SERVER although it gets no
   requests: it has said that it is leaving, and its drain time is not over, or
   it is listed as ready and has said so to a peer.  */
static gboolean
is_leaving_source (const struct placement_view *view,
                   const struct registry_server *server)
{
  gboolean runs
      = server->said_leaving_at != 0
            ? view->now <= server->drain_until
            : server->peer_said_leaving && server->state == REGISTRY_READY;
  return runs && server->avoid_until <= view->now
         && server->peer_avoid_until <= view->now
         && g_str_equal (server->entry.service, view->service);
}

/* Adds to the N CANDIDATES the leaving servers that other servers may fetch
   prefix blocks from, so that those blocks that are read again move before the
   server ends. Returns the number of all.  */
static guint
add_leaving_sources (const struct placement_view *view,
                     const struct placement_request *request,
                     struct placement_candidate *candidates, guint n)
{
  if (view->engine == NULL || !view->engine->can_fetch_prefixes)
    return n;
  for (guint i = 0; i < view->n_servers && n < CANDIDATES_MAX; i++)
    {
      struct registry_server *server = view->servers[i];
      if (!is_leaving_source (view, server)
          || placement_excludes (request, server))
        continue;
      struct placement_candidate *c = &candidates[n++];
      *c = (struct placement_candidate){ .server = server };
      c->distance = topology_distance (view->topology, server->entry.domain);
      c->cached_tokens = directory_cached_tokens (
          view->prefix_directory, server->number, &request->prompt, view->now);
    }
  return n;
}

/* Returns the size of the isolated pool of the domain of C, which has N_ENGINES
   candidates with STREAMS isolated streams.  */
static struct stream_pool_size
isolated_pool_size (const struct placement_view *view,
                    const struct placement_request *request,
                    const struct placement_candidate *c, guint n_engines,
                    guint streams)
{
  const struct stream_pool_demand demand
      = { .engines = n_engines,
          .batch = MIN (view->engine->batch, c->server->entry.slots),
          .streams
          = streams
            + (is_isolated (request) && c->distance == TOPOLOGY_SAME_DOMAIN) };
  if (view->stream_pools == NULL)
    return (struct stream_pool_size){ 0, 0 };
  /* The servers that a request was sent to are no candidates, so the demand is
     not known. */
  return stream_pools_update (
      view->stream_pools, view->service, c->server->entry.domain,
      request->n_tried == 0 ? &demand : NULL, view->now);
}

/* Marks the engines of each domain that form its pools: for isolated streams
   the last ones by rank, for the other latency-sensitive streams the first
   ones, as many as the running streams fill.  */
static void
mark_pools (const struct placement_view *view,
            const struct placement_request *request,
            struct placement_candidate *c, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      guint size = 0;
      guint before = 0;
      guint sensitive = 0;
      guint isolated = 0;
      for (guint k = 0; k < n; k++)
        {
          if (!g_str_equal (c[k].server->entry.domain,
                            c[i].server->entry.domain))
            continue;
          size++;
          isolated += c[k].load.isolated;
          sensitive += c[k].load.sensitive
                       - MIN (c[k].load.isolated, c[k].load.sensitive);
          before += c[k].rank < c[i].rank;
        }
      double pool_wanted
          = ceil ((sensitive + 1)
                  / (SENSITIVE_BATCH_SHARE * MAX (view->engine->batch, 1)));
      guint pool = size < 2 ? 0 : MIN ((guint)pool_wanted, size - 1);
      struct stream_pool_size isolated_pool
          = isolated_pool_size (view, request, &c[i], size, isolated);
      c[i].in_isolated_pool = before + isolated_pool.pool >= size;
      c[i].guarded
          = before + isolated_pool.guard >= size || c[i].load.isolated > 0;
      c[i].in_sensitive_pool = before < pool && !c[i].in_isolated_pool;
      c[i].reserved = (double)before < RESERVED_SHARE * size && size > 1;
    }
}

/* Marks the engines whose streams progress slowly at the moment.  */
static void
mark_slow_engines (const struct placement_view *view,
                   struct placement_candidate *c, guint n)
{
  static double gaps_us[CANDIDATES_MAX];
  guint n_gaps = 0;
  for (guint i = 0; i < n; i++)
    {
      double gap_us = server_pace_recent (&c[i].server->server_pace, view->now);
      if (gap_us > 0)
        gaps_us[n_gaps++] = gap_us;
    }
  double slow_from_us = server_pace_slow_from (gaps_us, n_gaps);
  for (guint i = 0; i < n; i++)
    c[i].slow = slow_from_us > 0
                && server_pace_recent (&c[i].server->server_pace, view->now)
                       > slow_from_us;
}

/* Returns the nearest server, other than EXCEPT, that has at least
   CACHED_TOKENS of the prompt cached. NULL: none.  */
static struct registry_server *
find_cached_server (const struct placement_candidate *c, guint n,
                    guint cached_tokens, const struct registry_server *except)
{
  const struct placement_candidate *best = NULL;
  for (guint i = 0; i < n; i++)
    if (c[i].cached_tokens >= cached_tokens && c[i].server != except
        && (best == NULL || c[i].distance < best->distance))
      best = &c[i];
  return best ? best->server : NULL;
}

/* Returns whether the prompt has a large shared prefix without a recent use in
   the directory.  */
static gboolean
is_large_new_prefix (const struct placement_view *view,
                     const struct placement_request *request)
{
  guint last;
  return prefix_shared_tokens (&request->prompt) >= PREFIX_LARGE_TOKENS
         && !directory_last_server (view->prefix_directory, &request->prompt,
                                    view->now, &last);
}

/* The preferred servers of a shared prefix, by consistent hashing: in the own
   region and in other regions. NULL: none.  */
struct preferred_servers
{
  struct placement_candidate *region;
  struct placement_candidate *other_region;
};

/* Finds the preferred servers of the request's shared prefix. If the prefix is
   new, marks the preferred server of the own region, and the candidates that
   would cache another copy.  */
static struct preferred_servers
find_preferred_servers (const struct placement_view *view,
                        const struct placement_request *request,
                        struct placement_candidate *c, guint n)
{
  struct preferred_servers preferred_servers = { NULL, NULL };
  guint shared = prefix_shared_tokens (&request->prompt);
  if (view->engine == NULL || shared < PREFIX_LARGE_TOKENS
      || is_isolated (request))
    return preferred_servers;
  for (guint i = 0; i < n; i++)
    {
      struct placement_candidate **preferred
          = c[i].distance == TOPOLOGY_OTHER_REGION
                ? &preferred_servers.other_region
                : &preferred_servers.region;
      if (c[i].reserved || c[i].guarded)
        continue;
      if (*preferred == NULL
          || c[i].rendezvous_score < (*preferred)->rendezvous_score)
        *preferred = &c[i];
    }
  if (preferred_servers.region == NULL)
    return preferred_servers;
  if (!is_large_new_prefix (view, request))
    return preferred_servers;
  for (guint i = 0; i < n; i++)
    c[i].adds_copy
        = &c[i] != preferred_servers.region && c[i].cached_tokens < shared / 2;
  preferred_servers.region->is_preferred = TRUE;
  preferred_servers.region->expected_cached
      = MAX (preferred_servers.region->cached_tokens,
             (guint)(PREFERRED_CACHED_SHARE * view->reuse_share * shared));
  return preferred_servers;
}

/* Classifies an engine for the order of comparison. If REGION_WIDE, the prompt
   has a large shared prefix that may have its preferred server anywhere in the
   region; other requests stay in the domain.  */
static enum placement_preference
preference_of (const struct placement_request *request,
               const struct placement_candidate *c, gboolean region_wide)
{
  enum placement_pace pace = placement_pace (request->gap_us);
  gboolean matches;
  if (pace == PLACEMENT_ISOLATED)
    matches = c->in_isolated_pool;
  else if (pace == PLACEMENT_SENSITIVE)
    matches = c->in_sensitive_pool;
  else
    matches
        = !c->in_sensitive_pool && !c->guarded && !(region_wide && c->reserved);
  switch (c->distance)
    {
    case TOPOLOGY_SAME_DOMAIN:
      return matches ? PLACEMENT_NEAR_MATCH : PLACEMENT_NEAR;
    case TOPOLOGY_SAME_REGION:
      if (region_wide)
        return matches ? PLACEMENT_NEAR_MATCH : PLACEMENT_NEAR;
      return matches ? PLACEMENT_REGION_MATCH : PLACEMENT_REGION;
    case TOPOLOGY_OTHER_REGION:
      break;
    }
  return PLACEMENT_REMOTE;
}

static int
by_preference (const void *a, const void *b)
{
  const struct placement_candidate *x = a;
  const struct placement_candidate *y = b;
  if (x->preference != y->preference)
    return x->preference < y->preference ? -1 : 1;
  return x->rendezvous_score < y->rendezvous_score
             ? -1
             : x->rendezvous_score > y->rendezvous_score;
}

static void
sort_by_preference (const struct placement_view *view,
                    const struct placement_request *request,
                    struct placement_candidate *c, guint n)
{
  gboolean region_wide
      = !is_isolated (request) && is_large_new_prefix (view, request);
  for (guint i = 0; i < n; i++)
    c[i].preference = preference_of (request, &c[i], region_wide);
  qsort (c, n, sizeof *c, by_preference);
}

/* Guesses a server to fetch prefix blocks from when none is estimated to have
   them cached. Blocks that seem evicted may still be cached, and a fetch that
   fails costs little. Returns NULL if there is no candidate. */
static struct registry_server *
guess_cached_server (const struct placement_view *view,
                     const struct placement_request *request,
                     const struct placement_candidate *c, guint n,
                     const struct preferred_servers *preferred_servers,
                     const struct placement_candidate *except)
{
  guint last;
  if (directory_last_server (view->prefix_directory, &request->prompt,
                             view->now, &last))
    for (guint i = 0; i < n; i++)
      if (c[i].server->number == last && &c[i] != except)
        return c[i].server;
  const struct placement_candidate *preferred
      = except != preferred_servers->region ? preferred_servers->region
                                            : preferred_servers->other_region;
  return preferred != NULL ? preferred->server : NULL;
}

/* Returns the most of the prompt's tokens that a server of the own domain has
   cached, or G_MAXUINT if no server of the own domain may be used.  */
static guint
cached_in_domain (const struct placement_candidate *c, guint n)
{
  guint cached = 0;
  for (guint i = 0; i < n; i++)
    if (c[i].no_local_server)
      return G_MAXUINT;
    else if (c[i].distance == TOPOLOGY_SAME_DOMAIN)
      cached = MAX (cached, c[i].expected_cached);
  return cached;
}

/* Returns whether the request may leave the own domain for the server of C,
   where it would cost E. HOME_CACHED is the result of cached_in_domain.  */
static gboolean
may_leave (const struct placement_view *view,
           const struct placement_request *request,
           const struct placement_candidate *c,
           const struct placement_estimate *e, guint home_cached,
           struct placement_choice *choice)
{
  if (view->domain_exit == NULL || home_cached == G_MAXUINT
      || c->distance == TOPOLOGY_SAME_DOMAIN)
    return TRUE;
  double saved = (double)c->expected_cached - home_cached;
  const struct domain_exit_query query
      = { .domain = c->server->entry.domain,
          .work_us = view->us_per_token * e->prefill_tokens,
          .saved_us = view->us_per_token * saved,
          .body_bytes = request->body_bytes,
          .left_us = request->left_us,
          .keeps_prefix = saved >= PREFIX_LARGE_TOKENS,
          .may_leave_freely = view->may_leave_freely };
  enum domain_exit_verdict verdict
      = domain_exit_decide (view->domain_exit, view->exit_budget, &query);
  choice->must_stay |= verdict != DOMAIN_EXIT_LEAVE;
  choice->over_budget |= verdict == DOMAIN_EXIT_OVER_BUDGET;
  return verdict == DOMAIN_EXIT_LEAVE;
}

/* The best server found so far.  */
struct selection
{
  const struct placement_candidate *best;
  struct placement_estimate estimate; /* of BEST */
};

/* Replaces the best server by C if that is cheaper. Among servers of about the
   same cost the rendezvous score decides, so that requests with the same
   shared prefix go to the same server.  */
static void
consider (struct selection *selection, const struct placement_candidate *c,
          const struct placement_estimate *e)
{
  double difference = e->cost - selection->estimate.cost;
  if (selection->best != NULL
      && (difference > EQUAL_COST_US
          || (difference > -EQUAL_COST_US
              && c->rendezvous_score >= selection->best->rendezvous_score)))
    return;
  selection->best = c;
  selection->estimate = *e;
}

/* Returns whether the best engine so far is expected to be on time without
   being charged as late.  */
static gboolean
is_in_time (const struct placement_request *request,
            const struct selection *selection)
{
  return selection->best != NULL
         && selection->estimate.first_event_us
                <= FIRST_EVENT_SLACK_SHARE * (double)request->left_us;
}

/* Returns whether a request that goes to a server of which E is the estimate
   has its first event by its target, if it waits for capacity first.  */
static gboolean
meets_target (const struct placement_request *request,
              const struct placement_estimate *e)
{
  return request->left_us <= 0
         || e->capacity_wait_us + e->first_event_us <= (double)request->left_us;
}

/* Returns the better one of SUITABLE and BREAKS_ISOLATION, servers that are
   chosen last. An isolated stream does not wait for its pool. Other requests
   break the isolation only if none of the other servers of the region
   (OTHERS_IN_TIME: some) would meet their target, also after a wait, or if they
   would be rejected otherwise.  */
static const struct selection *
select_by_isolation (const struct placement_request *request,
                     const struct selection *suitable,
                     const struct selection *breaks_isolation,
                     gboolean others_in_time)
{
  if (breaks_isolation->best == NULL)
    return suitable;
  if (request->may_break_isolation && !is_isolated (request))
    return breaks_isolation;
  if (suitable->best == NULL)
    return is_isolated (request) || !others_in_time ? breaks_isolation
                                                    : suitable;
  return !is_isolated (request) && !others_in_time
                 && !meets_target (request, &suitable->estimate)
                 && meets_target (request, &breaks_isolation->estimate)
             ? breaks_isolation
             : suitable;
}

/* Updates the pools for isolated streams without a request.  */
void
placement_update_pools (const struct placement_view *view)
{
  static struct placement_candidate candidates[CANDIDATES_MAX];
  const struct placement_request none = { 0 };
  if (view->engine == NULL)
    return;
  guint n = collect (view, &none, GROUP_SOUND, candidates);
  mark_pools (view, &none, candidates, n);
}

/* Sets the shares of CHOICE that concern all N candidates. Returns how many are
   not in a sensitive pool.  */
static guint
summarize (const struct placement_candidate *c, guint n,
           struct placement_choice *choice)
{
  guint64 slots = 0;
  guint64 busy_slots = 0;
  guint n_outside_pool = 0;
  guint n_limited = 0;
  for (guint i = 0; i < n; i++)
    {
      slots += c[i].server->entry.slots;
      busy_slots += MIN (c[i].load.requests, c[i].server->entry.slots);
      n_outside_pool += !c[i].in_sensitive_pool;
      n_limited += c[i].server->limit.report.per_s > 0;
      choice->limited_per_s += c[i].limited_per_s;
    }
  if (n_limited < n)
    choice->limited_per_s = 0;
  choice->busy = slots ? (double)busy_slots / (double)slots : 1.0;
  return n_outside_pool;
}

/* The state of the comparison of all candidates for a request.  */
struct comparison
{
  guint best_cached; /* most tokens of the prompt that a server has cached */
  guint home_cached; /* result of cached_in_domain */
  guint n_compared;  /* suitable servers */
  guint n_exits;     /* servers of other domains with capacity */
  struct selection suitable;
  struct selection delays_streams;
  struct selection breaks_isolation;
  gboolean others_in_time; /* as in select_by_isolation */
};

/* Compares C with the best servers so far.  */
static void
compare_candidate (const struct placement_view *view,
                   const struct placement_request *request,
                   struct placement_candidate *c, struct comparison *comparison,
                   struct placement_choice *choice)
{
  struct placement_estimate e
      = view->engine != NULL ? placement_estimate_engine (
            view, request, c, comparison->best_cached)
                             : placement_estimate_plain (request, c);
  e.full |= c->trial_running || c->limit_wait_us > 0 || c->brittle_wait_us > 0;
  e.capacity_wait_us = MAX (e.capacity_wait_us,
                            (double)MAX (c->limit_wait_us, c->brittle_wait_us));
  if (!e.full
      && !may_leave (view, request, c, &e, comparison->home_cached, choice))
    return;
  choice->full |= e.full;
  /* Requests do not wait for servers that break the isolation. */
  if (!e.breaks_isolation || is_isolated (request))
    {
      choice->first_event_us
          = MIN (choice->first_event_us, (gint64)e.first_event_us);
      choice->capacity_wait_us
          = MIN (choice->capacity_wait_us, (gint64)e.capacity_wait_us);
      comparison->others_in_time
          |= c->distance != TOPOLOGY_OTHER_REGION && meets_target (request, &e);
    }
  if (e.full)
    return;
  gboolean is_exit = view->domain_exit != NULL
                     && c->distance != TOPOLOGY_SAME_DOMAIN
                     && comparison->n_exits++ < COMPARED_MIN;
  if (c->limited_per_s > 0)
    e.cost -= LIMITED_PREFERENCE_US;
  gboolean is_cached = c->cached_tokens >= PREFIX_LARGE_TOKENS
                       && c->cached_tokens == comparison->best_cached;
  gboolean is_own_pool = is_isolated (request) && c->in_isolated_pool
                         && c->distance == TOPOLOGY_SAME_DOMAIN;
  struct selection *selection = &comparison->suitable;
  if (e.delays_streams)
    selection = &comparison->delays_streams;
  else if (e.breaks_isolation)
    selection = &comparison->breaks_isolation;
  if (view->engine == NULL || is_cached || is_own_pool
      || request->may_break_isolation || c->limited_per_s > 0 || is_exit
      || comparison->n_compared < COMPARED_MIN
      || !is_in_time (request, &comparison->suitable))
    consider (selection, c, &e);
  comparison->n_compared += selection == &comparison->suitable;
}

/* Chooses the cheapest server that has capacity, of the few that are compared.
   Servers that peers could not reach, and those that are leaving, are compared
   only if no other one is usable, even if those have no capacity: the latter
   may end before a new request does. A server of the sensitive pool whose
   streams would be delayed is chosen only if there are no servers outside the
   pool, and one where the request would break the isolation of streams only if
   no other one of the region would be in time; otherwise the request waits
   until another server has capacity.  */
void
placement_choose (const struct placement_view *view,
                  const struct placement_request *request,
                  struct placement_choice *choice)
{
  static struct placement_candidate candidates[CANDIDATES_MAX];
  guint n = 0;
  guint n_sources; /* servers to fetch from, the candidates first */
  enum placement_group group = GROUP_SOUND;
  while (n == 0 && group < GROUPS_N)
    n = collect (view, request, group++, candidates);
  n_sources = group <= GROUP_LEAVING
                  ? add_leaving_sources (view, request, candidates, n)
                  : n;
  struct comparison comparison = { 0 };
  *choice = (struct placement_choice){ .usable = n,
                                       .first_event_us = G_MAXINT64,
                                       .capacity_wait_us = G_MAXINT64,
                                       .backoff_us = G_MAXINT64 };
  if (n == 0)
    choice->backoff_us = backoff_left (view);
  if (view->engine != NULL)
    {
      mark_pools (view, request, candidates, n);
      if (is_isolated (request))
        mark_slow_engines (view, candidates, n);
      sort_by_preference (view, request, candidates, n);
    }
  struct preferred_servers preferred_servers
      = find_preferred_servers (view, request, candidates, n);
  for (guint i = 0; i < n_sources; i++)
    comparison.best_cached
        = MAX (comparison.best_cached, candidates[i].cached_tokens);
  comparison.home_cached = cached_in_domain (candidates, n);
  guint n_outside_pool = summarize (candidates, n, choice);
  for (guint i = 0; i < n; i++)
    compare_candidate (view, request, &candidates[i], &comparison, choice);
  const struct selection *chosen = select_by_isolation (
      request, &comparison.suitable, &comparison.breaks_isolation,
      comparison.others_in_time);
  if (chosen->best == NULL && n_outside_pool == 0)
    chosen = &comparison.delays_streams;
  if (chosen->best == NULL)
    {
      choice->full |= choice->must_stay;
      return;
    }
  choice->full = FALSE;
  choice->server = chosen->best->server;
  choice->load = chosen->best->load;
  choice->prefill_tokens = chosen->estimate.prefill_tokens;
  choice->first_event_us = (gint64)chosen->estimate.first_event_us;
  if (chosen->estimate.fetched_tokens > 0)
    choice->fetch_from = find_cached_server (
        candidates, n_sources, comparison.best_cached, chosen->best->server);
  else if (view->engine != NULL && view->engine->can_fetch_prefixes
           && chosen->best->cached_tokens
                  < prefix_shared_tokens (&request->prompt))
    choice->fetch_from = guess_cached_server (
        view, request, candidates, n_sources, &preferred_servers, chosen->best);
  choice->cached_tokens = chosen->best->cached_tokens;
  choice->in_isolated_pool = chosen->best->in_isolated_pool;
  choice->breaks_isolation = chosen->estimate.breaks_isolation;
  choice->at_home = chosen->best == preferred_servers.region;
}
