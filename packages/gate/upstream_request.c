/* Heads of the requests that are sent to backend servers and other
   instances.  */
#include "gate/reverse_proxy_internal.h"

#include <string.h>

static gboolean
is_reserved (const struct header_names *header_names, struct str name)
{
  for (const char *const *field = header_names->reserved; *field != NULL;
       field++)
    if (http_equals_ignore_case (name, *field))
      return TRUE;
  return FALSE;
}

/* Returns whether VALUE of an Authorization header has the scheme of team
   keys.  */
static gboolean
carries_key (const struct header_names *header_names, struct str value)
{
  gsize n = strlen (header_names->key_scheme);
  return value.n > n
         && g_ascii_strncasecmp (value.p, header_names->key_scheme, n) == 0;
}

/* Returns whether the client's header NAME with VALUE is not forwarded, because
   the proxy writes it itself or the server must not see it. An Authorization
   header is omitted if it carries a team key, unless IS_RELAY: another instance
   needs the key.  */
static gboolean
is_omitted (const struct exchange *exchange, struct str name, struct str value,
            gboolean is_relay)
{
  const struct header_names *header_names
      = exchange->reverse_proxy->header_names;
  if (is_reserved (header_names, name)
      || http_equals_ignore_case (name, header_names->team)
      || http_equals_ignore_case (name, header_names->deadline_ms)
      || http_equals_ignore_case (name, header_names->last_event)
      || http_equals_ignore_case (name, "host"))
    return TRUE;
  return !is_relay && http_equals_ignore_case (name, "authorization")
         && (exchange->team != NULL || carries_key (header_names, value));
}

/* Returns whether the header NAME is always end-to-end: a client cannot have it
   removed by listing it in its Connection header.  */
static gboolean
is_protected (const struct header_names *header_names, struct str name)
{
  return http_equals_ignore_case (name, header_names->request_id)
         || http_equals_ignore_case (name, header_names->model)
         || http_equals_ignore_case (name, header_names->token_counts)
         || http_equals_ignore_case (name, header_names->prefix_blocks)
         || http_equals_ignore_case (name, header_names->length_hint);
}

/* Appends what only a backend server gets to OUT.  */
static void
put_server_fields (const struct exchange *exchange,
                   const struct placement_choice *choice, GString *out)
{
  const struct header_names *header_names
      = exchange->reverse_proxy->header_names;
  http_put_field (out, header_names->expect_server, "%s",
                  choice->server->entry.id);
  if (exchange->team != NULL)
    http_put_field (out, header_names->team, "%s", exchange->team->name);
  if (exchange->queue_entry.request.prompt.n > 0)
    http_put_field (out, header_names->priority, "%u", exchange->tier);
  if (choice->fetch_from != NULL)
    http_put_field (out, header_names->fetch_from, "%s",
                    choice->fetch_from->entry.address);
}

/* Appends the request head for the server of CHOICE, or for another instance if
   it is NULL, to OUT.  */
void
upstream_build_request_head (struct exchange *exchange,
                             const struct placement_choice *choice,
                             GString *out)
{
  const struct http_head *head = exchange->head;
  const struct header_names *header_names
      = exchange->reverse_proxy->header_names;
  struct str target = http_head_target (head);
  struct str position = stream_position_id (&exchange->position);
  struct str host;
  gint64 left
      = exchange->deadline - clk_now (exchange->reverse_proxy->options.clk);
  g_string_append_printf (out, "%s " STR_FMT " HTTP/1.1\r\n", head->method,
                          STR_ARG (target));
  if (http_head_get (head, "host", &host))
    http_put_field_str (out, STR_LIT ("Host"), host);
  for (guint i = 0; i < head->fields->len; i++)
    {
      struct str name = http_head_field_name (head, i);
      struct str value = http_head_field_value (head, i);
      if (is_omitted (exchange, name, value, choice == NULL)
          || (!is_protected (header_names, name)
              && http_head_is_hop_by_hop (head, name)))
        continue;
      http_put_field_str (out, name, value);
    }
  http_put_field (out, header_names->deadline_ms, "%" G_GINT64_FORMAT,
                  MAX (left / CLK_MS, 1));
  if (choice != NULL)
    put_server_fields (exchange, choice, out);
  else
    {
      http_put_field (out, header_names->relayed, "%u", exchange->sent);
      stream_version_put_request (exchange, out);
    }
  if (position.n > 0)
    http_put_field_str (out, str_of (header_names->last_event), position);
  if (exchange->body->len > 0 || head->chunked || head->has_length)
    http_put_field (out, "Content-Length", "%u", exchange->body->len);
  g_string_append (out, "\r\n");
}
