#include "soak/soak_config.h"

#include "soak/soak_traffic.h"

char *
soak_config_text (guint64 version, const gboolean *keys, guint n_keys,
                  guint timeout_ms)
{
  static const char *const kinds[]
      = { "idempotent", "non_idempotent", "streaming" };
  static const char *const paths[] = {
#define SOAK_PATH(id, path) path,
    SOAK_ROUTES (SOAK_PATH)
#undef SOAK_PATH
  };
  GString *text = g_string_new (NULL);
  g_string_append_printf (
      text, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[", version);
  for (guint i = 0; i < SOAK_ROUTE_N; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"%s\",\"host\":\"a.example\","
        "\"path_prefix\":\"/%s/\",\"route_type\":\"%s\","
        "\"timeout_ms\":%u,\"target_latency_ms\":1000,\"priority\":%u,"
        "\"service\":\"pool\",\"max_attempts\":2,\"resumable\":true,"
        "\"gap_aim_ms\":1000}",
        i > 0 ? "," : "", paths[i], paths[i], kinds[i], timeout_ms, i);
  g_string_append (text, "],\"services\":[{\"name\":\"pool\"}],\"tenants\":[");
  for (guint i = 0; i < n_keys; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"k%u\",\"api_keys\":[\"%s%u\"]}",
                            i > 0 ? "," : "", i, keys[i] ? "k" : "not-k", i);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

char *
soak_server_text (guint port, guint domain, guint version, gboolean leaving)
{
  static gint64 born;
  if (!leaving)
    born = MAX (born + 1, g_get_real_time () / 1000);
  return g_strdup_printf (
      "{\"service\":\"pool\",\"address\":\"127.0.0.1:%u\",\"zone\":\"d%u\","
      "\"version\":\"v%u\",\"max_batch\":8,\"state\":\"%s\",\"born\":"
      "%" G_GINT64_FORMAT "}",
      port, domain, version, leaving ? "draining" : "ready", born);
}
