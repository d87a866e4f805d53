/* Where an instance learns the configuration and the list of servers: one
   instance reads the store for all, the others hear of changes from their
   peers and fetch them there. An instance that the store turns away goes on
   like this, and with no peer in reach each reads by itself.  */
#include "jacinthward/gwd_int.h"

#include "base/log.h"
#include "http/client.h"

#define FETCH_MS 800 /* longest fetch from a peer */
#define FETCH_CONNECT_MS 400
#define FETCH_MAX (8 * 1024 * 1024) /* bytes */

struct fetch
{
  struct gwd *gwd;
  struct fetch **slot;             /* where the daemon keeps it */
  struct http_client *http_client; /* owned */
  gint64 asked;                    /* clock time */
  guint32 ip;
  gboolean config; /* else the list of servers */
};

static void
fetch_free (struct fetch *fetch)
{
  if (fetch == NULL)
    return;
  http_client_free (fetch->http_client);
  g_free (fetch);
}

/* Notes in the log when the store is lost and when it is back.  */
static void
note_store (struct gwd *gwd, gboolean lost)
{
  if (lost != gwd->store_lost)
    log_event (lost ? LOG_WARN : LOG_INFO,
               lost ? "store.lost" : "store.regained",
               "proof_age_ms=%" G_GINT64_FORMAT,
               gat_proof_age (gwd->gat, clk_now (gwd->clk)) / CLK_MS);
  gwd->store_lost = lost;
}

static void
take_config (struct gwd *gwd, struct rtb *rtb, GBytes *text)
{
  if (rtb_version (rtb) <= gat_version (gwd->gat))
    return;
  gat_set_table (gwd->gat, rtb);
  g_clear_pointer (&gwd->config_text, g_bytes_unref);
  gwd->config_text = g_bytes_ref (text);
}

static void
on_config (void *ctx, const struct pfm_config *config)
{
  struct gwd *gwd = ctx;
  gint64 now = clk_now (gwd->clk);
  gboolean answered = config->code == 0 || config->code == ERR_NOT_FOUND
                      || config->code == ERR_INVALID;
  rdr_done (&gwd->config_reader, now, config->code == 0);
  note_store (gwd, !answered);
  if (answered)
    histogram_add (&gwd->histogram_set, HISTOGRAM_STORE, now - config->asked);
  if (config->code != 0)
    return;
  take_config (gwd, config->rtb, config->text);
  gat_proved (gwd->gat, rtb_version (config->rtb), config->asked);
  gat_poll (gwd->gat);
}

/* Takes a list that is newer than the one known.  */
static void
take_servers (struct gwd *gwd, const struct flt_entry *entries, guint n,
              gint64 asked)
{
  if (gwd->servers.entries != NULL && asked <= gwd->servers.asked)
    return;
  if (gwd->servers.entries == NULL)
    gwd->servers.entries
        = g_array_new (FALSE, FALSE, sizeof (struct flt_entry));
  g_array_set_size (gwd->servers.entries, 0);
  g_array_append_vals (gwd->servers.entries, entries, n);
  gwd->servers.asked = asked;
  flt_list (gwd->flt, entries, n, clk_now (gwd->clk));
  gat_poll (gwd->gat);
}

static void
on_servers (void *ctx, const struct pfm_servers *servers)
{
  struct gwd *gwd = ctx;
  gint64 now = clk_now (gwd->clk);
  rdr_done (&gwd->servers_reader, now, servers->code == 0);
  note_store (gwd, servers->code != 0);
  if (servers->code != 0)
    flt_store_failed (gwd->flt, now);
  else
    take_servers (gwd, servers->entries, servers->n, servers->asked);
}

static gint64
servers_age (const struct gwd *gwd, gint64 now)
{
  return gwd->servers.entries ? now - gwd->servers.asked : G_MAXINT64;
}

/* Starts the reads of the store that are due.  */
void
gwd_read_step (struct gwd *gwd, gint64 now)
{
  guint rank = prs_reader_rank (gwd->prs, now);
  if (rdr_due (&gwd->config_reader, now, gat_proof_age (gwd->gat, now), rank))
    {
      rdr_started (&gwd->config_reader, now);
      pfm_read_config (gwd->pfm, on_config, gwd);
    }
  if (rdr_due (&gwd->servers_reader, now, servers_age (gwd, now), rank))
    {
      rdr_started (&gwd->servers_reader, now);
      pfm_read_servers (gwd->pfm, on_servers, gwd);
    }
}

static void
take_fetched_config (struct gwd *gwd, struct str body, struct err *err)
{
  struct rtb *rtb = pfm_decode_text (body, err);
  if (rtb == NULL)
    return;
  GBytes *text = g_bytes_new (body.p, body.n);
  take_config (gwd, rtb, text);
  g_bytes_unref (text);
  rtb_unref (rtb);
  gat_poll (gwd->gat);
}

static void
take_fetched_servers (struct gwd *gwd, struct str body, gint64 asked,
                      struct err *err)
{
  struct pfl list;
  if (pfl_decode (body, asked, &list, err) < 0)
    return;
  take_servers (gwd, (const struct flt_entry *)list.entries->data,
                list.entries->len, list.asked);
  g_array_unref (list.entries);
}

static void
on_fetched (void *ctx, const struct http_client_response *answer)
{
  struct fetch *fetch = ctx;
  struct gwd *gwd = fetch->gwd;
  struct err err = { 0 };
  *fetch->slot = NULL;
  if (answer->code < 0)
    err = *answer->err;
  else if (answer->head->status != 200)
    err_set (&err, ERR_NOT_FOUND, "peer.fetch", "", "status %u",
             answer->head->status);
  else if (fetch->config)
    take_fetched_config (gwd, answer->body, &err);
  else
    take_fetched_servers (gwd, answer->body, fetch->asked, &err);
  if (err.code != 0)
    {
      log_event (LOG_WARN, "peer.fetch_failed", "what=%s cause=\"%s\"",
                 fetch->config ? "config" : "servers", err.text);
      if (fetch->config)
        gwd->config_reader.wanted = TRUE;
      else
        gwd->servers_reader.wanted = TRUE;
    }
  fetch_free (fetch);
}

static void
start_fetch (struct gwd *gwd, struct fetch **slot, guint32 ip, gboolean config,
             gint64 now)
{
  char address[ERR_PEER_MAX];
  if (*slot != NULL)
    return;
  g_snprintf (address, sizeof address, "%u.%u.%u.%u:%u", ip >> 24,
              ip >> 16 & 255, ip >> 8 & 255, ip & 255, gwd->peer_port);
  const struct http_client_options options = { .address = address,
                                               .silence_ms = FETCH_MS,
                                               .connect_ms = FETCH_CONNECT_MS,
                                               .body_max = FETCH_MAX };
  const struct http_client_request call
      = { .method = "GET",
          .target = config ? "/config" : "/servers",
          .timeout_ms = FETCH_MS };
  struct fetch *fetch = g_new0 (struct fetch, 1);
  *fetch = (struct fetch){ gwd, slot, http_client_new (&options),
                           now, ip,   config };
  *slot = fetch;
  http_client_send (fetch->http_client, &call, on_fetched, fetch);
}

/* A peer at IP has told what it knows: fetches what is newer there, and takes
   its word for the age of what is the same.  */
void
gwd_take_news (struct gwd *gwd, guint32 ip, const struct prs_news *news,
               gint64 now)
{
  if (news->proof.asked > 0)
    gat_proved (gwd->gat, news->proof.config, news->proof.asked);
  if (news->config > gat_version (gwd->gat))
    start_fetch (gwd, &gwd->config_fetch, ip, TRUE, now);
  gint64 read = now - news->fleet_age_us;
  if (news->fleet_age_us < 0
      || (gwd->servers.entries != NULL && read <= gwd->servers.asked))
    return;
  if (gwd->servers.entries != NULL
      && news->fleet_digest == flt_digest (gwd->flt))
    gwd->servers.asked = read;
  else
    start_fetch (gwd, &gwd->servers_fetch, ip, FALSE, now);
}

void
gwd_read_free (struct gwd *gwd)
{
  fetch_free (gwd->config_fetch);
  fetch_free (gwd->servers_fetch);
  g_clear_pointer (&gwd->config_text, g_bytes_unref);
  g_clear_pointer (&gwd->servers.entries, g_array_unref);
}
