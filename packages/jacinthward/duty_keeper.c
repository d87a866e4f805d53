#include "jacinthward/duty_keeper.h"

#include "base/json_add.h"
#include "base/log.h"
#include "duty/duty_lease.h"
#include "platform/duty_client.h"
#include "platform/object_client.h"

#include <string.h>

#define OBSERVE_INTERVAL_US (1 * CLK_S)
/* Part of the platform's rate limit that this holder uses. The rest is for a
   former holder, whose calls may still be in flight, and for the platform's own
   counting. */
#define CALLS_SHARE 10
/* A call that outlasts its time-out by this was suspended with the process, and
   timers did not count it. */
#define ABORT_SLACK_US (50 * CLK_MS)
#define RETRY_MIN_US (200 * CLK_MS)
#define RETRY_MAX_US (2 * CLK_S)
/* How long an instance that does not reach the platform's API leaves the lease
   to others, after it has let it expire. */
#define BARRED_TERMS 3

/* The call in flight. */
enum call_kind
{
  CALL_NONE,
  CALL_REPORT,
  CALL_ORDER
};

/* A request to the store in progress. */
struct store_request
{
  struct duty_keeper *keeper;
  guint64 token;
};

struct duty_keeper
{
  struct duty_keeper_options options;
  struct duty_lease *lease;
  struct object_client *object_client;
  struct duty_client *duty_client;
  struct usage_reports *reports;       /* borrowed; NULL: not a duty */
  struct server_orders *orders;        /* NULL: not a duty */
  struct store_request request;        /* the lease has one at a time */
  GString *text;                       /* of a section, for one call */
  gboolean is_pending[DUTY_SECTION_N]; /* set, and not stored yet */
  gboolean is_stopping;
  gboolean gives_up;      /* lets the lease expire */
  gint64 barred_until;    /* clock time; no candidate until then */
  gint64 observed_at;     /* clock time */
  enum call_kind in_call; /* of the call in flight */
  struct usage_call report;
  struct server_order order;
  gint64 called_at;     /* clock time of the last call */
  gint64 next_call_at;  /* clock time */
  gint64 failing_since; /* clock time of the first call in a row that had no
                           response; 0: none */
  guint failures;       /* calls in a row that are to be repeated */
  /* For the dump. */
  const char *last_change; /* of the lease, static text */
  char last_report[64];    /* window, teams and result */
  struct server_order last_order;
  int last_order_code;
  gboolean has_ordered;
};

static gint64
clock_now (const struct duty_keeper *keeper)
{
  return clk_now (keeper->options.clk);
}

static gint64
true_now (const struct duty_keeper *keeper)
{
  return keeper->options.true_now != NULL
             ? keeper->options.true_now (keeper->options.ctx)
             : clk_wall (keeper->options.clk);
}

static gint64
on_true_now (void *ctx)
{
  return true_now (ctx);
}

static void
on_store_response (void *ctx, const struct storage_response *response)
{
  struct store_request *request = ctx;
  duty_lease_response (request->keeper->lease, request->token, response);
}

static void
on_store_request (void *ctx, guint64 token,
                  const struct storage_request *request)
{
  struct duty_keeper *keeper = ctx;
  keeper->request = (struct store_request){ keeper, token };
  object_client_start (keeper->object_client, request, on_store_response,
                       &keeper->request);
}

/* Loads the sections that the record has.  */
static void
on_acquired (void *ctx)
{
  struct duty_keeper *keeper = ctx;
  gint64 now = clock_now (keeper);
  gboolean era_changed;
  memset (keeper->is_pending, 0, sizeof keeper->is_pending);
  keeper->failing_since = 0;
  keeper->failures = 0;
  keeper->observed_at = 0;
  keeper->last_change = "acquired";
  counter_add (keeper->options.counter_set, COUNTER_DUTIES_ACQUIRED, 1);
  struct str usage
      = duty_lease_section (keeper->lease, DUTY_SECTION_USAGE, &era_changed);
  log_event (LOG_INFO, "duty.acquired",
             "fence=%" G_GUINT64_FORMAT " usage_bytes=%" G_GSIZE_FORMAT
             " era_changed=%s",
             duty_lease_fence (keeper->lease), usage.n,
             era_changed ? "yes" : "no");
  if (keeper->reports != NULL)
    usage_reports_load (keeper->reports, usage, era_changed, true_now (keeper));
  struct str orders
      = duty_lease_section (keeper->lease, DUTY_SECTION_ORDERS, &era_changed);
  if (keeper->orders != NULL)
    server_orders_load (keeper->orders, orders, era_changed, now);
}

static void
on_lost (void *ctx, const char *cause)
{
  struct duty_keeper *keeper = ctx;
  counter_add (keeper->options.counter_set, COUNTER_DUTIES_LOST, 1);
  log_event (LOG_WARN, "duty.lost", "cause=\"%s\" gives_up=%s stopping=%s",
             cause, keeper->gives_up ? "yes" : "no",
             keeper->is_stopping ? "yes" : "no");
  keeper->last_change = cause;
  keeper->gives_up = FALSE;
}

static void
on_stored (void *ctx, enum duty_section section)
{
  struct duty_keeper *keeper = ctx;
  keeper->is_pending[section] = FALSE;
  if (section == DUTY_SECTION_ORDERS)
    {
      server_orders_stored (keeper->orders, clock_now (keeper));
      return;
    }
  usage_reports_stored (keeper->reports, true_now (keeper));
}

struct duty_keeper *
duty_keeper_new (const struct duty_keeper_options *options)
{
  const struct proxy_settings_duties *duties = &options->settings->duties;
  if (duties->address[0] == '\0' || (!duties->reports && !duties->orders))
    return NULL;
  struct duty_keeper *keeper = g_new0 (struct duty_keeper, 1);
  const struct object_client_options client_options
      = { .address = options->settings->store_address,
          .counter_set = options->counter_set };
  const struct duty_lease_options lease_options
      = { .clk = options->clk,
          .seed = options->seed,
          .id = options->settings->id.s,
          .address = options->settings->listen_peers,
          .incarnation = options->incarnation,
          .term_us = duties->lease_us,
          .true_now = on_true_now,
          .start_request = on_store_request,
          .acquired = on_acquired,
          .lost = on_lost,
          .stored = on_stored,
          .ctx = keeper };
  keeper->options = *options;
  keeper->text = g_string_new (NULL);
  keeper->last_change = "none";
  keeper->lease = duty_lease_new (&lease_options);
  keeper->object_client = object_client_new (&client_options);
  keeper->duty_client
      = duty_client_new (duties->address, options->settings->id.s);
  keeper->reports = options->reports;
  if (duties->orders)
    keeper->orders = server_orders_new ();
  log_event (LOG_INFO, "duty.start",
             "address=%s reports=%s orders=%s lease_ms=%" G_GINT64_FORMAT
             " window_ms=%" G_GINT64_FORMAT " late_ms=%" G_GINT64_FORMAT,
             duties->address, duties->reports ? "yes" : "no",
             duties->orders ? "yes" : "no", duties->lease_us / CLK_MS,
             duties->usage_window_us / CLK_MS, duties->usage_late_us / CLK_MS);
  return keeper;
}

void
duty_keeper_free (struct duty_keeper *keeper)
{
  if (keeper == NULL)
    return;
  duty_client_free (keeper->duty_client);
  object_client_free (keeper->object_client);
  if (keeper->orders != NULL)
    server_orders_free (keeper->orders);
  duty_lease_free (keeper->lease);
  g_string_free (keeper->text, TRUE);
  g_free (keeper);
}

static void
set_section (struct duty_keeper *keeper, enum duty_section section)
{
  keeper->is_pending[section] = TRUE;
  duty_lease_set_section (keeper->lease, section,
                          (struct str){ keeper->text->str, keeper->text->len });
}

/* Hands sections that have changed to the lease. The next ones wait until these
   are stored, so that a write that is repeated says the same.  */
static void
prepare (struct duty_keeper *keeper, gint64 now)
{
  g_string_truncate (keeper->text, 0);
  if (keeper->reports != NULL && !keeper->is_pending[DUTY_SECTION_USAGE]
      && usage_reports_prepare (keeper->reports, true_now (keeper),
                                keeper->text))
    set_section (keeper, DUTY_SECTION_USAGE);
  g_string_truncate (keeper->text, 0);
  if (keeper->orders != NULL && !keeper->is_pending[DUTY_SECTION_ORDERS]
      && server_orders_prepare (keeper->orders, now, keeper->text))
    set_section (keeper, DUTY_SECTION_ORDERS);
}

/* Records whether the platform has responded. If it has not for a whole term,
   others may reach it.  */
static void
note_reached (struct duty_keeper *keeper, gboolean reached, gint64 now)
{
  gint64 term = keeper->options.settings->duties.lease_us;
  if (reached)
    keeper->failing_since = 0;
  else if (keeper->failing_since == 0)
    keeper->failing_since = keeper->called_at;
  if (keeper->failing_since == 0 || now - keeper->failing_since < term
      || keeper->gives_up || !duty_lease_is_held (keeper->lease))
    return;
  gint64 valid_until = duty_lease_valid_until (keeper->lease);
  keeper->gives_up = TRUE;
  keeper->barred_until = valid_until + BARRED_TERMS * term;
  log_event (LOG_WARN, "duty.unreachable",
             "failing_ms=%" G_GINT64_FORMAT " barred_ms=%" G_GINT64_FORMAT,
             (now - keeper->failing_since) / CLK_MS,
             (keeper->barred_until - now) / CLK_MS);
}

/* Handles the end of a call that a repetition may help if IS_TRANSIENT.  */
static void
end_call (struct duty_keeper *keeper, const char *what, int code,
          gboolean is_transient, gint64 now)
{
  gint64 pace = CALLS_SHARE * CLK_S
                / MAX ((gint64)keeper->options.settings->duties.calls_per_s, 1);
  gint64 wait = pace;
  keeper->in_call = CALL_NONE;
  if (is_transient)
    {
      gint64 doubled = RETRY_MIN_US << MIN (keeper->failures, 8);
      wait = MAX (wait, MIN (doubled, RETRY_MAX_US));
    }
  keeper->failures = is_transient ? keeper->failures + 1 : 0;
  keeper->next_call_at
      = MAX (keeper->called_at + pace, is_transient ? now + wait : 0);
  note_reached (keeper,
                code == 0 || code == ERR_CONFLICT || code == ERR_LIMIT
                    || code == ERR_INVALID,
                now);
  if (code == 0)
    return;
  counter_add (keeper->options.counter_set, COUNTER_DUTY_CALLS_FAILED, 1);
  log_event (LOG_WARN, "duty.call_failed",
             "what=%s cause=%s in_a_row=%u retry_ms=%" G_GINT64_FORMAT, what,
             err_name (code), keeper->failures,
             (keeper->next_call_at - now) / CLK_MS);
}

static void
on_reported (void *ctx, int code)
{
  struct duty_keeper *keeper = ctx;
  const struct usage_call *report = &keeper->report;
  gint64 now = clock_now (keeper);
  g_snprintf (keeper->last_report, sizeof keeper->last_report,
              "window %" G_GUINT64_FORMAT ", %u teams: %s", report->window,
              report->n, code == 0 ? "accepted" : err_name (code));
  end_call (keeper, "report", code, code != 0, now);
  usage_reports_done (keeper->reports, report, code, true_now (keeper));
}

static void
on_ordered (void *ctx, int code)
{
  struct duty_keeper *keeper = ctx;
  const struct server_order *order = &keeper->order;
  gint64 now = clock_now (keeper);
  keeper->last_order = *order;
  keeper->last_order_code = code;
  keeper->has_ordered = TRUE;
  end_call (keeper, "order", code, code != 0 && code != ERR_CONFLICT, now);
  server_orders_done (keeper->orders, order, code, now);
}

/* Returns the call that was offered unsent.  */
static void
cancel_call (struct duty_keeper *keeper, gint64 now)
{
  if (keeper->in_call == CALL_REPORT)
    usage_reports_done (keeper->reports, &keeper->report, ERR_CANCELLED,
                        true_now (keeper));
  else
    server_orders_done (keeper->orders, &keeper->order, ERR_CANCELLED, now);
  keeper->in_call = CALL_NONE;
}

/* Starts the call that is due, if one is. Reports go first: they have a
   deadline, and are few.  */
static void
start_call (struct duty_keeper *keeper, gint64 now)
{
  if (keeper->in_call != CALL_NONE || now < keeper->next_call_at
      || keeper->is_stopping || keeper->gives_up
      || duty_lease_call_fence (keeper->lease, DUTY_CLIENT_TIMEOUT_US) == 0)
    return;
  if (keeper->reports != NULL
      && usage_reports_next (keeper->reports, true_now (keeper),
                             &keeper->report))
    keeper->in_call = CALL_REPORT;
  else if (keeper->orders != NULL
           && server_orders_next (keeper->orders, now, &keeper->order))
    keeper->in_call = CALL_ORDER;
  if (keeper->in_call == CALL_NONE)
    return;
  /* Read again, as the process may have been suspended since: this is the check
     at the time of sending. */
  guint64 fence = duty_lease_call_fence (keeper->lease, DUTY_CLIENT_TIMEOUT_US);
  if (fence == 0)
    {
      cancel_call (keeper, now);
      return;
    }
  keeper->called_at = now;
  if (keeper->in_call == CALL_REPORT)
    duty_client_report (keeper->duty_client, fence, &keeper->report,
                        on_reported, keeper);
  else
    duty_client_order (keeper->duty_client, fence, &keeper->order, on_ordered,
                       keeper);
}

void
duty_keeper_step (struct duty_keeper *keeper, guint64 store_era,
                  gboolean stopping)
{
  if (keeper == NULL)
    return;
  gint64 now = clock_now (keeper);
  struct gossip_duty heard = gossip_duty (keeper->options.gossip);
  gboolean held = duty_lease_is_held (keeper->lease);
  struct duty_lease_view view
      = { .heard_fence = heard.fence, .known_era = store_era };
  keeper->is_stopping = stopping;
  if (held)
    view.wanted = !stopping && !keeper->gives_up;
  else
    view.wanted = !stopping && now >= keeper->barred_until
                  && gossip_duty_is_due (keeper->options.gossip, now);
  if (keeper->in_call != CALL_NONE
      && now - keeper->called_at > DUTY_CLIENT_TIMEOUT_US + ABORT_SLACK_US)
    duty_client_abort (keeper->duty_client);
  duty_lease_tick (keeper->lease, &view);
  if (!duty_lease_is_held (keeper->lease) || stopping || keeper->gives_up)
    return;
  if (now - keeper->observed_at >= OBSERVE_INTERVAL_US && keeper->orders != NULL
      && keeper->options.observe != NULL)
    {
      keeper->observed_at = now;
      keeper->options.observe (keeper->options.ctx, keeper->orders, now);
    }
  prepare (keeper, now);
  start_call (keeper, now);
}

guint64
duty_keeper_fence (const struct duty_keeper *keeper)
{
  return keeper != NULL && !keeper->is_stopping && !keeper->gives_up
             ? duty_lease_fence (keeper->lease)
             : 0;
}

static void
add_holder (const struct duty_keeper *keeper, JsonBuilder *json)
{
  struct gossip_duty heard = gossip_duty (keeper->options.gossip);
  char address[sizeof "255.255.255.255"] = "";
  if (heard.fence != 0)
    g_snprintf (address, sizeof address, "%u.%u.%u.%u", heard.ip >> 24,
                heard.ip >> 16 & 255, heard.ip >> 8 & 255, heard.ip & 255);
  json_add_str (json, "holder", address);
  json_add_int (json, "holder_fence", (gint64)heard.fence);
  json_add_int (
      json, "holder_heard_ms",
      heard.held_at != 0 ? (clock_now (keeper) - heard.held_at) / CLK_MS : -1);
}

/* Adds an object "duties" to the open object of JSON.  */
void
duty_keeper_dump (const struct duty_keeper *keeper, JsonBuilder *json)
{
  if (keeper == NULL)
    return;
  const struct server_order *order = &keeper->last_order;
  json_builder_set_member_name (json, "duties");
  json_builder_begin_object (json);
  add_holder (keeper, json);
  duty_lease_dump (keeper->lease, json);
  json_add_str (json, "last_change", keeper->last_change);
  json_add_str (json, "last_report", keeper->last_report);
  g_autofree char *text
      = keeper->has_ordered ? g_strdup_printf (
            "%s in %s, %s: %u, %s", order->service, order->domain,
            order->is_spot ? "spot" : "regular", order->desired,
            keeper->last_order_code == 0 ? "accepted"
                                         : err_name (keeper->last_order_code))
                            : NULL;
  json_add_str (json, "last_order", text);
  if (keeper->orders != NULL)
    {
      json_builder_set_member_name (json, "orders");
      server_orders_dump (keeper->orders, json);
    }
  json_builder_end_object (json);
}
