#include "base/counter.h"

static const struct
{
  const char *name;
  const char *help;
} infos[COUNTER_N] = {
#define COUNTER_INFO(id, name, help) { name, help },
  COUNTER_LIST (COUNTER_INFO)
#undef COUNTER_INFO
};

/* Returns the name of counter ID in the dump.  */
const char *
counter_name (enum counter_id id)
{
  return infos[id].name;
}

/* Adds all counters to JSON as one object.  */
void
counter_set_dump (const struct counter_set *counters, JsonBuilder *json)
{
  json_builder_begin_object (json);
  for (int i = 0; i < COUNTER_N; i++)
    {
      json_builder_set_member_name (json, infos[i].name);
      json_builder_add_int_value (json, (gint64)counters->v[i]);
    }
  json_builder_end_object (json);
}

/* Appends all counters to OUT in the Prometheus text format.  */
void
counter_set_prometheus (const struct counter_set *counters, GString *out)
{
  for (int i = 0; i < COUNTER_N; i++)
    g_string_append_printf (out,
                            "# HELP jacinthward_%s_total %s\n"
                            "# TYPE jacinthward_%s_total counter\n"
                            "jacinthward_%s_total %" G_GUINT64_FORMAT "\n",
                            infos[i].name, infos[i].help, infos[i].name,
                            infos[i].name, counters->v[i]);
}
