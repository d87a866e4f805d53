/* Synchronizes the configuration and the server list. One instance, the
   designated reader, reads the store for all; the others are notified of
   changes by their peers and fetch them there, which also works for an instance
   whose requests the store rejects. An instance that reaches no peer reads the
   store itself.  */
#include "jacinthward/proxy_daemon_internal.h"

#include "base/log.h"
#include "http/client.h"

/* Limit for one fetch from a peer that sends nothing. */
#define FETCH_TIMEOUT_MS 800
#define FETCH_SILENCE_MS 800
/* A fetch that has taken so long does not keep another peer from being asked.
 */
#define FETCH_SECOND_US (300 * CLK_MS)
#define FETCH_CONNECT_TIMEOUT_MS 400
/* Consecutive failed fetches after which the store is read instead. */
#define FETCH_FAILURES_MAX 2
/* Two lists that were read with a longer time between them mean that the store
   was unavailable: entries may have expired although their servers live. */
#define LIST_GAP_US (2500 * CLK_MS)
#define FETCH_MAX (8 * 1024 * 1024) /* bytes */
/* Of a response that may take longer than the time-out. */
#define FETCH_BYTES_PER_S (100 * 1024)

/* X (NAME, "name", "path") */
#define FETCH_KINDS(X)                                                         \
  X (CONFIG, "config", PROXY_DAEMON_CONFIG_PATH)                               \
  X (SERVERS, "servers", PROXY_DAEMON_SERVERS_PATH)                            \
  X (VERSIONS, "versions", PROXY_DAEMON_VERSIONS_PATH)

enum fetch_kind
{
#define FETCH_ENUM(id, name, path) FETCH_##id,
  FETCH_KINDS (FETCH_ENUM)
#undef FETCH_ENUM
};

static const char *const fetch_names[] = {
#define FETCH_NAME(id, name, path) name,
  FETCH_KINDS (FETCH_NAME)
#undef FETCH_NAME
};

static const char *const fetch_paths[] = {
#define FETCH_PATH(id, name, path) path,
  FETCH_KINDS (FETCH_PATH)
#undef FETCH_PATH
};

struct fetch
{
  struct proxy_daemon *daemon;
  struct fetch **owner_slot;       /* the daemon's pointer to this fetch */
  struct http_client *http_client; /* owned */
  gint64 requested_at; /* clock time at which the request was sent */
  guint32 ip;
  enum fetch_kind kind;
  gboolean changes_only;
  guint64 version; /* of the configuration that the peer has announced */
  GBytes *base;    /* text to which the changes are; NULL: none */
  guint64 base_digest;
};

static void
fetch_free (struct fetch *fetch)
{
  if (fetch == NULL)
    return;
  http_client_free (fetch->http_client);
  g_clear_pointer (&fetch->base, g_bytes_unref);
  g_free (fetch);
}

static void
fetches_free (struct fetches *fetches)
{
  for (guint i = 0; i < PROXY_DAEMON_FETCHES_MAX; i++)
    fetch_free (fetches->slots[i]);
}

/* Logs when the store becomes unavailable and when it is available again.  */
static void
log_store_state (struct proxy_daemon *daemon, gboolean lost)
{
  if (lost != daemon->store_unavailable)
    log_event (lost ? LOG_WARN : LOG_INFO,
               lost ? "store.lost" : "store.regained",
               "proof_age_ms=%" G_GINT64_FORMAT,
               proxy_config_age (daemon->reverse_proxy, clk_now (daemon->clk))
                   / CLK_MS);
  daemon->store_unavailable = lost;
}

/* Applies a configuration if it is newer than the one in force.  */
static void
apply_config (struct proxy_daemon *daemon, struct routing_table *routing_table,
              GBytes *text)
{
  if (routing_table_version (routing_table)
      <= proxy_config_version (daemon->reverse_proxy))
    return;
  proxy_set_table (daemon->reverse_proxy, routing_table);
  version_keeper_set_routes (daemon->version_keeper, routing_table);
  daemon->config_applied_at = clk_now (daemon->clk);
  g_clear_pointer (&daemon->config_text, g_bytes_unref);
  daemon->config_text = g_bytes_ref (text);
  text_history_add (daemon->config_history, text);
}

/* Takes note of ERA, which the store or PEER (NULL: the store) states. In a new
   era the list of servers may lack some that live, as after an outage, until
   they have written their entries again. Configurations need nothing more:
   versions are the operator's, an older one replaces none that is known, and
   its confirmation counts for none. Returns FALSE if ERA is an older one than
   that known, so that what came with it is out of date.  */
static gboolean
accept_era (struct proxy_daemon *daemon, guint64 era, const char *peer)
{
  guint64 before = daemon->store_era.known;
  switch (peer != NULL ? store_era_of_peer (&daemon->store_era, era)
                       : store_era_of_store (&daemon->store_era, era))
    {
    case STORE_ERA_SAME:
      break;
    case STORE_ERA_NEWER:
      counter_add (&daemon->counter_set, COUNTER_STORE_ERAS, 1);
      log_write (
          &(struct log_entry){
              .level = LOG_WARN, .event = "store.new_era", .peer = peer },
          "era=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT, era, before);
      registry_store_failed (daemon->registry, clk_now (daemon->clk));
      crash_keeper_store_changed (daemon->crash_keeper);
      version_keeper_store_changed (daemon->version_keeper, era);
      stream_keeper_store_changed (daemon->stream_keeper);
      break;
    case STORE_ERA_OLDER:
      log_write (&(struct log_entry){ .level = peer ? LOG_DEBUG : LOG_WARN,
                                      .event = "store.old_era",
                                      .peer = peer },
                 "era=%" G_GUINT64_FORMAT " newest=%" G_GUINT64_FORMAT, era,
                 before);
      return FALSE;
    }
  return TRUE;
}

/* Confirms the version that the store has, if it is proved by now to be the
   newest.  */
static void
confirm_proved (struct proxy_daemon *daemon, gint64 now)
{
  guint64 version;
  gint64 requested_at;
  if (!start_evidence_take (&daemon->evidence, now, &version, &requested_at))
    return;
  proxy_confirm_version (daemon->reverse_proxy, version, requested_at);
  proxy_poll (daemon->reverse_proxy);
}

static void
on_config (void *ctx, const struct adapter_config *config)
{
  struct proxy_daemon *daemon = ctx;
  gint64 now = clk_now (daemon->clk);
  if (!accept_era (daemon, config->era, NULL))
    {
      read_schedule_done (&daemon->config_schedule, now, FALSE);
      return;
    }
  gboolean response_known = config->code == 0 || config->code == ERR_NOT_FOUND
                            || config->code == ERR_INVALID;
  read_schedule_done (&daemon->config_schedule, now, config->code == 0);
  log_store_state (daemon, !response_known);
  if (response_known)
    histogram_add (&daemon->histogram_set, HISTOGRAM_STORE,
                   now - config->requested_at);
  if (config->code != 0)
    return;
  if (config->decoded.routing_table != NULL)
    apply_config (daemon, config->decoded.routing_table, config->decoded.text);
  start_evidence_of_store (&daemon->evidence, config->decoded.version,
                           config->requested_at);
  confirm_proved (daemon, now);
}

/* Applies a server list if it is newer than the current one.  */
static void
apply_servers (struct proxy_daemon *daemon,
               const struct registry_entry *entries, guint n,
               gint64 requested_at)
{
  gint64 now = clk_now (daemon->clk);
  struct peer_server_list *list = &daemon->server_list;
  if (list->entries != NULL && requested_at <= list->requested_at)
    return;
  if (list->entries != NULL && requested_at - list->requested_at > LIST_GAP_US)
    registry_store_failed (daemon->registry, now);
  struct peer_server_list newer
      = { .entries
          = g_array_sized_new (FALSE, FALSE, sizeof (struct registry_entry), n),
          .requested_at = requested_at,
          .digest = server_list_digest (entries, n) };
  if (n > 0)
    g_array_append_vals (newer.entries, entries, n);
  if (list->entries != NULL && newer.digest != list->digest)
    server_list_history_add (daemon->server_list_history, list, &newer);
  registry_set_times (daemon->registry, list->requested_at,
                      clk_wall (daemon->clk) - now);
  g_clear_pointer (&list->entries, g_array_unref);
  *list = newer;
  registry_update (daemon->registry,
                   (const struct registry_entry *)list->entries->data, n, now);
  version_keeper_observe (daemon->version_keeper);
  proxy_poll (daemon->reverse_proxy);
}

static void
on_servers (void *ctx, const struct adapter_servers *servers)
{
  struct proxy_daemon *daemon = ctx;
  gint64 now = clk_now (daemon->clk);
  gboolean current = accept_era (daemon, servers->era, NULL);
  read_schedule_done (&daemon->servers_schedule, now,
                      servers->code == 0 && current);
  if (!current)
    return;
  log_store_state (daemon, servers->code != 0);
  if (servers->code != 0)
    registry_store_failed (daemon->registry, now);
  else
    apply_servers (daemon, servers->entries, servers->n, servers->requested_at);
}

static gint64
servers_age_us (const struct proxy_daemon *daemon, gint64 now)
{
  return daemon->server_list.entries ? now - daemon->server_list.requested_at
                                     : G_MAXINT64;
}

void
proxy_daemon_sync_init (struct proxy_daemon *daemon, gint64 now)
{
  const struct proxy_settings *settings = daemon->settings;
  guint32 own = 0;
  guint32 seed;
  struct read_schedule_options options
      = { .now = now, .seed = g_rand_int (daemon->rand) };
  udp_ip_parse (settings->listen_peers, &own);
  gboolean has_peers = FALSE;
  for (guint i = 0; settings->seeds && settings->seeds[i]; i++)
    if (udp_ip_parse (settings->seeds[i], &seed))
      {
        options.is_seed |= seed == own;
        has_peers |= seed != own;
      }
  read_schedule_init (&daemon->config_schedule, &options);
  read_schedule_init (&daemon->servers_schedule, &options);
  daemon->server_list_history = server_list_history_new ();
  daemon->config_history = text_history_new ();
  start_evidence_init (&daemon->evidence, has_peers, now);
}

/* Starts the store reads that are due.  */
void
proxy_daemon_sync_step (struct proxy_daemon *daemon, gint64 now)
{
  const struct read_schedule_peers peers
      = { .rank = gossip_reader_rank (daemon->gossip, now),
          .instances = gossip_instance_count (daemon->gossip, now),
          .heard = gossip_alive_count (daemon->gossip, now) > 1 };
  confirm_proved (daemon, now);
  gint64 config_age = proxy_config_age (daemon->reverse_proxy, now);
  const struct read_schedule_confirmation confirmation
      = { .age = config_age,
          .known_for = now - daemon->config_applied_at,
          .peer_age
          = daemon->fresh_peer_at ? now - daemon->fresh_peer_at : G_MAXINT64 };
  if (read_schedule_is_cut_off (&confirmation))
    read_schedule_peers_failed (&daemon->config_schedule, now);
  /* What is not proved yet need not be read again sooner. */
  gint64 read_age = daemon->evidence.pending != 0
                        ? MIN (config_age, now - daemon->evidence.pending_at)
                        : config_age;
  if (read_schedule_is_due (&daemon->config_schedule, now, read_age, &peers))
    {
      read_schedule_started (&daemon->config_schedule, now);
      adapter_read_config (daemon->adapter, on_config, daemon);
    }
  if (read_schedule_is_due (&daemon->servers_schedule, now,
                            servers_age_us (daemon, now), &peers))
    {
      read_schedule_started (&daemon->servers_schedule, now);
      adapter_read_servers (daemon->adapter, on_servers, daemon);
    }
}

static void
apply_fetched_servers (struct proxy_daemon *daemon, struct str body,
                       gint64 requested_at, struct err *err)
{
  struct peer_server_list list;
  if (server_list_decode (body, requested_at, &daemon->server_list, &list, err)
      < 0)
    return;
  apply_servers (daemon, (const struct registry_entry *)list.entries->data,
                 list.entries->len, list.requested_at);
  g_array_unref (list.entries);
}

/* Records that a fetch has failed. After several in a row the store is read
   instead.  */
static void
record_fetch_failure (struct proxy_daemon *daemon, enum fetch_kind kind,
                      const struct err *err)
{
  log_event (LOG_WARN, "peer.fetch_failed", "what=%s cause=\"%s\"",
             fetch_names[kind], err->text);
  /* The keeper of the table of versions turns to the store by itself. */
  if (kind == FETCH_VERSIONS || ++daemon->fetches_failed < FETCH_FAILURES_MAX)
    return;
  read_schedule_peers_failed (kind == FETCH_CONFIG ? &daemon->config_schedule
                                                   : &daemon->servers_schedule,
                              clk_now (daemon->clk));
}

static gboolean
has_changes (const struct http_client_response *response)
{
  struct str type;
  return http_head_get (response->head, "content-type", &type)
         && str_eq (type, STR_LIT (PROXY_DAEMON_CHANGES_TYPE));
}

/* Returns the text of the configuration in RESPONSE, owned by the caller; NULL
   with ERR set if its changes cannot be applied.  */
static GBytes *
fetched_text (const struct fetch *fetch,
              const struct http_client_response *response, struct err *err)
{
  gsize n;
  if (!has_changes (response) || fetch->base == NULL)
    return g_bytes_new (response->body.p, response->body.n);
  const char *base = g_bytes_get_data (fetch->base, &n);
  return text_delta_apply ((struct str){ base, n }, response->body, FETCH_MAX,
                           err);
}

/* A configuration from a peer that is being decoded.  */
struct arriving_config
{
  struct proxy_daemon *daemon;
  guint32 ip;          /* of the peer */
  GBytes *delta;       /* from which it was made; NULL: from a whole text */
  guint64 base_digest; /* of the text to which DELTA applies */
};

static void
arriving_config_free (gpointer data)
{
  struct arriving_config *arriving = data;
  g_clear_pointer (&arriving->delta, g_bytes_unref);
  g_free (arriving);
}

static void
on_config_decoded (void *ctx, const struct adapter_decoded *decoded,
                   const struct err *err)
{
  struct arriving_config *arriving = ctx;
  struct proxy_daemon *daemon = arriving->daemon;
  daemon->config_arriving = 0;
  gossip_ask (daemon->gossip, arriving->ip);
  if (decoded == NULL)
    record_fetch_failure (daemon, FETCH_CONFIG, err);
  else if (decoded->routing_table != NULL)
    apply_config (daemon, decoded->routing_table, decoded->text);
  if (decoded != NULL && arriving->delta != NULL
      && daemon->config_text == decoded->text)
    text_history_note_delta (daemon->config_history, arriving->base_digest,
                             arriving->delta);
  arriving_config_free (arriving);
  proxy_poll (daemon->reverse_proxy);
}

static void
decode_fetched_config (const struct fetch *fetch,
                       const struct http_client_response *response,
                       struct err *err)
{
  struct proxy_daemon *daemon = fetch->daemon;
  g_autoptr (GBytes) text = fetched_text (fetch, response, err);
  if (text == NULL)
    return;
  struct arriving_config *arriving = g_new0 (struct arriving_config, 1);
  *arriving = (struct arriving_config){ .daemon = daemon,
                                        .ip = fetch->ip,
                                        .base_digest = fetch->base_digest };
  if (has_changes (response))
    arriving->delta = g_bytes_new (response->body.p, response->body.n);
  daemon->config_arriving = fetch->version;
  adapter_decode (daemon->adapter, text, on_config_decoded, arriving,
                  arriving_config_free);
}

static void
apply_fetched (const struct fetch *fetch,
               const struct http_client_response *response, struct err *err)
{
  struct proxy_daemon *daemon = fetch->daemon;
  struct str body = response->body;
  switch (fetch->kind)
    {
    case FETCH_CONFIG:
      decode_fetched_config (fetch, response, err);
      break;
    case FETCH_SERVERS:
      apply_fetched_servers (daemon, body, fetch->requested_at, err);
      break;
    case FETCH_VERSIONS:
      if (version_keeper_take (daemon->version_keeper, body) < 0)
        err_set (err, ERR_PROTOCOL, "peer.fetch", "",
                 "malformed table of versions");
      break;
    }
}

static void
on_fetched (void *ctx, const struct http_client_response *response)
{
  struct fetch *fetch = ctx;
  struct proxy_daemon *daemon = fetch->daemon;
  struct err err = { 0 };
  gboolean is_busy = response->code == 0 && response->head->status == 503;
  *fetch->owner_slot = NULL;
  if (response->code < 0)
    err = *response->err;
  else if (response->head->status != 200)
    err_set (&err, ERR_NOT_FOUND, "peer.fetch", "", "status %u",
             response->head->status);
  else
    apply_fetched (fetch, response, &err);
  /* A peer without budget for the transfer is no failure: another one will
     announce the same data. */
  if (is_busy)
    log_event (LOG_DEBUG, "peer.busy", "what=%s", fetch_names[fetch->kind]);
  else if (err.code != 0)
    record_fetch_failure (daemon, fetch->kind, &err);
  else
    daemon->fetches_failed = 0;
  /* Instances of an older version do not know how to send changes. */
  gboolean no_changes = fetch->changes_only && !is_busy && err.code != 0;
  if (fetch->kind == FETCH_SERVERS)
    daemon->no_changes = no_changes;
  if (fetch->kind == FETCH_CONFIG)
    daemon->no_config_changes = no_changes;
  fetch_free (fetch);
}

/* Writes the target of a fetch of KIND to TARGET: that of the changes if this
   instance has something to which they can be applied. Returns whether it has.
 */
static gboolean
choose_target (const struct proxy_daemon *daemon, enum fetch_kind kind,
               char *target, gsize size)
{
  const char *path = NULL;
  guint64 digest = 0;
  if (kind == FETCH_SERVERS && daemon->server_list.entries != NULL
      && !daemon->no_changes)
    {
      path = PROXY_DAEMON_SERVERS_SINCE_PATH;
      digest = daemon->server_list.digest;
    }
  else if (kind == FETCH_CONFIG && daemon->config_text != NULL
           && !daemon->no_config_changes)
    {
      path = PROXY_DAEMON_CONFIG_SINCE_PATH;
      digest = text_history_digest (daemon->config_history);
    }
  if (path != NULL)
    g_snprintf (target, size, "%s%" G_GINT64_MODIFIER "x", path, digest);
  else
    g_strlcpy (target, fetch_paths[kind], size);
  return path != NULL;
}

/* Returns an unused slot for a fetch from the peer at IP; NULL if none may
   begin: one from the same peer is in progress, or another one that has not
   taken long yet.  */
static struct fetch **
find_slot (struct fetches *fetches, guint32 ip, gint64 now)
{
  struct fetch **unused = NULL;
  for (guint i = 0; i < PROXY_DAEMON_FETCHES_MAX; i++)
    {
      struct fetch *fetch = fetches->slots[i];
      if (fetch == NULL)
        unused = &fetches->slots[i];
      else if (fetch->ip == ip || now - fetch->requested_at < FETCH_SECOND_US)
        return NULL;
    }
  return unused;
}

/* Starts a fetch from the peer at IP, unless one of the same kind is in
   progress that may still end soon. VERSION is that of the configuration, for
   FETCH_CONFIG.  */
static void
start_fetch (struct proxy_daemon *daemon, struct fetches *fetches, guint32 ip,
             enum fetch_kind kind, guint64 version, gint64 now)
{
  char address[ERR_PEER_MAX];
  char target[64];
  struct fetch **owner_slot = find_slot (fetches, ip, now);
  if (owner_slot == NULL)
    return;
  g_snprintf (address, sizeof address, "%u.%u.%u.%u:%u", ip >> 24,
              ip >> 16 & 255, ip >> 8 & 255, ip & 255, daemon->peer_port);
  const struct http_client_options options
      = { .address = address,
          .silence_ms = FETCH_SILENCE_MS,
          .connect_ms = FETCH_CONNECT_TIMEOUT_MS,
          .body_max = FETCH_MAX,
          .bytes_per_s_min = FETCH_BYTES_PER_S };
  struct fetch *fetch = g_new0 (struct fetch, 1);
  *fetch = (struct fetch){ .daemon = daemon,
                           .owner_slot = owner_slot,
                           .http_client = http_client_new (&options),
                           .requested_at = now,
                           .ip = ip,
                           .kind = kind,
                           .version = version };
  fetch->changes_only = choose_target (daemon, kind, target, sizeof target);
  if (kind == FETCH_CONFIG && fetch->changes_only)
    {
      fetch->base = g_bytes_ref (daemon->config_text);
      fetch->base_digest = text_history_digest (daemon->config_history);
    }
  *owner_slot = fetch;
  const struct http_client_request request
      = { .method = "GET", .target = target, .timeout_ms = FETCH_TIMEOUT_MS };
  http_client_send (fetch->http_client, &request, on_fetched, fetch);
}

/* Handles the state that the peer at IP has sent. Fetches from the peer what is
   newer there. If both have the same data, a newer confirmation by the peer
   counts for this instance too.  */
void
proxy_daemon_handle_peer_update (struct proxy_daemon *daemon, guint32 ip,
                                 const struct gossip_update *update, gint64 now)
{
  start_evidence_of_peer (&daemon->evidence, update->config_version,
                          update->config_age_us, now);
  confirm_proved (daemon, now);
  if (update->freshness.confirmed_after > 0)
    proxy_confirm_version (daemon->reverse_proxy,
                           update->freshness.config_version,
                           update->freshness.confirmed_after);
  if (update->config_version == proxy_config_version (daemon->reverse_proxy)
      && update->config_age_us >= 0
      && update->config_age_us <= READ_SCHEDULE_FRESH_US)
    daemon->fresh_peer_at = now;
  if (update->config_version > proxy_config_version (daemon->reverse_proxy)
      && update->config_version > daemon->config_arriving)
    start_fetch (daemon, &daemon->config_fetches, ip, FETCH_CONFIG,
                 update->config_version, now);
  if (version_keeper_heard (daemon->version_keeper, update->version_table))
    start_fetch (daemon, &daemon->versions_fetches, ip, FETCH_VERSIONS, 0, now);
  gint64 peer_read_at = update->server_list_read_at;
  if (!accept_era (daemon, update->store_era, update->id)
      || update->server_list_age_us < 0
      || (daemon->server_list.entries != NULL
          && peer_read_at <= daemon->server_list.requested_at))
    return;
  if (daemon->server_list.entries != NULL
      && update->server_list_digest == daemon->server_list.digest)
    {
      daemon->server_list.requested_at = peer_read_at;
      registry_list_confirmed (daemon->registry, peer_read_at, now);
    }
  else
    start_fetch (daemon, &daemon->servers_fetches, ip, FETCH_SERVERS, 0, now);
}

void
proxy_daemon_sync_free (struct proxy_daemon *daemon)
{
  fetches_free (&daemon->config_fetches);
  fetches_free (&daemon->servers_fetches);
  fetches_free (&daemon->versions_fetches);
  g_clear_pointer (&daemon->config_text, g_bytes_unref);
  g_clear_pointer (&daemon->server_list.entries, g_array_unref);
  server_list_history_free (daemon->server_list_history);
  text_history_free (daemon->config_history);
}
