/* What requests use of the services: which of them count for their team, and
   what they ask of a service.  */
#include "gate/exchange_internal.h"

static const struct routing_service *
service_of (const struct exchange *exchange)
{
  return routing_service (exchange->routing_table,
                          exchange->queue_entry.service);
}

static gboolean
has_engine (const struct exchange *exchange)
{
  const struct routing_service *service = service_of (exchange);
  return service != NULL && service->has_engine;
}

/* Returns whether this instance accounts for the request: another one that has
   passed it on does so itself, since it may have had the first token from
   elsewhere.  */
static gboolean
is_accounted (const struct exchange *exchange)
{
  return exchange->reverse_proxy->options.used != NULL && !exchange->was_relayed
         && exchange->routing_table != NULL;
}

/* Returns whether the first token or the response of this request counts for
   its team, also at services without engines. A client that names its last
   event continues a request that was counted before.  */
static gboolean
is_billed (const struct exchange *exchange)
{
  return !(exchange->is_continuation && exchange->route->resumable);
}

static void
report_usage (const struct exchange *exchange, const struct proxy_usage *usage)
{
  const struct proxy_options *options = &exchange->reverse_proxy->options;
  options->used (options->ctx, usage);
}

/* The first token has come, or the head of a response without events. Tokens
   that another server sends after a retry are not counted as a new request.  */
void
exchange_usage_started (struct exchange *exchange)
{
  if (exchange->is_counted || !is_accounted (exchange))
    return;
  exchange->is_counted = TRUE;
  gboolean billed = is_billed (exchange);
  const struct proxy_usage usage
      = { .service = exchange->queue_entry.service,
          .team
          = billed && exchange->team != NULL ? exchange->team->name : NULL,
          .requests = billed,
          .uncached_tokens = exchange->uncached_tokens };
  report_usage (exchange, &usage);
}

/* N events have come together.  */
void
exchange_usage_events (struct exchange *exchange, guint n)
{
  exchange_usage_started (exchange);
  if (!is_accounted (exchange) || !has_engine (exchange))
    return;
  const struct proxy_usage usage
      = { .service = exchange->queue_entry.service,
          .output_tokens = (guint64)n * service_of (exchange)->engine.stride };
  report_usage (exchange, &usage);
}

/* The request is rejected for overload.  */
void
exchange_usage_rejected (struct exchange *exchange)
{
  const struct proxy_usage usage
      = { .service = exchange->queue_entry.service, .rejections = 1 };
  if (is_accounted (exchange))
    report_usage (exchange, &usage);
}
