/* A request from its head to the end of its answer: routing, waiting, attempts
   and what the caller gets.  */
#include "gate/gat_int.h"

#include "base/log.h"
#include "gate/exc_int.h"
#include "gate/exc_read.h"

#include <string.h>

#define PROOF_RETRY_US                                                         \
  (700 * CLK_MS)                      /* a fresh proof comes within a second   \
                                       */
#define START_RETRY_US (500 * CLK_MS) /* a first configuration, likewise */
#define FULL_PAUSE_US (150 * CLK_MS)  /* a server that rejects is left alone */
#define MISDIRECTED_PAUSE_US (3 * CLK_S) /* until the list tells who it is */

static const char *const state_names[] = {
#define EXC_NAME(id, name) name,
  EXC_STATES (EXC_NAME)
#undef EXC_NAME
};

const char *
exc_state_name (enum exc_state state)
{
  return state_names[state];
}

gint64
exc_now (const struct exc *exc)
{
  return clk_now (exc->gat->options.clk);
}

static struct log_entry
entry (const struct exc *exc, const char *event, const char *peer)
{
  return (struct log_entry){
    .level = LOG_INFO, .event = event, .request_id = exc->id, .peer = peer
  };
}

/* Follows the chart; an event that it does not allow is a fault of ours.  */
void
exc_move (struct exc *exc, enum exc_event event)
{
  int next = statechart_next (exc->gat->chart, exc->state, (int)event);
  if (next == STATECHART_NONE)
    log_write (&(struct log_entry){ .level = LOG_ERROR,
                                    .event = "request.state",
                                    .request_id = exc->id },
               "event %d not allowed in state %s", (int)event,
               exc_state_name (exc->state));
  else
    exc->state = (enum exc_state)next;
}

/* Begins a request whose head has been read.  */
struct exc *
exc_new (struct gcl *gcl, const struct http_head *head)
{
  struct exc *exc = g_new0 (struct exc, 1);
  struct str id;
  exc->gat = gcl->gat;
  exc->gcl = gcl;
  exc->head = head;
  exc->body = g_byte_array_new ();
  exc->arrived = exc_now (exc);
  exc->ticket.owner = exc;
  ses_init (&exc->ses);
  if (http_head_get (head, gcl->gat->dia->request_id, &id)
      && id.n <= GAT_ID_MAX)
    memcpy (exc->id, id.p, id.n);
  gcl->gat->exchanges++;
  return exc;
}

void
exc_free (struct exc *exc)
{
  g_clear_handle_id (&exc->timer, g_source_remove);
  sch_withdraw (exc->gat->options.sch, &exc->ticket);
  sch_ended (exc->gat->options.sch, &exc->ticket);
  att_free (exc->att);
  ses_clear (&exc->ses);
  rtb_unref (exc->rtb);
  g_byte_array_unref (exc->body);
  exc->gat->exchanges--;
  gat_wake (exc->gat);
  g_free (exc);
}

gboolean
exc_body (struct exc *exc, struct str bytes)
{
  g_byte_array_append (exc->body, (const guint8 *)bytes.p, (guint)bytes.n);
  return TRUE;
}

void
exc_end_attempt (struct exc *exc)
{
  sch_ended (exc->gat->options.sch, &exc->ticket);
  g_clear_pointer (&exc->att, att_free);
  gat_wake (exc->gat);
}

void
exc_log_end (const struct exc *exc, const char *outcome)
{
  histogram_add (exc->gat->options.histogram_set, HISTOGRAM_REQUEST,
                 exc_now (exc) - exc->arrived);
  struct log_entry e = entry (exc, "request.end", NULL);
  log_write (&e,
             "outcome=%s status=%u attempts=%u elapsed_ms=%" G_GINT64_FORMAT
             " bytes=%" G_GUINT64_FORMAT " events=%u"
             " first_event_ms=%" G_GINT64_FORMAT
             " longest_pause_ms=%" G_GINT64_FORMAT " route=%s",
             outcome, exc->status, exc->attempts,
             (exc_now (exc) - exc->arrived) / CLK_MS, exc->answer_bytes,
             exc->ses.events, exc->first_us / CLK_MS, exc->longest_us / CLK_MS,
             exc->route ? exc->route->name : "");
}

/* Gives the caller an answer of our own. Frees EXC.  */
static void
answer (struct exc *exc, const struct ans *ans)
{
  struct gcl *gcl = exc->gcl;
  exc_end_attempt (exc);
  sch_withdraw (exc->gat->options.sch, &exc->ticket);
  exc_move (exc, EXC_ON_ANSWER);
  exc->status = ans->status;
  exc_log_end (exc, ans->code);
  counter_add (exc->gat->options.counter_set,
               g_str_equal (ans->ran, "no") ? COUNTER_REJECTED : COUNTER_FAILED,
               1);
  ans_send (gcl, exc->id, ans);
  gcl_done (gcl,
            !ans->close && exc->head->keep_alive && exc->gat->stopping == 0);
}

static void
refuse (struct exc *exc, guint status, const char *code, gint64 retry_after_us)
{
  const struct ans ans = { .status = status,
                           .code = code,
                           .ran = "no",
                           .retry_after_us = retry_after_us };
  answer (exc, &ans);
}

/* Ends a request of which nothing better can be said than that it may have
   run.  */
static void
answer_unknown (struct exc *exc, guint status, const char *code)
{
  const struct ans ans = { .status = status, .code = code, .ran = "unknown" };
  counter_add (exc->gat->options.counter_set, COUNTER_OUTCOME_UNKNOWN, 1);
  answer (exc, &ans);
}

/* Breaks off an answer that has begun. Frees EXC.  */
static void
cut (struct exc *exc, const char *why)
{
  struct gcl *gcl = exc->gcl;
  exc_move (exc, EXC_ON_CUT);
  exc_log_end (exc, why);
  counter_add (exc->gat->options.counter_set, COUNTER_FAILED, 1);
  gcl_cut (gcl);
}

/* The time is up.  */
static gboolean
on_deadline (gpointer data)
{
  struct exc *exc = data;
  exc->timer = 0;
  if (exc->head_sent)
    cut (exc, "deadline");
  else if (exc->may_have_run || exc->att != NULL)
    answer_unknown (exc, 504, "timeout");
  else
    refuse (exc, 503, "timeout_waiting", START_RETRY_US);
  return G_SOURCE_REMOVE;
}

static void
set_deadline (struct exc *exc)
{
  struct str text;
  guint64 ms;
  gint64 us = exc->route->timeout_us;
  if (http_head_get (exc->head, exc->gat->dia->deadline_ms, &text)
      && http_parse_number (text, &ms) && ms < G_MAXINT32)
    us = MIN (us, (gint64)ms * CLK_MS);
  exc->deadline = exc->arrived + us;
  gint64 left = MAX (exc->deadline - exc_now (exc), 0);
  g_clear_handle_id (&exc->timer, g_source_remove);
  exc->timer = g_timeout_add ((guint)(left / CLK_MS), on_deadline, exc);
}

static gboolean
keys_are_fresh (const struct exc *exc)
{
  const struct gat *gat = exc->gat;
  return gat->options.key_limit_us == 0
         || frs_holds (&gat->frs, exc_now (exc), gat->options.key_limit_us);
}

/* Finds route and team in the newest table. Returns FALSE if the request was
   answered instead.  */
static gboolean
resolve (struct exc *exc)
{
  struct gat *gat = exc->gat;
  struct str host = { "", 0 };
  struct str key;
  if (gat->rtb == NULL)
    {
      refuse (exc, 503, "no_configuration", START_RETRY_US);
      return FALSE;
    }
  if (exc->rtb != gat->rtb)
    {
      rtb_unref (exc->rtb);
      exc->rtb = rtb_ref (gat->rtb);
    }
  http_head_get (exc->head, "host", &host);
  exc->route = rtb_find (exc->rtb, host, http_head_target (exc->head));
  exc->team = NULL;
  if (exc->route != NULL && exc->route->open)
    return TRUE;
  if (!keys_are_fresh (exc))
    {
      refuse (exc, 503, "configuration_unproved", PROOF_RETRY_US);
      return FALSE;
    }
  if (exc->route == NULL)
    {
      refuse (exc, 404, "no_route", 0);
      return FALSE;
    }
  if (!rtb_has_teams (exc->rtb))
    return TRUE;
  if (exr_key (exc->head, gat->dia, &key))
    exc->team = rtb_team_of (exc->rtb, key);
  if (exc->team != NULL)
    return TRUE;
  counter_add (gat->options.counter_set, COUNTER_UNKNOWN_KEY, 1);
  refuse (exc, 401, "unknown_key", 0);
  return FALSE;
}

static struct bud *
budget_of (struct exc *exc)
{
  struct gat *gat = exc->gat;
  struct bud *bud = g_hash_table_lookup (gat->budgets, exc->ticket.service);
  if (bud == NULL)
    {
      bud = g_new0 (struct bud, 1);
      bud_init (bud, &gat->options.budget, exc_now (exc));
      g_hash_table_insert (gat->budgets, g_strdup (exc->ticket.service), bud);
    }
  return bud;
}

static void
fill_ticket (struct exc *exc)
{
  struct sch_ticket *ticket = &exc->ticket;
  const struct rtb_route *route = exc->route;
  guint64 draw = str_hash (str_of (exc->id), 0);
  g_strlcpy (ticket->service, rtb_pick (route, draw), sizeof ticket->service);
  exc->tier = rtb_rank (route, exc->team);
  ticket->tier = exc->tier;
  ticket->arrived = exc->arrived;
  ticket->deadline = exc->deadline;
  ticket->target = MIN (exc->deadline, exc->arrived + route->target_us);
  exr_prompt (exc->head, exc->gat->dia, route, &ticket->request);
  ticket->request.body_bytes = exc->body->len;
  if (ticket->request.prompt.n == 0)
    ticket->request.home = draw;
}

static void offer (struct exc *exc);

/* The whole request is there.  */
void
exc_whole (struct exc *exc)
{
  struct gat *gat = exc->gat;
  counter_add (gat->options.counter_set, COUNTER_REQUESTS, 1);
  exc_move (exc, EXC_ON_WHOLE);
  if (exc->id[0] == '\0'
      || http_head_count (exc->head, gat->dia->request_id) != 1)
    {
      counter_add (gat->options.counter_set, COUNTER_INVALID_REQUEST, 1);
      refuse (exc, 400, "no_request_id", 0);
      return;
    }
  if (!resolve (exc))
    return;
  set_deadline (exc);
  fill_ticket (exc);
  bud_request (budget_of (exc), exc_now (exc));
  offer (exc);
}

/* Sends the request to the server that the scheduler chose. The facts that
   allow it are checked again at this moment.  */
static void
start_attempt (struct exc *exc, const struct spl_choice *choice)
{
  struct gat *gat = exc->gat;
  gint64 now = exc_now (exc);
  char service[sizeof exc->ticket.service];
  g_strlcpy (service, exc->ticket.service, sizeof service);
  if (!exc->head_sent)
    {
      if (!resolve (exc))
        return;
      fill_ticket (exc);
      if (!g_str_equal (service, exc->ticket.service))
        {
          offer (exc);
          return;
        }
    }
  else if (exc->team != NULL && !keys_are_fresh (exc))
    {
      cut (exc, "configuration_unproved");
      return;
    }
  const struct pdr_prompt *prompt = &exc->ticket.request.prompt;
  struct log_entry e = entry (exc, "request.placed", choice->server->entry.id);
  log_write (&e,
             "service=%s tier=%u version=%" G_GUINT64_FORMAT
             " proof_age_ms=%" G_GINT64_FORMAT
             " attempt=%u prompt=%u shared=%u held=%u unread=%u"
             " running=%u tight=%u unread_ahead=%" G_GUINT64_FORMAT
             " shared_key=%08x predicted_ms=%" G_GINT64_FORMAT
             " fetch=%s waited_ms=%" G_GINT64_FORMAT,
             exc->ticket.service, exc->tier, rtb_version (exc->rtb),
             gat_proof_age (gat, now) / CLK_MS, exc->attempts + 1,
             pdr_tokens (prompt), pdr_shared_tokens (prompt), choice->held,
             choice->unread, choice->load.requests, choice->load.tight,
             choice->load.unread, pdr_shared_key (prompt),
             choice->first_us / CLK_MS,
             choice->fetch_from ? choice->fetch_from->entry.id : "",
             (now - exc->arrived) / CLK_MS);
  exc_move (exc, EXC_ON_PLACE);
  if (exc->attempts++ == 0)
    histogram_add (gat->options.histogram_set, HISTOGRAM_WAIT,
                   now - exc->arrived);
  exc->attempted = now;
  counter_add (gat->options.counter_set, COUNTER_ATTEMPTS, 1);
  sch_started (gat->options.sch, &exc->ticket, choice, now);
  if (gat->options.placed != NULL && prompt->n > 0)
    gat->options.placed (gat->options.ctx, choice->server, prompt);
  exc->last_event_at = now;
  exc->att = att_start (exc, choice);
  if (exc->att != NULL)
    return;
  struct err err = { 0 };
  const struct str none = { "", 0 };
  err_set (&err, ERR_UNAVAILABLE, "backend.connect", choice->server->entry.id,
           "no connection");
  exc_lost (exc, RTY_NOT_SENT, NULL, none, &err);
}

/* The scheduler has decided about a request.  */
void
exc_decided (void *ctx, struct sch_ticket *ticket,
             const struct sch_decision *decision)
{
  (void)ctx;
  struct exc *exc = ticket->owner;
  switch (decision->verdict)
    {
    case SCH_START:
      start_attempt (exc, &decision->choice);
      return;
    case SCH_WAIT:
      {
        struct log_entry e = entry (exc, "request.queued", NULL);
        log_write (&e,
                   "service=%s tier=%u ahead=%u usable=%u busy=%.2f"
                   " wait_ms=%" G_GINT64_FORMAT,
                   ticket->service, ticket->tier, decision->ahead,
                   decision->choice.usable, decision->choice.busy,
                   decision->wait_us / CLK_MS);
        return;
      }
    case SCH_REFUSE:
      break;
    }
  struct log_entry e = entry (exc, "request.refused", NULL);
  log_write (&e,
             "reason=%s service=%s tier=%u ahead=%u usable=%u busy=%.2f"
             " wait_ms=%" G_GINT64_FORMAT " retry_after_ms=%" G_GINT64_FORMAT,
             sch_reason_name (decision->reason), ticket->service, ticket->tier,
             decision->ahead, decision->choice.usable, decision->choice.busy,
             decision->wait_us / CLK_MS, decision->retry_after_us / CLK_MS);
  if (exc->head_sent)
    cut (exc, sch_reason_name (decision->reason));
  else if (exc->may_have_run)
    answer_unknown (exc, 502, sch_reason_name (decision->reason));
  else
    refuse (exc, 503, sch_reason_name (decision->reason),
            decision->retry_after_us);
}

static void
offer (struct exc *exc)
{
  struct sch_decision decision;
  sch_offer (exc->gat->options.sch, &exc->ticket, exc_now (exc), &decision);
  exc_decided (NULL, &exc->ticket, &decision);
}

/* The caller has gone; what is at work for it is cancelled.  */
void
exc_gone (struct exc *exc)
{
  if (statechart_is_final (exc->gat->chart, exc->state))
    return;
  exc_move (exc, EXC_ON_LEAVE);
  exc_log_end (exc, "caller_gone");
  counter_add (exc->gat->options.counter_set, COUNTER_CLIENT_DISCONNECTED, 1);
  sch_withdraw (exc->gat->options.sch, &exc->ticket);
  exc_end_attempt (exc);
}

static void
note_server (struct exc *exc, enum rty_result result)
{
  struct spl_request *request = &exc->ticket.request;
  struct flt_server *server = exc->ticket.server;
  gint64 now = exc_now (exc);
  if (server == NULL)
    return;
  if (request->n_tried < SPL_TRIED_MAX)
    request->tried[request->n_tried++] = server->number;
  gint64 pause = result == RTY_REJECTED      ? FULL_PAUSE_US
                 : result == RTY_MISDIRECTED ? MISDIRECTED_PAUSE_US
                                             : 0;
  if (result == RTY_NOT_SENT)
    flt_unreachable (server, now);
  server->avoid_until = MAX (server->avoid_until, now + pause);
}

/* Sends the request to another server, once the scheduler has found one.  */
static void
again (struct exc *exc, enum rty_result result)
{
  if (result != RTY_NOT_SENT)
    {
      bud_repeat (budget_of (exc), exc_now (exc));
      counter_add (exc->gat->options.counter_set, COUNTER_RETRIES, 1);
    }
  if (exc->head_sent)
    {
      counter_add (exc->gat->options.counter_set, COUNTER_RESUMES, 1);
      ses_drop_partial (&exc->ses);
      /* A caller reads it already, so it does not wait behind others here; at
         the server it ranks as before. */
      exc->ticket.tier = 0;
      exc->ticket.target = exc->deadline;
    }
  exc_move (exc, EXC_ON_AGAIN);
  offer (exc);
}

/* The attempt has not brought a whole success. HEAD and BODY are the server's
   answer if there is one. May free EXC.  */
void
exc_lost (struct exc *exc, enum rty_result result, const struct http_head *head,
          struct str body, const struct err *err)
{
  struct gat *gat = exc->gat;
  gint64 now = exc_now (exc);
  if (result != RTY_NOT_SENT && result != RTY_MISDIRECTED)
    exc->sent++;
  note_server (exc, result);
  struct rty_case c = {
    .result = result,
    .repeatable = rtb_may_repeat (exc->route),
    .may_have_run = exc->may_have_run,
    .answer_begun = exc->head_sent,
    .can_resume = exc->is_sse && exc->route->resumable,
    .has_answer = head != NULL,
    .sent = exc->sent,
    .attempts_max = exc->route->attempts,
    .within_budget = bud_allows (budget_of (exc), gat->instances, now),
    .has_server = sch_has_server (gat->options.sch, &exc->ticket, now),
    .left_us = exc->deadline - now,
  };
  enum rty_step step = rty_decide (&c);
  struct log_entry e = entry (exc, "attempt.lost", err->peer);
  log_write (&e,
             "result=%s step=%s cause=\"%s: %s\" sent=%u/%u budget=%s"
             " left_ms=%" G_GINT64_FORMAT " events=%u",
             rty_result_name (result), rty_step_name (step), err->step,
             err->text, exc->sent, exc->route->attempts,
             c.within_budget ? "yes" : "no", c.left_us / CLK_MS,
             exc->ses.events);
  if (result == RTY_FAILED || result == RTY_LOST)
    exc->may_have_run = TRUE;
  if (step == RTY_PASS && head != NULL)
    {
      exc_answer_whole (exc, head, body);
      return;
    }
  exc_end_attempt (exc);
  switch (step)
    {
    case RTY_AGAIN:
      again (exc, result);
      return;
    case RTY_REFUSE:
      refuse (exc, 503, "not_run", START_RETRY_US);
      return;
    case RTY_UNKNOWN:
      answer_unknown (exc, 502, "outcome_unknown");
      return;
    case RTY_CUT:
      cut (exc, "backend_lost");
      return;
    case RTY_PASS:
      return;
    }
}
